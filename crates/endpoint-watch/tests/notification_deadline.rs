//! Random scenarios in virtual time: watches go silent_since, connections hang, responses are late or reset, the service is down
//! for a while and rejects once more when it recovers. Every change is received before the drain grace period ends, which
//! begins when the proxy counts as notified; the number of polls stays bounded.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one scenario of events from its start to its end"
)]

use badgerramp_endpoint_watch::{
    Input, Micros, Output, PollId, Source, TimeoutConfig, Timeouts, Watch, CONNECT_TIMEOUT,
    SERVICE_RESPONSE_TIMEOUT,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
struct SimulatedPoll {
    asked: Micros,
    index: Option<u64>,
    wait: Micros,
    /// When the service has received it: a fresh connection may hang.
    received_at: Micros,
    /// How long its response waits its response_delay, where it holds a change or begins a watch.
    response_delay: Micros,
    /// When its connection went silent_since.
    silent_since: Option<Micros>,
    /// When it fails_at, unless a response comes before.
    fails_at: Option<Micros>,
    /// Whether it fails because the service rejects it.
    rejected: bool,
}

/// What happens to polls while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Down {
    /// They are rejected or reset immediately.
    Refusing,
    /// There is no response, and no connection is established.
    Silent,
}

/// An outage of the service.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    until: Micros,
    down: Down,
    /// Whether it rejects the first poll after it recovers, as too many arrive.
    rejects_once: bool,
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    outages: Vec<Outage>,
    drain_grace: Micros,
    wait: Option<Micros>,
    /// When endpoints start_at to drain.
    changes: Vec<Micros>,
    /// When all polls in flight go silent.
    silences: Vec<Micros>,
    /// When the oldest connection with a poll is reset.
    resets: Vec<Micros>,
    /// Shares of the longest time for a connection and for a response, used in turn.
    lags: Vec<(f64, f64)>,
}

/// Result of a scenario.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time from when the proxy counted as notified of a change until it received it, in microseconds.
    max_delay: Micros,
    polls: u64,
    max_in_flight: usize,
}

