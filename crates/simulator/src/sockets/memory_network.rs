//! A network in memory, in the runtime's own time: streams with the ways, losses, partitions and dead connections of a
//! scenario. The program's socket code runs on it unchanged.

use badgerramp::net::socket::{Connecting, Listener, Network, Stream};
use badgerramp_sim_model::{Delivery, Fault, FaultKind, Micros, Network as Ways};
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

/// The time of a course: microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Time(Instant);

impl Time {
    pub(crate) fn start() -> Self {
        Time(Instant::now())
    }

    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// Who is at one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Who {
    Client,
    Proxy(u32),
    Host(usize),
    List,
}

/// What goes one way.
#[derive(Default)]
struct Pipe {
    /// When it arrives, when it was sent, and what.
    chunks: VecDeque<(Micros, Micros, Bytes)>,
    /// Nothing arrives before that: bytes keep their order.
    last: Micros,
    /// The end, and a break, arrive then.
    closed: Option<Micros>,
    broken: Option<Micros>,
    /// Nothing arrives any more, and nobody is told.
    dead: bool,
    reader_gone: bool,
    /// When what was read last had been sent.
    read_sent: Micros,
    waker: Option<Waker>,
    sent: u64,
}

impl Pipe {
    fn next(&self) -> Option<Micros> {
        let chunk = self.chunks.front().map(|c| c.0);
        let end = if self.chunks.is_empty() {
            self.closed
        } else {
            None
        };
        [chunk, end, self.broken].into_iter().flatten().min()
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// What a connection is, for both of its ends.
struct Link {
    world: Rc<World>,
    number: u64,
    /// The proxy's and the host's zones are one.
    near: bool,
    host: Option<usize>,
    local: bool,
    opened: Micros,
}

/// One end of a connection.
pub(crate) struct End {
    link: Rc<Link>,
    pub(crate) peer: Who,
    own: Who,
    read: Rc<RefCell<Pipe>>,
    write: Rc<RefCell<Pipe>>,
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
    aborted: Cell<bool>,
}

/// Connections that wait to be accepted at an address.
#[derive(Default)]
struct Door {
    waiting: VecDeque<Rc<End>>,
    waker: Option<Waker>,
}

/// Who is at an address, and who waits to be taken in there.
type Served = (Who, Rc<RefCell<Door>>);

/// A host's word on a connection that comes in: does it take it?
type Gate = Box<dyn Fn() -> bool>;

/// All that the network knows.
pub(crate) struct World {
    pub(crate) time: Time,
    ways: Ways,
    faults: Vec<Fault>,
    doors: RefCell<BTreeMap<SocketAddr, Served>>,
    gates: RefCell<BTreeMap<usize, Gate>>,
    zones: (Vec<u32>, Vec<u32>),
    numbers: RefCell<BTreeMap<(u64, u64), u64>>,
    /// Ends that each proxy has open.
    open: RefCell<BTreeMap<u32, usize>>,
}

impl World {
    pub(crate) fn new(
        time: Time,
        ways: Ways,
        faults: Vec<Fault>,
        zones: (Vec<u32>, Vec<u32>),
    ) -> Rc<Self> {
        Rc::new(World {
            time,
            ways,
            faults,
            doors: RefCell::default(),
            gates: RefCell::default(),
            zones,
            numbers: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Connections to this address are taken in from now on.
    pub(crate) fn listen(&self, address: SocketAddr, who: Who) -> Rc<Accepting> {
        let door = Rc::new(RefCell::new(Door::default()));
        self.doors
            .borrow_mut()
            .insert(address, (who, Rc::clone(&door)));
        Rc::new(Accepting(door))
    }

    /// ... and from now on not.
    pub(crate) fn shut(&self, address: SocketAddr) {
        self.doors.borrow_mut().remove(&address);
    }

    pub(crate) fn gate(&self, host: usize, gate: Gate) {
        self.gates.borrow_mut().insert(host, gate);
    }

    /// Ends that a proxy has open.
    pub(crate) fn open_at(&self, proxy: u32) -> usize {
        self.open.borrow().get(&proxy).copied().unwrap_or(0)
    }

    /// Lets all go that still waits.
    pub(crate) fn close(&self) {
        self.doors.borrow_mut().clear();
        self.gates.borrow_mut().clear();
    }

    fn number(&self, from: Who, to: Who) -> u64 {
        let name = |who| match who {
            Who::Client => 0,
            Who::List => 1,
            Who::Proxy(n) => 2 + (u64::from(n) << 2),
            Who::Host(n) => 3 + ((n as u64) << 2),
        };
        let key = (name(from), name(to));
        let mut numbers = self.numbers.borrow_mut();
        let next = numbers.entry(key).or_insert(0);
        *next += 1;
        (key.0 << 40) ^ (key.1 << 20) ^ *next
    }

    /// Opens a connection, from one place to another.
    pub(crate) async fn connect(
        self: Rc<Self>,
        from: Who,
        address: SocketAddr,
    ) -> io::Result<Rc<End>> {
        let found = self
            .doors
            .borrow()
            .get(&address)
            .map(|d| (d.0, Rc::clone(&d.1)));
        let to = found.as_ref().map_or(Who::List, |f| f.0);
        let (host, local) = match (from, to) {
            (Who::Proxy(_), Who::Host(host)) => (Some(host), false),
            (Who::Client, _) => (None, true),
            _ => (None, false),
        };
        let near = match (from, host) {
            (Who::Proxy(proxy), Some(host)) => self.zones.0[proxy as usize] == self.zones.1[host],
            _ => false,
        };
        let number = self.number(from, to);
        for leg in 0..2 {
            if local {
                break;
            }
            match self
                .ways
                .send(self.time.now(), host, near, (0x5711, number, leg))
            {
                Delivery::Arrives(at) => tokio::time::sleep_until(self.time.instant(at)).await,
                Delivery::Lost => std::future::pending().await,
            }
            if leg == 0 {
                let taken =
                    host.is_none_or(|h| self.gates.borrow().get(&h).is_none_or(|gate| gate()));
                if found.is_none() || !taken {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
            }
        }
        // It may have gone while the answer was on its way.
        let Some((_, door)) = self
            .doors
            .borrow()
            .get(&address)
            .map(|d| (d.0, Rc::clone(&d.1)))
        else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let link = Rc::new(Link {
            world: Rc::clone(&self),
            number,
            near,
            host,
            local,
            opened: self.time.now(),
        });
        let pipes = [
            Rc::new(RefCell::new(Pipe::default())),
            Rc::new(RefCell::new(Pipe::default())),
        ];
        let end = |own, peer, read: usize| {
            if let Who::Proxy(proxy) = own {
                *self.open.borrow_mut().entry(proxy).or_default() += 1;
            }
            Rc::new(End {
                link: Rc::clone(&link),
                peer,
                own,
                read: Rc::clone(&pipes[read]),
                write: Rc::clone(&pipes[1 - read]),
                timer: RefCell::default(),
                aborted: Cell::new(false),
            })
        };
        let (near_end, far_end) = (end(from, to, 0), end(to, from, 1));
        let mut door = door.borrow_mut();
        door.waiting.push_back(far_end);
        if let Some(waker) = door.waker.take() {
            waker.wake();
        }
        Ok(near_end)
    }
}

impl Link {
    /// When what is sent now arrives; None: never.
    fn arrives(&self, leg: u64) -> Option<Micros> {
        let now = self.world.time.now();
        if self.local {
            return Some(now);
        }
        let half_open = |f: &Fault| {
            let here = matches!(f.kind, FaultKind::HalfOpen { host } if Some(host) == self.host);
            here && f.from <= now && self.opened < f.from
        };
        if self.world.faults.iter().any(half_open) {
            return None;
        }
        match self
            .world
            .ways
            .send(now, self.host, self.near, (0xb17e, self.number, leg))
        {
            Delivery::Arrives(at) => Some(at),
            Delivery::Lost => None,
        }
    }
}

impl End {
    /// When what was read last had been sent.
    pub(crate) fn read_sent(&self) -> Micros {
        self.read.borrow().read_sent
    }

    /// Breaks the connection: the other side is told as far as anything reaches it.
    pub(crate) fn abort(&self) {
        self.aborted.set(true);
        let mut pipe = self.write.borrow_mut();
        let leg = self.leg(&mut pipe);
        match self.link.arrives(leg) {
            Some(at) => pipe.broken = Some(at),
            None => pipe.dead = true,
        }
        pipe.wake();
    }

    /// Names a packet: its direction and its number.
    fn leg(&self, pipe: &mut Pipe) -> u64 {
        pipe.sent += 1;
        pipe.sent * 4
            + if matches!(self.own, Who::Proxy(_)) {
                2
            } else {
                3
            }
    }
}

impl Stream for End {
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let now = self.link.world.time.now();
        let mut pipe = self.read.borrow_mut();
        if pipe.broken.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if let Some((_, sent, chunk)) = pipe.chunks.front_mut().filter(|c| c.0 <= now) {
            let count = chunk.len().min(buf.remaining());
            buf.put_slice(&chunk.split_to(count));
            let (sent, done) = (*sent, chunk.is_empty());
            pipe.read_sent = sent;
            if done {
                pipe.chunks.pop_front();
            }
            return Poll::Ready(Ok(()));
        }
        if pipe.chunks.is_empty() && pipe.closed.is_some_and(|at| at <= now) {
            return Poll::Ready(Ok(()));
        }
        pipe.waker = Some(cx.waker().clone());
        let next = pipe.next();
        drop(pipe);
        let mut timer = self.timer.borrow_mut();
        let Some(next) = next else {
            *timer = None;
            return Poll::Pending;
        };
        let at = self.link.world.time.instant(next);
        let sleep = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        if std::future::Future::poll(sleep.as_mut(), cx).is_ready() {
            // It is due now: look again.
            *timer = None;
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    fn poll_write(&self, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let now = self.link.world.time.now();
        if self.read.borrow().broken.is_some_and(|at| at <= now) || self.aborted.get() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let mut pipe = self.write.borrow_mut();
        let leg = self.leg(&mut pipe);
        let arrives = self.link.arrives(leg).filter(|_| !pipe.dead);
        match arrives {
            // The system takes it all the same.
            None => pipe.dead = true,
            Some(at) if pipe.reader_gone => {
                // Nobody is there to read it: the answer to that is a break.
                let mut back = self.read.borrow_mut();
                back.broken.get_or_insert(at + at.saturating_sub(now));
                back.wake();
            }
            Some(at) => {
                let at = at.max(pipe.last);
                pipe.last = at;
                pipe.chunks
                    .push_back((at, now, Bytes::copy_from_slice(buf)));
                pipe.wake();
            }
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn shutdown(&self) {
        let mut pipe = self.write.borrow_mut();
        if pipe.closed.is_some() || pipe.dead {
            return;
        }
        let leg = self.leg(&mut pipe);
        match self.link.arrives(leg) {
            Some(at) => pipe.closed = Some(at.max(pipe.last)),
            None => pipe.dead = true,
        }
        pipe.wake();
    }

    fn nothing_to_read(&self) -> bool {
        let now = self.link.world.time.now();
        self.read.borrow().next().is_none_or(|at| at > now)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        if self.nothing_to_read() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        // Something is due, so that nobody is to be woken.
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

impl Drop for End {
    fn drop(&mut self) {
        let now = self.link.world.time.now();
        let mut read = self.read.borrow_mut();
        read.reader_gone = true;
        let unread = read.chunks.front().is_some_and(|c| c.0 <= now);
        drop(read);
        if !self.aborted.get() {
            if unread {
                // What was not read is told by a break, as the system does it.
                self.abort();
            } else {
                self.shutdown();
            }
        }
        if let Who::Proxy(proxy) = self.own {
            if let Some(open) = self.link.world.open.borrow_mut().get_mut(&proxy) {
                *open -= 1;
            }
        }
    }
}

/// Takes connections in.
pub(crate) struct Accepting(Rc<RefCell<Door>>);

impl Accepting {
    pub(crate) fn poll_end(&self, cx: &mut Context<'_>) -> Poll<Rc<End>> {
        let mut door = self.0.borrow_mut();
        match door.waiting.pop_front() {
            Some(end) => Poll::Ready(end),
            None => {
                door.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    pub(crate) async fn accept(&self) -> Rc<End> {
        std::future::poll_fn(|cx| self.poll_end(cx)).await
    }
}

impl Listener for Accepting {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        self.poll_end(cx).map(|end| Ok(end as Rc<dyn Stream>))
    }
}

/// The network as a proxy sees it.
pub(crate) struct From(pub(crate) Rc<World>, pub(crate) Who);

impl Network for From {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let (world, who) = (Rc::clone(&self.0), self.1);
        Box::pin(async move {
            world
                .connect(who, address)
                .await
                .map(|end| end as Rc<dyn Stream>)
        })
    }
}
