//! The configuration of a subset.

use crate::Micros;

/// Default of [`SubsetConfig::max_load_per_member`].
const DEFAULT_MAX_LOAD_PER_MEMBER: f64 = 2.0;
/// Default of [`SubsetConfig::growth_interval`].
const DEFAULT_GROWTH_INTERVAL: Micros = 200_000;
/// Default of [`SubsetConfig::shrink_delay`].
const DEFAULT_SHRINK_DELAY: Micros = 30_000_000;

/// Identifies a proxy among all proxies that share the fleet of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Number of the proxy, from 0. It must be unique; gaps in the numbering are harmless.
    pub number: u32,
    /// Number of proxies.
    pub count: u32,
}

/// The size of a subset, and the conditions under which it changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Number of endpoints while there is no reason for more.
    pub target_size: usize,
    /// Minimum number of endpoints, unless the fleet is smaller.
    pub min_size: usize,
    /// Maximum number of endpoints, regardless of the load and the health of the members.
    pub max_size: usize,
    /// Whether endpoints in the proxy's own zone are preferred. Others are then added only when too few of those are
    /// usable.
    pub prefer_own_zone: bool,
    /// Number of calls in flight per usable member above which the subset grows.
    pub max_load_per_member: f64,
    /// Minimum time between two doublings, in microseconds; ignored while no member is usable.
    pub growth_interval: Micros,
    /// Time without a reason for a larger subset after which it is halved, in microseconds.
    pub shrink_delay: Micros,
}

impl SubsetConfig {
    /// Creates the configuration of a subset of this size, with defaults for everything else.
    pub fn with_size(target_size: usize) -> Self {
        SubsetConfig {
            target_size,
            min_size: (target_size / 2).max(2),
            max_size: target_size * 4,
            prefer_own_zone: false,
            max_load_per_member: DEFAULT_MAX_LOAD_PER_MEMBER,
            growth_interval: DEFAULT_GROWTH_INTERVAL,
            shrink_delay: DEFAULT_SHRINK_DELAY,
        }
    }
}
