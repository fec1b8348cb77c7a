//! Settings of a balancer.

use super::call_class::{Class, Idempotency};
use super::ids::{Micros, ZoneId};

/// A tenant's part of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
    /// Calls a second over all balancers that are within its share; 0: not told.
    pub quota: f64,
}

/// What [`EndpointEntry::weight`] means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing.
    #[default]
    Off,
    /// The registered size of the server.
    Nominal,
    /// Its approximate size.
    Rough,
    /// Its size over its load at some recent moment.
    Live,
}

/// Where servers report their load.
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

/// What a server reports of its load, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReporting {
    /// Where.
    pub mode: ReportMode,
    /// Whether [`LoadReport::in_flight`] is among the figures.
    pub includes_in_flight: bool,
}

/// Points that are taken off the result, for each unit a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
    /// Server work that gave no answer, as much as was asked for.
    pub wasted_work: f64,
    /// All worth failing only after its aim.
    pub late_failure: f64,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// A call may have two attempts out at once.
    pub hedging: bool,
    /// Most attempts for a call.
    pub max_attempts: u32,
    /// Longest advice that a client heeds; 0 where clients are given none.
    pub max_retry_after: Micros,
    /// Attempts that one connection carries at a time; 0: not told.
    pub max_streams: u32,
}

/// Figures of the rules that must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRules {
    /// A server starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// And is warm after this at the latest.
    pub slow_start_duration: Micros,
    /// Sent more than this multiple of what it can then do ...
    pub overload_multiple: f64,
    /// ... over this span, a cold server falls over.
    pub overload_duration: Micros,
    /// Latest that calls may still go to a server after word that it drains or is gone.
    pub drain_grace: Micros,
    /// Longest that a proxy may go without asking for the list.
    pub list_poll_interval: Micros,
}

/// Weights of the parts of the goal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreGoal {
    /// All calls together.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
}

/// What a balancer is told at start, and by [`Event::Reconfigure`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers send to these servers, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Smallest step of the proxy's clock.
    pub tick: Micros,
    /// Whether news of the server list must be asked for.
    pub poll_endpoint_list: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: EndpointRules,
    /// Weights of the goal.
    pub goal: ScoreGoal,
    /// What costs points.
    pub costs: Costs,
    /// What servers report.
    pub load_reporting: LoadReporting,
    /// What the list's weights mean.
    pub weight_source: WeightSource,
    /// What a call is worth beyond its tenant's share, against one within.
    pub over_share_weight: f64,
    /// Clients say which calls are repeats of theirs.
    pub clients_mark_retries: bool,
}

impl Default for Settings {
    /// One balancer, a pushed list, one class of calls that are wanted in half a second and never
    /// repeated.
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
