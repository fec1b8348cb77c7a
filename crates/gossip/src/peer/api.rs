//! What a peer is told, what it asks for, and what it reports of itself.

use crate::list::{Change, Stamp};
use crate::polling::{Id, Mechanism, PollerStatus};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A proxy, as its peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its number.
    pub id: Id,
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
    /// [`Peer::due`](super::Peer::due) has come.
    Timer,
    /// The list service has answered.
    Answered(Answer),
    /// It has not; `retry_after`: what it said.
    Failed {
        /// How long to stay away.
        retry_after: Option<Micros>,
    },
    /// There is another list service; what was asked of the old one is void.
    Moved,
    /// The program ends.
    Leave,
}

/// An answer of the list service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The whole list, and not what changed.
    pub whole: bool,
    /// Its version.
    pub index: u64,
    /// The entries.
    pub changes: Vec<Change>,
    /// How long it took.
    pub took: Micros,
    /// It did not wait for news.
    pub at_once: bool,
}

/// What a proxy is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SocketAddr, Vec<u8>),
    /// Ask the list service: for the whole list, or for what is newer than a version, which may wait.
    Ask {
        /// What is known.
        index: Option<u64>,
        /// How long to wait for news.
        wait: Micros,
    },
    /// The list has changed, or is there for the first time (`whole`).
    List {
        /// All of it.
        whole: bool,
        /// What changed.
        changes: Vec<Change>,
    },
    /// So many proxies are alive, this one included.
    Alive(usize),
    /// Something for the log.
    Note(Note),
}

/// Steps of a start, and what is odd.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A list is there, so long after the start.
    Listed {
        /// Whom it is from; `None`: the service itself.
        from: Option<SocketAddr>,
        /// Which.
        stamp: Stamp,
        /// Hosts that take calls.
        hosts: usize,
        /// Time since the start.
        after: Micros,
    },
    /// It asks for all, or no more.
    Asks(bool),
    /// The service tells a list that is older than the one believed, or names less than half of its hosts.
    Doubts(u64),
    /// The service was restored, or another one tells other lists: a new life.
    Life(u32),
    /// The start is over: there is a list from a service that is heard, and no new proxies come up.
    Settled(usize),
    /// Most proxies have gone: as at a start.
    Unsettled(usize),
}

/// Counts of what came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that were not sent as there were too many.
    pub held_back: u64,
    /// Messages taken.
    pub taken: u64,
    /// Messages that are none.
    pub malformed: u64,
    /// Lists that were not what their stamp tells.
    pub torn: u64,
    /// Questions to the list service.
    pub questions: u64,
    /// ... that failed.
    pub failed: u64,
    /// Lists of the service that were doubted.
    pub doubted: u64,
}

/// What a proxy knows, for whoever looks on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Itself.
    pub own: Member,
    /// Its list, since when it has it, and from whom (`None`: the service).
    pub list: Option<(Stamp, Micros, Option<SocketAddr>)>,
    /// Hosts that take calls.
    pub hosts: usize,
    /// Proxies that are alive, this one included.
    pub alive: usize,
    /// The start is over.
    pub settled: bool,
    /// Those that ask, and how long ago something new was heard of each.
    pub askers: Vec<(PollerStatus, Micros)>,
    /// Counts.
    pub counts: Counts,
}

/// What holds for a proxy.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Itself; its number is drawn at its start.
    pub own: Member,
    /// Where others may be met.
    pub seeds: Vec<SocketAddr>,
    /// What is left out, to measure what it is worth; else `None`.
    pub without: Option<Mechanism>,
}
