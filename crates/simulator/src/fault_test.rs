//! The `fault-test` command: faults are injected into a fleet of real processes, and its invariants are checked.

use crate::fault_filter::FaultFilter;
use crate::simulation;
use badgerramp_fault_injection::baseline::Distribution;
use badgerramp_fault_injection::policy::{run as run_policy, Programs, RunReport, Size};
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::report;
use badgerramp_fault_injection::schedule::{Fault, FaultSchedule, Kind, KINDS};
use clap::{Args, Subcommand};
use std::future::Future;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The fault test to run.
#[derive(Subcommand)]
pub enum FaultTest {
    /// Check that a policy change takes effect on all proxies or on none, whatever faults occur.
    Policy(Policy),
    /// Start all proxies at once, with cold hosts and a list service of low capacity.
    ColdStart(Box<crate::fault_test_cold_start::ColdStart>),
    /// Drain hosts while the list watches of all proxies are silent.
    Drains(crate::fault_test_drains::Drains),
    /// Let crowds of clients use up what they can while one proxy is reloaded, ended and killed.
    Soak(crate::fault_test_soak::Soak),
    /// Run a large fleet, in which most proxies share processes. Measures the cost of the control plane, and checks its
    /// invariants while proxies, machines, racks and zones fail and regions are partitioned.
    Scale(crate::fault_test_scale::Scale),
}

/// Options of the policy test: the fleet, the runs and their faults.
#[derive(Args)]
pub struct Policy {
    /// Number of client proxies.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    proxies: u64,
    /// Number of control-plane replicas.
    #[arg(long, default_value = "3", value_parser = ["1", "3", "5"])]
    replicas: String,
    /// Number of runs.
    #[arg(long = "courses", value_name = "COURSES", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    runs: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Restrict the faults to this kind, or to none.
    #[arg(long = "only", value_name = "FAULT", value_parser = parse_fault_filter)]
    fault_filter: Option<FaultFilter<Kind>>,
    /// Inject only the fault of --only, into a single proxy, during all changes but the last.
    #[arg(long = "one", requires = "fault_filter")]
    single_proxy: bool,
    /// Number of policy changes per run, apart from the last one, which is published after all faults have ended.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    publishes: u64,
    /// Calls per second, over all proxies.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// How the policy is distributed: by the control plane, or by another method for comparison.
    #[arg(long = "way", value_name = "WAY", default_value = "control", value_parser = Distribution::NAMES)]
    distribution: String,
    /// Number of runs that are executed in parallel.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// Write a JSON line for each run to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Plot the times from publish to in force, and write the plot to this file as SVG.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Keep the working directories of the runs.
    #[arg(long)]
    keep: bool,
}

fn parse_fault_filter(name: &str) -> Result<FaultFilter<Kind>, String> {
    FaultFilter::parse(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

/// Runs a fault test. Returns whether no run violated an invariant.
///
/// # Errors
/// If a run could not be executed.
pub fn run(test: FaultTest) -> Result<bool, simulation::SimulationError> {
    let options = match test {
        FaultTest::Policy(options) => options,
        FaultTest::ColdStart(options) => return crate::fault_test_cold_start::run(&options),
        FaultTest::Drains(options) => return crate::fault_test_drains::run(&options),
        FaultTest::Soak(options) => return crate::fault_test_soak::run(&options),
        FaultTest::Scale(options) => return crate::fault_test_scale::run(&options),
    };
    block_on(run_policy_tests(&options))
}

/// Runs a test on a runtime of its own.
pub(crate) fn block_on(
    test: impl Future<Output = Result<bool, String>>,
) -> Result<bool, simulation::SimulationError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| simulation::SimulationError::Other(e.to_string()))?;
    runtime
        .block_on(test)
        .map_err(simulation::SimulationError::Other)
}

/// The command line that repeats the run with this seed.
fn reproduce_command(options: &Policy, seed: u64) -> String {
    let Policy {
        proxies,
        replicas,
        publishes,
        rate,
        distribution,
        ..
    } = options;
    let single_proxy = if options.single_proxy { " --one" } else { "" };
    let only = FaultFilter::to_option(options.fault_filter, Kind::name);
    format!(
        "badgerramp-sim fault-test policy --courses 1 --seed {seed} --proxies {proxies} --replicas {replicas} \
         --publishes {publishes} --rate {rate} --way {distribution}{only}{single_proxy}"
    )
}

