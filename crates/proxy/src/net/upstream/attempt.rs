//! One attempt at an endpoint: takes a connection, asks whether it may still start, sends the request and tells what
//! the response means.

use super::connection::ExchangeError;
use super::exchange::{AttemptResult, AttemptTarget, Request, UpstreamResponse};
use super::load_report;
use super::pool::ConnectionPool;
use badgerramp_decisions::{Micros, Outcome};
use badgerramp_route::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::fmt::Write;

const X_TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// Makes one attempt and returns how it ended. `time_left` is the time it still has; `may_start` is asked right
/// before the first byte.
pub async fn attempt(
    pool: &ConnectionPool,
    target: AttemptTarget,
    request: &Request,
    time_left: impl Fn() -> Micros,
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
    let Some(message) = upstream_request(request, time_left()) else {
        return Outcome::NotSent.into();
    };
    let idle_time = pool.idle_time(&connection);
    let exchanged = connection
        .exchange(message, &pool.memory_budget, request.options.max_body_len)
        .await;
    if let Some(idle_time) = idle_time {
        let connection_lost = matches!(exchanged, Err(ExchangeError::ConnectionLost));
        pool.record_reuse(idle_time, connection_lost);
    }
    let (response, body) = match exchanged {
        Ok(response) => response,
        // Its connection is closed in either case. The endpoint has answered, even if not with what can be used.
        Err(ExchangeError::InvalidResponse) => return Outcome::Error.into(),
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {
            return Outcome::Reset.into()
        }
        Err(ExchangeError::ConnectionLost) => return Outcome::ConnectFailed.into(),
    };
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        pool.check_in(target.endpoint, connection).await;
    }
    classify(request, response, body)
}

/// What a complete response means under the options of its request.
fn classify(request: &Request, response: Response<()>, body: Bytes) -> AttemptResult {
    let (parts, ()) = response.into_parts();
    let verdict = request
        .options
        .answers
        .verdict(parts.status, &parts.headers);
    let outcome = match verdict {
        Verdict::Served => Outcome::Served,
        Verdict::NotExecuted => Outcome::Rejected,
        Verdict::Error => Outcome::Error,
    };
    AttemptResult {
        outcome,
        load: load_report::from_headers(&parts.headers),
        response: Some(UpstreamResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        }),
    }
}

/// The message that goes to the endpoint, with the time left in its `X-Timeout`.
fn upstream_request(request: &Request, time_left: Micros) -> Option<hyper::Request<Full<Bytes>>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut timeout = BytesMut::with_capacity(21);
    // Writing to a buffer does not fail.
    let _ = write!(timeout, "{time_left}u");
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        X_TIMEOUT,
        HeaderValue::from_maybe_shared(timeout.freeze()).ok()?,
    );
    Some(message)
}
