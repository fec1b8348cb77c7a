//! The connections of clients: what each is doing, and which may be closed when descriptors are short.
//!
//! The bytes on a connection are observed here, as hyper reports a request only when its whole head is in. This module
//! owns the state of each connection; it reads no request and writes no response.
//!
//! - `head_scan`: the end of a request's head.
//! - `observed_stream`: the stream that hyper reads and writes.
//! - `registry`: all connections, eviction and time-outs.

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

/// How long, in microseconds, a new connection without a request is kept from eviction: clients send their first
/// request as soon as they are connected.
const FIRST_REQUEST_GRACE: Micros = 100_000;
/// Time, in microseconds, for the first request of a connection, and for a request to come in completely.
pub const REQUEST_TIMEOUT: Micros = 2_300_000;
/// Time, in microseconds, after which an idle connection is closed, and one whose client does not read its response.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Most bytes that are read ahead of hyper, to see whether the client is still connected.
const MAX_READ_AHEAD: usize = 32 * 1024;
/// Most bytes that are read and discarded for the same purpose.
const MAX_DISCARDED: usize = 1 << 20;
/// Most bytes that are read after the last response.
const MAX_LINGER_LEN: usize = 64 * 1024;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is in flight.
    Idle,
    /// The head of a request is being received.
    ReadingHead,
    /// A request is in flight: its body is being received, or its response is awaited.
    InFlight,
    /// The response is known and not yet written completely.
    Responding,
    /// Nothing more is written, and no further request is read.
    Closing,
}

/// One connection of a client.
pub struct ClientConnection {
    id: u64,
    clock: Clock,
    stream: Rc<dyn Stream>,
    peer: IpAddr,
    descriptor: Cell<Option<Descriptor>>,
    phase: Cell<Phase>,
    /// When the phase began; for a first head, when the client connected.
    since: Cell<Micros>,
    /// Whether a request has come in on it.
    has_requested: Cell<bool>,
    head_scan: Cell<HeadScan>,
    /// Bytes received after the head.
    bytes_after_head: Cell<u64>,
    /// How many of them belong to the request; `u64::MAX` while that is not known.
    body_len: Cell<u64>,
    /// Bytes received after the request in flight and read from the socket before hyper asked for them.
    read_ahead: RefCell<Vec<u8>>,
    close_signal: Notify,
    /// It has been asked to close.
    close_pending: Cell<bool>,
    /// It was asked to close so that another gets its descriptor.
    evicted: Cell<bool>,
    /// The next response closes it.
    close_after_response: Cell<bool>,
}

impl ClientConnection {
    fn new(id: u64, stream: Rc<dyn Stream>, descriptor: Option<Descriptor>, clock: Clock) -> Self {
        ClientConnection {
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
        }
    }

    /// Resolves when the connection is to be closed.
    pub async fn close_requested(&self) {
        self.close_signal.notified().await;
    }

    /// Its id; ids are counted from the start and never reused.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The address that the client connected from.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Records that the head of a request is complete. Returns when its first byte came in; for the first request, when
    /// the client connected.
    pub fn start_request(&self) -> Micros {
        self.phase.set(Phase::InFlight);
        self.has_requested.set(true);
        self.since.get()
    }

    /// Records that the response is known.
    pub fn response_ready(&self) {
        self.phase.set(Phase::Responding);
        self.since.set(self.clock.now());
        self.head_scan.set(HeadScan::Before);
        self.bytes_after_head.set(0);
        self.body_len.set(u64::MAX);
    }

    /// Records that the body of the request in flight is complete.
    pub fn body_complete(&self, length: usize) {
        self.body_len.set(length as u64);
    }

    /// Whether more bytes have come in than the request in flight has.
    pub fn has_excess_data(&self) -> bool {
        self.bytes_after_head.get() > self.body_len.get()
    }

    /// Records that the response is written completely.
    fn response_written(&self) {
        if self.phase.get() == Phase::Responding {
            // What has come in meanwhile belongs to the next request.
            self.phase.set(if self.head_scan.get() == HeadScan::Before {
                Phase::Idle
            } else {
                Phase::ReadingHead
            });
            self.since.set(self.clock.now());
        }
    }

