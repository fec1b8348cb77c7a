//! Type configuration of the consensus library.

use badgerramp_policy::{Command, Outcome};
use openraft::BasicNode;
use std::io::Cursor;

/// Number of a replica.
pub type NodeId = u64;

openraft::declare_raft_types!(
    /// Replicas agree on a log of [`Command`]s, each of which has an [`Outcome`].
    pub RaftTypes:
        D = Command,
        R = Outcome,
        NodeId = NodeId,
        Node = BasicNode,
);
