//! Steps of a cross-region change: a participant's prepare and vote, the votes and acknowledgements that a coordinator
//! receives, and the decision that a participant learns. [`crate::regions`] describes the protocol.

use super::{ChangeStatus, Record};
use crate::regions::{
    ChangeId, ChangeRef, CrossRegionChange, Decision, Participation, Region, Role,
};
use crate::{Generation, Outcome, Rejection};
use std::collections::BTreeSet;

impl Record {
    pub(super) fn prepare(
        &mut self,
        revision: u64,
        change: &ChangeRef,
        text: &str,
        fallback_generations: &BTreeSet<Generation>,
    ) -> Result<Outcome, Rejection> {
        if let Some(rejection) = self.pending_change() {
            return Err(rejection);
        }
        // A coordinator starts a change only after its previous one has ended. A delayed prepare must not restart a change
        // that has ended.
        let last_seen = self
            .participations
            .get(&change.coordinator)
            .map_or(Generation(0), |participation| {
                participation.change.generation
            });
        if change.generation <= last_seen {
            return Err(Rejection::Conflict);
        }
        let generation =
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
        Ok(Outcome::Started(generation))
    }

    pub(super) fn vote(&mut self, revision: u64) -> Result<Outcome, Rejection> {
        let current = self.mode.revision;
        match self.cross_region.as_mut().map(|cross| &mut cross.role) {
            Some(Role::Participant { voted }) if revision == current => *voted = true,
            _ => return Err(Rejection::Conflict),
        }
        Ok(Outcome::Applied)
    }

    pub(super) fn prepared(
        &mut self,
        revision: u64,
        region: &Region,
    ) -> Result<Outcome, Rejection> {
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

    /// Applies the coordinator's decision. A change can be committed only in a participant that has voted.
    pub(super) fn apply_decision(
        &mut self,
        id: ChangeId,
        status: ChangeStatus,
    ) -> Result<Outcome, Rejection> {
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

    pub(super) fn acknowledged(
        &mut self,
        id: ChangeId,
        region: &Region,
    ) -> Result<Outcome, Rejection> {
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
}
