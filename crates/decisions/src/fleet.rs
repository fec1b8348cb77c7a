//! The servers of the list and what of them is kept ready for a pick, so that none walks over all of them. What
//! counts as up, full or due is decided in `src/balance.rs`, which files each server's [`Standing`] here.

use crate::api::*;
use crate::state::Server;
use crate::weighted::{self, WeightedSet};
use rand::seq::SliceRandom;
use rand::Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// Blind draws before the servers of a set are looked at one by one, and the most that are looked at then.
const DRAWS: usize = 16;
const LOOKS: usize = 256;

/// Where a server stands: all that a pick asks of it, as of the last change to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Standing {
    pub(crate) listed: bool,
    /// It takes calls: up, warm, not paused.
    pub(crate) up: bool,
    /// ... and its budget has room.
    pub(crate) room: bool,
    /// ... or is full, but one trial may pass it.
    pub(crate) trial: bool,
    /// It is set aside or fails most of its calls.
    pub(crate) troubled: bool,
    /// It is set aside, and whether a trial that may bring it back is out there.
    pub(crate) aside: bool,
    pub(crate) tested: bool,
    /// From when it may be tried, if it is set aside.
    pub(crate) back_at: Micros,
    /// Listed and cold; it warms up since then.
    pub(crate) cold_since: Option<Micros>,
    /// When time alone changes this; `Micros::MAX`: never.
    pub(crate) due: Micros,
}

/// Which servers to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Among {
    /// Those that are up and warm.
    Up,
    /// Of these, those with room.
    Room,
    /// Of these, those that are full and may be passed by a trial.
    Trial,
    /// Cold ones, whatever else they are.
    Cold,
}

/// What a call may go to.
#[derive(Clone, Debug)]
pub(crate) enum Domain {
    /// Any server.
    All,
    /// Only these: what ran there is dropped there.
    Only(Vec<usize>),
}

impl Domain {
    /// Is this server one of them?
    pub(crate) fn holds(&self, slot: usize) -> bool {
        match self {
            Domain::All => true,
            Domain::Only(slots) => slots.contains(&slot),
        }
    }
}

/// Slots drawn for one call.
pub(crate) type Drawn = SmallVec<[usize; 4]>;

/// Slots that share a zone or a cell, in no order.
#[derive(Clone, Debug, Default)]
struct Members {
    of: FxHashMap<u32, Vec<u32>>,
    /// Where each slot stands in its list.
    places: Vec<u32>,
}

impl Members {
    fn add(&mut self, key: u32, slot: usize) {
        let list = self.of.entry(key).or_default();
        if self.places.len() <= slot {
            self.places.resize(slot + 1, 0);
        }
        self.places[slot] = list.len() as u32;
        list.push(slot as u32);
    }

    fn remove(&mut self, key: u32, slot: usize) {
        let Some(list) = self.of.get_mut(&key) else {
            return;
        };
        let place = self.places[slot] as usize;
        list.swap_remove(place);
        if let Some(&moved) = list.get(place) {
            self.places[moved as usize] = place as u32;
        }
        if list.is_empty() {
            self.of.remove(&key);
        }
    }

    fn get(&self, key: u32) -> &[u32] {
        self.of.get(&key).map_or(&[], Vec::as_slice)
    }
}

/// All servers, each in a slot that it keeps, and the sets that the pick draws from.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    slots: Vec<Server>,
    standings: Vec<Standing>,
    free: Vec<usize>,
    places: FxHashMap<EndpointId, u32>,
    up: WeightedSet,
    room: WeightedSet,
    trial: WeightedSet,
    cold: WeightedSet,
    /// Weights of all that are listed, and of the cold ones also times the moment since when they warm up.
    listed_weight: u64,
    cold_moment: u128,
    listed: usize,
    aside: usize,
    troubled: usize,
    tested: usize,
    /// When each standing changes by time alone, and from when those set aside may be tried.
    due: BTreeSet<(Micros, u32)>,
    back: BTreeSet<(Micros, u32)>,
    /// Servers with room, and cold ones, in this balancer's own order of preference.
    ranked: BTreeSet<(u32, u32)>,
    zones: Members,
    cells: Members,
    /// No longer listed, but something is still out there.
    leaving: BTreeSet<EndpointId>,
    /// Grows with each full list: those that it did not name have gone.
    round: u32,
    rounds: Vec<u32>,
}

