//! Tests of complete fleets in virtual time.

use super::{random_config, simulate, Fault, FaultKind, SimConfig};
use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

#[test]
fn same_seed_gives_the_same_outcome() {
    let config = random_config(20, 3);
    assert_eq!(simulate(&config, 3), simulate(&config, 3));
    assert_ne!(simulate(&config, 3), simulate(&config, 4));
}

#[test]
fn hundreds_of_proxies_starting_together_get_the_list_within_a_second_with_few_polls() {
    let outcome = simulate(&SimConfig::default(), 1);
    let latencies = outcome.list_latencies();
    let longest = latencies
        .last()
        .copied()
        .flatten()
        .expect("all have a list");
    assert!(longest <= 1_000_000, "{longest}");
    let polls: u32 = outcome.polls.iter().sum();
    assert!(polls <= 30, "{polls}");
    assert_eq!(outcome.polls_timed_out, 0);
    assert!(outcome.min_alive >= 270, "{}", outcome.min_alive);
    assert!(
        outcome.max_sent_per_second as f64
            <= crate::peer::MESSAGES_PER_SECOND + crate::peer::MESSAGE_BURST
    );
}

/// No proxy has contact with any other, so each polls for itself. The service must not be overloaded.
#[test]
fn proxies_get_the_list_while_all_seeds_are_down() {
    let seeds_down = Fault {
        kind: FaultKind::Crash(vec![0, 1, 2]),
        from: 0,
        until: 19_000_000,
    };
    let config = SimConfig {
        faults: vec![seeds_down],
        start_window: 0,
        duration: 18_000_000,
        ..SimConfig::default()
    };
    let outcome = simulate(&config, 1);
    assert!(
        outcome.received_list_at[3..].iter().all(Option::is_some),
        "{:?}",
        outcome.received_list_at
    );
    assert_eq!(outcome.polls_timed_out, 0);
    assert!(
        outcome.polls.iter().all(|polls| *polls <= 250),
        "{:?}",
        outcome.polls
    );
}

/// While the service is down, the number of polls does not grow with the fleet. After it recovers, all proxies receive
/// the list soon.
#[test]
fn polls_to_a_service_that_is_down_do_not_grow_with_the_fleet() {
    for proxies in [20, 200] {
        let down = Fault {
            kind: FaultKind::ServiceDown,
            from: 0,
            until: 10_000_000,
        };
        let config = SimConfig {
            proxies,
            faults: vec![down],
            duration: 16_000_000,
            ..SimConfig::default()
        };
        let outcome = simulate(&config, 2);
        assert!(
            outcome.polls.iter().all(|polls| *polls <= 20),
            "{proxies}: {:?}",
            outcome.polls
        );
        let last = outcome
            .received_list_at
            .iter()
            .map(|at| at.unwrap_or(Micros::MAX))
            .max();
        assert!(last <= Some(13_500_000), "{proxies}: {last:?}");
        assert_eq!(outcome.polls_timed_out, 0);
    }
}

/// Pollers whose polls have failed crash, some of them before other proxies had contact with them. The other proxies
/// must not wait for them for long.
#[test]
fn crashed_pollers_are_replaced_soon() {
    let mut random = Pcg32::seed_from_u64(1);
    for seed in 0..12 {
        let crashed = (0..50).filter(|_| random.gen_bool(0.7)).collect();
        let down = Fault {
            kind: FaultKind::ServiceDown,
            from: 0,
            until: 1_364_000,
        };
        let crash = Fault {
            kind: FaultKind::Crash(crashed),
            from: 1_000_000,
            until: 1_351_000,
        };
        let config = SimConfig {
            proxies: 50,
            faults: vec![down, crash],
            ..SimConfig::default()
        };
        let outcome = simulate(&config, seed);
        let last = outcome
            .received_list_at
            .iter()
            .map(|at| at.unwrap_or(Micros::MAX))
            .max();
        assert!(
            last <= Some(7_500_000),
            "{seed}: {last:?} {:?}",
            outcome.polls
        );
    }
}

/// Under loss, duplication, delays, crashes, partitions and stale answers, all proxies have the newest list at the end,
/// a few of them poll, there is never a long time without a poll, and no poll times out at the service. The simulator
/// runs more seeds.
#[test]
fn all_proxies_end_with_the_newest_list_and_few_pollers_under_random_faults() {
    for seed in (0..24).chain([2_913]) {
        let config = random_config(30, seed);
        let outcome = simulate(&config, seed);
        assert_eq!(
            outcome.check(&config),
            Ok(()),
            "{seed}: {:?} {config:?}",
            outcome.polls
        );
    }
}
