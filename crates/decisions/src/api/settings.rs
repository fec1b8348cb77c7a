//! Settings of a balancer.

use super::call_class::{Class, Idempotency};
use super::ids::{Micros, ZoneId};

/// A tenant's share of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
    /// Calls per second, over all balancers, that are within the tenant's share; 0 if unknown.
    pub quota: f64,
}

/// What [`EndpointEntry::weight`](super::EndpointEntry::weight) means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// The weight has no meaning.
    #[default]
    Off,
    /// The registered size of the endpoint.
    Nominal,
    /// The approximate size of the endpoint.
    Rough,
    /// The size of the endpoint divided by its load at some recent time.
    Live,
}

/// When endpoints report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// Endpoints do not report their load.
    #[default]
    Off,
    /// With each attempt's outcome and in each probe reply.
    Inline,
    /// In probe replies only.
    OnProbe,
}

/// The load reports that endpoints send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReporting {
    /// When endpoints report their load.
    pub mode: ReportMode,
    /// Whether reports include [`LoadReport::in_flight`](super::LoadReport::in_flight).
    pub includes_in_flight: bool,
}

/// Score deductions: the points lost for one unit per call of each kind of cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// An attempt sent to another zone.
    pub cross_zone: f64,
    /// A load probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
    /// Endpoint work that produced no used answer, in units of one call's work.
    pub wasted_work: f64,
    /// A call that fails after its latency objective has passed.
    pub late_failure: f64,
}

/// Limits set by the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be probed for their load.
    pub probes: bool,
    /// Whether a call may have two attempts in flight at the same time.
    pub hedging: bool,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Longest Retry-After that clients honour, in microseconds; 0 if clients get none.
    pub max_retry_after: Micros,
    /// Maximum number of concurrent attempts on one connection; 0 if unknown.
    pub max_streams: u32,
}

/// Rules that endpoints and proxies adhere to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRules {
    /// Guaranteed share of an endpoint's full capacity right after its start.
    pub slow_start_min_capacity: f64,
    /// Time after its start by which an endpoint has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// An endpoint in slow start fails if it is sent more than this multiple of its current
    /// capacity for `overload_duration`.
    pub overload_multiple: f64,
    /// Duration of an overload after which an endpoint in slow start fails, in microseconds.
    pub overload_duration: Micros,
    /// Time for which calls may still go to an endpoint after it is listed as draining or removed,
    /// in microseconds.
    pub drain_grace: Micros,
    /// Maximum interval between polls of the endpoint list, in microseconds.
    pub list_poll_interval: Micros,
}

/// Weights of the components of the score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreGoal {
    /// All calls together.
    pub overall: f64,
    /// The class with the worst result.
    pub worst_class: f64,
    /// The tenant with the worst result, counting calls within its share.
    pub worst_tenant: f64,
    /// The time window with the worst result.
    pub worst_window: f64,
}

/// The settings of a balancer, given at start and replaced by
/// [`Event::Reconfigure`](super::Event::Reconfigure).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that send to these endpoints, including this one.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Resolution of the proxy's clock, in microseconds.
    pub tick: Micros,
    /// Whether the endpoint list must be polled; otherwise it is pushed.
    pub poll_endpoint_list: bool,
    /// Classes of calls, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// Limits set by the site.
    pub limits: Limits,
    /// Rules for endpoints and list polling.
    pub rules: EndpointRules,
    /// Weights of the components of the score.
    pub goal: ScoreGoal,
    /// Score deductions.
    pub costs: Costs,
    /// The load reports that endpoints send.
    pub load_reporting: LoadReporting,
    /// The meaning of the weights in the endpoint list.
    pub weight_source: WeightSource,
    /// Weight of a call beyond its tenant's share, relative to one within it.
    pub over_share_weight: f64,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
}

impl Settings {
    /// The longest deadline of all classes, in microseconds; 0 if there are none.
    #[must_use]
    pub fn longest_deadline(&self) -> Micros {
        let deadlines = self.classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default()
    }
}

impl Default for Settings {
    /// One balancer, a pushed list, and one class of calls that are not idempotent, with a latency
    /// objective of 500 ms.
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
