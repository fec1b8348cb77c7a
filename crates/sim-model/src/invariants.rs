//! Checks a simulation run against the invariants while it runs, from what can be observed outside the proxy: the
//! clients' requests and answers, the attempts that reach hosts and their effects, and the host states that each proxy
//! has been notified of.

use crate::scenario::{DedupGroup, Effect, Hedging, Scenario};
use crate::{Micros, OpId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// The final answer of a try, as its client sees it. Traces and violations print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FinalAnswer {
    /// The answer of a host.
    Served,
    /// A rejection, which states that a retry is harmless.
    Refused,
    /// A failure after which the call may have been executed.
    Failed,
    /// The proxy's backstop at the deadline answered, because the decisions had lost track of the call.
    Overdue,
}

/// An invariant of the simulation. Reports and the command line use the names that `Display` writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each try gets its final answer within the client's deadline.
    Lost,
    /// No try gets more than one final answer.
    AnsweredTwice,
    /// No attempt is sent after the final answer or after the client's deadline.
    AfterEnd,
    /// No operation takes effect twice.
    RanTwice,
    /// A call that is not idempotent is sent again only if the earlier attempts provably were not executed or, for a keyed
    /// call, within its dedup group and window.
    Resent,
    /// No call is refused, which states that a retry is harmless, if it may have been executed.
    RefusedThoughRan,
    /// No call has more attempts, or more concurrent attempts, than its class allows.
    TooMany,
    /// Nothing is sent to a host after the grace period that follows the notice that it drains or has been removed.
    Drain,
    /// No cold host collapses under load from proxies that know of its start.
    ColdPushed,
    /// The decisions lose track of no call; if they do, the proxy's backstop answers it.
    Forgotten,
    /// The proxy releases all resources: calls, concurrency slots and connections.
    Leaked,
    /// Goodput recovers in time after the last fault.
    NotRecovered,
    /// Each answer belongs to the request that it was sent for.
    MixedUp,
    /// The program does not crash.
    Crashed,
    /// The decisions count as outstanding at each host exactly the attempts that are outstanding.
    Miscounted,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 15] = [
        Invariant::Lost,
        Invariant::AnsweredTwice,
        Invariant::AfterEnd,
        Invariant::RanTwice,
        Invariant::Resent,
        Invariant::RefusedThoughRan,
        Invariant::TooMany,
        Invariant::Drain,
        Invariant::ColdPushed,
        Invariant::Forgotten,
        Invariant::Leaked,
        Invariant::NotRecovered,
        Invariant::MixedUp,
        Invariant::Crashed,
        Invariant::Miscounted,
    ];

    /// The invariant that `Display` writes as `name`.
    pub fn from_name(name: &str) -> Option<Invariant> {
        Invariant::ALL.into_iter().find(|r| r.to_string() == name)
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::Lost => "lost",
            Invariant::AnsweredTwice => "answered-twice",
            Invariant::AfterEnd => "after-end",
            Invariant::RanTwice => "ran-twice",
            Invariant::Resent => "resent",
            Invariant::RefusedThoughRan => "refused-though-ran",
            Invariant::TooMany => "too-many",
            Invariant::Drain => "drain",
            Invariant::ColdPushed => "cold-pushed",
            Invariant::Forgotten => "forgotten",
            Invariant::Leaked => "leaked",
            Invariant::NotRecovered => "not-recovered",
            Invariant::MixedUp => "mixed-up",
            Invariant::Crashed => "crashed",
            Invariant::Miscounted => "miscounted",
        })
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Time of the violation.
    pub at: Micros,
    /// The operation concerned, if it is one.
    pub op: Option<OpId>,
    /// What was observed.
    pub text: String,
}

/// A client's try: the operation and the number of the try.
type CallKey = (OpId, u32);

#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: usize,
    at: Micros,
    /// Whether the proxy has proof that the attempt was not executed.
    proven_not_executed: bool,
    ended: bool,
}

#[derive(Debug)]
struct Call {
    class: usize,
    proxy: u32,
    until: Micros,
    attempts: Vec<Attempt>,
    answered: Option<(Micros, FinalAnswer)>,
}

/// Checks one simulation run against all invariants.
#[derive(Debug)]
pub struct InvariantChecker {
    scenario: Arc<Scenario>,
    zones: Vec<usize>,
    /// Tolerance for the delay of answers on their way to the client and of requests on their way to the host.
    slack: Micros,
    calls: FxHashMap<CallKey, Call>,
    /// Deadlines of the tries without a final answer.
    deadlines: BTreeSet<(Micros, CallKey)>,
    /// Time of the first execution of each operation, and the number of executions.
    effects: FxHashMap<OpId, (Micros, u32)>,
    /// Time since which each proxy knows that a host takes no calls.
    drains: FxHashMap<(u32, usize), Micros>,
    violations: Vec<Violation>,
    violation_count: u64,
    last_cleanup: Micros,
    /// Attempts are observed at the hosts alone, so the time at which an attempt ends for its proxy is not known exactly.
    external: bool,
}

