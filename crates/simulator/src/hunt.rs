//! Looks for broken rules in random scenarios, tells each kind once, and cuts what it finds down.

use crate::generate;
use crate::run_result::RunResult;
use crate::simulation::{RunOptions, SimulationError};
use badgerramp_sim_model::{Invariant, LoadGenerator, Micros, RandomStreams, Scenario, Violation};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A way to play a scenario.
pub type Play = fn(&Arc<Scenario>, RunOptions) -> Result<RunResult, SimulationError>;

/// Plays a scenario; code that panics is a find like any other.
fn guarded(
    play: Play,
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    let played = catch_unwind(AssertUnwindSafe(|| play(scenario, options)));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text
            .or_else(|| panic.downcast_ref::<&str>().map(|t| (*t).to_owned()))
            .unwrap_or_default();
        let mut course = RunResult::new(Arc::clone(scenario));
        // When it was is not known: nothing that comes later may be left out because of it.
        course.violations = vec![Violation {
            invariant: Invariant::Crashed,
            at: Micros::MAX,
            op: None,
            text,
        }];
        course.violation_count = 1;
        Ok(course)
    })
}

/// What makes two finds the same: the rule, and its words without their numbers.
pub fn signature(broken: &Violation) -> String {
    let mut words = String::new();
    for part in broken.text.split_whitespace() {
        let plain: String = part.chars().filter(|c| c.is_alphabetic()).collect();
        // Names of hosts and proxies are as good as numbers.
        let name = part.chars().any(|c| c.is_ascii_digit());
        words.push_str(if name { "#" } else { &plain });
        words.push(' ');
    }
    format!("{}: {}", broken.invariant, words.trim_end())
}

/// A kind of failure.
#[derive(Clone, Debug)]
pub struct Find {
    /// The first scenario that showed it, by its number.
    pub number: u64,
    /// What was broken there.
    pub broken: Violation,
    /// How many scenarios showed it.
    pub count: u64,
}

/// What a hunt looks through, and how long.
#[derive(Clone, Copy, Debug)]
pub struct Hunt {
    /// Scenarios from this number on.
    pub first: u64,
    /// How many at the most.
    pub count: u64,
    /// For how long at the most.
    pub time: Duration,
    /// Threads.
    pub threads: usize,
    /// Stop at the first find.
    pub stop: bool,
}

/// What a hunt found.
#[derive(Debug, Default)]
pub struct Found {
    /// Scenarios played.
    pub played: u64,
    /// Requests in them.
    pub requests: u64,
    /// Each kind of failure once, by its signature.
    pub finds: BTreeMap<String, Find>,
    /// The scenarios with the least goodput among those whose hosts bear the load: goodput and number.
    pub losses: Vec<(f64, u64)>,
}

/// Losses that are kept.
const LOSSES: usize = 5;

/// How a drawn scenario is played: half of them with a drawn order of what falls on one instant.
pub fn options(number: u64) -> RunOptions {
    RunOptions {
        seed: number,
        shuffle: number % 2 == 1,
        ..RunOptions::default()
    }
}

