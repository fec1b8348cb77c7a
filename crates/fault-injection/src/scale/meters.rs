//! What the fleet spends: processor time, memory and bytes of proxies, replicas and list service over a span.

use super::fleet::Fleet;
use super::wiring::Traffic;
use crate::link::Forwarded;
use serde::Serialize;
use std::time::Instant;

/// All counters at one moment.
pub struct Reading {
    at: Instant,
    real: Vec<(u64, u64)>,
    hollow: Vec<(u64, u64)>,
    /// A process for hollow proxies that has none.
    empty: (u64, u64),
    replicas: Vec<(u64, u64)>,
    list: (u64, u64),
    real_traffic: Traffic,
    hollow_traffic: Traffic,
    at_replicas: Vec<Forwarded>,
}

/// What a proxy spends, on the average of its kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProxyCost {
    /// Processor time, in microseconds a second.
    pub cpu_us_per_s: f64,
    /// Bytes from and to control, list service and peers, a second.
    pub bytes_per_s: f64,
    /// Those of them from and to control.
    pub control_bytes_per_s: f64,
    /// Those from and to the list service.
    pub list_bytes_per_s: f64,
    /// Those of datagrams, sent and received.
    pub peers_bytes_per_s: f64,
    /// Datagrams that come to it, a second.
    pub datagrams_per_s: f64,
    /// Pieces in which the streams from and to control and list service were read, a second.
    pub pieces_per_s: f64,
    /// Memory of a process with one proxy, in KiB: of a hollow one its share, and what a process holds without any.
    pub memory_kib: f64,
}

/// What the fleet spent over a span.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// The span, in seconds.
    pub seconds: f64,
    /// A proxy that is a process of its own.
    pub real_proxy: Option<ProxyCost>,
    /// A proxy that shares its process.
    pub hollow_proxy: Option<ProxyCost>,
    /// The average of all proxies.
    pub proxy: ProxyCost,
    /// By replica: processor time, in microseconds a second.
    pub control_cpu_us_per_s: Vec<f64>,
    /// By replica: bytes from and to proxies, publishers and other replicas, a second.
    pub control_bytes_per_s: Vec<f64>,
    /// By replica, in KiB.
    pub control_memory_kib: Vec<u64>,
    /// The list service's processor time, in microseconds a second.
    pub list_cpu_us_per_s: f64,
    /// Its bytes a second.
    pub list_bytes_per_s: f64,
}

impl Cost {
    /// The average over all replicas but the leader of what is given by replica.
    pub fn other_replica(&self, by_replica: &[f64], leader: Option<usize>) -> Option<f64> {
        let others = by_replica
            .iter()
            .enumerate()
            .filter(|(replica, _)| Some(*replica) != leader);
        let others: Vec<f64> = others.map(|(_, value)| *value).collect();
        (!others.is_empty()).then(|| others.iter().sum::<f64>() / others.len() as f64)
    }
}

impl Reading {
    /// Reads all counters. A process that does not run counts nothing.
    pub async fn take(fleet: &Fleet) -> Reading {
        let mut real = Vec::new();
        for proxy in &fleet.real {
            real.push(proxy.lock().await.usage().unwrap_or_default());
        }
        let mut hollow = Vec::new();
        for process in &fleet.hollow {
            hollow.push(process.lock().await.usage().unwrap_or_default());
        }
        let mut replicas = Vec::new();
        for replica in &fleet.replicas {
            replicas.push(replica.lock().await.usage().unwrap_or_default());
        }
        Reading {
            at: Instant::now(),
            real,
            hollow,
            empty: fleet.empty.usage().unwrap_or_default(),
            replicas,
            list: fleet.list.usage().unwrap_or_default(),
            real_traffic: fleet.wiring.traffic(true),
            hollow_traffic: fleet.wiring.traffic(false),
            at_replicas: fleet.wiring.at_replicas(),
        }
    }

