//! The command line.

use crate::experiment::{self, Comparison, SweepPoint, Template};
use crate::run_result::{RunResult, Summary};
use crate::simulation::{Backend, RunOptions, SimulationError};
use crate::{bench, check, defects, generate, hunt, report, scenario_file};
use badgerramp_sim_model::{Invariant, OpId, Scenario};
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::ffi::OsString;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Scenarios played in virtual time or on sockets, measured, and held against the rules.
///
/// Exits 0 if no rule broke, 1 if one did, 2 for bad usage or a bad file. Ctrl-C keeps what was measured.
#[derive(Parser)]
#[command(name = "badgerramp-sim", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args, Clone)]
struct Played {
    /// How it is played.
    #[arg(long, value_enum, default_value_t = Backend::Virtual)]
    play: Backend,
    /// What falls on one instant comes in a drawn order.
    #[arg(long)]
    shuffle: bool,
}

#[derive(Args, Clone)]
struct Told {
    /// Results as JSON lines, into this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// One page with plots that needs nothing else, into this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(Args, Clone)]
struct Many {
    /// Seeds, from 1 on.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// Threads; a play on real sockets has one.
    #[arg(long, default_value_t = threads())]
    threads: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario.
    Run {
        /// The scenario.
        scenario: PathBuf,
        /// All chance is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Another value for a key of the file, like clients.rate=400; can be given more than once.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        #[command(flatten)]
        played: Played,
        #[command(flatten)]
        told: Told,
    },
    /// Play a scenario over values of one or two keys and over seeds.
    Sweep {
        /// The scenario.
        scenario: PathBuf,
        /// KEY=FROM..TO:STEPS or KEY=A,B,C; once or twice.
        #[arg(long, required = true, value_name = "VALUES")]
        over: Vec<String>,
        #[command(flatten)]
        many: Many,
        #[command(flatten)]
        played: Played,
        #[command(flatten)]
        told: Told,
    },
    /// Play two scenarios, or one with other values, or another build of this program, seed by seed.
    Compare {
        /// The first scenario.
        first: PathBuf,
        /// The second; left out: the first.
        second: Option<PathBuf>,
        /// Other values for the second.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Another build of badgerramp-sim that plays the second.
        #[arg(long, value_name = "PROGRAM")]
        binary: Option<PathBuf>,
        #[command(flatten)]
        many: Many,
        #[command(flatten)]
        played: Played,
        #[command(flatten)]
        told: Told,
    },
    /// Play courses of faults between processes of the real program.
    FaultTest {
        #[command(subcommand)]
        trial: crate::trial::Trial,
    },
    /// Play random scenarios and look for broken rules; each kind is told once.
    Hunt {
        /// Number of the first scenario.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// How many at the most.
        #[arg(long, default_value_t = 10_000)]
        count: u64,
        /// For how many seconds at the most.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
        /// Threads.
        #[arg(long, default_value_t = threads())]
        threads: usize,
        /// End at the first find.
        #[arg(long)]
        stop: bool,
        /// Cut each find down and write it as a scenario into this folder.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// How they are played.
        #[arg(long, value_enum, default_value_t = Backend::Virtual)]
        play: Backend,
    },
    /// Play the random scenario of this number again.
    Replay {
        /// Its number.
        number: u64,
        /// Write it as a file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        #[command(flatten)]
        played: Played,
        #[command(flatten)]
        told: Told,
    },
    /// Cut a scenario that breaks a rule down to the least that still does.
    Shrink {
        /// A scenario's file, or the number of a random one.
        scenario: String,
        /// Which rule; left out: the first that is broken.
        #[arg(long)]
        rule: Option<String>,
        /// With which seed; a random scenario has its own.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays at the most.
        #[arg(long, default_value_t = 5_000)]
        plays: u64,
        /// Write what is left into this file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        #[command(flatten)]
        played: Played,
    },
    /// The course of one call, attempt by attempt, with what the decisions knew.
    Trace {
        /// A scenario's file, or the number of a random one.
        scenario: String,
        /// The call's number; left out: that of the first broken rule, or else of the first that was not served.
        #[arg(long)]
        call: Option<u64>,
        /// With which seed; a random scenario has its own.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        played: Played,
    },
    /// Make the page of results that were written as JSON lines.
    Report {
        /// The results.
        results: PathBuf,
        /// The page.
        #[arg(long, value_name = "FILE")]
        html: PathBuf,
    },
    /// Play scenarios twice and on one and several threads: all digests must be equal.
    Determinism {
        /// How many random scenarios.
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// How they are played.
        #[arg(long, value_enum, default_value_t = Backend::Virtual)]
        play: Backend,
    },
    /// Build this program with each seeded defect and hunt for it.
    Defects {
        /// The root of the source tree.
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// Only those whose name has this in it.
        #[arg(long)]
        only: Option<String>,
        /// Seconds of hunting for each.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Go through every order of events in small worlds, on the decisions alone.
    Check {
        /// Events in a row.
        #[arg(long, default_value_t = 7)]
        depth: usize,
        /// States of one world at the most.
        #[arg(long, default_value_t = 400_000)]
        states: usize,
    },
    /// Requests a second and memory, by fleet and proxies.
    Speed {
        /// Also the large one: 2,000 proxies and 1,000 hosts for a minute.
        #[arg(long)]
        large: bool,
    },
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}

/// Runs the program with these arguments, its own name first.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(told) => {
            // Help and version are told in this way too.
            let _ = told.print();
            return ExitCode::from(u8::try_from(told.exit_code()).unwrap_or(2));
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    // The second Ctrl-C ends it as ever.
    let _ = signal_hook::flag::register_conditional_shutdown(
        signal_hook::consts::SIGINT,
        130,
        Arc::clone(&stop),
    );
    let _ = signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&stop));
    match command(cli.command, &stop) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("badgerramp-sim: {fault}");
            ExitCode::from(2)
        }
    }
}

