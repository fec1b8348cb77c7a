//! The file of a replica.

use badgerramp_channel::Secret;
use badgerramp_policy::regions::{Region, Regions};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a file says.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Draft {
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
    regions: BTreeMap<String, RegionDraft>,
    regions_wait_ms: Option<u64>,
}

/// What a file says of another region.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionDraft {
    replicas: Vec<SocketAddr>,
}

/// Longest wait for the votes of the other regions, if the file does not say.
const REGIONS_WAIT_MS: u64 = 10_000;

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
    pub secret: Secret,
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

/// Control as one of several regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSettings {
    /// Their names.
    pub regions: Regions,
    /// Where the replicas of each other region are reached.
    pub replicas: BTreeMap<Region, Vec<SocketAddr>>,
    /// A change of all regions that lacks a region's vote by then comes to nothing.
    pub wait: Duration,
}

impl RegionSettings {
    /// Reads the keys of regions; `None` if the file has none of them. `own` is where the own replicas are reached.
    fn of(file: &str, draft: &Draft, own: &BTreeMap<u64, SocketAddr>) -> Result<Option<Self>, String> {
        let Some(name) = &draft.region else { return without_region(file, draft).map(|()| None) };
        let region = region_name(file, "region", name)?;
        if draft.regions.is_empty() {
            return Err(format!(
                "{file}: regions: found none, allowed is a table [regions.NAME] for each other region"
            ));
        }
        let mut taken: BTreeMap<SocketAddr, String> =
            own.iter().map(|(number, address)| (*address, format!("replicas.{number}"))).collect();
        let mut replicas = BTreeMap::new();
        for (name, other) in &draft.regions {
            let key = format!("regions.{name}");
            let other_region = region_name(file, &key, name)?;
            if other_region == region {
                return Err(format!(
                    "{file}: {key}: found {name:?}, allowed are names of regions other than `region`"
                ));
            }
            replicas_of_region(file, &key, &other.replicas, &mut taken)?;
            replicas.insert(other_region, other.replicas.clone());
        }
        let wait = draft.regions_wait_ms.unwrap_or(REGIONS_WAIT_MS);
        let wait = range(file, "regions_wait_ms", wait, 200..=86_400_000)?;
        Ok(Some(RegionSettings {
            regions: Regions::new(region, replicas.keys().cloned()),
            replicas,
            wait: Duration::from_millis(wait),
        }))
    }

    /// Where the region is that coordinates changes of all regions; `None`: it is this one.
    pub fn coordinator_replicas(&self) -> Option<&[SocketAddr]> {
        self.replicas.get(self.regions.coordinator()).map(Vec::as_slice)
    }
}

/// Without a name for its own region a replica has no use for the other keys.
fn without_region(file: &str, draft: &Draft) -> Result<(), String> {
    let allowed = "allowed only beside `region`, the name of this replica's region";
    if let Some(name) = draft.regions.keys().next() {
        return Err(format!("{file}: regions.{name}: found a region, {allowed}"));
    }
    match draft.regions_wait_ms {
        Some(found) => Err(format!("{file}: regions_wait_ms: found {found}, {allowed}")),
        None => Ok(()),
    }
}

fn region_name(file: &str, key: &str, name: &str) -> Result<Region, String> {
    name.parse().map_err(|fault| format!("{file}: {key}: found {fault}"))
}

/// Checks where the replicas of another region are reached. `taken` are the addresses of all others, with their keys.
fn replicas_of_region(
    file: &str,
    key: &str,
    replicas: &[SocketAddr],
    taken: &mut BTreeMap<SocketAddr, String>,
) -> Result<(), String> {
    if !REPLICA_COUNTS.contains(&replicas.len()) {
        return Err(format!("{file}: {key}.replicas: found {}, allowed are 1, 3 or 5", replicas.len()));
    }
    for (place, address) in replicas.iter().enumerate() {
        let key = format!("{key}.replicas[{place}]");
        if let Some(other) = taken.insert(*address, key.clone()) {
            return Err(format!("{file}: {key}: found {address}, which is that of {other} already"));
        }
    }
    Ok(())
}

