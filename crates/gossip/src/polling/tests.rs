//! Tests of the election of pollers, and of their backoff.

use super::backoff::MAX_BACKOFF;
use super::known::MAX_KNOWN_POLLERS;
use super::scheduler::{ISOLATED_AFTER, TAKEOVER_PAUSE};
use super::status::UNREACHABLE_AFTER_FAILURES;
use super::takeover::{
    MAX_ISOLATED_DELAY, MIN_ISOLATED_DELAY, RELAXED_TAKEOVER_SPAN, SEED_TAKEOVER_SPAN,
    TAKEOVER_SPAN, UNREACHABLE_TAKEOVER_SPAN,
};
use super::{PeerId, PollScheduler, PollerStatus, TARGET_POLLERS};
use crate::Micros;

fn status(id: u64, version: u32, failures: u32) -> PollerStatus {
    PollerStatus {
        id: PeerId(id),
        version,
        active: true,
        failures,
        latency_ms: 8,
    }
}

#[test]
fn few_proxies_take_over_early_whatever_the_fleet_size() {
    for proxies in [5, 300, 2_000, 10_000] {
        let mut takeover_times: Vec<Micros> = (0..proxies)
            .map(|n| {
                let mut scheduler = PollScheduler::new(PeerId(n), false);
                scheduler.record_contact(0);
                assert!(!scheduler.start_poll(0, false) || scheduler.in_flight);
                scheduler.next_deadline().unwrap_or(0)
            })
            .collect();
        takeover_times.sort_unstable();
        // Few other proxies take over within a tenth of the maximum delay after the first one.
        let early = takeover_times
            .iter()
            .filter(|t| **t <= takeover_times[0] + TAKEOVER_SPAN / 10)
            .count();
        assert!(early <= 12, "{early} of {proxies}");
        assert!(takeover_times[0] <= TAKEOVER_SPAN * 9 / 10);
    }
}

/// A table of 64 entries is too small for a fleet of hundreds of proxies: evicted pollers reappear as new ones.
#[test]
fn thousand_active_pollers_are_remembered_and_inactive_ones_are_evicted_first() {
    let mut scheduler = PollScheduler::new(PeerId(0), false);
    for n in 1..=1_024 {
        scheduler.handle_statuses(n, &[status(n, 1, 0)]);
    }
    assert_eq!(scheduler.others.len(), 1_024);
    let capacity = MAX_KNOWN_POLLERS as u64;
    for n in 1_025..=2 * capacity {
        scheduler.handle_statuses(
            n,
            &[PollerStatus {
                active: false,
                ..status(n, 1, 0)
            }],
        );
    }
    assert_eq!(scheduler.others.len(), MAX_KNOWN_POLLERS);
    assert!(
        (1..=1_024).all(|n| scheduler.others.contains(PeerId(n))),
        "active pollers are kept"
    );
}

#[test]
fn proxy_polls_only_while_it_knows_fewer_pollers_than_the_target() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    assert!(!scheduler.start_poll(0, false));
    assert!(scheduler.handle_statuses(
        10,
        &[status(1, 1, 0), status(2, 1, 0), status(3, 1, u32::MAX)]
    ));
    assert!(
        !scheduler.handle_statuses(11, &[status(1, 1, 0)]),
        "nothing new"
    );
    scheduler.record_contact(5_000_000);
    assert!(
        scheduler.next_deadline().is_none()
            && !scheduler.start_poll(5_000_000, false)
            && scheduler.knows_healthy_poller()
    );
    // One poller crashes, and the others continue.
    scheduler.peer_down(5_000_000, PeerId(3));
    let due = scheduler.next_deadline().expect("a takeover is scheduled");
    assert!(due <= 5_000_000 + RELAXED_TAKEOVER_SPAN);
    scheduler.record_contact(due);
    assert!(scheduler.start_poll(due, true) && scheduler.is_poller());
    // An old status does not make the crashed poller active again.
    scheduler.handle_statuses(due, &[status(3, 1, 0)]);
    assert_eq!(scheduler.pollers(due).len(), 3);
}

#[test]
fn failing_poller_prevents_takeovers_until_it_counts_as_unreachable() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.handle_statuses(0, &[status(1, 1, 2)]);
    assert!(
        !scheduler.start_poll(2_900_000, false),
        "another poller is retrying"
    );
    scheduler.handle_statuses(3_000_000, &[status(1, 2, UNREACHABLE_AFTER_FAILURES)]);
    let due = scheduler
        .next_deadline()
        .expect("a takeover is scheduled, as the other poller may be partitioned");
    scheduler.handle_statuses(due - 1, &[status(1, 3, UNREACHABLE_AFTER_FAILURES)]);
    assert!(due <= 3_000_000 + UNREACHABLE_TAKEOVER_SPAN && scheduler.start_poll(due, false));
    // Its polls fail as well, so it steps down, as enough other pollers retry.
    let mut now = due;
    for _ in 0..UNREACHABLE_AFTER_FAILURES {
        scheduler.handle_statuses(
            now,
            &[
                status(1, now as u32, 9),
                status(2, now as u32, 9),
                status(3, now as u32, 9),
            ],
        );
        scheduler.poll_failed(now, Some(700_000));
        let due = scheduler.next_deadline().expect("a retry is scheduled");
        assert!(due >= now + 700_000);
        now = due;
        if scheduler.is_poller() && scheduler.start_poll(now, false) {
            continue;
        }
    }
    assert!(!scheduler.is_poller(), "{:?}", scheduler.own);
    scheduler.peer_down(now, PeerId(1));
    assert!(scheduler
        .next_deadline()
        .is_none_or(|d| d >= now + TAKEOVER_PAUSE - 1));
}

