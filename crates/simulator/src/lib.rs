//! The simulator behind `badgerramp-sim`. It runs a scenario in virtual time, on the socket code over a network in memory,
//! or with the built programs, measures the run and checks it against the invariants. It also generates scenarios to search
//! for violations, and runs the fault tests.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "some functions still take arguments by value that they could borrow"
)]
#![expect(clippy::too_many_lines, reason = "some functions are still too long")]

/// First argument with which `badgerramp-sim` runs as a client proxy.
pub const AS_PROXY: &str = "as-proxy";

/// First argument with which `badgerramp-sim` runs as a replica of the control plane.
pub const AS_CONTROL: &str = "as-control";

/// First argument with which `badgerramp-sim` runs as a process with many hollow proxies.
pub const AS_HOLLOW_PROXIES: &str = "as-hollow-proxies";

/// First argument with which `badgerramp-sim` runs as a list service.
pub const AS_LIST_SERVICE: &str = "as-list-service";

pub mod bench;
pub mod check;
pub mod cli;
pub mod defects;
pub mod experiment;
mod fault_filter;
pub mod fault_test;
mod fault_test_cold_start;
mod fault_test_drains;
mod fault_test_scale;
mod fault_test_soak;
pub mod generate;
pub mod hollow_proxies;
pub mod hunt;
pub mod list_service;
pub mod operator_file;
pub mod report;
pub mod run_result;
pub mod scenario_file;
pub mod simulation;
pub mod sockets;
