//! The health of a subset's members, and the changes of its membership.

use std::collections::BTreeSet;

/// The state of a subset's members, as seen by the load balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Number of members that take calls, which are listed and not ejected.
    pub usable: usize,
    /// Number of calls in flight to the members.
    pub in_flight: usize,
    /// Number of calls that are queued because all members are at their concurrency limit.
    pub queued: usize,
}

/// The endpoints that joined and left the subset. No endpoint is in both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Endpoints that became members.
    pub added: Vec<u32>,
    /// Endpoints that are no longer members. Calls in flight to them may complete, but no new call is sent.
    pub removed: Vec<u32>,
}

impl MembershipChange {
    /// Whether no endpoint has joined or left.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }

    /// Combines this change with the next one.
    pub(crate) fn then(self, next: &MembershipChange) -> MembershipChange {
        MembershipChange {
            added: union_without(self.added, &next.added, &next.removed),
            removed: union_without(self.removed, &next.removed, &next.added),
        }
    }
}

/// The sorted union of `first` and `second` without the endpoints in `excluded`.
fn union_without(first: Vec<u32>, second: &[u32], excluded: &[u32]) -> Vec<u32> {
    let excluded: BTreeSet<&u32> = excluded.iter().collect();
    let mut union: BTreeSet<u32> = first.into_iter().collect();
    union.extend(second);
    union.retain(|endpoint| !excluded.contains(endpoint));
    union.into_iter().collect()
}
