//! Partitions the hash ring of a fleet among the proxies of a round.
//!
//! This is deterministic subsetting in rounds (B. Beyer et al., *Site Reliability Engineering*, 2016, chapter 20). Each
//! round consists of as many consecutive proxies as there are subsets, and assigns each endpoint to exactly one of them. In
//! place of a shuffled list, each round has its own hash ring, so that an endpoint that comes or goes moves no other one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A ring has at most two to this power ranges, so that ranges still differ by whole endpoints.
const MAX_SPLITS: u32 = 20;
/// Factor by which the size of a subset may differ from the target before the ring is partitioned again. A fleet whose
/// size varies around a power of two must not move all connections each time.
const REPARTITION_FACTOR: f64 = 1.6;

/// The place of one proxy among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// Number of the proxy's round, from 0.
    pub(crate) round: u32,
    /// Its leading bits are those of all hashes in the proxy's range.
    prefix: u64,
}

/// Hashes from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HashRange {
    pub(crate) first: u64,
    pub(crate) last: u64,
}

impl HashRange {
    const FULL: HashRange = HashRange {
        first: 0,
        last: u64::MAX,
    };

    pub(crate) fn contains(self, hash: u64) -> bool {
        (self.first..=self.last).contains(&hash)
    }
}

/// Splits a ring into two to the power of `splits` equal ranges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Partition {
    splits: u32,
}

impl Partition {
    /// The partition for a fleet of this size in which a range holds about `target_size` endpoints. It stays as it is
    /// while the ranges are about that large.
    #[must_use]
    pub(crate) fn for_fleet(self, endpoints: usize, target_size: usize) -> Self {
        let wanted_subsets = endpoints as f64 / target_size.max(1) as f64;
        let subsets = f64::from(self.subset_count());
        if wanted_subsets <= subsets * REPARTITION_FACTOR
            && wanted_subsets >= subsets / REPARTITION_FACTOR
        {
            return self;
        }
        let splits = wanted_subsets.max(1.0).log2().round() as u32;
        Partition {
            splits: splits.min(MAX_SPLITS),
        }
    }

    /// Number of ranges, which is the number of proxies in a round.
    pub(crate) fn subset_count(self) -> u32 {
        1 << self.splits
    }

    /// How often a proxy can double its range until it is the whole ring.
    pub(crate) fn max_doublings(self) -> u32 {
        self.splits
    }

    /// The place of the proxy with this number.
    pub(crate) fn assignment(self, proxy: u32) -> Assignment {
        let position = u64::from(proxy & (self.subset_count() - 1));
        // Proxies with neighbouring numbers lie far apart, so that those that were started together widen into different
        // ranges.
        let prefix = if self.splits == 0 {
            0
        } else {
            position.reverse_bits()
        };
        Assignment {
            round: proxy >> self.splits,
            prefix,
        }
    }

    /// The range of a proxy that has doubled it this often.
    pub(crate) fn hash_range(self, assignment: Assignment, doublings: u32) -> HashRange {
        let prefix_bits = self.splits.saturating_sub(doublings);
        if prefix_bits == 0 {
            return HashRange::FULL;
        }
        let mask = u64::MAX << (u64::BITS - prefix_bits);
        let first = assignment.prefix & mask;
        HashRange {
            first,
            last: first | !mask,
        }
    }
}

/// Hash of an endpoint on the ring of a round. It depends on nothing else and XXH3 is a published function, so that all
/// proxies agree on it, in this and every later version.
pub(crate) fn ring_hash(endpoint_name: &str, round: u32) -> u64 {
    xxh3_64_with_seed(endpoint_name.as_bytes(), u64::from(round))
}

#[cfg(test)]
mod tests;
