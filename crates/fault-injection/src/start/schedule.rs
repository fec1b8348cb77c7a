//! The fault schedule of a simultaneous start: which faults occur when, generated from a seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Seven in ten proxies are killed at once and restarted.
    KillMany,
    /// All proxies are killed at once and restarted.
    KillAll,
    /// All gossip seeds are killed and restarted.
    KillSeeds,
    /// All pollers of the list service are killed and restarted.
    #[serde(rename = "kill-askers")]
    KillPollers,
    /// All pollers of the list service are suspended (SIGSTOP) and resumed.
    #[serde(rename = "stop-askers")]
    StopPollers,
    /// Some proxies are suspended and resumed.
    StopSome,
    /// Some proxies are restarted with SIGTERM, one after the other.
    #[serde(rename = "roll")]
    RollingRestart,
    /// The list service is down.
    ServiceDown,
    /// The list service has a tenth of its capacity.
    ServiceSlow,
    /// The list service answers with an older list.
    #[serde(rename = "service-old")]
    ServiceStale,
    /// Some proxies cannot reach the list service, but can reach their peers.
    CutFromService,
    /// Some proxies can reach the list service, but no peer.
    CutFromPeers,
    /// The fleet is partitioned into two parts.
    #[serde(rename = "halves")]
    Partition,
    /// A third of the datagrams is lost.
    Lossy,
    /// A third of the datagrams is duplicated.
    #[serde(rename = "doubled")]
    Duplicated,
    /// Datagrams are delayed by up to two seconds.
    Late,
    /// Half of the hosts are replaced by new ones at other addresses.
    Replace,
    /// A host drains and is removed.
    Drain,
    /// A proxy of another fleet, with the same secret, uses the same seeds.
    OtherFleet,
}

/// All kinds of faults.
pub const KINDS: [Kind; 19] = [
    Kind::KillMany,
    Kind::KillAll,
    Kind::KillSeeds,
    Kind::KillPollers,
    Kind::StopPollers,
    Kind::StopSome,
    Kind::RollingRestart,
    Kind::ServiceDown,
    Kind::ServiceSlow,
    Kind::ServiceStale,
    Kind::CutFromService,
    Kind::CutFromPeers,
    Kind::Partition,
    Kind::Lossy,
    Kind::Duplicated,
    Kind::Late,
    Kind::Replace,
    Kind::Drain,
    Kind::OtherFleet,
];

impl Kind {
    /// The name of the kind in a serialized schedule and on the command line.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|k| k.name() == name)
    }

    /// Whether the fault ends or suspends proxy processes.
    pub fn targets_processes(self) -> bool {
        use Kind::{
            KillAll, KillMany, KillPollers, KillSeeds, RollingRestart, StopPollers, StopSome,
        };
        matches!(
            self,
            KillMany | KillAll | KillSeeds | KillPollers | StopPollers | StopSome | RollingRestart
        )
    }

    /// Whether the fault affects the answers of the list service.
    pub fn targets_service(self) -> bool {
        matches!(
            self,
            Kind::ServiceDown | Kind::ServiceSlow | Kind::ServiceStale
        )
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The kind of fault.
    pub kind: Kind,
    /// When the fault begins, from the start of the first proxy.
    pub from: Duration,
    /// When the fault ends.
    pub until: Duration,
    /// Seed that determines the affected proxies or hosts.
    #[serde(rename = "lot")]
    pub seed: u64,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The faults, ordered by when they begin.
    pub faults: Vec<Fault>,
}

/// Faults begin within this time from the start of the first proxy, and last this long, in milliseconds.
const FAULT_START_WINDOW_MS: u64 = 6_000;
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 300..=4_000;

impl FaultSchedule {
    /// Generates the schedule of a seed; `only` restricts it to one kind of fault. At any time there is at most one
    /// fault of processes, one of the list service and one of each other kind.
    pub fn draw(seed: u64, only: Option<Kind>) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut rng);
        kinds.truncate(rng.gen_range(3..=6));
        let mut faults: Vec<Fault> = Vec::new();
        for kind in kinds {
            // Half of the faults coincide with the start of the fleet.
            let from = if rng.gen_bool(0.5) {
                0
            } else {
                rng.gen_range(0..FAULT_START_WINDOW_MS)
            };
            let from = Duration::from_millis(from);
            let until = from + Duration::from_millis(rng.gen_range(FAULT_DURATION_MS));
            let fault_seed = rng.gen();
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
                    seed: fault_seed,
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
    fn a_seed_determines_the_schedule_and_faults_of_one_group_do_not_overlap() {
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
