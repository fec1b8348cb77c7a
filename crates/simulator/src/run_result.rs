//! The measurements of a simulation run. All backends produce the same ones.

use badgerramp_sim_model::{ClientRequest, FinalAnswer, Micros, OpId, Scenario, Violation};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Upper bound of the latency histograms: ten minutes. Longer latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Width of the bins in which a run is measured over time, and interval between two samples.
pub const BIN_WIDTH: Micros = 1_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .unwrap_or_else(|_| unreachable!("the histogram bounds are constants and valid"))
}

/// Latencies of a class or a bin, in microseconds since the operation's first try was due.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram(histogram())
    }
}

impl LatencyHistogram {
    /// Records a latency.
    pub fn record(&mut self, latency: Micros) {
        self.0.saturating_record(latency.max(1));
    }

    /// The latency at this quantile, from 0 to 1, in microseconds; 0 if nothing was recorded.
    pub fn quantile(&self, quantile: f64) -> Micros {
        if self.0.is_empty() {
            0
        } else {
            self.0.value_at_quantile(quantile)
        }
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// How the clients' operations of a class or a time bin ended. All tries of an operation count as one operation.
#[derive(Clone, Debug, Default)]
pub struct OperationStats {
    /// Operations that clients started.
    pub operations: u64,
    /// Operations served within their class's latency objective.
    pub on_time: u64,
    /// Operations served after the latency objective.
    pub late: u64,
    /// Operations whose last try was rejected.
    pub rejected: u64,
    /// Operations whose last try failed, or whose client disconnected.
    pub failed: u64,
    /// Operations whose last try was never answered.
    pub unanswered: u64,
    /// Tries of all operations, including the clients' own retries.
    pub tries: u64,
    /// Attempts that proxies sent to hosts.
    pub attempts: u64,
    /// Sum of the operations' priority weights, and the part of it that was earned by serving them.
    pub weight: (f64, f64),
    /// Latencies of the served operations.
    pub latencies: LatencyHistogram,
}

impl OperationStats {
    /// Share of the priority weight that was earned; 1 if there were no operations.
    pub fn goodput(&self) -> f64 {
        if self.weight.0 > 0.0 {
            self.weight.1 / self.weight.0
        } else {
            1.0
        }
    }
}

/// The load of hosts and proxies at one moment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Time since the start of the run, in seconds.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// Calls in flight at each host, divided by its number of cores.
    #[serde(rename = "load")]
    pub in_flight_per_core: Vec<f64>,
    /// Open connections at each host.
    pub connections: Vec<u32>,
    /// Calls open at all proxies.
    #[serde(rename = "open")]
    pub open_calls: u64,
    /// Those of the open calls that are in a proxy's wait queue.
    #[serde(rename = "held")]
    pub queued_calls: u64,
}

/// All measurements of a simulation run.
#[derive(Debug)]
pub struct RunResult {
    scenario: Arc<Scenario>,
    /// Operations by class, in the scenario's order.
    pub classes: Vec<OperationStats>,
    /// Operations by the second in which their first try was due.
    pub bins: Vec<OperationStats>,
    /// One sample per second.
    pub samples: Vec<Sample>,
    /// The first violations of invariants.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: u64,
    /// Requests to the list service.
    pub list_requests: u64,
    /// Highest number of connections that any host had open at once.
    pub max_connections: u32,
    /// Highest resident memory of any proxy process, in KiB; 0 if proxies have no process of their own.
    pub max_memory_kib: u64,
    /// Highest number of open file descriptors of any proxy process; 0 if proxies have no process of their own.
    pub max_descriptors: usize,
    /// Work done by all hosts, in core-microseconds, and the part of it behind served answers.
    pub host_work: (u64, u64),
    /// Number of recorded events.
    pub event_count: u64,
    digest: Sha256,
    buffer: Vec<u8>,
    /// The trace of one operation, if the options asked for it.
    pub trace_lines: Vec<String>,
    /// The first operation that was not served.
    pub first_unserved: Option<OpId>,
}

/// The main figures of a run. Results files hold one per line, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the backend that ran it.
    #[serde(rename = "play")]
    pub backend: String,
    /// Seed of the run.
    pub seed: u64,
    /// Share of the operations' priority weight that was earned by serving them.
    pub goodput: f64,
    /// Goodput of the class with the lowest goodput.
    #[serde(rename = "worst_class")]
    pub worst_class_goodput: f64,
    /// Goodput of the ten seconds with the lowest goodput.
    #[serde(rename = "worst_window")]
    pub worst_window_goodput: f64,
    /// Operations that clients started.
    #[serde(rename = "wanted")]
    pub operations: u64,
    /// Operations served within the latency objective.
    #[serde(rename = "good")]
    pub on_time: u64,
    /// Operations served after the latency objective.
    pub late: u64,
    /// Operations whose last try was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last try failed, or whose client disconnected.
    pub failed: u64,
    /// Operations whose last try was never answered.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Attempts per operation.
    pub amplification: f64,
    /// Median latency of the served operations, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Requests to the list service.
    #[serde(rename = "list_asked")]
    pub list_requests: u64,
    /// Highest number of connections that any host had open at once.
    #[serde(rename = "connections_most")]
    pub max_connections: u32,
    /// Highest resident memory of any proxy process, in KiB; 0 if proxies have no process of their own.
    #[serde(rename = "memory_most")]
    pub max_memory_kib: u64,
    /// Highest number of open file descriptors of any proxy process; 0 if proxies have no process of their own.
    #[serde(rename = "descriptors_most")]
    pub max_descriptors: usize,
    /// Number of violations of invariants.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first violation.
    #[serde(rename = "first_broken")]
    pub first_violation: Option<String>,
    /// Digest of all events in their order; empty for a run in real time.
    pub digest: String,
}

