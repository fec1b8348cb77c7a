//! What an operator configures.

use crate::Micros;

/// Default of [`SubsetConfig::max_load_per_member`].
const DEFAULT_MAX_LOAD_PER_MEMBER: f64 = 2.0;
/// Default of [`SubsetConfig::growth_interval`].
const DEFAULT_GROWTH_INTERVAL: Micros = 200_000;
/// Default of [`SubsetConfig::shrink_delay`].
const DEFAULT_SHRINK_DELAY: Micros = 30_000_000;

/// Which proxy this is among all that share the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its number, from 0. No two proxies may have the same; gaps do no harm.
    pub number: u32,
    /// How many proxies there are.
    pub count: u32,
}

/// Size of a subset, and when it changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Endpoints wanted while there is no reason for more.
    pub target_size: usize,
    /// The subset is never smaller than this while the fleet is larger.
    pub min_size: usize,
    /// The subset never grows beyond this, however its members fare.
    pub max_size: usize,
    /// Whether endpoints of the proxy's own zone come first, and others only when too few of those are usable.
    pub prefer_own_zone: bool,
    /// Calls in flight per usable member above which the subset grows.
    pub max_load_per_member: f64,
    /// Shortest time between two doublings, in microseconds; not observed while no member is usable.
    pub growth_interval: Micros,
    /// Time without a reason to be larger after which the subset halves, in microseconds.
    pub shrink_delay: Micros,
}

impl SubsetConfig {
    /// A subset of this size, with the defaults of everything else.
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
