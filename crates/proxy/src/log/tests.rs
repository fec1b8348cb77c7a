//! Tests of the bound on log lines.

use super::*;

#[test]
fn lines_beyond_the_bound_are_counted_and_told_in_the_next_second() {
    let bounded = Bounded::new(3, false, ());
    let start = Instant::now();
    let passed: Vec<bool> = (0..5).map(|_| bounded.pass(start).0).collect();
    assert_eq!(passed, [true, true, true, false, false]);
    assert_eq!(
        bounded.pass(start + Duration::from_millis(1_001)),
        (true, 2)
    );
    assert_eq!(
        bounded.pass(start + Duration::from_millis(1_002)),
        (true, 0)
    );
}
