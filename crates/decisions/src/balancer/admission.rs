//! Admission of calls and load shedding.

use super::*;

/// Wait in the hold beyond which new calls are refused, as a share of their aim.
pub(super) const QUEUE_WAIT_SHARE: f64 = 0.1;
/// Times of the shortest aim that count at the most: patient calls must not fill the hold before brief ones.
pub(super) const QUEUE_WAIT_OBJECTIVES: f64 = 2.0;
/// Share of the longest wait for a try that is taken for the same patience.
pub(super) const SAME_TIMEOUT_SHARE: f64 = 0.95;

impl Call {
    pub(super) fn may_be_rejected(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        harmless || self.first_maybe_executed().is_none()
    }
}

impl Balancer {
    pub(super) fn on_request(
        &mut self,
        now: Micros,
        id: CallId,
        (class, left, lot): (ClassId, Micros, bool),
        policy: CallPolicy,
        actions: &mut Actions,
    ) {
        // A class that the settings do not name is unsafe.
        let unknown = Class {
            latency_objective: left,
            deadline: left,
            ..Class::default()
        };
        let mut spec = self
            .settings
            .classes
            .get(class.0)
            .copied()
            .unwrap_or(unknown);
        if policy.non_idempotent {
            spec.idempotency = Idempotency::NonIdempotent;
        }
        // Settings may change while it is open: what they allow now is its own from here on.
        let limits = &self.settings.limits;
        let hedge = if limits.hedging {
            policy.hedge
        } else {
            Hedge::Never
        };
        let policy = CallPolicy {
            max_attempts: policy.max_attempts.min(limits.max_attempts),
            hedge,
            ..policy
        };
        let call = Call {
            class: spec,
            class_id: class.0,
            policy,
            arrived_at: now,
            first_tried_at: now.saturating_sub(self.time_already_spent(class.0, &spec, left)),
            deadline: now.saturating_add(left),
            may_draw_slow_start: lot,
            admission_draw: self.random_unit(),
            ..Call::default()
        };
        self.calls.insert(id, call);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
        self.class_latencies
            .iter_mut()
            .skip(class.0)
            .take(1)
            .for_each(|p| p.requests += 1.0);
        let waited = self
            .wait_queue
            .front()
            .map_or(0, |head| now.saturating_sub(self.calls[head].arrived_at));
        if waited > self.max_queue_wait(id) {
            self.give_up(id, waited, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long ago did the client first ask? One that waits less for this try than others do has used up the
    /// rest. Only as many are taken to have tried before as were turned back: patience may be unequal.
    pub(super) fn time_already_spent(
        &mut self,
        class_id: usize,
        class: &Class,
        left: Micros,
    ) -> Micros {
        let Some(latency) = self.class_latencies.get_mut(class_id) else {
            return 0;
        };
        latency.longest_timeout = latency.longest_timeout.max(left);
        if left as f64 >= latency.longest_timeout as f64 * SAME_TIMEOUT_SHARE
            || latency.unserved == 0
        {
            return 0;
        }
        latency.unserved -= 1;
        class.deadline.saturating_sub(left)
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be served
    /// late. Classes of much worth for their work wait longest.
    pub(super) fn max_queue_wait(&self, id: CallId) -> Micros {
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let objective = call.objective_deadline().saturating_sub(call.arrived_at) as f64;
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0) as f64;
        let limit = objective.min(QUEUE_WAIT_OBJECTIVES * shortest) * QUEUE_WAIT_SHARE;
        let protected = if self.is_protected(call) {
            objective - LATENCY_MARGIN * expected
        } else {
            0.0
        };
        limit.max(protected).min(objective - expected).max(0.0) as Micros
    }

    pub(super) fn is_protected(&self, call: &Call) -> bool {
        let all = self.class_latencies.iter().zip(&self.settings.classes);
        let (worth, work) = all.fold((0.0, 0.0), |(w, t), (p, c)| {
            (
                w + p.requests * c.priority_weight,
                t + p.requests * p.unloaded,
            )
        });
        let base = self
            .class_latencies
            .get(call.class_id)
            .map_or(f64::MAX, |p| p.unloaded);
        let density = call.class.priority_weight / base * work / worth.max(f64::MIN_POSITIVE);
        let goal = &self.settings.goal;
        goal.overall * density > goal.overall + goal.worst_class
    }

    pub(super) fn give_up(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let class_id = self.calls[&id].class_id;
        self.class_latencies
            .iter_mut()
            .skip(class_id)
            .take(1)
            .for_each(|p| p.unserved += 1);
        self.goodput -= self.goodput * SMOOTHING;
        if self.calls[&id].may_be_rejected() {
            let retry_after = retry_after.min(self.settings.limits.max_retry_after);
            actions.push(Action::Reject {
                call: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { call: id });
        }
        self.finish(id);
        self.cancel_attempts(id, None, actions);
        self.remove_if_finished(id);
    }
}
