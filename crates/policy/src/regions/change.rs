//! Cross-region changes and the role of a region in them.

use super::Region;
use crate::Generation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Identifier of a cross-region change: a random number drawn by the replica that publishes the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The regions that a change applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Only the region in which the change is published.
    #[default]
    Region,
    /// All regions: the change comes into force in each of them, or in none.
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
    /// Identifier of the change.
    pub id: ChangeId,
    /// Region that coordinates the change.
    pub coordinator: Region,
    /// Generation of the change in the coordinator's record. It increases from one cross-region change to the next.
    #[serde(rename = "number")]
    pub generation: Generation,
}

/// The part of a publish command that is specific to a cross-region change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllRegions {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Region that coordinates the change. The command is in the log of this region.
    pub coordinator: Region,
    /// All other regions.
    pub participants: BTreeSet<Region>,
}

/// The role of a region in a cross-region change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// The region decides whether the change is committed.
    Coordinator {
        /// All other regions.
        participants: BTreeSet<Region>,
        /// Participants that have voted that they are prepared.
        prepared: BTreeSet<Region>,
    },
    /// The region follows the decision of the coordinator.
    Participant {
        /// Whether the region has voted that it is prepared. After that only the coordinator can end the change.
        voted: bool,
    },
}

/// A cross-region change whose transition is in progress.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrossRegionChange {
    /// Identifies the change.
    pub change: ChangeRef,
    /// Role of this region in the change.
    pub role: Role,
}

impl CrossRegionChange {
    /// Returns whether this region is a participant that has voted, so that only the coordinator can end the change.
    pub fn has_voted(&self) -> bool {
        self.role == Role::Participant { voted: true }
    }

    /// Returns the regions whose votes (in the coordinator) or decision (in a participant) this region waits for.
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

/// A committed change, which the coordinator has to retain until every participant has acknowledged the commit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnacknowledgedCommit {
    /// Identifies the change.
    pub change: ChangeRef,
    /// Participants that have not acknowledged the commit; never empty.
    pub regions: BTreeSet<Region>,
}

/// The last cross-region change of a coordinator in which a region took part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Participation {
    /// Identifies the change.
    pub change: ChangeRef,
    /// Decision on the change, as far as this region knows it.
    pub decision: Decision,
}

/// The coordinator's decision on a cross-region change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// The coordinator has not decided yet.
    #[serde(rename = "Open")]
    Pending,
    /// The change is in force.
    #[serde(rename = "InForce")]
    Committed,
    /// The change was never in force in any region, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted,
}
