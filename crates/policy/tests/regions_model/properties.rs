//! The properties, checked against the calls that proxies may start and the status of changes in each region.

use crate::model::{RegionState, State};
use badgerramp_policy::regions::ChangeId;
use badgerramp_policy::{Admission, ChangeStatus, Generation, Mode};

/// A violated property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Violation {
    /// A call may start under the old policy after one has started under the new one.
    MixedGenerations,
    /// A change is committed in one region, and another one has not voted for it.
    CommittedWithoutVotes,
    /// A change is committed in one region and aborted in another.
    OutcomesDiffer,
    /// A change is committed twice in one region.
    CommittedTwice,
}

impl RegionState {
    /// The generations of a cross-region change in this region, with their status.
    fn generations(&self, id: ChangeId) -> impl Iterator<Item = (Generation, &ChangeStatus)> {
        let of = move |change: &badgerramp_policy::Change| change.id == Some(id);
        self.record
            .changes()
            .iter()
            .filter(move |(_, c)| of(c))
            .map(|(&g, c)| (g, &c.status))
    }

    fn committed(&self, id: ChangeId) -> usize {
        self.generations(id)
            .filter(|(_, ended)| **ended == ChangeStatus::Committed)
            .count()
    }

    fn is_aborted(&self, id: ChangeId) -> bool {
        self.generations(id)
            .any(|(_, ended)| matches!(ended, ChangeStatus::Aborted { .. }))
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

fn ids(state: &State) -> impl Iterator<Item = ChangeId> {
    (1..=u64::from(state.published)).map(ChangeId)
}

/// Adds the violations of a state that was just reached.
pub(crate) fn check(state: &mut State) {
    let ids: Vec<ChangeId> = ids(state).collect();
    for id in ids {
        let regions = &state.regions;
        let new = |s: &RegionState| {
            s.admitted_mode(state.now)
                .is_some_and(|mode| starts_new(s, id, mode))
        };
        if regions.iter().any(new) {
            state.started_new.insert(id);
        }
        let old = |s: &RegionState| {
            s.admitted_mode(state.now)
                .is_some_and(|mode| starts_old(s, id, mode))
        };
        let mixed = state.started_new.contains(&id) && regions.iter().any(old);
        let twice = regions.iter().any(|s| s.committed(id) > 1);
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

/// Whether a call under `mode` follows the new policy of a change, or a later one.
fn starts_new(region_state: &RegionState, id: ChangeId, mode: Mode) -> bool {
    region_state.generations(id).any(|(generation, ended)| {
        mode.old == generation || (mode.old > generation && *ended == ChangeStatus::Committed)
    })
}

/// Whether a call under `mode` follows only policies before that of a change.
fn starts_old(region_state: &RegionState, id: ChangeId, mode: Mode) -> bool {
    region_state
        .generations(id)
        .all(|(generation, _)| mode.new < generation)
}

/// Whether the change is committed in one region, while another one has neither committed nor voted.
fn committed_without_votes(regions: &[RegionState], id: ChangeId) -> bool {
    let follows = |s: &RegionState| s.committed(id) > 0 || (s.is_pending(id) && s.has_voted());
    regions.iter().any(|s| s.committed(id) > 0) && !regions.iter().all(follows)
}

/// Whether the change is committed in one region and aborted in another.
fn outcomes_differ(regions: &[RegionState], id: ChangeId) -> bool {
    regions.iter().any(|s| s.committed(id) > 0) && regions.iter().any(|s| s.is_aborted(id))
}

/// Whether the first cross-region change has ended in every region, committed or aborted.
pub(crate) fn all_ended(state: &State, committed: bool) -> bool {
    let id = ChangeId(1);
    state.published > 0
        && state.regions.iter().all(|s| {
            if committed {
                s.committed(id) > 0
            } else {
                s.is_aborted(id)
            }
        })
}

/// Whether a participant is still in transition after the coordinator has decided.
pub(crate) fn is_blocked(state: &State) -> bool {
    ids(state).any(|id| {
        let (coordinator, participants) = (&state.regions[0], &state.regions[1..]);
        !coordinator.is_pending(id) && participants.iter().any(|s| s.is_pending(id))
    })
}
