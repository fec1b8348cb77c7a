//! The program as a sidecar: plain HTTP passes, routes and timing are as the file sets them.

use badgerramp_testkit::*;
use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// Three classes and a route for each, over these hosts; the first two are one group. `more` goes into the class of
/// its name, and lines without a name before all tables.
fn file(hosts: &[std::net::SocketAddr], more: &[(&str, &str)]) -> String {
    let extra = |name: &str| {
        more.iter()
            .filter(|m| m.0 == name)
            .map(|m| m.1)
            .collect::<Vec<_>>()
            .join("\n")
    };
    let endpoints: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(n, a)| {
            format!(
                "{{ name = \"s-{n}\", address = \"{a}\", group = {} }}",
                n / 2 + 1
            )
        })
        .collect();
    format!(
        "listen = \"127.0.0.1:0\"\n{}\n[upstream]\nendpoints = [{}]\n{}\n\
         [class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n{}\n\
         [class.keyed]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"keyed\"\ngroup = \"group\"\nwindow = \"3s\"\n{}\n\
         [class.unsafe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"unsafe\"\n{}\n\
         {}\n\
         [[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n\
         [[route]]\nname = \"keyed\"\nprefix = \"/keyed\"\nclass = \"keyed\"\n\
         [[route]]\nname = \"unsafe\"\nprefix = \"/unsafe\"\nclass = \"unsafe\"\n",
        extra(""),
        endpoints.join(", "),
        extra("upstream"),
        extra("safe"),
        extra("keyed"),
        extra("unsafe"),
        extra("route"),
    )
}

fn sidecar(hosts: &[&Host], more: &[(&str, &str)]) -> Proxy {
    let addresses: Vec<_> = hosts.iter().map(|h| h.address).collect();
    Proxy::sidecar(PROGRAM, &[], &file(&addresses, more))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: gym.example\r\n\r\n")
}

fn post(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: gym.example\r\n{headers}Content-Length: 4\r\n\r\nbody")
}

fn silent() -> Host {
    Host::start(|_| Reply::Silence)
}

fn error() -> Host {
    Host::start(|_| {
        Reply::Write(answer(
            "500 Internal Server Error",
            "X-Why: it broke\r\n",
            "broken",
        ))
    })
}

// What passes through.

#[test]
fn methods_statuses_headers_and_bodies_pass_through() {
    for (method, status) in [
        ("GET", "200 OK"),
        ("PUT", "201 Created"),
        ("DELETE", "404 Not Found"),
        ("PURGE", "299 Odd"),
        ("PATCH", "409 Conflict"),
    ] {
        let headers = "ETag: \"7\"\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n";
        let host = Host::start(move |_| Reply::Write(answer(status, headers, "the body")));
        let proxy = sidecar(&[&host], &[]);
        let mut client = proxy.client();
        let answer = client.ask(&format!(
            "{method} /safe/7?q=%20x&r HTTP/1.1\r\nHost: gym.example\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nX-Branch: CR-1\r\nX-Request-ID: given\r\nContent-Length: 4\r\n\r\nbody"
        ));
        assert!(
            answer
                .head
                .starts_with(&format!("HTTP/1.1 {}", &status[..3])),
            "{}",
            answer.head
        );
        assert_eq!(answer.body, b"the body");
        assert_eq!(answer.header("etag"), Some("\"7\""));
        assert_eq!(
            answer.head.matches("et-cookie: ").count(),
            2,
            "{}",
            answer.head
        );
        assert!(
            answer.header("x-hop").is_none() && answer.header("keep-alive").is_none(),
            "{}",
            answer.head
        );
        let (_, request) = host.request();
        assert!(
            request
                .head
                .starts_with(&format!("{method} /safe/7?q=%20x&r HTTP/1.1\r\n")),
            "{}",
            request.head
        );
        assert_eq!(request.body, b"body");
        assert_eq!(request.header("host"), Some("gym.example"));
        assert_eq!(request.header("x-branch"), Some("CR-1"));
        assert_eq!(request.header("x-request-id"), Some("given"));
        assert_eq!(request.header("via"), Some("1.1 badgerramp"));
        assert!(
            request.header("x-mine").is_none() && request.header("te").is_none(),
            "{}",
            request.head
        );
    }
}

