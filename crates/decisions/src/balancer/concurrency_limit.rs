//! The adaptive concurrency limit of an endpoint, `steps * concurrency`, based on gRPC proposal
//! A105.
//!
//! The number of steps corresponds to the number of connections in A105: it grows by one with each
//! served trial call over the limit and shrinks by one with each failed connection. The concurrency
//! per step follows latency like TCP's congestion window: multiplicative decrease on overload, and
//! growth only while the limit is used up.

use super::{Balancer, SMOOTHING};
use crate::api::{EndpointRules, Micros, Outcome};
use crate::endpoint::Endpoint;

/// Maximum number of steps; A105's default for `max_connections_per_subchannel`.
const MAX_STEPS: u32 = 10;
/// Initial concurrency of an endpoint over all balancers, suitable for a few cores.
pub(super) const INITIAL_CONCURRENCY: f64 = 7.0;
/// Lower bound of the concurrency of an endpoint, over all balancers, under mild overload.
const MIN_CONCURRENCY: f64 = 12.0;
/// Smallest factor by which one decrease scales the concurrency, as in TCP.
const MAX_DECREASE: f64 = 0.5;
/// Factor by which a rejection by a full endpoint scales the concurrency.
const REJECTION_DECREASE: f64 = 0.8;
/// Latency ratio above which a group of endpoints gets fewer calls; answers then take about half of
/// their objective.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Number of doublings after which the backoff stops growing.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Initial backoff as a share of the longest latency objective.
const FIRST_BACKOFF_SHARE: f64 = 0.25;
/// Lower bound of the initial backoff.
const MIN_FIRST_BACKOFF: Micros = 1_000;

/// The number of calls that a balancer may have in flight at one endpoint, and the backoff of the
/// trials that raise it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// Steps earned by served trials; 0 means that the endpoint is ejected.
    pub(crate) steps: u32,
    /// Calls in flight per step.
    pub(crate) concurrency: f64,
    /// Lower bound of the limit for decreases due to latency.
    min_limit: f64,
    /// Whether a trial call over the limit is in flight.
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    /// No trial is sent before this time.
    pub(crate) backoff_until: Micros,
}

impl ConcurrencyLimit {
    /// The initial limit of a new endpoint, divided evenly among the balancers.
    pub(super) fn new(balancers: u32) -> Self {
        // At least one call: among many balancers most are idle at any time, and an even share
        // would starve the others.
        let share = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        ConcurrencyLimit {
            steps: 1,
            concurrency: share(INITIAL_CONCURRENCY),
            min_limit: share(MIN_CONCURRENCY),
            ..ConcurrencyLimit::default()
        }
    }

    /// Adds a step after a served trial and resets the backoff.
    pub(super) fn record_served_trial(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // Needing more than the maximum number of steps means that the concurrency per step was
            // underestimated, so it grows by the equivalent of one step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    /// Suspends trials for `first_backoff`, doubled with each consecutive failure up to a cap.
    pub(super) fn start_backoff(&mut self, now: Micros, first_backoff: Micros) {
        self.backoff_until = now + (first_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Scales the concurrency by `share`, keeping the limit at `min_limit` or more.
    fn decrease(&mut self, share: f64, min_limit: f64) {
        let min_concurrency = min_limit / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * share.max(MAX_DECREASE)).max(min_concurrency);
    }
}

impl Endpoint {
    /// Whether this balancer's calls in flight at the endpoint have reached the current limit.
    pub(super) fn at_limit(&self, now: Micros, rules: &EndpointRules) -> bool {
        let limit = f64::from(self.limit.steps)
            * self.limit.concurrency
            * self.slow_start_capacity(now, rules);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Whether enough answers have arrived since the last change of the limit to show its effect.
    pub(super) fn has_enough_answers(&self, now: Micros, expected_latency: f64) -> bool {
        self.answers_since_change >= self.in_flight.max(1)
            && (self.answers_since_change as f64 * SMOOTHING >= 1.0
                || now.saturating_sub(self.limit_changed_at) as f64 >= 2.0 * expected_latency)
    }

    /// Lowers the limit on a sign of overload: a rejection, or latency well above that of an
    /// unloaded endpoint.
    pub(super) fn adapt_limit(&mut self, now: Micros, outcome: Outcome, expected_latency: f64) {
        if outcome == Outcome::Rejected {
            self.limit.decrease(REJECTION_DECREASE, 0.0);
            // Fast rejections make a full endpoint look idle. Without a pause it would attract
            // further calls.
            self.paused_until = self.paused_until.max(now + expected_latency as Micros);
        } else if self.latency_ratio > 1.0 && self.has_enough_answers(now, expected_latency) {
            let severity = if self.latency_ratio > SEVERE_LATENCY_RATIO {
                MAX_DECREASE / 2.0
            } else {
                1.0
            };
            let min_limit = self.limit.min_limit * severity;
            self.limit.decrease(1.0 / self.latency_ratio, min_limit);
            // The decrease accounts for part of the excess latency. Otherwise a single congestion
            // episode would lower the limit repeatedly.
            self.latency_ratio = self.latency_ratio.sqrt();
            self.restart_answer_count(now);
        }
    }

    /// Restarts the count of answers after a change of the limit.
    pub(super) fn restart_answer_count(&mut self, now: Micros) {
        self.answers_since_change = 0;
        self.limit_changed_at = now;
    }
}

impl Balancer {
    /// The initial backoff after a failed trial, in microseconds.
    pub(super) fn first_backoff(&self) -> Micros {
        ((self.longest_objective() * FIRST_BACKOFF_SHARE) as Micros).max(MIN_FIRST_BACKOFF)
    }
}
