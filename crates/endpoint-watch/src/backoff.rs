//! Exponential backoff with jitter between polls that fail.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Shortest and longest delay before a poll is retried, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Delay after the first failure.
    pub min: Micros,
    /// Delay that doubling never exceeds.
    pub max: Micros,
}

/// A delay that doubles with each consecutive failure, within its bounds.
///
/// Up to half of each delay is taken off at random (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
/// 2015): proxies that lost the service at the same moment must not come back to it at the same moment.
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

    /// The delay after one more failure. It has no jitter where the bounds are equal: that is an agent with a single
    /// caller, so there is no herd to spread.
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

    /// Starts again from the shortest delay.
    pub(crate) fn reset(&mut self) {
        self.doublings = 0;
    }
}
