//! The fault schedule of a policy run: which faults occur when.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A proxy is killed (SIGKILL) and restarted.
    KillProxy,
    /// All proxies are killed at once and restarted.
    KillAll,
    /// A proxy is suspended (SIGSTOP) and resumed.
    StopProxy,
    /// A proxy is killed, and its stored copy of the policy is truncated before the restart.
    #[serde(rename = "tear-proxy")]
    TruncatePolicy,
    /// The links between a proxy and the control plane are cut in both directions.
    CutProxy,
    /// The links are cut from a proxy to the control plane; the other direction works.
    #[serde(rename = "unheard-proxy")]
    CutFromProxy,
    /// The links are cut from the control plane to a proxy; the other direction works.
    #[serde(rename = "deaf-proxy")]
    CutToProxy,
    /// Traffic between a proxy and the control plane is delayed.
    DelayProxy,
    /// The connections between a proxy and the control plane are reset.
    ResetProxy,
    /// Traffic between a proxy and the control plane is forwarded a few bytes at a time.
    TrickleProxy,
    /// A replica of the control plane is killed and restarted.
    KillReplica,
    /// A replica is suspended (SIGSTOP) and resumed.
    StopReplica,
    /// No proxy, publisher or other replica reaches a replica.
    CutReplica,
    /// The connections to a replica are reset.
    ResetReplica,
}

/// All kinds of faults.
pub const KINDS: [Kind; 14] = [
    Kind::KillProxy,
    Kind::KillAll,
    Kind::StopProxy,
    Kind::TruncatePolicy,
    Kind::CutProxy,
    Kind::CutFromProxy,
    Kind::CutToProxy,
    Kind::DelayProxy,
    Kind::ResetProxy,
    Kind::TrickleProxy,
    Kind::KillReplica,
    Kind::StopReplica,
    Kind::CutReplica,
    Kind::ResetReplica,
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

    /// Whether the fault affects a replica of the control plane rather than a proxy.
    pub fn targets_replica(self) -> bool {
        matches!(
            self,
            Kind::KillReplica | Kind::StopReplica | Kind::CutReplica | Kind::ResetReplica
        )
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The kind of fault.
    pub kind: Kind,
    /// Index of the affected proxy or replica.
    #[serde(rename = "whom")]
    pub target: usize,
    /// When the fault begins, from the beginning of the run.
    pub from: Duration,
    /// When the fault ends.
    pub until: Duration,
}

/// What is generated from a seed for one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The faults, ordered by when they begin.
    pub faults: Vec<Fault>,
    /// The pause before each publish.
    pub pauses: Vec<Duration>,
}

/// Faults begin within this time from the beginning of the run.
const FAULT_START_WINDOW_MS: u64 = 5_000;
/// How long a fault lasts: from much less than a lease of the test to several leases.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 100..=4_000;

/// Longest time for which all proxies are down.
const MAX_KILL_ALL_DURATION: Duration = Duration::from_secs(1);

impl FaultSchedule {
    /// Generates the schedule of a seed for this many proxies and replicas; `only` restricts it to one kind of fault.
    /// Faults of the same process do not overlap; faults of different processes may.
    pub fn draw(
        seed: u64,
        (proxies, replicas): (usize, usize),
        publishes: usize,
        only: Option<Kind>,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut rng);
        // At least four kinds, each at several targets.
        let kinds: Vec<Kind> = kinds.into_iter().take(rng.gen_range(4..=6)).collect();
        let count = rng.gen_range(8..=16);
        let mut faults: Vec<Fault> = Vec::new();
        for index in 0..count {
            let kind = kinds[index % kinds.len()];
            let target = rng.gen_range(
                0..if kind.targets_replica() {
                    replicas
                } else {
                    proxies
                },
            );
            let from = Duration::from_millis(rng.gen_range(0..FAULT_START_WINDOW_MS));
            let mut until = from + Duration::from_millis(rng.gen_range(FAULT_DURATION_MS));
            if kind == Kind::KillAll {
                // Short, and at most once among other kinds: while all proxies are down no other fault can happen to a
                // proxy.
                until = until.min(from + MAX_KILL_ALL_DURATION);
                if only.is_none() && faults.iter().any(|f| f.kind == kind) {
                    continue;
                }
            }
            let fault = Fault {
                kind,
                target,
                from,
                until,
            };
            let overlaps = |f: &Fault| {
                let all = f.kind == Kind::KillAll || kind == Kind::KillAll;
                let same_target = f.kind.targets_replica() == kind.targets_replica()
                    && (f.target == target || all);
                same_target && f.from < until && from < f.until
            };
            if !faults.iter().any(overlaps) {
                faults.push(fault);
            }
        }
        faults.sort_by_key(|f| f.from);
        let pauses = (0..publishes)
            .map(|_| Duration::from_millis(rng.gen_range(0..2_500)))
            .collect();
        FaultSchedule {
            seed,
            faults,
            pauses,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_determines_the_schedule_and_faults_of_one_process_do_not_overlap() {
        for seed in 0..200 {
            let schedule = FaultSchedule::draw(seed, (50, 3), 3, None);
            assert_eq!(schedule, FaultSchedule::draw(seed, (50, 3), 3, None));
            let mut kinds: Vec<Kind> = schedule.faults.iter().map(|f| f.kind).collect();
            kinds.sort();
            kinds.dedup();
            assert!(kinds.len() >= 3, "{kinds:?}");
            for (index, a) in schedule.faults.iter().enumerate() {
                assert!(a.target < if a.kind.targets_replica() { 3 } else { 50 });
                for b in &schedule.faults[index + 1..] {
                    let all = a.kind == Kind::KillAll || b.kind == Kind::KillAll;
                    let same_target = a.kind.targets_replica() == b.kind.targets_replica()
                        && (a.target == b.target || all);
                    assert!(!same_target || a.until <= b.from, "{a:?} {b:?}");
                }
            }
        }
    }

    #[test]
    fn kinds_are_found_by_their_names() {
        assert!(KINDS
            .into_iter()
            .all(|kind| Kind::from_name(&kind.name()) == Some(kind)));
        assert_eq!(Kind::from_name("meteor"), None);
    }
}
