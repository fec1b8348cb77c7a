//! Settings of a balancer.

use super::call_class::{Class, Idempotency};
use super::ids::{Micros, ZoneId};

/// A tenant's part of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
    /// Calls a second over all balancers that are within its share; 0: not known.
    pub quota: f64,
}

/// What [`EndpointEntry::weight`](super::EndpointEntry::weight) means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing.
    #[default]
    Off,
    /// The registered size of the endpoint.
    Nominal,
    /// Its approximate size.
    Rough,
    /// Its size over its load at some recent moment.
    Live,
}

/// Where endpoints report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// Nowhere.
    #[default]
    Off,
    /// In each outcome and in each answer to a probe.
    Inline,
    /// In answers to probes only.
    OnProbe,
}

/// What an endpoint reports of its load, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReporting {
    /// Where.
    pub mode: ReportMode,
    /// Whether [`LoadReport::in_flight`](super::LoadReport::in_flight) is among the figures.
    pub includes_in_flight: bool,
}

/// Points that are taken off the score, for each unit a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
    /// Work of an endpoint that gave no answer in use, as much as one call takes.
    pub wasted_work: f64,
    /// A call that fails only after its latency objective.
    pub late_failure: f64,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be probed for their load.
    pub probes: bool,
    /// A call may have two attempts in flight at once.
    pub hedging: bool,
    /// Most attempts for a call.
    pub max_attempts: u32,
    /// Longest Retry-After that a client heeds, in microseconds; 0 where clients are given none.
    pub max_retry_after: Micros,
    /// Attempts that one connection carries at a time; 0: not known.
    pub max_streams: u32,
}

/// Figures of the rules that hold for endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRules {
    /// An endpoint starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// It has all of its capacity after this time at the latest.
    pub slow_start_duration: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time, an endpoint in slow start fails.
    pub overload_duration: Micros,
    /// Longest that calls may still go to an endpoint after it is listed as draining or removed.
    pub drain_grace: Micros,
    /// Longest that a proxy may go without polling the endpoint list.
    pub list_poll_interval: Micros,
}

/// Weights of the parts of the score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreGoal {
    /// All calls together.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// The worst window of time.
    pub worst_window: f64,
}

/// What a balancer is told at start, and by
/// [`Event::Reconfigure`](super::Event::Reconfigure).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers send to these endpoints, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Smallest step of the proxy's clock.
    pub tick: Micros,
    /// Whether the endpoint list must be polled; else it is pushed.
    pub poll_endpoint_list: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: EndpointRules,
    /// Weights of the score.
    pub goal: ScoreGoal,
    /// What costs points.
    pub costs: Costs,
    /// What endpoints report.
    pub load_reporting: LoadReporting,
    /// What the list's weights mean.
    pub weight_source: WeightSource,
    /// What a call beyond its tenant's share counts for, against one within.
    pub over_share_weight: f64,
    /// Clients mark the calls that are retries of theirs.
    pub clients_mark_retries: bool,
}

impl Default for Settings {
    /// One balancer, a pushed list, and one class of calls that are not idempotent, with an
    /// objective of half a second.
    fn default() -> Self {
        let idempotency = Idempotency::NonIdempotent;
        Settings {
            balancers: 1,
            zone: ZoneId::default(),
            tick: 1_000,
            poll_endpoint_list: false,
            classes: vec![Class {
                latency_objective: 500_000,
                deadline: 1_000_000,
                priority_weight: 1.0,
                late_value: 0.0,
                idempotency,
            }],
            tenants: Vec::new(),
            limits: Limits {
                cancel: true,
                probes: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
                max_streams: 0,
            },
            rules: EndpointRules {
                slow_start_min_capacity: 0.1,
                slow_start_duration: 20_000_000,
                overload_multiple: 3.0,
                overload_duration: 2_000_000,
                drain_grace: 1_000_000,
                list_poll_interval: 10_000_000,
            },
            goal: ScoreGoal {
                overall: 1.0,
                worst_class: 0.0,
                worst_tenant: 0.0,
                worst_window: 0.0,
            },
            costs: Costs::default(),
            load_reporting: LoadReporting::default(),
            weight_source: WeightSource::default(),
            over_share_weight: 1.0,
            clients_mark_retries: false,
        }
    }
}
