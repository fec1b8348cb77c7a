//! The program on loopback sockets, between small stub peers.

use badgerramp_testkit::*;
use std::io::{Read, Write};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

fn up(name: &str, host: &Host) -> String {
    entry(name, host.address, "up", 0)
}

#[test]
fn a_call_passes_unchanged_and_its_answer_too() {
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
    let left: u64 = request
        .header("x-timeout")
        .and_then(|t| t.strip_suffix('u'))
        .expect("time")
        .parse()
        .expect("us");
    assert!(left > 0 && left <= 2_000_000, "{left}");
}

#[test]
fn connections_are_kept_and_one_that_died_idle_is_replaced_before_writing() {
    let discovery = Discovery::start();
    // The third answer ends its connection without saying so.
    let host = Host::start(|n| match n {
        2 => Reply::WriteAndClose(answer("200 OK", "", "x")),
        _ => Reply::Write(answer("200 OK", "", "x")),
    });
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for wanted in [0, 0, 0, 1, 1] {
        // An unsafe call written to the dead connection would fail: nothing could prove that it never ran.
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
        assert_eq!(host.request().0, wanted, "the connection used");
    }
}

#[test]
fn an_unsafe_call_that_may_have_run_fails_and_is_not_sent_again() {
    let whole = answer("200 OK", "", "whole");
    let half = whole[..whole.len() - 2].to_owned();
    let unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf".to_owned();
    for reply in [
        Reply::WriteAndClose(String::new()),
        Reply::WriteAndClose(half),
        Reply::WriteAndClose(unframed),
        Reply::Write(answer("500 Internal Server Error", "", "")),
        Reply::Write(answer("503 Service Unavailable", "", "")),
        Reply::Write(answer("200 OK", "", &"x".repeat(70_000))),
        // The rest has run all the same, and its connection, which stays open, is of no further use.
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
        let shown = format!("{reply:?}").chars().take(90).collect::<String>();
        let hosts = [reply.clone(), reply].map(|reply| Host::start(move |_| reply.clone()));
        let proxy = Proxy::start(
            PROGRAM,
            &discovery,
            &[up("s-1", &hosts[0]), up("s-2", &hosts[1])],
        );
        let answer = proxy.call("unsafe", "2000m");
        assert!(
            ![200, 429, 503].contains(&answer.status()),
            "{shown}: {}",
            answer.head
        );
        let requests = hosts[0].further_requests() + hosts[1].further_requests();
        assert_eq!(requests, 1, "{shown}");
    }
}

/// What comes behind a good answer, also while its connection is idle, must not answer the next request. The answer
/// itself is served; its connection is not used again.
#[test]
fn what_follows_an_answer_never_answers_another_request() {
    for surplus in [
        answer("200 OK", "", "old"),
        "noise".to_owned(),
        "\r\n".to_owned(),
    ] {
        let host = Host::start(move |n| {
            Reply::Write(
                answer("200 OK", "", &format!("answer {n}"))
                    + if n % 2 == 0 { &surplus } else { "" },
            )
        });
        let discovery = Discovery::start();
        let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
        for n in 0..10 {
            let answer = proxy.call("unsafe", "2000m");
            assert_eq!(
                (answer.status(), answer.body),
                (200, format!("answer {n}").into_bytes())
            );
        }
    }
}

/// One spoilt answer tells little of its host. Taken for a broken connection it set a host aside at once.
#[test]
fn a_host_that_spoils_one_answer_is_not_set_aside() {
    let spoils = Host::start(|n| match n {
        0 => Reply::Write("HTTP/1.1 2oo OK\r\n\r\n".to_owned()),
        _ => Reply::Write(answer("200 OK", "", "ok")),
    });
    let (discovery, other) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[up("s-1", &spoils), up("s-2", &other)],
    );
    let asked = Instant::now();
    while proxy.call("unsafe", "2000m").status() == 200 {
        assert!(asked.elapsed() < EVENT_TIMEOUT, "it is never asked");
    }
    spoils.request();
    assert!((0..40).all(|_| proxy.call("unsafe", "2000m").status() == 200));
    assert!(spoils.further_requests() > 0, "it goes on being used");
}

