//! Control's lasting state: the agreed log and the snapshots of what it led to, in an embedded store. Each value bears a
//! checksum of its own, so that what the disk made of it is never taken for what was written.

use badgerramp_policy::{Command, Outcome, Record};
use openraft::storage::{LogFlushed, RaftLogStorage, RaftStateMachine};
use openraft::{
    BasicNode, Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, LogState, OptionalSend,
    RaftLogReader, RaftSnapshotBuilder, Snapshot, SnapshotMeta, StorageError, StoredMembership,
    Vote,
};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

openraft::declare_raft_types!(
    /// What the replicas agree on.
    pub RaftTypes:
        D = Command,
        R = Outcome,
        NodeId = u64,
        Node = BasicNode,
);

/// A replica's number.
pub type NodeId = u64;
type Failed = StorageError<NodeId>;

const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("log");
const SNAPSHOTS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("snapshots");

/// Snapshots that are kept.
const KEPT: usize = 3;
/// Most bytes of a snapshot, unpacked.
const SNAPSHOT_MOST: usize = 64 << 20;
/// Bytes of a checksum.
const SUM: usize = 16;
const FORMAT: &str = "badgerramp control store 1";

/// Why a store can't be used.
#[derive(Debug)]
pub enum StoreError {
    /// There is none, and none was to be made.
    Missing,
    /// There is one already.
    AlreadyExists,
    /// It is another replica's.
    OtherReplica(NodeId),
    /// It can't be read, or it is damaged: where, and what.
    Damaged(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Missing => f.write_str(
                "there is no store. If this replica has never run, make one with `badgerramp-control create`. If its \
                 disk was lost, don't: it may have promised what it has forgotten. The others go on while they are a \
                 majority",
            ),
            StoreError::AlreadyExists => f.write_str("there is a store already; it is left as it is"),
            StoreError::OtherReplica(id) => write!(f, "it is the store of replica {id}"),
            StoreError::Damaged(what) => write!(f, "it can't be used: {what}"),
        }
    }
}

impl std::error::Error for StoreError {}

fn damaged(fault: impl std::fmt::Display) -> StoreError {
    StoreError::Damaged(fault.to_string())
}

fn sum(bytes: &[u8]) -> [u8; SUM] {
    let mut sum = [0; SUM];
    sum.copy_from_slice(&Sha256::digest(bytes)[..SUM]);
    sum
}

fn pack(value: &impl Serialize) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(value).map_err(|e| e.to_string())?;
    Ok([&sum(&body)[..], &body].concat())
}

fn checked(bytes: &[u8]) -> Result<&[u8], String> {
    match bytes.split_at_checked(SUM) {
        Some((own, body)) if own == sum(body) => Ok(body),
        _ => Err("its checksum does not fit".to_owned()),
    }
}

fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(checked(bytes)?).map_err(|e| e.to_string())
}

/// What the log led to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// What control knows for good.
    pub record: Record,
    applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, BasicNode>,
}

/// The store of one replica.
#[derive(Clone, Debug)]
pub struct Store {
    base: Arc<Database>,
    state_machine: Arc<Mutex<StateMachine>>,
    moved: Arc<watch::Sender<u64>>,
}

fn subject(what: ErrorSubject<NodeId>, verb: ErrorVerb) -> impl Fn(String) -> Failed {
    move |fault| StorageError::from_io_error(what.clone(), verb, std::io::Error::other(fault))
}

fn text(fault: impl std::fmt::Display) -> String {
    fault.to_string()
}

/// Looks at each page of a store, on a copy in memory: the library mends what it finds, and what is damaged is to stay as
/// it is until somebody has seen it.
fn verified(path: &Path) -> Result<(), StoreError> {
    let bytes = std::fs::read(path).map_err(damaged)?;
    if bytes.is_empty() {
        return Err(damaged("it is empty"));
    }
    // It may panic over what no writer of its own would have left.
    let look = std::panic::AssertUnwindSafe(|| -> Result<bool, StoreError> {
        let copy = InMemoryBackend::new();
        copy.set_len(bytes.len() as u64).map_err(damaged)?;
        copy.write(0, &bytes).map_err(damaged)?;
        let mut copy = Database::builder()
            .create_with_backend(copy)
            .map_err(damaged)?;
        copy.check_integrity().map_err(damaged)
    });
    match std::panic::catch_unwind(look) {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(damaged("a page's checksum does not fit")),
        Ok(Err(fault)) => Err(fault),
        Err(_) => Err(damaged("no store of this program, or a damaged one")),
    }
}

