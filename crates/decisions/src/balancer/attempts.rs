//! Attempts of a call: sending them, cancelling those that are no longer needed, and ending the
//! call.

use super::{Actions, Balancer};
use crate::api::{Action, CallId, Idempotency, Micros};
use crate::call::{Attempt, Call, Execution};
use crate::endpoint::Endpoint;

impl Balancer {
    /// Sends a call to an endpoint. A trial may exceed the endpoint's concurrency limit.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: CallId,
        slot: usize,
        trial: bool,
        actions: &mut Actions,
    ) {
        let load_at_send = self.load_at_send(now, &self.calls[&id], slot);
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight += 1;
        endpoint.reported_in_flight += 1.0;
        endpoint.limit.trial_in_flight |= trial;
        self.update_state(now, slot);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let start_by = start_by(call);
        let &Endpoint {
            id: endpoint,
            zone,
            cell,
            ..
        } = &self.endpoints[slot];
        call.attempts.push(Attempt {
            endpoint,
            zone,
            cell,
            sent_at: now,
            is_trial: trial,
            load_at_send,
            execution: Execution::InFlight,
        });
        let call = &self.calls[&id];
        actions.push(Action::Send {
            call: id,
            endpoint,
            attempt_deadline: self.attempt_deadline(now, call),
            start_by,
        });
        let hedge_at = self.hedge_at(now, call).map(|at| at.max(now + 1));
        self.timers.set(id, hedge_at);
    }

    /// The endpoint's projected load if it was probed recently, otherwise 0.
    fn load_at_send(&self, now: Micros, call: &Call, slot: usize) -> f64 {
        let endpoint = &self.endpoints[slot];
        let fresh_for = self.probe_timeout(call);
        let is_fresh = endpoint.probed_at != 0
            && endpoint.reported_in_flight < f64::MAX
            && endpoint.probed_at + fresh_for > now;
        if is_fresh {
            endpoint.projected_load(now, &self.settings.rules)
        } else {
            0.0
        }
    }

    /// The timeout of an attempt sent now, if it precedes the client's deadline. An answer after
    /// the latency objective is worth little, so the endpoint's capacity is better spent on other
    /// calls.
    fn attempt_deadline(&self, now: Micros, call: &Call) -> Option<Micros> {
        let (objective, deadline) = (call.objective_deadline(), call.deadline);
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let is_reachable = objective < deadline && objective as f64 > now as f64 + expected;
        let by_objective = is_reachable.then_some(objective);
        let by_policy =
            Some(now.saturating_add(call.policy.attempt_timeout)).filter(|&at| at < deadline);
        by_objective.into_iter().chain(by_policy).min()
    }

    /// Marks a call as ended. It is removed once no attempt is in flight.
    pub(super) fn finish(&mut self, id: CallId) {
        self.timers.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.ended = true;
        call.probed_endpoints.clear();
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.wait_queue.iter().position(|&queued| queued == id) {
                self.wait_queue.remove(index);
            }
        }
    }

    /// Cancels a call's attempts in flight except attempt number `except`, provided that the
    /// settings allow cancellation.
    pub(super) fn cancel_attempts(
        &mut self,
        id: CallId,
        except: Option<u32>,
        actions: &mut Actions,
    ) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        for (number, attempt) in (0..).zip(&call.attempts) {
            if attempt.execution == Execution::InFlight && Some(number) != except {
                actions.push(Action::Cancel {
                    call: id,
                    attempt: number,
                });
            }
        }
    }

    /// Removes a call that has ended and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: CallId) {
        let call = self.calls.get(&id);
        if call.is_some_and(|c| c.ended && c.attempts_in_flight() == 0) {
            self.calls.remove(&id);
        }
    }
}

/// The time by which the next attempt of a keyed call must have started. After it, the endpoints
/// may have dropped the call's idempotency key.
fn start_by(call: &Call) -> Option<Micros> {
    match (call.first_maybe_executed(), call.class.idempotency) {
        (Some(first), Idempotency::Keyed { window, .. }) => {
            Some(first.sent_at.saturating_add(window))
        }
        _ => None,
    }
}
