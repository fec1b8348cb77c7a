//! Random sequences of valid events; the invariants are checked on every action.
#![expect(
    clippy::too_many_lines,
    reason = "each test runs one sequence of events from start to end"
)]

mod common;
use badgerramp_decisions::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct CallRecord {
    attempts: Vec<(EndpointId, Option<Outcome>, Micros)>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

#[test]
fn random_events_never_violate_the_rules_of_retries_and_limits() {
    for seed in 0..12 {
        run_random_events(seed);
    }
}

fn run_random_events(seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = move |n: u64| u64::from(random.next_u32()) % n;
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: DedupScope::Cell,
            window: 300 * MS,
        },
        Idempotency::Keyed {
            scope: DedupScope::All,
            window: 300 * MS,
        },
    ];
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes = kinds
        .iter()
        .map(|&idempotency| Class {
            idempotency,
            ..settings.classes[0]
        })
        .collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = 4;
    settings.balancers = 1 + below(5) as u32;
    settings.poll_endpoint_list = seed.is_multiple_of(3);
    let (hedging_allowed, classes) = (settings.limits.hedging, settings.classes.clone());
    let mut proxy = Proxy::new(settings, 0);
    let mut calls: BTreeMap<CallId, CallRecord> = BTreeMap::new();
    let mut list: BTreeMap<EndpointId, EndpointStatus> = BTreeMap::new();
    let mut listed_before: BTreeSet<EndpointId> = BTreeSet::new();
    for step in 0..4_000_u64 {
        proxy.now += below(8) * MS;
        let open: Vec<(CallId, usize)> = calls
            .iter()
            .flat_map(|(&id, c)| {
                (0..c.attempts.len())
                    .filter(|&a| c.attempts[a].1.is_none())
                    .map(move |a| (id, a))
            })
            .collect();
        let actions = match below(10) {
            0..=3 => {
                let class = below(4) as usize;
                let (id, actions) = proxy.call_of_class(class);
                let deadline = proxy.now + 1_200 * MS;
                calls.insert(
                    id,
                    CallRecord {
                        deadline,
                        class,
                        ..CallRecord::default()
                    },
                );
                actions
            }
            4..=7 if !open.is_empty() => {
                let (id, attempt) = open[below(open.len() as u64) as usize];
                let outcome = match below(12) {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::ConnectFailed,
                    3 => Outcome::Reset,
                    4 => Outcome::Unknown,
                    _ => Outcome::Served,
                };
                let record = calls.get_mut(&id).expect("an open call");
                record.attempts[attempt].1 = Some(outcome);
                let elapsed = proxy.now - record.attempts[attempt].2;
                record.ended |= outcome == Outcome::Served;
                proxy.end_attempt(id, attempt as u32, outcome, elapsed)
            }
            8 if step % 7 == 0 => {
                let endpoint = EndpointId(below(8) as u32);
                let state = [
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ][below(4) as usize];
                let started = if below(4) > 0 { 0 } else { proxy.now };
                listed_before.insert(endpoint);
                list.insert(endpoint, state);
                let cell = CellId(endpoint.0 % 2);
                proxy.update_list(
                    ListUpdateKind::Delta,
                    vec![EndpointEntry {
                        endpoint,
                        status: state,
                        started,
                        cell,
                        ..EndpointEntry::default()
                    }],
                )
            }
            8 if step % 31 == 0 => proxy.update_list(ListUpdateKind::Failed, vec![]),
            _ => {
                // Attempts past the client's deadline time out first, as with the proxy's clock.
                let mut all = Vec::new();
                let due: Vec<CallId> = calls
                    .iter()
                    .filter(|(_, c)| !c.ended && c.deadline <= proxy.now)
                    .map(|c| *c.0)
                    .collect();
                for id in due {
                    let in_flight: Vec<usize> = (0..calls[&id].attempts.len())
                        .filter(|&a| calls[&id].attempts[a].1.is_none())
                        .collect();
                    for attempt in in_flight {
                        let record = calls.get_mut(&id).expect("a known call");
                        record.attempts[attempt].1 = Some(Outcome::TimedOut);
                        let elapsed = proxy.now - record.attempts[attempt].2;
                        let actions =
                            proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, elapsed);
                        check(
                            &actions,
                            &mut calls,
                            &list,
                            &listed_before,
                            &classes,
                            hedging_allowed,
                            proxy.now,
                        );
                    }
                }
                all.extend(proxy.event(Event::Timer));
                all
            }
        };
        check(
            &actions,
            &mut calls,
            &list,
            &listed_before,
            &classes,
            hedging_allowed,
            proxy.now,
        );
    }
    // Every call must end eventually.
    for _ in 0..3 {
        proxy.now += 700 * MS;
        let actions = proxy.event(Event::Timer);
        check(
            &actions,
            &mut calls,
            &list,
            &listed_before,
            &classes,
            hedging_allowed,
            proxy.now,
        );
        let open: Vec<CallId> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
        for id in open {
            for attempt in 0..calls[&id].attempts.len() {
                if calls[&id].attempts[attempt].1.is_none() {
                    calls.get_mut(&id).expect("a known call").attempts[attempt].1 =
                        Some(Outcome::TimedOut);
                    let actions =
                        proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, 700 * MS);
                    check(
                        &actions,
                        &mut calls,
                        &list,
                        &listed_before,
                        &classes,
                        hedging_allowed,
                        proxy.now,
                    );
                }
            }
        }
    }
    let unended: Vec<_> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(unended.is_empty(), "seed {seed}: never ended {unended:?}");
    let sent = calls.values().filter(|c| !c.attempts.is_empty()).count();
    assert!(
        sent > 100,
        "seed {seed}: only {sent} calls were sent, too few for a meaningful test"
    );
}

