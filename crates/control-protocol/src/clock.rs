//! Clock for the expiry of leases.

use badgerramp_policy::Micros;
use rustix::time::{clock_gettime, ClockId};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the microseconds since the machine booted, including the time for which it was suspended (`CLOCK_BOOTTIME`).
/// This clock cannot be set.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds
        .saturating_mul(MICROS_PER_SECOND)
        .saturating_add(nanos / NANOS_PER_MICRO)
}
