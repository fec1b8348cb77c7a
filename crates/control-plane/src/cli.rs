//! Command line of `badgerramp-control`.

use crate::server::{self, ServerError};
use crate::settings::{Settings, SettingsError};
use crate::store::{Store, StoreError};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tracing::{Level, Metadata};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::prelude::*;

/// Exit code for invalid usage.
const BAD_USAGE: u8 = 2;
/// Threads that serve requests.
const WORKER_THREADS: usize = 2;

/// Control plane for the policy of a fleet of client proxies, with one, three or five replicas.
///
/// Exits with 0 after SIGTERM, with 1 and a message on an error, and with 2 on invalid usage.
#[derive(Parser)]
#[command(name = "badgerramp-control", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check the settings file of a replica.
    Check { file: PathBuf },
    /// Create the store of a replica that has never run.
    Create { file: PathBuf },
    /// Run a replica.
    Serve { file: PathBuf },
}

/// Why a command has failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("store {}: {source}", path.display())]
    Store {
        path: PathBuf,
        source: Box<StoreError>,
    },
    #[error(transparent)]
    Server(#[from] ServerError),
    #[error(transparent)]
    Runtime(#[from] io::Error),
}

/// Runs the program with these arguments, of which the first is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(message) => {
            // Help and version output are also reported as an error.
            let _ = message.print();
            return ExitCode::from(u8::try_from(message.exit_code()).unwrap_or(BAD_USAGE));
        }
    };
    let result = match cli.command {
        Command::Check { file } => check(&file),
        Command::Create { file } => create(&file),
        Command::Serve { file } => serve(&file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerramp-control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path) -> Result<(), CommandError> {
    Settings::load(file)?;
    println!("{}: good", file.display());
    Ok(())
}

fn create(file: &Path) -> Result<(), CommandError> {
    let Settings { store, replica, .. } = Settings::load(file)?;
    if let Err(source) = Store::create(&store, replica) {
        return Err(CommandError::Store {
            path: store,
            source: Box::new(source),
        });
    }
    println!("{}: created for replica {replica}", store.display());
    Ok(())
}

fn serve(file: &Path) -> Result<(), CommandError> {
    let settings = Settings::load(file)?;
    init_logging();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let stop = async move {
            terminate.recv().await;
        };
        Ok(server::run(settings, stop).await?)
    })
}

fn init_logging() {
    let events = tracing_subscriber::fmt::layer()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_filter(filter_fn(is_logged));
    tracing_subscriber::registry().with(events).init();
}

/// Returns whether an event is logged: all of this program's events, and only errors of the consensus library, which logs
/// far more than operators need.
fn is_logged(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with("badgerramp") || *metadata.level() <= Level::ERROR
}
