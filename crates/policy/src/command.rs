//! The commands of a region's replicated log and their outcomes.

use crate::regions::{region_list, AllRegions, ChangeId, ChangeRef, Region};
use crate::{Generation, Identity, OnLeaseLoss};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// One entry of the replicated log. A command that names a revision is rejected at any other revision.
///
/// The serialized names are stored data: they stay when a variant or field is renamed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a policy: starts the transition to it.
    Publish {
        /// The revision that the policy was validated at.
        revision: u64,
        /// The text of the policy.
        text: String,
        /// The generations whose fallback policies it was validated against.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
        /// Set for a cross-region change; without it the change is for this region alone.
        #[serde(default)]
        all_regions: Option<AllRegions>,
    },
    /// A participant starts the transition of a cross-region change.
    Prepare {
        /// The revision that the policy was validated at.
        revision: u64,
        /// The change.
        change: ChangeRef,
        /// The text of the policy.
        text: String,
        /// The generations whose fallback policies it was validated against.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
    },
    /// A participant is prepared: no proxy of its region can serve under a mode older than this transition.
    Vote {
        /// The revision of the transition.
        revision: u64,
    },
    /// The coordinator has received a participant's vote.
    Prepared {
        /// The revision of the coordinator's transition.
        revision: u64,
        /// The participant.
        region: Region,
    },
    /// Ends the transition with the new generation in force. For a cross-region change this is the commit.
    Advance {
        /// The revision of the transition.
        revision: u64,
    },
    /// Ends the transition with the old generation in force.
    Abort {
        /// The revision of the transition.
        revision: u64,
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A participant has learned from the coordinator that the change is committed.
    Committed {
        /// The change.
        id: ChangeId,
    },
    /// A participant has learned from the coordinator that the change is aborted.
    Aborted {
        /// The change.
        id: ChangeId,
    },
    /// The coordinator has received a participant's acknowledgement of the commit.
    Acknowledged {
        /// The change.
        id: ChangeId,
        /// The participant.
        region: Region,
    },
    /// Registers a proxy that may serve without a lease.
    Register {
        /// The proxy process.
        identity: Identity,
        /// What it does when its lease has expired.
        #[serde(rename = "cut_off")]
        on_lease_loss: OnLeaseLoss,
    },
    /// Records that registered proxies serve under this revision and none older.
    #[serde(rename = "Acting")]
    RecordActive {
        /// The revision.
        revision: u64,
        /// The proxies.
        proxies: BTreeSet<Identity>,
    },
    /// A proxy process has shut down.
    #[serde(rename = "Retire")]
    Unregister {
        /// The proxy process.
        identity: Identity,
    },
    /// An operator asserts that a proxy process no longer runs.
    Evict {
        /// The proxy process.
        identity: Identity,
    },
}

/// Why a command was rejected. It had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// A change of this region is pending.
    #[error("the change to {0} is under way")]
    #[serde(rename = "UnderWay")]
    ChangePending(Generation),
    /// A cross-region change is pending, or committed and not acknowledged by all regions.
    #[error("the change of all regions {id}, here {generation}, is not at its end: it waits for {}", awaited(.awaited_regions))]
    #[serde(rename = "AcrossRegions")]
    CrossRegionPending {
        /// Its generation in this region.
        generation: Generation,
        /// Its identifier among the regions.
        id: ChangeId,
        /// The regions whose vote, decision or acknowledgement is missing. Empty: this region is not prepared yet.
        #[serde(rename = "waits_for")]
        awaited_regions: BTreeSet<Region>,
    },
    /// A cross-region change cannot be committed yet: these regions have not voted.
    #[error("no vote yet of {}", region_list(.regions))]
    NotPrepared {
        /// The regions.
        regions: BTreeSet<Region>,
    },
    /// Only the coordinator of the change can end it now.
    #[error("this region has voted for a change of all regions: region {coordinator} decides how it ends")]
    AwaitsDecision {
        /// The coordinator.
        coordinator: Region,
    },
    /// Another command was applied in between: the revision or the fallback policies are no longer those checked.
    #[error("something else came in between: look again")]
    #[serde(rename = "Moved")]
    Conflict,
    /// The proxy process was evicted.
    #[error("this start of the proxy was evicted: start it anew")]
    Evicted,
}

/// What a pending cross-region change waits for, for operators.
fn awaited(regions: &BTreeSet<Region>) -> String {
    if regions.is_empty() {
        "proxies of this region".to_owned()
    } else {
        region_list(regions)
    }
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A change was started, with this generation.
    #[serde(rename = "Begun")]
    Started(Generation),
    /// The command was applied.
    #[serde(rename = "Done")]
    Applied,
    /// The command was rejected.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}
