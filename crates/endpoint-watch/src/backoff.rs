//! The pauses after questions that failed.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Twice as long each time, within its bounds, and up to half of it less at random: proxies that lost the list together
/// must not come back to it together.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    bounds: (Micros, Micros),
    doublings: u32,
    random: Pcg32,
}

impl Backoff {
    pub(crate) fn new(bounds: (Micros, Micros), seed: u64) -> Self {
        Backoff {
            bounds,
            doublings: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// The next one. Where both bounds are the same nobody else asks, and nothing is left to chance.
    pub(crate) fn next_delay(&mut self) -> Micros {
        let (min, max) = self.bounds;
        let delay = (min << self.doublings).min(max);
        if delay < max {
            self.doublings += 1;
        }
        if min == max {
            return delay;
        }
        delay / 2 + self.random.gen_range(0..=delay / 2)
    }

    /// A question was answered, or the source is another one.
    pub(crate) fn reset(&mut self) {
        self.doublings = 0;
    }
}