/// True if no rule broke.
fn command(command: Command, stop: &AtomicBool) -> Result<bool, SimulationError> {
    match command {
        Command::Run {
            scenario,
            seed,
            set,
            played,
            told,
        } => {
            let scenario = changed(&Template::load(&scenario)?, &set)?;
            run(&scenario, seed, &played, &told)
        }
        Command::Replay {
            number,
            write,
            played,
            told,
        } => {
            let scenario = generate::scenario(number);
            if let Some(path) = write {
                save(&path, &scenario_file::write(&scenario))?;
            }
            let shuffle = hunt::options(number).shuffle || played.shuffle;
            run(&scenario, number, &Played { shuffle, ..played }, &told)
        }
        Command::Sweep {
            scenario,
            over,
            many,
            played,
            told,
        } => sweep(
            &Template::load(&scenario)?,
            &over,
            &many,
            &played,
            &told,
            stop,
        ),
        Command::Compare {
            first,
            second,
            set,
            binary,
            many,
            played,
            told,
        } => {
            let files = (first.as_path(), second.as_deref().unwrap_or(&first));
            compare(files, &set, binary.as_deref(), &many, &played, &told, stop)
        }
        Command::FaultTest { trial } => crate::trial::run(trial),
        Command::Hunt {
            first,
            count,
            seconds,
            threads,
            stop: first_only,
            out,
            play,
        } => {
            let wanted = hunt::Hunt {
                first,
                count,
                time: Duration::from_secs(seconds),
                threads,
                stop: first_only,
            };
            hunting(wanted, play, out.as_deref(), stop)
        }
        Command::Shrink {
            scenario,
            rule,
            seed,
            plays,
            write,
            played,
        } => shrink(
            &scenario,
            rule.as_deref(),
            seed,
            plays,
            write.as_deref(),
            &played,
        ),
        Command::Trace {
            scenario,
            call,
            seed,
            played,
        } => trace(&scenario, call, seed, &played),
        Command::Report { results, html } => page_of(&results, &html),
        Command::Determinism { count, play } => determinism(count, play, stop),
        Command::Defects {
            root,
            only,
            seconds,
        } => defects::table(&root, only.as_deref(), seconds),
        Command::Check { depth, states } => Ok(checked(depth, states)),
        Command::Speed { large } => bench::speed(large).map(|()| true),
    }
}

