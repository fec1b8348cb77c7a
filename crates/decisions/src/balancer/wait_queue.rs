//! The queue of calls that wait for capacity.

use super::*;

/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
pub(super) const QUEUE_SCAN: usize = 16;

impl Balancer {
    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the front.
    pub(super) fn enqueue(&mut self, now: Micros, id: CallId, again: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.queued = true;
        call.probed_endpoints.clear();
        let (class_id, objective, end) = (
            call.class_id,
            call.class.latency_objective,
            call.objective_deadline(),
        );
        // Its way out: when a usual answer could not come in time, and always before the client gives up.
        let wake = end
            .saturating_sub(self.expected_latency(class_id, objective) as Micros)
            .max(now + 1);
        let shed = self.is_sparse() && self.calls[&id].full_probe_rounds == 0;
        let wake = if shed {
            wake.min(now + self.max_queue_wait(id))
        } else {
            wake
        };
        let last = self.calls[&id]
            .deadline
            .saturating_sub(self.settings.tick)
            .max(now);
        self.timers.set(id, Some(wake.min(last)));
        if again {
            self.wait_queue.push_front(id);
        } else {
            self.wait_queue.push_back(id);
        }
    }

    pub(super) fn dispatch_queue(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(slot) = self
            .endpoints
            .recovery_due(now)
            .filter(|_| !self.wait_queue.is_empty())
        {
            let mut held = self.wait_queue.iter().take(QUEUE_SCAN);
            let Some(index) = held.position(|id| self.may_try_recovery(&self.calls[id])) else {
                break;
            };
            let id = self.wait_queue[index];
            self.dequeue(index);
            self.send(now, id, slot, true, actions);
        }
        let mut index = 0;
        while let Some(&id) = self.wait_queue.get(index) {
            match self.route(now, id) {
                Route::Send { endpoint, trial } => {
                    self.dequeue(index);
                    self.send(now, id, endpoint, trial, actions);
                    self.rejecting = false;
                }
                Route::Probe { candidates } => {
                    self.dequeue(index);
                    self.start_probing(now, id, &candidates, actions);
                }
                Route::Shed { retry_after } => self.give_up(id, retry_after, actions),
                Route::Reject { retry_after } => {
                    if !std::mem::replace(&mut self.rejecting, true) {
                        actions.push(Action::Log {
                            text: "no endpoint is up: refusing".to_owned(),
                        });
                    }
                    self.give_up(id, retry_after, actions);
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Queue
                    if self.calls[&id].first_maybe_executed().is_some() && index < QUEUE_SCAN =>
                {
                    index += 1;
                }
                Route::Queue => break,
            }
        }
    }

    pub(super) fn dequeue(&mut self, index: usize) {
        if let Some(call) = self
            .wait_queue
            .remove(index)
            .and_then(|id| self.calls.get_mut(&id))
        {
            call.queued = false;
        }
    }
}
