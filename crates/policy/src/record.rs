//! What the replicas of a region know for good: the state machine of their replicated log.

use crate::identity::as_key;
use crate::regions::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, Participation, Region, Role,
    Scope, UnacknowledgedCommit,
};
use crate::{Command, Generation, Identity, Mode, OnLeaseLoss, Outcome, Rejection};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Generations whose text is kept, so that a rollback can go there.
const RETAINED_TEXTS: usize = 16;
/// Changes that are remembered.
const RETAINED_CHANGES: usize = 8 * RETAINED_TEXTS;
/// Why a change ended that the coordinator has given up.
const ABORTED_BY_COORDINATOR: &str = "the coordinating region has given it up";

/// A proxy that may act without a lease, and under what at the oldest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaselessProxy {
    /// What it does when cut off.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: OnLeaseLoss,
    /// It acts under this revision or a newer one.
    pub revision: u64,
    /// Its floor is that of this generation or of one that came into force later.
    #[serde(rename = "floor")]
    pub fallback_generation: Generation,
}

/// How a change stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// Under way.
    #[serde(rename = "Open")]
    Pending,
    /// In force.
    #[serde(rename = "InForce")]
    Committed,
    /// It never was, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// One change of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The generation in force before.
    pub from: Generation,
    /// How it stands.
    #[serde(rename = "ended")]
    pub status: ChangeStatus,
    /// Identifies it among the regions, if it is a change of all regions.
    #[serde(default)]
    pub id: Option<ChangeId>,
}

impl Change {
    /// Which regions it is for.
    pub fn scope(&self) -> Scope {
        match self.id {
            Some(_) => Scope::All,
            None => Scope::Region,
        }
    }
}

/// All that the replicas of a region know for good. What a command does depends on nothing but the commands before it.
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
    /// The change of all regions that the middle is for.
    #[serde(default)]
    cross_region: Option<CrossRegionChange>,
    /// The commit that the coordinator has to remember.
    #[serde(default, rename = "unacknowledged")]
    unacknowledged_commit: Option<UnacknowledgedCommit>,
    /// By coordinator: the last change of all regions in which this region took part.
    #[serde(default)]
    participations: BTreeMap<Region, Participation>,
}

impl Default for Record {
    /// No policy yet: nothing may begin.
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
    /// What proxies may act under; `None` until there is a policy in force.
    pub fn mode(&self) -> Option<Mode> {
        (self.mode.old > Generation(0)).then_some(self.mode)
    }

    /// The change under way: also the first one, before which there is no policy.
    pub fn transition(&self) -> Option<Mode> {
        self.mode.is_transition().then_some(self.mode)
    }

    /// The change of all regions under way here, and this region's part in it.
    pub fn cross_region(&self) -> Option<&CrossRegionChange> {
        self.cross_region.as_ref()
    }

    /// The commit that not all participants have acknowledged to this coordinator.
    pub fn unacknowledged_commit(&self) -> Option<&UnacknowledgedCommit> {
        self.unacknowledged_commit.as_ref()
    }

    /// The last change of all regions of a coordinator in which this region took part.
    pub fn participation(&self, coordinator: &Region) -> Option<&Participation> {
        self.participations.get(coordinator)
    }

    /// The present revision, policy or not.
    pub fn revision(&self) -> u64 {
        self.mode.revision
    }

    /// The text of a generation that is kept.
    pub fn text(&self, generation: Generation) -> Option<&str> {
        self.texts.get(&generation).map(String::as_str)
    }

    /// The changes that are remembered, by the generation they were for.
    pub fn changes(&self) -> &BTreeMap<Generation, Change> {
        &self.changes
    }

    /// The proxies that may act without a lease.
    pub fn leaseless_proxies(&self) -> &BTreeMap<Identity, LeaselessProxy> {
        &self.leaseless_proxies
    }

    /// Was this start of a proxy evicted?
    pub fn is_evicted(&self, identity: &Identity) -> bool {
        self.evicted.contains(identity)
    }

    /// The generations under whose floors proxies may act: a policy that leaves one of them may not come.
    pub fn fallback_generations(&self) -> BTreeSet<Generation> {
        let fallbacks = self
            .leaseless_proxies
            .values()
            .filter(|s| s.on_lease_loss == OnLeaseLoss::Fallback)
            .map(|s| s.fallback_generation);
        fallbacks
            .chain(self.mode().map(|mode| mode.old))
            .filter(|&g| g > Generation(0))
            .collect()
    }

    /// Applies a command.
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

    /// Why nothing new can begin, if it can't.
    fn pending_change(&self) -> Option<Rejection> {
        let generation = self.transition()?.new;
        Some(match &self.cross_region {
            None => Rejection::ChangePending(generation),
            Some(cross) => Rejection::CrossRegionPending {
                generation,
                id: cross.change.id,
                awaited_regions: cross.awaited_regions(),
            },
        })
    }

