//! What an operator asks for, and what follows from it: formulas that the page states and the check at load uses.

use crate::partition::Partition;
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

/// What all proxies together hold and ask at the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceBounds {
    /// Proxies.
    pub proxies: u32,
    /// Endpoints of the fleet.
    pub endpoints: usize,
    /// Idle connections that a proxy keeps to one endpoint.
    pub idle_connections: usize,
}

impl ResourceBounds {
    /// Proxies that keep to one endpoint, at rest: one of each team, the last of which may be incomplete.
    pub fn proxies_per_endpoint(&self, need: &SubsetConfig) -> u32 {
        let members = Partition::default()
            .for_fleet(self.endpoints, need.target_size)
            .members();
        self.proxies.div_ceil(members)
    }

    /// ... and when every subset has grown as far as it may: each doubling lets as many again have it.
    pub fn max_proxies_per_endpoint(&self, need: &SubsetConfig) -> u32 {
        let deal = Partition::default().for_fleet(self.endpoints, need.target_size);
        let part = (self.endpoints as f64 / f64::from(deal.members())).max(1.0);
        let doublings = (need.max_size as f64 / part).max(1.0).log2().ceil() as u32;
        let members = deal.members() >> doublings.min(deal.doublings());
        self.proxies.div_ceil(members)
    }

    /// Idle connections to one endpoint from all proxies, at the most.
    pub fn max_connections_per_endpoint(&self, need: &SubsetConfig) -> u64 {
        u64::from(self.max_proxies_per_endpoint(need)) * self.idle_connections as u64
    }

    /// Idle connections of one proxy, at the most.
    pub fn max_connections_per_proxy(&self, need: &SubsetConfig) -> usize {
        need.max_size.min(self.endpoints) * self.idle_connections
    }
}