#[test]
fn isolated_proxy_schedules_a_poll_and_cancels_it_on_contact() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.record_contact(0);
    scheduler.handle_statuses(0, &[status(1, 1, 0), status(2, 1, 0), status(3, 1, 0)]);
    scheduler.start_poll(ISOLATED_AFTER - 1, true);
    assert_eq!(scheduler.next_deadline(), None);
    scheduler.start_poll(ISOLATED_AFTER, true);
    let due = scheduler
        .next_deadline()
        .expect("an isolated proxy schedules a poll");
    assert!(
        (ISOLATED_AFTER + MIN_ISOLATED_DELAY..=ISOLATED_AFTER + MAX_ISOLATED_DELAY).contains(&due)
    );
    scheduler.record_contact(ISOLATED_AFTER + 1);
    scheduler.start_poll(ISOLATED_AFTER + 1, true);
    assert_eq!(scheduler.next_deadline(), None);
    scheduler.start_poll(2 * ISOLATED_AFTER + 1, true);
    assert!(
        scheduler.start_poll(due + 2 * ISOLATED_AFTER + MAX_ISOLATED_DELAY, true)
            && scheduler.is_poller()
    );
}

#[test]
fn drawn_takeover_time_is_kept_when_statuses_arrive() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.record_contact(0);
    scheduler.start_poll(0, true);
    let due = scheduler
        .next_deadline()
        .expect("a takeover is scheduled, as there is no poller");
    for now in 1..100 {
        scheduler.handle_statuses(
            now,
            &[PollerStatus {
                active: false,
                ..status(1, now as u32, 0)
            }],
        );
        scheduler.start_poll(now, true);
        assert_eq!(scheduler.next_deadline(), Some(due));
    }
}

/// When the service goes down, the polls of all pollers fail at the same time, while each still considers the others
/// healthy.
#[test]
fn pollers_that_fail_together_do_not_step_down_at_the_first_failure() {
    let mut scheduler = PollScheduler::new(PeerId(9), true);
    scheduler.start_poll(0, false);
    assert!(scheduler.is_poller() || scheduler.start_poll(SEED_TAKEOVER_SPAN, false));
    scheduler.poll_answered(SEED_TAKEOVER_SPAN, None);
    scheduler.handle_statuses(
        SEED_TAKEOVER_SPAN,
        &[status(1, 1, 0), status(2, 1, 0), status(3, 1, 0)],
    );
    scheduler.poll_failed(SEED_TAKEOVER_SPAN, None);
    scheduler.start_poll(SEED_TAKEOVER_SPAN, true);
    assert!(scheduler.is_poller());
    scheduler.poll_failed(SEED_TAKEOVER_SPAN, None);
    scheduler.start_poll(SEED_TAKEOVER_SPAN, true);
    assert!(
        !scheduler.is_poller(),
        "the other pollers are still healthy"
    );
}

#[test]
fn excess_pollers_of_lowest_rank_step_down() {
    let ids: Vec<u64> = (1..=8).collect();
    let remains_poller = |own: u64| {
        let mut scheduler = PollScheduler::new(PeerId(own), false);
        scheduler.start_poll(0, false);
        let due = scheduler.next_deadline().unwrap_or(0);
        assert!(scheduler.is_poller() || scheduler.start_poll(due, false));
        scheduler.poll_answered(due, Some(8_000));
        let others: Vec<PollerStatus> = ids
            .iter()
            .filter(|n| **n != own)
            .map(|n| status(*n, 1, 0))
            .collect();
        scheduler.handle_statuses(due, &others);
        scheduler.start_poll(due, true);
        scheduler.is_poller()
    };
    let remaining = ids.iter().filter(|n| remains_poller(**n)).count();
    assert_eq!(remaining, TARGET_POLLERS);
}

#[test]
fn backoff_grows_with_failures_and_with_the_latency_of_the_service() {
    let mut scheduler = PollScheduler::new(PeerId(1), true);
    scheduler.start_poll(0, false);
    let due = scheduler.next_deadline().unwrap_or(0);
    assert!(scheduler.start_poll(due, false) || scheduler.in_flight);
    let mut longest = 0;
    for _ in 0..20 {
        scheduler.poll_failed(0, None);
        longest = longest.max(scheduler.next_deadline().unwrap_or(0));
    }
    assert!((MAX_BACKOFF / 2..=MAX_BACKOFF).contains(&longest));
    scheduler.poll_answered(0, Some(1_000_000));
    for _ in 0..20 {
        scheduler.poll_failed(0, None);
    }
    assert!(
        scheduler.next_deadline().is_some_and(|d| d >= 10_000_000),
        "{:?}",
        scheduler.next_deadline()
    );
}
