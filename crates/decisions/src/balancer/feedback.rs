//! What the outcome of an attempt teaches.

use super::*;

/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
pub(super) const LATENCY_LIMIT_FACTOR: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
pub(super) const LATENCY_LIMIT_SHARE: f64 = 0.33;
/// Reported share of busy cores that is as much: above it waiting grows steeply.
pub(super) const CPU_UTILIZATION_LIMIT: f64 = 0.9;
/// Strain at which a group is used less: answers take about half their aim.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;

impl Balancer {
    /// Notes an attempt's end; late, double and unknown ones change nothing.
    pub(super) fn record_outcome(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<(Attempt, usize)> {
        let call = self.calls.get_mut(&id)?;
        let tried = call
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.execution == Execution::InFlight)?;
        tried.execution = if outcome.proves_not_executed() {
            Execution::NotExecuted
        } else {
            Execution::MaybeExecuted
        };
        Some((*tried, call.class_id))
    }

    /// As many waiting as in work, or nearly all cores busy, is as much as an answer at its limit.
    pub(super) fn record_load_report(
        &mut self,
        now: Micros,
        id: CallId,
        attempt: u32,
        load: LoadReport,
    ) {
        let Some(tried) = self
            .calls
            .get(&id)
            .and_then(|c| c.attempts.get(attempt as usize))
        else {
            return;
        };
        let Some(slot) = self.endpoints.slot(tried.endpoint) else {
            return;
        };
        let congestion = match load {
            LoadReport {
                in_flight: Some(all),
                queued: Some(waiting),
                ..
            } => waiting / (all - waiting).max(1.0),
            LoadReport {
                cpu_utilization: Some(busy),
                ..
            } => busy / CPU_UTILIZATION_LIMIT,
            _ => return,
        };
        let congestion = if congestion.is_finite() {
            congestion.clamp(0.0, load_feedback::MAX_CONGESTION)
        } else {
            0.0
        };
        self.endpoints[slot].reported_congestion = congestion;
        // How busy cores are tells of no crowd: they are all busy long before one waits.
        if load.queued.is_some() && self.is_sparse() {
            self.load_feedback
                .record(now, &mut self.endpoints[slot].last_sample, congestion);
        }
    }

