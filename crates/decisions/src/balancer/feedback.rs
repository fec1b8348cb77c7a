//! Learning from ended attempts: updates the statistics of the endpoint, of its group (machine kind
//! and zone), and of the call's class.

use super::concurrency_limit::SEVERE_LATENCY_RATIO;
use super::{Actions, Balancer, SMOOTHING};
use crate::api::{Action, CallId, LoadReport, LogEvent, Micros, Outcome};
use crate::call::{Attempt, Execution};
use crate::endpoint::Endpoint;
use crate::latency::EndpointGroup;
use crate::load_feedback;

/// Multiple of the class's unloaded latency above which an answer is slow; corresponds to about two
/// calls per core.
const LATENCY_LIMIT_FACTOR: f64 = 3.0;
/// Share of the latency objective above which an answer is slow. The shorter of the two limits
/// applies.
const LATENCY_LIMIT_SHARE: f64 = 0.33;
/// Reported CPU utilization equivalent to a latency ratio of 1. Above it, queueing delay rises
/// steeply.
const CPU_UTILIZATION_LIMIT: f64 = 0.9;
/// Minimum latency ratio of an attempt that timed out while the endpoint answered others.
const TIMED_OUT_LATENCY_RATIO: f64 = 2.0;
/// Upper bound of a latency ratio.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// An attempt that has ended, with its outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub(super) attempt: Attempt,
    pub(super) class_id: usize,
    pub(super) outcome: Outcome,
}

/// Reference values for evaluating an ended attempt, taken before its outcome is recorded.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    first_backoff: Micros,
    expected_latency: f64,
    longest_objective: f64,
    may_eject: bool,
    sparse: bool,
    /// Latency, in microseconds, that corresponds to a latency ratio of 1.
    latency_limit: f64,
}

impl EndedAttempt {
    /// Whether the attempt timed out while the endpoint answered others. Such an endpoint is slow
    /// rather than down, so it gets fewer calls instead of none.
    fn is_late(&self, endpoint: &Endpoint) -> bool {
        self.outcome == Outcome::TimedOut && endpoint.last_served_at > self.attempt.sent_at
    }

    fn has_no_result(&self) -> bool {
        matches!(self.outcome, Outcome::Cancelled | Outcome::NotSent)
    }
}

impl EndpointGroup {
    /// Records an answer's latency ratio. The admitted share adapts to it like a concurrency limit
    /// below one call.
    fn record(&mut self, latency_ratio: f64) {
        self.latency_ratio += (latency_ratio - self.latency_ratio) * SMOOTHING;
        let change = (SEVERE_LATENCY_RATIO - latency_ratio).max(-SEVERE_LATENCY_RATIO) * SMOOTHING;
        self.admitted_share = (self.admitted_share * change.exp()).clamp(SMOOTHING / 2.0, 1.0);
    }
}

impl Endpoint {
    /// Records the larger of an answer's latency ratio and the endpoint's reported congestion.
    fn record_latency_ratio(&mut self, latency_ratio: f64, weight: f64) {
        let seen = latency_ratio.max(self.reported_congestion);
        self.latency_ratio += (seen - self.latency_ratio) * weight;
        self.answers_since_change += 1;
    }
}

/// The congestion in a load report: queued requests per executing request, or else CPU utilization
/// relative to its limit. A value of 1 is equivalent to a latency ratio of 1.
fn congestion_of(load: LoadReport) -> Option<f64> {
    let congestion = match load {
        LoadReport {
            in_flight: Some(in_flight),
            queued: Some(queued),
            ..
        } => queued / (in_flight - queued).max(1.0),
        LoadReport {
            cpu_utilization: Some(utilization),
            ..
        } => utilization / CPU_UTILIZATION_LIMIT,
        _ => return None,
    };
    if congestion.is_finite() {
        Some(congestion.clamp(0.0, load_feedback::MAX_CONGESTION))
    } else {
        Some(0.0)
    }
}

impl Balancer {
    /// Records the end of an attempt. Returns `None` for unknown attempts and for those that have
    /// ended before.
    pub(super) fn record_outcome(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let call = self.calls.get_mut(&id)?;
        let tried = call
            .attempts
            .get_mut(attempt as usize)
            .filter(|attempt| attempt.execution == Execution::InFlight)?;
        tried.execution = if outcome.proves_not_executed() {
            Execution::NotExecuted
        } else {
            Execution::MaybeExecuted
        };
        Some(EndedAttempt {
            attempt: *tried,
            class_id: call.class_id,
            outcome,
        })
    }

    /// Records the load that an endpoint reported with the answer to this attempt.
    pub(super) fn record_load_report(
        &mut self,
        now: Micros,
        id: CallId,
        attempt: u32,
        load: LoadReport,
    ) {
        let attempts = self.calls.get(&id).map(|call| &call.attempts);
        let Some(tried) = attempts.and_then(|attempts| attempts.get(attempt as usize)) else {
            return;
        };
        let Some(slot) = self.endpoints.slot(tried.endpoint) else {
            return;
        };
        let Some(congestion) = congestion_of(load) else {
            return;
        };
        self.endpoints[slot].reported_congestion = congestion;
        // CPU utilization does not show an overload of the fleet: all cores are busy long before a
        // request has to wait.
        if load.queued.is_some() && self.is_sparse() {
            let sample = &mut self.endpoints[slot].last_sample;
            self.load_feedback.record(now, sample, congestion);
        }
    }

