//! Events that the proxy reports to the balancer.

use super::call_class::{CallPolicy, Class};
use super::endpoint_list::{EndpointEntry, ListUpdateKind};
use super::ids::{CallId, ClassId, EndpointId, Micros, TenantId};
use super::settings::Settings;

/// The outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint served the call.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint rejected the call without executing it, because it is full or draining.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// The attempt was cancelled by this balancer.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// Any other outcome; the attempt may have been executed.
    Unknown,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was not executed, so that a retry is harmless.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// An endpoint's load report. Values that the endpoint does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the endpoint, including queued ones.
    pub in_flight: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Share of the endpoint's cores that are busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Errors per second.
    pub error_rate: Option<f64>,
}

/// An event that the proxy reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy has started. The cached endpoint list follows, if there is one.
    Start,
    /// The endpoint list was updated, or an update failed.
    EndpointList {
        /// The kind of update.
        kind: ListUpdateKind,
        /// The entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// A client has made a call.
    Request {
        /// The call.
        call: CallId,
        /// The class of the call.
        class: ClassId,
        /// The definition of the class when the call was admitted, if the settings may have
        /// changed since then; `None`: that of the settings.
        definition: Option<Class>,
        /// The tenant that the call belongs to.
        tenant: Option<TenantId>,
        /// Time until the client's deadline, in microseconds.
        time_left: Micros,
        /// Time until this process must have answered, in microseconds, if it shuts down; `None`
        /// if only the client's deadline counts.
        time_until_exit: Option<Micros>,
        /// Whether the client marks the call as a retry.
        is_retry: bool,
        /// The operator's policy for the call.
        policy: CallPolicy,
    },
    /// An attempt has ended.
    Outcome {
        /// The call of the attempt.
        call: CallId,
        /// The number of the attempt, counted from 0.
        attempt: u32,
        /// The outcome.
        outcome: Outcome,
        /// The duration, in microseconds.
        elapsed: Micros,
        /// Whether the call is finished: the client has received its answer or is gone.
        closed: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The response to an attempt has started streaming, which binds the call to that attempt.
    Streaming {
        /// The call of the attempt.
        call: CallId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A load probe has ended.
    ProbeCompleted {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// The outcome.
        outcome: Outcome,
        /// The duration, in microseconds.
        elapsed: Micros,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The client of a call has disconnected.
    ClientDisconnected {
        /// The call.
        call: CallId,
    },
    /// The settings have changed. Open calls keep the settings under which they arrived.
    Reconfigure {
        /// The complete new settings. Each class keeps its index; a removed class is replaced by a
        /// copy of another class.
        settings: Box<Settings>,
        /// Indexes that now stand for a different class; their statistics are reset.
        redefined_classes: Vec<ClassId>,
    },
    /// A time requested by [`Action::Wake`](super::Action::Wake) has come.
    Timer,
}
