//! Simulation of a fleet in virtual time: many [`Peer`](crate::peer::Peer)s, a network that loses, duplicates and
//! delays messages, and a list service that handles one poll at a time.
//!
//! A simulation is deterministic: the same configuration and seed give the same [`Outcome`].
//!
//! ```
//! use badgerramp_gossip::simulation::{simulate, SimConfig};
//!
//! let config = SimConfig { proxies: 10, ..SimConfig::default() };
//! let outcome = simulate(&config, 1);
//! assert!(outcome.received_list_at.iter().all(Option::is_some));
//! ```

mod config;
mod engine;
mod network;
mod outcome;
mod queue;
mod random;
mod service;
pub mod traffic;

pub use config::{Fault, FaultKind, SimConfig};
pub use engine::simulate;
pub use outcome::{Outcome, Violation};
pub use random::random_config;

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// Number of whole seconds from the start of the simulation to `now`.
fn second_of(now: Micros) -> usize {
    (now / SECOND) as usize
}

#[cfg(test)]
mod tests;
