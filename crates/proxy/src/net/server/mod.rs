//! The client side: reads requests, hands them to the driver and writes the one final response.

mod accept;
mod connection;
mod guards;
mod request;
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

/// Once the program stops: until when requests that are still coming in are waited for.
type ShutdownDeadline = Option<Instant>;

pub struct Server {
    pub driver: Driver,
    pub pool: Rc<ConnectionPool>,
    pub descriptors: Rc<Descriptors>,
    pub clients: ClientConnections,
    /// How requests are read; replaced whole.
    pub rules: RefCell<Rc<Rules>>,
    /// Where the policy is the fleet's: what may begin, and by which rules. They stand in for `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// Answers pass with status and headers, and advice is in whole seconds, as HTTP has them.
    pub plain_http: bool,
    /// Bytes of bodies that may be held.
    pub memory_budget: Rc<MemoryBudget>,
    /// Ids of the requests that are open.
    pub in_flight_ids: RefCell<HashSet<HeaderValue>>,
    /// When to come back, where the module gives no advice; 0: none is given.
    pub default_retry_after: Cell<Micros>,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served. The machine lets clients hold a third of the
    /// descriptors at most: with idle ones beyond that, those that ask would find no connection.
    pub max_connections: usize,
    /// Further ones that are taken to be refused and closed.
    pub max_excess_connections: usize,
}
