//! Unit tests of the scale test: placement of its processes, evaluation of its records, and its linear fits.

use badgerramp_config_tool::fleet::Change;
use badgerramp_fault_injection::checker::StartRecord;
use badgerramp_fault_injection::clients::{Ended, Try};
use badgerramp_fault_injection::scale::cross_region::CrossRegionOutcomes;
use badgerramp_fault_injection::scale::files::ControlTimes;
use badgerramp_fault_injection::scale::fleet::Downtime;
use badgerramp_fault_injection::scale::hollow::{Admits, Event, Order};
use badgerramp_fault_injection::scale::layout::Size;
use badgerramp_fault_injection::scale::report::Fit;
use badgerramp_fault_injection::scale::schedule::{FaultSchedule, Kind, KINDS};
use badgerramp_fault_injection::scale::verdict::{
    denied_spans, started_calls, Readiness, Rejections,
};
use badgerramp_policy::{Generation, Micros, Mode};

const SIZE: Size = Size {
    proxies: 80,
    real: 8,
    regions: 2,
    zones: 4,
    replicas: 3,
};

#[test]
fn zones_have_equal_sizes_and_belong_to_one_region() {
    for zone in 0..SIZE.zones {
        let proxies = SIZE.proxies_in(zone);
        assert_eq!(proxies.len(), 20);
        assert_eq!(
            proxies.iter().filter(|&&proxy| SIZE.is_real(proxy)).count(),
            2
        );
        assert!(proxies
            .iter()
            .all(|&proxy| SIZE.proxy(proxy).region == zone / 2));
        assert!(SIZE.rack(zone).iter().all(|proxy| proxies.contains(proxy)));
        assert_eq!(SIZE.rack(zone).len(), 4);
    }
}

#[test]
fn each_region_has_its_own_replicas_spread_over_its_zones() {
    let places = SIZE.replica_locations();
    let regions: Vec<usize> = places.iter().map(|place| place.region).collect();
    assert_eq!(regions, [0, 0, 0, 1, 1, 1]);
    let in_zones: Vec<usize> = (0..SIZE.zones)
        .map(|zone| SIZE.replicas_in(zone).len())
        .collect();
    assert_eq!(in_zones, [2, 1, 2, 1]);
}

#[test]
fn a_seed_determines_the_fault_schedule_and_targets_exist() {
    for kind in KINDS.into_iter().map(Some).chain([None]) {
        for seed in 0..50 {
            let draw = || FaultSchedule::draw(seed, kind, &SIZE, ControlTimes::default(), 30);
            let schedule = draw();
            assert_eq!(format!("{schedule:?}"), format!("{:?}", draw()));
            assert!(schedule.proxies.iter().all(|&proxy| proxy < SIZE.proxies));
            assert!(schedule.replicas.iter().all(|&replica| replica < 6));
            assert!(
                schedule.from < schedule.until && schedule.until <= schedule.call_duration,
                "{schedule:?}"
            );
        }
    }
    assert!(KINDS
        .into_iter()
        .all(|kind| Kind::from_name(&kind.name()) == Some(kind)));
}

#[test]
fn a_region_is_cut_off_for_longer_than_all_control_plane_timeouts() {
    let times = ControlTimes {
        lease_ms: 3_000,
        wait_ms: 6_000,
        election_ms: 1_000,
        regions_wait_ms: 4_000,
    };
    let schedule = FaultSchedule::draw(1, Some(Kind::CutRegion), &SIZE, times, 10);
    assert!((schedule.until - schedule.from).as_millis() > 3_000 + 6_000 + 1_000);
}

fn admitted(proxy: &str, admits: Admits, from: Micros, until: Micros) -> Event {
    Event::Admitted {
        proxy: proxy.to_owned(),
        admits,
        from,
        until,
    }
}

#[test]
fn admission_checks_of_hollow_proxies_count_as_started_calls() {
    let events = [
        admitted("p9", Admits::Nothing, 1, 2),
        admitted("p9", Admits::Under { old: 3, new: 4 }, 5, 8),
        Event::AdmissionsReported,
    ];
    let starts = started_calls(&events);
    let mode = Mode {
        revision: 0,
        old: Generation(3),
        new: Generation(4),
    };
    assert_eq!(
        starts
            .iter()
            .map(|l| (l.at, l.proxy, l.mode))
            .collect::<Vec<_>>(),
        [(5, 9, mode), (8, 9, mode)]
    );
    assert_eq!(denied_spans(&events), [(9, 1, 2)]);
}

#[test]
fn a_restarted_proxy_is_ready_once_it_has_a_list_and_a_lease() {
    let line = |at: Micros, text: &str| (at, format!("{{\"message\":\"{text}\"}}"));
    let log = [
        line(10, "policy: generation 1"),
        line(11, "endpoint list received"),
        line(5_000, "endpoint list received"),
        line(9_000, "policy: generation 1"),
    ];
    let downtime = |proxy, until| Downtime {
        proxy,
        from: 1_000,
        until,
    };
    let downtimes = [
        downtime(1, Some(2_000)),
        downtime(2, Some(2_000)),
        downtime(3, None),
    ];
    let readiness = Readiness::of(&downtimes, |proxy| {
        if proxy == 1 {
            log.to_vec()
        } else {
            log[..3].to_vec()
        }
    });
    assert_eq!(
        (readiness.ready_ms.as_slice(), readiness.not_ready),
        (&[7][..], 1)
    );
    assert!(
        !readiness.is_healthy(1, 8_000, 8_001)
            && readiness.is_healthy(1, 9_001, 9_002)
            && readiness.is_healthy(1, 0, 999)
    );
    assert!(
        !readiness.is_healthy(2, 10_000, 10_001)
            && !readiness.is_healthy(3, 10_000, 10_001)
            && readiness.is_healthy(4, 0, 10_000)
    );
}

