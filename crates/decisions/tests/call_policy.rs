//! The policy that an operator sets for one call: attempts, timeouts, hedged requests and retries.

mod common;
use badgerramp_decisions::*;
use common::*;

fn with_hedging(repeat: Idempotency) -> Settings {
    let limits = Limits {
        hedging: true,
        max_attempts: 5,
        ..Settings::default().limits
    };
    Settings {
        limits,
        ..settings(repeat)
    }
}

fn call_with_policy(proxy: &mut Proxy, number: u64, terms: CallPolicy) -> (CallId, Vec<Action>) {
    let call = CallId(1_000 + number);
    let (class, time_left) = (ClassId(0), 1_200 * MS);
    (
        call,
        proxy.event(Event::Request {
            call,
            class,
            tenant: None,
            time_left,
            is_retry: false,
            policy: terms,
        }),
    )
}

fn attempt_deadline(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| {
        if let Action::Send {
            attempt_deadline: until,
            ..
        } = a
        {
            *until
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
    for most in 1..=4 {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 6);
        let (call, actions) = call_with_policy(
            &mut proxy,
            0,
            CallPolicy {
                max_attempts: most,
                ..CallPolicy::default()
            },
        );
        assert_eq!(sent(&actions).len(), 1);
        let mut count = 1;
        while count <= 5 {
            let actions = proxy.end(call, count - 1, Outcome::Error, 1);
            if rejected(&actions, call) {
                break;
            }
            count += sent(&actions).len() as u32;
        }
        assert_eq!(count, most);
    }
}

/// The site's own limit holds whatever a call is given.
#[test]
fn a_call_policy_widens_no_limit_of_the_site() {
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
    let terms = CallPolicy {
        max_attempts: 9,
        hedge: Hedge::After(10 * MS),
        ..CallPolicy::default()
    };
    let (call, actions) = call_with_policy(&mut proxy, 0, terms);
    assert_eq!(sent(&actions).len(), 1);
    assert!(sent(&proxy.wait(100 * MS)).is_empty(), "no hedged request");
    assert!(
        rejected(&proxy.end(call, 0, Outcome::Error, 1), call),
        "no second attempt"
    );
}

#[test]
fn an_attempt_times_out_at_its_own_timeout_or_the_objective() {
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
        "its objective comes first"
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
    let actions = proxy.end(call, 0, Outcome::Error, 1);
    assert!(sent(&actions).is_empty(), "it pauses");
    assert!(sent(&proxy.wait(39 * MS)).is_empty(), "still");
    assert_eq!(sent(&proxy.wait(MS)).len(), 1);
    // One that could not be served in time after its pause is given up before it.
    let (late, _) = call_with_policy(
        &mut proxy,
        1,
        CallPolicy {
            backoff: 490 * MS,
            ..CallPolicy::default()
        },
    );
    assert!(rejected(&proxy.end(late, 0, Outcome::Error, 1), late));
}

#[test]
fn a_client_that_disconnects_ends_a_backoff() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let (call, _) = call_with_policy(
        &mut proxy,
        0,
        CallPolicy {
            backoff: 40 * MS,
            ..CallPolicy::default()
        },
    );
    proxy.end(call, 0, Outcome::Error, 1);
    proxy.event(Event::ClientDisconnected { call });
    assert!(sent(&proxy.wait(100 * MS)).is_empty());
}

#[test]
fn a_hedged_request_is_sent_at_the_set_time_and_never_for_a_call_that_is_not_idempotent() {
    for (repeat, copies) in [
        (Idempotency::Idempotent, 1),
        (Idempotency::NonIdempotent, 0),
    ] {
        let mut proxy = Proxy::new(with_hedging(repeat), 4);
        let terms = CallPolicy {
            hedge: Hedge::After(60 * MS),
            ..CallPolicy::default()
        };
        let (_, actions) = call_with_policy(&mut proxy, 0, terms);
        assert_eq!(wake_after(&actions), 60 * MS);
        assert!(sent(&proxy.wait(59 * MS)).is_empty());
        assert_eq!(sent(&proxy.wait(MS)).len(), copies, "{repeat:?}");
        let (_, _) = call_with_policy(
            &mut proxy,
            1,
            CallPolicy {
                hedge: Hedge::Never,
                ..CallPolicy::default()
            },
        );
        assert!(sent(&proxy.wait(499 * MS)).is_empty(), "none is wanted");
    }
}

