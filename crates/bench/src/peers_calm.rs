//! What the peers of a fleet send each other while nothing happens, by size of the fleet, in virtual time.
//!
//! The start is told apart from calm: figures of calm are of a window long after it, and the time is printed from which
//! on no second differs much from that window.

use crate::Fault;
use badgerramp_control_protocol::MAC_LEN;
use badgerramp_gossip::simulation::traffic::{Count, MessageKind, Traffic};
use badgerramp_gossip::simulation::{simulate, Outcome, SimConfig};
use clap::Args;
use statrs::statistics::Statistics;

/// Bytes that a sealed datagram has before its message: version and kind, seal, sender and count.
const SEAL_BYTES: u64 = 2 + MAC_LEN as u64 + 16;
/// Bytes of the heads of IPv4 and UDP.
const HEAD_BYTES: u64 = 20 + 8;
/// Spans of so many seconds are compared with the calm window: what every proxy does every five or ten seconds falls
/// into the same seconds for all, as they started together.
const SPAN_SECONDS: usize = 10;
/// A span whose bytes exceed those of the calm window by no more than this share belongs to calm.
const CALM_SHARE: f64 = 0.1;
/// Seconds that count as the start in the table.
const START_SECONDS: usize = 10;

/// What is measured.
#[derive(Args, Clone, Debug)]
pub(crate) struct Plan {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_value = "100,200,400,780,1560")]
    proxies: Vec<usize>,
    /// Seeds of the random numbers for each size, from 1.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Second at which the window of calm begins.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    from: u64,
    /// Seconds of the window.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    window: u64,
    /// Hosts of the list.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(2..=10_000))]
    hosts: u64,
}

/// What one proxy sends in a second, in the mean.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    messages: f64,
    bytes: f64,
    sealed: f64,
}

impl Rate {
    /// Of what so many proxies sent in so many seconds.
    fn of(count: Count, proxies: usize, seconds: usize) -> Self {
        let each = |sum: u64| sum as f64 / proxies.max(1) as f64 / seconds.max(1) as f64;
        Rate {
            messages: each(count.messages),
            bytes: each(count.bytes),
            sealed: each(count.bytes + SEAL_BYTES * count.messages),
        }
    }

    /// Bytes on the wire, with the heads of IPv4 and UDP.
    fn wire(&self) -> f64 {
        self.sealed + self.messages * HEAD_BYTES as f64
    }
}

fn sum(seconds: &[Traffic]) -> Traffic {
    let mut sum = Traffic::default();
    seconds.iter().for_each(|second| sum += *second);
    sum
}

/// What one play showed.
struct Measured {
    calm: Rate,
    by_kind: Vec<(MessageKind, Rate)>,
    start: Rate,
    /// The busiest second of the start, in the mean over all proxies.
    busiest: Rate,
    /// Seconds until no later span exceeds calm.
    settled: usize,
    /// Proxies that each proxy thinks alive in the end, itself included: the least and the most.
    alive: (usize, usize),
}

fn measure(plan: &Plan, proxies: usize, seed: u64) -> Result<Measured, Fault> {
    let until = (plan.from + plan.window) * 1_000_000;
    let world = SimConfig {
        proxies,
        hosts: plan.hosts as usize,
        duration: until,
        ..SimConfig::default()
    };
    let Outcome {
        sent,
        min_alive,
        max_alive,
        ..
    } = simulate(&world, seed);
    let (from, window) = (plan.from as usize, plan.window as usize);
    let calm_seconds = sent
        .get(from..from + window)
        .ok_or("nothing was sent in the window")?;
    let calm = Rate::of(sum(calm_seconds).sum(), proxies, window);
    let rates: Vec<Rate> = sent
        .iter()
        .map(|second| Rate::of(second.sum(), proxies, 1))
        .collect();
    let spans: Vec<Rate> = sent
        .chunks_exact(SPAN_SECONDS)
        .map(|span| Rate::of(sum(span).sum(), proxies, SPAN_SECONDS))
        .collect();
    let busy = |rate: &Rate| rate.sealed > calm.sealed * (1.0 + CALM_SHARE);
    let start = &sent[..START_SECONDS.min(sent.len())];
    let of_kind =
        |&kind: &MessageKind| (kind, Rate::of(sum(calm_seconds).of(kind), proxies, window));
    Ok(Measured {
        calm,
        by_kind: MessageKind::ALL.iter().map(of_kind).collect(),
        start: Rate::of(sum(start).sum(), proxies, start.len()),
        busiest: rates
            .iter()
            .copied()
            .max_by(|a, b| a.sealed.total_cmp(&b.sealed))
            .unwrap_or_default(),
        settled: spans
            .iter()
            .rposition(busy)
            .map_or(0, |last| (last + 1) * SPAN_SECONDS),
        alive: (min_alive, max_alive),
    })
}

