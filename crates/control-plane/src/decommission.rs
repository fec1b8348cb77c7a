//! Regions that were taken out of the replicas' settings. By that an operator states that none of their proxies runs any
//! more, so nobody waits for such a region.

use badgerramp_policy::regions::{CrossRegionChange, Region, Role};
use badgerramp_policy::{Command, Record};
use std::collections::BTreeSet;

/// A decommissioned region and the command that stands for the acknowledgement that it can't give. `others` are the
/// other regions of the settings.
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

/// The command that ends a change which only a decommissioned region could decide.
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
