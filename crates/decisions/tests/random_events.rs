//! Long random sequences of valid events; the rules are checked on every action.
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

mod common;
use badgerramp_decisions::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct Seen {
    attempts: Vec<(EndpointId, Option<Outcome>, Micros)>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

#[test]
fn the_rules_of_retries_and_limits_hold_on_every_action_of_random_events() {
    for seed in 0..12 {
        run_random_day(seed);
    }
}

fn run_random_day(seed: u64) {
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
        .map(|&repeat| Class {
            idempotency: repeat,
            ..settings.classes[0]
        })
        .collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = 4;
    settings.balancers = 1 + below(5) as u32;
    settings.poll_endpoint_list = seed.is_multiple_of(3);
    let (second_copies, classes) = (settings.limits.hedging, settings.classes.clone());
    let mut proxy = Proxy::new(settings, 0);
    let mut calls: BTreeMap<CallId, Seen> = BTreeMap::new();
    let mut list: BTreeMap<EndpointId, EndpointStatus> = BTreeMap::new();
    let mut known: BTreeSet<EndpointId> = BTreeSet::new();
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
                let (id, actions) = proxy.call_of(class);
                let deadline = proxy.now + 1_200 * MS;
                calls.insert(
                    id,
                    Seen {
                        deadline,
                        class,
                        ..Seen::default()
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
                let seen = calls.get_mut(&id).expect("it is open");
                seen.attempts[attempt].1 = Some(outcome);
                let elapsed = proxy.now - seen.attempts[attempt].2;
                seen.ended |= outcome == Outcome::Served;
                proxy.end(id, attempt as u32, outcome, elapsed)
            }
            8 if step % 7 == 0 => {
                let server = EndpointId(below(8) as u32);
                let state = [
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ][below(4) as usize];
                let started = if below(4) > 0 { 0 } else { proxy.now };
                known.insert(server);
                list.insert(server, state);
                let cell = CellId(server.0 % 2);
                proxy.list(
                    ListUpdateKind::Delta,
                    vec![EndpointEntry {
                        endpoint: server,
                        status: state,
                        started,
                        cell,
                        ..EndpointEntry::default()
                    }],
                )
            }
            8 if step % 31 == 0 => proxy.list(ListUpdateKind::Failed, vec![]),
            _ => {
                // Deadlines first, as the proxy's clock would bring them.
                let mut all = Vec::new();
                let due: Vec<CallId> = calls
                    .iter()
                    .filter(|(_, c)| !c.ended && c.deadline <= proxy.now)
                    .map(|c| *c.0)
                    .collect();
                for id in due {
                    let outs: Vec<usize> = (0..calls[&id].attempts.len())
                        .filter(|&a| calls[&id].attempts[a].1.is_none())
                        .collect();
                    for attempt in outs {
                        let seen = calls.get_mut(&id).expect("known");
                        seen.attempts[attempt].1 = Some(Outcome::TimedOut);
                        let elapsed = proxy.now - seen.attempts[attempt].2;
                        let actions = proxy.end(id, attempt as u32, Outcome::TimedOut, elapsed);
                        check(
                            &actions,
                            &mut calls,
                            &list,
                            &known,
                            &classes,
                            second_copies,
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
            &known,
            &classes,
            second_copies,
            proxy.now,
        );
    }
    // All is answered in the end.
    for _ in 0..3 {
        proxy.now += 700 * MS;
        let actions = proxy.event(Event::Timer);
        check(
            &actions,
            &mut calls,
            &list,
            &known,
            &classes,
            second_copies,
            proxy.now,
        );
        let open: Vec<CallId> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
        for id in open {
            for attempt in 0..calls[&id].attempts.len() {
                if calls[&id].attempts[attempt].1.is_none() {
                    calls.get_mut(&id).expect("known").attempts[attempt].1 =
                        Some(Outcome::TimedOut);
                    let actions = proxy.end(id, attempt as u32, Outcome::TimedOut, 700 * MS);
                    check(
                        &actions,
                        &mut calls,
                        &list,
                        &known,
                        &classes,
                        second_copies,
                        proxy.now,
                    );
                }
            }
        }
    }
    let lost: Vec<_> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(lost.is_empty(), "seed {seed}: never ended {lost:?}");
    let sent = calls.values().filter(|c| !c.attempts.is_empty()).count();
    assert!(
        sent > 100,
        "seed {seed}: a day with too little work to tell anything, {sent} calls sent"
    );
}

fn check(
    actions: &[Action],
    calls: &mut BTreeMap<CallId, Seen>,
    list: &BTreeMap<EndpointId, EndpointStatus>,
    known: &BTreeSet<EndpointId>,
    classes: &[Class],
    second_copies: bool,
    now: Micros,
) {
    for action in actions {
        match *action {
            Action::Send {
                call,
                endpoint: server,
                ..
            } => {
                let seen = calls.get_mut(&call).expect("a call that came in");
                assert!(!seen.ended, "sent after its end");
                assert!(
                    known.contains(&server) && list[&server] == EndpointStatus::Ready,
                    "sent to one not ready"
                );
                assert!(seen.attempts.len() < 4, "more attempts than allowed");
                let out = seen.attempts.iter().filter(|a| a.1.is_none()).count();
                assert!(out == 0 || second_copies && out == 1);
                let first = seen
                    .attempts
                    .iter()
                    .find(|a| a.1.is_none_or(|o| !o.proves_not_executed()));
                match (classes[seen.class].idempotency, first) {
                    (Idempotency::NonIdempotent, Some(_)) => panic!("an unsafe call went again"),
                    (Idempotency::Keyed { scope, window }, Some(first)) => {
                        assert!(
                            scope == DedupScope::All || first.0 .0 % 2 == server.0 % 2,
                            "left its cell"
                        );
                        assert!(now <= first.2 + window, "left its window");
                    }
                    _ => {}
                }
                seen.attempts.push((server, None, now));
            }
            Action::Reject { call, .. } => {
                let seen = calls.get_mut(&call).expect("a call that came in");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
                let proven = seen
                    .attempts
                    .iter()
                    .all(|a| a.1.is_some_and(Outcome::proves_not_executed));
                let harmless = matches!(
                    classes[seen.class].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DedupScope::All,
                            ..
                        }
                );
                assert!(proven || harmless, "rejected though it may have run");
            }
            Action::Fail { call } => {
                let seen = calls.get_mut(&call).expect("a call that came in");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
            }
            Action::Cancel { call, attempt } => {
                assert!(
                    (attempt as usize) < calls[&call].attempts.len(),
                    "no such attempt"
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
fn unexpected_events_change_nothing_and_do_not_panic() {
    let mut odd = settings(Idempotency::Idempotent);
    odd.balancers = 0;
    odd.limits.max_attempts = 0;
    odd.tenants = vec![Tenant {
        share: 0.0,
        quota: 0.0,
    }];
    odd.rules = EndpointRules {
        slow_start_min_capacity: 0.0,
        slow_start_duration: 0,
        overload_multiple: 0.0,
        overload_duration: 0,
        drain_grace: 0,
        list_poll_interval: 0,
    };
    let empty = Settings {
        classes: vec![],
        ..odd.clone()
    };
    for settings in [odd, empty] {
        let mut proxy = Proxy::new(settings, 2);
        let times = [0, 1, u64::MAX / 2];
        for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let call = CallId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::Request {
                call,
                class,
                tenant,
                time_left,
                is_retry: true,
                policy: CallPolicy::default(),
            };
            proxy.event(event.clone());
            proxy.event(event);
            for attempt in [0, 0, 7] {
                proxy.end(call, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        proxy.end(CallId(99), 0, Outcome::Served, 0);
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
        proxy.list(ListUpdateKind::Full, vec![]);
        proxy.now = u64::MAX - 10;
        proxy.list(
            ListUpdateKind::Delta,
            vec![EndpointEntry {
                started: u64::MAX,
                ..ready(1)
            }],
        );
        let (call, _) = proxy.call();
        proxy.wait(5);
        proxy.event(Event::ClientDisconnected { call });
    }
}
