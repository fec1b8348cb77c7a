//! Log events for the steps of a change.

use badgerramp_policy::regions::{CrossRegionChange, Role};
use badgerramp_policy::{Command, Generation, Outcome, Record};
use tracing::field::display;
use tracing::info;

/// The pending change before a command is applied.
pub(crate) struct ChangeBefore {
    /// New generation of the change.
    generation: Option<Generation>,
    cross_region: Option<CrossRegionChange>,
}

impl ChangeBefore {
    /// Returns the pending change of this record.
    pub(crate) fn new(record: &Record) -> Self {
        ChangeBefore {
            generation: record.transition().map(|mode| mode.new),
            cross_region: record.cross_region().cloned(),
        }
    }
}

/// Logs a command that was applied with this outcome, if it is a step of a change.
pub(crate) fn log_step(
    before: &ChangeBefore,
    command: &Command,
    outcome: &Outcome,
    after: &Record,
) {
    let generation = before.generation.map(|generation| generation.0);
    let cross_region = before.cross_region.as_ref();
    let change = cross_region.map(|cross| display(cross.change.id));
    match (command, outcome) {
        (_, Outcome::Rejected(_)) => {}
        (_, Outcome::Started(generation)) => log_start(*generation, after),
        (Command::Vote { .. }, _) => {
            let coordinator = cross_region.map(|cross| display(&cross.change.coordinator));
            info!(change, coordinator, "voted prepared");
        }
        (Command::Prepared { region, .. }, _) => info!(change, %region, "region prepared"),
        (Command::Acknowledged { id, region }, _) => {
            info!(change = %id, %region, "region acknowledged commit");
        }
        (Command::Advance { .. } | Command::Committed { .. }, _) => {
            info!(generation, change, "change committed");
        }
        (Command::Abort { reason, .. }, _) => {
            info!(generation, change, reason, "change aborted");
        }
        (Command::Aborted { .. }, _) => info!(generation, change, "change aborted"),
        _ => {}
    }
}

fn log_start(generation: Generation, after: &Record) {
    let generation = generation.0;
    let Some(cross) = after.cross_region() else {
        info!(generation, "change started");
        return;
    };
    let change = cross.change.id;
    match &cross.role {
        Role::Coordinator { participants, .. } => {
            let names: Vec<&str> = participants.iter().map(|region| region.as_str()).collect();
            let participants = names.join(", ");
            info!(generation, %change, participants, "cross-region change started");
        }
        Role::Participant { .. } => {
            let coordinator = &cross.change.coordinator;
            info!(generation, %change, %coordinator, "cross-region change started");
        }
    }
}
