//! The inputs and outputs of a [`Peer`](super::Peer), and its reports.

use crate::endpoint_list::{EndpointChange, ListVersion};
use crate::polling::{KnownPoller, Mechanism, PeerId};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a proxy in the membership protocol (SWIM).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which the proxy receives messages.
    pub address: SocketAddr,
    /// The proxy's identifier, drawn at random at each start.
    pub id: PeerId,
    /// Unix time in milliseconds at which the proxy started, plus one for each time that it was falsely declared down.
    /// Of two identities with the same address, the one with the later time is valid.
    pub started: u64,
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            started: self.started + 1,
            ..*self
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.started, self.id) > (other.started, other.id)
    }
}

/// The configuration of a [`Peer`](super::Peer).
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// The proxy's identity.
    pub own: Member,
    /// The addresses of proxies to contact at the start; may include the proxy's own address.
    pub seeds: Vec<SocketAddr>,
    /// The mechanism to disable in order to measure its effect; `None` outside of simulations.
    pub disabled: Option<Mechanism>,
}

/// An input to [`Peer::handle`](super::Peer::handle).
#[derive(Debug)]
pub enum Input<'a> {
    /// An authenticated message has arrived.
    Message(&'a [u8]),
    /// [`Peer::next_deadline`](super::Peer::next_deadline) has passed.
    Timer,
    /// The list service has answered a poll.
    PollAnswered(PollAnswer),
    /// A poll has failed, or was not answered in time.
    PollFailed {
        /// The delay before the next poll that the service asked for (`Retry-After`), if any.
        retry_after: Option<Micros>,
    },
    /// The list service was replaced by another one; a poll in flight is abandoned.
    SourceChanged,
    /// The proxy shuts down.
    Leave,
}

/// The list service's answer to a poll.
#[derive(Clone, Debug)]
pub struct PollAnswer {
    /// Whether `changes` holds the complete list; otherwise it holds the changes since the index in the poll.
    pub complete: bool,
    /// The index of the list in the answer.
    pub index: u64,
    /// The entries of the list, or the changes.
    pub changes: Vec<EndpointChange>,
    /// Time from sending the poll to receiving the answer.
    pub latency: Micros,
    /// Whether the service answered without holding the poll until the list changed.
    pub immediate: bool,
}

/// An action that the caller carries out for a [`Peer`](super::Peer).
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to this address.
    Send(SocketAddr, Vec<u8>),
    /// Poll the list service.
    Poll {
        /// The index of the accepted list: the service answers with the changes since then, and may hold the poll until
        /// there are any. With `None`, it answers with the complete list immediately.
        index: Option<u64>,
        /// How long the service may hold the poll until the list changes.
        wait: Micros,
    },
    /// The accepted list has changed.
    ListChanged {
        /// Whether this is the first accepted list, and `changes` holds all of it.
        complete: bool,
        /// The changes against the previously accepted list.
        changes: Vec<EndpointChange>,
    },
    /// The number of live proxies, this one included, has changed notably; holds the new number.
    AliveCount(usize),
    /// Report an event to operators.
    Event(PeerEvent),
}

/// An event that is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// The first list was accepted.
    ListReceived {
        /// The peer that sent the list; `None` if the list service did.
        source: Option<SocketAddr>,
        /// Version of the list.
        version: ListVersion,
        /// Number of endpoints in the list that take calls.
        endpoints: usize,
        /// Time since the start of the proxy.
        elapsed: Micros,
    },
    /// This proxy has become one of the pollers.
    PollingStarted,
    /// This proxy has stopped polling, and leaves it to others.
    PollingStopped,
    /// The list service sent a list that is older than the accepted one, or from which more than half of the available
    /// endpoints are missing.
    ListQuarantined {
        /// Index of the quarantined list.
        index: u64,
    },
    /// An older list was accepted, because the list service was restored or replaced by another one.
    IncarnationStarted {
        /// The new incarnation.
        incarnation: u32,
    },
    /// The fleet has converged: there is a list and a healthy poller, and no new proxies appear.
    Converged {
        /// Number of live proxies, this one included.
        alive: usize,
    },
    /// More than half of the proxies are gone since the fleet converged: the proxy waits for convergence again.
    MembershipLost {
        /// Number of live proxies, this one included.
        alive: usize,
    },
}

/// Counters since the start of the proxy. The JSON field names are those of earlier versions, for compatibility.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metrics {
    /// Number of messages sent.
    pub sent: u64,
    /// Total size of the messages sent, in bytes.
    pub sent_bytes: u64,
    /// Number of messages not sent because of the rate limit.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Number of messages received and decoded.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of received messages that could not be decoded.
    pub malformed: u64,
    /// Number of lists whose parts did not form the list that their version identifies.
    #[serde(rename = "torn")]
    pub checksum_mismatch: u64,
    /// Number of polls of the list service.
    #[serde(rename = "questions")]
    pub polls: u64,
    /// Number of polls that failed.
    #[serde(rename = "failed")]
    pub polls_failed: u64,
    /// Number of lists from the service that were quarantined.
    #[serde(rename = "doubted")]
    pub quarantined: u64,
}

/// The status of a proxy's accepted list. Serialized as the triple `(version, age, source)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ListStatusTriple", into = "ListStatusTriple")]
pub struct ListStatus {
    /// Version of the list.
    pub version: ListVersion,
    /// Time since the list was accepted.
    pub age: Micros,
    /// The peer that sent the list; `None` if the list service did.
    pub source: Option<SocketAddr>,
}

type ListStatusTriple = (ListVersion, Micros, Option<SocketAddr>);

impl From<ListStatusTriple> for ListStatus {
    fn from((version, age, source): ListStatusTriple) -> Self {
        ListStatus {
            version,
            age,
            source,
        }
    }
}

impl From<ListStatus> for ListStatusTriple {
    fn from(list: ListStatus) -> Self {
        (list.version, list.age, list.source)
    }
}

/// The state of a proxy, for operators. The JSON field names are those of earlier versions, for compatibility.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The proxy itself.
    pub own: Member,
    /// The accepted list, if any.
    pub list: Option<ListStatus>,
    /// Number of endpoints in the list that take calls.
    #[serde(rename = "hosts")]
    pub endpoints: usize,
    /// Number of live proxies, this one included.
    pub alive: usize,
    /// Whether the fleet has converged: see [`PeerEvent::Converged`].
    #[serde(rename = "settled")]
    pub converged: bool,
    /// The active pollers that the proxy knows.
    #[serde(rename = "askers")]
    pub pollers: Vec<KnownPoller>,
    /// Counters since the start of the proxy.
    #[serde(rename = "counts")]
    pub metrics: Metrics,
}
