//! What goes wrong when.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A proxy is killed (SIGKILL) and started again.
    KillProxy,
    /// All proxies are killed at once and started again.
    KillAll,
    /// A proxy stands still (SIGSTOP) and goes on.
    StopProxy,
    /// A proxy is killed, and its copy of the policy is torn before it starts again.
    TearProxy,
    /// Nothing passes between a proxy and control.
    CutProxy,
    /// A proxy hears control and is not heard.
    UnheardProxy,
    /// A proxy is heard by control and does not hear.
    DeafProxy,
    /// What passes between a proxy and control takes its time.
    DelayProxy,
    /// The connections between a proxy and control are reset.
    ResetProxy,
    /// What passes between a proxy and control comes some bytes at a time.
    TrickleProxy,
    /// A replica of control is killed and started again.
    KillReplica,
    /// A replica stands still and goes on.
    StopReplica,
    /// Nothing reaches a replica: no proxy, no publisher, no other replica.
    CutReplica,
    /// The connections to a replica are reset.
    ResetReplica,
}

/// All kinds.
pub const KINDS: [Kind; 14] = [
    Kind::KillProxy,
    Kind::KillAll,
    Kind::StopProxy,
    Kind::TearProxy,
    Kind::CutProxy,
    Kind::UnheardProxy,
    Kind::DeafProxy,
    Kind::DelayProxy,
    Kind::ResetProxy,
    Kind::TrickleProxy,
    Kind::KillReplica,
    Kind::StopReplica,
    Kind::CutReplica,
    Kind::ResetReplica,
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

    /// Does it concern a replica of control?
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
    /// What.
    pub kind: Kind,
    /// Whom: the place of a proxy or of a replica.
    #[serde(rename = "whom")]
    pub target: usize,
    /// From when on, since the beginning of the schedule.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// What is drawn for a schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    /// All chance is drawn from it.
    pub seed: u64,
    /// Faults, in the order of their beginnings.
    pub faults: Vec<Fault>,
    /// Before each publish.
    pub pauses: Vec<Duration>,
}

/// Faults begin within this time.
const FAULT_START_WINDOW_MS: u64 = 5_000;
/// A fault lasts so many milliseconds: some much less than a lease of the trial, some several.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 100..=4_000;

/// All are down for so long at the most.
const MAX_KILL_ALL_DURATION: Duration = Duration::from_secs(1);

impl FaultSchedule {
    /// Draws a schedule for so many proxies and replicas. `only`: faults of no other kind. Faults of one process do not
    /// overlap; those of different ones may.
    pub fn draw(
        seed: u64,
        (proxies, replicas): (usize, usize),
        publishes: usize,
        only: Option<Kind>,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut rng);
        // At least four kinds, and several proxies of each.
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
                // Shortly, and once beside others: while all are down nothing else can happen to a proxy.
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
    fn a_seed_draws_one_course_and_faults_of_one_process_do_not_overlap() {
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
    fn names_lead_back() {
        assert!(KINDS
            .into_iter()
            .all(|kind| Kind::from_name(&kind.name()) == Some(kind)));
        assert_eq!(Kind::from_name("meteor"), None);
    }
}
