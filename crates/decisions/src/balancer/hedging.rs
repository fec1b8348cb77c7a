//! Hedged requests: a second attempt for a call whose first attempt may be stuck at a slow endpoint
//! ("The Tail at Scale", Dean and Barroso, 2013). The first answer wins, and the other attempt is
//! cancelled.

use super::selection::Route;
use super::{Actions, Balancer};
use crate::api::{CallId, Hedge, Micros};
use crate::call::Call;

/// Time that must remain before the objective for a hedged request to be sent, or for a protected
/// call to wait, in multiples of the expected latency.
pub(super) const LATENCY_MARGIN: f64 = 2.0;
/// Multiple of the expected latency after which a first attempt counts as slow.
const SLOW_AFTER: f64 = 1.5;

impl Balancer {
    /// Sends a hedged request that is due, if a retry token pays for it and no queued call needs
    /// the capacity.
    pub(super) fn hedge(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let may_hedge = call.may_have_another_attempt()
            && call.attempts_in_flight() == 1
            && !call.streaming
            && self.retry_tokens >= 1.0
            && self.wait_queue.is_empty();
        if !may_hedge {
            return;
        }
        if let Route::Send { slot, trial: false } = self.route(now, id) {
            self.send(now, id, slot, false, actions);
            self.retry_tokens -= 1.0;
        }
    }

    /// The time at which a hedged request is due for a call whose first attempt is sent now,
    /// according to the call's policy.
    pub(super) fn hedge_at(&self, now: Micros, call: &Call) -> Option<Micros> {
        if call.attempts.len() != 1 {
            return None;
        }
        let after = |wait: Micros| Some(now.saturating_add(wait));
        let at = match call.policy.hedge {
            Hedge::Never => None,
            Hedge::Auto => self.latest_hedge_at(call),
            Hedge::After(wait) => after(wait),
            Hedge::Quantile(share) => {
                let latency = self.class_latencies.get(call.class_id);
                match latency.and_then(|latency| latency.quantile(share)) {
                    Some(wait) => after(wait as Micros),
                    None => self.latest_hedge_at(call),
                }
            }
        };
        at.filter(|&at| at < call.deadline)
    }

    /// The latest time at which a hedged request can be expected to finish within the objective,
    /// but not before the first attempt counts as slow.
    fn latest_hedge_at(&self, call: &Call) -> Option<Micros> {
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let objective = call.objective_deadline() as f64;
        let arrived = call.arrived_at as f64;
        let at = (objective - LATENCY_MARGIN * expected).max(arrived + SLOW_AFTER * expected);
        (!self.is_sparse() && at + expected <= objective).then_some(at as Micros)
    }
}
