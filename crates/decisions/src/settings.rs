//! The reader of the settings object, shared by the adapter (its first message) and the program (its
//! configuration). Unknown keys are ignored, absent ones get harmless values: what is not granted is taken to be
//! forbidden, an effect that is not known to be run once, and lists to be pushed.

use crate::api::*;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct Raw {
    balancers: u32,
    classes: Vec<ClassFacts>,
    #[serde(default)]
    tenants: Vec<TenantFacts>,
    #[serde(default)]
    discovery: String,
    limits: LimitFacts,
    invariants: RuleFacts,
    #[serde(default)]
    result_mix: GoalFacts,
    #[serde(default)]
    tick_us: u64,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    charges: ChargeFacts,
    #[serde(default)]
    report: ReportFacts,
    #[serde(default)]
    weight_source: String,
    over_share_worth: Option<f64>,
    #[serde(default)]
    client_habits: HabitFacts,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct HabitFacts {
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ChargeFacts {
    cross_zone: f64,
    probe: f64,
    handshake: f64,
    waste: f64,
    late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ReportFacts {
    how: String,
    columns: Vec<String>,
}

#[derive(Deserialize)]
struct ClassFacts {
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
struct TenantFacts {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitFacts {
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

impl Default for LimitFacts {
    fn default() -> Self {
        let (cancel, probes, second_copies, retry_after) = (false, false, false, false);
        LimitFacts {
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
struct RuleFacts {
    cold_from: f64,
    cold_us: u64,
    tip_after_us: u64,
    fall_multiple: Option<f64>,
    drain_grace_us: Option<u64>,
    #[serde(default = "ask_every")]
    ask_every_us: u64,
}

fn ask_every() -> u64 {
    Settings::default().rules.ask_every
}

#[derive(Deserialize)]
#[serde(default)]
struct GoalFacts {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

impl Default for GoalFacts {
    fn default() -> Self {
        GoalFacts {
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
pub struct Facts {
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
fn number(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// The number of a zone by its name.
pub fn zone(name: &str) -> ZoneId {
    ZoneId(number(name))
}

/// The number of a machine kind by its name.
pub fn kind(name: &str) -> KindId {
    KindId(number(name))
}

/// Reads the settings object; the error says which part is missing or odd.
pub fn read(facts: &Value) -> Result<Facts, String> {
    let facts = Raw::deserialize(facts).map_err(|e| e.to_string())?;
    let mut classes = Vec::new();
    for class in &facts.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(Scope::All),
            "zone" => Some(Scope::Zone),
            "cell" => Some(Scope::Cell),
            _ => None,
        };
        // A kind or a scope that is not known is taken to allow no repeat.
        let repeat = match (class.idempotency.as_str(), scope) {
            ("free", _) => Repeat::Free,
            ("guarded", Some(scope)) => Repeat::Guarded {
                scope,
                window: class.repeat_window_us,
            },
            _ => Repeat::SingleShot,
        };
        let (aim, deadline) = (class.objective_us, class.deadline_us);
        classes.push(Class {
            aim,
            deadline,
            worth: class.worth,
            late_value: class.late_value,
            repeat,
        });
    }
    // Taken for the wrong one, the list would be asked for too often by all, or too late.
    if !["", "ask", "push"].contains(&facts.discovery.as_str()) {
        return Err(format!(
            "discovery: found {:?}, allowed are \"ask\" and \"push\"",
            facts.discovery
        ));
    }
    let limits = &facts.limits;
    let rules = &facts.invariants;
    let (mix, charges, harmless) = (&facts.result_mix, &facts.charges, Settings::default());
    let weights = match facts.weight_source.as_str() {
        "nominal" => WeightSource::Nominal,
        "rough" => WeightSource::Rough,
        "live" => WeightSource::Live,
        _ => WeightSource::Off,
    };
    let how = match facts.report.how.as_str() {
        "inline" => Reporting::Inline,
        "on_probe" => Reporting::OnProbe,
        _ => Reporting::Off,
    };
    let settings = Settings {
        balancers: facts.balancers,
        zone: zone(&facts.locality),
        tick: facts.tick_us,
        ask: facts.discovery == "ask",
        classes,
        tenants: facts
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
            second_copies: limits.second_copies,
            max_attempts: limits.max_attempts,
            max_streams: limits.max_streams,
            max_retry_after: if limits.retry_after {
                limits.max_retry_after_us
            } else {
                0
            },
        },
        rules: Rules {
            cold_share: rules.cold_from,
            cold_time: rules.cold_us,
            fall_multiple: rules.fall_multiple.unwrap_or(harmless.rules.fall_multiple),
            fall_time: rules.tip_after_us,
            drain_grace: rules.drain_grace_us.unwrap_or(harmless.rules.drain_grace),
            ask_every: rules.ask_every_us,
        },
        goal: Goal {
            whole: mix.whole,
            worst_class: mix.worst_class,
            worst_tenant: mix.worst_tenant,
            worst_window: mix.worst_window,
        },
        charges: Charges {
            cross_zone: charges.cross_zone,
            probe: charges.probe,
            handshake: charges.handshake,
            waste: charges.waste,
            late_fail: charges.late_fail,
        },
        reports: Reports {
            how,
            in_hand: facts.report.columns.iter().any(|c| c == "active"),
        },
        weights,
        over_share_worth: facts.over_share_worth.unwrap_or(harmless.over_share_worth),
        marks_retry: facts.client_habits.marks_retry,
    };
    let classes = facts.classes.into_iter().map(|c| c.name).collect();
    let transport = Transport {
        max_open: limits.max_open,
        conn_idle: limits.conn_idle_us,
        connect_timeout: limits.connect_timeout_us,
    };
    let tenants = facts.tenants.into_iter().map(|t| t.name).collect();
    Ok(Facts {
        settings,
        classes,
        tenants,
        transport,
    })
}
