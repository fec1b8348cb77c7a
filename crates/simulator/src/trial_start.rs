//! `trial cold-start`: all proxies start together, side by side by several ways.

use crate::only::Only;
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

/// The fleet, and how many courses.
#[derive(Args)]
pub struct ColdStart {
    /// Client proxies.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(2..=5_000))]
    proxies: u64,
    /// Hosts, all cold.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(2..=500))]
    hosts: u64,
    /// Questions a second that the list service bears, one at a time.
    #[arg(long, default_value_t = 125.0)]
    capacity: f64,
    /// How a proxy comes to its list: asks at once, takes its turn ([list]), hears it from peers ([peers]). Several,
    /// with commas, are played one after the other with the same seed.
    #[arg(long, default_value = "peers", value_delimiter = ',', value_parser = ListSource::NAMES)]
    way: Vec<String>,
    /// Courses; the first is drawn from --seed, the others from those that follow it.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    courses: u64,
    /// The first course's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Faults of this kind alone, or none.
    #[arg(long, value_name = "FAULT", value_parser = only)]
    only: Option<Only<Kind>>,
    /// Proxies start within so many milliseconds.
    #[arg(long, default_value_t = 1_000)]
    within_ms: u64,
    /// How long clients call, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Work of a request and of a new connection at a warm host, in milliseconds.
    #[arg(long, default_values_t = [25.0, 5.0], num_args = 2, value_names = ["REQUEST", "CONNECTION"])]
    work_ms: Vec<f64>,
    /// Share of a host's speed at its start, and seconds until it is warm.
    #[arg(long, default_values_t = [0.2, 10.0], num_args = 2, value_names = ["SHARE", "SECONDS"])]
    cold: Vec<f64>,
    /// Hosts that each proxy keeps to ([subset]); 0: all.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=500))]
    subset: u64,
    /// Courses that run beside each other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// A line for each course, as JSON, into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Questions, share with a list, connections and calls served by time since the start as a plot, into this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// The folders of courses stay.
    #[arg(long)]
    keep: bool,
    /// No processes: what the proxies decide among each other is played in virtual time, with worlds drawn by seed.
    /// Without hosts and clients; --way is peers.
    #[arg(long, conflicts_with_all = ["json", "svg", "keep", "at_once"])]
    in_virtual_time: bool,
    /// In virtual time: one mechanism is left out, to measure what it is worth.
    #[arg(long, requires = "in_virtual_time", value_parser = Mechanism::NAMES)]
    without: Option<String>,
}

