//! The adaptive concurrency limit of an endpoint.

use super::*;

/// Most steps of a budget: A105's default for `max_connections_per_subchannel`.
pub(super) const MAX_STEPS: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, and where mild strain leads.
pub(super) const INITIAL_CONCURRENCY: f64 = 7.0;
pub(super) const MIN_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut), and what a refusal as full leaves.
pub(super) const MAX_DECREASE: f64 = 0.5;
pub(super) const REJECTION_DECREASE: f64 = 0.8;
/// First backoff as a share of the longest aim, and the number of doublings up to its cap.
pub(super) const FIRST_BACKOFF_SHARE: f64 = 0.25;
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl ConcurrencyLimit {
    pub(super) fn new(balancers: u32) -> Self {
        // Never under one call: among many balancers most are silent, and an even part starves the others.
        let of_all = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        let (concurrency, floor) = (of_all(INITIAL_CONCURRENCY), of_all(MIN_CONCURRENCY));
        ConcurrencyLimit {
            steps: 1,
            concurrency,
            min_limit: floor,
            ..ConcurrencyLimit::default()
        }
    }

    pub(super) fn record_served_trial(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    pub(super) fn start_backoff(&mut self, now: Micros, first: Micros) {
        self.backoff_until = now + (first << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    pub(super) fn decrease(&mut self, to: f64, floor: f64) {
        let least = floor / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(MAX_DECREASE)).max(least);
    }
}

impl Endpoint {
    pub(super) fn at_limit(&self, now: Micros, rules: &EndpointRules) -> bool {
        let limit = f64::from(self.limit.steps)
            * self.limit.concurrency
            * self.slow_start_capacity(now, rules);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Are enough answers in since its budget last changed to tell what the change did?
    pub(super) fn has_enough_answers(&self, now: Micros, expected: f64) -> bool {
        self.answers_since_change >= self.in_flight.max(1)
            && (self.answers_since_change as f64 * SMOOTHING >= 1.0
                || now.saturating_sub(self.limit_changed_at) as f64 >= 2.0 * expected)
    }
}

impl Balancer {
    pub(super) fn first_backoff(&self) -> Micros {
        ((self.longest_objective() * FIRST_BACKOFF_SHARE) as Micros).max(1_000)
    }
}

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) min_limit: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    pub(crate) backoff_until: Micros,
}
