//! The clock that leases run on.

use badgerramp_policy::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds since the machine started, with those that it slept. Nobody can set it.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let whole = u64::try_from(time.tv_sec)
        .unwrap_or(0)
        .saturating_mul(1_000_000);
    whole.saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000)
}
