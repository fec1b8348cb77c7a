//! Which list is believed.
//!
//! - A list is never given up for an older one ([`ListVersion`]'s order), whoever tells it.
//! - What is told of single hosts (a drain, a removal) counts at once.
//! - A whole list of the service that is older than the one believed (a service that was restored, or answers with an
//!   old list first), or that misses more than half of the hosts that took calls (a service that has loaded half, or
//!   nothing), is quarantined: it counts when the service still tells it later ([`OLDER_LIST_QUARANTINE`],
//!   [`PARTIAL_LIST_QUARANTINE`]). Older ones then begin a new incarnation.
//! - An incarnation is begun at most once in [`MIN_INCARNATION_INTERVAL`] by one proxy: two services that go on telling different lists can't make
//!   the fleet swing between them.

use crate::endpoint_list::{EndpointChange, EndpointList, ListVersion};
use crate::Micros;

/// For how long a service must stand by a list that misses half of the hosts: longer than the first answers of one that
/// has just come back and is still loading. If they have gone, calls to them fail meanwhile, and go elsewhere.
pub const PARTIAL_LIST_QUARANTINE: Micros = 2_000_000;
/// ... by an older list. A service that was restored can wait, as the newer list is still there; one that answers with
/// an old list first would bring back what was removed.
pub const OLDER_LIST_QUARANTINE: Micros = 10_000_000;
/// Least time between two lives that one proxy begins.
pub const MIN_INCARNATION_INTERVAL: Micros = 60_000_000;
/// Below so many hosts half of them are one or two: their loss is no sign of a list that is half loaded.
const MIN_ENDPOINTS_FOR_HALF_RULE: usize = 4;

/// The list that is believed.
#[derive(Clone, Debug)]
pub struct AcceptedList {
    /// Which.
    pub version: ListVersion,
    /// Its content.
    pub hosts: EndpointList,
    /// Since when.
    pub since: Micros,
}

/// What a word came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is believed: what changed, against nothing or the list before.
    Newer(Vec<EndpointChange>),
    /// It tells nothing new.
    Duplicate,
    /// It is quarantined, or older: the service should be asked for the whole list again.
    Quarantined,
    /// It does not fit: the whole list is wanted.
    Invalid,
}

/// What is believed.
#[derive(Clone, Debug, Default)]
pub struct ListAcceptance {
    accepted: Option<AcceptedList>,
    /// A whole list that is quarantined (its index and digest), since when.
    quarantine: Option<(u64, u64, Micros)>,
    /// When this proxy last began an incarnation.
    incarnation_at: Option<Micros>,
    /// Lists that were quarantined, so far.
    pub quarantined: u64,
}

impl ListAcceptance {
    /// The list that is believed.
    pub fn accepted(&self) -> Option<&AcceptedList> {
        self.accepted.as_ref()
    }

    /// Its version.
    pub fn version(&self) -> Option<ListVersion> {
        self.accepted.as_ref().map(|h| h.version)
    }

    fn accept(&mut self, now: Micros, version: ListVersion, hosts: EndpointList) -> Verdict {
        let nothing = EndpointList::default();
        let changes = hosts.diff_from(self.accepted.as_ref().map_or(&nothing, |h| &h.hosts));
        self.accepted = Some(AcceptedList {
            version,
            hosts,
            since: now,
        });
        self.quarantine = None;
        Verdict::Newer(changes)
    }

    /// The service has told the whole list.
    pub fn offer_service_list(&mut self, now: Micros, index: u64, hosts: EndpointList) -> Verdict {
        let digest = hosts.digest();
        let Some(accepted) = &self.accepted else {
            return self.accept(
                now,
                ListVersion {
                    incarnation: 1,
                    index,
                    digest,
                },
                hosts,
            );
        };
        let version = accepted.version;
        if (version.index, version.digest) == (index, digest) {
            self.quarantine = None;
            return Verdict::Duplicate;
        }
        // The same version with another content is another service's, or another incarnation's.
        let older = index <= version.index;
        let up = accepted.hosts.count_up();
        let half =
            up >= MIN_ENDPOINTS_FOR_HALF_RULE && 2 * accepted.hosts.count_missing_from(&hosts) > up;
        if older || half {
            let since = match self.quarantine {
                Some((i, d, since)) if (i, d) == (index, digest) => since,
                // A service that goes on changing while it is quarantined is no less there: time counts from the first.
                Some((i, _, since)) if i <= index => since,
                _ => now,
            };
            self.quarantine = Some((index, digest, since));
            let new_life = older
                && self
                    .incarnation_at
                    .is_some_and(|at| now < at + MIN_INCARNATION_INTERVAL);
            let quarantine = if older {
                OLDER_LIST_QUARANTINE
            } else {
                PARTIAL_LIST_QUARANTINE
            };
            if now < since + quarantine || new_life {
                self.quarantined += 1;
                return Verdict::Quarantined;
            }
        }
        let incarnation = if older {
            version.incarnation.saturating_add(1)
        } else {
            version.incarnation
        };
        if older {
            self.incarnation_at = Some(now);
        }
        self.accept(
            now,
            ListVersion {
                incarnation,
                index,
                digest,
            },
            hosts,
        )
    }

    /// The service has told what changed up to this version.
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
            // It does not know of what is believed.
            return Verdict::Quarantined;
        }
        if index == accepted.version.index {
            self.quarantine = None;
            return Verdict::Duplicate;
        }
        let hosts = accepted.hosts.apply(changes);
        let version = ListVersion {
            index,
            digest: hosts.digest(),
            ..accepted.version
        };
        self.accept(now, version, hosts)
    }

    /// A peer has told a whole list.
    pub fn offer_peer_list(
        &mut self,
        now: Micros,
        version: ListVersion,
        hosts: EndpointList,
    ) -> Verdict {
        if self.version().is_some_and(|own| version <= own) {
            return Verdict::Duplicate;
        }
        self.accept(now, version, hosts)
    }

    /// A peer has told what leads from one list to the next.
    pub fn offer_peer_changes(
        &mut self,
        now: Micros,
        (from, to): (ListVersion, ListVersion),
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
        let hosts = accepted.hosts.apply(changes);
        if hosts.digest() != to.digest {
            return Verdict::Invalid;
        }
        self.accept(now, to, hosts)
    }
}

#[cfg(test)]
mod tests;
