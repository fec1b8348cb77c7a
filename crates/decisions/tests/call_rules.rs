//! Rules for retries, deadlines, slow start and ejection, and regression tests for earlier faults.

mod common;
use badgerramp_decisions::*;
use common::*;

const CELL_KEYED: Idempotency = Idempotency::Keyed {
    scope: DedupScope::Cell,
    window: 400 * MS,
};

fn two_cells() -> Vec<EndpointEntry> {
    (1..=4)
        .map(|i| EndpointEntry {
            cell: CellId(i % 2),
            zone: ZoneId(i % 2),
            ..ready(i)
        })
        .collect()
}

// Every call is answered.

#[test]
fn queued_calls_are_ended_before_their_deadline() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        CELL_KEYED,
    ] {
        let mut proxy = Proxy::new(settings(idempotency), 0);
        let (call, actions) = proxy.call();
        assert!(sent(&actions).is_empty());
        let after = actions.iter().find_map(|a| {
            if let Action::Wake { after } = a {
                Some(*after)
            } else {
                None
            }
        });
        let actions = proxy.advance(after.expect("a timer for the queued call"));
        assert!(
            rejected(&actions, call),
            "a call that was never sent must be rejected"
        );
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn a_timeout_at_the_deadline_ends_the_call() {
    for (idempotency, may_reject) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NonIdempotent, false),
        (CELL_KEYED, false),
    ] {
        let mut proxy = Proxy::new(settings(idempotency), 1);
        let (call, _) = proxy.call();
        proxy.now += 1_200 * MS;
        let actions = proxy.end_attempt(call, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(rejected(&actions, call), may_reject);
        assert_eq!(failed(&actions, call), !may_reject);
        assert!(sent(&proxy.call().1).iter().all(|s| s.0 != call));
    }
}

// No call is executed twice unless that is harmless.

const UNSUCCESSFUL_OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Unknown,
];

#[test]
fn each_outcome_is_retried_only_where_the_idempotency_allows_it() {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: 400 * MS,
    };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DedupScope::All),
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
    ];
    for idempotency in kinds {
        for first in UNSUCCESSFUL_OUTCOMES {
            for second in UNSUCCESSFUL_OUTCOMES {
                let mut proxy = Proxy::new(settings(idempotency), 0);
                proxy.update_list(ListUpdateKind::Full, two_cells());
                let (call, actions) = proxy.call();
                let endpoint = sent(&actions)[0].1;
                proxy.now += MS;
                let actions = proxy.end_attempt(call, 0, first, MS);
                let retries = sent(&actions);
                let not_executed = first.proves_not_executed();
                if idempotency == Idempotency::NonIdempotent && !not_executed {
                    assert!(retries.is_empty() && failed(&actions, call), "{first:?}");
                    continue;
                }
                assert_eq!(retries.len(), 1, "{idempotency:?} after {first:?}");
                let bound = matches!(
                    idempotency,
                    Idempotency::Keyed {
                        scope: DedupScope::Zone | DedupScope::Cell,
                        ..
                    }
                );
                if bound && !not_executed {
                    assert_eq!(retries[0].1 .0 % 2, endpoint.0 % 2, "wrong dedup scope");
                }
                // The second attempt ends too late for a third, and the call is rejected only if
                // its client may safely try again.
                proxy.now += 450 * MS;
                let actions = proxy.end_attempt(call, 1, second, MS);
                let harmless = match idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DedupScope::All,
                        ..
                    } => true,
                    _ => not_executed && second.proves_not_executed(),
                };
                assert!(sent(&actions).is_empty(), "a third attempt would be late");
                assert_eq!(
                    rejected(&actions, call),
                    harmless,
                    "{idempotency:?} {first:?} {second:?}"
                );
                assert_eq!(failed(&actions, call), !harmless);
            }
        }
    }
}

#[test]
fn a_keyed_call_is_not_retried_after_its_window() {
    let mut proxy = Proxy::new(
        settings(Idempotency::Keyed {
            scope: DedupScope::Cell,
            window: 100 * MS,
        }),
        4,
    );
    let (call, _) = proxy.call();
    proxy.now += 100 * MS;
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 100 * MS);
    assert!(sent(&actions).is_empty() && failed(&actions, call));
}

#[test]
fn hedged_requests_are_sent_only_where_allowed_and_the_losers_are_cancelled() {
    for (idempotency, allowed, expected_hedges) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = allowed;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve(40 * MS);
        }
        let (call, actions) = proxy.call();
        let first_endpoint = sent(&actions)[0].1;
        let actions = proxy.advance(430 * MS);
        let hedges = sent(&actions);
        assert_eq!(hedges.len(), expected_hedges);
        if expected_hedges == 1 {
            assert_ne!(hedges[0].1, first_endpoint);
            let actions = proxy.end_attempt(call, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::Cancel { call, attempt: 0 }));
        }
    }
}

