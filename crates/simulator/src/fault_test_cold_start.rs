//! `fault-test cold-start`: all proxies start at once, with one or several sources of the endpoint list for comparison.

use crate::fault_filter::FaultFilter;
use crate::simulation;
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::start::cold_hosts;
use badgerramp_fault_injection::start::schedule::{FaultSchedule, Kind, KINDS};
use badgerramp_fault_injection::start::{report, run as run_start, ListSource, RunReport, Size};
use badgerramp_gossip::polling::Mechanism;
use badgerramp_gossip::simulation::{random_config, simulate, SimConfig};
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Options of the cold-start test: the fleet, the runs and their faults.
#[derive(Args)]
pub struct ColdStart {
    /// Number of client proxies.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(2..=5_000))]
    proxies: u64,
    /// Number of hosts, all of which start cold.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(2..=500))]
    hosts: u64,
    /// Capacity of the list service in polls per second; it serves them one at a time.
    #[arg(long, default_value_t = 125.0)]
    capacity: f64,
    /// How proxies get the endpoint list: all poll the list service at once, all poll it in turns ([list]), or a few poll it
    /// and the others receive the list by gossip ([peers]). Several values, separated by commas, are tested with the same seed.
    #[arg(long = "way", value_name = "WAY", default_value = "peers", value_delimiter = ',', value_parser = ListSource::NAMES)]
    list_sources: Vec<String>,
    /// Number of runs for each list source.
    #[arg(long = "courses", value_name = "COURSES", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    runs: u64,
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Restrict the faults to this kind, or to none.
    #[arg(long = "only", value_name = "FAULT", value_parser = parse_fault_filter)]
    fault_filter: Option<FaultFilter<Kind>>,
    /// Time within which all proxies start, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    within_ms: u64,
    /// Duration of the load from clients, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Work that a request and a new connection cost at a warm host, in milliseconds.
    #[arg(long, default_values_t = [25.0, 5.0], num_args = 2, value_names = ["REQUEST", "CONNECTION"])]
    work_ms: Vec<f64>,
    /// Speed of a cold host as a share of its full speed, and its warm-up time in seconds.
    #[arg(long, default_values_t = [0.2, 10.0], num_args = 2, value_names = ["SHARE", "SECONDS"])]
    cold: Vec<f64>,
    /// Number of hosts in the subset of each proxy ([subset]); 0 for all hosts.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=500))]
    subset: u64,
    /// Number of runs that are executed in parallel.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// Write a JSON line for each run to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Plot list polls, the share of proxies with a list, connections and served calls over time, and write the plot to this
    /// file as SVG.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Keep the working directories of the runs.
    #[arg(long)]
    keep: bool,
    /// Simulate gossip and list polls in virtual time, without processes, hosts or clients, in random worlds drawn from the
    /// seed. The list source is always gossip.
    #[arg(long, conflicts_with_all = ["json", "svg", "keep", "at_once"])]
    in_virtual_time: bool,
    /// Disable this mechanism in virtual time, to measure its effect.
    #[arg(long = "without", value_name = "WITHOUT", requires = "in_virtual_time", value_parser = Mechanism::NAMES)]
    disabled_mechanism: Option<String>,
}

fn parse_fault_filter(name: &str) -> Result<FaultFilter<Kind>, String> {
    FaultFilter::parse(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

impl ColdStart {
    fn size(&self, list_source: ListSource) -> Size {
        let count = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 10_000.0) / 1e3);
        let host = cold_hosts::HostModel {
            work: ms(self.work_ms[0].max(0.1)),
            handshake: ms(self.work_ms[1]),
            cold_share: self.cold[0].clamp(0.01, 1.0),
            cold_time: Duration::from_secs_f64(self.cold[1].clamp(0.1, 600.0)),
            fall_multiple: 3.0,
            max_wait: Duration::from_millis(700),
        };
        Size {
            proxies: count(self.proxies),
            hosts: count(self.hosts),
            capacity: self.capacity.clamp(0.1, 1e5),
            list_source,
            start_window: Duration::from_millis(self.within_ms),
            load_duration: Duration::from_secs(self.seconds),
            host,
            subset: count(self.subset),
        }
    }

    /// The command line that repeats a run.
    fn reproduce_command(&self, report: &RunReport) -> String {
        let only = FaultFilter::to_option(self.fault_filter, Kind::name);
        format!(
            "badgerramp-sim fault-test cold-start --seed {} --proxies {} --hosts {} --capacity {} --way {}{only}",
            report.seed,
            self.proxies,
            self.hosts,
            self.capacity,
            format!("{:?}", report.list_source).to_lowercase()
        )
    }

    fn schedule(&self, seed: u64) -> FaultSchedule {
        let mut schedule = FaultSchedule::draw(seed, FaultFilter::kind(self.fault_filter));
        if matches!(self.fault_filter, Some(FaultFilter::NoFaults)) {
            schedule.faults.clear();
        }
        schedule
    }
}

/// Runs the test. Returns whether no run violated an invariant.
///
/// # Errors
/// If a run could not be executed.
pub(crate) fn run(options: &ColdStart) -> Result<bool, simulation::SimulationError> {
    if options.in_virtual_time {
        return Ok(run_in_virtual_time(options));
    }
    crate::fault_test::block_on(run_all(options))
}

