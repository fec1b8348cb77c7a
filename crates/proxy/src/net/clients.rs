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
const FIRST_REQUEST_GRACE: Micros = 100_000;
/// A connection that has not asked by then is closed in any case, and so is a request that is not in.
pub const REQUEST_TIMEOUT: Micros = 2_300_000;
/// ... and one that nothing has passed on for this long, or whose client does not take its answer.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Most bytes that are read ahead of the HTTP library, and of such as are worthless, to see whether their client has gone.
const MAX_READ_AHEAD: usize = 32 * 1024;
const MAX_DISCARDED: usize = 1 << 20;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is open.
    Idle,
    /// The head of a request is coming in.
    ReadingHead,
    /// A request is open: its body is coming in, or its answer is awaited.
    InFlight,
    /// The answer is given and not yet written whole.
    Responding,
    /// No request is read any more.
    Closing,
}

/// One connection.
pub struct ClientConnection {
    id: u64,
    clock: Clock,
    stream: Rc<dyn Stream>,
    peer: IpAddr,
    descriptor: Cell<Option<Descriptor>>,
    phase: Cell<Phase>,
    /// When the phase began; for a first head, when the client connected.
    since: Cell<Micros>,
    has_requested: Cell<bool>,
    head_scan: Cell<HeadScan>,
    /// Bytes that have come behind the head, and how many belong to the request.
    bytes_after_head: Cell<u64>,
    body_len: Cell<u64>,
    /// What came in behind the open request and was taken from the system before the HTTP library asked for it.
    read_ahead: RefCell<Vec<u8>>,
    close_signal: Notify,
    /// It is to go.
    close_pending: Cell<bool>,
    /// Its place is wanted.
    evicted: Cell<bool>,
    /// The next answer on it is its last.
    close_after_response: Cell<bool>,
}

/// Most bytes that are read of what comes in after the last answer.
const MAX_LINGER_LEN: usize = 64 * 1024;

/// How far the end of a head has come, as the HTTP library sees it: an empty line, which may lack its CR.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadScan {
    /// Empty lines ahead of a head are skipped.
    Before,
    Line,
    LineStart,
    LineStartCr,
    Complete,
}

impl HeadScan {
    fn next(self, byte: u8) -> HeadScan {
        match (self, byte) {
            (HeadScan::Complete, _) | (HeadScan::LineStart | HeadScan::LineStartCr, b'\n') => {
                HeadScan::Complete
            }
            (HeadScan::Before, b'\r' | b'\n') => HeadScan::Before,
            (HeadScan::LineStart, b'\r') => HeadScan::LineStartCr,
            (_, b'\n') => HeadScan::LineStart,
            _ => HeadScan::Line,
        }
    }
}

impl ClientConnection {
    /// Resolves when the connection is to go.
    pub async fn close_requested(&self) {
        self.close_signal.notified().await;
    }

    /// Its id, counted from the start; none returns.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The address that the client connected from.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// The head of a request is in. Tells since when it has been coming.
    pub fn start_request(&self) -> Micros {
        self.phase.set(Phase::InFlight);
        self.has_requested.set(true);
        self.since.get()
    }

    /// The answer is given.
    pub fn response_ready(&self) {
        self.phase.set(Phase::Responding);
        self.since.set(self.clock.now());
        self.head_scan.set(HeadScan::Before);
        self.bytes_after_head.set(0);
        self.body_len.set(u64::MAX);
    }

    /// The body of the open request is in.
    pub fn body_complete(&self, length: usize) {
        self.body_len.set(length as u64);
    }

    /// Has more come than the open request?
    pub fn has_excess_data(&self) -> bool {
        self.bytes_after_head.get() > self.body_len.get()
    }

    /// The answer is written whole.
    fn response_written(&self) {
        if self.phase.get() == Phase::Responding {
            // What has come meanwhile belongs to the next request.
            self.phase.set(if self.head_scan.get() == HeadScan::Before {
                Phase::Idle
            } else {
                Phase::ReadingHead
            });
            self.since.set(self.clock.now());
        }
    }

