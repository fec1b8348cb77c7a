//! Between replicas: the consensus library's messages as JSON under a seal.

use crate::store::{NodeId, RaftTypes};
use badgerramp_control_protocol::wire::control_client::ControlClient;
use badgerramp_control_protocol::{Purpose, SharedSecret, MAX_MESSAGE_BYTES};
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
use tonic::transport::{Channel, Endpoint};

/// A question of one replica to another.
#[derive(Serialize, Deserialize)]
enum RaftRequest {
    Append(AppendEntriesRequest<RaftTypes>),
    Vote(VoteRequest<NodeId>),
    Snapshot(InstallSnapshotRequest<RaftTypes>),
}

/// Opens ways to other replicas.
pub(crate) struct Network {
    pub secret: SharedSecret,
}

/// The way to one.
pub(crate) struct Connection {
    secret: SharedSecret,
    target: NodeId,
    client: ControlClient<Channel>,
}

impl RaftNetworkFactory<RaftTypes> for Network {
    type Network = Connection;

    async fn new_client(&mut self, target: NodeId, node: &BasicNode) -> Connection {
        let endpoint = Endpoint::from_shared(format!("http://{}", node.addr))
            .unwrap_or_else(|_| Endpoint::from_static("http://127.0.0.1:9"))
            .tcp_nodelay(true)
            .connect_timeout(std::time::Duration::from_millis(500));
        let client = ControlClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Connection {
            secret: self.secret.clone(),
            target,
            client,
        }
    }
}

impl Connection {
    async fn ask<T: DeserializeOwned, E: Error + DeserializeOwned>(
        &mut self,
        asked: RaftRequest,
        option: RPCOption,
    ) -> Result<T, RPCError<NodeId, BasicNode, RaftError<NodeId, E>>> {
        let odd = |fault: String| RPCError::Network(NetworkError::new(&io::Error::other(fault)));
        let body = serde_json::to_vec(&asked).map_err(|e| odd(e.to_string()))?;
        let sealed = self
            .secret
            .authenticate_bytes(Purpose::ReplicaRequest, body);
        let answer = tokio::time::timeout(option.hard_ttl(), self.client.replica(sealed)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                let fault = io::Error::other(status.message().to_owned());
                return Err(RPCError::Unreachable(Unreachable::new(&fault)));
            }
            Err(_) => return Err(odd("no answer in time".to_owned())),
        };
        let body = self
            .secret
            .verify_bytes(Purpose::ReplicaReply, answer)
            .map_err(|e| odd(e.to_string()))?;
        let answer: Result<T, RaftError<NodeId, E>> =
            serde_json::from_slice(&body).map_err(|e| odd(e.to_string()))?;
        answer.map_err(|fault| RPCError::RemoteError(RemoteError::new(self.target, fault)))
    }
}

impl RaftNetwork<RaftTypes> for Connection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, RPCError<NodeId, BasicNode, RaftError<NodeId>>> {
        self.ask(RaftRequest::Append(rpc), option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<
        InstallSnapshotResponse<NodeId>,
        RPCError<NodeId, BasicNode, RaftError<NodeId, InstallSnapshotError>>,
    > {
        self.ask(RaftRequest::Snapshot(rpc), option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, RPCError<NodeId, BasicNode, RaftError<NodeId>>> {
        self.ask(RaftRequest::Vote(rpc), option).await
    }
}

/// Answers another replica. `body` has passed its seal.
///
/// # Errors
/// If it is no question.
pub(crate) async fn answer(raft: &Raft<RaftTypes>, body: &[u8]) -> Result<Vec<u8>, String> {
    let asked = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let answer = match asked {
        RaftRequest::Append(rpc) => serde_json::to_vec(&raft.append_entries(rpc).await),
        RaftRequest::Vote(rpc) => serde_json::to_vec(&raft.vote(rpc).await),
        RaftRequest::Snapshot(rpc) => serde_json::to_vec(&raft.install_snapshot(rpc).await),
    };
    answer.map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