/// These tell a length, or nothing, and nothing follows them: a reader that waits for a body would hang, one that finds
/// one would take it for the next answer.
#[test]
fn answers_without_a_body_are_framed_rightly() {
    let bare = |status: &str, headers: &str| format!("HTTP/1.1 {status}\r\n{headers}\r\n");
    let texts = [
        bare("200 OK", "Content-Length: 4711\r\nETag: \"h\"\r\n"),
        bare("200 OK", "Transfer-Encoding: chunked\r\n"),
        bare("200 OK", ""),
        bare("204 No Content", "X-A: 1\r\n"),
        bare("304 Not Modified", "ETag: \"n\"\r\nContent-Length: 12\r\n"),
        answer("200 OK", "", "after"),
    ];
    let host = Host::start(move |n| Reply::Write(texts[n.min(5)].clone()));
    let proxy = sidecar(&[&host], &[]);
    let mut client = proxy.client();
    let head = "HEAD /safe HTTP/1.1\r\nHost: x\r\n\r\n";
    for (text, status, length) in [
        (head.to_owned(), 200, Some("4711")),
        (head.to_owned(), 200, None),
        (head.to_owned(), 200, None),
        (get("/safe"), 204, None),
        (get("/safe"), 304, None),
    ] {
        client.write(&text);
        let answer = client.answer_head().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("content-length")),
            (status, length),
            "{}",
            answer.head
        );
    }
    let answer = client.ask(&get("/safe"));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"after".as_slice())
    );
}

#[test]
fn chunked_bodies_pass_within_the_bound() {
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let host = Host::start(move |_| Reply::Write(chunked.to_owned()));
    let proxy = sidecar(&[&host], &[("", "[limits]\nbody = \"2KiB\"")]);
    let head = "POST /unsafe HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = proxy
        .client()
        .ask(&format!("{head}4\r\nbody\r\n3\r\n&q=\r\n0\r\n\r\n"));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"abcde".as_slice())
    );
    let (_, request) = host.request();
    assert_eq!(
        (request.body.as_slice(), request.header("content-length")),
        (b"body&q=".as_slice(), Some("7"))
    );
    assert!(request.header("transfer-encoding").is_none());
    let long = "x".repeat(2_049);
    let answer = proxy
        .client()
        .ask(&format!("{head}801\r\n{long}\r\n0\r\n\r\n"));
    assert_eq!(answer.status(), 413);
    let text = format!("POST /unsafe HTTP/1.1\r\nHost: x\r\nContent-Length: 2049\r\n\r\n{long}");
    assert_eq!(proxy.client().ask(&text).status(), 413);
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn a_request_without_time_and_id_gets_both() {
    let host = Host::serving("ok");
    let proxy = sidecar(&[&host], &[]);
    let mut seen = Vec::new();
    for (headers, most) in [
        ("", 2_998_000),
        ("X-Timeout: 900m\r\n", 898_000),
        ("X-Timeout: 60000m\r\n", 2_998_000),
    ] {
        assert_eq!(proxy.client().ask(&post("/unsafe", headers)).status(), 200);
        let (_, request) = host.request();
        let left = request
            .header("x-timeout")
            .and_then(|t| t.strip_suffix('u'))
            .expect("a time");
        let left: u64 = left.parse().expect("microseconds");
        assert!(left > 0 && left <= most, "{headers:?}: {left}");
        seen.push(request.header("x-request-id").expect("an id").to_owned());
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 3, "ids of their own");
    for odd in [
        "X-Timeout: soon\r\n",
        "X-Timeout: 0m\r\n",
        "X-Timeout: 9m\r\nX-Timeout: 8m\r\n",
    ] {
        assert_eq!(
            proxy.client().ask(&post("/unsafe", odd)).status(),
            400,
            "{odd}"
        );
    }
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn paths_match_in_their_normal_form_and_pass_as_they_came() {
    let host = Host::serving("ok");
    let proxy = sidecar(
        &[&host],
        &[(
            "route",
            "[[route]]\nname = \"num\"\nregex = '/n/[0-9]+'\nclass = \"safe\"\n",
        )],
    );
    for target in [
        "//safe",
        "/%73afe/x",
        "/x/../safe",
        "/safe/..%2f?a=/../b",
        "/safe;v=1/../safe",
        "/n//7",
        "/n/%37?x",
    ] {
        assert_eq!(proxy.client().ask(&get(target)).status(), 200, "{target}");
        let (_, request) = host.request();
        assert!(
            request
                .head
                .starts_with(&format!("GET {target} HTTP/1.1\r\n")),
            "{}",
            request.head
        );
    }
    for (target, status) in [
        ("/Safe", 404),
        ("/n/x", 404),
        ("/other?/safe", 404),
        ("/safe%2Fx/..", 404),
        ("/safe/../..", 400),
        ("/safe/%zz", 400),
        ("*", 400),
    ] {
        let answer = proxy.client().ask(&get(target));
        assert_eq!(answer.status(), status, "{target}");
    }
    let long = format!("/safe/{}", "a".repeat(9_000));
    assert_eq!(proxy.client().ask(&get(&long)).status(), 400);
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn a_target_that_names_a_host_passes_as_one_that_does_not() {
    let host = Host::serving("ok");
    let proxy = sidecar(&[&host], &[]);
    let answer = proxy
        .client()
        .ask("GET http://gym.example/safe?q HTTP/1.1\r\nHost: other\r\n\r\n");
    assert_eq!(answer.status(), 200);
    let (_, request) = host.request();
    assert!(
        request.head.starts_with("GET /safe?q HTTP/1.1\r\n"),
        "{}",
        request.head
    );
    assert_eq!(request.header("host"), Some("gym.example"));
}

#[test]
fn a_request_that_no_route_takes_gets_the_named_answer() {
    let host = Host::serving("ok");
    let mut proxy = sidecar(
        &[&host],
        &[("", "[no_route]\nstatus = 421\ntext = \"not here\"")],
    );
    let mut client = proxy.client();
    let answer = client.ask(&get("/nowhere"));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (421, b"not here".as_slice())
    );
    assert_eq!(
        client.ask(&get("/safe")).status(),
        200,
        "the connection goes on"
    );
    assert!(proxy.child.try_wait().expect("a child").is_none());
}

#[test]
fn what_a_host_says_of_its_failure_passes_unless_it_reads_as_a_refusal() {
    let host = error();
    let proxy = sidecar(&[&host], &[]);
    let answer = proxy.client().ask(&post("/unsafe", ""));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (500, b"broken".as_slice())
    );
    assert_eq!(answer.header("x-why"), Some("it broke"));
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        // It may have run: to pass this on would tell the client that trying again is harmless.
        let host = Host::start(move |_| Reply::Write(answer_of(status)));
        let proxy = sidecar(&[&host], &[]);
        assert_eq!(
            proxy.client().ask(&post("/unsafe", "")).status(),
            502,
            "{status}"
        );
    }
}