impl RunResult {
    /// The result of a run in which nothing has happened yet.
    pub fn new(scenario: Arc<Scenario>) -> Self {
        let bins = scenario.duration.div_ceil(BIN_WIDTH).max(1) as usize;
        RunResult {
            classes: vec![OperationStats::default(); scenario.classes.len()],
            bins: vec![OperationStats::default(); bins],
            scenario,
            samples: Vec::new(),
            violations: Vec::new(),
            violation_count: 0,
            list_requests: 0,
            max_connections: 0,
            max_memory_kib: 0,
            max_descriptors: 0,
            host_work: (0, 0),
            event_count: 0,
            digest: Sha256::new(),
            buffer: Vec::new(),
            trace_lines: Vec::new(),
            first_unserved: None,
        }
    }

    /// The statistics that count a request: those of its class and of its time bin.
    fn stats_of(&mut self, request: &ClientRequest) -> [&mut OperationStats; 2] {
        let bin = ((request.first_due / BIN_WIDTH) as usize).min(self.bins.len() - 1);
        [&mut self.classes[request.class], &mut self.bins[bin]]
    }

    /// Records a try of a client: the first one of an operation, or a retry.
    pub fn record_try(&mut self, request: &ClientRequest) {
        let weight = self.scenario.classes[request.class].priority_weight;
        for stats in self.stats_of(request) {
            stats.tries += 1;
            if request.try_number == 0 {
                stats.operations += 1;
                stats.weight.0 += weight;
            }
        }
    }

    /// Records an attempt that was sent to a host for this try.
    pub fn record_attempt(&mut self, request: &ClientRequest) {
        self.stats_of(request)
            .into_iter()
            .for_each(|s| s.attempts += 1);
    }

    /// Records that an operation's last try ended at `now` with this answer; None: it was never answered.
    pub fn record_operation_end(
        &mut self,
        request: &ClientRequest,
        now: Micros,
        answer: Option<FinalAnswer>,
    ) {
        let class = &self.scenario.classes[request.class];
        let (objective, weight, late_weight) = (
            class.latency_objective,
            class.priority_weight,
            class.priority_weight * class.late_weight,
        );
        let latency = now.saturating_sub(request.first_due);
        if answer != Some(FinalAnswer::Served) {
            self.first_unserved.get_or_insert(request.op);
        }
        for stats in self.stats_of(request) {
            match answer {
                Some(FinalAnswer::Served) => {
                    stats.latencies.record(latency);
                    if latency <= objective {
                        stats.on_time += 1;
                        stats.weight.1 += weight;
                    } else {
                        stats.late += 1;
                        stats.weight.1 += late_weight;
                    }
                }
                Some(FinalAnswer::Refused) => stats.rejected += 1,
                Some(FinalAnswer::Failed | FinalAnswer::Overdue) => stats.failed += 1,
                None => stats.unanswered += 1,
            }
        }
    }

