//! Where each proxy and each replica of control stands: region, zone, rack.

use serde::Serialize;

/// A rack is a twentieth of the fleet.
const RACKS: usize = 20;

/// The fleet to be played.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Client proxies in all.
    pub proxies: usize,
    /// Those of them that are processes of their own; the others share processes.
    pub real: usize,
    /// Regions.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// Replicas of control in each region.
    pub replicas: usize,
}

/// Where something stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The region, from 0.
    pub region: usize,
    /// The zone, from 0 over all regions.
    pub zone: usize,
}

impl Size {
    /// Proxies that share processes.
    pub fn hollow(&self) -> usize {
        self.proxies - self.real
    }

    /// Is this proxy a process of its own?
    pub fn is_real(&self, proxy: usize) -> bool {
        proxy < self.real
    }

    /// Where a proxy stands: one after the other in each zone, so that every zone has some of either kind.
    pub fn proxy(&self, proxy: usize) -> Place {
        let zone = proxy % self.zones;
        Place {
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

    /// Where the replicas stand: each region has a group of its own.
    pub fn replica_places(&self) -> Vec<Place> {
        let mut places = Vec::new();
        for region in 0..self.regions {
            let zones = self.zones_of(region);
            places.extend((0..self.replicas).map(|n| Place {
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

    /// The proxies of a rack in this zone.
    pub fn rack(&self, zone: usize) -> Vec<usize> {
        let count = (self.proxies / RACKS).max(1);
        self.proxies_in(zone).into_iter().take(count).collect()
    }

    /// The proxies of a rack in this zone, and the zone's last one, which is hollow if any is.
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
        let places = self.replica_places();
        (0..places.len())
            .filter(|&replica| places[replica].zone == zone)
            .collect()
    }
}
