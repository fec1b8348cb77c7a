//! The program as a process on loopback sockets, between stub clients, hosts and list services.

use badgerramp_testkit::*;
use std::io::{Read, Write};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

fn up(name: &str, host: &Host) -> String {
    entry(name, host.address, "up", 0)
}

#[test]
fn a_call_and_its_response_pass_unchanged() {
    let (discovery, host) = (Discovery::start(), Host::serving("done"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut client = proxy.client();
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    client.write(&request("keyed", "2000m", "9b1f03aa"));
    let answer = client.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"done".as_slice())
    );
    let (_, request) = host.request();
    assert!(
        request.head.starts_with("POST /keyed?q=1 HTTP/1.1\r\n"),
        "{}",
        request.head
    );
    assert_eq!(request.body, b"body");
    assert_eq!(request.header("x-request-id"), Some("9b1f03aa"));
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    let remaining: u64 = request
        .header("x-timeout")
        .and_then(|t| t.strip_suffix('u'))
        .expect("time")
        .parse()
        .expect("us");
    assert!(remaining > 0 && remaining <= 2_000_000, "{remaining}");
}

#[test]
fn connections_are_reused_and_one_closed_while_idle_is_replaced_before_writing() {
    let discovery = Discovery::start();
    // The host closes the connection after the third response, without announcing it.
    let host = Host::start(|n| match n {
        2 => Reply::WriteAndClose(answer("200 OK", "", "x")),
        _ => Reply::Write(answer("200 OK", "", "x")),
    });
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for expected_connection in [0, 0, 0, 1, 1] {
        // An unsafe call written to the closed connection would fail, since it might have run.
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
        assert_eq!(host.request().0, expected_connection, "connection number");
    }
}

#[test]
fn an_unsafe_call_that_may_have_run_fails_without_a_retry() {
    let complete = answer("200 OK", "", "whole");
    let half = complete[..complete.len() - 2].to_owned();
    let unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf".to_owned();
    for reply in [
        Reply::WriteAndClose(String::new()),
        Reply::WriteAndClose(half),
        Reply::WriteAndClose(unframed),
        Reply::Write(answer("500 Internal Server Error", "", "")),
        Reply::Write(answer("503 Service Unavailable", "", "")),
        Reply::Write(answer("200 OK", "", &"x".repeat(70_000))),
        // The following replies are malformed or not supported; the call has run all the same,
        // and the connection must not be reused.
        Reply::Write("noise that is no answer\r\n\r\n".to_owned()),
        Reply::Write("HTTP/1.1 2oo OK\r\nContent-Length: 2\r\n\r\nok".to_owned()),
        Reply::Write("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok".to_owned()),
        Reply::Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok".to_owned(),
        ),
        Reply::Write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok".to_owned()),
        Reply::Write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n".to_owned(),
        ),
        Reply::Write(answer(
            "200 OK",
            "Transfer-Encoding: chunked\r\n",
            "0\r\n\r\n",
        )),
        Reply::WriteAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok".to_owned()),
        Reply::Write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n".to_owned()),
        Reply::Write(format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(40_000))),
    ] {
        let discovery = Discovery::start();
        let excerpt = format!("{reply:?}").chars().take(90).collect::<String>();
        let hosts = [reply.clone(), reply].map(|reply| Host::start(move |_| reply.clone()));
        let proxy = Proxy::start(
            PROGRAM,
            &discovery,
            &[up("s-1", &hosts[0]), up("s-2", &hosts[1])],
        );
        let answer = proxy.call("unsafe", "2000m");
        assert!(
            ![200, 429, 503].contains(&answer.status()),
            "{excerpt}: {}",
            answer.head
        );
        let requests = hosts[0].further_requests() + hosts[1].further_requests();
        assert_eq!(requests, 1, "{excerpt}");
    }
}