/// Hunts. `progress` is called with scenarios played and kinds found; `stop` ends it early.
///
/// # Errors
/// If a scenario can't be played at all.
pub fn hunt(
    play: Play,
    hunt: Hunt,
    stop: &AtomicBool,
    progress: impl Fn(u64, usize) + Sync,
) -> Result<Found, SimulationError> {
    let next = AtomicU64::new(hunt.first);
    let end = hunt.first.saturating_add(hunt.count);
    let began = Instant::now();
    let found = Mutex::new(Found::default());
    let fault = Mutex::new(None);
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..hunt.threads.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let over = began.elapsed() >= hunt.time || done.load(Ordering::Relaxed);
                if number >= end || over || stop.load(Ordering::Relaxed) {
                    return;
                }
                let scenario = Arc::new(generate::scenario(number));
                match guarded(play, &scenario, options(number)) {
                    Ok(course) => {
                        let mut found = found
                            .lock()
                            .unwrap_or_else(std::sync::PoisonError::into_inner);
                        take(&mut found, number, &course);
                        if hunt.stop && !found.finds.is_empty() {
                            done.store(true, Ordering::Relaxed);
                        }
                        progress(found.played, found.finds.len());
                    }
                    Err(told) => {
                        *fault
                            .lock()
                            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(told);
                        done.store(true, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    match fault
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
    {
        Some(fault) => Err(fault),
        None => Ok(found
            .into_inner()
            .unwrap_or_else(std::sync::PoisonError::into_inner)),
    }
}

fn take(found: &mut Found, number: u64, course: &RunResult) {
    found.played += 1;
    let total = course.total();
    found.requests += total.tries;
    let mut seen = Vec::new();
    for broken in &course.violations {
        let signature = signature(broken);
        if seen.contains(&signature) {
            continue;
        }
        let find = found
            .finds
            .entry(signature.clone())
            .or_insert_with(|| Find {
                number,
                broken: broken.clone(),
                count: 0,
            });
        find.count += 1;
        // The lowest number, whatever the order in which threads come by.
        if number < find.number {
            (find.number, find.broken) = (number, broken.clone());
        }
        seen.push(signature);
    }
    if course.scenario().utilisation() < 0.8 {
        found.losses.push((total.goodput(), number));
        found
            .losses
            .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found.losses.truncate(LOSSES);
    }
}

/// A failing schedule, cut down.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// What still fails.
    pub scenario: Scenario,
    /// With which seed.
    pub options: RunOptions,
    /// What is broken there.
    pub broken: Violation,
    /// Plays that it took.
    pub plays: u64,
}

/// The least that still breaks `rule`, as far as taking away parts one after the other leads. The load is written out
/// as single requests first, so that each of them can go.
///
/// Returns None if the scenario does not break the rule.
pub fn shrink(
    play: Play,
    scenario: &Scenario,
    options: RunOptions,
    rule: Invariant,
    most: u64,
) -> Option<Shrunk> {
    let mut search = Search {
        play,
        rule,
        options: RunOptions {
            stop_at_violation: false,
            ..options
        },
        plays: 0,
        most,
    };
    let mut best = search.fails(scripted(scenario, options.seed))?;
    loop {
        let before = size(&best.scenario);
        best = search.requests(best);
        best = search.faults(best);
        best = search.simpler(best);
        if size(&best.scenario) >= before || search.plays >= most {
            break;
        }
    }
    best.plays = search.plays;
    Some(best)
}

fn size(scenario: &Scenario) -> usize {
    scenario.event_count() * 100 + scenario.hosts.len() + scenario.proxies as usize
}

/// The same load as single requests.
pub fn scripted(scenario: &Scenario, seed: u64) -> Scenario {
    if scenario.requests.is_some() {
        return scenario.clone();
    }
    let mut clients = LoadGenerator::new(Arc::new(scenario.clone()), RandomStreams::new(seed));
    let mut requests = Vec::new();
    while let Some(ask) = clients.next_operation() {
        let (at, proxy, class, id) = (ask.due, ask.proxy, ask.class, ask.op.0);
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

struct Search {
    play: Play,
    rule: Invariant,
    options: RunOptions,
    plays: u64,
    most: u64,
}

impl Search {
    /// Does it break the rule, with this seed or one of a few others? What is left out shifts what the decisions draw.
    fn fails(&mut self, scenario: Scenario) -> Option<Shrunk> {
        let scenario = Arc::new(scenario);
        let first = self.options.seed;
        for seed in std::iter::once(first).chain(first.wrapping_add(1)..first.wrapping_add(4)) {
            if self.plays >= self.most {
                return None;
            }
            self.plays += 1;
            let options = RunOptions {
                seed,
                ..self.options
            };
            let course = guarded(self.play, &scenario, options).ok()?;
            if let Some(broken) = course.violations.iter().find(|b| b.invariant == self.rule) {
                self.options = options;
                let scenario = Scenario::clone(&scenario);
                return Some(Shrunk {
                    scenario,
                    options,
                    broken: broken.clone(),
                    plays: self.plays,
                });
            }
        }
        None
    }

    /// Takes away runs of requests, long ones first, then ever shorter ones.
    fn requests(&mut self, mut best: Shrunk) -> Shrunk {
        let all = |s: &Shrunk| s.scenario.requests.clone().unwrap_or_default();
        // What comes after the failure has no part in it, where that is a moment.
        let kept: Vec<_> = all(&best)
            .into_iter()
            .filter(|r| r.at <= best.broken.at)
            .collect();
        if kept.len() < all(&best).len() {
            let shorter = Scenario {
                requests: Some(kept),
                ..best.scenario.clone()
            };
            best = self.fails(shorter).unwrap_or(best);
        }
        let mut run = all(&best).len().div_ceil(2).max(1);
        loop {
            let mut at = 0;
            while at < all(&best).len() {
                let mut fewer = all(&best);
                let end = (at + run).min(fewer.len());
                fewer.drain(at..end);
                match self.fails(Scenario {
                    requests: Some(fewer),
                    ..best.scenario.clone()
                }) {
                    Some(smaller) => best = smaller,
                    None => at += run,
                }
            }
            if run == 1 || self.plays >= self.most {
                return best;
            }
            run = run.div_ceil(2);
        }
    }

    fn faults(&mut self, mut best: Shrunk) -> Shrunk {
        let mut at = 0;
        while at < best.scenario.faults.len() {
            let mut fewer = best.scenario.clone();
            fewer.faults.remove(at);
            match self.fails(fewer) {
                Some(smaller) => best = smaller,
                None => at += 1,
            }
        }
        best
    }

    /// Fewer hosts and proxies, and clients that do less.
    fn simpler(&mut self, mut best: Shrunk) -> Shrunk {
        let mut host = best.scenario.hosts.len();
        while host > 0 {
            host -= 1;
            let used = |f: &badgerramp_sim_model::Fault| f.kind.host() == Some(host);
            if best.scenario.hosts.len() < 2 || best.scenario.faults.iter().any(used) {
                continue;
            }
            let mut fewer = best.scenario.clone();
            fewer.hosts.remove(host);
            fewer.faults.iter_mut().for_each(|f| move_host(f, host));
            best = self.fails(fewer).unwrap_or(best);
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
                best = self.fails(simpler).unwrap_or(best);
            }
        }
        best
    }
}

/// Places of hosts after one that has gone move up.
fn move_host(fault: &mut badgerramp_sim_model::Fault, gone: usize) {
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
        if *host > gone {
            *host -= 1;
        }
    }
}
