//! badgerramp makes the decisions of a client-side load balancer: which server
//! gets a call, when a call waits, goes again, is refused or fails. It does no I/O and reads no clock.
//!
//! A client proxy makes one [`Balancer`], feeds it [`Event`]s and carries out the [`Action`]s:
//!
//! ```
//! use badgerramp_decisions::{
//!     Action, Balancer, CallId, ClassId, Entry, Event, ListKind, ServerId, Settings, State, Terms,
//! };
//!
//! let mut balancer = Balancer::new(7, Settings::default());
//! let mut actions = Vec::new();
//! balancer.handle(0, Event::Start, &mut actions);
//! let entries = vec![Entry { server: ServerId(1), state: State::Ready, ..Entry::default() }];
//! balancer.handle(0, Event::Members { kind: ListKind::Full, entries }, &mut actions);
//! let call = CallId(1);
//! let event = Event::Request {
//!     call,
//!     class: ClassId(0),
//!     tenant: None,
//!     time_left: 500_000,
//!     resent: false,
//!     terms: Terms::default(),
//! };
//! balancer.handle(1_000, event, &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { call, server, .. } => println!("pass {call:?} to {server:?}"),
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
