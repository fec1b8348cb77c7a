//! Sends what the own leader has to tell the leaders of the other regions.

use crate::leader::Leader;
use crate::settings::RegionSettings;
use crate::store::Store;
use badgerramp_control_protocol::regions::{coordinator_request, participant_request};
use badgerramp_control_protocol::wire::{rejection, reply, request};
use badgerramp_control_protocol::{Client, ClientError, SharedSecret};
use badgerramp_policy::regions::{coordinator, participant, OutcomeReply, Region, VoteReply};
use badgerramp_policy::Command;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tracing::{info, warn};

/// A call to another region that is not answered within this has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The first pause between two messages to one region. It doubles as long as nothing comes of them.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause between two messages to one region.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// How often it is checked whether there is something to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends messages to the other regions. It runs in every replica and sends nothing while that does not lead.
pub(crate) struct CrossRegionClient {
    /// The regions, and where they are reached.
    pub(crate) settings: RegionSettings,
    /// The own leader.
    pub(crate) leader: Arc<Leader>,
    /// The own store.
    pub(crate) store: Store,
    /// The secret that messages are authenticated with.
    pub(crate) secret: SharedSecret,
}

/// Whether a region answers, so that each failure is logged once.
#[derive(Default)]
struct Reachability {
    /// What was logged last; `None`: the region answers.
    failure: Option<String>,
}

impl Reachability {
    fn succeeded(&mut self, region: &Region) {
        if self.failure.take().is_some() {
            info!(%region, "region reachable again");
        }
    }

    fn failed(&mut self, region: &Region, error: &ClientError) {
        // An election in the other region is nothing to tell of.
        if is_not_leader(error) {
            return;
        }
        let text = error.to_string();
        if self.failure.as_ref() != Some(&text) {
            warn!(%region, %error, "cross-region call failed");
            self.failure = Some(text);
        }
    }
}

fn is_not_leader(error: &ClientError) -> bool {
    matches!(error, ClientError::Rejected(rejection) if rejection.code() == rejection::Code::NotLeader)
}

impl CrossRegionClient {
    /// Sends messages to all other regions, as long as this replica runs.
    pub(crate) async fn run(self) {
        let mut tasks = JoinSet::new();
        let shared = Arc::new(self);
        for region in shared.settings.replicas.keys() {
            let (client, region) = (Arc::clone(&shared), region.clone());
            tasks.spawn(async move { client.serve_region(&region).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends messages to one region.
    async fn serve_region(&self, region: &Region) {
        let replicas = self.settings.replicas.get(region).cloned();
        let replicas = replicas.unwrap_or_default();
        let mut client = Client::between_regions(replicas, self.secret.clone(), CALL_TIMEOUT);
        let mut reachability = Reachability::default();
        let mut backoff = MIN_BACKOFF;
        loop {
            let Some(request) = self.next_request(region) else {
                backoff = MIN_BACKOFF;
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            };
            let progressed = match client.call(&request).await {
                Ok(reply) => {
                    reachability.succeeded(region);
                    self.handle_reply(region, reply).await
                }
                Err(error) => {
                    reachability.failed(region, &error);
                    false
                }
            };
            if progressed {
                backoff = MIN_BACKOFF;
            }
            self.wait_for_revision(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Waits until the own record has a new revision, but no longer than this.
    async fn wait_for_revision(&self, timeout: Duration) {
        let mut revisions = self.store.revision_changes();
        let _ = tokio::time::timeout(timeout, revisions.changed()).await;
    }

    /// What there is to tell a region now.
    fn next_request(&self, region: &Region) -> Option<request::Kind> {
        if !self.leader.is_leading() {
            return None;
        }
        self.store.read(|record| {
            let requests = coordinator::requests(record);
            if let Some((_, request)) = requests.into_iter().find(|(to, _)| to == region) {
                return Some(participant_request(region, request));
            }
            let (to, request) = participant::outcome_request(record, &self.settings.regions)?;
            (to == *region).then(|| coordinator_request(region, request))
        })
    }

    /// Logs what follows from a reply, and returns whether anything does.
    async fn handle_reply(&self, region: &Region, reply: reply::Kind) -> bool {
        let Some(command) = self.command_for(region, reply) else {
            return false;
        };
        match self.leader.propose(command).await {
            Ok(_) => true,
            Err(error) => {
                warn!(%region, %error, "reply of region not logged");
                false
            }
        }
    }

    fn command_for(&self, region: &Region, reply: reply::Kind) -> Option<Command> {
        match reply {
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
