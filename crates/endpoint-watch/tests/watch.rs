//! Tests of when the watch sends a poll, and which response it accepts.

use badgerramp_endpoint_watch::{
    Input, Micros, Output, PollId, ProtocolViolation, Source, TimeoutConfig, Timeouts, Watch,
    CONNECT_TIMEOUT, NOTIFIED_AFTER_SILENCE, SERVICE_RESPONSE_TIMEOUT,
};

const DRAIN_GRACE: Micros = 1_000_000;

struct Harness {
    watch: Watch,
    out: Vec<Output>,
}

impl Harness {
    fn new(source: Source, index: Option<u64>) -> Harness {
        let watch = Watch::new(
            Timeouts::derive(TimeoutConfig {
                source,
                drain_grace: DRAIN_GRACE,
                wait: None,
            }),
            index,
            None,
            7,
        );
        let mut harness = Harness {
            watch,
            out: Vec::new(),
        };
        harness.handle(0, Input::Start);
        harness
    }

    fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.out.clear();
        self.watch.handle(now, input, false, &mut self.out);
        self.out.clone()
    }

    fn respond(&mut self, now: Micros, poll: u64, index: u64, complete: bool) -> Vec<Output> {
        self.handle(
            now,
            Input::Response {
                poll: PollId(poll),
                index,
                complete,
            },
        )
    }

    fn fail(&mut self, now: Micros, poll: u64) -> Vec<Output> {
        self.handle(now, Input::Failed { poll: PollId(poll) })
    }

    fn reject(&mut self, now: Micros, poll: u64) -> Vec<Output> {
        self.handle(now, Input::Rejected { poll: PollId(poll) })
    }

    /// Passes the timer at the next deadline; returns that time and the outputs.
    fn advance_to_deadline(&mut self) -> (Micros, Vec<Output>) {
        let due = self.watch.next_deadline().expect("a deadline");
        (due, self.handle(due, Input::Timer))
    }

    fn in_flight(&self) -> Vec<u64> {
        self.watch.in_flight().map(|poll| poll.0).collect()
    }
}

fn sent(poll: u64, index: Option<u64>, wait: Micros, fresh_connection: bool) -> Output {
    Output::Send {
        poll: PollId(poll),
        index,
        wait,
        fresh_connection,
    }
}

fn cancelled(poll: u64) -> Output {
    Output::Cancel(PollId(poll))
}

#[test]
fn accepted_response_continues_watch_immediately() {
    let mut harness = Harness::new(Source::Service, Some(41));
    assert_eq!(harness.out, [sent(0, Some(41), 2_000_000, false)]);
    assert_eq!(
        harness.handle(1, Input::Start),
        [],
        "a second start has no effect"
    );
    assert_eq!(
        harness.respond(700_000, 0, 42, false),
        [Output::Accept, sent(1, Some(42), 2_000_000, false)]
    );
    // The wait ended without a change.
    assert_eq!(
        harness.respond(2_700_000, 1, 42, false),
        [Output::Accept, sent(2, Some(42), 2_000_000, false)]
    );
    // An immediate response without a change delays the next poll, by less than the 200 ms within which it continues
    // the watch.
    assert_eq!(harness.respond(2_700_010, 2, 42, false), [Output::Accept]);
    assert_eq!(
        harness.advance_to_deadline(),
        (2_750_010, vec![sent(3, Some(42), 2_000_000, false)])
    );
}

/// Guards against detecting a silent watch too late: two seconds after its wait, the proxy already counts as notified.
#[test]
fn overdue_response_sends_second_poll_on_fresh_connection() {
    let mut harness = Harness::new(Source::Service, Some(41));
    let second_poll = vec![
        Output::Overdue(PollId(0)),
        sent(1, Some(41), 2_000_000, true),
    ];
    assert_eq!(harness.advance_to_deadline(), (2_500_000, second_poll));
    assert_eq!(harness.in_flight(), [0, 1]);
    // The response to either poll is accepted, and cancels the other poll.
    let mut other = Harness {
        watch: harness.watch.clone(),
        out: Vec::new(),
    };
    let next = sent(2, Some(42), 2_000_000, false);
    assert_eq!(
        harness.respond(2_600_000, 1, 42, false),
        [cancelled(0), Output::Accept, next]
    );
    assert_eq!(
        harness.respond(2_700_000, 0, 43, false),
        [],
        "the response to the first poll comes too late"
    );
    assert_eq!(
        other.respond(2_600_000, 0, 42, false),
        [cancelled(1), Output::Accept, next]
    );
    assert_eq!(
        other.respond(2_700_000, 1, 41, true),
        [],
        "a late response with an older list is ignored as well"
    );
    assert_eq!(other.watch.index(), Some(42));
}

