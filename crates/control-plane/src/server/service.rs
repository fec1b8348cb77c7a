//! gRPC service: verifies each message, dispatches it to its handler, and authenticates the reply.

use super::requests::RequestHandler;
use crate::cross_region::CrossRegionServer;
use crate::network;
use crate::rejections::{not_leader, reject, unverified};
use crate::store::{RaftTypes, Store};
use badgerramp_control_protocol::wire::control_server::Control;
use badgerramp_control_protocol::wire::{
    rejection, reply, AuthenticatedMessage, Reply, Request, RevisionChanged,
};
use badgerramp_control_protocol::{MessageError, Purpose, SharedSecret};
use openraft::Raft;
use std::pin::Pin;
use tokio_stream::wrappers::WatchStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Response, Status};
use tracing::warn;

/// gRPC service of one replica.
pub(super) struct ControlService {
    pub(super) secret: SharedSecret,
    pub(super) store: Store,
    pub(super) raft: Raft<RaftTypes>,
    pub(super) requests: RequestHandler,
    /// `None` if no regions are configured.
    pub(super) cross_region: Option<CrossRegionServer>,
}

impl ControlService {
    fn reply(
        &self,
        purpose: Purpose,
        nonce: u64,
        kind: reply::Kind,
    ) -> Response<AuthenticatedMessage> {
        let kind = Some(kind);
        let reply = Reply { nonce, kind };
        Response::new(self.secret.authenticate(purpose, &reply))
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn call(
        &self,
        message: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let request = self.secret.verify(Purpose::Request, message.into_inner());
        let Request { nonce, kind } = request.map_err(|error: MessageError| {
            warn!(%error, "request rejected");
            unverified(&error)
        })?;
        let reply = match kind {
            Some(kind) => self.requests.answer(kind).await,
            None => reject(
                rejection::Code::Invalid,
                "the request is empty or unknown to this version",
            ),
        };
        Ok(self.reply(Purpose::Reply, nonce, reply))
    }

    type NewsStream = Pin<Box<dyn Stream<Item = Result<AuthenticatedMessage, Status>> + Send>>;

    async fn news(
        &self,
        message: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<Self::NewsStream>, Status> {
        let request: Request = self
            .secret
            .verify(Purpose::Request, message.into_inner())
            .map_err(|error| unverified(&error))?;
        let nonce = request.nonce;
        let secret = self.secret.clone();
        let revisions = WatchStream::new(self.store.revision_changes());
        let messages = revisions.map(move |revision| {
            let kind = Some(reply::Kind::RevisionChanged(RevisionChanged { revision }));
            Ok(secret.authenticate(Purpose::Reply, &Reply { nonce, kind }))
        });
        Ok(Response::new(Box::pin(messages)))
    }

    async fn replica(
        &self,
        message: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let body = self
            .secret
            .verify_bytes(Purpose::ReplicaRequest, message.into_inner())
            .map_err(|error| unverified(&error))?;
        let reply = network::answer(&self.raft, &body)
            .await
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let message = self.secret.authenticate_bytes(Purpose::ReplicaReply, reply);
        Ok(Response::new(message))
    }

    async fn region(
        &self,
        message: tonic::Request<AuthenticatedMessage>,
    ) -> Result<Response<AuthenticatedMessage>, Status> {
        let request = self
            .secret
            .verify(Purpose::RegionRequest, message.into_inner());
        let Request { nonce, kind } = request.map_err(|error: MessageError| {
            warn!(%error, "cross-region request rejected");
            unverified(&error)
        })?;
        let reply = match (&self.cross_region, kind) {
            (Some(server), Some(kind)) => server.answer(kind).await.unwrap_or_else(not_leader),
            (Some(_), None) => reject(
                rejection::Code::Invalid,
                "the request is empty or unknown to this version",
            ),
            (None, _) => reject(
                rejection::Code::OtherRegion,
                "this control plane has no region: check the replica's settings",
            ),
        };
        Ok(self.reply(Purpose::RegionReply, nonce, reply))
    }
}
