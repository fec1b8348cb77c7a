//! The platform's strict request format, with the classes of the platform's settings.

use super::head::{content_length, parse_timeout, request_head, single_header};
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

/// The maximum length of a request or response body on the platform, in bytes.
const MAX_BODY_LEN: usize = 64 * 1024;

/// A class of the platform.
struct Class {
    name: String,
    method: Method,
    limits: Limits,
}

/// The limits of calls of a class or a route.
struct Limits {
    timing: Timing,
    options: Rc<AttemptOptions>,
}

/// The rules of the platform.
pub struct Platform {
    /// Indexed by class id.
    classes: Vec<Class>,
    /// The routes of the operator's file, and the limits of each.
    routes: Option<(Table, Vec<Limits>)>,
}

impl Platform {
    /// Creates the rules from the platform's settings. An operator's file can restrict them further, by the limits of
    /// each class and by routes.
    pub fn new(
        platform_settings: &PlatformSettings,
        operator_limits: Option<(Vec<Timing>, Table)>,
    ) -> Self {
        let answers = Arc::new(ResponseRules::platform());
        let default_connect_timeout = platform_settings.transport.connect_timeout;
        let limits = |timing: Option<Timing>| {
            let connect_timeout = timing.map_or(default_connect_timeout, |timing| {
                timing.connect.min(default_connect_timeout)
            });
            let options = AttemptOptions {
                connect_timeout,
                answers: Arc::clone(&answers),
                max_body_len: MAX_BODY_LEN,
            };
            let timing = timing.unwrap_or(Timing::UNLIMITED);
            Limits {
                timing,
                options: Rc::new(options),
            }
        };
        let class_timings = operator_limits.as_ref().map(|limits| &limits.0);
        let class =
            |(index, (name, class)): (usize, (&String, &badgerramp_decisions::Class))| Class {
                name: name.clone(),
                method: match class.idempotency {
                    Idempotency::Idempotent => Method::GET,
                    Idempotency::Keyed { .. } | Idempotency::NonIdempotent => Method::POST,
                },
                limits: limits(
                    class_timings
                        .and_then(|timings| timings.get(index))
                        .copied(),
                ),
            };
        let classes = platform_settings
            .classes
            .iter()
            .zip(&platform_settings.settings.classes)
            .enumerate()
            .map(class)
            .collect();
        let routes = operator_limits.map(|(_, table)| {
            let route_limits = table
                .routes()
                .iter()
                .map(|route| limits(Some(route.timing)))
                .collect();
            (table, route_limits)
        });
        Platform { classes, routes }
    }

    /// Admits a request whose head has the platform's format. Any other request never reaches an endpoint.
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
        let Some(index) = self.classes.iter().position(|class| class.name == name) else {
            return Err(reject(StatusCode::NOT_FOUND, "no such class"));
        };
        let class = &self.classes[index];
        if class.method != parts.method {
            return Err(reject(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class",
            ));
        }
        let headers = &parts.headers;
        let timeout = match single_header(headers, "x-timeout")
            .map(|value| value.to_str().ok().and_then(parse_timeout))
        {
            Some(Some(timeout)) => timeout,
            _ => return Err(reject(StatusCode::BAD_REQUEST, "X-Timeout missing or odd")),
        };
        let id = match single_header(headers, "x-request-id") {
            Some(id) if !id.is_empty() => id.clone(),
            _ => {
                return Err(reject(
                    StatusCode::BAD_REQUEST,
                    "X-Request-ID missing or odd",
                ))
            }
        };
        // hyper removes `Content-Length` if there is also a `Transfer-Encoding`, so that conflicts between the two
        // can't be detected here. Only requests that are framed by their length are admitted.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(reject(StatusCode::LENGTH_REQUIRED, "no transfer coding"));
        }
        let body_len = match content_length(headers) {
            Some(length) => length,
            None if parts.method == Method::GET => 0,
            None => return Err(reject(StatusCode::LENGTH_REQUIRED, "a length is wanted")),
        };
        if parts.method == Method::GET && body_len > 0 {
            return Err(reject(StatusCode::BAD_REQUEST, "no body with this method"));
        }
        if body_len > MAX_BODY_LEN {
            return Err(reject(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        let limits = self.limits(index, parts, client);
        Ok(Admitted {
            class: ClassId(index),
            definition: None,
            tenant: headers
                .get("x-tenant-id")
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned),
            id: Some(id),
            timeout: timeout
                .saturating_sub(RESPONSE_RESERVE)
                .max(1)
                .min(limits.timing.total),
            body_len: Some(body_len),
            max_body_len: MAX_BODY_LEN,
            policy: limits.timing.call_policy(false),
            options: Rc::clone(&limits.options),
        })
    }

    /// The limits of a request: those of its route, or else of its class. The class is given by the path, so that a
    /// route of another class does not apply.
    fn limits(&self, class: usize, parts: &Parts, client: IpAddr) -> &Limits {
        let class_limits = &self.classes[class].limits;
        let Some((table, route_limits)) = &self.routes else {
            return class_limits;
        };
        let found = table.find_head(&request_head(parts, client)).ok().flatten();
        let found = found.filter(|(_, route)| route.class == class);
        found.map_or(class_limits, |(index, _)| &route_limits[index])
    }
}
