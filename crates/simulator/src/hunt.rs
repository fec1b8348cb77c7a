//! Searches random scenarios for violations of invariants, groups equal violations, and shrinks failing scenarios.

use crate::generate;
use crate::run_result::RunResult;
use crate::simulation::{RunOptions, SimulationError};
use badgerramp_sim_model::{Invariant, LoadGenerator, Micros, RandomStreams, Scenario, Violation};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Runs a scenario with the given options.
pub type RunFunction = fn(&Arc<Scenario>, RunOptions) -> Result<RunResult, SimulationError>;

/// Runs a scenario. A panic of the code under test becomes a violation of [`Invariant::Crashed`].
fn run_catching_panics(
    run: RunFunction,
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    let outcome = catch_unwind(AssertUnwindSafe(|| run(scenario, options)));
    outcome.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text
            .or_else(|| panic.downcast_ref::<&str>().map(|t| (*t).to_owned()))
            .unwrap_or_default();
        let mut result = RunResult::new(Arc::clone(scenario));
        // The time of the panic is unknown. The latest possible time keeps `Shrinker::remove_requests` from
        // discarding requests that might have caused it.
        result.violations = vec![Violation {
            invariant: Invariant::Crashed,
            at: Micros::MAX,
            op: None,
            text,
        }];
        result.violation_count = 1;
        Ok(result)
    })
}

/// Identifies the kind of a violation: its invariant, and its text without numbers. Violations with the same signature are
/// reported once.
pub fn signature(violation: &Violation) -> String {
    let mut words = String::new();
    for part in violation.text.split_whitespace() {
        let letters: String = part.chars().filter(|c| c.is_alphabetic()).collect();
        // Words with digits are numbers or the names of hosts and proxies, which differ between scenarios.
        let has_digit = part.chars().any(|c| c.is_ascii_digit());
        words.push_str(if has_digit { "#" } else { &letters });
        words.push(' ');
    }
    format!("{}: {}", violation.invariant, words.trim_end())
}

/// A kind of violation that a search found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Lowest number of a random scenario with this kind of violation.
    pub number: u64,
    /// The violation in that scenario.
    pub violation: Violation,
    /// Number of scenarios with this kind of violation.
    pub count: u64,
}

/// Extent and limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct HuntOptions {
    /// Number of the first random scenario.
    pub first: u64,
    /// Maximum number of scenarios.
    pub count: u64,
    /// Maximum duration.
    pub max_duration: Duration,
    /// Number of threads.
    pub threads: usize,
    /// Whether to stop at the first violation.
    pub stop_at_first: bool,
}

/// Result of a search.
#[derive(Debug, Default)]
pub struct HuntReport {
    /// Number of scenarios that were run.
    pub runs: u64,
    /// Number of requests in these runs.
    pub requests: u64,
    /// The kinds of violations by their signatures.
    pub findings: BTreeMap<String, Finding>,
    /// Goodput and number of the scenarios with the lowest goodput, among those whose hosts have sufficient capacity.
    pub lowest_goodput: Vec<(f64, u64)>,
}

/// Number of entries in [`HuntReport::lowest_goodput`].
const LOWEST_GOODPUT_ENTRIES: usize = 5;

/// Options for the run of a random scenario. Every other scenario has its simultaneous events shuffled.
pub fn run_options(number: u64) -> RunOptions {
    RunOptions {
        seed: number,
        shuffle: number % 2 == 1,
        ..RunOptions::default()
    }
}

