//! The partition of a fleet's hash ring among the proxies of a round.
//!
//! This is deterministic subsetting in rounds (B. Beyer et al., *Site Reliability Engineering*, 2016, chapter 20). Each
//! round consists of as many consecutive proxies as there are subsets, and assigns each endpoint to exactly one of
//! them. Instead of a shuffled list, each round has its own hash ring, so that adding or removing an endpoint moves no
//! other one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of times that a ring is split in half. Narrower ranges would differ by less than one endpoint.
const MAX_SPLITS: u32 = 20;
/// Factor by which the size of a subset may differ from the target before the ring is partitioned again. Without this
/// tolerance, all connections would move each time that the number of subsets crosses the boundary between two powers
/// of two.
const REPARTITION_FACTOR: f64 = 1.6;

/// The round of a proxy, and its range within the round's ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// Number of the round, from 0.
    pub(crate) round: u32,
    /// A hash whose leading bits are common to all hashes in the proxy's range.
    prefix: u64,
}

/// The range of hashes from `first` to `last`, both included.
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

/// A partition of a ring into equal ranges, by splitting it in half `splits` times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Partition {
    splits: u32,
}

impl Partition {
    /// Returns the partition of a fleet of this size in which a range holds about `target_size` endpoints, or this
    /// partition if it does not differ by more than [`REPARTITION_FACTOR`].
    #[must_use]
    pub(crate) fn for_fleet(self, endpoints: usize, target_size: usize) -> Self {
        let target_subsets = endpoints as f64 / target_size.max(1) as f64;
        let subsets = f64::from(self.subset_count());
        if target_subsets <= subsets * REPARTITION_FACTOR
            && target_subsets >= subsets / REPARTITION_FACTOR
        {
            return self;
        }
        let splits = target_subsets.max(1.0).log2().round() as u32;
        Partition {
            splits: splits.min(MAX_SPLITS),
        }
    }

    /// Number of ranges, which is the number of proxies in a round.
    pub(crate) fn subset_count(self) -> u32 {
        1 << self.splits
    }

    /// Number of times that a proxy can double its range until it is the whole ring.
    pub(crate) fn max_doublings(self) -> u32 {
        self.splits
    }

    /// The assignment of the proxy with this number.
    pub(crate) fn assignment(self, proxy: u32) -> Assignment {
        let position = u64::from(proxy & (self.subset_count() - 1));
        // Proxies with consecutive numbers get distant ranges, so that proxies that were started together double their
        // ranges into different parts of the ring.
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

    /// The range of a proxy after this number of doublings.
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

/// Hash of an endpoint on the ring of a round. All proxies, of this and of every later version, must compute the same
/// hash, so it depends on the arguments alone and uses a published function (XXH3).
pub(crate) fn ring_hash(endpoint_name: &str, round: u32) -> u64 {
    xxh3_64_with_seed(endpoint_name.as_bytes(), u64::from(round))
}

#[cfg(test)]
mod tests;
