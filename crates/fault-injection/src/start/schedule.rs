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
    /// Its name, as it stands in a schedule that was written down.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|k| k.name() == name)
    }

    /// Do proxies stop or end by it?
    pub fn targets_processes(self) -> bool {
        use Kind::{KillAll, KillAskers, KillMany, KillSeeds, Roll, StopAskers, StopSome};
        matches!(
            self,
            KillMany | KillAll | KillSeeds | KillAskers | StopAskers | StopSome | Roll
        )
    }

    /// Does it change what the service tells?
    pub fn targets_service(self) -> bool {
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
    #[serde(rename = "lot")]
    pub target_seed: u64,
}

/// A schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    /// All chance is drawn from it.
    pub seed: u64,
    /// In the order of their beginnings.
    pub faults: Vec<Fault>,
}

/// Faults begin within this time, and last so many milliseconds.
const FAULT_START_WINDOW_MS: u64 = 6_000;
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 300..=4_000;

impl FaultSchedule {
    /// Draws one; `only`: faults of no other kind. Faults of one concern do not overlap: of processes, of the service,
    /// of one kind.
    pub fn draw(seed: u64, only: Option<Kind>) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut rng);
        kinds.truncate(rng.gen_range(3..=6));
        let mut faults: Vec<Fault> = Vec::new();
        for kind in kinds {
            // Half of them meet the start itself.
            let from = if rng.gen_bool(0.5) {
                0
            } else {
                rng.gen_range(0..FAULT_START_WINDOW_MS)
            };
            let from = Duration::from_millis(from);
            let until = from + Duration::from_millis(rng.gen_range(FAULT_DURATION_MS));
            let target_seed = rng.gen();
            let same_group = |f: &&Fault| {
                (f.kind.targets_processes() && kind.targets_processes())
                    || (f.kind.targets_service() && kind.targets_service())
            };
            let overlaps = faults
                .iter()
                .filter(same_group)
                .any(|f| f.from < until && from < f.until);
            if !overlaps {
                faults.push(Fault {
                    kind,
                    from,
                    until,
                    target_seed,
                });
            }
        }
        faults.sort_by_key(|f| f.from);
        FaultSchedule { seed, faults }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_one_course_and_faults_of_one_concern_do_not_overlap() {
        let mut kinds_drawn = std::collections::BTreeSet::new();
        for seed in 0..300 {
            let schedule = FaultSchedule::draw(seed, None);
            assert_eq!(schedule, FaultSchedule::draw(seed, None));
            kinds_drawn.extend(schedule.faults.iter().map(|f| f.kind));
            for (index, a) in schedule.faults.iter().enumerate() {
                for b in &schedule.faults[index + 1..] {
                    let same_group = a.kind.targets_processes() && b.kind.targets_processes();
                    assert!(!same_group || a.until <= b.from, "{a:?} {b:?}");
                }
            }
        }
        assert_eq!(kinds_drawn.len(), KINDS.len());
        assert!(KINDS
            .into_iter()
            .all(|kind| Kind::from_name(&kind.name()) == Some(kind)));
    }
}
