//! Resource usage: CPU time, memory and bytes of the proxies, the replicas and the list service over a span of time.

use super::fleet::Fleet;
use super::network::Traffic;
use crate::link::Forwarded;
use serde::Serialize;
use std::time::Instant;

/// All counters at one point in time.
pub struct Reading {
    at: Instant,
    real: Vec<(u64, u64)>,
    hollow: Vec<(u64, u64)>,
    /// The process without hollow proxies.
    empty: (u64, u64),
    replicas: Vec<(u64, u64)>,
    list: (u64, u64),
    real_traffic: Traffic,
    hollow_traffic: Traffic,
    replica_traffic: Vec<Forwarded>,
}

/// Average resource usage of a proxy.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProxyUsage {
    /// CPU time, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// Bytes per second from and to the control plane, the list service and peers.
    pub bytes_per_s: f64,
    /// Bytes per second from and to the control plane.
    pub control_bytes_per_s: f64,
    /// Bytes per second from and to the list service.
    pub list_bytes_per_s: f64,
    /// Bytes per second of datagrams, sent and received.
    pub peers_bytes_per_s: f64,
    /// Received datagrams per second.
    pub datagrams_per_s: f64,
    /// Chunks per second in which the links read the streams from and to the control plane and the list service.
    pub pieces_per_s: f64,
    /// Memory of a process with one proxy, in KiB. For a hollow proxy: its share of the process, plus the memory of a process
    /// without proxies.
    pub memory_kib: f64,
}

/// Resource usage of the fleet over a span of time.
#[derive(Clone, Debug, Serialize)]
pub struct FleetUsage {
    /// Length of the span, in seconds.
    pub seconds: f64,
    /// Average of the proxies that are separate processes.
    pub real_proxy: Option<ProxyUsage>,
    /// Average of the hollow proxies.
    pub hollow_proxy: Option<ProxyUsage>,
    /// Average of all proxies.
    pub proxy: ProxyUsage,
    /// By replica: CPU time, in microseconds per second.
    pub control_cpu_us_per_s: Vec<f64>,
    /// By replica: bytes per second from and to proxies, publishers and other replicas.
    pub control_bytes_per_s: Vec<f64>,
    /// By replica: memory, in KiB.
    pub control_memory_kib: Vec<u64>,
    /// CPU time of the list service, in microseconds per second.
    pub list_cpu_us_per_s: f64,
    /// Bytes per second from and to the list service.
    pub list_bytes_per_s: f64,
}

impl FleetUsage {
    /// The average of per-replica values over all replicas except the leader.
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
    /// Reads all counters. Those of a process that is down are zero.
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
            real_traffic: fleet.network.traffic(true),
            hollow_traffic: fleet.network.traffic(false),
            replica_traffic: fleet.network.replica_traffic(),
        }
    }

    /// The resource usage between `earlier` and this reading, of a fleet with these numbers of real and hollow proxies.
    pub fn since(&self, earlier: &Reading, (real, hollow): (usize, usize)) -> FleetUsage {
        let seconds = self.at.duration_since(earlier.at).as_secs_f64();
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
        let time = |now: &[(u64, u64)], then: &[(u64, u64)]| {
            let sum = |all: &[(u64, u64)]| all.iter().map(|usage| usage.0).sum();
            rate(sum(now), sum(then))
        };
        let memory = |all: &[(u64, u64)]| all.iter().map(|usage| usage.1).sum::<u64>() as f64;
        let real_memory = memory(&self.real);
        // The memory of a process without proxies counts once for each proxy, not once for each process.
        let additional_proxies = hollow as f64 - self.hollow.len() as f64;
        let hollow_memory = memory(&self.hollow) + self.empty.1 as f64 * additional_proxies;
        let proxy_usage = |count: usize, cpu: f64, memory: f64, now: &Traffic, then: &Traffic| {
            (count > 0).then(|| per_proxy(count, (cpu, memory), &traffic_rates(now, then, seconds)))
        };
        let real_cpu = time(&self.real, &earlier.real);
        let real_proxy = proxy_usage(
            real,
            real_cpu,
            real_memory,
            &self.real_traffic,
            &earlier.real_traffic,
        );
        let hollow_cpu = time(&self.hollow, &earlier.hollow);
        let hollow_proxy = proxy_usage(
            hollow,
            hollow_cpu,
            hollow_memory,
            &self.hollow_traffic,
            &earlier.hollow_traffic,
        );
        let by_replica = self.replicas.iter().zip(&earlier.replicas);
        let bytes = self.replica_traffic.iter().zip(&earlier.replica_traffic);
        let list =
            |reading: &Reading| reading.real_traffic.list.bytes + reading.hollow_traffic.list.bytes;
        FleetUsage {
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

/// Total traffic per second of all real or all hollow proxies.
struct TrafficRates {
    control: f64,
    list: f64,
    /// Bytes of received datagrams; the senders sent as many.
    peers: f64,
    datagrams: f64,
    chunks: f64,
}

fn traffic_rates(now: &Traffic, then: &Traffic, seconds: f64) -> TrafficRates {
    let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
    TrafficRates {
        control: rate(now.control.bytes, then.control.bytes),
        list: rate(now.list.bytes, then.list.bytes),
        peers: rate(now.peers.bytes, then.peers.bytes),
        datagrams: rate(now.peers.chunks, then.peers.chunks),
        chunks: rate(
            now.control.chunks + now.list.chunks,
            then.control.chunks + then.list.chunks,
        ),
    }
}

fn per_proxy(count: usize, (cpu, memory): (f64, f64), rates: &TrafficRates) -> ProxyUsage {
    let count = count as f64;
    // A datagram is counted only at its receiver, but costs its sender as many bytes.
    let peers = 2.0 * rates.peers / count;
    let (control, list) = (rates.control / count, rates.list / count);
    ProxyUsage {
        cpu_us_per_s: cpu / count,
        bytes_per_s: control + list + peers,
        control_bytes_per_s: control,
        list_bytes_per_s: list,
        peers_bytes_per_s: peers,
        datagrams_per_s: rates.datagrams / count,
        pieces_per_s: rates.chunks / count,
        memory_kib: memory / count,
    }
}

fn average(real: (usize, Option<ProxyUsage>), hollow: (usize, Option<ProxyUsage>)) -> ProxyUsage {
    let all = (real.0 + hollow.0) as f64;
    let weighted_mean = |value: fn(&ProxyUsage) -> f64| {
        let sum = |(count, proxy_usage): (usize, Option<ProxyUsage>)| {
            proxy_usage.map_or(0.0, |c| value(&c) * count as f64)
        };
        (sum(real) + sum(hollow)) / all
    };
    ProxyUsage {
        cpu_us_per_s: weighted_mean(|c| c.cpu_us_per_s),
        bytes_per_s: weighted_mean(|c| c.bytes_per_s),
        control_bytes_per_s: weighted_mean(|c| c.control_bytes_per_s),
        list_bytes_per_s: weighted_mean(|c| c.list_bytes_per_s),
        peers_bytes_per_s: weighted_mean(|c| c.peers_bytes_per_s),
        datagrams_per_s: weighted_mean(|c| c.datagrams_per_s),
        pieces_per_s: weighted_mean(|c| c.pieces_per_s),
        memory_kib: weighted_mean(|c| c.memory_kib),
    }
}
