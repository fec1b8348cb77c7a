//! Removal of headers that are not forwarded.

use hyper::header::{self, HeaderMap, HeaderName};

/// Whether a header is forwarded. Headers that apply to a single connection (RFC 9110, 7.6.1) and headers that the
/// proxy sets itself are not.
fn is_end_to_end(name: &HeaderName) -> bool {
    !matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "expect"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "x-timeout"
    )
}

/// Removes the headers that are not forwarded.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let removed: Vec<HeaderName> = headers
        .keys()
        .filter(|name| !is_end_to_end(name))
        .cloned()
        .collect();
    for name in &removed {
        headers.remove(name);
    }
}

/// Removes the headers that are not forwarded, and those that the message lists in its `Connection` header.
pub fn strip_hop_by_hop_and_listed(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // These are needed to identify and interpret a message: they must not be removable by listing them.
        .filter(|name| {
            !["host", "idempotency-key", "x-request-id", "content-type"].contains(&name.as_str())
        })
        .collect();
    for name in &listed {
        headers.remove(name);
    }
    strip_hop_by_hop(headers);
}
