//! Gossip between the proxies of one fleet: a few of them poll the list service, and all share the endpoint list.
//!
//! - [`endpoint_list`]: the list, its versions and its changes.
//! - [`acceptance`]: which list a proxy accepts; quarantine of older and of partial lists.
//! - [`polling`]: election of the proxies that poll the service, without a known fleet size.
//! - [`packed_list`]: compressed lists in parts that fit into datagrams.
//! - [`peer`]: one proxy among its peers; membership is SWIM, by the `foca` crate.
//! - [`replay`]: protection against replayed messages.
//! - [`simulation`]: many peers in virtual time, on a network that loses, duplicates and delays messages.
//!
//! The crate owns the accepted list of a proxy, its view of the fleet's membership and its schedule of polls. It never
//! does I/O and never reads a clock: a [`peer::Peer`] is told what happens, at moments in microseconds, and returns what
//! is to be sent, polled and reported. What the list means for calls is decided elsewhere.
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

/// A moment or a duration, in microseconds.
pub type Micros = u64;
