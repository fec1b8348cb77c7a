//! The command line of the configuration tool.
#![forbid(unsafe_code)]

use badgerramp_config_tool::commands::{self, Plan};
use badgerramp_config_tool::finding::Report;
use badgerramp_config_tool::fleet::{self, At, Control, Outcome, Scope};
use badgerramp_config_tool::{explain, STARTING};
use clap::{Parser, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Writes every application's file from one description, and checks them together.
///
/// Exits 0 if all is good, 1 with what is wrong, 2 for bad usage, 3 if the end of a change is not known yet.
#[derive(Parser)]
#[command(name = "badgerramp-config", version)]
struct Cli {
    /// How findings are told.
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
    /// Write a starting description, with comments; - for standard output.
    Init {
        /// The file; it must not be there yet.
        file: PathBuf,
    },
    /// Write all files of a description, if nothing is wrong with any of them.
    Write {
        /// The description.
        description: PathBuf,
        /// The folder that they go to.
        #[arg(long)]
        out: PathBuf,
        /// Show what would change, and change nothing.
        #[arg(long)]
        dry_run: bool,
        /// Also over files that were changed by hand.
        #[arg(long)]
        force: bool,
    },
    /// Check folders that were written, or single files, by themselves and together.
    Check {
        /// A folder that is in use: tell what a change from it would do, and refuse what is unsafe while both run.
        #[arg(long, value_name = "OLD_DIR")]
        against: Option<PathBuf>,
        /// Folders or files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Tell what a file makes of a request, or the longest course of a class.
    Explain {
        /// The file.
        file: PathBuf,
        /// A method and a path, like 'POST /x'.
        #[arg(long, required_unless_present = "class", conflicts_with = "class")]
        request: Option<String>,
        /// A header of the request, like 'Name: value'.
        #[arg(long, requires = "request")]
        header: Vec<String>,
        /// Where the request's client is.
        #[arg(long, requires = "request", default_value = "127.0.0.1")]
        client: std::net::IpAddr,
        /// The name of a class.
        #[arg(long)]
        class: Option<String>,
    },
    /// Check a folder and bring it into force for the whole fleet, or not at all.
    ///
    /// Exits 0 if it is in force, 1 if it is not and will not be, 3 if that is not known yet, 2 for bad usage.
    Publish {
        /// The folder: a file NAME.toml for each application.
        folder: PathBuf,
        /// Which regions it is for. With all, any region's control may be named: the change goes to the one that
        /// coordinates.
        #[arg(long, value_enum, default_value_t)]
        scope: Scope,
        #[command(flatten)]
        at: At,
    },
    /// Tell what is in force, what is under way, who holds it up, and which proxies there are.
    Status {
        #[command(flatten)]
        at: At,
    },
    /// Tell the changes that control remembers.
    History {
        #[command(flatten)]
        at: At,
    },
    /// Publish an earlier generation again. Exits as publish does.
    Rollback {
        /// Its number.
        generation: u64,
        /// Which regions it is for; with all, the number is the coordinator's.
        #[arg(long, value_enum, default_value_t)]
        scope: Scope,
        #[command(flatten)]
        at: At,
    },
    /// Give the change under way up.
    Abort {
        /// Why, for the history.
        #[arg(long, default_value = "given up by an operator")]
        why: String,
        #[command(flatten)]
        at: At,
    },
    /// Answer for it that a proxy runs no more: changes wait for it no longer, and it gets no lease any more.
    Evict {
        /// Its name.
        name: String,
        /// Which start of it, as status shows it.
        #[arg(long, value_parser = |text: &str| u64::from_str_radix(text, 16))]
        incarnation: Option<u64>,
        #[command(flatten)]
        at: At,
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
        Command::Publish { folder, scope, at } => publish(&folder, scope, &at, format),
        Command::Status { at } => standing(&at, format, fleet::Standing::human),
        Command::History { at } => standing(&at, format, fleet::Standing::history),
        Command::Rollback {
            generation,
            scope,
            at,
        } => rollback(generation, scope, &at, format),
        Command::Abort { why, at } => with_control(&at, async |control| {
            let generation = control.abort(&why).await?;
            println!("the change to generation {generation} comes to nothing");
            Ok(ExitCode::SUCCESS)
        }),
        Command::Evict {
            name,
            incarnation,
            at,
        } => with_control(&at, async |control| {
            control.evict(&name, incarnation).await?;
            println!("{name} is evicted");
            Ok(ExitCode::SUCCESS)
        }),
    }
}

/// Asks control.
fn with_control(
    at: &At,
    ask: impl AsyncFnOnce(&mut Control) -> Result<ExitCode, String>,
) -> ExitCode {
    let asked = || {
        let mut control = Control::new(at)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .map_err(|e| e.to_string())?
            .block_on(ask(&mut control))
    };
    asked().unwrap_or_else(failed)
}

fn standing(at: &At, format: Format, human: fn(&fleet::Standing) -> String) -> ExitCode {
    with_control(at, async |control| {
        let standing = control.standing().await.map_err(|e| e.to_string())?;
        match format {
            Format::Human => print!("{}", human(&standing)),
            Format::Json => print!("{}", json(&standing)),
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn publish(folder: &Path, scope: Scope, at: &At, format: Format) -> ExitCode {
    let paths = match fleet::to_check(folder) {
        Ok(paths) => paths,
        Err(fault) => return failed(fault),
    };
    let report = commands::check(&paths.iter().map(PathBuf::as_path).collect::<Vec<_>>()).0;
    if !report.good() {
        return tell(&report, format);
    }
    let files = match fleet::folder(folder) {
        Ok(files) => files,
        Err(fault) => return failed(fault),
    };
    with_control(at, async |control| {
        go_where(control, scope, format).await?;
        follow(control, scope, files, format).await
    })
}

fn rollback(generation: u64, scope: Scope, at: &At, format: Format) -> ExitCode {
    with_control(at, async |control| {
        go_where(control, scope, format).await?;
        let files = control.files(generation).await.map_err(|e| e.to_string())?;
        follow(control, scope, files, format).await
    })
}

/// Goes where a change of this scope is published.
async fn go_where(control: &mut Control, scope: Scope, format: Format) -> Result<(), String> {
    if scope == Scope::All {
        let coordinator = control.go_to_coordinator().await?;
        if format == Format::Human {
            println!("a change of all regions, by region {coordinator}");
        }
    }
    Ok(())
}

/// Shows the difference to what is in force, publishes, and follows the change to its end.
async fn follow(
    control: &mut Control,
    scope: Scope,
    files: std::collections::HashMap<String, String>,
    format: Format,
) -> Result<ExitCode, String> {
    let standing = control.standing().await.map_err(|e| e.to_string())?;
    let human = format == Format::Human;
    if let Some(generation) = standing.in_force.filter(|_| human) {
        let old = control.files(generation).await.map_err(|e| e.to_string())?;
        print!("{}", fleet::difference(&old, &files));
    }
    let done = control
        .publish_for(scope, &files, standing.revision, |held| {
            held.iter()
                .filter(|_| human)
                .for_each(|h| println!("held up by {}", h.human()));
        })
        .await;
    let number = done
        .generation
        .map_or("it".to_owned(), |g| format!("generation {g}"));
    if !human {
        print!("{}", json(&done));
    }
    Ok(match done.outcome {
        Outcome::InForce => {
            if human {
                println!("{number} is in force, after {} ms", done.took_ms);
            }
            ExitCode::SUCCESS
        }
        Outcome::NotInForce => failed(format!(
            "{number} is not in force, and will not be: {}",
            done.why
        )),
        Outcome::NotKnown => {
            eprintln!(
                "badgerramp-config: whether {number} is in force is not known yet: {}",
                done.why
            );
            ExitCode::from(3)
        }
    })
}

fn failed(text: impl std::fmt::Display) -> ExitCode {
    eprintln!("badgerramp-config: {text}");
    ExitCode::FAILURE
}

/// Tells a report; its exit says whether it is good.
fn tell(report: &Report, format: Format) -> ExitCode {
    match format {
        Format::Human => print!("{}", report.human()),
        Format::Json => println!("{}", report.json()),
    }
    if report.good() {
        return ExitCode::SUCCESS;
    }
    let counts: Vec<String> = commands::counts(report)
        .iter()
        .map(|(code, n)| format!("{n} {code}"))
        .collect();
    failed(format!(
        "{} found: {}",
        report.findings.len(),
        counts.join(", ")
    ))
}

fn init(file: &Path) -> ExitCode {
    if file == Path::new("-") {
        print!("{STARTING}");
        return ExitCode::SUCCESS;
    }
    let made = std::fs::File::create_new(file)
        .and_then(|mut f| std::io::Write::write_all(&mut f, STARTING.as_bytes()));
    match made {
        Ok(()) => {
            println!(
                "{}: written; next: badgerramp-config write {} --out sidecars",
                file.display(),
                file.display()
            );
            ExitCode::SUCCESS
        }
        Err(fault) => failed(format!("{}: {fault}", file.display())),
    }
}

fn write(
    description: &Path,
    out: &Path,
    (dry_run, force): (bool, bool),
    format: Format,
) -> ExitCode {
    let written = match commands::compose(description) {
        Ok(written) => written,
        Err(report) => return tell(&report, format),
    };
    let plan = commands::plan(&written, out);
    let Plan {
        write,
        remove,
        by_hand,
        diff,
    } = &plan;
    if dry_run {
        print!("{diff}");
    }
    if !by_hand.is_empty() && !force {
        return failed(format!(
            "changed by hand since they were written, or not written by this program: {}; nothing was written. \
             Carry the change into the description, or write with --force",
            by_hand.join(", ")
        ));
    }
    if !dry_run {
        if let Err(fault) = commands::carry_out(&plan, out) {
            return failed(format!("{}: {fault}", out.display()));
        }
    }
    if format == Format::Json {
        return tell(&written.report, format);
    }
    let done = if dry_run { "would be" } else { "were" };
    println!(
        "{} of {} files {done} written, {} removed, in {}",
        write.len(),
        written.files.len(),
        remove.len(),
        out.display()
    );
    tell(&written.report, format)
}

fn check(against: Option<&Path>, paths: &[PathBuf], format: Format) -> ExitCode {
    let report = match (against, paths) {
        (None, paths) => commands::check(&paths.iter().map(PathBuf::as_path).collect::<Vec<_>>()).0,
        (Some(old), [new]) if new.is_dir() => commands::check_against(old, new),
        (Some(_), _) => {
            eprintln!("badgerramp-config: --against takes one folder to check");
            return ExitCode::from(2);
        }
    };
    tell(&report, format)
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
        Err(mistakes) => {
            eprint!("{mistakes}");
            return failed(format!("{} mistakes", mistakes.count()));
        }
    };
    let text = match (request, class) {
        (Some(request), _) => match explain::request_of(&request, headers) {
            Ok((method, path, headers)) => {
                explain::request(&config, &method, &path, &headers, client).map(|told| match format
                {
                    Format::Human => told.human(&config),
                    Format::Json => json(&told),
                })
            }
            Err(fault) => {
                eprintln!("badgerramp-config: {fault}");
                return ExitCode::from(2);
            }
        },
        (None, Some(class)) => explain::class(&config, &class).map(|courses| match format {
            Format::Human => courses.iter().map(explain::Course::human).collect(),
            Format::Json => json(&courses),
        }),
        (None, None) => return ExitCode::from(2),
    };
    match text {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(fault) => failed(fault),
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|e| format!("{{\"fault\":\"{e}\"}}")) + "\n"
}
