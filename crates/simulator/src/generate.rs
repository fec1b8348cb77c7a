//! Random scenarios: few hosts and proxies with many faults. Each scenario depends on its number alone.

use crate::operator_file;
use badgerramp_sim_model::{
    Class, ClientsSpec, ColdStart, ConcurrencyPenalty, CongestionCollapse, Criteria, DedupGroup,
    Effect, Fault, FaultKind, Hedging, HostSpec, ListSpec, Micros, NetworkSpec, Scenario,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;

/// The random scenario with this number.
pub fn scenario(number: u64) -> Scenario {
    let mut random = Pcg64Mcg::seed_from_u64(number ^ 0x5cea_4a10);
    loop {
        let scenario = draw(&mut random, number);
        // Scenarios whose operator's file would be rejected can't occur.
        if operator_file::parse(&scenario).is_ok() {
            return scenario;
        }
    }
}

fn draw(random: &mut Pcg64Mcg, number: u64) -> Scenario {
    let duration = random.gen_range(3..=10) * SECOND;
    let proxies = if random.gen_bool(0.4) {
        1
    } else {
        random.gen_range(2..=5)
    };
    let classes = classes(random);
    let mut hosts = hosts(random, duration);
    let fault_free = random.gen_bool(0.2);
    let faults = if fault_free {
        Vec::new()
    } else {
        faults(random, duration, &hosts, classes.len(), proxies)
    };
    // A host that drains or crashes does not join late as well.
    for fault in &faults {
        if let (Some(host), FaultKind::Drain { .. } | FaultKind::Crash { .. }) =
            (fault.kind.host(), fault.kind)
        {
            hosts[host].joins_at = 0;
        }
    }
    if hosts.iter().all(|h| h.joins_at > 0) {
        hosts[0].joins_at = 0;
    }
    let clients = ClientsSpec {
        rate: 100.0,
        max_retries: random.gen_range(0..=3),
        retry_delay: random.gen_range(0..=200) * MILLISECOND,
        try_timeout_share: if random.gen_bool(0.5) {
            1.0
        } else {
            random.gen_range(0.4..1.0)
        },
        load_swing: (if random.gen_bool(0.2) { 0.5 } else { 0.0 }, duration / 2),
        busy_proxy_share: 1.0,
        disconnect_share: if random.gen_bool(0.3) {
            random.gen_range(0.0..0.2)
        } else {
            0.0
        },
        tenants: 0,
    };
    let same_zone_delay = random.gen_range(50..=500);
    let cross_zone_delay = random.gen_range(500..=5_000);
    let network = NetworkSpec {
        same_zone: (same_zone_delay, same_zone_delay * random.gen_range(1..=3)),
        cross_zone: (cross_zone_delay, cross_zone_delay * random.gen_range(1..=3)),
        retransmit_delay: 200 * MILLISECOND,
        idle_timeout: 15 * SECOND,
        connect_timeout: [50, 250, 1_000][random.gen_range(0..3)] * MILLISECOND,
    };
    let list = ListSpec {
        publish_delay: random.gen_range(0..=2_500) * MILLISECOND,
        requests_per_s: if random.gen_bool(0.2) { 5.0 } else { 1_000.0 },
        request_timeout: 3_500 * MILLISECOND,
    };
    let criteria = Criteria {
        drain_grace: SECOND,
        recovery_time: Some(4 * SECOND),
        recovered_share: 0.6,
    };
    let name = format!("drawn-{number}");
    let mut scenario = Scenario {
        name,
        duration,
        proxies,
        // Derived from the number and not drawn: another draw would change the scenario behind each number.
        gossip_seeds: 0,
        subset_size: if number % 4 == 3 {
            2 + (number / 4 % 5) as u32
        } else {
            0
        },
        classes,
        hosts,
        clients,
        requests: None,
        network,
        list,
        faults,
        criteria,
    };
    let utilisation = if random.gen_bool(0.8) {
        random.gen_range(0.05..0.8)
    } else {
        random.gen_range(0.8..1.6)
    };
    let per_request = scenario.utilisation() / scenario.clients.rate;
    scenario.clients.rate = (utilisation / per_request).min(400.0);
    // No recovery is required from overloaded hosts, or if too few hosts are left.
    if scenario.utilisation() > 0.6 || !remaining_hosts_suffice(&scenario) {
        scenario.criteria.recovery_time = None;
    }
    scenario
}

/// Whether the hosts that remain at the end have ample capacity for the load.
fn remaining_hosts_suffice(scenario: &Scenario) -> bool {
    let drained = |n: usize| {
        scenario
            .faults
            .iter()
            .any(|f| matches!(f.kind, FaultKind::Drain { host } if host == n))
    };
    let remaining = (0..scenario.hosts.len())
        .filter(|&n| !drained(n) && scenario.hosts[n].congestion_collapse.is_none())
        .count();
    remaining >= 2
        && scenario.utilisation() * scenario.hosts.len() as f64 / (remaining as f64) < 0.5
}

fn classes(random: &mut Pcg64Mcg) -> Vec<Class> {
    let count = random.gen_range(1..=3);
    (0..count).map(|n| class(random, n)).collect()
}

fn class(random: &mut Pcg64Mcg, number: usize) -> Class {
    let deadline = random.gen_range(4..=20) * 100 * MILLISECOND;
    let objective =
        (deadline as f64 * random.gen_range(0.4..1.0)) as Micros / MILLISECOND * MILLISECOND;
    let window =
        (deadline as f64 * random.gen_range(0.4..1.0)) as Micros / MILLISECOND * MILLISECOND;
    let group = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Group][random.gen_range(0..3)];
    let effect = match random.gen_range(0..4) {
        0 => Effect::Safe,
        1 | 2 => Effect::Keyed { group, window },
        _ => Effect::Unsafe,
    };
    let max_attempts = random.gen_range(1..=4u32);
    let backoff = if random.gen_bool(0.2) {
        random.gen_range(1..=30) * MILLISECOND
    } else {
        0
    };
    let keyed = matches!(effect, Effect::Keyed { .. });
    let available = if keyed {
        window.min(deadline - 2 * MILLISECOND)
    } else {
        deadline - 2 * MILLISECOND
    };
    let share = available / u64::from(max_attempts);
    let no_attempt_timeout = matches!(effect, Effect::Unsafe) && random.gen_bool(0.5);
    let attempt_timeout = (!no_attempt_timeout && backoff < share)
        .then(|| (share - backoff) / MILLISECOND * MILLISECOND);
    let hedging = match (effect, random.gen_range(0..4)) {
        (Effect::Unsafe, _) | (_, 0 | 1) => Hedging::Off,
        (_, 2) => Hedging::Auto,
        _ => Hedging::After(window / random.gen_range(4..12) / MILLISECOND * MILLISECOND),
    };
    let hedging = if max_attempts < 2 {
        Hedging::Off
    } else {
        hedging
    };
    let min_work = random.gen_range(2..=40) * MILLISECOND;
    Class {
        name: format!("class-{number}"),
        share: random.gen_range(0.2..1.0),
        latency_objective: objective.min(deadline),
        deadline,
        priority_weight: random.gen_range(1.0..10.0),
        late_weight: if random.gen_bool(0.3) { 0.5 } else { 0.0 },
        effect,
        max_attempts,
        attempt_timeout,
        backoff,
        hedging,
        work: (min_work, min_work * random.gen_range(1..=3)),
    }
}

