//! What a peer is told, what it asks for, and what it reports of itself.

use crate::endpoint_list::{EndpointChange, ListVersion};
use crate::polling::{Mechanism, PeerId, PollerStatus};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A proxy, as its peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its number.
    pub id: PeerId,
    /// Unix time of its start in milliseconds, and one more each time that it was thought dead: of two at one address
    /// the later one is there.
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

/// What happens to a proxy.
#[derive(Debug)]
pub enum Input<'a> {
    /// A message has come whose seal was good.
    Message(&'a [u8]),
    /// [`Peer::next_deadline`](super::Peer::next_deadline) has come.
    Timer,
    /// The list service has answered.
    PollAnswered(PollAnswer),
    /// It has not; `retry_after`: what it said.
    PollFailed {
        /// How long to stay away.
        retry_after: Option<Micros>,
    },
    /// There is another list service; what was asked of the old one is void.
    SourceChanged,
    /// The program ends.
    Leave,
}

/// An answer of the list service.
#[derive(Clone, Debug)]
pub struct PollAnswer {
    /// The whole list, and not what changed.
    pub complete: bool,
    /// Its version.
    pub index: u64,
    /// The entries.
    pub changes: Vec<EndpointChange>,
    /// How long it took.
    pub latency: Micros,
    /// It did not wait for news.
    pub immediate: bool,
}

/// What a proxy is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SocketAddr, Vec<u8>),
    /// Ask the list service: for the whole list, or for what is newer than a version, which may wait.
    Poll {
        /// What is known.
        index: Option<u64>,
        /// How long to wait for news.
        wait: Micros,
    },
    /// The list has changed, or is there for the first time (`complete`).
    ListChanged {
        /// All of it.
        complete: bool,
        /// What changed.
        changes: Vec<EndpointChange>,
    },
    /// So many proxies are alive, this one included.
    AliveCount(usize),
    /// Something for the log.
    Event(PeerEvent),
}

/// Steps of a start, and what is odd.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A list is there, so long after the start.
    ListReceived {
        /// Whom it is from; `None`: the service itself.
        source: Option<SocketAddr>,
        /// Which.
        version: ListVersion,
        /// Hosts that take calls.
        endpoints: usize,
        /// Time since the start.
        elapsed: Micros,
    },
    /// This proxy has become one of the pollers.
    PollingStarted,
    /// This proxy leaves polling to others.
    PollingStopped,
    /// The service tells a list that is older than the one believed, or names less than half of its hosts.
    ListQuarantined {
        /// The list's index at the service.
        index: u64,
    },
    /// The service was restored, or another one tells other lists: a new incarnation.
    IncarnationStarted {
        /// The new one.
        incarnation: u32,
    },
    /// The start is over: there is a list from a service that is heard, and no new proxies come up.
    Converged {
        /// Proxies alive, this one included.
        alive: usize,
    },
    /// Most proxies have gone: as at a start.
    MembershipLost {
        /// Proxies still alive, this one included.
        alive: usize,
    },
}

/// Counters of what came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metrics {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that were not sent as there were too many.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Messages taken.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages that are none.
    pub malformed: u64,
    /// Lists that were not what their version tells.
    #[serde(rename = "torn")]
    pub checksum_mismatch: u64,
    /// Questions to the list service.
    #[serde(rename = "questions")]
    pub polls: u64,
    /// ... that failed.
    #[serde(rename = "failed")]
    pub polls_failed: u64,
    /// Lists of the service that were quarantined.
    #[serde(rename = "doubted")]
    pub quarantined: u64,
}

/// What a proxy knows, for whoever looks on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Itself.
    pub own: Member,
    /// Its list, since when it has it, and from whom (`None`: the service).
    pub list: Option<(ListVersion, Micros, Option<SocketAddr>)>,
    /// Hosts that take calls.
    #[serde(rename = "hosts")]
    pub endpoints: usize,
    /// Proxies that are alive, this one included.
    pub alive: usize,
    /// The start is over.
    #[serde(rename = "settled")]
    pub converged: bool,
    /// Those that ask, and how long ago something new was heard of each.
    #[serde(rename = "askers")]
    pub pollers: Vec<(PollerStatus, Micros)>,
    /// Metrics.
    #[serde(rename = "counts")]
    pub metrics: Metrics,
}

/// What holds for a proxy.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Itself; its number is drawn at its start.
    pub own: Member,
    /// Where others may be met.
    pub seeds: Vec<SocketAddr>,
    /// What is left out, to measure what it is worth; else `None`.
    pub disabled: Option<Mechanism>,
}