/// Sends ten unsafe calls to a host that appends `trailing(response)` to every other response, and checks that only the
/// others' connections are reused. `followed_is_served` says whether the responses with an appendix are served; otherwise
/// their calls fail and are not sent again.
fn check_calls_with_trailing_data(
    trailing: impl Fn(&str) -> String + Send + Sync + 'static,
    followed_is_served: bool,
) {
    let host = Host::start(move |n| {
        let response = answer("200 OK", "", &format!("answer {n}"));
        let appendix = (n % 2 == 0).then(|| trailing(&response));
        Reply::Write(response + &appendix.unwrap_or_default())
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut closed_connections = Vec::new();
    for n in 0..10 {
        let is_followed = n % 2 == 0;
        let answer = proxy.call("unsafe", "2000m");
        let expected = if !is_followed || followed_is_served {
            (200, format!("answer {n}"))
        } else {
            (502, "failed".to_owned())
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!((answer.status(), body), expected);
        let (connection, _) = host.request();
        assert!(
            !closed_connections.contains(&connection),
            "a connection is reused"
        );
        if is_followed {
            closed_connections.push(connection);
        }
    }
    assert_eq!(host.further_requests(), 0, "no call is sent twice");
}

/// Bytes after a response, also while the connection is idle, must not be read as the response to the next request, and
/// the connection is not reused. They may be the rest of a response whose length is too short, so that it is not served.
#[test]
fn bytes_after_a_response_are_never_read_as_another_response() {
    for trailing in [
        answer("200 OK", "", "old"),
        "noise".to_owned(),
        "\r\n".to_owned(),
    ] {
        check_calls_with_trailing_data(move |_| trailing.clone(), false);
    }
}

/// The same for a second copy of the response, which confirms where the response ends.
#[test]
fn a_second_copy_of_a_response_is_never_read_as_another_response() {
    check_calls_with_trailing_data(str::to_owned, true);
}

/// A single malformed response says little about its host. It used to count as a broken connection, which ejected the host
/// at once.
#[test]
fn a_host_with_one_malformed_response_is_not_ejected() {
    let faulty_host = Host::start(|n| match n {
        0 => Reply::Write("HTTP/1.1 2oo OK\r\n\r\n".to_owned()),
        _ => Reply::Write(answer("200 OK", "", "ok")),
    });
    let (discovery, other) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[up("s-1", &faulty_host), up("s-2", &other)],
    );
    let started = Instant::now();
    while proxy.call("unsafe", "2000m").status() == 200 {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "the host never got a request"
        );
    }
    faulty_host.request();
    assert!((0..40).all(|_| proxy.call("unsafe", "2000m").status() == 200));
    assert!(faulty_host.further_requests() > 0, "the host is still used");
}

/// The final response is served, also after interim (1xx) responses.
#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let host = Host::start(move |_| Reply::Write(interim.to_owned() + &answer("200 OK", "", "ok")));
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for _ in 0..3 {
        assert_eq!(proxy.call("unsafe", "2000m").body, b"ok");
        assert_eq!(host.request().0, 0, "the connection is kept");
    }
}

#[test]
fn a_call_that_never_ran_is_retried_at_another_host() {
    let rejection = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let discovery = Discovery::start();
    let (rejecting_host, good) = (
        Host::start(move |_| Reply::Write(rejection.clone())),
        Host::serving("ok"),
    );
    let entries = [
        up("s-1", &rejecting_host),
        up("s-2", &good),
        entry("s-3", unused_address(), "up", 0),
    ];
    let proxy = Proxy::start(PROGRAM, &discovery, &entries);
    for _ in 0..12 {
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    }
    assert!(
        rejecting_host.further_requests() > 0,
        "the rejecting host was tried"
    );
}

