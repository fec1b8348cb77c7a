//! The state of client connections, and which of them may be closed when the server runs out of descriptors.
//!
//! This module observes the data of each connection, as hyper reports a request only once its head is complete. It
//! reads no requests and writes no responses.
//!
//! - `eviction`: which connections may be closed for others, and in which order.
//! - `head_scan`: detection of the end of a request head.
//! - `memory`: the memory that a connection holds, and heads that wait for it.
//! - `observed_stream`: the stream that hyper reads and writes.
//! - `registry`: all connections, with eviction and timeouts.

mod eviction;
mod head_scan;
mod memory;
mod observed_stream;
mod registry;
#[cfg(test)]
mod tests;

pub use eviction::INCOMPLETE_REQUEST_GRACE;
pub use observed_stream::ObservedStream;
pub use registry::ClientConnections;

use super::clock::Clock;
use super::socket::Stream;
use super::upstream::Client;
use super::{Descriptor, Reservation};
use badgerramp_decisions::Micros;
use eviction::EvictionClass;
use head_scan::HeadScan;
use memory::StalledHead;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

/// The time limit for receiving a request completely, in microseconds. For the first request of a connection, it starts
/// when the client connects.
pub const REQUEST_TIMEOUT: Micros = 2_300_000;
/// The time after which a connection is closed if it is idle or its client does not read the response, in microseconds.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// The maximum number of bytes that are read ahead of hyper to detect whether the client is still connected.
const MAX_READ_AHEAD: usize = 32 * 1024;
/// The maximum number of bytes that are read and discarded for the same purpose at once.
const MAX_DISCARDED: usize = 1 << 20;
/// The maximum number of bytes that are read and discarded after the last response.
const MAX_LINGER_LEN: usize = 64 * 1024;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is in flight.
    Idle,
    /// The head of a request is being received.
    ReadingHead,
    /// The body of a request is being received.
    ReadingBody,
    /// A request is in flight: it has been received, and its response is awaited.
    InFlight,
    /// The response is being written.
    Responding,
    /// The write side is shut down, and no further request is read.
    Closing,
}

/// One connection of a client.
pub struct ClientConnection {
    id: u64,
    clock: Clock,
    stream: Rc<dyn Stream>,
    peer: IpAddr,
    descriptor: Cell<Option<Descriptor>>,
    /// The memory of the connection itself: its task and its buffers.
    memory: RefCell<Reservation>,
    /// The memory of the request in flight.
    request_memory: RefCell<Option<Reservation>>,
    phase: Cell<Phase>,
    /// When the current phase began. Up to the first request this stays the time when the client connected.
    phase_since: Cell<Micros>,
    /// When data was received last; before that, when the client connected.
    last_received: Cell<Micros>,
    /// Whether the head of a request has been received on this connection.
    has_requested: Cell<bool>,
    /// When the client stops waiting for the response to the request in flight; 0 if that is not known.
    deadline: Cell<Micros>,
    head_scan: Cell<HeadScan>,
    /// Bytes received of the head.
    head_len: Cell<usize>,
    /// Whether the memory for a long head is reserved.
    has_long_head: Cell<bool>,
    /// Set while a long head waits for memory.
    stalled_head: RefCell<Option<StalledHead>>,
    /// Bytes received after the head.
    bytes_after_head: Cell<u64>,
    /// How many of these bytes belong to the request in flight; `u64::MAX` while that is not known.
    body_len: Cell<u64>,
    /// Data that was read from the socket before hyper requested it.
    read_ahead: RefCell<Vec<u8>>,
    close_signal: Notify,
    /// Requests the request whose body is being received to be rejected.
    rejection_signal: Notify,
    /// Whether the connection has been requested to close.
    close_pending: Cell<bool>,
    /// Set if the connection has been requested to close to free its descriptor for another.
    evicted: Cell<Option<EvictionClass>>,
    /// Whether the next response closes the connection.
    close_after_response: Cell<bool>,
}

