//! The endpoint list, and what a balancer tells of an endpoint.

use super::ids::{CellId, EndpointId, KindId, Micros, ZoneId};

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes calls.
    #[default]
    Ready,
    /// It shuts down gracefully: it finishes its calls and takes no more.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Whether it takes calls.
    pub status: EndpointStatus,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// A figure to compare endpoints by, see [`WeightSource`](super::WeightSource); 0 or less: not
    /// known.
    pub weight: f64,
    /// When its process last started, in microseconds of the balancer's clock; 0: long ago.
    pub started: Micros,
}

/// How much of the list an update holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as the proxy last had it, maybe old.
    Cached,
    /// None: the poll failed or the subscription broke.
    Failed,
}

/// How many endpoints a balancer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints that the list names ready.
    pub listed: usize,
    /// Those of them that are outliers: ejected or failing. Never more than half are ejected, so
    /// that alone would not tell of a fleet that fails as a whole.
    pub outliers: usize,
}

/// How many calls a balancer holds, and what it may spend on them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallTotals {
    /// Calls that have not ended, or still have an attempt in flight.
    pub open: usize,
    /// Those of them in the wait queue.
    pub queued: usize,
    /// Retry tokens saved up: each pays for a retry or a hedged request.
    pub retry_tokens: f64,
}

/// What a balancer knows of an endpoint at a moment, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// It takes calls, by the list.
    pub listed: bool,
    /// Attempts of this balancer in flight there.
    pub in_flight: u32,
    /// Attempts that it may have in flight there after slow start.
    pub concurrency_limit: f64,
    /// Latency over what its classes allow; 1 is the limit.
    pub latency_ratio: f64,
    /// Smoothed share of attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Share of its capacity that it has at the least.
    pub slow_start_capacity: f64,
    /// It is sent nothing but single trials.
    pub ejected: bool,
}
