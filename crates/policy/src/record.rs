//! What the replicas of a region know for good: the state machine of their replicated log.

use crate::identity::as_key;
use crate::regions::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, Participation, Region, Role,
    Scope, UnacknowledgedCommit,
};
use crate::{Command, Generation, Identity, Mode, OnLeaseLoss, Outcome, Rejection};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Generations whose text is kept, so that a rollback can go there.
const KEPT: usize = 16;
/// Changes that are remembered.
const CHANGES_KEPT: usize = 8 * KEPT;
/// Why a change ended that the coordinator has given up.
const GIVEN_UP: &str = "the coordinating region has given it up";

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
    last: Generation,
    texts: BTreeMap<Generation, String>,
    changes: BTreeMap<Generation, Change>,
    #[serde(with = "as_key")]
    standing: BTreeMap<Identity, LeaselessProxy>,
    evicted: BTreeSet<Identity>,
    /// The change of all regions that the middle is for.
    #[serde(default)]
    cross_region: Option<CrossRegionChange>,
    /// The commit that the coordinator has to remember.
    #[serde(default)]
    unacknowledged: Option<UnacknowledgedCommit>,
    /// By coordinator: the last change of all regions in which this region took part.
    #[serde(default)]
    participations: BTreeMap<Region, Participation>,
}

impl Default for Record {
    /// No policy yet: nothing may begin.
    fn default() -> Self {
        Record {
            mode: Mode::stable(0, Generation(0)),
            last: Generation(0),
            texts: BTreeMap::new(),
            changes: BTreeMap::new(),
            standing: BTreeMap::new(),
            evicted: BTreeSet::new(),
            cross_region: None,
            unacknowledged: None,
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
        self.unacknowledged.as_ref()
    }

    /// The last change of all regions of a coordinator in which this region took part.
    pub fn participation(&self, coordinator: &Region) -> Option<&Participation> {
        self.participations.get(coordinator)
    }

    /// The revision now, policy or not.
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
        &self.standing
    }

    /// Was this start of a proxy evicted?
    pub fn is_evicted(&self, identity: &Identity) -> bool {
        self.evicted.contains(identity)
    }

