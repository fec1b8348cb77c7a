//! The proxy program as a library: the command line, the start-up, and the I/O that carries out the balancer's decisions. A
//! simulation runs the same code on a simulated network.
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

mod class_ids;
pub mod cli;
pub mod log;
pub mod net;
mod peers_command;
mod platform;
mod policy_client;
mod policy_copy;
mod policy_rules;
pub mod program;
pub mod sidecar;
