//! A connection to an endpoint, and one exchange over it.

use super::body::read_complete_body;
use super::write_tracking::WriteTrackingStream;
use crate::net::socket::Stream;
use crate::net::{Descriptor, MemoryBudget};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use thiserror::Error;

/// An open HTTP/1.1 connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) http_connection: Connection<TokioIo<WriteTrackingStream>, Full<Bytes>>,
    pub(super) stream: Rc<dyn Stream>,
    /// Whether the request has been written to its last byte.
    pub(super) all_written: Rc<Cell<bool>>,
    /// When its last response was complete; 0 before its first request.
    pub(super) idle_since: Micros,
    /// The generation of its endpoint when it was opened.
    pub(super) generation: u64,
    pub(super) _descriptor: Descriptor,
}

impl UpstreamConnection {
    /// Whether it is open and ready for a request, with nothing received that belongs to an earlier one. The kernel is
    /// asked for received data, be it an end or a duplicate of a response: the runtime may not know of it yet, and
    /// hyper would read it as the response to the next request.
    pub(super) async fn state(&mut self) -> ConnectionState {
        match self.poll_state().await {
            ConnectionState::Ready if self.stream.quiet() => ConnectionState::Ready,
            // The byte taken does not matter: the connection is closed in any case.
            ConnectionState::Ready if self.stream.take(&mut [0]).is_ok_and(|count| count > 0) => {
                ConnectionState::UnsolicitedData
            }
            ConnectionState::Ready => ConnectionState::Closed,
            other => other,
        }
    }

    /// The same as [`UpstreamConnection::state`], as far as the runtime knows.
    pub(super) async fn poll_state(&mut self) -> ConnectionState {
        match poll_fn(|cx| Poll::Ready(Pin::new(&mut self.http_connection).poll(cx))).await {
            Poll::Pending if self.sender.is_ready() => ConnectionState::Ready,
            // hyper ends a connection that receives unsolicited data with an error without a source; an error of the
            // system has one.
            Poll::Ready(Err(error))
                if std::error::Error::source(&error).is_none()
                    && !error.is_incomplete_message() =>
            {
                ConnectionState::UnsolicitedData
            }
            _ => ConnectionState::Closed,
        }
    }

    /// Sends a request and reads its response. The connection is polled from here alone.
    ///
    /// # Errors
    /// If the connection ends first, or the response is malformed, larger than `max_body_len` bytes or not provably
    /// complete.
    pub(super) async fn exchange(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        memory_budget: &Rc<MemoryBudget>,
        max_body_len: usize,
    ) -> Result<(Response<()>, Bytes), ExchangeError> {
        self.all_written.set(false);
        let is_head = request.method() == Method::HEAD;
        let mut exchange = pin!(async {
            let response = self.sender.send_request(request).await?;
            let (parts, body) = response.into_parts();
            // RFC 9110, 6.4.1: whatever the headers say, nothing follows them.
            let no_content =
                [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
            let max_body_len = if is_head || no_content {
                0
            } else {
                max_body_len
            };
            let body =
                read_complete_body(&parts.headers, body, memory_budget, max_body_len).await?;
            Ok((Response::from_parts(parts, ()), body))
        });
        let http_connection = &mut self.http_connection;
        poll_fn(|cx| {
            // The first poll hands the request over, the second writes it, the third takes a response that
            // has come with the end of the connection.
            if let Poll::Ready(result) = exchange.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            let ended = Pin::new(&mut *http_connection).poll(cx).is_ready();
            match exchange.as_mut().poll(cx) {
                Poll::Pending if ended => Poll::Ready(Err(ExchangeError::ConnectionLost)),
                other => other,
            }
        })
        .await
    }
}

/// What may be done with a connection on which no request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The next request may be written.
    Ready,
    /// The connection has ended.
    Closed,
    /// Data has been received that belongs to no request.
    UnsolicitedData,
}

/// Why an exchange brought no response that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection broke or ended before the response was complete")]
    ConnectionLost,
    /// The response can't be used. The request may have been executed.
    #[error("the response is malformed, too large or not provably complete")]
    InvalidResponse,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() {
            ExchangeError::InvalidResponse
        } else {
            ExchangeError::ConnectionLost
        }
    }
}
