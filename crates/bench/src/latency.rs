//! The latency that a sidecar adds to a call. An open-loop load generator calls the stand-in hosts alternately through the
//! program and directly.
//!
//! Calls are due at regular intervals, and latency counts from the time at which a call was due, so that time spent waiting
//! behind a slow call is included. Each connection has its own thread with a blocking socket, because the timers of an
//! asynchronous runtime have a resolution of only one millisecond.

use crate::load::{histogram, is_complete, REQUEST};
use crate::process::{start_hosts, Process, TemporaryFile};
use crate::BenchError;
use clap::Args;
use hdrhistogram::Histogram;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Read timeout of a socket.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay of the first call of a run, in which all connections are opened.
const START_DELAY: Duration = Duration::from_millis(100);
/// Duration of the warm-up load before the measurement, in seconds.
const WARM_UP_SECONDS: f64 = 2.0;
/// The quantiles in the table.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// Options of the benchmark.
#[derive(Args, Clone, Debug)]
pub(crate) struct Options {
    /// Calls per second.
    #[arg(long, value_delimiter = ',', default_value = "333,666,1332")]
    rate: Vec<f64>,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Number of runs of each kind, in turn.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Number of client connections.
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=256))]
    connections: u16,
    /// Number of endpoints of the sidecar; the stand-in hosts have sixteen addresses.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=16))]
    endpoints: u16,
    /// Lines to add before the first table of the operator's file.
    #[arg(long, default_value = "")]
    extra: String,
}

/// When calls are due. The connections make the calls in turn.
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

/// Latencies of calls, in microseconds.
struct Times {
    /// From the time at which a call was due until it was answered.
    answered: Histogram<u64>,
    /// From the time at which a call was due until it was sent: the delay of the load generator itself.
    sent: Histogram<u64>,
    /// Answers with a status other than 200.
    not_ok: u64,
}

impl Times {
    fn new() -> Self {
        Times {
            answered: histogram(),
            sent: histogram(),
            not_ok: 0,
        }
    }

    fn add(&mut self, other: &Times) -> Result<(), BenchError> {
        self.answered.add(&other.answered)?;
        self.sent.add(&other.sent)?;
        self.not_ok += other.not_ok;
        Ok(())
    }

    fn at(&self, quantile: f64) -> f64 {
        self.answered.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn micros_since(earlier: Instant) -> u64 {
    u64::try_from(earlier.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Makes the calls of one connection.
fn client(to: SocketAddr, schedule: Schedule, connection: u64) -> io::Result<Times> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let (mut times, mut buffer) = (Times::new(), vec![0; 4096]);
    for call in (connection..schedule.calls).step_by(schedule.connections as usize) {
        let due = schedule.due(call);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        times.sent.saturating_record(micros_since(due));
        stream.write_all(REQUEST)?;
        let mut filled = 0;
        while !is_complete(&buffer[..filled]) {
            match stream.read(&mut buffer[filled..])? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => filled += count,
            }
        }
        times.answered.saturating_record(micros_since(due));
        times.not_ok += u64::from(!buffer.starts_with(b"HTTP/1.1 200"));
    }
    Ok(times)
}

/// One run of calls. The connections are distributed over these addresses in turn.
fn run_calls(
    to: &[SocketAddr],
    rate: f64,
    seconds: f64,
    connections: u16,
) -> Result<Times, BenchError> {
    assert!(
        to.iter().all(|a| a.ip().is_loopback()),
        "load goes to loopback only"
    );
    let schedule = Schedule {
        start: Instant::now() + START_DELAY,
        rate,
        calls: (rate * seconds) as u64,
        connections: u64::from(connections),
    };
    let clients: Vec<_> = (0..schedule.connections)
        .map(|connection| {
            let to = to[connection as usize % to.len()];
            thread::spawn(move || client(to, schedule, connection))
        })
        .collect();
    let mut times = Times::new();
    for client in clients {
        times.add(&client.join().map_err(|_| "a client panicked")??)?;
    }
    Ok(times)
}

fn operators_file(options: &Options, ports: &[u16]) -> String {
    let endpoint = |n: u16| {
        let port = ports[usize::from(n) % ports.len()];
        format!("{{ name = \"h{n}\", address = \"127.0.0.1:{port}\" }}")
    };
    // Two endpoints may not share an address, so there are at most as many endpoints as ports.
    let endpoints: Vec<String> = (0..options.endpoints.min(ports.len() as u16))
        .map(endpoint)
        .collect();
    format!(
        "listen = \"127.0.0.1:0\"\n{}\n[upstream]\nendpoints = [{}]\n[class.safe]\naim = \"500ms\"\n\
         deadline = \"1200ms\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
        options.extra,
        endpoints.join(", ")
    )
}

/// The load of the machine from `/proc/loadavg`: averages over 1, 5 and 15 minutes, and runnable of all threads.
fn machine_load() -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    load.split_whitespace()
        .take(4)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Measures every rate and prints the table.
pub(crate) fn run(options: &Options) -> Result<(), BenchError> {
    let (_hosts, ports) = start_hosts()?;
    let name = format!("badgerramp-latency-{}.toml", std::process::id());
    let file = TemporaryFile::write(&name, &operators_file(options, &ports))?;
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
    for &rate in &options.rate {
        measure(options, rate, &hosts, &sidecar)?;
    }
    println!(
        "load {} after; memory of the sidecar {} KiB",
        machine_load(),
        sidecar.memory()?
    );
    Ok(())
}

/// Measures one rate and prints its rows.
fn measure(
    options: &Options,
    rate: f64,
    hosts: &[SocketAddr],
    sidecar: &Process,
) -> Result<(), BenchError> {
    let sidecar_address = [sidecar.address];
    for to in [hosts, &sidecar_address] {
        run_calls(to, rate, WARM_UP_SECONDS, options.connections)?;
    }
    let (mut direct, mut via_sidecar, mut cpu) = (Times::new(), Times::new(), 0.0);
    let mut by_round = Vec::new();
    for _ in 0..options.rounds {
        let direct_run = run_calls(hosts, rate, options.seconds, options.connections)?;
        let before = sidecar.cpu()?;
        let sidecar_run = run_calls(&sidecar_address, rate, options.seconds, options.connections)?;
        cpu += sidecar.cpu()? - before;
        by_round.push(format!("{:.3}", sidecar_run.at(0.99) - direct_run.at(0.99)));
        direct.add(&direct_run)?;
        via_sidecar.add(&sidecar_run)?;
    }
    let cpu = cpu / via_sidecar.answered.len().max(1) as f64;
    print_row(rate, "direct", &direct, "");
    print_row(rate, "sidecar", &via_sidecar, &format!("{cpu:.0}"));
    let added = QUANTILES
        .map(|q| format!("{:>9.3}", via_sidecar.at(q) - direct.at(q)))
        .concat();
    println!(
        "{rate:>6.0}  {:<8}{:>8}{added}  p99 by round: {}",
        "added",
        "",
        by_round.join(" ")
    );
    Ok(())
}

fn print_row(rate: f64, target: &str, times: &Times, cpu: &str) {
    let quantiles = QUANTILES.map(|q| format!("{:>9.3}", times.at(q))).concat();
    let send_delay = times.sent.value_at_quantile(0.99) as f64 / 1e3;
    println!(
        "{rate:>6.0}  {target:<8}{:>8}{quantiles}{send_delay:>18.3}{:>9}{cpu:>13}  {}",
        times.answered.len(),
        times.not_ok,
        machine_load()
    );
}