/// Answers that are announced by others, and reports that can't be read, are as good as any.
#[test]
fn interim_answers_are_skipped() {
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
fn what_never_ran_goes_to_another_host() {
    let turned_away = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let discovery = Discovery::start();
    let (full, good) = (
        Host::start(move |_| Reply::Write(turned_away.clone())),
        Host::serving("ok"),
    );
    let entries = [
        up("s-1", &full),
        up("s-2", &good),
        entry("s-3", unused_address(), "up", 0),
    ];
    let proxy = Proxy::start(PROGRAM, &discovery, &entries);
    for _ in 0..12 {
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    }
    assert!(
        full.further_requests() > 0,
        "the host that turns away was tried"
    );
}

/// A host is told what is left to the client, not what the client had in the beginning.
#[test]
fn a_further_attempt_tells_its_host_what_is_left_to_the_client() {
    // Less than the class's own aim, which would bound an attempt as well.
    const TIME: Duration = Duration::from_millis(1_400);
    const WORK: Duration = Duration::from_millis(600);
    let turned_away = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let discovery = Discovery::start();
    let full = Host::start(move |_| {
        std::thread::sleep(WORK);
        Reply::Write(turned_away.clone())
    });
    let good = Host::serving("ok");
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &full), up("s-2", &good)]);
    let mut shorter = 0;
    for _ in 0..12 {
        assert_eq!(
            proxy
                .call("unsafe", &format!("{}m", TIME.as_millis()))
                .status(),
            200
        );
        let (_, request) = good.request();
        let left = request
            .header("x-timeout")
            .and_then(|t| t.strip_suffix('u'))
            .expect("a time");
        let left = Duration::from_micros(left.parse().expect("microseconds"));
        shorter += usize::from(left <= TIME - WORK);
    }
    let further = full.further_requests();
    assert!(further > 0, "the host that turns away was tried");
    assert!(
        shorter >= further,
        "{shorter} of {further} told the time that was over"
    );
}

#[test]
fn a_silent_host_costs_the_call_its_time_and_no_more() {
    let (discovery, host) = (Discovery::start(), Host::start(|_| Reply::Silence));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let asked = Instant::now();
    let answer = proxy.call("unsafe", "400m");
    assert!(
        ![200, 429, 503].contains(&answer.status()),
        "it may have run: {}",
        answer.head
    );
    assert!(
        asked.elapsed().as_millis() >= 300 && asked.elapsed() < EVENT_TIMEOUT / 4,
        "{:?}",
        asked.elapsed()
    );
    // The attempt that was given up closes its own connection.
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_connect_under_way_is_dropped_when_its_call_ends() {
    let (discovery, deaf) = (Discovery::start(), FullBacklogHost::start());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(
        listen,
        discovery.address,
        1_024,
        &[entry("s-1", deaf.address, "up", 0)],
    );
    let text = text.replace(
        r#""connect_timeout_us":1000000"#,
        r#""connect_timeout_us":60000000"#,
    );
    let proxy = Proxy::with_config(PROGRAM, &text);
    let answer = proxy.call("unsafe", "300m");
    assert_ne!(answer.status(), 200);
    assert!(
        !deaf.another_connects(),
        "nothing starts after the final answer"
    );
}

#[test]
fn a_connect_that_hangs_ends_in_the_settings_time_and_never_ran() {
    let (discovery, deaf) = (Discovery::start(), FullBacklogHost::start());
    let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", deaf.address, "up", 0)]);
    let asked = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(
        answer.status(),
        503,
        "refused, as nothing has run: {}",
        answer.head
    );
    assert!(asked.elapsed() < EVENT_TIMEOUT, "{:?}", asked.elapsed());
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let (discovery, host) = (Discovery::start(), Host::start(|_| Reply::Silence));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut client = proxy.client();
    client.send("unsafe", "60000m");
    host.request();
    drop(client);
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_return() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(
        PROGRAM,
        &discovery,
        &[
            entry("s-1", unused_address(), "up", 0),
            entry("s-2", unused_address(), "up", 0),
        ],
    );
    // Calls that found nobody are refused when their tries are used up; none has run.
    let asked = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(answer.status(), 503);
    let advice: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(advice > 0.0);
    assert!(
        asked.elapsed() < EVENT_TIMEOUT / 2,
        "far from its deadline: {:?}",
        asked.elapsed()
    );
}

#[test]
fn bad_input_gets_a_plain_answer_and_hurts_nobody_else() {
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
        // A transfer coding beside the length may hide another request in the body, and so does a short length.
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
        let shown: String = text.chars().take(120).collect();
        // The other side may close before it has read all.
        let _ = client.stream.get_mut().write_all(text.as_bytes());
        if let Some(answer) = client.answer() {
            assert!(
                (400..500).contains(&answer.status()),
                "{shown}: {}",
                answer.head
            );
        }
        assert!(
            client.answer().is_none(),
            "and the connection is closed: {shown}"
        );
    }
    assert_eq!(host.further_requests(), 0, "nothing of it reached the host");
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
}