fn answer_of(status: &str) -> String {
    answer(status, "Retry-After: 1\r\n", "")
}

#[test]
fn a_refusal_says_when_to_return_in_whole_seconds_where_it_may() {
    for (limits, advice) in [("", Some("1")), ("[limits]\nretry_after = \"0s\"", None)] {
        let proxy = Proxy::sidecar(
            PROGRAM,
            &[],
            &file(&[unused_address(), unused_address()], &[("", limits)]),
        );
        let answer = proxy.client().ask(&post("/unsafe", ""));
        assert_eq!(
            (answer.status(), answer.header("retry-after")),
            (503, advice),
            "{limits}"
        );
    }
}

// Statuses by route.

#[test]
fn a_status_is_served_for_one_route_and_an_error_for_another() {
    let host = Host::start(|_| Reply::Write(answer("409 Conflict", "", "busy")));
    let route = "[[route]]\nname = \"strict\"\nprefix = \"/safe/strict\"\nclass = \"safe\"\nserved = [\"200\"]\nattempts = 3\n";
    let proxy = sidecar(&[&host], &[("route", route)]);
    assert_eq!(proxy.client().ask(&get("/safe/loose")).status(), 409);
    assert_eq!(host.further_requests(), 1, "served");
    let answer = proxy.client().ask(&get("/safe/strict"));
    assert_eq!(
        answer.status(),
        503,
        "a safe call that failed may come again: refused"
    );
    assert!(host.further_requests() > 1, "an error is tried again");
}

#[test]
fn what_proves_that_nothing_ran_is_the_files() {
    let away =
        || Host::start(|_| Reply::Write(answer("425 Too Early", "X-Untouched: yes\r\n", "")));
    let proof = "never_ran = [{ status = 425, header = \"X-Untouched\" }]";
    let (one, two) = (away(), away());
    let proxy = sidecar(
        &[&one, &two],
        &[("unsafe", proof), ("unsafe", "attempts = 2")],
    );
    assert_eq!(
        proxy.client().ask(&post("/unsafe", "")).status(),
        503,
        "refused, as nothing has run"
    );
    assert_eq!(one.further_requests() + two.further_requests(), 2);
    let (one, two) = (away(), away());
    let proxy = sidecar(&[&one, &two], &[]);
    assert_eq!(
        proxy.client().ask(&post("/unsafe", "")).status(),
        425,
        "without proof it may have run"
    );
    assert_eq!(one.further_requests() + two.further_requests(), 1);
}

