//! The rules of retries, deadlines, slow start and ejection, and regressions of failures that were
//! met: each test fails without the code that answers it.

mod common;
use badgerramp_decisions::*;
use common::*;

const CELL: Idempotency = Idempotency::Keyed {
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

// No lost request.

#[test]
fn queued_calls_are_ended_before_their_client_gives_up() {
    for repeat in [Idempotency::Idempotent, Idempotency::NonIdempotent, CELL] {
        let mut proxy = Proxy::new(settings(repeat), 0);
        let (call, actions) = proxy.call();
        assert!(sent(&actions).is_empty());
        let after = actions.iter().find_map(|a| {
            if let Action::Wake { after } = a {
                Some(*after)
            } else {
                None
            }
        });
        let actions = proxy.wait(after.expect("a timer for the held call"));
        assert!(rejected(&actions, call), "never sent, so rejected");
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn a_timeout_at_the_deadline_ends_the_call() {
    for (repeat, may_refuse) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NonIdempotent, false),
        (CELL, false),
    ] {
        let mut proxy = Proxy::new(settings(repeat), 1);
        let (call, _) = proxy.call();
        proxy.now += 1_200 * MS;
        let actions = proxy.end(call, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(rejected(&actions, call), may_refuse);
        assert_eq!(failed(&actions, call), !may_refuse);
        assert!(sent(&proxy.call().1).iter().all(|s| s.0 != call));
    }
}

// No duplicated effect.

const CODES: [Outcome; 8] = [
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
    let guarded = |scope| Idempotency::Keyed {
        scope,
        window: 400 * MS,
    };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        guarded(DedupScope::All),
        guarded(DedupScope::Zone),
        guarded(DedupScope::Cell),
    ];
    for repeat in kinds {
        for first in CODES {
            for second in CODES {
                let mut proxy = Proxy::new(settings(repeat), 0);
                proxy.list(ListUpdateKind::Full, two_cells());
                let (call, actions) = proxy.call();
                let home = sent(&actions)[0].1;
                proxy.now += MS;
                let actions = proxy.end(call, 0, first, MS);
                let again = sent(&actions);
                let proven = first.proves_not_executed();
                if repeat == Idempotency::NonIdempotent && !proven {
                    assert!(again.is_empty() && failed(&actions, call), "{first:?}");
                    continue;
                }
                assert_eq!(again.len(), 1, "{repeat:?} after {first:?}");
                let bound = matches!(
                    repeat,
                    Idempotency::Keyed {
                        scope: DedupScope::Zone | DedupScope::Cell,
                        ..
                    }
                );
                if bound && !proven {
                    assert_eq!(again[0].1 .0 % 2, home.0 % 2, "stays with its group");
                }
                // The second attempt's end, then the last chance gone: refused only where harmless.
                proxy.now += 450 * MS;
                let actions = proxy.end(call, 1, second, MS);
                let harmless = match repeat {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DedupScope::All,
                        ..
                    } => true,
                    _ => proven && second.proves_not_executed(),
                };
                assert!(sent(&actions).is_empty(), "too late to be in time");
                assert_eq!(
                    rejected(&actions, call),
                    harmless,
                    "{repeat:?} {first:?} {second:?}"
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
    let actions = proxy.end(call, 0, Outcome::Error, 100 * MS);
    assert!(sent(&actions).is_empty() && failed(&actions, call));
}

#[test]
fn hedged_requests_are_sent_only_where_allowed_and_the_losers_are_cancelled() {
    for (repeat, allowed, copies) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(repeat);
        settings.limits.hedging = allowed;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve(40 * MS);
        }
        let (call, actions) = proxy.call();
        let home = sent(&actions)[0].1;
        let actions = proxy.wait(430 * MS);
        let copy = sent(&actions);
        assert_eq!(copy.len(), copies);
        if copies == 1 {
            assert_ne!(copy[0].1, home);
            let actions = proxy.end(call, 1, Outcome::Served, 30 * MS);
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
    assert!(sent(&proxy.wait(450 * MS)).is_empty(), "no hedged request");
    let actions = proxy.end(call, 0, Outcome::Reset, 450 * MS);
    assert!(sent(&actions).is_empty());
}

// Safe drain.

#[test]
fn no_call_is_sent_to_a_draining_or_removed_endpoint_also_after_a_cached_list() {
    for kind in [ListUpdateKind::Delta, ListUpdateKind::Full] {
        for state in [EndpointStatus::Draining, EndpointStatus::Removed] {
            let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
            proxy.list(ListUpdateKind::Cached, vec![ready(1), ready(2)]);
            proxy.list(
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
    proxy.list(ListUpdateKind::Full, vec![ready(2)]);
    for _ in 0..50 {
        assert_eq!(
            proxy.serve(MS),
            Some(EndpointId(2)),
            "what a full list leaves out is gone"
        );
    }
}

// Safe fail-back.

/// Sends within six seconds to an endpoint beside two or three warm ones, when it started just now
/// and ends attempts with `outcome`.
fn sends_in_slow_start(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.list(
        ListUpdateKind::Delta,
        vec![EndpointEntry {
            started: proxy.now,
            ..ready(id)
        }],
    );
    let mut count = 0;
    for _ in 0..600 {
        let (call, actions) = proxy.call();
        let mut last = sent(&actions).first().map(|s| s.1);
        proxy.now += 10 * MS;
        let mut attempt = 0;
        while let Some(server) = last {
            let cold = server == EndpointId(id);
            count += usize::from(cold);
            let end = if cold { outcome } else { Outcome::Served };
            let actions = proxy.end(call, attempt, end, 10 * MS);
            last = sent(&actions).iter().find(|s| s.0 == call).map(|s| s.1);
            attempt += 1;
        }
    }
    count
}

#[test]
fn an_endpoint_in_slow_start_gets_its_share_also_when_it_rejects_or_fails_fast_and_after_a_restart()
{
    for outcome in [
        Outcome::Served,
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectFailed,
    ] {
        for restart in [false, true] {
            let count = sends_in_slow_start(outcome, restart);
            // A warm endpoint's part of 600 calls is 150 to 300; this one has a tenth to a third of
            // its capacity.
            assert!((1..=90).contains(&count), "{outcome:?} {restart}: {count}");
        }
    }
}

// Failures that were met.

#[test]
fn fast_errors_eject_an_endpoint_though_it_looks_idle() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (call, actions) = proxy.call();
        let bad = sent(&actions)[0].1 == EndpointId(1);
        errors += usize::from(bad);
        proxy.now += 2 * MS;
        proxy.end(
            call,
            0,
            if bad { Outcome::Error } else { Outcome::Served },
            2 * MS,
        );
    }
    assert!(errors <= 4, "{errors}");
}

#[test]
fn one_good_answer_does_not_readmit_an_endpoint_that_fails_most() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let mut to_bad = 0;
    for round in 0..400 {
        let (call, actions) = proxy.call();
        let mut at = sent(&actions).first().map(|s| s.1);
        proxy.now += 5 * MS;
        let mut attempt = 0;
        while let Some(server) = at {
            let bad = server == EndpointId(1);
            to_bad += usize::from(bad);
            let end = if bad && to_bad % 3 != 0 {
                Outcome::Error
            } else {
                Outcome::Served
            };
            at = sent(&proxy.end(call, attempt, end, 5 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
        assert!(round < 400);
    }
    assert!(
        to_bad <= 40,
        "a healthy one would get 100 or more: {to_bad}"
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
            "half of the fleet still takes calls"
        );
        proxy.now += 2 * MS;
        proxy.end(call, 0, Outcome::Error, 2 * MS);
    }
}

#[test]
fn the_wait_queue_is_bounded_by_time_so_that_not_all_calls_are_served_late() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut early = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (call, actions) = proxy.call();
        early += usize::from(rejected(&actions, call));
    }
    assert!(
        early > 20,
        "calls that would wait too long are rejected as they come: {early}"
    );
}

#[test]
fn calls_of_a_long_objective_do_not_fill_the_queue_before_those_of_a_short_one() {
    let refused_behind = |shorter: Micros| {
        let plain = settings(Idempotency::NonIdempotent);
        let long = Class {
            latency_objective: 800 * MS,
            ..plain.classes[0]
        };
        let short = Class {
            latency_objective: shorter,
            ..long
        };
        let mut proxy = Proxy::new(
            Settings {
                classes: vec![long, short],
                ..plain
            },
            1,
        );
        (0..3).for_each(|_| drop(proxy.call()));
        proxy.now += 30 * MS;
        let (call, actions) = proxy.call();
        rejected(&actions, call)
    };
    assert!(
        !refused_behind(700 * MS),
        "30 ms are less than a tenth of the objective"
    );
    assert!(
        refused_behind(100 * MS),
        "the brief ones can wait 10 ms, so the others wait 20 at most"
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
    assert!(proxy.actions.contains(&Action::Subscribe), "at the start");
    let actions = proxy.list(ListUpdateKind::Failed, vec![]);
    assert!(!actions.contains(&Action::Subscribe), "not at once");
    let after = actions.iter().find_map(|a| {
        if let Action::Wake { after } = a {
            Some(*after)
        } else {
            None
        }
    });
    assert!(proxy
        .wait(after.expect("a timer"))
        .contains(&Action::Subscribe));
    assert_eq!(
        proxy.serve(MS).map(|s| s.0 <= 2),
        Some(true),
        "the old list stands"
    );
    let mut push = Proxy::new(settings(Idempotency::Idempotent), 1);
    push.list(ListUpdateKind::Failed, vec![]);
    push.wait(60_000 * MS);
    assert!(
        !push.actions.contains(&Action::Subscribe),
        "only where the list must be asked for"
    );
}

#[test]
fn an_endpoint_that_rejects_a_call_is_paused_for_the_expected_latency() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve(40 * MS);
    }
    let mut to_full = 0;
    for _ in 0..20 {
        // Two ms a round: 40 ms in all, one usual time.
        let (call, actions) = proxy.call();
        let mut at = sent(&actions).first().map(|s| s.1);
        proxy.now += 2 * MS;
        let mut attempt = 0;
        while let Some(server) = at {
            let full = server == EndpointId(1);
            to_full += usize::from(full);
            let end = if full {
                Outcome::Rejected
            } else {
                Outcome::Served
            };
            at = sent(&proxy.end(call, attempt, end, 2 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
    }
    assert!(to_full <= 2, "{to_full}");
}

#[test]
fn an_endpoint_with_a_high_latency_ratio_gets_no_trials() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve(400 * MS);
        proxy.wait(600 * MS);
    }
    assert_eq!(sent(&proxy.call().1).len(), 1);
    assert!(
        (0..5).all(|_| sent(&proxy.call().1).is_empty()),
        "a second call at once would be a trial"
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
        // Of the calls at each endpoint the first is answered and the others time out.
        let calls: Vec<(CallId, Vec<Action>)> = (0..9).map(|_| proxy.call()).collect();
        let at = |i: usize| sent(&calls[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end(calls[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end(calls[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.wait(600 * MS);
    }
    let failures = log
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count();
    assert!(failures > 20, "too few timed out to tell: {failures}");
    let aside = log
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
    assert_eq!(aside, 0, "slow, not gone");
}

/// Answers of 40 ms with the given report; then: does a second call at once pass the full limit as
/// a trial?
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
        proxy.wait(100 * MS);
    }
    // What endpoints told is stale by then: no call is shed for it.
    proxy.wait(5_000 * MS);
    assert_eq!(sent(&proxy.call().1).len(), 1, "the budget's own call");
    sent(&proxy.call().1).len() == 1
}

#[test]
fn reported_queues_and_cpu_utilization_count_as_latency_of_a_fast_endpoint() {
    let busy = |b| LoadReport {
        cpu_utilization: Some(b),
        ..LoadReport::default()
    };
    let queue = |w| LoadReport {
        in_flight: Some(10.0),
        queued: Some(w),
        ..LoadReport::default()
    };
    assert!(
        trial_after(LoadReport::default()) && trial_after(busy(0.5)) && trial_after(queue(1.0))
    );
    assert!(!trial_after(busy(1.0)), "cores that are all busy");
    assert!(!trial_after(queue(5.5)), "more waiting than in work");
}

/// A request whose client waits this long for this try.
fn call_with_time_left(proxy: &mut Proxy, id: u64, time_left: Micros) -> (CallId, Vec<Action>) {
    let call = CallId(id);
    let event = Event::Request {
        call,
        class: ClassId(0),
        tenant: None,
        time_left,
        is_retry: false,
        policy: CallPolicy::default(),
    };
    (call, proxy.event(event))
}

/// One budget's call and the trial are out, and one call has been waiting for 10 ms.
fn congested() -> Proxy {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for id in 1_001..=1_003 {
        call_with_time_left(&mut proxy, id, 1_200 * MS);
    }
    proxy.now += 10 * MS;
    proxy
}

#[test]
fn a_retry_of_a_client_past_its_objective_is_not_queued_where_others_are() {
    let mut proxy = congested();
    let (call, actions) = call_with_time_left(&mut proxy, 1_010, 300 * MS);
    assert!(
        !rejected(&actions, call),
        "none has been shed: this client just waits less"
    );
    proxy.wait(400 * MS);
    assert!(
        rejected(&proxy.actions, CallId(1_003)),
        "held until it could no longer be in time"
    );
    let (waiting, _) = call_with_time_left(&mut proxy, 1_020, 1_200 * MS);
    proxy.now += 10 * MS;
    let (call, actions) = call_with_time_left(&mut proxy, 1_021, 1_190 * MS);
    assert!(
        !rejected(&actions, call) && !rejected(&actions, waiting),
        "waits as long as the others"
    );
    let (call, actions) = call_with_time_left(&mut proxy, 1_022, 300 * MS);
    assert!(
        rejected(&actions, call),
        "the 900 ms that are gone are more than its objective"
    );
}

#[test]
fn a_retry_of_a_client_past_its_objective_is_served_where_there_is_capacity_and_not_timed_out_at_it(
) {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    call_with_time_left(&mut proxy, 1_001, 1_200 * MS);
    proxy.end(CallId(1_001), 0, Outcome::Error, MS);
    let attempt_deadline = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Send {
                attempt_deadline: until,
                ..
            } = a
            {
                Some(*until)
            } else {
                None
            }
        })
    };
    // 400 ms are gone: 100 are left to the objective, less than a usual answer time.
    let (_, actions) = call_with_time_left(&mut proxy, 1_010, 800 * MS);
    assert_eq!(attempt_deadline(&actions), Some(None), "{actions:?}");
    let (_, actions) = call_with_time_left(&mut proxy, 1_011, 1_200 * MS);
    assert_eq!(attempt_deadline(&actions), Some(Some(proxy.now + 500 * MS)));
}
