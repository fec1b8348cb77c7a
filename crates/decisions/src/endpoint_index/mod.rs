//! The index of all endpoints: each in a slot of its own, with the sets that a selection draws
//! from, so that none walks over all of them.
//!
//! What counts as available, full or due is decided in `src/balancer`, which files each endpoint's
//! [`EndpointState`] here.

mod slot_groups;
mod state;

use crate::api::{CellId, DedupScope, EndpointId, EndpointRules, Micros, ZoneId};
use crate::endpoint::Endpoint;
use crate::weighted_set::{self, WeightedSet};
use rand::seq::SliceRandom;
use rand::Rng;
use rustc_hash::FxHashMap;
use slot_groups::SlotGroups;
pub(crate) use state::{AllowedEndpoints, CandidateSet, Candidates, EndpointState};
use std::collections::BTreeSet;

/// Random draws before the endpoints of a set are scanned one by one.
const BLIND_DRAWS: usize = 16;
/// Most endpoints that one scan looks at.
const MAX_SCANNED: usize = 256;

/// All endpoints, each in a slot that it keeps, and the sets that a selection draws from.
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
    /// Sum of the weights of all that are listed.
    listed_weight: u64,
    /// Sum of weight times start of all in slow start: it gives their ages' sum at any time.
    slow_start_moment: u128,
    listed: usize,
    ejected: usize,
    outliers: usize,
    /// Ejected endpoints with a trial in flight.
    recovery_trials: usize,
    /// When each state changes by time alone.
    state_changes: BTreeSet<(Micros, u32)>,
    /// From when each ejected endpoint may be tried.
    recoveries: BTreeSet<(Micros, u32)>,
    /// Endpoints with capacity or in slow start, in this balancer's own order of preference.
    by_preference: BTreeSet<(u32, u32)>,
    zones: SlotGroups,
    cells: SlotGroups,
    /// No longer listed, but attempts may still be in flight there.
    departing: BTreeSet<EndpointId>,
    /// Grows with each full list: those that it did not name have gone.
    list_epoch: u32,
    /// The list epoch in which each slot was last named.
    listed_epochs: Vec<u32>,
}

impl std::ops::Index<usize> for EndpointIndex {
    type Output = Endpoint;

    fn index(&self, slot: usize) -> &Endpoint {
        &self.endpoints[slot]
    }
}

impl std::ops::IndexMut<usize> for EndpointIndex {
    /// Whoever changes what an [`EndpointState`] is made of files it again.
    fn index_mut(&mut self, slot: usize) -> &mut Endpoint {
        &mut self.endpoints[slot]
    }
}

impl EndpointIndex {
    /// The slot of an endpoint, if it is known.
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

    /// How many are listed as ready.
    pub(crate) fn listed_count(&self) -> usize {
        self.listed
    }

    /// How many of these are ejected.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// How many that are listed are ejected or failing.
    pub(crate) fn outlier_count(&self) -> usize {
        self.outliers
    }

    /// Sum of the sizes of all that are listed.
    pub(crate) fn total_size(&self) -> f64 {
        weighted_set::size(self.listed_weight)
    }

    /// What all endpoints in slow start can do at the least, by the rules: the sum of their
    /// capacities now.
    pub(crate) fn slow_start_size(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let weight = self.slow_start.total();
        let age =
            (u128::from(now) * u128::from(weight)).saturating_sub(self.slow_start_moment) as f64;
        let grown =
            age / rules.slow_start_duration.max(1) as f64 * (1.0 - rules.slow_start_min_capacity);
        (grown + rules.slow_start_min_capacity * weight as f64) * weighted_set::size(1)
    }

    /// Sum of the sizes of all endpoints in slow start, as if they were warm.
    pub(crate) fn slow_start_full_size(&self) -> f64 {
        weighted_set::size(self.slow_start.total())
    }

    /// How many endpoints are in a set.
    pub(crate) fn count(&self, set: CandidateSet) -> usize {
        self.set(set).len()
    }

    /// Whether an endpoint is in a set.
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

    /// A full list begins: those that it does not name by its end have gone.
    pub(crate) fn begin_full_list(&mut self) {
        self.list_epoch = self.list_epoch.wrapping_add(1);
    }

