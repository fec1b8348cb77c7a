//! What an operator asks for.

use crate::Micros;

/// Which proxy this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its number among all that share the fleet, from 0. Each has one of its own; gaps do no harm.
    pub number: u32,
    /// How many there are.
    pub count: u32,
}

/// What a subset is to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Endpoints wanted at rest.
    pub target_size: usize,
    /// Fewer than that are never kept while the fleet has more.
    pub min_size: usize,
    /// It never grows beyond that, whatever its members do.
    pub max_size: usize,
    /// Endpoints of the own zone come first, others only when it has too few that are of use.
    pub prefer_own_zone: bool,
    /// Calls in flight for each member from which on more members are wanted.
    pub max_load_per_member: f64,
    /// Time between two doublings, unless there is nobody left to send to.
    pub growth_interval: Micros,
    /// Time without a reason to be larger after which it halves.
    pub shrink_delay: Micros,
}

impl SubsetConfig {
    /// A subset of this size, with what else is usual.
    pub fn with_size(size: usize) -> Self {
        let (pause, calm) = (200_000, 30_000_000);
        SubsetConfig {
            target_size: size,
            min_size: (size / 2).max(2),
            max_size: size * 4,
            prefer_own_zone: false,
            max_load_per_member: 2.0,
            growth_interval: pause,
            shrink_delay: calm,
        }
    }
}
