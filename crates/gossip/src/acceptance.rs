//! Decides which endpoint list a proxy accepts.
//!
//! - An accepted list is never replaced by an older one (in the order of [`ListVersion`]), whichever source sends it.
//! - Changes of individual endpoints (draining, removal) are accepted immediately.
//! - A complete list from the service is quarantined if it is older than the accepted one (the service was restored, or
//!   answers with a stale list first), or if more than half of the available endpoints are missing from it (the service
//!   has loaded only a part of the list, or nothing). It is accepted if the service still sends it after
//!   [`OLDER_LIST_QUARANTINE`] or [`PARTIAL_LIST_QUARANTINE`]. Accepting an older list starts a new incarnation.
//! - A proxy starts a new incarnation at most once in [`MIN_INCARNATION_INTERVAL`], so that two services that send
//!   different lists cannot make the fleet alternate between them.

use crate::endpoint_list::{EndpointChange, EndpointList, ListVersion};
use crate::Micros;

/// How long the service must keep sending a list from which more than half of the endpoints are missing. It is longer
/// than a service that has just started sends incomplete lists while it loads. If the endpoints are really gone, calls
/// to them fail during the quarantine and are retried at other endpoints.
pub const PARTIAL_LIST_QUARANTINE: Micros = 2_000_000;

/// How long the service must keep sending an older list. The delay does no harm after a restore of the service, as the
/// newer list stays in use; without it, a service that first answers with a stale list would bring back endpoints that
/// were removed.
pub const OLDER_LIST_QUARANTINE: Micros = 10_000_000;

/// Minimum time between two incarnations that one proxy starts.
pub const MIN_INCARNATION_INTERVAL: Micros = 60_000_000;

/// Minimum number of available endpoints for the check for partial lists. With fewer endpoints, half of them are one or
/// two, whose removal does not indicate a partially loaded list.
const MIN_ENDPOINTS_FOR_PARTIAL_CHECK: usize = 4;

/// The incarnation of the first list.
const FIRST_INCARNATION: u32 = 1;

/// The endpoint list that a proxy has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedList {
    /// Version of the list.
    pub version: ListVersion,
    /// Content of the list.
    pub endpoints: EndpointList,
    /// When the list was accepted.
    pub since: Micros,
}

/// The decision on a received list, or on received changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Accepted. Holds the changes against the previously accepted list, or against an empty list if there was none.
    Newer(Vec<EndpointChange>),
    /// Ignored, because it is the accepted list or an older one.
    Duplicate,
    /// Not accepted yet: the service should be polled for the complete list again.
    Quarantined,
    /// The changes do not apply to the accepted list: the complete list is needed.
    Invalid,
}

/// A complete list that the service must keep sending before it is accepted.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// Index of the latest quarantined list.
    index: u64,
    /// When the quarantine began.
    since: Micros,
}

/// Decides which endpoint list a proxy accepts, and holds it.
///
/// ```
/// use badgerramp_gossip::acceptance::{ListAcceptance, Verdict};
/// use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry, EndpointList};
///
/// let entry = EndpointEntry { status: "up".to_owned(), ..EndpointEntry::default() };
/// let added = EndpointChange { name: "a".to_owned(), entry: Some(entry) };
/// let list = EndpointList::new([added.clone()]);
/// let mut acceptance = ListAcceptance::default();
/// assert_eq!(acceptance.offer_service_list(0, 7, list.clone()), Verdict::Newer(vec![added]));
/// assert_eq!(acceptance.offer_service_list(10, 7, list.clone()), Verdict::Duplicate);
/// assert_eq!(acceptance.offer_service_list(20, 6, list), Verdict::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ListAcceptance {
    accepted: Option<AcceptedList>,
    quarantine: Option<Quarantine>,
    /// When this proxy last started a new incarnation.
    incarnation_started: Option<Micros>,
    /// Number of lists that were quarantined.
    pub quarantined: u64,
}

impl ListAcceptance {
    /// The accepted list.
    pub fn accepted(&self) -> Option<&AcceptedList> {
        self.accepted.as_ref()
    }

    /// The version of the accepted list.
    pub fn version(&self) -> Option<ListVersion> {
        self.accepted.as_ref().map(|accepted| accepted.version)
    }

