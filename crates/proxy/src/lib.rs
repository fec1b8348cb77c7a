//! The program on sockets: command line, start, reload and exit round the decisions. As a library it lets the demo
//! run the very program in a process of its own.
#![forbid(unsafe_code)]

pub mod cli;
mod net;
mod platform;
mod program;
mod sidecar;
