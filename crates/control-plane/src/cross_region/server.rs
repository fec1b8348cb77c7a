//! Handles the requests of the leaders of other regions.

use crate::check;
use crate::leader::{Leader, NotLeader};
use crate::rejections::reject;
use crate::store::Store;
use badgerramp_control_protocol::wire::{self, rejection, reply, request};
use badgerramp_control_protocol::InvalidMessage;
use badgerramp_policy::regions::participant::{OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    coordinator, participant, Commit, OutcomeRequest, Prepare, Regions, VoteReply,
};
use std::future::Future;
use std::sync::Arc;

/// Handles requests of other regions.
pub(crate) struct CrossRegionServer {
    /// Names of the regions.
    pub(crate) regions: Regions,
    /// Leader functions of this replica.
    pub(crate) leader: Arc<Leader>,
    /// Store of this replica.
    pub(crate) store: Store,
}

impl CrossRegionServer {
    /// Handles a request of another region.
    ///
    /// # Errors
    /// Returns an error if this replica does not lead.
    pub(crate) async fn answer(&self, request: request::Kind) -> Result<reply::Kind, NotLeader> {
        match request {
            request::Kind::Prepare(prepare) => {
                let to = prepare.region.clone();
                self.vote(&to, prepare.try_into(), |prepare| self.prepare(prepare))
                    .await
            }
            request::Kind::Commit(commit) => {
                let to = commit.region.clone();
                self.vote(&to, commit.try_into(), |commit| self.commit(commit))
                    .await
            }
            request::Kind::Outcome(request) => self.outcome(request).await,
            _ => Ok(malformed()),
        }
    }

    /// Handles a request of the coordinator, if it is for this region.
    async fn vote<M, F>(
        &self,
        to: &str,
        message: Result<M, InvalidMessage>,
        answer: impl FnOnce(M) -> F,
    ) -> Result<reply::Kind, NotLeader>
    where
        F: Future<Output = Result<VoteReply, NotLeader>>,
    {
        if let Some(rejection) = self.check_receiver(to) {
            return Ok(rejection);
        }
        let Ok(message) = message else {
            return Ok(malformed());
        };
        self.leader.confirm().await?;
        Ok(reply::Kind::Vote(answer(message).await?.into()))
    }

    async fn prepare(&self, prepare: Prepare) -> Result<VoteReply, NotLeader> {
        let record = self.store.record();
        match participant::on_prepare(&record, &self.regions, &prepare) {
            OnPrepare::Reply(reply) => Ok(reply),
            OnPrepare::Start {
                fallback_generations,
                command,
            } => {
                let checked =
                    check::check_other_region(&record, &fallback_generations, &prepare.text);
                if let Err(error) = checked {
                    return Ok(participant::rejected(&prepare.change, error.to_string()));
                }
                let outcome = self.leader.propose(command).await?;
                Ok(participant::prepare_reply(&prepare.change, &outcome))
            }
        }
    }

    async fn commit(&self, commit: Commit) -> Result<VoteReply, NotLeader> {
        let on_commit = self
            .store
            .read(|record| participant::on_commit(record, &commit));
        match on_commit {
            OnCommit::Reply(reply) => Ok(reply),
            OnCommit::Log(command) => {
                self.leader.propose(command).await?;
                Ok(self
                    .store
                    .read(|record| participant::current_status(record, &commit.change)))
            }
        }
    }

    async fn outcome(&self, request: wire::OutcomeRequest) -> Result<reply::Kind, NotLeader> {
        if let Some(rejection) = self.check_receiver(&request.coordinator) {
            return Ok(rejection);
        }
        let Ok(request) = OutcomeRequest::try_from(request) else {
            return Ok(malformed());
        };
        // A deposed leader may not know of a change that its successor has started.
        self.leader.confirm().await?;
        let outcome = self
            .store
            .read(|record| coordinator::outcome(record, &request));
        Ok(reply::Kind::Outcome(outcome.into()))
    }

    /// Rejects a request for another region. Such a request arrives if the sender's settings list this region's addresses
    /// for the other region.
    fn check_receiver(&self, to: &str) -> Option<reply::Kind> {
        let own = self.regions.own();
        if to == own.as_str() {
            return None;
        }
        let text = format!(
            "the request is for region {to:?}, but this replica belongs to region \"{own}\": check [regions] in the sender's settings"
        );
        Some(reject(rejection::Code::OtherRegion, text))
    }
}

fn malformed() -> reply::Kind {
    reject(
        rejection::Code::Invalid,
        "the message is not a cross-region request known to this version",
    )
}
