//! JSON format of the messages between replicas. During an upgrade a group has replicas of an older and of a newer
//! version, so the format must not change.

use super::RaftRequest;
use crate::store::{NodeId, RaftTypes};
use badgerramp_policy::{Command, Identity, OnLeaseLoss};
use openraft::error::{Fatal, InstallSnapshotError, RaftError, SnapshotMismatch};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{
    BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, SnapshotMeta,
    SnapshotSegmentId, StoredMembership, Vote,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

fn log_id(index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(3, 1), index)
}

fn membership() -> Membership<NodeId, BasicNode> {
    let node = |id| (id, BasicNode::new(format!("127.0.0.1:740{id}")));
    Membership::new(
        vec![BTreeSet::from([1, 2, 3])],
        (1..=3).map(node).collect::<BTreeMap<_, _>>(),
    )
}

/// Returns the JSON of a value, after checking that it survives a round trip.
fn json<T: Serialize + DeserializeOwned>(value: &T) -> String {
    let text = serde_json::to_string(value).expect("the value serializes");
    let decoded: T = serde_json::from_str(&text).expect("the JSON deserializes");
    assert_eq!(
        serde_json::to_string(&decoded).expect("the value serializes"),
        text
    );
    text
}

#[test]
fn requests_between_replicas_keep_their_json() {
    let identity = Identity {
        name: "caja".to_owned(),
        incarnation: 7,
    };
    let payloads = [
        EntryPayload::Blank,
        EntryPayload::Normal(Command::Register {
            identity,
            on_lease_loss: OnLeaseLoss::Keep,
        }),
        EntryPayload::Membership(membership()),
    ];
    let entries = payloads.into_iter().zip(5..);
    let append = AppendEntriesRequest::<RaftTypes> {
        vote: Vote::new_committed(3, 1),
        prev_log_id: Some(log_id(4)),
        entries: entries
            .map(|(payload, index)| Entry {
                log_id: log_id(index),
                payload,
            })
            .collect(),
        leader_commit: Some(log_id(3)),
    };
    let snapshot = InstallSnapshotRequest::<RaftTypes> {
        vote: Vote::new_committed(3, 1),
        meta: SnapshotMeta {
            last_log_id: Some(log_id(9)),
            last_membership: StoredMembership::new(Some(log_id(0)), membership()),
            snapshot_id: "3-1-9".to_owned(),
        },
        offset: 12,
        data: vec![1, 2, 3],
        done: true,
    };
    let requests = [
        RaftRequest::Append(append),
        RaftRequest::Vote(VoteRequest::new(Vote::new(4, 2), Some(log_id(9)))),
        RaftRequest::Snapshot(snapshot),
    ];
    insta::assert_snapshot!(requests.each_ref().map(json).join("\n"));
}

#[test]
fn replies_between_replicas_keep_their_json() {
    type Appended = Result<AppendEntriesResponse<NodeId>, RaftError<NodeId>>;
    type Voted = Result<VoteResponse<NodeId>, RaftError<NodeId>>;
    type Installed =
        Result<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>>;
    let mismatch = SnapshotMismatch {
        expect: SnapshotSegmentId {
            id: "3-1-9".to_owned(),
            offset: 0,
        },
        got: SnapshotSegmentId {
            id: "3-1-9".to_owned(),
            offset: 12,
        },
    };
    let replies = [
        json::<Appended>(&Ok(AppendEntriesResponse::Success)),
        json::<Appended>(&Ok(AppendEntriesResponse::PartialSuccess(Some(log_id(4))))),
        json::<Appended>(&Ok(AppendEntriesResponse::Conflict)),
        json::<Appended>(&Ok(AppendEntriesResponse::HigherVote(Vote::new(4, 2)))),
        json::<Appended>(&Err(RaftError::Fatal(Fatal::Stopped))),
        json::<Voted>(&Ok(VoteResponse::new(
            Vote::new(4, 2),
            Some(log_id(9)),
            true,
        ))),
        json::<Installed>(&Ok(InstallSnapshotResponse {
            vote: Vote::new_committed(3, 1),
        })),
        json::<Installed>(&Err(RaftError::APIError(
            InstallSnapshotError::SnapshotMismatch(mismatch),
        ))),
    ];
    insta::assert_snapshot!(replies.join("\n"));
}