#[test]
fn a_streaming_call_is_bound_to_its_attempt() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 3);
    let (call, _) = proxy.call();
    proxy.event(Event::Streaming { call, attempt: 0 });
    assert!(
        sent(&proxy.advance(450 * MS)).is_empty(),
        "no hedged request"
    );
    let actions = proxy.end_attempt(call, 0, Outcome::Reset, 450 * MS);
    assert!(sent(&actions).is_empty());
}

// Draining and removed endpoints.

#[test]
fn no_call_is_sent_to_a_draining_or_removed_endpoint_even_after_a_cached_list() {
    for kind in [ListUpdateKind::Delta, ListUpdateKind::Full] {
        for state in [EndpointStatus::Draining, EndpointStatus::Removed] {
            let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
            proxy.update_list(ListUpdateKind::Cached, vec![ready(1), ready(2)]);
            proxy.update_list(
                kind,
                vec![
                    EndpointEntry {
                        status: state,
                        ..ready(1)
                    },
                    ready(2),
                ],
            );
            for _ in 0..50 {
                assert_eq!(proxy.serve(MS), Some(EndpointId(2)));
            }
        }
    }
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    proxy.update_list(ListUpdateKind::Full, vec![ready(2)]);
    for _ in 0..50 {
        assert_eq!(
            proxy.serve(MS),
            Some(EndpointId(2)),
            "endpoints missing from a full list are removed"
        );
    }
}

// Endpoints in slow start.

/// Counts the attempts sent within six seconds to an endpoint that has just started and ends them
/// with `outcome`, beside two or three warm endpoints.
fn sends_in_slow_start(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.update_list(
        ListUpdateKind::Delta,
        vec![EndpointEntry {
            started: proxy.now,
            ..ready(id)
        }],
    );
    let mut sends = 0;
    for _ in 0..600 {
        let (call, actions) = proxy.call();
        let mut last = sent(&actions).first().map(|s| s.1);
        proxy.now += 10 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = last {
            let is_target = endpoint == EndpointId(id);
            sends += usize::from(is_target);
            let end = if is_target { outcome } else { Outcome::Served };
            let actions = proxy.end_attempt(call, attempt, end, 10 * MS);
            last = sent(&actions).iter().find(|s| s.0 == call).map(|s| s.1);
            attempt += 1;
        }
    }
    sends
}

#[test]
fn an_endpoint_in_slow_start_gets_its_share_even_if_it_fails_fast_or_has_restarted() {
    for outcome in [
        Outcome::Served,
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectFailed,
    ] {
        for restart in [false, true] {
            let sends = sends_in_slow_start(outcome, restart);
            // A warm endpoint would get 150 to 300 of the 600 calls. This one has a tenth to a
            // third of its capacity.
            assert!((1..=90).contains(&sends), "{outcome:?} {restart}: {sends}");
        }
    }
}

// Regression tests.

#[test]
fn fast_errors_eject_an_endpoint_though_it_looks_idle() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (call, actions) = proxy.call();
        let is_failing = sent(&actions)[0].1 == EndpointId(1);
        errors += usize::from(is_failing);
        proxy.now += 2 * MS;
        proxy.end_attempt(
            call,
            0,
            if is_failing {
                Outcome::Error
            } else {
                Outcome::Served
            },
            2 * MS,
        );
    }
    assert!(errors <= 4, "{errors}");
}

#[test]
fn one_served_trial_does_not_readmit_an_endpoint_that_fails_most_calls() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let mut sent_to_failing = 0;
    for round in 0..400 {
        let (call, actions) = proxy.call();
        let mut target = sent(&actions).first().map(|s| s.1);
        proxy.now += 5 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = target {
            let is_failing = endpoint == EndpointId(1);
            sent_to_failing += usize::from(is_failing);
            let end = if is_failing && sent_to_failing % 3 != 0 {
                Outcome::Error
            } else {
                Outcome::Served
            };
            target = sent(&proxy.end_attempt(call, attempt, end, 5 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
        assert!(round < 400);
    }
    assert!(
        sent_to_failing <= 40,
        "a healthy endpoint would get 100 or more: {sent_to_failing}"
    );
}

#[test]
fn at_most_half_of_the_endpoints_are_ejected() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 6);
    for _ in 0..100 {
        let (call, actions) = proxy.call();
        assert_eq!(
            sent(&actions).len(),
            1,
            "half of the fleet must still take calls"
        );
        proxy.now += 2 * MS;
        proxy.end_attempt(call, 0, Outcome::Error, 2 * MS);
    }
}

