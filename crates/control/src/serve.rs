//! A replica as a program: its channel, its part in the agreement, its end.

use crate::floor;
use crate::leader::{Leader, NotLeader};
use crate::network::{self, Network, MESSAGE_MOST};
use crate::settings::Settings;
use crate::store::{Store, Types};
use badgerramp_channel::wire::control_server::{Control, ControlServer};
use badgerramp_channel::wire::{self, refusal, reply, request, Refusal, Reply, Request, Sealed};
use badgerramp_channel::{digest, Purpose, SealFault, Secret};
use badgerramp_policy::{
    Command, CutOff, Ended, Generation, Grant, Identity, Lent, Mode, Outcome, Refused, Stale, Why,
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
use tonic::{Code, Response, Status};
use tracing::{info, warn};

/// Entries of the log after which a snapshot is taken.
const SNAPSHOT_AFTER: u64 = 500;
/// Most bytes of all files of a policy together.
const POLICY_MOST: usize = 1 << 20;
/// Most files of one: one for each application.
const FILES_MOST: usize = 4_096;

struct Service {
    secret: Secret,
    store: Store,
    raft: Raft<Types>,
    leader: Arc<Leader>,
    address: String,
}

fn refuse(code: refusal::Code, text: impl Into<String>) -> reply::What {
    reply::What::Refusal(Refusal { code: code.into(), text: text.into(), leader: String::new() })
}

fn elsewhere(fault: NotLeader) -> reply::What {
    reply::What::Refusal(Refusal {
        code: refusal::Code::NotLeader.into(),
        text: fault.why,
        leader: fault.leader.unwrap_or_default(),
    })
}

fn denied(fault: &SealFault) -> Status {
    let code = match fault {
        SealFault::Version(_) => Code::FailedPrecondition,
        SealFault::Forged => Code::PermissionDenied,
        SealFault::TooLarge(_) | SealFault::Malformed(_) => Code::InvalidArgument,
    };
    Status::new(code, fault.to_string())
}

/// The files of a generation, as they stand in the record.
fn files_of(text: &str) -> Result<BTreeMap<String, String>, String> {
    serde_json::from_str(text).map_err(|e| format!("the files of a generation can't be read: {e}"))
}

impl Service {
    async fn answer(&self, what: request::What) -> reply::What {
        match self.respond(what).await {
            Ok(what) => what,
            Err(fault) => elsewhere(fault),
        }
    }

    async fn respond(&self, what: request::What) -> Result<reply::What, NotLeader> {
        Ok(match what {
            request::What::Ask(asked) => self.ask(&asked).await?,
            request::What::Leave(identity) => {
                self.leader.leaves(identity.into()).await?;
                reply::What::Done(wire::Done {})
            }
            request::What::Publish(policy) => self.publish(policy).await?,
            request::What::Status(_) => self.status().await?,
            request::What::Abort(abort) => {
                let generation = Generation(abort.generation);
                match self.leader.abort(generation, abort.why).await? {
                    true => reply::What::Done(wire::Done {}),
                    false => refuse(refusal::Code::Moved, format!("no change to {generation} is under way")),
                }
            }
            request::What::Evict(identity) => {
                self.leader.confirmed().await?;
                let identity = Identity::from(identity);
                info!("{identity} is evicted");
                self.leader.agree(Command::Evict { identity }).await?;
                reply::What::Done(wire::Done {})
            }
            request::What::Text(text) => {
                self.leader.confirmed().await?;
                let generation = Generation(text.generation);
                match self.store.with(|r| r.text(generation).map(files_of)) {
                    Some(Ok(files)) => reply::What::Text(wire::Text {
                        generation: generation.0,
                        files: files.into_iter().collect(),
                    }),
                    Some(Err(fault)) => refuse(refusal::Code::Bad, fault),
                    None => refuse(
                        refusal::Code::Bad,
                        format!("{generation}: there is none, or it is kept no more"),
                    ),
                }
            }
        })
    }

    async fn ask(&self, asked: &wire::Ask) -> Result<reply::What, NotLeader> {
        let Some(ask) = asked.read() else {
            return Ok(refuse(
                refusal::Code::Bad,
                "the question names no proxy, or no way to act when cut off",
            ));
        };
        let has = ask.has.clone();
        Ok(match self.leader.lend(ask).await? {
            Lent::Grant(grant) => self.grant(grant, &has, &asked.application),
            Lent::RegisterFirst => refuse(refusal::Code::Moved, "ask again"),
            Lent::Stale(Stale::Older) => refuse(refusal::Code::Stale, "a later question has been answered"),
            Lent::Stale(Stale::NoPolicy) => refuse(refusal::Code::NoPolicy, "there is no policy yet"),
            Lent::Stale(Stale::Evicted) => {
                refuse(refusal::Code::Evicted, "this start of the proxy was evicted: start it anew")
            }
        })
    }

    fn grant(&self, grant: Grant, has: &BTreeSet<Generation>, application: &str) -> reply::What {
        let Mode { old, new, .. } = grant.mode;
        let mut texts = Vec::new();
        let mut digests = HashMap::new();
        for generation in BTreeSet::from([old, new]) {
            let files = self.store.with(|r| r.text(generation).map(files_of));
            let mut files = files.and_then(Result::ok).unwrap_or_default();
            // Without its file the proxy says that it can't read it.
            files.retain(|name, _| name == application);
            digests.extend(files.get(application).map(|text| (generation.0, digest(text))));
            if !has.contains(&generation) {
                texts.push(wire::Text { generation: generation.0, files: files.into_iter().collect() });
            }
        }
        reply::What::Grant(wire::Grant {
            number: grant.number,
            mode: Some(grant.mode.into()),
            lease: grant.lease,
            texts,
            digests,
        })
    }

    async fn publish(&self, policy: wire::Publish) -> Result<reply::What, NotLeader> {
        self.leader.confirmed().await?;
        let files: BTreeMap<String, String> = policy.files.into_iter().collect();
        let bytes: usize = files.iter().map(|(name, text)| name.len() + text.len()).sum();
        if files.is_empty() || files.len() > FILES_MOST || bytes > POLICY_MOST {
            let found = format!("found {} files of {bytes} bytes", files.len());
            let text = format!("{found}, allowed are 1 to {FILES_MOST} of {POLICY_MOST} bytes together");
            return Ok(refuse(refusal::Code::Bad, text));
        }
        let read = match floor::read(&files) {
            Ok(read) => read,
            Err(mistakes) => return Ok(refuse(refusal::Code::Bad, mistakes)),
        };
        let record = self.store.record();
        if record.revision() != policy.revision {
            let text = "something has changed since this was looked at: look again";
            return Ok(refuse(refusal::Code::Moved, text));
        }
        let floors = record.floors();
        let mut left = Vec::new();
        for &generation in &floors {
            let old =
                record.text(generation).map(files_of).and_then(Result::ok).and_then(|f| floor::read(&f).ok());
            match old {
                Some(old) => left.extend(floor::left(&old, &read)),
                None => left.push(format!("the floor of {generation} can't be read any more")),
            }
        }
        if !left.is_empty() {
            left.sort();
            left.dedup();
            let steps = "Proxies that are cut off go by it. Make it in two steps: publish the policy in force with the \
                         class taken out of policy.floor; when all proxies act under that, publish this one";
            return Ok(refuse(refusal::Code::Bad, format!("{}\n{steps}", left.join("\n"))));
        }
        let Ok(text) = serde_json::to_string(&files) else {
            return Ok(refuse(refusal::Code::Bad, "the files can't be written down"));
        };
        let command = Command::Publish { revision: policy.revision, text, floors };
        Ok(match self.leader.agree(command).await? {
            Outcome::Begun(generation) => {
                info!("{generation} is to come into force");
                reply::What::Begun(wire::Begun { generation: generation.0 })
            }
            Outcome::Refused(Refused::UnderWay(generation)) => {
                refuse(refusal::Code::UnderWay, format!("the change to {generation} is under way"))
            }
            _ => refuse(refusal::Code::Moved, "something else came in between: look again"),
        })
    }

    async fn status(&self) -> Result<reply::What, NotLeader> {
        self.leader.confirmed().await?;
        let (blockers, sessions) = self.leader.view();
        let record = self.store.record();
        let now = badgerramp_channel::clock::now();
        let blockers = blockers.into_iter().map(|b| {
            let (why, left) = match b.why {
                Why::Lease(until) if b.identity.is_none() => (
                    "a leader before this one may have lent to any proxy".to_owned(),
                    until.saturating_sub(now),
                ),
                Why::Lease(until) => (
                    "it has not told that it acts under it, and its lease runs".to_owned(),
                    until.saturating_sub(now),
                ),
                Why::Keeps => {
                    ("it goes on without a lease, and has not told that it acts under it".to_owned(), 0)
                }
                Why::Unread(reason) => (format!("it can't read it: {reason}"), 0),
            };
            wire::Blocker { identity: b.identity.map(Into::into), why, left }
        });
        let changes = record.changes().iter().map(|(generation, change)| {
            use wire::change::Ended as On;
            let (ended, why) = match &change.ended {
                Ended::Open => (On::Open, String::new()),
                Ended::InForce => (On::InForce, String::new()),
                Ended::NotInForce { why } => (On::NotInForce, why.clone()),
            };
            wire::Change { generation: generation.0, from: change.from.0, ended: ended.into(), why }
        });
        let standing = record.standing().iter().map(|(i, s)| (i.clone(), (s.cut_off, s.revision)));
        let mut proxies: BTreeMap<Identity, (CutOff, u64)> = standing.collect();
        for (identity, acting) in sessions {
            let known = proxies.entry(identity).or_insert((CutOff::Refuse, acting));
            known.1 = known.1.max(acting);
        }
        let proxies = proxies.into_iter().map(|(identity, (cut_off, acting))| wire::Proxy {
            identity: Some(identity.into()),
            acting,
            cut_off: wire::CutOff::from(cut_off).into(),
        });
        Ok(reply::What::Status(wire::Status {
            mode: record.mode().map(Into::into),
            changes: changes.collect(),
            blockers: blockers.collect(),
            proxies: proxies.collect(),
            leader: self.address.clone(),
            revision: record.revision(),
        }))
    }
}

#[tonic::async_trait]
impl Control for Service {
    async fn call(&self, sealed: tonic::Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let opened = self.secret.open(Purpose::Request, sealed.into_inner());
        let Request { nonce, what } = opened.map_err(|fault| {
            warn!("a question is refused: {fault}");
            denied(&fault)
        })?;
        let what = match what {
            Some(what) => self.answer(what).await,
            None => refuse(refusal::Code::Bad, "an empty question, or one that this version does not know"),
        };
        Ok(Response::new(self.secret.seal(Purpose::Reply, &Reply { nonce, what: Some(what) })))
    }

    type NewsStream = Pin<Box<dyn Stream<Item = Result<Sealed, Status>> + Send>>;

    async fn news(&self, sealed: tonic::Request<Sealed>) -> Result<Response<Self::NewsStream>, Status> {
        let opened: Result<Request, _> = self.secret.open(Purpose::Request, sealed.into_inner());
        let nonce = opened.map_err(|fault| denied(&fault))?.nonce;
        let secret = self.secret.clone();
        let words = WatchStream::new(self.store.moved()).map(move |revision| {
            let what = Some(reply::What::Word(wire::Word { revision }));
            Ok(secret.seal(Purpose::Reply, &Reply { nonce, what }))
        });
        Ok(Response::new(Box::pin(words)))
    }

    async fn replica(&self, sealed: tonic::Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let opened = self.secret.open_bytes(Purpose::ReplicaRequest, sealed.into_inner());
        let body = opened.map_err(|fault| denied(&fault))?;
        let answer = network::answer(&self.raft, &body).await.map_err(Status::invalid_argument)?;
        Ok(Response::new(self.secret.seal_bytes(Purpose::ReplicaReply, answer)))
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
    let store = Store::open(&settings.store, settings.replica).map_err(|e| format!("store {shown}: {e}"))?;
    let (address, listen) = (settings.replicas[&settings.replica], settings.listen);
    let bind = |e| format!("listen on {listen}: {e}");
    let listener = TcpListener::bind(listen).await.map_err(bind)?;
    let listen = listener.local_addr().map_err(bind)?;
    let election = millis(settings.election);
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
    let network = Network { secret: settings.secret.clone() };
    let raft = Raft::new(settings.replica, config, network, store.clone(), store.clone());
    let raft = raft.await.map_err(|e| format!("store {shown}: {e}"))?;
    let members: BTreeMap<u64, BasicNode> =
        settings.replicas.iter().map(|(&id, a)| (id, BasicNode::new(a.to_string()))).collect();
    // A replica that has begun before says so; then what it has written down holds.
    if !raft.is_initialized().await.map_err(|e| e.to_string())? {
        if let Err(fault) = raft.initialize(members).await {
            info!("the replicas have begun already: {fault}");
        }
    }
    let (leader, asked) =
        Leader::new(raft.clone(), store.clone(), (settings.lease, settings.drift, settings.wait));
    let leader = Arc::new(leader);
    let service = Service {
        secret: settings.secret,
        store,
        raft: raft.clone(),
        leader: Arc::clone(&leader),
        address: address.to_string(),
    };
    let service = ControlServer::new(service)
        .max_decoding_message_size(MESSAGE_MOST)
        .max_encoding_message_size(MESSAGE_MOST);
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
    let ended = tokio::select! {
        () = stop => Ok(()),
        served = server => served.map_err(|e| format!("listen on {listen}: {e}")),
        fault = broken => Err(format!("this replica can't go on: {fault}")),
    };
    answers.abort();
    steps.abort();
    let _ = raft.shutdown().await;
    ended
}
