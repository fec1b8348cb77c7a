//! Hosts of the world's model behind sockets: cores, a waiting room, work, faults, cold starts. They keep a ledger of what
//! was executed, which is what the rules are held against.

use crate::host::answer;
use crate::message::{read, Message};
use badgerramp_sim_model::{
    self as world, Arrival, ColdStart, Completion, DedupGroup, DedupStore, Effect, FaultKind, Host,
    HostSpec, Job, JobOutcome, Micros, OpId, RandomStreams,
};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is wrong with a host, from a moment of its life on.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It fails this share of its requests at once: half of them before the work is done, half after.
    Errors {
        share: f64,
        from: Duration,
        until: Duration,
    },
    /// It stands still for a while, again and again.
    Stalls { every: Duration, pause: Duration },
}

/// How a host works.
#[derive(Clone, Debug)]
pub struct HostModel {
    /// Requests that it works on at a time, and those that may wait.
    pub cores: usize,
    pub queue_capacity: usize,
    /// Mean work of a request; each draws between a half and one and a half of it.
    pub work: Duration,
    pub faults: Vec<Fault>,
    /// It starts at this share of its speed and is warm after this time.
    pub cold_start: Option<(f64, Duration)>,
    /// How long its group drops repeats of a key.
    pub dedup_window: Duration,
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

/// What all hosts together have executed, and the keys that they remember.
#[derive(Debug)]
pub struct Ledger {
    /// Their common time begins with it.
    began: Instant,
    memory: Mutex<DedupStore>,
    /// Executions of each unsafe request, by its `X-Charge`.
    charges: Mutex<HashMap<String, u32>>,
    /// Executions of each key, by group.
    keys: Mutex<HashMap<(u32, String), u32>>,
    /// Attempts that came whole, by the first part of their path.
    attempts: Mutex<HashMap<String, u64>>,
}

/// The ledger's sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// Charges executed at all, and more than once.
    pub charges: usize,
    pub charges_executed_twice: usize,
    /// Keys executed more than once over all groups.
    pub keys_executed_twice: usize,
    /// Attempts of each class.
    pub attempts: Vec<(String, u64)>,
}

impl Ledger {
    /// Was this charge executed?
    pub fn charged(&self, charge: &str) -> bool {
        locked(&self.charges).contains_key(charge)
    }

    pub fn tally(&self) -> ExecutionCounts {
        let charges = locked(&self.charges);
        let mut per_key: HashMap<&str, u32> = HashMap::new();
        let keys = locked(&self.keys);
        for ((_, key), count) in keys.iter() {
            *per_key.entry(key).or_default() += count;
        }
        let mut attempts: Vec<_> = locked(&self.attempts)
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

    fn came(&self, message: &Message) {
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let class = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or_default();
        *locked(&self.attempts).entry(class.to_owned()).or_default() += 1;
    }

    /// Notes what came about.
    fn effected(&self, request: &Request, group: u32) {
        match request {
            Request::Keyed(key) => {
                *locked(&self.keys).entry((group, key.clone())).or_default() += 1;
            }
            Request::Charge(charge) => {
                *locked(&self.charges).entry(charge.clone()).or_default() += 1;
            }
            Request::Plain => {}
        }
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            began: Instant::now(),
            memory: Mutex::default(),
            charges: Mutex::default(),
            keys: Mutex::default(),
            attempts: Mutex::default(),
        }
    }
}

/// What a request is known by.
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

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A host and what has to do with its sockets.
struct State {
    host: Host,
    /// Jobs that have ended and whose connections have not seen it yet.
    ended: HashMap<u64, Completion>,
    tokens: u64,
    /// Faults that hold now, by their place, and stalls that have been.
    holds: Vec<bool>,
    stalls: Vec<u64>,
    drains: Option<Instant>,
    late_for_drain: u64,
}

struct Shared {
    model: HostModel,
    group: u32,
    ledger: Arc<Ledger>,
    started: Instant,
    draws: RandomStreams,
    state: Mutex<State>,
    moved: Condvar,
}

/// One host of the fleet.
pub struct ModelHost {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    /// Unix time of its start in milliseconds, for the list; 0 for one that was there before.
    pub since_ms: u64,
    shared: Arc<Shared>,
}

/// Room for the list's way to the client proxy, beside the second that the rule grants.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// The span over which a cold host is watched, and the multiple that it bears.
const FALL_TIME: Micros = 2_000_000;
const FALL_MULTIPLE: f64 = 3.0;

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
                collapse_multiple: FALL_MULTIPLE,
                collapse_window: FALL_TIME,
            }),
            concurrency_penalty: None,
            congestion_collapse: None,
            joins_at: 0,
        }
    }
}

