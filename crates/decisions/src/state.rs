//! What a balancer remembers: records only. Every decision on them is in `src/balance.rs`.

use crate::api::*;
use crate::crowd::Word;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new answer in a class's mean: about twenty are remembered.
const PACE_WEIGHT: f64 = 0.05;
/// Time over which a class's unloaded answer time may drift up to its present mean.
const BASE_DRIFT: f64 = 120e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) trial_out: bool,
    pub(crate) doublings: u32,
    pub(crate) backoff_end: Micros,
}

/// A server as this balancer sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) kind: KindId,
    /// This balancer's own order of preference, drawn once: least first.
    pub(crate) rank: u32,
    /// Size by the list; 1 where it tells none.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    pub(crate) started: Micros,
    pub(crate) in_flight: u32,
    pub(crate) budget: Budget,
    /// Answer times over what its classes allow; 1 is the limit. Also breaks ties of the pick.
    pub(crate) strain: f64,
    pub(crate) answers_since: u32,
    /// Its last report, as strain.
    pub(crate) crowding: f64,
    /// Its last word of how crowded it is.
    pub(crate) word: Word,
    /// What it held for all balancers when it was last asked, and when that was.
    pub(crate) in_hand: f64,
    pub(crate) asked: Micros,
    /// When its budget last changed.
    pub(crate) changed: Micros,
    /// When an attempt there last ended, and when it last served.
    pub(crate) heard: Micros,
    pub(crate) answered: Micros,
    /// When a connection there last failed or broke.
    pub(crate) broke: Micros,
    /// Recent share of failures.
    pub(crate) failing: f64,
    /// It is sent nothing before this: it has just refused as full.
    pub(crate) not_before: Micros,
}

/// What an attempt may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Out,
    NeverRan,
    MayHaveRan,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: Micros,
    pub(crate) trial: bool,
    /// What its server held for its size, where it had told.
    pub(crate) crowd: f64,
    pub(crate) effect: Effect,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) terms: CallPolicy,
    pub(crate) arrived: Micros,
    /// When its client first asked, as far as can be told.
    pub(crate) asked: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// It may still draw a cold server.
    pub(crate) lot: bool,
    /// From 0 to 1: it goes to groups of at least this share.
    pub(crate) chance: f64,
    /// Servers asked for their load, and since when; the call goes to one of them.
    pub(crate) asks: Vec<EndpointId>,
    pub(crate) asks_at: Micros,
    /// It asks again from then on, and how often it has found all full.
    pub(crate) ask_next: Micros,
    pub(crate) found_full: u32,
    pub(crate) held: bool,
    /// It pauses between two attempts.
    pub(crate) rests: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
}

/// Answer times of a class: the present mean and the least it has been, which stands for an unloaded server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    pub(crate) mean: f64,
    pub(crate) base: f64,
    pub(crate) seen: u32,
    pub(crate) at: Micros,
    pub(crate) asked: f64,
    /// The longest that clients wait for one try, and calls turned back whose clients may try again.
    pub(crate) patience: Micros,
    pub(crate) turned_back: u32,
    spread: Spread,
}

/// How a class's answer times spread: counts by quarters of a doubling, halved when there are many, so that old ones
/// fade.
#[derive(Clone, Debug)]
struct Spread {
    counts: [u16; SPREAD_STEPS],
    total: u16,
}

/// The shortest time that is told from others, and the steps above it: up to half a minute.
const SPREAD_LEAST: f64 = 256.0;
const SPREAD_STEPS: usize = 68;
/// Counts at which they are halved, and those below which a share says nothing.
const SPREAD_MOST: u16 = 512;
const SPREAD_KNOWN: u16 = 20;

impl Default for Spread {
    fn default() -> Self {
        Spread {
            counts: [0; SPREAD_STEPS],
            total: 0,
        }
    }
}

