//! What a balancer remembers: records only. Every decision on them is in `src/balancer`.

use crate::api::*;
use crate::crowd::CongestionSample;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new answer in a class's mean: about twenty are remembered.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time over which a class's unloaded answer time may drift up to its present mean.
const UNLOADED_DRIFT_TIME: f64 = 120e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) min_limit: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    pub(crate) backoff_until: Micros,
}

/// A server as this balancer sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) kind: KindId,
    /// This balancer's own order of preference, drawn once: least first.
    pub(crate) preference: u32,
    /// Size by the list; 1 where it tells none.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    pub(crate) started_at: Micros,
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    /// Answer times over what its classes allow; 1 is the limit. Also breaks ties of the pick.
    pub(crate) latency_ratio: f64,
    pub(crate) answers_since_change: u32,
    /// Its last report, as strain.
    pub(crate) reported_congestion: f64,
    /// Its last word of how crowded it is.
    pub(crate) last_sample: CongestionSample,
    /// What it held for all balancers when it was last asked, and when that was.
    pub(crate) reported_in_flight: f64,
    pub(crate) probed_at: Micros,
    /// When its budget last changed.
    pub(crate) limit_changed_at: Micros,
    /// When an attempt there last ended, and when it last served.
    pub(crate) last_ended_at: Micros,
    pub(crate) last_served_at: Micros,
    /// When a connection there last failed or broke.
    pub(crate) last_broken_at: Micros,
    /// Recent share of failures.
    pub(crate) failure_rate: f64,
    /// It is sent nothing before this: it has just refused as full.
    pub(crate) paused_until: Micros,
}

/// What an attempt may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
    pub(crate) is_trial: bool,
    /// What its server held for its size, where it had told.
    pub(crate) load_at_send: f64,
    pub(crate) execution: Execution,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) policy: CallPolicy,
    pub(crate) arrived_at: Micros,
    /// When its client first asked, as far as can be told.
    pub(crate) first_tried_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// It may still draw a cold server.
    pub(crate) may_draw_slow_start: bool,
    /// From 0 to 1: it goes to groups of at least this share.
    pub(crate) admission_draw: f64,
    /// Servers asked for their load, and since when; the call goes to one of them.
    pub(crate) probed_endpoints: Vec<EndpointId>,
    pub(crate) probes_sent_at: Micros,
    /// It asks again from then on, and how often it has found all full.
    pub(crate) next_probe_at: Micros,
    pub(crate) full_probe_rounds: u32,
    pub(crate) queued: bool,
    /// It pauses between two attempts.
    pub(crate) backing_off: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
}

/// Answer times of a class: the present mean and the least it has been, which stands for an unloaded server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    pub(crate) mean: f64,
    pub(crate) unloaded: f64,
    pub(crate) samples: u32,
    pub(crate) updated_at: Micros,
    pub(crate) requests: f64,
    /// The longest that clients wait for one try, and calls turned back whose clients may try again.
    pub(crate) longest_timeout: Micros,
    pub(crate) unserved: u32,
    histogram: LatencyHistogram,
}

/// How a class's answer times spread: counts by quarters of a doubling, halved when there are many, so that old ones
/// fade.
#[derive(Clone, Debug)]
struct LatencyHistogram {
    counts: [u16; HISTOGRAM_BUCKETS],
    total: u16,
}

/// The shortest time that is told from others, and the steps above it: up to half a minute.
const HISTOGRAM_MIN: f64 = 256.0;
const HISTOGRAM_BUCKETS: usize = 68;
/// Counts at which they are halved, and those below which a share says nothing.
const HISTOGRAM_MAX_SAMPLES: u16 = 512;
const HISTOGRAM_MIN_SAMPLES: u16 = 20;

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram {
            counts: [0; HISTOGRAM_BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, elapsed: f64) {
        let step = ((elapsed / HISTOGRAM_MIN).max(1.0).log2() * 4.0) as usize;
        self.counts[step.min(HISTOGRAM_BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HISTOGRAM_MAX_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The time within which this share came, to the end of its step.
    fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = f64::from(self.total) * share.clamp(0.0, 1.0);
        let mut seen = 0.0;
        let step = self.counts.iter().position(|&c| {
            seen += f64::from(c);
            c > 0 && seen >= wanted
        });
        step.filter(|_| self.total >= HISTOGRAM_MIN_SAMPLES)
            .map(|s| HISTOGRAM_MIN * ((s + 1) as f64 / 4.0).exp2())
    }
}

/// The servers of one machine kind in one zone, as one: a balancer of little traffic learns of no single one.
#[derive(Clone, Debug)]
pub(crate) struct EndpointGroup {
    pub(crate) latency_ratio: f64,
    /// Their budget where it is under one call each: the chance that a call may go there.
    pub(crate) admitted_share: f64,
}

impl Call {
    /// Attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.execution == Execution::InFlight)
            .count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| a.execution != Execution::NotExecuted)
    }

    /// Until when an answer earns something.
    pub(crate) fn objective_deadline(&self) -> Micros {
        let objective = if self.class.late_value > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline
            .min(self.first_tried_at.saturating_add(objective))
    }

    /// Has none of its attempts gone there?
    pub(crate) fn has_not_tried(&self, endpoint: &Endpoint) -> bool {
        self.attempts.iter().all(|a| a.endpoint != endpoint.id)
    }
}

