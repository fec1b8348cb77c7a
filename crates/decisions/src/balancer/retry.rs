//! Retries.

use super::*;

/// Further attempts and second copies that each call earns, and the most that may be saved up.
pub(super) const RETRY_TOKENS_PER_CALL: f64 = 0.2;
pub(super) const MAX_RETRY_TOKENS: f64 = 20.0;

impl Call {
    /// May it have another attempt, by their number?
    pub(super) fn may_have_another_attempt(&self) -> bool {
        (self.attempts.len() as u32) < self.policy.max_attempts
    }
}

impl Balancer {
    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
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
            self.retry_or_give_up(now, id, outcome, actions);
        }
        self.remove_if_finished(id);
    }

    /// After an attempt that did not serve: again, or the end.
    pub(super) fn retry_or_give_up(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let next = now.saturating_add(self.calls[&id].policy.backoff);
        let some = match self.allowed_endpoints(next, id) {
            Some(AllowedEndpoints::All) => self.endpoints.listed_count() > 0,
            Some(AllowedEndpoints::Only(slots)) => !slots.is_empty(),
            None => false,
        };
        let call = &self.calls[&id];
        let in_time = next as f64
            + self.expected_latency(call.class_id, call.class.latency_objective)
            < call.objective_deadline() as f64;
        let allowed =
            call.policy.retry_on == RetryOn::AnyFailure || call.first_maybe_executed().is_none();
        let paid = self.retry_tokens >= 1.0 || outcome == Outcome::ConnectFailed;
        if !(in_time
            && some
            && allowed
            && call.may_have_another_attempt()
            && paid
            && !call.streaming)
        {
            self.give_up(id, 0, actions);
            return;
        }
        self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
        match self.calls.get_mut(&id) {
            Some(call) if call.policy.backoff > 0 => {
                call.backing_off = true;
                self.timers.set(id, Some(next));
            }
            _ => self.enqueue(now, id, true),
        }
    }

    /// Where a call may go by what it has run: anywhere, to those that drop its repeats, or nowhere. Proof
    /// over all its attempts decides, never the last outcome alone.
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
                let slot = (scope, first.zone, first.cell);
                Some(self.endpoints.sharing_dedup_scope(&mut self.random, slot))
            }
            _ => None,
        }
    }

    /// Are there servers among these that none of the call's attempts went to?
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
                .any(|&p| in_set(p) && call.has_not_tried(&self.endpoints[p])),
            AllowedEndpoints::All => {
                let tried = call.attempts.iter().enumerate().filter(|(n, a)| {
                    let first = call.attempts[..*n].iter().all(|b| b.endpoint != a.endpoint);
                    first && self.endpoints.slot(a.endpoint).is_some_and(in_set)
                });
                tried.count() < self.endpoints.count(set)
            }
        }
    }
}