fn only(name: &str) -> Result<Only<Kind>, String> {
    Only::read(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

impl ColdStart {
    fn size(&self, way: ListSource) -> Size {
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
            list_source: way,
            start_window: Duration::from_millis(self.within_ms),
            load_duration: Duration::from_secs(self.seconds),
            host,
            subset: count(self.subset),
        }
    }

    /// The command that plays one course again.
    fn again(&self, played: &RunReport) -> String {
        let only = Only::option(self.only, Kind::name);
        format!(
            "badgerramp-sim fault-test cold-start --seed {} --proxies {} --hosts {} --capacity {} --way {}{only}",
            played.seed,
            self.proxies,
            self.hosts,
            self.capacity,
            format!("{:?}", played.list_source).to_lowercase()
        )
    }

    fn course(&self, seed: u64) -> FaultSchedule {
        let mut course = FaultSchedule::draw(seed, Only::kind(self.only));
        if matches!(self.only, Some(Only::Nothing)) {
            course.faults.clear();
        }
        course
    }
}

/// Runs the trial. True if all held.
///
/// # Errors
/// If the trial itself could not be played.
pub(crate) fn run(terms: &ColdStart) -> Result<bool, simulation::SimulationError> {
    if terms.in_virtual_time {
        return Ok(virtually(terms));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| simulation::SimulationError::Other(e.to_string()))?;
    runtime
        .block_on(trial(terms))
        .map_err(simulation::SimulationError::Other)
}

/// The same start in virtual time. True if all had a list in the end, the newest one, and no question was given up.
fn virtually(terms: &ColdStart) -> bool {
    let drawn = !matches!(terms.only, Some(Only::Nothing));
    let proxies = terms.proxies as usize;
    let work = (1e6 / terms.capacity.clamp(0.1, 1e5)) as u64;
    let calm = SimConfig {
        proxies,
        hosts: terms.hosts as usize,
        service_time: work,
        start_window: terms.within_ms * 1_000,
        ..SimConfig::default()
    };
    // One change, so that its way to all can be told.
    let until = terms.seconds * 1_000_000;
    let calm = SimConfig {
        duration: until,
        changes: vec![until / 4 * 3],
        ..calm
    };
    let mut held = true;
    for seed in terms.seed..terms.seed.saturating_add(terms.courses) {
        let mut world = if drawn {
            random_config(proxies, seed)
        } else {
            calm.clone()
        };
        world.disabled = terms.without.as_deref().and_then(Mechanism::from_name);
        let played = simulate(&world, seed);
        let broken = played
            .check(&world)
            .err()
            .filter(|_| drawn || played.polls_timed_out > 0);
        let waits = played.list_latencies();
        let at = |share: f64| {
            let place = ((waits.len() as f64 - 1.0) * share).ceil() as usize;
            waits
                .get(place)
                .copied()
                .flatten()
                .map_or("-".to_owned(), |wait| (wait / 1_000).to_string())
        };
        held &= broken.is_none();
        let spread = world
            .changes
            .iter()
            .zip(&played.spread)
            .filter_map(|(at, all)| Some((*all)? - at));
        let spread = spread.max().map(|micros| micros / 1_000);
        println!(
            "world {seed}: {}; listed {} {} {} ms, the last {} ms after the first start; a change at all in {} ms; {} questions, {} in a second at the most, {} given up; {} ask; {:.1} messages a second and proxy in the end, {} at the most",
            broken.map_or("held".to_owned(), |b| format!("BROKE: {b}")),
            at(0.5),
            at(0.99),
            at(1.0),
            played.received_list_at.iter().flatten().max().map_or(0, |at| at / 1_000),
            spread.map_or("-".to_owned(), |ms| ms.to_string()),
            played.polls.iter().sum::<u32>(),
            played.polls.iter().max().unwrap_or(&0),
            played.polls_timed_out,
            played.pollers,
            played.final_rate,
            played.max_sent_per_second
        );
        if broken.is_some() {
            println!("  {world:?}");
        }
    }
    held
}

async fn trial(terms: &ColdStart) -> Result<bool, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let programs = Arc::new((own, vec![crate::AS_PROXY.to_owned()]));
    // For each proxy: a log, two sockets for datagrams, a listener and two connections to the list service, and what it
    // holds at hosts.
    let held = if terms.subset > 0 {
        3 * terms.subset
    } else {
        terms.hosts
    };
    let each = terms.proxies * (8 + held.min(24)) + 4 * terms.hosts + 1_000;
    require_descriptors(each * terms.at_once)?;
    let mut json = match &terms.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let ways: Vec<ListSource> = terms
        .way
        .iter()
        .filter_map(|name| ListSource::from_name(name))
        .collect();
    let seeds = terms.seed..terms.seed.saturating_add(terms.courses);
    let mut plays = seeds.flat_map(|seed| ways.iter().map(move |way| (seed, *way)));
    let mut running = tokio::task::JoinSet::new();
    let (mut all, mut failed): (Vec<RunReport>, Option<String>) = (Vec::new(), None);
    loop {
        while running.len() < terms.at_once as usize && failed.is_none() {
            let Some((seed, way)) = plays.next() else {
                break;
            };
            let (course, size) = (terms.course(seed), terms.size(way));
            let (programs, keep) = (Arc::clone(&programs), terms.keep);
            running.spawn(async move { (seed, run_start(&programs, size, &course, keep).await) });
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        let (seed, played) = done.map_err(|e| e.to_string())?;
        match played {
            Ok(played) => {
                let line = serde_json::to_string(&played).map_err(|e| e.to_string())?;
                if let Some(file) = &mut json {
                    writeln!(file, "{line}").map_err(|e| e.to_string())?;
                }
                println!(
                    "course {seed} ({:?}): {}; listed {:?} ms, {} questions, goodput {:.3}",
                    played.list_source,
                    if played.held() { "held" } else { "BROKE" },
                    played.listed_ms,
                    played.questions,
                    played.goodput
                );
                if let Some(first) = &played.first {
                    println!("  {first}\n  again: {}", terms.again(&played));
                }
                all.push(played);
            }
            Err(fault) => failed = Some(format!("course {seed} could not be played: {fault}")),
        }
    }
    if all.len() <= 6 {
        print!("{}", report::table(&all));
    } else {
        print!("{}", report::sums(&all));
    }
    if let Some(file) = &terms.svg {
        report::plot(&all, terms.proxies as usize, file)?;
    }
    match failed {
        Some(fault) => Err(fault),
        None => Ok(all.iter().all(RunReport::held)),
    }
}
