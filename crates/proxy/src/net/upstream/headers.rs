//! Headers that belong to one connection and are not forwarded.

use hyper::header::{HeaderMap, HeaderName};

/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
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

/// Takes out all that does not pass.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| !is_end_to_end(name))
        .cloned()
        .collect();
    own.iter().for_each(|name| {
        headers.remove(name);
    });
}
