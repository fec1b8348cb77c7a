//! Rounds without faults, within which every change has to end.

use super::*;

impl RegionsModel {
    /// Returns whether, without further faults, every change ends within some rounds and the next one can start.
    pub(crate) fn all_changes_end(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..RECOVERY_ROUNDS {
            if state.regions.iter().all(RegionState::is_idle) {
                return self.accepts_next_change(&state);
            }
            self.run_round(&mut state);
        }
        false
    }

    pub(super) fn accepts_next_change(&self, state: &State) -> bool {
        let mut record = state.regions[COORDINATOR].record.clone();
        let outcome = record.apply(&publish(&record, Some(self.all_regions(state))));
        matches!(outcome, Outcome::Started(_))
    }

    /// Renews the lease of each proxy, logs the next command of each leader, and delivers each message with its reply.
    pub(super) fn run_round(&self, state: &mut State) {
        state.now += 1;
        for index in 0..self.regions {
            state.regions[index].renew_lease(state.now);
            self.log_next_command(state, index);
            self.log_all(&mut state.regions[index]);
            let messages = self.messages_to_send(&state.regions[index], index);
            messages
                .iter()
                .for_each(|message| self.exchange(state, message));
        }
    }

    /// Logs all delayed commands.
    pub(super) fn log_all(&self, region_state: &mut RegionState) {
        for command in std::mem::take(&mut region_state.unlogged) {
            region_state.record.apply(&command);
        }
    }

    /// Delivers a message and its reply.
    pub(super) fn exchange(&self, state: &mut State, message: &Message) {
        self.deliver(state, message);
        self.log_all(&mut state.regions[message.to]);
        if let Some(reply) = self.reply_to(&state.regions[message.to], message) {
            self.deliver(state, &reply);
            self.log_all(&mut state.regions[reply.to]);
        }
    }
}
