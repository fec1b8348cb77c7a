//! Sends the requests of this region's leader to the leaders of the other regions.

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

/// Time after which an unanswered call to another region fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause between two requests to one region. It doubles while the replies lead to no command.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause between two requests to one region.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Interval at which to check whether there is a request to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to the other regions. It runs in every replica and sends nothing while that replica does not lead.
pub(crate) struct CrossRegionClient {
    /// The regions and the addresses of their replicas.
    pub(crate) settings: RegionSettings,
    /// Leader functions of this replica.
    pub(crate) leader: Arc<Leader>,
    /// Store of this replica.
    pub(crate) store: Store,
    /// Secret for the authentication of messages.
    pub(crate) secret: SharedSecret,
}

/// Whether a region is reachable, so that a repeated failure is logged only once.
#[derive(Default)]
struct Reachability {
    /// The last logged failure; `None` while the region is reachable.
    failure: Option<String>,
}

impl Reachability {
    fn succeeded(&mut self, region: &Region) {
        if self.failure.take().is_some() {
            info!(%region, "region reachable again");
        }
    }

    fn failed(&mut self, region: &Region, error: &ClientError) {
        // An election in the other region is normal and not logged.
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
    /// Sends requests to all other regions, as long as this replica runs.
    pub(crate) async fn run(self) {
        let mut tasks = JoinSet::new();
        let shared = Arc::new(self);
        for region in shared.settings.replicas.keys() {
            let (client, region) = (Arc::clone(&shared), region.clone());
            tasks.spawn(async move { client.serve_region(&region).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends requests to one region.
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

    /// Waits until the record has a new revision, but no longer than `timeout`.
    async fn wait_for_revision(&self, timeout: Duration) {
        let mut revisions = self.store.revision_changes();
        let _ = tokio::time::timeout(timeout, revisions.changed()).await;
    }

    /// Returns the request to send to a region now, if any.
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

    /// Logs the command that follows from a reply, and returns whether a command was logged.
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
