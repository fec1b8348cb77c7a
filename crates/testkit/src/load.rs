//! Load from paced clients, bounded in number of requests and in time, and to loopback only. Each client has a
//! connection of its own, waits for each response, and counts a response after its time-out as missing.

use crate::message::read;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A kind of request and the clients that send it.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The first segment of the request's path, by which attempts are counted.
    pub class: String,
    /// Time that a client waits for a response.
    pub timeout: Duration,
    /// Whether each request has an idempotency key of its own; if not, it has an `X-Charge`.
    pub keyed: bool,
    /// Number of clients.
    pub clients: usize,
    /// Requests per second of each client.
    pub requests_per_s: f64,
}

/// The load to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Address that the load is sent to.
    pub target: SocketAddr,
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Maximum number of requests over all kinds.
    pub max_requests: u64,
}

/// Results of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with status 429 or 503.
    pub refused: u64,
    /// Requests answered with any other status.
    pub failed: u64,
    /// Requests without a complete response within the client's time-out.
    pub unanswered: u64,
    /// Latencies of served requests, in ascending order.
    pub latencies: Vec<Duration>,
    /// Ids of refused requests.
    pub refused_ids: Vec<String>,
}

impl Totals {
    /// The latency within which this share of the served requests was answered.
    pub fn latency_quantile(&self, quantile: f64) -> Duration {
        let rank = (self.latencies.len() as f64 * quantile).ceil() as usize;
        self.latencies
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

/// The results of each kind, in the order of the plan.
pub type Result = Vec<(RequestKind, Totals)>;

/// Sends the load. `progress` is called about once per second with the elapsed time and the number of answered requests.
///
/// # Panics
/// If the target is not a loopback address.
pub fn run(plan: &LoadPlan, mut progress: impl FnMut(Duration, u64)) -> Result {
    assert!(
        plan.target.ip().is_loopback(),
        "the load target must be a loopback address"
    );
    let (started, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let (started_requests, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut results = Vec::new();
    let mut threads = Vec::new();
    for (number, kind) in plan.kinds.iter().enumerate() {
        let totals = Arc::new(Mutex::new(Totals::default()));
        results.push((kind.clone(), Arc::clone(&totals)));
        for client in 0..kind.clients {
            let sender = PacedClient {
                kind: kind.clone(),
                name: format!("{number}-{client}"),
                to: plan.target,
                totals: Arc::clone(&totals),
                started: Arc::clone(&started_requests),
                answered: Arc::clone(&answered),
                most: plan.max_requests,
            };
            let stop = Arc::clone(&stop);
            // The clients of a kind start evenly spread over one request interval.
            let offset = Duration::from_secs_f64(
                (client as f64 + 0.5) / (kind.clients as f64 * kind.requests_per_s),
            );
            threads.push(thread::spawn(move || sender.run(started + offset, &stop)));
        }
    }
    while started.elapsed() < plan.duration {
        thread::sleep(Duration::from_secs(1).min(plan.duration.saturating_sub(started.elapsed())));
        progress(started.elapsed(), answered.load(Ordering::SeqCst));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("the client thread does not panic");
    }
    let take_sorted = |totals: Arc<Mutex<Totals>>| {
        let mut totals = std::mem::take(&mut *totals.lock().expect("the mutex is not poisoned"));
        totals.latencies.sort();
        totals
    };
    results
        .into_iter()
        .map(|(kind, totals)| (kind, take_sorted(totals)))
        .collect()
}

/// A client that sends requests at a fixed rate.
struct PacedClient {
    kind: RequestKind,
    name: String,
    to: SocketAddr,
    totals: Arc<Mutex<Totals>>,
    started: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    most: u64,
}

impl PacedClient {
    fn run(&self, mut next: Instant, stop: &AtomicBool) {
        let mut stream = None;
        let mut number = 0;
        loop {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += Duration::from_secs_f64(1.0 / self.kind.requests_per_s);
            if stop.load(Ordering::SeqCst)
                || self.started.fetch_add(1, Ordering::SeqCst) >= self.most
            {
                return;
            }
            let id = format!("{}-{number}", self.name);
            number += 1;
            self.send(&mut stream, id);
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Sends one request and counts its result.
    fn send(&self, stream: &mut Option<BufReader<TcpStream>>, id: String) {
        let RequestKind {
            class,
            timeout: waits,
            keyed,
            ..
        } = &self.kind;
        let header = if *keyed {
            "Idempotency-Key"
        } else {
            "X-Charge"
        };
        let text = format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Timeout: {}m\r\n{header}: {id}\r\nContent-Length: 4\r\n\r\nbody",
            waits.as_millis()
        );
        // The peer may close an idle connection between two requests, which is not an error. The client then opens a
        // new one, once.
        let reusable = stream.take().filter(|open| still_open(open.get_ref()));
        let open = match reusable {
            Some(open) => Some(open),
            None => TcpStream::connect(self.to).ok().map(BufReader::new),
        };
        let sent_at = Instant::now();
        let answer = open.and_then(|mut open| {
            open.get_ref().set_read_timeout(Some(*waits)).ok()?;
            open.get_ref().set_nodelay(true).ok()?;
            open.get_mut().write_all(text.as_bytes()).ok()?;
            let answer = read(&mut open)?;
            let closes = answer
                .header("connection")
                .is_some_and(|v| v.eq_ignore_ascii_case("close"));
            *stream = Some(open).filter(|_| !closes);
            Some(answer)
        });
        let latency = sent_at.elapsed();
        let mut totals = self.totals.lock().expect("the mutex is not poisoned");
        totals.sent += 1;
        // The allowance of 50 ms is for delays of the client itself.
        match answer
            .filter(|_| latency <= *waits + Duration::from_millis(50))
            .map(|a| a.status())
        {
            Some(200) => {
                totals.served += 1;
                totals.latencies.push(latency);
            }
            Some(429 | 503) => {
                totals.refused += 1;
                totals.refused_ids.push(id);
            }
            Some(_) => totals.failed += 1,
            None => totals.unanswered += 1,
        }
    }
}

/// Whether the peer has neither closed the connection nor sent anything.
fn still_open(stream: &TcpStream) -> bool {
    let idle = stream.set_nonblocking(true).is_ok()
        && matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    idle && stream.set_nonblocking(false).is_ok()
}
