//! Messages between a coordinator and its participants.

use super::{ChangeId, ChangeRef, Decision, Region};
use serde::{Deserialize, Serialize};

/// First phase, sent by the coordinator: start the transition and report whether the region is prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prepare {
    /// Identifies the change.
    pub change: ChangeRef,
    /// Text of the policy, as in the coordinator's record.
    pub text: String,
}

/// Second phase, sent by the coordinator: the change is committed; log the commit and acknowledge it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Commit {
    /// Identifies the change.
    pub change: ChangeRef,
}

/// A coordinator's request to a participant. The reply to each kind is a [`VoteReply`].
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
    /// The transition is in progress and proxies may still serve under an older mode.
    Preparing,
    /// The participant is prepared and waits for the decision.
    Prepared,
    /// The participant rejects the change.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why the change is rejected, as shown to operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The participant has logged the commit, which this vote acknowledges.
    #[serde(rename = "InForce")]
    Committed,
    /// The participant has aborted the change.
    #[serde(rename = "NotInForce")]
    Aborted,
}

/// A participant's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// Identifier of the change.
    pub id: ChangeId,
    /// State of the change at the participant.
    pub vote: Vote,
}

/// A participant's request for the coordinator's decision. The reply is an [`OutcomeReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// Identifier of the change.
    pub id: ChangeId,
    /// The participant that sends the request.
    pub region: Region,
}

/// The coordinator's reply to an [`OutcomeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeReply {
    /// Identifier of the change.
    pub id: ChangeId,
    /// The coordinator's decision.
    pub decision: Decision,
}
