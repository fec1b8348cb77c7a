//! Concurrency limits, trials, the wait queue and ejection, each by itself.
#![expect(
    clippy::many_single_char_names,
    reason = "short names are still to be spelled out"
)]

mod common;
use badgerramp_decisions::*;
use common::*;
use std::collections::BTreeMap;

/// Fills a single endpoint's first budget (1 step x 1 call with seven balancers) and leaves the
/// call out.
fn proxy_with_full_endpoint(repeat: Idempotency) -> (Proxy, CallId) {
    let mut proxy = Proxy::new(settings(repeat), 1);
    let (first, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn a_call_at_a_full_limit_goes_as_the_one_trial_and_the_next_is_queued() {
    let (mut proxy, _) = proxy_with_full_endpoint(Idempotency::NonIdempotent);
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, EndpointId(1))]);
    let (_, actions) = proxy.call();
    assert!(sent(&actions).is_empty(), "one trial at a time");
}

#[test]
fn a_served_trial_adds_one_step_to_the_limit() {
    let (mut proxy, _) = proxy_with_full_endpoint(Idempotency::NonIdempotent);
    let (trial, _) = proxy.call();
    let (a, b) = (proxy.call().0, proxy.call().0);
    proxy.now += 50 * MS;
    let actions = proxy.end(trial, 1, Outcome::Served, 50 * MS);
    assert!(
        sent(&actions).is_empty(),
        "an attempt that was never made has no outcome"
    );
    let actions = proxy.end(trial, 0, Outcome::Served, 50 * MS);
    // Two steps of one call each, one in use: the first that waits goes, and no trial before the
    // step has shown what it does.
    assert_eq!(sent(&actions), [(a, EndpointId(1))]);
    proxy.now += 100 * MS;
    proxy.end(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end(b, 0, Outcome::Served, 100 * MS);
    proxy.wait(300 * MS);
    let (c, d, e) = (proxy.call().0, proxy.call().0, proxy.call().0);
    let went: Vec<CallId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(
        went.ends_with(&[b, c, d]) && !went.contains(&e),
        "then one is the next trial: {went:?}"
    );
}

/// Lets calls come until one is sent; tells after how long, and which.
fn next_trial(proxy: &mut Proxy) -> (Micros, CallId) {
    let began = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.call().1);
        if let Some(&(call, _)) = sent(&actions).first() {
            return (proxy.now - began, call);
        }
        assert!(proxy.now < began + 5_000 * MS, "no trial");
    }
}

#[test]
fn a_failed_trial_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = proxy_with_full_endpoint(Idempotency::NonIdempotent);
    let mut trial = proxy.call().0;
    let mut spans = Vec::new();
    for _ in 0..6 {
        proxy.end(trial, 0, Outcome::Error, MS);
        let (span, next) = next_trial(&mut proxy);
        spans.push(span / MS);
        trial = next;
    }
    for (span, wanted) in spans.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(span.abs_diff(wanted) <= 10, "{spans:?}");
    }
    let mut out = sent(&proxy.end(trial, 0, Outcome::Served, MS));
    while let Some((call, _)) = out.pop() {
        out.extend(sent(&proxy.end(call, 0, Outcome::Served, MS)));
    }
    proxy.wait(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = trial;
    while let Some(&(call, _)) = sent(&proxy.call().1).first() {
        next = call;
    }
    assert_ne!(
        next, trial,
        "the last that went, at a full limit, is the next trial"
    );
    proxy.end(next, 0, Outcome::Error, MS);
    assert!(next_trial(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn queued_calls_are_sent_in_the_order_of_arrival() {
    let (mut proxy, first) = proxy_with_full_endpoint(Idempotency::NonIdempotent);
    let trial = proxy.call().0;
    let waiting: Vec<CallId> = (0..4).map(|_| proxy.call().0).collect();
    let mut order = Vec::new();
    for call in [first, trial] {
        proxy.now += 20 * MS;
        order.extend(
            sent(&proxy.end(call, 0, Outcome::Served, 20 * MS))
                .into_iter()
                .map(|s| s.0),
        );
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], waiting[..order.len()]);
}

#[test]
fn the_less_loaded_of_two_endpoints_is_selected() {
    let mut proxy = Proxy::new(
        Settings {
            balancers: 1,
            ..settings(Idempotency::NonIdempotent)
        },
        2,
    );
    let mut load: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let server = sent(&proxy.call().1)[0].1;
        *load.entry(server).or_default() += 1;
    }
    assert_eq!(load[&EndpointId(1)], 5);
    assert_eq!(load[&EndpointId(2)], 5);
}

#[test]
fn ties_go_to_the_endpoint_with_the_lower_latency_ratio() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 2);
    for _ in 0..40 {
        let (call, actions) = proxy.call();
        let elapsed = if sent(&actions)[0].1 == EndpointId(1) {
            200 * MS
        } else {
            40 * MS
        };
        proxy.now += elapsed;
        proxy.end(call, 0, Outcome::Served, elapsed);
    }
    let chosen = (0..20)
        .filter(|_| proxy.serve(40 * MS) == Some(EndpointId(2)))
        .count();
    assert_eq!(chosen, 20);
}

