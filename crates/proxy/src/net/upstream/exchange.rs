//! What passes between the driver and the connections to endpoints: a request, the target of an attempt, and its result.

use badgerramp_decisions::{EndpointId, LoadReport, Micros, Outcome};
use badgerramp_route::ResponseRules;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A request as the client sent it, kept while it may still go to an endpoint.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its target in origin form.
    pub uri: Uri,
    /// Its headers without those that concern the client's connection alone.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
    /// How its attempts are made.
    pub options: Rc<AttemptOptions>,
}

/// Who waits for the response to a request.
pub trait Client {
    /// Whether it is still connected. This asks the system itself, as the runtime may not have seen the close yet.
    fn is_connected(&self) -> bool;
}

/// How attempts are made and their responses classified; set by class or route.
#[derive(Clone, Debug)]
pub struct AttemptOptions {
    /// Time to open a connection, in microseconds.
    pub connect_timeout: Micros,
    /// What a response means.
    pub answers: Arc<ResponseRules>,
    /// Most bytes of a response's body.
    pub max_body_len: usize,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Identifies the process at the address: connections of another generation are not used.
    pub generation: u64,
}

/// A complete response of an endpoint.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers as received.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome as the balancer counts it.
    pub outcome: Outcome,
    /// The load that the endpoint reported with its response.
    pub load: LoadReport,
    /// The response, if there is a usable one.
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