/// A retry sends the client's remaining time, not its original timeout.
#[test]
fn a_retry_sends_the_remaining_timeout_to_its_host() {
    // Shorter than the latency objective of the class, which would also limit an attempt.
    const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_400);
    const HOST_DELAY: Duration = Duration::from_millis(600);
    let rejection = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let discovery = Discovery::start();
    let rejecting_host = Host::start(move |_| {
        std::thread::sleep(HOST_DELAY);
        Reply::Write(rejection.clone())
    });
    let good = Host::serving("ok");
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[up("s-1", &rejecting_host), up("s-2", &good)],
    );
    let mut reduced_timeouts = 0;
    for _ in 0..12 {
        assert_eq!(
            proxy
                .call("unsafe", &format!("{}m", CLIENT_TIMEOUT.as_millis()))
                .status(),
            200
        );
        let (_, request) = good.request();
        let remaining = request
            .header("x-timeout")
            .and_then(|t| t.strip_suffix('u'))
            .expect("a time");
        let remaining = Duration::from_micros(remaining.parse().expect("microseconds"));
        reduced_timeouts += usize::from(remaining <= CLIENT_TIMEOUT - HOST_DELAY);
    }
    let rejected_attempts = rejecting_host.further_requests();
    assert!(rejected_attempts > 0, "the rejecting host was tried");
    assert!(
        reduced_timeouts >= rejected_attempts,
        "{reduced_timeouts} of {rejected_attempts} retries sent the reduced timeout"
    );
}

#[test]
fn a_call_to_a_host_that_never_answers_ends_at_its_timeout() {
    let (discovery, host) = (Discovery::start(), Host::start(|_| Reply::Silence));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let started = Instant::now();
    let answer = proxy.call("unsafe", "400m");
    assert!(
        ![200, 429, 503].contains(&answer.status()),
        "it may have run: {}",
        answer.head
    );
    assert!(
        started.elapsed().as_millis() >= 300 && started.elapsed() < EVENT_TIMEOUT / 4,
        "{:?}",
        started.elapsed()
    );
    // The cancelled attempt closes its connection.
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_pending_connect_is_cancelled_when_its_call_ends() {
    let (discovery, unresponsive) = (Discovery::start(), FullBacklogHost::start());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(
        listen,
        discovery.address,
        1_024,
        &[entry("s-1", unresponsive.address, "up", 0)],
    );
    let text = text.replace(
        r#""connect_timeout_us":1000000"#,
        r#""connect_timeout_us":60000000"#,
    );
    let proxy = Proxy::with_config(PROGRAM, &text);
    let answer = proxy.call("unsafe", "300m");
    assert_ne!(answer.status(), 200);
    assert!(
        !unresponsive.another_connects(),
        "no connect starts after the final response"
    );
}

#[test]
fn a_connect_that_hangs_times_out_and_its_call_is_rejected() {
    let (discovery, unresponsive) = (Discovery::start(), FullBacklogHost::start());
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[entry("s-1", unresponsive.address, "up", 0)],
    );
    let started = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(
        answer.status(),
        503,
        "rejected, because the call never ran: {}",
        answer.head
    );
    assert!(started.elapsed() < EVENT_TIMEOUT, "{:?}", started.elapsed());
}

#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let (discovery, host) = (Discovery::start(), Host::start(|_| Reply::Silence));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut client = proxy.client();
    client.send("unsafe", "60000m");
    host.request();
    drop(client);
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_rejection_comes_at_once_with_retry_after() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[
            entry("s-1", unused_address(), "up", 0),
            entry("s-2", unused_address(), "up", 0),
        ],
    );
    // All connects are refused, so the call never ran, and it is rejected after its last attempt.
    let started = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(answer.status(), 503);
    let retry_after: f64 = answer
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .expect("seconds");
    assert!(retry_after > 0.0);
    assert!(
        started.elapsed() < EVENT_TIMEOUT / 2,
        "far from its deadline: {:?}",
        started.elapsed()
    );
}

