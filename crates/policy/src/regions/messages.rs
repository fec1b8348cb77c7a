//! The messages between a coordinator and its participants.

use super::{ChangeId, ChangeRef, Decision, Region};
use serde::{Deserialize, Serialize};

/// First phase, from the coordinator: start the transition and report whether it is prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prepare {
    /// The change.
    pub change: ChangeRef,
    /// The text of the policy, as in the coordinator's record.
    pub text: String,
}

/// Second phase, from the coordinator: the change is committed; log it and acknowledge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Commit {
    /// The change.
    pub change: ChangeRef,
}

/// A coordinator's request to a participant. The reply to either is a [`VoteReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// First phase.
    Prepare(Prepare),
    /// Second phase.
    Commit(Commit),
}

/// The state of a cross-region change at a participant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// In transition; proxies may still serve under an older mode.
    Preparing,
    /// Prepared: the participant waits for the decision.
    Prepared,
    /// The participant does not take part.
    #[serde(rename = "Refused")]
    Rejected {
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The commit is logged. This acknowledges it.
    #[serde(rename = "InForce")]
    Committed,
    /// The participant has aborted the change.
    #[serde(rename = "NotInForce")]
    Aborted,
}

/// A participant's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// The change.
    pub id: ChangeId,
    /// Its state at the participant.
    pub vote: Vote,
}

/// A participant asks the coordinator for its decision. The reply is an [`OutcomeReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The change.
    pub id: ChangeId,
    /// The participant.
    pub region: Region,
}

/// The coordinator's reply to an [`OutcomeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeReply {
    /// The change.
    pub id: ChangeId,
    /// The decision.
    pub decision: Decision,
}
