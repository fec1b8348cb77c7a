//! Selection draws from sets that are updated incrementally as endpoints change. It must have the
//! same distribution as a scan of all endpoints: each test counts the selected endpoints over many
//! seeds and compares their shares with the probabilities of such a scan.

mod common;
use badgerramp_decisions::*;
use common::*;
use std::collections::BTreeMap;

/// An endpoint as seen by a full scan.
#[derive(Clone, Copy, Debug)]
struct ScannedEndpoint {
    size: f64,
    in_flight: u32,
    full: bool,
}

/// The probability of each endpoint to be selected: the less loaded of two available endpoints,
/// drawn by size without replacement; if that one is full, the same among the endpoints with
/// capacity.
fn probabilities_of_full_scan(
    endpoints: &BTreeMap<EndpointId, ScannedEndpoint>,
) -> BTreeMap<EndpointId, f64> {
    let mut probabilities = BTreeMap::new();
    let all: Vec<(EndpointId, ScannedEndpoint)> =
        endpoints.iter().map(|(&id, &s)| (id, s)).collect();
    let with_capacity: Vec<(EndpointId, ScannedEndpoint)> =
        all.iter().filter(|(_, s)| !s.full).copied().collect();
    let mut redraw_probability = 0.0;
    each_pair(&all, 1.0, |id, endpoint, probability| {
        if endpoint.full {
            redraw_probability += probability;
        } else {
            *probabilities.entry(id).or_insert(0.0) += probability;
        }
    });
    each_pair(&with_capacity, redraw_probability, |id, _, probability| {
        *probabilities.entry(id).or_insert(0.0) += probability;
    });
    probabilities
}

/// Calls `better` for each ordered pair of candidates with the less loaded of the two (the first
/// one on a tie) and the pair's probability times `weight`.
fn each_pair(
    candidates: &[(EndpointId, ScannedEndpoint)],
    weight: f64,
    mut better: impl FnMut(EndpointId, ScannedEndpoint, f64),
) {
    let sum: f64 = candidates.iter().map(|(_, s)| s.size).sum();
    for &(a, first) in candidates {
        let probability = weight * first.size / sum;
        if candidates.len() == 1 {
            better(a, first, probability);
        }
        for &(b, second) in candidates.iter().filter(|(b, _)| *b != a) {
            let probability = probability * second.size / (sum - first.size);
            if second.in_flight < first.in_flight {
                better(b, second, probability);
            } else {
                better(a, first, probability);
            }
        }
    }
}

/// List entries with different sizes.
fn entries_of_different_sizes(count: u32) -> Vec<EndpointEntry> {
    (1..=count)
        .map(|n| EndpointEntry {
            weight: f64::from(1 + n % 4),
            ..ready(n)
        })
        .collect()
}

fn proxy(seed: u64, settings: &Settings, entries: &[EndpointEntry]) -> Proxy {
    let mut proxy = Proxy::new(settings.clone(), 0);
    proxy.balancer = Balancer::new(seed, settings.clone());
    proxy.event(Event::Start);
    proxy.update_list(ListUpdateKind::Full, entries.to_vec());
    proxy
}

/// The total variation distance between counted shares and probabilities.
fn distance(counted: &BTreeMap<EndpointId, u32>, probabilities: &BTreeMap<EndpointId, f64>) -> f64 {
    let total: u32 = counted.values().sum();
    let ids: std::collections::BTreeSet<_> = counted.keys().chain(probabilities.keys()).collect();
    let share = |id| f64::from(counted.get(id).copied().unwrap_or(0)) / f64::from(total);
    ids.into_iter()
        .map(|id| (share(id) - probabilities.get(id).copied().unwrap_or(0.0)).abs())
        .sum::<f64>()
        / 2.0
}

