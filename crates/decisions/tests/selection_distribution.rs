//! A selection draws from sets that are kept up to date as endpoints change. Its distribution is
//! that of a scan of all endpoints: each test counts where calls go over many seeds and compares
//! that with the shares that such a scan gives.

mod common;
use badgerramp_decisions::*;
use common::*;
use std::collections::BTreeMap;

/// An endpoint as a walk sees it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    size: f64,
    in_flight: u32,
    full: bool,
}

/// The chance of each endpoint to be picked: the less loaded of two drawn by size without putting
/// back, of all that are up; if it is full, of those with room.
fn chances_of_full_scan(servers: &BTreeMap<EndpointId, Seen>) -> BTreeMap<EndpointId, f64> {
    let mut chances = BTreeMap::new();
    let all: Vec<(EndpointId, Seen)> = servers.iter().map(|(&id, &s)| (id, s)).collect();
    let room: Vec<(EndpointId, Seen)> = all.iter().filter(|(_, s)| !s.full).copied().collect();
    let mut redrawn = 0.0;
    each_pair(&all, 1.0, |id, seen, chance| {
        if seen.full {
            redrawn += chance;
        } else {
            *chances.entry(id).or_insert(0.0) += chance;
        }
    });
    each_pair(&room, redrawn, |id, _, chance| {
        *chances.entry(id).or_insert(0.0) += chance;
    });
    chances
}

/// Every ordered pair with its chance, and the better of the two; the first of equals.
fn each_pair(
    among: &[(EndpointId, Seen)],
    whole: f64,
    mut better: impl FnMut(EndpointId, Seen, f64),
) {
    let sum: f64 = among.iter().map(|(_, s)| s.size).sum();
    for &(a, first) in among {
        let chance = whole * first.size / sum;
        if among.len() == 1 {
            better(a, first, chance);
        }
        for &(b, second) in among.iter().filter(|(b, _)| *b != a) {
            let chance = chance * second.size / (sum - first.size);
            if second.in_flight < first.in_flight {
                better(b, second, chance);
            } else {
                better(a, first, chance);
            }
        }
    }
}

/// Endpoints of sizes that differ.
fn sized(count: u32) -> Vec<EndpointEntry> {
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
    proxy.list(ListUpdateKind::Full, entries.to_vec());
    proxy
}

/// Half the sum of all differences, between shares counted and chances.
fn distance(counted: &BTreeMap<EndpointId, u32>, chances: &BTreeMap<EndpointId, f64>) -> f64 {
    let total: u32 = counted.values().sum();
    let ids: std::collections::BTreeSet<_> = counted.keys().chain(chances.keys()).collect();
    let share = |id| f64::from(counted.get(id).copied().unwrap_or(0)) / f64::from(total);
    ids.into_iter()
        .map(|id| (share(id) - chances.get(id).copied().unwrap_or(0.0)).abs())
        .sum::<f64>()
        / 2.0
}

/// What a walk would see of the fleet now.
fn seen(proxy: &Proxy, entries: &[EndpointEntry]) -> BTreeMap<EndpointId, Seen> {
    let mut servers = BTreeMap::new();
    for entry in entries {
        let Some(view) = proxy.balancer.view(proxy.now, entry.endpoint) else {
            continue;
        };
        if !view.listed || view.ejected || view.slow_start_capacity < 1.0 {
            continue;
        }
        let full = view.in_flight >= (view.concurrency_limit + 0.5).max(1.0) as u32;
        servers.insert(
            entry.endpoint,
            Seen {
                size: entry.weight,
                in_flight: view.in_flight,
                full,
            },
        );
    }
    servers
}

/// Where the next call goes in many copies of one proxy that differ in what they draw from now on,
/// against the walk.
fn next_call(settings: &Settings, entries: &[EndpointEntry], prepare: impl Fn(&mut Proxy)) -> f64 {
    let mut counted: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut chances: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let (states, calls) = (8, 2_000);
    for seed in 0..states {
        let mut proxy = proxy(seed, settings, entries);
        prepare(&mut proxy);
        let walked = chances_of_full_scan(&seen(&proxy, entries));
        walked
            .into_iter()
            .for_each(|(id, chance)| *chances.entry(id).or_insert(0.0) += chance / states as f64);
        for _ in 0..calls {
            // The call leaves no trace: it is withdrawn at once, so that the next finds the same
            // state.
            let (call, actions) = proxy.call();
            let &[(_, server)] = &sent(&actions)[..] else {
                panic!("not sent: {actions:?}")
            };
            *counted.entry(server).or_default() += 1;
            proxy.event(Event::ClientDisconnected { call });
            proxy.end(call, 0, Outcome::Cancelled, 0);
        }
    }
    distance(&counted, &chances)
}

fn weighted(balancers: u32) -> Settings {
    Settings {
        balancers,
        weight_source: WeightSource::Nominal,
        ..settings(Idempotency::Idempotent)
    }
}

/// With 16,000 draws over a hundred endpoints chance alone makes a distance of about 0.03.
const NOISE: f64 = 0.05;

