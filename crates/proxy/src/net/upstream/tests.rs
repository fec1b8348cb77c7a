//! Tests of attempts, the connection pool and the failure statistics of idle connections.

use super::idle_failures::{IdleFailureStats, IDLE_TIME_BUCKETS, SHORTEST_IDLE_TIME};
use super::*;
use crate::net::clock::Clock;
use crate::net::socket::Tcp;
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{EndpointId, LoadReport, Micros, Outcome};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::Uri;
use hyper::Method;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

fn idle_limits(per_endpoint: usize, time: Micros) -> IdleLimits {
    IdleLimits { per_endpoint, time }
}

/// Makes one attempt at a stub endpoint that responds with `text`.
fn attempt_at(text: &'static str, may_start: bool) -> AttemptResult {
    attempt_with_limits(text, may_start, idle_limits(16, Micros::MAX)).0
}

/// The same with these limits of idle connections. Also returns the number of idle connections after expired ones have
/// been closed.
fn attempt_with_limits(
    text: &'static str,
    may_start: bool,
    limits: IdleLimits,
) -> (AttemptResult, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
            stream
                .write_all(text.as_bytes())
                .expect("an open connection");
        }
        // Keeps the connection open until the other side closes it.
        let _ = stream.read(&mut [0]);
    });
    let transport = Transport {
        max_open: 9,
        conn_idle: 60_000_000,
        connect_timeout: Duration::from_secs(9).as_micros() as Micros,
    };
    let pool = ConnectionPool::new(
        transport,
        limits,
        Descriptors::new(9),
        MemoryBudget::new(1 << 20),
        Rc::new(Tcp),
        Clock::start(),
    );
    pool.add_endpoint(EndpointId(0), 0);
    let target = AttemptTarget {
        endpoint: EndpointId(0),
        address,
        generation: 0,
    };
    let (method, uri, headers) = (Method::GET, Uri::from_static("/a"), HeaderMap::new());
    let answers = std::sync::Arc::new(badgerramp_route::ResponseRules::platform());
    let options = Rc::new(AttemptOptions {
        connect_timeout: 9_000_000,
        answers,
        max_body_len: 1 << 16,
    });
    let request = Request {
        method,
        uri,
        headers,
        body: Bytes::new(),
        options,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(attempt(&pool, target, &request, || 1_000, || may_start));
    pool.close_expired();
    let idle_count = pool.idle_count();
    (result, idle_count)
}

#[test]
fn load_reports_are_parsed_with_either_set_of_names() {
    let expected = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.5),
        cpu_utilization: Some(0.5),
        error_rate: Some(0.0),
    };
    for text in [
        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
    ] {
        let result = attempt_at(text, true);
        assert_eq!((result.outcome, result.load), (Outcome::Served, expected), "{text}");
    }
}

/// Endpoints that drop idle connections before their idle timeout, without closing them, made every third call on an
/// idle connection fail.
#[test]
fn connections_are_not_reused_after_idle_times_that_make_them_fail() {
    let (now, steady) = (1_000_000, &mut IdleFailureStats::default());
    for n in 0..100 {
        // Failures that are equally frequent after all idle times are not due to the idle time.
        (0..IDLE_TIME_BUCKETS)
            .for_each(|bucket| steady.record(now, SHORTEST_IDLE_TIME << bucket >> 1, n % 10 == 0));
    }
    assert_eq!(steady.max_idle_time(), Micros::MAX);
    let mut stale = IdleFailureStats::default();
    for n in 0..40 {
        stale.record(now, 10_000, n % 10 == 0);
        stale.record(now, 70_000, n % 10 == 0);
        stale.record(now, 150_000, n % 2 == 0);
    }
    assert_eq!(stale.max_idle_time(), 100_000);
    // After the counts have decayed, longer idle times are tried again.
    stale.record(now + 300_000_000, 10_000, false);
    assert_eq!(stale.max_idle_time(), Micros::MAX);
}

/// In a fleet of thousands of proxies, an idle proxy must keep no connections open: both limits can be zero.
#[test]
fn idle_connections_are_kept_within_the_limits_of_number_and_time() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        attempt_with_limits(response, true, idle_limits(1, Micros::MAX)).1,
        1
    );
    assert_eq!(
        attempt_with_limits(response, true, idle_limits(0, Micros::MAX)).1,
        0
    );
    assert_eq!(attempt_with_limits(response, true, idle_limits(1, 0)).1, 0);
}

#[test]
fn an_attempt_that_may_not_start_is_not_sent() {
    let result = attempt_at("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    assert_eq!(result.outcome, Outcome::NotSent);
}
