//! The commands that the replicas of a region agree on, and what becomes of them.

use crate::regions::{listed, AllRegions, ChangeId, ChangeRef, Region};
use crate::{Generation, Identity, OnLeaseLoss};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// One entry of the replicated log. A command that names a revision is refused at any other revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A policy is to come into force.
    Publish {
        /// The revision that it was checked against.
        revision: u64,
        /// Its text.
        text: String,
        /// The generations whose floors it was checked against.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
        /// For a change of all regions; without it the change is of this region.
        #[serde(default)]
        all_regions: Option<AllRegions>,
    },
    /// A participant takes part in a change of all regions.
    Prepare {
        /// The revision that it was checked against.
        revision: u64,
        /// The change.
        change: ChangeRef,
        /// The text of the policy.
        text: String,
        /// The generations whose floors it was checked against.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
    },
    /// No proxy of this participant's region can act under a mode older than this middle.
    Vote {
        /// The middle.
        revision: u64,
    },
    /// The coordinator has a participant's vote.
    Prepared {
        /// The coordinator's middle.
        revision: u64,
        /// The participant.
        region: Region,
    },
    /// The middle is left for the new generation. Of a change of all regions this is the coordinator's commit.
    Advance {
        /// The middle.
        revision: u64,
    },
    /// The middle is left for the old generation.
    Abort {
        /// The middle.
        revision: u64,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A participant has heard from the coordinator that the change is in force.
    Committed {
        /// The change.
        id: ChangeId,
    },
    /// A participant has heard from the coordinator that the change is not in force.
    Aborted {
        /// The change.
        id: ChangeId,
    },
    /// The coordinator has heard from a participant that it has logged the commit.
    Acknowledged {
        /// The change.
        id: ChangeId,
        /// The participant.
        region: Region,
    },
    /// A proxy that may act without a lease begins.
    Register {
        /// Which.
        identity: Identity,
        /// What it does then.
        #[serde(rename = "cut_off")]
        on_lease_loss: OnLeaseLoss,
    },
    /// Such proxies act under this revision and none older.
    #[serde(rename = "Acting")]
    RecordActive {
        /// The revision.
        revision: u64,
        /// Which.
        proxies: BTreeSet<Identity>,
    },
    /// A proxy has ended by itself.
    #[serde(rename = "Retire")]
    Unregister {
        /// Which.
        identity: Identity,
    },
    /// An operator vouches that a proxy does not run any more.
    Evict {
        /// Which.
        identity: Identity,
    },
}

/// Why a command had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// A change of this region is under way.
    #[serde(rename = "UnderWay")]
    ChangePending(Generation),
    /// A change of all regions is under way here, or is in force and not acknowledged by all regions.
    #[serde(rename = "AcrossRegions")]
    CrossRegionPending {
        /// Its generation in this region.
        generation: Generation,
        /// Its identifier.
        id: ChangeId,
        /// The regions whose word is missing. Empty: this region itself is not prepared yet.
        #[serde(rename = "waits_for")]
        awaited_regions: BTreeSet<Region>,
    },
    /// A change of all regions can't be in force yet: these regions are not prepared.
    NotPrepared {
        /// The regions.
        regions: BTreeSet<Region>,
    },
    /// Only the coordinator of the change can end it now.
    AwaitsDecision {
        /// The coordinator.
        coordinator: Region,
    },
    /// Something else happened in between.
    #[serde(rename = "Moved")]
    Conflict,
    /// This start of the proxy was evicted.
    Evicted,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::ChangePending(generation) => write!(f, "the change to {generation} is under way"),
            Rejection::CrossRegionPending { generation, id, awaited_regions: waits_for } => {
                write!(f, "the change of all regions {id}, here {generation}, is not at its end: ")?;
                if waits_for.is_empty() { f.write_str("it waits for proxies of this region") } else { write!(f, "it waits for {}", listed(waits_for)) }
            }
            Rejection::NotPrepared { regions } => write!(f, "no vote yet of {}", listed(regions)),
            Rejection::AwaitsDecision { coordinator } => write!(
                f,
                "this region has voted for a change of all regions: region {coordinator} decides how it ends"
            ),
            Rejection::Conflict => f.write_str("something else came in between: look again"),
            Rejection::Evicted => f.write_str("this start of the proxy was evicted: start it anew"),
        }
    }
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The change has this number.
    #[serde(rename = "Begun")]
    Started(Generation),
    /// Done.
    #[serde(rename = "Done")]
    Applied,
    /// It had no effect.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}
