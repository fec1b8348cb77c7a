//! The properties, judged from what proxies may begin and from how changes stand in each region.

use crate::world::{Site, State};
use badgerramp_policy::regions::ChangeId;
use badgerramp_policy::{Admission, ChangeStatus, Generation, Mode};

/// A property that broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Violation {
    /// A call may begin under the old policy after one has begun under the new one.
    Mixed,
    /// A change is in force in one region, and another one has not voted for it.
    Unvoted,
    /// A change ends in different ways.
    EndsUnlike,
    /// A change comes into force for a second time.
    TwiceInForce,
}

impl Site {
    /// The generations that a change of all regions has had here, and how each ended.
    fn generations(&self, id: ChangeId) -> impl Iterator<Item = (Generation, &ChangeStatus)> {
        let of = move |change: &badgerramp_policy::Change| change.id == Some(id);
        self.record
            .changes()
            .iter()
            .filter(move |(_, c)| of(c))
            .map(|(&g, c)| (g, &c.status))
    }

    fn in_force(&self, id: ChangeId) -> usize {
        self.generations(id)
            .filter(|(_, ended)| **ended == ChangeStatus::Committed)
            .count()
    }

    fn not_in_force(&self, id: ChangeId) -> bool {
        self.generations(id)
            .any(|(_, ended)| matches!(ended, ChangeStatus::Aborted { .. }))
    }

    fn is_under_way(&self, id: ChangeId) -> bool {
        self.record
            .cross_region()
            .is_some_and(|cross| cross.change.id == id)
    }

    fn may_begin(&self, now: u64) -> Option<Mode> {
        match self.holder.admission(now) {
            Admission::Under(mode) => Some(mode),
            Admission::Fallback(_) | Admission::Denied(_) => None,
        }
    }
}

fn ids(state: &State) -> impl Iterator<Item = ChangeId> {
    (1..=u64::from(state.published)).map(ChangeId)
}

/// Judges a state that was just reached.
pub(crate) fn judge(state: &mut State) {
    let ids: Vec<ChangeId> = ids(state).collect();
    for id in ids {
        let sites = &state.sites;
        let new = |s: &Site| {
            s.may_begin(state.now)
                .is_some_and(|mode| begins_new(s, id, mode))
        };
        if sites.iter().any(new) {
            state.passed.insert(id);
        }
        let old = |s: &Site| {
            s.may_begin(state.now)
                .is_some_and(|mode| begins_old(s, id, mode))
        };
        let mixed = state.passed.contains(&id) && sites.iter().any(old);
        let twice = sites.iter().any(|s| s.in_force(id) > 1);
        let found = [
            (mixed, Violation::Mixed),
            (unvoted(sites, id), Violation::Unvoted),
            (ends_unlike(sites, id), Violation::EndsUnlike),
            (twice, Violation::TwiceInForce),
        ];
        state.faults.extend(
            found
                .into_iter()
                .filter(|(is_found, _)| *is_found)
                .map(|(_, fault)| fault),
        );
    }
}

/// Does a call under `mode` go by the new policy of a change, or by one after it?
fn begins_new(site: &Site, id: ChangeId, mode: Mode) -> bool {
    site.generations(id).any(|(generation, ended)| {
        mode.old == generation || (mode.old > generation && *ended == ChangeStatus::Committed)
    })
}

/// Does a call under `mode` go by a policy before that of a change alone?
fn begins_old(site: &Site, id: ChangeId, mode: Mode) -> bool {
    site.generations(id)
        .all(|(generation, _)| mode.new < generation)
}

/// In force in one region, while another one neither has it in force nor has logged its vote.
fn unvoted(sites: &[Site], id: ChangeId) -> bool {
    let follows = |s: &Site| s.in_force(id) > 0 || (s.is_under_way(id) && s.has_voted());
    sites.iter().any(|s| s.in_force(id) > 0) && !sites.iter().all(follows)
}

/// In force in one region, and ended as not in force in another one.
fn ends_unlike(sites: &[Site], id: ChangeId) -> bool {
    sites.iter().any(|s| s.in_force(id) > 0) && sites.iter().any(|s| s.not_in_force(id))
}

/// Has the first change of all regions ended in all of them, as in force or not?
pub(crate) fn all_ended(state: &State, in_force: bool) -> bool {
    let id = ChangeId(1);
    state.published > 0
        && state.sites.iter().all(|s| {
            if in_force {
                s.in_force(id) > 0
            } else {
                s.not_in_force(id)
            }
        })
}

/// Is a region that has voted still under way when the coordinator has decided?
pub(crate) fn waits_in_vain(state: &State) -> bool {
    ids(state).any(|id| {
        let (coordinator, participants) = (&state.sites[0], &state.sites[1..]);
        !coordinator.is_under_way(id) && participants.iter().any(|s| s.is_under_way(id))
    })
}
