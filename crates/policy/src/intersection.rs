//! Intersection of two policies: what both of them allow for a request, and no more. (If policies are ordered by what
//! they allow, this is the meet of the lattice.)
//!
//! The intersection is computed per request from the two policies' resolved calls, so it is exact for any two routing
//! tables, whatever their patterns and conditions.

use crate::Micros;
use badgerramp_decisions::{CallPolicy, DedupScope, Hedge, Idempotency, RetryOn};
use badgerramp_route::{ResponseRules, StatusSet};
use thiserror::Error;

/// Every status code that HTTP allows (RFC 9110, section 15).
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=999;

/// Key by which endpoints recognise a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// The call has no key.
    None,
    /// The value that the call carries.
    Value(String),
}

/// The settings that one policy resolves for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedCall {
    /// Whether and where the call may be repeated.
    pub idempotency: Idempotency,
    /// The idempotency key of the call, if endpoints recognise repeats by one.
    pub key: IdempotencyKey,
    /// Longest time from the last byte of the request to its final response.
    pub timeout: Micros,
    /// Retries, hedging and time limits.
    pub policy: CallPolicy,
    /// Time limit for establishing a connection.
    pub connect_timeout: Micros,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// One of the two policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The policy in force.
    Old,
    /// The pending policy.
    New,
}

/// The settings that both policies allow for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intersection {
    /// The policy whose class applies, which is the one with the stricter idempotency.
    pub class: Side,
    /// Longest time from the last byte of the request to its final response.
    pub timeout: Micros,
    /// Retries, hedging and time limits. The call is treated as non-idempotent if neither policy's idempotency covers the
    /// other's.
    pub policy: CallPolicy,
    /// Time limit for establishing a connection.
    pub connect_timeout: Micros,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Why the policies allow no common call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Mismatch {
    /// Only the policy in force accepts the request.
    #[error("the pending policy does not accept the request")]
    OnlyOld,
    /// Only the pending policy accepts the request.
    #[error("the policy in force does not accept the request")]
    OnlyNew,
}

/// Returns whether `outer` allows every repeat that `inner` allows.
fn is_covered_by(inner: Idempotency, outer: Idempotency) -> bool {
    match (inner, outer) {
        (Idempotency::NonIdempotent, _) | (_, Idempotency::Idempotent) => true,
        (Idempotency::Idempotent, _) | (_, Idempotency::NonIdempotent) => false,
        (
            Idempotency::Keyed {
                scope: inner_scope,
                window: inner_window,
            },
            Idempotency::Keyed {
                scope: outer_scope,
                window: outer_window,
            },
        ) => {
            let scope_is_covered = inner_scope == outer_scope || outer_scope == DedupScope::All;
            scope_is_covered && inner_window <= outer_window
        }
    }
}

fn intersect_hedge(old: Hedge, new: Hedge) -> Hedge {
    // Neither of two different hedging delays is the stricter one, so no hedged request is sent then.
    if old == new {
        old
    } else {
        Hedge::Never
    }
}

/// Computes what both policies allow for a request, given the call that each of them resolved (`None`: the policy rejects
/// the request). A request that both policies reject is not affected by the change, and the result is `Ok(None)`.
///
/// # Errors
/// Returns an error if only one of the policies accepts the request.
pub fn intersect(
    old: Option<&ResolvedCall>,
    new: Option<&ResolvedCall>,
) -> Result<Option<Intersection>, Mismatch> {
    let (old, new) = match (old, new) {
        (None, None) => return Ok(None),
        (Some(_), None) => return Err(Mismatch::OnlyOld),
        (None, Some(_)) => return Err(Mismatch::OnlyNew),
        (Some(old), Some(new)) => (old, new),
    };
    let old_is_stricter = is_covered_by(old.idempotency, new.idempotency);
    let class = if old_is_stricter {
        Side::Old
    } else {
        Side::New
    };
    Ok(Some(Intersection {
        class,
        timeout: old.timeout.min(new.timeout),
        policy: intersect_call_policy(old, new, class),
        connect_timeout: old.connect_timeout.min(new.connect_timeout),
        max_body_bytes: old.max_body_bytes.min(new.max_body_bytes),
    }))
}

fn intersect_call_policy(old: &ResolvedCall, new: &ResolvedCall, class: Side) -> CallPolicy {
    let (first, second) = (&old.policy, &new.policy);
    let not_executed_only = [first.retry_on, second.retry_on].contains(&RetryOn::NotExecuted);
    CallPolicy {
        max_attempts: first.max_attempts.min(second.max_attempts),
        attempt_timeout: first.attempt_timeout.min(second.attempt_timeout),
        backoff: first.backoff.max(second.backoff),
        hedge: intersect_hedge(first.hedge, second.hedge),
        retry_on: if not_executed_only {
            RetryOn::NotExecuted
        } else {
            RetryOn::AnyFailure
        },
        non_idempotent: first.non_idempotent
            || second.non_idempotent
            || forbids_repeats(old, new, class),
    }
}

/// Returns whether no repeat of the call is safe under both policies, even if each of them allows repeats.
fn forbids_repeats(old: &ResolvedCall, new: &ResolvedCall, class: Side) -> bool {
    let is_keyed = |call: &ResolvedCall| matches!(call.idempotency, Idempotency::Keyed { .. });
    // An endpoint that has seen the call with another key would not recognise the repeat.
    let differs_in_key = is_keyed(old) && is_keyed(new) && old.key != new.key;
    let neither_is_covered = !is_covered_by(old.idempotency, new.idempotency)
        && !is_covered_by(new.idempotency, old.idempotency);
    let chosen = match class {
        Side::Old => old,
        Side::New => new,
    };
    let lacks_key = is_keyed(chosen) && chosen.key == IdempotencyKey::None;
    differs_in_key || neither_is_covered || lacks_key
}

/// Returns the response classification on which both policies agree. Any other response is an error whose request may
/// have been executed.
pub fn intersect_answers(old: &ResponseRules, new: &ResponseRules) -> ResponseRules {
    if old == new {
        return old.clone();
    }
    let mut served = StatusSet::default();
    for status in STATUS_CODES {
        if old.served.contains(status) && new.served.contains(status) {
            served.insert(status, status);
        }
    }
    // For a policy that counts a status as served, that status does not prove that the request was not executed.
    let proves = |p: &&badgerramp_route::NotExecutedProof| {
        new.never_ran.contains(p)
            && !old.served.contains(p.status)
            && !new.served.contains(p.status)
    };
    let never_ran = old.never_ran.iter().filter(proves).cloned().collect();
    ResponseRules { served, never_ran }
}
