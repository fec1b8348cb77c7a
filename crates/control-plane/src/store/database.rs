//! Tables of the embedded database: metadata, the log, and snapshots. Every write is a single transaction.

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

/// Number of snapshots that are retained. Older ones are used if the newest one cannot be read.
const RETAINED_SNAPSHOTS: usize = 3;

/// Keys of the metadata.
pub(super) mod key {
    pub(in crate::store) const FORMAT: &str = "format";
    pub(in crate::store) const REPLICA: &str = "replica";
    pub(in crate::store) const VOTE: &str = "vote";
    pub(in crate::store) const COMMITTED: &str = "committed";
    pub(in crate::store) const PURGED: &str = "purged";
}

/// A snapshot read from the database.
pub(super) struct StoredSnapshot {
    /// Encoded snapshot, as stored and as sent to other replicas.
    pub(super) bytes: Vec<u8>,
    /// Decoded contents of the snapshot.
    pub(super) state_machine: StateMachine,
}

/// Result of the search for the newest readable snapshot.
pub(super) struct SnapshotSearch {
    /// The newest readable snapshot, if any.
    pub(super) newest: Option<StoredSnapshot>,
    /// Newer snapshots that cannot be read, newest first.
    pub(super) unreadable: Vec<SnapshotError>,
}

/// Database of one replica.
#[derive(Clone, Debug)]
pub(super) struct Tables(Arc<Database>);

impl Tables {
    /// Wraps an open database.
    pub(super) fn new(database: Database) -> Self {
        Tables(Arc::new(database))
    }

    /// Creates the tables of a replica that has never run.
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

    /// Reads a metadata value.
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

    /// Writes a metadata value.
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

    /// Returns the identifiers of the last log entry and of the last purged one.
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

    /// Reads the log entries in a range of indexes.
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

    /// Appends log entries.
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

    /// Removes all log entries from `from` on.
    pub(super) fn truncate(&self, from: LogId<NodeId>) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut log = transaction.open_table(LOG)?;
        log.retain_in(from.index.., |_, _| false)?;
        drop(log);
        transaction.commit()?;
        Ok(())
    }

    /// Removes the log entries up to and including `up_to`, and records it as the last purged entry.
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

    /// Reads the newest readable snapshot.
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

    /// Writes a snapshot whose last log entry has this index, and removes the oldest snapshots beyond the limit.
    pub(super) fn persist_snapshot(&self, index: u64, bytes: &[u8]) -> Result<(), DatabaseError> {
        let transaction = self.0.begin_write()?;
        let mut snapshots = transaction.open_table(SNAPSHOTS)?;
        snapshots.insert(index, bytes)?;
        while snapshots.iter()?.count() > RETAINED_SNAPSHOTS {
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
