//! What an operator asks for, and what follows from it: formulas that the page states and the check at load uses.

use crate::deal::Deal;
use crate::poll::PollTerms;
use crate::Micros;

/// Which proxy this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its number among all that share the fleet, from 0. Each has one of its own; gaps do no harm.
    pub number: u32,
    /// How many there are.
    pub count: u32,
}

/// What a subset is to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Endpoints wanted at rest.
    pub size: usize,
    /// Fewer than that are never kept while the fleet has more.
    pub least: usize,
    /// It never grows beyond that, whatever its members do.
    pub most: usize,
    /// Endpoints of the own zone come first, others only when it has too few that are of use.
    pub own_zone: bool,
    /// Calls in flight for each member from which on more members are wanted.
    pub load: f64,
    /// Time between two doublings, unless there is nobody left to send to.
    pub pause: Micros,
    /// Time without a reason to be larger after which it halves.
    pub calm: Micros,
}

impl Need {
    /// A subset of this size, with what else is usual.
    pub fn of(size: usize) -> Self {
        let (pause, calm) = (200_000, 30_000_000);
        Need {
            size,
            least: (size / 2).max(2),
            most: size * 4,
            own_zone: false,
            load: 2.0,
            pause,
            calm,
        }
    }
}

/// What all proxies together hold and ask at the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Proxies.
    pub proxies: u32,
    /// Endpoints of the fleet.
    pub endpoints: usize,
    /// Idle connections that a proxy keeps to one endpoint.
    pub kept: usize,
}

impl Bounds {
    /// Proxies that keep to one endpoint, at rest: one of each team, the last of which may be incomplete.
    pub fn sharing(&self, need: &Need) -> u32 {
        let members = Deal::default()
            .for_fleet(self.endpoints, need.size)
            .members();
        self.proxies.div_ceil(members)
    }

    /// ... and when every subset has grown as far as it may: each doubling lets as many again have it.
    pub fn sharing_most(&self, need: &Need) -> u32 {
        let deal = Deal::default().for_fleet(self.endpoints, need.size);
        let part = (self.endpoints as f64 / f64::from(deal.members())).max(1.0);
        let doublings = (need.most as f64 / part).max(1.0).log2().ceil() as u32;
        let members = deal.members() >> doublings.min(deal.doublings());
        self.proxies.div_ceil(members)
    }

    /// Idle connections to one endpoint from all proxies, at the most.
    pub fn connections_per_endpoint(&self, need: &Need) -> u64 {
        u64::from(self.sharing_most(need)) * self.kept as u64
    }

    /// Idle connections of one proxy, at the most.
    pub fn connections_per_proxy(&self, need: &Need) -> usize {
        need.most.min(self.endpoints) * self.kept
    }

    /// Questions to the list service a second, of all proxies, while it works and nothing changes.
    pub fn questions_per_second(&self, poll: &PollTerms) -> f64 {
        f64::from(self.proxies) * 1e6 / poll.wait.max(1) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_figures_of_the_page_follow_from_the_formulas() {
        let bounds = Bounds {
            proxies: 2_000,
            endpoints: 1_000,
            kept: 1,
        };
        let need = Need::of(20);
        // 64 parts of 15.6 endpoints: 31.25 teams.
        assert_eq!(bounds.sharing(&need), 32);
        // Three doublings from 15.6 reach beyond 80.
        assert_eq!(bounds.sharing_most(&need), 250);
        assert_eq!(bounds.connections_per_proxy(&need), 80);
        let small = Bounds {
            endpoints: 5,
            ..bounds
        };
        assert_eq!(
            (small.sharing(&need), small.connections_per_proxy(&need)),
            (2_000, 5)
        );
    }
}
