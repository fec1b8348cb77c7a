//! The types that the consensus library is used with.

use badgerramp_policy::{Command, Outcome};
use openraft::BasicNode;
use std::io::Cursor;

/// A replica's number.
pub type NodeId = u64;

openraft::declare_raft_types!(
    /// Replicas agree on a log of [`Command`]s, each of which has an [`Outcome`].
    pub RaftTypes:
        D = Command,
        R = Outcome,
        NodeId = NodeId,
        Node = BasicNode,
);
