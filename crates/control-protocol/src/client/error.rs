//! Why a call to control has no result.

use crate::authentication::MessageError;
use crate::wire::{rejection, Rejection};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a call to control has no result.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// No replica that leads could be reached in time. The request may have arrived all the same.
    #[error("control can't be reached: {0}")]
    Unavailable(#[from] Unavailable),
    /// A replica answered, and its answer can't be trusted or understood.
    #[error("control answers oddly: {0}")]
    UnexpectedReply(#[from] UnexpectedReply),
    /// Control rejects the request.
    #[error("{}", .0.message)]
    Rejected(Rejection),
}

impl ClientError {
    /// Whether the same call can have a result later, because it has not met a leader.
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
    /// The client was made without replicas.
    #[error("no replica is named")]
    NoReplicas,
    /// The address of a replica is none that can be connected to.
    #[error("{0}")]
    Address(String),
    /// A replica did not answer within the time of a call.
    #[error("{0}: no answer in time")]
    Timeout(SocketAddr),
    /// A call failed, for example because nobody listens.
    #[error("{replica}: {message}")]
    Call {
        /// The replica that was called.
        replica: SocketAddr,
        /// The message of the gRPC status.
        message: String,
    },
    /// A watch of the revision failed: the message of the gRPC status.
    #[error("{0}")]
    Stream(String),
    /// The replica has ended a watch of the revision.
    #[error("the stream of revisions ended")]
    StreamEnded,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnexpectedReply {
    /// It does not pass verification.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The replica did not take this side's message as authentic: the message of the gRPC status.
    #[error("{0}")]
    Denied(String),
    /// It carries the nonce of another request.
    #[error("the answer is to another request")]
    Nonce,
    /// It has no contents that this version knows.
    #[error("an empty answer")]
    Empty,
    /// It is not of the kind that the request calls for, which is named.
    #[error("no {0}")]
    Not(&'static str),
}
