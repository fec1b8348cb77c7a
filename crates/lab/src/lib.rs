//! The lab: one scenario, played in virtual time or on sockets, measured and held against the rules.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The word that makes `badgerramp-lab` the client proxy.
pub const AS_PROXY: &str = "as-proxy";

/// The word that starts this very program as a replica of control.
pub const AS_CONTROL: &str = "as-control";

pub mod bench;
pub mod check;
pub mod cli;
pub mod course;
pub mod defects;
pub mod experiment;
pub mod generate;
pub mod hunt;
mod only;
pub mod operator;
pub mod play;
pub mod report;
pub mod scenario_file;
pub mod sockets;
pub mod trial;
mod trial_drains;
mod trial_start;
