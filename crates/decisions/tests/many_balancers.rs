//! Mechanisms for balancers that outnumber the endpoints and each have few calls: load probes,
//! endpoint groups, zones, draws of endpoints in slow start, and load shedding.
#![expect(
    clippy::too_many_lines,
    reason = "each test runs one sequence of events from start to end"
)]

mod common;
use badgerramp_decisions::*;
use common::*;

const LOCAL_ZONE: ZoneId = ZoneId(1);

/// Settings with a thousand balancers. If `probed`, probes report the calls in flight, at a low
/// cost.
fn many_balancers(probed: bool) -> Settings {
    let mode = if probed {
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
        zone: LOCAL_ZONE,
        limits,
        load_reporting: LoadReporting {
            mode,
            includes_in_flight: probed,
        },
        costs: Costs {
            probe: 0.01,
            ..Costs::default()
        },
        ..settings(Idempotency::Idempotent)
    }
}

fn probed_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Probe { endpoint } = a {
                Some(*endpoint)
            } else {
                None
            }
        })
        .collect()
}

fn answer_probe(proxy: &mut Proxy, endpoint: EndpointId, in_flight: Option<f64>) -> Vec<Action> {
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
        endpoint,
        outcome,
        elapsed: MS,
        load,
    })
}

#[test]
fn a_call_goes_to_the_probed_endpoint_with_fewer_requests_in_flight() {
    for less_loaded in [0, 1] {
        let mut proxy = Proxy::new(many_balancers(true), 6);
        let (call, actions) = proxy.call();
        let probed = probed_endpoints(&actions);
        assert!(
            probed.len() == 2 && sent(&actions).is_empty(),
            "two probes, at a cost of 0.01 each: {actions:?}"
        );
        proxy.now += MS;
        let more_loaded = 1 - less_loaded;
        assert!(
            sent(&answer_probe(&mut proxy, probed[more_loaded], Some(3.0))).is_empty(),
            "the call must wait for the other reply"
        );
        assert_eq!(
            sent(&answer_probe(&mut proxy, probed[less_loaded], Some(1.0))),
            [(call, probed[less_loaded])]
        );
    }
}

/// An endpoint restarts between the probe and its reply, and then reports nothing in flight. A call
/// that probed it while it was warm must not be sent to it in slow start.
#[test]
fn an_endpoint_that_restarts_while_it_is_probed_is_not_selected() {
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
    let probed = probed_endpoints(&actions);
    let restarted = EndpointEntry {
        started: proxy.now,
        ..ready(probed[0].0)
    };
    proxy.update_list(ListUpdateKind::Delta, vec![restarted]);
    proxy.now += MS;
    answer_probe(&mut proxy, probed[0], Some(0.0));
    assert_eq!(
        sent(&answer_probe(&mut proxy, probed[1], Some(3.0))),
        [(call, probed[1])]
    );
}

#[test]
fn no_probe_is_sent_if_endpoints_outnumber_balancers_or_report_nothing() {
    let few_balancers = Settings {
        balancers: 3,
        ..many_balancers(true)
    };
    for settings in [few_balancers, many_balancers(false)] {
        let mut proxy = Proxy::new(settings, 6);
        let (_, actions) = proxy.call();
        assert!(
            probed_endpoints(&actions).is_empty() && sent(&actions).len() == 1,
            "{actions:?}"
        );
    }
}

#[test]
fn an_endpoint_that_does_not_answer_a_probe_in_time_counts_as_the_most_loaded() {
    let mut proxy = Proxy::new(many_balancers(true), 6);
    let (call, actions) = proxy.call();
    let probed = probed_endpoints(&actions);
    proxy.now += MS;
    answer_probe(&mut proxy, probed[1], Some(4.0));
    assert_eq!(
        sent(&proxy.advance(50 * MS)),
        [(call, probed[1])],
        "the probe timeout is a small share of the objective"
    );
    let mut proxy = Proxy::new(many_balancers(true), 6);
    let (call, actions) = proxy.call();
    let probed = probed_endpoints(&actions);
    answer_probe(&mut proxy, probed[0], None);
    assert_eq!(
        sent(&answer_probe(&mut proxy, probed[1], Some(4.0))),
        [(call, probed[1])]
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
        for endpoint in probed_endpoints(&actions) {
            rounds += 1;
            answer_probe(&mut proxy, endpoint, Some(1_000.0));
        }
        actions = proxy.advance(5 * MS);
    }
    assert!(
        rejected(&proxy.actions, call),
        "the call must be rejected before its deadline"
    );
    assert!(
        (4..=40).contains(&rounds),
        "the wait must double with each round: {rounds} probes"
    );
}

