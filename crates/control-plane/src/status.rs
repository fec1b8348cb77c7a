//! Status of the control plane, as reported to operators.

use crate::leader::ProxyView;
use crate::settings::RegionSettings;
use badgerramp_control_protocol::wire::{self, change};
use badgerramp_policy::regions::{CrossRegionChange, Region, Role};
use badgerramp_policy::{
    BlockReason, Blocker, Change, ChangeStatus, Generation, Identity, Micros, OnLeaseLoss, Record,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Inputs of a status report.
pub(crate) struct View<'r> {
    /// The replicated state.
    pub(crate) record: &'r Record,
    /// The leader's view of the proxies.
    pub(crate) proxies: ProxyView,
    /// Settings for regions, if they are configured.
    pub(crate) regions: Option<&'r RegionSettings>,
    /// Address of the replica that reports.
    pub(crate) address: &'r str,
    /// The current time.
    pub(crate) now: Micros,
}

impl View<'_> {
    /// Returns the status message.
    pub(crate) fn status(self) -> wire::Status {
        let ProxyView { blockers, sessions } = self.proxies;
        let proxies = proxies(self.record, sessions);
        let proxy_blockers = blockers
            .into_iter()
            .map(|blocker| proxy_blocker(blocker, self.now));
        let region_blockers = self
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
                .map(|(generation, entry)| change(*generation, entry))
                .collect(),
            blockers: proxy_blockers.chain(region_blockers).collect(),
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
            "any proxy may hold a lease granted by a previous leader".to_owned(),
            until.saturating_sub(now),
        ),
        BlockReason::Lease(until) => (
            "the proxy has not confirmed the change and its lease for an older mode has not expired".to_owned(),
            until.saturating_sub(now),
        ),
        BlockReason::ServesWithoutLease => (
            "the proxy serves without a lease and has not confirmed the change".to_owned(),
            0,
        ),
        BlockReason::GenerationRejected(reason) => (format!("the proxy cannot load the policy: {reason}"), 0),
    };
    wire::Blocker {
        identity: blocker.identity.map(Into::into),
        reason,
        remaining,
        region: String::new(),
    }
}

/// Returns the regions that the pending cross-region change waits for.
fn region_blockers(cross: &CrossRegionChange) -> Vec<wire::Blocker> {
    let reason = match cross.role {
        Role::Coordinator { .. } => "the region has not voted that it is prepared",
        Role::Participant { voted: true } => {
            "this region has voted and the coordinating region has not sent its decision"
        }
        Role::Participant { voted: false } => return Vec::new(),
    };
    let blocker = |region: Region| wire::Blocker {
        region: region.into(),
        reason: reason.to_owned(),
        ..Default::default()
    };
    cross.awaited_regions().into_iter().map(blocker).collect()
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

/// Returns the proxies that may serve without a lease and those that have one, each with its latest known revision.
fn proxies(record: &Record, sessions: BTreeMap<Identity, u64>) -> Vec<wire::Proxy> {
    let mut proxies: BTreeMap<Identity, wire::Proxy> = record
        .leaseless_proxies()
        .iter()
        .map(|(identity, proxy)| {
            let message = proxy_message(identity, proxy.revision, proxy.on_lease_loss);
            (identity.clone(), message)
        })
        .collect();
    for (identity, revision) in sessions {
        let proxy = proxies
            .entry(identity.clone())
            .or_insert_with(|| proxy_message(&identity, revision, OnLeaseLoss::Reject));
        proxy.active_revision = proxy.active_revision.max(revision);
    }
    proxies.into_values().collect()
}

fn proxy_message(identity: &Identity, revision: u64, on_lease_loss: OnLeaseLoss) -> wire::Proxy {
    wire::Proxy {
        identity: Some(identity.clone().into()),
        active_revision: revision,
        on_lease_loss: wire::OnLeaseLoss::from(on_lease_loss).into(),
    }
}

fn region_status(record: &Record, settings: &RegionSettings) -> wire::RegionStatus {
    let replicas = settings.coordinator_replicas().unwrap_or_default();
    wire::RegionStatus {
        name: settings.regions.own().to_string(),
        coordinator: settings.regions.coordinator().to_string(),
        coordinator_replicas: replicas.iter().map(SocketAddr::to_string).collect(),
        change: pending_change(record).or_else(|| unacknowledged_change(record, settings)),
    }
}

/// Returns the cross-region change that is pending in this region.
fn pending_change(record: &Record) -> Option<wire::CrossRegion> {
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
        generation: record.transition().map_or(0, |mode| mode.new.0),
        coordinator: change.coordinator.to_string(),
        voted,
        participants,
    })
}

/// Returns the cross-region change that is in force in this region and that some regions have not acknowledged.
fn unacknowledged_change(record: &Record, settings: &RegionSettings) -> Option<wire::CrossRegion> {
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
