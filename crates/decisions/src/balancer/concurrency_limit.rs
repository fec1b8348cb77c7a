//! The adaptive concurrency limit of an endpoint: steps x concurrency, after gRPC's proposal A105.
//!
//! A step stands for the connections that the endpoint is trusted with; it grows by one with each
//! trial call over the limit that is served, and a failed connection takes one. The concurrency of
//! a step follows latency like TCP's congestion window: multiplicative decrease on overload, and
//! growth only where the limit is used.

use super::{Balancer, SMOOTHING};
use crate::api::{EndpointRules, Micros, Outcome};
use crate::endpoint::Endpoint;

/// Most steps of a limit: A105's default for `max_connections_per_subchannel`.
const MAX_STEPS: u32 = 10;
/// Calls in flight at an endpoint over all balancers at first, for a few cores.
pub(super) const INITIAL_CONCURRENCY: f64 = 7.0;
/// The same where mild overload leads.
const MIN_CONCURRENCY: f64 = 12.0;
/// What one decrease leaves of the concurrency at the least: TCP's cut.
const MAX_DECREASE: f64 = 0.5;
/// What a rejection by a full endpoint leaves of the concurrency.
const REJECTION_DECREASE: f64 = 0.8;
/// Latency ratio at which a group of endpoints gets fewer calls: answers take about half their
/// objective.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Doublings of a backoff up to its cap.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// First backoff as a share of the longest latency objective.
const FIRST_BACKOFF_SHARE: f64 = 0.25;
/// Shortest first backoff.
const MIN_FIRST_BACKOFF: Micros = 1_000;

/// How many calls a balancer may have in flight at one endpoint, and the backoff of the trials that
/// raise it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// Steps that trials have earned; 0: the endpoint is ejected.
    pub(crate) steps: u32,
    /// Calls in flight for each step.
    pub(crate) concurrency: f64,
    /// The limit that decreases for latency leave at the least.
    min_limit: f64,
    /// A trial call over the limit is in flight.
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    /// No trial before this.
    pub(crate) backoff_until: Micros,
}

impl ConcurrencyLimit {
    /// The limit of an endpoint of which nothing is known, shared evenly among so many balancers.
    pub(super) fn new(balancers: u32) -> Self {
        // Never under one call: among many balancers most are silent, and an even share starves the
        // others.
        let share = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        ConcurrencyLimit {
            steps: 1,
            concurrency: share(INITIAL_CONCURRENCY),
            min_limit: share(MIN_CONCURRENCY),
            ..ConcurrencyLimit::default()
        }
    }

    /// A trial was served: one step more, and the backoff starts anew.
    pub(super) fn record_served_trial(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // At the most steps the concurrency itself was learned too low: it takes the step
            // instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    /// No trial for `first_backoff`, doubled with each failure in a row up to a cap.
    pub(super) fn start_backoff(&mut self, now: Micros, first_backoff: Micros) {
        self.backoff_until = now + (first_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Leaves this share of the concurrency, but no smaller a limit than `min_limit`.
    fn decrease(&mut self, share: f64, min_limit: f64) {
        let min_concurrency = min_limit / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * share.max(MAX_DECREASE)).max(min_concurrency);
    }
}

impl Endpoint {
    /// Has this balancer as many calls in flight there as it may have now?
    pub(super) fn at_limit(&self, now: Micros, rules: &EndpointRules) -> bool {
        let limit = f64::from(self.limit.steps)
            * self.limit.concurrency
            * self.slow_start_capacity(now, rules);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Are enough answers in since its limit last changed to tell what the change did?
    pub(super) fn has_enough_answers(&self, now: Micros, expected_latency: f64) -> bool {
        self.answers_since_change >= self.in_flight.max(1)
            && (self.answers_since_change as f64 * SMOOTHING >= 1.0
                || now.saturating_sub(self.limit_changed_at) as f64 >= 2.0 * expected_latency)
    }

    /// Lowers the limit on a sign of too much in flight: a rejection, or latency well above that of
    /// an unloaded endpoint.
    pub(super) fn adapt_limit(&mut self, now: Micros, outcome: Outcome, expected_latency: f64) {
        if outcome == Outcome::Rejected {
            self.limit.decrease(REJECTION_DECREASE, 0.0);
            // Fast rejections leave it looking idle: without a pause it would draw in call after
            // call.
            self.paused_until = self.paused_until.max(now + expected_latency as Micros);
        } else if self.latency_ratio > 1.0 && self.has_enough_answers(now, expected_latency) {
            let severity = if self.latency_ratio > SEVERE_LATENCY_RATIO {
                MAX_DECREASE / 2.0
            } else {
                1.0
            };
            let min_limit = self.limit.min_limit * severity;
            self.limit.decrease(1.0 / self.latency_ratio, min_limit);
            // The decrease answers for part of the latency: else one congestion would be cut for
            // again and again.
            self.latency_ratio = self.latency_ratio.sqrt();
            self.restart_answer_count(now);
        }
    }

    /// Its limit has changed: answers count anew from here on.
    pub(super) fn restart_answer_count(&mut self, now: Micros) {
        self.answers_since_change = 0;
        self.limit_changed_at = now;
    }
}

impl Balancer {
    /// The first backoff of a failed trial, in microseconds.
    pub(super) fn first_backoff(&self) -> Micros {
        ((self.longest_objective() * FIRST_BACKOFF_SHARE) as Micros).max(MIN_FIRST_BACKOFF)
    }
}
