//! A replica's store as this format's writer left it: policies in force, aborted and under way, proxies registered and
//! evicted, a change of all regions, a snapshot and the log after it. Each version opens it and finds the same.

use badgerramp_control_plane::store::{NodeId, RaftTypes, Store};
use badgerramp_policy::regions::{AllRegions, ChangeId, Region};
use badgerramp_policy::{Command, Generation, Identity, OnLeaseLoss};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt, RaftStateMachine};
use openraft::{
    BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, RaftLogReader,
    RaftSnapshotBuilder, Vote,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Compressed; see [`write_store`] for what led to it.
const STORE: &[u8] = include_bytes!("fixtures/store-with-regions.zst");
const STORE_BYTES_MOST: usize = 8 << 20;
const REPLICA: NodeId = 2;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgerramp-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn log_id(index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(3, 1), index)
}

fn entries(from: u64, payloads: Vec<EntryPayload<RaftTypes>>) -> Vec<Entry<RaftTypes>> {
    let entry = |(index, payload)| Entry {
        log_id: log_id(index),
        payload,
    };
    (from..).zip(payloads).map(entry).collect()
}

fn region(name: &str) -> Region {
    name.parse().expect("a region")
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 0xfedc_ba98_7654_3210,
    }
}

fn publish(revision: u64, text: &str, floors: &[u64], all_regions: Option<AllRegions>) -> Command {
    let floors = floors.iter().copied().map(Generation).collect();
    Command::Publish {
        revision,
        text: text.to_owned(),
        fallback_generations: floors,
        all_regions,
    }
}

/// What the snapshot holds.
fn before_the_snapshot() -> Vec<EntryPayload<RaftTypes>> {
    let nodes: BTreeMap<NodeId, BasicNode> = (1..=3)
        .map(|id| (id, BasicNode::new(format!("127.0.0.1:740{id}"))))
        .collect();
    let voters: BTreeSet<NodeId> = nodes.keys().copied().collect();
    let membership = Membership::new(vec![voters], nodes);
    let commands = [
        publish(0, r#"{"caja":"one"}"#, &[], None),
        Command::Register {
            identity: identity("caja"),
            on_lease_loss: OnLeaseLoss::Fallback,
        },
        Command::Register {
            identity: identity("puerta"),
            on_lease_loss: OnLeaseLoss::Keep,
        },
        Command::Register {
            identity: identity("gone"),
            on_lease_loss: OnLeaseLoss::Keep,
        },
        Command::Evict {
            identity: identity("gone"),
        },
        publish(1, r#"{"caja":"two"}"#, &[1], None),
        Command::Abort {
            revision: 2,
            reason: "unread".to_owned(),
        },
        publish(3, r#"{"caja":"three"}"#, &[1], None),
        Command::Advance { revision: 4 },
        Command::RecordActive {
            revision: 5,
            proxies: BTreeSet::from([identity("caja")]),
        },
    ];
    let mut payloads = vec![EntryPayload::Membership(membership), EntryPayload::Blank];
    payloads.extend(commands.map(EntryPayload::Normal));
    payloads
}

/// What only the log holds: a change of all regions that waits for one of two votes.
fn after_the_snapshot() -> Vec<EntryPayload<RaftTypes>> {
    let all_regions = AllRegions {
        id: ChangeId(0x1122_3344_5566_7788),
        coordinator: region("norte"),
        participants: BTreeSet::from([region("oeste"), region("sur")]),
    };
    let commands = [
        publish(5, r#"{"caja":"four"}"#, &[3], Some(all_regions)),
        Command::Prepared {
            revision: 6,
            region: region("sur"),
        },
        Command::Unregister {
            identity: identity("puerta"),
        },
    ];
    commands.map(EntryPayload::Normal).into()
}

/// Writes a store as the one of the fixture was written.
async fn write_store(path: &Path) {
    Store::create(path, REPLICA).expect("a store");
    let mut store = Store::open(path, REPLICA).expect("the store");
    store
        .save_vote(&Vote::new_committed(3, 1))
        .await
        .expect("the vote");
    let first = entries(0, before_the_snapshot());
    let snapshot_at = first.len() as u64 - 1;
    store.blocking_append(first.clone()).await.expect("the log");
    store.apply(first).await.expect("applied");
    store.build_snapshot().await.expect("a snapshot");
    let second = entries(snapshot_at + 1, after_the_snapshot());
    store.blocking_append(second).await.expect("the log");
    store.purge(log_id(snapshot_at - 3)).await.expect("purged");
    store
        .save_committed(Some(log_id(snapshot_at + 2)))
        .await
        .expect("committed");
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("it can be written")
}

/// All that a store holds, and the record that its log leads to.
async fn contents(path: &Path) -> String {
    let mut store = Store::open(path, REPLICA).expect("the store");
    let mut text = String::new();
    let mut line =
        |name: &str, value: String| writeln!(text, "{name}: {value}").expect("written to memory");
    line("vote", json(&store.read_vote().await.expect("the vote")));
    line(
        "committed",
        json(&store.read_committed().await.expect("committed")),
    );
    let state = store.get_log_state().await.expect("the state");
    line("purged", json(&state.last_purged_log_id));
    line("last", json(&state.last_log_id));
    let (applied, membership) = store.applied_state().await.expect("applied");
    line("applied", json(&applied));
    line("membership", json(&membership));
    line("record of the snapshot", json(&store.record()));
    let entries = store.try_get_log_entries(..).await.expect("the log");
    for entry in &entries {
        line("entry", json(entry));
    }
    let after = applied.map_or(0, |applied| applied.index + 1);
    let rest: Vec<_> = entries
        .into_iter()
        .filter(|entry| entry.log_id.index >= after)
        .collect();
    let outcomes = store.apply(rest).await.expect("applied");
    line("outcomes", json(&outcomes));
    line("record of the log", json(&store.record()));
    let snapshot = store
        .get_current_snapshot()
        .await
        .expect("readable")
        .expect("one");
    line("snapshot", json(&snapshot.meta));
    text
}

#[tokio::test]
async fn a_store_of_an_older_build_is_read_in_full() {
    let folder = Folder::new("stored-state-read");
    let path = folder.0.join("store");
    let store = zstd::bulk::decompress(STORE, STORE_BYTES_MOST).expect("a store");
    std::fs::write(&path, store).expect("a file");
    insta::assert_snapshot!("store_with_regions", contents(&path).await);
}

#[tokio::test]
async fn a_store_written_now_holds_what_an_older_build_wrote() {
    let folder = Folder::new("stored-state-written");
    let path = folder.0.join("store");
    write_store(&path).await;
    insta::assert_snapshot!("store_with_regions", contents(&path).await);
}
