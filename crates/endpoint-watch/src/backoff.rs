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
    pub(crate) fn next(&mut self) -> Micros {
        let (least, most) = self.bounds;
        let pause = (least << self.doublings).min(most);
        if pause < most {
            self.doublings += 1;
        }
        if least == most {
            return pause;
        }
        pause / 2 + self.random.gen_range(0..=pause / 2)
    }

    /// A question was answered, or the source is another one.
    pub(crate) fn over(&mut self) {
        self.doublings = 0;
    }
}
