//! Timing of one route, with defaults applied.

use badgerramp_decisions::{CallPolicy, Hedge, Micros, RetryOn};

/// Time limits of a call and its attempts, and the conditions for retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Connect timeout.
    pub connect: Micros,
    /// Maximum duration of one attempt, including its connect.
    pub attempt: Micros,
    /// Maximum duration of the call, from the last byte of the request to the final response.
    pub total: Micros,
    /// Maximum number of attempts, including hedged requests.
    pub attempts: u32,
    /// Pause between the end of an attempt and the start of the next.
    pub backoff: Micros,
    /// When hedged requests are sent.
    pub hedge: Hedge,
    /// Failures after which a call may be retried.
    pub retry_on: RetryOn,
}

impl Timing {
    /// Sets no limits: those of the platform and the class apply unchanged.
    pub const UNLIMITED: Timing = Timing {
        connect: Micros::MAX,
        attempt: Micros::MAX,
        total: Micros::MAX,
        attempts: u32::MAX,
        backoff: 0,
        hedge: Hedge::Auto,
        retry_on: RetryOn::AnyFailure,
    };

    /// The policy of a call for the decisions. `non_idempotent` is true if the class requires an idempotency key and
    /// the request has none.
    pub fn call_policy(&self, non_idempotent: bool) -> CallPolicy {
        CallPolicy {
            max_attempts: self.attempts,
            attempt_timeout: self.attempt,
            backoff: self.backoff,
            hedge: self.hedge,
            retry_on: self.retry_on,
            non_idempotent,
        }
    }

    /// Maximum total duration of all attempts in sequence, with their pauses.
    pub fn max_attempts_duration(&self) -> Micros {
        let pauses = u64::from(self.attempts.saturating_sub(1));
        u64::from(self.attempts)
            .saturating_mul(self.attempt)
            .saturating_add(pauses.saturating_mul(self.backoff))
    }

    /// Latest possible start of the last attempt, relative to the start of the first.
    pub fn last_attempt_start(&self) -> Micros {
        let pauses = u64::from(self.attempts.saturating_sub(1));
        pauses.saturating_mul(self.attempt.saturating_add(self.backoff))
    }
}
