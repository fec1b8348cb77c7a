//! The table of pollers that a proxy knows from its peers' gossip.

use super::status::{KnownPoller, PeerId, PollerHealth, PollerStatus};
use crate::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time without a newer status after which a healthy poller is ignored. A poller announces its status once a second,
/// and an announcement takes about seven rounds of gossip to reach two thousand proxies.
const STATUS_LIFETIME: Micros = 15_000_000;

/// Time without a newer status after which an unhealthy poller is ignored. A poller announces its status each second,
/// and immediately when its health changes. Ignoring a live poller costs one or two additional polls, whereas waiting
/// for a crashed one delays the start of the fleet.
const UNHEALTHY_STATUS_LIFETIME: Micros = 4_000_000;

/// Time without a newer status after which an entry is removed.
const ENTRY_LIFETIME: Micros = 4 * STATUS_LIFETIME;

/// Maximum number of entries, including pollers that have stopped or left. A poller that is removed while peers still
/// gossip its status reappears as a new one, and other proxies wait for it. Beyond this limit, inactive entries are
/// removed first.
pub(super) const MAX_KNOWN_POLLERS: usize = 4_096;

/// The effect of a received status on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusUpdate {
    /// None, because the same version or a newer one was known.
    Stale,
    /// The status is newer, but need not be forwarded immediately.
    Minor,
    /// A poller has started or stopped, or its health has changed.
    Significant,
}

/// Number of active pollers of each health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PollerCounts {
    pub(super) healthy: usize,
    pub(super) trying: usize,
    pub(super) unreachable: usize,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    status: PollerStatus,
    received_at: Micros,
}

impl Entry {
    fn is_fresh(&self, now: Micros) -> bool {
        let lifetime = if self.status.failures == 0 {
            STATUS_LIFETIME
        } else {
            UNHEALTHY_STATUS_LIFETIME
        };
        now < self.received_at + lifetime
    }
}

/// The pollers that a proxy knows, excluding itself.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownPollers {
    entries: BTreeMap<PeerId, Entry>,
}

impl KnownPollers {
    /// Records a status received from a peer.
    pub(super) fn update(&mut self, now: Micros, status: PollerStatus) -> StatusUpdate {
        let older = self.entries.get(&status.id).map(|entry| entry.status);
        if older.is_some_and(|older| older.version >= status.version) {
            return StatusUpdate::Stale;
        }
        let entry = Entry {
            status,
            received_at: now,
        };
        self.entries.insert(status.id, entry);
        let significant = match older {
            Some(older) => status.differs_significantly_from(&older),
            None => status.active,
        };
        if significant {
            StatusUpdate::Significant
        } else {
            StatusUpdate::Minor
        }
    }

    /// Removes entries beyond [`MAX_KNOWN_POLLERS`]: inactive ones first, then the oldest.
    pub(super) fn evict_excess(&mut self) {
        while self.entries.len() > MAX_KNOWN_POLLERS {
            let oldest = self
                .entries
                .values()
                .min_by_key(|entry| (entry.status.active, entry.received_at))
                .map(|entry| entry.status.id);
            if let Some(id) = oldest {
                self.entries.remove(&id);
            }
        }
    }

    /// Removes entries that were not renewed within [`ENTRY_LIFETIME`].
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.entries
            .retain(|_, entry| now < entry.received_at + ENTRY_LIFETIME);
    }

    /// Marks a poller as stopped. Its entry stays in the table, so that an old status that peers still gossip does not
    /// make it active again.
    pub(super) fn mark_stopped(&mut self, id: PeerId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.status.active = false;
        }
    }

    /// Whether any poller is healthy, regardless of the age of its status.
    pub(super) fn any_healthy(&self) -> bool {
        self.entries.values().any(|entry| entry.status.is_healthy())
    }

    /// The active pollers whose status is fresh.
    fn fresh_active(&self, now: Micros) -> impl Iterator<Item = &PollerStatus> {
        self.entries
            .values()
            .filter(move |entry| entry.status.active && entry.is_fresh(now))
            .map(|entry| &entry.status)
    }

    /// Counts the active pollers whose status is fresh.
    pub(super) fn counts(&self, now: Micros) -> PollerCounts {
        let mut counts = PollerCounts::default();
        for status in self.fresh_active(now) {
            match status.health() {
                PollerHealth::Healthy => counts.healthy += 1,
                PollerHealth::Trying => counts.trying += 1,
                PollerHealth::Unreachable => counts.unreachable += 1,
            }
        }
        counts
    }

    /// Identifiers of the active pollers whose status is fresh and whose last poll was answered.
    pub(super) fn healthy_ids(&self, now: Micros) -> Vec<PeerId> {
        self.fresh_active(now)
            .filter(|status| status.failures == 0)
            .map(|status| status.id)
            .collect()
    }

    /// Fresh statuses in order of priority for gossip: active pollers first, then the most recently received. Statuses
    /// that are not fresh are left out; otherwise proxies would gossip the status of a crashed poller for ever.
    pub(super) fn to_gossip(&self, now: Micros) -> impl Iterator<Item = PollerStatus> + '_ {
        let mut fresh: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| entry.is_fresh(now))
            .collect();
        fresh.sort_by_key(|entry| Reverse((entry.status.active, entry.received_at)));
        fresh.into_iter().map(|entry| entry.status)
    }

    /// All active pollers with the age of their statuses, fresh or not.
    pub(super) fn active(&self, now: Micros) -> impl Iterator<Item = KnownPoller> + '_ {
        self.entries
            .values()
            .filter(|entry| entry.status.active)
            .map(move |entry| KnownPoller {
                status: entry.status,
                age: now.saturating_sub(entry.received_at),
            })
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    #[cfg(test)]
    pub(super) fn contains(&self, id: PeerId) -> bool {
        self.entries.contains_key(&id)
    }
}
