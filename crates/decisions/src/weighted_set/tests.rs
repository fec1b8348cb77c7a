//! Tests of `weighted_set`.

use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

#[test]
fn random_changes_match_a_reference_list() {
    let mut random = Pcg32::seed_from_u64(3);
    let (mut set, mut reference) = (WeightedSet::default(), vec![0_u64; 300]);
    for _ in 0..20_000 {
        let slot = random.gen_range(0..reference.len());
        let weight = if random.gen() {
            0
        } else {
            random.gen_range(0..5)
        };
        set.set(slot, weight);
        reference[slot] = weight;
        let total: u64 = reference.iter().sum();
        assert_eq!(
            (set.total(), set.len()),
            (total, reference.iter().filter(|&&w| w > 0).count())
        );
        if total > 0 {
            let offset = random.gen_range(0..total);
            let mut end = 0;
            let expected = reference.iter().position(|w| {
                end += w;
                offset < end
            });
            assert_eq!(set.slot_at(offset), expected.map(|slot| (slot, end)));
        }
        assert_eq!(set.slot_at(total), None);
    }
    let members: Vec<usize> = (0..reference.len()).filter(|&s| reference[s] > 0).collect();
    let mut visited: Vec<usize> = set.iter_from(set.total() / 2).collect();
    visited.sort_unstable();
    assert_eq!(
        visited, members,
        "iteration must visit each slot exactly once"
    );
}

#[test]
fn weights_are_proportional_to_sizes_and_never_zero() {
    assert_eq!(weight(0.0), 1);
    assert_eq!(weight(3.0), 3 * weight(1.0));
    assert!((size(weight(0.37)) - 0.37).abs() < 1e-5);
    assert!(weight(f64::INFINITY) < u64::MAX / 10_000);
}
