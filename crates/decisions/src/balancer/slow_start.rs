//! Slow start: the capacity of an endpoint that has just started, and which calls are sent to it.

use super::Balancer;
use crate::api::{CallId, EndpointRules, Micros};
use crate::endpoint::Endpoint;
use crate::endpoint_index::CandidateSet;

/// Factor applied to the probability that a call is sent to an endpoint in slow start, relative to
/// the endpoint's current share of the total capacity.
const SLOW_START_DRAW_FACTOR: f64 = 1.2;
/// Lower bound of the goodput that scales this probability. With clients that try four times and an
/// offered load of 1.4, an endpoint in slow start then receives less than twice its current
/// capacity (1.2 x 1.4 x 4 x 0.2 < 2), the smallest overload multiple that an endpoint has to
/// withstand.
const MIN_GOODPUT: f64 = 0.2;

impl Endpoint {
    /// The guaranteed share of the endpoint's full capacity at `now`. It rises linearly over the
    /// slow start.
    pub(crate) fn slow_start_capacity(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        let min_capacity = rules.slow_start_min_capacity;
        min_capacity + (1.0 - min_capacity) * age as f64 / rules.slow_start_duration as f64
    }

    /// The end of the slow start, or 0 for an endpoint that started long ago.
    pub(super) fn slow_start_end(&self, rules: &EndpointRules) -> Micros {
        if self.started_at == 0 {
            0
        } else {
            self.started_at.saturating_add(rules.slow_start_duration)
        }
    }
}

impl Balancer {
    /// Draws an endpoint in slow start for a new call, or returns `None`.
    ///
    /// All balancers learn of a new endpoint at the same time, and each finds it idle. It therefore
    /// gets calls at random, in proportion to its current share of the capacity. Client retries
    /// never draw one, because they arrive in bursts. If clients do not mark retries, or if there
    /// are many balancers, the goodput scales the probability: all balancers together cannot serve
    /// more than the total capacity, so the draws of all balancers stay within the endpoint's share
    /// of it however often clients retry (see `tests/slow_start.rs`).
    pub(super) fn draw_slow_start(&mut self, now: Micros, id: CallId) -> Option<usize> {
        let call = self
            .calls
            .get_mut(&id)
            .filter(|call| call.may_draw_slow_start && call.attempts.is_empty())?;
        call.may_draw_slow_start = false;
        if self.endpoints.count(CandidateSet::SlowStart) == 0 {
            return None;
        }
        let (draw, rules) = (self.random_unit(), self.settings.rules);
        let slow_start_size = self.endpoints.slow_start_size(now, &rules);
        let all =
            self.endpoints.total_size() - self.endpoints.slow_start_full_size() + slow_start_size;
        if draw * all >= slow_start_size * SLOW_START_DRAW_FACTOR * self.goodput_of_first_tries() {
            return None;
        }
        let Balancer {
            endpoints, random, ..
        } = self;
        let slot = endpoints.draw_slow_start(random, |e| e.slow_start_capacity(now, &rules))?;
        let endpoint = &self.endpoints[slot];
        (endpoint.is_usable(now) && !endpoint.at_limit(now, &rules)).then_some(slot)
    }

    /// The goodput factor of the draw probability. If clients mark their retries and there are few
    /// balancers, excluding retries suffices, and the factor is 1.
    fn goodput_of_first_tries(&self) -> f64 {
        if self.settings.clients_mark_retries && !self.is_sparse() {
            1.0
        } else {
            self.goodput.max(MIN_GOODPUT)
        }
    }
}
