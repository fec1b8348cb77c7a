//! The endpoint list, its versions and its changes, as proxies exchange them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The status of an endpoint that takes calls.
const STATUS_UP: &str = "up";

/// Identifies a list. Versions are ordered by age: by incarnation, then by index; different lists under one index are
/// ordered by their digests, so that all proxies choose the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// A service that was restored from an older state counts from an older index: then a new incarnation starts.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The index that the list service gives to the list.
    pub index: u64,
    /// Hash of the content: see [`EndpointList::digest`].
    pub digest: u64,
}

/// What the list says of an endpoint, in the terms of the list service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Address and port.
    pub address: String,
    /// Zone; empty if unknown.
    pub zone: String,
    /// Kind of machine; empty if unknown.
    pub kind: String,
    /// Number of the cell.
    pub group: u32,
    /// `up`, or the state that keeps it from taking calls, such as `draining`.
    pub status: String,
    /// Relative capacity.
    pub weight: f64,
    /// Unix time of its start in milliseconds; 0 if it started long ago.
    pub since_ms: u64,
}

impl EndpointEntry {
    /// Whether the endpoint takes calls.
    pub fn is_up(&self) -> bool {
        self.status == STATUS_UP
    }
}

/// A change of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// Name of the endpoint.
    pub name: String,
    /// Its new entry; `None`: it was removed.
    pub entry: Option<EndpointEntry>,
}

/// A complete list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    entries: BTreeMap<String, EndpointEntry>,
}

impl EndpointList {
    /// The list with these entries, without those that were removed.
    pub fn new(changes: impl IntoIterator<Item = EndpointChange>) -> Self {
        let entries = changes
            .into_iter()
            .filter_map(|change| Some((change.name, change.entry?)))
            .collect();
        EndpointList { entries }
    }

    /// The list after these changes.
    #[must_use]
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

    /// The changes that lead from an older list to this one.
    pub fn diff_from(&self, older: &EndpointList) -> Vec<EndpointChange> {
        let removed = older
            .entries
            .keys()
            .filter(|name| !self.entries.contains_key(*name))
            .map(|name| EndpointChange {
                name: name.clone(),
                entry: None,
            });
        let changed = self
            .entries
            .iter()
            .filter(|(name, entry)| older.entries.get(*name) != Some(entry))
            .map(|(name, entry)| EndpointChange {
                name: name.clone(),
                entry: Some(entry.clone()),
            });
        removed.chain(changed).collect()
    }

    /// Its entries by name.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &EndpointEntry)> {
        self.entries.iter()
    }

    /// The entry of this name.
    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.entries.get(name)
    }

    /// Number of endpoints that take calls.
    pub fn count_up(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_up()).count()
    }

    /// Number of endpoints that take calls by this list and are not in the other one.
    pub fn count_missing_from(&self, other: &EndpointList) -> usize {
        self.entries
            .iter()
            .filter(|(name, entry)| entry.is_up() && !other.entries.contains_key(*name))
            .count()
    }

    /// Encodes the list, by [postcard](https://postcard.jamesmunns.com/wire-format).
    pub fn encode(&self) -> Vec<u8> {
        // A map of strings and numbers can't fail to be written into memory.
        postcard::to_stdvec(&self.entries).unwrap_or_default()
    }

    /// Decodes a list that [`EndpointList::encode`] has made.
    ///
    /// # Errors
    /// If the bytes are no encoded list.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let entries = postcard::from_bytes(bytes)?;
        Ok(EndpointList { entries })
    }

    /// XXH3 hash of the encoded list.
    pub fn digest(&self) -> u64 {
        xxh3_64(&self.encode())
    }
}

#[cfg(test)]
pub(crate) mod tests;
