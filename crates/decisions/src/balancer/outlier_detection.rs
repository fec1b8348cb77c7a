//! Outlier detection: an endpoint that fails most of its calls, or takes no connection, is ejected;
//! after a backoff single trial calls decide whether it is readmitted.

use super::{Balancer, SMOOTHING};
use crate::api::{Class, Idempotency, Micros, Outcome};
use crate::call::Call;
use crate::endpoint::Endpoint;

/// Weight of a new outcome in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate above which an endpoint is an outlier: two failures in four calls.
pub(super) const FAILURE_RATE_LIMIT: f64 = 0.3;
/// Ejected endpoints up to which any call may be the trial of one that is due.
const FEW_EJECTED: usize = 16;

impl Endpoint {
    /// Counts an outcome in the failure rate.
    pub(super) fn record_failure_rate(&mut self, outcome: Outcome, failed: bool) {
        // A time-out proves less than an error: a congested endpoint may owe a lone call for that
        // long. So does a reset, which tells of one connection: those of an endpoint that is gone
        // come in numbers.
        let is_weak_evidence = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let weight = if is_weak_evidence {
            FAILURE_WEIGHT / 2.0
        } else {
            FAILURE_WEIGHT
        };
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) * weight;
    }

    /// A connection that fails or breaks takes a step of the limit; the last one only if it may be
    /// ejected. A broken connection is not the end of an endpoint that answers: its failures are
    /// counted.
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
        let may_take_last = may_eject && in_a_row && (connect_failed || self.last_served_at == 0);
        if (connect_failed || in_a_row) && (self.limit.steps > 1 || may_take_last) {
            self.limit.steps = self.limit.steps.saturating_sub(1);
        }
    }

    /// A trial call has ended. Returns whether it readmits an endpoint that was ejected.
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
        // One good answer of an endpoint that fails most does not readmit it: several in a row do.
        self.limit.backoff_doublings = 0;
        false
    }

    /// Ejects an endpoint that fails most of its calls or has lost its last step. Returns whether
    /// it did.
    pub(super) fn eject_if_outlier(
        &mut self,
        now: Micros,
        may_eject: bool,
        first_backoff: Micros,
    ) -> bool {
        // Fast errors and rejections make an endpoint look idle.
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
    /// Never more than half of the endpoints are ejected: a fault seen everywhere is not the
    /// endpoints' own.
    pub(super) fn may_eject(&self) -> bool {
        (self.endpoints.ejected_count() + 1) * 2 <= self.endpoints.listed_count()
    }

    /// May this call be the trial of an ejected endpoint? Only one that can be retried, where the
    /// site has such calls.
    pub(super) fn may_try_recovery(&self, call: &Call) -> bool {
        let can_repeat = |class: &Class| class.idempotency != Idempotency::NonIdempotent;
        let classes = &self.settings.classes;
        // Else trials of many ejected endpoints would take most calls, or those of a balancer with
        // few calls.
        let few_trials = !self.is_sparse() && self.endpoints.ejected_count() <= FEW_EJECTED
            || call.admission_draw < SMOOTHING;
        few_trials
            && call.attempts.is_empty()
            && (can_repeat(&call.class) || !classes.iter().any(can_repeat))
    }
}
