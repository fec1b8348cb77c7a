//! Commands of a region's replicated log, and their outcomes.

use crate::regions::{region_list, AllRegions, ChangeId, ChangeRef, Region};
use crate::{Generation, Identity, OnLeaseLoss};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// A command in the replicated log. A command that names a revision is rejected at any other revision.
///
/// Commands are stored: a renamed variant or field must keep its serialized name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a policy, which starts the transition to it.
    Publish {
        /// Revision at which the policy was validated.
        revision: u64,
        /// Text of the policy.
        text: String,
        /// Generations against whose fallback policies the policy was validated.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
        /// Set for a cross-region change. `None` means that the change applies to this region only.
        #[serde(default)]
        all_regions: Option<AllRegions>,
    },
    /// Starts the transition of a cross-region change in a participant.
    Prepare {
        /// Revision at which the policy was validated.
        revision: u64,
        /// The cross-region change.
        change: ChangeRef,
        /// Text of the policy.
        text: String,
        /// Generations against whose fallback policies the policy was validated.
        #[serde(rename = "floors")]
        fallback_generations: BTreeSet<Generation>,
    },
    /// Records that a participant is prepared: no proxy of its region can serve under a mode older than this transition.
    Vote {
        /// Revision of the transition.
        revision: u64,
    },
    /// Records that the coordinator has received a participant's vote.
    Prepared {
        /// Revision of the coordinator's transition.
        revision: u64,
        /// The participant that has voted.
        region: Region,
    },
    /// Ends the transition with the new generation in force. For a cross-region change, this command is the commit.
    Advance {
        /// Revision of the transition.
        revision: u64,
    },
    /// Ends the transition with the old generation in force.
    Abort {
        /// Revision of the transition.
        revision: u64,
        /// Why the change is aborted, as shown to operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Records that a participant has learned from the coordinator that the change is committed.
    Committed {
        /// Identifier of the change.
        id: ChangeId,
    },
    /// Records that a participant has learned from the coordinator that the change is aborted.
    Aborted {
        /// Identifier of the change.
        id: ChangeId,
    },
    /// Records that the coordinator has received a participant's acknowledgement of the commit.
    Acknowledged {
        /// Identifier of the change.
        id: ChangeId,
        /// The participant that has acknowledged the commit.
        region: Region,
    },
    /// Registers a proxy that may serve without a lease.
    Register {
        /// Identity of the proxy process.
        identity: Identity,
        /// What the proxy does when its lease has expired.
        #[serde(rename = "cut_off")]
        on_lease_loss: OnLeaseLoss,
    },
    /// Records that registered proxies serve under this revision and no older one.
    #[serde(rename = "Acting")]
    RecordActive {
        /// The revision that the proxies have confirmed.
        revision: u64,
        /// The proxies that have confirmed it.
        proxies: BTreeSet<Identity>,
    },
    /// Records that a proxy process has shut down.
    #[serde(rename = "Retire")]
    Unregister {
        /// Identity of the proxy process.
        identity: Identity,
    },
    /// Records an operator's assertion that a proxy process no longer runs.
    Evict {
        /// Identity of the proxy process.
        identity: Identity,
    },
}

/// Why a command was rejected. A rejected command has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// A change of this region is pending.
    #[error("the change to {0} is pending")]
    #[serde(rename = "UnderWay")]
    ChangePending(Generation),
    /// A cross-region change is pending, or it is committed and some regions have not acknowledged the commit.
    #[error("the change of all regions {id} ({generation} in this region) has not ended: it waits for {}", awaited(.awaited_regions))]
    #[serde(rename = "AcrossRegions")]
    CrossRegionPending {
        /// Generation of the change in this region.
        generation: Generation,
        /// Identifier of the change in all regions.
        id: ChangeId,
        /// Regions whose vote, decision or acknowledgement is missing. Empty if only this region is not prepared yet.
        #[serde(rename = "waits_for")]
        awaited_regions: BTreeSet<Region>,
    },
    /// A cross-region change cannot be committed because some regions have not voted.
    #[error("the change cannot be committed before the vote of {}", region_list(.regions))]
    NotPrepared {
        /// Regions that have not voted.
        regions: BTreeSet<Region>,
    },
    /// This region has voted, so only the coordinator can end the change.
    #[error("this region has voted for a change of all regions: only the coordinating region {coordinator} can end it")]
    AwaitsDecision {
        /// Region that coordinates the change.
        coordinator: Region,
    },
    /// Another command was applied first: the revision or the fallback policies differ from those that were checked.
    #[error("the policy state changed in the meantime: read the status again and retry")]
    #[serde(rename = "Moved")]
    Conflict,
    /// The proxy process was evicted.
    #[error("this proxy process was evicted: restart the proxy")]
    Evicted,
}

/// Formats what a pending cross-region change waits for, for operators.
fn awaited(regions: &BTreeSet<Region>) -> String {
    if regions.is_empty() {
        "proxies of this region".to_owned()
    } else {
        region_list(regions)
    }
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command started a change to this generation.
    #[serde(rename = "Begun")]
    Started(Generation),
    /// The command was applied.
    #[serde(rename = "Done")]
    Applied,
    /// The command was rejected.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}
