//! Tests of the rate limit on log lines.

use super::*;

#[test]
fn lines_over_the_rate_limit_are_dropped_and_reported_in_the_next_second() {
    let limiter = RateLimiter::new(3, false, ());
    let start = Instant::now();
    let admitted: Vec<bool> = (0..5).map(|_| limiter.admit(start).0).collect();
    assert_eq!(admitted, [true, true, true, false, false]);
    assert_eq!(
        limiter.admit(start + Duration::from_millis(1_001)),
        (true, 2)
    );
    assert_eq!(
        limiter.admit(start + Duration::from_millis(1_002)),
        (true, 0)
    );
}
