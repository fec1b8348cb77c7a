//! Hosts of the simulation model behind sockets, with cores, a queue, work, faults and cold starts. They record all
//! executions in a ledger, against which the invariants are checked.

use crate::host::answer;
use crate::message::{read, Message};
use badgerramp_sim_model::{
    self as sim_model, Arrival, ColdStart, Completion, DedupGroup, DedupStore, Effect, FaultKind,
    Host, HostSpec, Job, JobOutcome, Micros, OpId, RandomStreams,
};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A fault of a host. Times count from the start of the host.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The host answers a share of its requests with an error, half of them after their execution.
    Errors {
        /// Share of requests that fail.
        share: f64,
        /// Time at which the fault begins.
        from: Duration,
        /// Time at which the fault ends.
        until: Duration,
    },
    /// The host makes no progress for a while, periodically.
    Stalls {
        /// Time between the starts of two stalls.
        every: Duration,
        /// Length of a stall.
        pause: Duration,
    },
}

/// Description of a host.
#[derive(Clone, Debug)]
pub struct HostModel {
    /// Number of requests that are processed at a time.
    pub cores: usize,
    /// Number of requests that may wait.
    pub queue_capacity: usize,
    /// Mean work of a request; the work is uniformly distributed between half and one and a half times the mean.
    pub work: Duration,
    /// Faults of the host.
    pub faults: Vec<Fault>,
    /// Share of the full capacity after the start, and time until the host is warm; None: no cold start.
    pub cold_start: Option<(f64, Duration)>,
    /// Time for which the host's dedup group drops repeats of a key.
    pub dedup_window: Duration,
    /// Seed of the host's random streams.
    pub seed: u64,
}

impl Default for HostModel {
    fn default() -> Self {
        HostModel {
            cores: 4,
            queue_capacity: 32,
            work: Duration::from_millis(10),
            faults: Vec::new(),
            cold_start: None,
            dedup_window: Duration::from_millis(1_200),
            seed: 1,
        }
    }
}

/// The executions at all hosts together, and the idempotency keys that the hosts have seen.
#[derive(Debug)]
pub struct Ledger {
    /// Origin of the hosts' common time.
    started_at: Instant,
    dedup: Mutex<DedupStore>,
    /// Number of executions of each unsafe request, by its `X-Charge`.
    charges: Mutex<HashMap<String, u32>>,
    /// Number of executions of each key, by dedup group.
    keys: Mutex<HashMap<(u32, String), u32>>,
    /// Number of attempts received completely, by the first segment of their path.
    attempts: Mutex<HashMap<String, u64>>,
}

/// The totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// Number of charges that were executed.
    pub charges: usize,
    /// Number of charges that were executed more than once.
    pub charges_executed_twice: usize,
    /// Number of keys that were executed more than once over all groups.
    pub keys_executed_twice: usize,
    /// Number of attempts of each class.
    pub attempts: Vec<(String, u64)>,
}

impl Ledger {
    /// Whether this charge was executed.
    pub fn charge_executed(&self, charge: &str) -> bool {
        lock(&self.charges).contains_key(charge)
    }

    /// The totals so far.
    pub fn counts(&self) -> ExecutionCounts {
        let charges = lock(&self.charges);
        let mut per_key: HashMap<&str, u32> = HashMap::new();
        let keys = lock(&self.keys);
        for ((_, key), count) in keys.iter() {
            *per_key.entry(key).or_default() += count;
        }
        let mut attempts: Vec<_> = lock(&self.attempts)
            .iter()
            .map(|(c, n)| (c.clone(), *n))
            .collect();
        attempts.sort();
        ExecutionCounts {
            charges: charges.len(),
            charges_executed_twice: charges.values().filter(|&&n| n > 1).count(),
            keys_executed_twice: per_key.values().filter(|&&n| n > 1).count(),
            attempts,
        }
    }

    /// Counts an attempt by its class.
    fn count_attempt(&self, message: &Message) {
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let class = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or_default();
        *lock(&self.attempts).entry(class.to_owned()).or_default() += 1;
    }

    /// Records an execution.
    fn record_execution(&self, request: &Request, group: u32) {
        match request {
            Request::Keyed(key) => {
                *lock(&self.keys).entry((group, key.clone())).or_default() += 1;
            }
            Request::Charge(charge) => {
                *lock(&self.charges).entry(charge.clone()).or_default() += 1;
            }
            Request::Plain => {}
        }
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            started_at: Instant::now(),
            dedup: Mutex::default(),
            charges: Mutex::default(),
            keys: Mutex::default(),
            attempts: Mutex::default(),
        }
    }
}

