//! Tests of which stalls are detected, and how long requests are held after them.

use super::*;

#[test]
fn late_tick_holds_requests_until_pending_input_is_read() {
    let mut detector = StallDetector::new(250_000, 1_000_000);
    assert_eq!(
        [0, 250_000, 750_000].map(|now| detector.catch_up_time(now)),
        [None; 3]
    );
    // Requests are held before the late tick, as other tasks may run first, and for a while after it.
    assert_eq!(detector.catch_up_time(5_000_000), Some(CATCH_UP_TIME));
    detector.tick(5_000_000, 250_000);
    assert_eq!(
        detector.catch_up_time(5_005_000),
        Some(CATCH_UP_TIME - 5_000)
    );
    assert_eq!(detector.catch_up_time(5_000_000 + CATCH_UP_TIME), None);
    // Ticks that are in time have no effect.
    detector.tick(5_300_000, 1_000_000);
    assert_eq!(
        [5_300_000, 6_700_000].map(|now| detector.catch_up_time(now)),
        [None; 2]
    );
}