fn hosts(random: &mut Pcg64Mcg, duration: Micros) -> Vec<HostSpec> {
    let count = random.gen_range(2..=8);
    let groups = random.gen_range(1..=3u32);
    let zones = random.gen_range(1..=3);
    let queue_capacity = if random.gen_bool(0.3) {
        random.gen_range(0..=8)
    } else {
        random.gen_range(20..=200)
    };
    let cold_start = random.gen_bool(0.7).then(|| ColdStart {
        initial_capacity: random.gen_range(0.1..0.6),
        warm_up: random.gen_range(1..=8) * SECOND,
        collapse_multiple: 3.0,
        collapse_window: 2 * SECOND,
    });
    let concurrency_penalty = random.gen_bool(0.3).then(|| ConcurrencyPenalty {
        knee: 2.0,
        slope: random.gen_range(0.01..0.2),
    });
    let congestion_collapse = random.gen_bool(0.15).then(|| CongestionCollapse {
        queued_per_core: 4.0,
        onset: 2 * SECOND,
        slowdown: random.gen_range(1.5..3.0),
        recovery_idle: 2 * SECOND,
    });
    let idle_timeout = if random.gen_bool(0.3) {
        random.gen_range(1..=20) * 100 * MILLISECOND
    } else {
        15 * SECOND
    };
    (0..count)
        .map(|n| HostSpec {
            name: format!("h{n}"),
            zone: format!("z{}", n % zones),
            group: n as u32 % groups,
            kind: "m".to_owned(),
            cores: random.gen_range(1..=4),
            queue_capacity,
            speed: random.gen_range(0.7..1.5),
            max_connections: if random.gen_bool(0.1) {
                random.gen_range(1..=6)
            } else {
                10_000
            },
            connection_cost: if random.gen_bool(0.3) {
                random.gen_range(0..=15) * MILLISECOND
            } else {
                0
            },
            idle_timeout,
            cold_start,
            concurrency_penalty,
            congestion_collapse,
            joins_at: if random.gen_bool(0.15) {
                random.gen_range(0..duration)
            } else {
                0
            },
        })
        .collect()
}

