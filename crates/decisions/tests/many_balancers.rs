//! What acts where balancers outnumber endpoints, and each balancer sees little: load probes,
//! groups of endpoints, zones, draws of endpoints in slow start, and load shedding.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

mod common;
use badgerramp_decisions::*;
use common::*;

const HERE: ZoneId = ZoneId(1);

/// A thousand balancers; probes tell what an endpoint holds and cost little.
fn many_balancers(probed: bool) -> Settings {
    let how = if probed {
        ReportMode::OnProbe
    } else {
        ReportMode::Off
    };
    let limits = Limits {
        probes: true,
        ..settings(Idempotency::Idempotent).limits
    };
    Settings {
        balancers: 1_000,
        zone: HERE,
        limits,
        load_reporting: LoadReporting {
            mode: how,
            includes_in_flight: probed,
        },
        costs: Costs {
            probe: 0.01,
            ..Costs::default()
        },
        ..settings(Idempotency::Idempotent)
    }
}

fn probes(actions: &[Action]) -> Vec<EndpointId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Probe { endpoint: server } = a {
                Some(*server)
            } else {
                None
            }
        })
        .collect()
}

fn answer_probe(proxy: &mut Proxy, server: EndpointId, in_flight: Option<f64>) -> Vec<Action> {
    let load = LoadReport {
        in_flight,
        ..LoadReport::default()
    };
    let outcome = if in_flight.is_some() {
        Outcome::Served
    } else {
        Outcome::TimedOut
    };
    proxy.event(Event::ProbeCompleted {
        endpoint: server,
        outcome,
        elapsed: MS,
        load,
    })
}

#[test]
fn a_call_goes_to_the_probed_endpoint_with_fewer_requests_in_flight() {
    for lighter in [0, 1] {
        let mut proxy = Proxy::new(many_balancers(true), 6);
        let (call, actions) = proxy.call();
        let asked = probes(&actions);
        assert!(
            asked.len() == 2 && sent(&actions).is_empty(),
            "two at a charge of a point each: {actions:?}"
        );
        proxy.now += MS;
        let heavier = 1 - lighter;
        assert!(
            sent(&answer_probe(&mut proxy, asked[heavier], Some(3.0))).is_empty(),
            "it waits for the other"
        );
        assert_eq!(
            sent(&answer_probe(&mut proxy, asked[lighter], Some(1.0))),
            [(call, asked[lighter])]
        );
    }
}

/// Between question and answer an endpoint starts anew: the call that asked the warm one is no lot
/// for the cold one, which answers that it has nothing in flight.
#[test]
fn an_endpoint_that_restarts_while_it_is_probed_gets_no_call_for_it() {
    let rules = EndpointRules {
        slow_start_min_capacity: 0.5,
        ..many_balancers(true).rules
    };
    let mut proxy = Proxy::new(
        Settings {
            rules,
            ..many_balancers(true)
        },
        6,
    );
    let (call, actions) = proxy.call();
    let asked = probes(&actions);
    let anew = EndpointEntry {
        started: proxy.now,
        ..ready(asked[0].0)
    };
    proxy.list(ListUpdateKind::Delta, vec![anew]);
    proxy.now += MS;
    answer_probe(&mut proxy, asked[0], Some(0.0));
    assert_eq!(
        sent(&answer_probe(&mut proxy, asked[1], Some(3.0))),
        [(call, asked[1])]
    );
}

#[test]
fn no_probe_is_sent_where_endpoints_outnumber_balancers_or_report_nothing() {
    let few = Settings {
        balancers: 3,
        ..many_balancers(true)
    };
    for settings in [few, many_balancers(false)] {
        let mut proxy = Proxy::new(settings, 6);
        let (_, actions) = proxy.call();
        assert!(
            probes(&actions).is_empty() && sent(&actions).len() == 1,
            "{actions:?}"
        );
    }
}