// Timing.

#[test]
fn attempts_are_as_many_as_the_route_says() {
    for most in [1, 2, 3] {
        let hosts = [error(), error(), error(), error()];
        let route = format!(
            "[[route]]\nname = \"r\"\nprefix = \"/safe/r\"\nclass = \"safe\"\nattempts = {most}\n"
        );
        let proxy = sidecar(
            &[&hosts[0], &hosts[1], &hosts[2], &hosts[3]],
            &[("safe", "attempts = 4"), ("route", &route)],
        );
        proxy.client().ask(&get("/safe/r"));
        assert_eq!(
            hosts.iter().map(Host::further_requests).sum::<usize>(),
            most
        );
        proxy.client().ask(&get("/safe/other"));
        assert_eq!(
            hosts.iter().map(Host::further_requests).sum::<usize>(),
            4,
            "its class's"
        );
    }
}

#[test]
fn an_attempt_that_takes_too_long_gives_way_to_another() {
    let (one, two) = (silent(), silent());
    let proxy = sidecar(
        &[&one, &two],
        &[("safe", "attempt = \"300ms\"\nattempts = 3")],
    );
    let asked = Instant::now();
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 503);
    let took = asked.elapsed();
    assert!(took >= Duration::from_millis(600), "{took:?}");
    let all = one.further_requests() + two.further_requests();
    assert!((2..=3).contains(&all), "{all} attempts");
    // An unsafe one may be running: its end is the call's.
    let (one, two) = (silent(), silent());
    let proxy = sidecar(
        &[&one, &two],
        &[("unsafe", "attempt = \"300ms\"\nattempts = 3")],
    );
    let status = proxy.client().ask(&post("/unsafe", "")).status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    assert_eq!(one.further_requests() + two.further_requests(), 1);
}

#[test]
fn the_total_is_the_calls_end() {
    let host = silent();
    let text = file(&[host.address], &[("unsafe", "total = \"400ms\"")]);
    let proxy = Proxy::sidecar(
        PROGRAM,
        &[],
        &text.replace("deadline = \"3s\"", "deadline = \"60s\""),
    );
    let asked = Instant::now();
    let status = proxy
        .client()
        .ask(&post("/unsafe", "X-Timeout: 60000m\r\n"))
        .status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    let took = asked.elapsed();
    assert!(
        took >= Duration::from_millis(390) && took < EVENT_TIMEOUT,
        "{took:?}"
    );
    assert_eq!(host.closed(), 0, "the attempt goes with its call");
}

#[test]
fn a_connect_takes_no_longer_than_it_may() {
    let deaf = FullBacklogHost::start();
    let text = file(
        &[deaf.address],
        &[("unsafe", "connect = \"200ms\"\nattempts = 1")],
    );
    let text = text.replace("deadline = \"3s\"", "deadline = \"60s\"");
    let proxy = Proxy::sidecar(PROGRAM, &[], &text);
    let asked = Instant::now();
    assert_eq!(
        proxy.client().ask(&post("/unsafe", "")).status(),
        503,
        "never ran, so refused"
    );
    let took = asked.elapsed();
    assert!(
        took >= Duration::from_millis(190) && took < EVENT_TIMEOUT,
        "{took:?}"
    );
}

#[test]
fn a_pause_lies_between_attempts() {
    let (arrived, came) = channel();
    let arrived = Mutex::new(arrived);
    let host = Host::start(move |n| {
        let _ = arrived.lock().expect("a sender").send(Instant::now());
        match n {
            0 => Reply::Write(answer("500 Internal Server Error", "", "")),
            _ => Reply::Write(answer("200 OK", "", "ok")),
        }
    });
    let proxy = sidecar(&[&host], &[("safe", "backoff = \"400ms\"\nattempts = 2")]);
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    let times: Vec<Instant> = came.try_iter().collect();
    assert_eq!(times.len(), 2);
    assert!(
        times[1] - times[0] >= Duration::from_millis(395),
        "{:?}",
        times[1] - times[0]
    );
}

