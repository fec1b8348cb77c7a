//! `fault-test soak`: crowds of clients, reloads, SIGTERM and SIGKILL at one proxy with little memory.

use crate::simulation;
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::soak::{run as run_soak, Program, RunReport, Schedule};
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes in a MiB.
const MIB: f64 = (1 << 20) as f64;
/// Descriptors of a run: connections of clients and hosts, at both ends.
const DESCRIPTORS_PER_RUN: u64 = 4_096;

/// Options of the soak test.
#[derive(Args)]
pub struct Soak {
    /// Number of runs.
    #[arg(long = "courses", value_name = "COURSES", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    runs: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs that are executed in parallel.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// Test another build of badgerramp, whose code counts as memory.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Write a JSON line for each run to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Runs the test. Returns whether all runs held.
///
/// # Errors
/// If a run could not be executed.
pub(crate) fn run(options: &Soak) -> Result<bool, simulation::SimulationError> {
    crate::fault_test::block_on(run_all(options))
}

async fn run_all(options: &Soak) -> Result<bool, String> {
    require_descriptors(DESCRIPTORS_PER_RUN * options.at_once)?;
    let program = Arc::new(tested_program(options)?);
    let mut json = match &options.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut seeds = options.seed..options.seed.saturating_add(options.runs);
    let (mut running, mut held, mut runs) = (tokio::task::JoinSet::new(), 0, 0);
    loop {
        while (running.len() as u64) < options.at_once {
            let Some(seed) = seeds.next() else { break };
            let program = Arc::clone(&program);
            running.spawn(async move {
                let report = run_soak(&program, &Schedule::draw(seed)).await;
                report.map_err(|reason| format!("run {seed} could not be executed: {reason}"))
            });
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let report = finished.map_err(|e| e.to_string())??;
        if let Some(file) = &mut json {
            let line = serde_json::to_string(&report).map_err(|e| e.to_string())?;
            writeln!(file, "{line}").map_err(|e| e.to_string())?;
        }
        print_report(&report);
        runs += 1;
        held += usize::from(report.held());
    }
    println!("{held} of {runs} held");
    Ok(held == runs)
}

/// The program to test: this one in the role of a proxy, unless another is given.
fn tested_program(options: &Soak) -> Result<Program, String> {
    Ok(match &options.program {
        Some(path) => Program {
            path: path.clone(),
            arguments: Vec::new(),
            is_released: true,
        },
        None => Program {
            path: std::env::current_exe().map_err(|e| e.to_string())?,
            arguments: vec![crate::AS_PROXY.to_owned()],
            is_released: false,
        },
    })
}

fn print_report(report: &RunReport) {
    let RunReport {
        seed,
        memory_limit,
        peak,
        sent,
        served,
        lost,
        calm_sent,
        calm_served,
        ..
    } = report;
    println!(
        "run {seed}: {}; peak {:.1} of {:.0} MiB; usual clients: {served} of {sent} served, {} lost, then {calm_served} of {calm_sent}",
        if report.held() { "held" } else { "BROKE" },
        *peak as f64 / MIB,
        *memory_limit as f64 / MIB,
        lost.len(),
    );
    if !report.held() {
        let details = report.ended.iter().chain(lost);
        let details = details.chain(report.repeated.first());
        details.for_each(|line| println!("  {line}"));
        println!("  {:?}", Schedule::draw(*seed));
        println!("  reproduce with: badgerramp-sim fault-test soak --courses 1 --seed {seed}");
    }
}
