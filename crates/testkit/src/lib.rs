//! Stand-ins on loopback sockets for tests, demo and benchmarks: hosts that answer from a script or follow a seeded
//! model, a scripted and an autonomous list service, clients, load, and the program under test as a child process. The
//! stand-ins use none of the program's own code.
//!
//! [`decision_driver`] needs no sockets: it drives the decisions with random outcomes of attempts.
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod client;
pub mod crowd;
pub mod decision_driver;
mod discovery;
mod fleet;
mod host;
mod list_service;
mod load;
mod message;
mod program;
mod resource_usage;

pub use client::*;
pub use discovery::*;
pub use fleet::{ExecutionCounts, Fault, HostModel, Ledger, ModelHost};
pub use host::*;
pub use list_service::{ListEntry, ListService};
pub use load::{run as load, LoadPlan, RequestKind, Result as LoadResult, Totals};
pub use message::{read, read_head, Message};
pub use program::*;
pub use resource_usage::{open_descriptors, MemoryUse};

use std::time::Duration;

/// Time-out of waits for an expected event, far longer than the event takes.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to wait before concluding that an unwanted event does not happen.
pub const QUIET_PERIOD: Duration = Duration::from_millis(300);