#[test]
fn a_second_copy_goes_as_set_and_its_answer_counts() {
    // The first request of all is never answered.
    let script = |n: usize| {
        if n == 0 {
            Reply::Silence
        } else {
            Reply::Write(answer("200 OK", "", "ok"))
        }
    };
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let host = || {
        let count = std::sync::Arc::clone(&count);
        Host::start(move |_| script(count.fetch_add(1, std::sync::atomic::Ordering::SeqCst)))
    };
    let (one, two) = (host(), host());
    let proxy = sidecar(&[&one, &two], &[("safe", "second_copy = \"after 250ms\"")]);
    let asked = Instant::now();
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    let took = asked.elapsed();
    assert!(took >= Duration::from_millis(245), "{took:?}");
    assert_eq!(one.further_requests() + two.further_requests(), 2);
}

/// Both attempts of a call end with it, and the client hears once.
#[test]
fn a_total_that_ends_while_a_second_copy_is_out_ends_both() {
    let (one, two) = (silent(), silent());
    let proxy = sidecar(
        &[&one, &two],
        &[(
            "safe",
            "second_copy = \"after 100ms\"\ntotal = \"500ms\"\nattempts = 2",
        )],
    );
    let mut client = proxy.client();
    client.write(&get("/safe"));
    let (first, second) = (one.request(), two.request());
    assert_eq!(
        first.1.header("x-request-id"),
        second.1.header("x-request-id"),
        "one call"
    );
    assert_eq!(client.answer().expect("an answer").status(), 503);
    one.closed();
    two.closed();
    assert_eq!(one.further_requests() + two.further_requests(), 0);
    client
        .stream
        .get_ref()
        .set_read_timeout(Some(QUIET_PERIOD))
        .expect("a socket");
    assert!(
        client.stream.read(&mut [0]).is_err(),
        "nothing more, and the connection stays"
    );
}

