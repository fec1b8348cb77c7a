//! The way to other machines: streams that can be looked at while the HTTP library owns them, and who opens and accepts
//! them. The program has the system's own; a simulation brings others, under which all of the code above runs
//! unchanged.

use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// A stream of bytes both ways. It is read and written through a shared reference, as more than one part of the program
/// has to do with it.
pub trait Stream {
    /// Reads what has come, as [`AsyncRead::poll_read`] does.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>>;

    /// Writes, as [`AsyncWrite::poll_write`] does. What it takes has been handed to the system.
    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;

    /// Nothing more will be written.
    fn shutdown(&self);

    /// Has nothing come in that was not read, neither bytes nor an end? This asks the system itself: the runtime knows
    /// only what its last look at the readiness of all sockets has told.
    fn quiet(&self) -> bool;

    /// Takes some of what has come in, asking the system itself as [`Stream::quiet`] does: nothing taken is the end, and
    /// [`io::ErrorKind::WouldBlock`] means that nothing has come.
    fn take(&self, buf: &mut [u8]) -> io::Result<usize>;

    /// The other side's address.
    fn peer(&self) -> Option<IpAddr>;
}

/// A connection that is being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Rc<dyn Stream>>>>>;

/// Opens connections.
pub trait Network {
    /// Opens one to this address.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Takes connections in.
pub trait Listener {
    /// The next one.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>>;
}

/// A read that left room took all there was: the socket is noted as not readable, so that the next look at it asks the
/// system nothing. What comes from now on is told anew, as readiness is edge-triggered, and an end is never forgotten.
trait Drained {
    fn drained(&self);
}

impl Drained for TcpStream {
    fn drained(&self) {
        let _ = self.try_io(Interest::READABLE, || {
            Err::<(), _>(io::ErrorKind::WouldBlock.into())
        });
    }
}

impl Stream for TcpStream {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            // Into what is not initialized: to clear the whole of a large buffer first costs more than most reads.
            match self.try_read_buf(buf) {
                Ok(count) => {
                    if count > 0 && buf.remaining() > 0 {
                        self.drained();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_read_ready(cx))?;
                }
                Err(fault) => return Poll::Ready(Err(fault)),
            }
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.try_write(buf) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_write_ready(cx))?;
                }
                written => return Poll::Ready(written),
            }
        }
    }

    fn shutdown(&self) {
        // One that the other side has ended already needs no more.
        let _ = SockRef::from(self).shutdown(std::net::Shutdown::Write);
    }

    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // The socket is non-blocking, as all of the runtime's are.
        matches!(SockRef::from(self).peek(&mut byte), Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
    }

    fn take(&self, buf: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(self)).read(buf)
    }

    fn peer(&self) -> Option<IpAddr> {
        self.peer_addr().ok().map(|a| a.ip())
    }
}

/// The system's own network.
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

/// A stream as the HTTP library uses it.
pub struct Socket(Rc<dyn Stream>);

impl Socket {
    pub fn new(stream: &Rc<dyn Stream>) -> Self {
        Socket(Rc::clone(stream))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.shutdown();
        Poll::Ready(Ok(()))
    }
}
