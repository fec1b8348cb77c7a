use super::*;
use proptest::prelude::*;
use std::collections::HashSet;

#[test]
fn what_is_too_old_is_not_taken_and_the_oldest_sender_is_forgotten() {
    let mut replays = ReplayFilter::default();
    assert!(replays.accept(1, 5_000) && replays.accept(1, 3_977) && !replays.accept(1, 3_976));
    for sender in 2..=MAX_SENDERS as u64 {
        assert!(replays.accept(sender, 1));
    }
    assert!(!replays.accept(1, 5_000));
    assert!(
        replays.accept(9_999, 1) && replays.accept(2, 1),
        "the one not heard for longest"
    );
    assert_eq!(replays.senders.len(), MAX_SENDERS);
}

proptest! {
    #[test]
    fn each_message_is_taken_once_in_any_order(mut counts in prop::collection::vec(1..1_000u64, 1..200)) {
        let (mut replays, mut taken) = (ReplayFilter::default(), HashSet::new());
        counts.push(1_500);
        for count in counts {
            prop_assert_eq!(replays.accept(7, count), taken.insert(count));
        }
    }
}
