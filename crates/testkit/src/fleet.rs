//! Hosts out of a seeded model: cores, a waiting room, work, faults, cold starts. They keep a ledger of what was
//! executed, which is what the rules are held against.

use crate::host::answer;
use crate::message::{read, Message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is wrong with a host, from a moment of its life on.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It fails this share of its requests at once: half of them before the work is done, half after.
    FailsFast { share: f64, from: Duration, until: Duration },
    /// It stands still for a while, again and again.
    Stalls { every: Duration, pause: Duration },
}

/// How a host works.
#[derive(Clone, Debug)]
pub struct Model {
    /// Requests that it works on at a time, and those that may wait.
    pub cores: usize,
    pub waiting: usize,
    /// Mean work of a request; each draws between a half and one and a half of it.
    pub work: Duration,
    pub faults: Vec<Fault>,
    /// It starts at this share of its speed and is warm after this time.
    pub cold: Option<(f64, Duration)>,
    /// How long its group drops repeats of a key.
    pub window: Duration,
    pub seed: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            cores: 4,
            waiting: 32,
            work: Duration::from_millis(10),
            faults: Vec::new(),
            cold: None,
            window: Duration::from_millis(1_200),
            seed: 1,
        }
    }
}

/// What all hosts together have executed.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Executions of each unsafe request, by its `X-Charge`.
    charges: Mutex<HashMap<String, u32>>,
    /// Executions of each key, by group.
    keys: Mutex<HashMap<(u32, String), (Instant, u32)>>,
    /// Attempts that came whole, by the first part of their path.
    attempts: Mutex<HashMap<String, u64>>,
}

/// The ledger's sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Charges executed at all, and more than once.
    pub charges: usize,
    pub charged_twice: usize,
    /// Keys executed more than once over all groups.
    pub keys_twice: usize,
    /// Attempts of each class.
    pub attempts: Vec<(String, u64)>,
}

impl Ledger {
    /// Was this charge executed?
    pub fn charged(&self, charge: &str) -> bool {
        self.charges.lock().expect("no panics here").contains_key(charge)
    }

    pub fn tally(&self) -> Tally {
        let charges = self.charges.lock().expect("no panics here");
        let mut per_key: HashMap<&str, u32> = HashMap::new();
        let keys = self.keys.lock().expect("no panics here");
        for ((_, key), (_, count)) in keys.iter() {
            *per_key.entry(key).or_default() += count;
        }
        let mut attempts: Vec<_> =
            self.attempts.lock().expect("no panics here").iter().map(|(c, n)| (c.clone(), *n)).collect();
        attempts.sort();
        Tally {
            charges: charges.len(),
            charged_twice: charges.values().filter(|&&n| n > 1).count(),
            keys_twice: per_key.values().filter(|&&n| n > 1).count(),
            attempts,
        }
    }

    fn came(&self, message: &Message) {
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let class = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
        *self.attempts.lock().expect("no panics here").entry(class.to_owned()).or_default() += 1;
    }

    /// Executes a request. A repeat of a key within its group and window is dropped.
    fn execute(&self, message: &Message, group: u32, window: Duration) {
        if let Some(key) = message.header("idempotency-key") {
            let mut keys = self.keys.lock().expect("no panics here");
            let (last, count) = keys.entry((group, key.to_owned())).or_insert((Instant::now(), 0));
            if *count == 0 || last.elapsed() > window {
                (*last, *count) = (Instant::now(), *count + 1);
            }
        } else if let Some(charge) = message.header("x-charge") {
            *self.charges.lock().expect("no panics here").entry(charge.to_owned()).or_default() += 1;
        }
    }
}

#[derive(Default)]
struct Busy {
    working: usize,
    waiting: usize,
}

struct Shared {
    model: Model,
    group: u32,
    ledger: Arc<Ledger>,
    busy: Mutex<Busy>,
    free: Condvar,
    started: Instant,
    draws: Mutex<u64>,
    /// When requests came, with their work in milliseconds: what a cold host goes by.
    received: Mutex<Vec<(Instant, f64)>>,
    drains: Mutex<Option<Instant>>,
    late_for_drain: Mutex<u64>,
    fell: Mutex<bool>,
}

/// One host of the fleet.
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    /// Unix time of its start in milliseconds, for the list; 0 for one that was there before.
    pub since_ms: u64,
    shared: Arc<Shared>,
}

