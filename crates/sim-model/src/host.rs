//! A host: cores, a bounded queue, cold starts, overload, faults, and the idempotency keys that its group shares.

use crate::random::RandomStreams;
use crate::scenario::{DedupGroup, Effect, Fault, FaultKind, HostSpec, Scenario};
use crate::{Micros, OpId};
use rustc_hash::FxHashMap;
use std::collections::hash_map::Entry;
use std::collections::VecDeque;

/// A request at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Identifies the job for the caller.
    pub token: u64,
    /// The client's operation.
    pub op: OpId,
    /// Identifies the try and the attempt in the random streams.
    pub attempt_id: u64,
    /// What a second execution does.
    pub effect: Effect,
    /// Work on a host of speed 1.
    pub work: Micros,
    /// Work that such a job usually needs. It is all that a sender can know, and therefore what counts towards the
    /// collapse of a cold host.
    pub expected_work: Micros,
    /// Whether the sender knew of the host's last start when it sent the job.
    pub sender_knows_start: bool,
}

/// How a job ended. Reports print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was executed and answered.
    Served,
    /// The job was answered with an error.
    Failed,
    /// The job was rejected before any processing, with an answer that says so.
    TurnedAway,
    /// The connection was reset.
    Reset,
    /// The job was executed, but its response is corrupt.
    Spoilt,
}

/// What happens to a job on arrival. Reports print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The job is running or queued; [`Host::advance`] reports its end.
    Taken,
    /// The job ended at once.
    Ended(JobOutcome),
    /// The host's process is not running.
    Nobody,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Time at which the job ended.
    pub at: Micros,
    /// The job.
    pub job: Job,
    /// How the job ended.
    pub outcome: JobOutcome,
    /// Whether the job took effect: its effect is not [`Effect::Safe`], and it was not dropped as a repeat.
    pub took_effect: bool,
    /// The host's load right after the job ended.
    pub load: HostLoad,
}

/// The load that a host reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Calls that are running or queued.
    pub in_flight: u32,
    /// Calls that are queued.
    pub queued: u32,
}

/// The idempotency keys that each group of hosts has seen.
#[derive(Clone, Debug, Default)]
pub struct DedupStore {
    /// By group and operation: time of the first arrival, host, and whether the host has executed it.
    keys: FxHashMap<(u64, OpId), (Micros, usize, bool)>,
    last_cleanup: Micros,
}

/// Interval between two removals of expired keys.
const CLEANUP_INTERVAL: Micros = 5_000_000;
/// Time beyond the dedup window for which hosts keep a key. A proxy measures the window between sends and a host between
/// arrivals, which may be further apart by the longest network delay.
const KEY_RETENTION_MARGIN: Micros = 20_000_000;

impl DedupStore {
    /// Records that a host has received this operation; true if it is a repeat.
    fn record_arrival(
        &mut self,
        now: Micros,
        group: u64,
        op: OpId,
        window: Micros,
        host: usize,
    ) -> bool {
        if now > self.last_cleanup + CLEANUP_INTERVAL {
            self.last_cleanup = now;
            self.keys
                .retain(|_, (at, _, _)| *at + 3 * KEY_RETENTION_MARGIN > now);
        }
        match self.keys.entry((group, op)) {
            Entry::Vacant(slot) => {
                slot.insert((now, host, false));
                false
            }
            Entry::Occupied(slot) if now <= slot.get().0 + window + KEY_RETENTION_MARGIN => true,
            Entry::Occupied(mut slot) => {
                slot.insert((now, host, false));
                false
            }
        }
    }

    /// Records that the operation has been executed.
    fn mark_executed(&mut self, group: u64, op: OpId) {
        if let Some(slot) = self.keys.get_mut(&(group, op)) {
            slot.2 = true;
        }
    }

