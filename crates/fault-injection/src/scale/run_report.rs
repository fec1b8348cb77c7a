//! The report of a run, and the limits that it is checked against.

use super::cross_region::CrossRegionOutcomes;
use super::files::ControlTimes;
use super::layout::Size;
use super::publisher::Published;
use super::schedule::FaultSchedule;
use super::usage::{FleetUsage, ProxyUsage};
use super::verdict::{Readiness, Rejections};
use crate::checker::Verdict;
use badgerramp_config_tool::fleet::Outcome;
use serde::Serialize;

/// The users' limit of a proxy's CPU time for the control plane (2.5 % of a core), in microseconds per second.
const MAX_CPU_US_PER_S: f64 = 25_000.0;
/// The users' limit of a proxy's memory, in KiB.
const MAX_MEMORY_KIB: f64 = 128.0 * 1_024.0;
/// The users' limit of a proxy's traffic with the control plane, the list service and peers, in bytes per second.
const MAX_BYTES_PER_S: f64 = 20_000.0;
/// The users' limit of the 99th percentile of the time from a publish until the change is in force.
const MAX_IN_FORCE_MS: u64 = 12_000;

/// The outcomes of the changes of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Changes {
    /// For each change in force: time from the publish to the outcome, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Number of changes that are in force.
    pub in_force: usize,
    /// Number of changes that never were in force and never will be.
    pub not_in_force: usize,
    /// Number of changes whose outcome the publisher did not learn within its timeout.
    pub not_known: usize,
    /// Why the other changes are not in force.
    pub why: Vec<String>,
    /// Changes of one region that did not come into force there, although no cross-region change was pending.
    pub failed_in_their_region: usize,
    /// Whether the last change, published after all faults had ended, came into force.
    pub last_in_force: bool,
}

impl Changes {
    /// Summarizes the outcomes. The changes up to the first one in force are part of the start of the fleet, and are left out.
    pub fn of(published: &[Published], last: Outcome) -> Changes {
        let start = published
            .iter()
            .take_while(|p| p.outcome != Outcome::InForce)
            .count()
            + 1;
        let later = || published.iter().skip(start);
        let count = |wanted: Outcome| later().filter(|p| p.outcome == wanted).count();
        let records = || later().map(|p| &p.record);
        Changes {
            in_force_ms: records()
                .filter(|h| h.in_force)
                .map(|h| h.took_ms)
                .collect(),
            in_force: count(Outcome::InForce),
            not_in_force: count(Outcome::NotInForce),
            not_known: count(Outcome::NotKnown),
            why: records()
                .filter(|h| !h.in_force)
                .map(|h| h.why.clone())
                .collect(),
            failed_in_their_region: later().filter(|p| p.failed_in_its_region()).count(),
            last_in_force: last == Outcome::InForce,
        }
    }
}

/// The report of a run, written as a line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Whether no invariant was violated and no limit exceeded.
    pub held: bool,
    /// The violated invariants.
    #[serde(rename = "broke")]
    pub violations: Vec<String>,
    /// The exceeded limits of CPU time, memory, bytes and time.
    #[serde(rename = "crossed")]
    pub exceeded_limits: Vec<String>,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of proxies that were separate processes.
    pub real: usize,
    /// Number of hollow proxies.
    pub hollow: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, over all regions.
    pub zones: usize,
    /// Number of control-plane replicas of each region.
    pub replicas: Vec<usize>,
    /// The seed.
    pub seed: u64,
    /// The fault's name, or `none`.
    pub fault: String,
    /// The fault schedule.
    #[serde(rename = "course")]
    pub schedule: FaultSchedule,
    /// The timeouts of the control plane.
    pub times: ControlTimes,
    /// Calls that started under a generation older than one under which a call had already started.
    pub begun_mixed: usize,
    /// Calls that started under a generation that was not in force, or no longer.
    pub begun_wrong: usize,
    /// Started calls and admission checks of hollow proxies that the invariant checker read.
    pub begun: usize,
    /// Attempts of clients.
    pub calls: usize,
    /// Attempts that got no answer from a healthy proxy.
    pub lost: usize,
    /// Calls rejected by healthy proxies, plus spans in which healthy hollow proxies admitted nothing.
    pub refused_well: usize,
    /// Spans in which healthy hollow proxies admitted nothing.
    pub refused_well_hollow: usize,
    /// `refused_well` by region.
    pub refused_well_by_region: Vec<usize>,
    /// Outcomes of the changes.
    #[serde(flatten)]
    pub changes: Changes,
    /// Outcomes of cross-region changes.
    #[serde(flatten)]
    pub cross_region: CrossRegionOutcomes,
    /// For each restarted proxy: time from the start until it had both an endpoint list and a lease, in milliseconds.
    pub ready_ms: Vec<u64>,
    /// Restarted proxies that never had both an endpoint list and a lease.
    pub not_ready: usize,
    /// Average CPU time of a proxy, in microseconds per second.
    pub proxy_cpu_us_per_s: f64,
    /// Average traffic of a proxy in both directions, in bytes per second.
    pub proxy_bytes_per_s: f64,
    /// Average memory of a proxy, in KiB.
    pub proxy_memory_kib: f64,
    /// The replica that led the first region before the measurement.
    pub leader: Option<usize>,
    /// CPU time of the leader, in microseconds per second.
    pub leader_cpu_us_per_s: Option<f64>,
    /// Traffic of the leader, in bytes per second.
    pub leader_bytes_per_s: Option<f64>,
    /// The measured resource usage.
    #[serde(flatten)]
    pub usage: FleetUsage,
    /// Description of the first violation.
    pub first: Option<String>,
}