#[test]
fn a_hedged_request_follows_the_latency_quantile() {
    let mut proxy = Proxy::new(with_hedging(Idempotency::Idempotent), 4);
    for n in 0..100 {
        // Nine of ten answers come in 20 ms, the others in 100.
        proxy
            .serve(if n % 10 == 9 { 100 * MS } else { 20 * MS })
            .expect("it is sent");
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
        let asked = proxy.now;
        while sent(&proxy.wait(MS)).is_empty() {
            assert!(proxy.now < asked + 500 * MS, "no hedged request");
        }
        let after = proxy.now - asked;
        proxy.event(Event::ClientDisconnected { call });
        after
    };
    let (common, rare) = (after(0, 0.8), after(1, 0.99));
    assert!((20 * MS..30 * MS).contains(&common), "{common}");
    assert!((100 * MS..130 * MS).contains(&rare), "{rare}");
}

#[test]
fn a_call_that_may_have_been_executed_is_not_retried_where_only_proof_allows_it() {
    let terms = CallPolicy {
        retry_on: RetryOn::NotExecuted,
        ..CallPolicy::default()
    };
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 6);
    let (call, _) = call_with_policy(&mut proxy, 0, terms);
    assert_eq!(
        sent(&proxy.end(call, 0, Outcome::ConnectFailed, 1)).len(),
        1
    );
    assert!(rejected(&proxy.end(call, 1, Outcome::Error, 1), call));
}

/// The key that a guarded class goes by is missing: no host could tell its repeat.
#[test]
fn a_call_without_its_key_is_not_idempotent_whatever_its_class() {
    let guarded = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 400 * MS,
    };
    let mut proxy = Proxy::new(with_hedging(guarded), 6);
    let terms = CallPolicy {
        non_idempotent: true,
        hedge: Hedge::After(10 * MS),
        ..CallPolicy::default()
    };
    let (call, _) = call_with_policy(&mut proxy, 0, terms);
    assert!(sent(&proxy.wait(100 * MS)).is_empty(), "no hedged request");
    let actions = proxy.end(call, 0, Outcome::Reset, 1);
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
        sent(&proxy.end(call, 0, Outcome::Error, 1)).len(),
        1,
        "it was harmless when it came"
    );
    let (call, _) = proxy.call();
    assert!(
        failed(&proxy.end(call, 0, Outcome::Error, 1), call),
        "this one is not"
    );
    let (call, actions) = proxy.call_of(1);
    assert_eq!(sent(&actions).len(), 1, "a class that is new");
    assert!(failed(&proxy.end(call, 0, Outcome::Error, 1), call));
}

/// Nor does a site that allows less from now on take anything from them.
#[test]
fn open_calls_keep_the_attempts_and_hedging_they_arrived_with() {
    let mut proxy = Proxy::new(with_hedging(Idempotency::Idempotent), 4);
    let (tried, _) = call_with_policy(
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
    assert_eq!(sent(&proxy.end(tried, 0, Outcome::Error, 1)).len(), 1);
    let copies = proxy.wait(60 * MS);
    assert_eq!(sent(&copies).iter().filter(|s| s.0 == hedged).count(), 1);
    let (call, _) = call_with_policy(
        &mut proxy,
        2,
        CallPolicy {
            max_attempts: 3,
            ..CallPolicy::default()
        },
    );
    assert!(
        rejected(&proxy.end(call, 0, Outcome::Error, 1), call),
        "a new one is the site's"
    );
}

/// Calls that wait in the wait queue when their class goes are answered all the same.
#[test]
fn queued_calls_outlive_their_class() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    let (call, _) = proxy.call();
    let mut changed = settings(Idempotency::NonIdempotent);
    changed.classes[0].latency_objective = 50 * MS;
    proxy.event(Event::Reconfigure {
        settings: Box::new(changed),
        redefined_classes: vec![ClassId(0)],
    });
    let actions = proxy.list(ListUpdateKind::Full, vec![ready(1)]);
    assert_eq!(sent(&actions).iter().filter(|s| s.0 == call).count(), 1);
    let actions = proxy.end(call, 0, Outcome::Error, 1);
    assert!(!failed(&actions, call), "still of the class it came in");
    assert_eq!(sent(&actions).len(), 1, "which may go again");
}

/// A connection may take longer to open than the endpoints remember the key: what goes again tells
/// until when it may start.
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
    assert_eq!(start_by(&actions), Some(None), "nothing binds the first");
    let first = proxy.now;
    let actions = proxy.end(call, 0, Outcome::Error, 1);
    assert_eq!(start_by(&actions), Some(Some(first + window)));
}
