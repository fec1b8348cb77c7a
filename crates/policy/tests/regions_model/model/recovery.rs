//! Rounds without faults, in which every change has to end.

use super::*;

impl RegionsModel {
    /// Whether, without further faults, every change ends after some rounds and the next one can start.
    pub(crate) fn all_changes_end(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..ROUNDS {
            if state.regions.iter().all(RegionState::is_idle) {
                return self.admits_another(&state);
            }
            self.round(&mut state);
        }
        false
    }

    pub(super) fn admits_another(&self, state: &State) -> bool {
        let mut record = state.regions[COORDINATOR].record.clone();
        let outcome = record.apply(&publish(&record, Some(self.all_regions(state))));
        matches!(outcome, Outcome::Started(_))
    }

    /// Each proxy renews its lease, each leader logs its next command, and each message is answered.
    pub(super) fn round(&self, state: &mut State) {
        state.now += 1;
        for index in 0..self.regions {
            state.regions[index].renew_lease(state.now);
            self.lead(state, index);
            self.log_all(&mut state.regions[index]);
            let sent = self.sent(&state.regions[index], index);
            sent.iter()
                .for_each(|message| self.exchange(state, message));
        }
    }

    /// Delayed commands are logged.
    pub(super) fn log_all(&self, region_state: &mut RegionState) {
        for command in std::mem::take(&mut region_state.unlogged) {
            region_state.record.apply(&command);
        }
    }

    /// A message is delivered, and so is its reply.
    pub(super) fn exchange(&self, state: &mut State, message: &Message) {
        self.deliver(state, message);
        self.log_all(&mut state.regions[message.to]);
        if let Some(reply) = self.reply_to(&state.regions[message.to], message) {
            self.deliver(state, &reply);
            self.log_all(&mut state.regions[reply.to]);
        }
    }
}
