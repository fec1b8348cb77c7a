//! Gossip traffic of an idle fleet, by fleet size, in virtual time.
//!
//! The start is measured separately from the idle state. The idle state is measured in a window long after the start, and
//! the table shows the time after which no span exceeds the traffic of that window by much.

use crate::BenchError;
use badgerramp_control_protocol::MAC_LEN;
use badgerramp_gossip::simulation::traffic::{Count, MessageKind, Traffic};
use badgerramp_gossip::simulation::{simulate, Outcome, SimConfig};
use clap::Args;
use statrs::statistics::Statistics;

/// Bytes of a sealed datagram before its message: version and kind, MAC, sender and counter.
const SEAL_BYTES: u64 = 2 + MAC_LEN as u64 + 16;
/// Bytes of the IPv4 and UDP headers.
const HEADER_BYTES: u64 = 20 + 8;
/// Length of the spans that are compared with the idle window, in seconds. Shorter spans would vary: all proxies started
/// together, so what each does every five or ten seconds falls into the same second.
const SPAN_SECONDS: usize = 10;
/// A span is idle if its bytes exceed those of the idle window by no more than this share.
const IDLE_TOLERANCE: f64 = 0.1;
/// Length of the start in the table, in seconds.
const START_SECONDS: usize = 10;

/// Options of the benchmark.
#[derive(Args, Clone, Debug)]
pub(crate) struct Options {
    /// Numbers of proxies.
    #[arg(long, value_delimiter = ',', default_value = "100,200,400,780,1560")]
    proxies: Vec<usize>,
    /// Number of seeds for each fleet size; the seeds count from 1.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Second at which the idle window begins.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    from: u64,
    /// Length of the idle window, in seconds.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    window: u64,
    /// Number of hosts in the endpoint list.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(2..=10_000))]
    hosts: u64,
}

/// Mean traffic sent by a proxy, per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    messages: f64,
    bytes: f64,
    sealed: f64,
}

impl Rate {
    /// The rate of a total that this many proxies sent in this many seconds.
    fn from_count(count: Count, proxies: usize, seconds: usize) -> Self {
        let per_proxy = |sum: u64| sum as f64 / proxies.max(1) as f64 / seconds.max(1) as f64;
        Rate {
            messages: per_proxy(count.messages),
            bytes: per_proxy(count.bytes),
            sealed: per_proxy(count.bytes + SEAL_BYTES * count.messages),
        }
    }

    /// Bytes on the wire, with the IPv4 and UDP headers.
    fn wire(&self) -> f64 {
        self.sealed + self.messages * HEADER_BYTES as f64
    }
}

fn sum(seconds: &[Traffic]) -> Traffic {
    let mut sum = Traffic::default();
    seconds.iter().for_each(|second| sum += *second);
    sum
}

/// The results of one simulation.
struct Measured {
    idle: Rate,
    by_kind: Vec<(MessageKind, Rate)>,
    start: Rate,
    /// The second with the most traffic, as the mean over all proxies.
    busiest: Rate,
    /// Seconds until no later span exceeds the idle window.
    idle_after: usize,
    /// The smallest and the largest number of proxies that a proxy considers alive at the end, itself included.
    alive: (usize, usize),
}

fn measure(options: &Options, proxies: usize, seed: u64) -> Result<Measured, BenchError> {
    let until = (options.from + options.window) * 1_000_000;
    let config = SimConfig {
        proxies,
        hosts: options.hosts as usize,
        duration: until,
        ..SimConfig::default()
    };
    let Outcome {
        sent,
        min_alive,
        max_alive,
        ..
    } = simulate(&config, seed);
    let (from, window) = (options.from as usize, options.window as usize);
    let idle_seconds = sent
        .get(from..from + window)
        .ok_or("nothing was sent in the window")?;
    let idle = Rate::from_count(sum(idle_seconds).sum(), proxies, window);
    let rates: Vec<Rate> = sent
        .iter()
        .map(|second| Rate::from_count(second.sum(), proxies, 1))
        .collect();
    let spans: Vec<Rate> = sent
        .chunks_exact(SPAN_SECONDS)
        .map(|span| Rate::from_count(sum(span).sum(), proxies, SPAN_SECONDS))
        .collect();
    let exceeds_idle = |rate: &Rate| rate.sealed > idle.sealed * (1.0 + IDLE_TOLERANCE);
    let start = &sent[..START_SECONDS.min(sent.len())];
    let of_kind = |&kind: &MessageKind| {
        (
            kind,
            Rate::from_count(sum(idle_seconds).of(kind), proxies, window),
        )
    };
    Ok(Measured {
        idle,
        by_kind: MessageKind::ALL.iter().map(of_kind).collect(),
        start: Rate::from_count(sum(start).sum(), proxies, start.len()),
        busiest: rates
            .iter()
            .copied()
            .max_by(|left, right| left.sealed.total_cmp(&right.sealed))
            .unwrap_or_default(),
        idle_after: spans
            .iter()
            .rposition(exceeds_idle)
            .map_or(0, |last| (last + 1) * SPAN_SECONDS),
        alive: (min_alive, max_alive),
    })
}