    /// Updates the statistics and the state of the endpoint after an ended attempt.
    pub(super) fn learn_from_attempt(
        &mut self,
        now: Micros,
        ended: EndedAttempt,
        actions: &mut Actions,
    ) {
        let baseline = self.baseline(ended.class_id);
        let Some(slot) = self.endpoints.slot(ended.attempt.endpoint) else {
            return;
        };
        let (outcome, is_trial) = (ended.outcome, ended.attempt.is_trial);
        let elapsed = now.saturating_sub(ended.attempt.sent_at);
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let late = ended.is_late(endpoint);
        let min_ratio = if late { TIMED_OUT_LATENCY_RATIO } else { 0.0 };
        let latency_ratio =
            (elapsed as f64 / baseline.latency_limit).clamp(min_ratio, MAX_LATENCY_RATIO);
        if ended.has_no_result() {
            // A cancelled attempt, such as the slower one of a hedged pair, would have taken at
            // least this long.
            endpoint.latency_ratio += (latency_ratio - endpoint.latency_ratio).max(0.0) * SMOOTHING;
            endpoint.limit.trial_in_flight &= !is_trial;
            return;
        }
        let failed = outcome != Outcome::Served && !late;
        endpoint.record_failure_rate(outcome, failed);
        self.record_latency(now, slot, ended, latency_ratio, failed, baseline);
        let endpoint = &mut self.endpoints[slot];
        if outcome == Outcome::Served {
            endpoint.last_served_at = now;
        }
        // The most congested endpoints send no load reports: they time out or reject calls without
        // processing them.
        if baseline.sparse && matches!(outcome, Outcome::TimedOut | Outcome::Rejected) {
            self.load_feedback
                .record_overload(now, &mut endpoint.last_sample);
        }
        endpoint.adapt_limit(now, outcome, baseline.expected_latency);
        let was_ejected = endpoint.limit.steps == 0;
        endpoint.record_connection_failure(now, outcome, baseline.may_eject);
        endpoint.limit.trial_in_flight &= !is_trial;
        let (id, first_backoff) = (endpoint.id, baseline.first_backoff);
        if is_trial && endpoint.record_trial(now, outcome, was_ejected, first_backoff) {
            let event = LogEvent::EndpointReadmitted { endpoint: id };
            actions.push(Action::Log { event });
        }
        if !was_ejected && endpoint.eject_if_outlier(now, baseline.may_eject, first_backoff) {
            let event = LogEvent::EndpointEjected { endpoint: id };
            actions.push(Action::Log { event });
        }
    }

    fn baseline(&self, class_id: usize) -> Baseline {
        let class = self.settings.classes.get(class_id);
        let objective = class.map_or(f64::MAX, |class| class.latency_objective as f64);
        let latency = self.class_latencies.get(class_id);
        let latency_limit = latency.map_or(f64::MAX, |latency| {
            (latency.unloaded * LATENCY_LIMIT_FACTOR)
                .min(objective * LATENCY_LIMIT_SHARE)
                .max(latency.unloaded)
        });
        Baseline {
            first_backoff: self.first_backoff(),
            expected_latency: self.longest_expected_latency(),
            longest_objective: self.longest_objective(),
            may_eject: self.may_eject(),
            sparse: self.is_sparse(),
            latency_limit,
        }
    }

    /// Records the latency of an ended attempt for its group, its endpoint and its class, and for
    /// the load probes' latency model.
    fn record_latency(
        &mut self,
        now: Micros,
        slot: usize,
        ended: EndedAttempt,
        latency_ratio: f64,
        failed: bool,
        baseline: Baseline,
    ) {
        let elapsed = now.saturating_sub(ended.attempt.sent_at) as f64;
        let endpoint = &mut self.endpoints[slot];
        let group = self
            .groups
            .entry((endpoint.zone, endpoint.kind))
            .or_insert(EndpointGroup {
                latency_ratio,
                admitted_share: 1.0,
            });
        let group_ratio = if failed {
            SEVERE_LATENCY_RATIO * 2.0
        } else {
            latency_ratio
        };
        group.record(group_ratio);
        // When answers are rare, a new one weighs more, so that the latency ratio does not reflect
        // outdated samples.
        let gap = now.saturating_sub(endpoint.last_ended_at) as f64 / baseline.longest_objective;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        endpoint.last_ended_at = now;
        if !failed {
            endpoint.record_latency_ratio(latency_ratio, weight);
            // Answers alone would bias the mean towards fast calls, so attempts that timed out
            // count with the time that they took.
            if let Some(latency) = self.class_latencies.get_mut(ended.class_id) {
                latency.record(now, elapsed);
            }
        }
        let load = ended.attempt.load_at_send;
        if load > 0.0 && matches!(ended.outcome, Outcome::Served | Outcome::TimedOut) {
            self.probed_answers.record(elapsed, load);
        }
    }
}
