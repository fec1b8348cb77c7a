//! The tables of the embedded database: metadata, the log, and snapshots. Every method is one transaction.

use super::codec::{decode, decode_compressed, encode};
use super::error::{DatabaseError, SnapshotError};
use super::state_machine::StateMachine;
use super::{NodeId, RaftTypes, FORMAT};
use openraft::{Entry, LogId, LogState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::ops::RangeBounds;
use std::sync::Arc;

const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("log");
const SNAPSHOTS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("snapshots");

/// Snapshots that are kept. Older ones serve if the newest can't be read.
const SNAPSHOTS_KEPT: usize = 3;

/// Keys of the metadata.
pub(super) mod key {
    pub(in crate::store) const FORMAT: &str = "format";
    pub(in crate::store) const REPLICA: &str = "replica";
    pub(in crate::store) const VOTE: &str = "vote";
    pub(in crate::store) const COMMITTED: &str = "committed";
    pub(in crate::store) const PURGED: &str = "purged";
}

/// A snapshot that was read.
pub(super) struct StoredSnapshot {
    /// As it is stored, and sent to other replicas.
    pub(super) bytes: Vec<u8>,
    /// What it contains.
    pub(super) state_machine: StateMachine,
}

/// What was found among the stored snapshots.
pub(super) struct SnapshotSearch {
    /// The newest one that can be read.
    pub(super) newest: Option<StoredSnapshot>,
    /// Newer ones that can't be read, the newest first.
    pub(super) unreadable: Vec<SnapshotError>,
}

/// The database of one replica.
#[derive(Clone, Debug)]
pub(super) struct Tables(Arc<Database>);

impl Tables {
    /// The tables of an open database.
    pub(super) fn new(database: Database) -> Self {
        Tables(Arc::new(database))
    }

    /// Makes the tables of a replica that has never run.
    pub(super) fn create(&self, replica: NodeId) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        transaction.open_table(LOG)?;
        transaction.open_table(SNAPSHOTS)?;
        let mut meta = transaction.open_table(META)?;
        meta.insert(key::FORMAT, encode(&FORMAT)?.as_slice())?;
        meta.insert(key::REPLICA, encode(&replica)?.as_slice())?;
        drop(meta);
        transaction.commit()?;
        Ok(())
    }

    /// Reads a value of the metadata.
    pub(super) fn read_meta<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<T>, DatabaseError> {
        let transaction = self.0.begin_read()?;
        let meta = transaction.open_table(META)?;
        let Some(value) = meta.get(key)? else {
            return Ok(None);
        };
        Ok(Some(decode(value.value())?))
    }

    /// Writes a value of the metadata.
    pub(super) fn write_meta(
        &self,
        key: &str,
        value: &impl Serialize,
    ) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut meta = transaction.open_table(META)?;
        meta.insert(key, encode(value)?.as_slice())?;
        drop(meta);
        transaction.commit()?;
        Ok(())
    }

    /// The last entry of the log, and the last one that was purged.
    pub(super) fn log_state(&self) -> Result<LogState<RaftTypes>, DatabaseError> {
        let purged: Option<LogId<NodeId>> = self.read_meta(key::PURGED)?;
        let transaction = self.0.begin_read()?;
        let log = transaction.open_table(LOG)?;
        let last: Option<Entry<RaftTypes>> = match log.last()? {
            Some((_, value)) => Some(decode(value.value())?),
            None => None,
        };
        Ok(LogState {
            last_purged_log_id: purged,
            last_log_id: last.map(|entry| entry.log_id).or(purged),
        })
    }

    /// Reads entries of the log.
    pub(super) fn entries(
        &self,
        range: impl RangeBounds<u64>,
    ) -> Result<Vec<Entry<RaftTypes>>, DatabaseError> {
        let transaction = self.0.begin_read()?;
        let log = transaction.open_table(LOG)?;
        let mut entries = Vec::new();
        for stored in log.range::<u64>(range)? {
            let (index, value) = stored?;
            entries.push(decode_entry(index.value(), value.value())?);
        }
        Ok(entries)
    }

    /// Writes entries of the log.
    pub(super) fn append(
        &self,
        entries: impl IntoIterator<Item = Entry<RaftTypes>>,
    ) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut log = transaction.open_table(LOG)?;
        for entry in entries {
            log.insert(entry.log_id.index, encode(&entry)?.as_slice())?;
        }
        drop(log);
        transaction.commit()?;
        Ok(())
    }

    /// Removes the entries of the log from this one on.
    pub(super) fn truncate(&self, from: LogId<NodeId>) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut log = transaction.open_table(LOG)?;
        log.retain_in(from.index.., |_, _| false)?;
        drop(log);
        transaction.commit()?;
        Ok(())
    }

    /// Removes the entries of the log up to this one, and remembers that.
    pub(super) fn purge(&self, up_to: LogId<NodeId>) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut meta = transaction.open_table(META)?;
        meta.insert(key::PURGED, encode(&Some(up_to))?.as_slice())?;
        drop(meta);
        let mut log = transaction.open_table(LOG)?;
        log.retain_in(..=up_to.index, |_, _| false)?;
        drop(log);
        transaction.commit()?;
        Ok(())
    }

    /// Reads the newest snapshot that can be read.
    pub(super) fn newest_snapshot(&self) -> Result<SnapshotSearch, DatabaseError> {
        let transaction = self.0.begin_read()?;
        let snapshots = transaction.open_table(SNAPSHOTS)?;
        let mut unreadable = Vec::new();
        for stored in snapshots.iter()?.rev() {
            let (index, value) = stored?;
            match decode_compressed(value.value()) {
                Ok(state_machine) => {
                    let newest = Some(StoredSnapshot {
                        bytes: value.value().to_vec(),
                        state_machine,
                    });
                    return Ok(SnapshotSearch { newest, unreadable });
                }
                Err(source) => unreadable.push(SnapshotError {
                    index: index.value(),
                    source,
                }),
            }
        }
        Ok(SnapshotSearch {
            newest: None,
            unreadable,
        })
    }

    /// Writes a snapshot that ends at this entry of the log, and removes the oldest ones beyond those that are kept.
    pub(super) fn persist_snapshot(&self, index: u64, bytes: &[u8]) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut snapshots = transaction.open_table(SNAPSHOTS)?;
        snapshots.insert(index, bytes)?;
        while snapshots.iter()?.count() > SNAPSHOTS_KEPT {
            snapshots.pop_first()?;
        }
        drop(snapshots);
        transaction.commit()?;
        Ok(())
    }
}

fn decode_entry(index: u64, bytes: &[u8]) -> Result<Entry<RaftTypes>, DatabaseError> {
    let entry: Entry<RaftTypes> =
        decode(bytes).map_err(|source| DatabaseError::Entry { index, source })?;
    let found = entry.log_id.index;
    if found != index {
        return Err(DatabaseError::EntryIndex { index, found });
    }
    Ok(entry)
}
