//! Courses of load on the program and on a plain pass-through, by size of the fleet and number of clients.

use crate::process::{start_hosts, Process, TemporaryFile};
use crate::{hosts, load, policy, Fault};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Most requests of one course.
const REQUESTS_MOST: u64 = 2_000_000;

/// What is measured, and for how long.
pub(crate) struct Course {
    pub seconds: f64,
    pub rounds: usize,
    pub other: Option<PathBuf>,
    pub policy: bool,
    pub extra: String,
}

/// What one course showed.
#[derive(Clone, Copy)]
struct Figures {
    rate: f64,
    p50: u64,
    p99: u64,
    cpu: f64,
    odd: u64,
}

async fn course(process: &Process, connections: usize, seconds: f64) -> Result<Figures, Fault> {
    let before = process.cpu()?;
    let outcome = load::run(
        process.address,
        connections,
        Duration::from_secs_f64(seconds),
        REQUESTS_MOST,
    )
    .await?;
    let cpu = process.cpu()? - before;
    let answered = outcome.answered.max(1) as f64;
    Ok(Figures {
        rate: answered / outcome.elapsed.as_secs_f64(),
        p50: outcome.times.value_at_quantile(0.5),
        p99: outcome.times.value_at_quantile(0.99),
        cpu: cpu / answered,
        odd: outcome.odd,
    })
}

fn middle(mut all: Vec<f64>) -> f64 {
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

async fn proxy(endpoints: usize, ports: &[u16], extra: &str) -> Result<TemporaryFile, Fault> {
    let discovery = hosts::discovery(endpoints, ports).await?;
    let name = format!(
        "badgerramp-bench-{}-{endpoints}-{}.toml",
        std::process::id(),
        discovery.port()
    );
    TemporaryFile::write(&name, &operators_file(discovery, extra))
}

/// Measures each size of the fleet with each number of clients, and prints the table.
pub(crate) async fn fleet(
    sizes: &[usize],
    clients: &[usize],
    course_of: &Course,
) -> Result<(), Fault> {
    let me = std::env::current_exe()?;
    println!("endpoints  clients  what      requests/s   of plain  p50 us  p99 us  CPU us/request  of plain  not 200");
    for &endpoints in sizes {
        // Each has hosts of its own: a connection to each of 10,000 is about what one process may hold.
        let started = [start_hosts()?, start_hosts()?, start_hosts()?];
        let [ports, own_ports, other_ports] = started.each_ref().map(|(_, ports)| ports.clone());
        let file = proxy(endpoints, &own_ports, &course_of.extra).await?;
        let path = file.path();
        let mut arguments = vec!["plain".to_owned(), endpoints.to_string()];
        arguments.extend(ports.iter().map(u16::to_string));
        let mut all = vec![
            ("plain", Process::start(&me, &arguments)?),
            (
                "proxy",
                Process::start(&me, &["proxy".to_owned(), path.clone()])?,
            ),
        ];
        let mut others = Vec::new();
        if let Some(other) = &course_of.other {
            others.push(proxy(endpoints, &other_ports, &course_of.extra).await?);
            let path = others[0].path();
            all.push(("other", Process::start(other, &["run".to_owned(), path])?));
        }
        let control = if course_of.policy {
            Some(policy::Control::start()?)
        } else {
            None
        };
        if let Some(control) = &control {
            let extra = format!("{}\n{}", course_of.extra, control.table());
            others.push(proxy(endpoints, &other_ports, &extra).await?);
            control
                .publish(std::fs::read_to_string(others[0].path())?)
                .await?;
            let path = others[0].path();
            all.push(("policy", Process::start(&me, &["proxy".to_owned(), path])?));
        }
        // The list must be in, and connections be made, before anything counts.
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (_, process) in &all {
            course(process, 64, course_of.seconds / 2.0).await?;
        }
        for &connections in clients {
            let mut seen: Vec<Vec<Figures>> = vec![Vec::new(); all.len()];
            for _ in 0..course_of.rounds {
                for (place, (_, process)) in all.iter().enumerate() {
                    seen[place].push(course(process, connections, course_of.seconds).await?);
                }
            }
            for ((name, _), all) in all.iter().zip(&seen) {
                // Each round's ratio is of neighbours in time: the machine's own pace comes and goes.
                let of_plain = |get: fn(&Figures) -> f64| {
                    middle(
                        all.iter()
                            .zip(&seen[0])
                            .map(|(own, plain)| get(own) / get(plain))
                            .collect(),
                    )
                };
                let figure = |get: fn(&Figures) -> f64| middle(all.iter().map(get).collect());
                println!(
                    "{endpoints:>9} {connections:>8}  {name:<8} {:>11.0} {:>10.2} {:>7.0} {:>7.0} {:>15.1} {:>9.2} {:>8}",
                    figure(|f| f.rate),
                    of_plain(|f| f.rate),
                    figure(|f| f.p50 as f64),
                    figure(|f| f.p99 as f64),
                    figure(|f| f.cpu),
                    of_plain(|f| f.cpu),
                    all.iter().map(|f| f.odd).sum::<u64>()
                );
            }
            if let [_, own, third] = seen.as_slice() {
                let of_own = |get: fn(&Figures) -> f64| {
                    middle(
                        third
                            .iter()
                            .zip(own)
                            .map(|(a, b)| get(a) / get(b))
                            .collect(),
                    )
                };
                let (cpu, rate) = (of_own(|f| f.cpu), of_own(|f| f.rate));
                println!("{endpoints:>9} {connections:>8}  {} of proxy, round by round: CPU {cpu:.3}, rate {rate:.3}", all[2].0);
            }
        }
    }
    Ok(())
}

/// Prints the memory of the program that holds no connection, by size of the fleet.
pub(crate) async fn memory(sizes: &[usize]) -> Result<(), Fault> {
    println!("endpoints  resident KiB  bytes an endpoint beyond the first size");
    let mut first: Option<(usize, u64)> = None;
    for &endpoints in sizes {
        let file = proxy(endpoints, &[9], "").await?;
        let process = Process::start(
            &std::env::current_exe()?,
            &["proxy".to_owned(), file.path()],
        )?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let kib = process.memory()?;
        let (least, base) = *first.get_or_insert((endpoints, kib));
        let more = (endpoints - least).max(1) as u64;
        println!(
            "{endpoints:>9} {kib:>13} {:>10}",
            kib.saturating_sub(base) * 1024 / more
        );
    }
    Ok(())
}
