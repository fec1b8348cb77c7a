//! The indexed state of an endpoint, and the candidates of a call.

use crate::api::Micros;
use smallvec::SmallVec;

/// Slots drawn for one call.
pub(crate) type Candidates = SmallVec<[usize; 4]>;

/// The properties of an endpoint on which selection depends, as of the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointState {
    pub(crate) listed: bool,
    /// Whether it takes calls: it is listed, warm, and neither ejected nor paused.
    pub(crate) available: bool,
    /// Whether it is available and below its concurrency limit.
    pub(crate) has_capacity: bool,
    /// Whether it is available and at its limit, and one trial may exceed the limit.
    pub(crate) trial_allowed: bool,
    /// Whether it is listed and either ejected or failing most of its calls.
    pub(crate) is_outlier: bool,
    pub(crate) ejected: bool,
    /// Whether a trial is in flight that may readmit the endpoint.
    pub(crate) recovery_trial_out: bool,
    /// Time from which a recovery trial may be sent, if the endpoint is ejected.
    pub(crate) recovery_at: Micros,
    /// Time at which it started, if it is listed and in slow start.
    pub(crate) slow_start_since: Option<Micros>,
    /// Time at which this state changes without any event; `Micros::MAX` if never.
    pub(crate) next_change: Micros,
}

impl EndpointState {
    /// The state of an endpoint that is not listed.
    pub(crate) const UNLISTED: EndpointState = EndpointState {
        listed: false,
        available: false,
        has_capacity: false,
        trial_allowed: false,
        is_outlier: false,
        ejected: false,
        recovery_trial_out: false,
        recovery_at: 0,
        slow_start_since: None,
        next_change: Micros::MAX,
    };
}

/// A set of endpoints to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateSet {
    /// Endpoints that take calls.
    Available,
    /// Available endpoints below their concurrency limit.
    WithCapacity,
    /// Available endpoints at their concurrency limit that one trial may exceed.
    TrialAllowed,
    /// Endpoints in slow start, regardless of their other properties.
    SlowStart,
}

/// The endpoints that a call may go to, given where it may have been executed.
#[derive(Clone, Debug)]
pub(crate) enum AllowedEndpoints {
    /// Any endpoint.
    All,
    /// Only these endpoints, which deduplicate the call.
    Only(Vec<usize>),
}

impl AllowedEndpoints {
    /// Whether the endpoint in this slot is allowed.
    pub(crate) fn contains(&self, slot: usize) -> bool {
        match self {
            AllowedEndpoints::All => true,
            AllowedEndpoints::Only(slots) => slots.contains(&slot),
        }
    }
}
