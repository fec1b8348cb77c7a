use super::*;

fn status(id: u64, count: u32, failures: u32) -> PollerStatus {
    PollerStatus {
        id: PeerId(id),
        version: count,
        active: true,
        failures,
        latency_ms: 8,
    }
}

#[test]
fn of_many_that_hear_nobody_few_begin_early() {
    for proxies in [5, 300, 2_000, 10_000] {
        let mut firsts: Vec<Micros> = (0..proxies)
            .map(|n| {
                let mut scheduler = PollScheduler::new(PeerId(n), false);
                scheduler.record_contact(0);
                assert!(!scheduler.start_poll(0, false) || scheduler.pending);
                scheduler.next_deadline().unwrap_or(0)
            })
            .collect();
        firsts.sort_unstable();
        // Within a tenth of the span after the first one there are never many, however many there are.
        let early = firsts
            .iter()
            .filter(|t| **t <= firsts[0] + TAKEOVER_SPAN / 10)
            .count();
        assert!(early <= 12, "{early} of {proxies}");
        assert!(firsts[0] <= TAKEOVER_SPAN * 9 / 10);
    }
}

/// Sixty-four were remembered, of fleets of hundreds.
#[test]
fn a_thousand_that_ask_are_told_apart_and_beyond_the_room_those_go_that_do_not() {
    let mut scheduler = PollScheduler::new(PeerId(0), false);
    for n in 1..=1_024 {
        scheduler.handle_statuses(n, &[status(n, 1, 0)]);
    }
    assert_eq!(scheduler.others.len(), 1_024);
    let room = MAX_KNOWN_POLLERS as u64;
    for n in 1_025..=2 * room {
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
        (1..=1_024).all(|n| scheduler.others.contains_key(&PeerId(n))),
        "who asks is kept"
    );
}

#[test]
fn one_that_hears_of_enough_does_not_ask_and_one_that_hears_of_fewer_does() {
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
    // One dies, and the others go on.
    scheduler.peer_down(5_000_000, PeerId(3));
    let due = scheduler.next_deadline().expect("it would stand in");
    assert!(due <= 5_000_000 + RELAXED_TAKEOVER_SPAN);
    scheduler.record_contact(due);
    assert!(scheduler.start_poll(due, true) && scheduler.is_poller());
    // An old status does not bring the dead one back.
    scheduler.handle_statuses(due, &[status(3, 1, 0)]);
    assert_eq!(scheduler.pollers(due).len(), 3);
}

#[test]
fn who_tries_in_vain_keeps_others_from_trying_and_is_relieved_in_the_end() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.handle_statuses(0, &[status(1, 1, 2)]);
    assert!(!scheduler.start_poll(2_900_000, false), "somebody tries");
    scheduler.handle_statuses(3_000_000, &[status(1, 2, UNREACHABLE_AFTER_FAILURES)]);
    let due = scheduler.next_deadline().expect("it may be cut off");
    scheduler.handle_statuses(due - 1, &[status(1, 3, UNREACHABLE_AFTER_FAILURES)]);
    assert!(due <= 3_000_000 + UNREACHABLE_TAKEOVER_SPAN && scheduler.start_poll(due, false));
    // In vain here as well: with enough others that try it rests.
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
        let due = scheduler.next_deadline().expect("again");
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
fn one_that_hears_no_peer_any_more_asks_for_itself_and_leaves_it_to_them_when_it_does() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.record_contact(0);
    scheduler.handle_statuses(0, &[status(1, 1, 0), status(2, 1, 0), status(3, 1, 0)]);
    scheduler.start_poll(ISOLATED_AFTER - 1, true);
    assert_eq!(scheduler.next_deadline(), None);
    scheduler.start_poll(ISOLATED_AFTER, true);
    let due = scheduler.next_deadline().expect("it is cut off");
    assert!((ISOLATED_AFTER + ISOLATED_DELAY.0..=ISOLATED_AFTER + ISOLATED_DELAY.1).contains(&due));
    scheduler.record_contact(ISOLATED_AFTER + 1);
    scheduler.start_poll(ISOLATED_AFTER + 1, true);
    assert_eq!(scheduler.next_deadline(), None);
    scheduler.start_poll(2 * ISOLATED_AFTER + 1, true);
    assert!(
        scheduler.start_poll(due + 2 * ISOLATED_AFTER + ISOLATED_DELAY.1, true)
            && scheduler.is_poller()
    );
}

#[test]
fn a_time_that_was_drawn_stays_whatever_is_heard_meanwhile() {
    let mut scheduler = PollScheduler::new(PeerId(9), false);
    scheduler.record_contact(0);
    scheduler.start_poll(0, true);
    let due = scheduler.next_deadline().expect("nobody asks");
    for at in 1..100 {
        scheduler.handle_statuses(
            at,
            &[PollerStatus {
                active: false,
                ..status(1, at as u32, 0)
            }],
        );
        scheduler.start_poll(at, true);
        assert_eq!(scheduler.next_deadline(), Some(due));
    }
}

/// The service goes down, and all that ask it fail at once, each with the status that the others hear it.
#[test]
fn those_that_fail_together_do_not_stop_together() {
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
    assert!(!scheduler.is_poller(), "the others hear it still");
}

#[test]
fn of_more_than_are_wanted_those_of_the_lowest_rank_stop() {
    let ids: Vec<u64> = (1..=8).collect();
    let stays = |own: u64| {
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
    let staying = ids.iter().filter(|n| stays(**n)).count();
    assert_eq!(staying, TARGET_POLLERS);
}

#[test]
fn pauses_grow_with_failures_and_with_what_an_answer_takes() {
    let mut scheduler = PollScheduler::new(PeerId(1), true);
    scheduler.start_poll(0, false);
    let due = scheduler.next_deadline().unwrap_or(0);
    assert!(scheduler.start_poll(due, false) || scheduler.pending);
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