impl std::ops::Index<usize> for Fleet {
    type Output = Server;

    fn index(&self, slot: usize) -> &Server {
        &self.slots[slot]
    }
}

impl std::ops::IndexMut<usize> for Fleet {
    /// Whoever changes what a [`Standing`] is made of files it again.
    fn index_mut(&mut self, slot: usize) -> &mut Server {
        &mut self.slots[slot]
    }
}

impl Fleet {
    /// The slot of a server, if it is known.
    pub(crate) fn place(&self, id: EndpointId) -> Option<usize> {
        self.places.get(&id).map(|&slot| slot as usize)
    }

    /// Every slot in use.
    pub(crate) fn slots(&self) -> Vec<usize> {
        let mut slots: Vec<usize> = self.places.values().map(|&slot| slot as usize).collect();
        slots.sort_unstable();
        slots
    }

    pub(crate) fn listed(&self) -> usize {
        self.listed
    }

    pub(crate) fn aside(&self) -> usize {
        self.aside
    }

    /// How many that are listed are set aside or fail.
    pub(crate) fn troubled(&self) -> usize {
        self.troubled
    }

    /// Sum of the sizes of all that are listed.
    pub(crate) fn size(&self) -> f64 {
        weighted::size(self.listed_weight)
    }

    /// What all cold servers can do at the least, as the rules say that they warm up.
    pub(crate) fn cold_size(&self, now: Micros, rules: &EndpointRules) -> f64 {
        let weight = self.cold.total();
        let age = (u128::from(now) * u128::from(weight)).saturating_sub(self.cold_moment) as f64;
        let grown =
            age / rules.slow_start_duration.max(1) as f64 * (1.0 - rules.slow_start_min_capacity);
        (grown + rules.slow_start_min_capacity * weight as f64) * weighted::size(1)
    }

    /// Sum of the sizes of all cold servers.
    pub(crate) fn cold_full_size(&self) -> f64 {
        weighted::size(self.cold.total())
    }

    pub(crate) fn count(&self, among: Among) -> usize {
        self.set(among).len()
    }

    pub(crate) fn contains(&self, among: Among, slot: usize) -> bool {
        self.set(among).contains(slot)
    }

    fn set(&self, among: Among) -> &WeightedSet {
        match among {
            Among::Up => &self.up,
            Among::Room => &self.room,
            Among::Trial => &self.trial,
            Among::Cold => &self.cold,
        }
    }

    // The list.

    /// A full list begins: those that it does not name by its end have gone.
    pub(crate) fn begin_list(&mut self) {
        self.round = self.round.wrapping_add(1);
    }

    /// The list names this server.
    pub(crate) fn named(&mut self, slot: usize) {
        self.rounds[slot] = self.round;
    }

    /// The listed ones that a full list did not name.
    pub(crate) fn unnamed(&self) -> Vec<usize> {
        let old = |&slot: &usize| self.standings[slot].listed && self.rounds[slot] != self.round;
        (0..self.slots.len()).filter(old).collect()
    }

    /// Takes in a server, or another process under the number of one that is known.
    pub(crate) fn insert(&mut self, server: Server) -> usize {
        if let Some(slot) = self.place(server.id) {
            self.file(
                slot,
                Standing {
                    due: Micros::MAX,
                    ..Standing::default()
                },
            );
            self.slots[slot] = server;
            return slot;
        }
        let slot = self.free.pop().unwrap_or(self.slots.len());
        self.places.insert(server.id, slot as u32);
        if slot == self.slots.len() {
            self.slots.push(server);
            self.standings.push(Standing {
                due: Micros::MAX,
                ..Standing::default()
            });
            self.rounds.push(self.round);
        } else {
            self.slots[slot] = server;
        }
        slot
    }

