//! A replica as a program: its channel, its part in the agreement, its end.

use crate::check;
use crate::leader::{Leader, NotLeader};
use crate::network::{self, Network};
use crate::regions::{CrossRegionClient, CrossRegionServer};
use crate::rejections::{denied, elsewhere, not_coordinator, not_logged, refuse};
use crate::settings::{RegionSettings, Settings};
use crate::status::View;
use crate::store::{RaftTypes, Store};
use badgerramp_control_protocol::wire::control_server::{Control, ControlServer};
use badgerramp_control_protocol::wire::{
    self, rejection, reply, request, AuthenticatedMessage, Reply, Request,
};
use badgerramp_control_protocol::{digest, Purpose, SharedSecret, MAX_MESSAGE_BYTES};
use badgerramp_policy::regions::{AllRegions, ChangeId};
use badgerramp_policy::{
    Command, Generation, GrantOutcome, Identity, LeaseDenial, LeaseGrant, LeaseRequest, Mode,
    Outcome, Rejection,
};
use openraft::{BasicNode, Config, Raft, SnapshotPolicy};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_stream::wrappers::WatchStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Response, Status};
use tracing::{info, warn};

/// Entries of the log after which a snapshot is taken.
const SNAPSHOT_AFTER: u64 = 500;
struct Service {
    secret: SharedSecret,
    store: Store,
    raft: Raft<RaftTypes>,
    leader: Arc<Leader>,
    address: String,
    /// The regions, and what answers the other ones; `None`: there are none.
    regions: Option<RegionSettings>,
    responder: Option<CrossRegionServer>,
}

impl Service {
    async fn answer(&self, what: request::Kind) -> reply::Kind {
        match self.respond(what).await {
            Ok(what) => what,
            Err(fault) => elsewhere(fault),
        }
    }

    async fn respond(&self, what: request::Kind) -> Result<reply::Kind, NotLeader> {
        Ok(match what {
            request::Kind::Lease(asked) => self.ask(&asked).await?,
            request::Kind::Unregister(identity) => {
                self.leader.leaves(identity.into()).await?;
                reply::Kind::Done(wire::Done {})
            }
            request::Kind::Publish(policy) => self.publish(policy, None).await?,
            request::Kind::PublishAllRegions(policy) => self.publish_all(policy).await?,
            request::Kind::Status(_) => self.status().await?,
            request::Kind::Abort(abort) => self.abort(abort).await?,
            request::Kind::Evict(identity) => {
                self.leader.confirmed().await?;
                let identity = Identity::from(identity);
                info!("{identity} is evicted");
                self.leader.agree(Command::Evict { identity }).await?;
                reply::Kind::Done(wire::Done {})
            }
            request::Kind::PolicyFiles(text) => self.text(Generation(text.generation)).await?,
            request::Kind::Prepare(_) | request::Kind::Commit(_) | request::Kind::Outcome(_) => {
                refuse(
                    rejection::Code::Invalid,
                    "this passes between regions alone",
                )
            }
        })
    }

    async fn text(&self, generation: Generation) -> Result<reply::Kind, NotLeader> {
        self.leader.confirmed().await?;
        Ok(
            match self.store.read(|r| r.text(generation).map(check::files_of)) {
                Some(Ok(files)) => reply::Kind::PolicyFiles(wire::PolicyFiles {
                    generation: generation.0,
                    files: files.into_iter().collect(),
                }),
                Some(Err(fault)) => refuse(rejection::Code::Invalid, fault),
                None => refuse(
                    rejection::Code::Invalid,
                    format!("{generation}: there is none, or it is kept no more"),
                ),
            },
        )
    }

    /// Why a proxy of this region gets nothing here, if it doesn't.
    fn of_other_region(&self, named: &str) -> Option<reply::Kind> {
        let own = self.regions.as_ref().map(|settings| settings.regions.own());
        if named.is_empty() || own.is_some_and(|own| own.as_str() == named) {
            return None;
        }
        let here = own.map_or("has no region".to_owned(), |own| {
            format!("is of region \"{own}\"")
        });
        let text = format!(
            "policy.region of this proxy is {named:?}, and the control that it asks {here}"
        );
        Some(refuse(rejection::Code::OtherRegion, text))
    }

