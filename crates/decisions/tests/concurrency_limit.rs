//! Concurrency limits, trials, the wait queue and ejection, each in isolation.

mod common;
use badgerramp_decisions::*;
use common::*;
use std::collections::BTreeMap;

/// Uses up the initial limit of a single endpoint (1 step with 1 call for seven balancers) and
/// leaves the call in flight.
fn proxy_with_full_endpoint(idempotency: Idempotency) -> (Proxy, CallId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn one_call_at_a_full_limit_is_sent_as_a_trial_and_the_next_is_queued() {
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
    let (third, fourth) = (proxy.call().0, proxy.call().0);
    proxy.now += 50 * MS;
    let actions = proxy.end_attempt(trial, 1, Outcome::Served, 50 * MS);
    assert!(
        sent(&actions).is_empty(),
        "the outcome of an unknown attempt must be ignored"
    );
    let actions = proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS);
    // The limit is now two steps of one call each, with one in use. The first queued call is sent,
    // and there is no trial until the effect of the new step is known.
    assert_eq!(sent(&actions), [(third, EndpointId(1))]);
    proxy.now += 100 * MS;
    proxy.end_attempt(third, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end_attempt(fourth, 0, Outcome::Served, 100 * MS);
    proxy.advance(300 * MS);
    let (fifth, sixth, seventh) = (proxy.call().0, proxy.call().0, proxy.call().0);
    let sent_calls: Vec<CallId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(
        sent_calls.ends_with(&[fourth, fifth, sixth]) && !sent_calls.contains(&seventh),
        "then one call must be the next trial: {sent_calls:?}"
    );
}

/// Makes calls until one is sent. Returns the time that this took, and the call.
fn next_trial(proxy: &mut Proxy) -> (Micros, CallId) {
    let start = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.call().1);
        if let Some(&(call, _)) = sent(&actions).first() {
            return (proxy.now - start, call);
        }
        assert!(proxy.now < start + 5_000 * MS, "no trial");
    }
}

#[test]
fn a_failed_trial_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = proxy_with_full_endpoint(Idempotency::NonIdempotent);
    let mut trial = proxy.call().0;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        proxy.end_attempt(trial, 0, Outcome::Error, MS);
        let (backoff, next) = next_trial(&mut proxy);
        backoffs.push(backoff / MS);
        trial = next;
    }
    for (backoff, expected) in backoffs.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(backoff.abs_diff(expected) <= 10, "{backoffs:?}");
    }
    let mut out = sent(&proxy.end_attempt(trial, 0, Outcome::Served, MS));
    while let Some((call, _)) = out.pop() {
        out.extend(sent(&proxy.end_attempt(call, 0, Outcome::Served, MS)));
    }
    proxy.advance(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = trial;
    while let Some(&(call, _)) = sent(&proxy.call().1).first() {
        next = call;
    }
    assert_ne!(
        next, trial,
        "the last call sent at a full limit must be the next trial"
    );
    proxy.end_attempt(next, 0, Outcome::Error, MS);
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
            sent(&proxy.end_attempt(call, 0, Outcome::Served, 20 * MS))
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
        let endpoint = sent(&proxy.call().1)[0].1;
        *load.entry(endpoint).or_default() += 1;
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
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
    }
    let chosen = (0..20)
        .filter(|_| proxy.serve(40 * MS) == Some(EndpointId(2)))
        .count();
    assert_eq!(chosen, 20);
}

#[test]
fn a_selected_endpoint_at_its_limit_is_redrawn_among_those_with_capacity() {
    // The last call finds only one of twenty endpoints with capacity. Two random draws alone would
    // rarely hit it.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let endpoints: std::collections::BTreeSet<EndpointId> =
        (0..20).map(|_| sent(&proxy.call().1)[0].1).collect();
    assert_eq!(
        endpoints.len(),
        20,
        "every endpoint must get a call before any limit is exceeded"
    );
}

/// The number of calls sent to an endpoint at once, including a trial, after seven initial calls of
/// which the first ended with `outcome` and the others were served.
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
        "the initial limit of a single balancer"
    );
    proxy.now += 5 * MS;
    proxy.end_attempt(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end_attempt(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.advance(1_000 * MS);
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
        "four fifths of seven, rounded, and a trial"
    );
}

/// Makes calls until one is queued, and serves the others after 40 ms. Returns the number sent at
/// once.
fn fill_to_limit(proxy: &mut Proxy) -> usize {
    let mut calls = vec![proxy.call()];
    while !sent(&calls[calls.len() - 1].1).is_empty() {
        calls.push(proxy.call());
    }
    proxy.now += 40 * MS;
    for (call, _) in &calls {
        proxy.end_attempt(*call, 0, Outcome::Served, 40 * MS);
    }
    let (waiting, _) = calls[calls.len() - 1];
    proxy.event(Event::ClientDisconnected { call: waiting });
    proxy.advance(300 * MS);
    calls.len() - 1
}

#[test]
fn the_number_of_steps_is_capped_and_connection_failures_remove_them() {
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
    let sent_per_round: Vec<usize> = (0..30).map(|_| fill_to_limit(&mut proxy)).collect();
    assert!(
        sent_per_round[29] > 13,
        "at the maximum number of steps the concurrency must grow instead: {sent_per_round:?}"
    );
    for _ in 0..9 {
        let (call, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end_attempt(call, 0, Outcome::ConnectFailed, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = fill_to_limit(&mut proxy);
    assert!(
        left <= 3,
        "one step of ten and a trial should be left: {left} after {sent_per_round:?}"
    );
}

#[test]
fn connection_failures_eject_an_endpoint_until_a_trial_after_the_backoff_is_served() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    let healthy = sent(&proxy.end_attempt(call, 0, Outcome::ConnectFailed, MS))[0].1;
    assert_ne!(broken, healthy);
    proxy.now += MS;
    proxy.end_attempt(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(
            proxy.serve(MS),
            Some(healthy),
            "the ejected endpoint is skipped during its backoff"
        );
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, broken)]);
    let (second, actions) = proxy.call();
    assert_eq!(
        sent(&actions)[0].1,
        healthy,
        "only one call may be the trial"
    );
    proxy.end_attempt(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end_attempt(trial, 0, Outcome::Served, MS);
    let mut used: Vec<EndpointId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "the endpoint must be readmitted");
}

/// Connections occasionally break on healthy endpoints too. An endpoint that keeps answering is not
/// ejected for it, and one that does not answer is.
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
        // One connection in eleven breaks.
        let breaks = call % 11 == 0;
        resets += usize::from(breaks);
        let actions = proxy.end_attempt(
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
        ended |= ejected(&proxy.end_attempt(
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
    assert!(
        ended,
        "an endpoint whose connections all break must be ejected"
    );
}

#[test]
fn with_every_endpoint_ejected_calls_are_rejected_with_retry_after() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    // At most half of the endpoints may be ejected, so the list is reduced to the ejected one.
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end_attempt(call, 0, Outcome::Reset, MS);
    proxy.update_list(ListUpdateKind::Full, vec![ready(broken.0)]);
    let (call, actions) = proxy.call();
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject {
            call: id,
            retry_after,
        } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|a| a > 0), "{actions:?}");
}
