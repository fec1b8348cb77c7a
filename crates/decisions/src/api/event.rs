//! What the proxy tells the balancer.

use super::call_class::CallPolicy;
use super::endpoint_list::{EndpointEntry, ListUpdateKind};
use super::ids::{CallId, ClassId, EndpointId, Micros, TenantId};
use super::settings::Settings;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// Rejected without being looked at: the endpoint is full or draining.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// Cancelled by this balancer.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Anything else; it may have run.
    Unknown,
}

impl Outcome {
    /// Whether this proves that the attempt was not executed, so that a repeat is harmless.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// An endpoint's report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it has, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Share of its cores that is busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// What the proxy tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy starts. Its cached list, if any, comes next.
    Start,
    /// An update of the endpoint list.
    EndpointList {
        /// How much of it.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A call has come in.
    Request {
        /// Which.
        call: CallId,
        /// Its class.
        class: ClassId,
        /// Whose it is.
        tenant: Option<TenantId>,
        /// How long the client still waits, in microseconds.
        time_left: Micros,
        /// The client marks it as a retry.
        is_retry: bool,
        /// What the operator set for it.
        policy: CallPolicy,
    },
    /// An attempt has ended.
    Outcome {
        /// Of which call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in microseconds.
        elapsed: Micros,
        /// The client has had its answer, or is gone: nothing more is owed for the call.
        closed: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The answer of an attempt has begun to flow; the call is bound to it.
    Streaming {
        /// Which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// A load probe has ended.
    ProbeCompleted {
        /// Of which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in microseconds.
        elapsed: Micros,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The client of this call has gone.
    ClientDisconnected {
        /// Which.
        call: CallId,
    },
    /// Other settings hold from now on. Calls that are open end under those that they came under.
    Reconfigure {
        /// All of them. A class keeps its place; one that has gone leaves its place to a copy of
        /// another.
        settings: Box<Settings>,
        /// Classes whose places meant something else before: nothing learned of those holds.
        redefined_classes: Vec<ClassId>,
    },
    /// A time asked for by [`Action::Wake`](super::Action::Wake) has come.
    Timer,
}
