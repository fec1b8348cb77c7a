//! Classes of calls with their objectives, and the policy that an operator sets for a call.

use super::ids::Micros;

/// The set of endpoints that recognise and drop repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Whether the calls of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing a call again is harmless.
    Idempotent,
    /// Calls carry an idempotency key: executing one again is harmless on the endpoints of `scope`,
    /// within `window` of the first attempt that may have been executed.
    Keyed {
        /// The endpoints that share their keys.
        scope: DedupScope,
        /// How long the endpoints keep a key, in microseconds.
        window: Micros,
    },
    /// Executing a call again may do harm.
    #[default]
    NonIdempotent,
}

/// The objectives and properties of a class of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time has its full value, in microseconds.
    pub latency_objective: Micros,
    /// Total time that a client waits for a call, in microseconds.
    pub deadline: Micros,
    /// Weight of an answer in time in the score.
    pub priority_weight: f64,
    /// Share of the weight, 0 to 1, for an answer between the objective and the deadline.
    pub late_value: f64,
    /// Whether a call may be executed more than once.
    pub idempotency: Idempotency,
}

/// When a hedged request may be sent: a second attempt while the first is in flight. Whether a call
/// may be hedged at all depends on its class ([`Idempotency`]) and the limits of the site
/// ([`Limits::hedging`](super::Limits::hedging)).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Hedge {
    /// As late as possible while an answer can still be expected within the objective.
    #[default]
    Auto,
    /// Never.
    Never,
    /// This time after the first attempt, in microseconds.
    After(Micros),
    /// After this quantile (0 to 1) of the class's latencies. Behaves as `Auto` until enough
    /// latencies are known.
    Quantile(f64),
}

/// The outcomes after which a call may be retried, if its class allows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOn {
    /// Any failure.
    #[default]
    AnyFailure,
    /// Only if every attempt is proved not to have been executed.
    NotExecuted,
}

/// The policy that an operator sets for a call. It can only restrict what the class and the site
/// allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Timeout of one attempt, in microseconds.
    pub attempt_timeout: Micros,
    /// Delay between the end of an attempt and the next attempt, in microseconds.
    pub backoff: Micros,
    /// When a hedged request is sent.
    pub hedge: Hedge,
    /// The outcomes after which the call may be retried.
    pub retry_on: RetryOn,
    /// Treats the call as not idempotent regardless of its class, because its idempotency key is
    /// missing.
    pub non_idempotent: bool,
}

impl Default for CallPolicy {
    /// A policy without restrictions.
    fn default() -> Self {
        CallPolicy {
            max_attempts: u32::MAX,
            attempt_timeout: Micros::MAX,
            backoff: 0,
            hedge: Hedge::Auto,
            retry_on: RetryOn::AnyFailure,
            non_idempotent: false,
        }
    }
}
