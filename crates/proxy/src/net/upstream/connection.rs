//! A connection to an endpoint, and one exchange over it.

use super::body::{read_complete_body, ReceivedBody};
use super::write_tracking::WriteTrackingStream;
use crate::net::socket::{Socket, Stream};
use crate::net::{Descriptor, MemoryBudget, Reservation};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use thiserror::Error;

/// The maximum length of a response head, and of the part of a body that is read at once, in bytes.
pub(super) const MAX_HEAD_LEN: usize = 16 * 1024;
/// The length of the parts in which data behind a response is read, in bytes.
const TRAILING_DATA_READ_LEN: usize = 4 * 1024;

/// An open HTTP/1.1 connection to an endpoint.
pub(super) struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    http_connection: Connection<TokioIo<WriteTrackingStream>, Full<Bytes>>,
    stream: Rc<dyn Stream>,
    /// Whether the request has been written completely.
    pub(super) all_written: Rc<Cell<bool>>,
    /// When the last response was complete; 0 before the first request.
    pub(super) idle_since: Micros,
    /// The generation of the endpoint when the connection was opened.
    pub(super) generation: u64,
    _resources: Option<ConnectionResources>,
}

/// What a connection takes of the limits of the process.
pub(super) struct ConnectionResources {
    pub(super) _descriptor: Descriptor,
    pub(super) _memory: Reservation,
}

impl UpstreamConnection {
    /// Creates a connection over an open stream. Without `resources` it counts towards no limit.
    ///
    /// # Errors
    /// If the HTTP library can't use the stream.
    pub(super) async fn open(
        stream: Rc<dyn Stream>,
        generation: u64,
        resources: Option<ConnectionResources>,
    ) -> hyper::Result<Self> {
        let all_written = Rc::new(Cell::new(false));
        let tracking_stream = WriteTrackingStream {
            socket: Socket::new(&stream),
            all_written: Rc::clone(&all_written),
        };
        let (sender, http_connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_LEN)
            .handshake(TokioIo::new(tracking_stream))
            .await?;
        Ok(UpstreamConnection {
            sender,
            http_connection,
            stream,
            all_written,
            idle_since: 0,
            generation,
            _resources: resources,
        })
    }

    /// Checks whether the connection is open and ready for a request. The socket itself is checked for received data:
    /// the runtime may not have been notified of it yet, and hyper would read the duplicate of an earlier response as
    /// the response to the next request.
    pub(super) async fn state(&mut self) -> ConnectionState {
        match self.poll_state().await {
            ConnectionState::Ready if self.stream.nothing_to_read() => ConnectionState::Ready,
            // The byte that is consumed here is not needed: the connection is closed in any case.
            ConnectionState::Ready
                if self.stream.try_read(&mut [0]).is_ok_and(|count| count > 0) =>
            {
                ConnectionState::UnsolicitedData
            }
            ConnectionState::Ready => ConnectionState::Closed,
            other => other,
        }
    }

    /// The same as [`UpstreamConnection::state`], but without checking the socket for data that the runtime has not
    /// been notified of.
    pub(super) async fn poll_state(&mut self) -> ConnectionState {
        match poll_fn(|cx| Poll::Ready(Pin::new(&mut self.http_connection).poll(cx))).await {
            Poll::Pending if self.sender.is_ready() => ConnectionState::Ready,
            // hyper reports unsolicited data as an error without a source, whereas errors of the system have one.
            Poll::Ready(Err(error))
                if std::error::Error::source(&error).is_none()
                    && !error.is_incomplete_message() =>
            {
                ConnectionState::UnsolicitedData
            }
            _ => ConnectionState::Closed,
        }
    }

    /// Whether the connection is open, ready for a request, and nothing has been received on it, also by the socket itself.
    pub(super) async fn is_idle(&mut self) -> bool {
        self.poll_state().await == ConnectionState::Ready && self.stream.nothing_to_read()
    }

    /// Closes the connection and returns what was received and is not part of a response, up to about `max_len` bytes.
    pub(super) fn into_trailing_data(self, max_len: usize) -> Vec<u8> {
        let mut data = Vec::from(self.http_connection.into_parts().read_buf);
        let mut part = [0; TRAILING_DATA_READ_LEN];
        while data.len() < max_len {
            match self.stream.try_read(&mut part) {
                Ok(count) if count > 0 => data.extend_from_slice(&part[..count]),
                _ => break,
            }
        }
        data
    }

    /// Sends a request and reads its response. The connection makes progress only while this future is polled.
    ///
    /// # Errors
    /// If the connection ends first, or the response is malformed, not final, larger than `max_body_len` bytes or not
    /// provably complete.
    pub(super) async fn exchange(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        memory_budget: &Rc<MemoryBudget>,
        max_body_len: usize,
    ) -> Result<(Response<()>, ReceivedBody), ExchangeError> {
        self.all_written.set(false);
        let is_head = request.method() == Method::HEAD;
        let mut exchange = pin!(async {
            let response = self.sender.send_request(request).await?;
            let (parts, body) = response.into_parts();
            // Not a final response (RFC 9110, 15.2). No request asks for another protocol.
            if parts.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(ExchangeError::InvalidResponse);
            }
            // These responses have no body, whatever their headers say (RFC 9110, 6.4.1).
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
            // The first poll passes the request to the connection. The second polls the connection, which writes the
            // request and reads the response. The third receives a response that arrived together with the end of the
            // connection.
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

/// The state of a connection on which no request is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection is ready for the next request.
    Ready,
    /// The connection has ended.
    Closed,
    /// Data has been received that is not the response to a request.
    UnsolicitedData,
}

/// Why an exchange has no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection broke or ended before the response was complete")]
    ConnectionLost,
    /// The response is malformed, not final, too large or not provably complete. The request may have been executed.
    #[error("the response is malformed, not final, too large or not provably complete")]
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
