//! The program beside a plain pass-through, in one run on one pinned core: throughput, times, CPU a request and
//! memory, by size of the fleet and number of clients. `docs/large-fleets.md` has the command and its figures.
#![forbid(unsafe_code)]

mod chart;
mod control;
mod hosts;
mod list;
mod load;
mod plain;
mod policy;
mod quiet;

use clap::{Parser, Subcommand};
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

type Fault = Box<dyn Error>;

/// Microseconds of a tick of the process clock: `CLK_TCK` is 100 on Linux.
const TICK: f64 = 10_000.0;
const PAGE_KIB: u64 = 4;
/// No course has more requests than that.
const MOST: u64 = 2_000_000;

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
    Pinned { core: usize, program: PathBuf, arguments: Vec<String> },
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
        What::Fleet { endpoints, connections, seconds, rounds, other, policy, extra } => {
            let course = Course { seconds, rounds, other, policy, extra };
            runtime()?.block_on(fleet(&endpoints, &connections, &course))
        }
        What::Quiet { proxies, endpoints, seconds, rate, svg } => {
            let plan = quiet::Plan { proxies, endpoints, seconds, rate, svg };
            tokio::task::LocalSet::new().block_on(&runtime()?, quiet::play(&plan))
        }
        What::Gate => {
            policy::gate();
            Ok(())
        }
        What::List { endpoints } => list::play(&endpoints),
        What::Control { ignore } => Ok(control::serve(ignore)?),
        What::Memory { endpoints } => runtime()?.block_on(memory(&endpoints)),
        What::Pinned { core, program, arguments } => {
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
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

struct Course {
    seconds: f64,
    rounds: usize,
    other: Option<PathBuf>,
    policy: bool,
    extra: String,
}

/// A process of ours that listens; ended with this.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program on the first core and waits until it tells where it listens.
    fn start(program: &PathBuf, arguments: &[String]) -> Result<Self, Fault> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["pinned", "0"]).arg(program).arg("--").args(arguments);
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("piped")?).lines();
        while let Some(Ok(line)) = lines.next() {
            if let Some((_, address)) = line.split_once("listening on ") {
                let address = address.trim().parse()?;
                // A full pipe would hold the program up.
                std::thread::spawn(move || lines.for_each(drop));
                return Ok(Process { child, address });
            }
            eprintln!("{line}");
        }
        let _ = child.kill();
        Err("it does not listen".into())
    }

    fn stat(&self, file: &str) -> Result<String, Fault> {
        Ok(std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))?)
    }

    /// CPU used so far, in microseconds.
    fn cpu(&self) -> Result<f64, Fault> {
        let stat = self.stat("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) * TICK)
    }

    /// Resident memory in KiB.
    fn memory(&self) -> Result<u64, Fault> {
        let pages = self.stat("statm")?.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
        Ok(pages.unwrap_or(0) * PAGE_KIB)
    }
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
    let outcome = load::run(process.address, connections, Duration::from_secs_f64(seconds), MOST).await?;
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

/// The hosts, in a process of their own.
fn start_hosts() -> Result<(Hosts, Vec<u16>), Fault> {
    let mut child = Command::new(std::env::current_exe()?).arg("hosts").stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().ok_or("piped")?).read_line(&mut line)?;
    let ports = line.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
    Ok((Hosts(child), ports))
}

struct Hosts(Child);

impl Drop for Hosts {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A file that goes with this.
struct Written(PathBuf);

impl Drop for Written {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn proxy(endpoints: usize, ports: &[u16], extra: &str) -> Result<Written, Fault> {
    let discovery = hosts::discovery(endpoints, ports).await?;
    let name = format!("badgerramp-bench-{}-{endpoints}-{}.toml", std::process::id(), discovery.port());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, operators_file(discovery, extra))?;
    Ok(Written(path))
}

async fn fleet(sizes: &[usize], clients: &[usize], course_of: &Course) -> Result<(), Fault> {
    let me = std::env::current_exe()?;
    println!("endpoints  clients  what      requests/s   of plain  p50 us  p99 us  CPU us/request  of plain  not 200");
    for &endpoints in sizes {
        // Each has hosts of its own: a connection to each of 10,000 is about what one process may hold.
        let started = [start_hosts()?, start_hosts()?, start_hosts()?];
        let [ports, own_ports, other_ports] = started.each_ref().map(|(_, ports)| ports.clone());
        let file = proxy(endpoints, &own_ports, &course_of.extra).await?;
        let path = file.0.display().to_string();
        let mut arguments = vec!["plain".to_owned(), endpoints.to_string()];
        arguments.extend(ports.iter().map(u16::to_string));
        let mut all = vec![
            ("plain", Process::start(&me, &arguments)?),
            ("proxy", Process::start(&me, &["proxy".to_owned(), path.clone()])?),
        ];
        let mut others = Vec::new();
        if let Some(other) = &course_of.other {
            others.push(proxy(endpoints, &other_ports, &course_of.extra).await?);
            let path = others[0].0.display().to_string();
            all.push(("other", Process::start(other, &["run".to_owned(), path])?));
        }
        let control = if course_of.policy { Some(policy::Control::start()?) } else { None };
        if let Some(control) = &control {
            let extra = format!("{}\n{}", course_of.extra, control.table());
            others.push(proxy(endpoints, &other_ports, &extra).await?);
            control.publish(std::fs::read_to_string(&others[0].0)?).await?;
            let path = others[0].0.display().to_string();
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
                    middle(all.iter().zip(&seen[0]).map(|(own, plain)| get(own) / get(plain)).collect())
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
                    middle(third.iter().zip(own).map(|(a, b)| get(a) / get(b)).collect())
                };
                let (cpu, rate) = (of_own(|f| f.cpu), of_own(|f| f.rate));
                println!("{endpoints:>9} {connections:>8}  {} of proxy, round by round: CPU {cpu:.3}, rate {rate:.3}", all[2].0);
            }
        }
    }
    Ok(())
}

async fn memory(sizes: &[usize]) -> Result<(), Fault> {
    println!("endpoints  resident KiB  bytes an endpoint beyond the first size");
    let mut first: Option<(usize, u64)> = None;
    for &endpoints in sizes {
        let file = proxy(endpoints, &[9], "").await?;
        let process =
            Process::start(&std::env::current_exe()?, &["proxy".to_owned(), file.0.display().to_string()])?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let kib = process.memory()?;
        let (least, base) = *first.get_or_insert((endpoints, kib));
        let more = (endpoints - least).max(1) as u64;
        println!("{endpoints:>9} {kib:>13} {:>10}", kib.saturating_sub(base) * 1024 / more);
    }
    Ok(())
}
