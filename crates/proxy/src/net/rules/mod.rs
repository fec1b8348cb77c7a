//! The rules that map the head of a request to its call (class, deadline, policy) or to a rejection.
//!
//! There are two request formats: the strict format of the platform, and plain HTTP with the operator's routes for
//! sidecars.

mod head;
mod platform;
mod sidecar;
mod transition;

pub use platform::Platform;
pub use sidecar::Sidecar;
pub use transition::{FallbackRules, TransitionRules};

use super::upstream::AttemptOptions;
use badgerramp_decisions::{CallPolicy, Class, ClassId, Micros};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::StatusCode;
use std::borrow::Cow;
use std::net::IpAddr;
use std::rc::Rc;

/// An admitted request.
#[derive(Debug)]
pub struct Admitted {
    /// The class of the call.
    pub class: ClassId,
    /// The definition of the class in the rules that admitted the request, if a reload may change it.
    pub definition: Option<Class>,
    /// The name of the tenant, if the request names one.
    pub tenant: Option<String>,
    /// The request id, if ids must be unique among the requests in flight.
    pub id: Option<HeaderValue>,
    /// The time from the last byte of the request to the final answer, in microseconds.
    pub timeout: Micros,
    /// The length of the body; `None` if it is not known before the body has been read.
    pub body_len: Option<usize>,
    /// The maximum length of the body, in bytes.
    pub max_body_len: usize,
    /// The restrictions of the operator for this call.
    pub policy: CallPolicy,
    /// The options of its attempts.
    pub options: Rc<AttemptOptions>,
}

/// The response to a request that is not admitted.
#[derive(Debug)]
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response; for a retryable rejection, the reason in the log.
    pub text: Cow<'static, str>,
    /// Whether the connection is closed after the response, as the data that follows may not be a request.
    pub close: bool,
    /// Whether the client may retry the request; the response then says when.
    pub retryable: bool,
}

/// A final rejection that closes the connection.
fn reject(status: StatusCode, text: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection {
        status,
        text: text.into(),
        close: true,
        retryable: false,
    }
}

/// A temporary rejection: the client may retry the request.
fn reject_temporarily(text: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        text: text.into(),
        close: false,
        retryable: true,
    }
}

/// The rules that requests are admitted under.
pub enum Rules {
    /// The rules of the platform.
    Platform(Platform),
    /// The rules of a sidecar, from one operator's file.
    Sidecar(Box<Sidecar>),
    /// During a policy change: only what both policies admit, under the stricter limits of both.
    Transition(Box<TransitionRules>),
    /// Without a valid lease: only some classes of one policy.
    Fallback(Box<FallbackRules>),
}

impl Rules {
    /// Admits or rejects a request by its head. The sidecar's rules also remove the headers that are not forwarded and
    /// add those that each forwarded request has.
    ///
    /// # Errors
    /// If the request is not admitted.
    pub fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        match self {
            Rules::Platform(platform) => platform.admit(parts, client),
            Rules::Sidecar(sidecar) => sidecar.admit(parts, client),
            Rules::Transition(transition) => transition.admit(parts, client),
            Rules::Fallback(fallback) => fallback.admit(parts, client),
        }
    }
}
