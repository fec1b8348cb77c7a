//! What the file of a replica says of regions.

use super::{range, RawSettings, REPLICA_COUNTS};
use badgerramp_policy::regions::{Region, Regions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for the votes of the other regions, if the file does not say.
const REGIONS_WAIT_MS: u64 = 10_000;

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
    pub(super) fn of(
        file: &str,
        raw: &RawSettings,
        own: &BTreeMap<u64, SocketAddr>,
    ) -> Result<Option<Self>, String> {
        let Some(name) = &raw.region else {
            return without_region(file, raw).map(|()| None);
        };
        let region = region_name(file, "region", name)?;
        if raw.regions.is_empty() {
            return Err(format!(
                "{file}: regions: found none, allowed is a table [regions.NAME] for each other region"
            ));
        }
        let mut taken: BTreeMap<SocketAddr, String> = own
            .iter()
            .map(|(number, address)| (*address, format!("replicas.{number}")))
            .collect();
        let mut replicas = BTreeMap::new();
        for (name, other) in &raw.regions {
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
        let wait = raw.regions_wait_ms.unwrap_or(REGIONS_WAIT_MS);
        let wait = range(file, "regions_wait_ms", wait, 200..=86_400_000)?;
        Ok(Some(RegionSettings {
            regions: Regions::new(region, replicas.keys().cloned()),
            replicas,
            wait: Duration::from_millis(wait),
        }))
    }

    /// Where the region is that coordinates changes of all regions; `None`: it is this one.
    pub fn coordinator_replicas(&self) -> Option<&[SocketAddr]> {
        self.replicas
            .get(self.regions.coordinator())
            .map(Vec::as_slice)
    }
}

/// Without a name for its own region a replica has no use for the other keys.
fn without_region(file: &str, raw: &RawSettings) -> Result<(), String> {
    let allowed = "allowed only beside `region`, the name of this replica's region";
    if let Some(name) = raw.regions.keys().next() {
        return Err(format!("{file}: regions.{name}: found a region, {allowed}"));
    }
    match raw.regions_wait_ms {
        Some(found) => Err(format!("{file}: regions_wait_ms: found {found}, {allowed}")),
        None => Ok(()),
    }
}

fn region_name(file: &str, key: &str, name: &str) -> Result<Region, String> {
    name.parse()
        .map_err(|fault| format!("{file}: {key}: found {fault}"))
}

/// Checks where the replicas of another region are reached. `taken` are the addresses of all others, with their keys.
fn replicas_of_region(
    file: &str,
    key: &str,
    replicas: &[SocketAddr],
    taken: &mut BTreeMap<SocketAddr, String>,
) -> Result<(), String> {
    if !REPLICA_COUNTS.contains(&replicas.len()) {
        return Err(format!(
            "{file}: {key}.replicas: found {}, allowed are 1, 3 or 5",
            replicas.len()
        ));
    }
    for (place, address) in replicas.iter().enumerate() {
        let key = format!("{key}.replicas[{place}]");
        if let Some(other) = taken.insert(*address, key.clone()) {
            return Err(format!(
                "{file}: {key}: found {address}, which is that of {other} already"
            ));
        }
    }
    Ok(())
}
