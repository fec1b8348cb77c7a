//! Storage of the replicated log and of a replica's vote and commit index, as the consensus library requires it.

use super::database::key;
use super::{raft_error, NodeId, RaftError, RaftTypes, Store};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    Entry, ErrorSubject, ErrorVerb, LogId, LogState, OptionalSend, RaftLogReader, Vote,
};
use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;

impl RaftLogReader<RaftTypes> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<RaftTypes>>, RaftError> {
        self.tables
            .entries(range)
            .map_err(raft_error(ErrorSubject::Logs, ErrorVerb::Read))
    }
}

impl RaftLogStorage<RaftTypes> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, RaftError> {
        self.tables
            .log_state()
            .map_err(raft_error(ErrorSubject::Logs, ErrorVerb::Read))
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), RaftError> {
        self.tables
            .write_meta(key::VOTE, vote)
            .map_err(raft_error(ErrorSubject::Vote, ErrorVerb::Write))
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, RaftError> {
        self.tables
            .read_meta(key::VOTE)
            .map_err(raft_error(ErrorSubject::Vote, ErrorVerb::Read))
    }

    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), RaftError> {
        self.tables
            .write_meta(key::COMMITTED, &committed)
            .map_err(raft_error(ErrorSubject::Store, ErrorVerb::Write))
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, RaftError> {
        self.tables
            .read_meta::<Option<LogId<NodeId>>>(key::COMMITTED)
            .map(Option::flatten)
            .map_err(raft_error(ErrorSubject::Store, ErrorVerb::Read))
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<RaftTypes>,
    ) -> Result<(), RaftError>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let appended = self.tables.append(entries);
        let completed = match &appended {
            Ok(()) => Ok(()),
            Err(error) => Err(io::Error::other(error.to_string())),
        };
        callback.log_io_completed(completed);
        appended.map_err(raft_error(ErrorSubject::Logs, ErrorVerb::Write))
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<(), RaftError> {
        self.tables
            .truncate(log_id)
            .map_err(raft_error(ErrorSubject::Logs, ErrorVerb::Delete))
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<(), RaftError> {
        self.tables
            .purge(log_id)
            .map_err(raft_error(ErrorSubject::Logs, ErrorVerb::Delete))
    }
}