impl Endpoint {
    /// Is it up, apart from its budget?
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.listed && self.limit.steps > 0 && now >= self.paused_until
    }

    /// A server as the list names it.
    pub(crate) fn new(
        entry: &EndpointEntry,
        weights: WeightSource,
        limit: ConcurrencyLimit,
    ) -> Self {
        let &EndpointEntry {
            endpoint: id,
            zone,
            cell,
            kind,
            started,
            weight,
            ..
        } = entry;
        let told = matches!(weights, WeightSource::Nominal | WeightSource::Rough);
        let size = if told && weight.is_normal() && weight > 0.0 {
            weight
        } else {
            1.0
        };
        Endpoint {
            id,
            zone,
            cell,
            kind,
            size,
            started_at: started,
            limit,
            ..Endpoint::default()
        }
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(crate) fn slow_start_capacity(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        rules.slow_start_min_capacity
            + (1.0 - rules.slow_start_min_capacity) * age as f64 / rules.slow_start_duration as f64
    }

    /// Calls of all balancers there after one more, for its present size.
    pub(crate) fn projected_load(&self, now: Micros, rules: &EndpointRules) -> f64 {
        if self.probed_at == 0 {
            return 0.0;
        }
        (self.reported_in_flight + 1.0)
            / (self.size * self.slow_start_capacity(now, rules)).max(f64::MIN_POSITIVE)
    }
}

impl ClassLatency {
    /// The pace of a class of which nothing is known yet.
    pub(crate) fn unknown(class: &Class) -> Self {
        ClassLatency {
            mean: class.latency_objective as f64 / 4.0,
            unloaded: class.latency_objective as f64 / 4.0,
            ..ClassLatency::default()
        }
    }

    /// The time within which this share of the answers comes; None while there were too few.
    pub(crate) fn quantile(&self, share: f64) -> Option<f64> {
        self.histogram.quantile(share)
    }

    /// Takes an answer in; the least drifts up to the mean, as fleets and work change.
    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.histogram.record(elapsed);
        let sample = if self.samples > 8 {
            elapsed.min(8.0 * self.unloaded)
        } else {
            elapsed
        };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.samples)).max(LATENCY_WEIGHT);
        let drift = (now.saturating_sub(self.updated_at) as f64 / UNLOADED_DRIFT_TIME).min(1.0);
        self.updated_at = now;
        let drifted = if self.samples <= 8 {
            self.mean
        } else {
            self.unloaded + (self.mean - self.unloaded) * drift
        };
        self.unloaded = self.mean.min(drifted).max(1.0);
    }
}

/// When which call is due; each has one time at the most.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTimers {
    by_time: BTreeSet<(Micros, CallId)>,
    by_call: BTreeMap<CallId, Micros>,
}

impl CallTimers {
    /// Sets a call's time, or takes it off.
    pub(crate) fn set(&mut self, id: CallId, at: Option<Micros>) {
        if let Some(old) = self.by_call.remove(&id) {
            self.by_time.remove(&(old, id));
        }
        if let Some(at) = at {
            self.by_time.insert((at, id));
            self.by_call.insert(id, at);
        }
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.by_time.first().map(|d| d.0)
    }

    /// Takes off a call that is due by now.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<CallId> {
        let &(_, id) = self.by_time.first().filter(|d| d.0 <= now)?;
        self.set(id, None);
        Some(id)
    }
}
