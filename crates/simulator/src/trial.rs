//! `trial`: several processes of the real program with faults between them.

use crate::only::Only;
use crate::simulation;
use badgerramp_fault_injection::baseline::Distribution;
use badgerramp_fault_injection::policy::{run as run_policy, Programs, RunReport, Size};
use badgerramp_fault_injection::process::require_descriptors;
use badgerramp_fault_injection::report;
use badgerramp_fault_injection::schedule::{Fault, FaultSchedule, Kind, KINDS};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What is tried.
#[derive(Subcommand)]
pub enum Trial {
    /// A change of policy takes hold everywhere or nowhere.
    Policy(Policy),
    /// All proxies start together, with hosts that are all cold and a list service that bears little.
    ColdStart(Box<crate::trial_start::ColdStart>),
    /// Hosts leave while the watches of all proxies are silent.
    Drains(crate::trial_drains::Drains),
    /// A fleet of many proxies, most of which share processes: what control costs there, and whether it holds when
    /// proxies, machines, racks and zones fail and regions lose each other.
    Scale(crate::trial_scale::Scale),
}

/// The fleet, and how many courses.
#[derive(Args)]
pub struct Policy {
    /// Client proxies.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    proxies: u64,
    /// Replicas of control.
    #[arg(long, default_value = "3", value_parser = ["1", "3", "5"])]
    replicas: String,
    /// Courses.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    courses: u64,
    /// The first course's seed; the others' follow it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Faults of this kind alone, or none.
    #[arg(long, value_name = "FAULT", value_parser = kind)]
    only: Option<Only<Kind>>,
    /// One proxy has the fault of --only over all changes but the last, and nothing else goes wrong.
    #[arg(long, requires = "only")]
    one: bool,
    /// Changes of the policy in a course, beside the last, which comes when all is well again.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    publishes: u64,
    /// Calls a second over all proxies.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// How the policy comes to the proxies: by control, or by another way, to be held against it.
    #[arg(long, default_value = "control", value_parser = Distribution::NAMES)]
    way: String,
    /// Courses that run beside each other.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
    at_once: u64,
    /// A line for each course, as JSON, into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// The times from publish to in force as a plot, into this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// The folders of courses stay.
    #[arg(long)]
    keep: bool,
}

fn kind(name: &str) -> Result<Only<Kind>, String> {
    Only::read(
        name,
        Kind::from_name(name),
        KINDS.into_iter().map(Kind::name),
    )
}

/// Runs a trial. True if all held.
///
/// # Errors
/// If the trial itself could not be played.
pub fn run(trial: Trial) -> Result<bool, simulation::SimulationError> {
    let terms = match trial {
        Trial::Policy(terms) => terms,
        Trial::ColdStart(terms) => return crate::trial_start::run(&terms),
        Trial::Drains(terms) => return crate::trial_drains::run(&terms),
        Trial::Scale(terms) => return crate::trial_scale::run(&terms),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| simulation::SimulationError::Other(e.to_string()))?;
    runtime
        .block_on(policy(&terms))
        .map_err(simulation::SimulationError::Other)
}

/// The command that plays one course again.
fn again(terms: &Policy, seed: u64) -> String {
    let Policy {
        proxies,
        replicas,
        publishes,
        rate,
        way,
        ..
    } = terms;
    let one = if terms.one { " --one" } else { "" };
    let only = Only::option(terms.only, Kind::name);
    format!(
        "badgerramp-sim fault-test policy --courses 1 --seed {seed} --proxies {proxies} --replicas {replicas} \
         --publishes {publishes} --rate {rate} --way {way}{only}{one}"
    )
}

async fn policy(terms: &Policy) -> Result<bool, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let as_one = |word: &str| (own.clone(), vec![word.to_owned()]);
    let programs = Programs {
        proxy: as_one(crate::AS_PROXY),
        control: as_one(crate::AS_CONTROL),
    };
    let programs = Arc::new(programs);
    let count = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let size = Size {
        proxies: count(terms.proxies),
        replicas: if terms.way == "control" {
            terms.replicas.parse().unwrap_or(3)
        } else {
            0
        },
        rate: terms.rate.clamp(1.0, 5_000.0),
        publishes: count(terms.publishes),
        mixed_on_lease_loss: !matches!(terms.only, Some(Only::Nothing)) && !terms.one,
        distribution: Distribution::from_name(&terms.way).unwrap_or(Distribution::Control),
    };
    // Each proxy has a listener for each replica, and two connections through one of them, both ends of which are here.
    let each = size.proxies * (size.replicas + 6) + 32 * size.replicas + 200;
    require_descriptors(each as u64 * terms.at_once)?;
    let mut json = match &terms.json {
        Some(path) => {
            Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => None,
    };
    let mut seeds = terms.seed..terms.seed.saturating_add(terms.courses);
    let mut running = tokio::task::JoinSet::new();
    let (mut all, mut failed): (Vec<RunReport>, Option<String>) = (Vec::new(), None);
    loop {
        while running.len() < count(terms.at_once) && failed.is_none() {
            let Some(seed) = seeds.next() else { break };
            let mut course = FaultSchedule::draw(
                seed,
                // The same courses for all ways.
                (size.proxies, terms.replicas.parse().unwrap_or(3)),
                size.publishes,
                Only::kind(terms.only),
            );
            match terms.only {
                Some(Only::Nothing) => course.faults.clear(),
                Some(Only::Kind(kind)) if terms.one => {
                    let until = Duration::from_secs(6 * terms.publishes);
                    course.faults = vec![Fault {
                        kind,
                        target: 0,
                        from: Duration::ZERO,
                        until,
                    }];
                }
                _ => {}
            }
            let (programs, keep) = (Arc::clone(&programs), terms.keep);
            running.spawn(async move { (seed, run_policy(&programs, size, &course, keep).await) });
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
                let verdict = &played.verdict;
                let state = if played.held() { "held" } else { "BROKE" };
                println!(
                    "course {seed}: {state}; {} begun, {} refused, changes {}, in force after {:?} ms",
                    verdict.begun,
                    verdict.refused,
                    played.outcome.join(" "),
                    played.in_force_ms
                );
                if !played.held() {
                    println!(
                        "  {}",
                        verdict.first.as_deref().unwrap_or("a change did not end")
                    );
                    println!("  {}", played.why.join("; "));
                    println!("  again: {}", again(terms, seed));
                }
                all.push(played);
            }
            // The others end; what they did is told.
            Err(fault) => failed = Some(format!("course {seed} could not be played: {fault}")),
        }
    }
    print!("{}", report::table(&all));
    if let Some(file) = &terms.svg {
        report::plot(&all, file)?;
    }
    match failed {
        Some(fault) => Err(fault),
        None => Ok(all.iter().all(RunReport::held)),
    }
}
