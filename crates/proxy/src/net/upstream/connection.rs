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

pub(super) struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) http_connection: Connection<TokioIo<WriteTrackingStream>, Full<Bytes>>,
    pub(super) stream: Rc<dyn Stream>,
    pub(super) all_written: Rc<Cell<bool>>,
    pub(super) idle_since: Micros,
    pub(super) generation: u64,
    pub(super) _descriptor: Descriptor,
}

impl UpstreamConnection {
    /// Is it open and ready for a request, with nothing on it that belongs to an earlier one? What has come in, an
    /// end or a second copy of an answer, is looked for in the kernel: the runtime may not know of it yet, and
    /// would have it read as the answer to the next request.
    pub(super) async fn state(&mut self) -> ConnectionState {
        match self.poll_state().await {
            ConnectionState::Ready if self.stream.quiet() => ConnectionState::Ready,
            // It is of no further use, whatever has come.
            ConnectionState::Ready if self.stream.take(&mut [0]).is_ok_and(|count| count > 0) => {
                ConnectionState::UnsolicitedData
            }
            ConnectionState::Ready => ConnectionState::Closed,
            other => other,
        }
    }

    /// The same, as far as the runtime knows.
    pub(super) async fn poll_state(&mut self) -> ConnectionState {
        match poll_fn(|cx| Poll::Ready(Pin::new(&mut self.http_connection).poll(cx))).await {
            Poll::Pending if self.sender.is_ready() => ConnectionState::Ready,
            // The library ends a connection on which something comes that nobody asked for; an error of the system has
            // its source.
            Poll::Ready(Err(fault))
                if std::error::Error::source(&fault).is_none()
                    && !fault.is_incomplete_message() =>
            {
                ConnectionState::UnsolicitedData
            }
            _ => ConnectionState::Closed,
        }
    }

    /// One exchange, driven from here.
    pub(super) async fn exchange(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        memory_budget: &Rc<MemoryBudget>,
        max_body_len: usize,
    ) -> Result<(Response<()>, Bytes), ExchangeError> {
        self.all_written.set(false);
        let bodiless = request.method() == Method::HEAD;
        let mut exchange = pin!(async {
            let response = self.sender.send_request(request).await?;
            let (parts, body) = response.into_parts();
            // RFC 9110, 6.4.1: whatever the headers say, nothing follows them.
            let none = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
            let most = if bodiless || none { 0 } else { max_body_len };
            let body = read_complete_body(&parts.headers, body, memory_budget, most).await?;
            Ok((Response::from_parts(parts, ()), body))
        });
        let http_connection = &mut self.http_connection;
        poll_fn(|cx| {
            // The first poll hands the request over, the second writes it, the third takes an answer that
            // has come with the end of the connection.
            if let Poll::Ready(answer) = exchange.as_mut().poll(cx) {
                return Poll::Ready(answer);
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
    /// It has ended.
    Closed,
    /// Something has come on it that belongs to no request.
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
