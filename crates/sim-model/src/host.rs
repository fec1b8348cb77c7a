//! One host: cores, a waiting room, cold starts, crowding, faults, and the memory of keys that its group shares.

use crate::draw::Draws;
use crate::scenario::{Effect, Fault, Group, HostSpec, Scenario, Trouble};
use crate::{Micros, OpId};
use rustc_hash::FxHashMap;
use std::collections::hash_map::Entry;
use std::collections::VecDeque;

/// What a host is asked to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The caller's name for it.
    pub token: u64,
    /// What is to be done.
    pub op: OpId,
    /// Which attempt this is, in all draws: the try and the attempt.
    pub name: u64,
    /// What a second run would do.
    pub effect: Effect,
    /// Work at speed 1.
    pub work: Micros,
    /// What such a job usually takes: a sender can know no more, and a cold host is weighed down by that.
    pub usual: Micros,
    /// Its sender had been told of this host's last start.
    pub informed: bool,
}

/// How a host ends a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done, and answered.
    Served,
    /// Answered with an error.
    Failed,
    /// Turned away unseen, and said so.
    TurnedAway,
    /// The connection broke.
    Reset,
    /// What came back can't be used.
    Spoilt,
}

/// What becomes of a job as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is in hand; [`Host::advance`] tells its end.
    Taken,
    /// It ended at once.
    Ended(Verdict),
    /// No process is there.
    Nobody,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// When.
    pub at: Micros,
    /// Which.
    pub job: Job,
    /// How.
    pub verdict: Verdict,
    /// Its effect came about by this: it ran, and was no repeat.
    pub effected: bool,
    /// What the host tells of its load.
    pub report: Report,
}

/// A host's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls in hand, those that wait among them.
    pub in_hand: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// Keys that groups of hosts remember.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    keys: FxHashMap<(u64, OpId), (Micros, usize, bool)>,
    swept: Micros,
}

/// Between two sweeps of what nobody needs to remember.
const SWEEP: Micros = 5_000_000;
/// Hosts remember keys for longer than the window that is told, by what the slowest way may take: a proxy goes by when
/// it sends, a host by when that arrives.
const REMEMBERED_LONGER: Micros = 20_000_000;

impl Memory {
    /// Notes that a host has got this; true if it is a repeat.
    fn repeat(&mut self, now: Micros, group: u64, op: OpId, window: Micros, host: usize) -> bool {
        if now > self.swept + SWEEP {
            self.swept = now;
            self.keys
                .retain(|_, (at, _, _)| *at + 3 * REMEMBERED_LONGER > now);
        }
        match self.keys.entry((group, op)) {
            Entry::Vacant(slot) => {
                slot.insert((now, host, false));
                false
            }
            Entry::Occupied(slot) if now <= slot.get().0 + window + REMEMBERED_LONGER => true,
            Entry::Occupied(mut slot) => {
                slot.insert((now, host, false));
                false
            }
        }
    }

    fn ran(&mut self, group: u64, op: OpId) {
        if let Some(slot) = self.keys.get_mut(&(group, op)) {
            slot.2 = true;
        }
    }

    /// What a host had got and not run is forgotten with it.
    fn died(&mut self, host: usize) {
        self.keys.retain(|_, (_, at, ran)| *at != host || *ran);
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ends: Micros,
    job: Job,
    repeat: bool,
    verdict: Verdict,
    /// A connection's cost, which nobody waits for.
    silent: bool,
}

/// A host and all that it has in hand.
#[derive(Clone, Debug)]
pub struct Host {
    place: usize,
    spec: HostSpec,
    zone: u64,
    draws: Draws,
    up: bool,
    draining: bool,
    started: Micros,
    cold: bool,
    running: Vec<Running>,
    queue: VecDeque<(Job, bool, Verdict)>,
    stalled_until: Micros,
    slow: f64,
    fails: Vec<Trouble>,
    connections: u32,
    received: VecDeque<(Micros, f64, bool)>,
    received_sum: f64,
    fell: bool,
    /// Most of what made it fall came from those that knew that it was cold.
    pushed: bool,
    crowded_since: Option<Micros>,
    jammed: bool,
    rested_since: Option<Micros>,
    /// Jobs that came, and work that was begun, in microseconds of its cores.
    pub came: u64,
    /// Work done, in microseconds of its cores.
    pub worked: Micros,
}

/// Share of a job's work that a repeat costs.
const REPEAT_COST: u64 = 10;

impl Host {
    /// The host at this place of a scenario. One that joins later is down until [`Host::start`].
    pub fn new(scenario: &Scenario, place: usize, draws: Draws) -> Self {
        let spec = scenario.hosts[place].clone();
        let zone = scenario
            .hosts
            .iter()
            .position(|h| h.zone == spec.zone)
            .unwrap_or(0) as u64;
        Host::made(place, zone, spec, draws)
    }