    /// Has the next response close the connection.
    pub fn set_close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Whether the next response closes the connection.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Whether no byte of a request has come in, neither read nor still in the kernel. Only then may it be closed between
    /// requests.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
            && self.read_ahead.borrow().is_empty()
            && self.stream.quiet()
    }

    /// Whether no request has come in yet: its client has just connected, and the first may be on its way.
    pub fn awaits_first_request(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.has_requested.get()
    }

    /// Whether a response is due or still being written, or a request is being received and still within its time.
    pub fn owes_response(&self) -> bool {
        let within = |timeout| self.since.get() + timeout > self.clock.now();
        match self.phase.get() {
            Phase::InFlight => true,
            Phase::Responding => within(IDLE_TIMEOUT),
            Phase::ReadingHead => within(REQUEST_TIMEOUT),
            Phase::Idle => !self.is_idle(),
            Phase::Closing => false,
        }
    }

    /// Whether it is evicted: nobody waits for its client to close it then.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Shuts the write side down and discards what still comes in until the client has closed as well: a close with bytes
    /// unread resets the connection, and the client may lose the response before it has read it (RFC 9112, 9.6).
    pub async fn linger(&self) {
        self.phase.set(Phase::Closing);
        self.stream.shutdown();
        let mut bytes = [0; 1024];
        let mut left = MAX_LINGER_LEN;
        while left > 0 {
            let mut buf = ReadBuf::new(&mut bytes);
            let read = poll_fn(|cx| self.stream.poll_read(cx, &mut buf)).await;
            if read.is_err() || buf.filled().is_empty() {
                return;
            }
            left = left.saturating_sub(buf.filled().len());
        }
    }

    /// Records bytes that have come in.
    fn observe(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Idle && !bytes.is_empty() {
            self.phase.set(Phase::ReadingHead);
            if self.has_requested.get() {
                self.since.set(self.clock.now());
            }
        }
        let mut scan = self.head_scan.get();
        let mut rest = bytes;
        while let (false, Some((&byte, behind))) = (scan == HeadScan::Complete, rest.split_first())
        {
            (scan, rest) = (scan.next(byte), behind);
        }
        self.head_scan.set(scan);
        self.bytes_after_head
            .set(self.bytes_after_head.get() + rest.len() as u64);
    }

    /// Whether it may be closed in favour of another: not while a request is being received or answered. One that has had
    /// its response may be closed at once: many clients that send one request and stay would otherwise keep out all
    /// others.
    fn is_evictable(&self, now: Micros) -> bool {
        let grace = if self.has_requested.get() {
            0
        } else {
            FIRST_REQUEST_GRACE
        };
        let idle = || self.since.get() + grace <= now && self.is_idle();
        !self.close_pending.get() && (self.phase.get() == Phase::Closing || idle())
    }

    /// Whether its time for a request, for its response or for being idle is over.
    fn is_overdue(&self, now: Micros) -> bool {
        let timeout = match self.phase.get() {
            Phase::Idle if self.has_requested.get() => IDLE_TIMEOUT,
            Phase::Responding => IDLE_TIMEOUT,
            Phase::Idle | Phase::ReadingHead => REQUEST_TIMEOUT,
            Phase::InFlight | Phase::Closing => return false,
        };
        !self.close_pending.get() && self.since.get() + timeout <= now && self.stream.quiet()
    }

    /// Asks its task to close it. Its descriptor is free once it is closed, not before: there would be more open sockets
    /// than are counted otherwise.
    fn request_close(&self) {
        self.close_pending.set(true);
        self.close_signal.notify_one();
    }
}

impl Client for ClientConnection {
    fn is_connected(&self) -> bool {
        let mut bytes = [0; 4096];
        let mut taken = 0;
        // What follows a request of known length is discarded, as the response closes the connection.
        let discard = self.body_len.get() < u64::MAX;
        let max_taken = |read_ahead: usize| {
            if discard {
                MAX_DISCARDED
            } else {
                MAX_READ_AHEAD.saturating_sub(read_ahead)
            }
        };
        while taken < max_taken(self.read_ahead.borrow().len()) {
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}
