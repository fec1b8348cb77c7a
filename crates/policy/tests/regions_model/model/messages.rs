//! Messages between regions: what each region sends, replies and logs.

use super::*;

impl RegionsModel {
    /// Returns the messages that a region sends, given its record.
    pub(super) fn messages_to_send(&self, region_state: &RegionState, from: usize) -> Vec<Message> {
        let requests = coordinator::requests(&region_state.record).into_iter();
        let requests = requests.map(|(to, request)| Message {
            from,
            to: index(&to),
            body: Body::Request(request),
        });
        let outcome_request =
            participant::outcome_request(&region_state.record, &self.regions(from));
        let outcome_request =
            outcome_request.filter(|_| !self.has_defect(Mutant::NeverAsksForOutcome));
        let outcome_request = outcome_request.map(|(to, request)| Message {
            from,
            to: index(&to),
            body: Body::OutcomeRequest(request),
        });
        requests.chain(outcome_request).collect()
    }

    /// Returns the command that a region logs on a message.
    pub(super) fn command_for(
        &self,
        region_state: &RegionState,
        message: &Message,
    ) -> Option<Command> {
        match &message.body {
            Body::Request(Request::Prepare(prepare)) => {
                match self.on_prepare(region_state, message.to, prepare) {
                    OnPrepare::Start { command, .. } => Some(command),
                    OnPrepare::Reply(_) => None,
                }
            }
            Body::Request(Request::Commit(commit)) => {
                match participant::on_commit(&region_state.record, commit) {
                    OnCommit::Log(command) => Some(command),
                    OnCommit::Reply(_) => None,
                }
            }
            Body::Vote(reply) => coordinator::on_vote(
                &region_state.record,
                &region(message.from),
                &self.vote(region_state, reply),
            ),
            Body::OutcomeRequest(_) => None,
            Body::Outcome(reply) => participant::on_outcome(&region_state.record, reply),
        }
    }

    /// Returns the reply of a region to a message, given its record.
    pub(super) fn reply_to(
        &self,
        region_state: &RegionState,
        message: &Message,
    ) -> Option<Message> {
        let body = match &message.body {
            Body::Request(Request::Prepare(prepare)) => {
                match self.on_prepare(region_state, message.to, prepare) {
                    OnPrepare::Start { .. } => return None,
                    OnPrepare::Reply(reply) => Body::Vote(reply),
                }
            }
            Body::Request(Request::Commit(commit)) => {
                match participant::on_commit(&region_state.record, commit) {
                    OnCommit::Log(_) if self.has_defect(Mutant::AcknowledgedBeforeLogged) => {
                        Body::Vote(VoteReply {
                            id: commit.change.id,
                            vote: Vote::Committed,
                        })
                    }
                    OnCommit::Log(_) => return None,
                    OnCommit::Reply(reply) => Body::Vote(reply),
                }
            }
            Body::OutcomeRequest(request) => Body::Outcome(self.outcome(region_state, request)),
            Body::Vote(_) | Body::Outcome(_) => return None,
        };
        let reply = Message {
            from: message.to,
            to: message.from,
            body,
        };
        Some(reply).filter(|reply| has_effect(&reply.body))
    }

    pub(super) fn deliver(&self, state: &mut State, message: &Message) {
        let region_state = &mut state.regions[message.to];
        let Some(command) = self.command_for(region_state, message) else {
            return;
        };
        let vote_is_unlogged = region_state.unlogged_vote.is_some()
            && region_state.unlogged_vote == region_state.pending_change();
        if matches!(command, Command::Committed { .. }) && vote_is_unlogged {
            region_state.record.apply(&Command::Vote {
                revision: region_state.record.revision(),
            });
        }
        self.log(region_state, command);
    }

    pub(super) fn on_prepare(
        &self,
        region_state: &RegionState,
        own: usize,
        prepare: &Prepare,
    ) -> OnPrepare {
        if self.has_defect(Mutant::LatePrepareRestartsChange) {
            if let Some(command) = restart_change(&region_state.record, prepare) {
                return OnPrepare::Start {
                    fallback_generations: region_state.record.fallback_generations(),
                    command,
                };
            }
        }
        if region_state.unlogged_vote == Some(prepare.change.id) {
            return OnPrepare::Reply(VoteReply {
                id: prepare.change.id,
                vote: Vote::Prepared,
            });
        }
        participant::on_prepare(&region_state.record, &self.regions(own), prepare)
    }

    pub(super) fn vote(&self, region_state: &RegionState, reply: &VoteReply) -> VoteReply {
        let mut reply = reply.clone();
        if self.has_defect(Mutant::StaleVoteCounts) && reply.vote == Vote::Prepared {
            reply.id = region_state.pending_change().unwrap_or(reply.id);
        }
        reply
    }

    pub(super) fn outcome(
        &self,
        region_state: &RegionState,
        request: &OutcomeRequest,
    ) -> OutcomeReply {
        let record = region_state
            .deposed
            .as_ref()
            .unwrap_or(&region_state.record);
        let mut reply = coordinator::outcome(record, request);
        if self.has_defect(Mutant::PresumedCommit) && reply.decision == Decision::Aborted {
            reply.decision = Decision::Committed;
        }
        if self.has_defect(Mutant::PendingReportedAborted) && reply.decision == Decision::Pending {
            reply.decision = Decision::Aborted;
        }
        let is_committed = |change: &badgerramp_policy::Change| {
            change.id == Some(request.id)
                && change.status == badgerramp_policy::ChangeStatus::Committed
        };
        if self.has_defect(Mutant::LatePrepareRestartsChange)
            && record.changes().values().any(is_committed)
        {
            reply.decision = Decision::Committed;
        }
        reply
    }
}

/// Returns whether a reply can have an effect at its receiver.
fn has_effect(body: &Body) -> bool {
    match body {
        Body::Vote(reply) => reply.vote != Vote::Preparing,
        Body::Outcome(reply) => reply.decision != Decision::Pending,
        Body::Request(_) | Body::OutcomeRequest(_) => true,
    }
}

/// Returns a command that restarts a change that has ended, for a mutant.
fn restart_change(record: &Record, prepare: &Prepare) -> Option<Command> {
    let last = record.participation(&prepare.change.coordinator)?;
    let has_ended = last.change.id == prepare.change.id && last.decision != Decision::Pending;
    has_ended.then(|| Command::Prepare {
        revision: record.revision(),
        change: ChangeRef {
            generation: Generation(last.change.generation.0 + 1),
            ..prepare.change.clone()
        },
        text: prepare.text.clone(),
        fallback_generations: record.fallback_generations(),
    })
}