#[test]
fn a_selected_endpoint_at_its_limit_is_redrawn_among_those_with_capacity() {
    // One of twenty has room: two random choices alone would rarely meet it, and a trial would be
    // needed.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let servers: std::collections::BTreeSet<EndpointId> =
        (0..20).map(|_| sent(&proxy.call().1)[0].1).collect();
    assert_eq!(
        servers.len(),
        20,
        "every budget is used before any is passed"
    );
}

/// How many calls a fresh endpoint is sent at once, of which the last is a trial, after seven that
/// it served but for one that ended so.
fn capacity_after(outcome: Outcome) -> usize {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            balancers: 1,
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    let calls: Vec<CallId> = (0..7).map(|_| proxy.call().0).collect();
    assert_eq!(
        sent(&proxy.actions).len(),
        7,
        "what one balancer starts with"
    );
    proxy.now += 5 * MS;
    proxy.end(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.wait(1_000 * MS);
    (0..20)
        .filter(|_| !sent(&proxy.call().1).is_empty())
        .count()
}

#[test]
fn a_rejection_lowers_the_concurrency() {
    assert_eq!(capacity_after(Outcome::Served), 8);
    assert_eq!(
        capacity_after(Outcome::Rejected),
        7,
        "four fifths of seven, and a trial"
    );
}

/// Sends calls until one waits, and has all of them served after 40 ms; tells how many went at
/// once.
fn fill(proxy: &mut Proxy) -> usize {
    let mut calls = vec![proxy.call()];
    while !sent(&calls[calls.len() - 1].1).is_empty() {
        calls.push(proxy.call());
    }
    proxy.now += 40 * MS;
    for (call, _) in &calls {
        proxy.end(*call, 0, Outcome::Served, 40 * MS);
    }
    let (waiting, _) = calls[calls.len() - 1];
    proxy.event(Event::ClientDisconnected { call: waiting });
    proxy.wait(300 * MS);
    calls.len() - 1
}

#[test]
fn steps_are_capped_so_that_as_many_connection_failures_take_them() {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    let grown: Vec<usize> = (0..30).map(|_| fill(&mut proxy)).collect();
    assert!(
        grown[29] > 13,
        "at the clamp the concurrency grows instead: {grown:?}"
    );
    for _ in 0..9 {
        let (call, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end(call, 0, Outcome::ConnectFailed, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = fill(&mut proxy);
    assert!(
        left <= 3,
        "one step of ten is left, and a trial: {left} after {grown:?}"
    );
}

#[test]
fn connection_failures_eject_the_endpoint_until_one_call_tries_it_after_the_backoff() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    let other = sent(&proxy.end(call, 0, Outcome::ConnectFailed, MS))[0].1;
    assert_ne!(broken, other);
    proxy.now += MS;
    proxy.end(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve(MS), Some(other), "skipped in backoff");
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, broken)]);
    let (second, actions) = proxy.call();
    assert_eq!(sent(&actions)[0].1, other, "one call only");
    proxy.end(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end(trial, 0, Outcome::Served, MS);
    let mut used: Vec<EndpointId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "readmitted");
}

/// Connections break here and there also where all is well; a host that goes on answering is not
/// ejected for it, and one that does not is.
#[test]
fn an_endpoint_that_has_answered_is_not_ejected_for_one_reset() {
    let ejected = |actions: &[Action]| {
        actions.iter().any(|a| {
            matches!(
                a,
                Action::Log {
                    event: LogEvent::EndpointEjected { .. }
                }
            )
        })
    };
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 2);
    let mut resets = 0;
    for call in 1..200 {
        let (id, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.now += MS;
        // One in eleven breaks.
        let breaks = call % 11 == 0;
        resets += usize::from(breaks);
        let actions = proxy.end(
            id,
            0,
            if breaks {
                Outcome::Reset
            } else {
                Outcome::Served
            },
            MS,
        );
        assert!(!ejected(&actions), "after {resets} resets");
    }
    assert!(resets > 10);
    let mut ended = false;
    for _ in 0..40 {
        let (id, actions) = proxy.call();
        let breaks = sent(&actions)[0].1 == EndpointId(1);
        proxy.now += MS;
        ended |= ejected(&proxy.end(
            id,
            0,
            if breaks {
                Outcome::Reset
            } else {
                Outcome::Served
            },
            MS,
        ));
    }
    assert!(ended, "where all connections break");
}

#[test]
fn with_every_endpoint_ejected_calls_are_rejected_with_retry_after() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    // A reset takes a step each; half of two may be ejected, so the list is cut to the broken
    // one.
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end(call, 0, Outcome::Reset, MS);
    proxy.list(ListUpdateKind::Full, vec![ready(broken.0)]);
    let (call, actions) = proxy.call();
    let advice = actions.iter().find_map(|a| match a {
        Action::Reject {
            call: id,
            retry_after,
        } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|a| a > 0), "{actions:?}");
}
