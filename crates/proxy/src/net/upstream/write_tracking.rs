//! A stream that tracks whether all data passed to it was written.

use crate::net::socket::Socket;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that tracks whether all data passed to it has been handed to the socket. Only a request whose last byte was
/// not handed to the socket is known not to have been executed.
pub(super) struct WriteTrackingStream {
    pub(super) socket: Socket,
    pub(super) all_written: Rc<Cell<bool>>,
}

impl AsyncRead for WriteTrackingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTrackingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.all_written.set(count == buf.len());
        }
        written
    }

    // hyper queues head and body before it writes, and passes all that is queued.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = written {
            let length: usize = bufs.iter().map(|buf| buf.len()).sum();
            self.all_written.set(count == length);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