impl ModelHost {
    /// Starts a host.
    pub fn start(name: &str, group: u32, model: HostModel, ledger: &Arc<Ledger>) -> ModelHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let since_ms = if model.cold_start.is_some() { unix } else { 0 };
        let draws = RandomStreams::new(model.seed);
        let mut host = Host::standalone(model.spec(name, group), draws);
        if model.cold_start.is_some() {
            host.start(ledger.began.elapsed().as_micros() as Micros);
        }
        let state = State {
            host,
            ended: HashMap::new(),
            tokens: 0,
            holds: vec![false; model.faults.len()],
            stalls: vec![0; model.faults.len()],
            drains: None,
            late_for_drain: 0,
        };
        let shared = Arc::new(Shared {
            model,
            group,
            ledger: Arc::clone(ledger),
            started: Instant::now(),
            draws,
            state: Mutex::new(state),
            moved: Condvar::new(),
        });
        let of_thread = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&of_thread);
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

    /// How long ago it started.
    pub fn age(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// It turns away what comes from now on. The list has to be told by the caller.
    pub fn drain(&self) {
        let mut state = locked(&self.shared.state);
        state.drains = Some(Instant::now());
        state.host.drain();
    }

    /// Requests that began later than this long after it began to drain.
    pub fn requests_after_drain(&self) -> u64 {
        locked(&self.shared.state).late_for_drain
    }

    /// Was it sent more than three times what it could do, for two seconds, while it was cold?
    pub fn has_collapsed(&self) -> bool {
        locked(&self.shared.state).host.collapsed().is_some()
    }
}

impl Shared {
    fn now(&self) -> Micros {
        self.ledger.began.elapsed().as_micros() as Micros
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(message) = read(&mut stream) {
            self.ledger.came(&message);
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
        let mut state = locked(&self.state);
        let token = state.tokens;
        state.tokens += 1;
        let work = self
            .model
            .work
            .mul_f64(0.5 + self.draws.uniform((0x0c57, token, 0)))
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
        self.troubles(&mut state, now);
        self.settle(&mut state, now);
        if state
            .drains
            .is_some_and(|since| since.elapsed() > DRAIN_GRACE)
        {
            state.late_for_drain += 1;
        }
        let arrival = state
            .host
            .arrive(now, job, &mut locked(&self.ledger.memory));
        let (verdict, report) = match arrival {
            Arrival::Ended(verdict) => (verdict, state.host.load()),
            Arrival::Nobody => (JobOutcome::TurnedAway, state.host.load()),
            Arrival::Taken => loop {
                // Whoever looks when a job has ended notes it for the connection that waits.
                let now = self.now();
                self.settle(&mut state, now);
                if let Some(done) = state.ended.remove(&token) {
                    if done.took_effect {
                        self.ledger.effected(&request, self.group);
                    }
                    break (done.outcome, done.load);
                }
                let left = state
                    .host
                    .next_completion()
                    .map_or(1_000, |due| due.saturating_sub(now).max(1));
                let waited = self.moved.wait_timeout(state, Duration::from_micros(left));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            },
        };
        drop(state);
        let load = format!(
            "X-Server-Load: TEXT inflight={}, queue={}\r\n",
            report.in_flight, report.queued
        );
        match verdict {
            JobOutcome::Served => answer("200 OK", &load, "done"),
            JobOutcome::TurnedAway => {
                answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
            }
            JobOutcome::Failed | JobOutcome::Reset | JobOutcome::Spoilt => {
                answer("500 Internal Server Error", &load, "it fails")
            }
        }
    }

    fn settle(&self, state: &mut State, now: Micros) {
        let mut done = Vec::new();
        state
            .host
            .advance(now, &mut locked(&self.ledger.memory), &mut done);
        if !done.is_empty() {
            state
                .ended
                .extend(done.into_iter().map(|d| (d.job.token, d)));
            self.moved.notify_all();
        }
    }

    /// Begins and ends the faults whose time has come.
    fn troubles(&self, state: &mut State, now: Micros) {
        let age = self.started.elapsed();
        for (place, fault) in self.model.faults.iter().enumerate() {
            match *fault {
                Fault::Errors { share, from, until } => {
                    let holds = (from..until).contains(&age);
                    if holds != std::mem::replace(&mut state.holds[place], holds) {
                        let trouble = FaultKind::Errors {
                            host: 0,
                            share,
                            executed_share: 0.5,
                        };
                        let fault = world::Fault {
                            from: now,
                            until: Micros::MAX,
                            kind: trouble,
                        };
                        if holds {
                            state.host.begin_fault(now, &fault);
                        } else {
                            state.host.end_fault(&fault);
                        }
                    }
                }
                Fault::Stalls { every, pause } => {
                    let nanos = every.as_nanos().max(1);
                    let number = (age.as_nanos() / nanos) as u64;
                    let into = Duration::from_nanos((age.as_nanos() % nanos) as u64);
                    if number > std::mem::replace(&mut state.stalls[place], number) && into < pause
                    {
                        let until = now + (pause - into).as_micros() as Micros;
                        let trouble = FaultKind::Stall { host: 0 };
                        state.host.begin_fault(
                            now,
                            &world::Fault {
                                from: now,
                                until,
                                kind: trouble,
                            },
                        );
                    }
                }
            }
        }
    }
}