#[test]
fn an_idle_fleet_of_unequal_sizes_is_drawn_with_the_chances_of_a_full_scan() {
    let distance = next_call(&weighted(7), &sized(100), |_| {});
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn a_fleet_with_full_and_busy_endpoints_is_drawn_with_the_chances_of_a_full_scan() {
    // One balancer: seven calls each. The calls that are out leave all numbers from none to full.
    let distance = next_call(&weighted(1), &sized(100), |proxy| {
        for _ in 0..480 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn a_nearly_full_fleet_is_drawn_with_the_chances_of_a_full_scan() {
    let distance = next_call(&weighted(7), &sized(100), |proxy| {
        for _ in 0..95 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

#[test]
fn a_fleet_of_which_half_drains_or_starts_is_drawn_with_the_chances_of_a_full_scan() {
    let mut entries = sized(100);
    entries
        .iter_mut()
        .step_by(3)
        .for_each(|e| e.status = EndpointStatus::Draining);
    let distance = next_call(&weighted(1), &entries, |proxy| {
        let gone = sized(100)
            .into_iter()
            .skip(1)
            .step_by(5)
            .map(|e| EndpointEntry {
                status: EndpointStatus::Removed,
                ..e
            });
        proxy.list(ListUpdateKind::Delta, gone.collect());
        for _ in 0..200 {
            proxy.call();
        }
    });
    assert!(distance < NOISE, "{distance}");
}

/// Endpoints in slow start are drawn with the chance of what they can do now, times 1.2; none of
/// the rest of the calls goes there.
#[test]
fn endpoints_in_slow_start_get_calls_by_their_present_capacity() {
    let settings = weighted(1);
    let (age, rules) = (5_000_000, settings.rules);
    let mut entries = sized(100);
    let started = 1_000_000_000 - age;
    entries
        .iter_mut()
        .step_by(4)
        .for_each(|e| e.started = started);
    let warmth = rules.slow_start_min_capacity
        + (1.0 - rules.slow_start_min_capacity) * age as f64 / rules.slow_start_duration as f64;
    let (mut cold, mut all) = (0.0, 0.0);
    entries.iter().for_each(|e| {
        let size = e.weight * if e.started > 0 { warmth } else { 1.0 };
        all += size;
        cold += if e.started > 0 { size } else { 0.0 };
    });
    let mut proxy = proxy(3, &settings, &entries);
    proxy.now = 1_000_000_000;
    let (mut counted, calls) = (BTreeMap::new(), 20_000);
    for _ in 0..calls {
        let (call, actions) = proxy.call();
        *counted.entry(sent(&actions)[0].1).or_insert(0) += 1;
        proxy.event(Event::ClientDisconnected { call });
        proxy.end(call, 0, Outcome::Cancelled, 0);
    }
    let chance = cold / all * 1.2;
    let of_cold: BTreeMap<EndpointId, f64> = entries
        .iter()
        .filter(|e| e.started > 0)
        .map(|e| (e.endpoint, e.weight * warmth / cold))
        .collect();
    let to_cold: BTreeMap<EndpointId, u32> = counted
        .iter()
        .filter(|(id, _)| of_cold.contains_key(id))
        .map(|(&id, &n)| (id, n))
        .collect();
    let share = f64::from(to_cold.values().sum::<u32>()) / f64::from(calls);
    assert!((share / chance - 1.0).abs() < 0.1, "{share} of {chance}");
    assert!(distance(&to_cold, &of_cold) < NOISE, "each by its size");
}

/// Two random draws would hardly meet it.
#[test]
fn a_call_finds_the_one_endpoint_of_thousands_with_capacity() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2_000);
    let out: Vec<(CallId, EndpointId)> = (0..2_000).map(|_| sent(&proxy.call().1)[0]).collect();
    let distinct: std::collections::BTreeSet<EndpointId> = out.iter().map(|o| o.1).collect();
    assert_eq!(
        distinct.len(),
        2_000,
        "every budget is used before any is passed"
    );
    let (call, server) = out[1_234];
    proxy.end(call, 0, Outcome::Served, 50 * MS);
    assert_eq!(sent(&proxy.call().1)[0].1, server);
}

/// Two hundred that are due to be tried took every call for some time.
#[test]
fn with_half_a_large_fleet_ejected_most_calls_go_to_the_rest() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 400);
    let broken = |id: EndpointId| id.0.is_multiple_of(2);
    for _ in 0..12_000 {
        let (call, actions) = proxy.call();
        proxy.now += MS;
        let mut out = sent(&actions);
        let mut attempt = 0;
        while let Some((call, server)) = out.pop() {
            let outcome = if broken(server) {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            };
            out.extend(
                sent(&proxy.end(call, attempt, outcome, MS))
                    .into_iter()
                    .filter(|s| s.0 == call),
            );
            attempt += 1;
        }
        proxy.event(Event::ClientDisconnected { call });
    }
    let aside = (1..=400).filter(|&n| {
        proxy
            .balancer
            .view(proxy.now, EndpointId(n))
            .is_some_and(|v| v.ejected)
    });
    let aside: Vec<u32> = aside.collect();
    assert!(
        aside.iter().all(|n| broken(EndpointId(*n))) && aside.len() > 150,
        "{}",
        aside.len()
    );
    // Those that are tried again take a part of the calls, however many there are.
    proxy.now += 10_000 * MS;
    let mut tried = 0;
    for _ in 0..500 {
        let (call, actions) = proxy.call();
        let server = sent(&actions)[0].1;
        tried += u32::from(aside.contains(&server.0));
        proxy.event(Event::ClientDisconnected { call });
        proxy.end(call, 0, Outcome::Cancelled, 0);
    }
    assert!((20..100).contains(&tried), "{tried}");
}
