//! Chance by name: a draw depends on the seed and on what it is for, never on what was drawn before.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// The source of all chance of one course.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RandomStreams {
    seed: u64,
}

impl RandomStreams {
    /// All draws of this seed.
    pub fn new(seed: u64) -> Self {
        RandomStreams { seed }
    }

    /// A generator for one purpose.
    pub fn generator(&self, (a, b, c): (u64, u64, u64)) -> Pcg64Mcg {
        // Each part is spread over all bits before the next comes in: neighbours must not be alike.
        let mixed = [a, b, c]
            .iter()
            .fold(self.seed, |state, part| spread(state ^ spread(*part)));
        Pcg64Mcg::seed_from_u64(mixed)
    }

    /// A number from 0 to 1.
    pub fn uniform(&self, what: (u64, u64, u64)) -> f64 {
        self.generator(what).gen()
    }

    /// Did it happen, at this chance?
    pub fn occurs(&self, what: (u64, u64, u64), chance: f64) -> bool {
        chance > 0.0 && self.uniform(what) < chance
    }

    /// A span between two, both included.
    pub fn integer(&self, what: (u64, u64, u64), (least, most): (u64, u64)) -> u64 {
        if least >= most {
            return least;
        }
        self.generator(what).gen_range(least..=most)
    }

    /// A waiting time of this mean, as between events that do not know of each other.
    pub fn exponential(&self, what: (u64, u64, u64), mean: f64) -> f64 {
        let sample: f64 = Exp1.sample(&mut self.generator(what));
        sample * mean
    }
}

/// The finalizer of `MurmurHash3`: each bit of the input reaches all of the output.
fn spread(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_draw_depends_on_its_name_alone_and_neighbours_are_not_alike() {
        let draws = RandomStreams::new(7);
        assert_eq!(draws.uniform((1, 2, 3)), draws.uniform((1, 2, 3)));
        let all: Vec<f64> = (0..10_000).map(|n| draws.uniform((1, n, 3))).collect();
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        assert!((mean - 0.5).abs() < 0.02, "{mean}");
        let pairs = all
            .windows(2)
            .map(|w| (w[0] - 0.5) * (w[1] - 0.5))
            .sum::<f64>()
            / all.len() as f64;
        assert!(pairs.abs() < 0.005, "{pairs}");
        assert_ne!(
            draws.uniform((1, 2, 3)),
            RandomStreams::new(8).uniform((1, 2, 3))
        );
        let waits = (0..10_000)
            .map(|n| draws.exponential((2, n, 0), 5.0))
            .sum::<f64>()
            / 1e4;
        assert!((waits - 5.0).abs() < 0.2, "{waits}");
    }
}