#[test]
fn an_invalid_request_gets_an_error_and_does_not_affect_other_clients() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let head = "POST /unsafe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n";
    let big = format!(
        "{head}X-Timeout: 900m\r\nContent-Length: 70000\r\n\r\n{}",
        "x".repeat(70_000)
    );
    let good = request("unsafe", "900m", "1");
    let long = format!(
        "{head}X-Timeout: 900m\r\nX-Long: {}\r\n\r\n",
        "x".repeat(90_000)
    );
    for text in [
        "rubbish\r\n\r\n".to_owned(),
        format!("{head}\r\n"),
        format!("{head}X-Timeout: soon\r\n\r\n"),
        format!("{head}X-Timeout: -5m\r\n\r\n"),
        format!("{head}X-Timeout: 0m\r\n\r\n"),
        format!("{head}X-Timeout: 99999999999999999999999m\r\n\r\n"),
        format!("{head}X-Timeout: 900\r\n\r\n"),
        format!("{head}X-Timeout: 900m\r\nContent-Length: nine\r\n\r\n"),
        good.replace("X-Request-ID: 1\r\n", ""),
        good.replace("X-Request-ID: 1", "X-Request-ID:"),
        good.replace("X-Request-ID: 1", "X-Request-ID: 1\r\nX-Request-ID: 2"),
        good.replace("X-Timeout: 900m", "X-Timeout: 900m\r\nX-Timeout: 900m"),
        good.replace("/unsafe", "/never-heard-of"),
        good.replace("/unsafe", "//unsafe"),
        good.replace("POST", "PUT"),
        good.replace("POST", "GET"),
        // `Transfer-Encoding` beside `Content-Length` may hide another request in the body, and so may a short length.
        good.replace("X-Timeout", "Transfer-Encoding: chunked\r\nX-Timeout") + "0\r\n\r\n",
        good.replace(
            "Length: 4",
            &format!("Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{good}"),
        ),
        good.replace("Content-Length: 4\r\n", ""),
        good.replace("Length: 4", "Length: 3"),
        good.replace("Length: 4", "Length: -4"),
        good.replace("Length: 4", "Length: 99999999999999999999999"),
        good.replace("Length: 4", "Length: 3000000000"),
        format!("{good}{}", good.replace("ID: 1", "ID: 2")),
        big,
        long,
    ] {
        let mut client = proxy.client();
        let excerpt: String = text.chars().take(120).collect();
        // The proxy may close the connection before it has read everything.
        let _ = client.stream.get_mut().write_all(text.as_bytes());
        if let Some(answer) = client.answer() {
            assert!(
                (400..500).contains(&answer.status()),
                "{excerpt}: {}",
                answer.head
            );
        }
        assert!(
            client.answer().is_none(),
            "and the connection is closed: {excerpt}"
        );
    }
    assert_eq!(host.further_requests(), 0, "no request reached the host");
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
}

/// A client that uses the id of another client's open request must neither get its response nor disturb it.
#[test]
fn the_id_of_an_open_request_is_rejected_as_a_duplicate() {
    let ((arrival_sender, arrivals), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |_| {
        let _ = arrival_sender.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.write(&request("unsafe", "20000m", "same"));
    arrivals
        .recv_timeout(EVENT_TIMEOUT)
        .expect("the call at the host");
    second.write(&request("unsafe", "20000m", "same"));
    assert_eq!(second.answer().expect("an answer").status(), 409);
    open.send(()).expect("the host waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    // After the response the id may be used again.
    open.send(()).expect("the host waits");
    first.write(&request("unsafe", "20000m", "same"));
    assert_eq!(first.answer().expect("an answer").status(), 200);
}

/// Clients that sent nothing, or one request, and stayed connected kept their places for two minutes, while all other clients
/// were rejected.
#[test]
fn clients_that_stay_make_room_for_those_that_ask() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 128, &[up("s-1", &host)]),
    );
    let kept_open: Vec<Client> = (0..30)
        .map(|_| {
            let mut client = proxy.client();
            assert_eq!(client.call("safe", "2000m").status(), 200);
            client
        })
        .collect();
    std::thread::sleep(std::time::Duration::from_millis(2_100));
    let silent: Vec<Client> = (0..200).map(|_| proxy.client()).collect();
    for _ in 0..60 {
        assert_eq!(proxy.call("safe", "5000m").status(), 200);
    }
    drop((kept_open, silent));
}