    /// Forgets the servers that are no longer listed once nothing is out there.
    pub(crate) fn forget_left(&mut self) {
        let leaving = std::mem::take(&mut self.leaving);
        for id in leaving {
            let Some(slot) = self.place(id) else { continue };
            if self.standings[slot].listed {
                continue;
            }
            if self.slots[slot].in_flight > 0 {
                self.leaving.insert(id);
            } else {
                self.places.remove(&id);
                self.slots[slot] = Server::default();
                self.free.push(slot);
            }
        }
    }

    /// Notes that a server is not listed: it is forgotten when nothing is out there any more.
    pub(crate) fn leaves(&mut self, slot: usize) {
        self.leaving.insert(self.slots[slot].id);
    }

    /// Zone and cell of a listed server are as the list says now.
    pub(crate) fn place_in(&mut self, slot: usize, zone: ZoneId, cell: CellId) {
        let (old_zone, old_cell) = (self.slots[slot].zone, self.slots[slot].cell);
        if (old_zone, old_cell) == (zone, cell) {
            return;
        }
        let standing = self.standings[slot];
        self.file(
            slot,
            Standing {
                due: Micros::MAX,
                ..Standing::default()
            },
        );
        (self.slots[slot].zone, self.slots[slot].cell) = (zone, cell);
        self.file(slot, standing);
    }

    // Standings.

