//! Tests of the acceptance and the quarantine of lists.

use super::*;
use crate::endpoint_list::tests::{removed, up};
use proptest::prelude::*;

fn list_of(names: &[&str]) -> EndpointList {
    EndpointList::new(names.iter().map(|n| up(n)))
}

const ALL: [&str; 5] = ["a", "b", "c", "d", "e"];

#[test]
fn older_list_is_quarantined_and_then_accepted_as_a_new_incarnation() {
    let mut acceptance = ListAcceptance::default();
    assert!(
        matches!(acceptance.offer_service_list(0, 41, list_of(&ALL)), Verdict::Newer(c) if c.len() == 5)
    );
    // A restarted service first answers with an older list, then with the accepted one.
    assert_eq!(
        acceptance.offer_service_list(10, 7, list_of(&ALL[..4])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(1_000_000, 41, list_of(&ALL)),
        Verdict::Duplicate
    );
    // The service was restored from an older state, and keeps sending an older list.
    assert_eq!(
        acceptance.offer_service_list(5_000_000, 7, list_of(&ALL[..4])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(14_999_999, 8, list_of(&ALL[..3])),
        Verdict::Quarantined
    );
    assert!(
        matches!(acceptance.offer_service_list(15_000_000, 8, list_of(&ALL[..3])), Verdict::Newer(c) if c.len() == 2)
    );
    assert_eq!(
        acceptance.version().map(|s| (s.incarnation, s.index)),
        Some((2, 8))
    );
    // Another service with a different list must not make the proxy alternate between the two lists.
    assert_eq!(
        acceptance.offer_service_list(20_000_000, 5, list_of(&ALL)),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(40_000_000, 5, list_of(&ALL)),
        Verdict::Quarantined
    );
    assert!(matches!(
        acceptance.offer_service_list(80_000_000, 5, list_of(&ALL)),
        Verdict::Newer(_)
    ));
}

#[test]
fn partial_and_empty_lists_are_quarantined_and_single_changes_are_accepted() {
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, list_of(&ALL));
    assert_eq!(
        acceptance.offer_service_list(10, 42, list_of(&ALL[..2])),
        Verdict::Quarantined
    );
    assert_eq!(
        acceptance.offer_service_list(20, 43, list_of(&[])),
        Verdict::Quarantined
    );
    assert_eq!(acceptance.quarantined, 2);
    assert!(matches!(
        acceptance.offer_service_changes(30, 44, &[removed("a"), removed("b"), removed("c")]),
        Verdict::Newer(_)
    ));
    assert_eq!(
        acceptance.accepted().map(|list| list.endpoints.count_up()),
        Some(2)
    );
    // Two of five endpoints are fewer than half; with fewer than four endpoints there is no check for partial lists.
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, list_of(&ALL));
    assert!(matches!(
        acceptance.offer_service_list(10, 42, list_of(&ALL[..3])),
        Verdict::Newer(_)
    ));
    assert!(matches!(
        acceptance.offer_service_list(20, 43, list_of(&[])),
        Verdict::Newer(_)
    ));
}

#[test]
fn peer_lists_and_changes_are_accepted_only_if_newer_and_applicable() {
    let mut acceptance = ListAcceptance::default();
    acceptance.offer_service_list(0, 41, list_of(&ALL));
    let own = acceptance.version().expect("a list");
    let next = list_of(&ALL[1..]);
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
        acceptance.offer_peer_changes(1, old, to, &[removed("a")]),
        Verdict::Invalid,
        "the changes are from a list that is not the accepted one"
    );
    assert_eq!(
        acceptance.offer_peer_changes(1, own, to, &[removed("b")]),
        Verdict::Invalid,
        "the resulting list has a different digest"
    );
    assert_eq!(
        acceptance.offer_peer_changes(1, own, to, &[removed("a")]),
        Verdict::Newer(vec![removed("a")])
    );
    assert_eq!(acceptance.offer_peer_list(2, to, next), Verdict::Duplicate);
}

proptest! {
    /// Messages from peers arrive in any order, and are duplicated or lost: the accepted list is always the newest list
    /// that was offered, without the endpoints that were removed from it.
    #[test]
    fn newest_offered_list_is_the_accepted_one_in_any_order(messages in prop::collection::vec((1..3u32, 0..6u64, any::<bool>()), 1..40)) {
        // Each version of the list has different endpoints.
        let list_at = |incarnation: u32, index: u64| {
            let names: Vec<String> = (0..8).filter(|n| !(n + index + u64::from(incarnation)).is_multiple_of(3)).map(|n| format!("s{n}")).collect();
            let list = EndpointList::new(names.iter().map(|n| up(n)));
            (ListVersion { incarnation, index, digest: list.digest() }, list)
        };
        let (mut acceptance, mut newest) = (ListAcceptance::default(), None);
        for (at, (incarnation, index, as_changes)) in messages.into_iter().enumerate() {
            let (version, list) = list_at(incarnation, index);
            let verdict = if as_changes && index > 0 {
                let (from, old) = list_at(incarnation, index - 1);
                acceptance.offer_peer_changes(at as Micros, from, version, &list.diff_from(&old))
            } else { acceptance.offer_peer_list(at as Micros, version, list) };
            if verdict != Verdict::Invalid {
                newest = newest.max(Some(version));
            }
            prop_assert_eq!(acceptance.version(), newest);
            if let Some(accepted) = acceptance.accepted() {
                prop_assert_eq!(&list_at(accepted.version.incarnation, accepted.version.index).1, &accepted.endpoints);
            }
        }
    }
}
