//! Limits on the history that a record retains.

use super::Record;
use crate::{Generation, Mode};

/// Number of generations whose text is retained, so that a rollback can return to them.
pub(super) const RETAINED_TEXTS: usize = 16;
/// Number of changes whose status is retained.
const RETAINED_CHANGES: usize = 8 * RETAINED_TEXTS;

impl Record {
    /// Drops the oldest texts and changes beyond the limits. The texts of the current mode, and of generations whose
    /// fallback policy a proxy may apply, are always retained.
    pub(super) fn prune(&mut self) {
        let fallback_generations = self.fallback_generations();
        let Mode { old, new, .. } = self.mode;
        while self.texts.len() > RETAINED_TEXTS {
            let is_unused = |generation: &&Generation| {
                !fallback_generations.contains(generation)
                    && **generation != old
                    && **generation != new
            };
            let Some(&oldest) = self.texts.keys().find(is_unused) else {
                break;
            };
            self.texts.remove(&oldest);
        }
        while self.changes.len() > RETAINED_CHANGES {
            self.changes.pop_first();
        }
    }
}
