//! Stalls that are noticed, and how long they hold sends back.

use super::*;

#[test]
fn a_beat_that_is_late_holds_sends_back_until_the_news_is_read() {
    let mut stall = StallDetector::new(250_000, 1_000_000);
    assert_eq!(
        [0, 250_000, 750_000].map(|now| stall.catch_up_time(now)),
        [None; 3]
    );
    // Before the late beat, whatever runs first; and after it for a while.
    assert_eq!(stall.catch_up_time(5_000_000), Some(CATCH_UP));
    stall.tick(5_000_000, 250_000);
    assert_eq!(stall.catch_up_time(5_005_000), Some(CATCH_UP - 5_000));
    assert_eq!(stall.catch_up_time(5_000_000 + CATCH_UP), None);
    // Beats in time change nothing.
    stall.tick(5_300_000, 1_000_000);
    assert_eq!(
        [5_300_000, 6_700_000].map(|now| stall.catch_up_time(now)),
        [None; 2]
    );
}
