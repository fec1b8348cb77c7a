//! Compatibility of the store format: a stored fixture has committed, aborted and pending policies, registered and evicted
//! proxies, a cross-region change, a snapshot, and log entries after it. Each version has to read the same contents.

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

/// Compressed store that [`write_store`] of an older version has written.
const STORE: &[u8] = include_bytes!("fixtures/store-with-regions.zst");
/// Maximum size of the decompressed store, in bytes.
const MAX_STORE_BYTES: usize = 8 << 20;
const REPLICA: NodeId = 2;

/// A temporary directory, which is removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgerramp-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn log_id(index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(3, 1), index)
}

fn entries(first_index: u64, payloads: Vec<EntryPayload<RaftTypes>>) -> Vec<Entry<RaftTypes>> {
    let entry = |(index, payload)| Entry {
        log_id: log_id(index),
        payload,
    };
    (first_index..).zip(payloads).map(entry).collect()
}

fn region(name: &str) -> Region {
    name.parse().expect("a valid region name")
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 0xfedc_ba98_7654_3210,
    }
}

fn publish(
    revision: u64,
    text: &str,
    fallback_generations: &[u64],
    all_regions: Option<AllRegions>,
) -> Command {
    let fallback_generations = fallback_generations
        .iter()
        .copied()
        .map(Generation)
        .collect();
    Command::Publish {
        revision,
        text: text.to_owned(),
        fallback_generations,
        all_regions,
    }
}

/// Returns the log entries that the snapshot contains.
fn entries_in_snapshot() -> Vec<EntryPayload<RaftTypes>> {
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

/// Returns the log entries after the snapshot, which start a cross-region change that waits for one of two votes.
fn entries_after_snapshot() -> Vec<EntryPayload<RaftTypes>> {
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

/// Writes a store with the contents of the fixture.
async fn write_store(path: &Path) {
    Store::create(path, REPLICA).expect("a store");
    let mut store = Store::open(path, REPLICA).expect("the store");
    store
        .save_vote(&Vote::new_committed(3, 1))
        .await
        .expect("the vote");
    let snapshot_entries = entries(0, entries_in_snapshot());
    let snapshot_index = snapshot_entries.len() as u64 - 1;
    store
        .blocking_append(snapshot_entries.clone())
        .await
        .expect("the log");
    store.apply(snapshot_entries).await.expect("applied");
    store.build_snapshot().await.expect("a snapshot");
    let later_entries = entries(snapshot_index + 1, entries_after_snapshot());
    store.blocking_append(later_entries).await.expect("the log");
    store
        .purge(log_id(snapshot_index - 3))
        .await
        .expect("purged");
    store
        .save_committed(Some(log_id(snapshot_index + 2)))
        .await
        .expect("committed");
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the value serializes")
}

/// Returns the contents of a store and the record after its whole log has been applied, as text.
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
    let log_state = store.get_log_state().await.expect("the log state");
    line("purged", json(&log_state.last_purged_log_id));
    line("last", json(&log_state.last_log_id));
    let (applied, membership) = store.applied_state().await.expect("applied");
    line("applied", json(&applied));
    line("membership", json(&membership));
    line("record of the snapshot", json(&store.record()));
    let entries = store.try_get_log_entries(..).await.expect("the log");
    for entry in &entries {
        line("entry", json(entry));
    }
    let first_unapplied = applied.map_or(0, |applied| applied.index + 1);
    let unapplied: Vec<_> = entries
        .into_iter()
        .filter(|entry| entry.log_id.index >= first_unapplied)
        .collect();
    let outcomes = store.apply(unapplied).await.expect("applied");
    line("outcomes", json(&outcomes));
    line("record of the log", json(&store.record()));
    let snapshot = store
        .get_current_snapshot()
        .await
        .expect("the snapshots are readable")
        .expect("there is a snapshot");
    line("snapshot", json(&snapshot.meta));
    text
}

#[tokio::test]
async fn a_store_of_an_older_build_is_read_in_full() {
    let directory = TempDirectory::new("stored-state-read");
    let path = directory.0.join("store");
    let store = zstd::bulk::decompress(STORE, MAX_STORE_BYTES).expect("a store");
    std::fs::write(&path, store).expect("a file");
    insta::assert_snapshot!("store_with_regions", contents(&path).await);
}

#[tokio::test]
async fn a_store_written_now_holds_what_an_older_build_wrote() {
    let directory = TempDirectory::new("stored-state-written");
    let path = directory.0.join("store");
    write_store(&path).await;
    insta::assert_snapshot!("store_with_regions", contents(&path).await);
}