/// Many clients that sent one request each and stayed connected filled all places before any of them counted as idle. Three
/// quarters of all calls were rejected while the hosts had nothing to do.
#[test]
fn many_clients_that_send_one_request_and_stay_connected_are_served() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 128, &[up("s-1", &host)]),
    );
    let mut kept_open = Vec::new();
    for _ in 0..200 {
        let mut client = proxy.client();
        assert_eq!(
            client.call("safe", "2000m").status(),
            200,
            "after {}",
            kept_open.len()
        );
        kept_open.push(client);
    }
    assert!(
        kept_open[0].answer().is_none(),
        "the connection that was idle longest is closed"
    );
    // Clients may hold a third of the descriptors at most; idle ones must not use up all of them.
    let open = |client: &Client| {
        let stream = client.stream.get_ref();
        stream
            .set_nonblocking(true)
            .and_then(|()| stream.peek(&mut [0]))
            .is_err()
    };
    let started = Instant::now();
    while kept_open.iter().filter(|client| open(client)).count() > 128 / 3 {
        assert!(started.elapsed() < EVENT_TIMEOUT, "too many stay open");
        std::thread::sleep(QUIET_PERIOD / 30);
    }
    kept_open[199]
        .stream
        .get_ref()
        .set_nonblocking(false)
        .expect("a socket");
    assert_eq!(
        kept_open[199].call("safe", "2000m").status(),
        200,
        "the newest connection is open"
    );
}

/// An incomplete request ends soon, with a close or an error.
#[test]
fn a_request_that_is_never_completed_is_closed_or_gets_408() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let good = request("unsafe", "60000m", "1");
    let mut clients: Vec<Client> = ["", "POST /unsafe HT", &good[..60], &good[..good.len() - 1]]
        .iter()
        .map(|text| {
            let mut client = proxy.client();
            client.write(text);
            client
        })
        .collect();
    let started = Instant::now();
    for client in &mut clients {
        if let Some(answer) = client.answer() {
            assert_eq!(answer.status(), 408);
            assert!(client.answer().is_none());
        }
    }
    assert!(
        started.elapsed() < EVENT_TIMEOUT / 4,
        "{:?}",
        started.elapsed()
    );
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn invalid_load_reports_are_ignored() {
    let discovery = Discovery::start();
    let host = Host::start(|n| {
        let report = [
            "TEXT inflight=nan, queue=-3",
            "TEXT ,,=,x",
            "\u{1}",
            "TEXT inflight=1e999, queue=",
            "",
        ][n % 5];
        Reply::Write(answer(
            "200 OK",
            &format!("X-Server-Load: {}\r\n", report.replace('\u{1}', "=")),
            "ok",
        ))
    });
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for _ in 0..10 {
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
    }
}

#[test]
fn no_call_goes_to_a_draining_or_removed_host() {
    let (discovery, one, two) = (Discovery::start(), Host::serving("1"), Host::serving("2"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &one), up("s-2", &two)]);
    assert!(discovery
        .next_request()
        .starts_with("GET /catalog/members?index=41&wait="));
    let all_from = |body: &[u8]| (0..20).all(|_| proxy.call("safe", "2000m").body == body);
    discovery.respond(&list(
        42,
        false,
        &[entry("s-1", one.address, "draining", 0)],
    ));
    // The proxy has applied the list by the time it sends the next watch.
    assert!(discovery.next_request().contains("index=42&"));
    assert!(all_from(b"2"));
    discovery.respond(&list(43, true, &[up("s-1", &one)]));
    assert!(discovery.next_request().contains("index=43&"));
    assert!(
        all_from(b"1"),
        "a host that is missing from a full list is removed"
    );
    discovery.respond(&list(
        44,
        false,
        &[entry("s-1", one.address, "removed", 0), up("s-2", &two)],
    ));
    assert!(discovery.next_request().contains("index=44&"));
    assert!(all_from(b"2"));
}

#[test]
fn a_restart_or_new_address_of_a_host_closes_connections_to_the_old_one() {
    let (discovery, old, new) = (
        Discovery::start(),
        Host::serving("old"),
        Host::serving("new"),
    );
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &old)]);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond(&list(42, false, &[entry("s-1", old.address, "up", 1_000)]));
    assert_eq!(old.closed(), 0, "a new start time means a new process");
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond(&list(43, false, &[entry("s-1", new.address, "up", 1_000)]));
    assert_eq!(old.closed(), 1);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"new");
}

