//! Timers: one timer per call, and the wake-up requested from the proxy.

use super::{Actions, Balancer};
use crate::api::{Action, CallId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Call timers ordered by time; each call has at most one.
#[derive(Clone, Debug, Default)]
pub(super) struct CallTimers {
    by_time: BTreeSet<(Micros, CallId)>,
    by_call: BTreeMap<CallId, Micros>,
}

impl CallTimers {
    /// Sets a call's timer, or removes it if `at` is `None`.
    pub(super) fn set(&mut self, id: CallId, at: Option<Micros>) {
        if let Some(old) = self.by_call.remove(&id) {
            self.by_time.remove(&(old, id));
        }
        if let Some(at) = at {
            self.by_time.insert((at, id));
            self.by_call.insert(id, at);
        }
    }

    /// The time of the earliest timer.
    fn next(&self) -> Option<Micros> {
        self.by_time.first().map(|&(at, _)| at)
    }

    /// Removes and returns a call whose timer is due.
    fn pop(&mut self, now: Micros) -> Option<CallId> {
        let &(_, id) = self.by_time.first().filter(|&&(at, _)| at <= now)?;
        self.set(id, None);
        Some(id)
    }
}

impl Balancer {
    /// Runs all call timers that are due. The meaning of a timer follows from the state of its
    /// call.
    pub(super) fn run_call_timers(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(id) = self.timers.pop(now) {
            let call = &self.calls[&id];
            if call.queued {
                self.end_unserved(id, 0, actions);
            } else if !call.probed_endpoints.is_empty() {
                self.finish_probing(now, id, actions);
            } else if call.backing_off {
                self.end_backoff(now, id);
            } else {
                self.hedge(now, id, actions);
            }
        }
    }

    /// Requests a wake-up at the next time at which work is due, unless an earlier one is pending.
    pub(super) fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self
            .next_list_poll_at
            .min(self.timers.next().unwrap_or(Micros::MAX));
        if !self.wait_queue.is_empty() {
            let state_change = self.endpoints.next_state_change().into_iter();
            let next_probe = self
                .wait_queue
                .front()
                .map(|id| self.calls[id].next_probe_at)
                .filter(|&at| at > now);
            next = state_change.chain(next_probe).fold(next, Micros::min);
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake {
                after: next.saturating_sub(now).max(1),
            });
        }
    }
}
