//! Selects the next command that the leader of a region logs for the pending change.

use crate::regions::{region_list, CrossRegionChange, Region, Role};
use crate::{Blocker, Command, Leases, Micros, Mode, Record};
use std::collections::BTreeSet;

/// How long a change may wait before its leader aborts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeTimeouts {
    /// Longest wait for the proxies of the leader's own region.
    pub proxies: Micros,
    /// Longest time that a coordinator waits for the votes of the other regions.
    pub regions: Micros,
}

/// Returns the command that the leader has to log next, or `None` if there is nothing to do yet.
///
/// `revision_seen_at` is the time at which this leader first saw the current revision. The remaining steps of a
/// cross-region change are triggered by messages: see [`crate::regions`].
pub fn next_command(
    record: &Record,
    leases: &Leases,
    now: Micros,
    revision_seen_at: Micros,
    timeouts: ChangeTimeouts,
) -> Option<Command> {
    let Some(transition) = record.transition() else {
        return record_active_majority(record, leases);
    };
    let elapsed = now.saturating_sub(revision_seen_at);
    if let Some(reason) = abort_reason(record, leases, now, elapsed, timeouts) {
        return Some(Command::Abort {
            revision: transition.revision,
            reason,
        });
    }
    if !leases.blockers(now, record).is_empty() {
        return None;
    }
    let caught_up = leases.caught_up_proxies(record);
    if !caught_up.is_empty() {
        return Some(Command::RecordActive {
            revision: transition.revision,
            proxies: caught_up,
        });
    }
    finish_transition(record, transition)
}

/// Outside of a transition, confirmations are logged once for a majority of the leaseless proxies instead of separately
/// for each of them.
fn record_active_majority(record: &Record, leases: &Leases) -> Option<Command> {
    let caught_up = leases.caught_up_proxies(record);
    let is_majority = caught_up.len() * 2 > record.leaseless_proxies().len();
    is_majority.then(|| Command::RecordActive {
        revision: record.revision(),
        proxies: caught_up,
    })
}

/// Returns the next command once no proxy of the region can serve under an older mode.
fn finish_transition(record: &Record, transition: Mode) -> Option<Command> {
    let revision = transition.revision;
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

/// Returns why the pending change has to be aborted; `None` if it does not have to be.
fn abort_reason(
    record: &Record,
    leases: &Leases,
    now: Micros,
    elapsed: Micros,
    timeouts: ChangeTimeouts,
) -> Option<String> {
    // A participant that has voted can no longer abort on its own.
    if record
        .cross_region()
        .is_some_and(CrossRegionChange::has_voted)
    {
        return None;
    }
    if let Some((identity, reason)) = leases.rejected_generation(record.transition()?) {
        return Some(format!("proxy {identity} cannot load the policy: {reason}"));
    }
    let missing_votes = missing_votes(record);
    if elapsed > timeouts.regions && !missing_votes.is_empty() {
        let regions = region_list(&missing_votes);
        return Some(format!("timed out without the vote of {regions}"));
    }
    let blockers = leases.blockers(now, record);
    if elapsed > timeouts.proxies && !blockers.is_empty() {
        let proxies = proxy_list(&blockers);
        return Some(format!("timed out waiting for proxies: {proxies}"));
    }
    None
}

/// Returns the regions whose votes a coordinator waits for; empty in a region that does not coordinate the change.
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

/// Formats the names of blocking proxies, for operators.
fn proxy_list(blockers: &[Blocker]) -> String {
    let name = |blocker: &Blocker| match &blocker.identity {
        Some(identity) => identity.to_string(),
        None => "any".to_owned(),
    };
    let names: Vec<String> = blockers.iter().map(name).collect();
    names.join(", ")
}