#[test]
fn an_endpoint_that_does_not_answer_a_probe_in_time_is_taken_for_the_most_loaded() {
    let mut proxy = Proxy::new(many_balancers(true), 6);
    let (call, actions) = proxy.call();
    let asked = probes(&actions);
    proxy.now += MS;
    answer_probe(&mut proxy, asked[1], Some(4.0));
    assert_eq!(
        sent(&proxy.wait(50 * MS)),
        [(call, asked[1])],
        "not later than a small share of the objective"
    );
    let mut proxy = Proxy::new(many_balancers(true), 6);
    let (call, actions) = proxy.call();
    let asked = probes(&actions);
    answer_probe(&mut proxy, asked[0], None);
    assert_eq!(
        sent(&answer_probe(&mut proxy, asked[1], Some(4.0))),
        [(call, asked[1])]
    );
}

#[test]
fn a_call_whose_probed_endpoints_are_all_full_is_queued_probes_again_and_is_ended_in_time() {
    let mut proxy = Proxy::new(many_balancers(true), 6);
    let (call, mut actions) = proxy.call();
    let end = proxy.now + 1_200 * MS;
    let mut rounds = 0;
    while !rejected(&proxy.actions, call) && proxy.now < end {
        assert!(
            sent(&proxy.actions).is_empty(),
            "{} {:?}",
            proxy.now,
            proxy.actions
        );
        for server in probes(&actions) {
            rounds += 1;
            answer_probe(&mut proxy, server, Some(1_000.0));
        }
        actions = proxy.wait(5 * MS);
    }
    assert!(
        rejected(&proxy.actions, call),
        "rejected before its client gives up"
    );
    assert!(
        (4..=40).contains(&rounds),
        "waits double between: {rounds} probes"
    );
}

#[test]
fn invalid_reports_and_probes_of_unknown_endpoints_change_nothing() {
    let mut proxy = Proxy::new(many_balancers(true), 6);
    answer_probe(&mut proxy, EndpointId(99), Some(1.0));
    let (call, actions) = proxy.call();
    for (server, told) in probes(&actions).into_iter().zip([f64::NAN, -7.0]) {
        answer_probe(&mut proxy, server, Some(told));
    }
    proxy.wait(50 * MS);
    assert_eq!(
        sent(&proxy.actions).iter().filter(|s| s.0 == call).count(),
        1
    );
}

#[test]
fn congestion_of_a_whole_group_sheds_load_until_it_ends() {
    let mut proxy = Proxy::new(many_balancers(false), 60);
    let round = |proxy: &mut Proxy, outcome, elapsed| {
        let mut served = 0;
        for _ in 0..150 {
            let (call, actions) = proxy.call();
            let went = sent(&actions).iter().any(|s| s.0 == call);
            served += usize::from(went);
            proxy.now += elapsed;
            if went {
                proxy.end(call, 0, outcome, elapsed);
            }
            proxy.wait(200 * MS);
            for attempt in 1..5 {
                proxy.end(call, attempt, outcome, elapsed);
            }
            proxy.event(Event::ClientDisconnected { call });
        }
        served
    };
    assert_eq!(round(&mut proxy, Outcome::Served, 40 * MS), 150);
    round(&mut proxy, Outcome::TimedOut, 500 * MS);
    let jammed = round(&mut proxy, Outcome::TimedOut, 500 * MS);
    assert!(
        (1..=50).contains(&jammed),
        "some must tell when it is over: {jammed}"
    );
    round(&mut proxy, Outcome::Served, 40 * MS);
    assert!(round(&mut proxy, Outcome::Served, 40 * MS) > 140);
}

#[test]
fn ties_between_unknown_endpoints_go_to_the_kind_with_the_lower_latency() {
    let mut proxy = Proxy::new(many_balancers(false), 0);
    let kind = |i: u32| KindId(i % 2);
    proxy.list(
        ListUpdateKind::Full,
        (1..=200)
            .map(|i| EndpointEntry {
                kind: kind(i),
                ..ready(i)
            })
            .collect(),
    );
    let mut quick = 0;
    for n in 0..120 {
        let (call, actions) = proxy.call();
        let server = sent(&actions)[0].1;
        let slow = kind(server.0) == KindId(1);
        quick += usize::from(n >= 40 && !slow);
        let elapsed = if slow { 150 * MS } else { 40 * MS };
        proxy.now += elapsed;
        proxy.end(call, 0, Outcome::Served, elapsed);
    }
    assert!(
        (53..80).contains(&quick),
        "two random ones are of one kind half the time: {quick} of 80"
    );
}

