//! The subset of one proxy, which follows changes of the fleet, of the proxy's calls and of the members' health.

use crate::config::{Instance, SubsetConfig};
use crate::membership::{Health, MembershipChange};
use crate::partition::ring_hash;
use crate::ring::HashRing;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint of the fleet that takes calls.
#[derive(Clone, Debug)]
struct Endpoint {
    name: Box<str>,
    in_own_zone: bool,
    /// Hash on the ring of the own zone; `None` if the endpoint is not on that ring.
    own_zone_hash: Option<u64>,
    /// Hash on the ring of the fleet.
    fleet_hash: u64,
}

/// Endpoints in the selected ranges.
struct Selection {
    endpoints: BTreeSet<u32>,
    /// Whether endpoints were left out because the selected ranges hold more than the maximum size.
    truncated: bool,
}

/// The endpoints that one proxy sends calls to.
///
/// All times are in microseconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Subset {
    config: SubsetConfig,
    instance: Instance,
    endpoints: BTreeMap<u32, Endpoint>,
    /// Endpoints in the own zone, if these are preferred; otherwise the ring is empty.
    own_zone_ring: HashRing,
    /// All endpoints of the fleet.
    fleet_ring: HashRing,
    members: BTreeSet<u32>,
    /// Whether endpoints are left out because the selected ranges hold more than the maximum size.
    truncated: bool,
    /// When the ranges were last doubled or halved; 0 if never.
    resized_at: Micros,
    /// When there was last a reason for a larger subset; 0 if never.
    demand_at: Micros,
}

impl Subset {
    /// Creates the empty subset of a proxy.
    pub fn new(config: SubsetConfig, instance: Instance) -> Self {
        let mut own_zone_ring = HashRing::new(instance.number);
        let mut fleet_ring = HashRing::new(instance.number);
        if config.prefer_own_zone {
            own_zone_ring.select(Some(0));
        } else {
            fleet_ring.select(Some(0));
        }
        Subset {
            config,
            instance,
            endpoints: BTreeMap::new(),
            own_zone_ring,
            fleet_ring,
            members: BTreeSet::new(),
            truncated: false,
            resized_at: 0,
            demand_at: 0,
        }
    }

