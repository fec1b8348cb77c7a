//! What is measured of a course, in either play.

use badgerramp_sim_model::{ClientRequest, FinalAnswer, Micros, OpId, Scenario, Violation};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Longest time that a histogram tells from others: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// One bin of a course's figures over time.
pub const BIN_WIDTH: Micros = 1_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .unwrap_or_else(|_| unreachable!("the bounds are good"))
}

/// Times of a class or a bin, in microseconds from when the first try was due.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram(histogram())
    }
}

impl LatencyHistogram {
    /// Takes a time in.
    pub fn record(&mut self, time: Micros) {
        self.0.saturating_record(time.max(1));
    }

    /// The time within which this share came, in microseconds; 0 where none did.
    pub fn quantile(&self, share: f64) -> Micros {
        if self.0.is_empty() {
            0
        } else {
            self.0.value_at_quantile(share)
        }
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// What became of what clients wanted, of one class or in one stretch of time. A client's tries count as one.
#[derive(Clone, Debug, Default)]
pub struct OperationStats {
    /// Wanted.
    pub operations: u64,
    /// Served within the aim.
    pub on_time: u64,
    /// Served later.
    pub late: u64,
    /// Last refused.
    pub rejected: u64,
    /// Failed, or the client left.
    pub failed: u64,
    /// Never answered.
    pub unanswered: u64,
    /// Tries, those of clients' own included.
    pub tries: u64,
    /// Attempts at hosts.
    pub attempts: u64,
    /// Worth wanted, and earned.
    pub weight: (f64, f64),
    /// Times of those served.
    pub latencies: LatencyHistogram,
}

impl OperationStats {
    /// Worth earned over worth wanted; 1 where nothing was.
    pub fn goodput(&self) -> f64 {
        if self.weight.0 > 0.0 {
            self.weight.1 / self.weight.0
        } else {
            1.0
        }
    }
}

/// Hosts and proxies at one moment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// When, in seconds.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// Calls in hand at each host, for each of its cores.
    #[serde(rename = "load")]
    pub in_flight_per_core: Vec<f64>,
    /// Open connections at each host.
    pub connections: Vec<u32>,
    /// Calls open at all proxies, and those in their holds.
    #[serde(rename = "open")]
    pub open_calls: u64,
    /// ... of which held.
    #[serde(rename = "held")]
    pub queued_calls: u64,
}

/// All that is measured of one course.
#[derive(Debug)]
pub struct RunResult {
    scenario: Arc<Scenario>,
    /// By class, in their order.
    pub classes: Vec<OperationStats>,
    /// By the second in which the first try was due.
    pub bins: Vec<OperationStats>,
    /// By the second.
    pub samples: Vec<Sample>,
    /// What was broken, the first ones word for word.
    pub violations: Vec<Violation>,
    /// How often any rule was broken.
    pub violation_count: u64,
    /// Questions to the list service.
    pub list_requests: u64,
    /// Most connections that any host had at once.
    pub max_connections: u32,
    /// Most memory of any proxy, in KiB, and most descriptors, in a real play.
    pub max_memory_kib: u64,
    /// As above.
    pub max_descriptors: usize,
    /// Work that hosts did, in microseconds of their cores, and that of answers that were served.
    pub host_work: (u64, u64),
    /// Steps of the play.
    pub event_count: u64,
    digest: Sha256,
    buffer: Vec<u8>,
    /// The course of one call, if it was asked for.
    pub trace_lines: Vec<String>,
    /// The first that was not served.
    pub first_unserved: Option<OpId>,
}

/// A few figures of a course, as a line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: String,
    /// How it was played.
    #[serde(rename = "play")]
    pub backend: String,
    /// With which seed.
    pub seed: u64,
    /// Worth earned over worth wanted.
    pub goodput: f64,
    /// That of the worst-served class.
    #[serde(rename = "worst_class")]
    pub worst_class_goodput: f64,
    /// That of the worst ten seconds.
    #[serde(rename = "worst_window")]
    pub worst_window_goodput: f64,
    /// What was wanted, and what came of it.
    #[serde(rename = "wanted")]
    pub operations: u64,
    /// Served within the aim.
    #[serde(rename = "good")]
    pub on_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused in the end.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Never answered.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Attempts at hosts for each thing wanted.
    pub amplification: f64,
    /// Times of those served, in milliseconds.
    pub p50_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// As above.
    pub p999_ms: f64,
    /// Questions to the list service.
    #[serde(rename = "list_asked")]
    pub list_requests: u64,
    /// Most connections at any host.
    #[serde(rename = "connections_most")]
    pub max_connections: u32,
    /// Most memory of any proxy, in KiB; 0 where it has no process of its own.
    #[serde(rename = "memory_most")]
    pub max_memory_kib: u64,
    /// Most descriptors of any proxy; likewise.
    #[serde(rename = "descriptors_most")]
    pub max_descriptors: usize,
    /// How often any rule was broken.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first that was.
    #[serde(rename = "first_broken")]
    pub first_violation: Option<String>,
    /// Of all that happened, in its order; empty for a play in real time.
    pub digest: String,
}

