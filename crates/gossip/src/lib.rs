//! Proxies of one fleet know each other, and pass on what the list service told one of them: a handful asks for all.
//!
//! - [`endpoint_list`]: the list, its version, what changed of it.
//! - [`acceptance`]: which list is believed: newer ones over older, a service's own word over none, doubts.
//! - [`polling`]: which proxies poll the service, and when, without knowing how many proxies there are.
//! - [`packed_list`]: a compressed list in parts that fit into datagrams.
//! - [`peer`]: one proxy among its peers; membership is the SWIM of the `foca` crate.
//! - [`replay`]: each message is taken once.
//! - [`simulation`]: many of them in virtual time, on a network that loses, doubles and delays.
//!
//! Nothing here does I/O or reads a clock: a [`peer::Peer`] is told what happens, at moments in microseconds, and says
//! what is to be sent, asked and believed. What the list means for calls is the balancer's.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

pub mod acceptance;
pub mod endpoint_list;
pub mod packed_list;
pub mod peer;
pub mod polling;
pub mod replay;
pub mod simulation;

/// Moments and spans are in microseconds.
pub type Micros = u64;
