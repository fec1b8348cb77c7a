//! The connections of clients: what each is about, and which may go when room is short. What passes on a
//! connection is noted here, as the HTTP library tells of a request only when its whole head is in.

use super::clock::Clock;
use super::socket::{Socket, Stream};
use super::upstream::Client;
use super::Descriptor;
use badgerramp_decisions::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// A connection that has never asked may be closed from then on when another wants its place: a client asks as
/// soon as it is connected.
const SILENT: Micros = 100_000;
/// A connection that has not asked by then is closed in any case, and so is a request that is not in.
pub const UNASKED: Micros = 2_300_000;
/// ... and one that nothing has passed on for this long, or whose client does not take its answer.
const IDLE_MOST: Micros = 60_000_000;
/// Most bytes that are read ahead of the HTTP library, and of such as are worthless, to see whether their client has gone.
const AHEAD_MOST: usize = 32 * 1024;
const WORTHLESS_MOST: usize = 1 << 20;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is open.
    Idle,
    /// The head of a request is coming in.
    Head,
    /// A request is open: its body is coming in, or its answer is awaited.
    Open,
    /// The answer is given and not yet written whole.
    Answering,
    /// No request is read any more.
    Ended,
}

/// One connection.
pub struct Seat {
    number: u64,
    clock: Clock,
    stream: Rc<dyn Stream>,
    client: IpAddr,
    descriptor: Cell<Option<Descriptor>>,
    phase: Cell<Phase>,
    /// When the phase began; for a first head, when the client connected.
    since: Cell<Micros>,
    asked: Cell<bool>,
    scan: Cell<Scan>,
    /// Bytes that have come behind the head, and how many belong to the request.
    behind: Cell<u64>,
    length: Cell<u64>,
    /// What came in behind the open request and was taken from the system before the HTTP library asked for it.
    ahead: RefCell<Vec<u8>>,
    leave: Notify,
    /// It is to go.
    leaving: Cell<bool>,
    /// Its place is wanted.
    evicted: Cell<bool>,
    /// The next answer on it is its last.
    last: Cell<bool>,
}

/// Most bytes that are read of what comes in after the last answer.
const LINGER_MOST: usize = 64 * 1024;

/// How far the end of a head has come, as the HTTP library sees it: an empty line, which may lack its CR.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scan {
    /// Empty lines ahead of a head are skipped.
    Before,
    Line,
    LineStart,
    LineStartCr,
    Ended,
}

impl Scan {
    fn next(self, byte: u8) -> Scan {
        match (self, byte) {
            (Scan::Ended, _) | (Scan::LineStart | Scan::LineStartCr, b'\n') => Scan::Ended,
            (Scan::Before, b'\r' | b'\n') => Scan::Before,
            (Scan::LineStart, b'\r') => Scan::LineStartCr,
            (_, b'\n') => Scan::LineStart,
            _ => Scan::Line,
        }
    }
}

impl Seat {
    /// Resolves when the connection is to go.
    pub async fn leaves(&self) {
        self.leave.notified().await;
    }

    /// Its number, counted from the start; none returns.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The address that the client connected from.
    pub fn client(&self) -> IpAddr {
        self.client
    }

    /// The head of a request is in. Tells since when it has been coming.
    pub fn opened(&self) -> Micros {
        self.phase.set(Phase::Open);
        self.asked.set(true);
        self.since.get()
    }

    /// The answer is given.
    pub fn answered(&self) {
        self.phase.set(Phase::Answering);
        self.since.set(self.clock.now());
        self.scan.set(Scan::Before);
        self.behind.set(0);
        self.length.set(u64::MAX);
    }

    /// The body of the open request is in.
    pub fn whole(&self, length: usize) {
        self.length.set(length as u64);
    }

    /// Has more come than the open request?
    pub fn surplus(&self) -> bool {
        self.behind.get() > self.length.get()
    }

    /// The answer is written whole.
    fn written(&self) {
        if self.phase.get() == Phase::Answering {
            // What has come meanwhile belongs to the next request.
            self.phase.set(if self.scan.get() == Scan::Before {
                Phase::Idle
            } else {
                Phase::Head
            });
            self.since.set(self.clock.now());
        }
    }

    /// The next answer is to close the connection.
    pub fn set_last(&self) {
        self.last.set(true);
    }

