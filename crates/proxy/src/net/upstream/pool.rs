//! The idle connections to all endpoints, and how new ones are opened.

use super::connection::{ConnectionState, UpstreamConnection};
use super::exchange::AttemptTarget;
use super::idle_failures::IdleFailureStats;
use super::write_tracking::WriteTrackingStream;
use crate::net::clock::Clock;
use crate::net::socket::{Network, Socket};
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{EndpointId, Micros, Outcome};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Most bytes of a response's head, and of what is read of a body at once.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// After an endpoint has sent data that belongs to no request, a connection is reused only so long (in microseconds)
/// after its last response: a duplicate of that response comes some milliseconds late, and would be read as the
/// response to the next request.
const REUSE_DELAY: Micros = 10_000;
/// For how long endpoints are expected to do so again, in microseconds.
const UNSOLICITED_DATA_MEMORY: Micros = 30_000_000;

/// Error codes of the system for no descriptor left: system-wide, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// How many idle connections are kept, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// Most idle connections to one endpoint.
    pub per_endpoint: usize,
    /// Longest idle time of one.
    pub time: Micros,
}

/// The connections to all endpoints.
pub struct ConnectionPool {
    /// Sorted: which one is evicted first must not depend on how ids are hashed.
    idle: RefCell<BTreeMap<EndpointId, Vec<UpstreamConnection>>>,
    /// The generation of each endpoint that may be connected to.
    generations: RefCell<BTreeMap<EndpointId, u64>>,
    idle_failures: RefCell<IdleFailureStats>,
    /// Until when a connection is left alone for a while between two requests.
    delay_reuse_until: Cell<Micros>,
    network: Rc<dyn Network>,
    pub(super) memory_budget: Rc<MemoryBudget>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    limits: IdleLimits,
}

impl ConnectionPool {
    /// A pool without connections. The endpoints' own idle time in `transport` shortens [`IdleLimits::time`].
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
                // Well ahead of the endpoint, which may close it any time from then on.
                time: (transport.conn_idle / 4 * 3).min(limits.time),
                ..limits
            },
        })
    }

    /// Allows connections to an endpoint. Those of any other generation are closed.
    pub fn add_endpoint(&self, endpoint: EndpointId, generation: u64) {
        self.remove_endpoint(endpoint);
        self.generations.borrow_mut().insert(endpoint, generation);
    }

    /// Closes the idle connections to an endpoint, and those in use when they are checked in. An endpoint that drains
    /// would otherwise keep connections that nothing uses.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.generations.borrow_mut().remove(&endpoint);
    }

    /// Whether no connection is idle.
    pub fn has_no_idle(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let max_idle_time = self.max_idle_time();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|connections| {
            connections.retain(|connection| connection.idle_since + max_idle_time > now)
        });
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the connection that has been idle longest, to free its descriptor. Returns false if none is idle.
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

    /// Records whether a connection that had been idle for this long broke under its next request.
    pub(super) fn record_reuse(&self, idle_time: Micros, connection_lost: bool) {
        self.idle_failures
            .borrow_mut()
            .record(self.clock.now(), idle_time, connection_lost);
    }

    /// The number of idle connections.
    #[cfg(test)]
    pub(super) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// The time after which an idle connection is not used any more.
    fn max_idle_time(&self) -> Micros {
        self.limits
            .time
            .min(self.idle_failures.borrow().max_idle_time())
    }

    /// Takes the idle connection that was used last and is still open. One whose reuse is delayed is left where it is.
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

    /// Whether the next request may be written on this connection. Records unsolicited data.
    async fn is_ready(&self, connection: &mut UpstreamConnection) -> bool {
        let state = connection.state().await;
        self.record_state(state);
        state == ConnectionState::Ready
    }

    /// Delays the reuse of all connections after unsolicited data.
    fn record_state(&self, state: ConnectionState) {
        if state == ConnectionState::UnsolicitedData {
            self.delay_reuse_until
                .set(self.clock.now() + UNSOLICITED_DATA_MEMORY);
        }
    }

    /// Opens a connection within `timeout`. Fails with the outcome of the attempt that asked for it.
    pub(super) async fn connect(
        &self,
        target: &AttemptTarget,
        timeout: Micros,
    ) -> Result<UpstreamConnection, Outcome> {
        let descriptor = match self.descriptors.acquire() {
            Some(descriptor) => descriptor,
            // A lack of descriptors on this side says nothing of the endpoint: not sent, rather than connect failed.
            None if self.evict_idle() => self.descriptors.acquire().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
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
        let all_written = Rc::new(Cell::new(false));
        let tracking_stream = WriteTrackingStream {
            socket: Socket::new(&stream),
            all_written: Rc::clone(&all_written),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_LEN)
            .handshake(TokioIo::new(tracking_stream))
            .await;
        let (sender, http_connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let mut connection = UpstreamConnection {
            sender,
            http_connection,
            stream,
            all_written,
            idle_since: 0,
            generation: target.generation,
            _descriptor: descriptor,
        };
        if self.is_ready(&mut connection).await {
            Ok(connection)
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Takes a connection back after an exchange, if it can be used again.
    pub(super) async fn check_in(&self, endpoint: EndpointId, mut connection: UpstreamConnection) {
        let current = self.generations.borrow().get(&endpoint) == Some(&connection.generation);
        // The kernel is asked before its next use, when there is more to be seen.
        let state = connection.poll_state().await;
        self.record_state(state);
        if !current || state != ConnectionState::Ready {
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
