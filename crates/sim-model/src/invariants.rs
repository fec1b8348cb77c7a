//! Holds a course against the rules as it happens, from what can be seen outside the proxy: what clients ask and are
//! told, what reaches hosts and what they do with it, and when each proxy was told what of whom.

use crate::scenario::{DedupGroup, Effect, Hedging, Scenario};
use crate::{Micros, OpId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// A final answer, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FinalAnswer {
    /// A host's answer.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
    /// The proxy's backstop: its decisions had forgotten the call.
    Overdue,
}

/// A rule that can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// No final answer in the client's time.
    Lost,
    /// More than one.
    AnsweredTwice,
    /// An attempt went out after the final answer, or after the client's time.
    AfterEnd,
    /// An effect came about twice.
    RanTwice,
    /// A call went again though nothing proves that it never ran, or outside its group or window.
    Resent,
    /// Refused, which says that trying again is harmless, though it may have run.
    RefusedThoughRan,
    /// More attempts, or two at once, than its file allows.
    TooMany,
    /// Something went to a host too long after word that it drains or is gone.
    Drain,
    /// A cold host was pushed over.
    ColdPushed,
    /// The decisions forgot a call: the proxy's backstop answered it.
    Forgotten,
    /// The proxy kept something that it should have let go: a call, a place, a connection.
    Leaked,
    /// Goodput was not back in its time after the last fault.
    NotRecovered,
    /// An answer was made for another request.
    MixedUp,
    /// The program itself failed.
    Crashed,
    /// What the decisions take to be out at a host is not what is.
    Miscounted,
}

impl Invariant {
    /// All of them.
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

    /// The rule of this name.
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

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When.
    pub at: Micros,
    /// Of which call; None: of none.
    pub op: Option<OpId>,
    /// What was seen.
    pub text: String,
}

/// One try of a client at a proxy.
type CallKey = (OpId, u32);

#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: usize,
    at: Micros,
    /// It is known to its proxy that it never ran.
    proven: bool,
    over: bool,
}

#[derive(Debug)]
struct Call {
    class: usize,
    proxy: u32,
    until: Micros,
    attempts: Vec<Attempt>,
    answered: Option<(Micros, FinalAnswer)>,
}

/// Watches one course.
#[derive(Debug)]
pub struct InvariantChecker {
    scenario: Arc<Scenario>,
    zones: Vec<usize>,
    /// What an answer may be late by the client's own way, and a request by its way to the host.
    slack: Micros,
    calls: FxHashMap<CallKey, Call>,
    dues: BTreeSet<(Micros, CallKey)>,
    effects: FxHashMap<OpId, (Micros, u32)>,
    /// Since when each proxy knows that a host takes no more.
    drains: FxHashMap<(u32, usize), Micros>,
    violations: Vec<Violation>,
    seen: u64,
    swept: Micros,
    /// Attempts are seen at the hosts alone: when one is over for its proxy is not known to the moment.
    external: bool,
}

/// Broken rules that are kept word for word; the rest is counted.
const KEPT: usize = 64;
/// What ended this long ago is forgotten.
const REMEMBERED: Micros = 30_000_000;

