//! Properties of the model, checked against the calls that proxies may start and the status of changes in each region.

use crate::model::{RegionState, State};
use badgerramp_policy::regions::ChangeId;
use badgerramp_policy::{Admission, ChangeStatus, Generation, Mode};

/// A violated property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Violation {
    /// A call may start under the old policy after one has started under the new one.
    MixedGenerations,
    /// A change is committed in one region while another region has not voted for it.
    CommittedWithoutVotes,
    /// A change is committed in one region and aborted in another.
    OutcomesDiffer,
    /// A change is committed twice in one region.
    CommittedTwice,
}

impl RegionState {
    /// Returns the generations of a cross-region change in this region, with their statuses.
    fn generations(&self, id: ChangeId) -> impl Iterator<Item = (Generation, &ChangeStatus)> {
        let has_id = move |change: &badgerramp_policy::Change| change.id == Some(id);
        self.record
            .changes()
            .iter()
            .filter(move |(_, change)| has_id(change))
            .map(|(&generation, change)| (generation, &change.status))
    }

    fn commit_count(&self, id: ChangeId) -> usize {
        self.generations(id)
            .filter(|(_, status)| **status == ChangeStatus::Committed)
            .count()
    }

    fn is_aborted(&self, id: ChangeId) -> bool {
        self.generations(id)
            .any(|(_, status)| matches!(status, ChangeStatus::Aborted { .. }))
    }

    fn is_pending(&self, id: ChangeId) -> bool {
        self.record
            .cross_region()
            .is_some_and(|cross| cross.change.id == id)
    }

    fn admitted_mode(&self, now: u64) -> Option<Mode> {
        match self.holder.admission(now) {
            Admission::Under(mode) => Some(mode),
            Admission::Fallback(_) | Admission::Denied(_) => None,
        }
    }
}

/// Returns the identifiers of all published cross-region changes.
fn ids(state: &State) -> impl Iterator<Item = ChangeId> {
    (1..=u64::from(state.published)).map(ChangeId)
}

/// Records the violations in a state that was just reached.
pub(crate) fn check(state: &mut State) {
    let ids: Vec<ChangeId> = ids(state).collect();
    for id in ids {
        let regions = &state.regions;
        let may_start_new = |region: &RegionState| {
            region
                .admitted_mode(state.now)
                .is_some_and(|mode| starts_new(region, id, mode))
        };
        if regions.iter().any(may_start_new) {
            state.started_new.insert(id);
        }
        let may_start_old = |region: &RegionState| {
            region
                .admitted_mode(state.now)
                .is_some_and(|mode| starts_old(region, id, mode))
        };
        let mixed = state.started_new.contains(&id) && regions.iter().any(may_start_old);
        let twice = regions.iter().any(|region| region.commit_count(id) > 1);
        let found = [
            (mixed, Violation::MixedGenerations),
            (
                committed_without_votes(regions, id),
                Violation::CommittedWithoutVotes,
            ),
            (outcomes_differ(regions, id), Violation::OutcomesDiffer),
            (twice, Violation::CommittedTwice),
        ];
        state.violations.extend(
            found
                .into_iter()
                .filter(|(is_found, _)| *is_found)
                .map(|(_, violation)| violation),
        );
    }
}

/// Returns whether a call under `mode` follows the new policy of a change, or a later one.
fn starts_new(region_state: &RegionState, id: ChangeId, mode: Mode) -> bool {
    region_state.generations(id).any(|(generation, status)| {
        mode.old == generation || (mode.old > generation && *status == ChangeStatus::Committed)
    })
}

/// Returns whether a call under `mode` follows only policies before that of a change.
fn starts_old(region_state: &RegionState, id: ChangeId, mode: Mode) -> bool {
    region_state
        .generations(id)
        .all(|(generation, _)| mode.new < generation)
}

/// Returns whether the change is committed in one region while another has neither committed it nor voted for it.
fn committed_without_votes(regions: &[RegionState], id: ChangeId) -> bool {
    let has_committed_or_voted = |region: &RegionState| {
        region.commit_count(id) > 0 || (region.is_pending(id) && region.has_voted())
    };
    regions.iter().any(|region| region.commit_count(id) > 0)
        && !regions.iter().all(has_committed_or_voted)
}

/// Returns whether the change is committed in one region and aborted in another.
fn outcomes_differ(regions: &[RegionState], id: ChangeId) -> bool {
    regions.iter().any(|region| region.commit_count(id) > 0)
        && regions.iter().any(|region| region.is_aborted(id))
}

/// Returns whether the first cross-region change has ended in every region, either committed or aborted.
pub(crate) fn all_ended(state: &State, committed: bool) -> bool {
    let id = ChangeId(1);
    state.published > 0
        && state.regions.iter().all(|region| {
            if committed {
                region.commit_count(id) > 0
            } else {
                region.is_aborted(id)
            }
        })
}

/// Returns whether a participant is still in transition after the coordinator has decided.
pub(crate) fn is_blocked(state: &State) -> bool {
    ids(state).any(|id| {
        let (coordinator, participants) = (&state.regions[0], &state.regions[1..]);
        !coordinator.is_pending(id) && participants.iter().any(|region| region.is_pending(id))
    })
}