/// A client that takes another's id must neither get its answer nor disturb it.
#[test]
fn the_id_of_an_open_request_is_taken_once() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |_| {
        let _ = arrived.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.write(&request("unsafe", "20000m", "same"));
    came.recv_timeout(EVENT_TIMEOUT)
        .expect("the call at the host");
    second.write(&request("unsafe", "20000m", "same"));
    assert_eq!(second.answer().expect("an answer").status(), 409);
    open.send(()).expect("the host waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    // Once it has its answer the id is free.
    open.send(()).expect("the host waits");
    first.write(&request("unsafe", "20000m", "same"));
    assert_eq!(first.answer().expect("an answer").status(), 200);
}

/// Clients that say nothing, or that ask once and stay, kept their places for two minutes, and all others were
/// refused.
#[test]
fn clients_that_stay_make_room_for_those_that_ask() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 128, &[up("s-1", &host)]),
    );
    let stayed: Vec<Client> = (0..30)
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
    drop((stayed, silent));
}

/// A crowd that asks once on each connection and stays filled all places sooner than any could be taken for idle;
/// three quarters of all calls were refused while the hosts had nothing to do.
#[test]
fn a_crowd_that_asks_once_and_stays_is_served() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 128, &[up("s-1", &host)]),
    );
    let mut stayed = Vec::new();
    for _ in 0..200 {
        let mut client = proxy.client();
        assert_eq!(
            client.call("safe", "2000m").status(),
            200,
            "after {}",
            stayed.len()
        );
        stayed.push(client);
    }
    assert!(
        stayed[0].answer().is_none(),
        "the one idle longest has gone"
    );
    // Clients can hold no more than a third of the descriptors: idle ones must not use that up.
    let open = |client: &Client| {
        let stream = client.stream.get_ref();
        stream
            .set_nonblocking(true)
            .and_then(|()| stream.peek(&mut [0]))
            .is_err()
    };
    let asked = Instant::now();
    while stayed.iter().filter(|client| open(client)).count() > 128 / 3 {
        assert!(asked.elapsed() < EVENT_TIMEOUT, "too many stay open");
        std::thread::sleep(QUIET_PERIOD / 30);
    }
    stayed[199]
        .stream
        .get_ref()
        .set_nonblocking(false)
        .expect("a socket");
    assert_eq!(
        stayed[199].call("safe", "2000m").status(),
        200,
        "the last has not"
    );
}

/// Whatever a client begins, it is owed an end soon: a close, or an error.
#[test]
fn what_does_not_come_to_an_end_is_closed_or_turned_away() {
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
    let asked = Instant::now();
    for client in &mut clients {
        if let Some(answer) = client.answer() {
            assert_eq!(answer.status(), 408);
            assert!(client.answer().is_none());
        }
    }
    assert!(asked.elapsed() < EVENT_TIMEOUT / 4, "{:?}", asked.elapsed());
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn odd_load_reports_are_skipped() {
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
fn nothing_new_goes_to_a_host_that_drains_or_is_gone() {
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
    // The next watch follows the answer; by then the news has been taken in.
    assert!(discovery.next_request().contains("index=42&"));
    assert!(all_from(b"2"));
    discovery.respond(&list(43, true, &[up("s-1", &one)]));
    assert!(discovery.next_request().contains("index=43&"));
    assert!(
        all_from(b"1"),
        "a host that a whole list leaves out is gone"
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
fn a_new_start_or_address_of_a_host_closes_what_led_to_the_old_one() {
    let (discovery, old, new) = (
        Discovery::start(),
        Host::serving("old"),
        Host::serving("new"),
    );
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &old)]);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond(&list(42, false, &[entry("s-1", old.address, "up", 1_000)]));
    assert_eq!(old.closed(), 0, "a new start is a new process");
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond(&list(43, false, &[entry("s-1", new.address, "up", 1_000)]));
    assert_eq!(old.closed(), 1);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"new");
}

