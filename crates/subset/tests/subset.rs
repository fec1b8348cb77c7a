//! The subset through changes of list, traffic and health.

use badgerramp_subset::{Health, Instance, MembershipChange, Subset, SubsetConfig};
use proptest::prelude::*;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

fn filled(need: SubsetConfig, instance: Instance, endpoints: u32) -> Subset {
    let mut subset = Subset::new(need, instance);
    let all: Vec<u32> = (0..endpoints).collect();
    all.iter()
        .for_each(|&n| subset.add(n, &format!("e{n}"), n % 3 == 0));
    subset.apply_list_change(0, &all);
    subset
}

fn members(subset: &Subset) -> BTreeSet<u32> {
    subset.members().collect()
}

fn well(subset: &Subset) -> Health {
    Health {
        usable: members(subset).len(),
        in_flight: 1,
        queued: 0,
    }
}

#[test]
fn each_endpoint_has_as_many_proxies_as_there_are_teams() {
    let mut held = vec![0_u32; 1_000];
    for number in 0..64 * 10 {
        let need = SubsetConfig {
            min_size: 1,
            ..SubsetConfig::with_size(20)
        };
        let subset = filled(need, Instance { number, count: 640 }, 1_000);
        members(&subset)
            .into_iter()
            .for_each(|e| held[e as usize] += 1);
    }
    assert!(
        held.iter().all(|&n| n == 10),
        "64 members a team, ten teams: {held:?}"
    );
}

#[test]
fn an_endpoint_that_goes_takes_nobody_else_along_and_a_new_one_moves_nothing() {
    for number in 0..100 {
        let mut subset = filled(
            SubsetConfig {
                min_size: 1,
                ..SubsetConfig::with_size(20)
            },
            Instance { number, count: 100 },
            1_000,
        );
        let before = members(&subset);
        let gone = *before.iter().next().expect("some");
        subset.remove(gone);
        let changes = subset.apply_list_change(SECOND, &[gone]);
        assert_eq!(
            changes,
            MembershipChange {
                added: vec![],
                removed: vec![gone]
            }
        );
        subset.add(5_000, "new", true);
        let changes = subset.apply_list_change(SECOND, &[5_000]);
        assert!(changes.removed.is_empty() && changes.added.len() <= 1);
    }
}

#[test]
fn members_that_all_fail_at_once_are_made_up_for_at_once() {
    let mut subset = filled(
        SubsetConfig::with_size(10),
        Instance {
            number: 5,
            count: 500,
        },
        1_000,
    );
    let first = members(&subset);
    let changes = subset.adjust_size(
        SECOND,
        Health {
            usable: 0,
            in_flight: 0,
            queued: 3,
        },
    );
    assert!(changes.removed.is_empty() && changes.added.iter().all(|e| !first.contains(e)));
    // Nobody is left still: no pause.
    let more = subset.adjust_size(
        SECOND,
        Health {
            usable: 0,
            in_flight: 0,
            queued: 3,
        },
    );
    assert!(!changes.added.is_empty() && !more.added.is_empty());
    for _ in 0..20 {
        subset.adjust_size(SECOND, Health::default());
    }
    assert!(members(&subset).len() <= 40, "never beyond the most");
}

#[test]
fn a_quiet_proxy_that_turns_busy_grows_step_by_step_and_goes_back_when_that_is_over() {
    let mut subset = filled(
        SubsetConfig::with_size(10),
        Instance {
            number: 7,
            count: 500,
        },
        1_000,
    );
    let first = members(&subset);
    let full = |s: &Subset| Health {
        usable: members(s).len(),
        in_flight: 90,
        queued: 5,
    };
    let grown = subset.adjust_size(SECOND, full(&subset));
    assert!(grown.added.len() >= first.len() / 2);
    let health = full(&subset);
    assert!(
        subset.adjust_size(SECOND + 1_000, health).is_empty(),
        "what the step does must show first"
    );
    let now = 3 * SECOND;
    let health = full(&subset);
    assert!(!subset.adjust_size(now, health).is_empty());
    let health = well(&subset);
    assert!(subset.adjust_size(now + 29 * SECOND, health).is_empty());
    let mut at = now + 31 * SECOND;
    for _ in 0..4 {
        let health = well(&subset);
        assert!(subset.adjust_size(at, health).added.is_empty());
        at += 31 * SECOND;
    }
    assert_eq!(members(&subset), first, "the part that is its own");
}

