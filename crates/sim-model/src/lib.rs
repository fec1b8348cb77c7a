//! A simulation model of the surroundings of a client proxy (hosts, network, list service and clients) and the
//! checker that holds a simulation run against the invariants. Times are whole microseconds that the caller passes in;
//! nothing here does I/O, reads a clock or depends on the proxy's own code. The same [`Host`] runs in virtual time and
//! behind a real socket.
//!
//! All random values come from keyed streams ([`RandomStreams`]): what happens to one call does not change when another
//! call is removed, which allows a failing scenario to be minimised.
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod clients;
mod host;
mod invariants;
mod list_service;
mod network;
mod random;
mod scenario;

pub use clients::{ClientRequest, LoadGenerator, RetryDecision};
pub use host::{Arrival, Completion, DedupStore, Host, HostLoad, Job, JobOutcome};
pub use invariants::{FinalAnswer, Invariant, InvariantChecker, Violation};
pub use list_service::{ListEntry, ListResponse, ListService};
pub use network::{Delivery, Network};
pub use random::RandomStreams;
pub use scenario::{
    Class, ClientsSpec, ColdStart, ConcurrencyPenalty, CongestionCollapse, Criteria, DedupGroup,
    Effect, Fault, FaultKind, Hedging, HostSpec, ListSpec, NetworkSpec, Scenario, ScriptedRequest,
};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a client's operation, which spans all its tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);
