//! A cross-region change and the role of a region in it.

use super::Region;
use crate::Generation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Identifies a cross-region change: a random number, drawn by the replica that it is published at.
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
    /// The region that it is published in.
    #[default]
    Region,
    /// All regions: it comes into force in each of them, or in none.
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

/// Refers to a cross-region change in messages and records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeRef {
    /// The identifier.
    pub id: ChangeId,
    /// The region that coordinates it.
    pub coordinator: Region,
    /// The generation in the coordinator's record. It grows from one cross-region change to the next.
    #[serde(rename = "number")]
    pub generation: Generation,
}

/// The part of a publish command that is specific to a cross-region change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllRegions {
    /// Identifies the change.
    pub id: ChangeId,
    /// The coordinating region: the one whose log has the command.
    pub coordinator: Region,
    /// The other regions.
    pub participants: BTreeSet<Region>,
}

/// The role of a region in a cross-region change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It decides whether the change is committed.
    Coordinator {
        /// The other regions.
        participants: BTreeSet<Region>,
        /// The participants that have voted to be prepared.
        prepared: BTreeSet<Region>,
    },
    /// It follows the decision of the coordinator.
    Participant {
        /// Whether it has voted to be prepared. Then only the coordinator can end the change.
        voted: bool,
    },
}

/// A cross-region change in transition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrossRegionChange {
    /// The change.
    pub change: ChangeRef,
    /// The role of this region.
    pub role: Role,
}

impl CrossRegionChange {
    /// Whether this region is a participant that has voted: only the coordinator can end the change then.
    pub fn has_voted(&self) -> bool {
        self.role == Role::Participant { voted: true }
    }

    /// The regions that this region waits for: for their votes, or for the decision.
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

/// A committed change that the coordinator has to remember until every participant has acknowledged the commit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnacknowledgedCommit {
    /// The change.
    pub change: ChangeRef,
    /// The participants that have not acknowledged it; never empty.
    pub regions: BTreeSet<Region>,
}

/// The last cross-region change of one coordinator that a region took part in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Participation {
    /// The change.
    pub change: ChangeRef,
    /// The decision, as far as this region knows it.
    pub decision: Decision,
}

/// The coordinator's decision on a cross-region change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// Not decided yet.
    #[serde(rename = "Open")]
    Pending,
    /// The change is in force.
    #[serde(rename = "InForce")]
    Committed,
    /// The change never was in force in any region, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted,
}
