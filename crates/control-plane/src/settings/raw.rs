//! The file of a replica as it is written, before its values are checked.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const DEFAULT_LEASE_MS: u64 = 10_000;
/// Clocks of well-kept machines stay within 100 parts per million; that of a virtual machine may be steered by 500.
const DEFAULT_DRIFT_PPM: u64 = 2_000;
const DEFAULT_WAIT_MS: u64 = 60_000;
const DEFAULT_ELECTION_MS: u64 = 1_000;

/// The keys of the file. Unknown ones are rejected.
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

/// The keys of another region.
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
