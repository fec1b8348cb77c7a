//! Endpoint list entries and updates, and the balancer's view of endpoints and calls.

use super::ids::{CellId, EndpointId, KindId, Micros, ZoneId};

/// The status of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint takes calls.
    #[default]
    Ready,
    /// The endpoint is shutting down gracefully: it finishes its calls and takes no new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether the endpoint takes calls.
    pub status: EndpointStatus,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// The endpoint's cell.
    pub cell: CellId,
    /// The endpoint's machine kind.
    pub kind: KindId,
    /// Relative weight of the endpoint, see [`WeightSource`](super::WeightSource); unknown if 0 or
    /// less.
    pub weight: f64,
    /// Time at which the process last started, in microseconds of the balancer's clock; 0 if that
    /// was long ago.
    pub started: Micros,
}

/// The kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The update contains the changed entries only.
    Delta,
    /// The update contains the full list.
    Full,
    /// The update contains the full list from the proxy's cache, which may be outdated.
    Cached,
    /// The update contains no entries: the poll failed or the subscription broke.
    Failed,
}

/// Numbers of endpoints that a balancer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints listed as ready.
    pub listed: usize,
    /// Listed endpoints that are outliers: ejected or failing. At most half of the endpoints are
    /// ever ejected, so the number of ejected endpoints alone would not show a failure of the whole
    /// fleet.
    pub outliers: usize,
}

/// Numbers of calls that a balancer holds, and its retry tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallTotals {
    /// Calls that have not ended or still have an attempt in flight.
    pub open: usize,
    /// Open calls in the wait queue.
    pub queued: usize,
    /// Available retry tokens; each pays for a retry or a hedged request.
    pub retry_tokens: f64,
}

/// A snapshot of what a balancer knows about an endpoint, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// Whether the endpoint is listed as taking calls.
    pub listed: bool,
    /// This balancer's attempts in flight at the endpoint.
    pub in_flight: u32,
    /// This balancer's concurrency limit for the endpoint after slow start.
    pub concurrency_limit: f64,
    /// Latency relative to the limits of the call classes; 1 is the limit.
    pub latency_ratio: f64,
    /// Smoothed share of attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Guaranteed share of the endpoint's full capacity, below 1 during slow start.
    pub slow_start_capacity: f64,
    /// Whether the endpoint is ejected and gets only single trial calls.
    pub ejected: bool,
}
