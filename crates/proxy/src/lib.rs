//! The program on sockets, as a library: its command line, its start, and what carries the decisions out. A simulation
//! runs the same parts on a network of its own.
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
#![expect(missing_docs, reason = "public items are still to be documented")]

mod class_ids;
pub mod cli;
pub mod log;
mod look;
pub mod net;
mod platform;
mod policy_client;
mod policy_copy;
mod policy_rules;
pub mod program;
pub mod sidecar;