/// An answer and the attempt's own time-out come at the same moment, in either order: one final answer, and an unsafe
/// call is never sent again.
#[test]
fn a_time_out_at_the_moment_of_an_answer_gives_one_answer() {
    let host = Host::start(|n| {
        std::thread::sleep(Duration::from_micros(99_000 + (n as u64 * 137) % 2_500));
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let proxy = sidecar(&[&host], &[("unsafe", "attempt = \"100ms\"\nattempts = 3")]);
    let ask = |_| {
        let mut client = proxy.client();
        let status = client.ask(&post("/unsafe", "")).status();
        client
            .stream
            .get_ref()
            .set_nonblocking(true)
            .expect("a socket");
        assert!(
            !matches!(client.stream.read(&mut [0]), Ok(n) if n > 0),
            "a second answer"
        );
        status
    };
    let statuses: Vec<u16> = (0..40).map(ask).collect();
    let served = statuses.iter().filter(|&&s| s == 200).count();
    // A host that is set aside in between is refused for, without an attempt.
    let refused = statuses.iter().filter(|&&s| s == 503).count();
    assert_eq!(
        host.further_requests() + refused,
        40,
        "each went out once: {served} served"
    );
}

// Keys.

#[test]
fn a_keyed_call_goes_again_within_its_group_and_without_its_key_never() {
    for (headers, again) in [
        ("Idempotency-Key: k1\r\n", true),
        ("", false),
        ("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", false),
        ("Idempotency-Key: \r\n", false),
    ] {
        // Hosts 0 and 1 are a group, 2 and 3 another.
        let hosts = [error(), error(), error(), error()];
        let proxy = sidecar(
            &[&hosts[0], &hosts[1], &hosts[2], &hosts[3]],
            &[("keyed", "attempts = 4")],
        );
        proxy.client().ask(&post("/keyed", headers));
        let counts: Vec<usize> = hosts.iter().map(Host::further_requests).collect();
        let groups = [counts[0] + counts[1], counts[2] + counts[3]];
        assert_eq!(
            groups.iter().filter(|&&n| n > 0).count(),
            1,
            "one group: {counts:?}"
        );
        assert_eq!(groups[0] + groups[1] > 1, again, "{headers:?}: {counts:?}");
    }
}

#[test]
fn a_key_may_lie_in_a_cookie() {
    let route = "[[route]]\nname = \"c\"\nprefix = \"/keyed/c\"\nclass = \"keyed\"\nkey = { cookie = \"visit\" }\nattempts = 2\n";
    for (headers, sent) in [
        ("Cookie: a=1; visit=7\r\n", 2),
        ("Idempotency-Key: 7\r\n", 1),
    ] {
        let (one, two) = (error(), error());
        let proxy = sidecar(&[&one, &two], &[("route", route)]);
        proxy.client().ask(&post("/keyed/c", headers));
        assert_eq!(
            one.further_requests() + two.further_requests(),
            sent,
            "{headers}"
        );
    }
}

// Expressions.

/// The two classes of the gyms, from the example file: told apart and keyed by expressions.
#[test]
fn classes_and_keys_are_formed_by_expressions() {
    const FILE: &str = include_str!("../../../deploy/expressions.example.toml");
    let start = || {
        let hosts = [error(), error(), error(), error()];
        let mut text = FILE.replace("127.0.0.1:8080", "127.0.0.1:0");
        for (n, host) in hosts.iter().enumerate() {
            text = text.replace(
                &format!("127.0.0.1:900{}", n + 1),
                &host.address.to_string(),
            );
        }
        (Proxy::sidecar(PROGRAM, &[], &text), hosts)
    };
    let json = "Content-Type: Application/JSON\r\n";
    for (path, headers, attempts) in [
        // A charge may have run: once, whatever comes.
        ("/fees/12", format!("{json}X-Branch: CR-7\r\n"), 1..=1),
        // Neither is one: no route takes it.
        ("/fees/12", json.to_owned(), 0..=0),
        (
            "/fees/12",
            format!("{json}X-Branch: CR-7\r\nX-Branch: CR-8\r\n"),
            0..=0,
        ),
        ("/fees/12", "X-Branch: CR-7\r\n".to_owned(), 0..=0),
        // An entry with its key goes again, within one group.
        (
            "/visits",
            "X-Branch: CR-7\r\nX-Visit: 81\r\n".to_owned(),
            2..=3,
        ),
        // Half a key is none: it counts as unsafe.
        ("/visits", "X-Visit: 81\r\n".to_owned(), 1..=1),
        (
            "/visits",
            "X-Branch: CR-7\r\nX-Visit: 81\r\nX-Visit: 82\r\n".to_owned(),
            0..=0,
        ),
        (
            "/visits",
            "X-Branch: CR-7\r\nX-Branch: CR-8\r\nX-Visit: 81\r\n".to_owned(),
            1..=1,
        ),
    ] {
        let (proxy, hosts) = start();
        let answer = proxy.client().ask(&post(path, &headers));
        let counts: Vec<usize> = hosts.iter().map(Host::further_requests).collect();
        let sum: usize = counts.iter().sum();
        assert!(attempts.contains(&sum), "{path} {headers:?}: {counts:?}");
        assert!(
            counts[0] + counts[1] == 0 || counts[2] + counts[3] == 0,
            "one group: {counts:?}"
        );
        assert_eq!(answer.status() == 404, sum == 0, "{}", answer.head);
    }
}

/// An expression sees where its client is, and the query.
#[test]
fn an_expression_sees_the_client_and_the_query() {
    let host = Host::serving("ok");
    let route = "[[route]]\nname = \"q\"\nprefix = \"/q\"\n\
        when = 'client in \"127.0.0.0/8\" and (query[\"a b\"] ?? \"\") == \"1/2\"'\nclass = \"safe\"\n\
        [[route]]\nname = \"far\"\nprefix = \"/far\"\nwhen = 'not (client in \"127.0.0.0/8\")'\nclass = \"safe\"\n";
    let proxy = sidecar(&[&host], &[("route", route)]);
    for (target, status) in [
        ("/q?a+b=1%2F2", 200),
        ("/q?x=&a%20b=1/2", 200),
        ("/q?a+b=1/2&a+b=1/2", 404),
        ("/q", 404),
        ("/far", 404),
    ] {
        assert_eq!(
            proxy.client().ask(&get(target)).status(),
            status,
            "{target}"
        );
    }
}

// Reload.

#[test]
fn a_bad_reload_changes_nothing_and_says_why_in_one_line() {
    let host = Host::serving("ok");
    let good = file(&[host.address], &[]);
    let proxy = Proxy::sidecar(PROGRAM, &[], &good);
    for (bad, reason) in [
        (
            good.replace(
                "effect = \"unsafe\"\n",
                "effect = \"unsafe\"\nsecond_copy = \"auto\"\n",
            ),
            "would run it twice",
        ),
        (
            good.replace("aim = \"1500ms\"", "aim = 7"),
            "class.safe.aim",
        ),
        (
            good.replace("listen = \"127.0.0.1:0\"", "listen = \"127.0.0.1:1\""),
            "can't change listen",
        ),
        (String::new(), "this key is wanted"),
    ] {
        proxy.reload(&bad);
        let line = proxy.wait_for_log("the old configuration stays");
        assert!(line.contains(reason), "{line}");
        assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    }
    proxy.reload(&good.replace("prefix = \"/safe\"", "prefix = \"/new\""));
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 404);
    assert_eq!(proxy.client().ask(&get("/new")).status(), 200);
}

/// The class of a call in flight goes, and the call ends under it: it fails over as a safe call does.
#[test]
fn a_call_in_flight_ends_under_the_file_it_came_under() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let (arrived, gate) = (Mutex::new(arrived), Mutex::new(gate));
    let host = Host::start(move |n| {
        if n == 0 {
            let _ = arrived.lock().expect("a sender").send(());
            let _ = gate.lock().expect("one call").recv();
            return Reply::Write(answer("500 Internal Server Error", "", ""));
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let good = file(&[host.address], &[]);
    let proxy = Proxy::sidecar(PROGRAM, &[], &good);
    let mut slow = proxy.client();
    slow.write(&get("/safe"));
    came.recv_timeout(EVENT_TIMEOUT)
        .expect("the call at the host");
    let without = good
        .replace(
            "[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n",
            "",
        )
        .replace(
            "[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
            "",
        );
    assert!(!without.contains("class = \"safe\""));
    proxy.reload(&without);
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 404);
    // Its first attempt fails now: as a safe call it has another.
    open.send(()).expect("the host waits");
    assert_eq!(slow.answer().expect("an answer").status(), 200);
    // The class comes back under its name.
    proxy.reload(&good);
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
}

/// Calls that wait, as there is no host yet, outlive their class too.
#[test]
fn a_call_that_waits_outlives_its_class() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let endpoints = file(&[host.address], &[]);
    let listed = format!(
        "endpoints = [{{ name = \"s-0\", address = \"{}\", group = 1 }}]",
        host.address
    );
    let good = endpoints.replace(&listed, &format!("discovery = \"{}\"", discovery.address));
    assert!(good.contains("discovery = "));
    let proxy = Proxy::sidecar(PROGRAM, &[], &good);
    assert!(discovery
        .next_request()
        .starts_with("GET /catalog/members HTTP/1.1"));
    let mut waits = proxy.client();
    waits.write(&get("/safe"));
    // A health call behind it tells that it has been read.
    assert_eq!(proxy.client().ask(&get("/_health")).status(), 200);
    let without = good
        .replace(
            "[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n",
            "",
        )
        .replace(
            "[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
            "",
        );
    proxy.reload(&without);
    proxy.wait_for_log("the new configuration holds");
    discovery.respond(&list(1, true, &[entry("s-1", host.address, "up", 0)]));
    assert_eq!(waits.answer().expect("an answer").status(), 200);
}

#[test]
fn endpoints_move_with_a_reload() {
    let (old, new) = (Host::serving("old"), Host::serving("new"));
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(&[old.address], &[]));
    assert_eq!(proxy.client().ask(&get("/safe")).body, b"old");
    proxy.reload(&file(&[new.address], &[]));
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(old.closed(), 0, "its idle connection goes");
    for _ in 0..5 {
        assert_eq!(proxy.client().ask(&get("/safe")).body, b"new");
    }
}