#[test]
fn invalid_reports_and_probes_of_unknown_endpoints_change_nothing() {
    let mut proxy = Proxy::new(many_balancers(true), 6);
    answer_probe(&mut proxy, EndpointId(99), Some(1.0));
    let (call, actions) = proxy.call();
    for (endpoint, in_flight) in probed_endpoints(&actions).into_iter().zip([f64::NAN, -7.0]) {
        answer_probe(&mut proxy, endpoint, Some(in_flight));
    }
    proxy.advance(50 * MS);
    assert_eq!(
        sent(&proxy.actions).iter().filter(|s| s.0 == call).count(),
        1
    );
}

#[test]
fn congestion_of_a_group_reduces_its_calls_until_it_ends() {
    let mut proxy = Proxy::new(many_balancers(false), 60);
    let run_round = |proxy: &mut Proxy, outcome, elapsed| {
        let mut sent_count = 0;
        for _ in 0..150 {
            let (call, actions) = proxy.call();
            let is_sent = sent(&actions).iter().any(|s| s.0 == call);
            sent_count += usize::from(is_sent);
            proxy.now += elapsed;
            if is_sent {
                proxy.end_attempt(call, 0, outcome, elapsed);
            }
            proxy.advance(200 * MS);
            for attempt in 1..5 {
                proxy.end_attempt(call, attempt, outcome, elapsed);
            }
            proxy.event(Event::ClientDisconnected { call });
        }
        sent_count
    };
    assert_eq!(run_round(&mut proxy, Outcome::Served, 40 * MS), 150);
    run_round(&mut proxy, Outcome::TimedOut, 500 * MS);
    let sent_while_congested = run_round(&mut proxy, Outcome::TimedOut, 500 * MS);
    assert!(
        (1..=50).contains(&sent_while_congested),
        "some calls must be sent to detect the end of the congestion: {sent_while_congested}"
    );
    run_round(&mut proxy, Outcome::Served, 40 * MS);
    assert!(run_round(&mut proxy, Outcome::Served, 40 * MS) > 140);
}

#[test]
fn ties_between_unknown_endpoints_go_to_the_kind_with_the_lower_latency() {
    let mut proxy = Proxy::new(many_balancers(false), 0);
    let kind = |i: u32| KindId(i % 2);
    proxy.update_list(
        ListUpdateKind::Full,
        (1..=200)
            .map(|i| EndpointEntry {
                kind: kind(i),
                ..ready(i)
            })
            .collect(),
    );
    let mut sent_to_fast_kind = 0;
    for n in 0..120 {
        let (call, actions) = proxy.call();
        let endpoint = sent(&actions)[0].1;
        let slow = kind(endpoint.0) == KindId(1);
        sent_to_fast_kind += usize::from(n >= 40 && !slow);
        let elapsed = if slow { 150 * MS } else { 40 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
    }
    assert!(
        (53..80).contains(&sent_to_fast_kind),
        "two random endpoints are of the same kind half of the time: {sent_to_fast_kind} of 80"
    );
}

/// Guards against a preference for the own zone. When the proxies of one zone demanded more than
/// its share of the capacity, the preference overloaded that zone's endpoints while those of other
/// zones were idle.
#[test]
fn proxies_of_one_zone_spread_their_calls_over_the_endpoints_of_all_zones() {
    let zone = |i: u32| ZoneId(i % 3 + 1);
    let mut sent_by_zone = [0; 3];
    for seed in 0..300 {
        let costs = Costs {
            cross_zone: 0.1,
            ..Costs::default()
        };
        let mut proxy = Proxy::new(many_balancers(false), 0);
        proxy.balancer = Balancer::new(
            seed,
            Settings {
                costs,
                ..many_balancers(false)
            },
        );
        proxy.update_list(
            ListUpdateKind::Full,
            (0..90)
                .map(|i| EndpointEntry {
                    zone: zone(i),
                    ..ready(i)
                })
                .collect(),
        );
        let served = (0..20).filter_map(|_| proxy.serve(40 * MS));
        served.for_each(|endpoint| sent_by_zone[(zone(endpoint.0).0 - 1) as usize] += 1);
    }
    // An even share of the 6,000 calls is 2,000. Each proxy uses about eight endpoints, so the
    // shares vary by about 3%.
    assert!(
        sent_by_zone.iter().all(|n| (1_800..2_200).contains(n)),
        "{sent_by_zone:?}"
    );
}

#[test]
fn a_thousand_balancers_that_learn_of_a_new_endpoint_at_once_do_not_overload_it() {
    let mut sent_to_new = 0;
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
            definition: None,
            tenant: None,
            time_left: 900 * MS,
            time_until_exit: None,
            is_retry: false,
            policy: CallPolicy::default(),
        };
        balancer.handle(1_000_002, event, &mut actions);
        sent_to_new += sent(&actions)
            .iter()
            .filter(|s| s.1 == EndpointId(10))
            .count();
    }
    // The new endpoint has a tenth of its capacity, and so about 1% of the total: 11 of 1,000
    // calls, where an even share would be 100.
    assert!((3..=30).contains(&sent_to_new), "{sent_to_new}");
}