fn changed(template: &Template, changes: &[String]) -> Result<Scenario, SimulationError> {
    let changed = changes
        .iter()
        .try_fold(template.clone(), |t, change| t.with_override(change))?;
    changed.scenario()
}

fn save(path: &Path, text: &str) -> Result<(), SimulationError> {
    std::fs::write(path, text)
        .map_err(|e| SimulationError::Other(format!("{}: {e}", path.display())))
}

fn bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style =
        ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {elapsed} gone, {eta} left");
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

/// A scenario's file, or the number of a random one, with the options that it is played with.
fn named(name: &str, seed: u64, shuffle: bool) -> Result<(Scenario, RunOptions), SimulationError> {
    match name.parse::<u64>() {
        Ok(number) => Ok((generate::scenario(number), hunt::options(number))),
        Err(_) => {
            let scenario = scenario_file::load(Path::new(name))?;
            Ok((
                scenario,
                RunOptions {
                    seed,
                    shuffle,
                    ..RunOptions::default()
                },
            ))
        }
    }
}

fn run(
    scenario: &Scenario,
    seed: u64,
    played: &Played,
    told: &Told,
) -> Result<bool, SimulationError> {
    let scenario = Arc::new(scenario.clone());
    let began = Instant::now();
    let course = played.play.run(
        &scenario,
        RunOptions {
            seed,
            shuffle: played.shuffle,
            ..RunOptions::default()
        },
    )?;
    let took = began.elapsed().as_secs_f64();
    let summary = course.summary(played.play.name(), seed);
    show(&course, &summary);
    println!(
        "{:.2} s, {:.0} requests a second",
        took,
        course.total().tries as f64 / took.max(1e-9)
    );
    lines(told.json.as_deref(), std::slice::from_ref(&summary))?;
    if let Some(path) = &told.html {
        save(
            path,
            &report::page(&scenario.name, &[report::course(&course, &summary)]),
        )?;
    }
    Ok(summary.violation_count == 0)
}

