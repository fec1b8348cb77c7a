//! Random scenarios in virtual time: watches go silent, connections hang, responses are late or reset, the service is
//! down for a while and rejects one more poll when it recovers. The tests check that every change is received before
//! the drain grace period ends, which begins when the proxy counts as notified, and that the number of polls is
//! bounded.

mod scenario;
mod simulation;

use badgerramp_endpoint_watch::Micros;
use proptest::prelude::*;
use scenario::{outages, scenario, Latency, Scenario};
use simulation::simulate;

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn change_is_received_before_drain_grace_ends_when_watches_go_silent(scenario in scenario()) {
        // After both a silence and a reset there is no time left for a second connection that hangs.
        let scenario = Scenario { resets: Vec::new(), ..scenario };
        let outcome = simulate(&scenario, 60_000_000);
        prop_assert!(outcome.max_delay <= scenario.drain_grace, "{outcome:?}");
    }

    /// Polls may be rejected, reset or time out, repeatedly, and once more after the service has recovered.
    #[test]
    fn change_is_received_before_drain_grace_ends_after_outages(scenario in scenario(), outages in outages()) {
        let scenario = Scenario { silences: Vec::new(), resets: Vec::new(), outages, ..scenario };
        let outcome = simulate(&scenario, 90_000_000);
        prop_assert!(outcome.max_delay <= scenario.drain_grace, "{outcome:?}");
        // During an outage each proxy polls about once a second, so that the service is not overloaded when it
        // recovers.
        let down: Micros = scenario.outages.iter().map(|outage| outage.until - outage.from).sum();
        let bound = 2 * 90_000_000 / 1_500_000 + 4 * down / 1_000_000 + 8 * scenario.outages.len() as u64;
        prop_assert!(outcome.polls <= bound + 2 * scenario.changes.len() as u64, "{outcome:?} of {bound}");
    }

    #[test]
    fn poll_count_stays_bounded(scenario in scenario()) {
        let outcome = simulate(&scenario, 60_000_000);
        prop_assert!(outcome.max_in_flight <= 2);
        // There is one poll for each wait of at least 1.5 s and a second one in parallel, and two for each change and
        // reset.
        let bound = 2 * 60_000_000 / 1_500_000 + 2 * (scenario.changes.len() + scenario.resets.len()) as u64 + 4;
        prop_assert!(outcome.polls <= bound, "{outcome:?}");
    }
}

/// The first property does not hold with a wait of ten seconds, which shows that the property can fail.
#[test]
fn ten_second_wait_receives_change_too_late() {
    let scenario = Scenario {
        seed: 1,
        outages: Vec::new(),
        drain_grace: 1_000_000,
        wait: Some(10_000_000),
        changes: vec![1_700_000],
        silences: vec![1_000_000],
        resets: Vec::new(),
        latencies: vec![Latency {
            connect: 0.9,
            response: 0.9,
        }],
    };
    let long_wait = simulate(&scenario, 60_000_000);
    assert!(long_wait.max_delay > scenario.drain_grace, "{long_wait:?}");
    let derived_wait = Scenario {
        wait: None,
        ..scenario.clone()
    };
    let short_wait = simulate(&derived_wait, 60_000_000);
    assert!(
        short_wait.max_delay <= scenario.drain_grace,
        "{short_wait:?}"
    );
}
