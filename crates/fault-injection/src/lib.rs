//! Several processes of the program on one machine, with faults between them: links that cut, delay and reset, signals,
//! restarts, torn disks. A course of faults is drawn from a seed and written down; what the processes and the hosts did
//! is noted on one clock, and judged from those notes alone.
//!
//! - [`schedule`]: what goes wrong when, drawn from a seed.
//! - [`link`], [`datagrams`]: the way between two processes.
//! - [`process`]: a process and its log.
//! - [`hosts`], [`clients`]: what is behind the proxies and before them.
//! - [`baseline`]: other ways to bring a policy to a fleet.
//! - [`checker`]: what broke.
//! - [`policy`]: the trial of a change of policy.
//! - [`drains`]: the trial of hosts that leave while watches on the list are silent.
//! - [`scale`]: the trial of a fleet of many proxies and what control costs there.
//! - [`start`]: the trial of a start of all proxies together.
//! - [`report`]: tables and plots.
#![forbid(unsafe_code)]
#![expect(
    clippy::items_after_statements,
    reason = "items are still to be moved to the module"
)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

pub mod baseline;
pub mod checker;
pub mod clients;

pub mod datagrams;
pub mod drains;
pub mod hosts;
pub mod link;
pub mod policy;
pub mod process;
pub mod report;
pub mod scale;
pub mod schedule;
pub mod start;

/// The clock of all notes, which is the one that leases run on.
pub use badgerramp_control_protocol::clock::now;
