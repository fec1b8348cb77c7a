//! The reader of the settings object, shared by the adapter (its first message) and the program (its
//! configuration). Unknown keys are ignored, absent ones get harmless values: what is not granted is taken to be
//! forbidden, an effect that is not known to be run once, and lists to be pushed.

use crate::api::*;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct RawSettings {
    balancers: u32,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    discovery: String,
    limits: RawLimits,
    invariants: RawRules,
    #[serde(default)]
    result_mix: RawScoreGoal,
    #[serde(default)]
    tick_us: u64,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    charges: RawCosts,
    #[serde(default)]
    report: RawLoadReporting,
    #[serde(default)]
    weight_source: String,
    over_share_worth: Option<f64>,
    #[serde(default)]
    client_habits: RawClientHabits,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClientHabits {
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCosts {
    cross_zone: f64,
    probe: f64,
    handshake: f64,
    waste: f64,
    late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLoadReporting {
    how: String,
    columns: Vec<String>,
}

#[derive(Deserialize)]
struct RawClass {
    name: String,
    objective_us: u64,
    deadline_us: u64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_value: f64,
    idempotency: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    cancel: bool,
    probes: bool,
    second_copies: bool,
    max_attempts: u32,
    retry_after: bool,
    max_retry_after_us: u64,
    max_streams: u32,
    max_open: usize,
    conn_idle_us: u64,
    connect_timeout_us: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        let (cancel, probes, second_copies, retry_after) = (false, false, false, false);
        RawLimits {
            cancel,
            probes,
            second_copies,
            max_attempts: 1,
            retry_after,
            max_retry_after_us: 0,
            max_streams: 0,
            max_open: 10_000,
            conn_idle_us: 15_000_000,
            connect_timeout_us: 250_000,
        }
    }
}

#[derive(Deserialize)]
struct RawRules {
    cold_from: f64,
    cold_us: u64,
    tip_after_us: u64,
    fall_multiple: Option<f64>,
    drain_grace_us: Option<u64>,
    #[serde(default = "ask_every")]
    ask_every_us: u64,
}

fn ask_every() -> u64 {
    Settings::default().rules.list_poll_interval
}

#[derive(Deserialize)]
#[serde(default)]
struct RawScoreGoal {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
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

/// What the settings say of the sockets; the module decides nothing by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Requests that may be open at once.
    pub max_open: usize,
    /// Hosts close a connection that has been idle for this long.
    pub conn_idle: Micros,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
}

/// All that is read from the settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// What the sockets go by.
    pub transport: Transport,
}

/// A number for a name (FNV-1a), the same wherever it is met.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// The number of a zone by its name.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name))
}

/// The number of a machine kind by its name.
pub fn kind_id(name: &str) -> KindId {
    KindId(name_hash(name))
}

/// Reads the settings object; the error says which part is missing or odd.
pub fn read(raw: &Value) -> Result<PlatformSettings, String> {
    let raw = RawSettings::deserialize(raw).map_err(|e| e.to_string())?;
    let mut classes = Vec::new();
    for class in &raw.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        // A kind or a scope that is not known is taken to allow no repeat.
        let repeat = match (class.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Keyed {
                scope,
                window: class.repeat_window_us,
            },
            _ => Idempotency::NonIdempotent,
        };
        let (aim, deadline) = (class.objective_us, class.deadline_us);
        classes.push(Class {
            latency_objective: aim,
            deadline,
            priority_weight: class.worth,
            late_value: class.late_value,
            idempotency: repeat,
        });
    }
    // Taken for the wrong one, the list would be asked for too often by all, or too late.
    if !["", "ask", "push"].contains(&raw.discovery.as_str()) {
        return Err(format!(
            "discovery: found {:?}, allowed are \"ask\" and \"push\"",
            raw.discovery
        ));
    }
    let limits = &raw.limits;
    let rules = &raw.invariants;
    let (mix, charges, harmless) = (&raw.result_mix, &raw.charges, Settings::default());
    let weights = match raw.weight_source.as_str() {
        "nominal" => WeightSource::Nominal,
        "rough" => WeightSource::Rough,
        "live" => WeightSource::Live,
        _ => WeightSource::Off,
    };
    let how = match raw.report.how.as_str() {
        "inline" => ReportMode::Inline,
        "on_probe" => ReportMode::OnProbe,
        _ => ReportMode::Off,
    };
    let settings = Settings {
        balancers: raw.balancers,
        zone: zone_id(&raw.locality),
        tick: raw.tick_us,
        poll_endpoint_list: raw.discovery == "ask",
        classes,
        tenants: raw
            .tenants
            .iter()
            .map(|t| Tenant {
                share: t.portion,
                quota: t.quota_per_s,
            })
            .collect(),
        limits: Limits {
            cancel: limits.cancel,
            probes: limits.probes,
            hedging: limits.second_copies,
            max_attempts: limits.max_attempts,
            max_streams: limits.max_streams,
            max_retry_after: if limits.retry_after {
                limits.max_retry_after_us
            } else {
                0
            },
        },
        rules: EndpointRules {
            slow_start_min_capacity: rules.cold_from,
            slow_start_duration: rules.cold_us,
            overload_multiple: rules
                .fall_multiple
                .unwrap_or(harmless.rules.overload_multiple),
            overload_duration: rules.tip_after_us,
            drain_grace: rules.drain_grace_us.unwrap_or(harmless.rules.drain_grace),
            list_poll_interval: rules.ask_every_us,
        },
        goal: ScoreGoal {
            overall: mix.whole,
            worst_class: mix.worst_class,
            worst_tenant: mix.worst_tenant,
            worst_window: mix.worst_window,
        },
        costs: Costs {
            cross_zone: charges.cross_zone,
            probe: charges.probe,
            handshake: charges.handshake,
            wasted_work: charges.waste,
            late_failure: charges.late_fail,
        },
        load_reporting: LoadReporting {
            mode: how,
            includes_in_flight: raw.report.columns.iter().any(|c| c == "active"),
        },
        weight_source: weights,
        over_share_weight: raw.over_share_worth.unwrap_or(harmless.over_share_weight),
        clients_mark_retries: raw.client_habits.marks_retry,
    };
    let classes = raw.classes.into_iter().map(|c| c.name).collect();
    let transport = Transport {
        max_open: limits.max_open,
        conn_idle: limits.conn_idle_us,
        connect_timeout: limits.connect_timeout_us,
    };
    let tenants = raw.tenants.into_iter().map(|t| t.name).collect();
    Ok(PlatformSettings {
        settings,
        classes,
        tenants,
        transport,
    })
}
