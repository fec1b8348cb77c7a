//! `trial scale`: a fleet of many proxies on one machine, and what control costs there.

use crate::only::Only;
use crate::simulation;
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::scale::course::{Course, Kind, KINDS};
use badgerramp_fault_injection::scale::files::ControlTimes;
use badgerramp_fault_injection::scale::layout::Size;
use badgerramp_fault_injection::scale::played::Played;
use badgerramp_fault_injection::scale::{play as play_course, report, Programs};
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Most processes of a trial that are proxies.
const REAL_MOST: u64 = 250;
/// Where a region is cut off for longer than every time of control's, those are shorter than the product's.
const CUT_TIMES: ControlTimes = ControlTimes {
    lease_ms: 3_000,
    wait_ms: 6_000,
    election_ms: 1_000,
    regions_wait_ms: 6_000,
};

/// The fleet, and how many courses.
#[derive(Args)]
pub struct Scale {
    /// Client proxies. Several numbers, with commas, are played one after the other.
    #[arg(long, default_value = "100", value_delimiter = ',', value_parser = clap::value_parser!(u64).range(4..=2_000))]
    proxies: Vec<u64>,
    /// How many of them are processes of their own, with calls; the others share processes.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=REAL_MOST))]
    real: u64,
    /// Regions.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=2))]
    regions: u64,
    /// Zones over all regions.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=8))]
    zones: u64,
    /// Replicas of control in each region, which has a group of its own.
    #[arg(long, default_value = "3", value_parser = ["1", "3", "5"])]
    replicas: String,
    /// Courses for each number of proxies.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    courses: u64,
    /// The first course's seed; the others' follow it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// This fault in each course, or none; without it one fault after the other.
    #[arg(long, value_name = "FAULT", value_parser = kind)]
    only: Option<Only<Kind>>,
    /// How long a course lasts, in seconds: a third to measure in calm, the rest with calls and the fault. Longer where the
    /// fault needs it.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(3..=300))]
    seconds: u64,
    /// Seconds between the start of the last proxy and the measuring: peers tell each other of a common start for some time.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=600))]
    settle: u64,
    /// How long control lends a mode, in milliseconds [default: the product's 10000; 3000 where a region is cut off].
    #[arg(long, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    lease_ms: Option<u64>,
    /// A line for each course, as JSON, into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// What each role spends by the size of the fleet, as a plot, into this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

fn kind(name: &str) -> Result<Only<Kind>, String> {
    Only::read(name, Kind::named(name), KINDS.into_iter().map(Kind::name))
}

/// Runs the trial. True if all held.
///
/// # Errors
/// If it could not be played.
pub(crate) fn run(terms: &Scale) -> Result<bool, simulation::SimulationError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| simulation::SimulationError::Other(e.to_string()))?;
    runtime
        .block_on(until_told_to_end(terms))
        .map_err(simulation::SimulationError::Other)
}

/// Plays until all is played, or SIGTERM or SIGINT comes: its processes end with it in either case.
async fn until_told_to_end(terms: &Scale) -> Result<bool, String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    tokio::select! {
        played = trial(terms) => played,
        _ = term.recv() => Err("told to end".to_owned()),
        _ = interrupt.recv() => Err("told to end".to_owned()),
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

    /// The fault of the course of this number.
    fn fault(&self, number: usize) -> Option<Kind> {
        match self.only {
            Some(Only::Kind(kind)) => Some(kind),
            Some(Only::Nothing) => None,
            // The last one is for a fleet of several regions.
            None => Some(KINDS[number % (KINDS.len() - usize::from(self.regions == 1))]),
        }
    }

    fn times(&self, fault: Option<Kind>) -> ControlTimes {
        let times = match fault {
            Some(Kind::CutRegion) => CUT_TIMES,
            _ => ControlTimes::default(),
        };
        ControlTimes {
            lease_ms: self.lease_ms.unwrap_or(times.lease_ms),
            ..times
        }
    }

    /// The command that plays one course again.
    fn again(&self, played: &Played) -> String {
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
            played.proxies, played.real, played.seed, played.fault
        )
    }
}

fn programs() -> Result<Programs, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let as_one = |word: &str| (own.clone(), vec![word.to_owned()]);
    Ok(Programs {
        proxy: as_one(crate::AS_PROXY),
        control: as_one(crate::AS_CONTROL),
        hollow: as_one(crate::AS_HOLLOW_PROXIES),
        list: as_one(crate::AS_LIST_SERVICE),
    })
}

async fn trial(terms: &Scale) -> Result<bool, String> {
    if matches!(terms.only, Some(Only::Kind(Kind::CutRegion))) && terms.regions < 2 {
        return Err("--only cut-region: found --regions 1, allowed is 2".to_owned());
    }
    let programs = programs()?;
    let mut json = match &terms.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut all = Vec::new();
    for &proxies in &terms.proxies {
        let size = terms.size(proxies)?;
        // Ways in, both ends of three connections each, a host's listener.
        require_descriptors(proxies * 10 + 1_000)?;
        for number in 0..count(terms.courses) {
            let seed = terms.seed.saturating_add(number as u64);
            let fault = terms.fault(number);
            let times = terms.times(fault);
            let settle = Duration::from_secs(terms.settle);
            let course = Course {
                settle,
                ..Course::draw(seed, fault, &size, times, terms.seconds)
            };
            let played = play_course(&programs, size, times, &course).await;
            let played =
                played.map_err(|fault| format!("course {seed} could not be played: {fault}"))?;
            if let Some(file) = &mut json {
                let line = serde_json::to_string(&played).map_err(|e| e.to_string())?;
                writeln!(file, "{line}").map_err(|e| e.to_string())?;
            }
            show(&played, terms);
            all.push(played);
        }
    }
    print!("{}{}", report::table(&all), report::fits(&all));
    if let Some(file) = &terms.svg {
        report::plot(&all, file)?;
    }
    Ok(all.iter().all(|played| played.held))
}

fn show(played: &Played, terms: &Scale) {
    let state = if played.held { "held" } else { "BROKE" };
    println!(
        "course {} ({}): {state}; {} proxies, {} judged, {} calls, {:?} refused by proxies that were well, by region; in force after {:?} ms, \
         {} not in force; ready after {:?} ms",
        played.seed,
        played.fault,
        played.proxies,
        played.begun,
        played.calls,
        played.refused_well_by_region,
        played.changes.in_force_ms,
        played.changes.not_in_force,
        played.ready_ms,
    );
    if !played.held {
        played
            .broke
            .iter()
            .chain(&played.crossed)
            .chain(&played.first)
            .for_each(|line| println!("  {line}"));
        println!("  again: {}", terms.again(played));
    }
}
