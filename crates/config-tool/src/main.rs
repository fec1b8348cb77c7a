//! The command line of the configuration tool.
#![forbid(unsafe_code)]

use badgerramp_config_tool::commands::{self, Plan};
use badgerramp_config_tool::finding::Report;
use badgerramp_config_tool::fleet::{self, ControlArgs, ControlClient, Outcome, Scope};
use badgerramp_config_tool::{explain, STARTING_DESCRIPTION};
use clap::{Parser, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Generates every application's file from one description, and checks the files together.
///
/// Exits with 0 on success, 1 if a check or operation failed, 2 on wrong usage, and 3 if the outcome of a change is not
/// known yet.
#[derive(Parser)]
#[command(name = "badgerramp-config", version)]
struct Cli {
    /// The output format.
    #[arg(long, value_enum, default_value_t = Format::Human, global = true)]
    format: Format,
    /// The same as `--format json`.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Human,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Write a commented description to start from; - for standard output.
    Init {
        /// The file, which must not exist yet.
        file: PathBuf,
    },
    /// Generate all files of a description, if the checks find no errors.
    Write {
        /// The file of the description.
        description: PathBuf,
        /// The folder for the generated files.
        #[arg(long)]
        out: PathBuf,
        /// Show the changes without writing them.
        #[arg(long)]
        dry_run: bool,
        /// Overwrite files that were changed by hand.
        #[arg(long)]
        force: bool,
    },
    /// Check generated folders or single files, one by one and together.
    Check {
        /// A folder that is in use: show the changes from it, and reject those that are unsafe while old and new files
        /// are in use.
        #[arg(long, value_name = "OLD_DIR")]
        against: Option<PathBuf>,
        /// The folders or files to check.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Explain how a file handles a request, or show the worst-case timeline of a class.
    Explain {
        /// The file of an application.
        file: PathBuf,
        /// A method and a path, like 'POST /x'.
        #[arg(long, required_unless_present = "class", conflicts_with = "class")]
        request: Option<String>,
        /// A header of the request, like 'Name: value'.
        #[arg(long, requires = "request")]
        header: Vec<String>,
        /// The address of the request's client.
        #[arg(long, requires = "request", default_value = "127.0.0.1")]
        client: std::net::IpAddr,
        /// The name of the class.
        #[arg(long)]
        class: Option<String>,
    },
    /// Check a folder and publish it atomically to the whole fleet.
    ///
    /// Exits with 0 if the change is in force, 1 if it is not and will not be, 2 on wrong usage, and 3 if that is not known
    /// yet.
    Publish {
        /// The folder, with a file NAME.toml for each application.
        folder: PathBuf,
        /// The regions to publish to. With all, replicas of any region may be given: the change is sent to the
        /// coordinator.
        #[arg(long, value_enum, default_value_t)]
        scope: Scope,
        #[command(flatten)]
        control_args: ControlArgs,
    },
    /// Show the policy in force, the change under way with its blockers, and the known proxies.
    Status {
        #[command(flatten)]
        control_args: ControlArgs,
    },
    /// Show the recent changes that the control plane remembers.
    History {
        #[command(flatten)]
        control_args: ControlArgs,
    },
    /// Publish an earlier generation again, with the exit status of publish.
    Rollback {
        /// The number of the generation.
        generation: u64,
        /// The regions to publish to. With all, the number is a generation of the coordinator.
        #[arg(long, value_enum, default_value_t)]
        scope: Scope,
        #[command(flatten)]
        control_args: ControlArgs,
    },
    /// Abort the change under way.
    Abort {
        /// The reason, for the history.
        #[arg(long, default_value = "given up by an operator")]
        why: String,
        #[command(flatten)]
        control_args: ControlArgs,
    },
    /// Evict a proxy that, as the operator confirms, no longer runs: changes stop waiting for it, and it gets no lease.
    Evict {
        /// The name of the proxy.
        name: String,
        /// The incarnation of the proxy, as status shows it.
        #[arg(long, value_parser = |text: &str| u64::from_str_radix(text, 16))]
        incarnation: Option<u64>,
        #[command(flatten)]
        control_args: ControlArgs,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let format = if cli.json { Format::Json } else { cli.format };
    match cli.command {
        Command::Init { file } => init(&file),
        Command::Write {
            description,
            out,
            dry_run,
            force,
        } => write(&description, &out, (dry_run, force), format),
        Command::Check { against, paths } => check(against.as_deref(), &paths, format),
        Command::Explain {
            file,
            request,
            header,
            client,
            class,
        } => explain(&file, request, (&header, client), class, format),
        Command::Publish {
            folder,
            scope,
            control_args,
        } => publish(&folder, scope, &control_args, format),
        Command::Status { control_args } => {
            show_status(&control_args, format, fleet::FleetStatus::human)
        }
        Command::History { control_args } => {
            show_status(&control_args, format, fleet::FleetStatus::history)
        }
        Command::Rollback {
            generation,
            scope,
            control_args,
        } => rollback(generation, scope, &control_args, format),
        Command::Abort { why, control_args } => with_control(&control_args, async |control| {
            let generation = control.abort(&why).await?;
            println!("the change to generation {generation} is aborted");
            Ok(ExitCode::SUCCESS)
        }),
        Command::Evict {
            name,
            incarnation,
            control_args,
        } => with_control(&control_args, async |control| {
            control.evict(&name, incarnation).await?;
            println!("{name} is evicted");
            Ok(ExitCode::SUCCESS)
        }),
    }
}

/// Runs an operation with a client of the control plane.
fn with_control(
    control_args: &ControlArgs,
    operation: impl AsyncFnOnce(&mut ControlClient) -> Result<ExitCode, String>,
) -> ExitCode {
    let run = || {
        let mut control = ControlClient::new(control_args)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .map_err(|e| e.to_string())?
            .block_on(operation(&mut control))
    };
    run().unwrap_or_else(fail)
}

fn show_status(
    control_args: &ControlArgs,
    format: Format,
    human: fn(&fleet::FleetStatus) -> String,
) -> ExitCode {
    with_control(control_args, async |control| {
        let status = control.status().await.map_err(|e| e.to_string())?;
        match format {
            Format::Human => print!("{}", human(&status)),
            Format::Json => print!("{}", json(&status)),
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn publish(folder: &Path, scope: Scope, control_args: &ControlArgs, format: Format) -> ExitCode {
    let report = match fleet::check_folder(folder) {
        Ok(report) => report,
        Err(error) => return fail(error),
    };
    if !report.is_clean() {
        return print_report(&report, format);
    }
    let files = match fleet::read_folder(folder) {
        Ok(files) => files,
        Err(error) => return fail(error),
    };
    with_control(control_args, async |control| {
        select_region(control, scope, format).await?;
        publish_and_wait(control, scope, files, format).await
    })
}

fn rollback(generation: u64, scope: Scope, control_args: &ControlArgs, format: Format) -> ExitCode {
    with_control(control_args, async |control| {
        select_region(control, scope, format).await?;
        let files = control.files(generation).await.map_err(|e| e.to_string())?;
        // An earlier release may have accepted what is a mistake now.
        let report = commands::check_texts(&files);
        if !report.is_clean() {
            return Ok(print_report(&report, format));
        }
        publish_and_wait(control, scope, files, format).await
    })
}

/// Directs the client to the region that accepts changes of this scope.
async fn select_region(
    control: &mut ControlClient,
    scope: Scope,
    format: Format,
) -> Result<(), String> {
    if scope == Scope::All {
        let coordinator = control.use_coordinator().await?;
        if format == Format::Human {
            println!("publishing to all regions, coordinated by region {coordinator}");
        }
    }
    Ok(())
}

/// Shows the difference to the policy in force, publishes the files, and waits for the outcome of the change.
async fn publish_and_wait(
    control: &mut ControlClient,
    scope: Scope,
    files: std::collections::HashMap<String, String>,
    format: Format,
) -> Result<ExitCode, String> {
    let status = control.status().await.map_err(|e| e.to_string())?;
    let human = format == Format::Human;
    if let Some(generation) = status.in_force.filter(|_| human) {
        let old = control.files(generation).await.map_err(|e| e.to_string())?;
        print!("{}", fleet::unified_diff(&old, &files));
    }
    let result = control
        .publish_for(scope, &files, status.revision, |blockers| {
            blockers
                .iter()
                .filter(|_| human)
                .for_each(|blocker| println!("held up by {}", blocker.human()));
        })
        .await;
    let generation = result
        .generation
        .map_or("the change".to_owned(), |g| format!("generation {g}"));
    if !human {
        print!("{}", json(&result));
    }
    Ok(match result.outcome {
        Outcome::InForce => {
            if human {
                println!("{generation} is in force, after {} ms", result.elapsed_ms);
            }
            ExitCode::SUCCESS
        }
        Outcome::NotInForce => fail(format!(
            "{generation} is not in force, and will not be: {}",
            result.reason
        )),
        Outcome::NotKnown => {
            eprintln!(
                "badgerramp-config: whether {generation} is in force is not known yet: {}",
                result.reason
            );
            ExitCode::from(3)
        }
    })
}

fn fail(message: impl std::fmt::Display) -> ExitCode {
    eprintln!("badgerramp-config: {message}");
    ExitCode::FAILURE
}

/// Prints a report. The exit status says whether there are findings.
fn print_report(report: &Report, format: Format) -> ExitCode {
    match format {
        Format::Human => print!("{}", report.human()),
        Format::Json => println!("{}", report.json()),
    }
    if report.is_clean() {
        return ExitCode::SUCCESS;
    }
    let counts: Vec<String> = commands::count_by_code(report)
        .iter()
        .map(|(code, n)| format!("{n} {code}"))
        .collect();
    fail(format!(
        "{} findings: {}",
        report.findings.len(),
        counts.join(", ")
    ))
}

fn init(file: &Path) -> ExitCode {
    if file == Path::new("-") {
        print!("{STARTING_DESCRIPTION}");
        return ExitCode::SUCCESS;
    }
    let written = std::fs::File::create_new(file)
        .and_then(|mut f| std::io::Write::write_all(&mut f, STARTING_DESCRIPTION.as_bytes()));
    match written {
        Ok(()) => {
            println!(
                "{}: written; next, run badgerramp-config write {} --out sidecars",
                file.display(),
                file.display()
            );
            ExitCode::SUCCESS
        }
        Err(error) => fail(format!("{}: {error}", file.display())),
    }
}

fn write(
    description: &Path,
    out: &Path,
    (dry_run, force): (bool, bool),
    format: Format,
) -> ExitCode {
    let generated = match commands::generate(description) {
        Ok(generated) => generated,
        Err(report) => return print_report(&report, format),
    };
    let plan = commands::plan(&generated, out);
    let Plan {
        write,
        remove,
        changed_by_hand,
        diff,
    } = &plan;
    if dry_run {
        print!("{diff}");
    }
    if !changed_by_hand.is_empty() && !force {
        return fail(format!(
            "changed by hand since they were generated, or not generated by this program: {}; nothing was written. \
             Apply the changes to the description, or overwrite them with --force",
            changed_by_hand.join(", ")
        ));
    }
    if !dry_run {
        if let Err(error) = commands::apply(&plan, out) {
            return fail(format!("{}: {error}", out.display()));
        }
    }
    if format == Format::Json {
        return print_report(&generated.report, format);
    }
    let verb = if dry_run { "would be" } else { "were" };
    println!(
        "{} of {} files {verb} written, {} removed, in {}",
        write.len(),
        generated.files.len(),
        remove.len(),
        out.display()
    );
    print_report(&generated.report, format)
}

fn check(against: Option<&Path>, paths: &[PathBuf], format: Format) -> ExitCode {
    let report = match (against, paths) {
        (None, paths) => commands::check(&paths.iter().map(PathBuf::as_path).collect::<Vec<_>>()).0,
        (Some(old), [new]) if new.is_dir() => commands::check_against(old, new),
        (Some(_), _) => {
            eprintln!("badgerramp-config: --against requires exactly one folder to check");
            return ExitCode::from(2);
        }
    };
    print_report(&report, format)
}

fn explain(
    file: &Path,
    request: Option<String>,
    (headers, client): (&[String], std::net::IpAddr),
    class: Option<String>,
    format: Format,
) -> ExitCode {
    let config = match badgerramp_config::load(file) {
        Ok(config) => config,
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            return fail(format!("{} errors", diagnostics.count()));
        }
    };
    let text = match (request, class) {
        (Some(request), _) => match explain::parse_request(&request, headers) {
            Ok((method, path, headers)) => explain::explain_request(
                &config, &method, &path, &headers, client,
            )
            .map(|explanation| match format {
                Format::Human => explanation.human(&config),
                Format::Json => json(&explanation),
            }),
            Err(error) => {
                eprintln!("badgerramp-config: {error}");
                return ExitCode::from(2);
            }
        },
        (None, Some(class)) => {
            explain::class_timelines(&config, &class).map(|timelines| match format {
                Format::Human => timelines.iter().map(explain::Timeline::human).collect(),
                Format::Json => json(&timelines),
            })
        }
        (None, None) => return ExitCode::from(2),
    };
    match text {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(error),
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|e| format!("{{\"fault\":\"{e}\"}}")) + "\n"
}
