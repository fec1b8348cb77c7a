//! Requests whose last byte arrives late in a shutdown: each has its final answer before the process may be killed.

use crate::in_process::*;
use badgerramp_testkit::*;
use std::sync::mpsc::TryRecvError;
use std::time::{Duration, Instant};

/// The longest deadline of the settings of these tests.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the start of a shutdown a request may arrive that keeps its whole time.
const REQUEST_TIME: Duration = Duration::from_millis(700);
/// When the process may be killed, counted from the start of its shutdown.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// The time that the program keeps back of each client's timeout.
const RESPONSE_RESERVE: Duration = Duration::from_millis(2);
/// The shortest time step.
const TICK: Duration = Duration::from_millis(1);

/// A program that shuts down, in frozen time.
struct Shutdown {
    program: InProcessProxy,
    time: FrozenTime,
    /// The time since the start of the shutdown.
    elapsed: Duration,
}

impl Shutdown {
    /// Advances the time to this time after the start of the shutdown.
    async fn advance_to(&mut self, elapsed: Duration) {
        self.time.advance(elapsed - self.elapsed).await;
        self.elapsed = elapsed;
    }

    /// The time until the process may be killed.
    fn time_until_kill(&self) -> Duration {
        KILL_AFTER - self.elapsed
    }
}

/// Settings with this longest deadline. An answer counts until the deadline, so that an attempt has the whole time of its
/// call.
fn settings_with(longest_deadline: Duration) -> String {
    let micros = longest_deadline.as_micros().to_string();
    SETTINGS
        .replace(
            "\"objective_us\":1500000",
            &format!("\"objective_us\":{micros}"),
        )
        .replace(
            "\"deadline_us\":3000000",
            &format!("\"deadline_us\":{micros}"),
        )
}

/// Starts the program, has one client send the beginning of each of these texts, and starts the shutdown.
async fn shut_down_with(
    host: &Host,
    longest_deadline: Duration,
    beginnings: &[&str],
) -> (Shutdown, Vec<Client>) {
    let settings = settings_with(longest_deadline);
    let mut program = InProcessProxy::start_with(1_024, host.address, &settings).await;
    let (idle, _) = on_client_thread(program.client(), |c| {
        c.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    })
    .await;
    let time = FrozenTime::start();
    let mut clients = Vec::new();
    for (number, text) in (1..).zip(beginnings) {
        let mut client = program.client();
        client.write(text);
        program.hooks.wait_until_accepted(number).await;
        program.hooks.wait_until_read(number).await;
        clients.push(client);
    }
    program.stop();
    // The end of an idle connection shows that the shutdown has begun.
    while is_open(&idle) {
        tokio::task::yield_now().await;
    }
    let shutdown = Shutdown {
        program,
        time,
        elapsed: Duration::ZERO,
    };
    (shutdown, clients)
}

/// Waits for the next request at a host, while the program runs on.
async fn next_request(host: &Host) -> Message {
    let started = Instant::now();
    while started.elapsed() < EVENT_TIMEOUT {
        match host.events.try_recv() {
            Ok(HostEvent::Request(_, message)) => return message,
            Ok(_) => {}
            Err(TryRecvError::Empty) => tokio::task::yield_now().await,
            Err(error) => panic!("the host has ended: {error}"),
        }
    }
    panic!("no request");
}

/// The time that a request tells its host.
fn told_timeout(request: &Message) -> Duration {
    let timeout = request.header("x-timeout").expect("a timeout");
    let micros = timeout.strip_suffix('u').expect("microseconds");
    Duration::from_micros(micros.parse().expect("a number"))
}

/// The status of the answer that a client has by now.
async fn answer_so_far(client: Client) -> u16 {
    assert!(!is_open(&client), "there is no answer yet");
    let (_, answer) = on_client_thread(client, read_answer).await;
    answer.expect("a final answer").status()
}

/// The call of a request that was complete over 0.7 s after SIGTERM had its client's whole time. If its host hung, it was
/// unanswered when the process was killed.
#[test]
fn a_request_completed_late_in_a_shutdown_is_answered_before_the_kill_if_its_host_hangs() {
    let requests = [
        ("keyed", "3000m"),
        ("unsafe", "3000m"),
        ("unsafe", "2600m"),
        ("unsafe", "9000m"),
        ("unsafe", "900m"),
    ];
    for completed_at in [701, 1_000, 2_200].map(Duration::from_millis) {
        run_local(async || {
            let host = Host::start(|_| Reply::Silence);
            let texts = requests.map(|(class, timeout)| {
                request(class, timeout, &format!("late-{class}-{timeout}"))
            });
            let halves = texts.each_ref().map(|text| text.split_at(text.len() - 2));
            let (mut shutdown, clients) =
                shut_down_with(&host, LONGEST_DEADLINE, &halves.map(|half| half.0)).await;
            shutdown.advance_to(completed_at).await;
            let mut sent = Vec::new();
            for (mut client, (_, rest)) in clients.into_iter().zip(halves) {
                client.write(rest);
                let timeout = told_timeout(&next_request(&host).await);
                assert!(timeout < shutdown.time_until_kill(), "{timeout:?} told");
                sent.push(client);
            }
            shutdown.advance_to(KILL_AFTER - TICK).await;
            for client in sent {
                let status = answer_so_far(client).await;
                assert!([502, 503, 504].contains(&status), "{status}");
            }
        });
    }
}

