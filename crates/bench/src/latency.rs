//! What a sidecar adds to a call: an open loop through the program and straight to the stand-in hosts, in turn.
//!
//! Calls are due at even distances. A call's time is counted from the moment at which it was due, so that one that waits
//! behind a slow call is counted with its wait. Each connection has a thread of its own with plain blocking sockets: the
//! timers of an asynchronous runtime are no finer than a millisecond.

use crate::load::{histogram, whole, REQUEST};
use crate::process::{start_hosts, Process, TemporaryFile};
use crate::Fault;
use clap::Args;
use hdrhistogram::Histogram;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A socket that hangs for so long has failed.
const PATIENCE: Duration = Duration::from_secs(10);
/// The first call of a course is due so long after its start, when all connections are up.
const LEAD: Duration = Duration::from_millis(100);
/// Seconds of load before anything counts.
const WARM_UP: f64 = 2.0;
/// Quantiles that are printed.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// What is measured.
#[derive(Args, Clone, Debug)]
pub(crate) struct Plan {
    /// Calls a second.
    #[arg(long, value_delimiter = ',', default_value = "333,666,1332")]
    rate: Vec<f64>,
    /// Seconds of each course.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Courses of each kind, taken in turn.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Connections of the client.
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=256))]
    connections: u16,
    /// Endpoints that the sidecar knows; the stand-in hosts have sixteen addresses.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=16))]
    endpoints: u16,
    /// Lines that are added before the first table of the operator's file.
    #[arg(long, default_value = "")]
    extra: String,
}

/// When calls are due: `connections` take them in turn.
#[derive(Clone, Copy)]
struct Schedule {
    start: Instant,
    rate: f64,
    calls: u64,
    connections: u64,
}

impl Schedule {
    fn due(&self, call: u64) -> Instant {
        self.start + Duration::from_secs_f64(call as f64 / self.rate)
    }
}

/// Times of calls, in microseconds.
struct Times {
    /// From the moment at which a call was due to its answer.
    answered: Histogram<u64>,
    /// ... to the moment at which it was sent: what the generator itself was late by.
    sent: Histogram<u64>,
    /// Answers with another status than 200.
    odd: u64,
}

impl Times {
    fn new() -> Self {
        Times {
            answered: histogram(),
            sent: histogram(),
            odd: 0,
        }
    }

    fn add(&mut self, other: &Times) -> Result<(), Fault> {
        self.answered.add(&other.answered)?;
        self.sent.add(&other.sent)?;
        self.odd += other.odd;
        Ok(())
    }

