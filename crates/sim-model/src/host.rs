//! One host: cores, a waiting room, cold starts, crowding, faults, and the memory of keys that its group shares.

use crate::random::RandomStreams;
use crate::scenario::{DedupGroup, Effect, Fault, FaultKind, HostSpec, Scenario};
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
    pub attempt_id: u64,
    /// What a second run would do.
    pub effect: Effect,
    /// Work at speed 1.
    pub work: Micros,
    /// What such a job usually takes: a sender can know no more, and a cold host is weighed down by that.
    pub expected_work: Micros,
    /// Its sender had been told of this host's last start.
    pub sender_knows_start: bool,
}

/// How a host ends a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
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
    Ended(JobOutcome),
    /// No process is there.
    Nobody,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// When.
    pub at: Micros,
    /// Which.
    pub job: Job,
    /// How.
    pub outcome: JobOutcome,
    /// Its effect came about by this: it ran, and was no repeat.
    pub took_effect: bool,
    /// What the host tells of its load.
    pub load: HostLoad,
}

/// A host's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Calls in hand, those that wait among them.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
}

/// Keys that groups of hosts remember.
#[derive(Clone, Debug, Default)]
pub struct DedupStore {
    keys: FxHashMap<(u64, OpId), (Micros, usize, bool)>,
    swept: Micros,
}

/// Between two sweeps of what nobody needs to remember.
const SWEEP: Micros = 5_000_000;
/// Hosts remember keys for longer than the window that is told, by what the slowest way may take: a proxy goes by when
/// it sends, a host by when that arrives.
const REMEMBERED_LONGER: Micros = 20_000_000;

impl DedupStore {
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
    verdict: JobOutcome,
    /// A connection's cost, which nobody waits for.
    silent: bool,
}

/// A host and all that it has in hand.
#[derive(Clone, Debug)]
pub struct Host {
    place: usize,
    spec: HostSpec,
    zone: u64,
    draws: RandomStreams,
    up: bool,
    draining: bool,
    started_at: Micros,
    cold: bool,
    running: Vec<Running>,
    queue: VecDeque<(Job, bool, JobOutcome)>,
    stalled_until: Micros,
    slow: f64,
    fails: Vec<FaultKind>,
    connections: u32,
    received: VecDeque<(Micros, f64, bool)>,
    received_sum: f64,
    collapsed: bool,
    /// Most of what made it fall came from those that knew that it was cold.
    pushed: bool,
    crowded_since: Option<Micros>,
    jammed: bool,
    rested_since: Option<Micros>,
    /// Jobs that came, and work that was begun, in microseconds of its cores.
    pub jobs_received: u64,
    /// Work done, in microseconds of its cores.
    pub work_done: Micros,
}

/// Share of a job's work that a repeat costs.
const REPEAT_COST: u64 = 10;

impl Host {
    /// The host at this place of a scenario. One that joins later is down until [`Host::start`].
    pub fn new(scenario: &Scenario, place: usize, draws: RandomStreams) -> Self {
        let spec = scenario.hosts[place].clone();
        let zone = scenario
            .hosts
            .iter()
            .position(|h| h.zone == spec.zone)
            .unwrap_or(0) as u64;
        Host::made(place, zone, spec, draws)
    }

    /// A host that is of no scenario.
    pub fn standalone(spec: HostSpec, draws: RandomStreams) -> Self {
        Host::made(0, 0, spec, draws)
    }

    fn made(place: usize, zone: u64, spec: HostSpec, draws: RandomStreams) -> Self {
        Host {
            place,
            zone,
            draws,
            up: spec.joins_at == 0,
            draining: false,
            started_at: 0,
            cold: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            stalled_until: 0,
            slow: 1.0,
            fails: Vec::new(),
            connections: 0,
            received: VecDeque::new(),
            received_sum: 0.0,
            collapsed: false,
            pushed: false,
            crowded_since: None,
            jammed: false,
            rested_since: None,
            jobs_received: 0,
            work_done: 0,
            spec,
        }
    }

    /// Its description.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    /// Does its process run?
    pub fn is_up(&self) -> bool {
        self.up && !self.collapsed
    }

    /// When its process started; 0: long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Did it fall over while cold, and had most of that been sent by those that knew?
    pub fn collapsed(&self) -> Option<bool> {
        self.collapsed.then_some(self.pushed)
    }

