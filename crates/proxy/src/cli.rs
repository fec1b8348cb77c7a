//! The command line.

use crate::{platform, program, sidecar};
use badgerramp_config::{Config, Deployment, Diagnostics};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A client proxy with client-side load balancing.
///
/// Without a command it runs on the platform: `RELAY_CONFIG` names its configuration (JSON). `run` needs nothing but the
/// operator's file. On SIGHUP the files are read again, and a bad one changes nothing; on SIGTERM what was taken is
/// finished.
#[derive(Parser)]
#[command(name = "badgerramp", version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// An operator's file (with `platform = true`) that narrows what the platform sets.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run as a sidecar that stands alone.
    Run {
        /// The operator's file.
        file: PathBuf,
    },
    /// Show what a running proxy knows of the others of its fleet: which list, from whom, how old; who asks; who is
    /// alive. Exits 0, or 1 if it does not answer.
    Peers {
        /// Its operator's file, with [peers].
        file: PathBuf,
        /// Where it hears the others, if the file has port 0.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Check operator's files. Exits 0 if all are good, 1 with their mistakes, 2 for bad usage.
    Check {
        /// The platform's configuration that files with `platform = true` are held against.
        #[arg(long, value_name = "FILE")]
        relay_config: Option<PathBuf>,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
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
    let done = match cli.command {
        None => platform::run(cli.operator),
        Some(Command::Run { file }) => sidecar::run(file),
        Some(Command::Peers { file, at, json }) => crate::look::run(&file, at, json),
        Some(Command::Check {
            relay_config,
            files,
        }) => return check(relay_config.as_deref(), &files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(program::Fault::Diagnostics(mistakes)) => {
            eprint!("{mistakes}");
            eprintln!("badgerramp: {}", count(&mistakes));
            ExitCode::FAILURE
        }
        Err(program::Fault::Other(fault)) => {
            eprintln!("badgerramp: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn count(mistakes: &Diagnostics) -> String {
    match mistakes.count() {
        1 => "1 mistake".to_owned(),
        more => format!("{more} mistakes"),
    }
}

fn check(relay_config: Option<&Path>, files: &[PathBuf]) -> ExitCode {
    let facts = match relay_config.map(platform::facts_of).transpose() {
        Ok(facts) => facts,
        Err(fault) => {
            eprintln!("badgerramp: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let mut all_good = true;
    for file in files {
        let held = |config: Config| {
            config
                .warnings
                .iter()
                .for_each(|w| eprintln!("warning: {}: {w}", file.display()));
            match (&facts, config.deployment) {
                (Some(facts), Deployment::Platform) => {
                    badgerramp_config::narrow(&config, facts).map(|_| ())
                }
                _ => Ok(()),
            }
        };
        match badgerramp_config::load(file).and_then(held) {
            Ok(()) => println!("{}: good", file.display()),
            Err(mistakes) => {
                all_good = false;
                eprint!("{mistakes}");
                println!("{}: {}", file.display(), count(&mistakes));
            }
        }
    }
    if all_good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