/// The available endpoints as a full scan would see them now.
fn scan(proxy: &Proxy, entries: &[EndpointEntry]) -> BTreeMap<EndpointId, ScannedEndpoint> {
    let mut endpoints = BTreeMap::new();
    for entry in entries {
        let Some(view) = proxy.balancer.view(proxy.now, entry.endpoint) else {
            continue;
        };
        if !view.listed || view.ejected || view.slow_start_capacity < 1.0 {
            continue;
        }
        let full = view.in_flight >= (view.concurrency_limit + 0.5).max(1.0) as u32;
        endpoints.insert(
            entry.endpoint,
            ScannedEndpoint {
                size: entry.weight,
                in_flight: view.in_flight,
                full,
            },
        );
    }
    endpoints
}

/// Selects an endpoint for the next call many times from the same state, with different random
/// numbers, and returns the distance of the result from the probabilities of a full scan.
fn distance_of_next_call(
    settings: &Settings,
    entries: &[EndpointEntry],
    prepare: impl Fn(&mut Proxy),
) -> f64 {
    let mut counted: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut expected: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let (states, calls) = (8, 2_000);
    for seed in 0..states {
        let mut proxy = proxy(seed, settings, entries);
        prepare(&mut proxy);
        let scanned = probabilities_of_full_scan(&scan(&proxy, entries));
        scanned
            .into_iter()
            .for_each(|(id, p)| *expected.entry(id).or_insert(0.0) += p / states as f64);
        for _ in 0..calls {
            // The client disconnects immediately, so that the next call finds the same state.
            let (call, actions) = proxy.call();
            let &[(_, endpoint)] = &sent(&actions)[..] else {
                panic!("not sent: {actions:?}")
            };
            *counted.entry(endpoint).or_default() += 1;
            proxy.event(Event::ClientDisconnected { call });
            proxy.end_attempt(call, 0, Outcome::Cancelled, 0);
        }
    }
    distance(&counted, &expected)
}

fn weighted(balancers: u32) -> Settings {
    Settings {
        balancers,
        weight_source: WeightSource::Nominal,
        ..settings(Idempotency::Idempotent)
    }
}

/// With 16,000 draws over 100 endpoints, chance alone causes a distance of about 0.03.
const NOISE: f64 = 0.05;