#[test]
fn a_host_that_drains_finishes_its_call_and_keeps_no_connection() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |_| {
        let _ = arrived.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::Write(answer("200 OK", "", "late"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    discovery.next_request();
    let mut client = proxy.client();
    client.send("unsafe", "20000m");
    came.recv_timeout(EVENT_TIMEOUT)
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
fn the_connection_used_last_is_used_first() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| {
        let _ = arrived.send(());
        if n == 0 {
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    let mut slow = proxy.client();
    slow.send("unsafe", "20000m");
    came.recv_timeout(EVENT_TIMEOUT)
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
        assert_eq!(host.request().0, 0, "it came back last");
    }
}

#[test]
fn a_watch_that_fails_is_asked_again_and_calls_go_on() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &host)]);
    for fault in [
        answer("503 Service Unavailable", "", ""),
        answer("200 OK", "", "{\"index\":"),
        answer("200 OK", "", "{\"index\":42,\"endpoints\":7}"),
        String::new(),
    ] {
        assert!(
            discovery.next_request().contains("index=41&"),
            "what it knows stands"
        );
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        discovery.respond_raw(fault);
    }
    discovery.next_request();
    discovery.respond(&list(42, false, &[]));
    assert!(discovery.next_request().contains("index=42&"));
}

/// SIGHUP killed the program. Now it moves on to the discovery that the file names, whose versions have nothing to
/// do with the old one's, while calls go on; a bad file changes nothing.
#[test]
fn a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing() {
    let (old, new) = (Discovery::start(), Discovery::start());
    let (one, two) = (Host::serving("1"), Host::serving("2"));
    let proxy = Proxy::start(PROGRAM, &old, &[up("s-1", &one)]);
    assert!(old.next_request().contains("index=41&"));
    let moved = config(proxy.address, new.address, 1_024, &[]);
    for bad in ["", "{", &moved.replace("\"cold_from\"", "\"warm\"")] {
        proxy.reload(bad);
        proxy.wait_for_log("the old configuration stays");
        assert_eq!(proxy.call("safe", "2000m").body, b"1");
    }
    proxy.reload(&moved);
    assert!(
        new.next_request()
            .starts_with("GET /catalog/members HTTP/1.1"),
        "the whole list"
    );
    assert_eq!(
        proxy.call("safe", "2000m").body,
        b"1",
        "calls go on while the new list is awaited"
    );
    new.respond(&list(7, true, &[up("s-2", &two)]));
    assert!(new.next_request().contains("index=7&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
    // The same again is harmless: the watch there goes on.
    proxy.reload(&moved);
    new.respond(&list(8, false, &[]));
    assert!(new.next_request().contains("index=8&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
}

#[test]
fn a_stop_finishes_what_is_taken_and_a_start_binds_at_once() {
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
    // Neither a connection that is never used nor one with half a request holds the stop up.
    let (_unused, mut half) = (proxy.client(), proxy.client());
    half.write("POST /safe HTTP/1.1\r\nHost:");
    proxy.terminate();
    assert!(
        idle.answer().is_none(),
        "an idle connection closes when the stop begins"
    );
    // New connections are still taken then, and each answer closes its own.
    let answer = proxy.call("safe", "1000m");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    let answer = slow.answer().expect("what was taken is answered");
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(proxy.exits_successfully(), "it exits 0");
    let again = Proxy::with_config(
        PROGRAM,
        &config(proxy.address, discovery.address, 1_024, &[up("s-1", &host)]),
    );
    assert_eq!(again.address, proxy.address);
    assert_eq!(again.call("safe", "2000m").status(), 200);
}

#[test]
fn short_of_descriptors_it_refuses_and_lives() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &config(listen, discovery.address, 64, &[up("s-1", &host)]),
    );
    let mut clients: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
    let answers: Vec<Message> = clients
        .iter_mut()
        .map(|c| c.call("safe", "2000m"))
        .collect();
    assert_eq!(answers[0].status(), 200);
    assert!(answers.iter().all(|a| [200, 503].contains(&a.status())));
    let refused = answers
        .iter()
        .find(|a| a.status() == 503)
        .expect("one was too many");
    assert!(
        refused.header("retry-after").is_some() && refused.header("connection") == Some("close")
    );
    drop(clients);
    // Room comes back as connections end.
    let asked = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(asked.elapsed() < EVENT_TIMEOUT);
    }
}

#[test]
fn out_of_descriptors_it_waits_for_some_and_lives() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[up("s-1", &host)]);
    // The system gives far fewer than the configuration promises.
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
    let asked = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(asked.elapsed() < EVENT_TIMEOUT);
    }
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "it still runs"
    );
}

