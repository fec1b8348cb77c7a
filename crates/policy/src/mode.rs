//! The mode that proxies serve under: one generation of the policy, or a transition between two.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a published policy. Numbers only grow; the number of an aborted change is never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "generation {}", self.0)
    }
}

/// What proxies may serve under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mode {
    /// Grows with each step of the control plane. A proxy never returns to an older revision.
    pub revision: u64,
    /// The generation in force.
    pub old: Generation,
    /// The pending generation; equal to `old` outside of a transition.
    pub new: Generation,
}

impl Mode {
    /// One generation in force, no change pending.
    pub fn stable(revision: u64, generation: Generation) -> Self {
        Mode {
            revision,
            old: generation,
            new: generation,
        }
    }

    /// Whether a change from `old` to `new` is pending.
    pub fn is_transition(self) -> bool {
        self.old != self.new
    }

    /// Whether calls may start under this mode while others start under `other`: one generation must allow both.
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
