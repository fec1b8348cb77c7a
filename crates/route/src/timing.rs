//! The timing of one route, with all defaults filled in.

use badgerramp_decisions::{CallPolicy, Hedge, Micros, RetryOn};

/// How long what may take, and what may be tried again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// A connection that is not up by then has failed.
    pub connect: Micros,
    /// Longest time of one attempt, its connect included.
    pub attempt: Micros,
    /// Longest time of the call, from its last byte to its final answer.
    pub total: Micros,
    /// Most attempts, second copies included.
    pub attempts: u32,
    /// Pause between the end of an attempt and the next.
    pub backoff: Micros,
    /// Second copies.
    pub hedge: Hedge,
    /// What may go again.
    pub resend: RetryOn,
}

impl Timing {
    /// No limit of its own: what site and class allow holds as it is.
    pub const UNLIMITED: Timing = Timing {
        connect: Micros::MAX,
        attempt: Micros::MAX,
        total: Micros::MAX,
        attempts: u32::MAX,
        backoff: 0,
        hedge: Hedge::Auto,
        resend: RetryOn::AnyFailure,
    };

    /// What the decisions are told of a call. `once`: the key that its class goes by is missing.
    pub fn terms(&self, once: bool) -> CallPolicy {
        CallPolicy {
            max_attempts: self.attempts,
            attempt_timeout: self.attempt,
            backoff: self.backoff,
            hedge: self.hedge,
            retry_on: self.resend,
            non_idempotent: once,
        }
    }

    /// The longest that all attempts can take one after the other.
    pub fn longest(&self) -> Micros {
        let pauses = u64::from(self.attempts.saturating_sub(1));
        u64::from(self.attempts)
            .saturating_mul(self.attempt)
            .saturating_add(pauses.saturating_mul(self.backoff))
    }

    /// The latest start of the last attempt, counted from that of the first.
    pub fn last_start(&self) -> Micros {
        let pauses = u64::from(self.attempts.saturating_sub(1));
        pauses.saturating_mul(self.attempt.saturating_add(self.backoff))
    }
}
