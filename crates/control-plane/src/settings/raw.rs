//! Deserialized settings file of a replica, before its values are validated.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Default duration of a lease, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 10_000;
/// Default clock drift, in parts per million. The clock of a well-maintained machine stays within 100 ppm; that of a
/// virtual machine may be slewed by 500 ppm.
const DEFAULT_DRIFT_PPM: u64 = 2_000;
/// Default timeout of a change, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 60_000;
/// Default election timeout, in milliseconds.
const DEFAULT_ELECTION_MS: u64 = 1_000;

/// Keys of the settings file. Unknown keys are rejected.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSettings {
    pub(super) replica: u64,
    pub(super) replicas: BTreeMap<String, SocketAddr>,
    pub(super) listen: Option<SocketAddr>,
    pub(super) store: PathBuf,
    pub(super) secret: PathBuf,
    #[serde(default = "default_lease_ms")]
    pub(super) lease_ms: u64,
    #[serde(default = "default_drift_ppm")]
    pub(super) drift_ppm: u64,
    #[serde(default = "default_wait_ms")]
    pub(super) wait_ms: u64,
    #[serde(default = "default_election_ms")]
    pub(super) election_ms: u64,
    pub(super) region: Option<String>,
    #[serde(default)]
    pub(super) regions: BTreeMap<String, RawRegion>,
    pub(super) regions_wait_ms: Option<u64>,
}

/// Keys of another region.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRegion {
    pub(super) replicas: Vec<SocketAddr>,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

fn default_drift_ppm() -> u64 {
    DEFAULT_DRIFT_PPM
}

fn default_wait_ms() -> u64 {
    DEFAULT_WAIT_MS
}

fn default_election_ms() -> u64 {
    DEFAULT_ELECTION_MS
}
