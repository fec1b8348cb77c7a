//! A proxy of little traffic has no use for a connection to each of thousands of endpoints. It keeps to a subset: its
//! own part of the fleet, which it finds by its number among all proxies and each endpoint's name alone, so that all
//! proxies together spread evenly without a word between them.
//!
//! Proxies count in teams. Within a team the endpoints are dealt out: each goes to one member, by a hash of its name
//! and the team's number. So each endpoint has as many proxies as there are teams, and when one comes or goes, it
//! alone moves. What is decided here is which endpoints count as there; which of them gets a call is the balancer's.
//!
//! Nothing here does I/O or reads a clock: [`Subset`] is told of the list and of how its members fare, at moments in
//! microseconds that its owner gives.
#![forbid(unsafe_code)]

mod partition;
mod resource_bounds;
mod subset;

pub use partition::{Partition, Team};
pub use resource_bounds::{Instance, ResourceBounds, SubsetConfig};
pub use subset::{Health, MembershipChange, Subset, SubsetStatus};

/// Moments and spans are in microseconds.
pub type Micros = u64;
