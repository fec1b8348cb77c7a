//! The servers of the list and what of them is kept ready for a pick, so that none walks over all
//! of them. What counts as up, full or due is decided in `src/balancer`, which files each server's
//! [`EndpointState`] here.

mod slot_groups;
mod state;

use crate::api::*;
use crate::endpoint::Endpoint;
use crate::weighted_set::{self, WeightedSet};
use rand::seq::SliceRandom;
use rand::Rng;
use rustc_hash::FxHashMap;
use slot_groups::SlotGroups;
pub(crate) use state::{AllowedEndpoints, CandidateSet, Candidates, EndpointState};
use std::collections::BTreeSet;

/// Blind draws before the servers of a set are looked at one by one, and the most that are looked
/// at then.
const BLIND_DRAWS: usize = 16;
const MAX_SCANNED: usize = 256;

/// All servers, each in a slot that it keeps, and the sets that the pick draws from.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointIndex {
    endpoints: Vec<Endpoint>,
    states: Vec<EndpointState>,
    free_slots: Vec<usize>,
    slots_by_id: FxHashMap<EndpointId, u32>,
    available: WeightedSet,
    with_capacity: WeightedSet,
    trial_allowed: WeightedSet,
    slow_start: WeightedSet,
    /// Weights of all that are listed, and of the cold ones also times the moment since when they
    /// warm up.
    listed_weight: u64,
    slow_start_moment: u128,
    listed: usize,
    ejected: usize,
    outliers: usize,
    recovery_trials: usize,
    /// When each standing changes by time alone, and from when those set aside may be tried.
    state_changes: BTreeSet<(Micros, u32)>,
    recoveries: BTreeSet<(Micros, u32)>,
    /// Servers with room, and cold ones, in this balancer's own order of preference.
    by_preference: BTreeSet<(u32, u32)>,
    zones: SlotGroups,
    cells: SlotGroups,
    /// No longer listed, but something is still out there.
    departing: BTreeSet<EndpointId>,
    /// Grows with each full list: those that it did not name have gone.
    list_epoch: u32,
    listed_epochs: Vec<u32>,
}

impl std::ops::Index<usize> for EndpointIndex {
    type Output = Endpoint;

    fn index(&self, slot: usize) -> &Endpoint {
        &self.endpoints[slot]
    }
}

impl std::ops::IndexMut<usize> for EndpointIndex {
    /// Whoever changes what a [`EndpointState`] is made of files it again.
    fn index_mut(&mut self, slot: usize) -> &mut Endpoint {
        &mut self.endpoints[slot]
    }
}

impl EndpointIndex {
    /// The slot of a server, if it is known.
    pub(crate) fn slot(&self, id: EndpointId) -> Option<usize> {
        self.slots_by_id.get(&id).map(|&slot| slot as usize)
    }

    /// Every slot in use.
    pub(crate) fn slots(&self) -> Vec<usize> {
        let mut slots: Vec<usize> = self
            .slots_by_id
            .values()
            .map(|&slot| slot as usize)
            .collect();
        slots.sort_unstable();
        slots
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.listed
    }

    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// How many that are listed are set aside or fail.
    pub(crate) fn outlier_count(&self) -> usize {
        self.outliers
    }

    /// Sum of the sizes of all that are listed.
    pub(crate) fn total_size(&self) -> f64 {
        weighted_set::size(self.listed_weight)
    }

    /// What all cold servers can do at the least, as the rules say that they warm up.
    pub(crate) fn slow_start_size(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let weight = self.slow_start.total();
        let age =
            (u128::from(now) * u128::from(weight)).saturating_sub(self.slow_start_moment) as f64;
        let grown =
            age / rules.slow_start_duration.max(1) as f64 * (1.0 - rules.slow_start_min_capacity);
        (grown + rules.slow_start_min_capacity * weight as f64) * weighted_set::size(1)
    }

    /// Sum of the sizes of all cold servers.
    pub(crate) fn slow_start_full_size(&self) -> f64 {
        weighted_set::size(self.slow_start.total())
    }

    pub(crate) fn count(&self, set: CandidateSet) -> usize {
        self.set(set).len()
    }

    pub(crate) fn contains(&self, set: CandidateSet, slot: usize) -> bool {
        self.set(set).contains(slot)
    }

    fn set(&self, set: CandidateSet) -> &WeightedSet {
        match set {
            CandidateSet::Available => &self.available,
            CandidateSet::WithCapacity => &self.with_capacity,
            CandidateSet::TrialAllowed => &self.trial_allowed,
            CandidateSet::SlowStart => &self.slow_start,
        }
    }

    // The list.

    /// A full list begins: those that it does not name by its end have gone.
    pub(crate) fn begin_full_list(&mut self) {
        self.list_epoch = self.list_epoch.wrapping_add(1);
    }

    /// The list names this server.
    pub(crate) fn mark_listed(&mut self, slot: usize) {
        self.listed_epochs[slot] = self.list_epoch;
    }

