//! The connections of clients: what each is doing, and which may be closed when descriptors are short. What passes on a
//! connection is observed here, as hyper tells of a request only when its whole head is in.

mod head_scan;
mod observed_stream;
mod registry;
#[cfg(test)]
mod tests;

pub use observed_stream::ObservedStream;
pub use registry::ClientConnections;

use super::clock::Clock;
use super::socket::Stream;
use super::upstream::Client;
use super::Descriptor;
use badgerramp_decisions::Micros;
use head_scan::HeadScan;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::io::ReadBuf;
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
/// Most bytes that are read of what comes in after the last answer.
const MAX_LINGER_LEN: usize = 64 * 1024;

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