    /// Forgets the operations that the host had received but not executed when it crashed.
    fn host_crashed(&mut self, host: usize) {
        self.keys
            .retain(|_, (_, received_by, executed)| *received_by != host || *executed);
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ends_at: Micros,
    job: Job,
    is_repeat: bool,
    outcome: JobOutcome,
    /// The work to accept a connection, which is not a job of any caller.
    is_connection_cost: bool,
}

/// A host with its running and queued jobs.
#[derive(Clone, Debug)]
pub struct Host {
    index: usize,
    spec: HostSpec,
    zone: u64,
    random: RandomStreams,
    up: bool,
    draining: bool,
    started_at: Micros,
    cold: bool,
    running: Vec<Running>,
    queue: VecDeque<(Job, bool, JobOutcome)>,
    stalled_until: Micros,
    /// Product of the factors of all active slowdowns.
    slowdown: f64,
    /// Active faults that end jobs early or with an error.
    job_faults: Vec<FaultKind>,
    connections: u32,
    /// Jobs received within the collapse window while cold: arrival, expected work, whether the sender knew of the start.
    recent_work: VecDeque<(Micros, f64, bool)>,
    recent_work_sum: f64,
    collapsed: bool,
    /// Whether senders that knew of the start sent at least two thirds of the work that made the host collapse.
    collapsed_by_informed_senders: bool,
    long_queue_since: Option<Micros>,
    congested: bool,
    idle_since: Option<Micros>,
    /// Number of jobs received.
    pub jobs_received: u64,
    /// Core time of all jobs that were started, in microseconds.
    pub work_done: Micros,
}

/// Divisor of a job's work for a repeat, which is recognised by its key without being executed.
const REPEAT_WORK_DIVISOR: u64 = 10;

impl Host {
    /// The host with this index in a scenario. A host that joins later is down until [`Host::start`].
    pub fn new(scenario: &Scenario, index: usize, random: RandomStreams) -> Self {
        let spec = scenario.hosts[index].clone();
        let zone = scenario
            .hosts
            .iter()
            .position(|h| h.zone == spec.zone)
            .unwrap_or(0) as u64;
        Host::with_spec(index, zone, spec, random)
    }

    /// A host that does not belong to a scenario.
    pub fn standalone(spec: HostSpec, random: RandomStreams) -> Self {
        Host::with_spec(0, 0, spec, random)
    }

    fn with_spec(index: usize, zone: u64, spec: HostSpec, random: RandomStreams) -> Self {
        Host {
            index,
            zone,
            random,
            up: spec.joins_at == 0,
            draining: false,
            started_at: 0,
            cold: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            stalled_until: 0,
            slowdown: 1.0,
            job_faults: Vec::new(),
            connections: 0,
            recent_work: VecDeque::new(),
            recent_work_sum: 0.0,
            collapsed: false,
            collapsed_by_informed_senders: false,
            long_queue_since: None,
            congested: false,
            idle_since: None,
            jobs_received: 0,
            work_done: 0,
            spec,
        }
    }

    /// The host's description.
    pub fn spec(&self) -> &HostSpec {
        &self.spec
    }

    /// Whether the host's process is running.
    pub fn is_up(&self) -> bool {
        self.up && !self.collapsed
    }

    /// Time at which the process started; 0: long before the load begins.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether the host has collapsed under load while cold: None if not, else whether at least two thirds of the work
    /// came from senders that knew of the start.
    pub fn collapsed(&self) -> Option<bool> {
        self.collapsed.then_some(self.collapsed_by_informed_senders)
    }

    /// The host's current load.
    pub fn load(&self) -> HostLoad {
        let running = self
            .running
            .iter()
            .filter(|r| !r.is_connection_cost)
            .count();
        HostLoad {
            in_flight: (running + self.queue.len()) as u32,
            queued: self.queue.len() as u32,
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// The dedup group of this host for calls of this effect, and the dedup window.
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

    /// Starts the process, cold if the host has cold starts.
    pub fn start(&mut self, now: Micros) {
        (self.up, self.draining, self.collapsed, self.started_at) =
            (true, false, false, now.max(1));
        self.cold = self.spec.cold_start.is_some();
        self.recent_work.clear();
        self.recent_work_sum = 0.0;
        (self.congested, self.long_queue_since, self.idle_since) = (false, None, None);
    }

    /// Crashes the process: all connections are reset. Returns the running and queued jobs, which are lost.
    pub fn crash(&mut self, dedup: &mut DedupStore) -> Vec<Job> {
        self.up = false;
        self.connections = 0;
        dedup.host_crashed(self.index);
        let queued = std::mem::take(&mut self.queue).into_iter().map(|q| q.0);
        let running = std::mem::take(&mut self.running)
            .into_iter()
            .filter(|r| !r.is_connection_cost)
            .map(|r| r.job);
        running.chain(queued).collect()
    }

    /// Makes the host turn away all jobs from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Begins a fault of this host. Starts, crashes and drains have methods of their own.
    pub fn begin_fault(&mut self, now: Micros, fault: &Fault) {
        match fault.kind {
            FaultKind::Stall { .. } => {
                let stall = fault.until.saturating_sub(now.max(self.stalled_until));
                self.running.iter_mut().for_each(|r| r.ends_at += stall);
                self.stalled_until = self.stalled_until.max(fault.until);
            }
            FaultKind::Slowdown { factor, .. } => self.slowdown *= factor,
            kind @ (FaultKind::Errors { .. }
            | FaultKind::ConnectionResets { .. }
            | FaultKind::CorruptResponses { .. }) => {
                self.job_faults.push(kind);
            }
            _ => {}
        }
    }

    /// Ends a fault that [`Host::begin_fault`] began.
    pub fn end_fault(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::Slowdown { factor, .. } => self.slowdown /= factor,
            kind => {
                if let Some(index) = self.job_faults.iter().position(|f| *f == kind) {
                    self.job_faults.remove(index);
                }
            }
        }
    }

    /// Accepts a connection; false: the host is down or at its maximum number of connections.
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
            let ends_at = now.max(self.stalled_until) + self.processing_time(now, work);
            self.running.push(Running {
                ends_at,
                job,
                is_repeat: false,
                outcome: JobOutcome::Served,
                is_connection_cost: true,
            });
        }
        true
    }

