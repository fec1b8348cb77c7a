//! What passes between the owner of the calls and the connections to hosts: a request, where an attempt goes, and
//! how it ended.

use badgerramp_decisions::{EndpointId, LoadReport, Micros, Outcome};
use badgerramp_route::Answers;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A request as the client sent it, kept while it may still go to a host.
#[derive(Debug)]
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    /// None that concerns its client's connection alone.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub manner: Rc<Manner>,
}

/// Who waits for the answer to a request.
pub trait Client {
    /// Is it still connected? This asks the system itself, as the news that it has closed may not have been read.
    fn connected(&self) -> bool;
}

/// How attempts are made and their answers read; set by class or route.
#[derive(Clone, Debug)]
pub struct Manner {
    /// A connection that is not up by then has failed.
    pub connect: Micros,
    /// What an answer means.
    pub answers: Arc<Answers>,
    /// Most bytes of an answer's body.
    pub body_most: usize,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub server: EndpointId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// A host's answer, whole.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub load: LoadReport,
    /// What came back, if it could be read.
    pub reply: Option<Reply>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended {
            outcome,
            load: LoadReport::default(),
            reply: None,
        }
    }
}
