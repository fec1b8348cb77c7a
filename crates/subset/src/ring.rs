//! A hash ring of endpoints, and the range of it that one proxy has selected.

use crate::partition::{ring_hash, HashRange, Partition};
use std::collections::BTreeSet;

/// The hash ring of one proxy's round.
#[derive(Clone, Debug)]
pub(crate) struct HashRing {
    /// Number of the proxy.
    proxy: u32,
    /// Hash and number of each endpoint.
    endpoints: BTreeSet<(u64, u32)>,
    partition: Partition,
    /// Number of times that the proxy has doubled its range; `None` if no range of this ring is selected.
    doublings: Option<u32>,
}

impl HashRing {
    /// Creates an empty ring for the proxy with this number, with no range selected.
    pub(crate) fn new(proxy: u32) -> Self {
        HashRing {
            proxy,
            endpoints: BTreeSet::new(),
            partition: Partition::default(),
            doublings: None,
        }
    }

    /// Adds an endpoint and returns its hash.
    pub(crate) fn insert(&mut self, endpoint: u32, name: &str) -> u64 {
        let hash = ring_hash(name, self.round());
        self.endpoints.insert((hash, endpoint));
        hash
    }

    pub(crate) fn remove(&mut self, endpoint: u32, hash: u64) {
        self.endpoints.remove(&(hash, endpoint));
    }

    /// Number of times that the selected range was doubled; `None` if no range is selected.
    pub(crate) fn doublings(&self) -> Option<u32> {
        self.doublings
    }

    /// Selects the range after this number of doublings, or no range.
    pub(crate) fn select(&mut self, doublings: Option<u32>) {
        self.doublings = doublings;
    }

    /// Doubles the selected range. Returns false if no range is selected, or if the whole ring already is.
    pub(crate) fn double(&mut self) -> bool {
        let max_doublings = self.partition.max_doublings();
        match &mut self.doublings {
            Some(doublings) if *doublings < max_doublings => {
                *doublings += 1;
                true
            }
            _ => false,
        }
    }

    /// Whether an endpoint with this hash is in the selected range.
    pub(crate) fn selects(&self, hash: u64) -> bool {
        self.doublings
            .is_some_and(|doublings| self.range(doublings).contains(hash))
    }

    /// Endpoints in the selected range: those in the range before any doubling first, followed by those in each doubled
    /// range, which includes the previous ones again.
    pub(crate) fn selected(&self) -> impl Iterator<Item = u32> + '_ {
        let doublings = self.doublings.into_iter().flat_map(|current| 0..=current);
        doublings.flat_map(|doublings| {
            let HashRange { first, last } = self.range(doublings);
            let in_range = self.endpoints.range((first, 0)..=(last, u32::MAX));
            in_range.map(|&(_, endpoint)| endpoint)
        })
    }

    /// Partitions the ring again if its endpoints have become too many or too few for ranges of `target_size`. Returns
    /// whether the partition has changed.
    ///
    /// This may move the proxy to another round, whose ring has other hashes. In this case `rehash` is called with each
    /// endpoint and the number of the new round, and returns the endpoint's hash on the new ring.
    pub(crate) fn repartition(
        &mut self,
        target_size: usize,
        mut rehash: impl FnMut(u32, u32) -> Option<u64>,
    ) -> bool {
        let partition = self.partition.for_fleet(self.endpoints.len(), target_size);
        if partition == self.partition {
            return false;
        }
        let old_round = self.round();
        self.partition = partition;
        self.doublings = self
            .doublings
            .map(|doublings| doublings.min(partition.max_doublings()));
        let round = self.round();
        if round != old_round {
            self.endpoints = std::mem::take(&mut self.endpoints)
                .into_iter()
                .filter_map(|(_, endpoint)| Some((rehash(endpoint, round)?, endpoint)))
                .collect();
        }
        true
    }

    fn round(&self) -> u32 {
        self.partition.assignment(self.proxy).round
    }

    fn range(&self, doublings: u32) -> HashRange {
        let assignment = self.partition.assignment(self.proxy);
        self.partition.hash_range(assignment, doublings)
    }
}