/// Runs random scenarios and collects their violations. `progress` is called after each run, with the number of runs and
/// of kinds of violations so far. Once `stop` is set, no further run starts.
///
/// # Errors
/// If a scenario can't be run.
pub fn hunt(
    run: RunFunction,
    options: HuntOptions,
    stop: &AtomicBool,
    progress: impl Fn(u64, usize) + Sync,
) -> Result<HuntReport, SimulationError> {
    let next = AtomicU64::new(options.first);
    let end = options.first.saturating_add(options.count);
    let started = Instant::now();
    let report = Mutex::new(HuntReport::default());
    let run_error = Mutex::new(None);
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let finished =
                    started.elapsed() >= options.max_duration || done.load(Ordering::Relaxed);
                if number >= end || finished || stop.load(Ordering::Relaxed) {
                    return;
                }
                let scenario = Arc::new(generate::scenario(number));
                match run_catching_panics(run, &scenario, run_options(number)) {
                    Ok(result) => {
                        let mut report = report
                            .lock()
                            .unwrap_or_else(std::sync::PoisonError::into_inner);
                        record_run(&mut report, number, &result);
                        if options.stop_at_first && !report.findings.is_empty() {
                            done.store(true, Ordering::Relaxed);
                        }
                        progress(report.runs, report.findings.len());
                    }
                    Err(error) => {
                        *run_error
                            .lock()
                            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(error);
                        done.store(true, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    match run_error
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
    {
        Some(error) => Err(error),
        None => Ok(report
            .into_inner()
            .unwrap_or_else(std::sync::PoisonError::into_inner)),
    }
}

/// Adds the result of the random scenario with this number to the report.
fn record_run(report: &mut HuntReport, number: u64, result: &RunResult) {
    report.runs += 1;
    let total = result.total();
    report.requests += total.tries;
    let mut seen = Vec::new();
    for violation in &result.violations {
        let signature = signature(violation);
        if seen.contains(&signature) {
            continue;
        }
        let finding = report
            .findings
            .entry(signature.clone())
            .or_insert_with(|| Finding {
                number,
                violation: violation.clone(),
                count: 0,
            });
        finding.count += 1;
        // Threads finish in any order; the finding keeps the lowest number.
        if number < finding.number {
            (finding.number, finding.violation) = (number, violation.clone());
        }
        seen.push(signature);
    }
    if result.scenario().utilisation() < 0.8 {
        report.lowest_goodput.push((total.goodput(), number));
        report
            .lowest_goodput
            .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        report.lowest_goodput.truncate(LOWEST_GOODPUT_ENTRIES);
    }
}

/// A shrunk scenario that still violates the invariant.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// The shrunk scenario.
    pub scenario: Scenario,
    /// Options of the run, with the seed that shows the violation.
    pub options: RunOptions,
    /// The violation.
    pub violation: Violation,
    /// Number of runs that the shrinking took.
    pub runs: u64,
}

/// Shrinks a scenario to a minimal one that still violates `invariant`, by removing one part after the other, with at most
/// `max_runs` runs. The generated load is converted to scripted requests first, so that requests can be removed one by one.
///
/// Returns None if the scenario with scripted requests does not violate the invariant.
pub fn shrink(
    run: RunFunction,
    scenario: &Scenario,
    options: RunOptions,
    invariant: Invariant,
    max_runs: u64,
) -> Option<Shrunk> {
    let mut shrinker = Shrinker {
        run,
        invariant,
        options: RunOptions {
            stop_at_violation: false,
            ..options
        },
        runs: 0,
        max_runs,
    };
    let mut best = shrinker.reproduce(with_scripted_requests(scenario, options.seed))?;
    loop {
        let before = size(&best.scenario);
        best = shrinker.remove_requests(best);
        best = shrinker.remove_faults(best);
        best = shrinker.simplify(best);
        if size(&best.scenario) >= before || shrinker.runs >= max_runs {
            break;
        }
    }
    best.runs = shrinker.runs;
    Some(best)
}

/// Measure of a scenario's size. An event weighs more than a host or a proxy.
fn size(scenario: &Scenario) -> usize {
    scenario.event_count() * 100 + scenario.hosts.len() + scenario.proxies as usize
}

/// The scenario with its generated load written out as scripted requests.
pub fn with_scripted_requests(scenario: &Scenario, seed: u64) -> Scenario {
    if scenario.requests.is_some() {
        return scenario.clone();
    }
    let mut clients = LoadGenerator::new(Arc::new(scenario.clone()), RandomStreams::new(seed));
    let mut requests = Vec::new();
    while let Some(request) = clients.next_operation() {
        let (at, proxy, class, id) = (request.due, request.proxy, request.class, request.op.0);
        requests.push(badgerramp_sim_model::ScriptedRequest {
            at,
            proxy,
            class,
            id,
        });
    }
    Scenario {
        requests: Some(requests),
        ..scenario.clone()
    }
}

/// State of a shrinking: the violation to reproduce, and the runs so far.
struct Shrinker {
    run: RunFunction,
    invariant: Invariant,
    options: RunOptions,
    runs: u64,
    max_runs: u64,
}

impl Shrinker {
    /// Runs the scenario with the current seed and up to three following ones, until the invariant is violated. Other seeds
    /// are tried because removed parts of a scenario shift the random numbers that the decisions draw.
    fn reproduce(&mut self, scenario: Scenario) -> Option<Shrunk> {
        let scenario = Arc::new(scenario);
        let first = self.options.seed;
        for seed in std::iter::once(first).chain(first.wrapping_add(1)..first.wrapping_add(4)) {
            if self.runs >= self.max_runs {
                return None;
            }
            self.runs += 1;
            let options = RunOptions {
                seed,
                ..self.options
            };
            let result = run_catching_panics(self.run, &scenario, options).ok()?;
            if let Some(violation) = result
                .violations
                .iter()
                .find(|v| v.invariant == self.invariant)
            {
                self.options = options;
                let scenario = Scenario::clone(&scenario);
                return Some(Shrunk {
                    scenario,
                    options,
                    violation: violation.clone(),
                    runs: self.runs,
                });
            }
        }
        None
    }

    /// Removes chunks of consecutive requests. The chunks become shorter down to a single request.
    fn remove_requests(&mut self, mut best: Shrunk) -> Shrunk {
        let all = |s: &Shrunk| s.scenario.requests.clone().unwrap_or_default();
        // Requests after the violation cannot have caused it.
        let kept: Vec<_> = all(&best)
            .into_iter()
            .filter(|r| r.at <= best.violation.at)
            .collect();
        if kept.len() < all(&best).len() {
            let shorter = Scenario {
                requests: Some(kept),
                ..best.scenario.clone()
            };
            best = self.reproduce(shorter).unwrap_or(best);
        }
        let mut chunk_len = all(&best).len().div_ceil(2).max(1);
        loop {
            let mut at = 0;
            while at < all(&best).len() {
                let mut fewer = all(&best);
                let end = (at + chunk_len).min(fewer.len());
                fewer.drain(at..end);
                match self.reproduce(Scenario {
                    requests: Some(fewer),
                    ..best.scenario.clone()
                }) {
                    Some(smaller) => best = smaller,
                    None => at += chunk_len,
                }
            }
            if chunk_len == 1 || self.runs >= self.max_runs {
                return best;
            }
            chunk_len = chunk_len.div_ceil(2);
        }
    }

    /// Removes faults, one at a time.
    fn remove_faults(&mut self, mut best: Shrunk) -> Shrunk {
        let mut at = 0;
        while at < best.scenario.faults.len() {
            let mut fewer = best.scenario.clone();
            fewer.faults.remove(at);
            match self.reproduce(fewer) {
                Some(smaller) => best = smaller,
                None => at += 1,
            }
        }
        best
    }

    /// Removes hosts and proxies that the violation does not need, simplifies clients, hosts and the endpoint list, and
    /// shortens the run.
    fn simplify(&mut self, mut best: Shrunk) -> Shrunk {
        let mut host = best.scenario.hosts.len();
        while host > 0 {
            host -= 1;
            let used = |f: &badgerramp_sim_model::Fault| f.kind.host() == Some(host);
            if best.scenario.hosts.len() < 2 || best.scenario.faults.iter().any(used) {
                continue;
            }
            let mut fewer = best.scenario.clone();
            fewer.hosts.remove(host);
            fewer.faults.iter_mut().for_each(|f| renumber_host(f, host));
            best = self.reproduce(fewer).unwrap_or(best);
        }
        let proxies = best
            .scenario
            .requests
            .iter()
            .flatten()
            .map(|r| r.proxy)
            .max()
            .unwrap_or(0)
            + 1;
        let crashed = best.scenario.faults.iter().filter_map(|f| match f.kind {
            badgerramp_sim_model::FaultKind::ProxyCrash { proxy } => Some(proxy + 1),
            _ => None,
        });
        let proxies = crashed.max().unwrap_or(0).max(proxies);
        let changes: [&dyn Fn(&mut Scenario); 6] = [
            &|s| s.proxies = proxies,
            &|s| s.clients.max_retries = 0,
            &|s| s.clients.disconnect_share = 0.0,
            &|s| {
                s.hosts
                    .iter_mut()
                    .for_each(|h| (h.concurrency_penalty, h.congestion_collapse) = (None, None));
            },
            &|s| s.list.publish_delay = 0,
            &|s| {
                let last: Micros = s.requests.iter().flatten().map(|r| r.at).max().unwrap_or(0);
                s.duration = s.duration.min(last + 1_000_000);
            },
        ];
        for change in changes {
            let mut simpler = best.scenario.clone();
            change(&mut simpler);
            if simpler != best.scenario {
                best = self.reproduce(simpler).unwrap_or(best);
            }
        }
        best
    }
}

/// Adjusts the host index of a fault after the host with index `removed` was removed.
fn renumber_host(fault: &mut badgerramp_sim_model::Fault, removed: usize) {
    use badgerramp_sim_model::FaultKind as T;
    if let T::Errors { host, .. }
    | T::Stall { host }
    | T::Slowdown { host, .. }
    | T::ConnectionResets { host, .. }
    | T::CorruptResponses { host, .. }
    | T::Crash { host }
    | T::Drain { host }
    | T::Partition { host }
    | T::HalfOpen { host } = &mut fault.kind
    {
        if *host > removed {
            *host -= 1;
        }
    }
}