    /// The next answer is to close the connection.
    pub fn set_close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Does the next answer close the connection?
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Is nothing of a request here, neither read nor still with the system? Only then may it be closed between requests.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
            && self.read_ahead.borrow().is_empty()
            && self.stream.quiet()
    }

    /// Has it never been asked on? Its client has just connected, and its first request may be on its way.
    pub fn awaits_first_request(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.has_requested.get()
    }

    /// Is an answer owed, or still being taken, or a request on its way in that still has time to come?
    pub fn owes_response(&self) -> bool {
        let within = |most| self.since.get() + most > self.clock.now();
        match self.phase.get() {
            Phase::InFlight => true,
            Phase::Responding => within(IDLE_TIMEOUT),
            Phase::ReadingHead => within(REQUEST_TIMEOUT),
            Phase::Idle => !self.is_idle(),
            Phase::Closing => false,
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
        self.phase.set(Phase::Closing);
        self.stream.shutdown();
        let (mut bytes, mut left) = ([0; 1024], MAX_LINGER_LEN);
        while left > 0 {
            let mut buf = ReadBuf::new(&mut bytes);
            let read = poll_fn(|cx| self.stream.poll_read(cx, &mut buf)).await;
            if read.is_err() || buf.filled().is_empty() {
                return;
            }
            left = left.saturating_sub(buf.filled().len());
        }
    }

    fn observe(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Idle && !bytes.is_empty() {
            self.phase.set(Phase::ReadingHead);
            if self.has_requested.get() {
                self.since.set(self.clock.now());
            }
        }
        let (mut scan, mut rest) = (self.head_scan.get(), bytes);
        while let (false, Some((&byte, behind))) = (scan == HeadScan::Complete, rest.split_first())
        {
            (scan, rest) = (scan.next(byte), behind);
        }
        self.head_scan.set(scan);
        self.bytes_after_head
            .set(self.bytes_after_head.get() + rest.len() as u64);
    }

    /// May it go, as another wants its place? Not if its request is on the way or its answer is. One that has its answer
    /// may go at once, if none is idle longer: a crowd that asks once and stays would else keep out all who come.
    fn is_evictable(&self, now: Micros) -> bool {
        let least = if self.has_requested.get() {
            0
        } else {
            FIRST_REQUEST_GRACE
        };
        let idle = || self.since.get() + least <= now && self.is_idle();
        !self.close_pending.get() && (self.phase.get() == Phase::Closing || idle())
    }

    fn is_overdue(&self, now: Micros) -> bool {
        let most = match self.phase.get() {
            Phase::Idle if self.has_requested.get() => IDLE_TIMEOUT,
            Phase::Responding => IDLE_TIMEOUT,
            Phase::Idle | Phase::ReadingHead => REQUEST_TIMEOUT,
            Phase::InFlight | Phase::Closing => return false,
        };
        !self.close_pending.get() && self.since.get() + most <= now && self.stream.quiet()
    }

    /// Has it go at its task's next turn. Its place is free when it has gone, not before: else there would be more sockets
    /// than are counted.
    fn request_close(&self) {
        self.close_pending.set(true);
        self.close_signal.notify_one();
    }
}

