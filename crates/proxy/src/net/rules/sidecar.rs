//! The sidecar's form of requests: plain HTTP with the operator's routes.

use super::head::{head, length, plain_form, single, timeout};
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

/// The rules of a sidecar.
pub struct Sidecar {
    config: Config,
    /// The id of each class of the file.
    classes: Vec<ClassId>,
    options_by_route: Vec<Rc<AttemptOptions>>,
    ids: RefCell<Pcg32>,
    no_route: StatusCode,
}

impl Sidecar {
    /// The rules of a file; `classes` are the ids of its classes, in their order.
    pub fn new(config: Config, classes: Vec<ClassId>, seed: u64) -> Self {
        let max_body_len = config.limits.body;
        let options = |r: &Route| AttemptOptions {
            connect_timeout: r.timing.connect,
            answers: Arc::clone(&r.response_rules),
            max_body_len,
        };
        let options_by_route = config
            .routes
            .routes()
            .iter()
            .map(|r| Rc::new(options(r)))
            .collect();
        let no_route =
            StatusCode::from_u16(config.no_route.status).unwrap_or(StatusCode::NOT_FOUND);
        Sidecar {
            config,
            classes,
            options_by_route,
            ids: RefCell::new(Pcg32::seed_from_u64(seed)),
            no_route,
        }
    }

    /// The ids of the classes with these names.
    pub fn class_ids(&self, names: &[String]) -> Vec<ClassId> {
        let named = self
            .config
            .classes
            .iter()
            .zip(&self.classes)
            .filter(|(class, _)| names.contains(&class.name));
        named.map(|(_, &id)| id).collect()
    }

    /// The file that the rules are made of.
    pub fn config(&self) -> &Config {
        &self.config
    }

    pub(super) fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        plain_form(parts)?;
        let evaluation = self.evaluate(parts, client)?;
        self.set_forwarding_headers(parts);
        Ok(evaluation.admitted)
    }

    /// Evaluates a head without changing it.
    pub(super) fn evaluate(&self, parts: &Parts, client: IpAddr) -> Result<Evaluation, Rejection> {
        let found = self.config.routes.find_head(&head(parts, client));
        let Some((place, route)) =
            found.map_err(|fault| reject(StatusCode::BAD_REQUEST, fault.to_string()))?
        else {
            let text = Cow::Owned(self.config.no_route.text.clone());
            // After a body that is not read no further request can be read from the connection.
            let body = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
            let close = body.iter().any(|name| parts.headers.contains_key(name));
            return Err(Rejection {
                status: self.no_route,
                text,
                close,
                retryable: false,
            });
        };
        let class = &self.config.classes[route.class].class;
        let headers = &parts.headers;
        let asked = match (headers.get("x-timeout"), single(headers, "x-timeout")) {
            (None, _) => class.deadline,
            (_, Some(value)) => value
                .to_str()
                .ok()
                .and_then(timeout)
                .ok_or_else(|| reject(StatusCode::BAD_REQUEST, "odd X-Timeout"))?,
            _ => return Err(reject(StatusCode::BAD_REQUEST, "more than one X-Timeout")),
        };
        let chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let length = if chunked {
            None
        } else {
            Some(length(headers).unwrap_or(0))
        };
        if length.is_some_and(|l| l > self.config.limits.body) {
            return Err(reject(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        // Without its key no host could recognise the repeat of a keyed call.
        let guarded = matches!(class.idempotency, Idempotency::Keyed { .. });
        let key = || {
            self.config
                .routes
                .source_value(route.key.as_ref()?, &head(parts, client))
                .map(Cow::into_owned)
        };
        let key = if guarded { key() } else { None };
        let once = guarded && key.is_none();
        let admitted = Admitted {
            class: self.classes[route.class],
            tenant: route
                .tenant
                .as_ref()
                .and_then(|t| self.config.routes.source_value(t, &head(parts, client)))
                .map(Cow::into_owned),
            id: None,
            time: asked
                .saturating_sub(RESPONSE_RESERVE)
                .max(1)
                .min(route.timing.total),
            length,
            max_body_len: self.config.limits.body,
            terms: route.timing.call_policy(once),
            options: Rc::clone(&self.options_by_route[place]),
        };
        Ok(Evaluation {
            admitted,
            repeat: class.idempotency,
            key: key.map_or(IdempotencyKey::None, IdempotencyKey::Value),
        })
    }

    /// Removes the headers that concern this connection only, and adds those that each forwarded request has.
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
            let id = format!("{:016x}", self.ids.borrow_mut().next_u64());
            parts
                .headers
                .extend(HeaderValue::from_str(&id).ok().map(|id| (X_REQUEST_ID, id)));
        }
    }
}

/// What a policy determines of a request, with the key by which hosts recognise a repeat.
pub(super) struct Evaluation {
    pub(super) admitted: Admitted,
    repeat: Idempotency,
    key: IdempotencyKey,
}

impl Evaluation {
    pub(super) fn call(&self) -> ResolvedCall {
        ResolvedCall {
            idempotency: self.repeat,
            key: self.key.clone(),
            timeout: self.admitted.time,
            policy: self.admitted.terms,
            connect_timeout: self.admitted.options.connect_timeout,
            max_body_bytes: self.admitted.max_body_len,
        }
    }
}
