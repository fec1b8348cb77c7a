//! The next step of the change under way, as the leader of a region sees it.

use crate::regions::{listed, CrossRegionChange, Region, Role};
use crate::{Blocker, Command, Leases, Micros, Mode, Record};
use std::collections::BTreeSet;

/// How long a change may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeTimeouts {
    /// Longest wait for the proxies of the own region.
    pub proxies: Micros,
    /// Longest wait of a coordinator for the votes of the other regions.
    pub regions: Micros,
}

/// The command that the leader has to log next; `None`: nothing for now. `begun` is when this leader first saw the present
/// revision. Of a change of all regions the messages take the other steps: see [`crate::regions`].
pub fn next_command(
    record: &Record,
    leases: &Leases,
    now: Micros,
    begun: Micros,
    limits: ChangeTimeouts,
) -> Option<Command> {
    let behind = leases.caught_up_proxies(record);
    let Some(middle) = record.transition() else {
        // Whose floors are held is brought up to date together, when most have moved.
        let most = behind.len() * 2 > record.leaseless_proxies().len();
        return most.then(|| Command::RecordActive {
            revision: record.revision(),
            proxies: behind,
        });
    };
    let revision = middle.revision;
    if may_abort(record) {
        if let Some(why) = abort_reason(record, leases, now, now.saturating_sub(begun), limits) {
            return Some(Command::Abort {
                revision,
                reason: why,
            });
        }
    }
    if !leases.blockers(now, record).is_empty() {
        return None;
    }
    if !behind.is_empty() {
        return Some(Command::RecordActive {
            revision,
            proxies: behind,
        });
    }
    prepared_step(record, middle)
}

/// What follows when no proxy of the region can act under an older mode.
fn prepared_step(record: &Record, middle: Mode) -> Option<Command> {
    let revision = middle.revision;
    match record.cross_region().map(|cross| &cross.role) {
        None => Some(Command::Advance { revision }),
        Some(Role::Coordinator {
            participants,
            prepared,
        }) => (participants == prepared).then_some(Command::Advance { revision }),
        Some(Role::Participant { voted: false }) => Some(Command::Vote { revision }),
        Some(Role::Participant { voted: true }) => None,
    }
}

/// A participant that has voted has given that right away.
fn may_abort(record: &Record) -> bool {
    !matches!(
        record.cross_region(),
        Some(CrossRegionChange {
            role: Role::Participant { voted: true },
            ..
        })
    )
}

/// Why the change has to be given up, if it has.
fn abort_reason(
    record: &Record,
    leases: &Leases,
    now: Micros,
    elapsed: Micros,
    limits: ChangeTimeouts,
) -> Option<String> {
    if let Some((identity, why)) = leases.rejected_generation(record.transition()?) {
        return Some(format!("{identity} can't read it: {why}"));
    }
    let missing = missing_votes(record);
    if elapsed > limits.regions && !missing.is_empty() {
        return Some(format!(
            "not in force in time; no vote of {}",
            listed(&missing)
        ));
    }
    let blockers = leases.blockers(now, record);
    if elapsed > limits.proxies && !blockers.is_empty() {
        let named = |b: &Blocker| {
            b.identity
                .as_ref()
                .map_or("any".to_owned(), ToString::to_string)
        };
        let names: Vec<String> = blockers.iter().map(named).collect();
        return Some(format!(
            "not in force in time; held up by {}",
            names.join(", ")
        ));
    }
    None
}

/// The regions whose votes a coordinator waits for.
fn missing_votes(record: &Record) -> BTreeSet<Region> {
    match record.cross_region() {
        Some(
            cross @ CrossRegionChange {
                role: Role::Coordinator { .. },
                ..
            },
        ) => cross.awaited_regions(),
        _ => BTreeSet::new(),
    }
}