    async fn ask(&self, asked: &wire::LeaseRequest) -> Result<reply::Kind, NotLeader> {
        let Ok(ask) = LeaseRequest::try_from(asked) else {
            return Ok(refuse(
                rejection::Code::Invalid,
                "the question names no proxy, or no way to act when cut off",
            ));
        };
        if let Some(refused) = self.of_other_region(&asked.region) {
            return Ok(refused);
        }
        let has = ask.loaded_generations.clone();
        Ok(match self.leader.lend(ask).await? {
            GrantOutcome::Granted(grant) => self.grant(grant, &has, &asked.application),
            GrantOutcome::RegisterFirst => refuse(rejection::Code::Conflict, "ask again"),
            GrantOutcome::Denied(LeaseDenial::OutOfOrder) => {
                refuse(rejection::Code::Stale, "a later question has been answered")
            }
            GrantOutcome::Denied(LeaseDenial::NoPolicy) => {
                refuse(rejection::Code::NoPolicy, "there is no policy yet")
            }
            GrantOutcome::Denied(LeaseDenial::Evicted) => refuse(
                rejection::Code::Evicted,
                "this start of the proxy was evicted: start it anew",
            ),
        })
    }

    fn grant(
        &self,
        grant: LeaseGrant,
        has: &BTreeSet<Generation>,
        application: &str,
    ) -> reply::Kind {
        let Mode { old, new, .. } = grant.mode;
        let mut texts = Vec::new();
        let mut digests = HashMap::new();
        for generation in BTreeSet::from([old, new]) {
            let files = self.store.read(|r| r.text(generation).map(check::files_of));
            let mut files = files.and_then(Result::ok).unwrap_or_default();
            // Without its file the proxy says that it can't read it.
            files.retain(|name, _| name == application);
            digests.extend(
                files
                    .get(application)
                    .map(|text| (generation.0, digest(text))),
            );
            if !has.contains(&generation) {
                texts.push(wire::PolicyFiles {
                    generation: generation.0,
                    files: files.into_iter().collect(),
                });
            }
        }
        reply::Kind::Lease(wire::LeaseGrant {
            sequence: grant.sequence,
            mode: Some(grant.mode.into()),
            duration: grant.duration,
            policies: texts,
            digests,
        })
    }

    /// A change of all regions: only its coordinator takes it.
    async fn publish_all(&self, policy: wire::Publish) -> Result<reply::Kind, NotLeader> {
        let Some(settings) = &self.regions else {
            let text = "control has no regions: publish with the scope \"region\"";
            return Ok(refuse(rejection::Code::OtherRegion, text));
        };
        if let Some(replicas) = settings.coordinator_replicas() {
            return Ok(not_coordinator(settings.regions.coordinator(), replicas));
        }
        let all = AllRegions {
            id: ChangeId(rand::random()),
            coordinator: settings.regions.own().clone(),
            participants: settings.regions.others().clone(),
        };
        self.publish(policy, Some(all)).await
    }

    async fn publish(
        &self,
        policy: wire::Publish,
        all_regions: Option<AllRegions>,
    ) -> Result<reply::Kind, NotLeader> {
        self.leader.confirmed().await?;
        let files: BTreeMap<String, String> = policy.files.into_iter().collect();
        let read = match check::read(&files) {
            Ok(read) => read,
            Err(mistakes) => return Ok(refuse(rejection::Code::Invalid, mistakes)),
        };
        let record = self.store.record();
        if record.revision() != policy.revision {
            let text = "something has changed since this was looked at: look again";
            return Ok(refuse(rejection::Code::Conflict, text));
        }
        let floors = record.fallback_generations();
        let good =
            check::leaves_floors(&record, &floors, &read).and_then(|()| check::text_of(&files));
        let text = match good {
            Ok(text) => text,
            Err(why) => return Ok(refuse(rejection::Code::Invalid, why)),
        };
        let command = Command::Publish {
            revision: policy.revision,
            text,
            fallback_generations: floors,
            all_regions,
        };
        Ok(match self.leader.agree(command).await? {
            Outcome::Started(generation) => reply::Kind::ChangeStarted(wire::ChangeStarted {
                generation: generation.0,
            }),
            Outcome::Rejected(refused) => not_logged(&refused),
            Outcome::Applied => refuse(
                rejection::Code::Conflict,
                "something else came in between: look again",
            ),
        })
    }

