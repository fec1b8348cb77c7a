//! The list of hosts, as it passes between proxies.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Which list this is. The order is that of age: of the service's lives, then of its versions; lists that differ
/// under one version are ordered by their content, so that all proxies choose the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// A service that was restored counts from an older index: then a new incarnation begins.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The service's own version.
    pub index: u64,
    /// Of the content.
    pub digest: u64,
}

/// What the list says of a host, in discovery's words.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Address and port.
    pub address: String,
    /// Zone, if it is told.
    pub zone: String,
    /// Kind of machine, if it is told.
    pub kind: String,
    /// Cell.
    pub group: u32,
    /// `up`, or what stands in its place.
    pub status: String,
    /// Its size or load.
    pub weight: f64,
    /// Unix time of its start in milliseconds; 0: long ago.
    pub since_ms: u64,
}

impl EndpointEntry {
    /// Does it take calls?
    pub fn is_up(&self) -> bool {
        self.status == "up"
    }
}

/// A change of one host: its entry, or that it has gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// The host.
    pub name: String,
    /// `None`: removed.
    pub entry: Option<EndpointEntry>,
}

/// A whole list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    entries: BTreeMap<String, EndpointEntry>,
}

impl EndpointList {
    /// Of these entries. One that is removed is not in it.
    pub fn new(changes: impl IntoIterator<Item = EndpointChange>) -> Self {
        EndpointList {
            entries: changes
                .into_iter()
                .filter_map(|c| Some((c.name, c.entry?)))
                .collect(),
        }
    }

    /// The list after these changes.
    pub fn apply(&self, changes: &[EndpointChange]) -> Self {
        let mut entries = self.entries.clone();
        for change in changes {
            match &change.entry {
                Some(entry) => entries.insert(change.name.clone(), entry.clone()),
                None => entries.remove(&change.name),
            };
        }
        EndpointList { entries }
    }

    /// What makes this list out of an older one.
    pub fn diff_from(&self, old: &EndpointList) -> Vec<EndpointChange> {
        let gone = old
            .entries
            .keys()
            .filter(|name| !self.entries.contains_key(*name));
        let gone = gone.map(|name| EndpointChange {
            name: name.clone(),
            entry: None,
        });
        let new = self
            .entries
            .iter()
            .filter(|(name, entry)| old.entries.get(*name) != Some(entry));
        let new = new.map(|(name, entry)| EndpointChange {
            name: name.clone(),
            entry: Some(entry.clone()),
        });
        gone.chain(new).collect()
    }

    /// Its entries by name.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &EndpointEntry)> {
        self.entries.iter()
    }

    /// The entry of this name.
    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.entries.get(name)
    }

    /// Hosts that take calls.
    pub fn count_up(&self) -> usize {
        self.entries.values().filter(|e| e.is_up()).count()
    }

    /// Hosts that take calls here and are not even named there.
    pub fn count_missing_from(&self, other: &EndpointList) -> usize {
        self.entries
            .iter()
            .filter(|(name, e)| e.is_up() && !other.entries.contains_key(*name))
            .count()
    }

    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        // A map of strings and numbers can't fail to be written into memory.
        postcard::to_stdvec(&self.entries).unwrap_or_default()
    }

    /// Out of bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes)
            .ok()
            .map(|entries| EndpointList { entries })
    }

    /// Of its content.
    pub fn digest(&self) -> u64 {
        xxh3_64(&self.encode())
    }
}

#[cfg(test)]
pub(crate) mod tests;
