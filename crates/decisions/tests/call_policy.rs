//! Call policies set by the operator: attempts, timeouts, hedged requests and retries.

mod common;
use badgerramp_decisions::*;
use common::*;

fn with_hedging(idempotency: Idempotency) -> Settings {
    let limits = Limits {
        hedging: true,
        max_attempts: 5,
        ..Settings::default().limits
    };
    Settings {
        limits,
        ..settings(idempotency)
    }
}

fn call_with_policy(proxy: &mut Proxy, number: u64, policy: CallPolicy) -> (CallId, Vec<Action>) {
    let call = CallId(1_000 + number);
    let (class, time_left) = (ClassId(0), 1_200 * MS);
    (
        call,
        proxy.event(Event::Request {
            call,
            class,
            definition: None,
            tenant: None,
            time_left,
            time_until_exit: None,
            is_retry: false,
            policy,
        }),
    )
}

fn attempt_deadline(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| {
        if let Action::Send {
            attempt_deadline, ..
        } = a
        {
            *attempt_deadline
        } else {
            None
        }
    })
}

fn wake_after(actions: &[Action]) -> Micros {
    let after = actions.iter().find_map(|a| {
        if let Action::Wake { after } = a {
            Some(*after)
        } else {
            None
        }
    });
    after.expect("a timer")
}

#[test]
fn a_call_has_as_many_attempts_as_its_policy_allows() {
    for max_attempts in 1..=4 {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 6);
        let (call, actions) = call_with_policy(
            &mut proxy,
            0,
            CallPolicy {
                max_attempts,
                ..CallPolicy::default()
            },
        );
        assert_eq!(sent(&actions).len(), 1);
        let mut count = 1;
        while count <= 5 {
            let actions = proxy.end_attempt(call, count - 1, Outcome::Error, 1);
            if rejected(&actions, call) {
                break;
            }
            count += sent(&actions).len() as u32;
        }
        assert_eq!(count, max_attempts);
    }
}

/// The limits of the site apply regardless of the call's policy.
#[test]
fn a_call_policy_cannot_exceed_the_limits_of_the_site() {
    let limits = Limits {
        max_attempts: 1,
        hedging: false,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            limits,
            ..settings(Idempotency::Idempotent)
        },
        4,
    );
    let policy = CallPolicy {
        max_attempts: 9,
        hedge: Hedge::After(10 * MS),
        ..CallPolicy::default()
    };
    let (call, actions) = call_with_policy(&mut proxy, 0, policy);
    assert_eq!(sent(&actions).len(), 1);
    assert!(
        sent(&proxy.advance(100 * MS)).is_empty(),
        "no hedged request"
    );
    assert!(
        rejected(&proxy.end_attempt(call, 0, Outcome::Error, 1), call),
        "no second attempt"
    );
}

#[test]
fn an_attempt_times_out_at_the_earlier_of_its_timeout_and_the_objective() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let (_, actions) = call_with_policy(
        &mut proxy,
        0,
        CallPolicy {
            attempt_timeout: 70 * MS,
            ..CallPolicy::default()
        },
    );
    assert_eq!(attempt_deadline(&actions), Some(proxy.now + 70 * MS));
    let (_, actions) = call_with_policy(
        &mut proxy,
        1,
        CallPolicy {
            attempt_timeout: 900 * MS,
            ..CallPolicy::default()
        },
    );
    assert_eq!(
        attempt_deadline(&actions),
        Some(proxy.now + 500 * MS),
        "the objective precedes the attempt timeout"
    );
}

#[test]
fn a_retry_waits_for_its_backoff() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let (call, _) = call_with_policy(
        &mut proxy,
        0,
        CallPolicy {
            backoff: 40 * MS,
            ..CallPolicy::default()
        },
    );
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 1);
    assert!(
        sent(&actions).is_empty(),
        "the retry must wait for its backoff"
    );
    assert!(
        sent(&proxy.advance(39 * MS)).is_empty(),
        "the backoff is not over yet"
    );
    assert_eq!(sent(&proxy.advance(MS)).len(), 1);
    // A call that could not be served in time after its backoff is ended immediately.
    let (unservable, _) = call_with_policy(
        &mut proxy,
        1,
        CallPolicy {
            backoff: 490 * MS,
            ..CallPolicy::default()
        },
    );
    assert!(rejected(
        &proxy.end_attempt(unservable, 0, Outcome::Error, 1),
        unservable
    ));
}

#[test]
fn a_call_in_backoff_is_not_retried_after_its_client_disconnects() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let (call, _) = call_with_policy(
        &mut proxy,
        0,
        CallPolicy {
            backoff: 40 * MS,
            ..CallPolicy::default()
        },
    );
    proxy.end_attempt(call, 0, Outcome::Error, 1);
    proxy.event(Event::ClientDisconnected { call });
    assert!(sent(&proxy.advance(100 * MS)).is_empty());
}

