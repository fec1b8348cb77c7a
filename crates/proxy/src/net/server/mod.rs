//! The server for clients: accepts connections, reads requests, passes them to the driver and writes the responses.
//!
//! This module owns the listener and the connections of clients. The rules and the balancer decide whether a call is
//! admitted, forwarded or retried.
//!
//! - `accept`: the accept loop and the graceful shutdown.
//! - `connection`: one connection, from accept to close.
//! - `request`, `request_error`: one request, and the reasons why no call may be started for it.
//! - `request_ids`: ids of requests that may not be sent again.
//! - `response`: responses to clients.
//! - `guards`: cleanup when a request ends.
//! - `memory_pressure`: eviction of connections when memory is short.

mod accept;
mod connection;
mod guards;
mod memory_pressure;
mod request;
mod request_error;
mod request_ids;
mod response;

pub use accept::LISTEN_BACKLOG;
pub use request_ids::RequestIds;

use super::admission_gate::AdmissionGate;
use super::client_connection::ClientConnections;
use super::driver::Driver;
use super::rules::Rules;
use super::upstream::ConnectionPool;
use super::{Descriptors, MemoryBudget};
use badgerramp_decisions::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// During a shutdown, the time from which connections are closed on which no request is in flight or being received;
/// otherwise `None`.
type ShutdownDeadline = Option<Instant>;

/// The server for clients of the proxy.
pub struct Server {
    /// Executes the calls.
    pub driver: Driver,
    /// The connections to endpoints. Idle ones are closed if the server runs out of descriptors.
    pub pool: Rc<ConnectionPool>,
    /// The limit of open sockets.
    pub descriptors: Rc<Descriptors>,
    /// The connections of clients.
    pub clients: ClientConnections,
    /// The rules that requests are admitted under. A reload replaces them.
    pub rules: RefCell<Rc<Rules>>,
    /// If the control plane manages the policy, decides whether calls may start and under which rules, in place of
    /// `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// Whether requests and responses are plain HTTP: responses keep their status and headers, and `Retry-After` is in
    /// whole seconds. Otherwise they have the platform's format.
    pub plain_http: bool,
    /// The account of memory.
    pub memory_budget: Rc<MemoryBudget>,
    /// The ids of requests that may not be sent to an endpoint again.
    pub request_ids: RequestIds,
    /// The `Retry-After` of rejections for which the balancer gives none, in microseconds; 0 omits the header.
    pub default_retry_after: Cell<Micros>,
    /// The maximum number of connections. It is larger than the maximum number of open calls, so that requests beyond
    /// that can be rejected. At most a third of the descriptors may be used for clients: with more, there would be none
    /// left for connections to endpoints, and requests could not be served.
    pub max_connections: usize,
    /// The number of connections beyond which idle connections are closed, and others after a rejection.
    pub max_kept_connections: usize,
}
