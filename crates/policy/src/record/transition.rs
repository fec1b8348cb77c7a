//! Start and end of a transition. Only the functions of this module change the mode.

use super::{Change, ChangeStatus, Record};
use crate::regions::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, Participation, Role,
    UnacknowledgedCommit,
};
use crate::{Generation, Mode, Outcome, Rejection};
use std::collections::BTreeSet;

impl Record {
    /// Returns the pending change as the reason to reject another one.
    pub(super) fn pending_change(&self) -> Option<Rejection> {
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

    /// Returns the commit that is not fully acknowledged as the reason to reject another cross-region change.
    fn unacknowledged_change(&self) -> Option<Rejection> {
        let UnacknowledgedCommit { change, regions } = self.unacknowledged_commit.as_ref()?;
        Some(Rejection::CrossRegionPending {
            generation: change.generation,
            id: change.id,
            awaited_regions: regions.clone(),
        })
    }

    pub(super) fn publish(
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
            let generation = self.start_transition(revision, text, fallback_generations, None)?;
            // No call can start before the first policy, so the first policy needs no transition.
            if self.mode.old == Generation(0) {
                self.mode = Mode::stable(self.mode.revision, generation);
                self.set_status(generation, ChangeStatus::Committed);
            }
            return Ok(Outcome::Started(generation));
        };
        let generation =
            self.start_transition(revision, text, fallback_generations, Some(all.id))?;
        let change = ChangeRef {
            id: all.id,
            coordinator: all.coordinator.clone(),
            generation,
        };
        let role = Role::Coordinator {
            participants: all.participants.clone(),
            prepared: BTreeSet::new(),
        };
        self.cross_region = Some(CrossRegionChange { change, role });
        Ok(Outcome::Started(generation))
    }

    /// Starts the transition to a new generation, if the policy was validated at the current revision and against every
    /// fallback policy that a proxy may apply.
    pub(super) fn start_transition(
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

    /// Checks that the transition of this revision is still pending.
    fn check_transition(&self, revision: u64) -> Result<(), Rejection> {
        match self.transition() {
            Some(transition) if transition.revision == revision => Ok(()),
            _ => Err(Rejection::Conflict),
        }
    }

    pub(super) fn advance(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        self.check_transition(revision)?;
        if let Some(cross) = &self.cross_region {
            if let Some(commit) = commit_to_acknowledge(cross)? {
                self.unacknowledged_commit = Some(commit);
            }
        }
        self.finish_transition(ChangeStatus::Committed);
        Ok(Outcome::Applied)
    }

    pub(super) fn abort(&mut self, revision: u64, reason: &str) -> Result<Outcome, Rejection> {
        self.check_transition(revision)?;
        if let Some(cross) = self.cross_region.as_ref().filter(|cross| cross.has_voted()) {
            return Err(Rejection::AwaitsDecision {
                coordinator: cross.change.coordinator.clone(),
            });
        }
        self.finish_transition(ChangeStatus::Aborted {
            reason: reason.to_owned(),
        });
        Ok(Outcome::Applied)
    }

    /// Ends the transition: the new generation comes into force, or the old one stays in force.
    pub(super) fn finish_transition(&mut self, status: ChangeStatus) {
        let Mode { revision, old, new } = self.mode;
        let is_committed = status == ChangeStatus::Committed;
        self.mode = Mode::stable(revision + 1, if is_committed { new } else { old });
        self.set_status(new, status);
        let Some(CrossRegionChange {
            change,
            role: Role::Participant { .. },
        }) = self.cross_region.take()
        else {
            return;
        };
        let decision = if is_committed {
            Decision::Committed
        } else {
            Decision::Aborted
        };
        let coordinator = change.coordinator.clone();
        self.participations
            .insert(coordinator, Participation { change, decision });
    }

    /// Sets the status of a change, if it is retained.
    fn set_status(&mut self, generation: Generation, status: ChangeStatus) {
        if let Some(change) = self.changes.get_mut(&generation) {
            change.status = status;
        }
    }
}

/// Returns the commit that the participants have to acknowledge once the coordinator advances; `None` if there are no
/// participants.
///
/// # Errors
/// Returns an error if this region may not advance because it is a participant or because a vote is missing.
fn commit_to_acknowledge(
    cross: &CrossRegionChange,
) -> Result<Option<UnacknowledgedCommit>, Rejection> {
    let Role::Coordinator {
        participants,
        prepared,
    } = &cross.role
    else {
        return Err(Rejection::AwaitsDecision {
            coordinator: cross.change.coordinator.clone(),
        });
    };
    if participants != prepared {
        return Err(Rejection::NotPrepared {
            regions: participants.difference(prepared).cloned().collect(),
        });
    }
    Ok((!participants.is_empty()).then(|| UnacknowledgedCommit {
        change: cross.change.clone(),
        regions: participants.clone(),
    }))
}
