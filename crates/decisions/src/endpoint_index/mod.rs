//! The index of all endpoints. Each endpoint has a slot, and the index maintains the sets that
//! selection draws from, so that no selection iterates over all endpoints.
//!
//! `src/balancer` determines the [`EndpointState`] of each endpoint and stores it here.

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

/// Number of random draws before the endpoints of a set are scanned.
const MAX_RANDOM_DRAWS: usize = 16;
/// Maximum number of endpoints visited by one scan.
const MAX_SCANNED: usize = 256;

/// All endpoints, each in a fixed slot, and the sets that selection draws from.
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
    /// Sum of the weights of all listed endpoints.
    listed_weight: u64,
    /// Sum of weight times start time over all endpoints in slow start, from which the weighted sum
    /// of their ages follows at any time.
    slow_start_moment: u128,
    listed: usize,
    ejected: usize,
    outliers: usize,
    /// Number of ejected endpoints with a trial in flight.
    recovery_trials: usize,
    /// Time and slot of each state change that happens without an event.
    state_changes: BTreeSet<(Micros, u32)>,
    /// Time from which each ejected endpoint may get a recovery trial, with its slot.
    recoveries: BTreeSet<(Micros, u32)>,
    /// Endpoints with capacity or in slow start, by preference and slot.
    by_preference: BTreeSet<(u32, u32)>,
    zones: SlotGroups,
    cells: SlotGroups,
    /// Endpoints that are no longer listed but may still have attempts in flight.
    departing: BTreeSet<EndpointId>,
    /// Incremented with each full list. Endpoints not marked with the current epoch are no longer
    /// listed.
    list_epoch: u32,
    /// The epoch in which each slot was last listed.
    listed_epochs: Vec<u32>,
}

impl std::ops::Index<usize> for EndpointIndex {
    type Output = Endpoint;

    fn index(&self, slot: usize) -> &Endpoint {
        &self.endpoints[slot]
    }
}

impl std::ops::IndexMut<usize> for EndpointIndex {
    /// A caller that changes the inputs of an [`EndpointState`] must call
    /// [`EndpointIndex::set_state`].
    fn index_mut(&mut self, slot: usize) -> &mut Endpoint {
        &mut self.endpoints[slot]
    }
}

impl EndpointIndex {
    /// The slot of an endpoint, if the endpoint is known.
    pub(crate) fn slot(&self, id: EndpointId) -> Option<usize> {
        self.slots_by_id.get(&id).map(|&slot| slot as usize)
    }

    /// All slots in use, in ascending order.
    pub(crate) fn slots(&self) -> Vec<usize> {
        let mut slots: Vec<usize> = self
            .slots_by_id
            .values()
            .map(|&slot| slot as usize)
            .collect();
        slots.sort_unstable();
        slots
    }

    /// Number of endpoints listed as ready.
    pub(crate) fn listed_count(&self) -> usize {
        self.listed
    }

    /// Number of listed endpoints that are ejected.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// Number of listed endpoints that are ejected or failing.
    pub(crate) fn outlier_count(&self) -> usize {
        self.outliers
    }

    /// Sum of the sizes of all listed endpoints.
    pub(crate) fn total_size(&self) -> f64 {
        weighted_set::size(self.listed_weight)
    }

    /// Sum of the guaranteed current capacities of all endpoints in slow start.
    pub(crate) fn slow_start_size(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let weight = self.slow_start.total();
        let age =
            (u128::from(now) * u128::from(weight)).saturating_sub(self.slow_start_moment) as f64;
        let grown =
            age / rules.slow_start_duration.max(1) as f64 * (1.0 - rules.slow_start_min_capacity);
        (grown + rules.slow_start_min_capacity * weight as f64) * weighted_set::size(1)
    }

    /// Sum of the full sizes of all endpoints in slow start.
    pub(crate) fn slow_start_full_size(&self) -> f64 {
        weighted_set::size(self.slow_start.total())
    }

    /// Number of endpoints in a set.
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

    /// Starts a full list. Endpoints that are not marked as listed before its end have been
    /// removed.
    pub(crate) fn begin_full_list(&mut self) {
        self.list_epoch = self.list_epoch.wrapping_add(1);
    }

    /// Marks an endpoint as contained in the current list.
    pub(crate) fn mark_listed(&mut self, slot: usize) {
        self.listed_epochs[slot] = self.list_epoch;
    }

    /// The listed endpoints that the current full list does not contain.
    pub(crate) fn missing_from_full_list(&self) -> Vec<usize> {
        let is_missing =
            |&slot: &usize| self.states[slot].listed && self.listed_epochs[slot] != self.list_epoch;
        (0..self.endpoints.len()).filter(is_missing).collect()
    }

    /// Inserts an endpoint, or replaces the state of a known one after a restart. Returns its slot.
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

    /// Removes endpoints that are no longer listed and have nothing in flight.
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

    /// Marks an endpoint as no longer listed. It is removed once it has nothing in flight.
    pub(crate) fn mark_departing(&mut self, slot: usize) {
        self.departing.insert(self.endpoints[slot].id);
    }

    /// Updates the zone and the cell of a listed endpoint.
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

    /// Sets the state of an endpoint and updates all sets. An unchanged state costs one comparison.
    pub(crate) fn set_state(&mut self, slot: usize, new: EndpointState) {
        let old = std::mem::replace(&mut self.states[slot], new);
        if old == new {
            return;
        }
        let weight = weighted_set::weight(self.endpoints[slot].size);
        self.update_candidate_sets(slot, weight, old, new);
        self.update_preference_order(slot, old, new);
        self.update_slow_start(slot, weight, old, new);
        self.update_listed(slot, weight, old, new);
        self.update_ejection(slot, old, new);
        self.update_next_change(slot, old, new);
    }

