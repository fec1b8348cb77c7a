//! What goes wrong in a start, drawn from a seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Seven in ten proxies are killed at once and started again.
    KillMany,
    /// All proxies are killed at once and started again.
    KillAll,
    /// All seeds are killed and started again.
    KillSeeds,
    /// All that ask the list service are killed and started again.
    KillAskers,
    /// All that ask the list service stand still (SIGSTOP) and go on.
    StopAskers,
    /// Some proxies stand still and go on.
    StopSome,
    /// One proxy after the other is told to end (SIGTERM) and started again.
    Roll,
    /// The list service is down.
    ServiceDown,
    /// The list service has a tenth of its capacity.
    ServiceSlow,
    /// The list service answers with an older list.
    ServiceOld,
    /// Some proxies do not reach the list service, and hear their peers.
    CutFromService,
    /// Some proxies hear the list service, and no peer.
    CutFromPeers,
    /// The fleet is cut in halves.
    Halves,
    /// A third of the datagrams is lost.
    Lossy,
    /// A third of the datagrams comes twice.
    Doubled,
    /// Datagrams are late by up to two seconds.
    Late,
    /// Half of the hosts are replaced by new ones at other addresses.
    Replace,
    /// A host drains and is removed.
    Drain,
    /// A proxy of another fleet, with the same secret, has the same seeds.
    OtherFleet,
}

/// All kinds.
pub const KINDS: [Kind; 19] = [
    Kind::KillMany,
    Kind::KillAll,
    Kind::KillSeeds,
    Kind::KillAskers,
    Kind::StopAskers,
    Kind::StopSome,
    Kind::Roll,
    Kind::ServiceDown,
    Kind::ServiceSlow,
    Kind::ServiceOld,
    Kind::CutFromService,
    Kind::CutFromPeers,
    Kind::Halves,
    Kind::Lossy,
    Kind::Doubled,
    Kind::Late,
    Kind::Replace,
    Kind::Drain,
    Kind::OtherFleet,
];

impl Kind {
    /// Its name, as it stands in a course that was written down.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|k| k.name() == name)
    }

    /// Do proxies stop or end by it?
    pub fn of_processes(self) -> bool {
        use Kind::{KillAll, KillAskers, KillMany, KillSeeds, Roll, StopAskers, StopSome};
        matches!(
            self,
            KillMany | KillAll | KillSeeds | KillAskers | StopAskers | StopSome | Roll
        )
    }

    /// Does it change what the service tells?
    pub fn of_service(self) -> bool {
        matches!(
            self,
            Kind::ServiceDown | Kind::ServiceSlow | Kind::ServiceOld
        )
    }
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// From when on, since the first start.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// Draws whom it concerns.
    pub lot: u64,
}

/// A course.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Course {
    /// All chance is drawn from it.
    pub seed: u64,
    /// In the order of their beginnings.
    pub faults: Vec<Fault>,
}

/// Faults begin within this time, and last so many milliseconds.
const BEGIN_WITHIN: u64 = 6_000;
const LASTS: std::ops::RangeInclusive<u64> = 300..=4_000;

impl Course {
    /// Draws one; `only`: faults of no other kind. Faults of one concern do not overlap: of processes, of the service,
    /// of one kind.
    pub fn draw(seed: u64, only: Option<Kind>) -> Self {
        let mut draws = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut draws);
        kinds.truncate(draws.gen_range(3..=6));
        let mut faults: Vec<Fault> = Vec::new();
        for kind in kinds {
            // Half of them meet the start itself.
            let from = if draws.gen_bool(0.5) {
                0
            } else {
                draws.gen_range(0..BEGIN_WITHIN)
            };
            let from = Duration::from_millis(from);
            let until = from + Duration::from_millis(draws.gen_range(LASTS));
            let lot = draws.gen();
            let same = |f: &&Fault| {
                (f.kind.of_processes() && kind.of_processes())
                    || (f.kind.of_service() && kind.of_service())
            };
            let beside = faults
                .iter()
                .filter(same)
                .any(|f| f.from < until && from < f.until);
            if !beside {
                faults.push(Fault {
                    kind,
                    from,
                    until,
                    lot,
                });
            }
        }
        faults.sort_by_key(|f| f.from);
        Course { seed, faults }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_one_course_and_faults_of_one_concern_do_not_overlap() {
        let mut met = std::collections::BTreeSet::new();
        for seed in 0..300 {
            let course = Course::draw(seed, None);
            assert_eq!(course, Course::draw(seed, None));
            met.extend(course.faults.iter().map(|f| f.kind));
            for (place, a) in course.faults.iter().enumerate() {
                for b in &course.faults[place + 1..] {
                    let same = a.kind.of_processes() && b.kind.of_processes();
                    assert!(!same || a.until <= b.from, "{a:?} {b:?}");
                }
            }
        }
        assert_eq!(met.len(), KINDS.len());
        assert!(KINDS
            .into_iter()
            .all(|kind| Kind::named(&kind.name()) == Some(kind)));
    }
}
