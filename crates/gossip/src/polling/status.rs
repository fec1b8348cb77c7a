//! The status of a poller, which proxies gossip.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Maximum number of statuses in one message. More pollers than this would not change any decision.
pub const MAX_STATUSES: usize = 8;

/// Consecutive failures after which a poller is considered partitioned from the service.
pub(super) const UNREACHABLE_AFTER_FAILURES: u32 = 3;

/// Identifies one incarnation of a proxy: drawn at random at each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PeerId(pub u64);

/// The status of one poller, as it is gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollerStatus {
    /// The proxy that polls.
    pub id: PeerId,
    /// Version of this status, which the proxy increments for each announcement and each change; 0 before the first.
    #[serde(rename = "count")]
    pub version: u32,
    /// Whether the proxy polls the service; `false` after it has stopped.
    #[serde(rename = "asks")]
    pub active: bool,
    /// Consecutive failed polls; [`PollerStatus::NEVER_ANSWERED`] before the first poll has ended.
    pub failures: u32,
    /// Smoothed latency of the service in milliseconds; 0 while unknown.
    #[serde(rename = "answer_ms")]
    pub latency_ms: u32,
}

impl PollerStatus {
    /// The value of [`PollerStatus::failures`] of a poller whose first poll has not ended yet.
    pub const NEVER_ANSWERED: u32 = u32::MAX;

    /// Whether the proxy polls the service and its last poll was answered.
    pub fn is_healthy(&self) -> bool {
        self.active && self.failures == 0
    }

    /// The health of an active poller.
    pub(super) fn health(&self) -> PollerHealth {
        match self.failures {
            0 => PollerHealth::Healthy,
            Self::NEVER_ANSWERED => PollerHealth::Trying,
            failures if failures < UNREACHABLE_AFTER_FAILURES => PollerHealth::Trying,
            _ => PollerHealth::Unreachable,
        }
    }

    /// Whether the change from `older` to this status should be forwarded immediately.
    pub(super) fn differs_significantly_from(&self, older: &Self) -> bool {
        let many_failures = |status: &Self| status.failures >= UNREACHABLE_AFTER_FAILURES;
        self.active != older.active
            || (self.failures == 0) != (older.failures == 0)
            || many_failures(self) != many_failures(older)
    }
}

/// The health of an active poller, as seen in the results of its polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollerHealth {
    /// The last poll was answered.
    Healthy,
    /// The first poll has not ended, or only a few polls have failed since the last answer.
    Trying,
    /// At least [`UNREACHABLE_AFTER_FAILURES`] consecutive polls have failed.
    Unreachable,
}

/// An active poller, as known to one proxy. Serialized as the pair `(status, age)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(PollerStatus, Micros)", into = "(PollerStatus, Micros)")]
pub struct KnownPoller {
    /// The poller's last known status.
    pub status: PollerStatus,
    /// Time since that status was received; 0 for the proxy itself.
    pub age: Micros,
}

impl From<(PollerStatus, Micros)> for KnownPoller {
    fn from((status, age): (PollerStatus, Micros)) -> Self {
        KnownPoller { status, age }
    }
}

impl From<KnownPoller> for (PollerStatus, Micros) {
    fn from(poller: KnownPoller) -> Self {
        (poller.status, poller.age)
    }
}