/// A snapshot that is good: as it is written, and read.
type Good = (Vec<u8>, StateMachine);

impl Store {
    /// Makes a store for a replica that has never run.
    ///
    /// # Errors
    /// If there is one, or it can't be written.
    pub fn create(path: &Path, id: NodeId) -> Result<(), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists);
        }
        let base = Database::create(path).map_err(damaged)?;
        std::fs::set_permissions(path, std::os::unix::fs::PermissionsExt::from_mode(0o600))
            .map_err(damaged)?;
        let write = || -> Result<(), String> {
            let change = base.begin_write().map_err(text)?;
            change.open_table(LOG).map_err(text)?;
            change.open_table(SNAPSHOTS).map_err(text)?;
            let mut meta = change.open_table(META).map_err(text)?;
            meta.insert("format", pack(&FORMAT)?.as_slice())
                .map_err(text)?;
            meta.insert("replica", pack(&id)?.as_slice())
                .map_err(text)?;
            drop(meta);
            change.commit().map_err(text)
        };
        write().map_err(StoreError::Damaged)
    }

    /// Opens the store of this replica and looks at all that is in it.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(path: &Path, id: NodeId) -> Result<Self, StoreError> {
        if !path.exists() {
            return Err(StoreError::Missing);
        }
        verified(path)?;
        let base = Database::open(path).map_err(damaged)?;
        let store = Store {
            base: Arc::new(base),
            state_machine: Arc::default(),
            moved: Arc::new(watch::channel(0).0),
        };
        store.look(id)?;
        Ok(store)
    }

    fn look(&self, id: NodeId) -> Result<(), StoreError> {
        let format: Option<String> = self.meta("format").map_err(StoreError::Damaged)?;
        if format.as_deref() != Some(FORMAT) {
            return Err(damaged(format!(
                "format: found {format:?}, allowed is {FORMAT:?}"
            )));
        }
        match self.meta("replica").map_err(StoreError::Damaged)? {
            Some(own) if own == id => {}
            Some(other) => return Err(StoreError::OtherReplica(other)),
            None => return Err(damaged("it names no replica")),
        }
        self.meta::<Vote<NodeId>>("vote")
            .map_err(|e| damaged(format!("vote: {e}")))?;
        self.meta::<Option<LogId<NodeId>>>("committed")
            .map_err(|e| damaged(format!("committed: {e}")))?;
        let purged: Option<LogId<NodeId>> = self
            .meta("purged")
            .map_err(|e| damaged(format!("purged: {e}")))?;
        let last = self.entries(..).map_err(|e| damaged(format!("log: {e}")))?;
        for (before, after) in last.iter().zip(last.iter().skip(1)) {
            if before.log_id.index + 1 != after.log_id.index {
                return Err(damaged(format!(
                    "log: after entry {} comes {}",
                    before.log_id.index, after.log_id.index
                )));
            }
        }
        let first = last.first().map(|e| e.log_id.index);
        if let (Some(purged), Some(first)) = (purged, first) {
            if first != purged.index + 1 {
                return Err(damaged(format!(
                    "log: it begins at {first}, after {} was let go",
                    purged.index
                )));
            }
        }
        let (snapshot, faults) = self.snapshot().map_err(StoreError::Damaged)?;
        if let Some((_, state_machine)) = snapshot {
            *self.lock() = state_machine;
        }
        // What was let go of the log must be in a snapshot that can be read.
        let applied = self.lock().applied;
        if purged > applied {
            let why = faults
                .first()
                .cloned()
                .unwrap_or_else(|| "there is none".to_owned());
            return Err(damaged(format!(
                "snapshot: none is left that reaches the log ({why})"
            )));
        }
        self.moved.send_replace(self.lock().record.revision());
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, StateMachine> {
        self.state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What is agreed on, as far as this replica knows.
    pub fn record(&self) -> Record {
        self.lock().record.clone()
    }

    /// Shows what is agreed on.
    pub fn with<T>(&self, look: impl FnOnce(&Record) -> T) -> T {
        look(&self.lock().record)
    }

    /// Tells each time that the revision has moved.
    pub fn moved(&self) -> watch::Receiver<u64> {
        self.moved.subscribe()
    }

    fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, String> {
        let view = self.base.begin_read().map_err(text)?;
        let meta = view.open_table(META).map_err(text)?;
        let value = meta.get(key).map_err(text)?;
        value.map(|v| unpack(v.value())).transpose()
    }

    fn set(&self, key: &str, value: &impl Serialize) -> Result<(), String> {
        let change = self.base.begin_write().map_err(text)?;
        let mut meta = change.open_table(META).map_err(text)?;
        meta.insert(key, pack(value)?.as_slice()).map_err(text)?;
        drop(meta);
        change.commit().map_err(text)
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<RaftTypes>>, String> {
        let view = self.base.begin_read().map_err(text)?;
        let log = view.open_table(LOG).map_err(text)?;
        let mut all = Vec::new();
        for entry in log.range::<u64>(range).map_err(text)? {
            let (index, value) = entry.map_err(text)?;
            let index = index.value();
            let entry: Entry<RaftTypes> =
                unpack(value.value()).map_err(|e| format!("entry {index}: {e}"))?;
            if entry.log_id.index != index {
                return Err(format!(
                    "entry {index}: it says that it is {}",
                    entry.log_id.index
                ));
            }
            all.push(entry);
        }
        Ok(all)
    }

    /// The newest snapshot that can be read, and what was wrong with newer ones.
    fn snapshot(&self) -> Result<(Option<Good>, Vec<String>), String> {
        let view = self.base.begin_read().map_err(text)?;
        let table = view.open_table(SNAPSHOTS).map_err(text)?;
        let mut faults = Vec::new();
        for entry in table.iter().map_err(text)?.rev() {
            let (index, value) = entry.map_err(text)?;
            match unpacked(value.value()) {
                Ok(state_machine) => {
                    return Ok((Some((value.value().to_vec(), state_machine)), faults))
                }
                Err(fault) => faults.push(format!("snapshot {}: {fault}", index.value())),
            }
        }
        Ok((None, faults))
    }

    fn keep(&self, index: u64, bytes: &[u8]) -> Result<(), String> {
        let change = self.base.begin_write().map_err(text)?;
        let mut table = change.open_table(SNAPSHOTS).map_err(text)?;
        table.insert(index, bytes).map_err(text)?;
        while table.iter().map_err(text)?.count() > KEPT {
            table.pop_first().map_err(text)?;
        }
        drop(table);
        change.commit().map_err(text)
    }
}

/// Packed for a snapshot: compressed, with a checksum.
fn packed(state_machine: &StateMachine) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(state_machine).map_err(text)?;
    let body = zstd::bulk::compress(&body, 3).map_err(text)?;
    Ok([&sum(&body)[..], &body].concat())
}

fn unpacked(bytes: &[u8]) -> Result<StateMachine, String> {
    let body = zstd::bulk::decompress(checked(bytes)?, SNAPSHOT_MOST).map_err(text)?;
    serde_json::from_slice(&body).map_err(text)
}

fn meta_of(state_machine: &StateMachine) -> SnapshotMeta<NodeId, BasicNode> {
    let applied = state_machine.applied;
    let snapshot_id = applied.map_or_else(
        || "none".to_owned(),
        |a| format!("{}-{}", a.leader_id, a.index),
    );
    SnapshotMeta {
        last_log_id: applied,
        last_membership: state_machine.membership.clone(),
        snapshot_id,
    }
}

impl RaftLogReader<RaftTypes> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<RaftTypes>>, Failed> {
        self.entries(range)
            .map_err(subject(ErrorSubject::Logs, ErrorVerb::Read))
    }
}