#[test]
fn calls_are_rejected_on_arrival_when_the_queue_wait_is_too_long() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut rejected_on_arrival = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (call, actions) = proxy.call();
        rejected_on_arrival += usize::from(rejected(&actions, call));
    }
    assert!(
        rejected_on_arrival > 20,
        "calls that would wait too long must be rejected on arrival: {rejected_on_arrival}"
    );
}

#[test]
fn the_shortest_objective_bounds_the_queue_wait_of_all_classes() {
    let is_rejected_behind = |other_objective: Micros| {
        let base = settings(Idempotency::NonIdempotent);
        let long = Class {
            latency_objective: 800 * MS,
            ..base.classes[0]
        };
        let short = Class {
            latency_objective: other_objective,
            ..long
        };
        let mut proxy = Proxy::new(
            Settings {
                classes: vec![long, short],
                ..base
            },
            1,
        );
        (0..3).for_each(|_| drop(proxy.call()));
        proxy.now += 30 * MS;
        let (call, actions) = proxy.call();
        rejected(&actions, call)
    };
    assert!(
        !is_rejected_behind(700 * MS),
        "30 ms are less than a tenth of the objective"
    );
    assert!(
        is_rejected_behind(100 * MS),
        "calls with the short objective may wait 10 ms, so the others may wait 20 ms at most"
    );
}

#[test]
fn a_lost_subscription_is_renewed_with_backoff() {
    let mut proxy = Proxy::new(
        Settings {
            poll_endpoint_list: true,
            ..settings(Idempotency::Idempotent)
        },
        2,
    );
    assert!(
        proxy.actions.contains(&Action::Subscribe),
        "the proxy must poll at its start"
    );
    let actions = proxy.update_list(ListUpdateKind::Failed, vec![]);
    assert!(
        !actions.contains(&Action::Subscribe),
        "the next poll must wait for the backoff"
    );
    let after = actions.iter().find_map(|a| {
        if let Action::Wake { after } = a {
            Some(*after)
        } else {
            None
        }
    });
    assert!(proxy
        .advance(after.expect("a timer"))
        .contains(&Action::Subscribe));
    assert_eq!(
        proxy.serve(MS).map(|s| s.0 <= 2),
        Some(true),
        "the old list must remain in use"
    );
    let mut pushed = Proxy::new(settings(Idempotency::Idempotent), 1);
    pushed.update_list(ListUpdateKind::Failed, vec![]);
    pushed.advance(60_000 * MS);
    assert!(
        !pushed.actions.contains(&Action::Subscribe),
        "a pushed list must not be polled"
    );
}

#[test]
fn an_endpoint_that_rejects_a_call_is_paused_for_the_expected_latency() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve(40 * MS);
    }
    let mut sent_to_full = 0;
    for _ in 0..20 {
        // 20 rounds of 2 ms add up to 40 ms, the expected latency.
        let (call, actions) = proxy.call();
        let mut target = sent(&actions).first().map(|s| s.1);
        proxy.now += 2 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = target {
            let full = endpoint == EndpointId(1);
            sent_to_full += usize::from(full);
            let end = if full {
                Outcome::Rejected
            } else {
                Outcome::Served
            };
            target = sent(&proxy.end_attempt(call, attempt, end, 2 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
    }
    assert!(sent_to_full <= 2, "{sent_to_full}");
}

#[test]
fn an_endpoint_with_a_high_latency_ratio_gets_no_trials() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve(400 * MS);
        proxy.advance(600 * MS);
    }
    assert_eq!(sent(&proxy.call().1).len(), 1);
    assert!(
        (0..5).all(|_| sent(&proxy.call().1).is_empty()),
        "a second concurrent call would be a trial"
    );
}

