//! Load from clients that pace themselves: bounded in count and in time, and to loopback only. Each asks on a
//! connection of its own, waits for the answer, and holds the program to its client's time.

use crate::message::read;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The first part of its path, by which it is counted.
    pub class: String,
    /// How long its client waits.
    pub timeout: Duration,
    /// It bears a key of its own in each request; else an `X-Charge`.
    pub keyed: bool,
    pub clients: usize,
    /// Requests a second of each client.
    pub requests_per_s: f64,
}

/// What is sent, and for how long.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub target: SocketAddr,
    pub kinds: Vec<RequestKind>,
    pub duration: Duration,
    /// No more requests than that in all.
    pub max_requests: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub sent: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Without a whole answer in the client's time.
    pub unanswered: u64,
    /// Times of served answers, sorted.
    pub latencies: Vec<Duration>,
    /// Names of refused requests.
    pub refused_ids: Vec<String>,
}

impl Totals {
    /// The time within which this share was served.
    pub fn latency_quantile(&self, share: f64) -> Duration {
        let place = (self.latencies.len() as f64 * share).ceil() as usize;
        self.latencies
            .get(place.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

/// What became of all, in the order of the kinds.
pub type Result = Vec<(RequestKind, Totals)>;

/// Runs the course; `progress` is called about once a second with the time gone and the requests answered.
///
/// # Panics
/// If it is not to loopback.
pub fn run(course: &LoadPlan, mut progress: impl FnMut(Duration, u64)) -> Result {
    assert!(
        course.target.ip().is_loopback(),
        "load goes to loopback only"
    );
    let (started, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let (begun, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut results = Vec::new();
    let mut threads = Vec::new();
    for (number, kind) in course.kinds.iter().enumerate() {
        let totals = Arc::new(Mutex::new(Totals::default()));
        results.push((kind.clone(), Arc::clone(&totals)));
        for client in 0..kind.clients {
            let pacer = Pacer {
                kind: kind.clone(),
                name: format!("{number}-{client}"),
                to: course.target,
                totals: Arc::clone(&totals),
                begun: Arc::clone(&begun),
                answered: Arc::clone(&answered),
                most: course.max_requests,
            };
            let stop = Arc::clone(&stop);
            // Clients of a kind begin spread over one pause.
            let offset = Duration::from_secs_f64(
                (client as f64 + 0.5) / (kind.clients as f64 * kind.requests_per_s),
            );
            threads.push(thread::spawn(move || pacer.run(started + offset, &stop)));
        }
    }
    while started.elapsed() < course.duration {
        thread::sleep(
            Duration::from_secs(1).min(course.duration.saturating_sub(started.elapsed())),
        );
        progress(started.elapsed(), answered.load(Ordering::SeqCst));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a client that ends");
    }
    let taken = |totals: Arc<Mutex<Totals>>| {
        let mut totals = std::mem::take(&mut *totals.lock().expect("no panics here"));
        totals.latencies.sort();
        totals
    };
    results
        .into_iter()
        .map(|(kind, totals)| (kind, taken(totals)))
        .collect()
}

struct Pacer {
    kind: RequestKind,
    name: String,
    to: SocketAddr,
    totals: Arc<Mutex<Totals>>,
    begun: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    most: u64,
}

impl Pacer {
    fn run(&self, mut next: Instant, stop: &AtomicBool) {
        let mut stream = None;
        let mut number = 0;
        loop {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += Duration::from_secs_f64(1.0 / self.kind.requests_per_s);
            if stop.load(Ordering::SeqCst) || self.begun.fetch_add(1, Ordering::SeqCst) >= self.most
            {
                return;
            }
            let name = format!("{}-{number}", self.name);
            number += 1;
            self.ask(&mut stream, name);
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn ask(&self, stream: &mut Option<BufReader<TcpStream>>, name: String) {
        let RequestKind {
            class,
            timeout: waits,
            keyed,
            ..
        } = &self.kind;
        let tag = if *keyed {
            "Idempotency-Key"
        } else {
            "X-Charge"
        };
        let text = format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Timeout: {}m\r\n{tag}: {name}\r\nContent-Length: 4\r\n\r\nbody",
            waits.as_millis()
        );
        // A connection that was closed between two requests is nobody's fault: a new one, once.
        let kept = stream.take().filter(|open| still_open(open.get_ref()));
        let open = match kept {
            Some(open) => Some(open),
            None => TcpStream::connect(self.to).ok().map(BufReader::new),
        };
        let asked = Instant::now();
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
        let time = asked.elapsed();
        let mut totals = self.totals.lock().expect("no panics here");
        totals.sent += 1;
        // The last milliseconds are this client's own way.
        match answer
            .filter(|_| time <= *waits + Duration::from_millis(50))
            .map(|a| a.status())
        {
            Some(200) => {
                totals.served += 1;
                totals.latencies.push(time);
            }
            Some(429 | 503) => {
                totals.refused += 1;
                totals.refused_ids.push(name);
            }
            Some(_) => totals.failed += 1,
            None => totals.unanswered += 1,
        }
    }
}

fn still_open(stream: &TcpStream) -> bool {
    let quiet = stream.set_nonblocking(true).is_ok()
        && matches!(stream.peek(&mut [0]), Err(fault) if fault.kind() == ErrorKind::WouldBlock);
    quiet && stream.set_nonblocking(false).is_ok()
}
