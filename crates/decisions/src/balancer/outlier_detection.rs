//! Outlier detection.

use super::*;

/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
pub(super) const FAILURE_WEIGHT: f64 = 0.2;
pub(super) const FAILURE_RATE_LIMIT: f64 = 0.3;
/// Servers set aside up to which any call may try one that is due.
pub(super) const FEW_EJECTED: usize = 16;

impl Balancer {
    /// Never most of the fleet: trouble seen everywhere is not the servers' own.
    pub(super) fn may_eject(&self) -> bool {
        (self.endpoints.ejected_count() + 1) * 2 <= self.endpoints.listed_count()
    }

    /// A set-aside server is tried by a call that can go again, where the site has such calls.
    pub(super) fn may_try_recovery(&self, call: &Call) -> bool {
        let repeats = |c: &Class| c.idempotency != Idempotency::NonIdempotent;
        // Else trials of many servers set aside would take most calls, or those of a quiet balancer.
        let few = !self.is_sparse() && self.endpoints.ejected_count() <= FEW_EJECTED
            || call.admission_draw < SMOOTHING;
        few && call.attempts.is_empty()
            && (repeats(&call.class) || !self.settings.classes.iter().any(repeats))
    }
}