async fn run_policy_tests(options: &Policy) -> Result<bool, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let with_role = |role: &str| (own_program.clone(), vec![role.to_owned()]);
    let programs = Programs {
        proxy: with_role(crate::AS_PROXY),
        control: with_role(crate::AS_CONTROL),
    };
    let programs = Arc::new(programs);
    let count = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let size = Size {
        proxies: count(options.proxies),
        replicas: if options.distribution == "control" {
            options.replicas.parse().unwrap_or(3)
        } else {
            0
        },
        rate: options.rate.clamp(1.0, 5_000.0),
        publishes: count(options.publishes),
        mixed_on_lease_loss: !matches!(options.fault_filter, Some(FaultFilter::NoFaults))
            && !options.single_proxy,
        distribution: Distribution::from_name(&options.distribution)
            .unwrap_or(Distribution::Control),
    };
    // Each proxy has a link listener for each replica, and two connections through a link, of which both ends are in this
    // process.
    let descriptors_per_run = size.proxies * (size.replicas + 6) + 32 * size.replicas + 200;
    require_descriptors(descriptors_per_run as u64 * options.at_once)?;
    let mut json = match &options.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut seeds = options.seed..options.seed.saturating_add(options.runs);
    let mut running = tokio::task::JoinSet::new();
    let (mut reports, mut error): (Vec<RunReport>, Option<String>) = (Vec::new(), None);
    loop {
        while running.len() < count(options.at_once) && error.is_none() {
            let Some(seed) = seeds.next() else { break };
            let mut schedule = FaultSchedule::draw(
                seed,
                // The schedule must not depend on the distribution: the methods are compared under the same faults.
                (size.proxies, options.replicas.parse().unwrap_or(3)),
                size.publishes,
                FaultFilter::kind(options.fault_filter),
            );
            match options.fault_filter {
                Some(FaultFilter::NoFaults) => schedule.faults.clear(),
                Some(FaultFilter::Kind(kind)) if options.single_proxy => {
                    let until = Duration::from_secs(6 * options.publishes);
                    schedule.faults = vec![Fault {
                        kind,
                        target: 0,
                        from: Duration::ZERO,
                        until,
                    }];
                }
                _ => {}
            }
            let (programs, keep) = (Arc::clone(&programs), options.keep);
            running
                .spawn(async move { (seed, run_policy(&programs, size, &schedule, keep).await) });
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let (seed, outcome) = finished.map_err(|e| e.to_string())?;
        match outcome {
            Ok(run_report) => {
                let line = serde_json::to_string(&run_report).map_err(|e| e.to_string())?;
                if let Some(file) = &mut json {
                    writeln!(file, "{line}").map_err(|e| e.to_string())?;
                }
                let verdict = &run_report.verdict;
                let state = if run_report.held() { "held" } else { "BROKE" };
                println!(
                    "run {seed}: {state}; {} begun, {} refused, changes {}, in force after {:?} ms",
                    verdict.begun,
                    verdict.refused,
                    run_report.outcome.join(" "),
                    run_report.in_force_ms
                );
                if !run_report.held() {
                    println!(
                        "  {}",
                        verdict
                            .first
                            .as_deref()
                            .unwrap_or("a change had no outcome")
                    );
                    println!("  {}", run_report.why.join("; "));
                    println!("  reproduce with: {}", reproduce_command(options, seed));
                }
                reports.push(run_report);
            }
            // Runs in progress are finished and reported; no further run starts.
            Err(reason) => error = Some(format!("run {seed} could not be executed: {reason}")),
        }
    }
    print!("{}", report::table(&reports));
    if let Some(file) = &options.svg {
        report::plot(&reports, file)?;
    }
    match error {
        Some(error) => Err(error),
        None => Ok(reports.iter().all(RunReport::held)),
    }
}
