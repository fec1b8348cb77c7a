//! The types of the interface to the driver: a request, the target of an attempt, and its result.

use crate::net::Reservation;
use badgerramp_decisions::{EndpointId, LoadReport, Micros, Outcome};
use badgerramp_route::ResponseRules;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A request of a client, kept as long as it may be sent to an endpoint.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target in origin form.
    pub uri: Uri,
    /// The headers, without those that are not forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The options of its attempts.
    pub options: Rc<AttemptOptions>,
}

/// The client that waits for the response to a request.
pub trait Client {
    /// Whether the client is still connected. This checks the socket itself, as the runtime may not have been notified
    /// of a close yet.
    fn is_connected(&self) -> bool;
}

/// How attempts are made and their responses classified, as set by the class or the route of the request.
#[derive(Clone, Debug)]
pub struct AttemptOptions {
    /// The time limit for opening a connection, in microseconds.
    pub connect_timeout: Micros,
    /// How responses are classified.
    pub answers: Arc<ResponseRules>,
    /// The maximum length of a response body, in bytes.
    pub max_body_len: usize,
}

/// The target of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// Identifies the process at the address: connections of another generation are not used.
    pub generation: u64,
}

/// A complete response of an endpoint.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The memory of the response, unless it is short.
    pub memory: Option<Reservation>,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome for the balancer.
    pub outcome: Outcome,
    /// The load report that came with the response.
    pub load: LoadReport,
    /// The response; `None` if there is no usable one.
    pub response: Option<UpstreamResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            load: LoadReport::default(),
            response: None,
        }
    }
}
