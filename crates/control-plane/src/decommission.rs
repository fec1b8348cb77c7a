//! Regions that were taken out of the replicas' files. With that an operator vouches that none of their proxies runs any
//! more: nobody waits for the word of such a region.

use badgerramp_policy::regions::{CrossRegionChange, Region, Role};
use badgerramp_policy::{Command, Record};
use std::collections::BTreeSet;

/// Stands for the acknowledgement that a removed region can't give. `others` are the other regions that there are.
pub(crate) fn acknowledgement(record: &Record, others: &BTreeSet<Region>) -> Option<Command> {
    let commit = record.unacknowledged_commit()?;
    let removed = commit.regions.difference(others).next()?;
    Some(Command::Acknowledged {
        id: commit.change.id,
        region: removed.clone(),
    })
}

/// Ends a change that only a removed region could decide.
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
