//! The connections of clients: what each is about, and which may go when room is short. What passes on a
//! connection is noted here, as the HTTP library tells of a request only when its whole head is in.

use super::clock::Clock;
use super::socket::{Socket, Stream};
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
/// ... and one that nothing has passed on for this long.
const IDLE_MOST: Micros = 60_000_000;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is open.
    Idle,
    /// The head of a request is coming in.
    Head,
    /// A request is open: its body is coming in, or its answer is awaited.
    Open,
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
    leave: Notify,
    /// It was answered, and closes, while its request may still be coming in.
    early: Cell<bool>,
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
        self.phase.set(Phase::Idle);
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

    /// The last answer is given before all of its request is in.
    pub fn answered_early(&self) {
        self.early.set(true);
    }

    /// Reads what still comes in after such an answer, until the client has closed: a close with bytes unread breaks the
    /// connection, and may take the answer with it before the client has read it (RFC 9112, 9.6).
    pub async fn linger(&self) {
        let (mut bytes, mut left) = ([0; 1024], LINGER_MOST);
        while self.early.get() && left > 0 {
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

    /// May it go, as another wants its place? Not if its request is on the way. One that has its answer may go at
    /// once, if none is idle longer: a crowd that asks once and stays would else keep out all who come.
    fn spare(&self, now: Micros) -> bool {
        let least = if self.asked.get() { 0 } else { SILENT };
        self.phase.get() == Phase::Idle && self.since.get() + least <= now && self.stream.quiet()
    }

    fn overdue(&self, now: Micros) -> bool {
        let most = match self.phase.get() {
            Phase::Idle if self.asked.get() => IDLE_MOST,
            Phase::Idle | Phase::Head => UNASKED,
            Phase::Open => return false,
        };
        self.since.get() + most <= now && self.stream.quiet()
    }

    fn close(&self) {
        // Its place is free from now on; its task ends at its next turn.
        self.descriptor.take();
        self.leave.notify_one();
    }
}

/// All connections.
#[derive(Default)]
pub struct Clients {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    left: Notify,
}

impl Clients {
    pub fn count(&self) -> usize {
        self.seats.borrow().len()
    }

    /// Resolves when one has gone.
    pub async fn left(&self) {
        self.left.notified().await;
    }

    /// Takes a connection in.
    pub fn enter(&self, stream: Rc<dyn Stream>, descriptor: Option<Descriptor>, clock: Clock) -> Rc<Seat> {
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
            leave: Notify::new(),
            early: Cell::new(false),
        });
        self.seats.borrow_mut().insert(number, Rc::clone(&seat));
        seat
    }

    /// A connection has ended.
    pub fn leave(&self, seat: &Seat) {
        self.seats.borrow_mut().remove(&seat.number);
        self.left.notify_one();
    }

    /// Closes the connection that has been idle longest, to make room. False if none may go.
    pub fn evict(&self, now: Micros) -> bool {
        let mut seats = self.seats.borrow_mut();
        let longest = seats.values().filter(|s| s.spare(now)).min_by_key(|s| s.since.get());
        let Some(number) = longest.map(|s| s.number) else { return false };
        seats.remove(&number).inspect(|seat| seat.close()).is_some()
    }

    /// Closes those that are overdue.
    pub fn sweep(&self, now: Micros) {
        self.seats.borrow().values().filter(|s| s.overdue(now)).for_each(|s| s.close());
    }
}

/// The stream of a connection; what comes in on it is noted at its seat.
pub struct Noted {
    socket: Socket,
    seat: Rc<Seat>,
}

impl Noted {
    pub fn new(seat: &Rc<Seat>) -> Self {
        Noted { socket: Socket::new(&seat.stream), seat: Rc::clone(seat) }
    }
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        self.seat.read(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for Noted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