    /// Closes a connection.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Share of its full capacity that the host has now, below 1 while it warms up.
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

    /// Time that the host needs for this work under its current load.
    fn processing_time(&self, now: Micros, work: Micros) -> Micros {
        let cores = f64::from(self.spec.cores.max(1));
        let concurrency_factor = self.spec.concurrency_penalty.map_or(1.0, |c| {
            let in_flight_per_core = (self.running.len() + self.queue.len()) as f64 / cores;
            1.0 + c.slope * (in_flight_per_core - c.knee).max(0.0)
        });
        let congestion_factor = self
            .spec
            .congestion_collapse
            .filter(|_| self.congested)
            .map_or(1.0, |c| c.slowdown);
        let speed = self.spec.speed * self.capacity_share(now);
        ((work as f64 * self.slowdown * concurrency_factor * congestion_factor / speed.max(1e-9))
            as Micros)
            .max(1)
    }

    /// Handles the arrival of a job.
    pub fn arrive(&mut self, now: Micros, job: Job, dedup: &mut DedupStore) -> Arrival {
        if !self.is_up() {
            return Arrival::Nobody;
        }
        self.jobs_received += 1;
        self.count_cold_load(now, &job);
        if self.collapsed {
            return Arrival::Nobody;
        }
        if self.draining {
            return Arrival::Ended(JobOutcome::TurnedAway);
        }
        let fault = self.fault_outcome(&job);
        if let Some((outcome, false)) =
            fault.filter(|f| f.0 == JobOutcome::Failed || f.0 == JobOutcome::Reset)
        {
            return Arrival::Ended(outcome);
        }
        let full = self.running.len() >= self.spec.cores as usize;
        if full && self.queue.len() >= self.spec.queue_capacity as usize {
            return Arrival::Ended(JobOutcome::TurnedAway);
        }
        let group = self.group(job.effect);
        let is_repeat = group
            .is_some_and(|(g, window)| dedup.record_arrival(now, g, job.op, window, self.index));
        let outcome = fault.map_or(JobOutcome::Served, |f| f.0);
        if full {
            self.queue.push_back((job, is_repeat, outcome));
            self.update_congestion(now);
        } else {
            self.begin_work(now, job, is_repeat, outcome);
        }
        Arrival::Taken
    }

    fn begin_work(&mut self, now: Micros, job: Job, is_repeat: bool, outcome: JobOutcome) {
        let work = if is_repeat {
            job.work / REPEAT_WORK_DIVISOR
        } else {
            job.work
        };
        let time = self.processing_time(now, work);
        self.work_done += time;
        let ends_at = now.max(self.stalled_until) + time;
        self.running.push(Running {
            ends_at,
            job,
            is_repeat,
            outcome,
            is_connection_cost: false,
        });
    }

    /// How an active fault ends this job, if one does, and whether the job is executed first.
    fn fault_outcome(&self, job: &Job) -> Option<(JobOutcome, bool)> {
        for (number, fault) in self.job_faults.iter().enumerate() {
            let key = (0xfa17 + number as u64, job.op.0, job.attempt_id);
            let (share, executed_share, outcome) = match *fault {
                FaultKind::Errors {
                    share,
                    executed_share,
                    ..
                } => (share, executed_share, JobOutcome::Failed),
                FaultKind::ConnectionResets {
                    share,
                    executed_share,
                    ..
                } => (share, executed_share, JobOutcome::Reset),
                FaultKind::CorruptResponses { share, .. } => (share, 1.0, JobOutcome::Spoilt),
                _ => continue,
            };
            let draw = self.random.uniform(key);
            if draw < share {
                return Some((outcome, draw < share * executed_share));
            }
        }
        None
    }

