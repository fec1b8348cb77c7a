//! The client side: accepts connections, reads requests, hands them to the driver and writes the one final response.
//!
//! It owns the listener and the connections of clients. Whether a call is admitted, forwarded or retried is decided by
//! the rules and the balancer, never here.
//!
//! - `accept`: the accept loop and the graceful shutdown.
//! - `connection`: one connection from accept to close.
//! - `request`, `request_error`: one request, and why it may get no call.
//! - `response`: responses to clients.
//! - `guards`: what is undone when a request ends.

mod accept;
mod connection;
mod guards;
mod request;
mod request_error;
mod response;

use super::admission_gate::AdmissionGate;
use super::client_connection::ClientConnections;
use super::driver::Driver;
use super::rules::Rules;
use super::upstream::ConnectionPool;
use super::{Descriptors, MemoryBudget};
use badgerramp_decisions::Micros;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::time::Instant;

/// During a shutdown: until when requests that are still being received are waited for.
type ShutdownDeadline = Option<Instant>;

/// The server for clients.
pub struct Server {
    /// Takes the calls.
    pub driver: Driver,
    /// The connections to endpoints; idle ones are closed when descriptors are short.
    pub pool: Rc<ConnectionPool>,
    /// The bound on open sockets.
    pub descriptors: Rc<Descriptors>,
    /// The connections of clients.
    pub clients: ClientConnections,
    /// How requests are read; a reload replaces them.
    pub rules: RefCell<Rc<Rules>>,
    /// Where the control plane owns the policy: whether calls may start, and under which rules, in place of `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// Whether responses keep their status and headers, and `Retry-After` is in whole seconds, as in HTTP.
    pub plain_http: bool,
    /// The bound on memory for bodies.
    pub memory_budget: Rc<MemoryBudget>,
    /// Ids of the requests in flight.
    pub in_flight_ids: RefCell<HashSet<HeaderValue>>,
    /// `Retry-After` in microseconds where the balancer gives none; 0 omits it.
    pub default_retry_after: Cell<Micros>,
    /// Most connections that are served. They must leave descriptors for the endpoints: many clients would be accepted
    /// and none of them served otherwise. Clients can hold a third of the descriptors at most: with more idle ones,
    /// requests would find no connection.
    pub max_connections: usize,
    /// Further connections that are accepted only to reject their request and close them.
    pub max_excess_connections: usize,
}
