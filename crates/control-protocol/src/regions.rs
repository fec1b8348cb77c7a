//! Between the messages of two regions as they travel and as the decisions know them.

use crate::wire::{self, outcome_reply, request, vote_reply};
use badgerramp_policy::regions::{
    ChangeId, ChangeRef, Commit, Decision, OutcomeAsked, OutcomeReply, Prepare, Region, Request,
    Vote, VoteReply,
};
use badgerramp_policy::Generation;

impl From<ChangeRef> for wire::ChangeRef {
    fn from(own: ChangeRef) -> Self {
        wire::ChangeRef {
            id: own.id.0,
            coordinator: own.coordinator.into(),
            generation: own.number.0,
        }
    }
}

impl wire::ChangeRef {
    /// What the decisions take; `None` if it names no region.
    pub fn read(&self) -> Option<ChangeRef> {
        Some(ChangeRef {
            id: ChangeId(self.id),
            coordinator: self.coordinator.parse().ok()?,
            number: Generation(self.generation),
        })
    }
}

/// A coordinator's message to this participant.
pub fn to_participant(region: &Region, request: Request) -> request::Kind {
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

/// A participant's question to this coordinator.
pub fn to_coordinator(coordinator: &Region, asked: OutcomeAsked) -> request::Kind {
    request::Kind::Outcome(wire::OutcomeRequest {
        id: asked.id.0,
        region: asked.region.into(),
        coordinator: coordinator.to_string(),
    })
}

impl wire::Prepare {
    /// What the decisions take; `None` if it names no change.
    pub fn read(self) -> Option<Prepare> {
        Some(Prepare {
            change: self.change?.read()?,
            text: self.policy,
        })
    }
}

impl wire::Commit {
    /// What the decisions take; `None` if it names no change.
    pub fn read(self) -> Option<Commit> {
        Some(Commit {
            change: self.change?.read()?,
        })
    }
}

impl wire::OutcomeRequest {
    /// What the decisions take; `None` if it names no region.
    pub fn read(self) -> Option<OutcomeAsked> {
        Some(OutcomeAsked {
            id: ChangeId(self.id),
            region: self.region.parse().ok()?,
        })
    }
}

impl From<VoteReply> for wire::VoteReply {
    fn from(own: VoteReply) -> Self {
        use vote_reply::Vote as On;
        let (vote, reason) = match own.vote {
            Vote::Preparing => (On::Preparing, String::new()),
            Vote::Prepared => (On::Prepared, String::new()),
            Vote::Refused { why } => (On::Rejected, why),
            Vote::InForce => (On::InForce, String::new()),
            Vote::NotInForce => (On::NotInForce, String::new()),
        };
        wire::VoteReply {
            id: own.id.0,
            vote: vote.into(),
            reason,
        }
    }
}

impl wire::VoteReply {
    /// What the decisions take; `None` if it holds no vote that this version knows.
    pub fn read(self) -> Option<VoteReply> {
        use vote_reply::Vote as On;
        let vote = match self.vote() {
            On::Unspecified => return None,
            On::Preparing => Vote::Preparing,
            On::Prepared => Vote::Prepared,
            On::Rejected => Vote::Refused { why: self.reason },
            On::InForce => Vote::InForce,
            On::NotInForce => Vote::NotInForce,
        };
        Some(VoteReply {
            id: ChangeId(self.id),
            vote,
        })
    }
}

impl From<OutcomeReply> for wire::OutcomeReply {
    fn from(own: OutcomeReply) -> Self {
        use outcome_reply::Decision as On;
        let decision = match own.decision {
            Decision::Open => On::Open,
            Decision::InForce => On::InForce,
            Decision::NotInForce => On::NotInForce,
        };
        wire::OutcomeReply {
            id: own.id.0,
            decision: decision.into(),
        }
    }
}

impl wire::OutcomeReply {
    /// What the decisions take; `None` if it holds no decision that this version knows.
    pub fn read(self) -> Option<OutcomeReply> {
        use outcome_reply::Decision as On;
        let decision = match self.decision() {
            On::Unspecified => return None,
            On::Open => Decision::Open,
            On::InForce => Decision::InForce,
            On::NotInForce => Decision::NotInForce,
        };
        Some(OutcomeReply {
            id: ChangeId(self.id),
            decision,
        })
    }
}
