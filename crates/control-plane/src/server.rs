//! Server of a replica: starts its tasks and services, and runs them until it is stopped or fails.

mod error;
mod requests;
mod service;

pub use error::ServerError;

use crate::cross_region::{CrossRegionClient, CrossRegionServer};
use crate::leader::{Leader, PendingLeaseRequests};
use crate::network::Network;
use crate::settings::Settings;
use crate::store::{NodeId, RaftTypes, Store};
use badgerramp_control_protocol::wire::control_server::ControlServer;
use badgerramp_control_protocol::MAX_MESSAGE_BYTES;
use openraft::error::Fatal;
use openraft::{BasicNode, Config, ConfigError, Raft, SnapshotPolicy};
use requests::RequestHandler;
use service::ControlService;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_stream::wrappers::TcpListenerStream;
use tracing::info;

/// Number of log entries after which a snapshot is taken, and of entries that are kept in addition to it.
const LOG_ENTRIES_PER_SNAPSHOT: u64 = 500;
/// Number of heartbeats per shortest election timeout.
const HEARTBEATS_PER_ELECTION: u64 = 5;
/// Shortest time between two heartbeats, in milliseconds.
const MIN_HEARTBEAT_MS: u64 = 20;
/// Longest transfer time of a snapshot, in election timeouts.
const SNAPSHOT_TIMEOUT_ELECTIONS: u64 = 10;
/// Maximum size of a snapshot chunk per message. JSON encodes the bytes as a list of numbers, with up to four bytes for
/// each.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 * 1024;

/// Runs a replica until `stop` resolves.
///
/// # Errors
/// Returns an error if the replica cannot start or has to stop, for example because of its store or its listener. See
/// [`ServerError`].
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), ServerError> {
    let store = Store::open(&settings.store, settings.replica).map_err(|source| {
        let path = settings.store.clone();
        let source = Box::new(source);
        ServerError::Store { path, source }
    })?;
    let (listener, address) = listen(settings.listen).await?;
    let raft = start_raft(&settings, &store).await?;
    initialize(&settings, &raft).await?;
    let (leader, lease_requests) = Leader::new(raft.clone(), store.clone(), &settings);
    let leader = Arc::new(leader);
    let mut tasks = spawn_tasks(&settings, &store, &leader, lease_requests);
    let service = ControlServer::new(service(&settings, store, &raft, leader))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    info!(replica = settings.replica, "listening on {address}");
    let serving = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    let result = tokio::select! {
        () = stop => Ok(()),
        served = serving => served.map_err(|source| ServerError::Serve { address, source }),
        error = raft_failure(&raft) => Err(ServerError::Stopped(Box::new(error))),
    };
    tasks.abort_all();
    let _ = raft.shutdown().await;
    result
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ServerError> {
    let failed = |source| ServerError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn raft_config(election_timeout: Duration) -> Result<Config, Box<ConfigError>> {
    let election = millis(election_timeout);
    let config = Config {
        cluster_name: "badgerramp".to_owned(),
        heartbeat_interval: (election / HEARTBEATS_PER_ELECTION).max(MIN_HEARTBEAT_MS),
        election_timeout_min: election,
        election_timeout_max: 2 * election,
        install_snapshot_timeout: SNAPSHOT_TIMEOUT_ELECTIONS * election,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(LOG_ENTRIES_PER_SNAPSHOT),
        max_in_snapshot_log_to_keep: LOG_ENTRIES_PER_SNAPSHOT,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        ..Config::default()
    };
    Ok(config.validate()?)
}

async fn start_raft(settings: &Settings, store: &Store) -> Result<Raft<RaftTypes>, ServerError> {
    let config = Arc::new(raft_config(settings.election_timeout)?);
    let network = Network {
        secret: settings.secret.clone(),
    };
    let (log, state_machine) = (store.clone(), store.clone());
    Raft::new(settings.replica, config, network, log, state_machine)
        .await
        .map_err(|source| {
            let path = settings.store.clone();
            let source = Box::new(source);
            ServerError::StartRaft { path, source }
        })
}

/// Initializes the cluster membership of a replica that has never run. A replica that has run has it in its store.
async fn initialize(settings: &Settings, raft: &Raft<RaftTypes>) -> Result<(), ServerError> {
    let initialized = raft.is_initialized().await;
    if initialized.map_err(|error| ServerError::Uninitialized(Box::new(error)))? {
        return Ok(());
    }
    let members: BTreeMap<NodeId, BasicNode> = settings
        .replicas
        .iter()
        .map(|(&id, address)| (id, BasicNode::new(address.to_string())))
        .collect();
    if let Err(error) = raft.initialize(members).await {
        info!(%error, "cluster already initialized");
    }
    Ok(())
}

fn spawn_tasks(
    settings: &Settings,
    store: &Store,
    leader: &Arc<Leader>,
    lease_requests: PendingLeaseRequests,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let lease_leader = Arc::clone(leader);
    tasks.spawn(async move { lease_leader.answer_lease_requests(lease_requests).await });
    let change_leader = Arc::clone(leader);
    tasks.spawn(async move { change_leader.run_changes().await });
    if let Some(regions) = settings.regions.clone() {
        let client = CrossRegionClient {
            settings: regions,
            leader: Arc::clone(leader),
            store: store.clone(),
            secret: settings.secret.clone(),
        };
        tasks.spawn(client.run());
    }
    tasks
}

fn service(
    settings: &Settings,
    store: Store,
    raft: &Raft<RaftTypes>,
    leader: Arc<Leader>,
) -> ControlService {
    let cross_region = settings.regions.as_ref().map(|regions| CrossRegionServer {
        regions: regions.regions.clone(),
        leader: Arc::clone(&leader),
        store: store.clone(),
    });
    let requests = RequestHandler {
        store: store.clone(),
        leader,
        address: settings.replicas[&settings.replica].to_string(),
        regions: settings.regions.clone(),
    };
    ControlService {
        secret: settings.secret.clone(),
        store,
        raft: raft.clone(),
        requests,
        cross_region,
    }
}

/// Waits until the consensus library stops because of an error.
async fn raft_failure(raft: &Raft<RaftTypes>) -> Fatal<NodeId> {
    let mut metrics = raft.metrics();
    loop {
        if let Err(error) = metrics.borrow_and_update().running_state.clone() {
            return error;
        }
        if metrics.changed().await.is_err() {
            return Fatal::Stopped;
        }
    }
}