    async fn abort(&self, abort: wire::Abort) -> Result<reply::Kind, NotLeader> {
        let generation = Generation(abort.generation);
        Ok(match self.leader.abort(generation, abort.reason).await? {
            Some(Outcome::Applied) => reply::Kind::Done(wire::Done {}),
            Some(Outcome::Rejected(refused @ Rejection::AwaitsDecision { .. })) => {
                not_logged(&refused)
            }
            _ => refuse(
                rejection::Code::Conflict,
                format!("no change to {generation} is under way"),
            ),
        })
    }

    async fn status(&self) -> Result<reply::Kind, NotLeader> {
        self.leader.confirmed().await?;
        let (blockers, sessions) = self.leader.view();
        let view = View {
            record: &self.store.record(),
            blockers,
            sessions,
            regions: self.regions.as_ref(),
            address: &self.address,
            now: badgerramp_control_protocol::clock::now(),
        };
        Ok(reply::Kind::Status(view.status()))
    }
}

#[tonic::async_trait]
impl Control for Service {
    async fn call(
        &self,
        sealed: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let opened = self.secret.verify(Purpose::Request, sealed.into_inner());
        let Request { nonce, kind: what } = opened.map_err(|fault| {
            warn!("a question is refused: {fault}");
            denied(&fault)
        })?;
        let what = match what {
            Some(what) => self.answer(what).await,
            None => refuse(
                rejection::Code::Invalid,
                "an empty question, or one that this version does not know",
            ),
        };
        Ok(Response::new(self.secret.authenticate(
            Purpose::Reply,
            &Reply {
                nonce,
                kind: Some(what),
            },
        )))
    }

    type NewsStream = Pin<Box<dyn Stream<Item = Result<AuthenticatedMessage, Status>> + Send>>;

