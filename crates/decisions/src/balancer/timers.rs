//! Timers.

use super::*;

impl Balancer {
    pub(super) fn run_call_timers(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(id) = self.timers.pop(now) {
            if self.calls[&id].queued {
                self.give_up(id, 0, actions);
            } else if !self.calls[&id].probed_endpoints.is_empty() {
                self.finish_probing(now, id, actions);
            } else if self
                .calls
                .get_mut(&id)
                .is_some_and(|c| std::mem::take(&mut c.backing_off))
            {
                self.enqueue(now, id, true);
            } else {
                self.hedge(now, id, actions);
            }
        }
    }

    pub(super) fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self
            .next_list_poll_at
            .min(self.timers.next().unwrap_or(Micros::MAX));
        if !self.wait_queue.is_empty() {
            let due = self.endpoints.next_state_change().into_iter();
            let asks = self
                .wait_queue
                .front()
                .map(|id| self.calls[id].next_probe_at)
                .filter(|&at| at > now);
            next = due.chain(asks).fold(next, Micros::min);
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake {
                after: next.saturating_sub(now).max(1),
            });
        }
    }
}
