//! The subset through changes of list, traffic and health.

use badgerramp_subset::{Changes, Health, Instance, Need, Subset};
use proptest::prelude::*;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

fn filled(need: Need, instance: Instance, endpoints: u32) -> Subset {
    let mut subset = Subset::new(need, instance);
    let all: Vec<u32> = (0..endpoints).collect();
    all.iter()
        .for_each(|&n| subset.add(n, &format!("e{n}"), n % 3 == 0));
    subset.listed(0, &all);
    subset
}

fn members(subset: &Subset) -> BTreeSet<u32> {
    subset.members().collect()
}

fn well(subset: &Subset) -> Health {
    Health {
        usable: members(subset).len(),
        in_flight: 1,
        waiting: 0,
    }
}

#[test]
fn each_endpoint_has_as_many_proxies_as_there_are_teams() {
    let mut held = vec![0_u32; 1_000];
    for number in 0..64 * 10 {
        let need = Need {
            least: 1,
            ..Need::of(20)
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
            Need {
                least: 1,
                ..Need::of(20)
            },
            Instance { number, count: 100 },
            1_000,
        );
        let before = members(&subset);
        let gone = *before.iter().next().expect("some");
        subset.remove(gone);
        let changes = subset.listed(SECOND, &[gone]);
        assert_eq!(
            changes,
            Changes {
                joined: vec![],
                left: vec![gone]
            }
        );
        subset.add(5_000, "new", true);
        let changes = subset.listed(SECOND, &[5_000]);
        assert!(changes.left.is_empty() && changes.joined.len() <= 1);
    }
}

#[test]
fn members_that_all_fail_at_once_are_made_up_for_at_once() {
    let mut subset = filled(
        Need::of(10),
        Instance {
            number: 5,
            count: 500,
        },
        1_000,
    );
    let first = members(&subset);
    let changes = subset.pulse(
        SECOND,
        Health {
            usable: 0,
            in_flight: 0,
            waiting: 3,
        },
    );
    assert!(changes.left.is_empty() && changes.joined.iter().all(|e| !first.contains(e)));
    // Nobody is left still: no pause.
    let more = subset.pulse(
        SECOND,
        Health {
            usable: 0,
            in_flight: 0,
            waiting: 3,
        },
    );
    assert!(!changes.joined.is_empty() && !more.joined.is_empty());
    for _ in 0..20 {
        subset.pulse(SECOND, Health::default());
    }
    assert!(members(&subset).len() <= 40, "never beyond the most");
}

#[test]
fn a_quiet_proxy_that_turns_busy_grows_step_by_step_and_goes_back_when_that_is_over() {
    let mut subset = filled(
        Need::of(10),
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
        waiting: 5,
    };
    let grown = subset.pulse(SECOND, full(&subset));
    assert!(grown.joined.len() >= first.len() / 2);
    let health = full(&subset);
    assert!(
        subset.pulse(SECOND + 1_000, health).is_empty(),
        "what the step does must show first"
    );
    let now = 3 * SECOND;
    let health = full(&subset);
    assert!(!subset.pulse(now, health).is_empty());
    let health = well(&subset);
    assert!(subset.pulse(now + 29 * SECOND, health).is_empty());
    let mut at = now + 31 * SECOND;
    for _ in 0..4 {
        let health = well(&subset);
        assert!(subset.pulse(at, health).joined.is_empty());
        at += 31 * SECOND;
    }
    assert_eq!(members(&subset), first, "the part that is its own");
}

#[test]
fn the_own_zone_comes_first_and_others_only_when_it_fails() {
    let need = Need {
        own_zone: true,
        ..Need::of(10)
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
        subset.pulse(SECOND, Health::default());
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
    subset.listed(0, &(0..100).collect::<Vec<_>>());
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
            members(&filled(Need::of(20), Instance { number, count: 50 }, 7)).len(),
            7
        );
    }
}

#[test]
fn half_of_the_fleet_replaced_leaves_every_proxy_with_enough() {
    for number in 0..200 {
        let mut subset = filled(Need::of(20), Instance { number, count: 200 }, 1_000);
        let mut touched = Vec::new();
        for n in (0..1_000).step_by(2) {
            subset.remove(n);
            subset.add(10_000 + n, &format!("new{n}"), false);
            touched.extend([n, 10_000 + n]);
        }
        subset.listed(SECOND, &touched);
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
        let need = Need { own_zone, ..Need::of(size) };
        let mut subset = Subset::new(need, Instance { number, count: 300 });
        let (mut told, mut listed, mut now) = (BTreeSet::new(), BTreeSet::new(), 0);
        for (what, endpoint, flag) in steps {
            now += 100_000;
            let changes = match what {
                0 | 1 => {
                    subset.add(endpoint, &format!("e{endpoint}"), flag);
                    listed.insert(endpoint);
                    subset.listed(now, &[endpoint])
                }
                2 => {
                    subset.remove(endpoint);
                    listed.remove(&endpoint);
                    subset.listed(now, &[endpoint])
                }
                3 => subset.pulse(now, Health { usable: endpoint as usize % 4, in_flight: 3, waiting: usize::from(flag) }),
                _ => {
                    now += 40_000_000;
                    let usable = subset.members().count();
                    subset.pulse(now, Health { usable, in_flight: 0, waiting: 0 })
                }
            };
            changes.left.iter().for_each(|e| { told.remove(e); });
            told.extend(changes.joined.iter().copied());
            let held: BTreeSet<u32> = subset.members().collect();
            prop_assert_eq!(&told, &held);
            prop_assert!(held.is_subset(&listed));
            prop_assert!(held.len() >= need.least.min(listed.len()), "{} of {}", held.len(), listed.len());
            prop_assert!(held.len() <= need.most, "{}", held.len());
        }
    }
}
