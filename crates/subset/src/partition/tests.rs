//! Hash ranges of the proxies of a round, and when a fleet is partitioned again.

use super::*;

#[test]
fn a_team_deals_every_place_to_exactly_one_member() {
    for splits in 0..8 {
        let deal = Partition { splits };
        let mut parts: Vec<(u64, u64)> = (0..deal.members())
            .map(|p| deal.part(deal.team(p), 0))
            .collect();
        parts.sort_unstable();
        assert_eq!((parts[0].0, parts[parts.len() - 1].1), (0, u64::MAX));
        assert!(parts.windows(2).all(|w| w[0].1 + 1 == w[1].0), "{parts:?}");
    }
}

#[test]
fn a_wider_part_holds_the_narrower_and_the_widest_is_all() {
    let deal = Partition { splits: 6 };
    for proxy in 0..200 {
        let team = deal.team(proxy);
        for doublings in 0..deal.doublings() {
            let ((a, b), (c, d)) = (deal.part(team, doublings), deal.part(team, doublings + 1));
            assert!(c <= a && b <= d && (b - a) < (d - c));
        }
        assert_eq!(deal.part(team, deal.doublings()), (0, u64::MAX));
    }
}

#[test]
fn a_fleet_that_breathes_is_not_dealt_anew() {
    let deal = Partition::default().for_fleet(1_000, 20);
    assert_eq!(deal.members(), 64);
    assert!((801..2_048).all(|n| deal.for_fleet(n, 20) == deal));
    assert_eq!(deal.for_fleet(5_000, 20).members(), 256);
    assert_eq!(
        deal.for_fleet(10, 20).members(),
        1,
        "fewer than are asked for: all"
    );
}

/// Proxies of another version must deal alike.
#[test]
fn places_are_the_same_in_every_version() {
    assert_eq!(
        place("", 0),
        0x2d06_8005_38d3_94c2,
        "the published value of XXH3-64 of nothing"
    );
}
