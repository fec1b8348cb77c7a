//! The subset of one proxy as the fleet, its own traffic and its members' health change.

use crate::partition::{place, Partition, Team};
use crate::resource_bounds::{Instance, SubsetConfig};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How its members fare, as its owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Members that take calls: listed, not set aside.
    pub usable: usize,
    /// Calls in flight at them.
    pub in_flight: usize,
    /// Calls that wait because all of them are full.
    pub queued: usize,
}

/// What has changed of the subset. The two share no endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Endpoints that belong to it from now on.
    pub added: Vec<u32>,
    /// Those that do not any more: what is out there may end, nothing new goes there.
    pub removed: Vec<u32>,
}

impl MembershipChange {
    /// Has nothing changed?
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

/// A subset's size, for whoever looks on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetStatus {
    /// Members.
    pub members: usize,
    /// Endpoints of the fleet.
    pub endpoints: usize,
    /// How often it has doubled.
    pub doublings: u32,
}

/// Endpoints on a circle by their place for this proxy's team, and the part of it that is this proxy's.
#[derive(Clone, Debug, Default)]
struct Circle {
    places: BTreeSet<(u64, u32)>,
    deal: Partition,
    /// Doublings of the part; `None`: nothing of this circle is wanted.
    doublings: Option<u32>,
}

impl Circle {
    fn part(&self, number: u32, doublings: u32) -> (Team, (u64, u64)) {
        let team = self.deal.team(number);
        (team, self.deal.part(team, doublings))
    }

    fn within(&self, number: u32, doublings: u32) -> impl Iterator<Item = u32> + '_ {
        let (_, (from, to)) = self.part(number, doublings);
        self.places
            .range((from, 0)..=(to, u32::MAX))
            .map(|&(_, id)| id)
    }

    fn wants(&self, number: u32, place: u64) -> bool {
        self.doublings.is_some_and(|doublings| {
            let (_, (from, to)) = self.part(number, doublings);
            (from..=to).contains(&place)
        })
    }
}

/// What is known of an endpoint.
#[derive(Clone, Debug)]
struct Known {
    name: Box<str>,
    near: bool,
    places: [u64; 2],
}

/// The endpoints that one proxy keeps to.
#[derive(Clone, Debug)]
pub struct Subset {
    need: SubsetConfig,
    instance: Instance,
    known: BTreeMap<u32, Known>,
    /// Endpoints of the own zone, if they come first; and all.
    near: Circle,
    all: Circle,
    members: BTreeSet<u32>,
    /// Some that lie in its part are left out, as it has as many as it may.
    cut: bool,
    grown: Micros,
    wanted: Micros,
}

impl Subset {
    /// An empty one.
    pub fn new(need: SubsetConfig, instance: Instance) -> Self {
        let (mut near, mut all) = (Circle::default(), Circle::default());
        (near.doublings, all.doublings) = if need.prefer_own_zone {
            (Some(0), None)
        } else {
            (None, Some(0))
        };
        let (known, members) = (BTreeMap::new(), BTreeSet::new());
        Subset {
            need,
            instance,
            known,
            near,
            all,
            members,
            cut: false,
            grown: 0,
            wanted: 0,
        }
    }