/// The identity of a request.
#[derive(Clone, Debug)]
enum Request {
    Keyed(String),
    Charge(String),
    Plain,
}

impl Request {
    fn of(message: &Message) -> Self {
        match (
            message.header("idempotency-key"),
            message.header("x-charge"),
        ) {
            (Some(key), _) => Request::Keyed(key.to_owned()),
            (None, Some(charge)) => Request::Charge(charge.to_owned()),
            (None, None) => Request::Plain,
        }
    }

    fn op(&self) -> OpId {
        let mut hasher = DefaultHasher::new();
        match self {
            Request::Keyed(name) | Request::Charge(name) => name.hash(&mut hasher),
            Request::Plain => {}
        }
        OpId(hasher.finish())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A host and the state of its connections.
struct State {
    host: Host,
    /// Jobs that have ended but whose connections have not been answered yet, by token.
    completed: HashMap<u64, Completion>,
    next_token: u64,
    /// Whether each fault is active, by its index.
    active_faults: Vec<bool>,
    /// Number of stalls so far of each fault, by its index.
    stalls: Vec<u64>,
    draining_since: Option<Instant>,
    requests_after_drain: u64,
}

struct Shared {
    model: HostModel,
    group: u32,
    ledger: Arc<Ledger>,
    started: Instant,
    random: RandomStreams,
    state: Mutex<State>,
    job_ended: Condvar,
}

/// A host of the simulation model that listens on a loopback port.
pub struct ModelHost {
    /// Name of the host.
    pub name: String,
    /// Address at which the host listens.
    pub address: SocketAddr,
    /// Dedup group of the host.
    pub group: u32,
    /// Unix time of the host's start in milliseconds, for the endpoint list; 0 for a host without a cold start.
    pub since_ms: u64,
    shared: Arc<Shared>,
}

/// Grace period of one second after a host begins to drain, and 50 ms for the list update to reach the client proxy.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Span over which the work offered to a cold host is summed up.
const COLLAPSE_WINDOW: Micros = 2_000_000;
/// Multiple of its capacity above which a cold host collapses.
const COLLAPSE_MULTIPLE: f64 = 3.0;

impl HostModel {
    fn spec(&self, name: &str, group: u32) -> HostSpec {
        HostSpec {
            name: name.to_owned(),
            zone: String::new(),
            group,
            kind: String::new(),
            cores: self.cores as u32,
            queue_capacity: self.queue_capacity as u32,
            speed: 1.0,
            max_connections: u32::MAX,
            connection_cost: 0,
            idle_timeout: Micros::MAX,
            cold_start: self.cold_start.map(|(share, time)| ColdStart {
                initial_capacity: share,
                warm_up: time.as_micros() as Micros,
                collapse_multiple: COLLAPSE_MULTIPLE,
                collapse_window: COLLAPSE_WINDOW,
            }),
            concurrency_penalty: None,
            congestion_collapse: None,
            joins_at: 0,
        }
    }
}

impl ModelHost {
    /// Starts a host on a loopback port.
    pub fn start(name: &str, group: u32, model: HostModel, ledger: &Arc<Ledger>) -> ModelHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("local address");
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let since_ms = if model.cold_start.is_some() { unix } else { 0 };
        let random = RandomStreams::new(model.seed);
        let mut host = Host::standalone(model.spec(name, group), random);
        if model.cold_start.is_some() {
            host.start(ledger.started_at.elapsed().as_micros() as Micros);
        }
        let state = State {
            host,
            completed: HashMap::new(),
            next_token: 0,
            active_faults: vec![false; model.faults.len()],
            stalls: vec![0; model.faults.len()],
            draining_since: None,
            requests_after_drain: 0,
        };
        let shared = Arc::new(Shared {
            model,
            group,
            ledger: Arc::clone(ledger),
            started: Instant::now(),
            random,
            state: Mutex::new(state),
            job_ended: Condvar::new(),
        });
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&thread_shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        ModelHost {
            name: name.to_owned(),
            address,
            group,
            since_ms,
            shared,
        }
    }

    /// Time since the start of the host.
    pub fn age(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Makes the host turn away all requests from now on. The caller must update the endpoint list.
    pub fn drain(&self) {
        let mut state = lock(&self.shared.state);
        state.draining_since = Some(Instant::now());
        state.host.drain();
    }

    /// Number of requests that arrived after the grace period that follows [`ModelHost::drain`].
    pub fn requests_after_drain(&self) -> u64 {
        lock(&self.shared.state).requests_after_drain
    }

    /// Whether the host collapsed because it was sent more than three times its capacity for two seconds while cold.
    pub fn has_collapsed(&self) -> bool {
        lock(&self.shared.state).host.collapsed().is_some()
    }
}

impl Shared {
    fn now(&self) -> Micros {
        self.ledger.started_at.elapsed().as_micros() as Micros
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(message) = read(&mut stream) {
            self.ledger.count_attempt(&message);
            let text = self.handle(&message);
            if stream.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, message: &Message) -> String {
        let request = Request::of(message);
        let window = self.model.dedup_window.as_micros() as Micros;
        let effect = match request {
            Request::Keyed(_) => Effect::Keyed {
                group: DedupGroup::Group,
                window,
            },
            Request::Charge(_) => Effect::Unsafe,
            Request::Plain => Effect::Safe,
        };
        let mut state = lock(&self.state);
        let token = state.next_token;
        state.next_token += 1;
        let work = self
            .model
            .work
            .mul_f64(0.5 + self.random.uniform((0x0c57, token, 0)))
            .as_micros() as Micros;
        let job = Job {
            token,
            op: request.op(),
            attempt_id: token,
            effect,
            work,
            expected_work: work,
            sender_knows_start: true,
        };
        let now = self.now();
        self.update_faults(&mut state, now);
        self.advance(&mut state, now);
        if state
            .draining_since
            .is_some_and(|since| since.elapsed() > DRAIN_GRACE)
        {
            state.requests_after_drain += 1;
        }
        let arrival = state.host.arrive(now, job, &mut lock(&self.ledger.dedup));
        let (outcome, report) = match arrival {
            Arrival::Ended(outcome) => (outcome, state.host.load()),
            Arrival::Nobody => (JobOutcome::TurnedAway, state.host.load()),
            Arrival::Taken => loop {
                // Any thread that advances the host stores the completions for the connections that wait for them.
                let now = self.now();
                self.advance(&mut state, now);
                if let Some(done) = state.completed.remove(&token) {
                    if done.took_effect {
                        self.ledger.record_execution(&request, self.group);
                    }
                    break (done.outcome, done.load);
                }
                let remaining = state
                    .host
                    .next_completion()
                    .map_or(1_000, |due| due.saturating_sub(now).max(1));
                let waited = self
                    .job_ended
                    .wait_timeout(state, Duration::from_micros(remaining));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            },
        };
        drop(state);
        let load = format!(
            "X-Server-Load: TEXT inflight={}, queue={}\r\n",
            report.in_flight, report.queued
        );
        match outcome {
            JobOutcome::Served => answer("200 OK", &load, "done"),
            JobOutcome::TurnedAway => {
                answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
            }
            JobOutcome::Failed | JobOutcome::Reset | JobOutcome::Spoilt => {
                answer("500 Internal Server Error", &load, "it fails")
            }
        }
    }

    /// Advances the host to `now` and wakes the connections whose jobs have ended.
    fn advance(&self, state: &mut State, now: Micros) {
        let mut done = Vec::new();
        state
            .host
            .advance(now, &mut lock(&self.ledger.dedup), &mut done);
        if !done.is_empty() {
            state
                .completed
                .extend(done.into_iter().map(|d| (d.job.token, d)));
            self.job_ended.notify_all();
        }
    }

    /// Begins and ends the faults that are due.
    fn update_faults(&self, state: &mut State, now: Micros) {
        let age = self.started.elapsed();
        for (index, fault) in self.model.faults.iter().enumerate() {
            match *fault {
                Fault::Errors { share, from, until } => {
                    let active = (from..until).contains(&age);
                    if active != std::mem::replace(&mut state.active_faults[index], active) {
                        let kind = FaultKind::Errors {
                            host: 0,
                            share,
                            executed_share: 0.5,
                        };
                        let fault = sim_model::Fault {
                            from: now,
                            until: Micros::MAX,
                            kind,
                        };
                        if active {
                            state.host.begin_fault(now, &fault);
                        } else {
                            state.host.end_fault(&fault);
                        }
                    }
                }
                Fault::Stalls { every, pause } => {
                    let nanos = every.as_nanos().max(1);
                    let number = (age.as_nanos() / nanos) as u64;
                    let elapsed = Duration::from_nanos((age.as_nanos() % nanos) as u64);
                    if number > std::mem::replace(&mut state.stalls[index], number)
                        && elapsed < pause
                    {
                        let until = now + (pause - elapsed).as_micros() as Micros;
                        let kind = FaultKind::Stall { host: 0 };
                        state.host.begin_fault(
                            now,
                            &sim_model::Fault {
                                from: now,
                                until,
                                kind,
                            },
                        );
                    }
                }
            }
        }
    }
}
