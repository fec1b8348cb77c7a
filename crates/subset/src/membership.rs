//! How the members of a subset fare, and which endpoints join or leave it.

use std::collections::BTreeSet;

/// State of the members, as the load balancer sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Members that take calls: they are listed and not ejected.
    pub usable: usize,
    /// Calls in flight at them.
    pub in_flight: usize,
    /// Calls that are queued because all members are at their limit.
    pub queued: usize,
}

/// Endpoints that have joined and left the subset. No endpoint is in both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Endpoints that are members from now on.
    pub added: Vec<u32>,
    /// Endpoints that are no longer members. Calls in flight there may end; no new call is sent.
    pub removed: Vec<u32>,
}

impl MembershipChange {
    /// Whether no endpoint has joined or left.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }

    /// Combines this change with the one that follows it.
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
