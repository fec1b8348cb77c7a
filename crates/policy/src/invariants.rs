//! Checks the safety properties of policy changes against a history of started calls in real-time order. The checker is
//! independent of the rest of the crate: it shares only the basic types with it.

use crate::{Generation, Identity, Mode};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// A call that a proxy has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedCall {
    /// The proxy that started the call.
    pub identity: Identity,
    /// The mode under which the call started.
    pub mode: Mode,
}

/// A violation of property P1 (generations are never mixed) or P2 (reported outcomes hold) of `docs/policy-design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// P1: a call started under older generations only, after another call had started under a newer generation.
    MixedGenerations {
        /// The violating call.
        call: StartedCall,
        /// Oldest generation under which a call may still start.
        after: Generation,
    },
    /// P2: a call started under an aborted generation.
    AbortedGeneration(StartedCall),
    /// P2: a call started under older generations only, after a newer generation was reported to be in force.
    BehindCommitted {
        /// The violating call.
        call: StartedCall,
        /// The generation that was reported to be in force.
        committed: Generation,
    },
}

/// Checks a history of calls and reported outcomes, event by event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InvariantChecker {
    /// Oldest generation under which a call may still start.
    minimum: Generation,
    /// Newest generation that was reported to be in force.
    committed: Generation,
    /// Generations that were reported to be aborted.
    aborted: BTreeSet<Generation>,
    /// Generations under which calls started outside of a transition.
    started_stable: BTreeSet<Generation>,
}

impl InvariantChecker {
    /// Records a started call and returns the violation that it causes, if any.
    pub fn record_start(&mut self, call: &StartedCall) -> Option<Violation> {
        let Mode { old, new, .. } = call.mode;
        if old == new {
            self.started_stable.insert(new);
        }
        // In a transition a call follows the old generation, restricted to what the new generation allows too.
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

    /// Records that this generation was reported to a publisher as being in force.
    pub fn record_committed(&mut self, generation: Generation) {
        self.committed = self.committed.max(generation);
    }

    /// Records that this generation was reported to a publisher as aborted. Returns false if calls have started under
    /// it.
    #[must_use]
    pub fn record_aborted(&mut self, generation: Generation) -> bool {
        self.aborted.insert(generation);
        !self.started_stable.contains(&generation)
    }
}
