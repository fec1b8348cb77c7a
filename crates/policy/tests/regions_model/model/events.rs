//! Events that can occur in a state, and the state after each of them.

use super::*;
use crate::properties::check;

impl RegionsModel {
    /// Adds the events that can occur next.
    pub(crate) fn steps(&self, state: &State, steps: &mut Vec<Step>) {
        // With a mutant the search continues, because several properties may be violated one after the other.
        if self.mutant.is_none() && !state.violations.is_empty() {
            return;
        }
        if state.now < LEASE_DURATION + self.ticks {
            steps.push(Step::Tick);
        }
        if state.published < self.publishes {
            steps.push(Step::PublishCrossRegion);
        }
        for (index, region_state) in state.regions.iter().enumerate() {
            self.region_steps(state, index, region_state, steps);
        }
        let logs_command = |message: &&Message| {
            self.command_for(&state.regions[message.to], message)
                .is_some()
        };
        steps.extend(
            state
                .messages
                .iter()
                .filter(logs_command)
                .cloned()
                .map(Step::Deliver),
        );
    }

    pub(super) fn region_steps(
        &self,
        state: &State,
        index: usize,
        region_state: &RegionState,
        steps: &mut Vec<Step>,
    ) {
        let in_transition = region_state.record.transition().is_some();
        let remaining = region_state.remaining;
        let candidates = [
            (remaining.renewals > 0, Step::RenewLease(index)),
            (
                remaining.late_grants > 0 && region_state.grant_in_flight.is_none(),
                Step::SendRequest(index),
            ),
            (
                region_state.grant_in_flight.is_some(),
                Step::DeliverGrant(index),
            ),
            (remaining.publishes > 0, Step::PublishLocal(index)),
            (remaining.aborts > 0 && in_transition, Step::Abort(index)),
            (remaining.elections > 0, Step::Elect(index)),
            (in_transition, Step::LogNextCommand(index)),
            (
                in_transition && self.timeout_abort(state, region_state).is_some(),
                Step::TimeOut(index),
            ),
        ];
        steps.extend(
            candidates
                .into_iter()
                .filter(|(is_possible, _)| *is_possible)
                .map(|(_, step)| step),
        );
        steps.extend(
            region_state
                .unlogged
                .iter()
                .cloned()
                .map(|command| Step::Log(index, command)),
        );
    }

    /// Returns the command by which the leader aborts a change that has timed out.
    pub(super) fn timeout_abort(
        &self,
        state: &State,
        region_state: &RegionState,
    ) -> Option<Command> {
        if self.has_defect(Mutant::AbortAfterVote) && region_state.has_voted() {
            return region_state
                .pending_change()
                .map(|id| Command::Aborted { id });
        }
        region_state
            .next_command(state.now, state.now - 1)
            .filter(|command| matches!(command, Command::Abort { .. }))
    }