impl ClientConnection {
    fn new(
        id: u64,
        stream: Rc<dyn Stream>,
        (descriptor, memory): (Option<Descriptor>, Reservation),
        clock: Clock,
    ) -> Self {
        ClientConnection {
            id,
            clock,
            peer: stream.peer().unwrap_or(IpAddr::from([0, 0, 0, 0])),
            stream,
            descriptor: Cell::new(descriptor),
            memory: RefCell::new(memory),
            request_memory: RefCell::default(),
            phase: Cell::new(Phase::Idle),
            phase_since: Cell::new(clock.now()),
            last_received: Cell::new(clock.now()),
            has_requested: Cell::new(false),
            deadline: Cell::new(0),
            head_scan: Cell::new(HeadScan::Before),
            head_len: Cell::new(0),
            has_long_head: Cell::new(false),
            stalled_head: RefCell::default(),
            bytes_after_head: Cell::new(0),
            body_len: Cell::new(u64::MAX),
            read_ahead: RefCell::default(),
            close_signal: Notify::new(),
            rejection_signal: Notify::new(),
            close_pending: Cell::new(false),
            evicted: Cell::new(None),
            close_after_response: Cell::new(false),
        }
    }

    /// Resolves when the connection is requested to close.
    pub async fn close_requested(&self) {
        self.close_signal.notified().await;
    }

    /// The id of the connection. Ids are assigned in ascending order and never reused.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The address of the client.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Records that the head of a request is complete. Returns when its first byte was received; for the first request,
    /// when the client connected.
    pub fn start_request(&self) -> Micros {
        self.phase.set(Phase::InFlight);
        self.has_requested.set(true);
        self.deadline.set(0);
        self.phase_since.get()
    }

    /// Records that the body of the request is being received.
    pub fn start_body(&self) {
        self.phase.set(Phase::ReadingBody);
    }

    /// Records that the request has been received completely.
    pub fn request_received(&self) {
        self.phase.set(Phase::InFlight);
    }

    /// Records when the client stops waiting for the response to the request in flight.
    pub fn set_deadline(&self, deadline: Micros) {
        self.deadline.set(deadline);
    }

    /// Whether the body of a request is being received.
    pub fn is_reading_body(&self) -> bool {
        self.phase.get() == Phase::ReadingBody
    }

    /// Requests the request whose body is being received to be rejected.
    pub fn reject_body(&self) {
        self.rejection_signal.notify_one();
    }

    /// Resolves when the request whose body is being received is to be rejected.
    pub async fn body_rejected(&self) {
        self.rejection_signal.notified().await;
    }

    /// Records that the response is about to be written.
    pub fn response_ready(&self) {
        self.phase.set(Phase::Responding);
        self.phase_since.set(self.clock.now());
        self.head_scan.set(HeadScan::Before);
        self.head_len.set(0);
        self.bytes_after_head.set(0);
        self.body_len.set(u64::MAX);
    }

    /// Records that the body of the request in flight is complete and has this length.
    pub fn body_complete(&self, length: usize) {
        self.body_len.set(length as u64);
    }

    /// Whether data was received after the request in flight.
    pub fn has_excess_data(&self) -> bool {
        self.bytes_after_head.get() > self.body_len.get()
    }

    /// Whether the client is known to have left.
    pub fn has_left(&self) -> bool {
        self.stream.read_closed()
    }

    /// The length of the head of the request in flight, in bytes.
    pub fn head_len(&self) -> usize {
        self.head_len.get()
    }

    /// Records that the response has been written completely.
    fn response_written(&self) {
        if self.phase.get() == Phase::Responding {
            self.request_memory.take();
            // Data that was received meanwhile belongs to the next request.
            self.phase.set(if self.head_scan.get() == HeadScan::Before {
                Phase::Idle
            } else {
                Phase::ReadingHead
            });
            self.phase_since.set(self.clock.now());
        }
    }

