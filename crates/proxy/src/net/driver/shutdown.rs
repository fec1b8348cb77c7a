//! The shutdown of the process, as far as it limits the time of calls.

use super::{Core, Driver};
use badgerramp_decisions::{Micros, ShutdownSchedule};

impl Driver {
    /// Starts the shutdown, unless it has started already, and returns its schedule.
    pub fn start_shutdown(&self) -> ShutdownSchedule {
        let mut core = self.core.borrow_mut();
        let (now, longest_deadline) = (self.clock.now(), core.longest_deadline);
        *core
            .shutdown
            .get_or_insert_with(|| ShutdownSchedule::new(now, longest_deadline))
    }

    /// The schedule of the shutdown; `None` before it starts.
    pub fn shutdown(&self) -> Option<ShutdownSchedule> {
        self.core.borrow().shutdown
    }

    /// Sets the longest deadline of the newest settings, from which follows when a process that shuts down may be killed.
    pub fn set_longest_deadline(&self, longest_deadline: Micros) {
        self.core
            .borrow_mut()
            .set_longest_deadline(longest_deadline);
    }
}

impl Core {
    pub(super) fn set_longest_deadline(&mut self, longest_deadline: Micros) {
        self.longest_deadline = longest_deadline;
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.change_longest_deadline(longest_deadline);
        }
    }
}
