//! Reading of response bodies. Only bodies that are provably complete are accepted.

use super::connection::ExchangeError;
use crate::net::body::{self, CollectError};
use crate::net::memory_budget::{Purpose, RESPONSE_HEAD_COST};
use crate::net::{MemoryBudget, Reservation};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The length of a body up to which its memory is not reserved, in bytes: it is part of the cost of its call.
const SHORT_BODY_LEN: usize = 2 * 1024;
/// How long a response waits for memory, if its attempt has no earlier deadline.
const MEMORY_PATIENCE: Duration = Duration::from_secs(10);

/// A complete body with its memory.
#[derive(Debug, Default)]
pub(super) struct ReceivedBody {
    pub(super) bytes: Bytes,
    /// `None` if the body is short.
    pub(super) memory: Option<Reservation>,
}

/// Reads the body of a response if its framing proves that it is complete: a body that is delimited by the end of the
/// connection may have been truncated, and a body with both `Content-Length` and `Transfer-Encoding` is ambiguous (RFC
/// 9112, 6.3). Other bodies are not read to their end.
///
/// # Errors
/// If the body is not provably complete, is larger than `max_body_len` or the memory budget, or the connection breaks.
pub(super) async fn read_complete_body(
    headers: &HeaderMap,
    body: Incoming,
    memory_budget: &Rc<MemoryBudget>,
    max_body_len: usize,
) -> Result<ReceivedBody, ExchangeError> {
    if max_body_len == 0 && body.is_end_stream() {
        return Ok(ReceivedBody::default());
    }
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let length = body
        .size_hint()
        .exact()
        .and_then(|length| usize::try_from(length).ok());
    let expected_len = match length {
        Some(length) if headers.contains_key(header::CONTENT_LENGTH) && !chunked => length,
        None if chunked
            && !headers.contains_key(header::CONTENT_LENGTH)
            && is_only_chunked(headers) =>
        {
            max_body_len
        }
        _ => return Err(ExchangeError::InvalidResponse),
    };
    if expected_len > max_body_len {
        return Err(ExchangeError::InvalidResponse);
    }
    let memory = reserve_body(memory_budget, expected_len).await?;
    let known_len = length.unwrap_or_default();
    match body::collect(body, known_len, max_body_len).await {
        Ok(bytes) => Ok(ReceivedBody { bytes, memory }),
        Err(CollectError::Http(error)) => Err(read_error(&error)),
        Err(CollectError::TooLong) => Err(ExchangeError::InvalidResponse),
    }
}

/// Reserves the memory of a body. While it waits, the body stays with the system and its host.
async fn reserve_body(
    memory_budget: &Rc<MemoryBudget>,
    length: usize,
) -> Result<Option<Reservation>, ExchangeError> {
    if length <= SHORT_BODY_LEN {
        return Ok(None);
    }
    let bytes = length + RESPONSE_HEAD_COST;
    let memory = memory_budget
        .reserve_within(Purpose::ResponseBody, bytes, MEMORY_PATIENCE)
        .await;
    memory.map(Some).ok_or(ExchangeError::InvalidResponse)
}

/// Classifies an error while reading a body: either the connection failed, or the body is malformed.
fn read_error(error: &hyper::Error) -> ExchangeError {
    if error.is_incomplete_message() || error.source().is_some_and(is_connection_failure) {
        ExchangeError::ConnectionLost
    } else {
        ExchangeError::InvalidResponse
    }
}

/// Whether `chunked` is the only transfer coding. A body in any other coding is delimited by the end of its connection.
fn is_only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    only.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Whether this is an error of the connection rather than of the data that was read from it.
fn is_connection_failure(source: &(dyn Error + 'static)) -> bool {
    let kinds = [
        io::ErrorKind::InvalidInput,
        io::ErrorKind::InvalidData,
        io::ErrorKind::Other,
    ];
    source
        .downcast_ref::<io::Error>()
        .is_some_and(|e| !kinds.contains(&e.kind()))
}
