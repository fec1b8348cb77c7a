//! The `badgerramp-sim` command line.

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

/// Runs load-balancing scenarios in virtual time or over sockets, measures them and checks their invariants.
///
/// The exit status is 0 if no invariant was violated, 1 if one was, and 2 for invalid usage or an invalid file. After Ctrl-C,
/// the results of the finished runs are still reported.
#[derive(Parser)]
#[command(name = "badgerramp-sim", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args, Clone)]
struct RunArgs {
    /// Backend that runs the scenario.
    #[arg(long = "play", value_name = "PLAY", value_enum, default_value_t = Backend::Virtual)]
    backend: Backend,
    /// Process simultaneous events in a random order drawn from the seed.
    #[arg(long)]
    shuffle: bool,
}

#[derive(Args, Clone)]
struct OutputArgs {
    /// Write the results to this file, as JSON lines.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a self-contained HTML page with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(Args, Clone)]
struct RepeatArgs {
    /// Number of seeds; they are 1, 2 and so on.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// Number of threads; runs of the real backend always use one.
    #[arg(long, default_value_t = default_threads())]
    threads: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario.
    Run {
        /// Scenario file.
        scenario: PathBuf,
        /// Seed of all random streams.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Override a value of the file, such as clients.rate=400; can be repeated.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        #[command(flatten)]
        run_args: RunArgs,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Run a scenario with a range of values for one or two keys, each with several seeds.
    Sweep {
        /// Scenario file.
        scenario: PathBuf,
        /// Key and its values, as KEY=FROM..TO:STEPS or KEY=A,B,C; given once or twice.
        #[arg(long, required = true, value_name = "VALUES")]
        over: Vec<String>,
        #[command(flatten)]
        repeat: RepeatArgs,
        #[command(flatten)]
        run_args: RunArgs,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Compare two scenarios, overridden values or another build of this program, with the same seeds.
    Compare {
        /// First scenario file.
        first: PathBuf,
        /// Second scenario file; by default the first one.
        second: Option<PathBuf>,
        /// Override a value in the second scenario; can be repeated.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Another build of badgerramp-sim that runs the second scenario.
        #[arg(long, value_name = "PROGRAM")]
        binary: Option<PathBuf>,
        #[command(flatten)]
        repeat: RepeatArgs,
        #[command(flatten)]
        run_args: RunArgs,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Inject faults into a fleet of real processes and check its invariants.
    FaultTest {
        #[command(subcommand)]
        test: crate::fault_test::FaultTest,
    },
    /// Run random scenarios and search for violations; each kind is reported once.
    Hunt {
        /// Number of the first random scenario.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// Maximum number of scenarios.
        #[arg(long, default_value_t = 10_000)]
        count: u64,
        /// Maximum duration in seconds.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
        /// Number of threads.
        #[arg(long, default_value_t = default_threads())]
        threads: usize,
        /// Stop at the first violation.
        #[arg(long = "stop")]
        stop_at_first: bool,
        /// Shrink each finding and write it to this directory, as a scenario file.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Backend that runs the scenarios.
        #[arg(long = "play", value_name = "PLAY", value_enum, default_value_t = Backend::Virtual)]
        backend: Backend,
    },
    /// Run a random scenario again.
    Replay {
        /// Number of the random scenario.
        number: u64,
        /// Write the scenario to this file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        #[command(flatten)]
        run_args: RunArgs,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Shrink a scenario that violates an invariant to a minimal one that still does.
    Shrink {
        /// Scenario file, or the number of a random scenario.
        scenario: String,
        /// Name of the invariant; by default that of the first violation.
        #[arg(long = "rule", value_name = "RULE")]
        invariant: Option<String>,
        /// Seed of the run; a random scenario has its own.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of runs.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 5_000)]
        max_runs: u64,
        /// Write the shrunk scenario to this file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Trace one call: its attempts, and the state on which the decisions about them were based.
    Trace {
        /// Scenario file, or the number of a random scenario.
        scenario: String,
        /// Number of the call; by default the call of the first violation, or else the first call that was not served.
        #[arg(long)]
        call: Option<u64>,
        /// Seed of the run; a random scenario has its own.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Make an HTML page from results that were written as JSON lines.
    Report {
        /// File with the results.
        results: PathBuf,
        /// Write the page to this file.
        #[arg(long, value_name = "FILE")]
        html: PathBuf,
    },
    /// Run random scenarios repeatedly, on one and on several threads, and check that the digests are equal.
    Determinism {
        /// Number of random scenarios.
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// Backend that runs the scenarios.
        #[arg(long = "play", value_name = "PLAY", value_enum, default_value_t = Backend::Virtual)]
        backend: Backend,
    },
    /// Build this program with each seeded defect and search for violations.
    Defects {
        /// Root of the source tree.
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// Restrict the defects to those whose name contains this text.
        #[arg(long = "only", value_name = "ONLY")]
        name_filter: Option<String>,
        /// Maximum duration of the search for each defect, in seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Model-check the decisions: explore every order of events in small worlds.
    Check {
        /// Number of events in a sequence.
        #[arg(long, default_value_t = 7)]
        depth: usize,
        /// Maximum number of states of one world.
        #[arg(long = "states", value_name = "STATES", default_value_t = 400_000)]
        max_states: usize,
    },
    /// Measure the simulation's throughput and memory use with fleets of several sizes.
    Speed {
        /// Also measure a large fleet: 2,000 proxies and 1,000 hosts for a minute.
        #[arg(long)]
        large: bool,
    },
}

fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}

/// Runs the program with these arguments, the first of which is its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => {
            // Help and version texts are reported as errors too; their exit code is 0.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2));
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    // The first Ctrl-C requests a stop; the second one terminates the program at once.
    let _ = signal_hook::flag::register_conditional_shutdown(
        signal_hook::consts::SIGINT,
        130,
        Arc::clone(&stop),
    );
    let _ = signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&stop));
    match execute(cli.command, &stop) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("badgerramp-sim: {error}");
            ExitCode::from(2)
        }
    }
}

/// Executes a command. Returns whether no invariant was violated.
fn execute(command: Command, stop: &AtomicBool) -> Result<bool, SimulationError> {
    match command {
        Command::Run {
            scenario,
            seed,
            set,
            run_args,
            output,
        } => {
            let scenario = with_overrides(&Template::load(&scenario)?, &set)?;
            run(&scenario, seed, &run_args, &output)
        }
        Command::Replay {
            number,
            write,
            run_args,
            output,
        } => {
            let scenario = generate::scenario(number);
            if let Some(path) = write {
                write_file(&path, &scenario_file::write(&scenario))?;
            }
            let shuffle = hunt::run_options(number).shuffle || run_args.shuffle;
            run(
                &scenario,
                number,
                &RunArgs {
                    shuffle,
                    ..run_args
                },
                &output,
            )
        }
        Command::Sweep {
            scenario,
            over,
            repeat,
            run_args,
            output,
        } => sweep(
            &Template::load(&scenario)?,
            &over,
            &repeat,
            &run_args,
            &output,
            stop,
        ),
        Command::Compare {
            first,
            second,
            set,
            binary,
            repeat,
            run_args,
            output,
        } => {
            let files = (first.as_path(), second.as_deref().unwrap_or(&first));
            compare(
                files,
                &set,
                binary.as_deref(),
                &repeat,
                &run_args,
                &output,
                stop,
            )
        }
        Command::FaultTest { test } => crate::fault_test::run(test),
        Command::Hunt {
            first,
            count,
            seconds,
            threads,
            stop_at_first,
            out,
            backend,
        } => {
            let options = hunt::HuntOptions {
                first,
                count,
                max_duration: Duration::from_secs(seconds),
                threads,
                stop_at_first,
            };
            run_hunt(options, backend, out.as_deref(), stop)
        }
        Command::Shrink {
            scenario,
            invariant,
            seed,
            max_runs,
            write,
            run_args,
        } => shrink(
            &scenario,
            invariant.as_deref(),
            seed,
            max_runs,
            write.as_deref(),
            &run_args,
        ),
        Command::Trace {
            scenario,
            call,
            seed,
            run_args,
        } => trace(&scenario, call, seed, &run_args),
        Command::Report { results, html } => write_report(&results, &html),
        Command::Determinism { count, backend } => determinism(count, backend, stop),
        Command::Defects {
            root,
            name_filter,
            seconds,
        } => defects::table(&root, name_filter.as_deref(), seconds),
        Command::Check { depth, max_states } => Ok(model_check(depth, max_states)),
        Command::Speed { large } => bench::speed(large).map(|()| true),
    }
}

/// The scenario of a file with overridden values.
fn with_overrides(template: &Template, changes: &[String]) -> Result<Scenario, SimulationError> {
    let overridden = changes
        .iter()
        .try_fold(template.clone(), |t, change| t.with_override(change))?;
    overridden.scenario()
}

fn write_file(path: &Path, text: &str) -> Result<(), SimulationError> {
    std::fs::write(path, text)
        .map_err(|e| SimulationError::Other(format!("{}: {e}", path.display())))
}

fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template(
        "{bar:30} {pos}/{len} {msg} {elapsed} elapsed, {eta} remaining",
    );
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

/// The scenario of a file, or the random scenario with this number, and the options of its run.
fn load_or_generate(
    name: &str,
    seed: u64,
    shuffle: bool,
) -> Result<(Scenario, RunOptions), SimulationError> {
    match name.parse::<u64>() {
        Ok(number) => Ok((generate::scenario(number), hunt::run_options(number))),
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
    run_args: &RunArgs,
    output: &OutputArgs,
) -> Result<bool, SimulationError> {
    let scenario = Arc::new(scenario.clone());
    let started = Instant::now();
    let result = run_args.backend.run(
        &scenario,
        RunOptions {
            seed,
            shuffle: run_args.shuffle,
            ..RunOptions::default()
        },
    )?;
    let elapsed = started.elapsed().as_secs_f64();
    let summary = result.summary(run_args.backend.name(), seed);
    print_result(&result, &summary);
    println!(
        "{:.2} s, {:.0} requests per second",
        elapsed,
        result.total().tries as f64 / elapsed.max(1e-9)
    );
    write_json_lines(output.json.as_deref(), std::slice::from_ref(&summary))?;
    if let Some(path) = &output.html {
        write_file(
            path,
            &report::page(&scenario.name, &[report::run_section(&result, &summary)]),
        )?;
    }
    Ok(summary.violation_count == 0)
}

fn print_result(result: &RunResult, summary: &Summary) {
    let columns = [
        "class", "wanted", "in time", "late", "refused", "failed", "lost", "p50 ms", "p99 ms",
        "p99.9 ms",
    ];
    println!(
        "{:<20}{}",
        columns[0],
        columns[1..]
            .iter()
            .map(|column| format!("{column:>10}"))
            .collect::<String>()
    );
    for (class, stats) in result.scenario().classes.iter().zip(&result.classes) {
        let ms = |share| stats.latencies.quantile(share) as f64 / 1e3;
        println!(
            "{:<20}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10.1}{:>10.1}{:>10.1}",
            class.name,
            stats.operations,
            stats.on_time,
            stats.late,
            stats.rejected,
            stats.failed,
            stats.unanswered,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    println!(
        "\ngoodput {:.4}, worst class {:.4}, worst ten seconds {:.4}; {:.3} attempts per operation; utilisation {:.2}",
        summary.goodput,
        summary.worst_class_goodput,
        summary.worst_window_goodput,
        summary.amplification,
        result.scenario().utilisation()
    );
    println!(
        "{} requests to the list service, at most {} connections per host",
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
    for violation in &result.violations {
        let op = violation
            .op
            .map_or(String::new(), |op| format!(", call {}", op.0));
        println!(
            "BROKEN {} at {:.3} s{op}: {}",
            violation.invariant,
            violation.at as f64 / 1e6,
            violation.text
        );
    }
    if result.violation_count > result.violations.len() as u64 {
        println!("... {} violations in total", result.violation_count);
    }
}

/// Writes results as JSON lines.
fn write_json_lines<T: Serialize>(path: Option<&Path>, all: &[T]) -> Result<(), SimulationError> {
    let Some(path) = path else { return Ok(()) };
    let name =
        |e: &dyn std::fmt::Display| SimulationError::Other(format!("{}: {e}", path.display()));
    let mut file = std::fs::File::create(path).map_err(|e| name(&e))?;
    for result in all {
        let line = serde_json::to_string(result).map_err(|e| name(&e))?;
        writeln!(file, "{line}").map_err(|e| name(&e))?;
    }
    Ok(())
}

/// Runs a scenario with each seed. Returns the summaries of the runs that finished before a stop.
fn run_seeds(
    scenario: Scenario,
    repeat: &RepeatArgs,
    run_args: &RunArgs,
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Result<Vec<Summary>, SimulationError> {
    let scenario = Arc::new(scenario);
    let threads = if run_args.backend.needs_idle_machine() {
        1
    } else {
        repeat.threads
    };
    let run_one = |n: usize| {
        let seed = n as u64 + 1;
        let result = run_args.backend.run(
            &scenario,
            RunOptions {
                seed,
                shuffle: run_args.shuffle,
                ..RunOptions::default()
            },
        )?;
        Ok(result.summary(run_args.backend.name(), seed))
    };
    let all = experiment::run_all(repeat.seeds as usize, threads, stop, run_one, || bar.inc(1))?;
    Ok(all.into_iter().map(|(_, summary)| summary).collect())
}

/// Runs a scenario with all combinations of the swept values, and prints the figures of each.
fn sweep(
    template: &Template,
    over: &[String],
    repeat: &RepeatArgs,
    run_args: &RunArgs,
    output: &OutputArgs,
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
                "--over: expected at most two keys".to_owned(),
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
    // All scenarios are checked before the first run starts.
    let scenarios = settings
        .iter()
        .map(|s| with_overrides(template, s))
        .collect::<Result<Vec<_>, _>>()?;
    let bar = progress_bar(settings.len() as u64 * repeat.seeds);
    let (mut points, mut all) = (Vec::new(), Vec::new());
    for (changes, scenario) in settings.into_iter().zip(scenarios) {
        let summaries = run_seeds(scenario, repeat, run_args, stop, &bar)?;
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
    write_json_lines(output.json.as_deref(), &all)?;
    if let Some(path) = &output.html {
        write_file(
            path,
            &report::page(
                &format!("Sweep over {}", over.join(" and ")),
                &[report::sweep_section(&points)],
            ),
        )?;
    }
    Ok(points.iter().all(|p| p.violation_count == 0))
}

/// Compares two scenarios over the same seeds, and prints their figures and the differences with confidence intervals.
fn compare(
    (first, second): (&Path, &Path),
    set: &[String],
    binary: Option<&Path>,
    repeat: &RepeatArgs,
    run_args: &RunArgs,
    output: &OutputArgs,
    stop: &AtomicBool,
) -> Result<bool, SimulationError> {
    let bar = progress_bar(repeat.seeds * 2);
    let a = run_seeds(
        Template::load(first)?.scenario()?,
        repeat,
        run_args,
        stop,
        &bar,
    )?;
    let b = match binary {
        Some(binary) => run_with_other_build(binary, second, set, repeat, run_args, stop, &bar)?,
        None => run_seeds(
            with_overrides(&Template::load(second)?, set)?,
            repeat,
            run_args,
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
        "violations: {} and {}; {} pairs",
        one.violation_count, two.violation_count, difference.goodput.count
    );
    let all: Vec<&Summary> = a.iter().chain(&b).collect();
    write_json_lines(output.json.as_deref(), &all)?;
    if let Some(path) = &output.html {
        write_file(
            path,
            &report::page(
                "Comparison",
                &[report::sweep_section(&[one.clone(), two.clone()])],
            ),
        )?;
    }
    Ok(one.violation_count + two.violation_count == 0)
}

/// Runs the second side of a comparison with another build of this program.
fn run_with_other_build(
    binary: &Path,
    scenario: &Path,
    set: &[String],
    repeat: &RepeatArgs,
    run_args: &RunArgs,
    stop: &AtomicBool,
    bar: &ProgressBar,
) -> Result<Vec<Summary>, SimulationError> {
    let out = std::env::temp_dir().join(format!("badgerramp-sim-{}.jsonl", std::process::id()));
    let mut all = Vec::new();
    for seed in 1..=repeat.seeds {
        if stop.load(std::sync::atomic::Ordering::Relaxed) {
            break;
        }
        let mut command = std::process::Command::new(binary);
        command.arg("run").arg(scenario).args([
            "--seed",
            &seed.to_string(),
            "--play",
            run_args.backend.name(),
        ]);
        command
            .args(set.iter().flat_map(|s| ["--set", s]))
            .arg("--json")
            .arg(&out);
        let program = binary.display();
        let process_output = command
            .output()
            .map_err(|e| SimulationError::Other(format!("{program}: {e}")))?;
        let text = std::fs::read_to_string(&out).map_err(|e| {
            SimulationError::Other(format!(
                "{program} wrote no results ({e}): {}",
                String::from_utf8_lossy(&process_output.stderr)
            ))
        })?;
        let summary = serde_json::from_str(text.trim())
            .map_err(|e| SimulationError::Other(format!("{program}: {e}")))?;
        all.push(summary);
        bar.inc(1);
    }
    let _ = std::fs::remove_file(&out);
    Ok(all)
}

/// Searches random scenarios for violations, prints each kind and, with `out`, writes shrunk scenarios into that directory.
fn run_hunt(
    options: hunt::HuntOptions,
    backend: Backend,
    out: Option<&Path>,
    stop: &AtomicBool,
) -> Result<bool, SimulationError> {
    let bar = progress_bar(options.count);
    let started = Instant::now();
    let report = hunt::hunt(backend.run_function(), options, stop, |runs, kinds| {
        bar.set_position(runs);
        bar.set_message(format!("{kinds} kinds found,"));
    })?;
    bar.finish_and_clear();
    println!(
        "{} scenarios, {} requests in {:.1} s; {} kinds of failure",
        report.runs,
        report.requests,
        started.elapsed().as_secs_f64(),
        report.findings.len()
    );
    if let Some(dir) = out {
        std::fs::create_dir_all(dir)
            .map_err(|e| SimulationError::Other(format!("{}: {e}", dir.display())))?;
    }
    for (signature, finding) in &report.findings {
        println!(
            "\n{signature}\n  in {} scenarios, first {}: {}",
            finding.count, finding.number, finding.violation.text
        );
        if let Some(dir) = out {
            let scenario = generate::scenario(finding.number);
            let options = hunt::run_options(finding.number);
            match hunt::shrink(
                backend.run_function(),
                &scenario,
                options,
                finding.violation.invariant,
                5_000,
            ) {
                Some(shrunk) => {
                    let path = dir.join(format!("{}-{}.toml", finding.violation.invariant, finding.number));
                    write_file(&path, &shrunk_scenario_text(&shrunk))?;
                    println!(
                        "  cut down to {} events in {} runs: {}",
                        shrunk.scenario.event_count(),
                        shrunk.runs,
                        path.display()
                    );
                }
                None => println!("  not shrunk: the violation does not occur when the load is replayed as scripted requests"),
            }
        }
    }
    println!("\nlowest goodput among scenarios with sufficient capacity:");
    for (goodput, number) in &report.lowest_goodput {
        println!("  {goodput:.3}  badgerramp-sim replay {number}");
    }
    Ok(report.findings.is_empty())
}

/// The text of a shrunk scenario. Comments at its head state the violation and how to reproduce it.
fn shrunk_scenario_text(shrunk: &hunt::Shrunk) -> String {
    let RunOptions { seed, shuffle, .. } = shrunk.options;
    let shuffle_flag = if shuffle { " --shuffle" } else { "" };
    let Violation {
        invariant, text, ..
    } = &shrunk.violation;
    format!(
        "# {invariant}: {text}\n# run with --seed {seed}{shuffle_flag}\n{}",
        scenario_file::write(&shrunk.scenario)
    )
}

use badgerramp_sim_model::Violation;

/// Shrinks a failing scenario, and writes it to a file or prints it. Returns whether there was nothing to shrink.
fn shrink(
    name: &str,
    invariant: Option<&str>,
    seed: u64,
    max_runs: u64,
    write: Option<&Path>,
    run_args: &RunArgs,
) -> Result<bool, SimulationError> {
    let (scenario, options) = load_or_generate(name, seed, run_args.shuffle)?;
    let result = run_args.backend.run(&Arc::new(scenario.clone()), options)?;
    let invariant = match invariant {
        Some(name) => Invariant::from_name(name).ok_or_else(|| {
            let known: Vec<String> = Invariant::ALL.iter().map(ToString::to_string).collect();
            SimulationError::Other(format!("--rule {name}: allowed are {}", known.join(", ")))
        })?,
        None => match result.violations.first() {
            Some(violation) => violation.invariant,
            None => {
                println!("no invariant was violated");
                return Ok(true);
            }
        },
    };
    let Some(shrunk) = hunt::shrink(
        run_args.backend.run_function(),
        &scenario,
        options,
        invariant,
        max_runs,
    ) else {
        println!("{invariant} is not violated when the load is replayed as scripted requests");
        return Ok(true);
    };
    let text = shrunk_scenario_text(&shrunk);
    match write {
        Some(path) => write_file(path, &text)?,
        None => println!("{text}"),
    }
    println!(
        "{} events in {} runs; {invariant}: {}",
        shrunk.scenario.event_count(),
        shrunk.runs,
        shrunk.violation.text
    );
    Ok(false)
}

/// Prints the trace of a call. Returns whether the call violated no invariant.
fn trace(
    name: &str,
    call: Option<u64>,
    seed: u64,
    run_args: &RunArgs,
) -> Result<bool, SimulationError> {
    let (scenario, options) = load_or_generate(name, seed, run_args.shuffle)?;
    let scenario = Arc::new(scenario);
    let op = match call {
        Some(call) => OpId(call),
        None => {
            let result = run_args.backend.run(&scenario, options)?;
            let violating = result.violations.iter().find_map(|violation| violation.op);
            match violating.or(result.first_unserved) {
                Some(op) => op,
                None => {
                    println!("all calls were served and no invariant was violated; select a call with --call");
                    return Ok(true);
                }
            }
        }
    };
    let result = run_args.backend.run(
        &scenario,
        RunOptions {
            trace: Some(op),
            ..options
        },
    )?;
    if result.trace_lines.is_empty() {
        println!("call {} does not occur in this run", op.0);
    }
    println!("call {}", op.0);
    result
        .trace_lines
        .iter()
        .for_each(|line| println!("{line}"));
    let violations: Vec<&Violation> = result
        .violations
        .iter()
        .filter(|violation| violation.op == Some(op))
        .collect();
    violations.iter().for_each(|violation| {
        println!(
            "{:>12.3} ms  BROKEN {}: {}",
            violation.at as f64 / 1e3,
            violation.invariant,
            violation.text
        );
    });
    Ok(violations.is_empty())
}

/// Writes the HTML page of results that were stored as JSON lines. Returns whether the results have no violations.
fn write_report(results: &Path, html: &Path) -> Result<bool, SimulationError> {
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
    write_file(
        html,
        &report::page("Results", &[report::sweep_section(&points)]),
    )?;
    Ok(points.iter().all(|p| p.violation_count == 0))
}

/// Runs the model checker on its default worlds. Returns whether it found no violation.
fn model_check(depth: usize, max_states: usize) -> bool {
    let mut passed = true;
    for world in check::default_worlds(depth, max_states) {
        let started = Instant::now();
        let exploration = check::check(&world);
        println!(
            "{} servers, {} hedged requests, {:?}: {} states, {} steps, all orders of {} events{}, {:.1} s",
            world.servers,
            if world.copies { "with" } else { "without" },
            world.calls,
            exploration.states,
            exploration.steps,
            exploration.depth,
            if exploration.truncated { " (stopped at the maximum number of states)" } else { "" },
            started.elapsed().as_secs_f64()
        );
        if let Some(counterexample) = &exploration.counterexample {
            passed = false;
            println!(
                "BROKEN {}\n{}",
                counterexample.violation,
                check::as_test(&world, counterexample)
            );
        }
    }
    passed
}

/// Runs random scenarios twice on one thread and once on four. Returns whether all digests are equal.
fn determinism(count: u64, backend: Backend, stop: &AtomicBool) -> Result<bool, SimulationError> {
    let digests = |threads: usize| -> Result<Vec<String>, SimulationError> {
        let bar = progress_bar(count);
        let run_digest = |n: usize| {
            let result = backend.run(
                &Arc::new(generate::scenario(n as u64)),
                hunt::run_options(n as u64),
            )?;
            Ok(result.digest())
        };
        let all = experiment::run_all(count as usize, threads, stop, run_digest, || bar.inc(1))?;
        bar.finish_and_clear();
        Ok(all.into_iter().map(|d| d.1).collect())
    };
    let series = [digests(1)?, digests(1)?, digests(4)?];
    let compared = series.iter().map(Vec::len).min().unwrap_or(0);
    let differing = (0..compared)
        .filter(|&n| series.iter().any(|digests| digests[n] != series[0][n]))
        .count();
    println!("{compared} scenarios, twice on one thread and once on four: {differing} differ");
    Ok(differing == 0)
}
