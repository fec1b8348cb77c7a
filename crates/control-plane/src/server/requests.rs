//! Handles the requests of proxies and publishers.

use crate::check;
use crate::leader::{Leader, NotLeader};
use crate::rejections::{command_rejected, not_coordinator, not_leader, reject};
use crate::settings::RegionSettings;
use crate::status::View;
use crate::store::Store;
use badgerramp_control_protocol::wire::{self, rejection, reply, request};
use badgerramp_control_protocol::{clock, digest};
use badgerramp_policy::regions::{AllRegions, ChangeId};
use badgerramp_policy::{
    Command, Generation, GrantOutcome, Identity, LeaseDenial, LeaseGrant, LeaseRequest, Outcome,
    Rejection,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use tracing::info;

/// Handles the requests of proxies and publishers.
pub(super) struct RequestHandler {
    pub(super) store: Store,
    pub(super) leader: Arc<Leader>,
    /// Address of this replica for clients and other replicas.
    pub(super) address: String,
    /// `None` if no regions are configured.
    pub(super) regions: Option<RegionSettings>,
}

impl RequestHandler {
    /// Handles a request and returns the reply.
    pub(super) async fn answer(&self, request: request::Kind) -> reply::Kind {
        self.try_answer(request).await.unwrap_or_else(not_leader)
    }

    async fn try_answer(&self, request: request::Kind) -> Result<reply::Kind, NotLeader> {
        match request {
            request::Kind::Lease(request) => self.lease(&request).await,
            request::Kind::Unregister(identity) => {
                self.leader.unregister(identity.into()).await?;
                Ok(reply::Kind::Done(wire::Done {}))
            }
            request::Kind::Publish(publish) => self.publish(publish, None).await,
            request::Kind::PublishAllRegions(publish) => self.publish_all_regions(publish).await,
            request::Kind::Status(_) => self.status().await,
            request::Kind::Abort(abort) => self.abort(abort).await,
            request::Kind::Evict(identity) => self.evict(identity.into()).await,
            request::Kind::PolicyFiles(files) => {
                self.policy_files(Generation(files.generation)).await
            }
            request::Kind::Prepare(_) | request::Kind::Commit(_) | request::Kind::Outcome(_) => {
                Ok(reject(
                    rejection::Code::Invalid,
                    "this request is accepted only from other regions",
                ))
            }
        }
    }

    async fn evict(&self, identity: Identity) -> Result<reply::Kind, NotLeader> {
        self.leader.confirm().await?;
        info!(%identity, "evicting proxy");
        self.leader.propose(Command::Evict { identity }).await?;
        Ok(reply::Kind::Done(wire::Done {}))
    }

    async fn policy_files(&self, generation: Generation) -> Result<reply::Kind, NotLeader> {
        self.leader.confirm().await?;
        let files = self
            .store
            .read(|record| record.text(generation).map(check::decode_files));
        Ok(match files {
            Some(Ok(files)) => reply::Kind::PolicyFiles(wire::PolicyFiles {
                generation: generation.0,
                files: files.into_iter().collect(),
            }),
            Some(Err(error)) => reject(rejection::Code::Invalid, error.to_string()),
            None => reject(
                rejection::Code::Invalid,
                format!("{generation} does not exist or is no longer retained"),
            ),
        })
    }

    async fn lease(&self, request: &wire::LeaseRequest) -> Result<reply::Kind, NotLeader> {
        let Ok(lease_request) = LeaseRequest::try_from(request) else {
            return Ok(reject(
                rejection::Code::Invalid,
                "the request lacks the proxy's identity or its behaviour on lease loss",
            ));
        };
        if let Some(rejection) = self.check_region(&request.region) {
            return Ok(rejection);
        }
        let loaded = lease_request.loaded_generations.clone();
        Ok(match self.leader.request_lease(lease_request).await? {
            GrantOutcome::Granted(grant) => self.grant(grant, &loaded, &request.application),
            GrantOutcome::RegisterFirst => reject(
                rejection::Code::Conflict,
                "the proxy is not registered yet: retry the request",
            ),
            GrantOutcome::Denied(denial) => lease_denied(denial),
        })
    }

    /// Rejects a proxy of another region.
    fn check_region(&self, region: &str) -> Option<reply::Kind> {
        let own = self.regions.as_ref().map(|settings| settings.regions.own());
        if region.is_empty() || own.is_some_and(|own| own.as_str() == region) {
            return None;
        }
        let own = own.map_or("has no region".to_owned(), |own| {
            format!("belongs to region \"{own}\"")
        });
        let message =
            format!("policy.region of this proxy is {region:?}, but this control plane {own}");
        Some(reject(rejection::Code::OtherRegion, message))
    }

    /// Returns a lease grant with the application's files that the proxy has not loaded.
    fn grant(
        &self,
        grant: LeaseGrant,
        loaded: &BTreeSet<Generation>,
        application: &str,
    ) -> reply::Kind {
        let mut policies = Vec::new();
        let mut digests = HashMap::new();
        for generation in BTreeSet::from([grant.mode.old, grant.mode.new]) {
            let files = self.application_files(generation, application);
            digests.extend(files.values().map(|text| (generation.0, digest(text))));
            if !loaded.contains(&generation) {
                policies.push(wire::PolicyFiles {
                    generation: generation.0,
                    files,
                });
            }
        }
        reply::Kind::Lease(wire::LeaseGrant {
            sequence: grant.sequence,
            mode: Some(grant.mode.into()),
            duration: grant.duration,
            policies,
            digests,
        })
    }

    /// Returns the file of an application in a generation. Without one the proxy reports that it cannot load the
    /// generation.
    fn application_files(
        &self,
        generation: Generation,
        application: &str,
    ) -> HashMap<String, String> {
        let files = self
            .store
            .read(|record| record.text(generation).map(check::decode_files));
        let mut files = files.and_then(Result::ok).unwrap_or_default();
        files.retain(|name, _| name == application);
        files.into_iter().collect()
    }

    /// Publishes a cross-region change, if this region coordinates these.
    async fn publish_all_regions(&self, publish: wire::Publish) -> Result<reply::Kind, NotLeader> {
        let Some(settings) = &self.regions else {
            let message = "the control plane has no regions: publish with the scope \"region\"";
            return Ok(reject(rejection::Code::OtherRegion, message));
        };
        if let Some(replicas) = settings.coordinator_replicas() {
            return Ok(not_coordinator(settings.regions.coordinator(), replicas));
        }
        let all_regions = AllRegions {
            id: ChangeId(rand::random()),
            coordinator: settings.regions.own().clone(),
            participants: settings.regions.others().clone(),
        };
        self.publish(publish, Some(all_regions)).await
    }

    async fn publish(
        &self,
        publish: wire::Publish,
        all_regions: Option<AllRegions>,
    ) -> Result<reply::Kind, NotLeader> {
        self.leader.confirm().await?;
        let files: BTreeMap<String, String> = publish.files.into_iter().collect();
        let parsed = match check::parse(&files) {
            Ok(parsed) => parsed,
            Err(error) => return Ok(reject(rejection::Code::Invalid, error.to_string())),
        };
        let record = self.store.record();
        if record.revision() != publish.revision {
            let message =
                "the policy state changed in the meantime: read the status again and retry";
            return Ok(reject(rejection::Code::Conflict, message));
        }
        let fallback_generations = record.fallback_generations();
        let text = check::check_fallbacks(&record, &fallback_generations, &parsed)
            .and_then(|()| check::encode_files(&files));
        let text = match text {
            Ok(text) => text,
            Err(error) => return Ok(reject(rejection::Code::Invalid, error.to_string())),
        };
        let command = Command::Publish {
            revision: publish.revision,
            text,
            fallback_generations,
            all_regions,
        };
        Ok(match self.leader.propose(command).await? {
            Outcome::Started(generation) => reply::Kind::ChangeStarted(wire::ChangeStarted {
                generation: generation.0,
            }),
            Outcome::Rejected(rejection) => command_rejected(&rejection),
            Outcome::Applied => reject(
                rejection::Code::Conflict,
                "the policy state changed in the meantime: read the status again and retry",
            ),
        })
    }

    async fn abort(&self, abort: wire::Abort) -> Result<reply::Kind, NotLeader> {
        let generation = Generation(abort.generation);
        Ok(match self.leader.abort(generation, abort.reason).await? {
            Some(Outcome::Applied) => reply::Kind::Done(wire::Done {}),
            Some(Outcome::Rejected(rejection @ Rejection::AwaitsDecision { .. })) => {
                command_rejected(&rejection)
            }
            _ => reject(
                rejection::Code::Conflict,
                format!("no change to {generation} is pending"),
            ),
        })
    }

    async fn status(&self) -> Result<reply::Kind, NotLeader> {
        self.leader.confirm().await?;
        let proxies = self.leader.proxy_view();
        let view = View {
            record: &self.store.record(),
            proxies,
            regions: self.regions.as_ref(),
            address: &self.address,
            now: clock::now(),
        };
        Ok(reply::Kind::Status(view.status()))
    }
}

fn lease_denied(denial: LeaseDenial) -> reply::Kind {
    match denial {
        LeaseDenial::OutOfOrder => reject(
            rejection::Code::Stale,
            "a later request of this proxy has already been answered",
        ),
        LeaseDenial::NoPolicy => reject(
            rejection::Code::NoPolicy,
            "no policy has been published yet",
        ),
        LeaseDenial::Evicted => reject(
            rejection::Code::Evicted,
            "this proxy process was evicted: restart the proxy",
        ),
    }
}