    /// A host that is of no scenario.
    pub fn alone(spec: HostSpec, draws: Draws) -> Self {
        Host::made(0, 0, spec, draws)
    }

    fn made(place: usize, zone: u64, spec: HostSpec, draws: Draws) -> Self {
        Host {
            place,
            zone,
            draws,
            up: spec.joins == 0,
            draining: false,
            started: 0,
            cold: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            stalled_until: 0,
            slow: 1.0,
            fails: Vec::new(),
            connections: 0,
            received: VecDeque::new(),
            received_sum: 0.0,
            fell: false,
            pushed: false,
            crowded_since: None,
            jammed: false,
            rested_since: None,
            came: 0,
            worked: 0,
            spec,
        }
    }

    /// Its description.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    /// Does its process run?
    pub fn is_up(&self) -> bool {
        self.up && !self.fell
    }

    /// When its process started; 0: long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Did it fall over while cold, and had most of that been sent by those that knew?
    pub fn fell(&self) -> Option<bool> {
        self.fell.then_some(self.pushed)
    }

    /// Its load.
    pub fn report(&self) -> Report {
        let running = self.running.iter().filter(|r| !r.silent).count();
        Report {
            in_hand: (running + self.queue.len()) as u32,
            waiting: self.queue.len() as u32,
        }
    }

    /// Open connections.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// The group that drops repeats of such a call here.
    fn group(&self, effect: Effect) -> Option<(u64, Micros)> {
        match effect {
            Effect::Keyed {
                group: Group::All,
                window,
            } => Some((0, window)),
            Effect::Keyed {
                group: Group::Zone,
                window,
            } => Some((1 + self.zone, window)),
            Effect::Keyed {
                group: Group::Group,
                window,
            } => Some((1_000_000 + u64::from(self.spec.group), window)),
            Effect::Safe | Effect::Unsafe => None,
        }
    }

    /// Its process starts, cold if it is of that kind.
    pub fn start(&mut self, now: Micros) {
        (self.up, self.draining, self.fell, self.started) = (true, false, false, now.max(1));
        self.cold = self.spec.cold.is_some();
        self.received.clear();
        self.received_sum = 0.0;
        (self.jammed, self.crowded_since, self.rested_since) = (false, None, None);
    }

    /// Its process dies: what it had in hand is gone, and its connections break.
    pub fn die(&mut self, memory: &mut Memory) -> Vec<Job> {
        self.up = false;
        self.connections = 0;
        memory.died(self.place);
        let waiting = std::mem::take(&mut self.queue).into_iter().map(|q| q.0);
        let running = std::mem::take(&mut self.running)
            .into_iter()
            .filter(|r| !r.silent)
            .map(|r| r.job);
        running.chain(waiting).collect()
    }

    /// It turns away what comes from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// A trouble begins that is the host's own; starts, ends and drains are told by their own calls.
    pub fn begin(&mut self, now: Micros, fault: &Fault) {
        match fault.trouble {
            Trouble::Stalls { .. } => {
                let longer = fault.until.saturating_sub(now.max(self.stalled_until));
                self.running.iter_mut().for_each(|r| r.ends += longer);
                self.stalled_until = self.stalled_until.max(fault.until);
            }
            Trouble::Slow { factor, .. } => self.slow *= factor,
            trouble @ (Trouble::Fails { .. } | Trouble::Resets { .. } | Trouble::Spoils { .. }) => {
                self.fails.push(trouble);
            }
            _ => {}
        }
    }

