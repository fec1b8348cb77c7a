//! The queue of calls that wait for an endpoint with capacity, in the order of their arrival.

use super::selection::Route;
use super::{Actions, Balancer};
use crate::api::{Action, CallId, LogEvent, Micros};

/// Queued calls looked at beyond the first at an event: it bounds the CPU that a long queue costs.
const QUEUE_SCAN: usize = 16;

impl Balancer {
    /// Queues a new call behind the others.
    pub(super) fn enqueue(&mut self, now: Micros, id: CallId) {
        self.prepare_to_wait(now, id);
        self.wait_queue.push_back(id);
    }

    /// Queues a call that has been sent or probed for before: it is older than those waiting and
    /// goes to the front.
    pub(super) fn enqueue_again(&mut self, now: Micros, id: CallId) {
        self.prepare_to_wait(now, id);
        self.wait_queue.push_front(id);
    }

    /// Marks a call as queued and sets the timer that ends its wait: when an answer could not be
    /// expected in time any more, and always before the client gives up.
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
            give_up_at = give_up_at.min(now + self.max_queue_wait(id));
        }
        let last = call.deadline.saturating_sub(self.settings.tick).max(now);
        self.timers.set(id, Some(give_up_at.min(last)));
    }

    /// Sends, probes for or ends queued calls until the next one has to wait.
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
                // In the order of arrival: the first that waits holds back the rest, unless it may
                // go to some endpoints only.
                Route::Queue
                    if self.calls[&id].first_maybe_executed().is_some() && index < QUEUE_SCAN =>
                {
                    index += 1;
                }
                Route::Queue => break,
            }
        }
    }

    /// Sends queued calls as trials to ejected endpoints whose backoff is over.
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

    /// Logs once that calls are rejected since no endpoint is available.
    fn log_all_ejected(&mut self, actions: &mut Actions) {
        if !std::mem::replace(&mut self.rejecting_all, true) {
            actions.push(Action::Log {
                event: LogEvent::AllEndpointsEjected,
            });
        }
    }
}
