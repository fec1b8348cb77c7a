//! The inputs and outputs of a [`Peer`](super::Peer), and its reports.

use crate::endpoint_list::{EndpointChange, ListVersion};
use crate::polling::{KnownPoller, Mechanism, PeerId};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a proxy in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Drawn at random at each start.
    pub id: PeerId,
    /// Unix time of its start in milliseconds, plus one for each time that it was declared down by mistake: of two
    /// identities with one address the later one is valid.
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
    /// The addresses of proxies that are contacted at the start; the own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// A mechanism that is switched off, to measure its effect; `None` outside of simulations.
    pub disabled: Option<Mechanism>,
}

/// What happens to a proxy.
#[derive(Debug)]
pub enum Input<'a> {
    /// An authenticated message has arrived.
    Message(&'a [u8]),
    /// [`Peer::next_deadline`](super::Peer::next_deadline) has passed.
    Timer,
    /// The list service has answered a poll.
    PollAnswered(PollAnswer),
    /// A poll has failed, or was not answered.
    PollFailed {
        /// How long the service asked the proxy to stay away (`Retry-After`).
        retry_after: Option<Micros>,
    },
    /// The list service was replaced by another one; a poll in flight is void.
    SourceChanged,
    /// The proxy shuts down.
    Leave,
}

/// The list service's answer to a poll.
#[derive(Clone, Debug)]
pub struct PollAnswer {
    /// Whether `changes` is the complete list; else what has changed since the index of the poll.
    pub complete: bool,
    /// The index of the list.
    pub index: u64,
    /// The entries.
    pub changes: Vec<EndpointChange>,
    /// Time from the poll to the answer.
    pub latency: Micros,
    /// Whether the service answered without holding the poll back until there was news.
    pub immediate: bool,
}

/// What a proxy is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to this address.
    Send(SocketAddr, Vec<u8>),
    /// Poll the list service.
    Poll {
        /// The index of the list that is known: the service answers with what has changed, and may wait for news. `None`:
        /// it answers with the complete list at once.
        index: Option<u64>,
        /// How long the service may hold the poll back until there is news.
        wait: Micros,
    },
    /// The accepted list has changed.
    ListChanged {
        /// Whether `changes` is the complete first list.
        complete: bool,
        /// The changes against the list before.
        changes: Vec<EndpointChange>,
    },
    /// The number of live proxies has changed to this, this one included.
    AliveCount(usize),
    /// Something has happened that operators should see.
    Event(PeerEvent),
}

/// What operators should see.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// The first list was accepted.
    ListReceived {
        /// The peer that it came from; `None`: the list service.
        source: Option<SocketAddr>,
        /// Its version.
        version: ListVersion,
        /// Number of endpoints that take calls.
        endpoints: usize,
        /// Time since the start of the proxy.
        elapsed: Micros,
    },
    /// This proxy has become one of the pollers.
    PollingStarted,
    /// This proxy leaves polling to others.
    PollingStopped,
    /// The list service sent a list that is older than the accepted one, or from which more than half of the endpoints
    /// are missing.
    ListQuarantined {
        /// The list's index.
        index: u64,
    },
    /// An older list was accepted: the list service was restored, or replaced by another one.
    IncarnationStarted {
        /// The new incarnation.
        incarnation: u32,
    },
    /// The start is complete: there is a list and a healthy poller, and no new proxies appear.
    Converged {
        /// Number of live proxies, this one included.
        alive: usize,
    },
    /// More than half of the proxies have gone since the fleet converged: the proxy waits for convergence again.
    MembershipLost {
        /// Number of proxies that are still alive, this one included.
        alive: usize,
    },
}

/// Counters since the start of the proxy. In JSON they have the names of earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metrics {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of these messages.
    pub sent_bytes: u64,
    /// Messages not sent because of the rate limit.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Messages accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Lists whose parts did not make the list that their version names.
    #[serde(rename = "torn")]
    pub checksum_mismatch: u64,
    /// Polls of the list service.
    #[serde(rename = "questions")]
    pub polls: u64,
    /// Polls that failed.
    #[serde(rename = "failed")]
    pub polls_failed: u64,
    /// Lists of the service that were quarantined.
    #[serde(rename = "doubted")]
    pub quarantined: u64,
}

/// The accepted list of a proxy. Serialized as the triple `(version, age, source)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ListStatusTriple", into = "ListStatusTriple")]
pub struct ListStatus {
    /// Its version.
    pub version: ListVersion,
    /// Time since it was accepted.
    pub age: Micros,
    /// The peer that it came from; `None`: the list service.
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

/// What a proxy knows, for operators. In JSON it has the names of earlier versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The proxy itself.
    pub own: Member,
    /// The accepted list.
    pub list: Option<ListStatus>,
    /// Number of endpoints that take calls.
    #[serde(rename = "hosts")]
    pub endpoints: usize,
    /// Number of live proxies, this one included.
    pub alive: usize,
    /// Whether the start is complete: see [`PeerEvent::Converged`].
    #[serde(rename = "settled")]
    pub converged: bool,
    /// The active pollers.
    #[serde(rename = "askers")]
    pub pollers: Vec<KnownPoller>,
    /// Counters.
    #[serde(rename = "counts")]
    pub metrics: Metrics,
}
