//! The endpoint list, its versions, and the changes between two versions, in the form that proxies exchange.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The status of an endpoint that takes calls.
const STATUS_UP: &str = "up";

/// Identifies a list. Versions are ordered from old to new: by incarnation, then by index. Different lists with the
/// same index are ordered by their digests, so that all proxies choose the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// Incremented when the index goes back, because the list service was restored from an older state.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The index that the list service assigned to the list.
    pub index: u64,
    /// Hash of the list's content: see [`EndpointList::digest`].
    pub digest: u64,
}

/// The list service's record of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Address and port of the endpoint.
    pub address: String,
    /// Zone of the endpoint; empty if unknown.
    pub zone: String,
    /// Kind of machine; empty if unknown.
    pub kind: String,
    /// Number of the endpoint's cell.
    pub group: u32,
    /// `up` if the endpoint takes calls, otherwise the state that prevents it, such as `draining`.
    pub status: String,
    /// Relative capacity.
    pub weight: f64,
    /// Unix time in milliseconds at which the endpoint started; 0 if it started long ago.
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
    /// Its new entry; `None` if the endpoint was removed.
    pub entry: Option<EndpointEntry>,
}

/// A complete endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    entries: BTreeMap<String, EndpointEntry>,
}

impl EndpointList {
    /// Creates a list of the entries in `changes`; removals are ignored.
    pub fn new(changes: impl IntoIterator<Item = EndpointChange>) -> Self {
        let entries = changes
            .into_iter()
            .filter_map(|change| Some((change.name, change.entry?)))
            .collect();
        EndpointList { entries }
    }

    /// Returns the list that results from these changes.
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

    /// Returns the changes that turn `older` into this list.
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

    /// The entries, sorted by endpoint name.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &EndpointEntry)> {
        self.entries.iter()
    }

    /// The entry of the endpoint with this name.
    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.entries.get(name)
    }

    /// Number of endpoints that take calls.
    pub fn count_up(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_up()).count()
    }

    /// Number of endpoints that take calls according to this list and are not in `other`.
    pub fn count_missing_from(&self, other: &EndpointList) -> usize {
        self.entries
            .iter()
            .filter(|(name, entry)| entry.is_up() && !other.entries.contains_key(*name))
            .count()
    }

    /// Encodes the list with [postcard](https://postcard.jamesmunns.com/wire-format).
    pub fn encode(&self) -> Vec<u8> {
        // Serializing a map of strings and numbers into memory cannot fail.
        postcard::to_stdvec(&self.entries).unwrap_or_default()
    }

    /// Decodes a list that was encoded by [`EndpointList::encode`].
    ///
    /// # Errors
    /// If `bytes` is not a valid encoded list.
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
