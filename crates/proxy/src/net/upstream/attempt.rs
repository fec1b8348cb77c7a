//! One attempt at an endpoint.

use super::connection::ExchangeError;
use super::exchange::{AttemptResult, AttemptTarget, Request, UpstreamResponse};
use super::load_report;
use super::pool::ConnectionPool;
use badgerramp_decisions::{Micros, Outcome};
use badgerramp_route::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::StatusCode;
use std::fmt::Write;

const X_TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// Makes one attempt and tells how it ended. `left` is the time it still has; `may_start` is asked right
/// before the first byte.
pub async fn attempt(
    pool: &ConnectionPool,
    target: AttemptTarget,
    request: &Request,
    left: impl Fn() -> Micros,
    may_start: impl Fn() -> bool,
) -> AttemptResult {
    let mut connection = match pool.check_out(&target).await {
        Some(connection) => connection,
        // Apart, as it is rare and large: the task of each attempt is as large as its largest part.
        None => match Box::pin(pool.connect(&target, request.options.connect_timeout)).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        pool.check_in(target.endpoint, connection).await;
        return Outcome::NotSent.into();
    }
    let Some(message) = upstream_request(request, left()) else {
        return Outcome::NotSent.into();
    };
    let idle =
        (connection.idle_since > 0).then(|| pool.clock.now().saturating_sub(connection.idle_since));
    let exchanged = connection
        .exchange(message, &pool.memory_budget, request.options.max_body_len)
        .await;
    if let Some(idle) = idle {
        let connection_lost = matches!(exchanged, Err(ExchangeError::ConnectionLost));
        pool.idle_failures
            .borrow_mut()
            .record(pool.clock.now(), idle, connection_lost);
    }
    let (answer, body) = match exchanged {
        Ok(answer) => answer,
        // Its connection goes in either case. An answer that can't be used is a host's word all the same.
        Err(ExchangeError::InvalidResponse) => return Outcome::Error.into(),
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {
            return Outcome::Reset.into()
        }
        Err(ExchangeError::ConnectionLost) => return Outcome::ConnectFailed.into(),
    };
    if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
        pool.check_in(target.endpoint, connection).await;
    }
    let load = load_report::from_headers(answer.headers());
    let outcome = match request
        .options
        .answers
        .verdict(answer.status(), answer.headers())
    {
        Verdict::Served => Outcome::Served,
        Verdict::NeverRan => Outcome::Rejected,
        Verdict::Error => Outcome::Error,
    };
    let (parts, ()) = answer.into_parts();
    AttemptResult {
        outcome,
        load,
        response: Some(UpstreamResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        }),
    }
}

fn upstream_request(request: &Request, left: Micros) -> Option<hyper::Request<Full<Bytes>>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut time = BytesMut::with_capacity(21);
    // Writing to a buffer does not fail.
    let _ = write!(time, "{left}u");
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        X_TIMEOUT,
        HeaderValue::from_maybe_shared(time.freeze()).ok()?,
    );
    Some(message)
}
