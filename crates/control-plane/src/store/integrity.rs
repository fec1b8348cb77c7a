//! Integrity checks of a store before a replica uses it. A damaged store is not changed, so that an operator can examine
//! it.

use super::database::{key, Tables};
use super::error::{DatabaseError, Defect, StoreError};
use super::{NodeId, RaftTypes, FORMAT};
use openraft::{Entry, LogId, Vote};
use redb::backends::InMemoryBackend;
use redb::{Database, StorageBackend};
use serde::de::DeserializeOwned;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Checks every page of the database in this file. The check runs on a copy in memory, because the library repairs the
/// damage that it finds.
pub(super) fn check_pages(path: &Path) -> Result<(), Defect> {
    let bytes = std::fs::read(path)?;
    if bytes.is_empty() {
        return Err(Defect::Empty);
    }
    // The library may panic on pages that it did not write.
    match catch_unwind(AssertUnwindSafe(|| pages_are_intact(&bytes))) {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(Defect::PageChecksum),
        Ok(Err(defect)) => Err(defect),
        Err(_) => Err(Defect::NotAStore),
    }
}

fn pages_are_intact(bytes: &[u8]) -> Result<bool, Defect> {
    let backend = InMemoryBackend::new();
    backend.set_len(bytes.len() as u64)?;
    backend.write(0, bytes)?;
    let mut copy = Database::builder().create_with_backend(backend)?;
    Ok(copy.check_integrity()?)
}

/// Checks that the store has this program's format and belongs to this replica, and that all its metadata can be read.
/// Returns the last purged log entry.
pub(super) fn check_metadata(
    tables: &Tables,
    replica: NodeId,
) -> Result<Option<LogId<NodeId>>, StoreError> {
    let format: Option<String> = tables.read_meta(key::FORMAT)?;
    if format.as_deref() != Some(FORMAT) {
        return Err(Defect::Format(format).into());
    }
    match tables.read_meta(key::REPLICA)? {
        Some(found) if found == replica => {}
        Some(other) => return Err(StoreError::OtherReplica(other)),
        None => return Err(Defect::NoReplica.into()),
    }
    read_meta::<Vote<NodeId>>(tables, key::VOTE)?;
    read_meta::<Option<LogId<NodeId>>>(tables, key::COMMITTED)?;
    let purged = read_meta::<Option<LogId<NodeId>>>(tables, key::PURGED)?;
    Ok(purged.flatten())
}

fn read_meta<T: DeserializeOwned>(tables: &Tables, key: &'static str) -> Result<Option<T>, Defect> {
    tables
        .read_meta(key)
        .map_err(|source| Defect::Value { key, source })
}

/// Checks that every log entry can be read and that none is missing.
pub(super) fn check_log(tables: &Tables, purged: Option<LogId<NodeId>>) -> Result<(), Defect> {
    let entries = tables.entries(..).map_err(log_defect)?;
    for (before, after) in entries.iter().zip(entries.iter().skip(1)) {
        if before.log_id.index + 1 != after.log_id.index {
            return Err(Defect::LogGap {
                before: before.log_id.index,
                after: after.log_id.index,
            });
        }
    }
    check_log_start(entries.first(), purged)
}

fn log_defect(source: DatabaseError) -> Defect {
    Defect::Value { key: "log", source }
}

fn check_log_start(
    first: Option<&Entry<RaftTypes>>,
    purged: Option<LogId<NodeId>>,
) -> Result<(), Defect> {
    let (Some(first), Some(purged)) = (first, purged) else {
        return Ok(());
    };
    if first.log_id.index == purged.index + 1 {
        return Ok(());
    }
    Err(Defect::LogStart {
        first: first.log_id.index,
        purged: purged.index,
    })
}