    fn at(&self, quantile: f64) -> f64 {
        self.answered.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn micros_since(then: Instant) -> u64 {
    u64::try_from(then.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Makes the calls of one connection.
fn client(to: SocketAddr, schedule: Schedule, own: u64) -> io::Result<Times> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let (mut times, mut buffer) = (Times::new(), vec![0; 4096]);
    for call in (own..schedule.calls).step_by(schedule.connections as usize) {
        let due = schedule.due(call);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        times.sent.saturating_record(micros_since(due));
        stream.write_all(REQUEST)?;
        let mut filled = 0;
        while !whole(&buffer[..filled]) {
            match stream.read(&mut buffer[filled..])? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => filled += count,
            }
        }
        times.answered.saturating_record(micros_since(due));
        times.odd += u64::from(!buffer.starts_with(b"HTTP/1.1 200"));
    }
    Ok(times)
}

/// One course of calls to these addresses, to which connections go in turn.
fn course(to: &[SocketAddr], rate: f64, seconds: f64, connections: u16) -> Result<Times, Fault> {
    assert!(
        to.iter().all(|a| a.ip().is_loopback()),
        "load goes to loopback only"
    );
    let schedule = Schedule {
        start: Instant::now() + LEAD,
        rate,
        calls: (rate * seconds) as u64,
        connections: u64::from(connections),
    };
    let clients: Vec<_> = (0..schedule.connections)
        .map(|own| {
            let to = to[own as usize % to.len()];
            thread::spawn(move || client(to, schedule, own))
        })
        .collect();
    let mut times = Times::new();
    for client in clients {
        times.add(&client.join().map_err(|_| "a client panicked")??)?;
    }
    Ok(times)
}

fn operators_file(plan: &Plan, ports: &[u16]) -> String {
    let endpoint = |n: u16| {
        let port = ports[usize::from(n) % ports.len()];
        format!("{{ name = \"h{n}\", address = \"127.0.0.1:{port}\" }}")
    };
    // Two endpoints may not share an address, and there are only so many ports.
    let endpoints: Vec<String> = (0..plan.endpoints.min(ports.len() as u16))
        .map(endpoint)
        .collect();
    format!(
        "listen = \"127.0.0.1:0\"\n{}\n[upstream]\nendpoints = [{}]\n[class.safe]\naim = \"500ms\"\n\
         deadline = \"1200ms\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
        plan.extra,
        endpoints.join(", ")
    )
}

/// The machine's load, as the system tells it: means of 1, 5 and 15 minutes, and runnable threads of all.
fn machine_load() -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    load.split_whitespace()
        .take(4)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Measures every rate and prints the table.
pub(crate) fn run(plan: &Plan) -> Result<(), Fault> {
    let (_hosts, ports) = start_hosts()?;
    let name = format!("badgerramp-latency-{}.toml", std::process::id());
    let file = TemporaryFile::write(&name, &operators_file(plan, &ports))?;
    let sidecar = Process::sidecar(&file)?;
    let hosts: Vec<SocketAddr> = ports
        .iter()
        .map(|&port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let cores = thread::available_parallelism()?;
    println!("{cores} cores, load {} before", machine_load());
    println!(
        "  rate  way        calls   p50 ms   p99 ms p99.9 ms  sent late p99 ms  not 200  CPU us/call  load"
    );
    for &rate in &plan.rate {
        measure(plan, rate, &hosts, &sidecar)?;
    }
    println!(
        "load {} after; memory of the sidecar {} KiB",
        machine_load(),
        sidecar.memory()?
    );
    Ok(())
}

/// Measures one rate and prints its rows.
fn measure(plan: &Plan, rate: f64, hosts: &[SocketAddr], sidecar: &Process) -> Result<(), Fault> {
    let through = [sidecar.address];
    for to in [hosts, &through] {
        course(to, rate, WARM_UP, plan.connections)?;
    }
    let (mut direct, mut proxied, mut cpu) = (Times::new(), Times::new(), 0.0);
    let mut by_round = Vec::new();
    for _ in 0..plan.rounds {
        let straight = course(hosts, rate, plan.seconds, plan.connections)?;
        let before = sidecar.cpu()?;
        let passed = course(&through, rate, plan.seconds, plan.connections)?;
        cpu += sidecar.cpu()? - before;
        by_round.push(format!("{:.3}", passed.at(0.99) - straight.at(0.99)));
        direct.add(&straight)?;
        proxied.add(&passed)?;
    }
    let cpu = cpu / proxied.answered.len().max(1) as f64;
    print_row(rate, "direct", &direct, "");
    print_row(rate, "sidecar", &proxied, &format!("{cpu:.0}"));
    let added = QUANTILES
        .map(|q| format!("{:>9.3}", proxied.at(q) - direct.at(q)))
        .concat();
    println!(
        "{rate:>6.0}  {:<8}{:>8}{added}  p99 by round: {}",
        "added",
        "",
        by_round.join(" ")
    );
    Ok(())
}

fn print_row(rate: f64, way: &str, times: &Times, cpu: &str) {
    let quantiles = QUANTILES.map(|q| format!("{:>9.3}", times.at(q))).concat();
    let late = times.sent.value_at_quantile(0.99) as f64 / 1e3;
    println!(
        "{rate:>6.0}  {way:<8}{:>8}{quantiles}{late:>18.3}{:>9}{cpu:>13}  {}",
        times.answered.len(),
        times.odd,
        machine_load()
    );
}
