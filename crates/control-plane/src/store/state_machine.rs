//! State machine that applies the replicated log, and its snapshots.

use super::codec::{decode_compressed, encode_compressed};
use super::error::DatabaseError;
use super::{raft_error, NodeId, RaftError, RaftTypes, Store};
use badgerramp_policy::{Outcome, Record};
use openraft::storage::RaftStateMachine;
use openraft::{
    BasicNode, Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, OptionalSend,
    RaftSnapshotBuilder, Snapshot, SnapshotMeta, StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// State that the replicated log produces. Snapshots contain it, so its field names are part of the stored format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct StateMachine {
    /// Replicated state of the region's control plane.
    pub(super) record: Record,
    /// The last log entry that was applied.
    pub(super) applied: Option<LogId<NodeId>>,
    /// Cluster membership of the consensus group.
    membership: StoredMembership<NodeId, BasicNode>,
}

impl StateMachine {
    fn apply(&mut self, entry: Entry<RaftTypes>) -> Outcome {
        self.applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Outcome::Applied,
            EntryPayload::Normal(command) => self.record.apply(&command),
            EntryPayload::Membership(membership) => {
                self.membership = StoredMembership::new(Some(entry.log_id), membership);
                Outcome::Applied
            }
        }
    }

    /// Returns the key of a snapshot of this state in the table of snapshots.
    fn snapshot_index(&self) -> u64 {
        self.applied.map_or(0, |applied| applied.index)
    }

    fn snapshot(&self, bytes: Vec<u8>) -> Snapshot<RaftTypes> {
        let snapshot_id = match self.applied {
            Some(applied) => format!("{}-{}", applied.leader_id, applied.index),
            None => "none".to_owned(),
        };
        Snapshot {
            meta: SnapshotMeta {
                last_log_id: self.applied,
                last_membership: self.membership.clone(),
                snapshot_id,
            },
            snapshot: Box::new(Cursor::new(bytes)),
        }
    }
}

impl Store {
    fn persist_state(&self, state_machine: &StateMachine) -> Result<Vec<u8>, DatabaseError> {
        let bytes = encode_compressed(state_machine)?;
        self.tables
            .persist_snapshot(state_machine.snapshot_index(), &bytes)?;
        Ok(bytes)
    }

    fn install(
        &self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        bytes: &[u8],
    ) -> Result<(), DatabaseError> {
        let state_machine: StateMachine = decode_compressed(bytes)?;
        if state_machine.applied != meta.last_log_id {
            return Err(DatabaseError::SnapshotMetadata);
        }
        self.tables
            .persist_snapshot(state_machine.snapshot_index(), bytes)?;
        *self.state_machine() = state_machine;
        Ok(())
    }

    /// Notifies receivers of the current revision, if it has changed.
    fn notify_revision(&self) {
        let revision = self.read(Record::revision);
        self.revision
            .send_if_modified(|last| std::mem::replace(last, revision) != revision);
    }
}

impl RaftSnapshotBuilder<RaftTypes> for Store {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, RaftError> {
        let state_machine = self.state_machine().clone();
        let bytes = self
            .persist_state(&state_machine)
            .map_err(raft_error(ErrorSubject::Snapshot(None), ErrorVerb::Write))?;
        Ok(state_machine.snapshot(bytes))
    }
}

impl RaftStateMachine<RaftTypes> for Store {
    type SnapshotBuilder = Self;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, BasicNode>), RaftError> {
        let state_machine = self.state_machine();
        Ok((state_machine.applied, state_machine.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, RaftError>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let outcomes = {
            let mut state_machine = self.state_machine();
            let entries = entries.into_iter();
            entries.map(|entry| state_machine.apply(entry)).collect()
        };
        self.notify_revision();
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftError> {
        let subject = ErrorSubject::Snapshot(Some(meta.signature()));
        self.install(meta, &snapshot.into_inner())
            .map_err(raft_error(subject, ErrorVerb::Write))?;
        self.notify_revision();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<RaftTypes>>, RaftError> {
        let search = self
            .tables
            .newest_snapshot()
            .map_err(raft_error(ErrorSubject::Snapshot(None), ErrorVerb::Read))?;
        Ok(search
            .newest
            .map(|stored| stored.state_machine.snapshot(stored.bytes)))
    }
}