/// What each does is harmless: it keeps to its own zone while that has room. Together the proxies
/// of a zone that asks for more than its share pushed its endpoints past what they bear, beside
/// others that stood idle.
#[test]
fn proxies_of_one_zone_spread_their_calls_over_the_endpoints_of_all_zones() {
    let zone = |i: u32| ZoneId(i % 3 + 1);
    let mut went = [0; 3];
    for seed in 0..300 {
        let charges = Costs {
            cross_zone: 0.1,
            ..Costs::default()
        };
        let mut proxy = Proxy::new(many_balancers(false), 0);
        proxy.balancer = Balancer::new(
            seed,
            Settings {
                costs: charges,
                ..many_balancers(false)
            },
        );
        proxy.list(
            ListUpdateKind::Full,
            (0..90)
                .map(|i| EndpointEntry {
                    zone: zone(i),
                    ..ready(i)
                })
                .collect(),
        );
        let served = (0..20).filter_map(|_| proxy.serve(40 * MS));
        served.for_each(|server| went[(zone(server.0).0 - 1) as usize] += 1);
    }
    // An even part of 6,000 calls is 2,000; each proxy keeps to about eight endpoints, so parts
    // vary by some 3%.
    assert!(went.iter().all(|n| (1_800..2_200).contains(n)), "{went:?}");
}

#[test]
fn a_thousand_balancers_that_learn_of_a_new_endpoint_together_do_not_overload_it() {
    let mut cold = 0;
    for seed in 0..1_000 {
        let mut balancer = Balancer::new(seed, many_balancers(false));
        let mut actions = Vec::new();
        let mut entries: Vec<EndpointEntry> = (1..=9).map(ready).collect();
        entries.push(EndpointEntry {
            started: 1_000_000,
            ..ready(10)
        });
        balancer.handle(1_000_001, Event::Start, &mut actions);
        balancer.handle(
            1_000_001,
            Event::EndpointList {
                kind: ListUpdateKind::Full,
                entries,
            },
            &mut actions,
        );
        let (call, class) = (CallId(1), ClassId(0));
        let event = Event::Request {
            call,
            class,
            tenant: None,
            time_left: 900 * MS,
            is_retry: false,
            policy: CallPolicy::default(),
        };
        balancer.handle(1_000_002, event, &mut actions);
        cold += sent(&actions)
            .iter()
            .filter(|s| s.1 == EndpointId(10))
            .count();
    }
    // A tenth of a tenth of the capacity is there: 11 of 1,000 calls, where an even share were 100.
    assert!((3..=30).contains(&cold), "{cold}");
}

#[test]
fn retries_of_clients_draw_no_endpoint_in_slow_start() {
    for (resent, expected) in [(false, true), (true, false)] {
        let mut proxy = Proxy::new(many_balancers(false), 0);
        let mut entries: Vec<EndpointEntry> = (1..=4).map(ready).collect();
        entries[3].started = proxy.now - MS;
        proxy.list(ListUpdateKind::Full, entries);
        let mut cold = false;
        for n in 0..400 {
            let (call, class) = (CallId(10_000 + n), ClassId(0));
            let event = Event::Request {
                call,
                class,
                tenant: None,
                time_left: 900 * MS,
                is_retry: resent,
                policy: CallPolicy::default(),
            };
            let actions = proxy.event(event);
            cold |= sent(&actions).iter().any(|s| s.1 == EndpointId(4));
            proxy.now += MS;
            proxy.end(call, 0, Outcome::Served, MS);
        }
        assert_eq!(cold, expected);
    }
}

