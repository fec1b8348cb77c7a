//! Conversions between the cross-region messages of the schema and those of [`badgerramp_policy::regions`].

use crate::wire::{self, outcome_reply, request, vote_reply};
use crate::InvalidMessage;
use badgerramp_policy::regions::{
    ChangeId, ChangeRef, Commit, Decision, OutcomeReply, OutcomeRequest, Prepare, Region, Request,
    Vote, VoteReply,
};
use badgerramp_policy::Generation;

impl From<ChangeRef> for wire::ChangeRef {
    fn from(value: ChangeRef) -> Self {
        wire::ChangeRef {
            id: value.id.0,
            coordinator: value.coordinator.into(),
            generation: value.generation.0,
        }
    }
}

impl TryFrom<wire::ChangeRef> for ChangeRef {
    type Error = InvalidMessage;

    fn try_from(message: wire::ChangeRef) -> Result<Self, InvalidMessage> {
        Ok(ChangeRef {
            id: ChangeId(message.id),
            coordinator: message.coordinator.parse()?,
            generation: Generation(message.generation),
        })
    }
}

fn required_change(change: Option<wire::ChangeRef>) -> Result<ChangeRef, InvalidMessage> {
    change.ok_or(InvalidMessage::Missing("change"))?.try_into()
}

/// Returns the request message for a coordinator's request to this participant.
pub fn participant_request(region: &Region, request: Request) -> request::Kind {
    let region = region.to_string();
    match request {
        Request::Prepare(Prepare { change, text }) => request::Kind::Prepare(wire::Prepare {
            change: Some(change.into()),
            region,
            policy: text,
        }),
        Request::Commit(Commit { change }) => request::Kind::Commit(wire::Commit {
            change: Some(change.into()),
            region,
        }),
    }
}

/// Returns the request message for a participant's outcome request to this coordinator.
pub fn coordinator_request(coordinator: &Region, request: OutcomeRequest) -> request::Kind {
    request::Kind::Outcome(wire::OutcomeRequest {
        id: request.id.0,
        region: request.region.into(),
        coordinator: coordinator.to_string(),
    })
}

impl TryFrom<wire::Prepare> for Prepare {
    type Error = InvalidMessage;

    fn try_from(message: wire::Prepare) -> Result<Self, InvalidMessage> {
        Ok(Prepare {
            change: required_change(message.change)?,
            text: message.policy,
        })
    }
}

impl TryFrom<wire::Commit> for Commit {
    type Error = InvalidMessage;

    fn try_from(message: wire::Commit) -> Result<Self, InvalidMessage> {
        Ok(Commit {
            change: required_change(message.change)?,
        })
    }
}

impl TryFrom<wire::OutcomeRequest> for OutcomeRequest {
    type Error = InvalidMessage;

    fn try_from(message: wire::OutcomeRequest) -> Result<Self, InvalidMessage> {
        Ok(OutcomeRequest {
            id: ChangeId(message.id),
            region: message.region.parse()?,
        })
    }
}

impl From<VoteReply> for wire::VoteReply {
    fn from(value: VoteReply) -> Self {
        let (vote, reason) = match value.vote {
            Vote::Preparing => (vote_reply::Vote::Preparing, String::new()),
            Vote::Prepared => (vote_reply::Vote::Prepared, String::new()),
            Vote::Rejected { reason } => (vote_reply::Vote::Rejected, reason),
            Vote::Committed => (vote_reply::Vote::Committed, String::new()),
            Vote::Aborted => (vote_reply::Vote::Aborted, String::new()),
        };
        wire::VoteReply {
            id: value.id.0,
            vote: vote.into(),
            reason,
        }
    }
}

impl TryFrom<wire::VoteReply> for VoteReply {
    type Error = InvalidMessage;

    fn try_from(message: wire::VoteReply) -> Result<Self, InvalidMessage> {
        let vote = match message.vote() {
            vote_reply::Vote::Unspecified => return Err(InvalidMessage::UnknownValue("vote")),
            vote_reply::Vote::Preparing => Vote::Preparing,
            vote_reply::Vote::Prepared => Vote::Prepared,
            vote_reply::Vote::Rejected => Vote::Rejected {
                reason: message.reason,
            },
            vote_reply::Vote::Committed => Vote::Committed,
            vote_reply::Vote::Aborted => Vote::Aborted,
        };
        Ok(VoteReply {
            id: ChangeId(message.id),
            vote,
        })
    }
}

impl From<OutcomeReply> for wire::OutcomeReply {
    fn from(value: OutcomeReply) -> Self {
        let decision = match value.decision {
            Decision::Pending => outcome_reply::Decision::Pending,
            Decision::Committed => outcome_reply::Decision::Committed,
            Decision::Aborted => outcome_reply::Decision::Aborted,
        };
        wire::OutcomeReply {
            id: value.id.0,
            decision: decision.into(),
        }
    }
}

impl TryFrom<wire::OutcomeReply> for OutcomeReply {
    type Error = InvalidMessage;

    fn try_from(message: wire::OutcomeReply) -> Result<Self, InvalidMessage> {
        let decision = match message.decision() {
            outcome_reply::Decision::Unspecified => {
                return Err(InvalidMessage::UnknownValue("decision"))
            }
            outcome_reply::Decision::Pending => Decision::Pending,
            outcome_reply::Decision::Committed => Decision::Committed,
            outcome_reply::Decision::Aborted => Decision::Aborted,
        };
        Ok(OutcomeReply {
            id: ChangeId(message.id),
            decision,
        })
    }
}
