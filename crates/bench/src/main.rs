//! Benchmarks of the program. The main one compares it with a plain reverse proxy, both pinned to one core, in throughput,
//! latency, CPU time per request and memory, by the number of endpoints and of client connections. `docs/large-fleets.md`
//! lists the commands and their results.
#![forbid(unsafe_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "signatures are still to be narrowed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod chain;
mod chart;
mod control;
mod fleet;
mod hosts;
mod idle_fleet;
mod idle_gossip;
mod latency;
mod list;
mod load;
mod plain;
mod policy;
mod process;

use clap::{Parser, Subcommand};
use std::error::Error;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// The error of a benchmark.
type BenchError = Box<dyn Error>;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Subcommand)]
enum Benchmark {
    /// Compare the program with a plain reverse proxy under load, and print a table.
    Fleet {
        /// Numbers of endpoints.
        #[arg(long, value_delimiter = ',', default_value = "12,100,1000,10000")]
        endpoints: Vec<usize>,
        /// Numbers of client connections.
        #[arg(long, value_delimiter = ',', default_value = "1,64,512")]
        connections: Vec<usize>,
        /// Duration of each run, in seconds.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Number of runs of each program, in turn; the table shows medians of the results and of their ratios.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Another build of the program to measure as well.
        #[arg(long)]
        other: Option<PathBuf>,
        /// Also measure the program with a `[policy]` section and a control-plane replica.
        #[arg(long, conflicts_with = "other")]
        policy: bool,
        /// Lines to add to the operator's file.
        #[arg(long, default_value = "")]
        extra: String,
    },
    /// Run many idle proxies as processes, and compare their connections and list polls with the documented bounds.
    Quiet {
        /// Number of proxies.
        #[arg(long, default_value_t = 2_000)]
        proxies: u32,
        /// Number of endpoints.
        #[arg(long, default_value_t = 1_000)]
        endpoints: usize,
        /// Duration of the idle phase, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Requests per second to all proxies together.
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
        /// Write a chart of the list polls to this file, as SVG.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Count the requests that reach each service of a chain, called through sidecars, whose last service fails.
    Chain(chain::Options),
    /// Measure the latency that a sidecar adds to a call, with an open-loop load generator.
    Latency(latency::Options),
    /// Measure the gossip traffic of an idle fleet in virtual time.
    #[command(name = "peers-calm")]
    IdleGossip(idle_gossip::Options),
    /// Measure the cost of the lease checks that admit a call.
    Gate,
    /// Measure the cost of updates of a long endpoint list.
    List {
        /// Numbers of endpoints.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,10000")]
        endpoints: Vec<usize>,
    },
    /// Measure the memory of the program without connections, by the number of endpoints.
    Memory {
        /// Numbers of endpoints.
        #[arg(long, value_delimiter = ',', default_value = "12,1000,10000")]
        endpoints: Vec<usize>,
    },
    /// Run a control experiment for the platform's benchmark: a client proxy that rejects every request at once and logs its
    /// id. Requests that the benchmark loses with it are not lost by the program.
    Control {
        /// Never answer one request, given as NAME:NUMBER, to verify that the benchmark reports it as lost.
        #[arg(long, value_name = "NAME:NUMBER")]
        ignore: Option<control::Ignored>,
    },
    /// Run a program pinned to a core.
    #[command(hide = true)]
    Pinned {
        core: usize,
        program: PathBuf,
        arguments: Vec<String>,
    },
    /// Run the program as a proxy.
    #[command(hide = true)]
    Proxy { file: PathBuf },
    /// Run the stand-in hosts.
    #[command(hide = true)]
    Hosts,
    /// Run the plain reverse proxy.
    #[command(hide = true)]
    Plain { endpoints: usize, ports: Vec<u16> },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().benchmark {
        Benchmark::Proxy { file } => {
            return badgerramp::cli::main(["badgerramp".into(), "run".into(), file.into()])
        }
        benchmark => measure(benchmark),
    };
    if let Err(error) = result {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn measure(benchmark: Benchmark) -> Result<(), BenchError> {
    match benchmark {
        Benchmark::Fleet {
            endpoints,
            connections,
            seconds,
            rounds,
            other,
            policy,
            extra,
        } => {
            let options = fleet::Options {
                seconds,
                rounds,
                other,
                policy,
                extra,
            };
            build_runtime()?.block_on(fleet::run(&endpoints, &connections, &options))
        }
        Benchmark::Quiet {
            proxies,
            endpoints,
            seconds,
            rate,
            svg,
        } => {
            let options = idle_fleet::Options {
                proxies,
                endpoints,
                seconds,
                rate,
                svg,
            };
            tokio::task::LocalSet::new().block_on(&build_runtime()?, idle_fleet::run(&options))
        }
        Benchmark::Chain(options) => {
            tokio::task::LocalSet::new().block_on(&build_runtime()?, chain::run(&options))
        }
        Benchmark::Latency(options) => latency::run(&options),
        Benchmark::IdleGossip(options) => idle_gossip::run(&options),
        Benchmark::Gate => {
            policy::bench_gate();
            Ok(())
        }
        Benchmark::List { endpoints } => list::run(&endpoints),
        Benchmark::Control { ignore } => Ok(control::serve(ignore)?),
        Benchmark::Memory { endpoints } => build_runtime()?.block_on(fleet::memory(&endpoints)),
        Benchmark::Pinned {
            core,
            program,
            arguments,
        } => {
            let mut cores = rustix::thread::CpuSet::new();
            cores.set(core);
            rustix::thread::sched_setaffinity(None, &cores)?;
            Err(Command::new(program).args(arguments).exec().into())
        }
        Benchmark::Proxy { .. } => Ok(()),
        Benchmark::Hosts => Ok(hosts::serve()?),
        Benchmark::Plain { endpoints, ports } => Ok(plain::serve(endpoints, &ports)?),
    }
}

fn build_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