    fn update_candidate_sets(
        &mut self,
        slot: usize,
        weight: u64,
        old: EndpointState,
        new: EndpointState,
    ) {
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

    fn update_preference_order(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
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

    fn update_slow_start(
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
        let weighted_start =
            |since: Option<Micros>| u128::from(since.unwrap_or(0)) * u128::from(weight);
        self.slow_start_moment = self.slow_start_moment - weighted_start(old) + weighted_start(new);
        self.slow_start
            .set(slot, if new.is_some() { weight } else { 0 });
    }

    fn update_listed(&mut self, slot: usize, weight: u64, old: EndpointState, new: EndpointState) {
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

    fn update_ejection(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
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

    fn update_next_change(&mut self, slot: usize, old: EndpointState, new: EndpointState) {
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

    /// Time of the next state change that happens without an event.
    pub(crate) fn next_state_change(&self) -> Option<Micros> {
        self.state_changes.first().map(|d| d.0)
    }

    /// An endpoint whose state change is due by `now`.
    pub(crate) fn overdue_state(&self, now: Micros) -> Option<usize> {
        self.state_changes
            .first()
            .filter(|d| d.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// An ejected endpoint whose backoff has expired and that has no trial in flight.
    pub(crate) fn recovery_due(&self, now: Micros) -> Option<usize> {
        self.recoveries
            .first()
            .filter(|b| b.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// Time at which the first ejected endpoint may get a recovery trial; 0 if one is in flight.
    pub(crate) fn first_recovery_at(&self) -> Micros {
        if self.recovery_trials > 0 {
            return 0;
        }
        self.recoveries.first().map_or(0, |b| b.0)
    }

    /// The endpoints that deduplicate a call executed at an endpoint of this zone and cell. If
    /// there are very many, a bounded number from a random position on.
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

    /// Draws up to `count` distinct random endpoints that satisfy the predicate, with probability
    /// proportional to size. Redrawing until an endpoint satisfies the predicate yields the same
    /// distribution as drawing among those that do. If few do, a bounded number of endpoints is
    /// scanned instead.
    pub(crate) fn draw(
        &self,
        random: &mut impl Rng,
        (set, allowed): (CandidateSet, &AllowedEndpoints),
        count: usize,
        predicate: impl Fn(&Endpoint) -> bool,
    ) -> Candidates {
        let set = self.set(set);
        let mut drawn = Candidates::new();
        if let AllowedEndpoints::Only(slots) = allowed {
            let is_match = |&&slot: &&usize| set.contains(slot) && predicate(&self.endpoints[slot]);
            let matching: Vec<usize> = slots.iter().filter(is_match).copied().collect();
            let chosen =
                matching.choose_multiple_weighted(random, count, |&slot| self.endpoints[slot].size);
            drawn.extend(chosen.into_iter().flatten().copied());
            return drawn;
        }
        while drawn.len() < count.min(set.len()) {
            let is_new = |slot: &usize| !drawn.contains(slot) && predicate(&self.endpoints[*slot]);
            let random_match = (0..MAX_RANDOM_DRAWS).find_map(|_| set.draw(random).filter(is_new));
            let Some(slot) = random_match.or_else(|| self.scan(random, set, is_new)) else {
                break;
            };
            drawn.push(slot);
        }
        drawn
    }

    /// Scans from a random position and selects one endpoint that satisfies the predicate, by
    /// weighted reservoir sampling.
    fn scan(
        &self,
        random: &mut impl Rng,
        set: &WeightedSet,
        predicate: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let start = random.gen_range(0..set.total().max(1));
        let (mut chosen, mut total) = (None, 0);
        for slot in set.iter_from(start).take(MAX_SCANNED).filter(predicate) {
            let weight = weighted_set::weight(self.endpoints[slot].size);
            total += weight;
            if random.gen_range(0..total) < weight {
                chosen = Some(slot);
            }
        }
        chosen
    }

    /// Draws an endpoint in slow start, with probability proportional to its current capacity.
    pub(crate) fn draw_slow_start(
        &self,
        random: &mut impl Rng,
        capacity_share: impl Fn(&Endpoint) -> f64,
    ) -> Option<usize> {
        let mut last = None;
        for _ in 0..4 * MAX_RANDOM_DRAWS {
            last = self.slow_start.draw(random);
            let slot = last?;
            if random.gen::<f64>() < capacity_share(&self.endpoints[slot]) {
                break;
            }
        }
        last
    }

    /// The first `count` endpoints that satisfy the predicate, in this balancer's order of
    /// preference.
    pub(crate) fn in_preference_order(
        &self,
        (set, allowed): (CandidateSet, &AllowedEndpoints),
        count: usize,
        predicate: impl Fn(&Endpoint) -> bool,
    ) -> Vec<usize> {
        let is_match =
            |slot: &usize| self.set(set).contains(*slot) && predicate(&self.endpoints[*slot]);
        if let AllowedEndpoints::Only(slots) = allowed {
            let mut slots: Vec<usize> = slots.iter().copied().filter(is_match).collect();
            slots.sort_unstable_by_key(|&slot| (self.endpoints[slot].preference, slot));
            slots.truncate(count);
            return slots;
        }
        let slots = self
            .by_preference
            .iter()
            .take(MAX_SCANNED.max(count))
            .map(|&(_, slot)| slot as usize);
        slots.filter(is_match).take(count).collect()
    }
}
