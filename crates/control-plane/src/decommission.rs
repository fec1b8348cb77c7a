//! Decommissioned regions. By removing a region from the settings of the replicas, an operator asserts that none of its
//! proxies is running any more, so no change has to wait for that region.

use badgerramp_policy::regions::{CrossRegionChange, Region, Role};
use badgerramp_policy::{Command, Record};
use std::collections::BTreeSet;

/// Returns a decommissioned region that has not acknowledged the commit, and the command that replaces its
/// acknowledgement. `others` are the other regions in the settings.
pub(crate) fn acknowledgement(
    record: &Record,
    others: &BTreeSet<Region>,
) -> Option<(Region, Command)> {
    let commit = record.unacknowledged_commit()?;
    let region = commit.regions.difference(others).next()?;
    let command = Command::Acknowledged {
        id: commit.change.id,
        region: region.clone(),
    };
    Some((region.clone(), command))
}

/// Returns the command that aborts the pending change, if a decommissioned region coordinates it.
pub(crate) fn abort(record: &Record, others: &BTreeSet<Region>) -> Option<Command> {
    let CrossRegionChange {
        change,
        role: Role::Participant { .. },
    } = record.cross_region()?
    else {
        return None;
    };
    (!others.contains(&change.coordinator)).then_some(Command::Aborted { id: change.id })
}
