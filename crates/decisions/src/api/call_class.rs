//! What is asked of a class of calls, and what an operator sets for one call.

use super::ids::Micros;

/// Which endpoints recognise and drop a repeat of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a call of a class may be executed again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// Calls carry an idempotency key: a repeat is harmless on the endpoints of `scope`, within
    /// `window` of the first attempt that may have run.
    Keyed {
        /// The endpoints that share their keys.
        scope: DedupScope,
        /// How long they keep a key, in microseconds.
        window: Micros,
    },
    /// A repeat may do harm.
    #[default]
    NonIdempotent,
}

/// What is asked of the calls of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time counts in full.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// What an answer in time counts for in the score.
    pub priority_weight: f64,
    /// Share of this weight, 0 to 1, for an answer between objective and deadline.
    pub late_value: f64,
    /// Whether a call may be executed again.
    pub idempotency: Idempotency,
}

/// When a hedged request may be sent: a second attempt while the first is in flight. Whether it may
/// at all is up to the class ([`Idempotency`]) and the site
/// ([`Limits::hedging`](super::Limits::hedging)).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Hedge {
    /// As late as can still be in time.
    #[default]
    Auto,
    /// No hedged request.
    Never,
    /// This long after the first attempt, in microseconds.
    After(Micros),
    /// After this quantile (0 to 1) of the class's latencies; as `Auto` until it is learned.
    Quantile(f64),
}

/// After which outcomes a call may be retried, where its class allows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOn {
    /// After any failure.
    #[default]
    AnyFailure,
    /// Only while every attempt is proved not to have been executed.
    NotExecuted,
}

/// What an operator sets for one call. It only narrows what class and site allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Most attempts.
    pub max_attempts: u32,
    /// Longest time of one attempt, in microseconds.
    pub attempt_timeout: Micros,
    /// Pause between the end of one attempt and the next, in microseconds.
    pub backoff: Micros,
    /// Hedged requests.
    pub hedge: Hedge,
    /// What may be retried.
    pub retry_on: RetryOn,
    /// It is not idempotent whatever its class says, as its idempotency key is missing.
    pub non_idempotent: bool,
}

impl Default for CallPolicy {
    /// Nothing is narrowed.
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