/// Clients that stay and say nothing while the list service is down must not hold what is needed at its return: the way to
/// it, and then the way to the hosts.
#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nothing_from_its_return() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    // The system gives no more than the configuration says.
    let mut proxy = Proxy::with_descriptor_limit(
        PROGRAM,
        &config(listen, discovery.address, 128, &[]),
        Some(128),
    );
    discovery.next_request();
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..4 {
        idle.extend((0..150).map(|_| proxy.client()));
        // It ends each question.
        discovery.respond_raw(String::new());
        discovery.next_request();
    }
    discovery.respond(&list(42, true, &[up("s-1", &host)]));
    assert!(
        discovery.next_request().contains("index=42&"),
        "the list is in"
    );
    // Some of those that stay are ahead in the queue.
    let asked = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(asked.elapsed() < EVENT_TIMEOUT);
    }
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "it still runs"
    );
    drop(idle);
}

#[test]
fn bad_configuration_is_one_line_and_a_failure() {
    let address = unused_address();
    let good = config(address, address, 1_024, &[]);
    let odd = good.replace(r#""discovery":"ask""#, r#""discovery":"asked""#);
    for text in [
        "",
        "{",
        "{}",
        &good.replace("8c1f", "seed"),
        &good.replace("\"cold_from\"", "\"warm\""),
        &odd,
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

/// The watch waited for the decisions to ask for it, and they ask only where the settings say so: where lists are
/// pushed a proxy kept to the list of its start for good.
#[test]
fn where_lists_are_pushed_the_agent_is_watched_all_the_same() {
    let (discovery, drains, stays) = (
        Discovery::start(),
        Host::serving("old"),
        Host::serving("new"),
    );
    let known = [up("s-1", &drains)];
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with_config(
        PROGRAM,
        &with_pushed_lists(&config(listen, discovery.address, 1_024, &known)),
    );
    assert!(discovery.next_request().contains("index=41&"));
    let news = [
        entry("s-1", drains.address, "draining", 0),
        up("s-2", &stays),
    ];
    discovery.respond(&list(42, false, &news));
    assert!(
        discovery.next_request().contains("index=42&"),
        "the news is taken"
    );
    assert_eq!(proxy.call("safe", "2000m").body, b"new");
    // One that fails is asked again, with nothing to say so.
    discovery.respond_raw(answer("503 Service Unavailable", "", ""));
    assert!(discovery.next_request().contains("index=42&"));
}

/// What can't be meant is logged with what was found, and leaves the last good list in force; asking goes on.
#[test]
fn odd_lists_are_told_and_change_nothing() {
    let (discovery, one, two) = (Discovery::start(), Host::serving("1"), Host::serving("2"));
    let proxy = Proxy::start(PROGRAM, &discovery, &[up("s-1", &one), up("s-2", &two)]);
    discovery.next_request();
    // Half an answer, framed as a whole one.
    discovery.respond_raw(answer(
        "200 OK",
        "",
        &list(42, false, &[entry("s-1", one.address, "removed", 0)])[..60],
    ));
    proxy.wait_for_log("odd list");
    assert!(discovery.next_request().contains("index=41&"));
    // Changes up to an index that was passed long ago: the whole list is asked for.
    discovery.respond(&list(7, false, &[entry("s-1", one.address, "removed", 0)]));
    proxy.wait_for_log("changes up to 7, asked for those after 41");
    assert_eq!(discovery.next_request(), "GET /catalog/members HTTP/1.1");
    assert!(
        (0..40).any(|_| proxy.call("safe", "2000m").body == b"1"),
        "what is odd is not applied"
    );
    // A status that nobody knows takes nothing new; spread over lines, as some services write.
    let spread = list(
        8,
        true,
        &[entry("s-1", one.address, "paused", 0), up("s-2", &two)],
    )
    .replace(',', ",\n  ");
    discovery.respond(&spread);
    proxy.wait_for_log("\"paused\", allowed are up, draining, removed");
    assert!(discovery.next_request().contains("index=8&"));
    assert!((0..20).all(|_| proxy.call("safe", "2000m").body == b"2"));
}