impl RunResult {
    /// Nothing measured yet.
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

    fn both(&mut self, ask: &ClientRequest) -> [&mut OperationStats; 2] {
        let bin = ((ask.first_due / BIN_WIDTH) as usize).min(self.bins.len() - 1);
        [&mut self.classes[ask.class], &mut self.bins[bin]]
    }

    /// A client wants something for the first time, or tries again.
    pub fn record_try(&mut self, ask: &ClientRequest) {
        let worth = self.scenario.classes[ask.class].priority_weight;
        for tally in self.both(ask) {
            tally.tries += 1;
            if ask.try_number == 0 {
                tally.operations += 1;
                tally.weight.0 += worth;
            }
        }
    }

    /// An attempt went to a host for it.
    pub fn record_attempt(&mut self, ask: &ClientRequest) {
        self.both(ask).into_iter().for_each(|t| t.attempts += 1);
    }

    /// The last of a client's tries has ended at `now`; None: never answered.
    pub fn record_operation_end(
        &mut self,
        ask: &ClientRequest,
        now: Micros,
        answered: Option<FinalAnswer>,
    ) {
        let class = &self.scenario.classes[ask.class];
        let (aim, worth, late) = (
            class.latency_objective,
            class.priority_weight,
            class.priority_weight * class.late_weight,
        );
        let time = now.saturating_sub(ask.first_due);
        if answered != Some(FinalAnswer::Served) {
            self.first_unserved.get_or_insert(ask.op);
        }
        for tally in self.both(ask) {
            match answered {
                Some(FinalAnswer::Served) => {
                    tally.latencies.record(time);
                    if time <= aim {
                        tally.on_time += 1;
                        tally.weight.1 += worth;
                    } else {
                        tally.late += 1;
                        tally.weight.1 += late;
                    }
                }
                Some(FinalAnswer::Refused) => tally.rejected += 1,
                Some(FinalAnswer::Failed | FinalAnswer::Overdue) => tally.failed += 1,
                None => tally.unanswered += 1,
            }
        }
    }

    /// Takes a step into the digest. Whatever differs between two courses shows in one of these.
    pub fn record_event(&mut self, at: Micros, what: u8, a: u64, b: u64) {
        self.event_count += 1;
        self.buffer.extend_from_slice(&at.to_le_bytes());
        self.buffer.push(what);
        self.buffer.extend_from_slice(&a.to_le_bytes());
        self.buffer.extend_from_slice(&b.to_le_bytes());
        if self.buffer.len() > 1 << 15 {
            self.digest.update(&self.buffer);
            self.buffer.clear();
        }
    }

    /// The digest of all steps, in hexadecimal digits.
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

    /// All classes as one.
    pub fn total(&self) -> OperationStats {
        let mut sum = OperationStats::default();
        for t in &self.classes {
            sum.operations += t.operations;
            sum.on_time += t.on_time;
            sum.late += t.late;
            sum.rejected += t.rejected;
            sum.failed += t.failed;
            sum.unanswered += t.unanswered;
            sum.tries += t.tries;
            sum.attempts += t.attempts;
            sum.weight = (sum.weight.0 + t.weight.0, sum.weight.1 + t.weight.1);
            let _ = sum.latencies.0.add(&t.latencies.0);
        }
        sum
    }

    /// Worth earned over worth wanted of what was first due in this stretch of time, and how much was wanted.
    pub fn goodput_between(&self, from: Micros, until: Micros) -> (f64, u64) {
        let bins = self
            .bins
            .iter()
            .zip(0..)
            .filter(|(_, n)| n * BIN_WIDTH >= from && (n + 1) * BIN_WIDTH <= until);
        let (mut worth, mut wanted) = ((0.0, 0.0), 0);
        for (bin, _) in bins {
            worth = (worth.0 + bin.weight.0, worth.1 + bin.weight.1);
            wanted += bin.operations;
        }
        (
            if worth.0 > 0.0 {
                worth.1 / worth.0
            } else {
                1.0
            },
            wanted,
        )
    }

    /// The goodput of the worst ten seconds, or of all where it was shorter.
    pub fn worst_window(&self) -> f64 {
        let window = 10.min(self.bins.len());
        let all = self.bins.windows(window).map(|bins| {
            let worth = bins
                .iter()
                .fold((0.0, 0.0), |w, b| (w.0 + b.weight.0, w.1 + b.weight.1));
            if worth.0 > 0.0 {
                worth.1 / worth.0
            } else {
                1.0
            }
        });
        all.fold(1.0, f64::min)
    }

    /// A few figures.
    pub fn summary(&self, backend: &str, seed: u64) -> Summary {
        let total = self.total();
        let ms = |share| total.latencies.quantile(share) as f64 / 1e3;
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
            worst_window_goodput: self.worst_window(),
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
                .map(|b| format!("{}: {}", b.invariant, b.text)),
            digest: if backend == "real" {
                String::new()
            } else {
                self.digest()
            },
        }
    }

    /// The scenario that was played.
    pub fn scenario(&self) -> &Arc<Scenario> {
        &self.scenario
    }

    /// Notes a line of the traced call.
    pub fn trace_call(
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
