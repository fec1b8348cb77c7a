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

/// Most bytes of an answer's head, and of what is read of a body at once.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// Where hosts have sent what belongs to no request, a connection rests for so long after an answer before it is used again:
/// a second copy of that answer comes some milliseconds late, and would be read as the answer to the next request.
const REUSE_DELAY: Micros = 10_000;
/// For how long hosts are taken to do so again.
const UNSOLICITED_DATA_MEMORY: Micros = 30_000_000;

/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// The connections to all endpoints.
pub struct ConnectionPool {
    /// Sorted: which goes first must not hang on how numbers are hashed.
    pub(super) idle: RefCell<BTreeMap<EndpointId, Vec<UpstreamConnection>>>,
    /// The generation of each host to which something may go.
    current: RefCell<BTreeMap<EndpointId, u64>>,
    pub(super) idle_failures: RefCell<IdleFailureStats>,
    /// Until when connections rest between requests.
    delay_reuse_until: Cell<Micros>,
    network: Rc<dyn Network>,
    pub(super) memory_budget: Rc<MemoryBudget>,
    descriptors: Rc<Descriptors>,
    pub(super) clock: Clock,
    max_idle_time: Micros,
    max_idle_per_endpoint: usize,
}

impl ConnectionPool {
    /// Keeps so many idle connections to a host, for no longer than `idle` or what the hosts' own time allows.
    pub fn new(
        transport: Transport,
        (max_idle_per_endpoint, idle): (usize, Micros),
        (descriptors, memory_budget): (Rc<Descriptors>, Rc<MemoryBudget>),
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            current: RefCell::default(),
            idle_failures: RefCell::default(),
            delay_reuse_until: Cell::new(0),
            network,
            memory_budget,
            descriptors,
            clock,
            // Well ahead of the host, which may close it any time from then on.
            max_idle_time: (transport.conn_idle / 4 * 3).min(idle),
            max_idle_per_endpoint,
        })
    }

    /// Connections of this generation, and of no other, lead to a host from now on.
    pub fn add_endpoint(&self, server: EndpointId, generation: u64) {
        self.remove_endpoint(server);
        self.current.borrow_mut().insert(server, generation);
    }

    /// Nothing leads to a host any more: its idle connections are closed, and those in use when they come back. A
    /// host that drains would otherwise keep connections that nothing uses.
    pub fn remove_endpoint(&self, server: EndpointId) {
        self.idle.borrow_mut().remove(&server);
        self.current.borrow_mut().remove(&server);
    }

    /// Is no connection idle?
    pub fn has_no_idle(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes what has been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let most = self.max_idle_time();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|connections| {
            connections.retain(|connection| connection.idle_since + most > now)
        });
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
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

    fn max_idle_time(&self) -> Micros {
        self.max_idle_time
            .min(self.idle_failures.borrow().max_idle_time())
    }

    /// The idle connection used last, if it is still open; of those that rest, none.
    pub(super) async fn check_out(&self, target: &AttemptTarget) -> Option<UpstreamConnection> {
        let most = self.max_idle_time();
        loop {
            let now = self.clock.now();
            let rest = if now < self.delay_reuse_until.get() {
                REUSE_DELAY
            } else {
                0
            };
            let mut connection = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&target.endpoint)?;
                let place = connections
                    .iter()
                    .rposition(|connection| connection.idle_since + rest <= now)?;
                connections.remove(place)
            };
            let fresh = connection.idle_since + most > now;
            if fresh
                && connection.generation == target.generation
                && self.is_ready(&mut connection).await
            {
                return Some(connection);
            }
        }
    }

    /// May the next request be written on this connection? Notes if a host has sent what nobody asked for.
    async fn is_ready(&self, connection: &mut UpstreamConnection) -> bool {
        let state = connection.state().await;
        self.record_state(state);
        state == ConnectionState::Ready
    }

    fn record_state(&self, state: ConnectionState) {
        if state == ConnectionState::UnsolicitedData {
            self.delay_reuse_until
                .set(self.clock.now() + UNSOLICITED_DATA_MEMORY);
        }
    }

    pub(super) async fn connect(
        &self,
        target: &AttemptTarget,
        most: Micros,
    ) -> Result<UpstreamConnection, Outcome> {
        let descriptor = match self.descriptors.acquire() {
            Some(descriptor) => descriptor,
            // Our own want of sockets says nothing of the host: not sent, rather than no connection.
            None if self.evict_idle() => self.descriptors.acquire().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let connect = tokio::time::timeout(
            Duration::from_micros(most),
            self.network.connect(target.address),
        );
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict_idle();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let all_written = Rc::new(Cell::new(false));
        let stream_with_tracking = WriteTrackingStream {
            socket: Socket::new(&stream),
            all_written: Rc::clone(&all_written),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_LEN)
            .handshake(TokioIo::new(stream_with_tracking))
            .await;
        let (sender, connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let (idle_since, generation) = (0, target.generation);
        let mut connection = UpstreamConnection {
            sender,
            connection,
            stream,
            all_written,
            idle_since,
            generation,
            _descriptor: descriptor,
        };
        if self.is_ready(&mut connection).await {
            Ok(connection)
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    pub(super) async fn check_in(&self, server: EndpointId, mut connection: UpstreamConnection) {
        let current = self.current.borrow().get(&server) == Some(&connection.generation);
        // The kernel is asked before its next use, when there is more to know.
        let state = connection.poll_state().await;
        self.record_state(state);
        if !current || state != ConnectionState::Ready {
            return;
        }
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        connections.push(connection);
        if connections.len() > self.max_idle_per_endpoint {
            connections.remove(0);
        }
    }
}
