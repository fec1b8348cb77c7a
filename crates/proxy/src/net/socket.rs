//! A TCP stream that can be looked at while the HTTP library owns it.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Has nothing come in that was not read, neither bytes nor an end? This asks the kernel: the runtime knows
/// only what its last look at the readiness of all sockets has told.
pub fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // The socket is non-blocking, as all of the runtime's are.
    matches!(SockRef::from(stream).peek(&mut byte), Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
}

/// The stream as the HTTP library uses it.
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: &Rc<TcpStream>) -> Self {
        Socket(Rc::clone(stream))
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.0.poll_read_ready(cx))?;
                }
                Err(fault) => return Poll::Ready(Err(fault)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.0.try_write(buf) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.0.poll_write_ready(cx))?;
                }
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // One that the other side has ended already needs no more.
        let _ = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}
