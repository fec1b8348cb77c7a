//! The command line of `badgerramp-control`.

use crate::server;
use crate::settings::Settings;
use crate::store::Store;
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::prelude::*;

/// Control of the policy of a fleet of client proxies: one replica, three or five.
///
/// Exits 0 when it is told to stop (SIGTERM), 1 with what is wrong, 2 for bad usage.
#[derive(Parser)]
#[command(name = "badgerramp-control", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check the file of a replica.
    Check { file: PathBuf },
    /// Make the store of a replica that has never run.
    Create { file: PathBuf },
    /// Run a replica.
    Serve { file: PathBuf },
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
        Command::Check { file } => Settings::load(&file)
            .map_err(|e| e.to_string())
            .map(|_| println!("{}: good", file.display())),
        Command::Create { file } => create(&file),
        Command::Serve { file } => run(&file),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerramp-control: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn create(file: &Path) -> Result<(), String> {
    let settings = Settings::load(file).map_err(|e| e.to_string())?;
    let shown = settings.store.display();
    Store::create(&settings.store, settings.replica).map_err(|e| format!("store {shown}: {e}"))?;
    println!("{shown}: made, for replica {}", settings.replica);
    Ok(())
}

fn run(file: &Path) -> Result<(), String> {
    let settings = Settings::load(file).map_err(|e| e.to_string())?;
    // The consensus library tells much more than an operator wants to know.
    let own = |m: &tracing::Metadata<'_>| {
        m.target().starts_with("badgerramp") || *m.level() <= tracing::Level::ERROR
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    let lines = lines.with_filter(tracing_subscriber::filter::filter_fn(own));
    tracing_subscriber::registry().with(lines).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        server::run(settings, async move {
            term.recv().await;
        })
        .await
    })
}
