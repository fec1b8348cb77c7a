//! Tests of the hash ranges of a round's proxies, and of when a ring is partitioned again.

use super::*;

#[test]
fn round_assigns_every_hash_to_exactly_one_proxy() {
    for splits in 0..8 {
        let partition = Partition { splits };
        let mut ranges: Vec<HashRange> = (0..partition.subset_count())
            .map(|proxy| partition.hash_range(partition.assignment(proxy), 0))
            .collect();
        ranges.sort_unstable_by_key(|range| (range.first, range.last));
        let (first, last) = (ranges[0].first, ranges[ranges.len() - 1].last);
        assert_eq!((first, last), (0, u64::MAX));
        let adjacent = |pair: &[HashRange]| pair[0].last + 1 == pair[1].first;
        assert!(ranges.windows(2).all(adjacent), "{ranges:?}");
    }
}

#[test]
fn doubled_range_contains_previous_one_and_ends_as_full_ring() {
    let partition = Partition { splits: 6 };
    for proxy in 0..200 {
        let assignment = partition.assignment(proxy);
        for doublings in 0..partition.max_doublings() {
            let narrow = partition.hash_range(assignment, doublings);
            let wide = partition.hash_range(assignment, doublings + 1);
            assert!(wide.first <= narrow.first && narrow.last <= wide.last);
            assert!(narrow.last - narrow.first < wide.last - wide.first);
        }
        let widest = partition.hash_range(assignment, partition.max_doublings());
        assert_eq!((widest.first, widest.last), (0, u64::MAX));
    }
}

#[test]
fn small_changes_of_fleet_size_keep_partition() {
    let partition = Partition::default().for_fleet(1_000, 20);
    assert_eq!(partition.subset_count(), 64);
    assert!((801..2_048).all(|endpoints| partition.for_fleet(endpoints, 20) == partition));
    assert_eq!(partition.for_fleet(5_000, 20).subset_count(), 256);
    assert_eq!(
        partition.for_fleet(10, 20).subset_count(),
        1,
        "a fleet smaller than the target size is one subset"
    );
}

/// Proxies of different versions must compute the same hash.
#[test]
fn ring_hash_is_xxh3_in_every_version() {
    assert_eq!(
        ring_hash("", 0),
        0x2d06_8005_38d3_94c2,
        "the published value of XXH3-64 for empty input"
    );
}
