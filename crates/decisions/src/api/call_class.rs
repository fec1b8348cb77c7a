//! What is asked of a class of calls, and what an operator sets for one call.

use super::ids::Micros;

/// Which servers drop repeats of a guarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a call of a class may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless.
    Idempotent,
    /// Harmless on the servers of `scope`, within `window` of the first attempt that may have run.
    Keyed {
        /// Who drops repeats.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Never.
    #[default]
    NonIdempotent,
}

/// What is asked of a class of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for an answer between aim and deadline.
    pub late_value: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

/// When a second copy of a call may go out while its first attempt is still out. Whether it may at
/// all is up to the class ([`Idempotency`]) and the site ([`Limits::hedging`]).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Hedge {
    /// As late as can still be in time.
    #[default]
    Auto,
    /// Never.
    Never,
    /// This long after the first attempt.
    After(Micros),
    /// After the time within which this share (0 to 1) of the class's answers come; as `Auto` until
    /// it is learned.
    Quantile(f64),
}

/// After which outcomes a call may go again, where its class lets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOn {
    /// After any.
    #[default]
    AnyFailure,
    /// Only while every attempt provably never ran.
    NotExecuted,
}

/// What an operator sets for one call. It only narrows what class and site allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Most attempts.
    pub max_attempts: u32,
    /// Longest time of one attempt.
    pub attempt_timeout: Micros,
    /// Pause between the end of one attempt and the next.
    pub backoff: Micros,
    /// Second copies.
    pub hedge: Hedge,
    /// What may be sent again.
    pub retry_on: RetryOn,
    /// It is unsafe to repeat whatever its class says: what the class goes by is missing.
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