/// A straight line through points, by least squares.
struct Line {
    a: f64,
    b: f64,
    /// Largest distance of a point from the line, as a share of the point.
    worst: f64,
}

impl Line {
    fn through(points: &[(f64, f64)]) -> Self {
        let xs: Vec<f64> = points.iter().map(|p| p.0).collect();
        let ys: Vec<f64> = points.iter().map(|p| p.1).collect();
        let b = (&xs).covariance(&ys) / (&xs).variance();
        let a = (&ys).mean() - b * (&xs).mean();
        let distance = |&(x, y): &(f64, f64)| ((a + b * x - y) / y).abs();
        Line {
            a,
            b,
            worst: points.iter().map(distance).fold(0.0, f64::max),
        }
    }

    fn print(&self, what: &str) {
        println!(
            "{what:<28} {:.4} + {:.6} * proxies, off by at most {:.1}%",
            self.a,
            self.b,
            self.worst * 100.0
        );
    }
}

/// Measures all sizes, prints the table and a line through each of its figures.
pub(crate) fn run(plan: &Plan) -> Result<(), Fault> {
    println!(
        "calm: seconds {} to {} after the first start; start: the first {START_SECONDS} s; KB/s: 1000 bytes a second and proxy, sent, sealed",
        plan.from,
        plan.from + plan.window
    );
    println!("proxies seed  calm msg/s  bytes/msg  KB/s  wire KB/s | start msg/s  KB/s  busiest KB/s  calm after s  alive at the end | calm msg/s by kind");
    let mut points = Vec::new();
    for &proxies in &plan.proxies {
        for seed in 1..=plan.seeds {
            let measured = measure(plan, proxies, seed)?;
            print_row(proxies, seed, &measured);
            points.push((proxies as f64, measured));
        }
    }
    let line = |get: fn(&Measured) -> f64| {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, measured)| (*size, get(measured)))
            .collect();
        Line::through(&points)
    };
    if plan.proxies.len() > 1 {
        line(|m| m.calm.messages).print("calm, messages a second");
        line(|m| m.calm.sealed / 1e3).print("calm, KB a second, sealed");
        line(|m| m.start.sealed / 1e3).print("start, KB a second, sealed");
        line(|m| m.settled as f64).print("seconds until calm");
    }
    Ok(())
}

fn print_row(proxies: usize, seed: u64, measured: &Measured) {
    let Measured {
        calm,
        by_kind,
        start,
        busiest,
        settled,
        alive,
    } = measured;
    let kinds = by_kind.iter().filter(|(_, rate)| rate.messages > 0.0);
    let kinds: Vec<String> = kinds
        .map(|(kind, rate)| format!("{} {:.2}", kind.name(), rate.messages))
        .collect();
    println!(
        "{proxies:>7} {seed:>4} {:>11.2} {:>10.0} {:>5.2} {:>10.2} | {:>11.1} {:>5.1} {:>13.1} {settled:>13} {:>17} | {}",
        calm.messages,
        calm.bytes / calm.messages.max(f64::MIN_POSITIVE),
        calm.sealed / 1e3,
        calm.wire() / 1e3,
        start.messages,
        start.sealed / 1e3,
        busiest.sealed / 1e3,
        format!("{}-{}", alive.0, alive.1),
        kinds.join(", ")
    );
}
