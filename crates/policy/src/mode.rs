//! What holds for the fleet: one generation of the policy, or two in their middle.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a policy. Numbers grow, and one that was given to a change that came to nothing is never given again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "generation {}", self.0)
    }
}

/// What proxies may act under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mode {
    /// Grows with each step of control. A proxy never goes back to an older one.
    pub revision: u64,
    /// The generation in force.
    pub old: Generation,
    /// The one that is to come; the same as `old` when there is no change under way.
    pub new: Generation,
}

impl Mode {
    /// One generation, in force.
    pub fn stable(revision: u64, generation: Generation) -> Self {
        Mode {
            revision,
            old: generation,
            new: generation,
        }
    }

    /// Is a change under way?
    pub fn is_transition(self) -> bool {
        self.old != self.new
    }

    /// May calls begin under this one while others begin under `other`? They may if one generation allows both.
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