impl Spread {
    fn add(&mut self, elapsed: f64) {
        let step = ((elapsed / SPREAD_LEAST).max(1.0).log2() * 4.0) as usize;
        self.counts[step.min(SPREAD_STEPS - 1)] += 1;
        self.total += 1;
        if self.total >= SPREAD_MOST {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The time within which this share came, to the end of its step.
    fn within(&self, share: f64) -> Option<f64> {
        let wanted = f64::from(self.total) * share.clamp(0.0, 1.0);
        let mut seen = 0.0;
        let step = self.counts.iter().position(|&c| {
            seen += f64::from(c);
            c > 0 && seen >= wanted
        });
        step.filter(|_| self.total >= SPREAD_KNOWN)
            .map(|s| SPREAD_LEAST * ((s + 1) as f64 / 4.0).exp2())
    }
}

/// The servers of one machine kind in one zone, as one: a balancer of little traffic learns of no single one.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) strain: f64,
    /// Their budget where it is under one call each: the chance that a call may go there.
    pub(crate) share: f64,
}

impl Call {
    /// Attempts in flight.
    pub(crate) fn out(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.effect == Effect::Out)
            .count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn binding(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.effect != Effect::NeverRan)
    }

    /// Until when an answer earns something.
    pub(crate) fn aim_at(&self) -> Micros {
        let aim = if self.class.late_value > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline.min(self.asked.saturating_add(aim))
    }

    /// Has none of its attempts gone there?
    pub(crate) fn untried(&self, server: &Server) -> bool {
        self.attempts.iter().all(|a| a.server != server.id)
    }
}

impl Server {
    /// Is it up, apart from its budget?
    pub(crate) fn usable(&self, now: Micros) -> bool {
        self.listed && self.budget.steps > 0 && now >= self.not_before
    }

    /// A server as the list names it.
    pub(crate) fn new(entry: &EndpointEntry, weights: WeightSource, budget: Budget) -> Self {
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
        Server {
            id,
            zone,
            cell,
            kind,
            size,
            started,
            budget,
            ..Server::default()
        }
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(crate) fn warmth(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        rules.slow_start_min_capacity
            + (1.0 - rules.slow_start_min_capacity) * age as f64 / rules.slow_start_duration as f64
    }

    /// Calls of all balancers there after one more, for its present size.
    pub(crate) fn load(&self, now: Micros, rules: &EndpointRules) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        (self.in_hand + 1.0) / (self.size * self.warmth(now, rules)).max(f64::MIN_POSITIVE)
    }
}

impl Pace {
    /// The pace of a class of which nothing is known yet.
    pub(crate) fn of(class: &Class) -> Self {
        Pace {
            mean: class.latency_objective as f64 / 4.0,
            base: class.latency_objective as f64 / 4.0,
            ..Pace::default()
        }
    }

    /// The time within which this share of the answers comes; None while there were too few.
    pub(crate) fn within(&self, share: f64) -> Option<f64> {
        self.spread.within(share)
    }

    /// Takes an answer in; the least drifts up to the mean, as fleets and work change.
    pub(crate) fn answered(&mut self, now: Micros, elapsed: f64) {
        self.seen = self.seen.saturating_add(1);
        self.spread.add(elapsed);
        let sample = if self.seen > 8 {
            elapsed.min(8.0 * self.base)
        } else {
            elapsed
        };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.seen)).max(PACE_WEIGHT);
        let drift = (now.saturating_sub(self.at) as f64 / BASE_DRIFT).min(1.0);
        self.at = now;
        let drifted = if self.seen <= 8 {
            self.mean
        } else {
            self.base + (self.mean - self.base) * drift
        };
        self.base = self.mean.min(drifted).max(1.0);
    }
}

/// When which call is due; each has one time at the most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timetable {
    due: BTreeSet<(Micros, CallId)>,
    times: BTreeMap<CallId, Micros>,
}

impl Timetable {
    /// Sets a call's time, or takes it off.
    pub(crate) fn set(&mut self, id: CallId, at: Option<Micros>) {
        if let Some(old) = self.times.remove(&id) {
            self.due.remove(&(old, id));
        }
        if let Some(at) = at {
            self.due.insert((at, id));
            self.times.insert(id, at);
        }
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Takes off a call that is due by now.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<CallId> {
        let &(_, id) = self.due.first().filter(|d| d.0 <= now)?;
        self.set(id, None);
        Some(id)
    }
}
