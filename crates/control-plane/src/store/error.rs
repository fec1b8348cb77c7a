//! Errors of opening, reading and writing a store.

use super::codec::DecodeError;
use super::{NodeId, FORMAT};
use std::io;
use thiserror::Error;

/// Why a store cannot be created or opened.
#[derive(Debug, Error)]
pub enum StoreError {
    /// There is no store.
    #[error(
        "there is no store. If this replica has never run, create one with `badgerramp-control create`. If its \
         disk was lost, do not create one: the replica would have lost its votes and acknowledged log entries. \
         The other replicas keep working as long as they are a majority"
    )]
    Missing,
    /// There is a store already, so none is created.
    #[error("there is already a store; it was not changed")]
    AlreadyExists,
    /// The store belongs to another replica, with this number.
    #[error("the store belongs to replica {0}")]
    OtherReplica(NodeId),
    /// The store cannot be read or written, or its contents are damaged.
    #[error("the store cannot be used: {0}")]
    Unusable(#[from] Defect),
}

impl From<DatabaseError> for StoreError {
    fn from(error: DatabaseError) -> Self {
        Defect::Database(error).into()
    }
}

/// Why a store is unusable.
#[derive(Debug, Error)]
pub enum Defect {
    /// The file cannot be read, or its permissions cannot be set.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file is empty.
    #[error("the file is empty")]
    Empty,
    /// The embedded database cannot be opened.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// A page of the database is damaged.
    #[error("the checksum of a database page does not match")]
    PageChecksum,
    /// The database library panicked on the contents of the file.
    #[error("the file is not a store of this program, or it is damaged")]
    NotAStore,
    /// The store has another format.
    #[error("format: found {0:?}, allowed is {FORMAT:?}")]
    Format(Option<String>),
    /// The store lacks the number of its replica.
    #[error("the replica number is missing")]
    NoReplica,
    /// A stored value cannot be read.
    #[error("{key}: {source}")]
    Value {
        /// Name of the value.
        key: &'static str,
        /// Why the value cannot be read.
        source: DatabaseError,
    },
    /// The database cannot be read or written.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// Log entries are missing.
    #[error("log: entries are missing between {before} and {after}")]
    LogGap {
        /// Index of the last entry before the gap.
        before: u64,
        /// Index of the first entry after the gap.
        after: u64,
    },
    /// The log does not start directly after its purged part.
    #[error("log: the first entry is {first}, but the last purged entry is {purged}")]
    LogStart {
        /// Index of the first entry.
        first: u64,
        /// Index of the last purged entry.
        purged: u64,
    },
    /// No readable snapshot contains all purged log entries.
    #[error("snapshot: none contains all purged log entries ({})", .0.as_ref().map_or("no unreadable snapshot".to_owned(), ToString::to_string))]
    NoSnapshot(Option<SnapshotError>),
}

/// Error of reading a snapshot.
#[derive(Debug, Error)]
#[error("snapshot {index}: {source}")]
pub struct SnapshotError {
    /// Index of the last log entry that the snapshot contains.
    pub index: u64,
    /// Why the snapshot cannot be read.
    pub source: DecodeError,
}

/// Why a database transaction failed.
#[derive(Debug, Error)]
pub enum DatabaseError {
    /// The transaction cannot be started.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table cannot be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// The file cannot be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// The transaction cannot be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A value cannot be decoded or encoded.
    #[error(transparent)]
    Value(#[from] DecodeError),
    /// A log entry cannot be decoded.
    #[error("entry {index}: {source}")]
    Entry {
        /// Index of the entry in the log.
        index: u64,
        /// Why the entry cannot be decoded.
        source: DecodeError,
    },
    /// The index contained in a log entry differs from its key in the table.
    #[error("entry {index}: it contains the index {found}")]
    EntryIndex {
        /// Key of the entry in the table.
        index: u64,
        /// Index contained in the entry.
        found: u64,
    },
    /// The last log entry of a received snapshot differs from its metadata.
    #[error("the last log entry of the snapshot differs from its metadata")]
    SnapshotMetadata,
}
