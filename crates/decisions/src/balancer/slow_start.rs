//! Slow start: how much an endpoint bears that has just started, and which calls it gets meanwhile.

use super::Balancer;
use crate::api::{CallId, EndpointRules, Micros};
use crate::endpoint::Endpoint;
use crate::endpoint_index::CandidateSet;

/// Chance of an endpoint in slow start to be drawn for a call, over its present share of all
/// capacity.
const SLOW_START_DRAW_FACTOR: f64 = 1.2;
/// Share of calls served that this chance goes by at the least: clients that try four times, at an
/// offered load of 1.4, then ask an endpoint in slow start for no more than the least multiple that
/// one is built to bear (1.2 x 1.4 x 4 x 0.2 < 2).
const MIN_GOODPUT: f64 = 0.2;

impl Endpoint {
    /// Share of its capacity that an endpoint has at the least: it rises evenly over the time of
    /// the slow start.
    pub(crate) fn slow_start_capacity(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        let min_capacity = rules.slow_start_min_capacity;
        min_capacity + (1.0 - min_capacity) * age as f64 / rules.slow_start_duration as f64
    }

    /// When its slow start ends; 0 for one that started long ago.
    pub(super) fn slow_start_end(&self, rules: &EndpointRules) -> Micros {
        if self.started_at == 0 {
            0
        } else {
            self.started_at.saturating_add(rules.slow_start_duration)
        }
    }
}

impl Balancer {
    /// Draws an endpoint in slow start for a new call, or none.
    ///
    /// All balancers hear of such an endpoint together, and each finds it idle. It gets calls by
    /// chance, with its present share of the capacity. Retries of clients draw none: they come in
    /// storms. Where they are not marked, or balancers are many, the share of calls that are served
    /// bounds it: all together serve no more than all endpoints can do, so that the draws of all
    /// balancers stay within the endpoint's part of that, however often clients ask
    /// (`tests/slow_start.rs`).
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

    /// The goodput that bounds these draws. Where clients mark their retries, first tries alone
    /// draw: a few balancers' stay within bounds by that.
    fn goodput_of_first_tries(&self) -> f64 {
        if self.settings.clients_mark_retries && !self.is_sparse() {
            1.0
        } else {
            self.goodput.max(MIN_GOODPUT)
        }
    }
}
