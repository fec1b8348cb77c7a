//! Idempotency keys that requests have although their clients sent none.
//!
//! A keyed call without a key is never sent again, as endpoints could not recognize it. A header that all requests have, an
//! expression that always has the same value, or a default where the key is absent, would let such a call count as keyed.

use badgerramp_expr::{Head, Program, Value};
use badgerramp_route::{PathPattern, Route, Source};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::Method;
use std::net::{IpAddr, Ipv4Addr};

/// Two clients that requests may come from.
const CLIENTS: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)),
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)),
];

/// Headers that requests have in any case, whether or not they have a key.
const USUAL_HEADERS: [(HeaderName, HeaderValue); 6] = [
    (header::HOST, HeaderValue::from_static("service.example")),
    (header::USER_AGENT, HeaderValue::from_static("client")),
    (header::ACCEPT, HeaderValue::from_static("*/*")),
    (header::CONNECTION, HeaderValue::from_static("keep-alive")),
    (
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    ),
    (header::CONTENT_LENGTH, HeaderValue::from_static("2")),
];

/// The key that a route reads from requests whose clients sent none; `None` if it reads none, or another one from each path.
pub(crate) fn default_key(route: &Route, program: &Program) -> Option<String> {
    let source = route.key.as_ref()?;
    let headers = HeaderMap::from_iter(USUAL_HEADERS);
    let method = route.methods.first().unwrap_or(&Method::POST);
    let key_at = |(path, client): (&String, IpAddr)| {
        let head = Head {
            method,
            path,
            query: "",
            headers: &headers,
            client,
        };
        read_key(source, program, &head)
    };
    let paths = sample_paths(&route.path);
    let [first, second] = [0, 1].map(|index| key_at((&paths[index], CLIENTS[index])));
    first.filter(|key| second.as_ref() == Some(key))
}

/// The key of a request.
fn read_key(source: &Source, program: &Program, head: &Head<'_>) -> Option<String> {
    let Source::Expression(expression) = source else {
        return source.read(head.headers).map(str::to_owned);
    };
    match program.evaluate(expression.id, head) {
        Value::Str(text) if !text.is_empty() => Some(text.into_owned()),
        _ => None,
    }
}

/// Paths of two requests that differ as far as the route allows. A pattern is taken to allow any path.
fn sample_paths(pattern: &PathPattern) -> [String; 2] {
    match pattern {
        PathPattern::Exact(path) => [path.clone(), path.clone()],
        PathPattern::Prefix(path) => {
            let base = path.trim_end_matches('/');
            ["1", "2"].map(|segment| format!("{base}/{segment}"))
        }
        PathPattern::Regex(_) => ["/a/1", "/b/2"].map(str::to_owned),
    }
}
