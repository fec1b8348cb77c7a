//! Stand-ins on loopback sockets for tests, demo and benchmarks: hosts that answer by a script or out of a seeded
//! model, discovery by hand or as a service, clients, load, and the program as a process between them. The stand-ins use
//! none of the program's own code.
//!
//! [`decision_driver`] needs no sockets: it drives the decisions through any course of outcomes.
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]
#![expect(missing_docs, reason = "public items are still to be documented")]

mod catalog;
mod client;
pub mod decision_driver;
mod discovery;
mod fleet;
mod host;
mod load;
mod message;
mod program;

pub use catalog::{ListEntry, ListService};
pub use client::*;
pub use discovery::*;
pub use fleet::{ExecutionCounts, Fault, HostModel, Ledger, ModelHost};
pub use host::*;
pub use load::{run as load, LoadPlan, RequestKind, Result as LoadResult, Totals};
pub use message::{read, read_head, Message};
pub use program::*;

use std::time::Duration;

/// Longest wait for anything that must come: far beyond what it takes.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait in which something that must not come would have come.
pub const QUIET_PERIOD: Duration = Duration::from_millis(300);