#[test]
fn a_draining_host_finishes_its_call_and_its_connection_is_closed() {
    let ((arrival_sender, arrivals), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |_| {
        let _ = arrival_sender.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::Write(answer("200 OK", "", "late"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    discovery.next_request();
    let mut client = proxy.client();
    client.send("unsafe", "20000m");
    arrivals
        .recv_timeout(EVENT_TIMEOUT)
        .expect("the call at the host");
    discovery.respond(&list(
        42,
        false,
        &[entry("s-1", host.address, "draining", 0)],
    ));
    discovery.next_request();
    open.send(()).expect("the host waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(host.closed(), 0);
}

#[test]
fn the_most_recently_used_connection_is_reused_first() {
    let ((arrival_sender, arrivals), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| {
        let _ = arrival_sender.send(());
        if n == 0 {
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut slow = proxy.client();
    slow.send("unsafe", "20000m");
    arrivals
        .recv_timeout(EVENT_TIMEOUT)
        .expect("the first call at the host");
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    assert_eq!(
        host.request().0,
        1,
        "a second connection while the first is in use"
    );
    open.send(()).expect("the host waits");
    assert_eq!(slow.answer().expect("an answer").status(), 200);
    assert_eq!(host.request().0, 0);
    for _ in 0..3 {
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
        assert_eq!(host.request().0, 0, "the connection that was returned last");
    }
}

#[test]
fn a_failed_watch_is_retried_while_calls_go_on() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for failure in [
        answer("503 Service Unavailable", "", ""),
        answer("200 OK", "", "{\"index\":"),
        answer("200 OK", "", "{\"index\":42,\"endpoints\":7}"),
        String::new(),
    ] {
        assert!(
            discovery.next_request().contains("index=41&"),
            "the known list stays in force"
        );
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        discovery.respond_raw(failure);
    }
    discovery.next_request();
    discovery.respond(&list(42, false, &[]));
    assert!(discovery.next_request().contains("index=42&"));
}

/// SIGHUP used to kill the program. It must switch to the list service that the file names, whose list indices are unrelated
/// to those of the old one, while calls go on. An invalid file changes nothing.
#[test]
fn a_reload_switches_the_list_service_and_an_invalid_one_changes_nothing() {
    let (old, new) = (Discovery::start(), Discovery::start());
    let (one, two) = (Host::serving("1"), Host::serving("2"));
    let proxy = Proxy::start(PROGRAM, &old, &[up("s-1", &one)]);
    assert!(old.next_request().contains("index=41&"));
    let new_config = config(proxy.address, new.address, 1_024, &[]);
    for bad in ["", "{", &new_config.replace("\"cold_from\"", "\"warm\"")] {
        proxy.reload(bad);
        proxy.wait_for_log("reload failed, keeping the old configuration");
        assert_eq!(proxy.call("safe", "2000m").body, b"1");
    }
    proxy.reload(&new_config);
    assert!(
        new.next_request()
            .starts_with("GET /catalog/members HTTP/1.1"),
        "the full list is requested"
    );
    assert_eq!(
        proxy.call("safe", "2000m").body,
        b"1",
        "calls go on while the new list is awaited"
    );
    new.respond(&list(7, true, &[up("s-2", &two)]));
    assert!(new.next_request().contains("index=7&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
    // A reload without changes keeps the watch.
    proxy.reload(&new_config);
    new.respond(&list(8, false, &[]));
    assert!(new.next_request().contains("index=8&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
}

#[test]
fn shutdown_finishes_accepted_requests_and_a_new_start_binds_at_once() {
    let discovery = Discovery::start();
    let host = Host::start(|n| match n {
        0 => Reply::Silence,
        _ => Reply::Write(answer("200 OK", "", "ok")),
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    let mut proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 1_024, &[up("s-1", &host)]),
    );
    let mut idle = proxy.client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.answer().expect("an answer").status(), 200);
    let mut slow = proxy.client();
    slow.send("unsafe", "1200m");
    host.request();
    // An unused connection does not delay the shutdown, and one with half a request only until late answers are due.
    let (_unused, mut half) = (proxy.client(), proxy.client());
    half.write("POST /safe HTTP/1.1\r\nHost:");
    proxy.terminate();
    assert!(
        idle.answer().is_none(),
        "an idle connection is closed when the shutdown begins"
    );
    // New connections are still accepted, and closed after their response.
    let answer = proxy.call("safe", "1000m");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    let answer = slow.answer().expect("an accepted request is answered");
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(proxy.exits_successfully(), "it exits 0");
    let restarted = Proxy::with_config(
        PROGRAM,
        &config(proxy.address, discovery.address, 1_024, &[up("s-1", &host)]),
    );
    assert_eq!(restarted.address, proxy.address);
    assert_eq!(restarted.call("safe", "2000m").status(), 200);
}

/// Each call holds a connection of a client, so that calls beyond a share of the descriptors are rejected: no fewer and no
/// more than the descriptors require.
#[test]
fn with_few_descriptors_clients_are_rejected_and_the_proxy_goes_on() {
    /// The calls that may be open with 128 descriptors.
    const MAX_OPEN_CALLS: usize = 38;
    const CLIENTS: usize = 80;
    let gate = Arc::new(Mutex::new(()));
    let closed = gate.lock().expect("no panic");
    let discovery = Discovery::start();
    // As many hosts as calls, so that none waits for another.
    let hosts: Vec<Host> = (0..MAX_OPEN_CALLS)
        .map(|_| {
            let gate = Arc::clone(&gate);
            Host::start(move |_| {
                drop(gate.lock());
                Reply::Write(answer("200 OK", "", "ok"))
            })
        })
        .collect();
    let entries: Vec<String> = (1..)
        .zip(&hosts)
        .map(|(number, host)| up(&format!("s-{number}"), host))
        .collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(PROGRAM, &config(listen, discovery.address, 128, &entries));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|c| c.send("safe", "3000m"));
    let (answers, rejected) = channel();
    for (number, mut client) in clients.into_iter().enumerate() {
        let answers = answers.clone();
        std::thread::spawn(move || answers.send((number, client.answer())));
    }
    for _ in MAX_OPEN_CALLS..CLIENTS {
        let (number, rejection) = rejected.recv_timeout(EVENT_TIMEOUT).expect("a rejection");
        let rejection = rejection.unwrap_or_else(|| panic!("client {number} got no answer"));
        assert_eq!(rejection.status(), 503);
        assert!(rejection.header("retry-after").is_some());
        assert_eq!(
            rejection.header("connection"),
            Some("close"),
            "{number}: {}",
            rejection.head
        );
    }
    drop(closed);
    for _ in 0..MAX_OPEN_CALLS {
        let (_, served) = rejected.recv_timeout(EVENT_TIMEOUT).expect("an answer");
        assert_eq!(served.expect("an answer").status(), 200);
    }
    assert_eq!(proxy.call("safe", "2000m").status(), 200);
}

#[test]
fn when_the_system_runs_out_of_descriptors_the_proxy_goes_on() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[up("s-1", &host)]);
    // The limit of the system is far below the one in the configuration.
    let mut proxy = Proxy::with_descriptor_limit(PROGRAM, &text, Some(24));
    discovery.next_request();
    let clients: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = proxy.client();
            client.send("unsafe", "500m");
            client
        })
        .collect();
    drop(clients);
    let started = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(started.elapsed() < EVENT_TIMEOUT);
    }
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "it still runs"
    );
}

/// Idle clients that connect while the list service is down must not use the descriptors that the proxy needs when the
/// service returns: for the connection to it, and then for those to the hosts.
#[test]
fn idle_clients_do_not_take_the_descriptors_that_the_list_service_needs_after_an_outage() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    // The limit of the system equals the one in the configuration.
    let mut proxy = Proxy::with_descriptor_limit(
        PROGRAM,
        &config(listen, discovery.address, 128, &[]),
        Some(128),
    );
    discovery.next_request();
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..4 {
        idle.extend((0..150).map(|_| proxy.client()));
        // The list service closes without a response, which ends the poll.
        discovery.respond_raw(String::new());
        discovery.next_request();
    }
    discovery.respond(&list(42, true, &[up("s-1", &host)]));
    assert!(
        discovery.next_request().contains("index=42&"),
        "the list was applied"
    );
    // Some of the idle clients are ahead in the accept queue.
    let started = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(started.elapsed() < EVENT_TIMEOUT);
    }
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "it still runs"
    );
    drop(idle);
}