#[test]
fn rejections_of_healthy_proxies_count_in_their_region() {
    let attempt = |proxy, status| Try {
        key: String::new(),
        proxy,
        from: 50,
        until: 60,
        ended: Ended::Status(status),
    };
    let readiness = Readiness {
        unhealthy: vec![(4, 40, 70)],
        ..Readiness::default()
    };
    let attempts = [
        attempt(0, 503),
        attempt(0, 200),
        attempt(2, 503),
        attempt(3, 503),
        attempt(4, 503),
    ];
    let rejections = Rejections::of(&SIZE, &attempts, &[(11, 1, 2), (4, 41, 42)], &readiness);
    assert_eq!((rejections.by_region, rejections.hollow), (vec![1, 3], 1));
}

#[test]
fn orders_and_events_round_trip_through_json() {
    let order = Order::Kill("p7".to_owned());
    let text = serde_json::to_string(&order).expect("serializable");
    assert_eq!(
        serde_json::from_str::<Order>(&text).expect("an order"),
        order
    );
    let event = admitted("p7", Admits::Under { old: 1, new: 2 }, 3, 4);
    let text = serde_json::to_string(&event).expect("serializable");
    assert_eq!(
        serde_json::from_str::<Event>(&text).expect("an event"),
        event
    );
}

#[test]
fn a_linear_fit_finds_the_line_and_the_error_of_scattered_points() {
    let exact = Fit::of(&[(100.0, 7.0), (200.0, 9.0), (400.0, 13.0)]).expect("a line");
    assert!((exact.constant - 5.0).abs() < 1e-9 && (exact.slope - 0.02).abs() < 1e-9);
    assert!(exact.residual.expect("three points") < 1e-9);
    let scattered = Fit::of(&[(1.0, 0.0), (2.0, 3.0), (3.0, 0.0)]).expect("a line");
    assert!((scattered.residual.expect("three points") - 6f64.sqrt()).abs() < 1e-9);
    assert!((scattered.slope_error.expect("three points") - 3f64.sqrt()).abs() < 1e-9);
    assert_eq!(Fit::of(&[(5.0, 1.0), (5.0, 2.0)]), None);
}

fn change(generation: u64, outcome: &'static str, id: &str) -> Change {
    Change {
        generation,
        previous_generation: 1,
        outcome,
        reason: String::new(),
        all_regions: Some(id.to_owned()),
    }
}

/// The start of a call at a proxy, under one generation or in the transition between two.
fn call(proxy: usize, at: Micros, old: u64, new: u64) -> StartRecord {
    let mode = Mode {
        revision: 0,
        old: Generation(old),
        new: Generation(new),
    };
    StartRecord {
        at,
        proxy,
        mode,
        floor: false,
        request: String::new(),
    }
}

#[test]
fn cross_region_changes_are_compared_though_regions_number_them_differently() {
    let (first, second) = (SIZE.proxies_of(0)[0], SIZE.proxies_of(1)[0]);
    let histories = [
        vec![change(4, "in force", "a")],
        vec![change(7, "in force", "a")],
    ];
    // The second region is still in transition when the first region has left the old policy.
    let consistent = [
        call(second, 10, 6, 6),
        call(second, 15, 6, 7),
        call(first, 20, 4, 4),
        call(second, 30, 6, 7),
    ];
    let cross_region = CrossRegionOutcomes::of(&SIZE, &histories, &consistent);
    assert_eq!(
        (
            cross_region.mixed_across,
            cross_region.diverged,
            cross_region.all_regions_in_force
        ),
        (0, 0, 1)
    );
    let violating = [call(first, 20, 4, 4), call(second, 21, 6, 6)];
    assert_eq!(
        CrossRegionOutcomes::of(&SIZE, &histories, &violating).mixed_across,
        1
    );
}

#[test]
fn a_change_with_different_outcomes_in_two_regions_is_counted() {
    let count = |first, second| {
        let cross_region = CrossRegionOutcomes::of(
            &SIZE,
            &[vec![change(2, first, "a")], vec![change(2, second, "a")]],
            &[],
        );
        cross_region.diverged
    };
    assert_eq!(count("in force", "in force"), 0);
    assert_eq!(count("not in force", "not in force"), 0);
    assert_eq!(count("in force", "not in force"), 1);
    assert_eq!(count("in force", "under way"), 1);
    // A change unknown to one region must not be in force in the others.
    let unknown_to_one = |outcome| {
        CrossRegionOutcomes::of(&SIZE, &[vec![change(2, outcome, "a")], Vec::new()], &[]).diverged
    };
    assert_eq!(
        (unknown_to_one("not in force"), unknown_to_one("in force")),
        (0, 1)
    );
}