#[test]
fn polling_fails_when_second_poll_fails_or_is_overdue() {
    let mut harness = Harness::new(Source::Service, Some(41));
    harness.advance_to_deadline();
    let mut other = Harness {
        watch: harness.watch.clone(),
        out: Vec::new(),
    };
    assert_eq!(
        harness.fail(2_600_000, 1),
        [Output::Failed],
        "polling has failed, as the first poll is overdue"
    );
    assert_eq!(
        harness.in_flight(),
        [0],
        "the first poll may still be answered"
    );
    assert_eq!(
        harness.handle(2_600_001, Input::Start),
        [],
        "a start has no effect"
    );
    let (at, retry) = harness.advance_to_deadline();
    assert!(
        (2_600_000 + 250_000..=2_600_000 + 500_000).contains(&at),
        "{at}"
    );
    assert_eq!(retry, [sent(2, Some(41), 2_000_000, false)]);
    assert_eq!(
        harness.respond(at + 1, 0, 42, false)[..2],
        [cancelled(2), Output::Accept]
    );
    let overdue = Output::Overdue(PollId(1));
    assert_eq!(
        other.advance_to_deadline(),
        (5_000_000, vec![overdue, cancelled(0), Output::Failed])
    );
    assert_eq!(
        other.in_flight(),
        [1],
        "the second poll is not cancelled, as its connection and its response may take longer"
    );
    assert_eq!(
        other.advance_to_deadline().1,
        [sent(2, Some(41), 2_000_000, false)]
    );
    assert_eq!(
        other.respond(6_500_000, 1, 42, false)[..2],
        [cancelled(2), Output::Accept]
    );
    // A failure of the first poll has no effect on the second one.
    let mut third = Harness::new(Source::Service, Some(41));
    third.advance_to_deadline();
    assert_eq!(third.fail(2_600_000, 0), []);
    assert_eq!(third.in_flight(), [1]);
}

/// An overloaded service rejects a poll immediately, or queues it for up to three seconds. Guards against sending a
/// second poll in parallel to a queued one: when it was rejected, the queued one was cancelled as well, so that the
/// proxy went to the end of the queue each time.
#[test]
fn poll_after_rejection_allows_for_service_queue() {
    const RESPONSE_SLACK: Micros = 500_000;
    let mut harness = Harness::new(Source::Service, Some(41));
    assert_eq!(harness.reject(10_000, 0), [Output::Failed]);
    let (sent_at, retry) = harness.advance_to_deadline();
    assert_eq!(
        retry,
        [sent(1, Some(41), RESPONSE_SLACK, false)],
        "the wait is short, as the time in the queue comes before it"
    );
    let mut other = Harness {
        watch: harness.watch.clone(),
        out: Vec::new(),
    };
    // The poll is overdue after the maximum time in the queue and its wait.
    let second_poll = vec![
        Output::Overdue(PollId(1)),
        sent(2, Some(41), RESPONSE_SLACK, true),
    ];
    assert_eq!(
        harness.advance_to_deadline(),
        (
            sent_at + SERVICE_RESPONSE_TIMEOUT + 2 * RESPONSE_SLACK,
            second_poll
        )
    );
    // After a response, the watch continues with its usual wait.
    let next = sent(2, Some(42), 2_000_000, false);
    assert_eq!(
        other.respond(sent_at + SERVICE_RESPONSE_TIMEOUT, 1, 42, false),
        [Output::Accept, next]
    );
    assert_eq!(
        other.advance_to_deadline().0,
        sent_at + SERVICE_RESPONSE_TIMEOUT + 2_500_000
    );
    // After a change of the source, the watch has its usual wait as well.
    harness.reject(sent_at + 6_000_000, 2);
    assert_eq!(
        harness
            .handle(sent_at + 6_000_001, Input::SourceChanged)
            .last(),
        Some(&sent(3, None, 2_000_000, false))
    );
}

