//! Exponential backoff with jitter between polls that fail.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Bounds of the delay before a failed poll is retried, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Delay after the first failure.
    pub min: Micros,
    /// Maximum delay after any number of failures.
    pub max: Micros,
}

/// A delay that doubles with each consecutive failure, within its bounds.
///
/// Each delay is reduced by a random part of up to half (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture
/// Blog, 2015), so that proxies whose polls failed at the same time do not retry at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    bounds: BackoffBounds,
    doublings: u32,
    random: Pcg32,
}

impl Backoff {
    pub(crate) fn new(bounds: BackoffBounds, seed: u64) -> Self {
        Backoff {
            bounds,
            doublings: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the delay after another failure. It has no jitter if the bounds are equal, which is the case for an
    /// agent: as only one proxy polls it, there are no other retries to spread.
    pub(crate) fn next_delay(&mut self) -> Micros {
        let BackoffBounds { min, max } = self.bounds;
        let delay = (min << self.doublings).min(max);
        if delay < max {
            self.doublings += 1;
        }
        if min == max {
            return delay;
        }
        delay / 2 + self.random.gen_range(0..=delay / 2)
    }

    /// Resets the next delay to the minimum.
    pub(crate) fn reset(&mut self) {
        self.doublings = 0;
    }
}
