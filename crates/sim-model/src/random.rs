//! Keyed random streams: a value depends on the seed and on the key of its stream, never on the values drawn before.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// The random streams of one simulation run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RandomStreams {
    seed: u64,
}

impl RandomStreams {
    /// The streams of a seed.
    pub fn new(seed: u64) -> Self {
        RandomStreams { seed }
    }

    /// The generator of the stream with this key.
    pub fn generator(&self, (a, b, c): (u64, u64, u64)) -> Pcg64Mcg {
        // Each part is mixed into all bits before the next one is added, so that streams with similar keys are
        // not correlated.
        let mixed = [a, b, c]
            .iter()
            .fold(self.seed, |state, part| mix(state ^ mix(*part)));
        Pcg64Mcg::seed_from_u64(mixed)
    }

    /// A value that is uniformly distributed from 0 (inclusive) to 1 (exclusive).
    pub fn uniform(&self, key: (u64, u64, u64)) -> f64 {
        self.generator(key).gen()
    }

    /// True with this probability.
    pub fn occurs(&self, key: (u64, u64, u64), probability: f64) -> bool {
        probability > 0.0 && self.uniform(key) < probability
    }

    /// An integer that is uniformly distributed between two bounds, both inclusive.
    pub fn integer(&self, key: (u64, u64, u64), (min, max): (u64, u64)) -> u64 {
        if min >= max {
            return min;
        }
        self.generator(key).gen_range(min..=max)
    }

    /// An exponentially distributed value with this mean, such as the time between independent events.
    pub fn exponential(&self, key: (u64, u64, u64), mean: f64) -> f64 {
        let sample: f64 = Exp1.sample(&mut self.generator(key));
        sample * mean
    }
}

/// The finalizer of `MurmurHash3`: each bit of the input affects all bits of the output.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_depend_on_the_key_alone_and_adjacent_streams_are_uncorrelated() {
        let random = RandomStreams::new(7);
        assert_eq!(random.uniform((1, 2, 3)), random.uniform((1, 2, 3)));
        let values: Vec<f64> = (0..10_000).map(|n| random.uniform((1, n, 3))).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        assert!((mean - 0.5).abs() < 0.02, "{mean}");
        let covariance = values
            .windows(2)
            .map(|w| (w[0] - 0.5) * (w[1] - 0.5))
            .sum::<f64>()
            / values.len() as f64;
        assert!(covariance.abs() < 0.005, "{covariance}");
        assert_ne!(
            random.uniform((1, 2, 3)),
            RandomStreams::new(8).uniform((1, 2, 3))
        );
        let mean_wait = (0..10_000)
            .map(|n| random.exponential((2, n, 0), 5.0))
            .sum::<f64>()
            / 1e4;
        assert!((mean_wait - 5.0).abs() < 0.2, "{mean_wait}");
    }
}