/// Unlike a rejection, a reset connection does not indicate that the service has a queue.
#[test]
fn poll_after_reset_keeps_usual_deadline() {
    let mut harness = Harness::new(Source::Service, Some(41));
    assert_eq!(harness.fail(10_000, 0), [Output::Failed]);
    let (sent_at, retry) = harness.advance_to_deadline();
    assert_eq!(retry, [sent(1, Some(41), 2_000_000, false)]);
    assert_eq!(harness.advance_to_deadline().0, sent_at + 2_500_000);
}

/// Polling an agent costs nothing, and a proxy counts as notified of the agent's changes as soon as the agent responds
/// again.
#[test]
fn silent_agent_is_polled_repeatedly() {
    let mut harness = Harness::new(Source::Agent, Some(41));
    let (mut last, mut sent_count) = (0, 1);
    for _ in 0..100 {
        let (now, out) = harness.advance_to_deadline();
        assert!(now - last <= DRAIN_GRACE * 3 / 4, "{now} after {last}");
        assert!(
            matches!(
                out.last(),
                Some(Output::Send {
                    fresh_connection: true,
                    ..
                })
            ),
            "{out:?}"
        );
        assert!(harness.in_flight().len() <= 2);
        (last, sent_count) = (now, sent_count + 1);
    }
    let newest = sent_count - 1;
    let accepted = harness.respond(last + 1, newest, 50, false);
    assert!(accepted.contains(&Output::Accept), "{accepted:?}");
    assert!(matches!(
        accepted.last(),
        Some(Output::Send {
            index: Some(50),
            ..
        })
    ));
    // After a failure, the agent is polled again without another start.
    let failed = harness.fail(last + 2, sent_count);
    assert_eq!(failed, [Output::Failed]);
    assert!(matches!(
        harness.advance_to_deadline().1[..],
        [Output::Send { .. }]
    ));
}

#[test]
fn lower_index_discards_changes_and_accepts_complete_list() {
    let mut harness = Harness::new(Source::Service, Some(41));
    let went_back = Output::Violation(ProtocolViolation::IndexWentBack {
        requested: 41,
        received: 7,
    });
    assert_eq!(
        harness.respond(10, 0, 7, false),
        [went_back, sent(1, None, 2_000_000, false)]
    );
    // Changes are not a valid response to a poll for the complete list.
    assert_eq!(
        harness.respond(20, 1, 7, false),
        [
            Output::Violation(ProtocolViolation::ChangesInsteadOfList),
            Output::Failed
        ]
    );
    let (at, retry) = harness.advance_to_deadline();
    assert_eq!(retry, [sent(2, None, 2_000_000, false)]);
    assert_eq!(harness.respond(at + 10, 2, 7, true)[..1], [Output::Accept]);
    assert_eq!(harness.watch.index(), Some(7));
    let mut harness = Harness::new(Source::Service, Some(41));
    let incarnation = Output::Violation(ProtocolViolation::NewIncarnation {
        requested: 41,
        received: 7,
    });
    assert_eq!(
        harness.respond(10, 0, 7, true)[..2],
        [incarnation, Output::Accept]
    );
    assert_eq!(harness.watch.index(), Some(7));
}

/// SIGHUP can change the source at any time, even while a poll is overdue. Polls in flight are cancelled, and the
/// complete list is fetched.
#[test]
fn source_change_fetches_complete_list_immediately() {
    let mut harness = Harness::new(Source::Service, Some(41));
    harness.advance_to_deadline();
    let changed = harness.handle(2_600_000, Input::SourceChanged);
    assert_eq!(
        changed,
        [cancelled(0), cancelled(1), sent(2, None, 2_000_000, false)]
    );
    assert_eq!(harness.respond(2_700_000, 1, 42, false), []);
    // A poll for the complete list becomes overdue like any other, as its connection may be dead as well.
    let second_poll = vec![Output::Overdue(PollId(2)), sent(3, None, 2_000_000, true)];
    assert_eq!(harness.advance_to_deadline(), (5_100_000, second_poll));
    let out = vec![Output::Overdue(PollId(3)), cancelled(2), Output::Failed];
    assert_eq!(harness.advance_to_deadline(), (7_600_000, out));
}