#[test]
fn an_invalid_configuration_fails_with_a_one_line_error() {
    let address = unused_address();
    let good = config(address, address, 1_024, &[]);
    let invalid = good.replace(r#""discovery":"ask""#, r#""discovery":"asked""#);
    for text in [
        "",
        "{",
        "{}",
        &good.replace("8c1f", "seed"),
        &good.replace("\"cold_from\"", "\"warm\""),
        &invalid,
    ] {
        let (mut child, path) = spawn(PROGRAM, text, None);
        let mut message = String::new();
        child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut message)
            .expect("text");
        assert_eq!(child.wait().expect("an end").code(), Some(1), "{text}");
        assert!(
            message.lines().count() == 1 && message.starts_with("badgerramp: "),
            "{message}"
        );
        let _ = std::fs::remove_file(path);
    }
}

/// The watch started only when the balancer requested it, which it does only where the settings say that lists are polled.
/// Where lists are pushed, a proxy kept the list of its start for ever.
#[test]
fn the_agent_is_watched_where_lists_are_pushed() {
    let (discovery, draining_host, other_host) = (
        Discovery::start(),
        Host::serving("old"),
        Host::serving("new"),
    );
    let known = [up("s-1", &draining_host)];
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &with_pushed_lists(&config(listen, discovery.address, 1_024, &known)),
    );
    assert!(discovery.next_request().contains("index=41&"));
    let changes = [
        entry("s-1", draining_host.address, "draining", 0),
        up("s-2", &other_host),
    ];
    discovery.respond(&list(42, false, &changes));
    assert!(
        discovery.next_request().contains("index=42&"),
        "the changes were applied"
    );
    assert_eq!(proxy.call("safe", "2000m").body, b"new");
    // A failed watch is retried without a request of the balancer.
    discovery.respond_raw(answer("503 Service Unavailable", "", ""));
    assert!(discovery.next_request().contains("index=42&"));
}

