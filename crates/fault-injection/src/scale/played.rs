//! What a course came to.

use super::across::Across;
use super::course::Course;
use super::files::ControlTimes;
use super::layout::Size;
use super::meters::{Cost, ProxyCost};
use super::publisher::Published;
use super::verdict::{Ready, Refused};
use crate::checker::Verdict;
use badgerramp_config_tool::fleet::Outcome;
use serde::Serialize;

/// What the users allow: a proxy's processor time for control (2.5 % of a core), in microseconds a second.
const CPU_MOST: f64 = 25_000.0;
/// Its memory, in KiB.
const MEMORY_MOST: f64 = 128.0 * 1_024.0;
/// Its bytes a second.
const BYTES_MOST: f64 = 20_000.0;
/// The time from a publish to in force, in milliseconds, that 99 in 100 changes keep.
const IN_FORCE_MOST: u64 = 12_000;

/// How the changes of a course ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Changes {
    /// For those in force: from publish to its end, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// In force.
    pub in_force: usize,
    /// Not, and never.
    pub not_in_force: usize,
    /// Not known a minute later.
    pub not_known: usize,
    /// Why not.
    pub why: Vec<String>,
    /// Changes of one region that did not come into force there, with no change of all regions in their way.
    pub failed_in_their_region: usize,
    /// Did the last one come into force, when all was well again?
    pub last_in_force: bool,
}

impl Changes {
    /// From what the publisher heard; what came up to the first policy in force is the fleet's start.
    pub fn of(published: &[Published], last: Outcome) -> Changes {
        let start = published
            .iter()
            .take_while(|p| p.outcome != Outcome::InForce)
            .count()
            + 1;
        let later = || published.iter().skip(start);
        let count = |wanted: Outcome| later().filter(|p| p.outcome == wanted).count();
        let heard = || later().map(|p| &p.heard);
        Changes {
            in_force_ms: heard().filter(|h| h.in_force).map(|h| h.took_ms).collect(),
            in_force: count(Outcome::InForce),
            not_in_force: count(Outcome::NotInForce),
            not_known: count(Outcome::NotKnown),
            why: heard()
                .filter(|h| !h.in_force)
                .map(|h| h.why.clone())
                .collect(),
            failed_in_their_region: later().filter(|p| p.failed_in_its_region()).count(),
            last_in_force: last == Outcome::InForce,
        }
    }
}

/// All of it, a line of JSON for each course.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// Did all hold, and was no limit crossed?
    pub held: bool,
    /// Rules that broke.
    pub broke: Vec<String>,
    /// Limits of processor time, memory, bytes and time that were crossed.
    pub crossed: Vec<String>,
    /// Proxies in all.
    pub proxies: usize,
    /// Those that were processes of their own.
    pub real: usize,
    /// Those that shared processes.
    pub hollow: usize,
    /// Regions.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// Replicas of control in each region.
    pub replicas: Vec<usize>,
    /// The seed.
    pub seed: u64,
    /// The fault's name, or `none`.
    pub fault: String,
    /// What was drawn.
    pub course: Course,
    /// What control's files say.
    pub times: ControlTimes,
    /// Calls that began under what was past.
    pub begun_mixed: usize,
    /// Calls that began under what was not in force, or no more.
    pub begun_wrong: usize,
    /// Calls and looks that were judged.
    pub begun: usize,
    /// Tries of clients.
    pub calls: usize,
    /// Tries that got no answer of a proxy that was well.
    pub lost: usize,
    /// Calls that proxies refused which were well, and spans in which hollow ones that were well admitted nothing.
    pub refused_well: usize,
    /// Those of hollow proxies.
    pub refused_well_hollow: usize,
    /// All of them by region.
    pub refused_well_by_region: Vec<usize>,
    /// From publish to in force.
    #[serde(flatten)]
    pub changes: Changes,
    /// Changes of all regions.
    #[serde(flatten)]
    pub across: Across,
    /// Of proxies that were started again: from the start to list and lease.
    pub ready_ms: Vec<u64>,
    /// Proxies that were started again and never got there.
    pub not_ready: usize,
    /// Of a proxy, on the average: microseconds a second.
    pub proxy_cpu_us_per_s: f64,
    /// ... bytes a second, both directions.
    pub proxy_bytes_per_s: f64,
    /// ... memory.
    pub proxy_memory_kib: f64,
    /// The replica that led when the measuring began.
    pub leader: Option<usize>,
    /// The leader's processor time.
    pub leader_cpu_us_per_s: Option<f64>,
    /// ... and bytes.
    pub leader_bytes_per_s: Option<f64>,
    /// All that was measured.
    #[serde(flatten)]
    pub cost: Cost,
    /// What broke first, in words.
    pub first: Option<String>,
}

