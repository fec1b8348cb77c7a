//! The endpoint list, and what a balancer tells of an endpoint.

use super::ids::{CellId, EndpointId, KindId, Micros, ZoneId};

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes calls.
    #[default]
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which server.
    pub endpoint: EndpointId,
    /// What it does.
    pub status: EndpointStatus,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// A figure to compare servers by, see [`WeightSource`]; 0 or less: not told.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started: Micros,
}

/// How much of the list a piece of news holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as the proxy last had it, maybe old.
    Cached,
    /// None: asking failed or the subscription broke.
    Failed,
}

/// What a balancer knows of a server at a moment, for whoever looks on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// It takes calls, by the list.
    pub listed: bool,
    /// Attempts of this balancer's that are out there.
    pub in_flight: u32,
    /// Attempts that it may have out there when it is warm.
    pub concurrency_limit: f64,
    /// Answer times over what they may be; 1 is the limit.
    pub latency_ratio: f64,
    /// Recent share of failures, 0 to 1.
    pub failure_rate: f64,
    /// Share of its capacity that it has at the least.
    pub slow_start_capacity: f64,
    /// It is sent nothing but a trial.
    pub ejected: bool,
}
