//! Gossip between the proxies of one fleet: a few proxies poll the list service and distribute the endpoint list to all
//! others.
//!
//! - [`endpoint_list`]: the endpoint list, its versions, and the changes between two versions.
//! - [`acceptance`]: decides which list a proxy accepts, and quarantines older and partial lists.
//! - [`polling`]: election of the proxies that poll the service, without a known fleet size.
//! - [`packed_list`]: compressed lists, split into parts that fit into datagrams.
//! - [`peer`]: the protocol state of one proxy; membership is SWIM, implemented by the `foca` crate.
//! - [`replay`]: protection against replayed messages.
//! - [`simulation`]: a fleet of peers in virtual time, on a network that loses, duplicates and delays messages.
//!
//! The crate owns the accepted list of a proxy, its view of the fleet's membership and its schedule of polls. It never
//! does I/O and never reads a clock: the caller passes each input to [`peer::Peer`] with the current time in
//! microseconds, and carries out the outputs (messages, polls and reports). How the list affects calls is decided by
//! other crates.
//!
//! ```
//! use badgerramp_gossip::peer::{Input, Member, Output, Peer, PeerConfig, PollAnswer};
//! use badgerramp_gossip::polling::PeerId;
//!
//! let own = Member { address: ([127, 0, 0, 1], 7946).into(), id: PeerId(1), started: 0 };
//! let config = PeerConfig { own, seeds: Vec::new(), disabled: None };
//! let mut peer = Peer::new(0, config);
//! let mut out = Vec::new();
//! let mut now = 0;
//! while !out.iter().any(|output| matches!(output, Output::Poll { .. })) {
//!     out.clear();
//!     peer.handle(now, Input::Timer, &mut out);
//!     now = peer.next_deadline();
//! }
//! let answer = PollAnswer {
//!     complete: true,
//!     index: 1,
//!     changes: Vec::new(),
//!     latency: 1_000,
//!     immediate: true,
//! };
//! peer.handle(now, Input::PollAnswered(answer), &mut out);
//! assert!(peer.endpoint_list().is_some());
//! ```
#![forbid(unsafe_code)]

pub mod acceptance;
pub mod endpoint_list;
pub mod packed_list;
pub mod peer;
pub mod polling;
pub mod replay;
pub mod simulation;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
