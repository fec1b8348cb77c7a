//! badgerramp makes the decisions of a client-side load balancer: which server
//! gets a call, when a call waits, goes again, is refused or fails. It does no I/O and reads no clock.
//!
//! A client proxy makes one [`Balancer`], feeds it [`Event`]s and carries out the [`Action`]s:
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
//!     tenant: None,
//!     time_left: 500_000,
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
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod api;
mod balance;
mod crowd;
mod fleet;
pub mod settings;
mod state;
mod weighted;

pub use api::*;
pub use balance::Balancer;

/// The README's example is compiled as a test too.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
