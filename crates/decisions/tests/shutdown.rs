//! The schedule of a shutdown, and calls whose time it limits.

mod common;
use badgerramp_decisions::*;
use common::*;

/// A time on the clock of the proxy.
const START: Micros = 5_000_000;

#[test]
fn answers_to_late_requests_are_due_before_the_process_may_be_killed() {
    for (longest_deadline, counted) in [
        (3_000 * MS, 3_000 * MS),
        (60_000 * MS, 3_000 * MS),
        (1_500 * MS, 1_500 * MS),
        (200 * MS, 200 * MS),
        (MS, MS),
        (0, 0),
    ] {
        let schedule = ShutdownSchedule::new(START, longest_deadline);
        let late_after = START + 700 * MS;
        assert_eq!(schedule.late_after(), late_after);
        assert_eq!(schedule.kill_at(), late_after + counted);
        assert_eq!(schedule.answer_due(late_after), None);
        let due = schedule.answer_due(late_after + 1).expect("a limit");
        let margin = schedule.kill_at() - due;
        assert!(margin <= 150 * MS, "{margin}");
        assert!(margin == 150 * MS || margin == counted / 4, "{margin}");
        assert_eq!(schedule.late_answers_due(), due);
    }
}

#[test]
fn other_settings_during_a_shutdown_only_bring_its_end_forward() {
    let mut schedule = ShutdownSchedule::new(START, 2_000 * MS);
    schedule.change_longest_deadline(9_000 * MS);
    assert_eq!(schedule, ShutdownSchedule::new(START, 2_000 * MS));
    schedule.change_longest_deadline(500 * MS);
    assert_eq!(schedule, ShutdownSchedule::new(START, 500 * MS));
}

/// Makes a call whose client waits for 1.2 s, and which must be answered within `time_until_exit`.
fn call_before_exit(
    proxy: &mut Proxy,
    id: u64,
    time_until_exit: Option<Micros>,
) -> (CallId, Vec<Action>) {
    let call = CallId(id);
    let event = request(call, 1_200 * MS, time_until_exit);
    (call, proxy.event(event))
}

/// A call without time could be sent out although nobody would hear of its effect.
#[test]
fn a_call_with_no_time_until_the_exit_is_rejected_and_not_sent() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
    let (call, actions) = call_before_exit(&mut proxy, 1_001, Some(0));
    assert!(rejected(&actions, call) && sent(&actions).is_empty());
    // There may be less time than an answer takes on average.
    let (_, actions) = call_before_exit(&mut proxy, 1_002, Some(2 * MS));
    assert_eq!(sent(&actions).len(), 1);
}

/// A queued call ends before the exit, and a retry is not started for which there is no time.
#[test]
fn a_call_ends_before_the_exit_in_the_queue_and_between_attempts() {
    let exit = 300 * MS;
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    call_before_exit(&mut proxy, 1_001, None);
    call_before_exit(&mut proxy, 1_002, None);
    let (queued, actions) = call_before_exit(&mut proxy, 1_003, Some(exit));
    assert!(sent(&actions).is_empty(), "it waits");
    assert!(rejected(&proxy.advance(exit), queued));

    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    let (call, actions) = call_before_exit(&mut proxy, 1_001, Some(exit));
    assert_eq!(sent(&actions).len(), 1);
    proxy.now += exit - MS;
    let actions = proxy.end_attempt(call, 0, Outcome::Error, exit - MS);
    assert!(rejected(&actions, call) && sent(&actions).is_empty());
}

/// A shorter time than that of other clients makes a call count as a client's retry. The exit of the process must not:
/// such a call has little time in the queue and no second attempt.
#[test]
fn the_exit_does_not_make_a_call_count_as_a_client_retry() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    let (failed_call, _) = call_before_exit(&mut proxy, 1_001, None);
    proxy.now += 600 * MS;
    let actions = proxy.end_attempt(failed_call, 0, Outcome::Error, 600 * MS);
    assert!(rejected(&actions, failed_call), "unserved");
    let (call, actions) = call_before_exit(&mut proxy, 1_002, Some(450 * MS));
    assert_eq!(sent(&actions).len(), 1);
    proxy.now += 10 * MS;
    let actions = proxy.end_attempt(call, 0, Outcome::ConnectFailed, 10 * MS);
    assert_eq!(sent(&actions).len(), 1, "there is time for another attempt");
}

/// A balancer with few calls rejects what can't be expected in time. An answer may take less time than the average one, so
/// that a call which only the exit cuts short is tried.
#[test]
fn a_call_is_tried_though_an_answer_takes_longer_than_until_the_exit_on_average() {
    let few_calls = Settings {
        balancers: 100,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut proxy = Proxy::new(few_calls, 3);
    let (_, actions) = call_before_exit(&mut proxy, 1_001, Some(20 * MS));
    assert_eq!(sent(&actions).len(), 1, "{actions:?}");
    let actions = proxy.event(request(CallId(1_002), 20 * MS, None));
    assert!(
        rejected(&actions, CallId(1_002)),
        "its client waits no longer"
    );
}
