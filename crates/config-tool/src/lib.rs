//! Generates the operator's file of every application from one description, and checks the files one by one and
//! together. `badgerramp-config` parses and checks each file; this crate adds the checks that need several files.
//!
//! - [`description`]: reads the description with its includes and class inheritance.
//! - [`contract`]: what the checks know of clients and upstreams beyond the operators' files.
//! - `contract_checks`: an application's file against the contracts of its client and its upstream.
//! - [`render`]: generates one application's file and maps its lines back to the description.
//! - [`config_set`]: all files with the contracts of their clients and upstreams, and the checks across files.
//! - `class_proofs`: whether applications agree on which responses prove that a call was not executed.
//! - [`overlap`]: which routes can match requests under a path.
//! - [`finding`]: the report of a check and its output formats.
//! - [`manifest`]: the list of generated files, with the contracts that later checks need.
//! - [`rollout`]: compares two sets of files for a rollout from one to the other.
//! - [`commands`]: the operations behind the command line.
//! - [`fleet`]: publishes a policy to a whole fleet through its control plane.
//! - [`explain`]: shows how a file handles a request, and the worst-case timeline of a class.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod class_proofs;
pub mod commands;
pub mod config_set;
pub mod contract;
mod contract_checks;
pub mod description;
pub mod explain;
pub mod finding;
pub mod fleet;
pub mod manifest;
pub mod overlap;
pub mod render;
pub mod rollout;

/// A commented description to start from, as `init` writes it.
pub const STARTING_DESCRIPTION: &str = include_str!("../../../examples/starting.toml");
