//! Checks call histories that satisfy the invariants and histories that violate them.

use super::*;

fn call(old: u64, new: u64) -> StartedCall {
    let mode = Mode {
        revision: 0,
        old: Generation(old),
        new: Generation(new),
    };
    StartedCall {
        identity: Identity {
            name: "p".to_owned(),
            incarnation: 1,
        },
        mode,
    }
}

#[test]
fn compatible_modes_pass_and_older_generations_are_reported() {
    let mut checker = InvariantChecker::default();
    for (old, new) in [
        (1, 1),
        (1, 2),
        (1, 1),
        (1, 2),
        (2, 2),
        (1, 2),
        (2, 3),
        (2, 2),
    ] {
        assert_eq!(checker.record_start(&call(old, new)), None, "{old} {new}");
    }
    assert!(matches!(
        checker.record_start(&call(1, 1)),
        Some(Violation::MixedGenerations { .. })
    ));
    assert_eq!(checker.record_start(&call(3, 3)), None);
    assert!(matches!(
        checker.record_start(&call(1, 2)),
        Some(Violation::MixedGenerations { .. })
    ));
}

#[test]
fn calls_that_contradict_an_abort_or_a_commit_are_reported() {
    let mut checker = InvariantChecker::default();
    checker.record_start(&call(1, 2));
    assert!(checker.record_aborted(Generation(2)));
    assert!(matches!(
        checker.record_start(&call(2, 2)),
        Some(Violation::AbortedGeneration(_))
    ));
    assert!(!checker.record_aborted(Generation(2)));
    checker.record_committed(Generation(3));
    assert!(matches!(
        checker.record_start(&call(1, 1)),
        Some(Violation::BehindCommitted { .. })
    ));
    assert_eq!(checker.record_start(&call(1, 3)), None);
}
