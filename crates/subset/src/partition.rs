//! How a fleet is dealt out to teams of proxies.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A team has at the most two to this power members, so that their parts still differ by whole endpoints.
const SPLITS_MOST: u32 = 20;
/// The part may leave the wanted size by this much, up or down, before the fleet is dealt anew: a fleet that breathes
/// round a limit must not move all connections each time.
const SLACK: f64 = 1.6;

/// A proxy's place: its team, and its own part of the circle on which endpoints lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Which team, from 0.
    pub number: u32,
    /// Where its part begins, as the first bits of an endpoint's place.
    pub first: u64,
}

/// Into how many parts the fleet is dealt: two to the power of `splits`, each about as large as was wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Partition {
    splits: u32,
}

impl Partition {
    /// How so many endpoints are dealt where parts of `wanted` are asked for, by what `self` has done so far.
    #[must_use]
    pub fn for_fleet(self, endpoints: usize, wanted: usize) -> Self {
        let parts = endpoints as f64 / wanted.max(1) as f64;
        let now = f64::from(1_u32 << self.splits);
        if parts <= now * SLACK && parts >= now / SLACK {
            return self;
        }
        Partition {
            splits: (parts.max(1.0).log2().round() as u32).min(SPLITS_MOST),
        }
    }

    /// Proxies of a team, each with one part.
    pub fn members(self) -> u32 {
        1 << self.splits
    }

    /// How often it may double its part before it has the whole fleet.
    pub fn doublings(self) -> u32 {
        self.splits
    }

    /// The place of the proxy with this number.
    pub fn team(self, proxy: u32) -> Team {
        let place = u64::from(proxy & (self.members() - 1));
        // Neighbours by number lie far apart, so that those that started together widen into different parts.
        let first = if self.splits == 0 {
            0
        } else {
            place.reverse_bits()
        };
        Team {
            number: proxy >> self.splits,
            first,
        }
    }

    /// The places, from the first to the last, that belong to a proxy that has doubled its part so often.
    pub fn part(self, team: Team, doublings: u32) -> (u64, u64) {
        let bits = self.splits.saturating_sub(doublings);
        if bits == 0 {
            return (0, u64::MAX);
        }
        let mask = u64::MAX << (64 - bits);
        (team.first & mask, team.first & mask | !mask)
    }
}

/// Where an endpoint lies for a team. It depends on nothing else, so all proxies agree on it, in this and every later
/// version: XXH3 is a published function.
pub(crate) fn place(endpoint: &str, team: u32) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), u64::from(team))
}

#[cfg(test)]
mod tests;
