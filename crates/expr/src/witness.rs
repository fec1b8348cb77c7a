//! A request that two conditions both take, where one can be found: from the texts that they are written with.

use crate::program::{Node, Program};
use crate::value::Head;
use crate::Id;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// A request that was made up.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
}

impl Request {
    /// As it is shown to people.
    pub fn show(&self) -> String {
        let mark = if self.query.is_empty() { "" } else { "?" };
        let headers = self
            .headers
            .iter()
            .map(|(n, v)| format!(", {n}: {}", v.to_str().unwrap_or_default()));
        format!(
            "{} {}{mark}{}{}",
            self.method,
            self.path,
            self.query,
            headers.collect::<String>()
        )
    }
}

/// Requests that are tried at the most.
const TRIES: usize = 64;

/// Looks for a request that both take, on one of these paths and by one of these methods.
pub fn both(
    program: &Program,
    (a, b): (Id, Id),
    paths: &[String],
    methods: &[Method],
) -> Option<Request> {
    let mut tries = Vec::new();
    for path in paths {
        for method in methods {
            let (method, path) = (method.clone(), path.clone());
            tries.push(Request {
                method,
                path,
                query: String::new(),
                headers: HeaderMap::new(),
            });
        }
    }
    // Each condition moves each try towards itself, in turn.
    for id in [a, b] {
        let mut moved = Vec::new();
        for request in tries.iter().take(TRIES) {
            moved.push(request.clone());
            let mut towards = vec![request.clone()];
            program.towards(id, true, &mut towards);
            moved.extend(towards);
        }
        tries = moved;
    }
    tries.into_iter().find(|request| {
        let Request {
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
    /// Changes requests so that a condition may come out as wanted; `or` gives each a second one.
    fn towards(&self, id: Id, wanted: bool, requests: &mut Vec<Request>) {
        match (&self.nodes[id.0 as usize], wanted) {
            (Node::Not(a), _) => self.towards(*a, !wanted, requests),
            (Node::And(a, b), true) | (Node::Or(a, b), false) => {
                self.towards(*a, wanted, requests);
                self.towards(*b, wanted, requests);
            }
            (Node::Or(a, b), true) | (Node::And(a, b), false) => {
                let mut other = requests.clone();
                self.towards(*a, wanted, requests);
                if requests.len() < TRIES {
                    self.towards(*b, wanted, &mut other);
                    requests.extend(other);
                }
            }
            (Node::Equal(a, b), true) => {
                for (from, to) in [(a, b), (b, a)] {
                    if let Node::Str(text) = &self.nodes[to.0 as usize] {
                        self.set(*from, text, requests);
                    }
                }
            }
            (Node::InTexts(a, all), true) => {
                if let Some(first) = all.first() {
                    self.set(*a, first, requests);
                }
            }
            (Node::StartsWith(a, b) | Node::EndsWith(a, b) | Node::Contains(a, b), true) => {
                if let Node::Str(text) = &self.nodes[b.0 as usize] {
                    self.set(*a, text, requests);
                }
            }
            (Node::Present(a), true) => self.set(*a, "1", requests),
            _ => {}
        }
    }

    /// Gives an input a text, by way of defaults and small letters.
    fn set(&self, id: Id, text: &str, requests: &mut [Request]) {
        match &self.nodes[id.0 as usize] {
            Node::Default(a, _) | Node::Lower(a) | Node::Trim(a) => self.set(*a, text, requests),
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