    /// Its load.
    pub fn load(&self) -> HostLoad {
        let running = self.running.iter().filter(|r| !r.silent).count();
        HostLoad {
            in_flight: (running + self.queue.len()) as u32,
            queued: self.queue.len() as u32,
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
                group: DedupGroup::All,
                window,
            } => Some((0, window)),
            Effect::Keyed {
                group: DedupGroup::Zone,
                window,
            } => Some((1 + self.zone, window)),
            Effect::Keyed {
                group: DedupGroup::Group,
                window,
            } => Some((1_000_000 + u64::from(self.spec.group), window)),
            Effect::Safe | Effect::Unsafe => None,
        }
    }

    /// Its process starts, cold if it is of that kind.
    pub fn start(&mut self, now: Micros) {
        (self.up, self.draining, self.collapsed, self.started_at) =
            (true, false, false, now.max(1));
        self.cold = self.spec.cold_start.is_some();
        self.received.clear();
        self.received_sum = 0.0;
        (self.jammed, self.crowded_since, self.rested_since) = (false, None, None);
    }

    /// Its process dies: what it had in hand is gone, and its connections break.
    pub fn crash(&mut self, memory: &mut DedupStore) -> Vec<Job> {
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
    pub fn begin_fault(&mut self, now: Micros, fault: &Fault) {
        match fault.kind {
            FaultKind::Stall { .. } => {
                let longer = fault.until.saturating_sub(now.max(self.stalled_until));
                self.running.iter_mut().for_each(|r| r.ends += longer);
                self.stalled_until = self.stalled_until.max(fault.until);
            }
            FaultKind::Slowdown { factor, .. } => self.slow *= factor,
            trouble @ (FaultKind::Errors { .. }
            | FaultKind::ConnectionResets { .. }
            | FaultKind::CorruptResponses { .. }) => {
                self.fails.push(trouble);
            }
            _ => {}
        }
    }

    /// It ends.
    pub fn end_fault(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::Slowdown { factor, .. } => self.slow /= factor,
            trouble => {
                if let Some(place) = self.fails.iter().position(|f| *f == trouble) {
                    self.fails.remove(place);
                }
            }
        }
    }

    /// A connection comes in; false: it takes no more, or nobody is there.
    pub fn connect(&mut self, now: Micros) -> bool {
        if !self.is_up() || self.connections >= self.spec.max_connections {
            return false;
        }
        self.connections += 1;
        if self.spec.connection_cost > 0 && self.running.len() < self.spec.cores as usize {
            let (effect, work) = (Effect::Safe, self.spec.connection_cost);
            let op = OpId(u64::MAX);
            let job = Job {
                token: u64::MAX,
                op,
                attempt_id: 0,
                effect,
                work,
                expected_work: work,
                sender_knows_start: true,
            };
            let ends = now.max(self.stalled_until) + self.time(now, work);
            self.running.push(Running {
                ends,
                job,
                repeat: false,
                verdict: JobOutcome::Served,
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
    pub fn capacity_share(&self, now: Micros) -> f64 {
        match self.spec.cold_start.filter(|_| self.cold) {
            Some(cold) if now < self.started_at + cold.warm_up => {
                cold.initial_capacity
                    + (1.0 - cold.initial_capacity) * (now - self.started_at) as f64
                        / cold.warm_up as f64
            }
            _ => 1.0,
        }
    }

    /// How long this work takes here now.
    fn time(&self, now: Micros, work: Micros) -> Micros {
        let cores = f64::from(self.spec.cores.max(1));
        let crowded = self.spec.concurrency_penalty.map_or(1.0, |c| {
            let in_hand = (self.running.len() + self.queue.len()) as f64 / cores;
            1.0 + c.slope * (in_hand - c.knee).max(0.0)
        });
        let jammed = self
            .spec
            .congestion_collapse
            .filter(|_| self.jammed)
            .map_or(1.0, |j| j.slowdown);
        let speed = self.spec.speed * self.capacity_share(now);
        ((work as f64 * self.slow * crowded * jammed / speed.max(1e-9)) as Micros).max(1)
    }

    /// A job arrives.
    pub fn arrive(&mut self, now: Micros, job: Job, memory: &mut DedupStore) -> Arrival {
        if !self.is_up() {
            return Arrival::Nobody;
        }
        self.jobs_received += 1;
        self.weigh(now, &job);
        if self.collapsed {
            return Arrival::Nobody;
        }
        if self.draining {
            return Arrival::Ended(JobOutcome::TurnedAway);
        }
        let fault = self.fault(&job);
        if let Some((verdict, false)) =
            fault.filter(|f| f.0 == JobOutcome::Failed || f.0 == JobOutcome::Reset)
        {
            return Arrival::Ended(verdict);
        }
        let full = self.running.len() >= self.spec.cores as usize;
        if full && self.queue.len() >= self.spec.queue_capacity as usize {
            return Arrival::Ended(JobOutcome::TurnedAway);
        }
        let group = self.group(job.effect);
        let repeat =
            group.is_some_and(|(g, window)| memory.repeat(now, g, job.op, window, self.place));
        let verdict = fault.map_or(JobOutcome::Served, |f| f.0);
        if full {
            self.queue.push_back((job, repeat, verdict));
            self.crowd(now);
        } else {
            self.begin_work(now, job, repeat, verdict);
        }
        Arrival::Taken
    }

    fn begin_work(&mut self, now: Micros, job: Job, repeat: bool, verdict: JobOutcome) {
        let work = if repeat {
            job.work / REPEAT_COST
        } else {
            job.work
        };
        let time = self.time(now, work);
        self.work_done += time;
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
    fn fault(&self, job: &Job) -> Option<(JobOutcome, bool)> {
        for (number, fault) in self.fails.iter().enumerate() {
            let what = (0xfa17 + number as u64, job.op.0, job.attempt_id);
            let (share, ran, verdict) = match *fault {
                FaultKind::Errors {
                    share,
                    executed_share: ran,
                    ..
                } => (share, ran, JobOutcome::Failed),
                FaultKind::ConnectionResets {
                    share,
                    executed_share: ran,
                    ..
                } => (share, ran, JobOutcome::Reset),
                FaultKind::CorruptResponses { share, .. } => (share, 1.0, JobOutcome::Spoilt),
                _ => continue,
            };
            let draw = self.draws.uniform(what);
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
            .cold_start
            .filter(|c| self.cold && now < self.started_at + c.warm_up)
        else {
            return;
        };
        let work = job.expected_work as f64 / self.spec.speed;
        self.received.push_back((now, work, job.sender_knows_start));
        self.received_sum += work;
        while let Some(&(at, work, _)) = self
            .received
            .front()
            .filter(|r| r.0 + cold.collapse_window < now)
        {
            debug_assert!(at <= now);
            self.received_sum -= work;
            self.received.pop_front();
        }
        let bears =
            self.capacity_share(now) * f64::from(self.spec.cores) * cold.collapse_window as f64;
        if self.received_sum > cold.collapse_multiple * bears {
            self.collapsed = true;
            let knew: f64 = self.received.iter().filter(|r| r.2).map(|r| r.1).sum();
            self.pushed = knew * 3.0 >= self.received_sum * 2.0;
        }
    }

    /// Notes how long the queue has been too long, or the host at rest.
    fn crowd(&mut self, now: Micros) {
        let Some(jam) = self.spec.congestion_collapse else {
            return;
        };
        let cores = f64::from(self.spec.cores);
        if self.queue.len() as f64 > jam.queued_per_core * cores {
            let since = *self.crowded_since.get_or_insert(now);
            self.jammed |= now >= since + jam.onset;
        } else {
            self.crowded_since = None;
        }
        if self.jammed && self.queue.is_empty() && self.running.len() as f64 <= cores / 2.0 {
            let since = *self.rested_since.get_or_insert(now);
            if now >= since + jam.recovery_idle {
                (self.jammed, self.rested_since) = (false, None);
            }
        } else {
            self.rested_since = None;
        }
    }

    /// When the next job ends; None: nothing is in work.
    pub fn next_completion(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.ends).min()
    }

    /// Lets time pass until `now`: what has ended by then, in order.
    pub fn advance(&mut self, now: Micros, memory: &mut DedupStore, done: &mut Vec<Completion>) {
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
                done.push(Completion {
                    at: ends,
                    job: ended.job,
                    outcome: ended.verdict,
                    took_effect: effected,
                    load: self.load(),
                });
            }
        }
    }

    /// A job whose sender has gone: one that only waits is dropped, one in work goes on.
    pub fn abandon(&mut self, token: u64, memory: &mut DedupStore) -> bool {
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
