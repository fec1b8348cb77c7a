//! The messages between a coordinator and its participants.

use super::{ChangeId, ChangeRef, Decision, Region};
use serde::{Deserialize, Serialize};

/// From the coordinator to a participant: take part in this change, and tell whether you are prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prepare {
    /// The change.
    pub change: ChangeRef,
    /// The policy, as it stands in the coordinator's record.
    pub text: String,
}

/// From the coordinator to a participant: this change is in force; tell when it is so with you.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Commit {
    /// The change.
    pub change: ChangeRef,
}

/// What a coordinator sends to a participant. The answer to either is a [`VoteReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// See [`Prepare`].
    Prepare(Prepare),
    /// See [`Commit`].
    Commit(Commit),
}

/// How a change of all regions stands in a participant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// It is under way, and proxies may still act under an older mode.
    Preparing,
    /// It is prepared, and waits for the decision.
    Prepared,
    /// It was not taken in.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The commit is in its log. This acknowledges it.
    #[serde(rename = "InForce")]
    Committed,
    /// It has ended here as not in force.
    #[serde(rename = "NotInForce")]
    Aborted,
}

/// From a participant to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// The change.
    pub id: ChangeId,
    /// How it stands.
    pub vote: Vote,
}

/// From a participant to the coordinator: how did this change end? The answer is an [`OutcomeReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The change.
    pub id: ChangeId,
    /// The region that asks.
    pub region: Region,
}

/// From the coordinator to a participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeReply {
    /// The change.
    pub id: ChangeId,
    /// What is decided.
    pub decision: Decision,
}
