//! The meet of two policies: what both make alike of a request, and no more. It is taken request by request, on what
//! each made of it, so that it is exact for any two tables of routes, whatever their patterns and conditions.

use crate::Micros;
use badgerramp_decisions::{CallPolicy, DedupScope, Hedge, Idempotency, RetryOn};
use badgerramp_route::{Answers, StatusSet};
use std::fmt;

/// By what hosts know a call again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// By nothing.
    None,
    /// By this value.
    Value(String),
}

/// What one policy makes of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedCall {
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Its key, where `repeat` goes by one.
    pub key: IdempotencyKey,
    /// From its last byte to its final answer.
    pub timeout: Micros,
    /// Its terms.
    pub policy: CallPolicy,
    /// Longest time for a connection.
    pub connect_timeout: Micros,
    /// Bytes of its body at the most.
    pub max_body_bytes: usize,
}

/// Which of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The policy in force.
    Old,
    /// The one that is to come.
    New,
}

/// What both allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intersection {
    /// Whose class it goes by: that with the stricter effect.
    pub class: Side,
    /// From its last byte to its final answer.
    pub timeout: Micros,
    /// Its terms. They say `once` where neither effect lies within the other.
    pub policy: CallPolicy,
    /// Longest time for a connection.
    pub connect_timeout: Micros,
    /// Bytes of its body at the most.
    pub max_body_bytes: usize,
}

/// Why nothing can be begun that both allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Only the policy in force takes it.
    OnlyOld,
    /// Only the one that is to come takes it.
    OnlyNew,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mismatch::OnlyOld => "the policy that is to come does not take it",
            Mismatch::OnlyNew => "the policy in force does not take it",
        })
    }
}

/// Is all that `inner` lets run again let by `outer` too?
fn within(inner: Idempotency, outer: Idempotency) -> bool {
    match (inner, outer) {
        (Idempotency::NonIdempotent, _) | (_, Idempotency::Idempotent) => true,
        (Idempotency::Idempotent, _) | (_, Idempotency::NonIdempotent) => false,
        (
            Idempotency::Keyed {
                scope: a,
                window: b,
            },
            Idempotency::Keyed {
                scope: c,
                window: d,
            },
        ) => (a == c || c == DedupScope::All) && b <= d,
    }
}

fn hedge(a: Hedge, b: Hedge) -> Hedge {
    // When a second copy goes out is not ordered: where they differ, none does.
    if a == b {
        a
    } else {
        Hedge::Never
    }
}

/// What both allow of a request, given what each made of it: `None` where it takes none such.
///
/// # Errors
/// If only one of them takes it. Turned away by both it is no matter of the change: `Ok(None)`.
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
    let class = if within(old.idempotency, new.idempotency) {
        Side::Old
    } else {
        Side::New
    };
    let chosen = if class == Side::Old { old } else { new };
    // A host that knows it by another key would not know the repeat.
    let keyed = |call: &ResolvedCall| matches!(call.idempotency, Idempotency::Keyed { .. });
    let other_key = keyed(old) && keyed(new) && old.key != new.key;
    let neither =
        !within(old.idempotency, new.idempotency) && !within(new.idempotency, old.idempotency);
    let (a, b) = (&old.policy, &new.policy);
    let never_ran = [a.retry_on, b.retry_on].contains(&RetryOn::NotExecuted);
    let terms = CallPolicy {
        max_attempts: a.max_attempts.min(b.max_attempts),
        attempt_timeout: a.attempt_timeout.min(b.attempt_timeout),
        backoff: a.backoff.max(b.backoff),
        hedge: hedge(a.hedge, b.hedge),
        retry_on: if never_ran {
            RetryOn::NotExecuted
        } else {
            RetryOn::AnyFailure
        },
        non_idempotent: a.non_idempotent
            || b.non_idempotent
            || other_key
            || neither
            || (keyed(chosen) && chosen.key == IdempotencyKey::None),
    };
    Ok(Some(Intersection {
        class,
        timeout: old.timeout.min(new.timeout),
        policy: terms,
        connect_timeout: old.connect_timeout.min(new.connect_timeout),
        max_body_bytes: old.max_body_bytes.min(new.max_body_bytes),
    }))
}

/// What an answer means where both read it alike; else it is an error that may have run.
pub fn intersect_answers(old: &Answers, new: &Answers) -> Answers {
    if old == new {
        return old.clone();
    }
    let mut served = StatusSet::default();
    for status in 100..=999 {
        if old.served.contains(status) && new.served.contains(status) {
            served.insert(status, status);
        }
    }
    // What one of them serves proves nothing to it, whatever its list says.
    let proves = |p: &&badgerramp_route::Proof| {
        new.never_ran.contains(p)
            && !old.served.contains(p.status)
            && !new.served.contains(p.status)
    };
    let never_ran = old.never_ran.iter().filter(proves).cloned().collect();
    Answers { served, never_ran }
}
