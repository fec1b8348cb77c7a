//! Settings of a replica, read from its file.

mod error;
mod raw;
mod regions;
#[cfg(test)]
mod tests;

pub use error::{SettingsError, SettingsProblem};
pub use regions::RegionSettings;

use badgerramp_control_protocol::SharedSecret;
use raw::RawSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Allowed numbers of replicas of one control plane.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];
/// Largest allowed timeout of a change, in milliseconds: one day.
const MAX_CHANGE_TIMEOUT_MS: u64 = 86_400_000;
/// Allowed lease durations, in milliseconds.
const LEASE_MS_RANGE: RangeInclusive<u64> = 200..=600_000;
/// Allowed clock drifts, in parts per million.
const DRIFT_PPM_RANGE: RangeInclusive<u64> = 100..=100_000;
/// Allowed election timeouts, in milliseconds.
const ELECTION_MS_RANGE: RangeInclusive<u64> = 100..=60_000;
/// Allowance added to the drift, in microseconds: clocks are read in whole microseconds and not at the same moment.
const CLOCK_READING_ALLOWANCE_MICROS: u64 = 1_000;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of the replica.
    pub replica: u64,
    /// Address of each replica, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Address on which this replica listens.
    pub listen: SocketAddr,
    /// File of the replica's store.
    pub store: PathBuf,
    /// Shared secret of the fleet.
    pub secret: SharedSecret,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Time that the leader adds to the duration of a lease, because clocks run at different speeds.
    pub max_clock_drift: Duration,
    /// Time after which a change that is still pending is aborted.
    pub change_timeout: Duration,
    /// Shortest time without a message from the leader after which replicas elect a new one.
    pub election_timeout: Duration,
    /// Settings for this region and the other ones; `None` if no regions are configured.
    pub regions: Option<RegionSettings>,
}

impl Settings {
    /// Reads the settings file, and the secret from the file that it names.
    ///
    /// # Errors
    /// Returns an error if the file is invalid. The message names the file, the line or key, the value found and the
    /// allowed values.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path).map_err(|problem| SettingsError {
            file: path.to_owned(),
            problem,
        })
    }
}

fn load(path: &Path) -> Result<Settings, SettingsProblem> {
    let text = std::fs::read_to_string(path)?;
    let raw: RawSettings = toml::from_str(&text)?;
    let replicas = replica_addresses(&raw)?;
    let Some(&address) = replicas.get(&raw.replica) else {
        return Err(SettingsProblem::UnknownReplica(raw.replica));
    };
    let regions = RegionSettings::from_raw(&raw, &replicas)?;
    let secret = read_secret(relative_to(path, &raw.secret))?;
    let lease = in_range("lease_ms", raw.lease_ms, LEASE_MS_RANGE)?;
    let drift = in_range("drift_ppm", raw.drift_ppm, DRIFT_PPM_RANGE)?;
    let change = in_range("wait_ms", raw.wait_ms, lease..=MAX_CHANGE_TIMEOUT_MS)?;
    let election = in_range("election_ms", raw.election_ms, ELECTION_MS_RANGE)?;
    Ok(Settings {
        replica: raw.replica,
        replicas,
        listen: raw.listen.unwrap_or(address),
        store: relative_to(path, &raw.store),
        secret,
        lease_duration: Duration::from_millis(lease),
        // Milliseconds times parts per million gives nanoseconds.
        max_clock_drift: Duration::from_micros(
            lease * drift / 1_000 + CLOCK_READING_ALLOWANCE_MICROS,
        ),
        change_timeout: Duration::from_millis(change),
        election_timeout: Duration::from_millis(election),
        regions,
    })
}

/// Returns the addresses of the replicas by number.
fn replica_addresses(raw: &RawSettings) -> Result<BTreeMap<u64, SocketAddr>, SettingsProblem> {
    let mut replicas: BTreeMap<u64, SocketAddr> = BTreeMap::new();
    for (name, &address) in &raw.replicas {
        if let Some((other, _)) = replicas.iter().find(|(_, &existing)| existing == address) {
            return Err(SettingsProblem::DuplicateAddress {
                key: format!("replicas.{name}"),
                address,
                other: other.to_string(),
            });
        }
        replicas.insert(replica_number(name)?, address);
    }
    check_replica_count("replicas", replicas.len())?;
    Ok(replicas)
}

fn replica_number(name: &str) -> Result<u64, SettingsProblem> {
    match name.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(SettingsProblem::ReplicaNumber(name.to_owned())),
    }
}

fn check_replica_count(key: &str, found: usize) -> Result<(), SettingsProblem> {
    if REPLICA_COUNTS.contains(&found) {
        return Ok(());
    }
    Err(SettingsProblem::ReplicaCount {
        key: key.to_owned(),
        found,
    })
}

fn in_range(
    key: &'static str,
    found: u64,
    allowed: RangeInclusive<u64>,
) -> Result<u64, SettingsProblem> {
    if allowed.contains(&found) {
        return Ok(found);
    }
    Err(SettingsProblem::OutOfRange {
        key,
        found,
        allowed,
    })
}

fn read_secret(file: PathBuf) -> Result<SharedSecret, SettingsProblem> {
    SharedSecret::read(&file).map_err(|source| SettingsProblem::Secret { file, source })
}

/// Resolves a path from the settings file. A relative path is relative to the directory of that file.
fn relative_to(settings: &Path, path: &Path) -> PathBuf {
    match settings.parent() {
        Some(directory) => directory.join(path),
        None => path.to_owned(),
    }
}
