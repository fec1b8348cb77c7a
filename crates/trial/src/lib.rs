//! Several processes of the program on one machine, with faults between them: links that cut, delay and reset, signals,
//! restarts, torn disks. A course of faults is drawn from a seed and written down; what the processes and the hosts did
//! is noted on one clock, and judged from those notes alone.
//!
//! - [`course`]: what goes wrong when, drawn from a seed.
//! - [`link`]: the way between two processes.
//! - [`process`]: a process and its log.
//! - [`hosts`], [`clients`]: what is behind the proxies and before them.
//! - [`contender`]: other ways to bring a policy to a fleet.
//! - [`judge`]: what broke.
//! - [`policy`]: the trial of a change of policy.
//! - [`report`]: tables and plots.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod contender;
pub mod course;
pub mod hosts;
pub mod judge;
pub mod link;
pub mod policy;
pub mod process;
pub mod report;

use badgerramp_policy::Micros;
use rustix::time::{clock_gettime, ClockId};

/// The clock of all notes, which is the one that leases run on: microseconds since the machine started.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let whole = u64::try_from(time.tv_sec).unwrap_or(0).saturating_mul(1_000_000);
    whole.saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000)
}