    /// Does the next answer close the connection?
    pub fn is_last(&self) -> bool {
        self.last.get()
    }

    /// Is nothing of a request here, neither read nor still with the system? Only then may it be closed between requests.
    pub fn rests(&self) -> bool {
        self.phase.get() == Phase::Idle && self.ahead.borrow().is_empty() && self.stream.quiet()
    }

    /// Has it never been asked on? Its client has just connected, and its first request may be on its way.
    pub fn is_unasked(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.asked.get()
    }

    /// Is an answer owed, or still being taken, or a request on its way in that still has time to come?
    pub fn owes(&self) -> bool {
        let within = |most| self.since.get() + most > self.clock.now();
        match self.phase.get() {
            Phase::Open => true,
            Phase::Answering => within(IDLE_MOST),
            Phase::Head => within(UNASKED),
            Phase::Idle => !self.rests(),
            Phase::Ended => false,
        }
    }

    /// Is its place wanted, so that nobody waits for its client to close it?
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Writes no more, and reads what still comes in until the client has closed as well: a close with bytes unread breaks
    /// the connection, and may take the answer with it before the client has read it (RFC 9112, 9.6). None of it is
    /// looked at: what is read after this end can't be answered.
    pub async fn linger(&self) {
        self.phase.set(Phase::Ended);
        self.stream.shutdown();
        let (mut bytes, mut left) = ([0; 1024], LINGER_MOST);
        while left > 0 {
            let mut buf = ReadBuf::new(&mut bytes);
            let read = poll_fn(|cx| self.stream.poll_read(cx, &mut buf)).await;
            if read.is_err() || buf.filled().is_empty() {
                return;
            }
            left = left.saturating_sub(buf.filled().len());
        }
    }

    fn read(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Idle && !bytes.is_empty() {
            self.phase.set(Phase::Head);
            if self.asked.get() {
                self.since.set(self.clock.now());
            }
        }
        let (mut scan, mut rest) = (self.scan.get(), bytes);
        while let (false, Some((&byte, behind))) = (scan == Scan::Ended, rest.split_first()) {
            (scan, rest) = (scan.next(byte), behind);
        }
        self.scan.set(scan);
        self.behind.set(self.behind.get() + rest.len() as u64);
    }

    /// May it go, as another wants its place? Not if its request is on the way or its answer is. One that has its answer
    /// may go at once, if none is idle longer: a crowd that asks once and stays would else keep out all who come.
    fn spare(&self, now: Micros) -> bool {
        let least = if self.asked.get() { 0 } else { SILENT };
        let idle = || self.since.get() + least <= now && self.rests();
        !self.leaving.get() && (self.phase.get() == Phase::Ended || idle())
    }

    fn overdue(&self, now: Micros) -> bool {
        let most = match self.phase.get() {
            Phase::Idle if self.asked.get() => IDLE_MOST,
            Phase::Answering => IDLE_MOST,
            Phase::Idle | Phase::Head => UNASKED,
            Phase::Open | Phase::Ended => return false,
        };
        !self.leaving.get() && self.since.get() + most <= now && self.stream.quiet()
    }

    /// Has it go at its task's next turn. Its place is free when it has gone, not before: else there would be more sockets
    /// than are counted.
    fn close(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }
}