    /// The members. Their order does not express a preference.
    pub fn members(&self) -> impl Iterator<Item = u32> + '_ {
        self.members.iter().copied()
    }

    /// Number of members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Whether this endpoint is a member.
    pub fn contains(&self, endpoint: u32) -> bool {
        self.members.contains(&endpoint)
    }

    /// Estimated number of proxies, this one included, that share each of its members.
    pub fn sharing_proxies(&self) -> u32 {
        let share = self.members.len() as f64 / self.endpoints.len().max(1) as f64;
        let sharing = (f64::from(self.instance.count) * share).ceil() as u32;
        sharing.clamp(1, self.instance.count.max(1))
    }

    /// Adds an endpoint to the fleet, or updates its name or zone. Takes effect with [`Self::apply_list_change`].
    pub fn add(&mut self, endpoint: u32, name: &str, in_own_zone: bool) {
        let unchanged = self
            .endpoints
            .get(&endpoint)
            .is_some_and(|known| &*known.name == name && known.in_own_zone == in_own_zone);
        if unchanged {
            return;
        }
        self.remove(endpoint);
        let on_own_zone_ring = in_own_zone && self.config.prefer_own_zone;
        let own_zone_hash = on_own_zone_ring.then(|| self.own_zone_ring.insert(endpoint, name));
        let fleet_hash = self.fleet_ring.insert(endpoint, name);
        self.endpoints.insert(
            endpoint,
            Endpoint {
                name: name.into(),
                in_own_zone,
                own_zone_hash,
                fleet_hash,
            },
        );
    }

    /// Removes an endpoint that is draining or was removed from the list. Takes effect with
    /// [`Self::apply_list_change`].
    pub fn remove(&mut self, endpoint: u32) {
        let Some(known) = self.endpoints.remove(&endpoint) else {
            return;
        };
        if let Some(hash) = known.own_zone_hash {
            self.own_zone_ring.remove(endpoint, hash);
        }
        self.fleet_ring.remove(endpoint, known.fleet_hash);
    }

    /// Updates the members after calls of [`Self::add`] and [`Self::remove`] for the endpoints in `changed`. The cost
    /// is proportional to the number of these endpoints, unless a ring has to be partitioned again or a size limit is
    /// reached.
    pub fn apply_list_change(&mut self, now: Micros, changed: &[u32]) -> MembershipChange {
        let repartitioned = self.repartition();
        let mut change = if repartitioned || self.truncated {
            self.update_members()
        } else {
            self.update_changed_members(changed)
        };
        if self.members.len() > self.config.max_size {
            change = change.then(&self.update_members());
        }
        while self.members.len() < self.min_size() && self.widen(now) {
            change = change.then(&self.update_members());
        }
        change
    }

    /// Adjusts the size of the subset. It grows when the usable members are too few for this proxy's calls, and shrinks
    /// when they were enough for long and half of them would suffice. Must be called at regular intervals and when the
    /// health changes.
    pub fn adjust_size(&mut self, now: Micros, health: Health) -> MembershipChange {
        if self.is_insufficient(health) {
            self.demand_at = now;
            self.grow(now, health)
        } else if self.may_shrink(now, health) {
            self.shrink(now)
        } else {
            MembershipChange::default()
        }
    }

    /// Whether the usable members are too few for this proxy's calls.
    fn is_insufficient(&self, health: Health) -> bool {
        let failing = health.usable == 0 || health.usable * 2 < self.members.len();
        let overloaded = health.in_flight as f64 > self.max_load(health);
        failing || overloaded || health.queued > 0
    }

    /// Number of calls in flight above which the usable members are too few.
    fn max_load(&self, health: Health) -> f64 {
        self.config.max_load_per_member * health.usable as f64
    }

    fn grow(&mut self, now: Micros, health: Health) -> MembershipChange {
        let next_growth_at = self.resized_at.saturating_add(self.config.growth_interval);
        let too_soon = self.resized_at > 0 && now < next_growth_at;
        // If no member is usable, the growth interval is ignored, as calls would fail during it.
        if too_soon && health.usable > 0 {
            return MembershipChange::default();
        }
        if self.widen(now) {
            self.update_members()
        } else {
            MembershipChange::default()
        }
    }

    fn may_shrink(&self, now: Micros, health: Health) -> bool {
        let sufficient_since = self.demand_at.max(self.resized_at);
        let delay_elapsed = now >= sufficient_since.saturating_add(self.config.shrink_delay);
        let half_would_suffice = (health.in_flight * 4) as f64 <= self.max_load(health);
        delay_elapsed && half_would_suffice && self.is_widened()
    }

    /// Whether the selected ranges are larger than the initial one.
    fn is_widened(&self) -> bool {
        let doublings = self
            .fleet_ring
            .doublings()
            .or(self.own_zone_ring.doublings());
        let beyond_own_zone = self.config.prefer_own_zone && self.fleet_ring.doublings().is_some();
        doublings.unwrap_or(0) > 0 || beyond_own_zone
    }

    fn shrink(&mut self, now: Micros) -> MembershipChange {
        self.resized_at = now;
        let own_zone_doublings = self.own_zone_ring.doublings();
        let fleet_doublings = self.fleet_ring.doublings();
        self.narrow();
        if self.selection().endpoints.len() < self.min_size() {
            self.own_zone_ring.select(own_zone_doublings);
            self.fleet_ring.select(fleet_doublings);
            return MembershipChange::default();
        }
        self.update_members()
    }

    /// The minimum size, or the size of the fleet if that is smaller.
    fn min_size(&self) -> usize {
        self.config.min_size.min(self.endpoints.len())
    }

    /// Doubles the selected range: first that of the own zone, then that of the fleet. Returns false if the whole fleet
    /// is already selected, or the maximum size is reached.
    fn widen(&mut self, now: Micros) -> bool {
        if self.members.len() >= self.config.max_size {
            return false;
        }
        let within_own_zone = self.config.prefer_own_zone && self.fleet_ring.doublings().is_none();
        let widened = if within_own_zone && self.own_zone_ring.double() {
            true
        } else if self.fleet_ring.doublings().is_none() {
            self.fleet_ring.select(Some(0));
            true
        } else {
            self.fleet_ring.double()
        };
        if widened {
            self.resized_at = now.max(1);
        }
        widened
    }

    /// Undoes one step of [`Self::widen`].
    fn narrow(&mut self) {
        match (self.fleet_ring.doublings(), self.own_zone_ring.doublings()) {
            (Some(0), _) if self.config.prefer_own_zone => self.fleet_ring.select(None),
            (Some(doublings @ 1..), _) => self.fleet_ring.select(Some(doublings - 1)),
            (None, Some(doublings @ 1..)) => self.own_zone_ring.select(Some(doublings - 1)),
            _ => {}
        }
    }

    /// Partitions each ring again if its number of endpoints has become too large or too small for the partition.
    /// Returns whether a partition has changed.
    fn repartition(&mut self) -> bool {
        let target_size = self.config.target_size;
        let endpoints = &mut self.endpoints;
        let own_zone_changed = self.own_zone_ring.repartition(target_size, |id, round| {
            let endpoint = endpoints.get_mut(&id)?;
            let hash = ring_hash(&endpoint.name, round);
            endpoint.own_zone_hash = Some(hash);
            Some(hash)
        });
        let fleet_changed = self.fleet_ring.repartition(target_size, |id, round| {
            let endpoint = endpoints.get_mut(&id)?;
            endpoint.fleet_hash = ring_hash(&endpoint.name, round);
            Some(endpoint.fleet_hash)
        });
        own_zone_changed || fleet_changed
    }

    /// Endpoints in the selected ranges, up to the maximum size. Those in the own zone and in narrower ranges come
    /// first.
    fn selection(&self) -> Selection {
        let mut endpoints = BTreeSet::new();
        let selected = self.own_zone_ring.selected();
        for endpoint in selected.chain(self.fleet_ring.selected()) {
            if endpoints.len() >= self.config.max_size && !endpoints.contains(&endpoint) {
                return Selection {
                    endpoints,
                    truncated: true,
                };
            }
            endpoints.insert(endpoint);
        }
        Selection {
            endpoints,
            truncated: false,
        }
    }

    fn is_selected(&self, endpoint: &Endpoint) -> bool {
        let in_own_zone_range = endpoint
            .own_zone_hash
            .is_some_and(|hash| self.own_zone_ring.selects(hash));
        in_own_zone_range || self.fleet_ring.selects(endpoint.fleet_hash)
    }

    /// Sets the members to the selected endpoints, and returns the difference.
    fn update_members(&mut self) -> MembershipChange {
        let Selection {
            endpoints,
            truncated,
        } = self.selection();
        self.truncated = truncated;
        let added = endpoints.difference(&self.members).copied().collect();
        let removed = self.members.difference(&endpoints).copied().collect();
        self.members = endpoints;
        MembershipChange { added, removed }
    }

    /// Updates the membership of the endpoints in `changed` alone, regardless of the maximum size.
    fn update_changed_members(&mut self, changed: &[u32]) -> MembershipChange {
        let mut change = MembershipChange::default();
        for &id in changed {
            let selected = self
                .endpoints
                .get(&id)
                .is_some_and(|endpoint| self.is_selected(endpoint));
            if selected && self.members.insert(id) {
                change.added.push(id);
            } else if !selected && self.members.remove(&id) {
                change.removed.push(id);
            }
        }
        change
    }
}
