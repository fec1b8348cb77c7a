//! What passes between the owner of the calls and the connections to hosts: a request, where an attempt goes, and
//! how it ended.

use badgerramp_decisions::{Load, Outcome, ServerId};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::{HeaderMap, Method, Uri};
use std::net::SocketAddr;

/// A request as the client sent it, kept while it may still go to a host.
#[derive(Debug)]
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub load: Load,
    /// The whole body of a served answer, and its type.
    pub served: Option<(Bytes, Option<HeaderValue>)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, load: Load::default(), served: None }
    }
}
