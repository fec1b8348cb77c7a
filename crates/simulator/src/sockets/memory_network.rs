//! An in-memory network in the runtime's paused time. Its streams have the delays, losses, partitions and dead connections
//! of the scenario. The proxy's socket code runs on it unchanged.

use badgerramp::net::socket::{Connecting, Listener, Network, Stream};
use badgerramp_sim_model::{Delivery, Fault, FaultKind, Micros, Network as NetworkModel};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::{Instant, Sleep};

/// The clock of a run: microseconds since the start of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock(Instant);

impl RunClock {
    pub(crate) fn start() -> Self {
        RunClock(Instant::now())
    }

    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// A party of the network, at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Party {
    Client,
    Proxy(u32),
    Host(usize),
    ListService,
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    /// Chunks in transit: time of arrival, time of sending, and content.
    chunks: VecDeque<(Micros, Micros, Bytes)>,
    /// Arrival time of the last chunk. Later ones don't arrive earlier, so bytes keep their order.
    last_arrival: Micros,
    /// Time at which the end of the stream arrives.
    closed_at: Option<Micros>,
    /// Time at which a reset arrives.
    reset_at: Option<Micros>,
    /// Nothing arrives any more, and neither side notices.
    dead: bool,
    /// Whether the reading end was dropped.
    reader_gone: bool,
    /// Time at which the bytes that were read last had been sent.
    last_read_sent_at: Micros,
    waker: Option<Waker>,
    packets_sent: u64,
}