/// A request that is complete within 0.7 s after SIGTERM, or that has time enough, is not cut short.
#[test]
fn a_request_completed_early_in_a_shutdown_keeps_its_whole_time() {
    for completed_at in [TICK, REQUEST_TIME - TICK, REQUEST_TIME] {
        run_local(async || {
            let host = Host::start(|_| Reply::Silence);
            let text = request("unsafe", "3000m", "early");
            let (beginning, rest) = text.split_at(text.len() - 2);
            let (mut shutdown, mut clients) =
                shut_down_with(&host, LONGEST_DEADLINE, &[beginning]).await;
            shutdown.advance_to(completed_at).await;
            clients[0].write(rest);
            let timeout = told_timeout(&next_request(&host).await);
            assert_eq!(timeout, LONGEST_DEADLINE - RESPONSE_RESERVE);
        });
    }
}

/// A late request is served as long as there is time, and its own deadline holds if that is earlier.
#[test]
fn a_late_request_in_a_shutdown_is_served_if_its_host_answers() {
    run_local(async || {
        let host = Host::serving("ok");
        let texts = ["keyed", "unsafe"].map(|class| request(class, "900m", class));
        let halves = texts.each_ref().map(|text| text.split_at(text.len() - 2));
        let (mut shutdown, clients) =
            shut_down_with(&host, LONGEST_DEADLINE, &halves.map(|half| half.0)).await;
        shutdown.advance_to(Duration::from_millis(2_250)).await;
        for (mut client, (_, rest)) in clients.into_iter().zip(halves) {
            client.write(rest);
            let timeout = told_timeout(&next_request(&host).await);
            assert_eq!(timeout, Duration::from_millis(900) - RESPONSE_RESERVE);
            let (_, answer) = on_client_thread(client, read_answer).await;
            assert_eq!(answer.map(|answer| answer.status()), Some(200));
        }
    });
}

/// A head of which the rest arrived over 0.7 s after SIGTERM was read only as long as another request was in flight; its
/// connection was closed without a word.
#[test]
fn a_head_completed_late_in_a_shutdown_is_served() {
    for class in ["safe", "keyed", "unsafe"] {
        run_local(async || {
            let host = Host::serving("ok");
            let text = request(class, "900m", "head");
            let (beginning, rest) = text.split_at(40);
            let (mut shutdown, mut clients) =
                shut_down_with(&host, LONGEST_DEADLINE, &[beginning]).await;
            shutdown.advance_to(Duration::from_millis(2_000)).await;
            let mut client = clients.remove(0);
            assert!(is_open(&client), "{class}: the connection is closed");
            client.write(rest);
            let (_, answer) = on_client_thread(client, read_answer).await;
            assert_eq!(answer.map(|answer| answer.status()), Some(200), "{class}");
        });
    }
}

/// A request that was still incomplete when its process was killed had no answer, and neither had one whose last byte came just
/// before. Both are refused in time.
#[test]
fn a_request_that_stays_incomplete_in_a_shutdown_is_refused_before_the_kill() {
    /// A deadline so short that the time limit for receiving a request ends after the kill.
    const SHORT_DEADLINE: Duration = Duration::from_secs(1);
    let kill_after = REQUEST_TIME + SHORT_DEADLINE;
    run_local(async || {
        let host = Host::start(|_| Reply::Silence);
        let texts = ["1", "2", "3", "4"].map(|id| request("unsafe", "900m", id));
        let length = texts[0].len();
        let lengths = [1, 40, length - "body".len(), length - 1];
        let beginnings = [0, 1, 2, 3].map(|number| &texts[number][..lengths[number]]);
        let (mut shutdown, clients) = shut_down_with(&host, SHORT_DEADLINE, &beginnings).await;
        shutdown.advance_to(kill_after - TICK).await;
        for client in clients {
            assert_eq!(answer_so_far(client).await, 503);
        }
        assert_eq!(host.further_requests(), 0);
        // All clients have their answers, and the process ends by itself.
        shutdown.advance_to(2 * kill_after).await;
        let ended = shutdown.program.ended.await;
        assert_eq!(ended.expect("an end"), Ok(()));
    });
}