    /// The generations under whose floors proxies may act: a policy that leaves one of them may not come.
    pub fn fallback_generations(&self) -> BTreeSet<Generation> {
        let narrow = self
            .standing
            .values()
            .filter(|s| s.on_lease_loss == OnLeaseLoss::Fallback)
            .map(|s| s.fallback_generation);
        narrow
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
                fallback_generations: floors,
                all_regions,
            } => self.publish(*revision, text, floors, all_regions.as_ref()),
            Command::Prepare {
                revision,
                change,
                text,
                fallback_generations: floors,
            } => self.prepare(*revision, change, text, floors),
            Command::Vote { revision } => self.vote(*revision),
            Command::Prepared { revision, region } => self.prepared(*revision, region),
            Command::Advance { revision } => self.advance(*revision),
            Command::Abort {
                revision,
                reason: why,
            } => self.abort(*revision, why),
            Command::Committed { id } => self.decided(*id, ChangeStatus::Committed),
            Command::Aborted { id } => self.decided(
                *id,
                ChangeStatus::Aborted {
                    reason: GIVEN_UP.to_owned(),
                },
            ),
            Command::Acknowledged { id, region } => self.acknowledged(*id, region),
            Command::Register {
                identity,
                on_lease_loss: cut_off,
            } => self.register(identity, *cut_off),
            Command::RecordActive { revision, proxies } => self.acting(*revision, proxies),
            Command::Unregister { identity } => self.retire(identity),
            Command::Evict { identity } => {
                self.evicted.insert(identity.clone());
                self.retire(identity)
            }
        };
        applied.unwrap_or_else(Outcome::Rejected)
    }

    /// Why nothing new can begin, if it can't.
    fn under_way(&self) -> Option<Rejection> {
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

    /// Why no change of all regions can begin beside [`Record::under_way`], if it can't.
    fn remembered(&self) -> Option<Rejection> {
        let UnacknowledgedCommit { change, regions } = self.unacknowledged.as_ref()?;
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
        floors: &BTreeSet<Generation>,
        all_regions: Option<&AllRegions>,
    ) -> Result<Outcome, Rejection> {
        let in_the_way = self
            .under_way()
            .or_else(|| all_regions.and_then(|_| self.remembered()));
        if let Some(refused) = in_the_way {
            return Err(refused);
        }
        let Some(all) = all_regions else {
            let number = self.begin(revision, text, floors, None)?;
            // Before the first policy nothing can begin, so there is nothing to stand between.
            if self.mode.old == Generation(0) {
                self.mode = Mode::stable(self.mode.revision, number);
                self.note(number, ChangeStatus::Committed);
            }
            return Ok(Outcome::Started(number));
        };
        let number = self.begin(revision, text, floors, Some(all.id))?;
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
        floors: &BTreeSet<Generation>,
    ) -> Result<Outcome, Rejection> {
        if let Some(refused) = self.under_way() {
            return Err(refused);
        }
        // A coordinator begins its next change when the one before has ended: a late message must not begin it again.
        let last = self
            .participations
            .get(&change.coordinator)
            .map_or(Generation(0), |p| p.change.generation);
        if change.generation <= last {
            return Err(Rejection::Conflict);
        }
        let number = self.begin(revision, text, floors, Some(change.id))?;
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
    fn begin(
        &mut self,
        revision: u64,
        text: &str,
        floors: &BTreeSet<Generation>,
        id: Option<ChangeId>,
    ) -> Result<Generation, Rejection> {
        if revision != self.mode.revision || !self.fallback_generations().is_subset(floors) {
            return Err(Rejection::Conflict);
        }
        self.last = Generation(self.last.0 + 1);
        self.texts.insert(self.last, text.to_owned());
        self.changes.insert(
            self.last,
            Change {
                from: self.mode.old,
                status: ChangeStatus::Pending,
                id,
            },
        );
        self.mode = Mode {
            revision: revision + 1,
            old: self.mode.old,
            new: self.last,
        };
        self.clear();
        Ok(self.last)
    }

    fn vote(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        let now = self.mode.revision;
        match self.cross_region.as_mut().map(|cross| &mut cross.role) {
            Some(Role::Participant { voted }) if revision == now => *voted = true,
            _ => return Err(Rejection::Conflict),
        }
        Ok(Outcome::Applied)
    }

    fn prepared(&mut self, revision: u64, region: &Region) -> Result<Outcome, Rejection> {
        let now = self.mode.revision;
        match self.cross_region.as_mut().map(|cross| &mut cross.role) {
            Some(Role::Coordinator {
                participants,
                prepared,
            }) if revision == now && participants.contains(region) => {
                prepared.insert(region.clone());
            }
            _ => return Err(Rejection::Conflict),
        }
        Ok(Outcome::Applied)
    }

    fn is_middle_of(&self, revision: u64) -> Result<(), Rejection> {
        match self.transition() {
            Some(middle) if middle.revision == revision => Ok(()),
            _ => Err(Rejection::Conflict),
        }
    }

    fn advance(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        self.is_middle_of(revision)?;
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
                    self.unacknowledged = Some(UnacknowledgedCommit { change, regions });
                }
                Role::Coordinator { .. } => {}
            }
        }
        self.settle(ChangeStatus::Committed);
        Ok(Outcome::Applied)
    }

    fn abort(&mut self, revision: u64, why: &str) -> Result<Outcome, Rejection> {
        self.is_middle_of(revision)?;
        if let Some(CrossRegionChange {
            change,
            role: Role::Participant { voted: true },
        }) = &self.cross_region
        {
            return Err(Rejection::AwaitsDecision {
                coordinator: change.coordinator.clone(),
            });
        }
        self.settle(ChangeStatus::Aborted {
            reason: why.to_owned(),
        });
        Ok(Outcome::Applied)
    }

    /// Takes in what the coordinator has decided. Only a participant that has voted can find itself committed.
    fn decided(&mut self, id: ChangeId, ended: ChangeStatus) -> Result<Outcome, Rejection> {
        match &self.cross_region {
            Some(CrossRegionChange {
                change,
                role: Role::Participant { voted },
            }) if change.id == id && (*voted || ended != ChangeStatus::Committed) => {}
            _ => return Err(Rejection::Conflict),
        }
        self.settle(ended);
        Ok(Outcome::Applied)
    }

    fn acknowledged(&mut self, id: ChangeId, region: &Region) -> Result<Outcome, Rejection> {
        let Some(commit) = self
            .unacknowledged
            .as_mut()
            .filter(|commit| commit.change.id == id)
        else {
            return Err(Rejection::Conflict);
        };
        commit.regions.remove(region);
        if commit.regions.is_empty() {
            self.unacknowledged = None;
        }
        Ok(Outcome::Applied)
    }

    /// Leaves the middle.
    fn settle(&mut self, ended: ChangeStatus) {
        let Mode { revision, old, new } = self.mode;
        let in_force = ended == ChangeStatus::Committed;
        self.mode = Mode::stable(revision + 1, if in_force { new } else { old });
        self.note(new, ended);
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
    fn note(&mut self, generation: Generation, ended: ChangeStatus) {
        if let Some(change) = self.changes.get_mut(&generation) {
            change.status = ended;
        }
    }

    fn register(
        &mut self,
        identity: &Identity,
        cut_off: OnLeaseLoss,
    ) -> Result<Outcome, Rejection> {
        if self.evicted.contains(identity) {
            return Err(Rejection::Evicted);
        }
        let Mode { revision, old, .. } = self.mode;
        self.standing
            .entry(identity.clone())
            .or_insert(LeaselessProxy {
                on_lease_loss: cut_off,
                revision,
                fallback_generation: old,
            });
        Ok(Outcome::Applied)
    }

    fn acting(
        &mut self,
        revision: u64,
        proxies: &BTreeSet<Identity>,
    ) -> Result<Outcome, Rejection> {
        if revision != self.mode.revision {
            return Err(Rejection::Conflict);
        }
        for (_, standing) in self
            .standing
            .iter_mut()
            .filter(|(i, _)| proxies.contains(i))
        {
            (standing.revision, standing.fallback_generation) = (revision, self.mode.old);
        }
        self.clear();
        Ok(Outcome::Applied)
    }

    fn retire(&mut self, identity: &Identity) -> Result<Outcome, Rejection> {
        self.standing.remove(identity);
        self.clear();
        Ok(Outcome::Applied)
    }

    /// Lets go of what nothing can come back to: a floor that may be acted under keeps its text.
    fn clear(&mut self) {
        let floors = self.fallback_generations();
        let Mode { old, new, .. } = self.mode;
        while self.texts.len() > KEPT {
            let gone = |g: &&Generation| !floors.contains(g) && **g != old && **g != new;
            let Some(&gone) = self.texts.keys().find(gone) else {
                break;
            };
            self.texts.remove(&gone);
        }
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_first();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn publish(record: &mut Record) -> Outcome {
        let command = Command::Publish {
            revision: record.revision(),
            text: "t".to_owned(),
            fallback_generations: record.fallback_generations(),
            all_regions: None,
        };
        record.apply(&command)
    }

    fn identity(name: &str) -> Identity {
        Identity {
            name: name.to_owned(),
            incarnation: 1,
        }
    }

    #[test]
    fn the_first_policy_is_in_force_at_once_and_the_next_has_a_middle() {
        let mut record = Record::default();
        assert_eq!(record.mode(), None);
        assert_eq!(publish(&mut record), Outcome::Started(Generation(1)));
        assert_eq!(record.mode(), Some(Mode::stable(1, Generation(1))));
        assert_eq!(publish(&mut record), Outcome::Started(Generation(2)));
        assert_eq!(
            record.mode(),
            Some(Mode {
                revision: 2,
                old: Generation(1),
                new: Generation(2)
            })
        );
        assert_eq!(
            publish(&mut record),
            Outcome::Rejected(Rejection::ChangePending(Generation(2)))
        );
        assert_eq!(
            record.apply(&Command::Advance { revision: 1 }),
            Outcome::Rejected(Rejection::Conflict)
        );
        assert_eq!(
            record.apply(&Command::Advance { revision: 2 }),
            Outcome::Applied
        );
        assert_eq!(record.mode(), Some(Mode::stable(3, Generation(2))));
        let late = Command::Abort {
            revision: 2,
            reason: String::new(),
        };
        assert_eq!(record.apply(&late), Outcome::Rejected(Rejection::Conflict));
    }

    #[test]
    fn a_number_that_came_to_nothing_is_not_given_again() {
        let mut record = Record::default();
        publish(&mut record);
        publish(&mut record);
        record.apply(&Command::Abort {
            revision: 2,
            reason: "unread".to_owned(),
        });
        assert_eq!(record.mode(), Some(Mode::stable(3, Generation(1))));
        assert_eq!(publish(&mut record), Outcome::Started(Generation(3)));
        assert_eq!(
            record.changes()[&Generation(2)].status,
            ChangeStatus::Aborted {
                reason: "unread".to_owned()
            }
        );
    }

    #[test]
    fn a_floor_is_held_until_its_proxy_acts_under_a_later_one() {
        let mut record = Record::default();
        publish(&mut record);
        record.apply(&Command::Register {
            identity: identity("n"),
            on_lease_loss: OnLeaseLoss::Fallback,
        });
        publish(&mut record);
        record.apply(&Command::Advance { revision: 2 });
        assert_eq!(
            record.fallback_generations(),
            BTreeSet::from([Generation(1), Generation(2)])
        );
        let one_floor = Command::Publish {
            revision: 3,
            text: String::new(),
            fallback_generations: BTreeSet::from([Generation(2)]),
            all_regions: None,
        };
        assert_eq!(
            record.apply(&one_floor),
            Outcome::Rejected(Rejection::Conflict)
        );
        record.apply(&Command::RecordActive {
            revision: 3,
            proxies: BTreeSet::from([identity("n")]),
        });
        assert_eq!(
            record.fallback_generations(),
            BTreeSet::from([Generation(2)])
        );
        assert_eq!(record.apply(&one_floor), Outcome::Started(Generation(3)));
    }

    #[test]
    fn who_was_evicted_does_not_register_again() {
        let mut record = Record::default();
        let register = Command::Register {
            identity: identity("n"),
            on_lease_loss: OnLeaseLoss::Keep,
        };
        assert_eq!(record.apply(&register), Outcome::Applied);
        record.apply(&Command::Evict {
            identity: identity("n"),
        });
        assert!(record.leaseless_proxies().is_empty());
        assert_eq!(
            record.apply(&register),
            Outcome::Rejected(Rejection::Evicted)
        );
    }

    #[test]
    fn texts_are_bounded_and_those_of_floors_stay() {
        let mut record = Record::default();
        publish(&mut record);
        record.apply(&Command::Register {
            identity: identity("n"),
            on_lease_loss: OnLeaseLoss::Fallback,
        });
        for _ in 0..3 * KEPT {
            publish(&mut record);
            record.apply(&Command::Advance {
                revision: record.revision(),
            });
        }
        assert!(record.text(Generation(1)).is_some());
        assert!(record.text(Generation(2)).is_none());
        assert!(record.texts.len() <= KEPT);
    }
}
