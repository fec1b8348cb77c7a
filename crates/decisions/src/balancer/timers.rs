//! Timers.

use super::*;
use std::collections::BTreeSet;

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

/// When which call is due; each has one time at the most.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTimers {
    by_time: BTreeSet<(Micros, CallId)>,
    by_call: BTreeMap<CallId, Micros>,
}

impl CallTimers {
    /// Sets a call's time, or takes it off.
    pub(crate) fn set(&mut self, id: CallId, at: Option<Micros>) {
        if let Some(old) = self.by_call.remove(&id) {
            self.by_time.remove(&(old, id));
        }
        if let Some(at) = at {
            self.by_time.insert((at, id));
            self.by_call.insert(id, at);
        }
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.by_time.first().map(|d| d.0)
    }

    /// Takes off a call that is due by now.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<CallId> {
        let &(_, id) = self.by_time.first().filter(|d| d.0 <= now)?;
        self.set(id, None);
        Some(id)
    }
}
