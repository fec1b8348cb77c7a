//! Why a request got no call, or none that was started.

use crate::net::rules::Rejection;
use hyper::StatusCode;
use thiserror::Error;

/// Why a request is answered without a call. [`RequestError::Rejected`] and [`RequestError::Shed`] have responses of
/// their own; the text of any other is the body of its response.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// The rules do not admit it.
    #[error("{}", .0.text)]
    Rejected(Rejection),
    /// No call may start now; the client may retry.
    #[error("refused")]
    Shed,
    /// Its id is that of a request in flight.
    #[error("a request with this X-Request-ID is open")]
    DuplicateId,
    /// Its body has more bytes than are allowed.
    #[error("the body is too large")]
    BodyTooLarge,
    /// Its body is malformed, or its connection broke.
    #[error("broken body")]
    BodyBroken,
    /// Its body was not complete in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// More bytes have come in than the request has.
    #[error("more bytes than the request has")]
    ExcessData,
}

impl RequestError {
    /// The status of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestError::Rejected(rejection) => rejection.status,
            RequestError::Shed => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyBroken | RequestError::ExcessData => StatusCode::BAD_REQUEST,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl From<Rejection> for RequestError {
    fn from(rejection: Rejection) -> Self {
        RequestError::Rejected(rejection)
    }
}
