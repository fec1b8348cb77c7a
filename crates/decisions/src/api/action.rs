//! What the balancer tells the proxy to do.

use super::ids::{CallId, EndpointId, Micros};

/// What the balancer tells the proxy to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the call to a server; the first pass is attempt 0, the next 1, and so on.
    Send {
        /// Which call.
        call: CallId,
        /// To which server.
        endpoint: EndpointId,
        /// When the attempt times out (a moment); `None`: with the client's patience.
        attempt_deadline: Option<Micros>,
        /// When its first byte must be on its way (a moment): from then on the servers may have
        /// forgotten the call's key, and an attempt that still waits for its connection must not
        /// start. `None`: no such moment.
        start_by: Option<Micros>,
    },
    /// End the call unserved; it may safely come again.
    Reject {
        /// Which call.
        call: CallId,
        /// Advice when.
        retry_after: Micros,
    },
    /// End the call with an error that promises nothing.
    Fail {
        /// Which call.
        call: CallId,
    },
    /// Call off an attempt.
    Cancel {
        /// Of which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// Send a health check.
    Probe {
        /// To which server.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`] after this time.
    Wake {
        /// How long from now.
        after: Micros,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for whoever is on call.
    Log {
        /// The line.
        text: String,
    },
}
