//! Messages between the replicas of one control plane: the consensus library's messages as JSON, authenticated.

use crate::store::{NodeId, RaftTypes};
use badgerramp_control_protocol::wire::control_client::ControlClient;
use badgerramp_control_protocol::{connect_lazy, Purpose, SharedSecret};
use openraft::error::{
    InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable,
};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, Raft};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::io;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// Longest time to establish a connection to another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Address used instead of an invalid one: the discard port, on which no process listens.
const UNREACHABLE_ENDPOINT: &str = "http://127.0.0.1:9";

/// A request of one replica to another. The variant names are part of the message format.
#[derive(Serialize, Deserialize)]
enum RaftRequest {
    Append(AppendEntriesRequest<RaftTypes>),
    Vote(VoteRequest<NodeId>),
    Snapshot(InstallSnapshotRequest<RaftTypes>),
}

/// Creates connections to the other replicas.
pub(crate) struct Network {
    /// Secret for the authentication of messages.
    pub(crate) secret: SharedSecret,
}

/// A connection to one replica.
pub(crate) struct Connection {
    secret: SharedSecret,
    target: NodeId,
    client: ControlClient<Channel>,
}

impl RaftNetworkFactory<RaftTypes> for Network {
    type Network = Connection;

    async fn new_client(&mut self, target: NodeId, node: &BasicNode) -> Connection {
        let endpoint = Endpoint::from_shared(format!("http://{}", node.addr))
            .unwrap_or_else(|_| Endpoint::from_static(UNREACHABLE_ENDPOINT))
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT);
        Connection {
            secret: self.secret.clone(),
            target,
            client: connect_lazy(&endpoint),
        }
    }
}

/// Error of a call to another replica; `E` is the error that the other replica may return.
type CallError<E> = RPCError<NodeId, BasicNode, E>;

fn network_error<E: Error>(error: &(impl Error + 'static)) -> CallError<E> {
    RPCError::Network(NetworkError::new(error))
}

impl Connection {
    async fn call<T, E>(
        &mut self,
        request: RaftRequest,
        option: RPCOption,
    ) -> Result<T, CallError<RaftError<NodeId, E>>>
    where
        T: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        let body = serde_json::to_vec(&request).map_err(|error| network_error(&error))?;
        let message = self
            .secret
            .authenticate_bytes(Purpose::ReplicaRequest, body);
        let response = tokio::time::timeout(option.hard_ttl(), self.client.replica(message)).await;
        let Ok(response) = response else {
            let error =
                io::Error::new(io::ErrorKind::TimedOut, "the replica did not reply in time");
            return Err(network_error(&error));
        };
        let message = response
            .map_err(|status| RPCError::Unreachable(Unreachable::new(&status)))?
            .into_inner();
        let body = self
            .secret
            .verify_bytes(Purpose::ReplicaReply, message)
            .map_err(|error| network_error(&error))?;
        let reply: Result<T, RaftError<NodeId, E>> =
            serde_json::from_slice(&body).map_err(|error| network_error(&error))?;
        reply.map_err(|error| RPCError::RemoteError(RemoteError::new(self.target, error)))
    }
}

impl RaftNetwork<RaftTypes> for Connection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, CallError<RaftError<NodeId>>> {
        self.call(RaftRequest::Append(rpc), option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<NodeId>, CallError<RaftError<NodeId, InstallSnapshotError>>>
    {
        self.call(RaftRequest::Snapshot(rpc), option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, CallError<RaftError<NodeId>>> {
        self.call(RaftRequest::Vote(rpc), option).await
    }
}

/// Handles a request of another replica. The caller has verified the authenticity of `body`.
///
/// # Errors
/// Returns an error if this version does not know the request, or if the reply cannot be encoded.
pub(crate) async fn answer(
    raft: &Raft<RaftTypes>,
    body: &[u8],
) -> Result<Vec<u8>, serde_json::Error> {
    match serde_json::from_slice(body)? {
        RaftRequest::Append(rpc) => serde_json::to_vec(&raft.append_entries(rpc).await),
        RaftRequest::Vote(rpc) => serde_json::to_vec(&raft.vote(rpc).await),
        RaftRequest::Snapshot(rpc) => serde_json::to_vec(&raft.install_snapshot(rpc).await),
    }
}

#[cfg(test)]
mod tests;
