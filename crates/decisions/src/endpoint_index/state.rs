//! Where an endpoint stands, and which endpoints a call may go to.

use crate::api::Micros;
use smallvec::SmallVec;

/// Slots drawn for one call.
pub(crate) type Candidates = SmallVec<[usize; 4]>;

/// Where an endpoint stands: all that a selection asks of it, as of the last change to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointState {
    pub(crate) listed: bool,
    /// It takes calls: listed, warm, neither ejected nor paused.
    pub(crate) available: bool,
    /// ... and it is under its limit.
    pub(crate) has_capacity: bool,
    /// ... or it is at its limit, and one trial may pass that.
    pub(crate) trial_allowed: bool,
    /// It is ejected or fails most of its calls.
    pub(crate) is_outlier: bool,
    pub(crate) ejected: bool,
    /// A trial is in flight that may readmit it.
    pub(crate) recovery_trial_out: bool,
    /// From when it may be tried, if it is ejected.
    pub(crate) recovery_at: Micros,
    /// When it started, if it is listed and in slow start.
    pub(crate) slow_start_since: Option<Micros>,
    /// When time alone changes this; `Micros::MAX`: never.
    pub(crate) next_change: Micros,
}

impl EndpointState {
    /// An endpoint that takes no calls until that is filed otherwise.
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

/// Which endpoints to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateSet {
    /// Those that take calls.
    Available,
    /// Of these, those under their limit.
    WithCapacity,
    /// Of these, those at their limit that one trial may pass.
    TrialAllowed,
    /// Those in slow start, whatever else they are.
    SlowStart,
}

/// Which endpoints a call may go to, by what it has run.
#[derive(Clone, Debug)]
pub(crate) enum AllowedEndpoints {
    /// Any endpoint.
    All,
    /// Only these: what ran there is dropped there.
    Only(Vec<usize>),
}

impl AllowedEndpoints {
    /// Is this endpoint one of them?
    pub(crate) fn contains(&self, slot: usize) -> bool {
        match self {
            AllowedEndpoints::All => true,
            AllowedEndpoints::Only(slots) => slots.contains(&slot),
        }
    }
}