    /// What a server's answer, or its absence, teaches.
    pub(super) fn learn_from_attempt(
        &mut self,
        now: Micros,
        tried: Attempt,
        class_id: usize,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let Attempt {
            endpoint: id,
            sent_at: sent,
            is_trial: trial,
            ..
        } = tried;
        let elapsed = now.saturating_sub(sent);
        let (first, longest, longest_aim) = (
            self.first_backoff(),
            self.longest_expected_latency(),
            self.longest_objective(),
        );
        let (may_set_aside, sparse) = (self.may_eject(), self.is_sparse());
        let Some(slot) = self.endpoints.slot(id) else {
            return;
        };
        let latency = self.class_latencies.get_mut(class_id);
        let objective = self
            .settings
            .classes
            .get(class_id)
            .map_or(f64::MAX, |c| c.latency_objective as f64);
        let limit = latency.as_ref().map_or(f64::MAX, |p| {
            (p.unloaded * LATENCY_LIMIT_FACTOR)
                .min(objective * LATENCY_LIMIT_SHARE)
                .max(p.unloaded)
        });
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let late = if outcome == Outcome::TimedOut && endpoint.last_served_at > sent {
            2.0
        } else {
            0.0
        };
        let mut latency_ratio = (elapsed as f64 / limit).clamp(late, 4.0);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if endpoint.last_served_at > sent => false,
            Outcome::Cancelled | Outcome::NotSent => {
                // A loser called off was at least this slow.
                endpoint.latency_ratio +=
                    (latency_ratio - endpoint.latency_ratio).max(0.0) * SMOOTHING;
                endpoint.limit.trial_in_flight &= !trial;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long. So does a
        // reset, which tells of one connection: those of a server that is gone come in numbers.
        let unclear = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let weight = if unclear {
            FAILURE_WEIGHT / 2.0
        } else {
            FAILURE_WEIGHT
        };
        endpoint.failure_rate += (f64::from(u8::from(failed)) - endpoint.failure_rate) * weight;
        let endpoint_group =
            self.groups
                .entry((endpoint.zone, endpoint.kind))
                .or_insert(EndpointGroup {
                    latency_ratio,
                    admitted_share: 1.0,
                });
        let seen = if failed {
            SEVERE_LATENCY_RATIO * 2.0
        } else {
            latency_ratio
        };
        endpoint_group.latency_ratio += (seen - endpoint_group.latency_ratio) * SMOOTHING;
        let change = (SEVERE_LATENCY_RATIO - seen).max(-SEVERE_LATENCY_RATIO) * SMOOTHING;
        endpoint_group.admitted_share =
            (endpoint_group.admitted_share * change.exp()).clamp(SMOOTHING / 2.0, 1.0);
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(endpoint.last_ended_at) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        endpoint.last_ended_at = now;
        if !failed {
            latency_ratio = latency_ratio.max(endpoint.reported_congestion);
            endpoint.latency_ratio += (latency_ratio - endpoint.latency_ratio) * weight;
            endpoint.answers_since_change += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        if let Some(latency) = latency.filter(|_| !failed) {
            latency.record(now, elapsed as f64);
        }
        if tried.load_at_send > 0.0 && matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let faded = 1.0 - SMOOTHING / 2.0;
            self.answer_totals = (
                self.answer_totals.0 * faded + elapsed as f64,
                self.answer_totals.1 * faded + tried.load_at_send,
            );
        }
        if outcome == Outcome::Served {
            endpoint.last_served_at = now;
        }
        // What is crowded most tells nothing: it answers nothing in time, or turns away unseen.
        if sparse && matches!(outcome, Outcome::TimedOut | Outcome::Rejected) {
            self.load_feedback
                .record_overload(now, &mut endpoint.last_sample);
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
        if outcome == Outcome::Rejected {
            endpoint.limit.decrease(REJECTION_DECREASE, 0.0);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            endpoint.paused_until = endpoint.paused_until.max(now + longest as Micros);
        } else if endpoint.latency_ratio > 1.0 && endpoint.has_enough_answers(now, longest) {
            let floor = endpoint.limit.min_limit
                * if endpoint.latency_ratio > SEVERE_LATENCY_RATIO {
                    MAX_DECREASE / 2.0
                } else {
                    1.0
                };
            endpoint.limit.decrease(1.0 / endpoint.latency_ratio, floor);
            // The cut answers for part of it: else one jam would be cut for again and again.
            endpoint.latency_ratio = endpoint.latency_ratio.sqrt();
            (endpoint.answers_since_change, endpoint.limit_changed_at) = (0, now);
        }
        let was_up = endpoint.limit.steps > 0;
        // A broken connection is not the end of a server that answers: its failures are counted.
        let (refused, broke) = (outcome == Outcome::ConnectFailed, outcome == Outcome::Reset);
        if refused || broke {
            let in_row =
                endpoint.last_served_at <= std::mem::replace(&mut endpoint.last_broken_at, now);
            let last = may_set_aside && in_row && (refused || endpoint.last_served_at == 0);
            if (refused || in_row) && (endpoint.limit.steps > 1 || last) {
                endpoint.limit.steps = endpoint.limit.steps.saturating_sub(1);
            }
        }
        endpoint.limit.trial_in_flight &= !trial;
        if trial {
            if outcome != Outcome::Served {
                endpoint.limit.start_backoff(now, first);
            } else if was_up && endpoint.latency_ratio > 1.0 {
                endpoint.limit.backoff_until = now + first;
            } else if was_up || endpoint.failure_rate < FAILURE_RATE_LIMIT / 2.0 {
                endpoint.limit.record_served_trial();
                (endpoint.answers_since_change, endpoint.limit_changed_at) = (0, now);
                if !was_up {
                    actions.push(Action::Log {
                        text: format!("server {} taken back", endpoint.id.0),
                    });
                }
            } else {
                // One good answer of a server that fails most does not bring it back: several in a row do.
                endpoint.limit.backoff_doublings = 0;
            }
        }
        // Fast errors and refusals make a server look idle.
        if was_up && endpoint.failure_rate > FAILURE_RATE_LIMIT && may_set_aside {
            endpoint.limit.steps = 0;
        }
        if was_up && endpoint.limit.steps == 0 {
            endpoint.limit.start_backoff(now, first);
            endpoint.latency_ratio = 1.0;
            actions.push(Action::Log {
                text: format!("server {} set aside", endpoint.id.0),
            });
        }
    }
}
