//! The watch by hand: which question goes out when, and which answer holds.

use badgerramp_endpoint_watch::{
    Input, Micros, Output, PollId, ProtocolViolation, Source, TimeoutConfig, Timeouts, Watch,
    CONNECT_TIMEOUT, NOTIFIED_AFTER_SILENCE, SERVICE_RESPONSE_TIMEOUT,
};

const GRACE: Micros = 1_000_000;

struct Hand {
    watch: Watch,
    out: Vec<Output>,
}

impl Hand {
    fn new(source: Source, index: Option<u64>) -> Hand {
        let watch = Watch::new(
            Timeouts::derive(TimeoutConfig {
                source,
                drain_grace: GRACE,
                wait: None,
            }),
            index,
            None,
            7,
        );
        let mut hand = Hand {
            watch,
            out: Vec::new(),
        };
        hand.tell(0, Input::Start);
        hand
    }

    fn tell(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.out.clear();
        self.watch.handle(now, input, false, &mut self.out);
        self.out.clone()
    }

    fn answer(&mut self, now: Micros, poll: u64, index: u64, complete: bool) -> Vec<Output> {
        self.tell(
            now,
            Input::Response {
                poll: PollId(poll),
                index,
                complete,
            },
        )
    }

    fn fail(&mut self, now: Micros, poll: u64) -> Vec<Output> {
        self.tell(now, Input::Failed { poll: PollId(poll) })
    }

    fn refuse(&mut self, now: Micros, poll: u64) -> Vec<Output> {
        self.tell(now, Input::Rejected { poll: PollId(poll) })
    }

    /// Lets the time come that it waits for.
    fn late(&mut self) -> (Micros, Vec<Output>) {
        let due = self.watch.next_deadline().expect("it waits for something");
        (due, self.tell(due, Input::Timer))
    }

    fn open(&self) -> Vec<u64> {
        self.watch.in_flight().map(|q| q.0).collect()
    }
}

fn ask(poll: u64, index: Option<u64>, wait: Micros, fresh_connection: bool) -> Output {
    Output::Send {
        poll: PollId(poll),
        index,
        wait,
        fresh_connection,
    }
}

fn dropped(poll: u64) -> Output {
    Output::Cancel(PollId(poll))
}

#[test]
fn an_answer_holds_and_the_watch_goes_on_at_once() {
    let mut hand = Hand::new(Source::Service, Some(41));
    assert_eq!(hand.out, [ask(0, Some(41), 2_000_000, false)]);
    assert_eq!(
        hand.tell(1, Input::Start),
        [],
        "a second wish changes nothing"
    );
    assert_eq!(
        hand.answer(700_000, 0, 42, false),
        [Output::Accept, ask(1, Some(42), 2_000_000, false)]
    );
    // Nothing new at the end of the wait.
    assert_eq!(
        hand.answer(2_700_000, 1, 42, false),
        [Output::Accept, ask(2, Some(42), 2_000_000, false)]
    );
    // Nothing new, and at once: a pause, which stays within the 200 ms.
    assert_eq!(hand.answer(2_700_010, 2, 42, false), [Output::Accept]);
    assert_eq!(
        hand.late(),
        (2_750_010, vec![ask(3, Some(42), 2_000_000, false)])
    );
}

/// Its silence showed two seconds after its wait, when what it missed was told already.
#[test]
fn a_late_answer_brings_a_second_question_beside_the_first_on_a_fresh_connection() {
    let mut hand = Hand::new(Source::Service, Some(41));
    let beside = vec![
        Output::Overdue(PollId(0)),
        ask(1, Some(41), 2_000_000, true),
    ];
    assert_eq!(hand.late(), (2_500_000, beside));
    assert_eq!(hand.open(), [0, 1]);
    // Either answer holds, and settles the other.
    let mut other = Hand {
        watch: hand.watch.clone(),
        out: Vec::new(),
    };
    let next = ask(2, Some(42), 2_000_000, false);
    assert_eq!(
        hand.answer(2_600_000, 1, 42, false),
        [dropped(0), Output::Accept, next]
    );
    assert_eq!(
        hand.answer(2_700_000, 0, 43, false),
        [],
        "the old watch's news come too late"
    );
    assert_eq!(
        other.answer(2_600_000, 0, 42, false),
        [dropped(1), Output::Accept, next]
    );
    assert_eq!(
        other.answer(2_700_000, 1, 41, true),
        [],
        "and so does an older list"
    );
    assert_eq!(other.watch.index(), Some(42));
}

