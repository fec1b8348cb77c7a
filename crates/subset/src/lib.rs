//! Deterministic subsetting: selects the endpoints of a large fleet that one proxy keeps connections to.
//!
//! A proxy with few calls does not need a connection to each of thousands of endpoints. It uses a subset that is
//! determined by its own number and the names of the endpoints, so that the proxies are spread evenly over the fleet
//! without any communication.
//!
//! Proxies are divided into rounds of consecutive numbers. Within a round, each endpoint belongs to exactly one proxy,
//! by a hash of its name and the number of the round. Each endpoint thus belongs to as many proxies as there are
//! rounds, and adding or removing an endpoint does not move any other one. A subset grows when its members fail or are
//! overloaded, and shrinks again later.
//!
//! The crate owns the subset of one proxy. It does not choose the endpoint of a call, which is the load balancer's
//! task. It never does I/O and reads no clock: the caller reports changes of the list and the health of the members to
//! [`Subset`], with the current time.
//!
//! ```
//! use badgerramp_subset::{Health, Instance, Subset, SubsetConfig};
//!
//! let instance = Instance { number: 17, count: 500 };
//! let mut subset = Subset::new(SubsetConfig::with_size(20), instance);
//! let fleet: Vec<u32> = (0..1_000).collect();
//! for &endpoint in &fleet {
//!     subset.add(endpoint, &format!("endpoint-{endpoint}"), true);
//! }
//! let change = subset.apply_list_change(0, &fleet);
//! assert_eq!(change.added.len(), subset.member_count());
//! assert!(subset.member_count() < 80);
//!
//! // No member is usable: the subset grows.
//! let health = Health { usable: 0, in_flight: 0, queued: 3 };
//! let change = subset.adjust_size(1_000_000, health);
//! assert!(!change.added.is_empty() && change.removed.is_empty());
//! ```
#![forbid(unsafe_code)]

mod config;
mod membership;
mod partition;
mod resource_bounds;
mod ring;
mod subset;

pub use config::{Instance, SubsetConfig};
pub use membership::{Health, MembershipChange};
pub use resource_bounds::ResourceBounds;
pub use subset::Subset;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