impl Played {
    /// Judges what was noted.
    pub fn new(
        (size, times, course): (Size, ControlTimes, Course),
        (verdict, across): (Verdict, Across),
        (refused, ready, not_settled): (Refused, &Ready, Option<String>),
        changes: Changes,
        (cost, leader): (Cost, Option<usize>),
    ) -> Played {
        let mut broke = broken_rules((&verdict, &across), refused.hollow, ready, &changes);
        broke.extend(not_settled);
        let crossed = crossed_limits(&cost, &changes);
        let by_region = |region: usize| {
            size.replica_places()
                .iter()
                .filter(|p| p.region == region)
                .count()
        };
        let of_leader = |all: &[f64]| leader.and_then(|replica| all.get(replica)).copied();
        Played {
            held: broke.is_empty() && crossed.is_empty(),
            broke,
            crossed,
            proxies: size.proxies,
            real: size.real,
            hollow: size.hollow(),
            regions: size.regions,
            zones: size.zones,
            replicas: (0..size.regions).map(by_region).collect(),
            seed: course.seed,
            fault: course
                .fault
                .map_or_else(|| "none".to_owned(), super::course::Kind::name),
            course,
            times,
            begun_mixed: verdict.begun_mixed,
            begun_wrong: verdict.begun_wrong,
            begun: verdict.begun,
            calls: verdict.calls,
            lost: verdict.lost,
            refused_well: refused.by_region.iter().sum(),
            refused_well_hollow: refused.hollow,
            refused_well_by_region: refused.by_region,
            changes,
            across,
            ready_ms: ready.ready_ms.clone(),
            not_ready: ready.not_ready,
            proxy_cpu_us_per_s: cost.proxy.cpu_us_per_s,
            proxy_bytes_per_s: cost.proxy.bytes_per_s,
            proxy_memory_kib: cost.proxy.memory_kib,
            leader,
            leader_cpu_us_per_s: of_leader(&cost.control_cpu_us_per_s),
            leader_bytes_per_s: of_leader(&cost.control_bytes_per_s),
            cost,
            first: verdict.first,
        }
    }
}

fn broken_rules(
    (verdict, across): (&Verdict, &Across),
    refused_hollow: usize,
    ready: &Ready,
    changes: &Changes,
) -> Vec<String> {
    let counts = [
        (verdict.begun_mixed, "begun under what was past"),
        (verdict.begun_wrong, "begun under what was not in force"),
        (
            across.mixed_across,
            "changes of all regions under whose old policy a call began too late elsewhere",
        ),
        (
            across.ended_apart,
            "changes of all regions that ended differently",
        ),
        (
            changes.failed_in_their_region,
            "changes of one region that did not come into force there",
        ),
        (verdict.executed_twice, "executed twice"),
        (verdict.lost, "calls without an answer"),
        (
            verdict.refused_well,
            "calls refused by proxies that were well",
        ),
        (
            refused_hollow,
            "times that a hollow proxy that was well admitted nothing",
        ),
        (ready.not_ready, "proxies not ready after a restart"),
        (changes.not_known, "changes that did not end"),
        (
            usize::from(!changes.last_in_force),
            "last change not in force though all was well",
        ),
    ];
    counts
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{count} {what}"))
        .collect()
}

fn crossed_limits(cost: &Cost, changes: &Changes) -> Vec<String> {
    let mut crossed = Vec::new();
    let kinds = [("real", cost.real_proxy), ("hollow", cost.hollow_proxy)];
    for (kind, cost) in kinds
        .into_iter()
        .filter_map(|(kind, cost)| Some((kind, cost?)))
    {
        let ProxyCost {
            cpu_us_per_s,
            memory_kib,
            bytes_per_s,
            ..
        } = cost;
        let limits = [
            (cpu_us_per_s, CPU_MOST, "us of processor time a second"),
            (memory_kib, MEMORY_MOST, "KiB of memory"),
            (bytes_per_s, BYTES_MOST, "bytes a second"),
        ];
        for (found, most, what) in limits.into_iter().filter(|(found, most, _)| found > most) {
            crossed.push(format!(
                "a {kind} proxy takes {found:.0} {what}, allowed are {most:.0}"
            ));
        }
    }
    let mut sorted = changes.in_force_ms.clone();
    sorted.sort_unstable();
    let place = (sorted.len() * 99).div_ceil(100).max(1) - 1;
    if let Some(&late) = sorted.get(place).filter(|&&ms| ms > IN_FORCE_MOST) {
        crossed.push(format!(
            "99 in 100 changes were in force after {late} ms, allowed are {IN_FORCE_MOST}"
        ));
    }
    crossed
}
