//! A model of what stands round a client proxy: hosts, network, list service and clients, and the judges that hold a
//! course against the rules. Times are whole microseconds that the caller tells; nothing here does I/O, reads a clock
//! or depends on the proxy's own code. The same [`Host`] answers in virtual time and behind a real socket.
//!
//! All chance is drawn by name ([`Draws`]): what happens to one call does not shift when another is taken out, which
//! is what lets a failing course be cut down.
#![forbid(unsafe_code)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
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

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// What a client wants done, over all its tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);
