//! Data that follows a response on its connection.
//!
//! A response ends where its framing says. If the endpoint has sent more than that, the framing may be wrong and the
//! response truncated (RFC 9112, 6.3), so that it can't be used. The only exception is a second copy of the same
//! response: it begins where the framing says that the first one ends, and so confirms it.

use super::body::ReceivedBody;
use super::connection::{UpstreamConnection, MAX_HEAD_LEN};
use crate::net::memory_budget::Purpose;
use crate::net::socket::Stream;
use crate::net::MemoryBudget;
use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::{Method, Response};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::ReadBuf;

/// The length of the framing of a chunked body, as a multiple of the length of the body, up to which a second copy of it
/// is recognized.
const MAX_FRAMING_FACTOR: usize = 2;

/// Data that follows a response on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrailingData {
    /// There is none.
    None,
    /// A second copy of the response, and nothing else.
    SecondCopy,
    /// Other data, of which this many bytes were read. The response may be truncated.
    Other(usize),
}

/// A response that is complete by its framing, with what is needed to recognize a second copy of it.
pub(super) struct FramedResponse<'a> {
    /// The method of the request.
    method: &'a Method,
    pub(super) response: &'a Response<()>,
    body: &'a ReceivedBody,
}

impl<'a> FramedResponse<'a> {
    /// A response to a request with this method.
    pub(super) fn new(
        method: &'a Method,
        response: &'a Response<()>,
        body: &'a ReceivedBody,
    ) -> Self {
        FramedResponse {
            method,
            response,
            body,
        }
    }

    /// Closes the connection of this response and classifies what has been received behind it, without waiting for more.
    pub(super) async fn trailing_data(
        &self,
        connection: UpstreamConnection,
        memory_budget: &Rc<MemoryBudget>,
    ) -> TrailingData {
        let max_copy_len = MAX_HEAD_LEN + self.body.bytes.len() * MAX_FRAMING_FACTOR;
        let memory = memory_budget.reserve(Purpose::ResponseBody, max_copy_len);
        let max_len = memory.as_ref().map_or(1, |_| max_copy_len);
        let data = Bytes::from(connection.into_trailing_data(max_len));
        let length = data.len();
        if length == 0 {
            TrailingData::None
        } else if memory.is_some() && self.is_repeated_by(data).await {
            TrailingData::SecondCopy
        } else {
            TrailingData::Other(length)
        }
    }

    /// Whether this data is a complete second copy of the response and nothing else. It is parsed as the response to the
    /// same request.
    async fn is_repeated_by(&self, data: Bytes) -> bool {
        let stream: Rc<dyn Stream> = Rc::new(ReceivedData::new(data));
        let Ok(mut connection) = UpstreamConnection::open(stream, 0, None).await else {
            return false;
        };
        let mut request = hyper::Request::new(Full::default());
        *request.method_mut() = self.method.clone();
        // The caller has reserved the memory.
        let memory_budget = MemoryBudget::new(usize::MAX);
        let max_body_len = self.body.bytes.len();
        let exchanged = connection
            .exchange(request, &memory_budget, max_body_len)
            .await;
        let Ok((response, body)) = exchanged else {
            return false;
        };
        response.status() == self.response.status()
            && response.headers() == self.response.headers()
            && body.bytes == self.body.bytes
            && connection.into_trailing_data(1).is_empty()
    }
}

/// A stream of data that has been received already. It can be read once something has been written to it, as a response
/// is read after its request. What is written is dropped.
struct ReceivedData {
    data: RefCell<Bytes>,
    written: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl ReceivedData {
    fn new(data: Bytes) -> Self {
        ReceivedData {
            data: RefCell::new(data),
            written: Cell::new(false),
            reader: RefCell::default(),
        }
    }
}

impl Stream for ReceivedData {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.written.get() {
            *self.reader.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut data = self.data.borrow_mut();
        let length = data.len().min(buf.remaining());
        buf.put_slice(&data.split_to(length));
        Poll::Ready(Ok(()))
    }

    fn poll_write(&self, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.written.set(true);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn shutdown(&self) {}

    fn nothing_to_read(&self) -> bool {
        false
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut data = self.data.borrow_mut();
        let length = data.len().min(buf.len());
        data.copy_to_slice(&mut buf[..length]);
        Ok(length)
    }

    fn peer(&self) -> Option<IpAddr> {
        None
    }
}