/// Maximum number of violations that are kept; further ones are only counted.
const MAX_VIOLATIONS: usize = 64;
/// Time after which ended calls are dropped.
const RETENTION: Micros = 30_000_000;

impl InvariantChecker {
    /// A checker for a scenario. `slack` is the longest network delay outside the proxy.
    pub fn new(scenario: Arc<Scenario>, slack: Micros) -> Self {
        let zone = |name: &str| {
            scenario
                .hosts
                .iter()
                .position(|h| h.zone == name)
                .unwrap_or(0)
        };
        let zones = scenario.hosts.iter().map(|h| zone(&h.zone)).collect();
        InvariantChecker {
            zones,
            scenario,
            slack,
            calls: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            effects: FxHashMap::default(),
            drains: FxHashMap::default(),
            violations: Vec::new(),
            violation_count: 0,
            last_cleanup: 0,
            external: false,
        }
    }

    /// A checker that observes clients and hosts only, and nothing inside the proxy.
    pub fn external(scenario: Arc<Scenario>, slack: Micros) -> Self {
        InvariantChecker {
            external: true,
            ..InvariantChecker::new(scenario, slack)
        }
    }

    /// The first violations; [`InvariantChecker::violation_count`] counts the others too.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of all violations.
    pub fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// Records a violation.
    pub fn record(
        &mut self,
        invariant: Invariant,
        at: Micros,
        op: Option<OpId>,
        text: impl Into<String>,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                invariant,
                at,
                op,
                text: text.into(),
            });
        }
    }

    /// A proxy has accepted a try and must answer it by `until`.
    pub fn call_accepted(
        &mut self,
        now: Micros,
        op: OpId,
        try_number: u32,
        (class, proxy): (usize, u32),
        until: Micros,
    ) {
        self.advance(now);
        let call = Call {
            class,
            proxy,
            until,
            attempts: Vec::new(),
            answered: None,
        };
        self.calls.insert((op, try_number), call);
        self.deadlines.insert((until, (op, try_number)));
    }

    /// Advances the time to `now` and records the tries that have no answer by their deadline.
    pub fn advance(&mut self, now: Micros) {
        while let Some(&(until, key)) = self.deadlines.first().filter(|d| d.0 + self.slack < now) {
            self.deadlines.pop_first();
            if self.calls.get(&key).is_some_and(|c| c.answered.is_none()) {
                self.record(
                    Invariant::Lost,
                    until,
                    Some(key.0),
                    format!("try {}: no final answer by {until}", key.1),
                );
            }
        }
        if now > self.last_cleanup + RETENTION {
            self.last_cleanup = now;
            self.calls.retain(|_, c| c.until + RETENTION > now);
            self.effects.retain(|_, e| e.0 + 2 * RETENTION > now);
        }
    }

    /// An attempt was sent to a host at `at`. Returns its number, for [`InvariantChecker::attempt_ended`].
    pub fn attempt_sent(&mut self, at: Micros, op: OpId, try_number: u32, host: usize) -> usize {
        let Some(call) = self.calls.get(&(op, try_number)) else {
            return usize::MAX;
        };
        let class = &self.scenario.classes[call.class];
        let mut violations: Vec<(Invariant, String)> = Vec::new();
        let attempt_number = call.attempts.len();
        if let Some((when, answer)) = call.answered.filter(|a| a.0 + self.slack < at) {
            violations.push((
                Invariant::AfterEnd,
                format!(
                    "attempt {attempt_number} sent after the final answer {answer:?} at {when}"
                ),
            ));
        }
        if at > call.until + self.slack {
            violations.push((
                Invariant::AfterEnd,
                format!(
                    "attempt {attempt_number} sent after the client's deadline, {}",
                    call.until
                ),
            ));
        }
        if attempt_number as u32 >= class.max_attempts {
            violations.push((
                Invariant::TooMany,
                format!(
                    "attempt {attempt_number}, but only {} attempts are allowed",
                    class.max_attempts
                ),
            ));
        }
        let outstanding = call.attempts.iter().filter(|a| !a.ended).count();
        if outstanding > 0 && class.hedging == Hedging::Off && !self.external {
            violations.push((
                Invariant::TooMany,
                format!("attempt {attempt_number} while {outstanding} are outstanding, but hedging is off"),
            ));
        }
        if let Some(first) = call.attempts.iter().find(|a| !a.proven_not_executed) {
            let hosts = &self.scenario.hosts;
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    violations.push((
                        Invariant::Resent,
                        format!("unsafe: attempt {attempt_number} although an earlier one may have been executed"),
                    ));
                }
                Effect::Keyed { group, window } => {
                    let inside = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => self.zones[first.host] == self.zones[host],
                        DedupGroup::Group => hosts[first.host].group == hosts[host].group,
                    };
                    if !inside {
                        violations.push((
                            Invariant::Resent,
                            format!("keyed: attempt {attempt_number} outside the dedup group of the first"),
                        ));
                    }
                    if at > first.at + window + self.slack {
                        violations.push((
                            Invariant::Resent,
                            format!("keyed: attempt {attempt_number} after the dedup window"),
                        ));
                    }
                }
            }
        }
        if let Some(&notified) = self.drains.get(&(call.proxy, host)) {
            if at > notified + self.scenario.criteria.drain_grace + self.slack {
                let text = format!(
                    "sent to {} {} us after the notice that it drains",
                    host_name(&self.scenario, host),
                    at - notified
                );
                violations.push((Invariant::Drain, text));
            }
        }
        violations
            .into_iter()
            .for_each(|(invariant, text)| self.record(invariant, at, Some(op), text));
        if let Some(call) = self.calls.get_mut(&(op, try_number)) {
            call.attempts.push(Attempt {
                host,
                at,
                proven_not_executed: false,
                ended: false,
            });
        }
        attempt_number
    }

    /// Whether any attempt has been sent for this try.
    pub fn any_attempt_sent(&self, op: OpId, try_number: u32) -> bool {
        self.calls
            .get(&(op, try_number))
            .is_some_and(|c| !c.attempts.is_empty())
    }

    /// The proxy has learned how an attempt ended; `proven`: that it was not executed.
    pub fn attempt_ended(&mut self, op: OpId, try_number: u32, attempt: usize, proven: bool) {
        let ended = self
            .calls
            .get_mut(&(op, try_number))
            .and_then(|c| c.attempts.get_mut(attempt));
        if let Some(attempt) = ended {
            (attempt.ended, attempt.proven_not_executed) = (true, proven);
        }
    }

    /// A try has its final answer, or its deadline has passed.
    pub fn call_answered(&mut self, now: Micros, op: OpId, try_number: u32, answer: FinalAnswer) {
        self.advance(now);
        let Some(call) = self.calls.get_mut(&(op, try_number)) else {
            return;
        };
        let class = &self.scenario.classes[call.class];
        let mut violations = Vec::new();
        match call.answered {
            Some((at, earlier)) => {
                violations.push((
                    Invariant::AnsweredTwice,
                    format!("{answer:?} after {earlier:?} at {at}"),
                ));
            }
            None => call.answered = Some((now, answer)),
        }
        if answer == FinalAnswer::Overdue {
            violations.push((
                Invariant::Forgotten,
                "the proxy's backstop answered".to_owned(),
            ));
        }
        let retry_is_harmless = matches!(
            class.effect,
            Effect::Safe
                | Effect::Keyed {
                    group: DedupGroup::All,
                    ..
                }
        );
        if answer == FinalAnswer::Refused
            && !retry_is_harmless
            && call.attempts.iter().any(|a| !a.proven_not_executed)
        {
            violations.push((
                Invariant::RefusedThoughRan,
                "refused although an attempt may have been executed".to_owned(),
            ));
        }
        let until = call.until;
        self.deadlines.remove(&(until, (op, try_number)));
        if now > until + self.slack {
            violations.push((
                Invariant::Lost,
                format!(
                    "answered at {now}, {} us after the client's deadline",
                    now - until
                ),
            ));
        }
        violations
            .into_iter()
            .for_each(|(invariant, text)| self.record(invariant, now, Some(op), text));
    }

    /// The client has disconnected: no answer is due, and no further attempt may be sent.
    pub fn client_left(&mut self, now: Micros, op: OpId, try_number: u32) {
        if let Some(call) = self.calls.get_mut(&(op, try_number)) {
            self.deadlines.remove(&(call.until, (op, try_number)));
            call.answered.get_or_insert((now, FinalAnswer::Failed));
        }
    }

    /// An operation took effect at a host. A keyed operation may take effect again only where its dedup group has
    /// forgotten the key and the client has retried.
    pub fn effect_executed(&mut self, now: Micros, op: OpId, host: usize) {
        let (_, count) = self.effects.entry(op).or_insert((now, 0));
        *count += 1;
        if *count == 2 {
            let text = format!(
                "the operation took effect a second time, at {}",
                host_name(&self.scenario, host)
            );
            self.record(Invariant::RanTwice, now, Some(op), text);
        }
    }

    /// A proxy was notified that a host takes calls, or that it does not.
    pub fn host_status_received(&mut self, now: Micros, proxy: u32, host: usize, ready: bool) {
        if ready {
            self.drains.remove(&(proxy, host));
        } else {
            self.drains.entry((proxy, host)).or_insert(now);
        }
    }

    /// A proxy crashed: its open calls are left to the clients' retries.
    pub fn proxy_crashed(&mut self, proxy: u32) {
        let deadlines = &mut self.deadlines;
        self.calls.retain(|key, call| {
            let keep = call.proxy != proxy || call.answered.is_some();
            if !keep {
                deadlines.remove(&(call.until, *key));
            }
            keep
        });
        self.drains.retain(|(of, _), _| *of != proxy);
    }

    /// Number of tries without a final answer.
    pub fn unanswered_calls(&self) -> usize {
        self.deadlines.len()
    }
}

fn host_name(scenario: &Scenario, host: usize) -> &str {
    scenario.hosts.get(host).map_or("?", |h| &h.name)
}
