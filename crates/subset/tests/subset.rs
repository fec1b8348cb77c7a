//! Tests of how the subset changes with the list, the calls and the health of its members.

use badgerramp_subset::{Health, Instance, MembershipChange, Subset, SubsetConfig};
use proptest::prelude::*;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

fn subset_of_fleet(config: SubsetConfig, instance: Instance, endpoints: u32) -> Subset {
    let mut subset = Subset::new(config, instance);
    let all: Vec<u32> = (0..endpoints).collect();
    all.iter()
        .for_each(|&n| subset.add(n, &format!("e{n}"), n % 3 == 0));
    subset.apply_list_change(0, &all);
    subset
}

fn members(subset: &Subset) -> BTreeSet<u32> {
    subset.members().collect()
}

fn healthy(subset: &Subset) -> Health {
    Health {
        usable: members(subset).len(),
        in_flight: 1,
        queued: 0,
    }
}

#[test]
fn each_endpoint_belongs_to_one_proxy_of_every_round() {
    let mut proxies_per_endpoint = vec![0_u32; 1_000];
    for number in 0..64 * 10 {
        let config = SubsetConfig {
            min_size: 1,
            ..SubsetConfig::with_size(20)
        };
        let subset = subset_of_fleet(config, Instance { number, count: 640 }, 1_000);
        members(&subset)
            .into_iter()
            .for_each(|endpoint| proxies_per_endpoint[endpoint as usize] += 1);
    }
    assert!(
        proxies_per_endpoint.iter().all(|&proxies| proxies == 10),
        "there are ten rounds of 64 proxies: {proxies_per_endpoint:?}"
    );
}

#[test]
fn removed_or_added_endpoint_moves_no_other() {
    for number in 0..100 {
        let mut subset = subset_of_fleet(
            SubsetConfig {
                min_size: 1,
                ..SubsetConfig::with_size(20)
            },
            Instance { number, count: 100 },
            1_000,
        );
        let before = members(&subset);
        let removed = *before.iter().next().expect("at least one member");
        subset.remove(removed);
        let changes = subset.apply_list_change(SECOND, &[removed]);
        assert_eq!(
            changes,
            MembershipChange {
                added: vec![],
                removed: vec![removed]
            }
        );
        subset.add(5_000, "new", true);
        let changes = subset.apply_list_change(SECOND, &[5_000]);
        assert!(changes.removed.is_empty() && changes.added.len() <= 1);
    }
}

#[test]
fn subset_grows_immediately_when_no_member_is_usable() {
    let mut subset = subset_of_fleet(
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
    // The growth interval is ignored, as still no member is usable.
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
    assert!(
        members(&subset).len() <= 40,
        "the subset does not grow beyond the maximum size"
    );
}

#[test]
fn overload_grows_subset_in_steps_and_low_load_shrinks_it_to_initial_members() {
    let mut subset = subset_of_fleet(
        SubsetConfig::with_size(10),
        Instance {
            number: 7,
            count: 500,
        },
        1_000,
    );
    let first = members(&subset);
    let overloaded = |subset: &Subset| Health {
        usable: members(subset).len(),
        in_flight: 90,
        queued: 5,
    };
    let grown = subset.adjust_size(SECOND, overloaded(&subset));
    assert!(grown.added.len() >= first.len() / 2);
    let health = overloaded(&subset);
    assert!(
        subset.adjust_size(SECOND + 1_000, health).is_empty(),
        "the subset does not grow again within the growth interval"
    );
    let now = 3 * SECOND;
    let health = overloaded(&subset);
    assert!(!subset.adjust_size(now, health).is_empty());
    let health = healthy(&subset);
    assert!(subset.adjust_size(now + 29 * SECOND, health).is_empty());
    let mut at = now + 31 * SECOND;
    for _ in 0..4 {
        let health = healthy(&subset);
        assert!(subset.adjust_size(at, health).added.is_empty());
        at += 31 * SECOND;
    }
    assert_eq!(members(&subset), first, "the initial range is selected");
}

#[test]
fn own_zone_is_preferred_until_too_few_members_are_usable() {
    let config = SubsetConfig {
        prefer_own_zone: true,
        ..SubsetConfig::with_size(10)
    };
    let mut subset = subset_of_fleet(
        config,
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
    // A zone of two endpoints is smaller than the minimum size, so endpoints in other zones are added.
    let mut subset = Subset::new(
        config,
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
fn fleet_smaller_than_target_is_selected_completely() {
    for number in 0..50 {
        assert_eq!(
            members(&subset_of_fleet(
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
fn replacing_half_of_the_fleet_keeps_minimum_size() {
    for number in 0..200 {
        let mut subset = subset_of_fleet(
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

/// A change of the fleet or of the load.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add {
        endpoint: u32,
        in_own_zone: bool,
    },
    Remove {
        endpoint: u32,
    },
    AdjustSize(Health),
    /// A time without calls that is long enough for the subset to shrink.
    Idle,
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = 0_u32..80;
    let add = (endpoint.clone(), any::<bool>());
    let health = (0_usize..4, any::<bool>());
    prop_oneof![
        2 => add.prop_map(|(endpoint, in_own_zone)| Step::Add { endpoint, in_own_zone }),
        1 => endpoint.prop_map(|endpoint| Step::Remove { endpoint }),
        1 => health.prop_map(|(usable, queued)| Step::AdjustSize(Health {
            usable,
            in_flight: 3,
            queued: usize::from(queued),
        })),
        1 => Just(Step::Idle),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// For any sequence of steps, the members are listed endpoints, their number is within the limits, and each
    /// reported change turns the previous members into the current ones.
    #[test]
    fn reported_changes_match_members_within_size_limits(
        number in 0_u32..300,
        size in 2_usize..12,
        prefer_own_zone: bool,
        steps in proptest::collection::vec(step(), 1..250),
    ) {
        let config = SubsetConfig { prefer_own_zone, ..SubsetConfig::with_size(size) };
        let mut subset = Subset::new(config, Instance { number, count: 300 });
        let mut reported = BTreeSet::new();
        let mut listed = BTreeSet::new();
        let mut now = 0;
        for step in steps {
            now += SECOND / 10;
            let change = match step {
                Step::Add { endpoint, in_own_zone } => {
                    subset.add(endpoint, &format!("e{endpoint}"), in_own_zone);
                    listed.insert(endpoint);
                    subset.apply_list_change(now, &[endpoint])
                }
                Step::Remove { endpoint } => {
                    subset.remove(endpoint);
                    listed.remove(&endpoint);
                    subset.apply_list_change(now, &[endpoint])
                }
                Step::AdjustSize(health) => subset.adjust_size(now, health),
                Step::Idle => {
                    now += 40 * SECOND;
                    let health = Health { usable: subset.member_count(), in_flight: 0, queued: 0 };
                    subset.adjust_size(now, health)
                }
            };
            for endpoint in &change.removed {
                reported.remove(endpoint);
            }
            reported.extend(change.added);
            let current = members(&subset);
            prop_assert_eq!(&reported, &current);
            prop_assert!(current.is_subset(&listed));
            let min_size = config.min_size.min(listed.len());
            prop_assert!(current.len() >= min_size, "{} of {}", current.len(), listed.len());
            prop_assert!(current.len() <= config.max_size, "{}", current.len());
        }
    }
}
