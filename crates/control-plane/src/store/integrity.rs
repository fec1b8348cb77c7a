//! Checks of a store before a replica runs on it. A damaged one is left as it is until somebody has looked at it.

use super::database::{key, Tables};
use super::error::{DatabaseError, Defect, StoreError};
use super::{NodeId, RaftTypes, FORMAT};
use openraft::{Entry, LogId, Vote};
use redb::backends::InMemoryBackend;
use redb::{Database, StorageBackend};
use serde::de::DeserializeOwned;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Checks every page of the database in this file. It works on a copy in memory, because the library repairs what it
/// finds.
pub(super) fn check_pages(path: &Path) -> Result<(), Defect> {
    let bytes = std::fs::read(path)?;
    if bytes.is_empty() {
        return Err(Defect::Empty);
    }
    // The library may panic over pages that it would never have written.
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
/// Returns the last entry of the log that was purged.
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
    readable::<Vote<NodeId>>(tables, key::VOTE)?;
    readable::<Option<LogId<NodeId>>>(tables, key::COMMITTED)?;
    let purged = readable::<Option<LogId<NodeId>>>(tables, key::PURGED)?;
    Ok(purged.flatten())
}

fn readable<T: DeserializeOwned>(tables: &Tables, key: &'static str) -> Result<Option<T>, Defect> {
    tables
        .read_meta(key)
        .map_err(|source| Defect::Value { key, source })
}

/// Checks that every entry of the log can be read, and that none is missing.
pub(super) fn check_log(tables: &Tables, purged: Option<LogId<NodeId>>) -> Result<(), Defect> {
    let entries = tables.entries(..).map_err(unreadable_log)?;
    for (before, after) in entries.iter().zip(entries.iter().skip(1)) {
        if before.log_id.index + 1 != after.log_id.index {
            return Err(Defect::LogGap {
                before: before.log_id.index,
                after: after.log_id.index,
            });
        }
    }
    check_start(entries.first(), purged)
}

fn unreadable_log(source: DatabaseError) -> Defect {
    Defect::Value { key: "log", source }
}

fn check_start(
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
