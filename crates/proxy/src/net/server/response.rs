//! Responses to clients.

use super::Server;
use crate::log::CLIENTS;
use crate::net::rules::Rejection;
use crate::net::upstream::{self, UpstreamResponse};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use tracing::debug;

impl Server {
    /// What a host answered, in the client's framing.
    pub(super) fn forward(&self, upstream: UpstreamResponse) -> Response<Full<Bytes>> {
        let UpstreamResponse {
            status,
            mut headers,
            body,
        } = upstream;
        let mut response = Response::new(Full::new(body));
        if !self.plain_http {
            if let Some(content_type) = headers.remove(header::CONTENT_TYPE) {
                response
                    .headers_mut()
                    .insert(header::CONTENT_TYPE, content_type);
            }
            return response;
        }
        // An answer to HEAD tells the length that a GET would have; the library drops it where nothing may tell one.
        let length = headers.remove(header::CONTENT_LENGTH);
        upstream::strip_hop_by_hop_and_listed(&mut headers);
        if let Some(length) = length.filter(|_| response.body().is_end_stream()) {
            headers.insert(header::CONTENT_LENGTH, length);
        }
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Whether calls are taken, and under which policy.
    pub(super) fn health(&self) -> Response<Full<Bytes>> {
        let health = match &self.gate {
            None => return plain_response(StatusCode::OK, "ok"),
            Some(gate) => gate.health(),
        };
        let (status, text) = match health {
            Ok(text) => (StatusCode::OK, text),
            Err(text) => (StatusCode::SERVICE_UNAVAILABLE, text),
        };
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        response
    }

    pub(super) fn rejection(&self, rejection: Rejection) -> Response<Full<Bytes>> {
        if rejection.retryable {
            debug!(target: CLIENTS, why = &*rejection.text, "turned away for now");
            return self.shed(0);
        }
        let mut response = Response::new(Full::from(rejection.text));
        *response.status_mut() = rejection.status;
        if rejection.close {
            set_connection_close(&mut response);
        }
        response
    }

    /// A refusal tells the client when to come back, in seconds.
    pub(super) fn shed(&self, retry_after: Micros) -> Response<Full<Bytes>> {
        let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let wait = if retry_after == 0 {
            self.default_retry_after.get()
        } else {
            retry_after
        };
        if wait == 0 {
            // The operator wants none.
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

pub(super) fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// What can't be used is turned away, and its connection closed: what follows on it may not be what it seems.
pub(super) fn bad_request(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain_response(status, text);
    set_connection_close(&mut response);
    response
}

pub(super) fn set_connection_close(response: &mut Response<Full<Bytes>>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
