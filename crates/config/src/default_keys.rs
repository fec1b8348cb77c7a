//! Idempotency keys that requests have although their clients sent none.
//!
//! A keyed call without a key is never sent again, as endpoints could not recognize it. An expression that always has the
//! same value, or a default where the key is absent, would let such a call count as keyed.

use badgerramp_expr::{Head, Program, Value};
use badgerramp_route::{PathPattern, Route, Source};
use http::{HeaderMap, Method};
use std::net::{IpAddr, Ipv4Addr};

/// Two clients that requests may come from.
const CLIENTS: [IpAddr; 2] = [
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)),
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)),
];

/// The key that a route's expression reads from requests without one; `None` if it reads none, or another one from each
/// path.
pub(crate) fn default_key(route: &Route, program: &Program) -> Option<String> {
    let Some(Source::Expression(expression)) = &route.key else {
        return None;
    };
    let headers = HeaderMap::new();
    let method = route.methods.first().unwrap_or(&Method::POST);
    let key_at = |(path, client): (&String, IpAddr)| {
        let head = Head {
            method,
            path,
            query: "",
            headers: &headers,
            client,
        };
        match program.evaluate(expression.id, &head) {
            Value::Str(text) if !text.is_empty() => Some(text.into_owned()),
            _ => None,
        }
    };
    let paths = sample_paths(&route.path);
    let [first, second] = [0, 1].map(|index| key_at((&paths[index], CLIENTS[index])));
    first.filter(|key| second.as_ref() == Some(key))
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
