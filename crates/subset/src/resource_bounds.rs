//! Upper bounds of the connections of proxies with subsets, which the configuration is checked against.

use crate::config::SubsetConfig;
use crate::partition::Partition;

/// The size of a deployment, from which its resource bounds are computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceBounds {
    /// Number of proxies.
    pub proxies: u32,
    /// Number of endpoints in the fleet.
    pub endpoints: usize,
    /// Number of idle connections that a proxy keeps to one endpoint.
    pub idle_connections: usize,
}

impl ResourceBounds {
    /// Maximum number of proxies that have the same endpoint in their subset while all subsets have their target size:
    /// one proxy of each round, including the last round, which may be incomplete.
    pub fn proxies_per_endpoint(&self, config: &SubsetConfig) -> u32 {
        self.proxies.div_ceil(self.partition(config).subset_count())
    }

    /// Maximum number of proxies that have the same endpoint in their subset while all subsets have their maximum size.
    /// Each doubling of the ranges halves the number of proxies among which a round divides the endpoints.
    pub fn max_proxies_per_endpoint(&self, config: &SubsetConfig) -> u32 {
        let partition = self.partition(config);
        let subset_count = partition.subset_count();
        let subset_size = (self.endpoints as f64 / f64::from(subset_count)).max(1.0);
        let growth = (config.max_size as f64 / subset_size).max(1.0);
        let doublings = (growth.log2().ceil() as u32).min(partition.max_doublings());
        self.proxies.div_ceil(subset_count >> doublings)
    }

    /// Maximum number of idle connections of all proxies to one endpoint.
    pub fn max_connections_per_endpoint(&self, config: &SubsetConfig) -> u64 {
        u64::from(self.max_proxies_per_endpoint(config)) * self.idle_connections as u64
    }

    /// Maximum number of idle connections of one proxy.
    pub fn max_connections_per_proxy(&self, config: &SubsetConfig) -> usize {
        config.max_size.min(self.endpoints) * self.idle_connections
    }

    fn partition(&self, config: &SubsetConfig) -> Partition {
        Partition::default().for_fleet(self.endpoints, config.target_size)
    }
}