impl Client for ClientConnection {
    fn is_connected(&self) -> bool {
        let (mut bytes, mut taken) = ([0; 4096], 0);
        // What comes behind a request whose length is known is worthless, as its answer closes the connection.
        let discard = self.body_len.get() < u64::MAX;
        while taken
            < if discard {
                MAX_DISCARDED
            } else {
                MAX_READ_AHEAD.saturating_sub(self.read_ahead.borrow().len())
            }
        {
            match self.stream.take(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    taken += count;
                    self.observe(&bytes[..count]);
                    if !discard {
                        self.read_ahead
                            .borrow_mut()
                            .extend_from_slice(&bytes[..count]);
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
pub struct ClientConnections {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// Those that were evicted and have not gone yet.
    evicted: Cell<usize>,
    closed: Notify,
}

impl ClientConnections {
    /// All that are there, also those that are to go.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Those that have been made to go and have not gone yet.
    pub fn evicting(&self) -> usize {
        self.evicted.get()
    }

    /// Is an answer owed to any, or does one wait for its client's close? Requests that are still coming in, and first
    /// ones that may come, count if `heads` says so.
    pub fn has_pending(&self, heads: bool) -> bool {
        let busy = |connection: &Rc<ClientConnection>| match connection.phase.get() {
            Phase::Closing => true,
            Phase::InFlight | Phase::Responding => connection.owes_response(),
            Phase::ReadingHead | Phase::Idle => {
                heads && (connection.owes_response() || connection.awaits_first_request())
            }
        };
        self.connections.borrow().values().any(busy)
    }

    /// Resolves when one has gone.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }

    /// Takes a connection in.
    pub fn register(
        &self,
        stream: Rc<dyn Stream>,
        descriptor: Option<Descriptor>,
        clock: Clock,
    ) -> Rc<ClientConnection> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection {
            id,
            clock,
            peer: stream.peer().unwrap_or(IpAddr::from([0, 0, 0, 0])),
            stream,
            descriptor: Cell::new(descriptor),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            has_requested: Cell::new(false),
            head_scan: Cell::new(HeadScan::Before),
            bytes_after_head: Cell::new(0),
            body_len: Cell::new(u64::MAX),
            read_ahead: RefCell::default(),
            close_signal: Notify::new(),
            close_pending: Cell::new(false),
            evicted: Cell::new(false),
            close_after_response: Cell::new(false),
        });
        self.connections
            .borrow_mut()
            .insert(id, Rc::clone(&connection));
        connection
    }

    /// A connection has ended.
    pub fn unregister(&self, connection: &ClientConnection) {
        self.connections.borrow_mut().remove(&connection.id);
        self.evicted
            .set(self.evicted.get() - usize::from(connection.is_evicted()));
        connection.descriptor.take();
        self.closed.notify_one();
    }

    /// Has the connection go that has been idle longest, to make room. False if none may go.
    pub fn evict_idle(&self, now: Micros) -> bool {
        let connections = self.connections.borrow();
        let longest = connections
            .values()
            .filter(|connection| connection.is_evictable(now))
            .min_by_key(|connection| connection.since.get());
        longest.inspect(|connection| {
            connection.evicted.set(true);
            self.evicted.set(self.evicted.get() + 1);
            connection.request_close();
        });
        longest.is_some()
    }

    /// One that was to make room has had something come in: another has to go.
    pub fn cancel_eviction(&self, connection: &ClientConnection) {
        self.evicted
            .set(self.evicted.get() - usize::from(connection.evicted.replace(false)));
    }

    /// Closes those that are overdue.
    pub fn close_overdue(&self, now: Micros) {
        self.connections
            .borrow()
            .values()
            .filter(|connection| connection.is_overdue(now))
            .for_each(|connection| connection.request_close());
    }
}

/// The stream of a connection; what comes in on it is recorded at its connection.
pub struct ObservedStream {
    socket: Socket,
    connection: Rc<ClientConnection>,
}

impl ObservedStream {
    pub fn new(connection: &Rc<ClientConnection>) -> Self {
        ObservedStream {
            socket: Socket::new(&connection.stream),
            connection: Rc::clone(connection),
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = self.connection.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let count = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..count]);
            read_ahead.drain(..count);
            return Poll::Ready(Ok(()));
        }
        drop(read_ahead);
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        self.connection.observe(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    // The library comes here when it has nothing left to write.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.response_written();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::HeadScan;

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
            let mut scan = HeadScan::Before;
            let head = text.bytes().take_while(|&b| {
                let going = scan != HeadScan::Complete;
                scan = scan.next(b);
                going
            });
            assert_eq!(text.len() - head.count(), behind, "{text:?}");
        }
    }
}
