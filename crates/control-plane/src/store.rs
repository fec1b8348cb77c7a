//! The durable state of a replica, in an embedded database: the agreed log, the votes, and snapshots of the state that
//! the log has led to.
//!
//! A [`Store`] is a handle: clones share the database and the state in memory. Only the consensus library changes that
//! state, by applying entries of the log or installing a snapshot.

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

/// What a store says of its format.
const FORMAT: &str = "badgerramp control store 1";
/// Permissions of a store's file: the owner's alone.
const FILE_MODE: u32 = 0o600;

/// How a failure is reported to the consensus library.
type RaftError = StorageError<NodeId>;

/// The store of one replica.
#[derive(Clone, Debug)]
pub struct Store {
    tables: Tables,
    state_machine: Arc<Mutex<StateMachine>>,
    revision: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Makes a store for a replica that has never run.
    ///
    /// # Errors
    /// If there is one, or it can't be written.
    pub fn create(path: &Path, replica: NodeId) -> Result<(), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists);
        }
        let database = Database::create(path).map_err(Defect::from)?;
        std::fs::set_permissions(path, Permissions::from_mode(FILE_MODE)).map_err(Defect::from)?;
        Tables::new(database).create(replica)?;
        Ok(())
    }

    /// Opens the store of this replica, and checks all that is in it.
    ///
    /// # Errors
    /// If there is none, it is another replica's, or it is damaged. See [`StoreError`].
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

    /// Checks the contents, and takes the state from the newest snapshot that can be read.
    fn load(&self, replica: NodeId) -> Result<(), StoreError> {
        let purged = integrity::check_metadata(&self.tables, replica)?;
        integrity::check_log(&self.tables, purged)?;
        let search = self.tables.newest_snapshot()?;
        if let Some(stored) = search.newest {
            *self.state_machine() = stored.state_machine;
        }
        // What was purged from the log has to be in a snapshot.
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

    /// A copy of what the replicas have agreed on, as far as this one knows.
    pub fn record(&self) -> Record {
        self.state_machine().record.clone()
    }

    /// Reads from what the replicas have agreed on, as far as this one knows. The state is locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        read(&self.state_machine().record)
    }

    /// Notifies of each new revision of the record.
    pub fn revision_changes(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}

/// Names the part of the store that an error concerns, for the consensus library.
fn raft_error(
    subject: ErrorSubject<NodeId>,
    verb: ErrorVerb,
) -> impl FnOnce(DatabaseError) -> RaftError {
    move |error| StorageError::from_io_error(subject, verb, io::Error::other(error))
}
