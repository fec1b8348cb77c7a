//! `trial drains`: hosts leave while the watches of all proxies are silent.

use crate::only::Only;
use crate::simulation;
use badgerramp_fault_injection::drains::{
    run as run_drains, FaultSchedule, Kind, RunReport, Size, KINDS,
};
use badgerramp_fault_injection::process::require_descriptors;
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// The fleet, and how many courses.
#[derive(Args)]
pub struct Drains {
    /// Client proxies.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=1_024))]
    proxies: u64,
    /// Hosts, a quarter of which leave.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(2..=4_096))]
    hosts: u64,
    /// Courses.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    courses: u64,
    /// The first course's seed; the others' follow it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Beside the silence of all watches this fault alone, or none.
    #[arg(long, value_name = "FAULT", value_parser = kind)]
    only: Option<Only<Kind>>,
    /// Calls a second over all proxies.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Courses that run beside each other.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// Another build of badgerramp, to be held against the same courses.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// A line for each course, as JSON, into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn kind(name: &str) -> Result<Only<Kind>, String> {
    Only::read(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

/// Runs the trial. True if all held.
///
/// # Errors
/// If it could not be played.
pub(crate) fn run(terms: &Drains) -> Result<bool, simulation::SimulationError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| simulation::SimulationError::Other(e.to_string()))?;
    runtime
        .block_on(trial(terms))
        .map_err(simulation::SimulationError::Other)
}

async fn trial(terms: &Drains) -> Result<bool, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = Arc::new(match &terms.program {
        Some(other) => (other.clone(), Vec::new()),
        None => (own, vec![crate::AS_PROXY.to_owned()]),
    });
    let count = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let size = Size {
        proxies: count(terms.proxies),
        hosts: count(terms.hosts),
        rate: terms.rate.clamp(1.0, 20_000.0),
    };
    // A log, two doors, four ends of watches, and ends of connections of clients and hosts.
    let each = size.proxies * 16 + size.hosts * (1 + size.proxies.min(64)) + 200;
    require_descriptors(each as u64 * terms.at_once)?;
    let mut json = match &terms.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut seeds = terms.seed..terms.seed.saturating_add(terms.courses);
    let (mut running, mut all) = (tokio::task::JoinSet::new(), Vec::new());
    loop {
        while running.len() < count(terms.at_once) {
            let Some(seed) = seeds.next() else { break };
            let mut course =
                FaultSchedule::draw(seed, (size.proxies, size.hosts), Only::kind(terms.only));
            if matches!(terms.only, Some(Only::Nothing)) {
                course.faults.clear();
            }
            let program = Arc::clone(&program);
            running.spawn(async move { (seed, run_drains(&program, size, &course).await) });
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        let (seed, played) = done.map_err(|e| e.to_string())?;
        let played =
            played.map_err(|fault| format!("course {seed} could not be played: {fault}"))?;
        if let Some(file) = &mut json {
            let line = serde_json::to_string(&played).map_err(|e| e.to_string())?;
            writeln!(file, "{line}").map_err(|e| e.to_string())?;
        }
        show(&played, terms);
        all.push(played);
    }
    let held = all.iter().filter(|p| p.held()).count();
    let sum = |of: fn(&RunReport) -> usize| all.iter().map(of).sum::<usize>();
    println!(
        "{held} of {} held; {} calls, {} late at a host that leaves, {} for clients that had left, {} lost, {} run twice, \
         {} questions",
        all.len(),
        sum(|p| p.calls),
        sum(|p| p.verdict.late),
        sum(|p| p.verdict.gone),
        sum(|p| p.lost),
        sum(|p| p.twice),
        sum(|p| p.verdict.questions),
    );
    Ok(held == all.len())
}

fn show(played: &RunReport, terms: &Drains) {
    let (course, verdict) = (&played.schedule, &played.verdict);
    let faults: Vec<String> = course.faults.iter().map(|f| f.0.name()).collect();
    println!(
        "course {}: {}; lists {}, {}; {} calls, last one at a host that leaves {} ms after its drain, {} questions",
        course.seed,
        if played.held() { "held" } else { "BROKE" },
        if course.pushed { "pushed" } else { "asked for" },
        if faults.is_empty() { "silence alone".to_owned() } else { faults.join(" ") },
        played.calls,
        verdict.last_ms,
        verdict.questions,
    );
    if !played.held() {
        let (late, gone) = (verdict.late, verdict.gone);
        println!(
            "  {late} late, {gone} for clients that had left, {} lost, {} run twice",
            played.lost, played.twice
        );
        verdict
            .first
            .iter()
            .chain(&played.lost_calls)
            .chain(&played.crashed)
            .for_each(|line| println!("  {line}"));
        let Drains {
            proxies,
            hosts,
            rate,
            ..
        } = terms;
        let only = Only::option(terms.only, Kind::name);
        println!(
            "  again: badgerramp-sim fault-test drains --courses 1 --seed {} --proxies {proxies} --hosts {hosts} --rate {rate}{only}",
            course.seed
        );
    }
}
