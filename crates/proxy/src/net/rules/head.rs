//! Reading of a request's head: its target, and the headers that the proxy interprets.

use super::{reject, Rejection};
use badgerramp_decisions::Micros;
use badgerramp_route::Head;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::net::IpAddr;

/// The longest timeout that a client can request, in microseconds. Longer ones are reduced to it.
const MAX_TIMEOUT: Micros = 600_000_000;

/// The view of a request that routes and expressions are evaluated on.
pub(super) fn request_head(parts: &Parts, client: IpAddr) -> Head<'_> {
    let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
    Head {
        method: &parts.method,
        path,
        query,
        headers: &parts.headers,
        client,
    }
}

/// Converts the target of a request to the origin form that routes match on. CONNECT requests are rejected.
pub(super) fn normalize_target(parts: &mut Parts) -> Result<(), Rejection> {
    if parts.method == Method::CONNECT {
        return Err(reject(StatusCode::METHOD_NOT_ALLOWED, "no tunnels"));
    }
    to_origin_form(parts)
}

/// Converts a target in absolute form to origin form; the host that it names replaces the `Host` header (RFC 9112,
/// 3.2.2).
fn to_origin_form(parts: &mut Parts) -> Result<(), Rejection> {
    let Some(authority) = parts.uri.authority() else {
        return Ok(());
    };
    let invalid_target = || reject(StatusCode::BAD_REQUEST, "odd target");
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| invalid_target())?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse::<Uri>().map_err(|_| invalid_target())?;
    parts.headers.insert(header::HOST, host);
    parts.uri = uri;
    Ok(())
}

/// The value of a header that occurs exactly once; otherwise `None`.
pub(super) fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// The value of `Content-Length`; `None` if it is missing, repeated or invalid.
pub(super) fn content_length(headers: &HeaderMap) -> Option<usize> {
    single_header(headers, header::CONTENT_LENGTH.as_str())
        .and_then(|v| v.to_str().ok()?.parse().ok())
}

/// Parses a timeout: a positive number and a unit, `m` for milliseconds or `u` for microseconds.
pub(super) fn parse_timeout(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let timeout = number.parse::<Micros>().ok()?.saturating_mul(scale);
    (timeout > 0).then_some(timeout.min(MAX_TIMEOUT))
}
