//! Exponential backoff after failed polls.

use crate::Micros;
use rand::Rng;
use rand_pcg::Pcg32;

/// Backoff after the first failure, if the service answers quickly.
const MIN_BACKOFF: Micros = 200_000;

/// Greatest backoff, if the service answers quickly.
pub(super) const MAX_BACKOFF: Micros = 2_000_000;

/// Greatest backoff in multiples of the service's latency, where that is more than [`MAX_BACKOFF`]: a service that takes
/// one second for an answer gets one poll in twenty seconds from each poller.
const MAX_BACKOFF_PER_LATENCY: u64 = 20;

/// Least backoff in multiples of the service's latency.
const MIN_BACKOFF_PER_LATENCY: u64 = 2;

/// Doublings of [`MIN_BACKOFF`] after which it no longer grows.
const MAX_DOUBLINGS: u32 = 8;

/// The time to wait after this many consecutive failures (at least one) at a service of this latency, with jitter.
pub(super) fn backoff(failures: u32, latency: Micros, random: &mut Pcg32) -> Micros {
    let longest = MAX_BACKOFF.max(MAX_BACKOFF_PER_LATENCY * latency);
    let backoff = (MIN_BACKOFF << (failures - 1).min(MAX_DOUBLINGS))
        .min(longest)
        .max(MIN_BACKOFF_PER_LATENCY * latency);
    backoff / 2 + random.gen_range(0..=backoff / 2)
}
