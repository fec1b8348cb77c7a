//! All connections of clients, and which of them are closed when descriptors are short.

use super::head_scan::HeadScan;
use super::{ClientConnection, Phase};
use crate::net::clock::Clock;
use crate::net::socket::Stream;
use crate::net::Descriptor;
use badgerramp_decisions::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::Notify;

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