    /// Files where a server stands. Costs nothing but a comparison where it stands as before.
    pub(crate) fn file(&mut self, slot: usize, new: Standing) {
        let old = std::mem::replace(&mut self.standings[slot], new);
        if old == new {
            return;
        }
        let Server {
            zone,
            cell,
            size,
            rank,
            ..
        } = self.slots[slot];
        let (weight, key) = (weighted::weight(size), slot as u32);
        let part = |is: bool| if is { weight } else { 0 };
        if old.up != new.up {
            self.up.set(slot, part(new.up));
        }
        if old.trial != new.trial {
            self.trial.set(slot, part(new.trial));
        }
        if old.room != new.room {
            self.room.set(slot, part(new.room));
        }
        let ranked = |s: Standing| s.room || s.cold_since.is_some();
        if ranked(old) != ranked(new) {
            if ranked(new) {
                self.ranked.insert((rank, key));
            } else {
                self.ranked.remove(&(rank, key));
            }
        }
        if old.cold_since != new.cold_since {
            let moment =
                |since: Option<Micros>| u128::from(since.unwrap_or(0)) * u128::from(weight);
            self.cold_moment = self.cold_moment - moment(old.cold_since) + moment(new.cold_since);
            self.cold.set(slot, part(new.cold_since.is_some()));
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
        self.aside = self.aside + usize::from(new.aside) - usize::from(old.aside);
        self.troubled = self.troubled + usize::from(new.troubled) - usize::from(old.troubled);
        let tested = |s: Standing| usize::from(s.aside && s.tested);
        self.tested = self.tested + tested(new) - tested(old);
        let back = |s: Standing| (s.aside && !s.tested).then_some((s.back_at, key));
        if back(old) != back(new) {
            back(old).map(|entry| self.back.remove(&entry));
            back(new).map(|entry| self.back.insert(entry));
        }
        if old.due != new.due {
            (old.due < Micros::MAX).then(|| self.due.remove(&(old.due, key)));
            (new.due < Micros::MAX).then(|| self.due.insert((new.due, key)));
        }
    }

    /// When time alone next changes a standing.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// A server whose standing time has changed by now.
    pub(crate) fn overdue(&self, now: Micros) -> Option<usize> {
        self.due
            .first()
            .filter(|d| d.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// One that is set aside and due for the call that tries it.
    pub(crate) fn returning(&self, now: Micros) -> Option<usize> {
        self.back
            .first()
            .filter(|b| b.0 <= now)
            .map(|&(_, slot)| slot as usize)
    }

    /// When the first that is set aside may be tried; 0 while one is being tried.
    pub(crate) fn first_back(&self) -> Micros {
        if self.tested > 0 {
            return 0;
        }
        self.back.first().map_or(0, |b| b.0)
    }

    // Draws.

    /// The servers that drop repeats of what one of this place has run; of very many, some from a random one on.
    pub(crate) fn sharing(
        &self,
        random: &mut impl Rng,
        (scope, zone, cell): (DedupScope, ZoneId, CellId),
    ) -> Domain {
        let list = match scope {
            DedupScope::All => return Domain::All,
            DedupScope::Zone => self.zones.get(zone.0),
            DedupScope::Cell => self.cells.get(cell.0),
        };
        let start = random.gen_range(0..list.len().max(1));
        let slots = list
            .iter()
            .cycle()
            .skip(start)
            .take(list.len().min(4 * LOOKS));
        Domain::Only(slots.map(|&slot| slot as usize).collect())
    }

    /// Random servers, each with a chance in proportion to its size, none twice. Drawing until one passes has the
    /// same law as drawing among those that pass; where few do, they are looked for one by one, up to a bound.
    pub(crate) fn draw(
        &self,
        random: &mut impl Rng,
        (among, domain): (Among, &Domain),
        count: usize,
        pass: impl Fn(&Server) -> bool,
    ) -> Drawn {
        let set = self.set(among);
        let mut drawn = Drawn::new();
        if let Domain::Only(slots) = domain {
            let fits = |&&slot: &&usize| set.contains(slot) && pass(&self.slots[slot]);
            let fitting: Vec<usize> = slots.iter().filter(fits).copied().collect();
            let chosen =
                fitting.choose_multiple_weighted(random, count, |&slot| self.slots[slot].size);
            drawn.extend(chosen.into_iter().flatten().copied());
            return drawn;
        }
        while drawn.len() < count.min(set.len()) {
            let passes = |slot: &usize| !drawn.contains(slot) && pass(&self.slots[*slot]);
            let blind = (0..DRAWS).find_map(|_| set.draw(random).filter(passes));
            let Some(slot) = blind.or_else(|| self.look(random, set, passes)) else {
                break;
            };
            drawn.push(slot);
        }
        drawn
    }

    /// One among those that pass, looked for from a random place on.
    fn look(
        &self,
        random: &mut impl Rng,
        set: &WeightedSet,
        passes: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let start = random.gen_range(0..set.total().max(1));
        let (mut chosen, mut total) = (None, 0);
        for slot in set.from(start).take(LOOKS).filter(passes) {
            let weight = weighted::weight(self.slots[slot].size);
            total += weight;
            if random.gen_range(0..total) < weight {
                chosen = Some(slot);
            }
        }
        chosen
    }

    /// A cold server, with a chance in proportion to what it can do now.
    pub(crate) fn draw_cold(
        &self,
        random: &mut impl Rng,
        warmth: impl Fn(&Server) -> f64,
    ) -> Option<usize> {
        let mut last = None;
        for _ in 0..4 * DRAWS {
            last = self.cold.draw(random);
            let slot = last?;
            if random.gen::<f64>() < warmth(&self.slots[slot]) {
                break;
            }
        }
        last
    }

    /// The first that pass in this balancer's own order, at the most so many.
    pub(crate) fn preferred(
        &self,
        (among, domain): (Among, &Domain),
        count: usize,
        pass: impl Fn(&Server) -> bool,
    ) -> Vec<usize> {
        let fits = |slot: &usize| self.set(among).contains(*slot) && pass(&self.slots[*slot]);
        if let Domain::Only(slots) = domain {
            let mut slots: Vec<usize> = slots.iter().copied().filter(fits).collect();
            slots.sort_unstable_by_key(|&slot| (self.slots[slot].rank, slot));
            slots.truncate(count);
            return slots;
        }
        let slots = self
            .ranked
            .iter()
            .take(LOOKS.max(count))
            .map(|&(_, slot)| slot as usize);
        slots.filter(fits).take(count).collect()
    }
}