fn show(course: &RunResult, summary: &Summary) {
    let head = [
        "class", "wanted", "in time", "late", "refused", "failed", "lost", "p50 ms", "p99 ms",
        "p99.9 ms",
    ];
    println!(
        "{:<20}{}",
        head[0],
        head[1..]
            .iter()
            .map(|h| format!("{h:>10}"))
            .collect::<String>()
    );
    for (class, t) in course.scenario().classes.iter().zip(&course.classes) {
        let ms = |share| t.latencies.quantile(share) as f64 / 1e3;
        println!(
            "{:<20}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10.1}{:>10.1}{:>10.1}",
            class.name,
            t.operations,
            t.on_time,
            t.late,
            t.rejected,
            t.failed,
            t.unanswered,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    println!(
        "\ngoodput {:.4}, worst class {:.4}, worst ten seconds {:.4}; {:.3} attempts a request; utilisation {:.2}",
        summary.goodput,
        summary.worst_class_goodput,
        summary.worst_window_goodput,
        summary.amplification,
        course.scenario().utilisation()
    );
    println!(
        "{} questions to the list service, at most {} connections at a host",
        summary.list_requests, summary.max_connections
    );
    if summary.max_descriptors > 0 {
        println!(
            "a proxy had at most {} KiB and {} descriptors",
            summary.max_memory_kib, summary.max_descriptors
        );
    }
    if !summary.digest.is_empty() {
        println!("digest {}", summary.digest);
    }
    for broken in &course.violations {
        let op = broken
            .op
            .map_or(String::new(), |op| format!(", call {}", op.0));
        println!(
            "BROKEN {} at {:.3} s{op}: {}",
            broken.invariant,
            broken.at as f64 / 1e6,
            broken.text
        );
    }
    if course.violation_count > course.violations.len() as u64 {
        println!("... {} times in all", course.violation_count);
    }
}

/// Writes results as JSON lines.
fn lines<T: Serialize>(path: Option<&Path>, all: &[T]) -> Result<(), SimulationError> {
    let Some(path) = path else { return Ok(()) };
    let name =
        |e: &dyn std::fmt::Display| SimulationError::Other(format!("{}: {e}", path.display()));
    let mut file = std::fs::File::create(path).map_err(|e| name(&e))?;
    for one in all {
        let line = serde_json::to_string(one).map_err(|e| name(&e))?;
        writeln!(file, "{line}").map_err(|e| name(&e))?;
    }
    Ok(())
}

/// The courses of a scenario over its seeds.
fn over_seeds(
    scenario: Scenario,
    many: &Many,
    played: &Played,
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Result<Vec<Summary>, SimulationError> {
    let scenario = Arc::new(scenario);
    let threads = if played.play.needs_idle_machine() {
        1
    } else {
        many.threads
    };
    let play = |n: usize| {
        let seed = n as u64 + 1;
        let course = played.play.run(
            &scenario,
            RunOptions {
                seed,
                shuffle: played.shuffle,
                ..RunOptions::default()
            },
        )?;
        Ok(course.summary(played.play.name(), seed))
    };
    let all = experiment::run_all(many.seeds as usize, threads, stop, play, || bar.inc(1))?;
    Ok(all.into_iter().map(|(_, summary)| summary).collect())
}

fn sweep(
    template: &Template,
    over: &[String],
    many: &Many,
    played: &Played,
    told: &Told,
    stop: &AtomicBool,
) -> Result<bool, SimulationError> {
    let first = experiment::sweep_values(&over[0])?;
    let second = match over {
        [_] => vec![None],
        [_, second] => experiment::sweep_values(second)?
            .into_iter()
            .map(Some)
            .collect(),
        _ => {
            return Err(SimulationError::Other(
                "--over: once or twice, not more".to_owned(),
            ))
        }
    };
    let mut settings: Vec<Vec<String>> = Vec::new();
    for b in &second {
        settings.extend(
            first
                .iter()
                .map(|a| std::iter::once(a.clone()).chain(b.clone()).collect()),
        );
    }
    // All of them are good before any is played.
    let scenarios = settings
        .iter()
        .map(|s| changed(template, s))
        .collect::<Result<Vec<_>, _>>()?;
    let bar = bar(settings.len() as u64 * many.seeds);
    let (mut points, mut all) = (Vec::new(), Vec::new());
    for (changes, scenario) in settings.into_iter().zip(scenarios) {
        let summaries = over_seeds(scenario, many, played, stop, &bar)?;
        if summaries.is_empty() {
            break;
        }
        points.push(SweepPoint::of(changes, &summaries));
        all.extend(summaries);
    }
    bar.finish_and_clear();
    println!(
        "{:<40}{:>20}{:>20}{:>20}{:>22}{:>8}",
        "changes", "goodput", "worst class", "attempts", "p99 ms", "broken"
    );
    for p in &points {
        println!(
            "{:<40}{:>20}{:>20}{:>20}{:>22}{:>8}",
            p.changes.join(" "),
            p.goodput.to_string(),
            p.worst_class.to_string(),
            p.amplification.to_string(),
            format!("{:.1} ± {:.1}", p.p99_ms.mean, p.p99_ms.half_width),
            p.violation_count
        );
    }
    lines(told.json.as_deref(), &all)?;
    if let Some(path) = &told.html {
        save(
            path,
            &report::page(
                &format!("Sweep over {}", over.join(" and ")),
                &[report::sweep(&points)],
            ),
        )?;
    }
    Ok(points.iter().all(|p| p.violation_count == 0))
}

fn compare(
    (first, second): (&Path, &Path),
    set: &[String],
    binary: Option<&Path>,
    many: &Many,
    played: &Played,
    told: &Told,
    stop: &AtomicBool,
) -> Result<bool, SimulationError> {
    let bar = bar(many.seeds * 2);
    let a = over_seeds(Template::load(first)?.scenario()?, many, played, stop, &bar)?;
    let b = match binary {
        Some(binary) => other_build(binary, second, set, many, played, stop, &bar)?,
        None => over_seeds(
            changed(&Template::load(second)?, set)?,
            many,
            played,
            stop,
            &bar,
        )?,
    };
    bar.finish_and_clear();
    let (one, two) = (
        SweepPoint::of(Vec::new(), &a),
        SweepPoint::of(set.to_vec(), &b),
    );
    let difference = Comparison::of(&a, &b);
    println!(
        "{:<16}{:>22}{:>22}{:>22}",
        "", "first", "second", "second over first"
    );
    let rows = [
        ("goodput", one.goodput, two.goodput, difference.goodput),
        (
            "worst class",
            one.worst_class,
            two.worst_class,
            difference.worst_class,
        ),
        (
            "attempts",
            one.amplification,
            two.amplification,
            difference.amplification,
        ),
        ("p99 ms", one.p99_ms, two.p99_ms, difference.p99_ms),
    ];
    for (name, a, b, d) in rows {
        println!(
            "{name:<16}{:>22}{:>22}{:>22}",
            a.to_string(),
            b.to_string(),
            d.to_string()
        );
    }
    println!(
        "rules broken: {} and {}; {} pairs",
        one.violation_count, two.violation_count, difference.goodput.count
    );
    let all: Vec<&Summary> = a.iter().chain(&b).collect();
    lines(told.json.as_deref(), &all)?;
    if let Some(path) = &told.html {
        save(
            path,
            &report::page("Compared", &[report::sweep(&[one.clone(), two.clone()])]),
        )?;
    }
    Ok(one.violation_count + two.violation_count == 0)
}

/// The second half of a comparison, by another build of this program.
fn other_build(
    binary: &Path,
    scenario: &Path,
    set: &[String],
    many: &Many,
    played: &Played,
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Result<Vec<Summary>, SimulationError> {
    let out = std::env::temp_dir().join(format!("badgerramp-sim-{}.jsonl", std::process::id()));
    let mut all = Vec::new();
    for seed in 1..=many.seeds {
        if stop.load(std::sync::atomic::Ordering::Relaxed) {
            break;
        }
        let mut command = std::process::Command::new(binary);
        command.arg("run").arg(scenario).args([
            "--seed",
            &seed.to_string(),
            "--play",
            played.play.name(),
        ]);
        command
            .args(set.iter().flat_map(|s| ["--set", s]))
            .arg("--json")
            .arg(&out);
        let shown = binary.display();
        let told = command
            .output()
            .map_err(|e| SimulationError::Other(format!("{shown}: {e}")))?;
        let text = std::fs::read_to_string(&out).map_err(|e| {
            SimulationError::Other(format!(
                "{shown} wrote no results ({e}): {}",
                String::from_utf8_lossy(&told.stderr)
            ))
        })?;
        let summary = serde_json::from_str(text.trim())
            .map_err(|e| SimulationError::Other(format!("{shown}: {e}")))?;
        all.push(summary);
        bar.inc(1);
    }
    let _ = std::fs::remove_file(&out);
    Ok(all)
}

fn hunting(
    wanted: hunt::Hunt,
    play: Backend,
    out: Option<&Path>,
    stop: &AtomicBool,
) -> Result<bool, SimulationError> {
    let bar = bar(wanted.count);
    let began = Instant::now();
    let found = hunt::hunt(play.run_function(), wanted, stop, |played, kinds| {
        bar.set_position(played);
        bar.set_message(format!("{kinds} kinds found,"));
    })?;
    bar.finish_and_clear();
    println!(
        "{} scenarios, {} requests in {:.1} s; {} kinds of failure",
        found.played,
        found.requests,
        began.elapsed().as_secs_f64(),
        found.finds.len()
    );
    if let Some(dir) = out {
        std::fs::create_dir_all(dir)
            .map_err(|e| SimulationError::Other(format!("{}: {e}", dir.display())))?;
    }
    for (signature, find) in &found.finds {
        println!(
            "\n{signature}\n  in {} scenarios, first {}: {}",
            find.count, find.number, find.broken.text
        );
        if let Some(dir) = out {
            let scenario = generate::scenario(find.number);
            let options = hunt::options(find.number);
            match hunt::shrink(
                play.run_function(),
                &scenario,
                options,
                find.broken.invariant,
                5_000,
            ) {
                Some(shrunk) => {
                    let path = dir.join(format!("{}-{}.toml", find.broken.invariant, find.number));
                    save(&path, &kept(&shrunk))?;
                    println!(
                        "  cut down to {} events in {} plays: {}",
                        shrunk.scenario.event_count(),
                        shrunk.plays,
                        path.display()
                    );
                }
                None => println!("  it can't be cut down: as single requests it does not fail"),
            }
        }
    }
    println!("\nleast goodput among those whose hosts bear the load:");
    for (goodput, number) in &found.losses {
        println!("  {goodput:.3}  badgerramp-sim replay {number}");
    }
    Ok(found.finds.is_empty())
}

/// A scenario that was cut down, with how it fails.
fn kept(shrunk: &hunt::Shrunk) -> String {
    let RunOptions { seed, shuffle, .. } = shrunk.options;
    let how = if shuffle { " --shuffle" } else { "" };
    let Violation {
        invariant: rule,
        text,
        ..
    } = &shrunk.broken;
    format!(
        "# {rule}: {text}\n# run with --seed {seed}{how}\n{}",
        scenario_file::write(&shrunk.scenario)
    )
}

use badgerramp_sim_model::Violation;

fn shrink(
    name: &str,
    rule: Option<&str>,
    seed: u64,
    plays: u64,
    write: Option<&Path>,
    played: &Played,
) -> Result<bool, SimulationError> {
    let (scenario, options) = named(name, seed, played.shuffle)?;
    let course = played.play.run(&Arc::new(scenario.clone()), options)?;
    let rule = match rule {
        Some(word) => Invariant::from_name(word).ok_or_else(|| {
            let known: Vec<String> = Invariant::ALL.iter().map(ToString::to_string).collect();
            SimulationError::Other(format!("--rule {word}: allowed are {}", known.join(", ")))
        })?,
        None => match course.violations.first() {
            Some(broken) => broken.invariant,
            None => {
                println!("it breaks no rule");
                return Ok(true);
            }
        },
    };
    let Some(shrunk) = hunt::shrink(played.play.run_function(), &scenario, options, rule, plays)
    else {
        println!("it does not break {rule} as single requests");
        return Ok(true);
    };
    let text = kept(&shrunk);
    match write {
        Some(path) => save(path, &text)?,
        None => println!("{text}"),
    }
    println!(
        "{} events in {} plays; {rule}: {}",
        shrunk.scenario.event_count(),
        shrunk.plays,
        shrunk.broken.text
    );
    Ok(false)
}

fn trace(
    name: &str,
    call: Option<u64>,
    seed: u64,
    played: &Played,
) -> Result<bool, SimulationError> {
    let (scenario, options) = named(name, seed, played.shuffle)?;
    let scenario = Arc::new(scenario);
    let op = match call {
        Some(call) => OpId(call),
        None => {
            let course = played.play.run(&scenario, options)?;
            let broken = course.violations.iter().find_map(|b| b.op);
            match broken.or(course.first_unserved) {
                Some(op) => op,
                None => {
                    println!("all were served and no rule broke: name a call with --call");
                    return Ok(true);
                }
            }
        }
    };
    let course = played.play.run(
        &scenario,
        RunOptions {
            trace: Some(op),
            ..options
        },
    )?;
    if course.trace_lines.is_empty() {
        println!("no call {} in this course", op.0);
    }
    println!("call {}", op.0);
    course
        .trace_lines
        .iter()
        .for_each(|line| println!("{line}"));
    let broken: Vec<&Violation> = course
        .violations
        .iter()
        .filter(|b| b.op == Some(op))
        .collect();
    broken.iter().for_each(|b| {
        println!(
            "{:>12.3} ms  BROKEN {}: {}",
            b.at as f64 / 1e3,
            b.invariant,
            b.text
        );
    });
    Ok(broken.is_empty())
}

fn page_of(results: &Path, html: &Path) -> Result<bool, SimulationError> {
    let name =
        |e: &dyn std::fmt::Display| SimulationError::Other(format!("{}: {e}", results.display()));
    let text = std::fs::read_to_string(results).map_err(|e| name(&e))?;
    let mut groups: Vec<(String, Vec<Summary>)> = Vec::new();
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        let summary: Summary = serde_json::from_str(line)
            .map_err(|e| SimulationError::Other(format!("{}:{}: {e}", results.display(), n + 1)))?;
        let key = format!("{}, {}", summary.scenario, summary.backend);
        match groups.iter_mut().find(|g| g.0 == key) {
            Some(group) => group.1.push(summary),
            None => groups.push((key, vec![summary])),
        }
    }
    let points: Vec<SweepPoint> = groups
        .iter()
        .map(|(key, all)| SweepPoint::of(vec![key.clone()], all))
        .collect();
    save(html, &report::page("Results", &[report::sweep(&points)]))?;
    Ok(points.iter().all(|p| p.violation_count == 0))
}

fn checked(depth: usize, states: usize) -> bool {
    let mut good = true;
    for world in check::default_worlds(depth, states) {
        let began = Instant::now();
        let told = check::check(&world);
        println!(
            "{} servers, {} second copies, {:?}: {} states, {} steps, all orders of {} events{}, {:.1} s",
            world.servers,
            if world.copies { "with" } else { "without" },
            world.calls,
            told.states,
            told.steps,
            told.depth,
            if told.truncated { " (cut at the bound of states)" } else { "" },
            began.elapsed().as_secs_f64()
        );
        if let Some(found) = &told.counterexample {
            good = false;
            println!(
                "BROKEN {}\n{}",
                found.violation,
                check::as_test(&world, found)
            );
        }
    }
    good
}

fn determinism(count: u64, play: Backend, stop: &AtomicBool) -> Result<bool, SimulationError> {
    let digests = |threads: usize| -> Result<Vec<String>, SimulationError> {
        let bar = bar(count);
        let one = |n: usize| {
            let course = play.run(
                &Arc::new(generate::scenario(n as u64)),
                hunt::options(n as u64),
            )?;
            Ok(course.digest())
        };
        let all = experiment::run_all(count as usize, threads, stop, one, || bar.inc(1))?;
        bar.finish_and_clear();
        Ok(all.into_iter().map(|d| d.1).collect())
    };
    let courses = [digests(1)?, digests(1)?, digests(4)?];
    let short = courses.iter().map(Vec::len).min().unwrap_or(0);
    let differ = (0..short)
        .filter(|&n| courses.iter().any(|c| c[n] != courses[0][n]))
        .count();
    println!("{short} scenarios, twice on one thread and once on four: {differ} differ");
    Ok(differ == 0)
}
