//! Why a replica has not done what only a leader does.

use crate::store::NodeId;
use openraft::error::{CheckIsLeaderError, ClientWriteError, ForwardToLeader, RaftError};
use openraft::BasicNode;
use thiserror::Error;

/// A replica that does not lead, or can't tell. The request may be sent to another one.
#[derive(Clone, Debug, Error)]
#[error("{reason}")]
pub(crate) struct NotLeader {
    /// Where the leader is, if that is known.
    pub(crate) leader: Option<String>,
    /// Why this replica has not done it.
    pub(crate) reason: NotLeaderReason,
}

/// Why a replica has not done what only a leader does.
#[derive(Clone, Debug, Error)]
pub(crate) enum NotLeaderReason {
    /// Too many lease requests wait.
    #[error("too many requests at once")]
    Overloaded,
    /// It was leader when the request came.
    #[error("this replica leads no more")]
    LostLeadership,
    /// A quorum could not be reached in time, or another replica leads.
    #[error("{0}")]
    Quorum(Box<RaftError<NodeId, CheckIsLeaderError<NodeId, BasicNode>>>),
    /// A command could not be logged.
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