/// Guards against a backoff of several seconds, which leaves no time for a response before the proxy counts as
/// notified.
#[test]
fn backoff_is_bounded_and_leaves_time_for_response() {
    let mut harness = Harness::new(Source::Service, Some(41));
    let (mut poll, mut now, mut delays) = (0, 10, Vec::new());
    for _ in 0..40 {
        assert_eq!(harness.fail(now, poll), [Output::Failed]);
        let (at, retry) = harness.advance_to_deadline();
        poll += 1;
        assert_eq!(retry, [sent(poll, Some(41), 2_000_000, false)]);
        delays.push(at - now);
        now = at + 1;
    }
    let max_delay =
        (NOTIFIED_AFTER_SILENCE + DRAIN_GRACE / 2 - CONNECT_TIMEOUT - SERVICE_RESPONSE_TIMEOUT) / 2;
    assert!(
        delays
            .iter()
            .all(|delay| (250_000..=max_delay).contains(delay)),
        "{delays:?}"
    );
    assert!(
        delays[3..]
            .iter()
            .any(|delay| *delay > max_delay / 2 + max_delay / 4),
        "the delays grow, and have jitter: {delays:?}"
    );
    let other = Watch::new(
        Timeouts::derive(TimeoutConfig {
            source: Source::Service,
            drain_grace: DRAIN_GRACE,
            wait: None,
        }),
        Some(41),
        None,
        8,
    );
    let mut other = Harness {
        watch: other,
        out: Vec::new(),
    };
    other.handle(0, Input::Start);
    other.fail(10, 0);
    assert_ne!(
        other.advance_to_deadline().0 - 10,
        delays[0],
        "two proxies do not retry together"
    );
    // A response resets the backoff.
    harness.respond(now, poll, 42, false);
    harness.fail(now + 1, poll + 1);
    assert!(harness.advance_to_deadline().0 - now - 1 <= 500_000);
}

/// Guards against losing a response that arrived during a stall: a timer that ran before the response was read
/// cancelled the poll and closed its connection.
#[test]
fn delayed_timer_lets_pending_responses_be_read_first() {
    let mut harness = Harness::new(Source::Service, Some(41));
    harness.advance_to_deadline();
    assert_eq!(
        harness.handle(9_000_000, Input::Timer),
        [],
        "the timer and the responses are late because this process was stalled"
    );
    let mut other = Harness {
        watch: harness.watch.clone(),
        out: Vec::new(),
    };
    assert_eq!(
        harness.respond(9_000_500, 1, 42, false)[..2],
        [cancelled(0), Output::Accept]
    );
    // No response had arrived, and the next timer is late again, as the process gets almost no processor time.
    assert!(other.watch.next_deadline() <= Some(9_100_000));
    let out = other.handle(12_000_000, Input::Timer);
    assert!(out.contains(&Output::Failed), "{out:?}");
}

/// The response arrived before a stall. Its connection may have died during the stall, as no poll was in flight on it.
#[test]
fn response_read_late_is_followed_by_poll_on_fresh_connection() {
    let mut harness = Harness::new(Source::Agent, Some(41));
    let out = harness.respond(5_000_000, 0, 42, false);
    assert!(
        matches!(
            out[..],
            [
                Output::Accept,
                Output::Send {
                    index: Some(42),
                    fresh_connection: true,
                    ..
                }
            ]
        ),
        "{out:?}"
    );
    let out = harness.respond(5_100_000, 1, 43, false);
    assert!(
        matches!(
            out[..],
            [
                Output::Accept,
                Output::Send {
                    fresh_connection: false,
                    ..
                }
            ]
        ),
        "{out:?}"
    );
}
