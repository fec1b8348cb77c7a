//! Searches for a request that satisfies two conditions, built from the literals in the conditions. The search is a
//! heuristic and may miss such a request.

use crate::program::{Node, Program};
use crate::value::Head;
use crate::Id;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// A request that [`find_common_request`] has built.
#[derive(Clone, Debug, PartialEq)]
pub struct ExampleRequest {
    /// The method of the request.
    pub method: Method,
    /// The path of the request.
    pub path: String,
    /// The query of the request.
    pub query: String,
    /// The headers of the request.
    pub headers: HeaderMap,
}

impl ExampleRequest {
    /// Formats the request for messages.
    pub fn display(&self) -> String {
        let query_mark = if self.query.is_empty() { "" } else { "?" };
        let headers = self
            .headers
            .iter()
            .map(|(n, v)| format!(", {n}: {}", v.to_str().unwrap_or_default()));
        format!(
            "{} {}{query_mark}{}{}",
            self.method,
            self.path,
            self.query,
            headers.collect::<String>()
        )
    }
}

/// The most candidate requests that each condition changes.
const MAX_CANDIDATES: usize = 64;

/// Searches for a request that satisfies both conditions, starting with the given paths and methods.
pub fn find_common_request(
    program: &Program,
    (a, b): (Id, Id),
    paths: &[String],
    methods: &[Method],
) -> Option<ExampleRequest> {
    let mut candidates = Vec::new();
    for path in paths {
        for method in methods {
            let (method, path) = (method.clone(), path.clone());
            candidates.push(ExampleRequest {
                method,
                path,
                query: String::new(),
                headers: HeaderMap::new(),
            });
        }
    }
    // Each condition in turn changes each candidate so that it is more likely to be satisfied.
    for id in [a, b] {
        let mut changed = Vec::new();
        for request in candidates.iter().take(MAX_CANDIDATES) {
            changed.push(request.clone());
            let mut variants = vec![request.clone()];
            program.satisfy(id, true, &mut variants);
            changed.extend(variants);
        }
        candidates = changed;
    }
    candidates.into_iter().find(|request| {
        let ExampleRequest {
            method,
            path,
            query,
            headers,
        } = request;
        let head = Head {
            method,
            path,
            query,
            headers,
            client: [127, 0, 0, 1].into(),
        };
        program.holds(a, &head) && program.holds(b, &head)
    })
}

impl Program {
    /// Changes requests so that a condition is more likely to have the expected result. An `or` adds a variant of each
    /// request for its second operand.
    fn satisfy(&self, id: Id, expected: bool, requests: &mut Vec<ExampleRequest>) {
        match (&self.nodes[id.0 as usize], expected) {
            (Node::Not(a), _) => self.satisfy(*a, !expected, requests),
            (Node::And(a, b), true) | (Node::Or(a, b), false) => {
                self.satisfy(*a, expected, requests);
                self.satisfy(*b, expected, requests);
            }
            (Node::Or(a, b), true) | (Node::And(a, b), false) => {
                let mut variants = requests.clone();
                self.satisfy(*a, expected, requests);
                if requests.len() < MAX_CANDIDATES {
                    self.satisfy(*b, expected, &mut variants);
                    requests.extend(variants);
                }
            }
            (Node::Equal(a, b), true) => {
                for (input, literal) in [(a, b), (b, a)] {
                    if let Node::Str(text) = &self.nodes[literal.0 as usize] {
                        self.assign(*input, text, requests);
                    }
                }
            }
            (Node::InStrings(a, all), true) => {
                if let Some(first) = all.first() {
                    self.assign(*a, first, requests);
                }
            }
            (Node::StartsWith(a, b) | Node::EndsWith(a, b) | Node::Contains(a, b), true) => {
                if let Node::Str(text) = &self.nodes[b.0 as usize] {
                    self.assign(*a, text, requests);
                }
            }
            (Node::Present(a), true) => self.assign(*a, "1", requests),
            _ => {}
        }
    }

    /// Assigns a string to the input behind a node. Defaults, `lower` and `trim` are passed through.
    fn assign(&self, id: Id, text: &str, requests: &mut [ExampleRequest]) {
        match &self.nodes[id.0 as usize] {
            Node::Default(a, _) | Node::Lower(a) | Node::Trim(a) => self.assign(*a, text, requests),
            Node::Header(name) => {
                if let Ok(value) = HeaderValue::from_str(text) {
                    requests
                        .iter_mut()
                        .for_each(|r| drop(r.headers.insert(name.clone(), value.clone())));
                }
            }
            Node::Cookie(name) => {
                if let Ok(value) = HeaderValue::from_str(&format!("{name}={text}")) {
                    requests.iter_mut().for_each(|r| {
                        drop(
                            r.headers
                                .insert(HeaderName::from_static("cookie"), value.clone()),
                        );
                    });
                }
            }
            Node::Query(name) => requests
                .iter_mut()
                .for_each(|r| r.query = format!("{name}={text}")),
            Node::Method => {
                if let Ok(method) = text.parse::<Method>() {
                    requests.iter_mut().for_each(|r| r.method = method.clone());
                }
            }
            Node::Path if text.starts_with('/') => {
                requests.iter_mut().for_each(|r| r.path = text.to_owned());
            }
            _ => {}
        }
    }
}
