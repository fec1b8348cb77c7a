//! Exponential backoff after failed polls.

use crate::Micros;
use rand::Rng;
use rand_pcg::Pcg32;

/// Backoff after the first failure, if the service's latency is low.
const MIN_BACKOFF: Micros = 200_000;

/// Maximum backoff, if the service's latency is low.
pub(super) const MAX_BACKOFF: Micros = 2_000_000;

/// Maximum backoff as a multiple of the service's latency, where that is more than [`MAX_BACKOFF`]: a service that
/// takes one second to answer receives one poll in twenty seconds from each poller.
const MAX_BACKOFF_PER_LATENCY: u64 = 20;

/// Minimum backoff as a multiple of the service's latency.
const MIN_BACKOFF_PER_LATENCY: u64 = 2;

/// Maximum number of times that [`MIN_BACKOFF`] is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Returns the delay before the next poll, with jitter, after `failures` consecutive failures (at least one) of a
/// service with this latency.
pub(super) fn backoff(failures: u32, latency: Micros, random: &mut Pcg32) -> Micros {
    let longest = MAX_BACKOFF.max(MAX_BACKOFF_PER_LATENCY * latency);
    let backoff = (MIN_BACKOFF << (failures - 1).min(MAX_DOUBLINGS))
        .min(longest)
        .max(MIN_BACKOFF_PER_LATENCY * latency);
    backoff / 2 + random.gen_range(0..=backoff / 2)
}