#[test]
fn no_request_is_lost_while_files_change_under_load() {
    let hosts = [
        Host::serving("ok"),
        Host::serving("ok"),
        Host::serving("ok"),
    ];
    let addresses: Vec<_> = hosts.iter().map(|h| h.address).collect();
    let one = file(&addresses, &[]);
    let two = file(
        &addresses[1..],
        &[
            ("safe", "attempts = 2\nsecond_copy = \"at 95%\""),
            ("unsafe", "total = \"2s\""),
        ],
    )
    .replace("[class.keyed]", "[class.renamed]")
    .replace("class = \"keyed\"", "class = \"renamed\"");
    let proxy = Proxy::sidecar(PROGRAM, &[], &one);
    let kind = |class: &str, keyed| RequestKind {
        class: class.to_owned(),
        timeout: Duration::from_secs(3),
        keyed,
        clients: 6,
        requests_per_s: 50.0,
    };
    let course = LoadPlan {
        target: proxy.address,
        kinds: vec![kind("keyed", true), kind("unsafe", false)],
        duration: Duration::from_secs(3),
        max_requests: 4_000,
    };
    let running = std::thread::spawn(move || load(&course, |_, _| {}));
    for n in 0..12 {
        proxy.reload(match n % 3 {
            0 => &two,
            1 => "listen = ",
            _ => &one,
        });
        proxy.wait_for_log(if n % 3 == 1 {
            "the old configuration stays"
        } else {
            "the new configuration holds"
        });
        std::thread::sleep(QUIET_PERIOD / 2);
    }
    for (kind, totals) in running.join().expect("the load ends") {
        assert!(totals.sent > 100, "{kind:?} {totals:?}");
        assert_eq!((totals.unanswered, totals.failed), (0, 0), "{}", kind.class);
    }
}

