//! Admission control: creates the state of a new call, decides whether it may join the wait queue,
//! and ends calls that are not served.

use super::hedging::LATENCY_MARGIN;
use super::retry::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_CALL};
use super::{Actions, Balancer, SMOOTHING};
use crate::api::{
    Action, CallId, CallPolicy, Class, ClassId, DedupScope, Hedge, Idempotency, Limits, Micros,
};
use crate::call::Call;

/// Queue wait above which new calls are shed, as a share of their latency objective.
const QUEUE_WAIT_SHARE: f64 = 0.1;
/// Caps the objective used for the queue wait limit at this multiple of the shortest one, so that
/// calls with long objectives cannot fill the queue ahead of calls with short ones.
const QUEUE_WAIT_OBJECTIVES: f64 = 2.0;
/// A client timeout of at least this share of the longest one seen counts as equal to it.
const SAME_TIMEOUT_SHARE: f64 = 0.95;

/// A call as requested by its client.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewCall {
    pub(super) id: CallId,
    pub(super) class: ClassId,
    /// The definition that the call was admitted under, if it may differ from that of the settings.
    pub(super) definition: Option<Class>,
    pub(super) time_left: Micros,
    /// Time until the process must have answered, if it shuts down.
    pub(super) time_until_exit: Option<Micros>,
    pub(super) is_retry: bool,
    pub(super) policy: CallPolicy,
}

impl Call {
    /// Whether the client may be told that it can safely try again.
    fn may_be_rejected(&self) -> bool {
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

/// Restricts a call's policy to what the settings allow.
fn allowed_policy(policy: CallPolicy, limits: &Limits) -> CallPolicy {
    let hedge = if limits.hedging {
        policy.hedge
    } else {
        Hedge::Never
    };
    CallPolicy {
        max_attempts: policy.max_attempts.min(limits.max_attempts),
        hedge,
        ..policy
    }
}

impl Balancer {
    /// Queues a new call, or sheds it if the current queue wait exceeds the limit for this call.
    pub(super) fn on_request(&mut self, now: Micros, new: NewCall, actions: &mut Actions) {
        let (id, ClassId(class_id)) = (new.id, new.class);
        let class = self.resolve_class(&new);
        // The client's own timeout tells whether it has tried before.
        let first_tried_at = now.saturating_sub(self.time_already_spent(&new, &class));
        let time_until_exit = new.time_until_exit.unwrap_or(Micros::MAX);
        let call = Call {
            class,
            class_id,
            // The call keeps the limits in force at its arrival, even if the settings change
            // meanwhile.
            policy: allowed_policy(new.policy, &self.settings.limits),
            arrived_at: now,
            first_tried_at,
            deadline: now.saturating_add(new.time_left.min(time_until_exit)),
            ends_at_exit: time_until_exit < new.time_left,
            may_draw_slow_start: !new.is_retry,
            admission_draw: self.random_unit(),
            ..Call::default()
        };
        self.calls.insert(id, call);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
        if let Some(latency) = self.class_latencies.get_mut(class_id) {
            latency.requests += 1.0;
        }
        if time_until_exit == 0 {
            self.end_unserved(id, 0, actions);
            return;
        }
        let waited = self.current_queue_wait(now);
        if waited > self.max_queue_wait(id) {
            self.end_unserved(id, waited, actions);
        } else {
            self.enqueue(now, id);
        }
    }

    /// Returns the class of a call: the definition that it was admitted under, or else that of the
    /// settings. A class that the settings do not define is treated as not idempotent.
    fn resolve_class(&self, new: &NewCall) -> Class {
        let unknown = Class {
            latency_objective: new.time_left,
            deadline: new.time_left,
            ..Class::default()
        };
        let known = self.settings.classes.get(new.class.0);
        let mut class = new.definition.or(known.copied()).unwrap_or(unknown);
        if new.policy.non_idempotent {
            class.idempotency = Idempotency::NonIdempotent;
        }
        class
    }

    /// Estimates how long ago the client first tried. A timeout shorter than that of other clients
    /// of the class suggests that earlier tries used up the rest of the deadline. Only as many
    /// calls count as repeated as have ended unserved, because client timeouts may differ for other
    /// reasons.
    fn time_already_spent(&mut self, new: &NewCall, class: &Class) -> Micros {
        let Some(latency) = self.class_latencies.get_mut(new.class.0) else {
            return 0;
        };
        latency.longest_timeout = latency.longest_timeout.max(new.time_left);
        let same_timeout = latency.longest_timeout as f64 * SAME_TIMEOUT_SHARE;
        if new.time_left as f64 >= same_timeout || latency.unserved == 0 {
            return 0;
        }
        latency.unserved -= 1;
        class.deadline.saturating_sub(new.time_left)
    }

    /// The time that the call at the front of the queue has waited.
    fn current_queue_wait(&self, now: Micros) -> Micros {
        let first = self.wait_queue.front();
        first.map_or(0, |id| now.saturating_sub(self.calls[id].arrived_at))
    }

    /// The longest queue wait at which this call may still join the queue. Without a bound, all
    /// calls would be served late. Classes with a high priority weight relative to their work may
    /// wait longest.
    pub(super) fn max_queue_wait(&self, id: CallId) -> Micros {
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let objective = call.objective_deadline().saturating_sub(call.arrived_at) as f64;
        let classes = self.settings.classes.iter();
        let shortest = classes.map(|class| class.latency_objective).min();
        let shortest = shortest.unwrap_or(0) as f64;
        let limit = objective.min(QUEUE_WAIT_OBJECTIVES * shortest) * QUEUE_WAIT_SHARE;
        let protected = if self.is_protected(call) {
            objective - LATENCY_MARGIN * expected
        } else {
            0.0
        };
        limit.max(protected).min(objective - expected).max(0.0) as Micros
    }

    /// Whether losing this call would cost the score more than losing an average call, relative to
    /// the work that it takes.
    fn is_protected(&self, call: &Call) -> bool {
        let classes = self.class_latencies.iter().zip(&self.settings.classes);
        let (mut weight, mut work) = (0.0, 0.0);
        for (latency, class) in classes {
            weight += latency.requests * class.priority_weight;
            work += latency.requests * latency.unloaded;
        }
        let latency = self.class_latencies.get(call.class_id);
        let unloaded = latency.map_or(f64::MAX, |latency| latency.unloaded);
        let density = call.class.priority_weight / unloaded * work / weight.max(f64::MIN_POSITIVE);
        let goal = &self.settings.goal;
        goal.overall * density > goal.overall + goal.worst_class
    }

    /// Ends a call unserved. It is rejected if its client may safely try again, otherwise it fails.
    pub(super) fn end_unserved(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let call = &self.calls[&id];
        if let Some(latency) = self.class_latencies.get_mut(call.class_id) {
            latency.unserved += 1;
        }
        self.goodput -= self.goodput * SMOOTHING;
        if call.may_be_rejected() {
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