    /// It ends.
    pub fn end(&mut self, fault: &Fault) {
        match fault.trouble {
            Trouble::Slow { factor, .. } => self.slow /= factor,
            trouble => {
                if let Some(place) = self.fails.iter().position(|f| *f == trouble) {
                    self.fails.remove(place);
                }
            }
        }
    }

    /// A connection comes in; false: it takes no more, or nobody is there.
    pub fn connect(&mut self, now: Micros) -> bool {
        if !self.is_up() || self.connections >= self.spec.connections {
            return false;
        }
        self.connections += 1;
        if self.spec.connection_cost > 0 && self.running.len() < self.spec.cores as usize {
            let (effect, work) = (Effect::Safe, self.spec.connection_cost);
            let op = OpId(u64::MAX);
            let job = Job {
                token: u64::MAX,
                op,
                name: 0,
                effect,
                work,
                usual: work,
                informed: true,
            };
            let ends = now.max(self.stalled_until) + self.time(now, work);
            self.running.push(Running {
                ends,
                job,
                repeat: false,
                verdict: Verdict::Served,
                silent: true,
            });
        }
        true
    }

    /// A connection has ended.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Share of its capacity that it has.
    pub fn warmth(&self, now: Micros) -> f64 {
        match self.spec.cold.filter(|_| self.cold) {
            Some(cold) if now < self.started + cold.time => {
                cold.share + (1.0 - cold.share) * (now - self.started) as f64 / cold.time as f64
            }
            _ => 1.0,
        }
    }

    /// How long this work takes here now.
    fn time(&self, now: Micros, work: Micros) -> Micros {
        let cores = f64::from(self.spec.cores.max(1));
        let crowded = self.spec.crowding.map_or(1.0, |c| {
            let in_hand = (self.running.len() + self.queue.len()) as f64 / cores;
            1.0 + c.slope * (in_hand - c.knee).max(0.0)
        });
        let jammed = self
            .spec
            .jam
            .filter(|_| self.jammed)
            .map_or(1.0, |j| j.slower);
        let speed = self.spec.speed * self.warmth(now);
        ((work as f64 * self.slow * crowded * jammed / speed.max(1e-9)) as Micros).max(1)
    }

    /// A job arrives.
    pub fn arrive(&mut self, now: Micros, job: Job, memory: &mut Memory) -> Arrival {
        if !self.is_up() {
            return Arrival::Nobody;
        }
        self.came += 1;
        self.weigh(now, &job);
        if self.fell {
            return Arrival::Nobody;
        }
        if self.draining {
            return Arrival::Ended(Verdict::TurnedAway);
        }
        let fault = self.fault(&job);
        if let Some((verdict, false)) =
            fault.filter(|f| f.0 == Verdict::Failed || f.0 == Verdict::Reset)
        {
            return Arrival::Ended(verdict);
        }
        let full = self.running.len() >= self.spec.cores as usize;
        if full && self.queue.len() >= self.spec.waiting as usize {
            return Arrival::Ended(Verdict::TurnedAway);
        }
        let group = self.group(job.effect);
        let repeat =
            group.is_some_and(|(g, window)| memory.repeat(now, g, job.op, window, self.place));
        let verdict = fault.map_or(Verdict::Served, |f| f.0);
        if full {
            self.queue.push_back((job, repeat, verdict));
            self.crowd(now);
        } else {
            self.begin_work(now, job, repeat, verdict);
        }
        Arrival::Taken
    }

    fn begin_work(&mut self, now: Micros, job: Job, repeat: bool, verdict: Verdict) {
        let work = if repeat {
            job.work / REPEAT_COST
        } else {
            job.work
        };
        let time = self.time(now, work);
        self.worked += time;
        let ends = now.max(self.stalled_until) + time;
        self.running.push(Running {
            ends,
            job,
            repeat,
            verdict,
            silent: false,
        });
    }

