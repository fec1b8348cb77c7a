//! Writes the operator's file of every application from one description, and checks them one by one and together.
//! The files themselves are read by `badgerramp-config` alone; what this crate adds is what no single file can tell.
//!
//! - [`description`]: the description with its includes and inheritance.
//! - [`render`]: one application's file, with the place that each line came from.
//! - [`set`]: all files with what is known of their clients and upstreams, and the checks over them.
//! - [`manifest`]: what was written, and what the checks need to know later.
//! - [`rollout`]: two sets side by side.
//! - [`fleet`]: a set brought into force for a whole fleet, through its control.
//! - [`explain`]: what a file makes of a request, and the longest course of a class.
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

pub mod commands;
pub mod description;
pub mod explain;
pub mod facts;
pub mod finding;
pub mod fleet;
pub mod manifest;
pub mod overlap;
pub mod render;
pub mod rollout;
pub mod set;

/// A starting description, with comments.
pub const STARTING: &str = include_str!("../../../examples/starting.toml");
