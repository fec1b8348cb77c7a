//! Placement of the proxies and the control-plane replicas in regions, zones and racks.

use serde::Serialize;

/// Number of racks that the fleet is divided into.
const RACKS: usize = 20;

/// The size of a fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Number of client proxies.
    pub proxies: usize,
    /// Number of proxies that are separate processes; the others are hollow and share processes.
    pub real: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, over all regions.
    pub zones: usize,
    /// Number of control-plane replicas in each region.
    pub replicas: usize,
}

/// The location of a proxy or a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// Index of the region.
    pub region: usize,
    /// Index of the zone, over all regions.
    pub zone: usize,
}

impl Size {
    /// Number of hollow proxies.
    pub fn hollow(&self) -> usize {
        self.proxies - self.real
    }

    /// Whether this proxy is a separate process.
    pub fn is_real(&self, proxy: usize) -> bool {
        proxy < self.real
    }

    /// The location of a proxy. Proxies are assigned to the zones in turn, so that every zone has both real and hollow ones.
    pub fn proxy(&self, proxy: usize) -> Location {
        let zone = proxy % self.zones;
        Location {
            region: self.region_of(zone),
            zone,
        }
    }

    fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    fn zones_of(&self, region: usize) -> Vec<usize> {
        (0..self.zones)
            .filter(|&zone| self.region_of(zone) == region)
            .collect()
    }

    /// The locations of the replicas; each region has its own replica group.
    pub fn replica_locations(&self) -> Vec<Location> {
        let mut places = Vec::new();
        for region in 0..self.regions {
            let zones = self.zones_of(region);
            places.extend((0..self.replicas).map(|n| Location {
                region,
                zone: zones[n % zones.len()],
            }));
        }
        places
    }

    /// The proxies of a region.
    pub fn proxies_of(&self, region: usize) -> Vec<usize> {
        (0..self.proxies)
            .filter(|&proxy| self.proxy(proxy).region == region)
            .collect()
    }

    /// The proxies of one rack in this zone.
    pub fn rack(&self, zone: usize) -> Vec<usize> {
        let count = (self.proxies / RACKS).max(1);
        self.proxies_in(zone).into_iter().take(count).collect()
    }

    /// The proxies of one rack in this zone, and the last proxy of the zone, which is hollow if any of them is.
    pub fn some_of_either_kind(&self, zone: usize) -> Vec<usize> {
        let mut proxies = self.rack(zone);
        let last = self.proxies_in(zone).last().copied();
        proxies.extend(last.filter(|last| !proxies.contains(last)));
        proxies
    }

    /// The proxies of a zone.
    pub fn proxies_in(&self, zone: usize) -> Vec<usize> {
        (0..self.proxies)
            .filter(|&proxy| self.proxy(proxy).zone == zone)
            .collect()
    }

    /// The replicas of a zone.
    pub fn replicas_in(&self, zone: usize) -> Vec<usize> {
        let places = self.replica_locations();
        (0..places.len())
            .filter(|&replica| places[replica].zone == zone)
            .collect()
    }
}