impl RunReport {
    /// Creates the report, and checks the limits.
    pub fn new(
        (size, times, schedule): (Size, ControlTimes, FaultSchedule),
        (verdict, cross_region): (Verdict, CrossRegionOutcomes),
        (rejections, readiness, unsettled): (Rejections, &Readiness, Option<String>),
        changes: Changes,
        (usage, leader): (FleetUsage, Option<usize>),
    ) -> RunReport {
        let mut violations = violations(
            (&verdict, &cross_region),
            rejections.hollow,
            readiness,
            &changes,
        );
        violations.extend(unsettled);
        let exceeded_limits = exceeded_limits(&usage, &changes);
        let by_region = |region: usize| {
            size.replica_locations()
                .iter()
                .filter(|p| p.region == region)
                .count()
        };
        let of_leader = |all: &[f64]| leader.and_then(|replica| all.get(replica)).copied();
        RunReport {
            held: violations.is_empty() && exceeded_limits.is_empty(),
            violations,
            exceeded_limits,
            proxies: size.proxies,
            real: size.real,
            hollow: size.hollow(),
            regions: size.regions,
            zones: size.zones,
            replicas: (0..size.regions).map(by_region).collect(),
            seed: schedule.seed,
            fault: schedule
                .fault
                .map_or_else(|| "none".to_owned(), super::schedule::Kind::name),
            schedule,
            times,
            begun_mixed: verdict.begun_mixed,
            begun_wrong: verdict.begun_wrong,
            begun: verdict.begun,
            calls: verdict.calls,
            lost: verdict.lost,
            refused_well: rejections.by_region.iter().sum(),
            refused_well_hollow: rejections.hollow,
            refused_well_by_region: rejections.by_region,
            changes,
            cross_region,
            ready_ms: readiness.ready_ms.clone(),
            not_ready: readiness.not_ready,
            proxy_cpu_us_per_s: usage.proxy.cpu_us_per_s,
            proxy_bytes_per_s: usage.proxy.bytes_per_s,
            proxy_memory_kib: usage.proxy.memory_kib,
            leader,
            leader_cpu_us_per_s: of_leader(&usage.control_cpu_us_per_s),
            leader_bytes_per_s: of_leader(&usage.control_bytes_per_s),
            usage,
            first: verdict.first,
        }
    }
}

fn violations(
    (verdict, cross_region): (&Verdict, &CrossRegionOutcomes),
    refused_hollow: usize,
    readiness: &Readiness,
    changes: &Changes,
) -> Vec<String> {
    let counts = [
        (verdict.begun_mixed, "calls started under an older generation after a newer one"),
        (verdict.begun_wrong, "calls started under a generation that was not in force"),
        (
            cross_region.mixed_across,
            "cross-region changes with a call under the old policy after one under the new policy in another region",
        ),
        (
            cross_region.diverged,
            "cross-region changes with different outcomes in the regions",
        ),
        (
            changes.failed_in_their_region,
            "changes of one region that did not come into force there",
        ),
        (verdict.executed_twice, "idempotency keys executed twice"),
        (verdict.lost, "calls without an answer from a healthy proxy"),
        (
            verdict.refused_well,
            "calls rejected by healthy proxies",
        ),
        (
            refused_hollow,
            "spans in which a healthy hollow proxy admitted nothing",
        ),
        (readiness.not_ready, "proxies not ready after a restart"),
        (changes.not_known, "changes without a known outcome"),
        (
            usize::from(!changes.last_in_force),
            "last change not in force although all faults had ended",
        ),
    ];
    counts
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{count} {what}"))
        .collect()
}

fn exceeded_limits(usage: &FleetUsage, changes: &Changes) -> Vec<String> {
    let mut exceeded_limits = Vec::new();
    let kinds = [("real", usage.real_proxy), ("hollow", usage.hollow_proxy)];
    for (kind, usage) in kinds
        .into_iter()
        .filter_map(|(kind, usage)| Some((kind, usage?)))
    {
        let ProxyUsage {
            cpu_us_per_s,
            memory_kib,
            bytes_per_s,
            ..
        } = usage;
        let limits = [
            (cpu_us_per_s, MAX_CPU_US_PER_S, "us of CPU time per second"),
            (memory_kib, MAX_MEMORY_KIB, "KiB of memory"),
            (bytes_per_s, MAX_BYTES_PER_S, "bytes per second"),
        ];
        for (value, limit, what) in limits.into_iter().filter(|(value, limit, _)| value > limit) {
            exceeded_limits.push(format!(
                "{kind} proxy: {value:.0} {what}, the limit is {limit:.0}"
            ));
        }
    }
    let mut sorted = changes.in_force_ms.clone();
    sorted.sort_unstable();
    let index = (sorted.len() * 99).div_ceil(100).max(1) - 1;
    if let Some(&percentile) = sorted.get(index).filter(|&&ms| ms > MAX_IN_FORCE_MS) {
        exceeded_limits.push(format!(
            "changes took {percentile} ms to be in force (99th percentile), the limit is {MAX_IN_FORCE_MS} ms"
        ));
    }
    exceeded_limits
}