fn faults(
    random: &mut Pcg64Mcg,
    duration: Micros,
    hosts: &[HostSpec],
    classes: usize,
    proxies: u32,
) -> Vec<Fault> {
    let count = random.gen_range(1..=8);
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..count {
        let from = random.gen_range(0..duration * 7 / 10);
        let until = from + random.gen_range(50 * MILLISECOND..duration / 3);
        let host = random.gen_range(0..hosts.len());
        let share = [0.05, 0.3, 0.6, 1.0][random.gen_range(0..4)];
        let executed_share = [0.0, 0.5, 1.0][random.gen_range(0..3)];
        let kind = match random.gen_range(0..18) {
            0 => FaultKind::Errors {
                host,
                share,
                executed_share,
            },
            1 => FaultKind::Stall { host },
            2 => FaultKind::Slowdown {
                host,
                factor: random.gen_range(2.0..10.0),
            },
            3 | 4 => FaultKind::ConnectionResets {
                host,
                share,
                executed_share,
            },
            5 => FaultKind::CorruptResponses { host, share },
            6 => FaultKind::Crash { host },
            7 | 8 => FaultKind::Drain { host },
            9 => FaultKind::Partition { host },
            10 => FaultKind::HalfOpen { host },
            11 => FaultKind::PacketLoss { share: share * 0.2 },
            12 => FaultKind::NetworkDelay {
                extra: random.gen_range(1..=50) * MILLISECOND,
            },
            13 => [
                FaultKind::ListServiceSilent,
                FaultKind::ListServiceErrors,
                FaultKind::ListServiceStale { age: 3 * SECOND },
            ][random.gen_range(0..3)],
            14 => FaultKind::LoadSpike {
                factor: random.gen_range(2.0..6.0),
            },
            15 => FaultKind::ExpensiveRequests {
                class: random.gen_range(0..classes),
                share: share * 0.1,
                factor: 10.0,
            },
            16 => FaultKind::ProxyCrash {
                proxy: random.gen_range(0..proxies),
            },
            _ => FaultKind::Stall { host },
        };
        // A host drains or crashes only once, and at most one proxy crash happens in a scenario.
        let conflicts = |f: &Fault| {
            let ends_host =
                |k: &FaultKind| matches!(k, FaultKind::Crash { .. } | FaultKind::Drain { .. });
            let same_host = ends_host(&f.kind) && ends_host(&kind) && f.kind.host() == kind.host();
            let crashes_proxy = |k: &FaultKind| matches!(k, FaultKind::ProxyCrash { .. });
            same_host || crashes_proxy(&f.kind) && crashes_proxy(&kind)
        };
        if !faults.iter().any(conflicts) {
            faults.push(Fault { from, until, kind });
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario_file;

    /// A violation found in a random scenario can only be kept if the scenario survives the way through its file.
    #[test]
    fn random_scenarios_survive_a_round_trip_through_their_file() {
        for number in 0..300 {
            let generated = scenario(number);
            let text = scenario_file::write(&generated);
            let parsed =
                scenario_file::parse("drawn.toml", &text).unwrap_or_else(|m| panic!("{m}"));
            assert_eq!(parsed, generated);
        }
    }
}