impl RaftLogStorage<RaftTypes> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, Failed> {
        let read = || -> Result<_, String> {
            let purged: Option<LogId<NodeId>> = self.meta("purged")?;
            let view = self.base.begin_read().map_err(text)?;
            let log = view.open_table(LOG).map_err(text)?;
            let last = log.last().map_err(text)?;
            let last = last
                .map(|(_, v)| unpack::<Entry<RaftTypes>>(v.value()))
                .transpose()?;
            Ok(LogState {
                last_purged_log_id: purged,
                last_log_id: last.map(|e| e.log_id).or(purged),
            })
        };
        read().map_err(subject(ErrorSubject::Logs, ErrorVerb::Read))
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), Failed> {
        self.set("vote", vote)
            .map_err(subject(ErrorSubject::Vote, ErrorVerb::Write))
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, Failed> {
        self.meta("vote")
            .map_err(subject(ErrorSubject::Vote, ErrorVerb::Read))
    }

    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), Failed> {
        self.set("committed", &committed)
            .map_err(subject(ErrorSubject::Store, ErrorVerb::Write))
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, Failed> {
        let read = self.meta::<Option<LogId<NodeId>>>("committed");
        read.map(Option::flatten)
            .map_err(subject(ErrorSubject::Store, ErrorVerb::Read))
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<RaftTypes>) -> Result<(), Failed>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let write = || -> Result<(), String> {
            let change = self.base.begin_write().map_err(text)?;
            let mut log = change.open_table(LOG).map_err(text)?;
            for entry in entries {
                log.insert(entry.log_id.index, pack(&entry)?.as_slice())
                    .map_err(text)?;
            }
            drop(log);
            change.commit().map_err(text)
        };
        let written = write();
        callback.log_io_completed(written.clone().map_err(std::io::Error::other));
        written.map_err(subject(ErrorSubject::Logs, ErrorVerb::Write))
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<(), Failed> {
        let write = || -> Result<(), String> {
            let change = self.base.begin_write().map_err(text)?;
            let mut log = change.open_table(LOG).map_err(text)?;
            log.retain_in(log_id.index.., |_, _| false).map_err(text)?;
            drop(log);
            change.commit().map_err(text)
        };
        write().map_err(subject(ErrorSubject::Logs, ErrorVerb::Delete))
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<(), Failed> {
        let write = || -> Result<(), String> {
            let change = self.base.begin_write().map_err(text)?;
            let mut meta = change.open_table(META).map_err(text)?;
            meta.insert("purged", pack(&Some(log_id))?.as_slice())
                .map_err(text)?;
            drop(meta);
            let mut log = change.open_table(LOG).map_err(text)?;
            log.retain_in(..=log_id.index, |_, _| false).map_err(text)?;
            drop(log);
            change.commit().map_err(text)
        };
        write().map_err(subject(ErrorSubject::Logs, ErrorVerb::Delete))
    }
}

impl RaftSnapshotBuilder<RaftTypes> for Store {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, Failed> {
        let state_machine = self.lock().clone();
        let meta = meta_of(&state_machine);
        let build = || -> Result<Vec<u8>, String> {
            let bytes = packed(&state_machine)?;
            self.keep(state_machine.applied.map_or(0, |a| a.index), &bytes)?;
            Ok(bytes)
        };
        let bytes = build().map_err(subject(ErrorSubject::Snapshot(None), ErrorVerb::Write))?;
        Ok(Snapshot {
            meta,
            snapshot: Box::new(Cursor::new(bytes)),
        })
    }
}

impl RaftStateMachine<RaftTypes> for Store {
    type SnapshotBuilder = Self;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, BasicNode>), Failed> {
        let state_machine = self.lock();
        Ok((state_machine.applied, state_machine.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, Failed>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state_machine = self.lock();
        let mut outcomes = Vec::new();
        for entry in entries {
            state_machine.applied = Some(entry.log_id);
            outcomes.push(match entry.payload {
                EntryPayload::Blank => Outcome::Done,
                EntryPayload::Normal(command) => state_machine.record.apply(&command),
                EntryPayload::Membership(membership) => {
                    state_machine.membership =
                        StoredMembership::new(Some(entry.log_id), membership);
                    Outcome::Done
                }
            });
        }
        let revision = state_machine.record.revision();
        drop(state_machine);
        self.moved
            .send_if_modified(|old| std::mem::replace(old, revision) != revision);
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Failed> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Failed> {
        let bytes = snapshot.into_inner();
        let install = || -> Result<(), String> {
            let state_machine = unpacked(&bytes)?;
            if state_machine.applied != meta.last_log_id {
                return Err("it is another one than its head says".to_owned());
            }
            self.keep(state_machine.applied.map_or(0, |a| a.index), &bytes)?;
            *self.lock() = state_machine;
            Ok(())
        };
        install().map_err(subject(
            ErrorSubject::Snapshot(Some(meta.signature())),
            ErrorVerb::Write,
        ))?;
        let revision = self.lock().record.revision();
        self.moved
            .send_if_modified(|old| std::mem::replace(old, revision) != revision);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<RaftTypes>>, Failed> {
        let (found, _) = self
            .snapshot()
            .map_err(subject(ErrorSubject::Snapshot(None), ErrorVerb::Read))?;
        Ok(found.map(|(bytes, state_machine)| Snapshot {
            meta: meta_of(&state_machine),
            snapshot: Box::new(Cursor::new(bytes)),
        }))
    }
}
