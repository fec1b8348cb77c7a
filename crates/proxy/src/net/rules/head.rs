//! Parts of a request's head: its target, and headers with a meaning of their own.

use super::{reject, Rejection};
use badgerramp_decisions::Micros;
use badgerramp_route::Head;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::net::IpAddr;

/// The longest timeout that a client can ask for.
const MAX_TIMEOUT: Micros = 600_000_000;

/// The view of a request that routes and expressions are evaluated on.
pub(super) fn head(parts: &Parts, client: IpAddr) -> Head<'_> {
    let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
    Head {
        method: &parts.method,
        path,
        query,
        headers: &parts.headers,
        client,
    }
}

/// Puts a request into the form that routes are looked up by.
pub(super) fn plain_form(parts: &mut Parts) -> Result<(), Rejection> {
    if parts.method == Method::CONNECT {
        return Err(reject(StatusCode::METHOD_NOT_ALLOWED, "no tunnels"));
    }
    origin_form(parts)
}

/// A target that names a host (RFC 9112, 3.2.2) goes on as one that does not; the host it names takes the place of the
/// header.
fn origin_form(parts: &mut Parts) -> Result<(), Rejection> {
    let Some(authority) = parts.uri.authority() else {
        return Ok(());
    };
    let bad = || reject(StatusCode::BAD_REQUEST, "odd target");
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| bad())?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse::<Uri>().map_err(|_| bad())?;
    parts.headers.insert(header::HOST, host);
    parts.uri = uri;
    Ok(())
}

/// The value of a header that occurs exactly once.
pub(super) fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name).iter();
    all.next().filter(|_| all.next().is_none())
}

/// The declared length of the body.
pub(super) fn length(headers: &HeaderMap) -> Option<usize> {
    single(headers, header::CONTENT_LENGTH.as_str()).and_then(|v| v.to_str().ok()?.parse().ok())
}

/// Parses a timeout: a number and a unit, `m` for milliseconds or `u` for microseconds.
pub(super) fn timeout(text: &str) -> Option<Micros> {
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
    let time = number.parse::<Micros>().ok()?.saturating_mul(scale);
    (time > 0).then_some(time.min(MAX_TIMEOUT))
}
