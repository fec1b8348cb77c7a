//! Settings of a control plane that belongs to one of several regions.

use super::raw::RawSettings;
use super::{check_replica_count, in_range, SettingsProblem, MAX_CHANGE_TIMEOUT_MS};
use badgerramp_policy::regions::{Region, Regions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Default time to wait for the votes of the other regions, in milliseconds.
const DEFAULT_REGIONS_WAIT_MS: u64 = 10_000;
/// Shortest allowed time to wait for the votes of the other regions, in milliseconds.
const MIN_REGIONS_WAIT_MS: u64 = 200;

/// Settings for regions, from the view of one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSettings {
    /// Names of the regions.
    pub regions: Regions,
    /// Addresses of the replicas of each other region.
    pub replicas: BTreeMap<Region, Vec<SocketAddr>>,
    /// Time after which a cross-region change is aborted if the vote of a region is missing.
    pub vote_timeout: Duration,
}

impl RegionSettings {
    /// Reads the keys for regions; `None` if the file has none of them. `own` holds the addresses of this region's replicas.
    pub(super) fn from_raw(
        raw: &RawSettings,
        own: &BTreeMap<u64, SocketAddr>,
    ) -> Result<Option<Self>, SettingsProblem> {
        let Some(name) = &raw.region else {
            return check_no_regions(raw).map(|()| None);
        };
        let region = region_name("region", name)?;
        if raw.regions.is_empty() {
            return Err(SettingsProblem::NoOtherRegion);
        }
        let replicas = other_regions(raw, &region, own)?;
        let wait = raw.regions_wait_ms.unwrap_or(DEFAULT_REGIONS_WAIT_MS);
        let allowed = MIN_REGIONS_WAIT_MS..=MAX_CHANGE_TIMEOUT_MS;
        let wait = in_range("regions_wait_ms", wait, allowed)?;
        Ok(Some(RegionSettings {
            regions: Regions::new(region, replicas.keys().cloned()),
            replicas,
            vote_timeout: Duration::from_millis(wait),
        }))
    }

    /// Returns the replica addresses of the coordinating region; `None` if this region coordinates.
    pub fn coordinator_replicas(&self) -> Option<&[SocketAddr]> {
        self.replicas
            .get(self.regions.coordinator())
            .map(Vec::as_slice)
    }
}

/// Returns the addresses of the replicas of each other region. No address may be used twice.
fn other_regions(
    raw: &RawSettings,
    region: &Region,
    own: &BTreeMap<u64, SocketAddr>,
) -> Result<BTreeMap<Region, Vec<SocketAddr>>, SettingsProblem> {
    let mut key_by_address: BTreeMap<SocketAddr, String> = own
        .iter()
        .map(|(number, address)| (*address, format!("replicas.{number}")))
        .collect();
    let mut replicas = BTreeMap::new();
    for (name, other) in &raw.regions {
        let key = format!("regions.{name}");
        let other_region = region_name(&key, name)?;
        if other_region == *region {
            let name = name.clone();
            return Err(SettingsProblem::OwnRegion { key, name });
        }
        let replicas_key = format!("{key}.replicas");
        check_replica_count(&replicas_key, other.replicas.len())?;
        check_addresses(&replicas_key, &other.replicas, &mut key_by_address)?;
        replicas.insert(other_region, other.replicas.clone());
    }
    Ok(replicas)
}

/// Checks that a file that does not name the replica's region has no other keys for regions.
fn check_no_regions(raw: &RawSettings) -> Result<(), SettingsProblem> {
    if let Some(name) = raw.regions.keys().next() {
        return Err(SettingsProblem::RegionMissing {
            key: format!("regions.{name}"),
            found: "a region".to_owned(),
        });
    }
    match raw.regions_wait_ms {
        Some(found) => Err(SettingsProblem::RegionMissing {
            key: "regions_wait_ms".to_owned(),
            found: found.to_string(),
        }),
        None => Ok(()),
    }
}

fn region_name(key: &str, name: &str) -> Result<Region, SettingsProblem> {
    name.parse().map_err(|source| SettingsProblem::RegionName {
        key: key.to_owned(),
        source,
    })
}

/// Checks that none of these addresses belongs to another replica, and records the key of each address.
fn check_addresses(
    key: &str,
    addresses: &[SocketAddr],
    key_by_address: &mut BTreeMap<SocketAddr, String>,
) -> Result<(), SettingsProblem> {
    for (index, &address) in addresses.iter().enumerate() {
        let key = format!("{key}[{index}]");
        if let Some(other) = key_by_address.insert(address, key.clone()) {
            return Err(SettingsProblem::DuplicateAddress {
                key,
                address,
                other,
            });
        }
    }
    Ok(())
}
