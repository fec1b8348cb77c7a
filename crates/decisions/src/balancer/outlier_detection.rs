//! Outlier detection: an endpoint that fails most of its calls or refuses connections is ejected.
//! After a backoff, single trial calls decide whether it is readmitted.

use super::{Balancer, SMOOTHING};
use crate::api::{Class, Idempotency, Micros, Outcome};
use crate::call::Call;
use crate::endpoint::Endpoint;

/// Smoothing factor of an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate above which an endpoint is an outlier; corresponds to two failures in four calls.
pub(super) const FAILURE_RATE_LIMIT: f64 = 0.3;
/// Up to this many ejected endpoints, any call may be a recovery trial.
const FEW_EJECTED: usize = 16;

impl Endpoint {
    /// Adds an outcome to the failure rate.
    pub(super) fn record_failure_rate(&mut self, outcome: Outcome, failed: bool) {
        // A timeout is weaker evidence than an error: a congested endpoint may take that long to
        // answer a single call. A reset affects one connection only, and resets of a dead endpoint
        // come in large numbers.
        let is_weak_evidence = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let weight = if is_weak_evidence {
            FAILURE_WEIGHT / 2.0
        } else {
            FAILURE_WEIGHT
        };
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) * weight;
    }

    /// Removes a step of the limit after a failed or broken connection; the last step only if the
    /// endpoint may be ejected. A broken connection alone does not eject an endpoint that answers
    /// calls: its failure rate does.
    pub(super) fn record_connection_failure(
        &mut self,
        now: Micros,
        outcome: Outcome,
        may_eject: bool,
    ) {
        let connect_failed = outcome == Outcome::ConnectFailed;
        if !connect_failed && outcome != Outcome::Reset {
            return;
        }
        let previous = std::mem::replace(&mut self.last_broken_at, now);
        let in_a_row = self.last_served_at <= previous;
        let may_remove_last_step =
            may_eject && in_a_row && (connect_failed || self.last_served_at == 0);
        if (connect_failed || in_a_row) && (self.limit.steps > 1 || may_remove_last_step) {
            self.limit.steps = self.limit.steps.saturating_sub(1);
        }
    }

    /// Records the end of a trial call. Returns whether it readmits an ejected endpoint.
    pub(super) fn record_trial(
        &mut self,
        now: Micros,
        outcome: Outcome,
        was_ejected: bool,
        first_backoff: Micros,
    ) -> bool {
        if outcome != Outcome::Served {
            self.limit.start_backoff(now, first_backoff);
            return false;
        }
        if !was_ejected && self.latency_ratio > 1.0 {
            self.limit.backoff_until = now + first_backoff;
            return false;
        }
        if !was_ejected || self.failure_rate < FAILURE_RATE_LIMIT / 2.0 {
            self.limit.record_served_trial();
            self.restart_answer_count(now);
            return was_ejected;
        }
        // A single served trial does not readmit an endpoint with a high failure rate; several in a
        // row do.
        self.limit.backoff_doublings = 0;
        false
    }

    /// Ejects an endpoint whose failure rate is too high or whose last step was removed. Returns
    /// whether it is now ejected.
    pub(super) fn eject_if_outlier(
        &mut self,
        now: Micros,
        may_eject: bool,
        first_backoff: Micros,
    ) -> bool {
        // An endpoint that answers with fast errors or rejections looks idle, so it must be ejected
        // to keep it from attracting calls.
        if self.failure_rate > FAILURE_RATE_LIMIT && may_eject {
            self.limit.steps = 0;
        }
        if self.limit.steps > 0 {
            return false;
        }
        self.limit.start_backoff(now, first_backoff);
        self.latency_ratio = 1.0;
        true
    }
}

impl Balancer {
    /// Whether another endpoint may be ejected. At most half of the endpoints are ejected, because
    /// a fault seen everywhere is unlikely to be caused by the endpoints.
    pub(super) fn may_eject(&self) -> bool {
        (self.endpoints.ejected_count() + 1) * 2 <= self.endpoints.listed_count()
    }

    /// Whether this call may be the recovery trial of an ejected endpoint. Only calls that can be
    /// retried qualify, unless no class allows retries.
    pub(super) fn may_try_recovery(&self, call: &Call) -> bool {
        let can_repeat = |class: &Class| class.idempotency != Idempotency::NonIdempotent;
        let classes = &self.settings.classes;
        // Otherwise the trials of many ejected endpoints would consume most calls, or all those of
        // a balancer with few calls.
        let few_trials = !self.is_sparse() && self.endpoints.ejected_count() <= FEW_EJECTED
            || call.admission_draw < SMOOTHING;
        few_trials
            && call.attempts.is_empty()
            && (can_repeat(&call.class) || !classes.iter().any(can_repeat))
    }
}