    /// How a fault ends this job, if one does, and whether it runs first.
    fn fault(&self, job: &Job) -> Option<(Verdict, bool)> {
        for (number, fault) in self.fails.iter().enumerate() {
            let what = (0xfa17 + number as u64, job.op.0, job.name);
            let (share, ran, verdict) = match *fault {
                Trouble::Fails { share, ran, .. } => (share, ran, Verdict::Failed),
                Trouble::Resets { share, ran, .. } => (share, ran, Verdict::Reset),
                Trouble::Spoils { share, .. } => (share, 1.0, Verdict::Spoilt),
                _ => continue,
            };
            let draw = self.draws.unit(what);
            if draw < share {
                return Some((verdict, draw < share * ran));
            }
        }
        None
    }

    /// Counts what a cold host is sent against what it can do.
    fn weigh(&mut self, now: Micros, job: &Job) {
        let Some(cold) = self
            .spec
            .cold
            .filter(|c| self.cold && now < self.started + c.time)
        else {
            return;
        };
        let work = job.usual as f64 / self.spec.speed;
        self.received.push_back((now, work, job.informed));
        self.received_sum += work;
        while let Some(&(at, work, _)) =
            self.received.front().filter(|r| r.0 + cold.fall_time < now)
        {
            debug_assert!(at <= now);
            self.received_sum -= work;
            self.received.pop_front();
        }
        let bears = self.warmth(now) * f64::from(self.spec.cores) * cold.fall_time as f64;
        if self.received_sum > cold.fall_multiple * bears {
            self.fell = true;
            let knew: f64 = self.received.iter().filter(|r| r.2).map(|r| r.1).sum();
            self.pushed = knew * 3.0 >= self.received_sum * 2.0;
        }
    }

    /// Notes how long the queue has been too long, or the host at rest.
    fn crowd(&mut self, now: Micros) {
        let Some(jam) = self.spec.jam else { return };
        let cores = f64::from(self.spec.cores);
        if self.queue.len() as f64 > jam.waiting * cores {
            let since = *self.crowded_since.get_or_insert(now);
            self.jammed |= now >= since + jam.after;
        } else {
            self.crowded_since = None;
        }
        if self.jammed && self.queue.is_empty() && self.running.len() as f64 <= cores / 2.0 {
            let since = *self.rested_since.get_or_insert(now);
            if now >= since + jam.rest {
                (self.jammed, self.rested_since) = (false, None);
            }
        } else {
            self.rested_since = None;
        }
    }

    /// When the next job ends; None: nothing is in work.
    pub fn due(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.ends).min()
    }

    /// Lets time pass until `now`: what has ended by then, in order.
    pub fn advance(&mut self, now: Micros, memory: &mut Memory, done: &mut Vec<Done>) {
        loop {
            // The first of those that end together is the one that began first.
            let next = self
                .running
                .iter()
                .enumerate()
                .min_by_key(|(place, r)| (r.ends, *place));
            let Some((place, ends)) = next
                .map(|(place, r)| (place, r.ends))
                .filter(|n| n.1 <= now)
            else {
                break;
            };
            let ended = self.running.remove(place);
            if !ended.silent {
                if let Some((group, _)) = self.group(ended.job.effect) {
                    memory.ran(group, ended.job.op);
                }
            }
            if self.running.len() < self.spec.cores as usize {
                if let Some((job, repeat, verdict)) = self.queue.pop_front() {
                    self.begin_work(ends, job, repeat, verdict);
                }
            }
            self.crowd(ends);
            if !ended.silent {
                let effected = !ended.repeat && ended.job.effect != Effect::Safe;
                done.push(Done {
                    at: ends,
                    job: ended.job,
                    verdict: ended.verdict,
                    effected,
                    report: self.report(),
                });
            }
        }
    }

    /// A job whose sender has gone: one that only waits is dropped, one in work goes on.
    pub fn abandon(&mut self, token: u64, memory: &mut Memory) -> bool {
        let Some(place) = self.queue.iter().position(|q| q.0.token == token) else {
            return false;
        };
        if let Some((job, false, _)) = self.queue.remove(place) {
            if let Some((group, _)) = self.group(job.effect) {
                memory.keys.remove(&(group, job.op));
            }
        }
        true
    }
}
