//! Why a store can't be used, read or written.

use super::codec::DecodeError;
use super::{NodeId, FORMAT};
use std::io;
use thiserror::Error;

/// Why a store can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// There is no store, and none was to be made.
    #[error(
        "there is no store. If this replica has never run, make one with `badgerramp-control create`. If its \
         disk was lost, don't: it may have promised what it has forgotten. The others go on while they are a \
         majority"
    )]
    Missing,
    /// A store is to be made where there is one.
    #[error("there is a store already; it is left as it is")]
    AlreadyExists,
    /// The store belongs to another replica, whose number this is.
    #[error("it is the store of replica {0}")]
    OtherReplica(NodeId),
    /// The store can't be read or written, or its contents are damaged.
    #[error("it can't be used: {0}")]
    Unusable(#[from] Defect),
}

impl From<DatabaseError> for StoreError {
    fn from(error: DatabaseError) -> Self {
        Defect::Database(error).into()
    }
}

/// What is wrong with a store.
#[derive(Debug, Error)]
pub enum Defect {
    /// The file can't be read, or its permissions can't be set.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file has no bytes.
    #[error("it is empty")]
    Empty,
    /// The embedded database does not open.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// A page of the database is damaged.
    #[error("a page's checksum does not match")]
    PageChecksum,
    /// The file is so different from a database that the library gave up on it.
    #[error("no store of this program, or a damaged one")]
    NotAStore,
    /// The store has another format.
    #[error("format: found {0:?}, allowed is {FORMAT:?}")]
    Format(Option<String>),
    /// The store does not say which replica it belongs to.
    #[error("it names no replica")]
    NoReplica,
    /// A value can't be read.
    #[error("{key}: {source}")]
    Value {
        /// What the value is.
        key: &'static str,
        /// Why it can't be read.
        source: DatabaseError,
    },
    /// The database can't be read or written.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// Entries of the log are missing.
    #[error("log: after entry {before} comes {after}")]
    LogGap {
        /// The last entry before the gap.
        before: u64,
        /// The first one after it.
        after: u64,
    },
    /// The log does not begin where its purged part ends.
    #[error("log: it begins at {first}, after {purged} was purged")]
    LogStart {
        /// The first entry.
        first: u64,
        /// The last one that was purged.
        purged: u64,
    },
    /// The log was purged beyond what any readable snapshot holds.
    #[error("snapshot: none is left that reaches the log ({})", .0.as_ref().map_or("there is none".to_owned(), ToString::to_string))]
    NoSnapshot(Option<SnapshotError>),
}

/// A snapshot that can't be read.
#[derive(Debug, Error)]
#[error("snapshot {index}: {source}")]
pub struct SnapshotError {
    /// The last entry of the log that it contains.
    pub index: u64,
    /// Why it can't be read.
    pub source: DecodeError,
}

/// Why a transaction of the database fails.
#[derive(Debug, Error)]
pub enum DatabaseError {
    /// The transaction can't begin.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table can't be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// The file can't be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// The transaction can't be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A value can't be decoded or encoded.
    #[error(transparent)]
    Value(#[from] DecodeError),
    /// An entry of the log can't be decoded.
    #[error("entry {index}: {source}")]
    Entry {
        /// Its place in the log.
        index: u64,
        /// Why it can't be decoded.
        source: DecodeError,
    },
    /// An entry stands at another place of the log than it says.
    #[error("entry {index}: it says that it is {found}")]
    EntryIndex {
        /// Where it stands.
        index: u64,
        /// Where it says that it stands.
        found: u64,
    },
    /// A snapshot from another replica does not reach the entry that its head names.
    #[error("the snapshot ends at another entry than its metadata says")]
    SnapshotMetadata,
}