// The command line.

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = std::process::Command::new(PROGRAM);
    command.args(arguments).env_remove("RELAY_CONFIG");
    let output = command.output().expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// None of the seeded bad files starts, and `check` says the same of each.
#[test]
fn no_bad_file_starts() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/tests/bad");
    let mut count = 0;
    for path in std::fs::read_dir(folder)
        .expect("the bad files")
        .map(|e| e.expect("a file").path())
    {
        let name = path.to_str().expect("a name");
        for command in ["run", "check"] {
            let (code, _, told) = run(&[command, name]);
            assert_eq!(code, Some(1), "{command} {name}: {told}");
            assert!(
                told.contains("allowed: ") && !told.contains("listening"),
                "{command} {name}: {told}"
            );
        }
        count += 1;
    }
    assert!(count >= 40);
}

#[test]
fn the_exit_tells_what_check_found() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let path = |name: &str| deploy.join(name).to_str().expect("a name").to_owned();
    let (sidecar, operator) = (path("sidecar.example.toml"), path("operator.example.toml"));
    let (code, told, _) = run(&["check", &sidecar, &operator]);
    assert_eq!(code, Some(0));
    assert_eq!(told.matches(": good").count(), 2);
    let (code, told, mistakes) = run(&["check", &sidecar, "/nowhere.toml"]);
    assert_eq!(code, Some(1));
    assert!(
        told.contains("good")
            && told.contains("/nowhere.toml: 1 mistake")
            && mistakes.contains("can't be read")
    );
    for bad in [
        &["check"][..],
        &["chekc", "x"],
        &["run"],
        &["--operator"],
        &["run", "a", "b"],
    ] {
        assert_eq!(run(bad).0, Some(2), "{bad:?}");
    }
    let (code, help, _) = run(&["--help"]);
    assert!(
        code == Some(0)
            && ["run", "check", "--operator", "RELAY_CONFIG"]
                .iter()
                .all(|w| help.contains(w))
    );
    let (code, _, told) = run(&["run", &operator]);
    assert!(code == Some(1) && told.contains("--operator"), "{told}");
    let (code, _, told) = run(&[]);
    assert!(
        code == Some(1) && told.contains("RELAY_CONFIG is not set"),
        "{told}"
    );
}

// Beside the platform.

#[test]
fn an_operators_file_narrows_the_platform_and_a_wider_one_does_not_start() {
    let hosts = [error(), error(), error()];
    let discovery = Discovery::start();
    let known: Vec<String> = hosts
        .iter()
        .zip(1..)
        .map(|(h, n)| entry(&format!("s-{n}"), h.address, "up", 0))
        .collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let relay =
        badgerramp_testkit::temp_file("json", &config(listen, discovery.address, 1_024, &known));
    let with = |text: &str| {
        let operator = badgerramp_testkit::temp_file("toml", text);
        let arguments = ["--operator".as_ref(), operator.as_os_str()];
        (
            start(PROGRAM, &arguments, &[("RELAY_CONFIG", &relay)], None),
            operator,
        )
    };
    let count = || hosts.iter().map(Host::further_requests).sum::<usize>();
    let text = "platform = true\n[class.safe]\nattempts = 2\n[[route]]\nname = \"q\"\nprefix = \"/safe/once\"\nclass = \"safe\"\nattempts = 1\n";
    let (child, operator) = with(text);
    let proxy = Proxy::wait_until_listening(child, operator);
    let once = request("safe", "2000m", "one").replace("/safe?", "/safe/once?");
    proxy.client().ask(&once);
    assert_eq!(count(), 1);
    proxy.call("safe", "2000m");
    assert_eq!(count(), 2);
    for (text, reason) in [
        ("platform = true\n[class.safe]\nattempts = 9\n", "widen"),
        ("platform = true\n[class.other]\n", "no such class"),
        ("listen = \"127.0.0.1:0\"\n", "this key is wanted"),
    ] {
        let (mut child, operator) = with(text);
        let mut told = String::new();
        child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut told)
            .expect("text");
        assert_eq!(child.wait().expect("an end").code(), Some(1));
        assert!(
            told.contains(reason) && !told.contains("listening"),
            "{told}"
        );
        let _ = std::fs::remove_file(operator);
    }
    let _ = std::fs::remove_file(relay);
}