    /// Makes the next response close the connection.
    pub fn set_close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Whether the next response closes the connection.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Whether no byte of a request has been received, including bytes that have not been read from the socket. Only
    /// then may the connection be closed between requests.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle && self.has_nothing_unread()
    }

    /// Whether the head of a request has been received in part, and nothing more has arrived.
    pub fn has_incomplete_head(&self) -> bool {
        self.phase.get() == Phase::ReadingHead && (self.is_stalled() || self.has_nothing_unread())
    }

    /// Whether no received data is left to read, including data that has not been read from the socket.
    fn has_nothing_unread(&self) -> bool {
        self.read_ahead.borrow().is_empty() && self.stream.nothing_to_read()
    }

    /// Whether the client has just connected and no request has been received yet.
    pub fn awaits_first_request(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.has_requested.get()
    }

    /// Whether the client may expect a response: a request is in flight, or is being received or answered within its
    /// time limit.
    pub fn owes_response(&self) -> bool {
        let within = |timeout| self.phase_since.get() + timeout > self.clock.now();
        match self.phase.get() {
            Phase::ReadingBody | Phase::InFlight => true,
            Phase::Responding => within(IDLE_TIMEOUT),
            Phase::ReadingHead => within(REQUEST_TIMEOUT),
            Phase::Idle => !self.is_idle(),
            Phase::Closing => false,
        }
    }

    /// Shuts the write side down, and reads and discards data until the client has closed its side as well. Closing
    /// with unread data would reset the connection, and the client could lose the response before reading it (RFC 9112,
    /// 9.6).
    pub async fn linger(&self) {
        self.phase.set(Phase::Closing);
        self.stalled_head.take();
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

    /// Updates the state for data that was received.
    fn observe(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Idle && !bytes.is_empty() {
            self.phase.set(Phase::ReadingHead);
            if self.has_requested.get() {
                self.phase_since.set(self.clock.now());
            }
        }
        if !bytes.is_empty() {
            self.last_received.set(self.clock.now());
        }
        let mut scan = self.head_scan.get();
        let mut rest = bytes;
        while let (false, Some((&byte, remaining))) =
            (scan == HeadScan::Complete, rest.split_first())
        {
            (scan, rest) = (scan.next(byte), remaining);
        }
        self.head_scan.set(scan);
        self.head_len
            .set(self.head_len.get() + bytes.len() - rest.len());
        self.bytes_after_head
            .set(self.bytes_after_head.get() + rest.len() as u64);
    }

    /// Writes the beginning of a response, as far as the socket takes it without waiting. Only for a connection that is
    /// closed afterwards, and on which no other response is being written.
    pub async fn write_without_waiting(&self, bytes: &[u8]) {
        poll_fn(|cx| {
            // A client that does not take a short response has not read the earlier ones either.
            let _ = self.stream.poll_write(cx, bytes);
            Poll::Ready(())
        })
        .await;
    }

    /// Whether a timeout of the connection has expired: for receiving a request, for writing the response or for being
    /// idle.
    fn is_overdue(&self, now: Micros) -> bool {
        let timeout = match self.phase.get() {
            Phase::Idle if self.has_requested.get() => IDLE_TIMEOUT,
            Phase::Responding => IDLE_TIMEOUT,
            Phase::Idle | Phase::ReadingHead => REQUEST_TIMEOUT,
            Phase::ReadingBody | Phase::InFlight | Phase::Closing => return false,
        };
        !self.close_pending.get()
            && self.phase_since.get() + timeout <= now
            && (self.is_stalled() || self.stream.nothing_to_read())
    }

    /// Requests the task of the connection to close it. The descriptor is not freed before that, as there would be more
    /// open sockets than counted.
    fn request_close(&self) {
        self.close_pending.set(true);
        self.close_signal.notify_one();
    }
}

impl Client for ClientConnection {
    fn is_connected(&self) -> bool {
        // The end may be behind more data than is read below.
        if self.stream.read_closed() {
            return false;
        }
        let mut bytes = [0; 4096];
        let mut taken = 0;
        // Data after a request of known length is discarded, as the response closes the connection.
        let discard = self.body_len.get() < u64::MAX;
        let max_taken = |read_ahead: usize| {
            if discard {
                MAX_DISCARDED
            } else {
                MAX_READ_AHEAD.saturating_sub(read_ahead)
            }
        };
        while taken < max_taken(self.read_ahead.borrow().len()) {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    taken += count;
                    self.observe(&bytes[..count]);
                    if !discard {
                        self.read_ahead
                            .borrow_mut()
                            .extend_from_slice(&bytes[..count]);
                        self.account_buffers();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        // A client that goes on to send does not wait for its response, and its end may be behind what it sends.
        !discard
    }
}
