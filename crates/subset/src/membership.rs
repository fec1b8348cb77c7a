//! What the subset is told of its members, and what it says has changed.

use std::collections::BTreeSet;

/// How its members fare, as its owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Members that take calls: listed, not set aside.
    pub usable: usize,
    /// Calls in flight at them.
    pub in_flight: usize,
    /// Calls that wait because all of them are full.
    pub queued: usize,
}

/// What has changed of the subset. The two share no endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Endpoints that belong to it from now on.
    pub added: Vec<u32>,
    /// Those that do not any more: what is out there may end, nothing new goes there.
    pub removed: Vec<u32>,
}

impl MembershipChange {
    /// Has nothing changed?
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

/// One after the other, as one.
pub(crate) fn join(first: MembershipChange, then: MembershipChange) -> MembershipChange {
    let joined: BTreeSet<u32> = first
        .added
        .into_iter()
        .chain(then.added.iter().copied())
        .collect();
    let left: BTreeSet<u32> = first
        .removed
        .into_iter()
        .chain(then.removed.iter().copied())
        .collect();
    let gone: BTreeSet<u32> = then.removed.into_iter().collect();
    let back: BTreeSet<u32> = then.added.into_iter().collect();
    MembershipChange {
        added: joined.into_iter().filter(|e| !gone.contains(e)).collect(),
        removed: left.into_iter().filter(|e| !back.contains(e)).collect(),
    }
}