#[test]
fn timeouts_of_an_endpoint_that_answers_others_do_not_eject_it() {
    let mut proxy = Proxy::new(
        Settings {
            balancers: 1,
            ..settings(Idempotency::NonIdempotent)
        },
        3,
    );
    let mut log = Vec::new();
    for _ in 0..30 {
        // The first call at each endpoint is answered, and the others time out.
        let calls: Vec<(CallId, Vec<Action>)> = (0..9).map(|_| proxy.call()).collect();
        let at = |i: usize| sent(&calls[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end_attempt(calls[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end_attempt(calls[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.advance(600 * MS);
    }
    let failures = log
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count();
    assert!(failures > 20, "too few calls timed out: {failures}");
    let ejections = log
        .iter()
        .filter(|a| {
            matches!(
                a,
                Action::Log {
                    event: LogEvent::EndpointEjected { .. }
                }
            )
        })
        .count();
    assert_eq!(ejections, 0, "slow endpoints must not be ejected");
}

/// Serves calls in 40 ms with the given load report, then returns whether a second concurrent call
/// exceeds the full limit as a trial.
fn trial_after(load: LoadReport) -> bool {
    let mut proxy = Proxy::new(
        Settings {
            balancers: 12,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    for _ in 0..40 {
        let (call, _) = proxy.call();
        proxy.now += 40 * MS;
        let (outcome, elapsed) = (Outcome::Served, 40 * MS);
        proxy.event(Event::Outcome {
            call,
            attempt: 0,
            outcome,
            elapsed,
            closed: true,
            load,
        });
        proxy.advance(100 * MS);
    }
    // The load reports have expired by now, so no call is shed because of them.
    proxy.advance(5_000 * MS);
    assert_eq!(
        sent(&proxy.call().1).len(),
        1,
        "the call within the limit must be sent"
    );
    sent(&proxy.call().1).len() == 1
}

#[test]
fn reported_queues_and_cpu_utilization_prevent_trials_of_a_fast_endpoint() {
    let with_cpu_utilization = |utilization| LoadReport {
        cpu_utilization: Some(utilization),
        ..LoadReport::default()
    };
    let with_queue = |queued| LoadReport {
        in_flight: Some(10.0),
        queued: Some(queued),
        ..LoadReport::default()
    };
    assert!(
        trial_after(LoadReport::default())
            && trial_after(with_cpu_utilization(0.5))
            && trial_after(with_queue(1.0))
    );
    assert!(
        !trial_after(with_cpu_utilization(1.0)),
        "all cores are busy"
    );
    assert!(
        !trial_after(with_queue(5.5)),
        "more requests are queued than executing"
    );
}

/// Makes a call whose client waits for `time_left`.
fn call_with_time_left(proxy: &mut Proxy, id: u64, time_left: Micros) -> (CallId, Vec<Action>) {
    let call = CallId(id);
    (call, proxy.event(request(call, time_left, None)))
}

/// A proxy with one call within the limit and one trial in flight, and a third call that has been
/// queued for 10 ms.
fn congested() -> Proxy {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for id in 1_001..=1_003 {
        call_with_time_left(&mut proxy, id, 1_200 * MS);
    }
    proxy.now += 10 * MS;
    proxy
}

#[test]
fn a_client_retry_past_its_objective_is_not_queued_behind_other_calls() {
    let mut proxy = congested();
    let (call, actions) = call_with_time_left(&mut proxy, 1_010, 300 * MS);
    assert!(
        !rejected(&actions, call),
        "no call has been shed, so the client only has a shorter timeout"
    );
    proxy.advance(400 * MS);
    assert!(
        rejected(&proxy.actions, CallId(1_003)),
        "the call must be rejected once it can no longer be in time"
    );
    let (waiting, _) = call_with_time_left(&mut proxy, 1_020, 1_200 * MS);
    proxy.now += 10 * MS;
    let (call, actions) = call_with_time_left(&mut proxy, 1_021, 1_190 * MS);
    assert!(
        !rejected(&actions, call) && !rejected(&actions, waiting),
        "the timeout is as long as that of the others"
    );
    let (call, actions) = call_with_time_left(&mut proxy, 1_022, 300 * MS);
    assert!(
        rejected(&actions, call),
        "the 900 ms already spent exceed the objective"
    );
}

#[test]
fn a_client_retry_past_its_objective_is_sent_without_an_attempt_deadline_if_there_is_capacity() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    call_with_time_left(&mut proxy, 1_001, 1_200 * MS);
    proxy.end_attempt(CallId(1_001), 0, Outcome::Error, MS);
    let attempt_deadline = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Send {
                attempt_deadline, ..
            } = a
            {
                Some(*attempt_deadline)
            } else {
                None
            }
        })
    };
    // Of the objective, 400 ms have passed, and the remaining 100 ms are less than the expected
    // latency.
    let (_, actions) = call_with_time_left(&mut proxy, 1_010, 800 * MS);
    assert_eq!(attempt_deadline(&actions), Some(None), "{actions:?}");
    let (_, actions) = call_with_time_left(&mut proxy, 1_011, 1_200 * MS);
    assert_eq!(attempt_deadline(&actions), Some(Some(proxy.now + 500 * MS)));
}
