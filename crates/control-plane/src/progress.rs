//! What the log of a replica says of each step of a change.

use badgerramp_policy::regions::{CrossRegionChange, Role};
use badgerramp_policy::{Command, Generation, Mode, Outcome, Record};
use std::fmt::Display;

/// The change under way before a command.
pub(crate) struct Before {
    middle: Option<Mode>,
    cross_region: Option<CrossRegionChange>,
}

impl Before {
    /// That of this record.
    pub(crate) fn of(record: &Record) -> Self {
        Before {
            middle: record.transition(),
            cross_region: record.cross_region().cloned(),
        }
    }
}

/// The line for a command that came to this outcome, if it is a step of a change.
pub(crate) fn line(
    before: &Before,
    command: &Command,
    outcome: &Outcome,
    after: &Record,
) -> Option<String> {
    match (command, outcome) {
        (_, Outcome::Rejected(_)) => None,
        (_, Outcome::Started(generation)) => Some(begun(*generation, after)),
        (Command::Vote { .. }, _) => {
            let cross = before.cross_region.as_ref()?;
            let coordinator = &cross.change.coordinator;
            Some(of_all(
                cross,
                format!("voted that this region is prepared; region {coordinator} decides"),
            ))
        }
        (Command::Prepared { region, .. }, _) => Some(of_all(
            before.cross_region.as_ref()?,
            format!("region {region} is prepared"),
        )),
        (Command::Acknowledged { id, region }, _) => Some(format!(
            "change of all regions {id}: region {region} acknowledged the commit"
        )),
        (Command::Advance { .. } | Command::Committed { .. }, _) => {
            Some(ended(before, format!("{} is in force", before.middle?.new)))
        }
        (Command::Abort { reason: why, .. }, _) => Some(match &before.cross_region {
            None => format!("the change comes to nothing: {why}"),
            Some(cross) => of_all(
                cross,
                format!("decided: {} is not in force: {why}", before.middle?.new),
            ),
        }),
        (Command::Aborted { .. }, _) => Some(ended(
            before,
            format!("{} is not in force", before.middle?.new),
        )),
        _ => None,
    }
}

fn of_all(cross: &CrossRegionChange, step: impl Display) -> String {
    format!("change of all regions {}: {step}", cross.change.id)
}

fn begun(generation: Generation, after: &Record) -> String {
    let Some(cross) = after.cross_region() else {
        return format!("{generation} is to come into force");
    };
    let coordinator = &cross.change.coordinator;
    match &cross.role {
        Role::Coordinator { participants, .. } => {
            let names: Vec<&str> = participants.iter().map(|region| region.as_str()).collect();
            of_all(
                cross,
                format!(
                    "begun as {generation} here, with region {}",
                    names.join(", ")
                ),
            )
        }
        Role::Participant { .. } => of_all(
            cross,
            format!("begun as {generation} here, for region {coordinator}"),
        ),
    }
}

fn ended(before: &Before, how: String) -> String {
    match &before.cross_region {
        None => how,
        Some(cross) => of_all(cross, format!("decided: {how}")),
    }
}
