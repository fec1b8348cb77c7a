//! The reasons why no call is started for a request.

use crate::net::rules::Rejection;
use hyper::StatusCode;
use thiserror::Error;

/// Why no call is started for a request. [`RequestError::Rejected`], [`RequestError::Shed`] and
/// [`RequestError::AtCapacity`] have their own responses; the display text of any other error is the body of its response.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// The rules do not admit the request.
    #[error("{}", .0.text)]
    Rejected(Rejection),
    /// No call may start now. The client may retry.
    #[error("refused")]
    Shed,
    /// The maximum number of calls is open. The client may retry.
    #[error("refused")]
    AtCapacity,
    /// Another request with the same id is in flight.
    #[error("a request with this X-Request-ID is open")]
    DuplicateId,
    /// The head was not received completely in time.
    #[error("the head did not come in time")]
    HeadTimeout,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body is malformed, or the connection was lost.
    #[error("broken body")]
    BodyBroken,
    /// The body was not received completely in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// Data was received after the request.
    #[error("more bytes than the request has")]
    ExcessData,
}

impl RequestError {
    /// The status of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestError::Rejected(rejection) => rejection.status,
            RequestError::Shed | RequestError::AtCapacity => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyBroken | RequestError::ExcessData => StatusCode::BAD_REQUEST,
            RequestError::HeadTimeout | RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl From<Rejection> for RequestError {
    fn from(rejection: Rejection) -> Self {
        RequestError::Rejected(rejection)
    }
}
