//! One attempt at an endpoint: checks out or opens a connection, checks whether the attempt may still start, sends the
//! request and classifies the response.

use super::body::ReceivedBody;
use super::connection::{ExchangeError, UpstreamConnection};
use super::exchange::{AttemptResult, AttemptTarget, Request, UpstreamResponse};
use super::load_report;
use super::pool::ConnectionPool;
use super::trailing_data::{FramedResponse, TrailingData};
use crate::log::CALLS;
use badgerramp_decisions::{Micros, Outcome};
use badgerramp_route::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, Uri};
use std::fmt::Write;
use tracing::debug;

const X_TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// The length of a head, in bytes, up to which a connection is kept after it: longer ones have made its buffers grow.
const MAX_KEPT_HEAD_LEN: usize = 7 * 1024;
/// Bytes of a header line besides its name and its value.
const HEADER_LINE_OVERHEAD: usize = ": \r\n".len();

/// Makes one attempt and returns its result. `time_left` returns the time until the deadline of the attempt;
/// `may_start` is called right before the first byte is written.
pub async fn attempt(
    pool: &ConnectionPool,
    target: AttemptTarget,
    request: &Request,
    time_left: impl Fn() -> Micros,
    may_start: impl Fn() -> bool,
) -> AttemptResult {
    let mut connection = match pool.check_out(&target).await {
        Some(connection) => connection,
        // Boxed, as its future is large and rarely needed: it would increase the size of the task of each attempt.
        None => match Box::pin(pool.connect(&target, request.options.connect_timeout)).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        pool.return_unused(target.endpoint, connection).await;
        return Outcome::NotSent.into();
    }
    let Some(message) = upstream_request(request, time_left()) else {
        return Outcome::NotSent.into();
    };
    let has_long_head = head_len(message.uri(), message.headers()) > MAX_KEPT_HEAD_LEN;
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
        // The connection is closed on any of these errors. Here the endpoint has responded, even if not with a usable
        // response.
        Err(ExchangeError::InvalidResponse) => return Outcome::Error.into(),
        // If the last byte was handed to the socket, the request may have been executed; otherwise it was not.
        Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {
            return Outcome::Reset.into()
        }
        Err(ExchangeError::ConnectionLost) => return Outcome::ConnectFailed.into(),
    };
    let has_long_head = has_long_head || headers_len(response.headers()) > MAX_KEPT_HEAD_LEN;
    if connection.is_idle().await {
        if !has_long_head {
            pool.check_in(target.endpoint, connection);
        }
    } else {
        let framed = FramedResponse::new(&request.method, &response, &body);
        // Boxed for the same reason as above.
        if Box::pin(may_be_truncated(pool, &target, connection, framed)).await {
            return Outcome::Error.into();
        }
    }
    classify(request, response, body)
}

/// Closes the connection of a response, and returns whether the response may be truncated, as other data than a second
/// copy of it follows.
async fn may_be_truncated(
    pool: &ConnectionPool,
    target: &AttemptTarget,
    connection: UpstreamConnection,
    framed: FramedResponse<'_>,
) -> bool {
    let trailing_data = framed.trailing_data(connection, &pool.memory_budget).await;
    if trailing_data != TrailingData::None {
        pool.record_unsolicited_data();
    }
    let TrailingData::Other(length) = trailing_data else {
        return false;
    };
    let (host, status) = (target.address, framed.response.status().as_u16());
    debug!(target: CALLS, %host, status, length, "response discarded, as other data follows it");
    true
}

/// The length of the head of a request, but for its method and version.
fn head_len(uri: &Uri, headers: &HeaderMap) -> usize {
    uri.path_and_query().map_or(0, |path| path.as_str().len()) + headers_len(headers)
}

/// The length of header lines.
fn headers_len(headers: &HeaderMap) -> usize {
    let line_len = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD
    };
    headers.iter().map(line_len).sum()
}

/// Classifies a complete response by the options of its request.
fn classify(request: &Request, response: Response<()>, body: ReceivedBody) -> AttemptResult {
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
            body: body.bytes,
            memory: body.memory,
        }),
    }
}

/// Builds the request to the endpoint, with the time that is left in its `X-Timeout` header.
fn upstream_request(request: &Request, time_left: Micros) -> Option<hyper::Request<Full<Bytes>>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut timeout = BytesMut::with_capacity(21);
    // Writing to the buffer can't fail.
    let _ = write!(timeout, "{time_left}u");
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        X_TIMEOUT,
        HeaderValue::from_maybe_shared(timeout.freeze()).ok()?,
    );
    Some(message)
}
