//! Replicated state of a region: the state machine that applies the commands of the replicated log.
//!
//! The submodules implement the commands by topic: [`transition`], [`cross_region`], [`proxies`] and [`retention`].

mod cross_region;
mod proxies;
mod retention;
#[cfg(test)]
mod tests;
mod transition;

use crate::identity::as_key;
use crate::regions::{CrossRegionChange, Participation, Region, UnacknowledgedCommit};
use crate::{Change, ChangeStatus, Command, Generation, Identity, Mode, OnLeaseLoss, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Reason recorded for a change that the coordinator has aborted. It is part of the replicated state, so replicas of
/// different versions have to use the same text.
const ABORTED_BY_COORDINATOR: &str = "the coordinating region has given it up";

/// A proxy that may serve without a lease, and the oldest policy that it may serve under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaselessProxy {
    /// What the proxy does when its lease has expired.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: OnLeaseLoss,
    /// The proxy serves under this revision or a newer one.
    pub revision: u64,
    /// The proxy's fallback policy is that of this generation, or of one that came into force later.
    #[serde(rename = "floor")]
    pub fallback_generation: Generation,
}

/// Replicated state of a region. The effect of a command depends only on the commands applied before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    mode: Mode,
    #[serde(rename = "last")]
    last_generation: Generation,
    texts: BTreeMap<Generation, String>,
    changes: BTreeMap<Generation, Change>,
    #[serde(rename = "standing", with = "as_key")]
    leaseless_proxies: BTreeMap<Identity, LeaselessProxy>,
    evicted: BTreeSet<Identity>,
    /// The cross-region change whose transition is in progress.
    #[serde(default)]
    cross_region: Option<CrossRegionChange>,
    /// In the coordinator: the last commit, until every participant has acknowledged it.
    #[serde(default, rename = "unacknowledged")]
    unacknowledged_commit: Option<UnacknowledgedCommit>,
    /// The last cross-region change in which this region took part, by coordinator.
    #[serde(default)]
    participations: BTreeMap<Region, Participation>,
}

impl Default for Record {
    /// Creates the state before the first policy, in which no call may start.
    fn default() -> Self {
        Record {
            mode: Mode::stable(0, Generation(0)),
            last_generation: Generation(0),
            texts: BTreeMap::new(),
            changes: BTreeMap::new(),
            leaseless_proxies: BTreeMap::new(),
            evicted: BTreeSet::new(),
            cross_region: None,
            unacknowledged_commit: None,
            participations: BTreeMap::new(),
        }
    }
}

impl Record {
    /// Returns the mode that proxies may serve under; `None` until a policy is in force.
    pub fn mode(&self) -> Option<Mode> {
        (self.mode.old > Generation(0)).then_some(self.mode)
    }

    /// Returns the transition in progress, including one to the first policy if that is published to all regions.
    pub fn transition(&self) -> Option<Mode> {
        self.mode.is_transition().then_some(self.mode)
    }

    /// Returns the cross-region change whose transition is in progress, with this region's role in it.
    pub fn cross_region(&self) -> Option<&CrossRegionChange> {
        self.cross_region.as_ref()
    }

    /// In the coordinator: returns the commit that some participants have not acknowledged.
    pub fn unacknowledged_commit(&self) -> Option<&UnacknowledgedCommit> {
        self.unacknowledged_commit.as_ref()
    }

    /// Returns the last cross-region change of a coordinator in which this region took part.
    pub fn participation(&self, coordinator: &Region) -> Option<&Participation> {
        self.participations.get(coordinator)
    }

    /// Returns the current revision. It is defined even before the first policy.
    pub fn revision(&self) -> u64 {
        self.mode.revision
    }

    /// Returns the text of a generation, if it is retained.
    pub fn text(&self, generation: Generation) -> Option<&str> {
        self.texts.get(&generation).map(String::as_str)
    }

    /// Returns the retained changes by generation.
    pub fn changes(&self) -> &BTreeMap<Generation, Change> {
        &self.changes
    }

    /// Returns the proxies that may serve without a lease.
    pub fn leaseless_proxies(&self) -> &BTreeMap<Identity, LeaselessProxy> {
        &self.leaseless_proxies
    }

    /// Returns whether a proxy process was evicted.
    pub fn is_evicted(&self, identity: &Identity) -> bool {
        self.evicted.contains(identity)
    }

    /// Returns the generations whose fallback policies proxies may apply. A new policy must not violate any of them.
    pub fn fallback_generations(&self) -> BTreeSet<Generation> {
        let fallbacks = self
            .leaseless_proxies
            .values()
            .filter(|proxy| proxy.on_lease_loss == OnLeaseLoss::Fallback)
            .map(|proxy| proxy.fallback_generation);
        fallbacks
            .chain(self.mode().map(|mode| mode.old))
            .filter(|&generation| generation > Generation(0))
            .collect()
    }

    /// Applies a command of the replicated log.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let applied = match command {
            Command::Publish {
                revision,
                text,
                fallback_generations,
                all_regions,
            } => self.publish(*revision, text, fallback_generations, all_regions.as_ref()),
            Command::Prepare {
                revision,
                change,
                text,
                fallback_generations,
            } => self.prepare(*revision, change, text, fallback_generations),
            Command::Vote { revision } => self.vote(*revision),
            Command::Prepared { revision, region } => self.prepared(*revision, region),
            Command::Advance { revision } => self.advance(*revision),
            Command::Abort { revision, reason } => self.abort(*revision, reason),
            Command::Committed { id } => self.apply_decision(*id, ChangeStatus::Committed),
            Command::Aborted { id } => self.apply_decision(
                *id,
                ChangeStatus::Aborted {
                    reason: ABORTED_BY_COORDINATOR.to_owned(),
                },
            ),
            Command::Acknowledged { id, region } => self.acknowledged(*id, region),
            Command::Register {
                identity,
                on_lease_loss,
            } => self.register(identity, *on_lease_loss),
            Command::RecordActive { revision, proxies } => self.record_active(*revision, proxies),
            Command::Unregister { identity } => self.unregister(identity),
            Command::Evict { identity } => {
                self.evicted.insert(identity.clone());
                self.unregister(identity)
            }
        };
        applied.unwrap_or_else(Outcome::Rejected)
    }
}