#[test]
fn a_balancer_prefers_a_few_endpoints_and_two_balancers_different_ones() {
    let few = |seed: u64| {
        let mut proxy = Proxy::new(many_balancers(false), 0);
        proxy.balancer = Balancer::new(seed, many_balancers(false));
        proxy.list(ListUpdateKind::Full, (1..=60).map(ready).collect());
        let used: Vec<EndpointId> = (0..200).filter_map(|_| proxy.serve(40 * MS)).collect();
        assert_eq!(used.len(), 200);
        std::collections::BTreeSet::from_iter(used)
    };
    let (one, other) = (few(1), few(2));
    assert!(
        one.len() <= 12 && other.len() <= 12,
        "connections are kept, not opened for each call: {one:?}"
    );
    assert_ne!(one, other);
    // Many calls at once find those few at their budgets, and go beyond.
    let mut proxy = Proxy::new(many_balancers(false), 60);
    let went: std::collections::BTreeSet<EndpointId> = (0..40)
        .flat_map(|_| sent(&proxy.call().1))
        .map(|s| s.1)
        .collect();
    assert_eq!(went.len(), 40, "a hot balancer starves at no subset");
}

/// Each of hundreds of balancers has one call at an endpoint, within its limit; together they held
/// the endpoints past what they bear until nearly all answers came too late.
#[test]
fn calls_are_shed_on_reported_congestion_and_not_where_few_balancers_share_the_endpoints() {
    let went = |settings: Settings, crowding: f64, pause: Micros| {
        let mut proxy = Proxy::new(settings, 30);
        let answer = |proxy: &mut Proxy, actions: &[Action], call| {
            let Some(&(_, _)) = sent(actions).first() else {
                return false;
            };
            proxy.now += 40 * MS;
            let load = LoadReport {
                in_flight: Some(4.0 * (1.0 + crowding)),
                queued: Some(4.0 * crowding),
                ..LoadReport::default()
            };
            let (attempt, outcome, elapsed) = (0, Outcome::Served, 40 * MS);
            proxy.event(Event::Outcome {
                call,
                attempt,
                outcome,
                elapsed,
                closed: true,
                load,
            });
            true
        };
        // The last of them has just been answered.
        let mut answered = 0;
        while answered < 40 {
            let (call, actions) = proxy.call();
            answered += usize::from(answer(&mut proxy, &actions, call));
            proxy.now += if answered < 40 { 20 * MS } else { pause };
        }
        // All at about one time: none has an answer that another could go by.
        let (mut went, mut at_once) = (0, 0);
        for _ in 0..20 {
            let (call, actions) = proxy.call();
            went += usize::from(!sent(&actions).is_empty());
            at_once += usize::from(!sent(&actions).is_empty() || rejected(&actions, call));
        }
        assert_eq!(at_once, 20, "none waits to be told");
        went
    };
    assert_eq!(went(many_balancers(false), 0.0, 0), 20);
    assert!(
        (2..=18).contains(&went(many_balancers(false), 1.0, 0)),
        "{}",
        went(many_balancers(false), 1.0, 0)
    );
    assert!(went(many_balancers(false), 3.0, 0) <= 1);
    assert_eq!(
        went(many_balancers(false), 3.0, 5_000 * MS),
        20,
        "it is found out when the crowd has gone"
    );
    assert_eq!(
        went(
            Settings {
                balancers: 3,
                ..many_balancers(false)
            },
            3.0,
            0
        ),
        20
    );
}

#[test]
fn a_call_that_may_have_been_executed_is_not_shed() {
    let mut proxy = Proxy::new(many_balancers(false), 30);
    for _ in 0..12 {
        let (call, actions) = proxy.call();
        if !sent(&actions).is_empty() {
            proxy.now += 40 * MS;
            let load = LoadReport {
                in_flight: Some(16.0),
                queued: Some(12.0),
                ..LoadReport::default()
            };
            let (attempt, outcome, elapsed) = (0, Outcome::Error, 40 * MS);
            let actions = proxy.event(Event::Outcome {
                call,
                attempt,
                outcome,
                elapsed,
                closed: false,
                load,
            });
            assert_eq!(sent(&actions).len(), 1, "it goes again: {actions:?}");
        }
        proxy.now += 300 * MS;
    }
}