    /// The listed ones that a full list did not name.
    pub(crate) fn not_in_full_list(&self) -> Vec<usize> {
        let old =
            |&slot: &usize| self.states[slot].listed && self.listed_epochs[slot] != self.list_epoch;
        (0..self.endpoints.len()).filter(old).collect()
    }

    /// Takes in a server, or another process under the number of one that is known.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) -> usize {
        if let Some(slot) = self.slot(endpoint.id) {
            self.set_state(
                slot,
                EndpointState {
                    next_change: Micros::MAX,
                    ..EndpointState::default()
                },
            );
            self.endpoints[slot] = endpoint;
            return slot;
        }
        let slot = self.free_slots.pop().unwrap_or(self.endpoints.len());
        self.slots_by_id.insert(endpoint.id, slot as u32);
        if slot == self.endpoints.len() {
            self.endpoints.push(endpoint);
            self.states.push(EndpointState {
                next_change: Micros::MAX,
                ..EndpointState::default()
            });
            self.listed_epochs.push(self.list_epoch);
        } else {
            self.endpoints[slot] = endpoint;
        }
        slot
    }

    /// Forgets the servers that are no longer listed once nothing is out there.
    pub(crate) fn remove_departed(&mut self) {
        let leaving = std::mem::take(&mut self.departing);
        for id in leaving {
            let Some(slot) = self.slot(id) else { continue };
            if self.states[slot].listed {
                continue;
            }
            if self.endpoints[slot].in_flight > 0 {
                self.departing.insert(id);
            } else {
                self.slots_by_id.remove(&id);
                self.endpoints[slot] = Endpoint::default();
                self.free_slots.push(slot);
            }
        }
    }

    /// Notes that a server is not listed: it is forgotten when nothing is out there any more.
    pub(crate) fn mark_departing(&mut self, slot: usize) {
        self.departing.insert(self.endpoints[slot].id);
    }

    /// Zone and cell of a listed server are as the list says now.
    pub(crate) fn relocate(&mut self, slot: usize, zone: ZoneId, cell: CellId) {
        let (old_zone, old_cell) = (self.endpoints[slot].zone, self.endpoints[slot].cell);
        if (old_zone, old_cell) == (zone, cell) {
            return;
        }
        let state = self.states[slot];
        self.set_state(
            slot,
            EndpointState {
                next_change: Micros::MAX,
                ..EndpointState::default()
            },
        );
        (self.endpoints[slot].zone, self.endpoints[slot].cell) = (zone, cell);
        self.set_state(slot, state);
    }

    // Standings.

    /// Files where a server stands. Costs nothing but a comparison where it stands as before.
    pub(crate) fn set_state(&mut self, slot: usize, new: EndpointState) {
        let old = std::mem::replace(&mut self.states[slot], new);
        if old == new {
            return;
        }
        let Endpoint {
            zone,
            cell,
            size,
            preference: rank,
            ..
        } = self.endpoints[slot];
        let (weight, key) = (weighted_set::weight(size), slot as u32);
        let part = |is: bool| if is { weight } else { 0 };
        if old.available != new.available {
            self.available.set(slot, part(new.available));
        }
        if old.trial_allowed != new.trial_allowed {
            self.trial_allowed.set(slot, part(new.trial_allowed));
        }
        if old.has_capacity != new.has_capacity {
            self.with_capacity.set(slot, part(new.has_capacity));
        }
        let ranked = |s: EndpointState| s.has_capacity || s.slow_start_since.is_some();
        if ranked(old) != ranked(new) {
            if ranked(new) {
                self.by_preference.insert((rank, key));
            } else {
                self.by_preference.remove(&(rank, key));
            }
        }
        if old.slow_start_since != new.slow_start_since {
            let moment =
                |since: Option<Micros>| u128::from(since.unwrap_or(0)) * u128::from(weight);
            self.slow_start_moment = self.slow_start_moment - moment(old.slow_start_since)
                + moment(new.slow_start_since);
            self.slow_start
                .set(slot, part(new.slow_start_since.is_some()));
        }
        if old.listed != new.listed {
            if new.listed {
                self.listed += 1;
                self.listed_weight += weight;
                self.zones.add(zone.0, slot);
                self.cells.add(cell.0, slot);
            } else {
                self.listed -= 1;
                self.listed_weight -= weight;
                self.zones.remove(zone.0, slot);
                self.cells.remove(cell.0, slot);
            }
        }
        self.ejected = self.ejected + usize::from(new.ejected) - usize::from(old.ejected);
        self.outliers = self.outliers + usize::from(new.is_outlier) - usize::from(old.is_outlier);
        let tested = |s: EndpointState| usize::from(s.ejected && s.recovery_trial_out);
        self.recovery_trials = self.recovery_trials + tested(new) - tested(old);
        let back =
            |s: EndpointState| (s.ejected && !s.recovery_trial_out).then_some((s.recovery_at, key));
        if back(old) != back(new) {
            back(old).map(|entry| self.recoveries.remove(&entry));
            back(new).map(|entry| self.recoveries.insert(entry));
        }
        if old.next_change != new.next_change {
            (old.next_change < Micros::MAX)
                .then(|| self.state_changes.remove(&(old.next_change, key)));
            (new.next_change < Micros::MAX)
                .then(|| self.state_changes.insert((new.next_change, key)));
        }
    }

    /// When time alone next changes a standing.
    pub(crate) fn next_state_change(&self) -> Option<Micros> {
        self.state_changes.first().map(|d| d.0)
    }

    /// A server whose standing time has changed by now.
    pub(crate) fn overdue_state(&self, now: Micros) -> Option<usize> {
        self.state_changes
            .first()
            .filter(|d| d.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// One that is set aside and due for the call that tries it.
    pub(crate) fn recovery_due(&self, now: Micros) -> Option<usize> {
        self.recoveries
            .first()
            .filter(|b| b.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// When the first that is set aside may be tried; 0 while one is being tried.
    pub(crate) fn first_recovery_at(&self) -> Micros {
        if self.recovery_trials > 0 {
            return 0;
        }
        self.recoveries.first().map_or(0, |b| b.0)
    }

    // Draws.

    /// The servers that drop repeats of what one of this place has run; of very many, some from a
    /// random one on.
    pub(crate) fn sharing_dedup_scope(
        &self,
        random: &mut impl Rng,
        (scope, zone, cell): (DedupScope, ZoneId, CellId),
    ) -> AllowedEndpoints {
        let list = match scope {
            DedupScope::All => return AllowedEndpoints::All,
            DedupScope::Zone => self.zones.get(zone.0),
            DedupScope::Cell => self.cells.get(cell.0),
        };
        let start = random.gen_range(0..list.len().max(1));
        let slots = list
            .iter()
            .cycle()
            .skip(start)
            .take(list.len().min(4 * MAX_SCANNED));
        AllowedEndpoints::Only(slots.map(|&slot| slot as usize).collect())
    }

    /// Random servers, each with a chance in proportion to its size, none twice. Drawing until one
    /// passes has the same law as drawing among those that pass; where few do, they are looked for
    /// one by one, up to a bound.
    pub(crate) fn draw(
        &self,
        random: &mut impl Rng,
        (set, allowed): (CandidateSet, &AllowedEndpoints),
        count: usize,
        pass: impl Fn(&Endpoint) -> bool,
    ) -> Candidates {
        let set = self.set(set);
        let mut drawn = Candidates::new();
        if let AllowedEndpoints::Only(slots) = allowed {
            let fits = |&&slot: &&usize| set.contains(slot) && pass(&self.endpoints[slot]);
            let fitting: Vec<usize> = slots.iter().filter(fits).copied().collect();
            let chosen =
                fitting.choose_multiple_weighted(random, count, |&slot| self.endpoints[slot].size);
            drawn.extend(chosen.into_iter().flatten().copied());
            return drawn;
        }
        while drawn.len() < count.min(set.len()) {
            let passes = |slot: &usize| !drawn.contains(slot) && pass(&self.endpoints[*slot]);
            let blind = (0..BLIND_DRAWS).find_map(|_| set.draw(random).filter(passes));
            let Some(slot) = blind.or_else(|| self.scan(random, set, passes)) else {
                break;
            };
            drawn.push(slot);
        }
        drawn
    }

    /// One among those that pass, looked for from a random place on.
    fn scan(
        &self,
        random: &mut impl Rng,
        set: &WeightedSet,
        passes: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let start = random.gen_range(0..set.total().max(1));
        let (mut chosen, mut total) = (None, 0);
        for slot in set.from(start).take(MAX_SCANNED).filter(passes) {
            let weight = weighted_set::weight(self.endpoints[slot].size);
            total += weight;
            if random.gen_range(0..total) < weight {
                chosen = Some(slot);
            }
        }
        chosen
    }

    /// A cold server, with a chance in proportion to what it can do now.
    pub(crate) fn draw_slow_start(
        &self,
        random: &mut impl Rng,
        capacity_share: impl Fn(&Endpoint) -> f64,
    ) -> Option<usize> {
        let mut last = None;
        for _ in 0..4 * BLIND_DRAWS {
            last = self.slow_start.draw(random);
            let slot = last?;
            if random.gen::<f64>() < capacity_share(&self.endpoints[slot]) {
                break;
            }
        }
        last
    }

    /// The first that pass in this balancer's own order, at the most so many.
    pub(crate) fn by_own_preference(
        &self,
        (set, allowed): (CandidateSet, &AllowedEndpoints),
        count: usize,
        pass: impl Fn(&Endpoint) -> bool,
    ) -> Vec<usize> {
        let fits = |slot: &usize| self.set(set).contains(*slot) && pass(&self.endpoints[*slot]);
        if let AllowedEndpoints::Only(slots) = allowed {
            let mut slots: Vec<usize> = slots.iter().copied().filter(fits).collect();
            slots.sort_unstable_by_key(|&slot| (self.endpoints[slot].preference, slot));
            slots.truncate(count);
            return slots;
        }
        let slots = self
            .by_preference
            .iter()
            .take(MAX_SCANNED.max(count))
            .map(|&(_, slot)| slot as usize);
        slots.filter(fits).take(count).collect()
    }
}
