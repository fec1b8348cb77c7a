//! How control stands, as it tells operators.

use crate::settings::RegionSettings;
use badgerramp_control_protocol::wire::{self, change};
use badgerramp_policy::regions::{CrossRegionChange, Region, Role};
use badgerramp_policy::{
    BlockReason, Blocker, Change, ChangeStatus, Generation, Identity, Micros, OnLeaseLoss, Record,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a status is made of.
pub(crate) struct View<'r> {
    /// What is agreed on.
    pub record: &'r Record,
    /// Which proxies hold the change under way up.
    pub blockers: Vec<Blocker>,
    /// The revision under which each proxy with a lease acts.
    pub sessions: BTreeMap<Identity, u64>,
    /// The regions, if there are any.
    pub regions: Option<&'r RegionSettings>,
    /// Where the replica that answers is reached.
    pub address: &'r str,
    /// The time.
    pub now: Micros,
}

impl View<'_> {
    /// As it travels.
    pub(crate) fn status(self) -> wire::Status {
        let proxies = proxies(self.record, self.sessions);
        let held_by_proxies = self
            .blockers
            .into_iter()
            .map(|b| proxy_blocker(b, self.now));
        let held_by_regions = self
            .record
            .cross_region()
            .map(region_blockers)
            .unwrap_or_default();
        wire::Status {
            mode: self.record.mode().map(Into::into),
            changes: self
                .record
                .changes()
                .iter()
                .map(|(g, c)| change(*g, c))
                .collect(),
            blockers: held_by_proxies.chain(held_by_regions).collect(),
            proxies,
            leader: self.address.to_owned(),
            revision: self.record.revision(),
            region: self
                .regions
                .map(|regions| region_status(self.record, regions)),
        }
    }
}

fn proxy_blocker(blocker: Blocker, now: Micros) -> wire::Blocker {
    let (reason, remaining) = match blocker.reason {
        BlockReason::Lease(until) if blocker.identity.is_none() => (
            "a leader before this one may have lent to any proxy".to_owned(),
            until.saturating_sub(now),
        ),
        BlockReason::Lease(until) => (
            "it has not told that it acts under it, and its lease runs".to_owned(),
            until.saturating_sub(now),
        ),
        BlockReason::ServesWithoutLease => (
            "it goes on without a lease, and has not told that it acts under it".to_owned(),
            0,
        ),
        BlockReason::GenerationRejected(reason) => (format!("it can't read it: {reason}"), 0),
    };
    let region = String::new();
    wire::Blocker {
        identity: blocker.identity.map(Into::into),
        reason,
        remaining,
        region,
    }
}

/// The regions whose word a change of all regions waits for.
fn region_blockers(cross: &CrossRegionChange) -> Vec<wire::Blocker> {
    let why = match cross.role {
        Role::Coordinator { .. } => "it has not voted that it is prepared",
        Role::Participant { voted: true } => {
            "this region has voted, and that one has not told its decision"
        }
        Role::Participant { voted: false } => return Vec::new(),
    };
    let held = |region: Region| wire::Blocker {
        region: region.into(),
        reason: why.to_owned(),
        ..Default::default()
    };
    cross.awaited_regions().into_iter().map(held).collect()
}

fn change(generation: Generation, change: &Change) -> wire::Change {
    let (status, reason) = match &change.status {
        ChangeStatus::Pending => (change::Status::Pending, String::new()),
        ChangeStatus::Committed => (change::Status::Committed, String::new()),
        ChangeStatus::Aborted { reason } => (change::Status::Aborted, reason.clone()),
    };
    wire::Change {
        generation: generation.0,
        previous_generation: change.from.0,
        status: status.into(),
        reason,
        cross_region_id: change.id.map_or(0, |id| id.0),
    }
}

fn proxies(record: &Record, sessions: BTreeMap<Identity, u64>) -> Vec<wire::Proxy> {
    let standing = record
        .leaseless_proxies()
        .iter()
        .map(|(i, s)| (i.clone(), (s.on_lease_loss, s.revision)));
    let mut proxies: BTreeMap<Identity, (OnLeaseLoss, u64)> = standing.collect();
    for (identity, acting) in sessions {
        let known = proxies
            .entry(identity)
            .or_insert((OnLeaseLoss::Reject, acting));
        known.1 = known.1.max(acting);
    }
    let told = proxies
        .into_iter()
        .map(|(identity, (cut_off, acting))| wire::Proxy {
            identity: Some(identity.into()),
            active_revision: acting,
            on_lease_loss: wire::OnLeaseLoss::from(cut_off).into(),
        });
    told.collect()
}

fn region_status(record: &Record, settings: &RegionSettings) -> wire::RegionStatus {
    let replicas = settings.coordinator_replicas().unwrap_or_default();
    wire::RegionStatus {
        name: settings.regions.own().to_string(),
        coordinator: settings.regions.coordinator().to_string(),
        coordinator_replicas: replicas.iter().map(SocketAddr::to_string).collect(),
        change: under_way(record).or_else(|| unacknowledged(record, settings)),
    }
}

/// The change of all regions that is under way here.
fn under_way(record: &Record) -> Option<wire::CrossRegion> {
    let CrossRegionChange { change, role } = record.cross_region()?;
    let (voted, participants) = match role {
        Role::Participant { voted } => (*voted, Vec::new()),
        Role::Coordinator {
            participants,
            prepared,
        } => (
            false,
            participants
                .iter()
                .map(|region| participant(region, prepared, &BTreeSet::new()))
                .collect(),
        ),
    };
    Some(wire::CrossRegion {
        id: change.id.0,
        generation: record.transition().map_or(0, |middle| middle.new.0),
        coordinator: change.coordinator.to_string(),
        voted,
        participants,
    })
}

/// The change of all regions that is in force here, and that not all regions have acknowledged.
fn unacknowledged(record: &Record, settings: &RegionSettings) -> Option<wire::CrossRegion> {
    let commit = record.unacknowledged_commit()?;
    let all: BTreeSet<Region> = settings
        .regions
        .others()
        .union(&commit.regions)
        .cloned()
        .collect();
    let acknowledged = all.difference(&commit.regions).cloned().collect();
    Some(wire::CrossRegion {
        id: commit.change.id.0,
        generation: commit.change.generation.0,
        coordinator: commit.change.coordinator.to_string(),
        voted: false,
        participants: all
            .iter()
            .map(|region| participant(region, &all, &acknowledged))
            .collect(),
    })
}

fn participant(
    region: &Region,
    prepared: &BTreeSet<Region>,
    acknowledged: &BTreeSet<Region>,
) -> wire::ParticipantStatus {
    wire::ParticipantStatus {
        region: region.to_string(),
        prepared: prepared.contains(region),
        acknowledged: acknowledged.contains(region),
    }
}
