//! What peers run in: the network in memory, or the machine's loopback. Peers are the same in both.

use super::memory_network::{Accepting, End, Time, Who, World};
use badgerramp::net::socket::Stream;
use badgerramp_sim_model::{Delivery, Fault, FaultKind, Micros, Network as Ways};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// One end of a connection, in either.
#[derive(Clone)]
pub(crate) struct Io {
    stream: Rc<dyn Stream>,
    kind: Kind,
    pub(crate) peer: Who,
}

#[derive(Clone)]
enum Kind {
    Memory(Rc<End>),
    /// The socket, and when it was opened.
    Real(Rc<TcpStream>, Micros),
}

impl Io {
    fn memory(end: Rc<End>) -> Self {
        let peer = end.peer;
        Io {
            stream: Rc::<End>::clone(&end),
            kind: Kind::Memory(end),
            peer,
        }
    }

    fn real(stream: TcpStream, peer: Who, now: Micros) -> Self {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        Io {
            stream: Rc::<TcpStream>::clone(&stream),
            kind: Kind::Real(stream, now),
            peer,
        }
    }

    /// Breaks the connection.
    pub(crate) fn abort(&self) {
        match &self.kind {
            Kind::Memory(end) => end.abort(),
            // Closed at once, with a break in place of an end.
            Kind::Real(stream, _) => {
                let _ =
                    socket2::SockRef::from(&**stream).set_linger(Some(std::time::Duration::ZERO));
            }
        }
    }

    /// Has nothing come in that was not read?
    pub(crate) fn quiet(&self) -> bool {
        self.stream.nothing_to_read()
    }

    /// When what was read last had been sent, as far as it is known.
    pub(crate) fn read_sent(&self, now: Micros) -> Micros {
        match &self.kind {
            Kind::Memory(end) => end.read_sent(),
            Kind::Real(..) => now,
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.poll_read(cx, buf)
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.shutdown();
        Poll::Ready(Ok(()))
    }
}

/// Takes connections in.
pub(crate) enum Door {
    Memory(Rc<Accepting>),
    /// A listener, whom it serves, and the time.
    Real(TcpListener, Who, Time),
}

impl Door {
    pub(crate) async fn accept(&self) -> Io {
        match self {
            Door::Memory(door) => Io::memory(door.accept().await),
            Door::Real(listener, peer, time) => loop {
                match listener.accept().await {
                    Ok((stream, _)) => return Io::real(stream, *peer, time.now()),
                    // No descriptor is free: one will be.
                    Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
                }
            },
        }
    }

    /// The network asks the host itself whether it takes a connection; on loopback it is asked here.
    pub(crate) fn gated(&self) -> bool {
        matches!(self, Door::Memory(_))
    }
}

/// The machine's loopback, with a scenario's ways laid over it where hosts read and write.
pub(crate) struct Loopback {
    pub(crate) time: Time,
    ways: Ways,
    faults: Vec<Fault>,
    zones: (Vec<u32>, Vec<u32>),
    hosts: RefCell<BTreeMap<usize, SocketAddr>>,
    pub(crate) proxies: RefCell<BTreeMap<u32, SocketAddr>>,
}

impl Loopback {
    pub(crate) fn new(
        time: Time,
        ways: Ways,
        faults: Vec<Fault>,
        zones: (Vec<u32>, Vec<u32>),
    ) -> Rc<Self> {
        let (hosts, proxies) = (RefCell::default(), RefCell::default());
        Rc::new(Loopback {
            time,
            ways,
            faults,
            zones,
            hosts,
            proxies,
        })
    }

    /// A listener on a port of the system's choice; a host that comes back has the one it had.
    pub(crate) fn listen(&self, host: Option<usize>) -> io::Result<TcpListener> {
        let before = host.and_then(|h| self.hosts.borrow().get(&h).copied());
        let address = before.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1_024)?;
        if let Some(host) = host {
            self.hosts.borrow_mut().insert(host, listener.local_addr()?);
        }
        Ok(listener)
    }

    pub(crate) fn host(&self, host: usize) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).copied()
    }
}

/// What peers run in.
pub(crate) enum Around {
    Memory(Rc<World>),
    Real(Rc<Loopback>),
}

impl Around {
    pub(crate) fn time(&self) -> Time {
        match self {
            Around::Memory(world) => world.time,
            Around::Real(loopback) => loopback.time,
        }
    }

    /// A client's connection to a proxy.
    pub(crate) async fn to_proxy(&self, proxy: u32) -> io::Result<Io> {
        match self {
            Around::Memory(world) => {
                let address = super::stand_ins::proxy_address(proxy);
                Rc::clone(world)
                    .connect(Who::Client, address)
                    .await
                    .map(Io::memory)
            }
            Around::Real(loopback) => {
                let address = loopback.proxies.borrow().get(&proxy).copied();
                let address = address.ok_or(io::ErrorKind::ConnectionRefused)?;
                let stream = TcpStream::connect(address).await?;
                Ok(Io::real(stream, Who::Proxy(proxy), loopback.time.now()))
            }
        }
    }

    /// What the way between a proxy and a host costs, on loopback, where the network has none of its own.
    pub(crate) async fn way(&self, (proxy, host): (u32, usize), io: &Io, name: (u64, u64, u64)) {
        let (Around::Real(loopback), Kind::Real(_, opened)) = (self, &io.kind) else {
            return;
        };
        let now = loopback.time.now();
        let half_open = |f: &Fault| {
            let here = matches!(f.kind, FaultKind::HalfOpen { host: at } if at == host);
            here && f.from <= now && *opened < f.from
        };
        if loopback.faults.iter().any(half_open) {
            std::future::pending::<()>().await;
        }
        let near = loopback.zones.0[proxy as usize] == loopback.zones.1[host];
        match loopback.ways.send(now, Some(host), near, name) {
            Delivery::Arrives(at) => tokio::time::sleep_until(loopback.time.instant(at)).await,
            Delivery::Lost => std::future::pending().await,
        }
    }
}
