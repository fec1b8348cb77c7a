//! The pool of idle connections to endpoints, and opening of new connections.

use super::connection::{ConnectionResources, ConnectionState, UpstreamConnection};
use super::exchange::AttemptTarget;
use super::idle_failures::IdleFailureStats;
use crate::net::clock::Clock;
use crate::net::memory_budget::{Purpose, UPSTREAM_CONNECTION_COST};
use crate::net::socket::Network;
use crate::net::{Descriptors, MemoryBudget, Reservation};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{EndpointId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// After unsolicited data, the minimum idle time before a connection is reused, in microseconds. A duplicate of the
/// last response arrives some milliseconds after it, and would be read as the response to the next request.
const REUSE_DELAY: Micros = 10_000;
/// How long reuse is delayed after unsolicited data was received on any connection, in microseconds.
const REUSE_DELAY_PERIOD: Micros = 30_000_000;

/// How long a new connection waits for memory.
const MEMORY_PATIENCE: Duration = Duration::from_millis(100);

/// Error code of the system: no descriptor is left in the system.
const ENFILE: i32 = 23;
/// Error code of the system: no descriptor is left for this process.
const EMFILE: i32 = 24;

/// Limits of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// The maximum number of idle connections to one endpoint.
    pub per_endpoint: usize,
    /// The maximum idle time of a connection, in microseconds.
    pub time: Micros,
}

/// The connection pool of all endpoints.
pub struct ConnectionPool {
    /// Idle connections, with the one that was used last at the end. A sorted map, so that the choice of the connection
    /// to evict does not depend on the hashes of ids.
    idle: RefCell<BTreeMap<EndpointId, Vec<UpstreamConnection>>>,
    /// The current generation of each endpoint to which connections are allowed.
    generations: RefCell<BTreeMap<EndpointId, u64>>,
    idle_failures: RefCell<IdleFailureStats>,
    /// Until this time, a connection is reused only after [`REUSE_DELAY`].
    delay_reuse_until: Cell<Micros>,
    network: Rc<dyn Network>,
    pub(in crate::net) memory_budget: Rc<MemoryBudget>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    limits: IdleLimits,
}

