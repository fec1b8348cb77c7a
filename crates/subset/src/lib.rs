//! Deterministic subsetting: which endpoints of a large fleet one proxy keeps connections to.
//!
//! A proxy with few calls has no use for a connection to each of thousands of endpoints. It keeps to a subset, which
//! follows from its own number and the names of the endpoints, so that all proxies together spread evenly over the fleet
//! without any communication.
//!
//! Proxies are divided into rounds of consecutive numbers. Within a round, each endpoint belongs to exactly one proxy, by a
//! hash of its name and the number of the round. Each endpoint thus has as many proxies as there are rounds, and one that
//! comes or goes moves no other endpoint. A subset grows when its members fail or are overloaded, and shrinks again later.
//!
//! The crate owns the subset of one proxy. It does not choose the endpoint of a call, which is the load balancer's task. It
//! never does I/O and reads no clock: the caller tells [`Subset`] how the list and the health of the members change, and
//! gives the time.
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

/// A time, or a length of time, in microseconds.
pub type Micros = u64;
