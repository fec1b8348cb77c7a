//! Carries the messages of changes of all regions between the leaders of the regions. What is sent, logged and answered is
//! decided by [`badgerramp_policy::regions`].

use crate::check;
use crate::leader::{Leader, NotLeader};
use crate::rejections::refuse;
use crate::settings::RegionSettings;
use crate::store::Store;
use badgerramp_control_protocol::regions::{coordinator_request, participant_request};
use badgerramp_control_protocol::wire::{self, rejection, reply, request};
use badgerramp_control_protocol::{Client, ClientError, InvalidMessage, SharedSecret};
use badgerramp_policy::regions::participant::{OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    coordinator, participant, Commit, OutcomeReply, OutcomeRequest, Prepare, Region, Regions,
    VoteReply,
};
use badgerramp_policy::Command;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tracing::{info, warn};

/// A message to another region that is not answered within this is given up.
const ANSWER: Duration = Duration::from_secs(2);
/// Pause between two messages to one region, at first and at the longest: it doubles while nothing comes of them.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
const PAUSE_LONGEST: Duration = Duration::from_millis(250);
/// How often it is looked whether there is something to send.
const LOOK: Duration = Duration::from_millis(50);

/// Carries what the own leader has to tell the others. It runs in every replica and is silent while that does not lead.
pub(crate) struct CrossRegionClient {
    /// The regions, and where they are.
    pub settings: RegionSettings,
    /// The own leader.
    pub leader: Arc<Leader>,
    /// The own record.
    pub store: Store,
    /// What seals the messages.
    pub secret: SharedSecret,
}

impl CrossRegionClient {
    /// Carries messages to all other regions, as long as this replica runs.
    pub(crate) async fn run(self) {
        let mut carriers = JoinSet::new();
        let carrier = Arc::new(self);
        for region in carrier.settings.replicas.keys() {
            let (carrier, region) = (Arc::clone(&carrier), region.clone());
            carriers.spawn(async move { carrier.carry(&region).await });
        }
        while carriers.join_next().await.is_some() {}
    }

    /// Carries messages to one region.
    async fn carry(&self, region: &Region) {
        let replicas = self
            .settings
            .replicas
            .get(region)
            .cloned()
            .unwrap_or_default();
        let mut client = Client::between_regions(replicas, self.secret.clone(), ANSWER);
        let mut pause = PAUSE_FIRST;
        let mut told = String::new();
        loop {
            let Some(message) = self.message(region) else {
                pause = PAUSE_FIRST;
                tokio::time::sleep(LOOK).await;
                continue;
            };
            let step = match client.call(&message).await {
                Ok(answer) => {
                    if !told.is_empty() {
                        info!("region {region} answers again");
                        told.clear();
                    }
                    self.answered(region, answer).await
                }
                Err(fault) => {
                    if worth_telling(&fault) && told != fault.to_string() {
                        told = fault.to_string();
                        warn!("region {region}: {told}");
                    }
                    false
                }
            };
            if step {
                pause = PAUSE_FIRST;
            }
            self.wait(pause).await;
            pause = (pause * 2).min(PAUSE_LONGEST);
        }
    }

    /// Waits this long, or until the own record moves.
    async fn wait(&self, pause: Duration) {
        let mut moved = self.store.revision_changes();
        let _ = tokio::time::timeout(pause, moved.changed()).await;
    }

    /// What there is to tell a region now.
    fn message(&self, region: &Region) -> Option<request::Kind> {
        if !self.leader.leads() {
            return None;
        }
        self.store.read(|record| {
            let requests = coordinator::requests(record);
            if let Some((_, request)) = requests.into_iter().find(|(to, _)| to == region) {
                return Some(participant_request(region, request));
            }
            let (to, asked) = participant::outcome_request(record, &self.settings.regions)?;
            (to == *region).then(|| coordinator_request(region, asked))
        })
    }

    /// Logs what follows from an answer. False: nothing does.
    async fn answered(&self, region: &Region, answer: reply::Kind) -> bool {
        let Some(command) = self.follows(region, answer) else {
            return false;
        };
        match self.leader.agree(command).await {
            Ok(_) => true,
            Err(fault) => {
                warn!(
                    "region {region} has answered, and it can't be logged: {}",
                    fault.why
                );
                false
            }
        }
    }

