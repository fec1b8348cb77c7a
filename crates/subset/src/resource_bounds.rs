//! What an operator asks for, and what follows from it: formulas that the page states and the check at load uses.

use crate::config::SubsetConfig;
use crate::partition::Partition;

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