fn simulate(scenario: &Scenario, until: Micros) -> Outcome {
    let terms = TimeoutConfig {
        source: Source::Service,
        drain_grace: scenario.drain_grace,
        wait: scenario.wait,
    };
    let mut watch = Watch::new(Timeouts::derive(terms), Some(0), None, scenario.seed);
    let mut out = Vec::new();
    watch.handle(0, Input::Start, false, &mut out);
    let mut in_flight: BTreeMap<PollId, SimulatedPoll> = BTreeMap::new();
    let mut lags = scenario.lags.iter().cycle();
    let (mut outcome, mut now, mut start_at) = (Outcome::default(), 0, None);
    let mut connection_lost = false;
    let mut rejected: Vec<bool> = scenario
        .outages
        .iter()
        .map(|outage| !outage.rejects_once)
        .collect();
    // When the proxy counts as notified of each change that it has not received.
    let mut notified_at: BTreeMap<u64, Micros> = BTreeMap::new();
    loop {
        for output in std::mem::take(&mut out) {
            match output {
                Output::Send {
                    poll,
                    index,
                    wait,
                    fresh_connection,
                } => {
                    let &(connect, answer) = lags.next().expect("a cycle");
                    // After a failure there is no connection to reuse.
                    let fresh_connection = fresh_connection || std::mem::take(&mut connection_lost);
                    let part = |share: f64, most: Micros| (share * most as f64) as Micros;
                    let received_at = now
                        + if fresh_connection {
                            part(connect, CONNECT_TIMEOUT)
                        } else {
                            0
                        };
                    let response_delay = if fresh_connection {
                        part(answer, SERVICE_RESPONSE_TIMEOUT)
                    } else {
                        0
                    };
                    let mut poll_state = SimulatedPoll {
                        asked: now,
                        index,
                        wait,
                        received_at,
                        response_delay,
                        silent_since: None,
                        fails_at: None,
                        rejected: false,
                    };
                    for (outage, rejected) in scenario.outages.iter().zip(&mut rejected) {
                        if (outage.from..outage.until).contains(&now) {
                            match outage.down {
                                Down::Refusing => {
                                    (poll_state.fails_at, poll_state.rejected) =
                                        (Some(now + 1_000), true);
                                }
                                // An existing connection stays silent; a new one times out.
                                Down::Silent if fresh_connection => {
                                    poll_state.fails_at = Some(now + CONNECT_TIMEOUT)
                                }
                                Down::Silent => poll_state.silent_since = Some(now),
                            }
                        } else if now >= outage.until && !std::mem::replace(rejected, true) {
                            (poll_state.fails_at, poll_state.rejected) = (Some(now + 1_000), true);
                        }
                    }
                    in_flight.insert(poll, poll_state);
                    outcome.polls += 1;
                }
                Output::Cancel(poll) => {
                    in_flight.remove(&poll);
                }
                Output::Failed => {
                    // The caller passes a start as well, which has no effect.
                    start_at = Some(now + 1);
                    connection_lost = true;
                }
                _ => {}
            }
        }
        outcome.max_in_flight = outcome.max_in_flight.max(in_flight.len());
        // When each response arrives.
        let answer = |poll_state: &SimulatedPoll| {
            let news = scenario
                .changes
                .iter()
                .enumerate()
                .find(|(n, _)| *n as u64 >= poll_state.index.unwrap_or(0));
            let ready = news.map_or(Micros::MAX, |(_, &at)| {
                at.max(poll_state.received_at) + poll_state.response_delay
            });
            let at = ready.min(poll_state.received_at + poll_state.wait);
            let in_time = poll_state.silent_since.is_none_or(|silent| at <= silent)
                && poll_state.fails_at.is_none_or(|fails| at < fails);
            in_time.then_some(at)
        };
        let fails_at = in_flight
            .iter()
            .filter_map(|(q, poll_state)| Some((poll_state.fails_at?.max(now), *q)))
            .min();
        let next_answer = in_flight
            .iter()
            .filter_map(|(q, poll_state)| Some((answer(poll_state)?.max(now), *q)))
            .min();
        let later = |times: &[Micros]| times.iter().copied().find(|&t| t > now);
        let moments = [
            next_answer.map(|a| a.0),
            fails_at.map(|failure| failure.0),
            scenario.outages.iter().map(|o| o.from).find(|&t| t > now),
            watch.next_deadline(),
            start_at,
            later(&scenario.silences),
            later(&scenario.resets),
            later(&scenario.changes),
        ];
        let Some(next) = moments.into_iter().flatten().min().filter(|&t| t <= until) else {
            break;
        };
        now = now.max(next);
        for (n, &at) in scenario
            .changes
            .iter()
            .enumerate()
            .filter(|(_, &at)| at == now)
        {
            // With a silent poll in flight the proxy counts as notified later, whether or not the change arrives.
            // A service that goes down before the change is sent can not be polled for it.
            let down = scenario
                .outages
                .iter()
                .find(|o| o.from < at + 6_000_000 && at < o.until);
            let silent_since = in_flight
                .values()
                .filter_map(|w| Some((w.silent_since?, w.asked + w.wait)))
                .min();
            let notified = silent_since.map_or(Micros::MAX, |(silent_since, end)| {
                (silent_since + 6_000_000).max(end + 2_000_000)
            });
            // After an outage: a fixed time after the service had the change and was reachable.
            let notified = match down {
                Some(outage) => outage.until + 6_000_000,
                None if !scenario.outages.is_empty() => at + 6_000_000,
                None => notified,
            };
            if (n as u64) >= watch.index().unwrap_or(0) {
                notified_at.insert(n as u64 + 1, notified.max(at));
            }
        }
        if scenario.silences.contains(&now) {
            in_flight
                .values_mut()
                .filter(|w| w.received_at <= now)
                .for_each(|w| w.silent_since = w.silent_since.or(Some(now)));
        }
        for outage in scenario.outages.iter().filter(|o| o.from == now) {
            // Polls in flight are reset, or go silent.
            for poll_state in in_flight.values_mut() {
                match outage.down {
                    Down::Refusing => poll_state.fails_at = Some(now),
                    Down::Silent => poll_state.silent_since = poll_state.silent_since.or(Some(now)),
                }
            }
        }
        let failed = in_flight
            .iter()
            .find(|(_, poll_state)| poll_state.fails_at.is_some_and(|at| at <= now))
            .map(|(q, _)| *q);
        let input = if let Some(poll) = failed {
            let rejected = in_flight
                .remove(&poll)
                .is_some_and(|poll_state| poll_state.rejected);
            if rejected {
                Input::Rejected { poll }
            } else {
                Input::Failed { poll }
            }
        } else if scenario.resets.contains(&now) && in_flight.values().any(|w| w.received_at < now)
        {
            let (&poll, _) = in_flight
                .iter()
                .find(|(_, w)| w.received_at < now)
                .expect("just seen");
            in_flight.remove(&poll);
            Input::Failed { poll }
        } else if start_at.is_some_and(|at| at <= now) {
            start_at = None;
            Input::Start
        } else if let Some((_, poll)) = next_answer.filter(|a| a.0 <= now) {
            let poll_state = in_flight.remove(&poll).expect("it is in flight");
            let index = scenario.changes.iter().filter(|&&at| at <= now).count() as u64;
            Input::Response {
                poll,
                index: index.max(poll_state.index.unwrap_or(0)),
                complete: false,
            }
        } else {
            Input::Timer
        };
        watch.handle(now, input, false, &mut out);
        let received_index = watch.index().unwrap_or(0);
        while let Some(entry) = notified_at
            .first_entry()
            .filter(|e| *e.key() <= received_index)
        {
            outcome.max_delay = outcome.max_delay.max(now.saturating_sub(entry.remove()));
        }
    }
    // Changes that were never received.
    let unreceived = notified_at
        .values()
        .map(|&at| until.saturating_sub(at))
        .max()
        .unwrap_or(0);
    outcome.max_delay = outcome.max_delay.max(unreceived);
    outcome
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let times = |most| prop::collection::btree_set(1_000u64..40_000_000, 0..most);
    let lags = prop::collection::vec((0.0f64..1.0, 0.0f64..1.0), 1..9);
    // A second silence before recovery from the first would be another fault: they are far apart.
    (
        300_000u64..2_000_000,
        times(4),
        1_000u64..9_000_000,
        times(3),
        lags,
    )
        .prop_map(|(drain_grace, changes, silence, resets, lags)| Scenario {
            seed: silence,
            outages: Vec::new(),
            drain_grace,
            wait: None,
            changes: changes.into_iter().collect(),
            silences: vec![silence, silence + 20_000_000],
            resets: resets.into_iter().collect(),
            lags,
        })
}

