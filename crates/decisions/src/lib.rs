//! The decision logic of a client-side load balancer: which endpoint gets a call, when a call
//! waits, is retried, hedged, rejected or fails, and which endpoints are ejected.
//!
//! The crate holds the state of one client proxy: the statistics of its endpoints and its open
//! calls. It does no I/O, reads no clock and spawns no tasks, so the same seed, settings and events
//! always produce the same actions. Connections, timers and fetching the endpoint list are up to
//! the proxy.
//!
//! A client proxy creates one [`Balancer`], passes it [`Event`]s and executes the resulting
//! [`Action`]s:
//!
//! ```
//! use badgerramp_decisions::{
//!     Action, Balancer, CallId, CallPolicy, ClassId, EndpointEntry, EndpointId, EndpointStatus,
//!     Event, ListUpdateKind, Settings,
//! };
//!
//! let mut balancer = Balancer::new(7, Settings::default());
//! let mut actions = Vec::new();
//! balancer.handle(0, Event::Start, &mut actions);
//! let entry = EndpointEntry {
//!     endpoint: EndpointId(1),
//!     status: EndpointStatus::Ready,
//!     ..EndpointEntry::default()
//! };
//! let (kind, entries) = (ListUpdateKind::Full, vec![entry]);
//! balancer.handle(0, Event::EndpointList { kind, entries }, &mut actions);
//! let event = Event::Request {
//!     call: CallId(1),
//!     class: ClassId(0),
//!     definition: None,
//!     tenant: None,
//!     time_left: 500_000,
//!     time_until_exit: None,
//!     is_retry: false,
//!     policy: CallPolicy::default(),
//! };
//! balancer.handle(1_000, event, &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { call, endpoint, .. } => println!("send {call:?} to {endpoint:?}"),
//!         Action::Wake { after } => println!("send Event::Timer in {after} us"),
//!         other => println!("{other:?}"),
//!     }
//! }
//! ```
#![forbid(unsafe_code)]

mod api;
mod balancer;
mod call;
mod endpoint;
mod endpoint_index;
mod latency;
mod load_feedback;
pub mod settings;
mod weighted_set;

pub use api::*;
pub use balancer::{Balancer, ShutdownSchedule};

/// Compiles the examples in the README as doctests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