#[test]
fn a_hedged_request_is_sent_at_the_set_time_and_never_for_a_call_that_is_not_idempotent() {
    for (idempotency, expected_hedges) in [
        (Idempotency::Idempotent, 1),
        (Idempotency::NonIdempotent, 0),
    ] {
        let mut proxy = Proxy::new(with_hedging(idempotency), 4);
        let policy = CallPolicy {
            hedge: Hedge::After(60 * MS),
            ..CallPolicy::default()
        };
        let (_, actions) = call_with_policy(&mut proxy, 0, policy);
        assert_eq!(wake_after(&actions), 60 * MS);
        assert!(sent(&proxy.advance(59 * MS)).is_empty());
        assert_eq!(
            sent(&proxy.advance(MS)).len(),
            expected_hedges,
            "{idempotency:?}"
        );
        let (_, _) = call_with_policy(
            &mut proxy,
            1,
            CallPolicy {
                hedge: Hedge::Never,
                ..CallPolicy::default()
            },
        );
        assert!(
            sent(&proxy.advance(499 * MS)).is_empty(),
            "the policy forbids hedging"
        );
    }
}

#[test]
fn a_hedged_request_follows_the_latency_quantile() {
    let mut proxy = Proxy::new(with_hedging(Idempotency::Idempotent), 4);
    for n in 0..100 {
        // Nine out of ten answers take 20 ms, the others 100 ms.
        proxy
            .serve(if n % 10 == 9 { 100 * MS } else { 20 * MS })
            .expect("the call is sent");
    }
    let mut after = |number, share| {
        let (call, _) = call_with_policy(
            &mut proxy,
            number,
            CallPolicy {
                hedge: Hedge::Quantile(share),
                ..CallPolicy::default()
            },
        );
        let sent_at = proxy.now;
        while sent(&proxy.advance(MS)).is_empty() {
            assert!(proxy.now < sent_at + 500 * MS, "no hedged request");
        }
        let after = proxy.now - sent_at;
        proxy.event(Event::ClientDisconnected { call });
        after
    };
    let (p80, p99) = (after(0, 0.8), after(1, 0.99));
    assert!((20 * MS..30 * MS).contains(&p80), "{p80}");
    assert!((100 * MS..130 * MS).contains(&p99), "{p99}");
}

#[test]
fn a_possibly_executed_call_is_not_retried_under_retry_on_not_executed() {
    let policy = CallPolicy {
        retry_on: RetryOn::NotExecuted,
        ..CallPolicy::default()
    };
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 6);
    let (call, _) = call_with_policy(&mut proxy, 0, policy);
    assert_eq!(
        sent(&proxy.end_attempt(call, 0, Outcome::ConnectFailed, 1)).len(),
        1
    );
    assert!(rejected(
        &proxy.end_attempt(call, 1, Outcome::Error, 1),
        call
    ));
}

/// Without its idempotency key, no endpoint could recognise a repeat of a keyed call.
#[test]
fn a_call_without_its_key_is_not_idempotent_regardless_of_its_class() {
    let keyed = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 400 * MS,
    };
    let mut proxy = Proxy::new(with_hedging(keyed), 6);
    let policy = CallPolicy {
        non_idempotent: true,
        hedge: Hedge::After(10 * MS),
        ..CallPolicy::default()
    };
    let (call, _) = call_with_policy(&mut proxy, 0, policy);
    assert!(
        sent(&proxy.advance(100 * MS)).is_empty(),
        "no hedged request"
    );
    let actions = proxy.end_attempt(call, 0, Outcome::Reset, 1);
    assert!(failed(&actions, call) && sent(&actions).is_empty());
}

#[test]
fn open_calls_end_under_the_settings_they_arrived_under() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let (call, _) = proxy.call();
    let mut changed = settings(Idempotency::NonIdempotent);
    changed.classes.push(Class {
        latency_objective: 100 * MS,
        deadline: 200 * MS,
        ..changed.classes[0]
    });
    proxy.event(Event::Reconfigure {
        settings: Box::new(changed),
        redefined_classes: vec![ClassId(0)],
    });
    assert_eq!(
        sent(&proxy.end_attempt(call, 0, Outcome::Error, 1)).len(),
        1,
        "the call was idempotent on arrival"
    );
    let (call, _) = proxy.call();
    assert!(
        failed(&proxy.end_attempt(call, 0, Outcome::Error, 1), call),
        "new calls are not idempotent"
    );
    let (call, actions) = proxy.call_of_class(1);
    assert_eq!(sent(&actions).len(), 1, "calls of the new class are sent");
    assert!(failed(&proxy.end_attempt(call, 0, Outcome::Error, 1), call));
}

