//! Tests of `weighted_set`.

use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

#[test]
fn the_weighted_set_agrees_with_a_plain_list_through_any_changes() {
    let mut random = Pcg32::seed_from_u64(3);
    let (mut set, mut plain) = (WeightedSet::default(), vec![0_u64; 300]);
    for _ in 0..20_000 {
        let slot = random.gen_range(0..plain.len());
        let weight = if random.gen() {
            0
        } else {
            random.gen_range(0..5)
        };
        set.set(slot, weight);
        plain[slot] = weight;
        let total: u64 = plain.iter().sum();
        assert_eq!(
            (set.total(), set.len()),
            (total, plain.iter().filter(|&&w| w > 0).count())
        );
        if total > 0 {
            let mark = random.gen_range(0..total);
            let mut end = 0;
            let wanted = plain.iter().position(|w| {
                end += w;
                mark < end
            });
            assert_eq!(set.at(mark), wanted.map(|slot| (slot, end)));
        }
        assert_eq!(set.at(total), None);
    }
    let members: Vec<usize> = (0..plain.len()).filter(|&s| plain[s] > 0).collect();
    let mut walked: Vec<usize> = set.from(set.total() / 2).collect();
    walked.sort_unstable();
    assert_eq!(walked, members, "each once, wherever the walk starts");
}

#[test]
fn weights_keep_the_ratio_of_sizes_and_none_is_zero() {
    assert_eq!(weight(0.0), 1);
    assert_eq!(weight(3.0), 3 * weight(1.0));
    assert!((size(weight(0.37)) - 0.37).abs() < 1e-5);
    assert!(weight(f64::INFINITY) < u64::MAX / 10_000);
}