#[test]
fn where_the_second_fails_as_well_or_is_silent_asking_has_failed() {
    let mut hand = Hand::new(Source::Service, Some(41));
    hand.late();
    let mut other = Hand {
        watch: hand.watch.clone(),
        out: Vec::new(),
    };
    assert_eq!(
        hand.fail(2_600_000, 1),
        [Output::Failed],
        "the first is doubted"
    );
    assert_eq!(hand.open(), [0], "and may still be answered");
    assert_eq!(
        hand.tell(2_600_001, Input::Start),
        [],
        "a wish of the decisions changes nothing"
    );
    let (at, again) = hand.late();
    assert!(
        (2_600_000 + 250_000..=2_600_000 + 500_000).contains(&at),
        "{at}"
    );
    assert_eq!(again, [ask(2, Some(41), 2_000_000, false)]);
    assert_eq!(
        hand.answer(at + 1, 0, 42, false)[..2],
        [dropped(2), Output::Accept]
    );
    let doubted = Output::Overdue(PollId(1));
    assert_eq!(
        other.late(),
        (5_000_000, vec![doubted, dropped(0), Output::Failed])
    );
    assert_eq!(
        other.open(),
        [1],
        "it has as long as a late connection and an answer in turn take"
    );
    assert_eq!(other.late().1, [ask(2, Some(41), 2_000_000, false)]);
    assert_eq!(
        other.answer(6_500_000, 1, 42, false)[..2],
        [dropped(2), Output::Accept]
    );
    // The first fails, which is no news of the second.
    let mut third = Hand::new(Source::Service, Some(41));
    third.late();
    assert_eq!(third.fail(2_600_000, 0), []);
    assert_eq!(third.open(), [1]);
}

/// A crowded service refuses at once or queues a question for up to three seconds. A second question beside a queued one
/// was refused, and the queued one ended with it: the proxy came to the end of the queue again and again.
#[test]
fn a_question_that_follows_a_refusal_has_the_time_of_the_services_queue() {
    const DOUBT: Micros = 500_000;
    let mut hand = Hand::new(Source::Service, Some(41));
    assert_eq!(hand.refuse(10_000, 0), [Output::Failed]);
    let (asked, again) = hand.late();
    assert_eq!(
        again,
        [ask(1, Some(41), DOUBT, false)],
        "the wait is short, as the queue comes before it"
    );
    let mut other = Hand {
        watch: hand.watch.clone(),
        out: Vec::new(),
    };
    // One that stays away is doubted after the queue and the wait.
    let beside = vec![Output::Overdue(PollId(1)), ask(2, Some(41), DOUBT, true)];
    assert_eq!(
        hand.late(),
        (asked + SERVICE_RESPONSE_TIMEOUT + 2 * DOUBT, beside)
    );
    // An answer ends that: the watch goes on as ever.
    let next = ask(2, Some(42), 2_000_000, false);
    assert_eq!(
        other.answer(asked + SERVICE_RESPONSE_TIMEOUT, 1, 42, false),
        [Output::Accept, next]
    );
    assert_eq!(other.late().0, asked + SERVICE_RESPONSE_TIMEOUT + 2_500_000);
    // So does another service.
    hand.refuse(asked + 6_000_000, 2);
    assert_eq!(
        hand.tell(asked + 6_000_001, Input::SourceChanged).last(),
        Some(&ask(3, None, 2_000_000, false))
    );
}

/// A connection that is reset says nothing of a queue.
#[test]
fn a_question_that_failed_without_a_refusal_is_doubted_as_soon_as_ever() {
    let mut hand = Hand::new(Source::Service, Some(41));
    assert_eq!(hand.fail(10_000, 0), [Output::Failed]);
    let (asked, again) = hand.late();
    assert_eq!(again, [ask(1, Some(41), 2_000_000, false)]);
    assert_eq!(hand.late().0, asked + 2_500_000);
}

/// An agent costs nothing to ask, and what it has counts as told the moment it answers again.
#[test]
fn an_agent_that_is_silent_is_asked_again_and_again() {
    let mut hand = Hand::new(Source::Agent, Some(41));
    let (mut last, mut asked) = (0, 1);
    for _ in 0..100 {
        let (now, out) = hand.late();
        assert!(now - last <= GRACE * 3 / 4, "{now} after {last}");
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
        assert!(hand.open().len() <= 2);
        (last, asked) = (now, asked + 1);
    }
    let newest = asked - 1;
    let taken = hand.answer(last + 1, newest, 50, false);
    assert!(taken.contains(&Output::Accept), "{taken:?}");
    assert!(matches!(
        taken.last(),
        Some(Output::Send {
            index: Some(50),
            ..
        })
    ));
    // Refused, it is asked again with nobody to say so.
    let refused = hand.fail(last + 2, asked);
    assert_eq!(refused, [Output::Failed]);
    assert!(matches!(hand.late().1[..], [Output::Send { .. }]));
}

