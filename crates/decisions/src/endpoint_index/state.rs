//! Where an endpoint stands, and which endpoints a call may go to.

use crate::api::Micros;
use smallvec::SmallVec;

/// Slots drawn for one call.
pub(crate) type Candidates = SmallVec<[usize; 4]>;

/// Where a server stands: all that a pick asks of it, as of the last change to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointState {
    pub(crate) listed: bool,
    /// It takes calls: up, warm, not paused.
    pub(crate) available: bool,
    /// ... and its budget has room.
    pub(crate) has_capacity: bool,
    /// ... or is full, but one trial may pass it.
    pub(crate) trial_allowed: bool,
    /// It is set aside or fails most of its calls.
    pub(crate) is_outlier: bool,
    /// It is set aside, and whether a trial that may bring it back is out there.
    pub(crate) ejected: bool,
    pub(crate) recovery_trial_out: bool,
    /// From when it may be tried, if it is set aside.
    pub(crate) recovery_at: Micros,
    /// Listed and cold; it warms up since then.
    pub(crate) slow_start_since: Option<Micros>,
    /// When time alone changes this; `Micros::MAX`: never.
    pub(crate) next_change: Micros,
}

/// Which servers to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateSet {
    /// Those that are up and warm.
    Available,
    /// Of these, those with room.
    WithCapacity,
    /// Of these, those that are full and may be passed by a trial.
    TrialAllowed,
    /// Cold ones, whatever else they are.
    SlowStart,
}

/// What a call may go to.
#[derive(Clone, Debug)]
pub(crate) enum AllowedEndpoints {
    /// Any server.
    All,
    /// Only these: what ran there is dropped there.
    Only(Vec<usize>),
}

impl AllowedEndpoints {
    /// Is this server one of them?
    pub(crate) fn contains(&self, slot: usize) -> bool {
        match self {
            AllowedEndpoints::All => true,
            AllowedEndpoints::Only(slots) => slots.contains(&slot),
        }
    }
}