/// One or two outages of up to 15 s.
fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let one = (
        1_000_000u64..9_000_000,
        100_000u64..15_000_000,
        any::<bool>(),
        any::<bool>(),
    );
    prop::collection::vec(one, 1..3).prop_map(|drawn| {
        let mut at = 0;
        let outage = |(after, long, silent, rejects_once)| {
            let from = at + after;
            at = from + long + 15_000_000;
            let down = if silent { Down::Silent } else { Down::Refusing };
            Outage {
                from,
                until: from + long,
                down,
                rejects_once,
            }
        };
        drawn.into_iter().map(outage).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn change_is_received_before_drain_grace_ends_when_watches_go_silent(scenario in scenario()) {
        // A reset beside a silence leaves no time for a second connection that hangs.
        let scenario = Scenario { resets: Vec::new(), ..scenario };
        let outcome = simulate(&scenario, 60_000_000);
        prop_assert!(outcome.max_delay <= scenario.drain_grace, "{outcome:?}");
    }

    /// For any kind of failure before: rejected, reset, timed out, repeatedly, and once more after recovery.
    #[test]
    fn change_is_received_before_drain_grace_ends_after_outages(scenario in scenario(), outages in outages()) {
        let scenario = Scenario { silences: Vec::new(), resets: Vec::new(), outages, ..scenario };
        let outcome = simulate(&scenario, 90_000_000);
        prop_assert!(outcome.max_delay <= scenario.drain_grace, "{outcome:?}");
        // During an outage each proxy polls about once a second, so that the service is not flooded when it recovers.
        let down: Micros = scenario.outages.iter().map(|o| o.until - o.from).sum();
        let bound = 2 * 90_000_000 / 1_500_000 + 4 * down / 1_000_000 + 8 * scenario.outages.len() as u64;
        prop_assert!(outcome.polls <= bound + 2 * scenario.changes.len() as u64, "{outcome:?} of {bound}");
    }

    #[test]
    fn poll_count_stays_bounded(scenario in scenario()) {
        let outcome = simulate(&scenario, 60_000_000);
        prop_assert!(outcome.max_in_flight <= 2);
        // One for each wait of at least 1.5 s, one beside each, one for each change and each reset.
        let bound = 2 * 60_000_000 / 1_500_000 + 2 * (scenario.changes.len() + scenario.resets.len()) as u64 + 4;
        prop_assert!(outcome.polls <= bound, "{outcome:?}");
    }
}

/// With the wait of ten seconds that was used before, the first property does not hold.
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
        lags: vec![(0.9, 0.9)],
    };
    let long = simulate(&scenario, 60_000_000);
    assert!(long.max_delay > scenario.drain_grace, "{long:?}");
    let short = simulate(
        &Scenario {
            wait: None,
            ..scenario.clone()
        },
        60_000_000,
    );
    assert!(short.max_delay <= scenario.drain_grace, "{short:?}");
}
