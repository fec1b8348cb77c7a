//! Errors of calls to the control plane.

use crate::authentication::MessageError;
use crate::wire::{rejection, Rejection};
use std::net::SocketAddr;
use thiserror::Error;

/// Error of a call to the control plane.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// No leading replica could be reached in time. The request may have arrived nevertheless.
    #[error("the control plane is unreachable: {0}")]
    Unavailable(#[from] Unavailable),
    /// A replica replied, but its reply is not authentic or not understood.
    #[error("unexpected reply of the control plane: {0}")]
    UnexpectedReply(#[from] UnexpectedReply),
    /// The control plane rejected the request.
    #[error("{}", .0.message)]
    Rejected(Rejection),
}

impl ClientError {
    /// Returns whether a retry can succeed, because no leader has answered the call.
    pub fn is_retryable(&self) -> bool {
        match self {
            ClientError::Unavailable(_) => true,
            ClientError::UnexpectedReply(_) => false,
            ClientError::Rejected(rejection) => rejection.code() == rejection::Code::NotLeader,
        }
    }
}

impl From<MessageError> for ClientError {
    fn from(error: MessageError) -> Self {
        UnexpectedReply::from(error).into()
    }
}

/// Why no replica could be reached.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unavailable {
    /// The client has no replicas to call.
    #[error("no replicas are configured")]
    NoReplicas,
    /// The address of a replica is invalid.
    #[error("{0}")]
    Address(String),
    /// A replica did not reply within the timeout of a call.
    #[error("{0}: no reply before the timeout")]
    Timeout(SocketAddr),
    /// A call failed, for example because the connection was refused.
    #[error("{replica}: {message}")]
    Call {
        /// The replica that was called.
        replica: SocketAddr,
        /// Message of the gRPC status.
        message: String,
    },
    /// A watch of the revision failed. The value is the message of the gRPC status.
    #[error("{0}")]
    Stream(String),
    /// The replica ended a watch of the revision.
    #[error("the replica ended the stream of revisions")]
    StreamEnded,
}

/// Why a reply is unexpected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnexpectedReply {
    /// The reply does not pass verification.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The replica did not accept the request as authentic. The value is the message of the gRPC status.
    #[error("{0}")]
    Denied(String),
    /// The reply has the nonce of another request.
    #[error("the reply belongs to another request")]
    Nonce,
    /// The reply is empty, or its contents are unknown to this version.
    #[error("the reply is empty or unknown to this version")]
    Empty,
    /// The reply is not of the expected kind. The value names what is missing.
    #[error("the reply lacks the expected {0}")]
    Not(&'static str),
}