impl Member {
    /// Starts a host.
    pub fn start(name: &str, group: u32, model: Model, ledger: &Arc<Ledger>) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let since_ms = if model.cold.is_some() { unix } else { 0 };
        let shared = Arc::new(Shared {
            draws: Mutex::new(model.seed),
            model,
            group,
            ledger: Arc::clone(ledger),
            busy: Mutex::default(),
            free: Condvar::new(),
            started: Instant::now(),
            received: Mutex::default(),
            drains: Mutex::default(),
            late_for_drain: Mutex::default(),
            fell: Mutex::default(),
        });
        let of_thread = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&of_thread);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Member { name: name.to_owned(), address, group, since_ms, shared }
    }

    /// How long ago it started.
    pub fn age(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// It turns away what comes from now on. The list has to be told by the caller.
    pub fn drain(&self) {
        *self.shared.drains.lock().expect("no panics here") = Some(Instant::now());
    }

    /// Requests that began later than this long after it began to drain.
    pub fn late_for_drain(&self) -> u64 {
        *self.shared.late_for_drain.lock().expect("no panics here")
    }

    /// Was it sent more than three times what it could do, for two seconds, while it was cold?
    pub fn pushed_over(&self) -> bool {
        *self.shared.fell.lock().expect("no panics here")
    }
}

/// Room for the list's way to the client proxy, beside the second that the rule grants.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// The span over which a cold host is watched, and the multiple that it bears.
const FALL_TIME: Duration = Duration::from_secs(2);
const FALL_MULTIPLE: f64 = 3.0;

impl Shared {
    /// The next number of the seeded sequence (splitmix64), from 0 to 1.
    fn draw(&self) -> f64 {
        let mut state = self.draws.lock().expect("no panics here");
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = *state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn warmth(&self) -> f64 {
        match self.model.cold {
            Some((from, time)) if self.started.elapsed() < time => {
                from + (1.0 - from) * self.started.elapsed().as_secs_f64() / time.as_secs_f64()
            }
            _ => 1.0,
        }
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
        let age = self.started.elapsed();
        let away = || answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
        let mut fails = None;
        for fault in &self.model.faults {
            if let Fault::FailsFast { share, from, until } = *fault {
                if (from..until).contains(&age) {
                    fails = Some(self.draw()).filter(|draw| *draw < share).map(|draw| draw < share / 2.0);
                }
            }
        }
        if let Some(since) = *self.drains.lock().expect("no panics here") {
            if since.elapsed() > DRAIN_GRACE {
                *self.late_for_drain.lock().expect("no panics here") += 1;
            }
            return away();
        }
        if let Some(after) = fails {
            if after {
                self.ledger.execute(message, self.group, self.model.window);
            }
            return answer("500 Internal Server Error", "", "it fails");
        }
        let work = self.model.work.mul_f64(0.5 + self.draw());
        self.note(work);
        let Some(waiting) = self.enter() else { return away() };
        thread::sleep(work.div_f64(self.warmth()));
        self.stall();
        self.ledger.execute(message, self.group, self.model.window);
        let mut busy = self.busy.lock().expect("no panics here");
        busy.working -= 1;
        let report =
            format!("X-Server-Load: TEXT inflight={}, queue={}\r\n", busy.working + waiting, busy.waiting);
        drop(busy);
        self.free.notify_one();
        answer("200 OK", &report, "done")
    }

    /// Waits for a core; None if the waiting room is full.
    fn enter(&self) -> Option<usize> {
        let mut busy = self.busy.lock().expect("no panics here");
        if busy.working >= self.model.cores {
            if busy.waiting >= self.model.waiting {
                return None;
            }
            busy.waiting += 1;
            while busy.working >= self.model.cores {
                busy = self.free.wait(busy).expect("no panics here");
            }
            busy.waiting -= 1;
        }
        busy.working += 1;
        Some(busy.waiting)
    }

    fn stall(&self) {
        for fault in &self.model.faults {
            if let Fault::Stalls { every, pause } = *fault {
                let into =
                    Duration::from_nanos((self.started.elapsed().as_nanos() % every.as_nanos()) as u64);
                thread::sleep(pause.saturating_sub(into));
            }
        }
    }

    /// Counts what a cold host is sent within any two seconds against what it can do then.
    fn note(&self, work: Duration) {
        let Some((_, time)) = self.model.cold else { return };
        if self.started.elapsed() > time {
            return;
        }
        let mut received = self.received.lock().expect("no panics here");
        let now = Instant::now();
        received.push((now, work.as_secs_f64()));
        received.retain(|(at, _)| now.duration_since(*at) <= FALL_TIME);
        let sent: f64 = received.iter().map(|r| r.1).sum();
        let bears = FALL_MULTIPLE * self.warmth() * self.model.cores as f64 * FALL_TIME.as_secs_f64();
        *self.fell.lock().expect("no panics here") |= sent > bears;
    }
}
