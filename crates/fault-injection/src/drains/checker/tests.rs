//! Tests of the times of notification.

use super::*;

const S: Micros = 1_000_000;

fn record(at: Micros, event: Event) -> ServiceRecord {
    ServiceRecord {
        at,
        proxy: 0,
        event,
    }
}

fn late_requests(
    records: &[ServiceRecord],
    pushed: bool,
    outages: &[(Micros, Micros)],
    at: Micros,
) -> usize {
    late_requests_after(&[], records, pushed, outages, at)
}

fn late_requests_after(
    restarts: &[Restart],
    records: &[ServiceRecord],
    pushed: bool,
    outages: &[(Micros, Micros)],
    at: Micros,
) -> usize {
    let changes = [(0, 0, Status::Up(0)), (2 * S, 0, Status::Draining)];
    let arrivals = [Arrival {
        at,
        host: 0,
        request: "p0-1".to_owned(),
    }];
    let disconnected_at = HashMap::new();
    let histories = Histories {
        records,
        changes: &changes,
        arrivals: &arrivals,
        drain_grace: S,
        pushed,
        outages,
        restarts,
        disconnected_at: &disconnected_at,
    };
    histories.check(0).late
}

#[test]
fn requests_begin_at_most_100_ms_after_their_client_disconnected() {
    let disconnected_at = HashMap::from([("p0-1".to_owned(), S)]);
    let after_disconnect = |request: &str, at| {
        let arrivals = [Arrival {
            at,
            host: 0,
            request: request.to_owned(),
        }];
        let (records, changes, outages) = (&[], &[], &[]);
        Histories {
            records,
            changes,
            arrivals: &arrivals,
            drain_grace: S,
            pushed: false,
            outages,
            restarts: &[],
            disconnected_at: &disconnected_at,
        }
        .check(0)
        .gone
    };
    assert_eq!(
        [
            after_disconnect("p0-1", S + 100_000),
            after_disconnect("p0-1", S + 100_001),
            after_disconnect("p0-2", 9 * S)
        ],
        [0, 1, 0]
    );
}

#[test]
fn notification_follows_from_answers_silence_and_the_agent() {
    let answered = [record(
        3 * S,
        Event::Answered {
            connection: 1,
            version: 2,
        },
    )];
    assert_eq!(
        [4 * S, 4 * S + 1].map(|at| late_requests(&answered, false, &[], at)),
        [0, 1]
    );
    let silent = |wait| {
        [
            record(
                S,
                Event::Polled {
                    connection: 1,
                    wait,
                },
            ),
            record(S + 5, Event::Silenced { connection: 1 }),
        ]
    };
    assert_eq!(
        [8 * S + 5, 8 * S + 6].map(|at| late_requests(&silent(2 * S), false, &[], at)),
        [0, 1]
    );
    assert_eq!(
        [14 * S, 14 * S + 1].map(|at| late_requests(&silent(10 * S), false, &[], at)),
        [0, 1]
    );
    let outages = [(S, 5 * S)];
    assert_eq!(
        late_requests(&silent(2 * S), false, &outages, 99 * S),
        0,
        "the outage closed the silent watch"
    );
    // The agent is silent while the service is down, and gets the changes it missed when the service is back.
    assert_eq!(
        [6 * S, 6 * S + 1].map(|at| late_requests(&[], true, &outages, at)),
        [0, 1]
    );
    assert_eq!(
        late_requests(&[], false, &[], 99 * S),
        0,
        "a proxy that was not notified violates nothing"
    );
}

/// A process that takes the place of another has to keep to what it was told itself: an answer, what its agent has from its
/// first moment on, and any change 6 s after it was made.
#[test]
fn a_new_process_is_notified_by_its_own_answers_its_agent_or_after_the_longest_time() {
    const RESTARTED_AT: Micros = 4 * S;
    let answer = |at| {
        record(
            at,
            Event::Answered {
                connection: 1,
                version: 2,
            },
        )
    };
    let restarts = [Restart {
        at: RESTARTED_AT,
        proxy: 0,
    }];
    let late = |records: &[ServiceRecord], pushed, at| {
        late_requests_after(&restarts, records, pushed, &[], at)
    };
    // The earlier process was told at once.
    let told_before = [answer(2 * S)];
    assert_eq!(
        [3 * S, 3 * S + 1, RESTARTED_AT - 1].map(|at| late(&told_before, false, at)),
        [0, 1, 1]
    );
    assert_eq!(
        [RESTARTED_AT, 9 * S, 9 * S + 1].map(|at| late(&told_before, false, at)),
        [0, 0, 1],
        "at the latest 6 s after the change"
    );
    let told_again = [answer(2 * S), answer(5 * S)];
    assert_eq!(
        [6 * S, 6 * S + 1].map(|at| late(&told_again, false, at)),
        [0, 1]
    );
    assert_eq!(
        [RESTARTED_AT + S, RESTARTED_AT + S + 1].map(|at| late(&[], true, at)),
        [0, 1],
        "the agent has it from the first moment"
    );
}