#[test]
fn an_index_of_another_life_means_nothing() {
    let mut hand = Hand::new(Source::Service, Some(41));
    let back = Output::Violation(ProtocolViolation::IndexWentBack {
        requested: 41,
        received: 7,
    });
    assert_eq!(
        hand.answer(10, 0, 7, false),
        [back, ask(1, None, 2_000_000, false)]
    );
    // Changes are no answer to a question for the whole list.
    assert_eq!(
        hand.answer(20, 1, 7, false),
        [
            Output::Violation(ProtocolViolation::ChangesInsteadOfList),
            Output::Failed
        ]
    );
    let (at, again) = hand.late();
    assert_eq!(again, [ask(2, None, 2_000_000, false)]);
    assert_eq!(hand.answer(at + 10, 2, 7, true)[..1], [Output::Accept]);
    assert_eq!(hand.watch.index(), Some(7));
    let mut hand = Hand::new(Source::Service, Some(41));
    let life = Output::Violation(ProtocolViolation::NewIncarnation {
        requested: 41,
        received: 7,
    });
    assert_eq!(hand.answer(10, 0, 7, true)[..2], [life, Output::Accept]);
    assert_eq!(hand.watch.index(), Some(7));
}

/// SIGHUP moves the service, also while a watch is doubted: what is out means nothing, and the whole list is asked for.
#[test]
fn a_move_asks_for_the_whole_list_at_once() {
    let mut hand = Hand::new(Source::Service, Some(41));
    hand.late();
    let moved = hand.tell(2_600_000, Input::SourceChanged);
    assert_eq!(
        moved,
        [dropped(0), dropped(1), ask(2, None, 2_000_000, false)]
    );
    assert_eq!(hand.answer(2_700_000, 1, 42, false), []);
    // Its connection may be silent as well: one for the whole list is doubted like any other.
    let beside = vec![Output::Overdue(PollId(2)), ask(3, None, 2_000_000, true)];
    assert_eq!(hand.late(), (5_100_000, beside));
    let out = vec![Output::Overdue(PollId(3)), dropped(2), Output::Failed];
    assert_eq!(hand.late(), (7_600_000, out));
}

/// The decisions' own pause doubled up to several seconds, beside which nothing was left of the time in which a change
/// counts as told.
#[test]
fn however_often_it_fails_a_pause_leaves_time_for_an_answer() {
    let mut hand = Hand::new(Source::Service, Some(41));
    let (mut poll, mut now, mut pauses) = (0, 10, Vec::new());
    for _ in 0..40 {
        assert_eq!(hand.fail(now, poll), [Output::Failed]);
        let (at, again) = hand.late();
        poll += 1;
        assert_eq!(again, [ask(poll, Some(41), 2_000_000, false)]);
        pauses.push(at - now);
        now = at + 1;
    }
    let most =
        (NOTIFIED_AFTER_SILENCE + GRACE / 2 - CONNECT_TIMEOUT - SERVICE_RESPONSE_TIMEOUT) / 2;
    assert!(
        pauses.iter().all(|p| (250_000..=most).contains(p)),
        "{pauses:?}"
    );
    assert!(
        pauses[3..].iter().any(|p| *p > most / 2 + most / 4),
        "they grow, and spread: {pauses:?}"
    );
    let other = Watch::new(
        Timeouts::derive(TimeoutConfig {
            source: Source::Service,
            drain_grace: GRACE,
            wait: None,
        }),
        Some(41),
        None,
        8,
    );
    let mut other = Hand {
        watch: other,
        out: Vec::new(),
    };
    other.tell(0, Input::Start);
    other.fail(10, 0);
    assert_ne!(
        other.late().0 - 10,
        pauses[0],
        "two proxies do not come back together"
    );
    // An answer ends the row.
    hand.answer(now, poll, 42, false);
    hand.fail(now + 1, poll + 1);
    assert!(hand.late().0 - now - 1 <= 500_000);
}

/// News that came while the process stood still went with its connection, dropped by a timer that ran first.
#[test]
fn a_timer_that_was_held_up_lets_what_came_in_be_read_first() {
    let mut hand = Hand::new(Source::Service, Some(41));
    hand.late();
    assert_eq!(
        hand.tell(9_000_000, Input::Timer),
        [],
        "both are late, by this process's own fault"
    );
    let mut other = Hand {
        watch: hand.watch.clone(),
        out: Vec::new(),
    };
    assert_eq!(
        hand.answer(9_000_500, 1, 42, false)[..2],
        [dropped(0), Output::Accept]
    );
    // Nothing had come; and the next timer is as late, as there is almost no processor time.
    assert!(other.watch.next_deadline() <= Some(9_100_000));
    let out = other.tell(12_000_000, Input::Timer);
    assert!(out.contains(&Output::Failed), "{out:?}");
}

/// The answer had come before the process stood still; its connection fell silent meanwhile, with no question on it.
#[test]
fn an_answer_that_is_read_late_is_followed_by_a_question_on_a_fresh_connection() {
    let mut hand = Hand::new(Source::Agent, Some(41));
    let out = hand.answer(5_000_000, 0, 42, false);
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
    let out = hand.answer(5_100_000, 1, 43, false);
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
