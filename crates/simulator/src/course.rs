//! What is measured of a course, in either play.

use badgerramp_sim_model::{ClientRequest, FinalAnswer, Micros, OpId, Scenario, Violation};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Longest time that a histogram tells from others: ten minutes.
const LONGEST: u64 = 600_000_000;
/// One bin of a course's figures over time.
pub const BIN: Micros = 1_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 2)
        .unwrap_or_else(|_| unreachable!("the bounds are good"))
}

/// Times of a class or a bin, in microseconds from when the first try was due.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(histogram())
    }
}

impl Times {
    /// Takes a time in.
    pub fn add(&mut self, time: Micros) {
        self.0.saturating_record(time.max(1));
    }

    /// The time within which this share came, in microseconds; 0 where none did.
    pub fn within(&self, share: f64) -> Micros {
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
pub struct Tally {
    /// Wanted.
    pub wanted: u64,
    /// Served within the aim.
    pub good: u64,
    /// Served later.
    pub late: u64,
    /// Last refused.
    pub refused: u64,
    /// Failed, or the client left.
    pub failed: u64,
    /// Never answered.
    pub lost: u64,
    /// Tries, those of clients' own included.
    pub tries: u64,
    /// Attempts at hosts.
    pub attempts: u64,
    /// Worth wanted, and earned.
    pub worth: (f64, f64),
    /// Times of those served.
    pub times: Times,
}

impl Tally {
    /// Worth earned over worth wanted; 1 where nothing was.
    pub fn goodput(&self) -> f64 {
        if self.worth.0 > 0.0 {
            self.worth.1 / self.worth.0
        } else {
            1.0
        }
    }
}

/// Hosts and proxies at one moment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// When, in seconds.
    pub at: f64,
    /// Calls in hand at each host, for each of its cores.
    pub load: Vec<f64>,
    /// Open connections at each host.
    pub connections: Vec<u32>,
    /// Calls open at all proxies, and those in their holds.
    pub open: u64,
    /// ... of which held.
    pub held: u64,
}

/// All that is measured of one course.
#[derive(Debug)]
pub struct Course {
    scenario: Arc<Scenario>,
    /// By class, in their order.
    pub classes: Vec<Tally>,
    /// By the second in which the first try was due.
    pub bins: Vec<Tally>,
    /// By the second.
    pub samples: Vec<Sample>,
    /// What was broken, the first ones word for word.
    pub broken: Vec<Violation>,
    /// How often any rule was broken.
    pub broken_count: u64,
    /// Questions to the list service.
    pub list_asked: u64,
    /// Most connections that any host had at once.
    pub connections_most: u32,
    /// Most memory of any proxy, in KiB, and most descriptors, in a real play.
    pub memory_most: u64,
    /// As above.
    pub descriptors_most: usize,
    /// Work that hosts did, in microseconds of their cores, and that of answers that were served.
    pub worked: (u64, u64),
    /// Steps of the play.
    pub steps: u64,
    digest: Sha256,
    buffer: Vec<u8>,
    /// The course of one call, if it was asked for.
    pub trace: Vec<String>,
    /// The first that was not served.
    pub unserved: Option<OpId>,
}

/// A few figures of a course, as a line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: String,
    /// How it was played.
    pub play: String,
    /// With which seed.
    pub seed: u64,
    /// Worth earned over worth wanted.
    pub goodput: f64,
    /// That of the worst-served class.
    pub worst_class: f64,
    /// That of the worst ten seconds.
    pub worst_window: f64,
    /// What was wanted, and what came of it.
    pub wanted: u64,
    /// Served within the aim.
    pub good: u64,
    /// Served later.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Never answered.
    pub lost: u64,
    /// Attempts at hosts for each thing wanted.
    pub amplification: f64,
    /// Times of those served, in milliseconds.
    pub p50_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// As above.
    pub p999_ms: f64,
    /// Questions to the list service.
    pub list_asked: u64,
    /// Most connections at any host.
    pub connections_most: u32,
    /// Most memory of any proxy, in KiB; 0 where it has no process of its own.
    pub memory_most: u64,
    /// Most descriptors of any proxy; likewise.
    pub descriptors_most: usize,
    /// How often any rule was broken.
    pub broken: u64,
    /// The first that was.
    pub first_broken: Option<String>,
    /// Of all that happened, in its order; empty for a play in real time.
    pub digest: String,
}

impl Course {
    /// Nothing measured yet.
    pub fn new(scenario: Arc<Scenario>) -> Self {
        let bins = scenario.duration.div_ceil(BIN).max(1) as usize;
        Course {
            classes: vec![Tally::default(); scenario.classes.len()],
            bins: vec![Tally::default(); bins],
            scenario,
            samples: Vec::new(),
            broken: Vec::new(),
            broken_count: 0,
            list_asked: 0,
            connections_most: 0,
            memory_most: 0,
            descriptors_most: 0,
            worked: (0, 0),
            steps: 0,
            digest: Sha256::new(),
            buffer: Vec::new(),
            trace: Vec::new(),
            unserved: None,
        }
    }

