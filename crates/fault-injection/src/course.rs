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

    /// Does it concern a replica of control?
    pub fn of_replica(self) -> bool {
        matches!(
            self,
            Kind::KillReplica | Kind::StopReplica | Kind::CutReplica | Kind::ResetReplica
        )
    }
}

/// One fault of a course.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Whom: the place of a proxy or of a replica.
    pub whom: usize,
    /// From when on, since the beginning of the course.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// What is drawn for a course.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Course {
    /// All chance is drawn from it.
    pub seed: u64,
    /// Faults, in the order of their beginnings.
    pub faults: Vec<Fault>,
    /// Before each publish.
    pub pauses: Vec<Duration>,
}

/// Faults begin within this time.
const BEGIN_WITHIN: u64 = 5_000;
/// A fault lasts so many milliseconds: some much less than a lease of the trial, some several.
const LASTS: std::ops::RangeInclusive<u64> = 100..=4_000;

/// All are down for so long at the most.
const ALL_LASTS: Duration = Duration::from_secs(1);

impl Course {
    /// Draws a course for so many proxies and replicas. `only`: faults of no other kind. Faults of one process do not
    /// overlap; those of different ones may.
    pub fn draw(
        seed: u64,
        (proxies, replicas): (usize, usize),
        publishes: usize,
        only: Option<Kind>,
    ) -> Self {
        let mut draws = Pcg32::seed_from_u64(seed);
        let mut kinds: Vec<Kind> = only.map_or(KINDS.to_vec(), |kind| vec![kind]);
        kinds.shuffle(&mut draws);
        // At least four kinds, and several proxies of each.
        let kinds: Vec<Kind> = kinds.into_iter().take(draws.gen_range(4..=6)).collect();
        let count = draws.gen_range(8..=16);
        let mut faults: Vec<Fault> = Vec::new();
        for place in 0..count {
            let kind = kinds[place % kinds.len()];
            let whom = draws.gen_range(0..if kind.of_replica() { replicas } else { proxies });
            let from = Duration::from_millis(draws.gen_range(0..BEGIN_WITHIN));
            let mut until = from + Duration::from_millis(draws.gen_range(LASTS));
            if kind == Kind::KillAll {
                // Shortly, and once beside others: while all are down nothing else can happen to a proxy.
                until = until.min(from + ALL_LASTS);
                if only.is_none() && faults.iter().any(|f| f.kind == kind) {
                    continue;
                }
            }
            let fault = Fault {
                kind,
                whom,
                from,
                until,
            };
            let beside = |f: &Fault| {
                let all = f.kind == Kind::KillAll || kind == Kind::KillAll;
                let same = f.kind.of_replica() == kind.of_replica() && (f.whom == whom || all);
                same && f.from < until && from < f.until
            };
            if !faults.iter().any(beside) {
                faults.push(fault);
            }
        }
        faults.sort_by_key(|f| f.from);
        let pauses = (0..publishes)
            .map(|_| Duration::from_millis(draws.gen_range(0..2_500)))
            .collect();
        Course {
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
            let course = Course::draw(seed, (50, 3), 3, None);
            assert_eq!(course, Course::draw(seed, (50, 3), 3, None));
            let mut kinds: Vec<Kind> = course.faults.iter().map(|f| f.kind).collect();
            kinds.sort();
            kinds.dedup();
            assert!(kinds.len() >= 3, "{kinds:?}");
            for (place, a) in course.faults.iter().enumerate() {
                assert!(a.whom < if a.kind.of_replica() { 3 } else { 50 });
                for b in &course.faults[place + 1..] {
                    let all = a.kind == Kind::KillAll || b.kind == Kind::KillAll;
                    let same =
                        a.kind.of_replica() == b.kind.of_replica() && (a.whom == b.whom || all);
                    assert!(!same || a.until <= b.from, "{a:?} {b:?}");
                }
            }
        }
    }

    #[test]
    fn names_lead_back() {
        assert!(KINDS
            .into_iter()
            .all(|kind| Kind::named(&kind.name()) == Some(kind)));
        assert_eq!(Kind::named("meteor"), None);
    }
}
