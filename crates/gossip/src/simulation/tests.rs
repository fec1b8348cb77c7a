use super::*;

#[test]
fn the_same_seed_gives_the_same_course() {
    let config = random_config(20, 3);
    assert_eq!(simulate(&config, 3), simulate(&config, 3));
    assert_ne!(simulate(&config, 3), simulate(&config, 4));
}

#[test]
fn hundreds_that_start_together_have_the_list_soon_for_a_few_questions() {
    let outcome = simulate(&SimConfig::default(), 1);
    let waits = outcome.list_latencies();
    let longest = waits.last().copied().flatten().expect("all have a list");
    assert!(longest <= 1_000_000, "{longest}");
    let polls: u32 = outcome.polls.iter().sum();
    assert!(polls <= 30, "{polls}");
    assert_eq!(outcome.polls_timed_out, 0);
    assert!(outcome.alive.0 >= 270, "{:?}", outcome.alive);
    assert!(
        outcome.max_sent_per_second as f64
            <= crate::peer::MESSAGES_PER_SECOND + crate::peer::MESSAGE_BURST
    );
}

/// Nobody meets anybody: each asks for itself, and the service bears it though nobody knows how many there are.
#[test]
fn seeds_that_are_all_down_keep_nobody_from_the_list() {
    let dead = Fault {
        kind: FaultKind::Crash(vec![0, 1, 2]),
        from: 0,
        until: 19_000_000,
    };
    let config = SimConfig {
        faults: vec![dead],
        start: 0,
        until: 18_000_000,
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
        outcome.polls.iter().all(|q| *q <= 250),
        "{:?}",
        outcome.polls
    );
}

/// While the service is down the sum of polls does not grow with the proxies; when it is back all have the list
/// soon.
#[test]
fn a_service_that_comes_last_is_not_met_by_a_crowd() {
    for proxies in [20, 200] {
        let down = Fault {
            kind: FaultKind::ServiceDown,
            from: 0,
            until: 10_000_000,
        };
        let config = SimConfig {
            proxies,
            faults: vec![down],
            until: 16_000_000,
            ..SimConfig::default()
        };
        let outcome = simulate(&config, 2);
        assert!(
            outcome.polls.iter().all(|q| *q <= 20),
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

/// Those that tried in vain are killed, some before the others had met them: nobody waits for the dead for long.
#[test]
fn the_dead_are_not_waited_for() {
    let mut random = Pcg32::seed_from_u64(1);
    for seed in 0..12 {
        let dead = (0..50).filter(|_| random.gen_bool(0.7)).collect();
        let down = Fault {
            kind: FaultKind::ServiceDown,
            from: 0,
            until: 1_364_000,
        };
        let dead = Fault {
            kind: FaultKind::Crash(dead),
            from: 1_000_000,
            until: 1_351_000,
        };
        let config = SimConfig {
            proxies: 50,
            faults: vec![down, dead],
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

/// Whatever is loss, duplication and delay_share, whoever dies, is cut off or hears an old list: in the end all hold the newest
/// list, a handful asks, somebody does at any time, and the service gives no question up. The lab plays more of them.
#[test]
fn in_the_end_all_hold_the_newest_list_and_a_handful_asks() {
    for seed in (0..24).chain([2_913]) {
        let config = random_config(30, seed);
        let outcome = simulate(&config, seed);
        assert_eq!(
            outcome.violation(&config),
            None,
            "{seed}: {:?} {config:?}",
            outcome.polls
        );
    }
}
