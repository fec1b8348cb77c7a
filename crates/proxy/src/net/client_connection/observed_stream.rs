//! The stream through which hyper uses the connection of a client.

use super::ClientConnection;
use crate::net::socket::Socket;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that records the data it reads, and the end of each response, in its [`ClientConnection`].
pub struct ObservedStream {
    socket: Socket,
    connection: Rc<ClientConnection>,
}

impl ObservedStream {
    /// Creates the stream of a connection.
    pub fn new(connection: &Rc<ClientConnection>) -> Self {
        ObservedStream {
            socket: Socket::new(&connection.stream),
            connection: Rc::clone(connection),
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = self.connection.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let count = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..count]);
            read_ahead.drain(..count);
            if read_ahead.is_empty() {
                *read_ahead = Vec::new();
                drop(read_ahead);
                self.connection.account_buffers();
            }
            return Poll::Ready(Ok(()));
        }
        drop(read_ahead);
        ready!(self.connection.poll_read_head(cx));
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        self.connection.observe(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    // hyper flushes once it has nothing left to write.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.response_written();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
