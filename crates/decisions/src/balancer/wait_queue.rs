//! The queue of calls waiting for an endpoint with capacity, in order of arrival.

use super::selection::Route;
use super::{Actions, Balancer};
use crate::api::{Action, CallId, LogEvent, Micros};

/// Maximum number of queued calls scanned beyond the first per event; bounds the CPU cost of a long
/// queue.
const QUEUE_SCAN: usize = 16;

impl Balancer {
    /// Appends a new call to the queue.
    pub(super) fn enqueue(&mut self, now: Micros, id: CallId) {
        self.prepare_to_wait(now, id);
        self.wait_queue.push_back(id);
    }

    /// Returns a call to the front of the queue after an attempt or a round of probes; it is older
    /// than the calls waiting there.
    pub(super) fn requeue(&mut self, now: Micros, id: CallId) {
        self.prepare_to_wait(now, id);
        self.wait_queue.push_front(id);
    }

    /// Marks a call as queued and sets the timer that ends its wait: when an answer can no longer
    /// be expected in time, and always before the client's deadline.
    fn prepare_to_wait(&mut self, now: Micros, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.queued = true;
        call.probed_endpoints.clear();
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective) as Micros;
        let mut give_up_at = call
            .objective_deadline()
            .saturating_sub(expected)
            .max(now + 1);
        if self.is_sparse() && call.full_probe_rounds == 0 {
            let max_wait = self.max_queue_wait(id);
            // A call that the exit of the process cuts short is tried once, whatever is expected.
            let min_wait = Micros::from(call.ends_at_exit);
            give_up_at = give_up_at.min(now + max_wait.max(min_wait));
        }
        let last = call.deadline.saturating_sub(self.settings.tick).max(now);
        self.timers.set(id, Some(give_up_at.min(last)));
    }

    /// Sends, probes for or ends queued calls until one has to wait.
    pub(super) fn dispatch_queue(&mut self, now: Micros, actions: &mut Actions) {
        self.dispatch_recovery_trials(now, actions);
        let mut index = 0;
        while let Some(&id) = self.wait_queue.get(index) {
            match self.route(now, id) {
                Route::Send { slot, trial } => {
                    self.dequeue(index);
                    self.send(now, id, slot, trial, actions);
                    self.rejecting_all = false;
                }
                Route::Probe { slots } => {
                    self.dequeue(index);
                    self.start_probing(now, id, &slots, actions);
                }
                Route::Shed { retry_after } => self.end_unserved(id, retry_after, actions),
                Route::Reject { retry_after } => {
                    self.log_all_ejected(actions);
                    self.end_unserved(id, retry_after, actions);
                }
                // Calls are served in order of arrival, so a waiting call blocks those behind it,
                // unless its earlier attempts restrict it to some endpoints.
                Route::Queue
                    if self.calls[&id].first_maybe_executed().is_some() && index < QUEUE_SCAN =>
                {
                    index += 1;
                }
                Route::Queue => break,
            }
        }
    }

    /// Sends queued calls as recovery trials to ejected endpoints whose backoff has expired.
    fn dispatch_recovery_trials(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(slot) = self.endpoints.recovery_due(now) {
            let mut first = self.wait_queue.iter().take(QUEUE_SCAN);
            let Some(index) = first.position(|id| self.may_try_recovery(&self.calls[id])) else {
                break;
            };
            let id = self.wait_queue[index];
            self.dequeue(index);
            self.send(now, id, slot, true, actions);
        }
    }

    fn dequeue(&mut self, index: usize) {
        let id = self.wait_queue.remove(index);
        if let Some(call) = id.and_then(|id| self.calls.get_mut(&id)) {
            call.queued = false;
        }
    }

    /// Logs, once per episode, that calls are rejected because every endpoint is ejected.
    fn log_all_ejected(&mut self, actions: &mut Actions) {
        if !std::mem::replace(&mut self.rejecting_all, true) {
            actions.push(Action::Log {
                event: LogEvent::AllEndpointsEjected,
            });
        }
    }
}
