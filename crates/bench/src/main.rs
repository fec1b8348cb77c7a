//! The program beside a plain pass-through, in one run on one pinned core: throughput, times, CPU a request and
//! memory, by size of the fleet and number of clients. `docs/large-fleets.md` has the command and its figures.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod chain;
mod chart;
mod control;
mod fleet;
mod hosts;
mod latency;
mod list;
mod load;
mod peers_calm;
mod plain;
mod policy;
mod process;
mod quiet;

use clap::{Parser, Subcommand};
use std::error::Error;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// What went wrong.
type Fault = Box<dyn Error>;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Measures and prints the tables.
    Fleet {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_value = "12,100,1000,10000")]
        endpoints: Vec<usize>,
        /// Numbers of client connections.
        #[arg(long, value_delimiter = ',', default_value = "1,64,512")]
        connections: Vec<usize>,
        /// Seconds of each course.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Courses of each, taken in turn; middle figures and middle ratios count.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Another build of the program, measured as well.
        #[arg(long)]
        other: Option<PathBuf>,
        /// The program with `[policy]` too, beside a replica of control.
        #[arg(long, conflicts_with = "other")]
        policy: bool,
        /// Lines that are added to the operator's file.
        #[arg(long, default_value = "")]
        extra: String,
    },
    /// Many quiet proxies as real processes: connections and questions against the stated bounds.
    Quiet {
        #[arg(long, default_value_t = 2_000)]
        proxies: u32,
        #[arg(long, default_value_t = 1_000)]
        endpoints: usize,
        /// Seconds of the calm scene.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Requests a second to all proxies together.
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
        /// Where the chart of questions goes.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// A chain of services through sidecars whose last service fails: requests that reach each depth.
    Chain(chain::Plan),
    /// What a sidecar adds to a call's time, in an open loop.
    Latency(latency::Plan),
    /// What peers send each other while nothing happens, in virtual time.
    PeersCalm(peers_calm::Plan),
    /// What it costs to look whether a call may begin, with and without a lease to look at.
    Gate,
    /// What news of a long list costs.
    List {
        #[arg(long, value_delimiter = ',', default_value = "100,1000,10000")]
        endpoints: Vec<usize>,
    },
    /// Memory of the program that holds no connection, by size of the fleet.
    Memory {
        #[arg(long, value_delimiter = ',', default_value = "12,1000,10000")]
        endpoints: Vec<usize>,
    },
    /// A client proxy for the platform's bench that refuses every request at once and logs its id: what is lost with
    /// it in the program's place was not lost by the program.
    Control {
        /// Never answer one request, as NAME:NUMBER, so that the bench can be seen to name it.
        #[arg(long, value_name = "NAME:NUMBER")]
        ignore: Option<control::Ignored>,
    },
    /// The program under measure, pinned to a core.
    #[command(hide = true)]
    Pinned {
        core: usize,
        program: PathBuf,
        arguments: Vec<String>,
    },
    #[command(hide = true)]
    Proxy { file: PathBuf },
    #[command(hide = true)]
    Hosts,
    #[command(hide = true)]
    Plain { endpoints: usize, ports: Vec<u16> },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().what {
        What::Proxy { file } => {
            return badgerramp::cli::main(["badgerramp".into(), "run".into(), file.into()])
        }
        what => measure(what),
    };
    if let Err(fault) = done {
        eprintln!("{fault}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn measure(what: What) -> Result<(), Fault> {
    match what {
        What::Fleet {
            endpoints,
            connections,
            seconds,
            rounds,
            other,
            policy,
            extra,
        } => {
            let course = fleet::Course {
                seconds,
                rounds,
                other,
                policy,
                extra,
            };
            runtime()?.block_on(fleet::fleet(&endpoints, &connections, &course))
        }
        What::Quiet {
            proxies,
            endpoints,
            seconds,
            rate,
            svg,
        } => {
            let plan = quiet::Plan {
                proxies,
                endpoints,
                seconds,
                rate,
                svg,
            };
            tokio::task::LocalSet::new().block_on(&runtime()?, quiet::play(&plan))
        }
        What::Chain(plan) => tokio::task::LocalSet::new().block_on(&runtime()?, chain::run(&plan)),
        What::Latency(plan) => latency::run(&plan),
        What::PeersCalm(plan) => peers_calm::run(&plan),
        What::Gate => {
            policy::gate();
            Ok(())
        }
        What::List { endpoints } => list::play(&endpoints),
        What::Control { ignore } => Ok(control::serve(ignore)?),
        What::Memory { endpoints } => runtime()?.block_on(fleet::memory(&endpoints)),
        What::Pinned {
            core,
            program,
            arguments,
        } => {
            let mut cores = rustix::thread::CpuSet::new();
            cores.set(core);
            rustix::thread::sched_setaffinity(None, &cores)?;
            Err(Command::new(program).args(arguments).exec().into())
        }
        What::Proxy { .. } => Ok(()),
        What::Hosts => Ok(hosts::serve()?),
        What::Plain { endpoints, ports } => Ok(plain::serve(endpoints, &ports)?),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
