//! The platform's settings object in its JSON form. The keys are defined by the platform; missing
//! ones get safe defaults.

use super::{zone_id, SettingsError};
use crate::api::{
    Class, Costs, DedupScope, EndpointRules, Idempotency, Limits, LoadReporting, ReportMode,
    ScoreGoal, Settings, Tenant, WeightSource,
};
use serde::Deserialize;

/// Values of the key `discovery`: the endpoint list is polled, or pushed.
const DISCOVERY_BY_POLLING: &str = "ask";
const DISCOVERY_BY_PUSH: &str = "push";
/// The load report column that provides [`crate::LoadReport::in_flight`].
const IN_FLIGHT_COLUMN: &str = "active";

#[derive(Deserialize)]
pub(super) struct RawSettings {
    pub(super) balancers: u32,
    pub(super) classes: Vec<RawClass>,
    #[serde(default)]
    pub(super) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(super) discovery: String,
    pub(super) limits: RawLimits,
    pub(super) invariants: RawRules,
    #[serde(default)]
    pub(super) result_mix: RawScoreGoal,
    #[serde(default)]
    pub(super) tick_us: u64,
    #[serde(default)]
    pub(super) locality: String,
    #[serde(default)]
    pub(super) charges: RawCosts,
    #[serde(default)]
    pub(super) report: RawLoadReporting,
    #[serde(default)]
    pub(super) weight_source: String,
    #[serde(rename = "over_share_worth")]
    pub(super) over_share_weight: Option<f64>,
    #[serde(default)]
    pub(super) client_habits: RawClientHabits,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawClientHabits {
    pub(super) marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawCosts {
    pub(super) cross_zone: f64,
    pub(super) probe: f64,
    pub(super) handshake: f64,
    pub(super) waste: f64,
    pub(super) late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLoadReporting {
    pub(super) how: String,
    pub(super) columns: Vec<String>,
}

#[derive(Deserialize)]
pub(super) struct RawClass {
    pub(super) name: String,
    pub(super) objective_us: u64,
    pub(super) deadline_us: u64,
    #[serde(default)]
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(default)]
    pub(super) late_value: f64,
    pub(super) idempotency: String,
    #[serde(default)]
    pub(super) dedup_scope: String,
    #[serde(default)]
    pub(super) repeat_window_us: u64,
}

#[derive(Deserialize)]
pub(super) struct RawTenant {
    pub(super) name: String,
    #[serde(default)]
    pub(super) portion: f64,
    #[serde(default)]
    pub(super) quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawLimits {
    pub(super) cancel: bool,
    pub(super) probes: bool,
    pub(super) second_copies: bool,
    pub(super) max_attempts: u32,
    pub(super) retry_after: bool,
    pub(super) max_retry_after_us: u64,
    pub(super) max_streams: u32,
    pub(super) max_open: usize,
    pub(super) conn_idle_us: u64,
    pub(super) connect_timeout_us: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits {
            cancel: false,
            probes: false,
            second_copies: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after_us: 0,
            max_streams: 0,
            max_open: 10_000,
            conn_idle_us: 15_000_000,
            connect_timeout_us: 250_000,
        }
    }
}

#[derive(Deserialize)]
pub(super) struct RawRules {
    pub(super) cold_from: f64,
    pub(super) cold_us: u64,
    pub(super) tip_after_us: u64,
    pub(super) fall_multiple: Option<f64>,
    pub(super) drain_grace_us: Option<u64>,
    #[serde(default = "default_list_poll_interval")]
    pub(super) ask_every_us: u64,
}

fn default_list_poll_interval() -> u64 {
    Settings::default().rules.list_poll_interval
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawScoreGoal {
    pub(super) whole: f64,
    pub(super) worst_class: f64,
    pub(super) worst_tenant: f64,
    pub(super) worst_window: f64,
}

impl Default for RawScoreGoal {
    fn default() -> Self {
        RawScoreGoal {
            whole: 1.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            worst_window: 0.0,
        }
    }
}

impl RawSettings {
    /// Converts the object to the settings of a balancer.
    pub(super) fn settings(&self) -> Result<Settings, SettingsError> {
        let default = Settings::default();
        Ok(Settings {
            balancers: self.balancers,
            zone: zone_id(&self.locality),
            tick: self.tick_us,
            poll_endpoint_list: self.polls_endpoint_list()?,
            classes: self.classes.iter().map(RawClass::class).collect(),
            tenants: self.tenants.iter().map(RawTenant::tenant).collect(),
            limits: self.limits.limits(),
            rules: self.invariants.rules(&default.rules),
            goal: self.result_mix.goal(),
            costs: self.charges.costs(),
            load_reporting: self.report.load_reporting(),
            weight_source: self.weight_source(),
            over_share_weight: self.over_share_weight.unwrap_or(default.over_share_weight),
            clients_mark_retries: self.client_habits.marks_retry,
        })
    }

    /// Whether the endpoint list must be polled. An unknown value is an error: a wrong guess would
    /// make all proxies poll too often, or get updates too late.
    fn polls_endpoint_list(&self) -> Result<bool, SettingsError> {
        match self.discovery.as_str() {
            DISCOVERY_BY_POLLING => Ok(true),
            DISCOVERY_BY_PUSH | "" => Ok(false),
            found => Err(SettingsError::UnknownDiscovery {
                found: found.to_owned(),
            }),
        }
    }

    fn weight_source(&self) -> WeightSource {
        match self.weight_source.as_str() {
            "nominal" => WeightSource::Nominal,
            "rough" => WeightSource::Rough,
            "live" => WeightSource::Live,
            _ => WeightSource::Off,
        }
    }
}

impl RawClass {
    fn class(&self) -> Class {
        Class {
            latency_objective: self.objective_us,
            deadline: self.deadline_us,
            priority_weight: self.priority_weight,
            late_value: self.late_value,
            idempotency: self.idempotency(),
        }
    }

    /// An unknown idempotency or dedup scope is treated as not idempotent.
    fn idempotency(&self) -> Idempotency {
        let scope = match self.dedup_scope.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        match (self.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Keyed {
                scope,
                window: self.repeat_window_us,
            },
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl RawTenant {
    fn tenant(&self) -> Tenant {
        Tenant {
            share: self.portion,
            quota: self.quota_per_s,
        }
    }
}

impl RawLimits {
    fn limits(&self) -> Limits {
        let max_retry_after = if self.retry_after {
            self.max_retry_after_us
        } else {
            0
        };
        Limits {
            cancel: self.cancel,
            probes: self.probes,
            hedging: self.second_copies,
            max_attempts: self.max_attempts,
            max_retry_after,
            max_streams: self.max_streams,
        }
    }
}

impl RawRules {
    fn rules(&self, default: &EndpointRules) -> EndpointRules {
        EndpointRules {
            slow_start_min_capacity: self.cold_from,
            slow_start_duration: self.cold_us,
            overload_multiple: self.fall_multiple.unwrap_or(default.overload_multiple),
            overload_duration: self.tip_after_us,
            drain_grace: self.drain_grace_us.unwrap_or(default.drain_grace),
            list_poll_interval: self.ask_every_us,
        }
    }
}

impl RawScoreGoal {
    fn goal(&self) -> ScoreGoal {
        ScoreGoal {
            overall: self.whole,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
            worst_window: self.worst_window,
        }
    }
}

impl RawCosts {
    fn costs(&self) -> Costs {
        Costs {
            cross_zone: self.cross_zone,
            probe: self.probe,
            handshake: self.handshake,
            wasted_work: self.waste,
            late_failure: self.late_fail,
        }
    }
}

impl RawLoadReporting {
    fn load_reporting(&self) -> LoadReporting {
        let mode = match self.how.as_str() {
            "inline" => ReportMode::Inline,
            "on_probe" => ReportMode::OnProbe,
            _ => ReportMode::Off,
        };
        LoadReporting {
            mode,
            includes_in_flight: self.columns.iter().any(|column| column == IN_FLIGHT_COLUMN),
        }
    }
}