#[test]
fn selection_matches_a_full_scan_in_an_idle_fleet_of_unequal_sizes() {
    let distance = distance_of_next_call(&weighted(7), &entries_of_different_sizes(100), |_| {});
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn selection_matches_a_full_scan_with_full_and_busy_endpoints() {
    // A single balancer has an initial limit of seven calls per endpoint. The calls in flight fill
    // some endpoints and leave others idle.
    let distance = distance_of_next_call(&weighted(1), &entries_of_different_sizes(100), |proxy| {
        for _ in 0..480 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn selection_matches_a_full_scan_in_a_nearly_full_fleet() {
    let distance = distance_of_next_call(&weighted(7), &entries_of_different_sizes(100), |proxy| {
        for _ in 0..95 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn selection_matches_a_full_scan_with_draining_and_removed_endpoints() {
    let mut entries = entries_of_different_sizes(100);
    entries
        .iter_mut()
        .step_by(3)
        .for_each(|e| e.status = EndpointStatus::Draining);
    let distance = distance_of_next_call(&weighted(1), &entries, |proxy| {
        let removed = entries_of_different_sizes(100)
            .into_iter()
            .skip(1)
            .step_by(5)
            .map(|e| EndpointEntry {
                status: EndpointStatus::Removed,
                ..e
            });
        proxy.update_list(ListUpdateKind::Delta, removed.collect());
        for _ in 0..200 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

/// The probability to draw an endpoint in slow start is its current share of the capacity, times
/// 1.2. No other calls go to it.
#[test]
fn endpoints_in_slow_start_get_calls_in_proportion_to_their_current_capacity() {
    let settings = weighted(1);
    let (age, rules) = (5_000_000, settings.rules);
    let mut entries = entries_of_different_sizes(100);
    let started = 1_000_000_000 - age;
    entries
        .iter_mut()
        .step_by(4)
        .for_each(|e| e.started = started);
    let capacity_share = rules.slow_start_min_capacity
        + (1.0 - rules.slow_start_min_capacity) * age as f64 / rules.slow_start_duration as f64;
    let (mut slow_start_size, mut total_size) = (0.0, 0.0);
    entries.iter().for_each(|e| {
        let size = e.weight * if e.started > 0 { capacity_share } else { 1.0 };
        total_size += size;
        slow_start_size += if e.started > 0 { size } else { 0.0 };
    });
    let mut proxy = proxy(3, &settings, &entries);
    proxy.now = 1_000_000_000;
    let (mut counted, calls) = (BTreeMap::new(), 20_000);
    for _ in 0..calls {
        let (call, actions) = proxy.call();
        *counted.entry(sent(&actions)[0].1).or_insert(0) += 1;
        proxy.event(Event::ClientDisconnected { call });
        proxy.end_attempt(call, 0, Outcome::Cancelled, 0);
    }
    let probability = slow_start_size / total_size * 1.2;
    let expected_shares: BTreeMap<EndpointId, f64> = entries
        .iter()
        .filter(|e| e.started > 0)
        .map(|e| (e.endpoint, e.weight * capacity_share / slow_start_size))
        .collect();
    let slow_start_counts: BTreeMap<EndpointId, u32> = counted
        .iter()
        .filter(|(id, _)| expected_shares.contains_key(id))
        .map(|(&id, &n)| (id, n))
        .collect();
    let share = f64::from(slow_start_counts.values().sum::<u32>()) / f64::from(calls);
    assert!(
        (share / probability - 1.0).abs() < 0.1,
        "{share} of {probability}"
    );
    assert!(
        distance(&slow_start_counts, &expected_shares) < NOISE,
        "draws must be proportional to size"
    );
}

/// Two random draws alone would rarely hit the endpoint.
#[test]
fn a_call_goes_to_the_only_endpoint_with_capacity_among_thousands() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2_000);
    let in_flight: Vec<(CallId, EndpointId)> =
        (0..2_000).map(|_| sent(&proxy.call().1)[0]).collect();
    let distinct: std::collections::BTreeSet<EndpointId> = in_flight.iter().map(|o| o.1).collect();
    assert_eq!(
        distinct.len(),
        2_000,
        "every endpoint must get a call before any limit is exceeded"
    );
    let (call, endpoint) = in_flight[1_234];
    proxy.end_attempt(call, 0, Outcome::Served, 50 * MS);
    assert_eq!(sent(&proxy.call().1)[0].1, endpoint);
}

/// Guards against the recovery trials of 200 ejected endpoints taking all calls.
#[test]
fn most_calls_go_to_healthy_endpoints_when_half_of_a_large_fleet_is_ejected() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 400);
    let is_failing = |id: EndpointId| id.0.is_multiple_of(2);
    for _ in 0..12_000 {
        let (call, actions) = proxy.call();
        proxy.now += MS;
        let mut in_flight = sent(&actions);
        let mut attempt = 0;
        while let Some((call, endpoint)) = in_flight.pop() {
            let outcome = if is_failing(endpoint) {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            };
            in_flight.extend(
                sent(&proxy.end_attempt(call, attempt, outcome, MS))
                    .into_iter()
                    .filter(|s| s.0 == call),
            );
            attempt += 1;
        }
        proxy.event(Event::ClientDisconnected { call });
    }
    let ejected = (1..=400).filter(|&n| {
        proxy
            .balancer
            .view(proxy.now, EndpointId(n))
            .is_some_and(|v| v.ejected)
    });
    let ejected: Vec<u32> = ejected.collect();
    assert!(
        ejected.iter().all(|n| is_failing(EndpointId(*n))) && ejected.len() > 150,
        "{}",
        ejected.len()
    );
    // Recovery trials take only a share of the calls, however many endpoints are due.
    proxy.now += 10_000 * MS;
    let mut trials = 0;
    for _ in 0..500 {
        let (call, actions) = proxy.call();
        let endpoint = sent(&actions)[0].1;
        trials += u32::from(ejected.contains(&endpoint.0));
        proxy.event(Event::ClientDisconnected { call });
        proxy.end_attempt(call, 0, Outcome::Cancelled, 0);
    }
    assert!((20..100).contains(&trials), "{trials}");
}