    fn follows(&self, region: &Region, answer: reply::Kind) -> Option<Command> {
        match answer {
            reply::Kind::Vote(vote) => {
                let vote = VoteReply::try_from(vote).ok()?;
                self.store
                    .read(|record| coordinator::on_vote(record, region, &vote))
            }
            reply::Kind::Outcome(outcome) => {
                let outcome = OutcomeReply::try_from(outcome).ok()?;
                self.store
                    .read(|record| participant::on_outcome(record, &outcome))
            }
            _ => None,
        }
    }
}

/// An election on the other side is nothing to tell of.
fn worth_telling(fault: &ClientError) -> bool {
    !matches!(fault, ClientError::Rejected(refusal) if refusal.code() == rejection::Code::NotLeader)
}

/// Answers the other regions.
pub(crate) struct CrossRegionServer {
    /// The regions.
    pub regions: Regions,
    /// The own leader.
    pub leader: Arc<Leader>,
    /// The own record.
    pub store: Store,
}

impl CrossRegionServer {
    /// Answers a message of another region.
    ///
    /// # Errors
    /// If this replica does not lead.
    pub(crate) async fn answer(&self, what: request::Kind) -> Result<reply::Kind, NotLeader> {
        match what {
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
            request::Kind::Outcome(asked) => self.outcome(asked).await,
            _ => Ok(malformed()),
        }
    }

    /// Answers a message of the coordinator, if it is for this region.
    async fn vote<M, F>(
        &self,
        to: &str,
        message: Result<M, InvalidMessage>,
        answer: impl FnOnce(M) -> F,
    ) -> Result<reply::Kind, NotLeader>
    where
        F: Future<Output = Result<VoteReply, NotLeader>>,
    {
        if let Some(refused) = self.misdirected(to) {
            return Ok(refused);
        }
        let Ok(message) = message else {
            return Ok(malformed());
        };
        self.leader.confirmed().await?;
        Ok(reply::Kind::Vote(answer(message).await?.into()))
    }

    async fn prepare(&self, prepare: Prepare) -> Result<VoteReply, NotLeader> {
        let record = self.store.record();
        match participant::on_prepare(&record, &self.regions, &prepare) {
            OnPrepare::Reply(reply) => Ok(reply),
            OnPrepare::Start {
                fallback_generations: floors,
                command,
            } => {
                if let Err(why) = check::of_other_region(&record, &floors, &prepare.text) {
                    return Ok(participant::rejected(&prepare.change, why));
                }
                let outcome = self.leader.agree(command).await?;
                Ok(participant::prepare_reply(&prepare.change, &outcome))
            }
        }
    }

    async fn commit(&self, commit: Commit) -> Result<VoteReply, NotLeader> {
        match self
            .store
            .read(|record| participant::on_commit(record, &commit))
        {
            OnCommit::Reply(reply) => Ok(reply),
            OnCommit::Log(command) => {
                self.leader.agree(command).await?;
                Ok(self
                    .store
                    .read(|record| participant::current_status(record, &commit.change)))
            }
        }
    }

    async fn outcome(&self, asked: wire::OutcomeRequest) -> Result<reply::Kind, NotLeader> {
        if let Some(refused) = self.misdirected(&asked.coordinator) {
            return Ok(refused);
        }
        let Ok(asked) = OutcomeRequest::try_from(asked) else {
            return Ok(malformed());
        };
        // A leader that was replaced may not know of a change that its successor has begun.
        self.leader.confirmed().await?;
        Ok(reply::Kind::Outcome(
            self.store
                .read(|record| coordinator::outcome(record, &asked))
                .into(),
        ))
    }

    /// A message for another region comes here if the sender's file gives it these addresses.
    fn misdirected(&self, to: &str) -> Option<reply::Kind> {
        let own = self.regions.own();
        if to == own.as_str() {
            return None;
        }
        let text = format!(
            "this is a message for region {to:?}, and this replica is of region \"{own}\": see [regions]"
        );
        Some(refuse(rejection::Code::OtherRegion, text))
    }
}

fn malformed() -> reply::Kind {
    refuse(
        rejection::Code::Invalid,
        "no message between regions that this version knows",
    )
}
