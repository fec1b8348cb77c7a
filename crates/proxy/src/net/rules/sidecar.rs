//! The request format of sidecars: plain HTTP with the operator's routes.

use super::head::{content_length, normalize_target, parse_timeout, request_head, single_header};
use super::{reject, Admitted, Rejection};
use crate::net::upstream::{strip_hop_by_hop_and_listed, AttemptOptions};
use badgerramp_config::{Config, RESPONSE_RESERVE};
use badgerramp_decisions::{ClassId, Idempotency};
use badgerramp_policy::{IdempotencyKey, ResolvedCall};
use badgerramp_route::Route;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::StatusCode;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::borrow::Cow;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The rules of one operator's file.
pub struct Sidecar {
    config: Config,
    /// The id of each class of the file, in the order of the file.
    class_ids: Vec<ClassId>,
    options_by_route: Vec<Rc<AttemptOptions>>,
    /// Generates ids for requests without one.
    request_ids: RefCell<Pcg32>,
    /// The status of the response to a request that no route matches.
    no_route_status: StatusCode,
}

impl Sidecar {
    /// Creates the rules of an operator's file. `class_ids` are the ids of its classes, in the order of the file;
    /// `seed` seeds the generator of request ids.
    pub fn new(config: Config, class_ids: Vec<ClassId>, seed: u64) -> Self {
        let max_body_len = config.limits.body;
        let options = |route: &Route| AttemptOptions {
            connect_timeout: route.timing.connect,
            answers: Arc::clone(&route.response_rules),
            max_body_len,
        };
        let options_by_route = config
            .routes
            .routes()
            .iter()
            .map(|route| Rc::new(options(route)))
            .collect();
        let no_route_status =
            StatusCode::from_u16(config.no_route.status).unwrap_or(StatusCode::NOT_FOUND);
        Sidecar {
            config,
            class_ids,
            options_by_route,
            request_ids: RefCell::new(Pcg32::seed_from_u64(seed)),
            no_route_status,
        }
    }

    /// The ids of the classes with these names.
    pub fn class_ids(&self, names: &[String]) -> Vec<ClassId> {
        let named = self
            .config
            .classes
            .iter()
            .zip(&self.class_ids)
            .filter(|(class, _)| names.contains(&class.name));
        named.map(|(_, &id)| id).collect()
    }

    /// The operator's file that the rules were created from.
    pub fn config(&self) -> &Config {
        &self.config
    }

    pub(super) fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        normalize_target(parts)?;
        let evaluation = self.evaluate(parts, client)?;
        self.set_forwarding_headers(parts);
        Ok(evaluation.admitted)
    }

    /// Evaluates a head without modifying it.
    pub(super) fn evaluate(&self, parts: &Parts, client: IpAddr) -> Result<Evaluation, Rejection> {
        let found = self.config.routes.find_head(&request_head(parts, client));
        let Some((route_index, route)) =
            found.map_err(|error| reject(StatusCode::BAD_REQUEST, error.to_string()))?
        else {
            let text = Cow::Owned(self.config.no_route.text.clone());
            // If there is a body, it is not read, so that no further request can be read from the connection.
            let body_headers = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
            let close = body_headers
                .iter()
                .any(|name| parts.headers.contains_key(name));
            return Err(Rejection {
                status: self.no_route_status,
                text,
                close,
                retryable: false,
            });
        };
        let class = &self.config.classes[route.class].class;
        let headers = &parts.headers;
        let requested_timeout = match (
            headers.get("x-timeout"),
            single_header(headers, "x-timeout"),
        ) {
            (None, _) => class.deadline,
            (_, Some(value)) => value
                .to_str()
                .ok()
                .and_then(parse_timeout)
                .ok_or_else(|| reject(StatusCode::BAD_REQUEST, "odd X-Timeout"))?,
            _ => return Err(reject(StatusCode::BAD_REQUEST, "more than one X-Timeout")),
        };
        let chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let body_len = if chunked {
            None
        } else {
            Some(content_length(headers).unwrap_or(0))
        };
        if body_len.is_some_and(|length| length > self.config.limits.body) {
            return Err(reject(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        // Without an idempotency key, endpoints can't recognise a repeat, so that the call counts as non-idempotent.
        let is_keyed = matches!(class.idempotency, Idempotency::Keyed { .. });
        let key = || {
            self.config
                .routes
                .source_value(route.key.as_ref()?, &request_head(parts, client))
                .map(Cow::into_owned)
        };
        let key = if is_keyed { key() } else { None };
        let lacks_key = is_keyed && key.is_none();
        let admitted = Admitted {
            class: self.class_ids[route.class],
            definition: Some(*class),
            tenant: route
                .tenant
                .as_ref()
                .and_then(|tenant| {
                    self.config
                        .routes
                        .source_value(tenant, &request_head(parts, client))
                })
                .map(Cow::into_owned),
            id: None,
            timeout: requested_timeout
                .saturating_sub(RESPONSE_RESERVE)
                .max(1)
                .min(route.timing.total),
            body_len,
            max_body_len: self.config.limits.body,
            policy: route.timing.call_policy(lacks_key),
            options: Rc::clone(&self.options_by_route[route_index]),
        };
        Ok(Evaluation {
            admitted,
            idempotency: class.idempotency,
            key: key.map_or(IdempotencyKey::None, IdempotencyKey::Value),
        })
    }

    /// Removes the headers that are not forwarded, and adds those that each forwarded request has.
    pub(super) fn set_forwarding_headers(&self, parts: &mut Parts) {
        strip_hop_by_hop_and_listed(&mut parts.headers);
        parts
            .headers
            .append(header::VIA, HeaderValue::from_static("1.1 badgerramp"));
        if !parts.headers.contains_key(header::HOST) {
            parts
                .headers
                .insert(header::HOST, HeaderValue::from_static("localhost"));
        }
        if !parts.headers.contains_key(X_REQUEST_ID) {
            let id = format!("{:016x}", self.request_ids.borrow_mut().next_u64());
            parts
                .headers
                .extend(HeaderValue::from_str(&id).ok().map(|id| (X_REQUEST_ID, id)));
        }
    }
}

/// What a policy determines for a request, including the key by which endpoints recognise a repeat.
pub(super) struct Evaluation {
    pub(super) admitted: Admitted,
    idempotency: Idempotency,
    key: IdempotencyKey,
}

impl Evaluation {
    pub(super) fn resolved_call(&self) -> ResolvedCall {
        ResolvedCall {
            idempotency: self.idempotency,
            key: self.key.clone(),
            timeout: self.admitted.timeout,
            policy: self.admitted.policy,
            connect_timeout: self.admitted.options.connect_timeout,
            max_body_bytes: self.admitted.max_body_len,
        }
    }
}