    /// Returns the state after an event.
    pub(crate) fn state_after(&self, last: &State, step: Step) -> State {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Tick => state.now += 1,
            Step::RenewLease(index) => {
                state.regions[index].remaining.renewals -= 1;
                state.regions[index].renew_lease(now);
            }
            Step::SendRequest(index) => {
                state.regions[index].remaining.late_grants -= 1;
                state.regions[index].request(now);
            }
            Step::DeliverGrant(index) => {
                if let Some(grant) = state.regions[index].grant_in_flight.take() {
                    state.regions[index].holder.on_grant(now, grant);
                }
            }
            Step::PublishCrossRegion => self.publish_cross_region(&mut state),
            Step::PublishLocal(index) => self.publish_local(&mut state.regions[index]),
            Step::Abort(index) => {
                let region_state = &mut state.regions[index];
                region_state.remaining.aborts -= 1;
                let revision = region_state.record.revision();
                self.log(
                    region_state,
                    Command::Abort {
                        revision,
                        reason: String::new(),
                    },
                );
            }
            Step::LogNextCommand(index) => self.log_next_command(&mut state, index),
            Step::TimeOut(index) => {
                if let Some(command) = self.timeout_abort(&state, &state.regions[index]) {
                    self.log(&mut state.regions[index], command);
                }
            }
            Step::Elect(index) => self.elect(&mut state.regions[index], now),
            Step::Log(index, command) => {
                let region_state = &mut state.regions[index];
                region_state.unlogged.remove(&command);
                region_state.record.apply(&command);
            }
            Step::Deliver(message) => self.deliver(&mut state, &message),
        }
        self.normalize(&mut state);
        check(&mut state);
        state
    }

    /// Sends all messages that can be sent, and all replies. Messages are delivered at any time or never, so sending them
    /// early excludes no order of events. Also removes leases that have expired.
    pub(super) fn normalize(&self, state: &mut State) {
        for index in 0..self.regions {
            let sent = self.messages_to_send(&state.regions[index], index);
            state.messages.extend(sent);
            state.regions[index].leases.expire(state.now);
        }
        let replies: Vec<Message> = state
            .messages
            .iter()
            .filter_map(|message| self.reply_to(&state.regions[message.to], message))
            .collect();
        state.messages.extend(replies);
    }

    pub(super) fn publish_cross_region(&self, state: &mut State) {
        let all_regions = self.all_regions(state);
        state.published += 1;
        let record = &mut state.regions[COORDINATOR].record;
        record.apply(&publish(record, Some(all_regions)));
    }

    pub(super) fn publish_local(&self, region_state: &mut RegionState) {
        region_state.remaining.publishes -= 1;
        if self.has_defect(Mutant::LocalPublishAfterVote) && region_state.has_voted() {
            if let Some(id) = region_state.pending_change() {
                region_state.record.apply(&Command::Aborted { id });
            }
        }
        region_state
            .record
            .apply(&publish(&region_state.record, None));
    }

    pub(super) fn log(&self, region_state: &mut RegionState, command: Command) {
        if self.delayed_log {
            region_state.unlogged.insert(command);
        } else {
            region_state.record.apply(&command);
        }
    }

    pub(super) fn log_next_command(&self, state: &mut State, index: usize) {
        let now = state.now;
        if self.has_defect(Mutant::AdvanceWithoutVotes) {
            self.forge_votes(&mut state.regions[index].record);
        }
        let region_state = &mut state.regions[index];
        let mut command = region_state.next_command(now, now);
        if self.has_defect(Mutant::VoteBeforePrepared) && region_state.awaits_vote() {
            command = Some(Command::Vote {
                revision: region_state.record.revision(),
            });
        }
        if self.has_defect(Mutant::AdvanceAfterVote) && region_state.has_voted() {
            command = region_state
                .pending_change()
                .map(|id| Command::Committed { id });
        }
        match command {
            Some(Command::Vote { .. }) if self.has_defect(Mutant::VoteNotLogged) => {
                region_state.unlogged_vote = region_state.pending_change();
            }
            Some(command) => self.log(region_state, command),
            None => {}
        }
        let drops_commit = self.has_defect(Mutant::CommitForgotten);
        if let Some(commit) = region_state
            .record
            .unacknowledged_commit()
            .filter(|_| drops_commit)
            .cloned()
        {
            for region in commit.regions {
                region_state.record.apply(&Command::Acknowledged {
                    id: commit.change.id,
                    region,
                });
            }
        }
    }

    pub(super) fn forge_votes(&self, record: &mut Record) {
        let revision = record.revision();
        for region in self.regions(COORDINATOR).others() {
            record.apply(&Command::Prepared {
                revision,
                region: region.clone(),
            });
        }
    }

    pub(super) fn elect(&self, region_state: &mut RegionState, now: u64) {
        region_state.remaining.elections -= 1;
        region_state.leases = Leases::after_election(LEASE_CONFIG, now);
        region_state.unlogged_vote = None;
        if self.has_defect(Mutant::DeposedReplies) {
            region_state.deposed = Some(region_state.record.clone());
        }
    }
}
