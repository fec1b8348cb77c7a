//! The platform's form of requests: strict, with the classes that its settings name.

use super::head::{head, length, single, timeout};
use super::{reject, Admitted, Rejection};
use crate::net::upstream::AttemptOptions;
use badgerramp_config::RESPONSE_RESERVE;
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{ClassId, Idempotency};
use badgerramp_route::{ResponseRules, Table, Timing};
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Most bytes of a request or response body on the platform.
const MAX_BODY: usize = 64 * 1024;

/// A class of the platform.
struct Class {
    name: String,
    method: Method,
    limits: Limits,
}

/// The limits of a class or a route.
struct Limits {
    timing: Timing,
    options: Rc<AttemptOptions>,
}

/// The rules of the platform.
pub struct Platform {
    /// In the order of their ids.
    classes: Vec<Class>,
    /// The operator's routes, if there are any, and the limits of each.
    routes: Option<(Table, Vec<Limits>)>,
}

impl Platform {
    /// The platform's classes as its settings give them, narrowed by the limits of an operator's file.
    pub fn new(facts: &PlatformSettings, narrowed: Option<(Vec<Timing>, Table)>) -> Self {
        let answers = Arc::new(ResponseRules::platform());
        let plain = facts.transport.connect_timeout;
        let make = |timing: Option<Timing>| {
            let connect = timing.map_or(plain, |t| t.connect.min(plain));
            let options = AttemptOptions {
                connect_timeout: connect,
                answers: Arc::clone(&answers),
                max_body_len: MAX_BODY,
            };
            let timing = timing.unwrap_or(Timing::UNLIMITED);
            Limits {
                timing,
                options: Rc::new(options),
            }
        };
        let timings = narrowed.as_ref().map(|n| &n.0);
        let class =
            |(place, (name, class)): (usize, (&String, &badgerramp_decisions::Class))| Class {
                name: name.clone(),
                method: match class.idempotency {
                    Idempotency::Idempotent => Method::GET,
                    Idempotency::Keyed { .. } | Idempotency::NonIdempotent => Method::POST,
                },
                limits: make(timings.and_then(|t| t.get(place)).copied()),
            };
        let classes = facts
            .classes
            .iter()
            .zip(&facts.settings.classes)
            .enumerate()
            .map(class)
            .collect();
        let routes = narrowed.map(|(_, table)| {
            let all = table
                .routes()
                .iter()
                .map(|r| make(Some(r.timing)))
                .collect();
            (table, all)
        });
        Platform { classes, routes }
    }

    /// Admits a request whose head has the platform's form; any other never reaches a host.
    pub(super) fn admit(&self, parts: &Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        let Some(path) = parts
            .uri
            .path()
            .strip_prefix('/')
            .filter(|_| parts.uri.authority().is_none())
        else {
            return Err(reject(StatusCode::BAD_REQUEST, "odd path"));
        };
        let name = path.split('/').next().unwrap_or_default();
        let Some(number) = self.classes.iter().position(|c| c.name == name) else {
            return Err(reject(StatusCode::NOT_FOUND, "no such class"));
        };
        let class = &self.classes[number];
        if class.method != parts.method {
            return Err(reject(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class",
            ));
        }
        let headers = &parts.headers;
        let time = match single(headers, "x-timeout").map(|v| v.to_str().ok().and_then(timeout)) {
            Some(Some(time)) => time,
            _ => return Err(reject(StatusCode::BAD_REQUEST, "X-Timeout missing or odd")),
        };
        let id = match single(headers, "x-request-id") {
            Some(id) if !id.is_empty() => id.clone(),
            _ => {
                return Err(reject(
                    StatusCode::BAD_REQUEST,
                    "X-Request-ID missing or odd",
                ))
            }
        };
        // The library drops the length of a request that bears a transfer coding too, so that the two can't be
        // compared here: a request tells its length, and nothing else of its framing.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(reject(StatusCode::LENGTH_REQUIRED, "no transfer coding"));
        }
        let length = match length(headers) {
            Some(length) => length,
            None if parts.method == Method::GET => 0,
            None => return Err(reject(StatusCode::LENGTH_REQUIRED, "a length is wanted")),
        };
        if parts.method == Method::GET && length > 0 {
            return Err(reject(StatusCode::BAD_REQUEST, "no body with this method"));
        }
        if length > MAX_BODY {
            return Err(reject(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        let limits = self.limits(number, parts, client);
        Ok(Admitted {
            class: ClassId(number),
            tenant: headers
                .get("x-tenant-id")
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned),
            id: Some(id),
            time: time
                .saturating_sub(RESPONSE_RESERVE)
                .max(1)
                .min(limits.timing.total),
            length: Some(length),
            max_body_len: MAX_BODY,
            terms: limits.timing.call_policy(false),
            options: Rc::clone(&limits.options),
        })
    }

    /// The limits of a request. Its class is given by its path: a route of another class does not apply.
    fn limits(&self, class: usize, parts: &Parts, client: IpAddr) -> &Limits {
        let plain = &self.classes[class].limits;
        let Some((table, all)) = &self.routes else {
            return plain;
        };
        let found = table.find_head(&head(parts, client)).ok().flatten();
        let found = found.filter(|(_, route)| route.class == class);
        found.map_or(plain, |(place, _)| &all[place])
    }
}
