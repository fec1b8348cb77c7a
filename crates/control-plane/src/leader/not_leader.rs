//! Errors of operations that only the leader can carry out.

use crate::store::NodeId;
use openraft::error::{CheckIsLeaderError, ClientWriteError, ForwardToLeader, RaftError};
use openraft::BasicNode;
use thiserror::Error;

/// Error of a replica that does not lead, or cannot confirm that it does. The request may be sent to another replica.
#[derive(Clone, Debug, Error)]
#[error("{reason}")]
pub(crate) struct NotLeader {
    /// Address of the leader, if it is known.
    pub(crate) leader: Option<String>,
    /// Why this replica has not carried out the operation.
    pub(crate) reason: NotLeaderReason,
}

/// Why a replica has not carried out an operation that only the leader can.
#[derive(Clone, Debug, Error)]
pub(crate) enum NotLeaderReason {
    /// The queue of lease requests is full, or the task that answers them has stopped.
    #[error("too many lease requests are queued")]
    Overloaded,
    /// The replica led when the request arrived, but has lost leadership since.
    #[error("this replica has lost leadership")]
    LostLeadership,
    /// No quorum confirmed leadership in time, or another replica leads.
    #[error("{0}")]
    Quorum(Box<RaftError<NodeId, CheckIsLeaderError<NodeId, BasicNode>>>),
    /// A command could not be committed.
    #[error("{0}")]
    Write(Box<RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>>),
}

impl From<NotLeaderReason> for NotLeader {
    fn from(reason: NotLeaderReason) -> Self {
        let forward = match &reason {
            NotLeaderReason::Quorum(error) => error.forward_to_leader(),
            NotLeaderReason::Write(error) => error.forward_to_leader(),
            NotLeaderReason::Overloaded | NotLeaderReason::LostLeadership => None,
        };
        let node = forward.and_then(|forward: &ForwardToLeader<_, _>| forward.leader_node.as_ref());
        let leader = node.map(|node| node.addr.clone());
        NotLeader { leader, reason }
    }
}

impl From<RaftError<NodeId, CheckIsLeaderError<NodeId, BasicNode>>> for NotLeader {
    fn from(error: RaftError<NodeId, CheckIsLeaderError<NodeId, BasicNode>>) -> Self {
        NotLeaderReason::Quorum(Box::new(error)).into()
    }
}

impl From<RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>> for NotLeader {
    fn from(error: RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>) -> Self {
        NotLeaderReason::Write(Box::new(error)).into()
    }
}
