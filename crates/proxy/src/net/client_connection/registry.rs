//! The registry of client connections, which closes idle and overdue ones.

use super::eviction::{EvictionClass, INCOMPLETE_REQUEST_GRACE};
use super::{ClientConnection, Phase};
use crate::log::CLIENTS;
use crate::net::clock::Clock;
use crate::net::socket::Stream;
use crate::net::{Descriptor, Reservation};
use badgerramp_decisions::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::debug;

/// The registry of client connections.
#[derive(Default)]
pub struct ClientConnections {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// The number of connections that are evicted and not closed yet.
    evicted: Cell<usize>,
    closed: Notify,
}

impl ClientConnections {
    /// The number of connections, including those that are about to close.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// The number of connections that are evicted and not closed yet.
    pub fn evicting(&self) -> usize {
        self.evicted.get()
    }

    /// Whether a client expects a response, or a connection waits for its client to close it. With `include_incoming`,
    /// requests that are still being received and connections that await their first request count as well.
    pub fn has_pending(&self, include_incoming: bool) -> bool {
        let is_pending = |connection: &Rc<ClientConnection>| match connection.phase.get() {
            Phase::Closing => true,
            Phase::ReadingBody | Phase::InFlight | Phase::Responding => connection.owes_response(),
            Phase::ReadingHead | Phase::Idle => {
                include_incoming
                    && (connection.owes_response() || connection.awaits_first_request())
            }
        };
        self.connections.borrow().values().any(is_pending)
    }

    /// Resolves when a connection has been closed.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }

    /// Adds a connection.
    pub fn register(
        &self,
        stream: Rc<dyn Stream>,
        resources: (Option<Descriptor>, Reservation),
        clock: Clock,
    ) -> Rc<ClientConnection> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection::new(id, stream, resources, clock));
        self.connections
            .borrow_mut()
            .insert(id, Rc::clone(&connection));
        connection
    }

    /// Removes a connection and frees its descriptor.
    pub fn unregister(&self, connection: &ClientConnection) {
        self.connections.borrow_mut().remove(&connection.id);
        self.evicted
            .set(self.evicted.get() - usize::from(connection.is_evicted()));
        connection.descriptor.take();
        self.closed.notify_one();
    }

    /// The memory that the connections that are evicted and not closed yet will release, in bytes.
    pub fn evicting_memory(&self) -> usize {
        let connections = self.connections.borrow();
        let evicted = connections.values().filter(|c| c.is_evicted());
        evicted.map(|c| c.held_memory()).sum()
    }

    /// Evicts the connection that has been idle longest. Returns false if no connection is idle.
    pub fn evict_idle(&self, now: Micros) -> bool {
        self.evict_up_to(EvictionClass::Idle, now, 0).is_some()
    }

    /// Evicts the connection whose client loses least by it. `grace` protects clients that have just connected or begun a
    /// request. Returns false if no connection may be evicted.
    pub fn evict(&self, now: Micros, grace: Micros) -> bool {
        self.evict_up_to(EvictionClass::OverdueResponse, now, grace)
            .is_some()
    }

    /// Since when the connection has been idle that has been so longest, of those that may be evicted.
    pub fn longest_idle_since(&self, now: Micros) -> Option<Micros> {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| {
            let class = connection.eviction_class(now, 0);
            class.is_some_and(|class| class <= EvictionClass::Idle)
        });
        idle.map(|connection| connection.waiting_since()).min()
    }

    /// Evicts the connection that has been idle longest, and returns the memory that it holds.
    pub fn evict_idle_for_memory(&self, now: Micros) -> Option<usize> {
        self.evict_up_to(EvictionClass::Idle, now, 0)
    }

    /// Evicts the connection whose client loses least by it, and returns the memory that it holds.
    pub fn evict_for_memory(&self, now: Micros) -> Option<usize> {
        self.evict_up_to(
            EvictionClass::OverdueResponse,
            now,
            INCOMPLETE_REQUEST_GRACE,
        )
    }

    /// Evicts the connection of the lowest class, and of several such the one that has waited longest. Returns the memory
    /// that it holds.
    fn evict_up_to(&self, last_class: EvictionClass, now: Micros, grace: Micros) -> Option<usize> {
        let connections = self.connections.borrow();
        let candidate = |connection: &Rc<ClientConnection>| {
            let class = connection
                .eviction_class(now, grace)
                .filter(|&class| class <= last_class)?;
            Some((class, connection.waiting_since(), Rc::clone(connection)))
        };
        let mut candidates: Vec<_> = connections.values().filter_map(candidate).collect();
        candidates.sort_unstable_by_key(|&(class, since, _)| (class, since));
        // Sockets are checked only as far as needed, as each check is a system call.
        let victim = candidates
            .iter()
            .find(|(.., connection)| connection.can_be_evicted_now());
        let (class, since, connection) = victim?;
        debug!(target: CLIENTS, connection = connection.id(), ?class, since, "connection evicted");
        self.evicted.set(self.evicted.get() + 1);
        connection.evict(*class);
        Some(connection.held_memory())
    }

    /// Lets the heads go on that wait for memory.
    pub fn resume_heads(&self) {
        let connections = self.connections.borrow();
        connections.values().for_each(|c| c.resume_head());
    }

    /// Revokes the eviction of a connection on which data has arrived meanwhile.
    pub fn cancel_eviction(&self, connection: &ClientConnection) {
        self.evicted
            .set(self.evicted.get() - usize::from(connection.cancel_eviction()));
    }

    /// Closes connections with an expired timeout.
    pub fn close_overdue(&self, now: Micros) {
        self.connections
            .borrow()
            .values()
            .filter(|connection| connection.is_overdue(now))
            .for_each(|connection| connection.request_close());
    }
}
