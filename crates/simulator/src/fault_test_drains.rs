//! `fault-test drains`: hosts drain while the list watches of all proxies are silent.

use crate::fault_filter::FaultFilter;
use crate::simulation;
use badgerramp_fault_injection::drains::{
    run as run_drains, FaultSchedule, Kind, RunReport, Size, KINDS,
};
use badgerramp_fault_injection::process::require_descriptors;
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// Options of the drain test: the fleet, the runs and their faults.
#[derive(Args)]
pub struct Drains {
    /// Number of client proxies.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=1_024))]
    proxies: u64,
    /// Number of hosts, a quarter of which drain.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(2..=4_096))]
    hosts: u64,
    /// Number of runs.
    #[arg(long = "courses", value_name = "COURSES", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    runs: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Restrict the faults other than silent watches to this kind, or to none.
    #[arg(long = "only", value_name = "FAULT", value_parser = parse_fault_filter)]
    fault_filter: Option<FaultFilter<Kind>>,
    /// Calls per second, over all proxies.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Number of runs that are executed in parallel.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// Test another build of badgerramp, with the same fault schedules.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Write a JSON line for each run to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn parse_fault_filter(name: &str) -> Result<FaultFilter<Kind>, String> {
    FaultFilter::parse(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

/// Runs the test. Returns whether no run violated an invariant.
///
/// # Errors
/// If a run could not be executed.
pub(crate) fn run(options: &Drains) -> Result<bool, simulation::SimulationError> {
    crate::fault_test::block_on(run_all(options))
}

async fn run_all(options: &Drains) -> Result<bool, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = Arc::new(match &options.program {
        Some(program) => (program.clone(), Vec::new()),
        None => (own_program, vec![crate::AS_PROXY.to_owned()]),
    });
    let count = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let size = Size {
        proxies: count(options.proxies),
        hosts: count(options.hosts),
        rate: options.rate.clamp(1.0, 20_000.0),
    };
    // Each proxy has a log, two listeners and four ends of list watches; the rest are ends of the connections from clients
    // and to hosts.
    let descriptors_per_run = size.proxies * 16 + size.hosts * (1 + size.proxies.min(64)) + 200;
    require_descriptors(descriptors_per_run as u64 * options.at_once)?;
    let mut json = match &options.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut seeds = options.seed..options.seed.saturating_add(options.runs);
    let (mut running, mut reports) = (tokio::task::JoinSet::new(), Vec::new());
    loop {
        while running.len() < count(options.at_once) {
            let Some(seed) = seeds.next() else { break };
            let mut schedule = FaultSchedule::draw(
                seed,
                (size.proxies, size.hosts),
                FaultFilter::kind(options.fault_filter),
            );
            if matches!(options.fault_filter, Some(FaultFilter::NoFaults)) {
                schedule.faults.clear();
            }
            let program = Arc::clone(&program);
            running.spawn(async move { (seed, run_drains(&program, size, &schedule).await) });
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let (seed, outcome) = finished.map_err(|e| e.to_string())?;
        let report =
            outcome.map_err(|reason| format!("run {seed} could not be executed: {reason}"))?;
        if let Some(file) = &mut json {
            let line = serde_json::to_string(&report).map_err(|e| e.to_string())?;
            writeln!(file, "{line}").map_err(|e| e.to_string())?;
        }
        print_report(&report, options);
        reports.push(report);
    }
    let held = reports.iter().filter(|p| p.held()).count();
    let sum = |figure: fn(&RunReport) -> usize| reports.iter().map(figure).sum::<usize>();
    println!(
        "{held} of {} held; {} calls, {} late at a draining host, {} for disconnected clients, {} lost, {} run twice, \
         {} list polls",
        reports.len(),
        sum(|p| p.calls),
        sum(|p| p.verdict.late),
        sum(|p| p.verdict.gone),
        sum(|p| p.lost),
        sum(|p| p.twice),
        sum(|p| p.verdict.questions),
    );
    Ok(held == reports.len())
}

fn print_report(report: &RunReport, options: &Drains) {
    let (schedule, verdict) = (&report.schedule, &report.verdict);
    let faults: Vec<String> = schedule.faults.iter().map(|f| f.0.name()).collect();
    println!(
        "run {}: {}; lists {}, {}; {} calls, the last one at a draining host {} ms after the drain began, {} list polls",
        schedule.seed,
        if report.held() { "held" } else { "BROKE" },
        if schedule.pushed { "pushed" } else { "polled" },
        if faults.is_empty() { "silent watches only".to_owned() } else { faults.join(" ") },
        report.calls,
        verdict.last_ms,
        verdict.questions,
    );
    if !report.held() {
        let (late, disconnected) = (verdict.late, verdict.gone);
        println!(
            "  {late} late, {disconnected} for disconnected clients, {} lost, {} run twice",
            report.lost, report.twice
        );
        verdict
            .first
            .iter()
            .chain(&report.lost_calls)
            .chain(&report.crashed)
            .for_each(|line| println!("  {line}"));
        let Drains {
            proxies,
            hosts,
            rate,
            ..
        } = options;
        let only = FaultFilter::to_option(options.fault_filter, Kind::name);
        println!(
            "  reproduce with: badgerramp-sim fault-test drains --courses 1 --seed {} --proxies {proxies} --hosts {hosts} --rate {rate}{only}",
            schedule.seed
        );
    }
}