impl Pipe {
    /// Time of the next arrival: of a chunk, the end of the stream, or a reset.
    fn next_arrival(&self) -> Option<Micros> {
        let chunk = self.chunks.front().map(|c| c.0);
        let end = if self.chunks.is_empty() {
            self.closed_at
        } else {
            None
        };
        [chunk, end, self.reset_at].into_iter().flatten().min()
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The properties of a connection that its two ends share.
struct ConnectionInfo {
    network: Rc<MemoryNetwork>,
    /// Identifies the connection in the random streams.
    number: u64,
    /// Whether proxy and host are in the same zone.
    same_zone: bool,
    host: Option<usize>,
    /// Connections of clients have no delay and no loss.
    local: bool,
    opened_at: Micros,
}

/// One end of a connection.
pub(crate) struct MemoryStream {
    connection: Rc<ConnectionInfo>,
    pub(crate) peer: Party,
    own: Party,
    read: Rc<RefCell<Pipe>>,
    write: Rc<RefCell<Pipe>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
    aborted: Cell<bool>,
}

/// Connections that wait to be accepted at an address.
#[derive(Default)]
struct AcceptQueue {
    waiting: VecDeque<Rc<MemoryStream>>,
    waker: Option<Waker>,
}

/// The party that listens at an address, and its accept queue.
type ListeningParty = (Party, Rc<RefCell<AcceptQueue>>);

/// Asks a host whether it accepts an incoming connection.
type AcceptCheck = Box<dyn Fn() -> bool>;

/// The in-memory network of a run.
pub(crate) struct MemoryNetwork {
    pub(crate) clock: RunClock,
    model: NetworkModel,
    faults: Vec<Fault>,
    listeners: RefCell<BTreeMap<SocketAddr, ListeningParty>>,
    accept_checks: RefCell<BTreeMap<usize, AcceptCheck>>,
    /// Zones of the proxies, and of the hosts.
    zones: (Vec<u32>, Vec<u32>),
    /// Number of connections between each two parties so far.
    connection_counts: RefCell<BTreeMap<(u64, u64), u64>>,
    /// Number of open connection ends of each proxy.
    open_ends: RefCell<BTreeMap<u32, usize>>,
}

impl MemoryNetwork {
    pub(crate) fn new(
        clock: RunClock,
        model: NetworkModel,
        faults: Vec<Fault>,
        zones: (Vec<u32>, Vec<u32>),
    ) -> Rc<Self> {
        Rc::new(MemoryNetwork {
            clock,
            model,
            faults,
            listeners: RefCell::default(),
            accept_checks: RefCell::default(),
            zones,
            connection_counts: RefCell::default(),
            open_ends: RefCell::default(),
        })
    }

    /// Starts to accept connections to this address, for this party.
    pub(crate) fn listen(&self, address: SocketAddr, party: Party) -> Rc<MemoryListener> {
        let queue = Rc::new(RefCell::new(AcceptQueue::default()));
        self.listeners
            .borrow_mut()
            .insert(address, (party, Rc::clone(&queue)));
        Rc::new(MemoryListener(queue))
    }

    /// Stops accepting connections to this address.
    pub(crate) fn stop_listening(&self, address: SocketAddr) {
        self.listeners.borrow_mut().remove(&address);
    }

    /// Sets the check that decides whether a host accepts a connection.
    pub(crate) fn set_accept_check(&self, host: usize, check: AcceptCheck) {
        self.accept_checks.borrow_mut().insert(host, check);
    }

    /// Number of connection ends that a proxy has open.
    pub(crate) fn open_ends(&self, proxy: u32) -> usize {
        self.open_ends.borrow().get(&proxy).copied().unwrap_or(0)
    }

    /// Drops all listeners and checks. They refer back to the network, and would keep it alive after the run.
    pub(crate) fn close(&self) {
        self.listeners.borrow_mut().clear();
        self.accept_checks.borrow_mut().clear();
    }

    /// The number of the next connection between two parties. It identifies the connection in the random streams, and does not
    /// depend on connections between others.
    fn next_connection_number(&self, from: Party, to: Party) -> u64 {
        let party_key = |party| match party {
            Party::Client => 0,
            Party::ListService => 1,
            Party::Proxy(n) => 2 + (u64::from(n) << 2),
            Party::Host(n) => 3 + ((n as u64) << 2),
        };
        let key = (party_key(from), party_key(to));
        let mut counts = self.connection_counts.borrow_mut();
        let next = counts.entry(key).or_insert(0);
        *next += 1;
        (key.0 << 40) ^ (key.1 << 20) ^ *next
    }

    /// Opens a connection from a party to an address.
    pub(crate) async fn connect(
        self: Rc<Self>,
        from: Party,
        address: SocketAddr,
    ) -> io::Result<Rc<MemoryStream>> {
        let listener = self
            .listeners
            .borrow()
            .get(&address)
            .map(|l| (l.0, Rc::clone(&l.1)));
        let to = listener.as_ref().map_or(Party::ListService, |l| l.0);
        let (host, local) = match (from, to) {
            (Party::Proxy(_), Party::Host(host)) => (Some(host), false),
            (Party::Client, _) => (None, true),
            _ => (None, false),
        };
        let same_zone = match (from, host) {
            (Party::Proxy(proxy), Some(host)) => self.zones.0[proxy as usize] == self.zones.1[host],
            _ => false,
        };
        let number = self.next_connection_number(from, to);
        for leg in 0..2 {
            if local {
                break;
            }
            match self
                .model
                .send(self.clock.now(), host, same_zone, (0x5711, number, leg))
            {
                Delivery::Arrives(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                Delivery::Lost => std::future::pending().await,
            }
            if leg == 0 {
                let accepted = host.is_none_or(|h| {
                    self.accept_checks
                        .borrow()
                        .get(&h)
                        .is_none_or(|check| check())
                });
                if listener.is_none() || !accepted {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
            }
        }
        // The listener may have stopped while the answer to the connect was in transit.
        let Some((_, queue)) = self
            .listeners
            .borrow()
            .get(&address)
            .map(|l| (l.0, Rc::clone(&l.1)))
        else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let connection = Rc::new(ConnectionInfo {
            network: Rc::clone(&self),
            number,
            same_zone,
            host,
            local,
            opened_at: self.clock.now(),
        });
        let pipes = [
            Rc::new(RefCell::new(Pipe::default())),
            Rc::new(RefCell::new(Pipe::default())),
        ];
        let end = |own, peer, read: usize| {
            if let Party::Proxy(proxy) = own {
                *self.open_ends.borrow_mut().entry(proxy).or_default() += 1;
            }
            Rc::new(MemoryStream {
                connection: Rc::clone(&connection),
                peer,
                own,
                read: Rc::clone(&pipes[read]),
                write: Rc::clone(&pipes[1 - read]),
                timer: RefCell::default(),
                aborted: Cell::new(false),
            })
        };
        let (near_end, far_end) = (end(from, to, 0), end(to, from, 1));
        let mut queue = queue.borrow_mut();
        queue.waiting.push_back(far_end);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
        Ok(near_end)
    }
}

impl ConnectionInfo {
    /// Time at which a packet that is sent now arrives; `None`: never.
    fn arrival(&self, leg: u64) -> Option<Micros> {
        let now = self.network.clock.now();
        if self.local {
            return Some(now);
        }
        let half_open = |f: &Fault| {
            let affects_host =
                matches!(f.kind, FaultKind::HalfOpen { host } if Some(host) == self.host);
            affects_host && f.from <= now && self.opened_at < f.from
        };
        if self.network.faults.iter().any(half_open) {
            return None;
        }
        match self
            .network
            .model
            .send(now, self.host, self.same_zone, (0xb17e, self.number, leg))
        {
            Delivery::Arrives(at) => Some(at),
            Delivery::Lost => None,
        }
    }
}

impl MemoryStream {
    /// Time at which the bytes that were read last had been sent.
    pub(crate) fn last_read_sent_at(&self) -> Micros {
        self.read.borrow().last_read_sent_at
    }

    /// Resets the connection. The other side notices unless the packet is lost.
    pub(crate) fn abort(&self) {
        self.aborted.set(true);
        let mut pipe = self.write.borrow_mut();
        let leg = self.next_leg(&mut pipe);
        match self.connection.arrival(leg) {
            Some(at) => pipe.reset_at = Some(at),
            None => pipe.dead = true,
        }
        pipe.wake();
    }

    /// The key of the next packet in the random streams: its direction and its number.
    fn next_leg(&self, pipe: &mut Pipe) -> u64 {
        pipe.packets_sent += 1;
        pipe.packets_sent * 4
            + if matches!(self.own, Party::Proxy(_)) {
                2
            } else {
                3
            }
    }
}

impl Stream for MemoryStream {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let now = self.connection.network.clock.now();
        let mut pipe = self.read.borrow_mut();
        if pipe.reset_at.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if let Some((_, sent_at, chunk)) = pipe.chunks.front_mut().filter(|c| c.0 <= now) {
            let count = chunk.len().min(buf.remaining());
            buf.put_slice(&chunk.split_to(count));
            let (sent_at, done) = (*sent_at, chunk.is_empty());
            pipe.last_read_sent_at = sent_at;
            if done {
                pipe.chunks.pop_front();
            }
            return Poll::Ready(Ok(()));
        }
        if pipe.chunks.is_empty() && pipe.closed_at.is_some_and(|at| at <= now) {
            return Poll::Ready(Ok(()));
        }
        pipe.waker = Some(cx.waker().clone());
        let next = pipe.next_arrival();
        drop(pipe);
        let mut timer = self.timer.borrow_mut();
        let Some(next) = next else {
            *timer = None;
            return Poll::Pending;
        };
        let at = self.connection.network.clock.instant(next);
        let sleep = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        if std::future::Future::poll(sleep.as_mut(), cx).is_ready() {
            // The arrival is due now: poll again.
            *timer = None;
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    fn poll_write(&self, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let now = self.connection.network.clock.now();
        if self.read.borrow().reset_at.is_some_and(|at| at <= now) || self.aborted.get() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let mut pipe = self.write.borrow_mut();
        let leg = self.next_leg(&mut pipe);
        let arrival = self.connection.arrival(leg).filter(|_| !pipe.dead);
        match arrival {
            // As on a real socket, the write succeeds although the bytes are lost.
            None => pipe.dead = true,
            Some(at) if pipe.reader_gone => {
                // The other side has closed the connection, and answers with a reset.
                let mut reverse = self.read.borrow_mut();
                reverse.reset_at.get_or_insert(at + at.saturating_sub(now));
                reverse.wake();
            }
            Some(at) => {
                let at = at.max(pipe.last_arrival);
                pipe.last_arrival = at;
                pipe.chunks
                    .push_back((at, now, Bytes::copy_from_slice(buf)));
                pipe.wake();
            }
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn shutdown(&self) {
        let mut pipe = self.write.borrow_mut();
        if pipe.closed_at.is_some() || pipe.dead {
            return;
        }
        let leg = self.next_leg(&mut pipe);
        match self.connection.arrival(leg) {
            Some(at) => pipe.closed_at = Some(at.max(pipe.last_arrival)),
            None => pipe.dead = true,
        }
        pipe.wake();
    }

    fn nothing_to_read(&self) -> bool {
        let now = self.connection.network.clock.now();
        self.read.borrow().next_arrival().is_none_or(|at| at > now)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        if self.nothing_to_read() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        // Something has arrived, so the read does not have to register a waker.
        let mut buf = ReadBuf::new(buf);
        match self.poll_read(&mut Context::from_waker(std::task::Waker::noop()), &mut buf) {
            Poll::Ready(read) => read.map(|()| buf.filled().len()),
            Poll::Pending => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    fn peer(&self) -> Option<IpAddr> {
        Some(IpAddr::from([127, 0, 0, 1]))
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        let now = self.connection.network.clock.now();
        let mut read = self.read.borrow_mut();
        read.reader_gone = true;
        let unread = read.chunks.front().is_some_and(|c| c.0 <= now);
        drop(read);
        if !self.aborted.get() {
            if unread {
                // As on a real socket, closing with unread bytes sends a reset.
                self.abort();
            } else {
                self.shutdown();
            }
        }
        if let Party::Proxy(proxy) = self.own {
            if let Some(open) = self
                .connection
                .network
                .open_ends
                .borrow_mut()
                .get_mut(&proxy)
            {
                *open -= 1;
            }
        }
    }
}

/// Accepts the connections to an address.
pub(crate) struct MemoryListener(Rc<RefCell<AcceptQueue>>);

impl MemoryListener {
    pub(crate) fn poll_stream(&self, cx: &mut Context<'_>) -> Poll<Rc<MemoryStream>> {
        let mut queue = self.0.borrow_mut();
        match queue.waiting.pop_front() {
            Some(stream) => Poll::Ready(stream),
            None => {
                queue.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    pub(crate) async fn accept(&self) -> Rc<MemoryStream> {
        std::future::poll_fn(|cx| self.poll_stream(cx)).await
    }
}

impl Listener for MemoryListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        self.poll_stream(cx)
            .map(|stream| Ok(stream as Rc<dyn Stream>))
    }
}

/// The network as one party connects to it.
pub(crate) struct PartyNetwork(pub(crate) Rc<MemoryNetwork>, pub(crate) Party);

impl Network for PartyNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let (network, party) = (Rc::clone(&self.0), self.1);
        Box::pin(async move {
            network
                .connect(party, address)
                .await
                .map(|stream| stream as Rc<dyn Stream>)
        })
    }
}