    async fn news(
        &self,
        sealed: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<Self::NewsStream>, Status> {
        let opened: Result<Request, _> = self.secret.verify(Purpose::Request, sealed.into_inner());
        let nonce = opened.map_err(|fault| denied(&fault))?.nonce;
        let secret = self.secret.clone();
        let words = WatchStream::new(self.store.revision_changes()).map(move |revision| {
            let kind = Some(reply::Kind::RevisionChanged(wire::RevisionChanged {
                revision,
            }));
            Ok(secret.authenticate(Purpose::Reply, &Reply { nonce, kind }))
        });
        Ok(Response::new(Box::pin(words)))
    }

    async fn replica(
        &self,
        sealed: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let opened = self
            .secret
            .verify_bytes(Purpose::ReplicaRequest, sealed.into_inner());
        let body = opened.map_err(|fault| denied(&fault))?;
        let answer = network::answer(&self.raft, &body)
            .await
            .map_err(Status::invalid_argument)?;
        Ok(Response::new(
            self.secret
                .authenticate_bytes(Purpose::ReplicaReply, answer),
        ))
    }

    async fn region(
        &self,
        sealed: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let opened = self
            .secret
            .verify(Purpose::RegionRequest, sealed.into_inner());
        let Request { nonce, kind: what } = opened.map_err(|fault| {
            warn!("a message of another region is refused: {fault}");
            denied(&fault)
        })?;
        let what = match (&self.responder, what) {
            (Some(responder), Some(what)) => responder.answer(what).await.unwrap_or_else(elsewhere),
            (Some(_), None) => refuse(
                rejection::Code::Invalid,
                "an empty message, or one that this version does not know",
            ),
            (None, _) => refuse(
                rejection::Code::OtherRegion,
                "this control has no region: see its file",
            ),
        };
        Ok(Response::new(self.secret.authenticate(
            Purpose::RegionReply,
            &Reply {
                nonce,
                kind: Some(what),
            },
        )))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Runs a replica until `stop` resolves.
///
/// # Errors
/// If it can't begin, or can't go on: its disk, its listener.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), String> {
    let shown = settings.store.display().to_string();
    let store = Store::open(&settings.store, settings.replica)
        .map_err(|e| format!("store {shown}: {e}"))?;
    let (address, listen) = (settings.replicas[&settings.replica], settings.listen);
    let bind = |e| format!("listen on {listen}: {e}");
    let listener = TcpListener::bind(listen).await.map_err(bind)?;
    let listen = listener.local_addr().map_err(bind)?;
    let election = millis(settings.election_timeout);
    let config = Config {
        cluster_name: "badgerramp".to_owned(),
        heartbeat_interval: (election / 5).max(20),
        election_timeout_min: election,
        election_timeout_max: 2 * election,
        install_snapshot_timeout: 10 * election,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_AFTER),
        max_in_snapshot_log_to_keep: SNAPSHOT_AFTER,
        // A chunk goes as a list of numbers in JSON, four bytes each at the most.
        snapshot_max_chunk_size: 256 * 1024,
        ..Config::default()
    };
    let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
    let network = Network {
        secret: settings.secret.clone(),
    };
    let raft = Raft::new(
        settings.replica,
        config,
        network,
        store.clone(),
        store.clone(),
    );
    let raft = raft.await.map_err(|e| format!("store {shown}: {e}"))?;
    let members: BTreeMap<u64, BasicNode> = settings
        .replicas
        .iter()
        .map(|(&id, a)| (id, BasicNode::new(a.to_string())))
        .collect();
    // A replica that has begun before says so; then what it has written down holds.
    if !raft.is_initialized().await.map_err(|e| e.to_string())? {
        if let Err(fault) = raft.initialize(members).await {
            info!("the replicas have begun already: {fault}");
        }
    }
    let (leader, asked) = Leader::new(raft.clone(), store.clone(), &settings);
    let leader = Arc::new(leader);
    let responder = settings.regions.as_ref().map(|regions| CrossRegionServer {
        regions: regions.regions.clone(),
        leader: Arc::clone(&leader),
        store: store.clone(),
    });
    let carrier = settings.regions.clone().map(|regions| CrossRegionClient {
        settings: regions,
        leader: Arc::clone(&leader),
        store: store.clone(),
        secret: settings.secret.clone(),
    });
    let service = Service {
        secret: settings.secret,
        store,
        raft: raft.clone(),
        leader: Arc::clone(&leader),
        address: address.to_string(),
        regions: settings.regions,
        responder,
    };
    let service = ControlServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    info!("replica {} listening on {listen}", settings.replica);
    let server = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(tokio_stream::wrappers::TcpListenerStream::new(listener));
    let mut metrics = raft.metrics();
    let broken = async {
        loop {
            if let Err(fault) = metrics.borrow_and_update().running_state.clone() {
                return fault.to_string();
            }
            if metrics.changed().await.is_err() {
                return "the agreement ended".to_owned();
            }
        }
    };
    let answers = {
        let leader = Arc::clone(&leader);
        tokio::spawn(async move { leader.answer(asked).await })
    };
    let steps = tokio::spawn(async move { leader.run().await });
    let carries = tokio::spawn(async move {
        if let Some(carrier) = carrier {
            carrier.run().await;
        }
    });
    let ended = tokio::select! {
        () = stop => Ok(()),
        served = server => served.map_err(|e| format!("listen on {listen}: {e}")),
        fault = broken => Err(format!("this replica can't go on: {fault}")),
    };
    answers.abort();
    steps.abort();
    carries.abort();
    let _ = raft.shutdown().await;
    ended
}