#[test]
fn client_retries_draw_no_endpoint_in_slow_start() {
    for (is_retry, expected) in [(false, true), (true, false)] {
        let mut proxy = Proxy::new(many_balancers(false), 0);
        let mut entries: Vec<EndpointEntry> = (1..=4).map(ready).collect();
        entries[3].started = proxy.now - MS;
        proxy.update_list(ListUpdateKind::Full, entries);
        let mut sent_to_new = false;
        for n in 0..400 {
            let (call, class) = (CallId(10_000 + n), ClassId(0));
            let event = Event::Request {
                call,
                class,
                definition: None,
                tenant: None,
                time_left: 900 * MS,
                time_until_exit: None,
                is_retry,
                policy: CallPolicy::default(),
            };
            let actions = proxy.event(event);
            sent_to_new |= sent(&actions).iter().any(|s| s.1 == EndpointId(4));
            proxy.now += MS;
            proxy.end_attempt(call, 0, Outcome::Served, MS);
        }
        assert_eq!(sent_to_new, expected);
    }
}

#[test]
fn each_balancer_prefers_a_few_endpoints_and_balancers_differ() {
    let used_endpoints = |seed: u64| {
        let mut proxy = Proxy::new(many_balancers(false), 0);
        proxy.balancer = Balancer::new(seed, many_balancers(false));
        proxy.update_list(ListUpdateKind::Full, (1..=60).map(ready).collect());
        let used: Vec<EndpointId> = (0..200).filter_map(|_| proxy.serve(40 * MS)).collect();
        assert_eq!(used.len(), 200);
        std::collections::BTreeSet::from_iter(used)
    };
    let (one, other) = (used_endpoints(1), used_endpoints(2));
    assert!(
        one.len() <= 12 && other.len() <= 12,
        "connections must be reused: {one:?}"
    );
    assert_ne!(one, other);
    // Many concurrent calls find the preferred endpoints full and go to others.
    let mut proxy = Proxy::new(many_balancers(false), 60);
    let endpoints: std::collections::BTreeSet<EndpointId> = (0..40)
        .flat_map(|_| sent(&proxy.call().1))
        .map(|s| s.1)
        .collect();
    assert_eq!(
        endpoints.len(),
        40,
        "a busy balancer must not be confined to its preferred endpoints"
    );
}

/// Guards against overload that no balancer sees: each of hundreds of balancers had one call at an
/// endpoint, within its limit, and together they overloaded the endpoints until nearly all answers
/// were late.
#[test]
fn reported_congestion_sheds_calls_only_with_many_balancers() {
    let calls_sent = |settings: Settings, congestion: f64, pause: Micros| {
        let mut proxy = Proxy::new(settings, 30);
        let answer = |proxy: &mut Proxy, actions: &[Action], call| {
            let Some(&(_, _)) = sent(actions).first() else {
                return false;
            };
            proxy.now += 40 * MS;
            let load = LoadReport {
                in_flight: Some(4.0 * (1.0 + congestion)),
                queued: Some(4.0 * congestion),
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
        // 40 calls are answered, the last of them `pause` before the calls that follow.
        let mut answered = 0;
        while answered < 40 {
            let (call, actions) = proxy.call();
            answered += usize::from(answer(&mut proxy, &actions, call));
            proxy.now += if answered < 40 { 20 * MS } else { pause };
        }
        // The calls arrive at the same time, so none is influenced by another's answer.
        let (mut sent_count, mut ended_at_once) = (0, 0);
        for _ in 0..20 {
            let (call, actions) = proxy.call();
            sent_count += usize::from(!sent(&actions).is_empty());
            ended_at_once += usize::from(!sent(&actions).is_empty() || rejected(&actions, call));
        }
        assert_eq!(
            ended_at_once, 20,
            "every call must be sent or rejected immediately"
        );
        sent_count
    };
    assert_eq!(calls_sent(many_balancers(false), 0.0, 0), 20);
    assert!(
        (2..=18).contains(&calls_sent(many_balancers(false), 1.0, 0)),
        "{}",
        calls_sent(many_balancers(false), 1.0, 0)
    );
    assert!(calls_sent(many_balancers(false), 3.0, 0) <= 1);
    assert_eq!(
        calls_sent(many_balancers(false), 3.0, 5_000 * MS),
        20,
        "expired load reports must not shed calls"
    );
    assert_eq!(
        calls_sent(
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
            assert_eq!(
                sent(&actions).len(),
                1,
                "the call must be retried: {actions:?}"
            );
        }
        proxy.now += 300 * MS;
    }
}
