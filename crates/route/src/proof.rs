//! Responses that are taken for a proof that the endpoint did not execute an attempt, and which of them are none.
//!
//! A call that may not be executed twice is sent again after such a response. So only a response counts that an endpoint
//! sends when it rejects a call before executing it, and never after that.

use crate::common_headers::is_common;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::StatusCode;
use std::fmt;
use thiserror::Error;

/// The header by which endpoints of the platform say that they have not executed a call.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");
/// The only value with which it says so.
const NOT_PROCESSED_VALUE: &str = "1";

/// A response that is taken for a proof that the endpoint did not execute the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotExecutedProof {
    /// Status of the response.
    pub status: u16,
    /// Header that the response must have; with a value, the header must have exactly this value.
    pub header: Option<(HeaderName, Option<HeaderValue>)>,
}

/// For messages.
impl fmt::Display for NotExecutedProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.status;
        match &self.header {
            None => write!(f, "status {status} and no header"),
            Some((name, None)) => write!(f, "status {status} with header {name}"),
            Some((name, Some(value))) => write!(f, "status {status} with header {name}: {value:?}"),
        }
    }
}

/// Why a response does not prove that the endpoint did not execute the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProofWeakness {
    /// Any software on the way may send the status, also after the call has been executed.
    #[error("a status alone does not prove that an attempt never ran: the call could be retried and run twice")]
    StatusAlone,
    /// The status says that something failed while the call was handled.
    #[error("this status is that of a failure, after which the call may have run: it could be retried and run twice")]
    FailureStatus,
    /// Any response may have the header.
    #[error("any response may have this header, also if the call has run: it could be retried and run twice")]
    CommonHeader,
    /// The value says the opposite.
    #[error("with this value the header does not say that the call never ran: it could be retried and run twice")]
    OtherValue,
}

impl NotExecutedProof {
    /// Whether a response with this status and these headers counts as this proof.
    pub(crate) fn matches(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let header = |(name, value): &(HeaderName, Option<HeaderValue>)| match value {
            Some(value) => headers.get_all(name).iter().any(|v| v == value),
            None => headers.contains_key(name),
        };
        status.as_u16() == self.status && self.header.as_ref().is_none_or(header)
    }

    /// Why this is no proof for calls that may not be executed twice; `None` if it is one, as far as status and header
    /// can tell.
    pub fn weakness(&self) -> Option<ProofWeakness> {
        let Some((name, value)) = &self.header else {
            return Some(ProofWeakness::StatusAlone);
        };
        if !is_rejection(self.status) {
            Some(ProofWeakness::FailureStatus)
        } else if is_common(name) {
            Some(ProofWeakness::CommonHeader)
        } else if *name == NOT_PROCESSED && value.as_ref().is_some_and(|v| v != NOT_PROCESSED_VALUE)
        {
            Some(ProofWeakness::OtherValue)
        } else {
            None
        }
    }
}

/// Whether an endpoint may reject a call with this status before executing it. All other statuses of errors (5xx) are
/// those of failures on the way or during the call.
fn is_rejection(status: u16) -> bool {
    (400..500).contains(&status) || [503, 504].contains(&status)
}
