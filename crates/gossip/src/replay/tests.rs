//! Tests of the replay filter.

use super::*;
use proptest::prelude::*;
use std::collections::HashSet;

#[test]
fn messages_before_the_window_are_rejected_and_the_least_recent_sender_is_evicted() {
    let mut filter = ReplayFilter::default();
    assert!(filter.accept(1, 5_000) && filter.accept(1, 3_977) && !filter.accept(1, 3_976));
    for sender in 2..=MAX_SENDERS as u64 {
        assert!(filter.accept(sender, 1));
    }
    assert!(!filter.accept(1, 5_000));
    assert!(
        filter.accept(9_999, 1) && filter.accept(2, 1),
        "the window of the least recent sender is evicted"
    );
    assert_eq!(filter.windows.len(), MAX_SENDERS);
}

proptest! {
    #[test]
    fn each_message_is_accepted_once_in_any_order(mut sequences in prop::collection::vec(1..1_000u64, 1..200)) {
        let (mut filter, mut accepted) = (ReplayFilter::default(), HashSet::new());
        sequences.push(1_500);
        for sequence in sequences {
            prop_assert_eq!(filter.accept(7, sequence), accepted.insert(sequence));
        }
    }
}