/// Simulates the start in virtual time. Returns whether in each run all proxies received the newest list. Without faults, no
/// poll may time out either.
fn run_in_virtual_time(options: &ColdStart) -> bool {
    let random = !matches!(options.fault_filter, Some(FaultFilter::NoFaults));
    let proxies = options.proxies as usize;
    let service_time = (1e6 / options.capacity.clamp(0.1, 1e5)) as u64;
    let fault_free = SimConfig {
        proxies,
        hosts: options.hosts as usize,
        service_time,
        start_window: options.within_ms * 1_000,
        ..SimConfig::default()
    };
    // A single change, so that the time until all proxies know it can be reported.
    let duration = options.seconds * 1_000_000;
    let fault_free = SimConfig {
        duration,
        changes: vec![duration / 4 * 3],
        ..fault_free
    };
    let mut held = true;
    for seed in options.seed..options.seed.saturating_add(options.runs) {
        let mut config = if random {
            random_config(proxies, seed)
        } else {
            fault_free.clone()
        };
        config.disabled = options
            .disabled_mechanism
            .as_deref()
            .and_then(Mechanism::from_name);
        let report = simulate(&config, seed);
        let violation = report
            .check(&config)
            .err()
            .filter(|_| random || report.polls_timed_out > 0);
        let latencies = report.list_latencies();
        let quantile_ms = |quantile: f64| {
            let index = ((latencies.len() as f64 - 1.0) * quantile).ceil() as usize;
            latencies
                .get(index)
                .copied()
                .flatten()
                .map_or("-".to_owned(), |latency| (latency / 1_000).to_string())
        };
        held &= violation.is_none();
        let spread = config
            .changes
            .iter()
            .zip(&report.spread)
            .filter_map(|(published_at, known_at)| Some((*known_at)? - published_at));
        let spread = spread.max().map(|micros| micros / 1_000);
        println!(
            "world {seed}: {}; list received after {} {} {} ms (p50, p99, max), the last one {} ms after the first start; a change known to all after {} ms; {} polls, at most {} per second, {} timed out; {} pollers; {:.1} messages per second and proxy at the end, at most {}",
            violation.map_or("held".to_owned(), |violation| format!("BROKE: {violation}")),
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(1.0),
            report.received_list_at.iter().flatten().max().map_or(0, |at| at / 1_000),
            spread.map_or("-".to_owned(), |ms| ms.to_string()),
            report.polls.iter().sum::<u32>(),
            report.polls.iter().max().unwrap_or(&0),
            report.polls_timed_out,
            report.pollers,
            report.final_rate,
            report.max_sent_per_second
        );
        if violation.is_some() {
            println!("  {config:?}");
        }
    }
    held
}

async fn run_all(options: &ColdStart) -> Result<bool, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let programs = Arc::new((own_program, vec![crate::AS_PROXY.to_owned()]));
    // Each proxy has a log, two datagram sockets, a listener, two connections to the list service, and its connections to
    // hosts.
    let host_connections = if options.subset > 0 {
        3 * options.subset
    } else {
        options.hosts
    };
    let descriptors_per_run =
        options.proxies * (8 + host_connections.min(24)) + 4 * options.hosts + 1_000;
    require_descriptors(descriptors_per_run * options.at_once)?;
    let mut json = match &options.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let list_sources: Vec<ListSource> = options
        .list_sources
        .iter()
        .filter_map(|name| ListSource::from_name(name))
        .collect();
    let seeds = options.seed..options.seed.saturating_add(options.runs);
    let mut pending = seeds.flat_map(|seed| list_sources.iter().map(move |source| (seed, *source)));
    let mut running = tokio::task::JoinSet::new();
    let (mut reports, mut error): (Vec<RunReport>, Option<String>) = (Vec::new(), None);
    loop {
        while running.len() < options.at_once as usize && error.is_none() {
            let Some((seed, list_source)) = pending.next() else {
                break;
            };
            let (schedule, size) = (options.schedule(seed), options.size(list_source));
            let (programs, keep) = (Arc::clone(&programs), options.keep);
            running.spawn(async move { (seed, run_start(&programs, size, &schedule, keep).await) });
        }
        let Some(finished) = running.join_next().await else {
            break;
        };
        let (seed, outcome) = finished.map_err(|e| e.to_string())?;
        match outcome {
            Ok(report) => {
                let line = serde_json::to_string(&report).map_err(|e| e.to_string())?;
                if let Some(file) = &mut json {
                    writeln!(file, "{line}").map_err(|e| e.to_string())?;
                }
                println!(
                    "run {seed} ({:?}): {}; list received after {:?} ms, {} list polls, goodput {:.3}",
                    report.list_source,
                    if report.held() { "held" } else { "BROKE" },
                    report.listed_ms,
                    report.questions,
                    report.goodput
                );
                if let Some(first) = &report.first {
                    println!(
                        "  {first}\n  reproduce with: {}",
                        options.reproduce_command(&report)
                    );
                }
                reports.push(report);
            }
            // Runs in progress are finished and reported; no further run starts.
            Err(reason) => error = Some(format!("run {seed} could not be executed: {reason}")),
        }
    }
    if reports.len() <= 6 {
        print!("{}", report::table(&reports));
    } else {
        print!("{}", report::sums(&reports));
    }
    if let Some(file) = &options.svg {
        report::plot(&reports, options.proxies as usize, file)?;
    }
    match error {
        Some(error) => Err(error),
        None => Ok(reports.iter().all(RunReport::held)),
    }
}