    fn both(&mut self, ask: &ClientRequest) -> [&mut Tally; 2] {
        let bin = ((ask.first_due / BIN) as usize).min(self.bins.len() - 1);
        [&mut self.classes[ask.class], &mut self.bins[bin]]
    }

    /// A client wants something for the first time, or tries again.
    pub fn asked(&mut self, ask: &ClientRequest) {
        let worth = self.scenario.classes[ask.class].priority_weight;
        for tally in self.both(ask) {
            tally.tries += 1;
            if ask.try_number == 0 {
                tally.wanted += 1;
                tally.worth.0 += worth;
            }
        }
    }

    /// An attempt went to a host for it.
    pub fn sent(&mut self, ask: &ClientRequest) {
        self.both(ask).into_iter().for_each(|t| t.attempts += 1);
    }

    /// The last of a client's tries has ended at `now`; None: never answered.
    pub fn ended(&mut self, ask: &ClientRequest, now: Micros, answered: Option<FinalAnswer>) {
        let class = &self.scenario.classes[ask.class];
        let (aim, worth, late) = (
            class.latency_objective,
            class.priority_weight,
            class.priority_weight * class.late_weight,
        );
        let time = now.saturating_sub(ask.first_due);
        if answered != Some(FinalAnswer::Served) {
            self.unserved.get_or_insert(ask.op);
        }
        for tally in self.both(ask) {
            match answered {
                Some(FinalAnswer::Served) => {
                    tally.times.add(time);
                    if time <= aim {
                        tally.good += 1;
                        tally.worth.1 += worth;
                    } else {
                        tally.late += 1;
                        tally.worth.1 += late;
                    }
                }
                Some(FinalAnswer::Refused) => tally.refused += 1,
                Some(FinalAnswer::Failed | FinalAnswer::Overdue) => tally.failed += 1,
                None => tally.lost += 1,
            }
        }
    }

    /// Takes a step into the digest. Whatever differs between two courses shows in one of these.
    pub fn step(&mut self, at: Micros, what: u8, a: u64, b: u64) {
        self.steps += 1;
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
    pub fn total(&self) -> Tally {
        let mut sum = Tally::default();
        for t in &self.classes {
            sum.wanted += t.wanted;
            sum.good += t.good;
            sum.late += t.late;
            sum.refused += t.refused;
            sum.failed += t.failed;
            sum.lost += t.lost;
            sum.tries += t.tries;
            sum.attempts += t.attempts;
            sum.worth = (sum.worth.0 + t.worth.0, sum.worth.1 + t.worth.1);
            let _ = sum.times.0.add(&t.times.0);
        }
        sum
    }

    /// Worth earned over worth wanted of what was first due in this stretch of time, and how much was wanted.
    pub fn goodput_between(&self, from: Micros, until: Micros) -> (f64, u64) {
        let bins = self
            .bins
            .iter()
            .zip(0..)
            .filter(|(_, n)| n * BIN >= from && (n + 1) * BIN <= until);
        let (mut worth, mut wanted) = ((0.0, 0.0), 0);
        for (bin, _) in bins {
            worth = (worth.0 + bin.worth.0, worth.1 + bin.worth.1);
            wanted += bin.wanted;
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
                .fold((0.0, 0.0), |w, b| (w.0 + b.worth.0, w.1 + b.worth.1));
            if worth.0 > 0.0 {
                worth.1 / worth.0
            } else {
                1.0
            }
        });
        all.fold(1.0, f64::min)
    }

    /// A few figures.
    pub fn summary(&self, play: &str, seed: u64) -> Summary {
        let total = self.total();
        let ms = |share| total.times.within(share) as f64 / 1e3;
        Summary {
            scenario: self.scenario.name.clone(),
            play: play.to_owned(),
            seed,
            goodput: total.goodput(),
            worst_class: self.classes.iter().map(Tally::goodput).fold(1.0, f64::min),
            worst_window: self.worst_window(),
            wanted: total.wanted,
            good: total.good,
            late: total.late,
            refused: total.refused,
            failed: total.failed,
            lost: total.lost,
            amplification: total.attempts as f64 / total.wanted.max(1) as f64,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            list_asked: self.list_asked,
            connections_most: self.connections_most,
            memory_most: self.memory_most,
            descriptors_most: self.descriptors_most,
            broken: self.broken_count,
            first_broken: self
                .broken
                .first()
                .map(|b| format!("{}: {}", b.invariant, b.text)),
            digest: if play == "real" {
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
    pub fn note(
        &mut self,
        traced: Option<OpId>,
        op: OpId,
        at: Micros,
        line: impl FnOnce() -> String,
    ) {
        if traced == Some(op) {
            self.trace
                .push(format!("{:>12.3} ms  {}", at as f64 / 1e3, line()));
        }
    }
}