#[test]
fn the_own_zone_comes_first_and_others_only_when_it_fails() {
    let need = SubsetConfig {
        prefer_own_zone: true,
        ..SubsetConfig::with_size(10)
    };
    let mut subset = filled(
        need,
        Instance {
            number: 3,
            count: 200,
        },
        600,
    );
    assert!(members(&subset).iter().all(|e| e % 3 == 0));
    for _ in 0..12 {
        subset.adjust_size(SECOND, Health::default());
    }
    let all = members(&subset);
    assert!(all.len() <= 40 && !all.is_empty());
    // A zone of two endpoints is fewer than the least: others make up for it.
    let mut subset = Subset::new(
        need,
        Instance {
            number: 3,
            count: 200,
        },
    );
    (0..100).for_each(|n| subset.add(n, &format!("e{n}"), n < 2));
    subset.apply_list_change(0, &(0..100).collect::<Vec<_>>());
    let all = members(&subset);
    assert!(
        all.len() >= 5 && all.contains(&0) && all.contains(&1),
        "{all:?}"
    );
}

#[test]
fn with_fewer_endpoints_than_are_asked_for_it_is_all_of_them() {
    for number in 0..50 {
        assert_eq!(
            members(&filled(
                SubsetConfig::with_size(20),
                Instance { number, count: 50 },
                7
            ))
            .len(),
            7
        );
    }
}

#[test]
fn half_of_the_fleet_replaced_leaves_every_proxy_with_enough() {
    for number in 0..200 {
        let mut subset = filled(
            SubsetConfig::with_size(20),
            Instance { number, count: 200 },
            1_000,
        );
        let mut touched = Vec::new();
        for n in (0..1_000).step_by(2) {
            subset.remove(n);
            subset.add(10_000 + n, &format!("new{n}"), false);
            touched.extend([n, 10_000 + n]);
        }
        subset.apply_list_change(SECOND, &touched);
        let all = members(&subset);
        assert!(
            all.len() >= 10 && all.iter().all(|&e| e % 2 == 1 || e >= 10_000),
            "{all:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Through any course of changes: its members are listed ones, never too few nor too many, and what it says has
    /// changed makes of the old members the new ones.
    #[test]
    fn what_it_tells_and_what_it_holds_agree(
        number in 0_u32..300,
        size in 2_usize..12,
        own_zone: bool,
        steps in proptest::collection::vec((0_u8..5, 0_u32..80, any::<bool>()), 1..250),
    ) {
        let need = SubsetConfig { prefer_own_zone: own_zone, ..SubsetConfig::with_size(size) };
        let mut subset = Subset::new(need, Instance { number, count: 300 });
        let (mut told, mut listed, mut now) = (BTreeSet::new(), BTreeSet::new(), 0);
        for (what, endpoint, flag) in steps {
            now += 100_000;
            let changes = match what {
                0 | 1 => {
                    subset.add(endpoint, &format!("e{endpoint}"), flag);
                    listed.insert(endpoint);
                    subset.apply_list_change(now, &[endpoint])
                }
                2 => {
                    subset.remove(endpoint);
                    listed.remove(&endpoint);
                    subset.apply_list_change(now, &[endpoint])
                }
                3 => subset.adjust_size(now, Health { usable: endpoint as usize % 4, in_flight: 3, queued: usize::from(flag) }),
                _ => {
                    now += 40_000_000;
                    let usable = subset.members().count();
                    subset.adjust_size(now, Health { usable, in_flight: 0, queued: 0 })
                }
            };
            changes.removed.iter().for_each(|e| { told.remove(e); });
            told.extend(changes.added.iter().copied());
            let held: BTreeSet<u32> = subset.members().collect();
            prop_assert_eq!(&told, &held);
            prop_assert!(held.is_subset(&listed));
            prop_assert!(held.len() >= need.min_size.min(listed.len()), "{} of {}", held.len(), listed.len());
            prop_assert!(held.len() <= need.max_size, "{}", held.len());
        }
    }
}
