use super::*;
use crate::endpoint_list::tests::{gone, up};
use proptest::prelude::*;

fn hosts(names: &[&str]) -> EndpointList {
    EndpointList::new(names.iter().map(|n| up(n)))
}

const ALL: [&str; 5] = ["a", "b", "c", "d", "e"];

#[test]
fn an_old_list_first_is_doubted_and_a_restored_service_begins_a_new_life() {
    let mut acceptance = ListAcceptance::default();
    assert!(
        matches!(acceptance.offer_service_list(0, 41, hosts(&ALL)), Verdict::Newer(c) if c.len() == 5)
    );
    // Back after a cut, with an old list first, then the one that is believed.
    assert_eq!(
        acceptance.offer_service_list(10, 7, hosts(&ALL[..4])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(1_000_000, 41, hosts(&ALL)),
        Verdict::Duplicate
    );
    // Restored for good.
    assert_eq!(
        acceptance.offer_service_list(5_000_000, 7, hosts(&ALL[..4])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(14_999_999, 8, hosts(&ALL[..3])),
        Verdict::Quarantined
    );
    assert!(
        matches!(acceptance.offer_service_list(15_000_000, 8, hosts(&ALL[..3])), Verdict::Newer(c) if c.len() == 2)
    );
    assert_eq!(
        acceptance.version().map(|s| (s.incarnation, s.index)),
        Some((2, 8))
    );
    // Another service that tells something else does not make it swing.
    assert_eq!(
        acceptance.offer_service_list(20_000_000, 5, hosts(&ALL)),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(40_000_000, 5, hosts(&ALL)),
        Verdict::Quarantined
    );
    assert!(matches!(
        acceptance.offer_service_list(80_000_000, 5, hosts(&ALL)),
        Verdict::Newer(_)
    ));
}

#[test]
fn half_a_list_and_none_are_doubted_and_words_on_single_hosts_are_not() {
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, hosts(&ALL));
    assert_eq!(
        acceptance.offer_service_list(10, 42, hosts(&ALL[..2])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(20, 43, hosts(&[])),
        Verdict::Quarantined
    );
    assert_eq!(acceptance.quarantined, 2);
    assert!(matches!(
        acceptance.offer_service_changes(30, 44, &[gone("a"), gone("b"), gone("c")]),
        Verdict::Newer(_)
    ));
    assert_eq!(acceptance.accepted().map(|h| h.hosts.count_up()), Some(2));
    // Three of five, and few are no half.
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, hosts(&ALL));
    assert!(matches!(
        acceptance.offer_service_list(10, 42, hosts(&ALL[..3])),
        Verdict::Newer(_)
    ));
    assert!(matches!(
        acceptance.offer_service_list(20, 43, hosts(&[])),
        Verdict::Newer(_)
    ));
}

#[test]
fn a_peer_tells_only_what_is_newer_and_fits() {
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, hosts(&ALL));
    let own = acceptance.version().expect("a list");
    let next = hosts(&ALL[1..]);
    let to = ListVersion {
        index: 42,
        digest: next.digest(),
        ..own
    };
    let old = ListVersion { index: 40, ..to };
    assert_eq!(
        acceptance.offer_peer_list(1, old, next.clone()),
        Verdict::Duplicate
    );
    assert_eq!(
        acceptance.offer_peer_changes(1, (old, to), &[gone("a")]),
        Verdict::Invalid,
        "from another list"
    );
    assert_eq!(
        acceptance.offer_peer_changes(1, (own, to), &[gone("b")]),
        Verdict::Invalid,
        "to another list"
    );
    assert_eq!(
        acceptance.offer_peer_changes(1, (own, to), &[gone("a")]),
        Verdict::Newer(vec![gone("a")])
    );
    assert_eq!(acceptance.offer_peer_list(2, to, next), Verdict::Duplicate);
}

proptest! {
    /// Any order of peers' words, with repeats and losses: the newest list that was told is accepted, and nothing that
    /// it has removed.
    #[test]
    fn the_newest_list_told_is_the_one_held(words in prop::collection::vec((1..3u32, 0..6u64, any::<bool>()), 1..40)) {
        // The lists of an incarnation: hosts come and go with each version.
        let made = |incarnation: u32, index: u64| {
            let names: Vec<String> = (0..8).filter(|n| !(n + index + u64::from(incarnation)).is_multiple_of(3)).map(|n| format!("s{n}")).collect();
            let hosts = EndpointList::new(names.iter().map(|n| up(n)));
            (ListVersion { incarnation, index, digest: hosts.digest() }, hosts)
        };
        let (mut acceptance, mut newest) = (ListAcceptance::default(), None);
        for (at, (incarnation, index, as_news)) in words.into_iter().enumerate() {
            let (version, hosts) = made(incarnation, index);
            let verdict = if as_news && index > 0 {
                let (from, old) = made(incarnation, index - 1);
                acceptance.offer_peer_changes(at as Micros, (from, version), &hosts.diff_from(&old))
            } else { acceptance.offer_peer_list(at as Micros, version, hosts) };
            if verdict != Verdict::Invalid {
                newest = newest.max(Some(version));
            }
            prop_assert_eq!(acceptance.version(), newest);
            if let Some(accepted) = acceptance.accepted() {
                prop_assert_eq!(&made(accepted.version.incarnation, accepted.version.index).1, &accepted.hosts);
            }
        }
    }
}
