//! A cross-region change and the role of a region in it.

use super::Region;
use crate::Generation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Identifies a change of all regions: a random number, drawn where it is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Which regions a change is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The region where it is published.
    #[default]
    Region,
    /// All regions: in force in each of them, or in none.
    All,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Scope::Region => "region",
            Scope::All => "all",
        })
    }
}

/// Names a change of all regions in messages and in records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeRef {
    /// Its identifier.
    pub id: ChangeId,
    /// The region that coordinates it.
    pub coordinator: Region,
    /// Its generation in the coordinator's record. It grows from one change of all regions to the next.
    #[serde(rename = "number")]
    pub generation: Generation,
}

/// What a publish of all regions says beside the policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllRegions {
    /// Identifies the change.
    pub id: ChangeId,
    /// The region that coordinates it: the one whose record takes the command.
    pub coordinator: Region,
    /// The other regions.
    pub participants: BTreeSet<Region>,
}

/// The part of a region in a change of all regions that is under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It decides.
    Coordinator {
        /// The other regions.
        participants: BTreeSet<Region>,
        /// Those of them that have voted.
        prepared: BTreeSet<Region>,
    },
    /// It follows the coordinator's decision.
    Participant {
        /// It has voted that it is prepared, and may not end the change by itself any more.
        voted: bool,
    },
}

/// A change of all regions that is under way in a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrossRegionChange {
    /// The change.
    pub change: ChangeRef,
    /// This region's part in it.
    pub role: Role,
}

impl CrossRegionChange {
    /// The regions whose word this region waits for.
    pub fn awaited_regions(&self) -> BTreeSet<Region> {
        match &self.role {
            Role::Coordinator {
                participants,
                prepared,
            } => participants.difference(prepared).cloned().collect(),
            Role::Participant { .. } => BTreeSet::from([self.change.coordinator.clone()]),
        }
    }
}

/// A change of all regions that is in force here, and of which the coordinator does not know yet whether all participants
/// have taken it in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnacknowledgedCommit {
    /// The change.
    pub change: ChangeRef,
    /// The participants that have not acknowledged it; never empty.
    pub regions: BTreeSet<Region>,
}

/// The last change of all regions in which a region took part under one coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Participation {
    /// The change.
    pub change: ChangeRef,
    /// How it stands here.
    pub decision: Decision,
}

/// What the coordinator has decided about a change of all regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// Nothing yet.
    #[serde(rename = "Open")]
    Pending,
    /// It is in force in all regions.
    #[serde(rename = "InForce")]
    Committed,
    /// It never was in force in any region, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted,
}
