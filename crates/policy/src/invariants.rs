//! The safety properties of policy changes, checked against a history of started calls in the order of real time. The
//! check is independent of the rest of the crate: it shares only the numbers of generations with it.

use crate::{Generation, Identity, Mode};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// A call that a proxy has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedCall {
    /// The proxy.
    pub identity: Identity,
    /// The mode that the call started under.
    pub mode: Mode,
}

/// A violated property: P1 (generations are never mixed) or P2 (publishers are told the truth) of
/// `docs/policy-design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// P1: a call started under older generations only, after another one had started under a newer one.
    MixedGenerations {
        /// The call.
        call: StartedCall,
        /// The oldest generation under which a call may still start.
        after: Generation,
    },
    /// P2: a call started under an aborted generation.
    AbortedGeneration(StartedCall),
    /// P2: a call started under older generations only, after a publisher was told that a newer one is in force.
    BehindCommitted {
        /// The call.
        call: StartedCall,
        /// The generation in force.
        committed: Generation,
    },
}

/// Checks a history, event by event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InvariantChecker {
    /// No call may start under older generations only.
    minimum: Generation,
    /// The newest generation that a publisher was told to be in force.
    committed: Generation,
    aborted: BTreeSet<Generation>,
    /// Generations under which calls started outside of a transition.
    started_stable: BTreeSet<Generation>,
}

impl InvariantChecker {
    /// A call has started.
    pub fn record_start(&mut self, call: &StartedCall) -> Option<Violation> {
        let Mode { old, new, .. } = call.mode;
        if old == new {
            self.started_stable.insert(new);
        }
        // In a transition a call follows the old generation, restricted to what the new one allows too.
        if self.aborted.contains(&old) {
            return Some(Violation::AbortedGeneration(call.clone()));
        }
        if new < self.committed {
            return Some(Violation::BehindCommitted {
                call: call.clone(),
                committed: self.committed,
            });
        }
        if new < self.minimum {
            return Some(Violation::MixedGenerations {
                call: call.clone(),
                after: self.minimum,
            });
        }
        self.minimum = self.minimum.max(old);
        None
    }

    /// A publisher was told that this generation is in force.
    pub fn record_committed(&mut self, generation: Generation) {
        self.committed = self.committed.max(generation);
    }

    /// A publisher was told that this generation was aborted. False if calls have started under it.
    #[must_use]
    pub fn record_aborted(&mut self, generation: Generation) -> bool {
        self.aborted.insert(generation);
        !self.started_stable.contains(&generation)
    }
}