    /// Adds an event to the digest. Any difference between two runs shows in at least one of these events.
    pub fn record_event(&mut self, at: Micros, kind: u8, a: u64, b: u64) {
        self.event_count += 1;
        self.buffer.extend_from_slice(&at.to_le_bytes());
        self.buffer.push(kind);
        self.buffer.extend_from_slice(&a.to_le_bytes());
        self.buffer.extend_from_slice(&b.to_le_bytes());
        if self.buffer.len() > 1 << 15 {
            self.digest.update(&self.buffer);
            self.buffer.clear();
        }
    }

    /// The digest of all events, in hexadecimal digits.
    pub fn digest(&self) -> String {
        let mut digest = self.digest.clone();
        digest.update(&self.buffer);
        digest
            .finalize()
            .iter()
            .take(16)
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// The sum over all classes.
    pub fn total(&self) -> OperationStats {
        let mut sum = OperationStats::default();
        for class in &self.classes {
            sum.operations += class.operations;
            sum.on_time += class.on_time;
            sum.late += class.late;
            sum.rejected += class.rejected;
            sum.failed += class.failed;
            sum.unanswered += class.unanswered;
            sum.tries += class.tries;
            sum.attempts += class.attempts;
            sum.weight = (sum.weight.0 + class.weight.0, sum.weight.1 + class.weight.1);
            let _ = sum.latencies.0.add(&class.latencies.0);
        }
        sum
    }

    /// The goodput of the operations whose first try was due in this time span, and the number of these operations.
    pub fn goodput_between(&self, from: Micros, until: Micros) -> (f64, u64) {
        let bins = self
            .bins
            .iter()
            .zip(0..)
            .filter(|(_, n)| n * BIN_WIDTH >= from && (n + 1) * BIN_WIDTH <= until);
        let (mut weight, mut operations) = ((0.0, 0.0), 0);
        for (bin, _) in bins {
            weight = (weight.0 + bin.weight.0, weight.1 + bin.weight.1);
            operations += bin.operations;
        }
        (
            if weight.0 > 0.0 {
                weight.1 / weight.0
            } else {
                1.0
            },
            operations,
        )
    }

    /// The lowest goodput of any ten seconds, or the goodput of the whole run if it was shorter.
    pub fn worst_window_goodput(&self) -> f64 {
        let window = 10.min(self.bins.len());
        let windows = self.bins.windows(window).map(|bins| {
            let weight = bins
                .iter()
                .fold((0.0, 0.0), |w, b| (w.0 + b.weight.0, w.1 + b.weight.1));
            if weight.0 > 0.0 {
                weight.1 / weight.0
            } else {
                1.0
            }
        });
        windows.fold(1.0, f64::min)
    }

    /// The main figures of this run.
    pub fn summary(&self, backend: &str, seed: u64) -> Summary {
        let total = self.total();
        let ms = |quantile| total.latencies.quantile(quantile) as f64 / 1e3;
        Summary {
            scenario: self.scenario.name.clone(),
            backend: backend.to_owned(),
            seed,
            goodput: total.goodput(),
            worst_class_goodput: self
                .classes
                .iter()
                .map(OperationStats::goodput)
                .fold(1.0, f64::min),
            worst_window_goodput: self.worst_window_goodput(),
            operations: total.operations,
            on_time: total.on_time,
            late: total.late,
            rejected: total.rejected,
            failed: total.failed,
            unanswered: total.unanswered,
            amplification: total.attempts as f64 / total.operations.max(1) as f64,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            list_requests: self.list_requests,
            max_connections: self.max_connections,
            max_memory_kib: self.max_memory_kib,
            max_descriptors: self.max_descriptors,
            violation_count: self.violation_count,
            first_violation: self
                .violations
                .first()
                .map(|v| format!("{}: {}", v.invariant, v.text)),
            digest: if backend == "real" {
                String::new()
            } else {
                self.digest()
            },
        }
    }

    /// The scenario of this run.
    pub fn scenario(&self) -> &Arc<Scenario> {
        &self.scenario
    }

    /// Adds a line to the trace if `op` is the traced operation.
    pub fn trace_operation(
        &mut self,
        traced: Option<OpId>,
        op: OpId,
        at: Micros,
        line: impl FnOnce() -> String,
    ) {
        if traced == Some(op) {
            self.trace_lines
                .push(format!("{:>12.3} ms  {}", at as f64 / 1e3, line()));
        }
    }
}
