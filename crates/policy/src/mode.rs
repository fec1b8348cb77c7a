//! Modes that proxies serve under: one generation of the policy, or a transition between two.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a published policy. Generations only increase; that of an aborted change is never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "generation {}", self.0)
    }
}

/// The policy generations that proxies may serve under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mode {
    /// Increases with each step of the control plane. A proxy never returns to an older revision.
    pub revision: u64,
    /// The generation in force.
    pub old: Generation,
    /// The pending generation; equal to `old` outside of a transition.
    pub new: Generation,
}

impl Mode {
    /// Creates a mode with one generation in force and no pending change.
    pub fn stable(revision: u64, generation: Generation) -> Self {
        Mode {
            revision,
            old: generation,
            new: generation,
        }
    }

    /// Returns whether a change from `old` to `new` is pending.
    pub fn is_transition(self) -> bool {
        self.old != self.new
    }

    /// Returns whether calls may start under this mode while other calls start under `other`. That requires a generation
    /// that allows all of them.
    pub fn is_compatible_with(self, other: Mode) -> bool {
        self.old <= other.new && other.old <= self.new
    }
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_transition() {
            write!(f, "between {} and {}", self.old, self.new)
        } else {
            write!(f, "{}", self.new)
        }
    }
}
