//! Fault-injection tests: real proxies, control-plane replicas and stand-in services run as processes on one machine
//! while faults are injected between them (links that block, delay or reset traffic, signals, restarts, truncated
//! files). A fault schedule is generated from a seed. Processes and hosts record what they do against one clock, and
//! the invariants are checked from these records alone.
//!
//! - [`schedule`]: the seeded fault schedule of a policy run.
//! - [`link`], [`datagrams`]: fault-injecting links between two processes, for TCP and UDP.
//! - [`process`]: a child process and its log.
//! - [`hosts`], [`clients`]: the endpoints behind the proxies and the clients in front of them.
//! - [`baseline`]: other ways to distribute a policy, for comparison.
//! - [`checker`]: the invariant checker of policy runs.
//! - [`policy`]: test of policy changes.
//! - [`drains`]: test of hosts that drain while the watches on the endpoint list are silent.
//! - [`scale`]: test of a large fleet and of what the control plane costs there.
//! - [`soak`]: test of one proxy under crowds of clients and signals.
//! - [`start`]: test of a simultaneous start of all proxies.
//! - [`report`]: tables and plots of policy runs.
#![forbid(unsafe_code)]
#![expect(
    clippy::items_after_statements,
    reason = "items are still to be moved to the module"
)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(clippy::similar_names, reason = "some names differ only slightly")]
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
pub mod soak;
pub mod start;

/// The clock of all records, which is also the clock that leases are measured with.
pub use badgerramp_control_protocol::clock::now;
