//! Actions that the balancer requests from the proxy.

use super::ids::{CallId, EndpointId, Micros};
use std::fmt;

/// An action that the proxy executes for the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to an endpoint. A call's attempts are numbered from 0 in the order of these
    /// actions.
    Send {
        /// The call.
        call: CallId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time at which the attempt times out; `None` means at the client's deadline.
        attempt_deadline: Option<Micros>,
        /// Time by which the first byte must have been sent. After it, the endpoints may have
        /// dropped the call's idempotency key, so an attempt that still waits for a connection must
        /// not start. `None` means no such limit.
        start_by: Option<Micros>,
    },
    /// Reject the call; its client may safely try again.
    Reject {
        /// The call.
        call: CallId,
        /// The Retry-After value, in microseconds.
        retry_after: Micros,
    },
    /// End the call with an error that does not say whether it was executed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The call of the attempt.
        call: CallId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Send a load probe. Its result is reported by
    /// [`Event::ProbeCompleted`](super::Event::ProbeCompleted).
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Deliver [`Event::Timer`](super::Event::Timer) after this delay.
    Wake {
        /// The delay from now, in microseconds.
        after: Micros,
    },
    /// Poll the endpoint list or subscribe to it.
    Subscribe,
    /// Log an event for operators.
    Log {
        /// The event to log.
        event: LogEvent,
    },
}

/// An event that the proxy logs for the balancer. `Display` writes the event's name and the
/// endpoint's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An endpoint was ejected as an outlier. It gets only single trial calls from now on.
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An ejected endpoint was readmitted after a served trial call.
    EndpointReadmitted {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Every endpoint is ejected. Calls are rejected until one is readmitted.
    AllEndpointsEjected,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointEjected { endpoint } => write!(f, "endpoint ejected: {}", endpoint.0),
            LogEvent::EndpointReadmitted { endpoint } => {
                write!(f, "endpoint readmitted: {}", endpoint.0)
            }
            LogEvent::AllEndpointsEjected => f.write_str("all endpoints ejected, rejecting calls"),
        }
    }
}
