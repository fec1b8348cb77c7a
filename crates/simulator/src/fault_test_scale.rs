//! `fault-test scale`: a large fleet on one machine, the cost of its control plane, and its invariants under faults.

use crate::fault_filter::FaultFilter;
use crate::simulation;
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::scale::files::ControlTimes;
use badgerramp_fault_injection::scale::layout::Size;
use badgerramp_fault_injection::scale::run_report::RunReport;
use badgerramp_fault_injection::scale::schedule::{FaultSchedule, Kind, KINDS};
use badgerramp_fault_injection::scale::{report, run as run_scale, Programs};
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Maximum number of proxies that are separate processes.
const MAX_REAL_PROXIES: u64 = 250;
/// Control-plane timeouts for runs in which a region is partitioned off. The partition must outlast every timeout, so they
/// are shorter than the defaults.
const REGION_PARTITION_TIMES: ControlTimes = ControlTimes {
    lease_ms: 3_000,
    wait_ms: 6_000,
    election_ms: 1_000,
    regions_wait_ms: 6_000,
};

/// Options of the scale test: the fleet, the runs and their faults.
#[derive(Args)]
pub struct Scale {
    /// Number of client proxies. Several numbers, separated by commas, are tested one after the other.
    #[arg(long, default_value = "100", value_delimiter = ',', value_parser = clap::value_parser!(u64).range(4..=2_000))]
    proxies: Vec<u64>,
    /// Number of proxies that run as separate processes and receive calls; the others are hollow and share processes.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=MAX_REAL_PROXIES))]
    real: u64,
    /// Number of regions.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=2))]
    regions: u64,
    /// Number of zones, over all regions.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=8))]
    zones: u64,
    /// Number of control-plane replicas in each region; each region has its own replica group.
    #[arg(long, default_value = "3", value_parser = ["1", "3", "5"])]
    replicas: String,
    /// Number of runs for each number of proxies.
    #[arg(long = "courses", value_name = "COURSES", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    runs: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject this fault in each run, or none; by default each run injects the next kind of fault.
    #[arg(long = "only", value_name = "FAULT", value_parser = parse_fault_filter)]
    fault_filter: Option<FaultFilter<Kind>>,
    /// Duration of a run in seconds: the idle fleet is measured for a third of it, then come calls and the fault. Faults that
    /// need more time extend the run.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(3..=300))]
    seconds: u64,
    /// Seconds between the start of the last proxy and the measurement. For some time after a simultaneous start, gossip
    /// traffic is higher than in an idle fleet.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=600))]
    settle: u64,
    /// Lease duration in milliseconds [default: 10000; 3000 if a region is partitioned off].
    #[arg(long, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    lease_ms: Option<u64>,
    /// Write a JSON line for each run to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Plot the resource usage of each role by fleet size, and write the plot to this file as SVG.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

fn parse_fault_filter(name: &str) -> Result<FaultFilter<Kind>, String> {
    FaultFilter::parse(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

/// Runs the test. Returns whether no run violated an invariant or exceeded a limit.
///
/// # Errors
/// If a run could not be executed.
pub(crate) fn run(options: &Scale) -> Result<bool, simulation::SimulationError> {
    crate::fault_test::block_on(run_until_signal(options))
}

/// Runs the test until it ends, or until SIGTERM or SIGINT arrives. In both cases all processes of the fleet are terminated.
async fn run_until_signal(options: &Scale) -> Result<bool, String> {
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|e| format!("failed to install the SIGTERM handler: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt())
        .map_err(|e| format!("failed to install the SIGINT handler: {e}"))?;
    tokio::select! {
        outcome = run_all(options) => outcome,
        _ = terminate.recv() => Err("terminated by SIGTERM".to_owned()),
        _ = interrupt.recv() => Err("interrupted by SIGINT".to_owned()),
    }
}

fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

impl Scale {
    fn size(&self, proxies: u64) -> Result<Size, String> {
        let size = Size {
            proxies: count(proxies),
            real: count(self.real.min(proxies)),
            regions: count(self.regions),
            zones: count(self.zones),
            replicas: self
                .replicas
                .parse()
                .map_err(|e| format!("--replicas: {e}"))?,
        };
        Ok(size)
    }

    /// The fault of the run with this index.
    fn fault(&self, index: usize) -> Option<Kind> {
        match self.fault_filter {
            Some(FaultFilter::Kind(kind)) => Some(kind),
            Some(FaultFilter::NoFaults) => None,
            // The last kind needs several regions.
            None => Some(KINDS[index % (KINDS.len() - usize::from(self.regions == 1))]),
        }
    }

    fn times(&self, fault: Option<Kind>) -> ControlTimes {
        let times = match fault {
            Some(Kind::CutRegion) => REGION_PARTITION_TIMES,
            _ => ControlTimes::default(),
        };
        ControlTimes {
            lease_ms: self.lease_ms.unwrap_or(times.lease_ms),
            ..times
        }
    }

    /// The command line that repeats a run.
    fn reproduce_command(&self, run_report: &RunReport) -> String {
        let Scale {
            regions,
            zones,
            replicas,
            seconds,
            ..
        } = self;
        let lease = self
            .lease_ms
            .map_or_else(String::new, |ms| format!(" --lease-ms {ms}"));
        format!(
            "badgerramp-sim fault-test scale --proxies {} --real {} --regions {regions} --zones {zones} --replicas {replicas} \
             --seed {} --seconds {seconds} --only {}{lease}",
            run_report.proxies, run_report.real, run_report.seed, run_report.fault
        )
    }
}

fn programs() -> Result<Programs, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let with_role = |role: &str| (own_program.clone(), vec![role.to_owned()]);
    Ok(Programs {
        proxy: with_role(crate::AS_PROXY),
        control: with_role(crate::AS_CONTROL),
        hollow: with_role(crate::AS_HOLLOW_PROXIES),
        list: with_role(crate::AS_LIST_SERVICE),
    })
}

async fn run_all(options: &Scale) -> Result<bool, String> {
    if matches!(
        options.fault_filter,
        Some(FaultFilter::Kind(Kind::CutRegion))
    ) && options.regions < 2
    {
        return Err("--only cut-region: found --regions 1, allowed is 2".to_owned());
    }
    let programs = programs()?;
    let mut json = match &options.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut reports = Vec::new();
    for &proxies in &options.proxies {
        let size = options.size(proxies)?;
        // Each proxy has link listeners, both ends of three connections, and a host's listener.
        require_descriptors(proxies * 10 + 1_000)?;
        for index in 0..count(options.runs) {
            let seed = options.seed.saturating_add(index as u64);
            let fault = options.fault(index);
            let times = options.times(fault);
            let settle = Duration::from_secs(options.settle);
            let schedule = FaultSchedule {
                settle,
                ..FaultSchedule::draw(seed, fault, &size, times, options.seconds)
            };
            let outcome = run_scale(&programs, size, times, &schedule).await;
            let run_report =
                outcome.map_err(|reason| format!("run {seed} could not be executed: {reason}"))?;
            if let Some(file) = &mut json {
                let line = serde_json::to_string(&run_report).map_err(|e| e.to_string())?;
                writeln!(file, "{line}").map_err(|e| e.to_string())?;
            }
            print_report(&run_report, options);
            reports.push(run_report);
        }
    }
    print!("{}{}", report::table(&reports), report::fits(&reports));
    if let Some(file) = &options.svg {
        report::plot(&reports, file)?;
    }
    Ok(reports.iter().all(|report| report.held))
}

fn print_report(run_report: &RunReport, options: &Scale) {
    let state = if run_report.held { "held" } else { "BROKE" };
    println!(
        "run {} ({}): {state}; {} proxies, {} checks, {} calls, {:?} refused by healthy proxies, by region; in force after {:?} ms, \
         {} not in force; ready after {:?} ms",
        run_report.seed,
        run_report.fault,
        run_report.proxies,
        run_report.begun,
        run_report.calls,
        run_report.refused_well_by_region,
        run_report.changes.in_force_ms,
        run_report.changes.not_in_force,
        run_report.ready_ms,
    );
    if !run_report.held {
        run_report
            .violations
            .iter()
            .chain(&run_report.exceeded_limits)
            .chain(&run_report.first)
            .for_each(|line| println!("  {line}"));
        println!(
            "  reproduce with: {}",
            options.reproduce_command(run_report)
        );
    }
}
