//! Whether the endpoints tell the scope in which they deduplicate the calls of a keyed class.

use crate::file::Class;
use crate::upstream::{Endpoint, Upstream};
use badgerramp_decisions::{DedupScope, Idempotency};
use thiserror::Error;

/// A keyed class whose calls are deduplicated within a scope that an endpoint does not tell. Endpoints without it would
/// all count as one scope.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("class.{class}.group: retries are deduplicated within a {scope}, but endpoint {endpoint:?} has none")]
pub struct MissingDedupScope {
    /// Name of the class.
    pub class: String,
    /// Key of an endpoint that tells the scope.
    pub scope: &'static str,
    /// Name of the endpoint.
    pub endpoint: String,
}

/// The first class that lacks the scope of an endpoint. What a list service tells of endpoints is not known.
pub(crate) fn find_missing(classes: &[Class], upstream: &Upstream) -> Option<MissingDedupScope> {
    classes.iter().find_map(|class| {
        let idempotency = Some(class.class.idempotency);
        let (scope, endpoint) = endpoint_without_scope(idempotency, upstream)?;
        Some(MissingDedupScope {
            class: class.name.clone(),
            scope,
            endpoint: endpoint.name.clone(),
        })
    })
}

/// The first endpoint that does not tell the scope of a class, with the key that it lacks.
pub(crate) fn endpoint_without_scope(
    idempotency: Option<Idempotency>,
    upstream: &Upstream,
) -> Option<(&'static str, &Endpoint)> {
    let Some(Idempotency::Keyed { scope, .. }) = idempotency else {
        return None;
    };
    let mut endpoints = upstream.endpoints.iter();
    let (key, endpoint) = match scope {
        DedupScope::All => return None,
        DedupScope::Zone => ("zone", endpoints.find(|e| e.zone.is_empty())),
        DedupScope::Cell => ("group", endpoints.find(|e| e.group == 0)),
    };
    endpoint.map(|endpoint| (key, endpoint))
}