    /// The members, in no order of preference.
    pub fn members(&self) -> impl Iterator<Item = u32> + '_ {
        self.members.iter().copied()
    }

    /// Is this endpoint a member?
    pub fn contains(&self, endpoint: u32) -> bool {
        self.members.contains(&endpoint)
    }

    /// Its size.
    pub fn status(&self) -> SubsetStatus {
        let doublings = self.all.doublings.or(self.near.doublings).unwrap_or(0);
        SubsetStatus {
            members: self.members.len(),
            endpoints: self.known.len(),
            doublings,
        }
    }

    /// Proxies that keep to each of its members, this one included, as far as can be told.
    pub fn sharing_proxies(&self) -> u32 {
        let part = self.members.len() as f64 / self.known.len().max(1) as f64;
        ((f64::from(self.instance.count) * part).ceil() as u32).clamp(1, self.instance.count.max(1))
    }

    /// An endpoint takes calls: it is new, or has changed its name or zone, or is back.
    pub fn add(&mut self, endpoint: u32, name: &str, near: bool) {
        if self
            .known
            .get(&endpoint)
            .is_some_and(|k| &*k.name == name && k.near == near)
        {
            return;
        }
        self.remove(endpoint);
        let number = self.instance.number;
        let team = |circle: &Circle| circle.deal.team(number).number;
        let places = [place(name, team(&self.near)), place(name, team(&self.all))];
        if near && self.need.prefer_own_zone {
            self.near.places.insert((places[0], endpoint));
        }
        self.all.places.insert((places[1], endpoint));
        self.known.insert(
            endpoint,
            Known {
                name: name.into(),
                near,
                places,
            },
        );
    }

    /// An endpoint drains or is gone.
    pub fn remove(&mut self, endpoint: u32) {
        if let Some(known) = self.known.remove(&endpoint) {
            self.near.places.remove(&(known.places[0], endpoint));
            self.all.places.remove(&(known.places[1], endpoint));
        }
    }

    /// The list has changed: who belongs to the subset now? Costs what changed, unless the fleet is dealt anew.
    pub fn apply_list_change(&mut self, now: Micros, touched: &[u32]) -> MembershipChange {
        let dealt = self.deal_anew();
        let mut changes = MembershipChange::default();
        if dealt || self.cut {
            changes = self.settle();
        } else {
            for &endpoint in touched {
                let wanted = self.known.get(&endpoint).is_some_and(|k| self.wants(k));
                if wanted && self.members.insert(endpoint) {
                    changes.added.push(endpoint);
                } else if !wanted && self.members.remove(&endpoint) {
                    changes.removed.push(endpoint);
                }
            }
        }
        // Never more than allowed, and never fewer than wanted for want of looking further.
        if self.members.len() > self.need.max_size {
            changes = join(changes, self.settle());
        }
        while self.members.len() < self.least() && self.widen(now) {
            changes = join(changes, self.settle());
        }
        changes
    }

    /// How the members fare: it grows at once when they can't bear this proxy's calls, and shrinks when that is over
    /// for long.
    pub fn adjust_size(&mut self, now: Micros, health: Health) -> MembershipChange {
        let members = self.members.len();
        let failing = health.usable * 2 < members || health.usable == 0;
        let full = health.queued > 0;
        let busy = health.in_flight as f64 > self.need.max_load_per_member * health.usable as f64;
        if failing || full || busy {
            self.wanted = now;
            let paused =
                self.grown > 0 && now < self.grown.saturating_add(self.need.growth_interval);
            // With nobody left to send to, the pause would be paid by calls.
            if (health.usable == 0 || !paused) && self.widen(now) {
                return self.settle();
            }
            return MembershipChange::default();
        }
        let calm = self
            .wanted
            .max(self.grown)
            .saturating_add(self.need.shrink_delay);
        let light =
            (health.in_flight * 4) as f64 <= self.need.max_load_per_member * health.usable as f64;
        let wide = self.all.doublings.or(self.near.doublings).unwrap_or(0) > 0
            || self.need.prefer_own_zone && self.all.doublings.is_some();
        if now >= calm && light && wide {
            self.grown = now;
            let before = (self.near.doublings, self.all.doublings);
            self.narrow();
            if self.wanted_now().0.len() < self.least() {
                (self.near.doublings, self.all.doublings) = before;
                return MembershipChange::default();
            }
            return self.settle();
        }
        MembershipChange::default()
    }

    fn least(&self) -> usize {
        self.need.min_size.min(self.known.len())
    }

    fn wants(&self, known: &Known) -> bool {
        let number = self.instance.number;
        known.near && self.near.wants(number, known.places[0])
            || self.all.wants(number, known.places[1])
    }

    /// Members if the circles are as they are now, and whether some were cut off: those of the widest parts.
    fn wanted_now(&self) -> (BTreeSet<u32>, bool) {
        let number = self.instance.number;
        let mut wanted = BTreeSet::new();
        for circle in [&self.near, &self.all] {
            for doublings in circle.doublings.into_iter().flat_map(|d| 0..=d) {
                for endpoint in circle.within(number, doublings) {
                    if wanted.len() >= self.need.max_size && !wanted.contains(&endpoint) {
                        return (wanted, true);
                    }
                    wanted.insert(endpoint);
                }
            }
        }
        (wanted, false)
    }

    /// Takes twice the part, first of the own zone and then of all; false if there is no more or no more is allowed.
    fn widen(&mut self, now: Micros) -> bool {
        if self.members.len() >= self.need.max_size {
            return false;
        }
        let next = |circle: &Circle| {
            circle
                .doublings
                .filter(|&d| d < circle.deal.doublings())
                .map(|d| d + 1)
        };
        if let (true, Some(wider)) = (
            self.need.prefer_own_zone && self.all.doublings.is_none(),
            next(&self.near),
        ) {
            self.near.doublings = Some(wider);
        } else if self.all.doublings.is_none() {
            self.all.doublings = Some(0);
        } else if let Some(wider) = next(&self.all) {
            self.all.doublings = Some(wider);
        } else {
            return false;
        }
        self.grown = now.max(1);
        true
    }

    /// The other way.
    fn narrow(&mut self) -> bool {
        let own_zone = self.need.prefer_own_zone;
        match (self.all.doublings, self.near.doublings) {
            (Some(0), _) if own_zone => self.all.doublings = None,
            (Some(wide @ 1..), _) => self.all.doublings = Some(wide - 1),
            (None, Some(wide @ 1..)) => self.near.doublings = Some(wide - 1),
            _ => return false,
        }
        true
    }

    /// Deals the fleet anew if it has outgrown its parts. True if it was.
    fn deal_anew(&mut self) -> bool {
        let (number, size) = (self.instance.number, self.need.target_size);
        let mut dealt = false;
        for (which, circle) in [&mut self.near, &mut self.all].into_iter().enumerate() {
            let deal = circle.deal.for_fleet(circle.places.len(), size);
            if deal == circle.deal {
                continue;
            }
            let (old, new) = (circle.deal.team(number).number, deal.team(number).number);
            circle.deal = deal;
            circle.doublings = circle.doublings.map(|d| d.min(deal.doublings()));
            dealt = true;
            if old == new {
                continue;
            }
            let ids: Vec<u32> = circle.places.iter().map(|&(_, id)| id).collect();
            circle.places.clear();
            for id in ids {
                let Some(known) = self.known.get_mut(&id) else {
                    continue;
                };
                known.places[which] = place(&known.name, new);
                circle.places.insert((known.places[which], id));
            }
        }
        if dealt {
            // An endpoint may lie on one circle only: its place on the other is needed once it does.
            for known in self.known.values_mut() {
                known.places[0] = place(&known.name, self.near.deal.team(number).number);
            }
        }
        dealt
    }

    /// Makes the members what is wanted now.
    fn settle(&mut self) -> MembershipChange {
        let (wanted, cut) = self.wanted_now();
        self.cut = cut;
        let joined = wanted.difference(&self.members).copied().collect();
        let left = self.members.difference(&wanted).copied().collect();
        self.members = wanted;
        MembershipChange {
            added: joined,
            removed: left,
        }
    }
}

/// One after the other, as one.
fn join(first: MembershipChange, then: MembershipChange) -> MembershipChange {
    let joined: BTreeSet<u32> = first
        .added
        .into_iter()
        .chain(then.added.iter().copied())
        .collect();
    let left: BTreeSet<u32> = first
        .removed
        .into_iter()
        .chain(then.removed.iter().copied())
        .collect();
    let gone: BTreeSet<u32> = then.removed.into_iter().collect();
    let back: BTreeSet<u32> = then.added.into_iter().collect();
    MembershipChange {
        added: joined.into_iter().filter(|e| !gone.contains(e)).collect(),
        removed: left.into_iter().filter(|e| !back.contains(e)).collect(),
    }
}