    /// The list names this endpoint.
    pub(crate) fn mark_listed(&mut self, slot: usize) {
        self.listed_epochs[slot] = self.list_epoch;
    }

    /// The listed ones that a full list did not name.
    pub(crate) fn not_in_full_list(&self) -> Vec<usize> {
        let old =
            |&slot: &usize| self.states[slot].listed && self.listed_epochs[slot] != self.list_epoch;
        (0..self.endpoints.len()).filter(old).collect()
    }

    /// Takes in an endpoint, or another process under the number of one that is known.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) -> usize {
        if let Some(slot) = self.slot(endpoint.id) {
            self.set_state(slot, EndpointState::UNLISTED);
            self.endpoints[slot] = endpoint;
            return slot;
        }
        let slot = self.free_slots.pop().unwrap_or(self.endpoints.len());
        self.slots_by_id.insert(endpoint.id, slot as u32);
        if slot == self.endpoints.len() {
            self.endpoints.push(endpoint);
            self.states.push(EndpointState::UNLISTED);
            self.listed_epochs.push(self.list_epoch);
        } else {
            self.endpoints[slot] = endpoint;
        }
        slot
    }

    /// Forgets the endpoints that are no longer listed once nothing is in flight there.
    pub(crate) fn remove_departed(&mut self) {
        let departing = std::mem::take(&mut self.departing);
        for id in departing {
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

    /// Notes that an endpoint is not listed: it is forgotten when nothing is in flight there any
    /// more.
    pub(crate) fn mark_departing(&mut self, slot: usize) {
        self.departing.insert(self.endpoints[slot].id);
    }

    /// Zone and cell of a listed endpoint are as the list says now.
    pub(crate) fn relocate(&mut self, slot: usize, zone: ZoneId, cell: CellId) {
        let (old_zone, old_cell) = (self.endpoints[slot].zone, self.endpoints[slot].cell);
        if (old_zone, old_cell) == (zone, cell) {
            return;
        }
        let state = self.states[slot];
        self.set_state(slot, EndpointState::UNLISTED);
        (self.endpoints[slot].zone, self.endpoints[slot].cell) = (zone, cell);
        self.set_state(slot, state);
    }

    /// Files where an endpoint stands. It costs nothing but a comparison where nothing has changed.
    pub(crate) fn set_state(&mut self, slot: usize, new: EndpointState) {
        let old = std::mem::replace(&mut self.states[slot], new);
        if old == new {
            return;
        }
        let weight = weighted_set::weight(self.endpoints[slot].size);
        self.file_in_sets(slot, weight, old, new);
        self.file_by_preference(slot, old, new);
        self.file_slow_start(slot, weight, old, new);
        self.file_listed(slot, weight, old, new);
        self.file_ejection(slot, old, new);
        self.file_next_change(slot, old, new);
    }

    fn file_in_sets(&mut self, slot: usize, weight: u64, old: EndpointState, new: EndpointState) {
        let weight_if = |is_member: bool| if is_member { weight } else { 0 };
        if old.available != new.available {
            self.available.set(slot, weight_if(new.available));
        }
        if old.trial_allowed != new.trial_allowed {
            self.trial_allowed.set(slot, weight_if(new.trial_allowed));
        }
        if old.has_capacity != new.has_capacity {
            self.with_capacity.set(slot, weight_if(new.has_capacity));
        }
    }

    fn file_by_preference(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
        let is_ranked = |s: EndpointState| s.has_capacity || s.slow_start_since.is_some();
        if is_ranked(old) == is_ranked(new) {
            return;
        }
        let entry = (self.endpoints[slot].preference, slot as u32);
        if is_ranked(new) {
            self.by_preference.insert(entry);
        } else {
            self.by_preference.remove(&entry);
        }
    }

    fn file_slow_start(
        &mut self,
        slot: usize,
        weight: u64,
        old: EndpointState,
        new: EndpointState,
    ) {
        let (old, new) = (old.slow_start_since, new.slow_start_since);
        if old == new {
            return;
        }
        let moment = |since: Option<Micros>| u128::from(since.unwrap_or(0)) * u128::from(weight);
        self.slow_start_moment = self.slow_start_moment - moment(old) + moment(new);
        self.slow_start
            .set(slot, if new.is_some() { weight } else { 0 });
    }

    fn file_listed(&mut self, slot: usize, weight: u64, old: EndpointState, new: EndpointState) {
        if old.listed == new.listed {
            return;
        }
        let &Endpoint { zone, cell, .. } = &self.endpoints[slot];
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

    fn file_ejection(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
        self.ejected = self.ejected + usize::from(new.ejected) - usize::from(old.ejected);
        self.outliers = self.outliers + usize::from(new.is_outlier) - usize::from(old.is_outlier);
        let trials = |s: EndpointState| usize::from(s.ejected && s.recovery_trial_out);
        self.recovery_trials = self.recovery_trials + trials(new) - trials(old);
        let recovery = |s: EndpointState| {
            (s.ejected && !s.recovery_trial_out).then_some((s.recovery_at, slot as u32))
        };
        if recovery(old) == recovery(new) {
            return;
        }
        if let Some(entry) = recovery(old) {
            self.recoveries.remove(&entry);
        }
        if let Some(entry) = recovery(new) {
            self.recoveries.insert(entry);
        }
    }

    fn file_next_change(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
        if old.next_change == new.next_change {
            return;
        }
        if old.next_change < Micros::MAX {
            self.state_changes.remove(&(old.next_change, slot as u32));
        }
        if new.next_change < Micros::MAX {
            self.state_changes.insert((new.next_change, slot as u32));
        }
    }

    /// When time alone next changes a state.
    pub(crate) fn next_state_change(&self) -> Option<Micros> {
        self.state_changes.first().map(|d| d.0)
    }

    /// An endpoint whose state time has changed by now.
    pub(crate) fn overdue_state(&self, now: Micros) -> Option<usize> {
        self.state_changes
            .first()
            .filter(|d| d.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// An ejected endpoint whose backoff is over and that has no trial in flight.
    pub(crate) fn recovery_due(&self, now: Micros) -> Option<usize> {
        self.recoveries
            .first()
            .filter(|b| b.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// When the first ejected endpoint may be tried; 0 while one is being tried.
    pub(crate) fn first_recovery_at(&self) -> Micros {
        if self.recovery_trials > 0 {
            return 0;
        }
        self.recoveries.first().map_or(0, |b| b.0)
    }

    /// The endpoints that drop repeats of what one of this zone and cell has run; of very many,
    /// some from a random one on.
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

    /// Random endpoints, each with a chance in proportion to its size, none twice. Drawing until
    /// one passes has the same distribution as drawing among those that pass; where few do, they
    /// are scanned one by one, up to a bound.
    pub(crate) fn draw(
        &self,
        random: &mut impl Rng,
        (set, allowed): (CandidateSet, &AllowedEndpoints),
        count: usize,
        passes: impl Fn(&Endpoint) -> bool,
    ) -> Candidates {
        let set = self.set(set);
        let mut drawn = Candidates::new();
        if let AllowedEndpoints::Only(slots) = allowed {
            let fits = |&&slot: &&usize| set.contains(slot) && passes(&self.endpoints[slot]);
            let fitting: Vec<usize> = slots.iter().filter(fits).copied().collect();
            let chosen =
                fitting.choose_multiple_weighted(random, count, |&slot| self.endpoints[slot].size);
            drawn.extend(chosen.into_iter().flatten().copied());
            return drawn;
        }
        while drawn.len() < count.min(set.len()) {
            let is_new = |slot: &usize| !drawn.contains(slot) && passes(&self.endpoints[*slot]);
            let blind = (0..BLIND_DRAWS).find_map(|_| set.draw(random).filter(is_new));
            let Some(slot) = blind.or_else(|| self.scan(random, set, is_new)) else {
                break;
            };
            drawn.push(slot);
        }
        drawn
    }

    /// One among those that pass, scanned for from a random place on: a weighted reservoir sample
    /// of one.
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

    /// An endpoint in slow start, with a chance in proportion to what it can do now.
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
        passes: impl Fn(&Endpoint) -> bool,
    ) -> Vec<usize> {
        let fits = |slot: &usize| self.set(set).contains(*slot) && passes(&self.endpoints[*slot]);
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
