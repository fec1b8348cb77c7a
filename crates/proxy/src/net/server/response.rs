//! Responses to clients.

use super::request_error::RequestError;
use super::Server;
use crate::log::CLIENTS;
use crate::net::driver::Answer;
use crate::net::memory_budget::HeldBytes;
use crate::net::rules::Rejection;
use crate::net::upstream::{self, UpstreamResponse};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot::error::RecvError;
use tracing::debug;

/// The body of a response, which holds its memory until it has been written.
pub(super) type ResponseBody = Full<HeldBytes>;

impl Server {
    /// The response to a request for which no call is started.
    pub(super) fn error_response(&self, error: RequestError) -> Response<ResponseBody> {
        match error {
            RequestError::Rejected(rejection) => self.rejection(rejection),
            RequestError::Shed => self.shed(0),
            RequestError::AtCapacity => {
                let mut response = self.shed(0);
                if self.clients.count() > self.max_kept_connections {
                    set_connection_close(&mut response);
                }
                response
            }
            error => bad_request(error.status(), error.to_string()),
        }
    }

    /// The response for the final answer of a call.
    pub(super) fn answer_response(
        &self,
        answer: Result<Answer, RecvError>,
    ) -> Response<ResponseBody> {
        match answer {
            Ok(Answer::Served(response)) => self.forward(response),
            Ok(Answer::Rejected { retry_after }) => self.shed(retry_after),
            // Clients take these two statuses to mean that the request was not executed and can safely be retried. That
            // is not known of a failed call.
            Ok(Answer::Failed(Some(response)))
                if ![429, 503].contains(&response.status.as_u16()) =>
            {
                self.forward(response)
            }
            Ok(Answer::Failed(_)) => plain_response(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::DeadlineExceeded) | Err(_) => {
                plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
        }
    }

    /// Converts the response of an endpoint to the response to the client. On the platform only its body and content
    /// type are forwarded.
    fn forward(&self, upstream: UpstreamResponse) -> Response<ResponseBody> {
        let UpstreamResponse {
            status,
            mut headers,
            body,
            memory,
        } = upstream;
        let mut response = Response::new(Full::new(HeldBytes::new(body, memory)));
        if !self.plain_http {
            if let Some(content_type) = headers.remove(header::CONTENT_TYPE) {
                response
                    .headers_mut()
                    .insert(header::CONTENT_TYPE, content_type);
            }
            return response;
        }
        // The response to a HEAD request keeps its `Content-Length`. hyper removes the header where it is not allowed.
        let length = headers.remove(header::CONTENT_LENGTH);
        upstream::strip_hop_by_hop_and_listed(&mut headers);
        if let Some(length) = length.filter(|_| response.body().is_end_stream()) {
            headers.insert(header::CONTENT_LENGTH, length);
        }
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// The response to the health check: whether calls may start, and under which policy.
    pub(super) fn health(&self) -> Response<ResponseBody> {
        let health = match &self.gate {
            None => return plain_response(StatusCode::OK, "ok"),
            Some(gate) => gate.health(),
        };
        let (status, text) = match health {
            Ok(text) => (StatusCode::OK, text),
            Err(text) => (StatusCode::SERVICE_UNAVAILABLE, text),
        };
        plain_response(status, text)
    }

    /// The response to a request that the rules do not admit.
    fn rejection(&self, rejection: Rejection) -> Response<ResponseBody> {
        if rejection.retryable {
            debug!(target: CLIENTS, reason = &*rejection.text, "request rejected, may be retried");
            return self.shed(0);
        }
        let text = Bytes::from(rejection.text.into_owned());
        let mut response = Response::new(Full::new(text.into()));
        *response.status_mut() = rejection.status;
        if rejection.close {
            set_connection_close(&mut response);
        }
        response
    }

    /// The response to a request that is not executed and may be retried after the time in `Retry-After`. If
    /// `retry_after` is 0, the default is used.
    pub(super) fn shed(&self, retry_after: Micros) -> Response<ResponseBody> {
        let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let wait = if retry_after == 0 {
            self.default_retry_after.get()
        } else {
            retry_after
        };
        if wait == 0 {
            // The operator has disabled `Retry-After`.
            return response;
        }
        let seconds = if self.plain_http {
            wait.div_ceil(1_000_000).to_string()
        } else {
            format!("{}.{:03}", wait / 1_000_000, wait / 1_000 % 1_000)
        };
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

fn plain_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let text: Bytes = text.into();
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// A final rejection that closes the connection, as the data that follows may not be a request.
fn bad_request(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = plain_response(status, text);
    set_connection_close(&mut response);
    response
}

/// Makes hyper close the connection after this response.
pub(super) fn set_connection_close(response: &mut Response<ResponseBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Encodes a response that closes the connection, for a request that the HTTP library has not received completely.
pub(super) async fn encode_final(mut response: Response<ResponseBody>) -> Vec<u8> {
    set_connection_close(&mut response);
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map(Collected::to_bytes)
        .unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {}\r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}
