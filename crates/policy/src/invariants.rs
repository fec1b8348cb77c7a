//! The properties, judged from a history of begun calls in the order of real time. It shares nothing with the
//! decisions but the numbers of generations.

use crate::{Generation, Identity, Mode};
use std::collections::BTreeSet;

/// A call that began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedCall {
    /// Where.
    pub identity: Identity,
    /// Under what.
    pub mode: Mode,
}

/// A property that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// P1: it began under `mode` after a call had begun under a generation past that.
    MixedGenerations {
        /// The call.
        call: StartedCall,
        /// The oldest generation under which a call had begun by then.
        after: Generation,
    },
    /// P2: a generation that came to nothing was begun under.
    AbortedGeneration(StartedCall),
    /// P2: the fleet was told that a generation is in force, and a call began under an older one.
    BehindCommitted {
        /// The call.
        call: StartedCall,
        /// What was in force.
        committed: Generation,
    },
}

/// Watches a history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InvariantChecker {
    /// No call may begin wholly under what is older than this.
    past: Generation,
    force: Generation,
    dead: BTreeSet<Generation>,
    /// Generations under which alone calls began.
    alone: BTreeSet<Generation>,
}

impl InvariantChecker {
    /// A call began.
    pub fn record_start(&mut self, begun: &StartedCall) -> Option<Violation> {
        let Mode { old, new, .. } = begun.mode;
        if old == new {
            self.alone.insert(new);
        }
        // In the middle a call is bound to the old one, and goes by no more than the new one allows too.
        if self.dead.contains(&old) {
            return Some(Violation::AbortedGeneration(begun.clone()));
        }
        if new < self.force {
            return Some(Violation::BehindCommitted {
                call: begun.clone(),
                committed: self.force,
            });
        }
        if new < self.past {
            return Some(Violation::MixedGenerations {
                call: begun.clone(),
                after: self.past,
            });
        }
        self.past = self.past.max(old);
        None
    }

    /// A publisher heard that this is in force.
    pub fn record_committed(&mut self, generation: Generation) {
        self.force = self.force.max(generation);
    }

    /// A publisher heard that this is not in force. False: calls have begun under it.
    #[must_use]
    pub fn record_aborted(&mut self, generation: Generation) -> bool {
        self.dead.insert(generation);
        !self.alone.contains(&generation)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn begun(old: u64, new: u64) -> StartedCall {
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
    fn old_beside_middle_and_middle_beside_new_are_not_mixed() {
        let mut judge = InvariantChecker::default();
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
            assert_eq!(judge.record_start(&begun(old, new)), None, "{old} {new}");
        }
        assert!(matches!(
            judge.record_start(&begun(1, 1)),
            Some(Violation::MixedGenerations { .. })
        ));
        assert_eq!(judge.record_start(&begun(3, 3)), None);
        assert!(matches!(
            judge.record_start(&begun(1, 2)),
            Some(Violation::MixedGenerations { .. })
        ));
    }

    #[test]
    fn both_ends_of_a_change_bind() {
        let mut judge = InvariantChecker::default();
        judge.record_start(&begun(1, 2));
        assert!(judge.record_aborted(Generation(2)));
        assert!(matches!(
            judge.record_start(&begun(2, 2)),
            Some(Violation::AbortedGeneration(_))
        ));
        assert!(!judge.record_aborted(Generation(2)));
        judge.record_committed(Generation(3));
        assert!(matches!(
            judge.record_start(&begun(1, 1)),
            Some(Violation::BehindCommitted { .. })
        ));
        assert_eq!(judge.record_start(&begun(1, 3)), None);
    }
}
