//! The program on sockets, as a library: its command line, its start, and what carries the decisions out. A simulation
//! runs the same parts on a network of its own.
#![forbid(unsafe_code)]

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
