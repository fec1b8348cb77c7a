//! The endpoints by their hash, and the part that is this proxy's.

use crate::partition::{Partition, Team};
use std::collections::BTreeSet;

/// Endpoints on a circle by their place for this proxy's team, and the part of it that is this proxy's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Circle {
    pub(crate) places: BTreeSet<(u64, u32)>,
    pub(crate) deal: Partition,
    /// Doublings of the part; `None`: nothing of this circle is wanted.
    pub(crate) doublings: Option<u32>,
}

impl Circle {
    fn part(&self, number: u32, doublings: u32) -> (Team, (u64, u64)) {
        let team = self.deal.team(number);
        (team, self.deal.part(team, doublings))
    }

    pub(crate) fn within(&self, number: u32, doublings: u32) -> impl Iterator<Item = u32> + '_ {
        let (_, (from, to)) = self.part(number, doublings);
        self.places
            .range((from, 0)..=(to, u32::MAX))
            .map(|&(_, id)| id)
    }

    pub(crate) fn wants(&self, number: u32, place: u64) -> bool {
        self.doublings.is_some_and(|doublings| {
            let (_, (from, to)) = self.part(number, doublings);
            (from..=to).contains(&place)
        })
    }
}
