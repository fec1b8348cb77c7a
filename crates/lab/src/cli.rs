//! The command line.

use crate::play::{virtually, Options};
use crate::scenario_file;
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

#[derive(Parser)]
#[command(name = "badgerramp-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    Hunt {
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long, default_value_t = 1000)]
        count: u64,
        #[arg(long)]
        shrink: bool,
    },
}

/// Runs.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(arguments);
    match cli.command {
        Command::Hunt { first, count, shrink } => {
            let began = std::time::Instant::now();
            let h = crate::hunt::Hunt {
                first,
                count,
                time: std::time::Duration::from_secs(600),
                threads: 4,
                stop: false,
            };
            let found =
                crate::hunt::hunt(virtually, h, &std::sync::atomic::AtomicBool::new(false), |_, _| {})
                    .unwrap();
            println!(
                "{} played, {} requests, {:.1} s",
                found.played,
                found.requests,
                began.elapsed().as_secs_f64()
            );
            for (s, f) in &found.finds {
                println!("{} x{}  number {} {:?}", s, f.count, f.number, f.broken);
                if shrink {
                    let sc = crate::generate::scenario(f.number);
                    if let Some(s) = crate::hunt::shrink(
                        virtually,
                        &sc,
                        crate::hunt::options(f.number),
                        f.broken.rule,
                        3000,
                    ) {
                        println!(
                            "   -> {} events, {} hosts, {} plays {:?}",
                            s.scenario.events(),
                            s.scenario.hosts.len(),
                            s.plays,
                            s.broken
                        );
                    }
                }
            }
            println!("{:?}", found.losses);
        }
        Command::Run { scenario, seed } => {
            let scenario = match scenario_file::load(&scenario) {
                Ok(s) => Arc::new(s),
                Err(m) => {
                    eprint!("{m}");
                    return ExitCode::FAILURE;
                }
            };
            let began = std::time::Instant::now();
            let course = virtually(&scenario, Options { seed, ..Options::default() })
                .unwrap_or_else(|e| panic!("{e}"));
            let took = began.elapsed();
            println!("{}", serde_json::to_string_pretty(&course.summary("virtual", seed)).unwrap());
            for b in &course.broken {
                println!("{b:?}");
            }
            println!(
                "{:.3} s, {:.0} requests a second; utilisation {:.2}",
                took.as_secs_f64(),
                course.total().tries as f64 / took.as_secs_f64(),
                scenario.utilisation()
            );
        }
    }
    ExitCode::SUCCESS
}