fn check(
    actions: &[Action],
    calls: &mut BTreeMap<CallId, CallRecord>,
    list: &BTreeMap<EndpointId, EndpointStatus>,
    listed_before: &BTreeSet<EndpointId>,
    classes: &[Class],
    hedging_allowed: bool,
    now: Micros,
) {
    for action in actions {
        match *action {
            Action::Send { call, endpoint, .. } => {
                let record = calls.get_mut(&call).expect("a known call");
                assert!(!record.ended, "attempt sent after the end of the call");
                assert!(
                    listed_before.contains(&endpoint) && list[&endpoint] == EndpointStatus::Ready,
                    "attempt sent to an endpoint that is not ready"
                );
                assert!(record.attempts.len() < 4, "more attempts than allowed");
                let in_flight = record.attempts.iter().filter(|a| a.1.is_none()).count();
                assert!(in_flight == 0 || hedging_allowed && in_flight == 1);
                let first = record
                    .attempts
                    .iter()
                    .find(|a| a.1.is_none_or(|o| !o.proves_not_executed()));
                match (classes[record.class].idempotency, first) {
                    (Idempotency::NonIdempotent, Some(_)) => {
                        panic!("a call that is not idempotent was retried")
                    }
                    (Idempotency::Keyed { scope, window }, Some(first)) => {
                        assert!(
                            scope == DedupScope::All || first.0 .0 % 2 == endpoint.0 % 2,
                            "retried outside its dedup scope"
                        );
                        assert!(now <= first.2 + window, "retried after its dedup window");
                    }
                    _ => {}
                }
                record.attempts.push((endpoint, None, now));
            }
            Action::Reject { call, .. } => {
                let record = calls.get_mut(&call).expect("a known call");
                assert!(
                    !std::mem::replace(&mut record.ended, true),
                    "call ended twice"
                );
                let not_executed = record
                    .attempts
                    .iter()
                    .all(|a| a.1.is_some_and(Outcome::proves_not_executed));
                let harmless = matches!(
                    classes[record.class].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DedupScope::All,
                            ..
                        }
                );
                assert!(
                    not_executed || harmless,
                    "rejected although it may have been executed"
                );
            }
            Action::Fail { call } => {
                let record = calls.get_mut(&call).expect("a known call");
                assert!(
                    !std::mem::replace(&mut record.ended, true),
                    "call ended twice"
                );
            }
            Action::Cancel { call, attempt } => {
                assert!(
                    (attempt as usize) < calls[&call].attempts.len(),
                    "unknown attempt cancelled"
                );
            }
            _ => {}
        }
    }
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 5);
        for i in 0..300 {
            proxy.serve((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_and_events_do_not_panic() {
    let mut degenerate = settings(Idempotency::Idempotent);
    degenerate.balancers = 0;
    degenerate.limits.max_attempts = 0;
    degenerate.tenants = vec![Tenant {
        share: 0.0,
        quota: 0.0,
    }];
    degenerate.rules = EndpointRules {
        slow_start_min_capacity: 0.0,
        slow_start_duration: 0,
        overload_multiple: 0.0,
        overload_duration: 0,
        drain_grace: 0,
        list_poll_interval: 0,
    };
    let empty = Settings {
        classes: vec![],
        ..degenerate.clone()
    };
    for settings in [degenerate, empty] {
        let mut proxy = Proxy::new(settings, 2);
        let times = [0, 1, u64::MAX / 2];
        for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let call = CallId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::Request {
                call,
                class,
                definition: None,
                tenant,
                time_left,
                time_until_exit: None,
                is_retry: true,
                policy: CallPolicy::default(),
            };
            proxy.event(event.clone());
            proxy.event(event);
            for attempt in [0, 0, 7] {
                proxy.end_attempt(call, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        proxy.end_attempt(CallId(99), 0, Outcome::Served, 0);
        proxy.event(Event::ClientDisconnected { call: CallId(99) });
        proxy.event(Event::Streaming {
            call: CallId(99),
            attempt: 3,
        });
        let load = LoadReport {
            in_flight: Some(f64::NAN),
            queued: Some(-1.0),
            ..LoadReport::default()
        };
        proxy.event(Event::ProbeCompleted {
            endpoint: EndpointId(9),
            outcome: Outcome::Served,
            elapsed: 0,
            load,
        });
        proxy.update_list(ListUpdateKind::Full, vec![]);
        proxy.now = u64::MAX - 10;
        proxy.update_list(
            ListUpdateKind::Delta,
            vec![EndpointEntry {
                started: u64::MAX,
                ..ready(1)
            }],
        );
        let (call, _) = proxy.call();
        proxy.advance(5);
        proxy.event(Event::ClientDisconnected { call });
    }
}
