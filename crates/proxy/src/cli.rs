//! The command line.

use crate::{platform, program, sidecar};
use badgerramp_config::{Config, Deployment, Diagnostics};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A client proxy with client-side load balancing.
///
/// Without a command it runs on the platform: `RELAY_CONFIG` names its configuration (JSON). `run` needs only the operator's
/// file. SIGHUP reloads the files; an invalid file changes nothing. On SIGTERM the program exits once all accepted requests
/// have finished.
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
    /// Run as a sidecar, configured by the operator's file.
    Run {
        /// The operator's file.
        file: PathBuf,
    },
    /// Show what a running proxy knows of its peers: the endpoint list, its source and its age, which proxies poll the list
    /// service, and how many are alive. Exits 0, or 1 if the proxy does not answer.
    Peers {
        /// The operator's file of the proxy, with [peers].
        file: PathBuf,
        /// The address at which it receives gossip, if the file has port 0.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Check operator's files. Exits 0 if all are valid, 1 if any has mistakes, 2 for bad usage.
    Check {
        /// The platform's configuration, against which files with `platform = true` are checked.
        #[arg(long, value_name = "FILE")]
        relay_config: Option<PathBuf>,
        /// The files to check.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// Runs the program with these command-line arguments, the first of which is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => {
            // Help and version are printed this way too.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2));
        }
    };
    let result = match cli.command {
        None => platform::run(cli.operator),
        Some(Command::Run { file }) => sidecar::run(file),
        Some(Command::Peers { file, at, json }) => crate::peers_command::run(&file, at, json),
        Some(Command::Check {
            relay_config,
            files,
        }) => return check(relay_config.as_deref(), &files),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(program::Error::Diagnostics(diagnostics)) => {
            eprint!("{diagnostics}");
            eprintln!("badgerramp: {}", describe_count(&diagnostics));
            ExitCode::FAILURE
        }
        Err(program::Error::Other(error)) => {
            eprintln!("badgerramp: {error}");
            ExitCode::FAILURE
        }
    }
}

fn describe_count(diagnostics: &Diagnostics) -> String {
    match diagnostics.count() {
        1 => "1 mistake".to_owned(),
        count => format!("{count} mistakes"),
    }
}

fn check(relay_config: Option<&Path>, files: &[PathBuf]) -> ExitCode {
    let platform_settings = match relay_config.map(platform::read_settings).transpose() {
        Ok(platform_settings) => platform_settings,
        Err(error) => {
            eprintln!("badgerramp: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut all_valid = true;
    for file in files {
        let check_against_platform = |config: Config| {
            config
                .warnings
                .iter()
                .for_each(|warning| eprintln!("warning: {}: {warning}", file.display()));
            match (&platform_settings, config.deployment) {
                (Some(platform_settings), Deployment::Platform) => {
                    badgerramp_config::narrow(&config, platform_settings).map(|_| ())
                }
                _ => Ok(()),
            }
        };
        match badgerramp_config::load(file).and_then(check_against_platform) {
            Ok(()) => println!("{}: good", file.display()),
            Err(diagnostics) => {
                all_valid = false;
                eprint!("{diagnostics}");
                println!("{}: {}", file.display(), describe_count(&diagnostics));
            }
        }
    }
    if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