impl Client for Seat {
    fn is_connected(&self) -> bool {
        let (mut bytes, mut taken) = ([0; 4096], 0);
        // What comes behind a request whose length is known is worthless, as its answer closes the connection.
        let worthless = self.length.get() < u64::MAX;
        while taken
            < if worthless {
                WORTHLESS_MOST
            } else {
                AHEAD_MOST.saturating_sub(self.ahead.borrow().len())
            }
        {
            match self.stream.take(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    taken += count;
                    self.read(&bytes[..count]);
                    if !worthless {
                        self.ahead.borrow_mut().extend_from_slice(&bytes[..count]);
                    }
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return true,
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}

/// All connections.
#[derive(Default)]
pub struct Clients {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    /// Those that were evicted and have not gone yet.
    evicted: Cell<usize>,
    left: Notify,
}

impl Clients {
    /// All that are there, also those that are to go.
    pub fn count(&self) -> usize {
        self.seats.borrow().len()
    }

    /// Those that have been made to go and have not gone yet.
    pub fn evicted(&self) -> usize {
        self.evicted.get()
    }

    /// Is an answer owed to any, or does one wait for its client's close? Requests that are still coming in, and first
    /// ones that may come, count if `heads` says so.
    pub fn busy(&self, heads: bool) -> bool {
        let busy = |seat: &Rc<Seat>| match seat.phase.get() {
            Phase::Ended => true,
            Phase::Open | Phase::Answering => seat.owes(),
            Phase::Head | Phase::Idle => heads && (seat.owes() || seat.is_unasked()),
        };
        self.seats.borrow().values().any(busy)
    }

    /// Resolves when one has gone.
    pub async fn left(&self) {
        self.left.notified().await;
    }

    /// Takes a connection in.
    pub fn enter(
        &self,
        stream: Rc<dyn Stream>,
        descriptor: Option<Descriptor>,
        clock: Clock,
    ) -> Rc<Seat> {
        let number = self.next.replace(self.next.get() + 1);
        let seat = Rc::new(Seat {
            number,
            clock,
            client: stream.peer().unwrap_or(IpAddr::from([0, 0, 0, 0])),
            stream,
            descriptor: Cell::new(descriptor),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            asked: Cell::new(false),
            scan: Cell::new(Scan::Before),
            behind: Cell::new(0),
            length: Cell::new(u64::MAX),
            ahead: RefCell::default(),
            leave: Notify::new(),
            leaving: Cell::new(false),
            evicted: Cell::new(false),
            last: Cell::new(false),
        });
        self.seats.borrow_mut().insert(number, Rc::clone(&seat));
        seat
    }

    /// A connection has ended.
    pub fn leave(&self, seat: &Seat) {
        self.seats.borrow_mut().remove(&seat.number);
        self.evicted
            .set(self.evicted.get() - usize::from(seat.is_evicted()));
        seat.descriptor.take();
        self.left.notify_one();
    }

    /// Has the connection go that has been idle longest, to make room. False if none may go.
    pub fn evict(&self, now: Micros) -> bool {
        let seats = self.seats.borrow();
        let longest = seats
            .values()
            .filter(|s| s.spare(now))
            .min_by_key(|s| s.since.get());
        longest.inspect(|seat| {
            seat.evicted.set(true);
            self.evicted.set(self.evicted.get() + 1);
            seat.close();
        });
        longest.is_some()
    }

    /// One that was to make room has had something come in: another has to go.
    pub fn stays(&self, seat: &Seat) {
        self.evicted
            .set(self.evicted.get() - usize::from(seat.evicted.replace(false)));
    }

    /// Closes those that are overdue.
    pub fn sweep(&self, now: Micros) {
        self.seats
            .borrow()
            .values()
            .filter(|s| s.overdue(now))
            .for_each(|s| s.close());
    }
}

/// The stream of a connection; what comes in on it is noted at its seat.
pub struct Noted {
    socket: Socket,
    seat: Rc<Seat>,
}

impl Noted {
    pub fn new(seat: &Rc<Seat>) -> Self {
        Noted {
            socket: Socket::new(&seat.stream),
            seat: Rc::clone(seat),
        }
    }
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.seat.ahead.borrow_mut();
        if !ahead.is_empty() {
            let count = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..count]);
            ahead.drain(..count);
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        self.seat.read(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for Noted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    // The library comes here when it has nothing left to write.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.seat.written();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::Scan;

    /// Bytes behind a request are told by where its head ends; a library that ends it elsewhere would see others.
    #[test]
    fn the_end_of_a_head_is_found_in_every_spelling() {
        for (text, behind) in [
            ("GET / HTTP/1.1\r\nA: b\r\n\r\nrest", 4),
            ("\r\n\r\nGET / HTTP/1.1\r\n\r\n", 0),
            ("GET / HTTP/1.1\nA: b\n\nxyz", 3),
            ("GET / HTTP/1.1\r\nA: b\n\r\nx", 1),
            ("GET / HTTP/1.1\r\nA: b\r\n", 0),
            ("GET / HTTP/1.1\r\nA: b\r\n\r", 0),
        ] {
            let mut scan = Scan::Before;
            let head = text.bytes().take_while(|&b| {
                let going = scan != Scan::Ended;
                scan = scan.next(b);
                going
            });
            assert_eq!(text.len() - head.count(), behind, "{text:?}");
        }
    }
}
