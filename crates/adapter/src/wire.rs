//! Messages of the wire, as they are read and written.

use badgerramp_decisions::settings;
use badgerramp_decisions::{
    CellId, EndpointEntry, EndpointId, EndpointStatus, LoadReport, Outcome,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    pub clock_us: u64,
    #[serde(borrow)]
    pub input: Vec<Input<'a>>,
}

/// Any event; which fields it has depends on its verb.
#[derive(Deserialize)]
pub(crate) struct Input<'a> {
    #[serde(borrow)]
    pub verb: Cow<'a, str>,
    pub proxy: Option<i64>,
    pub seed: Option<u64>,
    pub facts: Option<serde_json::Value>,
    pub roster_id: Option<i64>,
    pub elements: Option<Vec<Element>>,
    pub scope: Option<i64>,
    #[serde(borrow)]
    pub call: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub user_group: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub tier_class: Option<Cow<'a, str>>,
    pub time_budget_us: Option<u64>,
    #[serde(default)]
    pub resent: bool,
    pub seq_no: Option<u32>,
    pub host: Option<u32>,
    #[serde(borrow)]
    pub result: Option<Cow<'a, str>>,
    pub elapsed_us: Option<u64>,
    #[serde(default)]
    pub terminal: bool,
    pub stats: Option<Stats>,
}

#[derive(Deserialize)]
pub(crate) struct Stats {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
    err_rps: Option<f64>,
}

impl Stats {
    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.active,
            queued: self.waiting,
            cpu_utilization: self.cpu,
            error_rate: self.err_rps,
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct Element {
    #[serde(default)]
    last_start_us: u64,
    #[serde(default)]
    az: String,
    #[serde(default)]
    shape: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    cohort: u32,
    host: u32,
    state: u32,
}

impl Element {
    pub(crate) fn entry(&self) -> Result<EndpointEntry, String> {
        let state = match self.state {
            0 => EndpointStatus::Draining,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Removed,
            other => return Err(format!("host {} in unknown state {other}", self.host)),
        };
        Ok(EndpointEntry {
            endpoint: EndpointId(self.host),
            status: state,
            zone: settings::zone_id(&self.az),
            cell: CellId(self.cohort),
            kind: settings::kind_id(&self.shape),
            weight: self.weight,
            started: self.last_start_us,
        })
    }
}

pub(crate) fn outcome(code: &str) -> Outcome {
    match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

#[derive(Serialize)]
pub(crate) struct Reply {
    pub cmds: Vec<Command>,
}

#[derive(Serialize)]
#[serde(tag = "verb", rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Command {
    Route {
        proxy: i64,
        call: String,
        host: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        stop_at_us: Option<u64>,
    },
    DropAttempt {
        proxy: i64,
        call: String,
        seq_no: u32,
    },
    Test {
        proxy: i64,
        host: u32,
    },
    SetAlarm {
        proxy: i64,
        offset_us: u64,
        tag: u64,
    },
    DropRequest {
        proxy: i64,
        call: String,
    },
    Bounce {
        proxy: i64,
        call: String,
        hold_off_us: u64,
    },
    Listen {
        proxy: i64,
        enable: bool,
    },
    Trace {
        proxy: i64,
        note_text: String,
    },
}