    /// Adds a job to the load of a cold host, which collapses if the load is too far above its capacity.
    fn count_cold_load(&mut self, now: Micros, job: &Job) {
        let Some(cold) = self
            .spec
            .cold_start
            .filter(|c| self.cold && now < self.started_at + c.warm_up)
        else {
            return;
        };
        let work = job.expected_work as f64 / self.spec.speed;
        self.recent_work
            .push_back((now, work, job.sender_knows_start));
        self.recent_work_sum += work;
        while let Some(&(at, work, _)) = self
            .recent_work
            .front()
            .filter(|r| r.0 + cold.collapse_window < now)
        {
            debug_assert!(at <= now);
            self.recent_work_sum -= work;
            self.recent_work.pop_front();
        }
        let capacity =
            self.capacity_share(now) * f64::from(self.spec.cores) * cold.collapse_window as f64;
        if self.recent_work_sum > cold.collapse_multiple * capacity {
            self.collapsed = true;
            let informed: f64 = self.recent_work.iter().filter(|r| r.2).map(|r| r.1).sum();
            self.collapsed_by_informed_senders = informed * 3.0 >= self.recent_work_sum * 2.0;
        }
    }

    /// Tracks how long the queue has been too long and how long the host has been mostly idle, and begins or ends the
    /// congestion collapse.
    fn update_congestion(&mut self, now: Micros) {
        let Some(collapse) = self.spec.congestion_collapse else {
            return;
        };
        let cores = f64::from(self.spec.cores);
        if self.queue.len() as f64 > collapse.queued_per_core * cores {
            let since = *self.long_queue_since.get_or_insert(now);
            self.congested |= now >= since + collapse.onset;
        } else {
            self.long_queue_since = None;
        }
        if self.congested && self.queue.is_empty() && self.running.len() as f64 <= cores / 2.0 {
            let since = *self.idle_since.get_or_insert(now);
            if now >= since + collapse.recovery_idle {
                (self.congested, self.idle_since) = (false, None);
            }
        } else {
            self.idle_since = None;
        }
    }

    /// Time at which the next running job ends; None: no job is running.
    pub fn next_completion(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.ends_at).min()
    }

    /// Advances the time to `now` and appends the jobs that have ended by then to `done`, in order of time.
    pub fn advance(&mut self, now: Micros, dedup: &mut DedupStore, done: &mut Vec<Completion>) {
        loop {
            // Of jobs that end at the same time, the one that began first comes first.
            let next = self
                .running
                .iter()
                .enumerate()
                .min_by_key(|(index, r)| (r.ends_at, *index));
            let Some((index, ends_at)) = next
                .map(|(index, r)| (index, r.ends_at))
                .filter(|n| n.1 <= now)
            else {
                break;
            };
            let ended = self.running.remove(index);
            if !ended.is_connection_cost {
                if let Some((group, _)) = self.group(ended.job.effect) {
                    dedup.mark_executed(group, ended.job.op);
                }
            }
            if self.running.len() < self.spec.cores as usize {
                if let Some((job, is_repeat, outcome)) = self.queue.pop_front() {
                    self.begin_work(ends_at, job, is_repeat, outcome);
                }
            }
            self.update_congestion(ends_at);
            if !ended.is_connection_cost {
                let took_effect = !ended.is_repeat && ended.job.effect != Effect::Safe;
                done.push(Completion {
                    at: ends_at,
                    job: ended.job,
                    outcome: ended.outcome,
                    took_effect,
                    load: self.load(),
                });
            }
        }
    }

    /// Drops a job whose sender has disconnected if it is still queued; a running job goes on. True if it was dropped.
    pub fn abandon(&mut self, token: u64, dedup: &mut DedupStore) -> bool {
        let Some(index) = self.queue.iter().position(|q| q.0.token == token) else {
            return false;
        };
        if let Some((job, false, _)) = self.queue.remove(index) {
            if let Some((group, _)) = self.group(job.effect) {
                dedup.keys.remove(&(group, job.op));
            }
        }
        true
    }
}
