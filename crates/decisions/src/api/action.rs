//! What the balancer tells the proxy to do.

use super::ids::{CallId, EndpointId, Micros};
use std::fmt;

/// What the balancer tells the proxy to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to an endpoint; the first time is attempt 0, the next 1, and so on.
    Send {
        /// Which call.
        call: CallId,
        /// To which endpoint.
        endpoint: EndpointId,
        /// When the attempt times out (a moment); `None`: when its client gives up.
        attempt_deadline: Option<Micros>,
        /// When its first byte must be on its way (a moment): from then on the endpoints may have
        /// forgotten the call's key, and an attempt that still waits for its connection must not
        /// start. `None`: no such moment.
        start_by: Option<Micros>,
    },
    /// Reject the call: its client may safely try again.
    Reject {
        /// Which call.
        call: CallId,
        /// Retry-After, in microseconds.
        retry_after: Micros,
    },
    /// End the call with an error that promises nothing.
    Fail {
        /// Which call.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Of which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// Send a load probe; it ends with [`Event::ProbeCompleted`](super::Event::ProbeCompleted).
    Probe {
        /// To which endpoint.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`](super::Event::Timer) after this time.
    Wake {
        /// How long from now, in microseconds.
        after: Micros,
    },
    /// Poll the endpoint list, or subscribe to it.
    Subscribe,
    /// Log an event for whoever is on call.
    Log {
        /// What has happened.
        event: LogEvent,
    },
}

/// What the proxy logs for the balancer. Its `Display` is the event's name and the endpoint's
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An outlier gets no calls but single trials from now on.
    EndpointEjected {
        /// Which.
        endpoint: EndpointId,
    },
    /// A trial has shown that an ejected endpoint serves again.
    EndpointReadmitted {
        /// Which.
        endpoint: EndpointId,
    },
    /// Every endpoint is ejected: calls are rejected until one is readmitted.
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
