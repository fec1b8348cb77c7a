//! The file of a replica.

use badgerramp_control_protocol::SharedSecret;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

mod regions;

pub use regions::RegionSettings;

/// What a file says.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    replica: u64,
    replicas: BTreeMap<String, SocketAddr>,
    listen: Option<SocketAddr>,
    store: PathBuf,
    secret: PathBuf,
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    #[serde(default = "drift_ppm")]
    drift_ppm: u64,
    #[serde(default = "wait_ms")]
    wait_ms: u64,
    #[serde(default = "election_ms")]
    election_ms: u64,
    region: Option<String>,
    #[serde(default)]
    regions: BTreeMap<String, RawRegion>,
    regions_wait_ms: Option<u64>,
}

/// What a file says of another region.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRegion {
    replicas: Vec<SocketAddr>,
}

fn lease_ms() -> u64 {
    10_000
}

/// Clocks of machines that are well keep within 100; that of a virtual machine may be steered by 500.
fn drift_ppm() -> u64 {
    2_000
}

fn wait_ms() -> u64 {
    60_000
}

fn election_ms() -> u64 {
    1_000
}

/// All that a replica needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its number.
    pub replica: u64,
    /// Where each is reached.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Where this one listens.
    pub listen: SocketAddr,
    /// Its store.
    pub store: PathBuf,
    /// What the fleet shares.
    pub secret: SharedSecret,
    /// How long a mode is lent.
    pub lease: Duration,
    /// How much longer it is counted.
    pub drift: Duration,
    /// A change that is not in force by then comes to nothing.
    pub wait: Duration,
    /// A leader that is silent for this long is replaced, at the least.
    pub election: Duration,
    /// This region and the other ones; `None`: there are no regions.
    pub regions: Option<RegionSettings>,
}

/// How many replicas may keep one record.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];

fn range(
    file: &str,
    key: &str,
    found: u64,
    allowed: std::ops::RangeInclusive<u64>,
) -> Result<u64, String> {
    if allowed.contains(&found) {
        Ok(found)
    } else {
        Err(format!(
            "{file}: {key}: found {found}, allowed is {} to {}",
            allowed.start(),
            allowed.end()
        ))
    }
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    /// A text that names file, line or key, what was found and what is allowed.
    pub fn load(path: &Path) -> Result<Self, String> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
        let raw: RawSettings =
            toml::from_str(&text).map_err(|e| format!("{file}: {}", e.to_string().trim_end()))?;
        let number = |name: &String| {
            name.parse::<u64>().ok().filter(|&n| n > 0).ok_or_else(|| {
                format!("{file}: replicas: found {name:?}, allowed are whole numbers from 1, like 1 = \"127.0.0.1:7400\"")
            })
        };
        let mut replicas = BTreeMap::new();
        for (name, address) in &raw.replicas {
            if let Some(other) = replicas.iter().find(|(_, a)| *a == address).map(|(n, _)| n) {
                return Err(format!(
                    "{file}: replicas.{name}: found {address}, which is that of {other} already"
                ));
            }
            replicas.insert(number(name)?, *address);
        }
        if !REPLICA_COUNTS.contains(&replicas.len()) {
            return Err(format!(
                "{file}: replicas: found {}, allowed are 1, 3 or 5",
                replicas.len()
            ));
        }
        let Some(&reached) = replicas.get(&raw.replica) else {
            return Err(format!(
                "{file}: replica: found {}, allowed is a number out of replicas",
                raw.replica
            ));
        };
        let regions = RegionSettings::of(&file, &raw, &replicas)?;
        let beside = |other: PathBuf| match path.parent() {
            Some(folder) if other.is_relative() => folder.join(other),
            _ => other,
        };
        let secret = beside(raw.secret);
        let secret = SharedSecret::read(&secret)
            .map_err(|e| format!("{file}: secret: {}: {e}", secret.display()))?;
        let lease = range(&file, "lease_ms", raw.lease_ms, 200..=600_000)?;
        let drift = range(&file, "drift_ppm", raw.drift_ppm, 100..=100_000)?;
        let wait = range(&file, "wait_ms", raw.wait_ms, lease..=86_400_000)?;
        let election = range(&file, "election_ms", raw.election_ms, 100..=60_000)?;
        Ok(Settings {
            replica: raw.replica,
            replicas,
            listen: raw.listen.unwrap_or(reached),
            store: beside(raw.store),
            secret,
            lease: Duration::from_millis(lease),
            // Clocks are read in whole microseconds, and not at one moment: a millisecond beside the share.
            drift: Duration::from_micros(lease * drift / 1_000 + 1_000),
            wait: Duration::from_millis(wait),
            election: Duration::from_millis(election),
            regions,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::PermissionsExt;

    #[test]
    fn mistakes_name_file_key_what_was_found_and_what_is_allowed() {
        let folder = std::env::temp_dir().join(format!(
            "badgerramp-control-settings-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let secret = folder.join("secret");
        std::fs::write(&secret, "0123456789abcdef0123").expect("a file");
        std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o600)).expect("set");
        let good = "replica = 1\nreplicas = { 1 = \"127.0.0.1:7401\" }\nstore = \"s\"\nsecret = \"secret\"\n";
        let path = folder.join("control.toml");
        let load = |text: &str| {
            std::fs::write(&path, text).expect("a file");
            Settings::load(&path)
        };
        let settings = load(good).expect("good");
        assert_eq!(
            (settings.lease, settings.store),
            (Duration::from_secs(10), folder.join("s"))
        );
        for (from, to, words) in [
            ("replica = 1\n", "replica = 2\n", "replica: found 2"),
            ("{ 1 =", "{ 0 =", "replicas: found \"0\""),
            (
                "{ 1 = \"127.0.0.1:7401\" }",
                "{ 1 = \"127.0.0.1:7401\", 2 = \"127.0.0.1:7402\" }",
                "found 2, allowed are 1, 3 or 5",
            ),
            (
                "store",
                "lease_ms = 5\nstore",
                "lease_ms: found 5, allowed is 200 to 600000",
            ),
            ("store", "wait_ms = 5\nstore", "wait_ms: found 5"),
            ("store", "stored = 1\nstore", "stored"),
            ("\"secret\"", "\"none\"", "secret: "),
        ] {
            let fault = load(&good.replace(from, to)).expect_err(to);
            assert!(
                fault.contains(words) && fault.contains("control.toml"),
                "{fault}"
            );
        }
        std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).expect("set");
        assert!(load(good)
            .expect_err("open")
            .contains("found permissions 644"));
        std::fs::remove_dir_all(&folder).expect("a folder");
    }
}