/// How many replicas may keep one record.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];

fn range(file: &str, key: &str, found: u64, allowed: std::ops::RangeInclusive<u64>) -> Result<u64, String> {
    match allowed.contains(&found) {
        true => Ok(found),
        false => {
            Err(format!("{file}: {key}: found {found}, allowed is {} to {}", allowed.start(), allowed.end()))
        }
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
        let draft: Draft =
            toml::from_str(&text).map_err(|e| format!("{file}: {}", e.to_string().trim_end()))?;
        let number = |name: &String| {
            name.parse::<u64>().ok().filter(|&n| n > 0).ok_or_else(|| {
                format!("{file}: replicas: found {name:?}, allowed are whole numbers from 1, like 1 = \"127.0.0.1:7400\"")
            })
        };
        let mut replicas = BTreeMap::new();
        for (name, address) in &draft.replicas {
            if let Some(other) = replicas.iter().find(|(_, a)| *a == address).map(|(n, _)| n) {
                return Err(format!(
                    "{file}: replicas.{name}: found {address}, which is that of {other} already"
                ));
            }
            replicas.insert(number(name)?, *address);
        }
        if !REPLICA_COUNTS.contains(&replicas.len()) {
            return Err(format!("{file}: replicas: found {}, allowed are 1, 3 or 5", replicas.len()));
        }
        let Some(&reached) = replicas.get(&draft.replica) else {
            return Err(format!(
                "{file}: replica: found {}, allowed is a number out of replicas",
                draft.replica
            ));
        };
        let regions = RegionSettings::of(&file, &draft, &replicas)?;
        let beside = |other: PathBuf| match path.parent() {
            Some(folder) if other.is_relative() => folder.join(other),
            _ => other,
        };
        let secret = beside(draft.secret);
        let secret =
            Secret::read(&secret).map_err(|e| format!("{file}: secret: {}: {e}", secret.display()))?;
        let lease = range(&file, "lease_ms", draft.lease_ms, 200..=600_000)?;
        let drift = range(&file, "drift_ppm", draft.drift_ppm, 100..=100_000)?;
        let wait = range(&file, "wait_ms", draft.wait_ms, lease..=86_400_000)?;
        let election = range(&file, "election_ms", draft.election_ms, 100..=60_000)?;
        Ok(Settings {
            replica: draft.replica,
            replicas,
            listen: draft.listen.unwrap_or(reached),
            store: beside(draft.store),
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
        let folder = std::env::temp_dir().join(format!("badgerramp-control-settings-{}", std::process::id()));
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
        assert_eq!((settings.lease, settings.store), (Duration::from_secs(10), folder.join("s")));
        for (from, to, words) in [
            ("replica = 1\n", "replica = 2\n", "replica: found 2"),
            ("{ 1 =", "{ 0 =", "replicas: found \"0\""),
            (
                "{ 1 = \"127.0.0.1:7401\" }",
                "{ 1 = \"127.0.0.1:7401\", 2 = \"127.0.0.1:7402\" }",
                "found 2, allowed are 1, 3 or 5",
            ),
            ("store", "lease_ms = 5\nstore", "lease_ms: found 5, allowed is 200 to 600000"),
            ("store", "wait_ms = 5\nstore", "wait_ms: found 5"),
            ("store", "stored = 1\nstore", "stored"),
            ("\"secret\"", "\"none\"", "secret: "),
        ] {
            let fault = load(&good.replace(from, to)).expect_err(to);
            assert!(fault.contains(words) && fault.contains("control.toml"), "{fault}");
        }
        std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).expect("set");
        assert!(load(good).expect_err("open").contains("found permissions 644"));
        std::fs::remove_dir_all(&folder).expect("a folder");
    }
}
