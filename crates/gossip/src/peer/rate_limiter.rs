//! The rate limit for outgoing messages: a token bucket.

use crate::Micros;

/// Maximum sustained rate of the messages that a proxy sends.
pub const MESSAGES_PER_SECOND: f64 = 400.0;

/// Maximum number of messages that a proxy sends in a burst.
pub const MESSAGE_BURST: f64 = 400.0;

const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket that starts full.
#[derive(Debug)]
pub(super) struct RateLimiter {
    tokens: f64,
    refilled_at: Micros,
}

impl RateLimiter {
    pub(super) fn new(now: Micros) -> Self {
        RateLimiter {
            tokens: MESSAGE_BURST,
            refilled_at: now,
        }
    }

    /// Takes a token, and returns whether there was one.
    pub(super) fn try_acquire(&mut self, now: Micros) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * MESSAGES_PER_SECOND).min(MESSAGE_BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