/// A linear least-squares fit.
struct LinearFit {
    intercept: f64,
    slope: f64,
    /// Largest relative distance of a point from the line.
    max_relative_error: f64,
}

impl LinearFit {
    fn fit(points: &[(f64, f64)]) -> Self {
        let xs: Vec<f64> = points.iter().map(|p| p.0).collect();
        let ys: Vec<f64> = points.iter().map(|p| p.1).collect();
        let slope = (&xs).covariance(&ys) / (&xs).variance();
        let intercept = (&ys).mean() - slope * (&xs).mean();
        let distance = |&(x, y): &(f64, f64)| ((intercept + slope * x - y) / y).abs();
        LinearFit {
            intercept,
            slope,
            max_relative_error: points.iter().map(distance).fold(0.0, f64::max),
        }
    }

    fn print(&self, what: &str) {
        println!(
            "{what:<28} {:.4} + {:.6} * proxies, off by at most {:.1}%",
            self.intercept,
            self.slope,
            self.max_relative_error * 100.0
        );
    }
}

/// Measures all fleet sizes, and prints the table and linear fits of its main columns.
pub(crate) fn run(options: &Options) -> Result<(), BenchError> {
    println!(
        "calm: seconds {} to {} after the first start; start: the first {START_SECONDS} s; KB/s: 1000 bytes a second and proxy, sent, sealed",
        options.from,
        options.from + options.window
    );
    println!("proxies seed  calm msg/s  bytes/msg  KB/s  wire KB/s | start msg/s  KB/s  busiest KB/s  calm after s  alive at the end | calm msg/s by kind");
    let mut points = Vec::new();
    for &proxies in &options.proxies {
        for seed in 1..=options.seeds {
            let measured = measure(options, proxies, seed)?;
            print_row(proxies, seed, &measured);
            points.push((proxies as f64, measured));
        }
    }
    let linear_fit = |get: fn(&Measured) -> f64| {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, measured)| (*size, get(measured)))
            .collect();
        LinearFit::fit(&points)
    };
    if options.proxies.len() > 1 {
        linear_fit(|m| m.idle.messages).print("calm, messages a second");
        linear_fit(|m| m.idle.sealed / 1e3).print("calm, KB a second, sealed");
        linear_fit(|m| m.start.sealed / 1e3).print("start, KB a second, sealed");
        linear_fit(|m| m.idle_after as f64).print("seconds until calm");
    }
    Ok(())
}

fn print_row(proxies: usize, seed: u64, measured: &Measured) {
    let Measured {
        idle,
        by_kind,
        start,
        busiest,
        idle_after,
        alive,
    } = measured;
    let kinds = by_kind.iter().filter(|(_, rate)| rate.messages > 0.0);
    let kinds: Vec<String> = kinds
        .map(|(kind, rate)| format!("{} {:.2}", kind.name(), rate.messages))
        .collect();
    println!(
        "{proxies:>7} {seed:>4} {:>11.2} {:>10.0} {:>5.2} {:>10.2} | {:>11.1} {:>5.1} {:>13.1} {idle_after:>13} {:>17} | {}",
        idle.messages,
        idle.bytes / idle.messages.max(f64::MIN_POSITIVE),
        idle.sealed / 1e3,
        idle.wire() / 1e3,
        start.messages,
        start.sealed / 1e3,
        busiest.sealed / 1e3,
        format!("{}-{}", alive.0, alive.1),
        kinds.join(", ")
    );
}
