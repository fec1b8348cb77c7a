//! Load on the program and on a plain reverse proxy, by the number of endpoints and of client connections.

use crate::process::{start_hosts, Process, TemporaryFile};
use crate::{hosts, load, policy, BenchError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of requests of one run.
const MAX_REQUESTS: u64 = 2_000_000;

/// The options of the benchmark.
pub(crate) struct Options {
    pub seconds: f64,
    pub rounds: usize,
    pub other: Option<PathBuf>,
    pub policy: bool,
    pub extra: String,
}

/// The results of one run.
#[derive(Clone, Copy)]
struct Measurement {
    rate: f64,
    p50: u64,
    p99: u64,
    cpu: f64,
    not_ok: u64,
}

async fn run_load(
    process: &Process,
    connections: usize,
    seconds: f64,
) -> Result<Measurement, BenchError> {
    let before = process.cpu()?;
    let outcome = load::run(
        process.address,
        connections,
        Duration::from_secs_f64(seconds),
        MAX_REQUESTS,
    )
    .await?;
    let cpu = process.cpu()? - before;
    let answered = outcome.answered.max(1) as f64;
    Ok(Measurement {
        rate: answered / outcome.elapsed.as_secs_f64(),
        p50: outcome.times.value_at_quantile(0.5),
        p99: outcome.times.value_at_quantile(0.99),
        cpu: cpu / answered,
        not_ok: outcome.not_ok,
    })
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

fn operators_file(discovery: SocketAddr, extra: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n{extra}\n[limits]\nmemory = \"512MiB\"\ndescriptors = 19000\nopen_calls = 5000\n\
         [upstream]\ndiscovery = \"{discovery}\"\n[class.safe]\naim = \"5s\"\ndeadline = \"10s\"\neffect = \"safe\"\n\
         attempts = 1\n[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nmethods = [\"GET\"]\nclass = \"safe\"\n"
    )
}

async fn write_proxy_file(
    endpoints: usize,
    ports: &[u16],
    extra: &str,
) -> Result<TemporaryFile, BenchError> {
    let discovery = hosts::discovery(endpoints, ports).await?;
    let name = format!(
        "badgerramp-bench-{}-{endpoints}-{}.toml",
        std::process::id(),
        discovery.port()
    );
    TemporaryFile::write(&name, &operators_file(discovery, extra))
}

/// Measures each number of endpoints with each number of client connections, and prints the table.
pub(crate) async fn run(
    sizes: &[usize],
    connection_counts: &[usize],
    options: &Options,
) -> Result<(), BenchError> {
    let own_program = std::env::current_exe()?;
    println!("endpoints  clients  what      requests/s   of plain  p50 us  p99 us  CPU us/request  of plain  not 200");
    for &endpoints in sizes {
        // Each program has its own hosts process: connections to 10,000 endpoints are about as many as one process may hold.
        let started = [start_hosts()?, start_hosts()?, start_hosts()?];
        let [ports, own_ports, other_ports] = started.each_ref().map(|(_, ports)| ports.clone());
        let file = write_proxy_file(endpoints, &own_ports, &options.extra).await?;
        let path = file.path();
        let mut arguments = vec!["plain".to_owned(), endpoints.to_string()];
        arguments.extend(ports.iter().map(u16::to_string));
        let mut all = vec![
            ("plain", Process::start(&own_program, &arguments)?),
            (
                "proxy",
                Process::start(&own_program, &["proxy".to_owned(), path.clone()])?,
            ),
        ];
        let mut files = Vec::new();
        if let Some(other) = &options.other {
            files.push(write_proxy_file(endpoints, &other_ports, &options.extra).await?);
            let path = files[0].path();
            all.push(("other", Process::start(other, &["run".to_owned(), path])?));
        }
        let control = if options.policy {
            Some(policy::Control::start()?)
        } else {
            None
        };
        if let Some(control) = &control {
            let extra = format!("{}\n{}", options.extra, control.table());
            files.push(write_proxy_file(endpoints, &other_ports, &extra).await?);
            control
                .publish(std::fs::read_to_string(files[0].path())?)
                .await?;
            let path = files[0].path();
            all.push((
                "policy",
                Process::start(&own_program, &["proxy".to_owned(), path])?,
            ));
        }
        // Before the measurement, each program receives its endpoint list and opens its connections.
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (_, process) in &all {
            run_load(process, 64, options.seconds / 2.0).await?;
        }
        for &connections in connection_counts {
            let mut measurements: Vec<Vec<Measurement>> = vec![Vec::new(); all.len()];
            for _ in 0..options.rounds {
                for (index, (_, process)) in all.iter().enumerate() {
                    measurements[index]
                        .push(run_load(process, connections, options.seconds).await?);
                }
            }
            for ((name, _), all) in all.iter().zip(&measurements) {
                // Ratios are taken within a round, because the speed of the machine varies over time.
                let ratio_to_plain = |get: fn(&Measurement) -> f64| {
                    median(
                        all.iter()
                            .zip(&measurements[0])
                            .map(|(own, plain)| get(own) / get(plain))
                            .collect(),
                    )
                };
                let median_of =
                    |get: fn(&Measurement) -> f64| median(all.iter().map(get).collect());
                println!(
                    "{endpoints:>9} {connections:>8}  {name:<8} {:>11.0} {:>10.2} {:>7.0} {:>7.0} {:>15.1} {:>9.2} {:>8}",
                    median_of(|f| f.rate),
                    ratio_to_plain(|f| f.rate),
                    median_of(|f| f.p50 as f64),
                    median_of(|f| f.p99 as f64),
                    median_of(|f| f.cpu),
                    ratio_to_plain(|f| f.cpu),
                    all.iter().map(|f| f.not_ok).sum::<u64>()
                );
            }
            if let [_, own, third] = measurements.as_slice() {
                let ratio_to_proxy = |get: fn(&Measurement) -> f64| {
                    median(
                        third
                            .iter()
                            .zip(own)
                            .map(|(a, b)| get(a) / get(b))
                            .collect(),
                    )
                };
                let (cpu, rate) = (ratio_to_proxy(|f| f.cpu), ratio_to_proxy(|f| f.rate));
                println!("{endpoints:>9} {connections:>8}  {} of proxy, round by round: CPU {cpu:.3}, rate {rate:.3}", all[2].0);
            }
        }
    }
    Ok(())
}

/// Prints the memory of the program without connections, by the number of endpoints.
pub(crate) async fn memory(sizes: &[usize]) -> Result<(), BenchError> {
    println!("endpoints  resident KiB  bytes an endpoint beyond the first size");
    let mut first: Option<(usize, u64)> = None;
    for &endpoints in sizes {
        let file = write_proxy_file(endpoints, &[9], "").await?;
        let process = Process::start(
            &std::env::current_exe()?,
            &["proxy".to_owned(), file.path()],
        )?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let kib = process.memory()?;
        let (first_size, base_kib) = *first.get_or_insert((endpoints, kib));
        let additional = (endpoints - first_size).max(1) as u64;
        println!(
            "{endpoints:>9} {kib:>13} {:>10}",
            kib.saturating_sub(base_kib) * 1024 / additional
        );
    }
    Ok(())
}