/// Tighter limits of the site do not apply to calls that are already open.
#[test]
fn open_calls_keep_the_attempts_and_hedging_they_arrived_with() {
    let mut proxy = Proxy::new(with_hedging(Idempotency::Idempotent), 4);
    let (retried, _) = call_with_policy(
        &mut proxy,
        0,
        CallPolicy {
            max_attempts: 3,
            ..CallPolicy::default()
        },
    );
    let (hedged, _) = call_with_policy(
        &mut proxy,
        1,
        CallPolicy {
            hedge: Hedge::After(60 * MS),
            ..CallPolicy::default()
        },
    );
    let limits = Limits {
        max_attempts: 1,
        hedging: false,
        ..Settings::default().limits
    };
    let changed = Settings {
        limits,
        ..settings(Idempotency::Idempotent)
    };
    proxy.event(Event::Reconfigure {
        settings: Box::new(changed),
        redefined_classes: Vec::new(),
    });
    assert_eq!(
        sent(&proxy.end_attempt(retried, 0, Outcome::Error, 1)).len(),
        1
    );
    let actions = proxy.advance(60 * MS);
    assert_eq!(sent(&actions).iter().filter(|s| s.0 == hedged).count(), 1);
    let (call, _) = call_with_policy(
        &mut proxy,
        2,
        CallPolicy {
            max_attempts: 3,
            ..CallPolicy::default()
        },
    );
    assert!(
        rejected(&proxy.end_attempt(call, 0, Outcome::Error, 1), call),
        "the new limits apply to new calls"
    );
}

/// Queued calls are still served when their class is redefined.
#[test]
fn queued_calls_keep_their_class_when_it_is_redefined() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    let (call, _) = proxy.call();
    let mut changed = settings(Idempotency::NonIdempotent);
    changed.classes[0].latency_objective = 50 * MS;
    proxy.event(Event::Reconfigure {
        settings: Box::new(changed),
        redefined_classes: vec![ClassId(0)],
    });
    let actions = proxy.update_list(ListUpdateKind::Full, vec![ready(1)]);
    assert_eq!(sent(&actions).iter().filter(|s| s.0 == call).count(), 1);
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 1);
    assert!(!failed(&actions, call), "the call keeps its class");
    assert_eq!(
        sent(&actions).len(),
        1,
        "calls of that class may be retried"
    );
}

/// A call that was admitted before the settings changed starts after that. It was handled as what its class id meant then,
/// which could be another class.
#[test]
fn a_call_follows_the_definition_that_it_was_admitted_under() {
    for admitted_as in [
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: DedupScope::Zone,
            window: 800 * MS,
        },
    ] {
        let mut proxy = Proxy::new(settings(admitted_as), 0);
        let zones = [1, 2, 3].map(|zone| EndpointEntry {
            zone: ZoneId(zone),
            ..ready(zone)
        });
        proxy.update_list(ListUpdateKind::Full, zones.to_vec());
        let definition = settings(admitted_as).classes[0];
        proxy.event(Event::Reconfigure {
            settings: Box::new(settings(Idempotency::Idempotent)),
            redefined_classes: vec![ClassId(0)],
        });
        let call = CallId(1_000);
        let actions = proxy.event(Event::Request {
            call,
            class: ClassId(0),
            definition: Some(definition),
            tenant: None,
            time_left: 1_200 * MS,
            time_until_exit: None,
            is_retry: false,
            policy: CallPolicy::default(),
        });
        let first = sent(&actions)[0].1;
        let actions = proxy.end_attempt(call, 0, Outcome::Error, 1);
        assert!(!rejected(&actions, call), "{admitted_as:?}");
        // Each endpoint has a zone of its own, so that a repeat can go to the same endpoint at most.
        let is_repeated = sent(&actions).iter().any(|send| send.1 == first);
        let is_elsewhere = sent(&actions).iter().any(|send| send.1 != first);
        let is_keyed = admitted_as != Idempotency::NonIdempotent;
        assert_eq!(
            (is_repeated, is_elsewhere),
            (is_keyed, false),
            "{admitted_as:?}"
        );
    }
}

/// Opening a connection may take longer than the endpoints keep the idempotency key, so the action
/// of a retry carries the latest time at which it may start.
#[test]
fn a_retried_keyed_call_must_start_within_its_window() {
    let start_by = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Send { start_by, .. } = a {
                Some(*start_by)
            } else {
                None
            }
        })
    };
    let window = 800 * MS;
    let mut proxy = Proxy::new(
        settings(Idempotency::Keyed {
            scope: DedupScope::All,
            window,
        }),
        4,
    );
    let (call, actions) = call_with_policy(&mut proxy, 0, CallPolicy::default());
    assert_eq!(
        start_by(&actions),
        Some(None),
        "the first attempt has no time limit"
    );
    let first = proxy.now;
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 1);
    assert_eq!(start_by(&actions), Some(Some(first + window)));
}
