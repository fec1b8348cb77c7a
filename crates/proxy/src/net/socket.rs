//! The abstraction of the network: streams that can be inspected while the HTTP library uses them, and the traits that
//! open and accept them. The program uses the implementations for TCP sockets of this module; a simulation provides
//! others.

use socket2::SockRef;
use std::future::Future;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, Interest, ReadBuf, Take};
use tokio::net::{TcpListener, TcpStream};

/// The maximum number of bytes that the HTTP library reads at once. It starts with a buffer that is one byte larger, and
/// would double the buffer after each read that fills it, and keep it for as long as the connection is open.
pub const MAX_READ_LEN: usize = 8 * 1024 - 1;

/// A bidirectional byte stream. It is used through a shared reference, as several parts of the program share it.
pub trait Stream {
    /// Reads received data, as [`AsyncRead::poll_read`] does.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>>;

    /// Writes data, as [`AsyncWrite::poll_write`] does. The written bytes have been handed to the operating system.
    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;

    /// Writes several buffers at once, as [`AsyncWrite::poll_write_vectored`] does. They are joined in a buffer that is
    /// freed after the write.
    fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match bufs {
            [buf] => self.poll_write(cx, buf),
            _ => {
                let slices: Vec<&[u8]> = bufs.iter().map(|buf| &**buf).collect();
                self.poll_write(cx, &slices.concat())
            }
        }
    }

    /// Shuts down the write side.
    fn shutdown(&self);

    /// Whether there is nothing to read: no received data, and no end of the stream. This checks the socket itself, as
    /// the runtime knows only the readiness that it polled last.
    fn nothing_to_read(&self) -> bool;

    /// Reads received data from the socket without waiting, and without regard to the readiness that the runtime knows.
    /// Returns 0 at the end of the stream.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if there is nothing to read, or the error of the socket.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize>;

    /// Whether the other side is known to have closed its side of the connection, also if there is unread data before the
    /// end. The runtime learns of it only when it polls all sockets.
    fn read_closed(&self) -> bool {
        false
    }

    /// The IP address of the other side.
    fn peer(&self) -> Option<IpAddr>;
}

/// A connection that is being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Rc<dyn Stream>>>>>;

/// Opens connections.
pub trait Network {
    /// Opens a connection to this address.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Accepts connections.
pub trait Listener {
    /// Accepts the next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>>;
}

/// Clears the readiness of a socket after a read that did not fill its buffer, and so has read all received data. The
/// next read then needs no system call before new data arrives. No event is lost: readiness is edge-triggered, so that
/// the runtime is notified of new data, and the end of the stream is kept.
trait ClearReadiness {
    fn clear_readiness(&self);
}

impl ClearReadiness for TcpStream {
    fn clear_readiness(&self) {
        let _ = self.try_io(Interest::READABLE, || {
            Err::<(), _>(io::ErrorKind::WouldBlock.into())
        });
    }
}

impl Stream for TcpStream {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            // Reads into uninitialized memory: initializing a large buffer costs more than most reads.
            match self.try_read_buf(buf) {
                Ok(count) => {
                    if count > 0 && buf.remaining() > 0 {
                        self.clear_readiness();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_read_ready(cx))?;
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_write_ready(cx))?;
                }
                written => return Poll::Ready(written),
            }
        }
    }

    fn shutdown(&self) {
        // This fails if the connection has been closed by the other side, which is not an error here.
        let _ = SockRef::from(self).shutdown(std::net::Shutdown::Write);
    }

    fn nothing_to_read(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // The socket is non-blocking, as are all sockets of the runtime.
        matches!(SockRef::from(self).peek(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(self)).read(buf)
    }

    fn read_closed(&self) -> bool {
        let mut ready = pin!(self.ready(Interest::READABLE));
        let mut context = Context::from_waker(Waker::noop());
        matches!(ready.as_mut().poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn peer(&self) -> Option<IpAddr> {
        self.peer_addr().ok().map(|a| a.ip())
    }
}

/// The TCP network of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            let _ = stream.set_nodelay(true);
            Ok(Rc::new(stream) as Rc<dyn Stream>)
        })
    }
}

impl Listener for TcpListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        let (stream, _) = ready!(TcpListener::poll_accept(self, cx))?;
        let _ = stream.set_nodelay(true);
        Poll::Ready(Ok(Rc::new(stream)))
    }
}

/// Adapts a [`Stream`] to the traits that the HTTP library uses, so that the library's buffers stay small: it reads a
/// limited number of bytes at once, and writes bodies from where they are in place of copying them into its own buffer.
pub struct Socket(Take<SharedStream>);

impl Socket {
    /// Creates an adapter of a shared stream.
    pub fn new(stream: &Rc<dyn Stream>) -> Self {
        Socket(SharedStream(Rc::clone(stream)).take(MAX_READ_LEN as u64))
    }

    fn stream(&self) -> &dyn Stream {
        &*self.0.get_ref().0
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.set_limit(MAX_READ_LEN as u64);
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().shutdown();
        Poll::Ready(Ok(()))
    }
}

/// The read side of a shared stream.
struct SharedStream(Rc<dyn Stream>);

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

#[cfg(test)]
mod tests;
