//! The program as a sidecar: plain HTTP, routes, timing, expressions, reloads and the command line.

use badgerramp_testkit::*;
use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// Returns an operator's file with three classes and a route for each, over these hosts; every two hosts are a group. Each
/// addition goes into the class or table of its name, and additions without a name before all tables.
fn file(hosts: &[std::net::SocketAddr], additions: &[(&str, &str)]) -> String {
    let extra = |name: &str| {
        additions
            .iter()
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

fn sidecar(hosts: &[&Host], additions: &[(&str, &str)]) -> Proxy {
    let addresses: Vec<_> = hosts.iter().map(|h| h.address).collect();
    Proxy::sidecar(PROGRAM, &[], &file(&addresses, additions))
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

// Passing requests and responses on.

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

/// These responses have no body, whatever length they announce. A reader that waited for a body would hang, or take the next
/// response for it.
#[test]
fn responses_without_a_body_are_framed_correctly() {
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
fn chunked_bodies_pass_up_to_the_size_limit() {
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
fn a_request_without_timeout_and_id_gets_both() {
    let host = Host::serving("ok");
    let proxy = sidecar(&[&host], &[]);
    let mut seen = Vec::new();
    for (headers, max) in [
        ("", 2_998_000),
        ("X-Timeout: 900m\r\n", 898_000),
        ("X-Timeout: 60000m\r\n", 2_998_000),
    ] {
        assert_eq!(proxy.client().ask(&post("/unsafe", headers)).status(), 200);
        let (_, request) = host.request();
        let remaining = request
            .header("x-timeout")
            .and_then(|t| t.strip_suffix('u'))
            .expect("a time");
        let remaining: u64 = remaining.parse().expect("microseconds");
        assert!(
            remaining > 0 && remaining <= max,
            "{headers:?}: {remaining}"
        );
        seen.push(request.header("x-request-id").expect("an id").to_owned());
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 3, "each has its own id");
    for invalid_timeout in [
        "X-Timeout: soon\r\n",
        "X-Timeout: 0m\r\n",
        "X-Timeout: 9m\r\nX-Timeout: 8m\r\n",
    ] {
        assert_eq!(
            proxy
                .client()
                .ask(&post("/unsafe", invalid_timeout))
                .status(),
            400,
            "{invalid_timeout}"
        );
    }
    assert_eq!(host.further_requests(), 0);
}

#[test]
fn paths_match_in_normalized_form_and_pass_unchanged() {
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
fn an_absolute_form_target_is_sent_in_origin_form() {
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
fn a_request_without_a_route_gets_the_configured_response() {
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
        "the connection stays open"
    );
    assert!(proxy.child.try_wait().expect("a child").is_none());
}

#[test]
fn error_responses_of_a_host_pass_unless_they_look_like_rejections() {
    let host = error();
    let proxy = sidecar(&[&host], &[]);
    let answer = proxy.client().ask(&post("/unsafe", ""));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (500, b"broken".as_slice())
    );
    assert_eq!(answer.header("x-why"), Some("it broke"));
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        // The call may have run; passing this status on would tell the client that a retry is harmless.
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
fn a_rejection_has_the_configured_retry_after_in_whole_seconds() {
    for (limits, retry_after) in [("", Some("1")), ("[limits]\nretry_after = \"0s\"", None)] {
        let proxy = Proxy::sidecar(
            PROGRAM,
            &[],
            &file(&[unused_address(), unused_address()], &[("", limits)]),
        );
        let answer = proxy.client().ask(&post("/unsafe", ""));
        assert_eq!(
            (answer.status(), answer.header("retry-after")),
            (503, retry_after),
            "{limits}"
        );
    }
}

// Statuses by route.

#[test]
fn a_status_may_be_served_by_one_route_and_an_error_for_another() {
    let host = Host::start(|_| Reply::Write(answer("409 Conflict", "", "busy")));
    let route = "[[route]]\nname = \"strict\"\nprefix = \"/safe/strict\"\nclass = \"safe\"\nserved = [\"200\"]\nattempts = 3\n";
    let proxy = sidecar(&[&host], &[("route", route)]);
    assert_eq!(proxy.client().ask(&get("/safe/loose")).status(), 409);
    assert_eq!(host.further_requests(), 1, "served");
    let answer = proxy.client().ask(&get("/safe/strict"));
    assert_eq!(
        answer.status(),
        503,
        "a safe call that failed may be retried by its client: rejected"
    );
    assert!(host.further_requests() > 1, "an error is retried");
}

#[test]
fn the_file_sets_which_responses_prove_that_a_call_never_ran() {
    let rejecting_host =
        || Host::start(|_| Reply::Write(answer("425 Too Early", "X-Untouched: yes\r\n", "")));
    let never_ran_rule = "never_ran = [{ status = 425, header = \"X-Untouched\" }]";
    let (one, two) = (rejecting_host(), rejecting_host());
    let proxy = sidecar(
        &[&one, &two],
        &[("unsafe", never_ran_rule), ("unsafe", "attempts = 2")],
    );
    assert_eq!(
        proxy.client().ask(&post("/unsafe", "")).status(),
        503,
        "rejected, because the call never ran"
    );
    assert_eq!(one.further_requests() + two.further_requests(), 2);
    let (one, two) = (rejecting_host(), rejecting_host());
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
fn a_route_limits_the_number_of_attempts() {
    for max in [1, 2, 3] {
        let hosts = [error(), error(), error(), error()];
        let route = format!(
            "[[route]]\nname = \"r\"\nprefix = \"/safe/r\"\nclass = \"safe\"\nattempts = {max}\n"
        );
        let proxy = sidecar(
            &[&hosts[0], &hosts[1], &hosts[2], &hosts[3]],
            &[("safe", "attempts = 4"), ("route", &route)],
        );
        proxy.client().ask(&get("/safe/r"));
        assert_eq!(hosts.iter().map(Host::further_requests).sum::<usize>(), max);
        proxy.client().ask(&get("/safe/other"));
        assert_eq!(
            hosts.iter().map(Host::further_requests).sum::<usize>(),
            4,
            "the limit of the class"
        );
    }
}

#[test]
fn an_attempt_that_times_out_is_retried_if_the_call_is_safe() {
    let (one, two) = (silent(), silent());
    let proxy = sidecar(
        &[&one, &two],
        &[("safe", "attempt = \"300ms\"\nattempts = 3")],
    );
    let started = Instant::now();
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 503);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(600), "{elapsed:?}");
    let attempts = one.further_requests() + two.further_requests();
    assert!((2..=3).contains(&attempts), "{attempts} attempts");
    // An unsafe attempt may still be running at its time-out, which therefore ends the call.
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
fn the_total_timeout_ends_the_call() {
    let host = silent();
    let text = file(&[host.address], &[("unsafe", "total = \"400ms\"")]);
    let proxy = Proxy::sidecar(
        PROGRAM,
        &[],
        &text.replace("deadline = \"3s\"", "deadline = \"60s\""),
    );
    let started = Instant::now();
    let status = proxy
        .client()
        .ask(&post("/unsafe", "X-Timeout: 60000m\r\n"))
        .status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    let elapsed = started.elapsed();
    assert!(
        elapsed >= Duration::from_millis(390) && elapsed < EVENT_TIMEOUT,
        "{elapsed:?}"
    );
    assert_eq!(host.closed(), 0, "the attempt is cancelled with its call");
}

#[test]
fn a_connect_ends_at_its_timeout() {
    let unresponsive = FullBacklogHost::start();
    let text = file(
        &[unresponsive.address],
        &[("unsafe", "connect = \"200ms\"\nattempts = 1")],
    );
    let text = text.replace("deadline = \"3s\"", "deadline = \"60s\"");
    let proxy = Proxy::sidecar(PROGRAM, &[], &text);
    let started = Instant::now();
    assert_eq!(
        proxy.client().ask(&post("/unsafe", "")).status(),
        503,
        "the call never ran, so it is rejected"
    );
    let elapsed = started.elapsed();
    assert!(
        elapsed >= Duration::from_millis(190) && elapsed < EVENT_TIMEOUT,
        "{elapsed:?}"
    );
}

#[test]
fn attempts_are_separated_by_the_backoff() {
    let (arrival_sender, arrivals) = channel();
    let arrival_sender = Mutex::new(arrival_sender);
    let host = Host::start(move |n| {
        let _ = arrival_sender
            .lock()
            .expect("a sender")
            .send(Instant::now());
        match n {
            0 => Reply::Write(answer("500 Internal Server Error", "", "")),
            _ => Reply::Write(answer("200 OK", "", "ok")),
        }
    });
    let proxy = sidecar(&[&host], &[("safe", "backoff = \"400ms\"\nattempts = 2")]);
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    let times: Vec<Instant> = arrivals.try_iter().collect();
    assert_eq!(times.len(), 2);
    assert!(
        times[1] - times[0] >= Duration::from_millis(395),
        "{:?}",
        times[1] - times[0]
    );
}

#[test]
fn a_hedged_request_is_sent_after_the_set_delay_and_its_response_is_served() {
    // The first request, whichever host gets it, is never answered.
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
    let started = Instant::now();
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(245), "{elapsed:?}");
    assert_eq!(one.further_requests() + two.further_requests(), 2);
}

/// Both attempts of a call end with it, and the client gets one response.
#[test]
fn the_total_timeout_ends_both_attempts_of_a_hedged_call() {
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
        "nothing more is sent, and the connection stays open"
    );
}

/// A response and the time-out of its attempt come at the same moment, in either order. The client gets one response, and an
/// unsafe call is never retried.
#[test]
fn a_timeout_that_races_with_a_response_gives_one_response() {
    let host = Host::start(|n| {
        std::thread::sleep(Duration::from_micros(99_000 + (n as u64 * 137) % 2_500));
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let proxy = sidecar(&[&host], &[("unsafe", "attempt = \"100ms\"\nattempts = 3")]);
    let send = |_| {
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
    let statuses: Vec<u16> = (0..40).map(send).collect();
    let served = statuses.iter().filter(|&&s| s == 200).count();
    // While the host is ejected, calls are rejected without an attempt.
    let refused = statuses.iter().filter(|&&s| s == 503).count();
    assert_eq!(
        host.further_requests() + refused,
        40,
        "each was sent once: {served} served"
    );
}

// Keys.

#[test]
fn a_keyed_call_is_retried_within_its_group_and_never_without_its_key() {
    for (headers, retried) in [
        ("Idempotency-Key: k1\r\n", true),
        ("", false),
        ("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", false),
        ("Idempotency-Key: \r\n", false),
    ] {
        // Hosts 0 and 1 are one group, hosts 2 and 3 another.
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
        assert_eq!(
            groups[0] + groups[1] > 1,
            retried,
            "{headers:?}: {counts:?}"
        );
    }
}

#[test]
fn a_key_may_be_in_a_cookie() {
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

/// The two classes of the example file, whose routes and keys are formed by expressions.
#[test]
fn expressions_select_classes_and_keys() {
    const EXAMPLE: &str = include_str!("../../../deploy/expressions.example.toml");
    let start = || {
        let hosts = [error(), error(), error(), error()];
        let mut text = EXAMPLE.replace("127.0.0.1:8080", "127.0.0.1:0");
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
        // A charge is unsafe: one attempt, whatever the result.
        ("/fees/12", format!("{json}X-Branch: CR-7\r\n"), 1..=1),
        // These are no valid charges: no route matches.
        ("/fees/12", json.to_owned(), 0..=0),
        (
            "/fees/12",
            format!("{json}X-Branch: CR-7\r\nX-Branch: CR-8\r\n"),
            0..=0,
        ),
        ("/fees/12", "X-Branch: CR-7\r\n".to_owned(), 0..=0),
        // An entry with its key is retried within one group.
        (
            "/visits",
            "X-Branch: CR-7\r\nX-Visit: 81\r\n".to_owned(),
            2..=3,
        ),
        // With an incomplete key the call counts as unsafe.
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

#[test]
fn an_expression_can_use_the_client_address_and_the_query() {
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
fn an_invalid_reload_changes_nothing_and_logs_the_reason_in_one_line() {
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
            good.replace(
                "effect = \"unsafe\"\n",
                "effect = \"unsafe\"\nnever_ran = [{ status = 500, header = \"Content-Type\" }]\n",
            ),
            "class.unsafe.never_ran",
        ),
        (
            good.replace("aim = \"1500ms\"", "aim = 7"),
            "class.safe.aim",
        ),
        (
            good.replace("listen = \"127.0.0.1:0\"", "listen = \"127.0.0.1:1\""),
            "can't change listen",
        ),
        (String::new(), "this key is required"),
    ] {
        proxy.reload(&bad);
        let line = proxy.wait_for_log("reload failed, keeping the old configuration");
        assert!(line.contains(reason), "{line}");
        assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
    }
    proxy.reload(&good.replace("prefix = \"/safe\"", "prefix = \"/new\""));
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 404);
    assert_eq!(proxy.client().ask(&get("/new")).status(), 200);
}

/// A reload removes the class of a call in flight. The call keeps its class: its failed attempt is retried, as it is safe.
#[test]
fn a_call_in_flight_keeps_its_class_across_a_reload() {
    let ((arrival_sender, arrivals), (open, gate)) = (channel(), channel::<()>());
    let (arrival_sender, gate) = (Mutex::new(arrival_sender), Mutex::new(gate));
    let host = Host::start(move |n| {
        if n == 0 {
            let _ = arrival_sender.lock().expect("a sender").send(());
            let _ = gate.lock().expect("one call").recv();
            return Reply::Write(answer("500 Internal Server Error", "", ""));
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let good = file(&[host.address], &[]);
    let proxy = Proxy::sidecar(PROGRAM, &[], &good);
    let mut slow = proxy.client();
    slow.write(&get("/safe"));
    arrivals
        .recv_timeout(EVENT_TIMEOUT)
        .expect("the call at the host");
    let without_safe_class = good
        .replace(
            "[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n",
            "",
        )
        .replace(
            "[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
            "",
        );
    assert!(!without_safe_class.contains("class = \"safe\""));
    proxy.reload(&without_safe_class);
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 404);
    // The first attempt fails now, and the call is retried because it is safe.
    open.send(()).expect("the host waits");
    assert_eq!(slow.answer().expect("an answer").status(), 200);
    // Another reload brings the class back.
    proxy.reload(&good);
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(proxy.client().ask(&get("/safe")).status(), 200);
}

/// Calls that wait because there are no endpoints yet keep their class, too.
#[test]
fn a_waiting_call_keeps_its_class_across_a_reload() {
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
    let mut waiting_client = proxy.client();
    waiting_client.write(&get("/safe"));
    // The response to this later request shows that the first one has been read.
    assert_eq!(proxy.client().ask(&get("/_health")).status(), 200);
    let without_safe_class = good
        .replace(
            "[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n",
            "",
        )
        .replace(
            "[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n",
            "",
        );
    proxy.reload(&without_safe_class);
    proxy.wait_for_log("the new configuration holds");
    discovery.respond(&list(1, true, &[entry("s-1", host.address, "up", 0)]));
    assert_eq!(waiting_client.answer().expect("an answer").status(), 200);
}

#[test]
fn a_reload_replaces_the_endpoints() {
    let (old, new) = (Host::serving("old"), Host::serving("new"));
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(&[old.address], &[]));
    assert_eq!(proxy.client().ask(&get("/safe")).body, b"old");
    proxy.reload(&file(&[new.address], &[]));
    proxy.wait_for_log("the new configuration holds");
    assert_eq!(old.closed(), 0, "the idle connection is closed");
    for _ in 0..5 {
        assert_eq!(proxy.client().ask(&get("/safe")).body, b"new");
    }
}

#[test]
fn no_request_is_lost_while_files_are_reloaded_under_load() {
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
    let load_kind = |class: &str, keyed| RequestKind {
        class: class.to_owned(),
        timeout: Duration::from_secs(3),
        keyed,
        clients: 6,
        requests_per_s: 50.0,
    };
    let load_plan = LoadPlan {
        target: proxy.address,
        kinds: vec![load_kind("keyed", true), load_kind("unsafe", false)],
        duration: Duration::from_secs(3),
        max_requests: 4_000,
    };
    let running = std::thread::spawn(move || load(&load_plan, |_, _| {}));
    for n in 0..12 {
        proxy.reload(match n % 3 {
            0 => &two,
            1 => "listen = ",
            _ => &one,
        });
        proxy.wait_for_log(if n % 3 == 1 {
            "reload failed, keeping the old configuration"
        } else {
            "the new configuration holds"
        });
        std::thread::sleep(QUIET_PERIOD / 2);
    }
    for (load_kind, totals) in running.join().expect("the load ends") {
        assert!(totals.sent > 100, "{load_kind:?} {totals:?}");
        assert_eq!(
            (totals.unanswered, totals.failed),
            (0, 0),
            "{}",
            load_kind.class
        );
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

/// The program starts with none of the invalid files of the config crate, and `check` rejects each of them.
#[test]
fn no_invalid_file_starts() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/tests/bad");
    let mut count = 0;
    for path in std::fs::read_dir(folder)
        .expect("the bad files")
        .map(|e| e.expect("a file").path())
    {
        let name = path.to_str().expect("a name");
        for command in ["run", "check"] {
            let (code, _, output) = run(&[command, name]);
            assert_eq!(code, Some(1), "{command} {name}: {output}");
            assert!(
                output.contains("allowed: ") && !output.contains("listening"),
                "{command} {name}: {output}"
            );
        }
        count += 1;
    }
    assert!(count >= 40);
}

#[test]
fn check_reports_its_result_in_the_exit_code() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let path = |name: &str| deploy.join(name).to_str().expect("a name").to_owned();
    let (sidecar, operator) = (path("sidecar.example.toml"), path("operator.example.toml"));
    let (code, output, _) = run(&["check", &sidecar, &operator]);
    assert_eq!(code, Some(0));
    assert_eq!(output.matches(": good").count(), 2);
    let (code, output, diagnostics) = run(&["check", &sidecar, "/nowhere.toml"]);
    assert_eq!(code, Some(1));
    assert!(
        output.contains("good")
            && output.contains("/nowhere.toml: 1 mistake")
            && diagnostics.contains("can't be read")
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
    let (code, _, output) = run(&["run", &operator]);
    assert!(code == Some(1) && output.contains("--operator"), "{output}");
    let (code, _, output) = run(&[]);
    assert!(
        code == Some(1) && output.contains("RELAY_CONFIG is not set"),
        "{output}"
    );
}

// On the platform.

#[test]
fn an_operators_file_may_narrow_the_platform_but_not_widen_it() {
    let hosts = [error(), error(), error()];
    let discovery = Discovery::start();
    let endpoints: Vec<String> = hosts
        .iter()
        .zip(1..)
        .map(|(h, n)| entry(&format!("s-{n}"), h.address, "up", 0))
        .collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let relay = badgerramp_testkit::temp_file(
        "json",
        &config(listen, discovery.address, 1_024, &endpoints),
    );
    let start_with = |text: &str| {
        let operator = badgerramp_testkit::temp_file("toml", text);
        let arguments = ["--operator".as_ref(), operator.as_os_str()];
        (
            start(PROGRAM, &arguments, &[("RELAY_CONFIG", &relay)], None),
            operator,
        )
    };
    let count = || hosts.iter().map(Host::further_requests).sum::<usize>();
    let text = "platform = true\n[class.safe]\nattempts = 2\n[[route]]\nname = \"q\"\nprefix = \"/safe/once\"\nclass = \"safe\"\nattempts = 1\n";
    let (child, operator) = start_with(text);
    let proxy = Proxy::wait_until_listening(child, operator);
    let once = request("safe", "2000m", "one").replace("/safe?", "/safe/once?");
    proxy.client().ask(&once);
    assert_eq!(count(), 1);
    proxy.call("safe", "2000m");
    assert_eq!(count(), 2);
    for (text, reason) in [
        ("platform = true\n[class.safe]\nattempts = 9\n", "widen"),
        ("platform = true\n[class.other]\n", "no such class"),
        ("listen = \"127.0.0.1:0\"\n", "this key is required"),
    ] {
        let (mut child, operator) = start_with(text);
        let mut output = String::new();
        child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut output)
            .expect("text");
        assert_eq!(child.wait().expect("an end").code(), Some(1));
        assert!(
            output.contains(reason) && !output.contains("listening"),
            "{output}"
        );
        let _ = std::fs::remove_file(operator);
    }
    let _ = std::fs::remove_file(relay);
}