    /// What was spent from `earlier` until this.
    pub fn since(&self, earlier: &Reading, (real, hollow): (usize, usize)) -> Cost {
        let seconds = self.at.duration_since(earlier.at).as_secs_f64();
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
        let time = |now: &[(u64, u64)], then: &[(u64, u64)]| {
            let sum = |all: &[(u64, u64)]| all.iter().map(|usage| usage.0).sum();
            rate(sum(now), sum(then))
        };
        let memory = |all: &[(u64, u64)]| all.iter().map(|usage| usage.1).sum::<u64>() as f64;
        let real_memory = memory(&self.real);
        // What a process holds without proxies counts once for each proxy, and not once for each process.
        let more = hollow as f64 - self.hollow.len() as f64;
        let hollow_memory = memory(&self.hollow) + self.empty.1 as f64 * more;
        let cost = |count: usize, cpu: f64, memory: f64, now: &Traffic, then: &Traffic| {
            (count > 0).then(|| each(count, (cpu, memory), &traffic_rates(now, then, seconds)))
        };
        let real_cpu = time(&self.real, &earlier.real);
        let real_proxy = cost(
            real,
            real_cpu,
            real_memory,
            &self.real_traffic,
            &earlier.real_traffic,
        );
        let hollow_cpu = time(&self.hollow, &earlier.hollow);
        let hollow_proxy = cost(
            hollow,
            hollow_cpu,
            hollow_memory,
            &self.hollow_traffic,
            &earlier.hollow_traffic,
        );
        let by_replica = self.replicas.iter().zip(&earlier.replicas);
        let bytes = self.at_replicas.iter().zip(&earlier.at_replicas);
        let list =
            |reading: &Reading| reading.real_traffic.list.bytes + reading.hollow_traffic.list.bytes;
        Cost {
            seconds,
            proxy: average((real, real_proxy), (hollow, hollow_proxy)),
            real_proxy,
            hollow_proxy,
            control_cpu_us_per_s: by_replica.map(|(now, then)| rate(now.0, then.0)).collect(),
            control_bytes_per_s: bytes
                .map(|(now, then)| rate(now.bytes, then.bytes))
                .collect(),
            control_memory_kib: self.replicas.iter().map(|usage| usage.1).collect(),
            list_cpu_us_per_s: rate(self.list.0, earlier.list.0),
            list_bytes_per_s: rate(list(self), list(earlier)),
        }
    }
}

/// Sums of a kind of proxies, a second.
struct TrafficRates {
    control: f64,
    list: f64,
    /// Of what came; as much was sent by others.
    peers: f64,
    datagrams: f64,
    pieces: f64,
}

fn traffic_rates(now: &Traffic, then: &Traffic, seconds: f64) -> TrafficRates {
    let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
    TrafficRates {
        control: rate(now.control.bytes, then.control.bytes),
        list: rate(now.list.bytes, then.list.bytes),
        peers: rate(now.peers.bytes, then.peers.bytes),
        datagrams: rate(now.peers.chunks, then.peers.chunks),
        pieces: rate(
            now.control.chunks + now.list.chunks,
            then.control.chunks + then.list.chunks,
        ),
    }
}

fn each(count: usize, (cpu, memory): (f64, f64), rates: &TrafficRates) -> ProxyCost {
    let count = count as f64;
    // A datagram is counted at the proxy that it comes to; it costs its sender as many bytes.
    let peers = 2.0 * rates.peers / count;
    let (control, list) = (rates.control / count, rates.list / count);
    ProxyCost {
        cpu_us_per_s: cpu / count,
        bytes_per_s: control + list + peers,
        control_bytes_per_s: control,
        list_bytes_per_s: list,
        peers_bytes_per_s: peers,
        datagrams_per_s: rates.datagrams / count,
        pieces_per_s: rates.pieces / count,
        memory_kib: memory / count,
    }
}

fn average(real: (usize, Option<ProxyCost>), hollow: (usize, Option<ProxyCost>)) -> ProxyCost {
    let all = (real.0 + hollow.0) as f64;
    let of = |value: fn(&ProxyCost) -> f64| {
        let sum = |(count, cost): (usize, Option<ProxyCost>)| {
            cost.map_or(0.0, |c| value(&c) * count as f64)
        };
        (sum(real) + sum(hollow)) / all
    };
    ProxyCost {
        cpu_us_per_s: of(|c| c.cpu_us_per_s),
        bytes_per_s: of(|c| c.bytes_per_s),
        control_bytes_per_s: of(|c| c.control_bytes_per_s),
        list_bytes_per_s: of(|c| c.list_bytes_per_s),
        peers_bytes_per_s: of(|c| c.peers_bytes_per_s),
        datagrams_per_s: of(|c| c.datagrams_per_s),
        pieces_per_s: of(|c| c.pieces_per_s),
        memory_kib: of(|c| c.memory_kib),
    }
}
