//! Random configurations of simulations.

use super::config::{Fault, FaultKind, SimConfig};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Separates the random stream of a configuration from that of its simulation, which has the same seed.
const STREAM: u64 = 0x5eed;

/// Maximum share of messages that are lost, duplicated or delayed.
const MAX_SHARE: f64 = 0.33;

/// Draws a configuration of a fleet with random faults, for property tests and searches for violations.
pub fn random_config(proxies: usize, seed: u64) -> SimConfig {
    let mut random = Pcg32::seed_from_u64(seed ^ STREAM);
    let mut config = SimConfig {
        proxies,
        duration: 40_000_000,
        seeds: random.gen_range(1..=4),
        loss: random_share(&mut random, 0.5),
        duplication: random_share(&mut random, 0.3),
        delayed: random_share(&mut random, 0.3),
        ..SimConfig::default()
    };
    config.changes = (0..random.gen_range(0..4))
        .map(|_| random.gen_range(2_000_000..14_000_000))
        .collect();
    config.changes.sort_unstable();
    config.service_time = *[8_000, 80_000].choose(&mut random).unwrap_or(&8_000);
    for _ in 0..random.gen_range(0..4) {
        let fault = random_fault(&mut random, &config);
        config.faults.push(fault);
    }
    keep_first_crash(&mut config.faults);
    config
}

/// Draws a share of up to [`MAX_SHARE`] with this probability, otherwise 0.
fn random_share(random: &mut Pcg32, probability: f64) -> f64 {
    if random.gen_bool(probability) {
        random.gen_range(0.0..MAX_SHARE)
    } else {
        0.0
    }
}

fn random_fault(random: &mut Pcg32, config: &SimConfig) -> Fault {
    let from = random.gen_range(0..10_000_000);
    let until = from + random.gen_range(200_000..6_000_000);
    let kind = match random.gen_range(0..6) {
        0 => FaultKind::Crash(random_proxies(random, config.proxies, 0.7)),
        1 => FaultKind::Crash((0..config.seeds).collect()),
        2 => FaultKind::ServiceUnreachable(random_proxies(random, config.proxies, 0.5)),
        3 => FaultKind::Partition(random.gen_range(1..config.proxies.max(2))),
        4 => FaultKind::ServiceDown,
        _ => FaultKind::StaleService(random.gen_range(1..3)),
    };
    Fault { kind, from, until }
}

fn random_proxies(random: &mut Pcg32, proxies: usize, share: f64) -> Vec<usize> {
    (0..proxies).filter(|_| random.gen_bool(share)).collect()
}

/// Removes all crashes but the first. If crashes of one proxy overlapped, it would be started while it runs.
fn keep_first_crash(faults: &mut Vec<Fault>) {
    let mut has_crash = false;
    faults.retain(|fault| match fault.kind {
        FaultKind::Crash(_) => !std::mem::replace(&mut has_crash, true),
        _ => true,
    });
}