    fn accept(&mut self, now: Micros, version: ListVersion, endpoints: EndpointList) -> Verdict {
        let changes = match &self.accepted {
            Some(accepted) => endpoints.diff_from(&accepted.endpoints),
            None => endpoints.diff_from(&EndpointList::default()),
        };
        self.accepted = Some(AcceptedList {
            version,
            endpoints,
            since: now,
        });
        self.quarantine = None;
        Verdict::Newer(changes)
    }

    /// Decides on a complete list from the service.
    pub fn offer_service_list(
        &mut self,
        now: Micros,
        index: u64,
        endpoints: EndpointList,
    ) -> Verdict {
        let digest = endpoints.digest();
        let Some(accepted) = &self.accepted else {
            let version = ListVersion {
                incarnation: FIRST_INCARNATION,
                index,
                digest,
            };
            return self.accept(now, version, endpoints);
        };
        let own = accepted.version;
        if (own.index, own.digest) == (index, digest) {
            self.quarantine = None;
            return Verdict::Duplicate;
        }
        // A different list with the same index comes from another service, or from another incarnation of the service.
        let is_older = index <= own.index;
        if (is_older || is_majority_missing(&accepted.endpoints, &endpoints))
            && self.update_quarantine(now, index, is_older)
        {
            self.quarantined += 1;
            return Verdict::Quarantined;
        }
        let mut version = ListVersion {
            incarnation: own.incarnation,
            index,
            digest,
        };
        if is_older {
            version.incarnation = own.incarnation.saturating_add(1);
            self.incarnation_started = Some(now);
        }
        self.accept(now, version, endpoints)
    }

    /// Starts or continues the quarantine of a list. Returns whether the list stays quarantined.
    fn update_quarantine(&mut self, now: Micros, index: u64, is_older: bool) -> bool {
        // If the list changes during the quarantine, the time still counts from the first quarantined list.
        let since = match self.quarantine {
            Some(quarantine) if quarantine.index <= index => quarantine.since,
            _ => now,
        };
        self.quarantine = Some(Quarantine { index, since });
        let duration = if is_older {
            OLDER_LIST_QUARANTINE
        } else {
            PARTIAL_LIST_QUARANTINE
        };
        let had_recent_incarnation = self
            .incarnation_started
            .is_some_and(|at| now < at + MIN_INCARNATION_INTERVAL);
        now < since + duration || (is_older && had_recent_incarnation)
    }

    /// Decides on changes from the service that lead from the accepted list to the list with this index.
    pub fn offer_service_changes(
        &mut self,
        now: Micros,
        index: u64,
        changes: &[EndpointChange],
    ) -> Verdict {
        let Some(accepted) = &self.accepted else {
            return Verdict::Invalid;
        };
        if index < accepted.version.index {
            // The service does not have the accepted list.
            return Verdict::Quarantined;
        }
        if index == accepted.version.index {
            self.quarantine = None;
            return Verdict::Duplicate;
        }
        let endpoints = accepted.endpoints.apply(changes);
        let version = ListVersion {
            incarnation: accepted.version.incarnation,
            index,
            digest: endpoints.digest(),
        };
        self.accept(now, version, endpoints)
    }

    /// Decides on a complete list from a peer.
    pub fn offer_peer_list(
        &mut self,
        now: Micros,
        version: ListVersion,
        endpoints: EndpointList,
    ) -> Verdict {
        if self.version().is_some_and(|own| version <= own) {
            return Verdict::Duplicate;
        }
        self.accept(now, version, endpoints)
    }

    /// Decides on changes from a peer that lead from the list `from` to the list `to`.
    pub fn offer_peer_changes(
        &mut self,
        now: Micros,
        from: ListVersion,
        to: ListVersion,
        changes: &[EndpointChange],
    ) -> Verdict {
        let Some(accepted) = &self.accepted else {
            return Verdict::Invalid;
        };
        if to <= accepted.version {
            return Verdict::Duplicate;
        }
        if accepted.version != from {
            return Verdict::Invalid;
        }
        let endpoints = accepted.endpoints.apply(changes);
        if endpoints.digest() != to.digest {
            return Verdict::Invalid;
        }
        self.accept(now, to, endpoints)
    }
}

/// Whether more than half of the available endpoints are missing from the offered list.
fn is_majority_missing(accepted: &EndpointList, offered: &EndpointList) -> bool {
    let available = accepted.count_up();
    available >= MIN_ENDPOINTS_FOR_PARTIAL_CHECK
        && 2 * accepted.count_missing_from(offered) > available
}

#[cfg(test)]
mod tests;
