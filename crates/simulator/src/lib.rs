//! The lab: one scenario, played in virtual time or on sockets, measured and held against the rules.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

/// The word that makes `badgerramp-sim` the client proxy.
pub const AS_PROXY: &str = "as-proxy";

/// The word that starts this very program as a replica of control.
pub const AS_CONTROL: &str = "as-control";

/// The word that starts this very program as a process with many client proxies.
pub const AS_HOLLOW_PROXIES: &str = "as-hollow-proxies";

/// The word that starts this very program as a list service.
pub const AS_LIST_SERVICE: &str = "as-list-service";

pub mod bench;
pub mod check;
pub mod cli;
pub mod defects;
pub mod experiment;
pub mod generate;
pub mod hollow_proxies;
pub mod hunt;
pub mod list_service;
mod only;
pub mod operator_file;
pub mod report;
pub mod run_result;
pub mod scenario_file;
pub mod simulation;
pub mod sockets;
pub mod trial;
mod trial_drains;
mod trial_scale;
mod trial_start;