    /// Why no change of all regions can begin beside [`Record::pending_change`], if it can't.
    fn unacknowledged_change(&self) -> Option<Rejection> {
        let UnacknowledgedCommit { change, regions } = self.unacknowledged_commit.as_ref()?;
        Some(Rejection::CrossRegionPending {
            generation: change.generation,
            id: change.id,
            awaited_regions: regions.clone(),
        })
    }

    fn publish(
        &mut self,
        revision: u64,
        text: &str,
        fallback_generations: &BTreeSet<Generation>,
        all_regions: Option<&AllRegions>,
    ) -> Result<Outcome, Rejection> {
        let rejection = self
            .pending_change()
            .or_else(|| all_regions.and_then(|_| self.unacknowledged_change()));
        if let Some(rejection) = rejection {
            return Err(rejection);
        }
        let Some(all) = all_regions else {
            let number = self.start_transition(revision, text, fallback_generations, None)?;
            // Before the first policy nothing can begin, so there is nothing to stand between.
            if self.mode.old == Generation(0) {
                self.mode = Mode::stable(self.mode.revision, number);
                self.set_status(number, ChangeStatus::Committed);
            }
            return Ok(Outcome::Started(number));
        };
        let number = self.start_transition(revision, text, fallback_generations, Some(all.id))?;
        let change = ChangeRef {
            id: all.id,
            coordinator: all.coordinator.clone(),
            generation: number,
        };
        let role = Role::Coordinator {
            participants: all.participants.clone(),
            prepared: BTreeSet::new(),
        };
        self.cross_region = Some(CrossRegionChange { change, role });
        Ok(Outcome::Started(number))
    }

    fn prepare(
        &mut self,
        revision: u64,
        change: &ChangeRef,
        text: &str,
        fallback_generations: &BTreeSet<Generation>,
    ) -> Result<Outcome, Rejection> {
        if let Some(rejection) = self.pending_change() {
            return Err(rejection);
        }
        // A coordinator begins its next change when the one before has ended: a late message must not begin it again.
        let last = self
            .participations
            .get(&change.coordinator)
            .map_or(Generation(0), |p| p.change.generation);
        if change.generation <= last {
            return Err(Rejection::Conflict);
        }
        let number =
            self.start_transition(revision, text, fallback_generations, Some(change.id))?;
        let role = Role::Participant { voted: false };
        self.cross_region = Some(CrossRegionChange {
            change: change.clone(),
            role,
        });
        let participation = Participation {
            change: change.clone(),
            decision: Decision::Pending,
        };
        self.participations
            .insert(change.coordinator.clone(), participation);
        Ok(Outcome::Started(number))
    }

    /// Begins the middle of a new generation.
    fn start_transition(
        &mut self,
        revision: u64,
        text: &str,
        fallback_generations: &BTreeSet<Generation>,
        id: Option<ChangeId>,
    ) -> Result<Generation, Rejection> {
        if revision != self.mode.revision
            || !self.fallback_generations().is_subset(fallback_generations)
        {
            return Err(Rejection::Conflict);
        }
        self.last_generation = Generation(self.last_generation.0 + 1);
        self.texts.insert(self.last_generation, text.to_owned());
        self.changes.insert(
            self.last_generation,
            Change {
                from: self.mode.old,
                status: ChangeStatus::Pending,
                id,
            },
        );
        self.mode = Mode {
            revision: revision + 1,
            old: self.mode.old,
            new: self.last_generation,
        };
        self.prune();
        Ok(self.last_generation)
    }

    fn vote(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        let current = self.mode.revision;
        match self.cross_region.as_mut().map(|cross| &mut cross.role) {
            Some(Role::Participant { voted }) if revision == current => *voted = true,
            _ => return Err(Rejection::Conflict),
        }
        Ok(Outcome::Applied)
    }

    fn prepared(&mut self, revision: u64, region: &Region) -> Result<Outcome, Rejection> {
        let current = self.mode.revision;
        match self.cross_region.as_mut().map(|cross| &mut cross.role) {
            Some(Role::Coordinator {
                participants,
                prepared,
            }) if revision == current && participants.contains(region) => {
                prepared.insert(region.clone());
            }
            _ => return Err(Rejection::Conflict),
        }
        Ok(Outcome::Applied)
    }

    fn check_transition(&self, revision: u64) -> Result<(), Rejection> {
        match self.transition() {
            Some(middle) if middle.revision == revision => Ok(()),
            _ => Err(Rejection::Conflict),
        }
    }