/// An invalid list is logged with what was found, and the last valid list stays in force; watching goes on.
#[test]
fn invalid_lists_are_logged_and_change_nothing() {
    let (discovery, one, two) = (Discovery::start(), Host::serving("1"), Host::serving("2"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &one), up("s-2", &two)]);
    discovery.next_request();
    // A truncated document in a complete response.
    discovery.respond_raw(answer(
        "200 OK",
        "",
        &list(42, false, &[entry("s-1", one.address, "removed", 0)])[..60],
    ));
    proxy.wait_for_log("odd list");
    assert!(discovery.next_request().contains("index=41&"));
    // Changes up to an index below the known one: the proxy requests the full list.
    discovery.respond(&list(7, false, &[entry("s-1", one.address, "removed", 0)]));
    proxy.wait_for_log("changes up to 7, asked for those after 41");
    assert_eq!(discovery.next_request(), "GET /catalog/members HTTP/1.1");
    assert!(
        (0..40).any(|_| proxy.call("safe", "2000m").body == b"1"),
        "the invalid list is not applied"
    );
    // A host with an unknown status gets no new calls. The document is spread over several lines, as some services write it.
    let multi_line = list(
        8,
        true,
        &[entry("s-1", one.address, "paused", 0), up("s-2", &two)],
    )
    .replace(',', ",\n  ");
    discovery.respond(&multi_line);
    proxy.wait_for_log("\"paused\", allowed are up, draining, removed");
    assert!(discovery.next_request().contains("index=8&"));
    assert!((0..20).all(|_| proxy.call("safe", "2000m").body == b"2"));
}
