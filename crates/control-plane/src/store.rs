//! Durable state of a replica, in an embedded database: the replicated log, the vote, and snapshots of the state machine.
//!
//! A [`Store`] is a handle: clones share the database and the state in memory. Only the consensus library changes that
//! state, by applying log entries or by installing a snapshot.

mod codec;
mod database;
mod error;
mod integrity;
mod log;
mod raft_types;
mod state_machine;

pub use codec::DecodeError;
pub use error::{DatabaseError, Defect, SnapshotError, StoreError};
pub use raft_types::{NodeId, RaftTypes};

use badgerramp_policy::Record;
use database::Tables;
use openraft::{ErrorSubject, ErrorVerb, StorageError};
use redb::Database;
use state_machine::StateMachine;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Format identifier of a store.
const FORMAT: &str = "badgerramp control store 1";
/// Permissions of a store's file: only its owner has access.
const FILE_MODE: u32 = 0o600;

/// Error type for failures reported to the consensus library.
type RaftError = StorageError<NodeId>;

/// Store of one replica.
#[derive(Clone, Debug)]
pub struct Store {
    tables: Tables,
    state_machine: Arc<Mutex<StateMachine>>,
    revision: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Creates a store for a replica that has never run.
    ///
    /// # Errors
    /// Returns an error if there is a store already, or if it cannot be written.
    pub fn create(path: &Path, replica: NodeId) -> Result<(), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists);
        }
        let database = Database::create(path).map_err(Defect::from)?;
        std::fs::set_permissions(path, Permissions::from_mode(FILE_MODE)).map_err(Defect::from)?;
        Tables::new(database).create(replica)?;
        Ok(())
    }

    /// Opens the store of this replica and checks all of its contents.
    ///
    /// # Errors
    /// Returns an error if there is no store, if it belongs to another replica, or if it is damaged. See [`StoreError`].
    pub fn open(path: &Path, replica: NodeId) -> Result<Self, StoreError> {
        if !path.exists() {
            return Err(StoreError::Missing);
        }
        integrity::check_pages(path)?;
        let database = Database::open(path).map_err(Defect::from)?;
        let store = Store {
            tables: Tables::new(database),
            state_machine: Arc::default(),
            revision: Arc::new(watch::Sender::new(0)),
        };
        store.load(replica)?;
        Ok(store)
    }

    /// Checks the contents and loads the state from the newest readable snapshot.
    fn load(&self, replica: NodeId) -> Result<(), StoreError> {
        let purged = integrity::check_metadata(&self.tables, replica)?;
        integrity::check_log(&self.tables, purged)?;
        let search = self.tables.newest_snapshot()?;
        if let Some(stored) = search.newest {
            *self.state_machine() = stored.state_machine;
        }
        // All purged log entries must be contained in a snapshot.
        if purged > self.state_machine().applied {
            return Err(Defect::NoSnapshot(search.unreadable.into_iter().next()).into());
        }
        self.revision.send_replace(self.read(Record::revision));
        Ok(())
    }

    fn state_machine(&self) -> MutexGuard<'_, StateMachine> {
        self.state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the replicated state, as far as this replica has applied the log.
    pub fn record(&self) -> Record {
        self.state_machine().record.clone()
    }

    /// Reads from the replicated state, as far as this replica has applied the log. The state is locked during the read.
    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        read(&self.state_machine().record)
    }

    /// Returns a receiver that is notified of each new revision of the record.
    pub fn revision_changes(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}

/// Converts an error for the consensus library, with the part of the store and the operation that it concerns.
fn raft_error(
    subject: ErrorSubject<NodeId>,
    verb: ErrorVerb,
) -> impl FnOnce(DatabaseError) -> RaftError {
    move |error| StorageError::from_io_error(subject, verb, io::Error::other(error))
}