    fn advance(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        self.check_transition(revision)?;
        if let Some(CrossRegionChange { change, role }) = &self.cross_region {
            match role {
                Role::Participant { .. } => {
                    return Err(Rejection::AwaitsDecision {
                        coordinator: change.coordinator.clone(),
                    })
                }
                Role::Coordinator {
                    participants,
                    prepared,
                } if participants != prepared => {
                    return Err(Rejection::NotPrepared {
                        regions: participants.difference(prepared).cloned().collect(),
                    })
                }
                Role::Coordinator { participants, .. } if !participants.is_empty() => {
                    let (change, regions) = (change.clone(), participants.clone());
                    self.unacknowledged_commit = Some(UnacknowledgedCommit { change, regions });
                }
                Role::Coordinator { .. } => {}
            }
        }
        self.finish_transition(ChangeStatus::Committed);
        Ok(Outcome::Applied)
    }

    fn abort(&mut self, revision: u64, reason: &str) -> Result<Outcome, Rejection> {
        self.check_transition(revision)?;
        if let Some(CrossRegionChange {
            change,
            role: Role::Participant { voted: true },
        }) = &self.cross_region
        {
            return Err(Rejection::AwaitsDecision {
                coordinator: change.coordinator.clone(),
            });
        }
        self.finish_transition(ChangeStatus::Aborted {
            reason: reason.to_owned(),
        });
        Ok(Outcome::Applied)
    }

    /// Takes in what the coordinator has decided. Only a participant that has voted can find itself committed.
    fn apply_decision(&mut self, id: ChangeId, status: ChangeStatus) -> Result<Outcome, Rejection> {
        match &self.cross_region {
            Some(CrossRegionChange {
                change,
                role: Role::Participant { voted },
            }) if change.id == id && (*voted || status != ChangeStatus::Committed) => {}
            _ => return Err(Rejection::Conflict),
        }
        self.finish_transition(status);
        Ok(Outcome::Applied)
    }

    fn acknowledged(&mut self, id: ChangeId, region: &Region) -> Result<Outcome, Rejection> {
        let Some(commit) = self
            .unacknowledged_commit
            .as_mut()
            .filter(|commit| commit.change.id == id)
        else {
            return Err(Rejection::Conflict);
        };
        commit.regions.remove(region);
        if commit.regions.is_empty() {
            self.unacknowledged_commit = None;
        }
        Ok(Outcome::Applied)
    }

    /// Leaves the middle.
    fn finish_transition(&mut self, status: ChangeStatus) {
        let Mode { revision, old, new } = self.mode;
        let in_force = status == ChangeStatus::Committed;
        self.mode = Mode::stable(revision + 1, if in_force { new } else { old });
        self.set_status(new, status);
        let Some(CrossRegionChange {
            change,
            role: Role::Participant { .. },
        }) = self.cross_region.take()
        else {
            return;
        };
        let decision = if in_force {
            Decision::Committed
        } else {
            Decision::Aborted
        };
        let coordinator = change.coordinator.clone();
        self.participations
            .insert(coordinator, Participation { change, decision });
    }

    /// Notes how a change has ended.
    fn set_status(&mut self, generation: Generation, status: ChangeStatus) {
        if let Some(change) = self.changes.get_mut(&generation) {
            change.status = status;
        }
    }

    fn register(
        &mut self,
        identity: &Identity,
        on_lease_loss: OnLeaseLoss,
    ) -> Result<Outcome, Rejection> {
        if self.evicted.contains(identity) {
            return Err(Rejection::Evicted);
        }
        let Mode { revision, old, .. } = self.mode;
        self.leaseless_proxies
            .entry(identity.clone())
            .or_insert(LeaselessProxy {
                on_lease_loss,
                revision,
                fallback_generation: old,
            });
        Ok(Outcome::Applied)
    }

    fn record_active(
        &mut self,
        revision: u64,
        proxies: &BTreeSet<Identity>,
    ) -> Result<Outcome, Rejection> {
        if revision != self.mode.revision {
            return Err(Rejection::Conflict);
        }
        for (_, proxy) in self
            .leaseless_proxies
            .iter_mut()
            .filter(|(i, _)| proxies.contains(i))
        {
            (proxy.revision, proxy.fallback_generation) = (revision, self.mode.old);
        }
        self.prune();
        Ok(Outcome::Applied)
    }

    fn unregister(&mut self, identity: &Identity) -> Result<Outcome, Rejection> {
        self.leaseless_proxies.remove(identity);
        self.prune();
        Ok(Outcome::Applied)
    }

    /// Lets go of what nothing can come back to: a floor that may be acted under keeps its text.
    fn prune(&mut self) {
        let fallback_generations = self.fallback_generations();
        let Mode { old, new, .. } = self.mode;
        while self.texts.len() > RETAINED_TEXTS {
            let removable =
                |g: &&Generation| !fallback_generations.contains(g) && **g != old && **g != new;
            let Some(&removable) = self.texts.keys().find(removable) else {
                break;
            };
            self.texts.remove(&removable);
        }
        while self.changes.len() > RETAINED_CHANGES {
            self.changes.pop_first();
        }
    }
}
