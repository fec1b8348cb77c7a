//! Messages of the wire protocol. The platform defines their names.

use crate::error::AdapterError;
use badgerramp_decisions::settings;
use badgerramp_decisions::{
    CellId, EndpointEntry, EndpointId, EndpointStatus, LoadReport, Outcome,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Defines an endpoint list, full or with changes only.
pub(crate) const LIST: &str = "POOL";
/// Creates an instance.
pub(crate) const CREATE: &str = "CREATE";
/// Removes an instance.
pub(crate) const DETACH: &str = "DETACH";
/// Delivers an endpoint list to an instance.
pub(crate) const LIST_UPDATE: &str = "MEMBERS";
/// A timer has expired.
pub(crate) const TIMER: &str = "ALARM";
/// A load probe has ended.
pub(crate) const PROBE_COMPLETED: &str = "PROBED";
/// A message from another instance. It is ignored, as instances send none here.
pub(crate) const PEER_MESSAGE: &str = "WHISPER";
/// A client has made a call.
pub(crate) const REQUEST: &str = "JOB_IN";
/// An attempt has ended.
pub(crate) const OUTCOME: &str = "DONE";
/// The response to an attempt has started streaming.
pub(crate) const STREAMING: &str = "UNDER_WAY";
/// The client of a call has disconnected.
pub(crate) const CLIENT_DISCONNECTED: &str = "CANCELLED_BY_CLIENT";

/// One line of input: the events at one point in time.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    pub clock_us: u64,
    #[serde(borrow)]
    pub input: Vec<Input<'a>>,
}

/// An event of any kind; the verb determines which fields are present.
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

impl Input<'_> {
    /// Returns a field that this event's verb requires.
    pub(crate) fn require<T>(
        &self,
        value: Option<T>,
        field: &'static str,
    ) -> Result<T, AdapterError> {
        value.ok_or_else(|| AdapterError::MissingField {
            verb: self.verb.to_string(),
            field,
        })
    }

    /// The endpoint's load report; empty if there is none.
    pub(crate) fn load(&self) -> LoadReport {
        self.stats.as_ref().map(Stats::load).unwrap_or_default()
    }
}

/// A load report.
#[derive(Deserialize)]
pub(crate) struct Stats {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
    err_rps: Option<f64>,
}

impl Stats {
    fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.active,
            queued: self.waiting,
            cpu_utilization: self.cpu,
            error_rate: self.err_rps,
        }
    }
}

/// An endpoint of a list.
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
    /// Converts the element to a list entry of the balancer.
    pub(crate) fn entry(&self) -> Result<EndpointEntry, AdapterError> {
        let status = match self.state {
            0 => EndpointStatus::Draining,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Removed,
            state => {
                let host = self.host;
                return Err(AdapterError::UnknownStatus { host, state });
            }
        };
        Ok(EndpointEntry {
            endpoint: EndpointId(self.host),
            status,
            zone: settings::zone_id(&self.az),
            cell: CellId(self.cohort),
            kind: settings::kind_id(&self.shape),
            weight: self.weight,
            started: self.last_start_us,
        })
    }
}

/// The outcome of an attempt or a probe. An unknown code counts as one after which the call may
/// have been executed.
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

/// One line of output: commands in the order of execution.
#[derive(Serialize)]
pub(crate) struct Reply {
    pub cmds: Vec<Command>,
}

/// A command for an instance.
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
