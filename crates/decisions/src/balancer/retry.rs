//! Retries: whether a call may have another attempt, after what backoff, and at which endpoints.
//!
//! A call is retried if its class, or the proof that no attempt was executed, makes that harmless,
//! and if a retry token pays for it. Each call earns a fraction of a token, so retries remain a
//! bounded share of the calls no matter how many fail.

use super::{Actions, Balancer, SMOOTHING};
use crate::api::{CallId, Idempotency, Micros, Outcome, RetryOn};
use crate::call::Call;
use crate::endpoint_index::{AllowedEndpoints, CandidateSet};

/// Retry tokens earned per call. A retry or a hedged request costs one token.
pub(super) const RETRY_TOKENS_PER_CALL: f64 = 0.2;
/// Maximum number of accumulated retry tokens.
pub(super) const MAX_RETRY_TOKENS: f64 = 20.0;

impl Call {
    /// Whether the maximum number of attempts allows another one.
    pub(super) fn may_have_another_attempt(&self) -> bool {
        (self.attempts.len() as u32) < self.policy.max_attempts
    }
}

impl Balancer {
    /// Handles the end of an attempt: ends the call, retries it, or does nothing while another
    /// attempt is in flight.
    pub(super) fn after_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        closed: bool,
        actions: &mut Actions,
    ) {
        if closed || outcome == Outcome::Served {
            self.goodput += (1.0 - self.goodput) * SMOOTHING;
            self.finish(id);
            self.cancel_attempts(id, None, actions);
        } else if self
            .calls
            .get(&id)
            .is_some_and(|c| !c.ended && !c.queued && !c.backing_off && c.attempts_in_flight() == 0)
        {
            self.retry_or_end(now, id, outcome, actions);
        }
        self.remove_if_finished(id);
    }

    /// Retries a call after an unsuccessful attempt, or ends it.
    fn retry_or_end(&mut self, now: Micros, id: CallId, outcome: Outcome, actions: &mut Actions) {
        let next_attempt_at = now.saturating_add(self.calls[&id].policy.backoff);
        if !self.may_retry(next_attempt_at, id, outcome) {
            self.end_unserved(id, 0, actions);
            return;
        }
        self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
        match self.calls.get_mut(&id) {
            Some(call) if call.policy.backoff > 0 => {
                call.backing_off = true;
                self.timers.set(id, Some(next_attempt_at));
            }
            _ => self.requeue(now, id),
        }
    }

    /// Whether a call may be retried at this time: an endpoint is left for it, an answer can be
    /// expected in time, its policy allows it, and a retry token is available.
    fn may_retry(&mut self, next_attempt_at: Micros, id: CallId, outcome: Outcome) -> bool {
        let has_endpoint = match self.allowed_endpoints(next_attempt_at, id) {
            Some(AllowedEndpoints::All) => self.endpoints.listed_count() > 0,
            Some(AllowedEndpoints::Only(slots)) => !slots.is_empty(),
            None => false,
        };
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let in_time = next_attempt_at as f64 + expected < call.objective_deadline() as f64;
        let allowed =
            call.policy.retry_on == RetryOn::AnyFailure || call.first_maybe_executed().is_none();
        // A failed connection consumed no endpoint capacity, so its retry needs no token.
        let can_pay = self.retry_tokens >= 1.0 || outcome == Outcome::ConnectFailed;
        in_time
            && has_endpoint
            && allowed
            && call.may_have_another_attempt()
            && can_pay
            && !call.streaming
    }

    /// Queues the call again after its backoff.
    pub(super) fn end_backoff(&mut self, now: Micros, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.backing_off = false;
        }
        self.requeue(now, id);
    }

    /// The endpoints at which the call may be executed safely, given its earlier attempts: all,
    /// only those that deduplicate it, or none (`None`). All attempts count, not just the last
    /// outcome.
    pub(super) fn allowed_endpoints(
        &mut self,
        now: Micros,
        id: CallId,
    ) -> Option<AllowedEndpoints> {
        let call = &self.calls[&id];
        match (call.first_maybe_executed(), call.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Some(AllowedEndpoints::All),
            (Some(_), Idempotency::NonIdempotent) => None,
            (Some(first), Idempotency::Keyed { scope, window })
                if now.saturating_add(self.settings.tick)
                    < first.sent_at.saturating_add(window) =>
            {
                let dedup_group = (scope, first.zone, first.cell);
                let allowed = self
                    .endpoints
                    .sharing_dedup_scope(&mut self.random, dedup_group);
                Some(allowed)
            }
            _ => None,
        }
    }

    /// Whether the set contains an allowed endpoint that the call has not tried yet.
    pub(super) fn has_untried_endpoint(
        &self,
        call: &Call,
        set: CandidateSet,
        allowed: &AllowedEndpoints,
    ) -> bool {
        let in_set = |slot: usize| self.endpoints.contains(set, slot);
        if call.attempts.is_empty() {
            return true;
        }
        match allowed {
            AllowedEndpoints::Only(slots) => slots
                .iter()
                .any(|&slot| in_set(slot) && call.has_not_tried(&self.endpoints[slot])),
            AllowedEndpoints::All => {
                let tried = call
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(number, attempt)| {
                        let earlier = &call.attempts[..*number];
                        let first_there = earlier.iter().all(|e| e.endpoint != attempt.endpoint);
                        first_there && self.endpoints.slot(attempt.endpoint).is_some_and(in_set)
                    });
                tried.count() < self.endpoints.count(set)
            }
        }
    }
}