impl InvariantChecker {
    /// A judge for a scenario. `slack`: what the ways outside the proxy may take.
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
            dues: BTreeSet::new(),
            effects: FxHashMap::default(),
            drains: FxHashMap::default(),
            violations: Vec::new(),
            seen: 0,
            swept: 0,
            external: false,
        }
    }

    /// A judge that sees what clients and hosts see, and nothing of the proxy's own.
    pub fn external(scenario: Arc<Scenario>, slack: Micros) -> Self {
        InvariantChecker {
            external: true,
            ..InvariantChecker::new(scenario, slack)
        }
    }

    /// What was broken, the first ones word for word.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How often any rule was broken.
    pub fn violation_count(&self) -> u64 {
        self.seen
    }

    /// Takes note of a broken rule that another has found.
    pub fn record(
        &mut self,
        rule: Invariant,
        at: Micros,
        op: Option<OpId>,
        text: impl Into<String>,
    ) {
        self.seen += 1;
        if self.violations.len() < KEPT {
            self.violations.push(Violation {
                invariant: rule,
                at,
                op,
                text: text.into(),
            });
        }
    }

    /// A proxy has taken a try and owes its answer by `until`.
    pub fn call_accepted(
        &mut self,
        now: Micros,
        op: OpId,
        number: u32,
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
        self.calls.insert((op, number), call);
        self.dues.insert((until, (op, number)));
    }

    /// Time has come to `now`: who should have an answer by now?
    pub fn advance(&mut self, now: Micros) {
        while let Some(&(until, key)) = self.dues.first().filter(|d| d.0 + self.slack < now) {
            self.dues.pop_first();
            if self.calls.get(&key).is_some_and(|c| c.answered.is_none()) {
                self.record(
                    Invariant::Lost,
                    until,
                    Some(key.0),
                    format!("try {}: no final answer by {until}", key.1),
                );
            }
        }
        if now > self.swept + REMEMBERED {
            self.swept = now;
            self.calls.retain(|_, c| c.until + REMEMBERED > now);
            self.effects.retain(|_, e| e.0 + 2 * REMEMBERED > now);
        }
    }

    /// An attempt went to a host at `at`. Tells its number, for [`Judge::over`].
    pub fn attempt_sent(&mut self, at: Micros, op: OpId, number: u32, host: usize) -> usize {
        let Some(call) = self.calls.get(&(op, number)) else {
            return usize::MAX;
        };
        let class = &self.scenario.classes[call.class];
        let mut found: Vec<(Invariant, String)> = Vec::new();
        let place = call.attempts.len();
        if let Some((when, what)) = call.answered.filter(|a| a.0 + self.slack < at) {
            found.push((
                Invariant::AfterEnd,
                format!("attempt {place} after the answer {what:?} at {when}"),
            ));
        }
        if at > call.until + self.slack {
            found.push((
                Invariant::AfterEnd,
                format!("attempt {place} after its client's time, {}", call.until),
            ));
        }
        if place as u32 >= class.max_attempts {
            found.push((
                Invariant::TooMany,
                format!("attempt {place} of {} allowed", class.max_attempts),
            ));
        }
        let out = call.attempts.iter().filter(|a| !a.over).count();
        if out > 0 && class.hedging == Hedging::Off && !self.external {
            found.push((
                Invariant::TooMany,
                format!("attempt {place} while {out} are out, without second copies"),
            ));
        }
        if let Some(first) = call.attempts.iter().find(|a| !a.proven) {
            let hosts = &self.scenario.hosts;
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    found.push((
                        Invariant::Resent,
                        format!("unsafe: attempt {place} though an earlier one may have run"),
                    ));
                }
                Effect::Keyed { group, window } => {
                    let inside = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => self.zones[first.host] == self.zones[host],
                        DedupGroup::Group => hosts[first.host].group == hosts[host].group,
                    };
                    if !inside {
                        found.push((
                            Invariant::Resent,
                            format!("keyed: attempt {place} outside the group of the first"),
                        ));
                    }
                    if at > first.at + window + self.slack {
                        found.push((
                            Invariant::Resent,
                            format!("keyed: attempt {place} outside its window"),
                        ));
                    }
                }
            }
        }
        if let Some(&told) = self.drains.get(&(call.proxy, host)) {
            if at > told + self.scenario.criteria.drain_grace + self.slack {
                let text = format!(
                    "sent to {} {} us after word of its drain",
                    hosts_name(&self.scenario, host),
                    at - told
                );
                found.push((Invariant::Drain, text));
            }
        }
        found
            .into_iter()
            .for_each(|(rule, text)| self.record(rule, at, Some(op), text));
        if let Some(call) = self.calls.get_mut(&(op, number)) {
            call.attempts.push(Attempt {
                host,
                at,
                proven: false,
                over: false,
            });
        }
        place
    }

    /// Has anything gone to a host for this try?
    pub fn any_attempt_sent(&self, op: OpId, number: u32) -> bool {
        self.calls
            .get(&(op, number))
            .is_some_and(|c| !c.attempts.is_empty())
    }

    /// The proxy has learned how the attempt ended; `proven`: it never ran.
    pub fn attempt_ended(&mut self, op: OpId, number: u32, attempt: usize, proven: bool) {
        let tried = self
            .calls
            .get_mut(&(op, number))
            .and_then(|c| c.attempts.get_mut(attempt));
        if let Some(tried) = tried {
            (tried.over, tried.proven) = (true, proven);
        }
    }

    /// The try's client has its final answer, or its time has ended.
    pub fn call_answered(&mut self, now: Micros, op: OpId, number: u32, answer: FinalAnswer) {
        self.advance(now);
        let Some(call) = self.calls.get_mut(&(op, number)) else {
            return;
        };
        let class = &self.scenario.classes[call.class];
        let mut found = Vec::new();
        match call.answered {
            Some((at, before)) => {
                found.push((
                    Invariant::AnsweredTwice,
                    format!("{answer:?} after {before:?} at {at}"),
                ));
            }
            None => call.answered = Some((now, answer)),
        }
        if answer == FinalAnswer::Overdue {
            found.push((Invariant::Forgotten, "the backstop answered".to_owned()));
        }
        let harmless = matches!(
            class.effect,
            Effect::Safe
                | Effect::Keyed {
                    group: DedupGroup::All,
                    ..
                }
        );
        if answer == FinalAnswer::Refused && !harmless && call.attempts.iter().any(|a| !a.proven) {
            found.push((
                Invariant::RefusedThoughRan,
                "refused though an attempt may have run".to_owned(),
            ));
        }
        let until = call.until;
        self.dues.remove(&(until, (op, number)));
        if now > until + self.slack {
            found.push((
                Invariant::Lost,
                format!(
                    "answered at {now}, {} us after its client's time",
                    now - until
                ),
            ));
        }
        found
            .into_iter()
            .for_each(|(rule, text)| self.record(rule, now, Some(op), text));
    }

    /// Its client has left: no answer is owed, and nothing more may go out.
    pub fn client_left(&mut self, now: Micros, op: OpId, number: u32) {
        if let Some(call) = self.calls.get_mut(&(op, number)) {
            self.dues.remove(&(call.until, (op, number)));
            call.answered.get_or_insert((now, FinalAnswer::Failed));
        }
    }

    /// An effect came about at a host. A keyed one may come about again only where its group has forgotten it and its
    /// client asked anew.
    pub fn effect_executed(&mut self, now: Micros, op: OpId, host: usize) {
        let (_, count) = self.effects.entry(op).or_insert((now, 0));
        *count += 1;
        if *count == 2 {
            let text = format!(
                "its effect came about a second time, at {}",
                hosts_name(&self.scenario, host)
            );
            self.record(Invariant::RanTwice, now, Some(op), text);
        }
    }

    /// A proxy was told that a host takes calls, or that it does not.
    pub fn host_status_received(&mut self, now: Micros, proxy: u32, host: usize, ready: bool) {
        if ready {
            self.drains.remove(&(proxy, host));
        } else {
            self.drains.entry((proxy, host)).or_insert(now);
        }
    }

    /// A proxy died: what it held is its clients' to repeat.
    pub fn proxy_crashed(&mut self, proxy: u32) {
        let dues = &mut self.dues;
        self.calls.retain(|key, call| {
            let stays = call.proxy != proxy || call.answered.is_some();
            if !stays {
                dues.remove(&(call.until, *key));
            }
            stays
        });
        self.drains.retain(|(of, _), _| *of != proxy);
    }

    /// Tries without their final answer.
    pub fn unanswered_calls(&self) -> usize {
        self.dues.len()
    }
}

fn hosts_name(scenario: &Scenario, host: usize) -> &str {
    scenario.hosts.get(host).map_or("?", |h| &h.name)
}
