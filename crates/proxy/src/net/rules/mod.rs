//! The rules by which requests are read: what a request's head determines of its call (class, deadline, terms), or the
//! rejection. Two forms of requests are known: the platform's, which is strict, and the sidecar's, which is plain HTTP
//! with the operator's routes.

mod head;
mod platform;
mod sidecar;
mod transition;

pub use platform::Platform;
pub use sidecar::Sidecar;
pub use transition::{FallbackRules, TransitionRules};

use super::upstream::AttemptOptions;
use badgerramp_decisions::{CallPolicy, ClassId, Micros};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::StatusCode;
use std::borrow::Cow;
use std::net::IpAddr;
use std::rc::Rc;

/// An admitted request.
#[derive(Debug)]
pub struct Admitted {
    pub class: ClassId,
    pub tenant: Option<String>,
    /// Its id, where no two requests with one id may be open.
    pub id: Option<HeaderValue>,
    /// From its last byte to its final answer.
    pub time: Micros,
    /// The length of its body, if declared; else it has at most [`Admitted::max_body_len`] bytes.
    pub length: Option<usize>,
    pub max_body_len: usize,
    pub terms: CallPolicy,
    pub options: Rc<AttemptOptions>,
}

/// The answer to a request that is not admitted.
#[derive(Debug)]
pub struct Rejection {
    pub status: StatusCode,
    pub text: Cow<'static, str>,
    /// Its connection is closed: the bytes that follow may not be a request.
    pub close: bool,
    /// It may be retried, and is told when.
    pub retryable: bool,
}

/// A final rejection, which closes the connection.
fn reject(status: StatusCode, text: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection {
        status,
        text: text.into(),
        close: true,
        retryable: false,
    }
}

/// A rejection for now.
fn reject_for_now(text: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        text: text.into(),
        close: false,
        retryable: true,
    }
}

/// The rules by which requests are read.
pub enum Rules {
    Platform(Platform),
    Sidecar(Box<Sidecar>),
    /// While two policies overlap: only what both admit, under the stricter terms of both.
    Transition(Box<TransitionRules>),
    /// While the proxy is cut off from control: only some classes of one policy.
    Fallback(Box<FallbackRules>),
}

impl Rules {
    /// Admits or rejects a request by its head; headers that concern this connection only are removed from it.
    pub fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        match self {
            Rules::Platform(platform) => platform.admit(parts, client),
            Rules::Sidecar(sidecar) => sidecar.admit(parts, client),
            Rules::Transition(transition) => transition.admit(parts, client),
            Rules::Fallback(fallback) => fallback.admit(parts, client),
        }
    }
}