impl ConnectionPool {
    /// Creates an empty pool. [`IdleLimits::time`] is reduced if the endpoints' idle timeout in `transport` is shorter.
    pub fn new(
        transport: Transport,
        limits: IdleLimits,
        descriptors: Rc<Descriptors>,
        memory_budget: Rc<MemoryBudget>,
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            generations: RefCell::default(),
            idle_failures: RefCell::default(),
            delay_reuse_until: Cell::new(0),
            network,
            memory_budget,
            descriptors,
            clock,
            limits: IdleLimits {
                // Three quarters of the endpoints' idle timeout, after which an endpoint may close a connection at any
                // time.
                time: (transport.conn_idle / 4 * 3).min(limits.time),
                ..limits
            },
        })
    }

    /// Allows connections to an endpoint, and closes those of any other generation.
    pub fn add_endpoint(&self, endpoint: EndpointId, generation: u64) {
        self.remove_endpoint(endpoint);
        self.generations.borrow_mut().insert(endpoint, generation);
    }

    /// Closes the idle connections to an endpoint; those in use are closed when they are checked in. A draining
    /// endpoint would otherwise keep connections that are not used any more.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.generations.borrow_mut().remove(&endpoint);
    }

    /// Whether there are no idle connections.
    pub fn has_no_idle(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let max_idle_time = self.max_idle_time();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|connections| {
            connections.retain(|connection| connection.idle_since + max_idle_time > now);
        });
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Since when the connection has been idle that has been so longest; `None` if there is none.
    pub fn longest_idle_since(&self) -> Option<Micros> {
        let idle = self.idle.borrow();
        let oldest = idle.values().filter_map(|connections| connections.first());
        oldest.map(|connection| connection.idle_since).min()
    }

    /// Closes the connection that has been idle longest, to free its descriptor. Returns false if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().min_by_key(|connections| {
            connections
                .first()
                .map_or(Micros::MAX, |connection| connection.idle_since)
        });
        match oldest {
            Some(connections) if !connections.is_empty() => {
                connections.remove(0);
                true
            }
            _ => false,
        }
    }

    /// How long a connection has been idle; `None` before its first request.
    pub(super) fn idle_time(&self, connection: &UpstreamConnection) -> Option<Micros> {
        (connection.idle_since > 0).then(|| self.clock.now().saturating_sub(connection.idle_since))
    }

    /// Records whether a connection that had been idle for `idle_time` was lost during its next request.
    pub(super) fn record_reuse(&self, idle_time: Micros, connection_lost: bool) {
        self.idle_failures
            .borrow_mut()
            .record(self.clock.now(), idle_time, connection_lost);
    }

    #[cfg(test)]
    pub(super) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// The idle time after which a connection is not reused.
    fn max_idle_time(&self) -> Micros {
        self.limits
            .time
            .min(self.idle_failures.borrow().max_idle_time())
    }

    /// Takes the idle connection that was used last and is ready for a request. Connections whose reuse is delayed stay
    /// in the pool.
    pub(super) async fn check_out(&self, target: &AttemptTarget) -> Option<UpstreamConnection> {
        let max_idle_time = self.max_idle_time();
        loop {
            let now = self.clock.now();
            let reuse_delay = if now < self.delay_reuse_until.get() {
                REUSE_DELAY
            } else {
                0
            };
            let mut connection = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&target.endpoint)?;
                let position = connections
                    .iter()
                    .rposition(|connection| connection.idle_since + reuse_delay <= now)?;
                connections.remove(position)
            };
            let fresh = connection.idle_since + max_idle_time > now;
            if fresh
                && connection.generation == target.generation
                && self.is_ready(&mut connection).await
            {
                return Some(connection);
            }
        }
    }

    /// Whether the connection is ready for the next request. Unsolicited data is recorded.
    async fn is_ready(&self, connection: &mut UpstreamConnection) -> bool {
        let state = connection.state().await;
        self.record_state(state);
        state == ConnectionState::Ready
    }

    /// Delays the reuse of connections if there was unsolicited data.
    fn record_state(&self, state: ConnectionState) {
        if state == ConnectionState::UnsolicitedData {
            self.record_unsolicited_data();
        }
    }

    /// Delays the reuse of connections, as an endpoint has sent data that is not a response to a request.
    pub(super) fn record_unsolicited_data(&self) {
        self.delay_reuse_until
            .set(self.clock.now() + REUSE_DELAY_PERIOD);
    }

    /// Opens a connection within `timeout` microseconds.
    ///
    /// # Errors
    /// If no connection is opened: the error is the outcome of the attempt.
    pub(super) async fn connect(
        &self,
        target: &AttemptTarget,
        timeout: Micros,
    ) -> Result<UpstreamConnection, Outcome> {
        let descriptor = match self.descriptors.acquire() {
            Some(descriptor) => descriptor,
            // A lack of descriptors is not a failure of the endpoint, so that the outcome is not `ConnectFailed`.
            None if self.evict_idle() => self.descriptors.acquire().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let memory = self.connection_memory().await.ok_or(Outcome::NotSent)?;
        let connect = tokio::time::timeout(
            Duration::from_micros(timeout),
            self.network.connect(target.address),
        );
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict_idle();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let resources = ConnectionResources {
            _descriptor: descriptor,
            _memory: memory,
        };
        let mut connection = UpstreamConnection::open(stream, target.generation, Some(resources))
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        if self.is_ready(&mut connection).await {
            Ok(connection)
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Reserves the memory of a new connection. If it does not fit, the connection that has been idle longest makes room.
    async fn connection_memory(&self) -> Option<Reservation> {
        let (purpose, bytes) = (Purpose::ShortRequest, UPSTREAM_CONNECTION_COST);
        if let Some(memory) = self.memory_budget.reserve(purpose, bytes) {
            return Some(memory);
        }
        self.evict_idle();
        self.memory_budget
            .reserve_within(purpose, bytes, MEMORY_PATIENCE)
            .await
    }

    /// Returns a connection on which no request was sent to the pool, if it can be reused.
    pub(super) async fn return_unused(
        &self,
        endpoint: EndpointId,
        mut connection: UpstreamConnection,
    ) {
        // The socket itself is checked before the next use, by when more data may have arrived.
        let state = connection.poll_state().await;
        self.record_state(state);
        if state == ConnectionState::Ready {
            self.check_in(endpoint, connection);
        }
    }

    /// Returns a connection that is ready for the next request to the pool, if it leads to the current process of its
    /// endpoint.
    pub(super) fn check_in(&self, endpoint: EndpointId, mut connection: UpstreamConnection) {
        if self.generations.borrow().get(&endpoint) != Some(&connection.generation) {
            return;
        }
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint).or_default();
        connections.push(connection);
        if connections.len() > self.limits.per_endpoint {
            connections.remove(0);
        }
    }
}
