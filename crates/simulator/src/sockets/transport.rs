//! The transport between stand-ins and proxies: the in-memory network or the loopback interface. The stand-ins are the same
//! on both.

use super::memory_network::{MemoryListener, MemoryNetwork, MemoryStream, Party, RunClock};
use badgerramp::net::socket::Stream;
use badgerramp_sim_model::{Delivery, Fault, FaultKind, Micros, Network as NetworkModel};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A stand-in's end of a connection, on either transport.
#[derive(Clone)]
pub(crate) struct Connection {
    stream: Rc<dyn Stream>,
    kind: ConnectionKind,
    pub(crate) peer: Party,
}

#[derive(Clone)]
enum ConnectionKind {
    Memory(Rc<MemoryStream>),
    /// The socket, and the time at which it was opened.
    Real(Rc<TcpStream>, Micros),
}

impl Connection {
    fn memory(stream: Rc<MemoryStream>) -> Self {
        let peer = stream.peer;
        Connection {
            stream: Rc::<MemoryStream>::clone(&stream),
            kind: ConnectionKind::Memory(stream),
            peer,
        }
    }

    fn real(stream: TcpStream, peer: Party, now: Micros) -> Self {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        Connection {
            stream: Rc::<TcpStream>::clone(&stream),
            kind: ConnectionKind::Real(stream, now),
            peer,
        }
    }

    /// Resets the connection.
    pub(crate) fn abort(&self) {
        match &self.kind {
            ConnectionKind::Memory(stream) => stream.abort(),
            // With a zero linger time the close sends a reset.
            ConnectionKind::Real(stream, _) => {
                let _ =
                    socket2::SockRef::from(&**stream).set_linger(Some(std::time::Duration::ZERO));
            }
        }
    }

    /// Whether nothing has arrived that was not read yet.
    pub(crate) fn nothing_to_read(&self) -> bool {
        self.stream.nothing_to_read()
    }

    /// Time at which the bytes that were read last had been sent; on loopback this is not known, and `now` is returned.
    pub(crate) fn last_read_sent_at(&self, now: Micros) -> Micros {
        match &self.kind {
            ConnectionKind::Memory(stream) => stream.last_read_sent_at(),
            ConnectionKind::Real(..) => now,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
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

/// A stand-in's listener.
pub(crate) enum Listener {
    Memory(Rc<MemoryListener>),
    /// The socket, the party that connects to it, and the clock of the run.
    Real(TcpListener, Party, RunClock),
}

impl Listener {
    pub(crate) async fn accept(&self) -> Connection {
        match self {
            Listener::Memory(listener) => Connection::memory(listener.accept().await),
            Listener::Real(listener, peer, clock) => loop {
                match listener.accept().await {
                    Ok((stream, _)) => return Connection::real(stream, *peer, clock.now()),
                    // No file descriptor is free: try again after some have been closed.
                    Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
                }
            },
        }
    }

    /// Whether the network asks the host if it accepts a connection before `accept` returns it. On loopback the host has to
    /// be asked afterwards.
    pub(crate) fn checks_acceptance(&self) -> bool {
        matches!(self, Listener::Memory(_))
    }
}

/// The loopback interface. Delays and losses of the modelled network are added where hosts read requests and write
/// responses.
pub(crate) struct Loopback {
    pub(crate) clock: RunClock,
    network: NetworkModel,
    faults: Vec<Fault>,
    /// Zones of the proxies, and of the hosts.
    zones: (Vec<u32>, Vec<u32>),
    hosts: RefCell<BTreeMap<usize, SocketAddr>>,
    pub(crate) proxies: RefCell<BTreeMap<u32, SocketAddr>>,
}

impl Loopback {
    pub(crate) fn new(
        clock: RunClock,
        network: NetworkModel,
        faults: Vec<Fault>,
        zones: (Vec<u32>, Vec<u32>),
    ) -> Rc<Self> {
        let (hosts, proxies) = (RefCell::default(), RefCell::default());
        Rc::new(Loopback {
            clock,
            network,
            faults,
            zones,
            hosts,
            proxies,
        })
    }

    /// Listens on a port that the system chooses. A host that starts again gets its earlier port.
    pub(crate) fn listen(&self, host: Option<usize>) -> io::Result<TcpListener> {
        let earlier = host.and_then(|h| self.hosts.borrow().get(&h).copied());
        let address = earlier.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1_024)?;
        if let Some(host) = host {
            self.hosts.borrow_mut().insert(host, listener.local_addr()?);
        }
        Ok(listener)
    }

    /// The address of a host that has listened before.
    pub(crate) fn host_address(&self, host: usize) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).copied()
    }
}

/// The network that the stand-ins and the proxies of a run are connected by.
pub(crate) enum Transport {
    Memory(Rc<MemoryNetwork>),
    Real(Rc<Loopback>),
}

impl Transport {
    pub(crate) fn clock(&self) -> RunClock {
        match self {
            Transport::Memory(network) => network.clock,
            Transport::Real(loopback) => loopback.clock,
        }
    }

    /// Connects a client to a proxy.
    pub(crate) async fn connect_to_proxy(&self, proxy: u32) -> io::Result<Connection> {
        match self {
            Transport::Memory(network) => {
                let address = super::stand_ins::proxy_address(proxy);
                Rc::clone(network)
                    .connect(Party::Client, address)
                    .await
                    .map(Connection::memory)
            }
            Transport::Real(loopback) => {
                let address = loopback.proxies.borrow().get(&proxy).copied();
                let address = address.ok_or(io::ErrorKind::ConnectionRefused)?;
                let stream = TcpStream::connect(address).await?;
                Ok(Connection::real(
                    stream,
                    Party::Proxy(proxy),
                    loopback.clock.now(),
                ))
            }
        }
    }

    /// Applies the modelled delay or loss between a proxy and a host to a message on loopback. The in-memory network applies
    /// them itself. For a lost message the future never completes.
    pub(crate) async fn apply_network_model(
        &self,
        (proxy, host): (u32, usize),
        connection: &Connection,
        key: (u64, u64, u64),
    ) {
        let (Transport::Real(loopback), ConnectionKind::Real(_, opened_at)) =
            (self, &connection.kind)
        else {
            return;
        };
        let now = loopback.clock.now();
        let half_open = |f: &Fault| {
            let affects_host = matches!(f.kind, FaultKind::HalfOpen { host: at } if at == host);
            affects_host && f.from <= now && *opened_at < f.from
        };
        if loopback.faults.iter().any(half_open) {
            std::future::pending::<()>().await;
        }
        let same_zone = loopback.zones.0[proxy as usize] == loopback.zones.1[host];
        match loopback.network.send(now, Some(host), same_zone, key) {
            Delivery::Arrives(at) => tokio::time::sleep_until(loopback.clock.instant(at)).await,
            Delivery::Lost => std::future::pending().await,
        }
    }
}
