//! The settings of a replica, read from its file.

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

/// How many replicas one control plane may have.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];
/// The longest time that a change may be given, in milliseconds: a day.
const MAX_CHANGE_TIMEOUT_MS: u64 = 86_400_000;
const LEASE_MS: RangeInclusive<u64> = 200..=600_000;
const DRIFT_PPM: RangeInclusive<u64> = 100..=100_000;
const ELECTION_MS: RangeInclusive<u64> = 100..=60_000;
/// Clocks are read in whole microseconds, and not at one moment: what is added to the drift for that.
const CLOCK_READING_MICROS: u64 = 1_000;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The replica's number.
    pub replica: u64,
    /// Where each replica is reached, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Where this replica listens.
    pub listen: SocketAddr,
    /// The file of the replica's store.
    pub store: PathBuf,
    /// The secret that the fleet shares.
    pub secret: SharedSecret,
    /// For how long a lease is granted.
    pub lease_duration: Duration,
    /// How much longer than granted a lease is taken to last, because clocks run at different speeds.
    pub max_clock_drift: Duration,
    /// A change that is not in force by then is aborted.
    pub change_timeout: Duration,
    /// Replicas elect a new leader when they have not heard of the present one for at least this long.
    pub election_timeout: Duration,
    /// This region and the other ones; `None`: there are no regions.
    pub regions: Option<RegionSettings>,
}

impl Settings {
    /// Reads a file, and the secret that it names.
    ///
    /// # Errors
    /// If something is wrong with it. The text names the file, the line or key, what was found and what is allowed.
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
    let lease = in_range("lease_ms", raw.lease_ms, LEASE_MS)?;
    let drift = in_range("drift_ppm", raw.drift_ppm, DRIFT_PPM)?;
    let change = in_range("wait_ms", raw.wait_ms, lease..=MAX_CHANGE_TIMEOUT_MS)?;
    let election = in_range("election_ms", raw.election_ms, ELECTION_MS)?;
    Ok(Settings {
        replica: raw.replica,
        replicas,
        listen: raw.listen.unwrap_or(address),
        store: relative_to(path, &raw.store),
        secret,
        lease_duration: Duration::from_millis(lease),
        // Milliseconds times parts per million are nanoseconds.
        max_clock_drift: Duration::from_micros(lease * drift / 1_000 + CLOCK_READING_MICROS),
        change_timeout: Duration::from_millis(change),
        election_timeout: Duration::from_millis(election),
        regions,
    })
}

/// The addresses of the replicas by number.
fn replica_addresses(raw: &RawSettings) -> Result<BTreeMap<u64, SocketAddr>, SettingsProblem> {
    let mut replicas: BTreeMap<u64, SocketAddr> = BTreeMap::new();
    for (name, &address) in &raw.replicas {
        if let Some((other, _)) = replicas.iter().find(|(_, &known)| known == address) {
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

/// A path of the file of settings: a relative one starts at that file's directory.
fn relative_to(settings: &Path, path: &Path) -> PathBuf {
    match settings.parent() {
        Some(directory) => directory.join(path),
        None => path.to_owned(),
    }
}
