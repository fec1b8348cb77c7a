//! Many idle proxies on one machine, as processes: compares their connections to each endpoint and their polls of the list
//! service with the bounds that follow from the operator's file. The phases are an idle fleet, a new endpoint that all
//! proxies learn of at once, and a simultaneous restart of all proxies.

use crate::chart;
use crate::BenchError;
use badgerramp_endpoint_watch::PollConfig;
use badgerramp_subset::{ResourceBounds, SubsetConfig};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Time for which the list service processes a poll. It processes one poll at a time.
const POLL_DURATION: Duration = Duration::from_millis(8);
/// Longest time for which a poll waits for its turn.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(3);
/// Configured capacity of the list service, in polls per second; its real capacity is 125.
const CONFIGURED_POLLS_PER_SECOND: f64 = 100.0;
/// Initial capacity share of a cold endpoint.
const COLD_SHARE: f64 = 0.1;
/// Time in which a cold endpoint warms up.
const COLD_TIME: Duration = Duration::from_secs(20);
/// Ratio of a cold endpoint's chance to be drawn to its present share, as in the decisions crate.
const COLD_DRAW_RATIO: f64 = 1.2;
/// Subset size.
const SUBSET_SIZE: usize = 20;
/// Time for which the list service holds a watch, in seconds.
const WAIT_SECONDS: u64 = 30;
/// Timeout for a state that the fleet has to reach.
const STATE_TIMEOUT: Duration = Duration::from_secs(240);

/// Options of the benchmark.
pub(crate) struct Options {
    pub proxies: u32,
    pub endpoints: usize,
    pub seconds: u64,
    pub rate: f64,
    pub svg: Option<PathBuf>,
}

/// The state of the stand-ins, which all run on one thread.
struct StandIns {
    addresses: RefCell<Vec<SocketAddr>>,
    /// For each endpoint: open connections, the maximum of open connections, and requests.
    open: RefCell<Vec<(u32, u32, u64)>>,
    index: Cell<u64>,
    /// When the last endpoint started, in Unix milliseconds; the others started long ago.
    newest_started_ms: Cell<u64>,
    changed: Notify,
    queue: RefCell<VecDeque<Rc<Notify>>>,
    busy: Cell<bool>,
    started_at: Instant,
    /// Number of polls in each second since the start.
    polls: RefCell<Vec<u32>>,
    /// Number of full lists served.
    lists_served: Cell<u32>,
    /// Number of polls that timed out in the queue.
    given_up_polls: Cell<u32>,
}

impl StandIns {
    fn now(&self) -> usize {
        self.started_at.elapsed().as_secs() as usize
    }

    /// Counts a poll in the current second.
    fn count(&self) {
        let (second, mut polls) = (self.now(), self.polls.borrow_mut());
        if polls.len() <= second {
            polls.resize(second + 1, 0);
        }
        polls[second] += 1;
    }

    /// Waits until a poll has had its turn and been processed; false if the wait timed out.
    async fn process_poll(&self) -> bool {
        self.count();
        if self.busy.replace(true) {
            let own_turn = Rc::new(Notify::new());
            self.queue.borrow_mut().push_back(Rc::clone(&own_turn));
            if tokio::time::timeout(QUEUE_TIMEOUT, own_turn.notified())
                .await
                .is_err()
            {
                self.queue
                    .borrow_mut()
                    .retain(|other| !Rc::ptr_eq(other, &own_turn));
                self.given_up_polls.set(self.given_up_polls.get() + 1);
                return false;
            }
        }
        tokio::time::sleep(POLL_DURATION).await;
        match self.queue.borrow_mut().pop_front() {
            Some(next) => next.notify_one(),
            None => self.busy.set(false),
        }
        true
    }

    fn list(&self) -> String {
        let mut text = format!(
            r#"{{"index":{},"snapshot":true,"endpoints":["#,
            self.index.get()
        );
        let addresses = self.addresses.borrow();
        for (n, address) in addresses.iter().enumerate() {
            let since = if n + 1 == addresses.len() {
                self.newest_started_ms.get()
            } else {
                0
            };
            let comma = if n > 0 { "," } else { "" };
            // Writing to a String does not fail.
            let _ = write!(
                text,
                r#"{comma}{{"name":"e{n}","address":"{address}","status":"up","since_ms":{since}}}"#
            );
        }
        text + "]}"
    }

    /// A list update with only the last endpoint.
    fn list_update(&self) -> String {
        let addresses = self.addresses.borrow();
        let (n, index) = (addresses.len() - 1, self.index.get());
        let (address, since) = (addresses[n], self.newest_started_ms.get());
        format!(
            r#"{{"index":{index},"snapshot":false,"endpoints":[{{"name":"e{n}","address":"{address}","status":"up","since_ms":{since}}}]}}"#
        )
    }
}

/// Starts an endpoint, which answers at once and counts connections and requests.
async fn start_endpoint(stand_ins: &Rc<StandIns>) -> Result<(), BenchError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let number = stand_ins.addresses.borrow().len();
    stand_ins
        .addresses
        .borrow_mut()
        .push(listener.local_addr()?);
    stand_ins.open.borrow_mut().push((0, 0, 0));
    let stand_ins = Rc::clone(stand_ins);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let stand_ins = Rc::clone(&stand_ins);
            tokio::task::spawn_local(async move {
                {
                    let (now, max, _) = &mut stand_ins.open.borrow_mut()[number];
                    *now += 1;
                    *max = (*max).max(*now);
                }
                let mut buffer = vec![0; 2048];
                while let Ok(1..) = stream.read(&mut buffer).await {
                    stand_ins.open.borrow_mut()[number].2 += 1;
                    if stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
                stand_ins.open.borrow_mut()[number].0 -= 1;
            });
        }
    });
    Ok(())
}

/// Starts the list service.
async fn start_list_service(stand_ins: &Rc<StandIns>) -> Result<SocketAddr, BenchError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let stand_ins = Rc::clone(stand_ins);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let stand_ins = Rc::clone(&stand_ins);
            tokio::task::spawn_local(async move {
                let mut buffer = vec![0; 2048];
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let answer = answer(&stand_ins, &text).await;
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    Ok(address)
}

async fn answer(stand_ins: &StandIns, request: &str) -> String {
    if !stand_ins.process_poll().await {
        return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    let number = |name: &str| {
        let (_, rest) = request.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u64>()
            .ok()
    };
    let body = match (number("index="), number("wait=")) {
        (Some(index), Some(wait)) => {
            if index == stand_ins.index.get() {
                let _ =
                    tokio::time::timeout(Duration::from_millis(wait), stand_ins.changed.notified())
                        .await;
            }
            if index == stand_ins.index.get() {
                format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)
            } else {
                stand_ins.list_update()
            }
        }
        _ => {
            stand_ins.lists_served.set(stand_ins.lists_served.get() + 1);
            stand_ins.list()
        }
    };
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// All proxies, which are killed on drop.
struct Proxies {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Proxies {
    fn file(&self, number: u32) -> PathBuf {
        self.folder.join(format!("{number}.toml"))
    }

    fn write(folder: &Path, options: &Options, service: SocketAddr) -> Result<Self, BenchError> {
        std::fs::create_dir_all(folder)?;
        let proxies = Proxies {
            folder: folder.to_owned(),
            children: Vec::new(),
        };
        for number in 0..options.proxies {
            let text = format!(
                "listen = \"127.0.0.1:0\"\n[limits]\nmemory = \"32MiB\"\ndescriptors = 256\n[upstream]\n\
                 discovery = \"{service}\"\nproxies = {}\ncold_share = {COLD_SHARE}\ncold_time = \"{}s\"\n\
                 [subset]\ninstance = {number}\nsize = {SUBSET_SIZE}\nidle = \"5s\"\n\
                 [list]\nrate = {CONFIGURED_POLLS_PER_SECOND:?}\nwait = \"{WAIT_SECONDS}s\"\n\
                 [class.safe]\naim = \"2s\"\ndeadline = \"5s\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\n\
                 prefix = \"/safe\"\nmethods = [\"GET\"]\nclass = \"safe\"\n",
                options.proxies,
                COLD_TIME.as_secs()
            );
            std::fs::write(proxies.file(number), text)?;
        }
        Ok(proxies)
    }

    /// Starts all proxies from a separate thread, so that the stand-ins keep running meanwhile.
    async fn start(&mut self) -> Result<(), BenchError> {
        let folder = self.folder.clone();
        let children = tokio::task::spawn_blocking(move || spawn_all(&folder)).await?;
        self.children = children?;
        Ok(())
    }

    fn kill_all(&mut self) {
        self.children.iter_mut().for_each(|child| {
            let _ = child.kill();
        });
        self.children.drain(..).for_each(|mut child| {
            let _ = child.wait();
        });
    }

    /// The listen addresses of the proxies, read from their logs.
    async fn addresses(&self, count: u32) -> Result<Vec<SocketAddr>, BenchError> {
        let mut addresses = Vec::new();
        let started_at = Instant::now();
        while addresses.len() < count as usize {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", addresses.len())));
            let log = log.unwrap_or_default();
            match log
                .split_once("listening on ")
                .and_then(|(_, a)| a.split_whitespace().next()?.parse().ok())
            {
                Some(address) => addresses.push(address),
                None if started_at.elapsed() > STATE_TIMEOUT => {
                    return Err(
                        format!("a proxy did not log a listen address in time: {log}").into(),
                    )
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        Ok(addresses)
    }

    /// Resident memory of all proxies, in MiB.
    fn memory(&self) -> f64 {
        let pages = |child: &Child| -> Option<f64> {
            let text = std::fs::read_to_string(format!("/proc/{}/statm", child.id())).ok()?;
            text.split(' ').nth(1)?.parse().ok()
        };
        self.children.iter().filter_map(pages).sum::<f64>() * 4.0 / 1024.0
    }
}

/// Starts a process for each file in the folder. If one can't be started, those already started are killed.
fn spawn_all(folder: &Path) -> std::io::Result<Vec<Child>> {
    let own_program = std::env::current_exe()?;
    let mut children = Proxies {
        folder: PathBuf::new(),
        children: Vec::new(),
    };
    for number in 0.. {
        let file = folder.join(format!("{number}.toml"));
        if !file.exists() {
            break;
        }
        let log = File::create(folder.join(format!("{number}.log")))?;
        let child = Command::new(&own_program)
            .arg("proxy")
            .arg(file)
            .stderr(Stdio::from(log))
            .spawn()?;
        children.children.push(child);
    }
    Ok(std::mem::take(&mut children.children))
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.kill_all();
        if !self.folder.as_os_str().is_empty() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends requests to the proxies in turn at a constant rate, each on its own connection. Returns the numbers of served and
/// of sent requests.
async fn send_requests(proxies: &[SocketAddr], rate: f64, seconds: u64) -> (u32, u32) {
    let (served, started_at) = (Rc::new(Cell::new(0)), Instant::now());
    let count = (rate * seconds as f64) as u32;
    for n in 0..count {
        tokio::time::sleep_until(
            (started_at + Duration::from_secs_f64(f64::from(n) / rate)).into(),
        )
        .await;
        // Proxies with consecutive numbers are not called one after the other.
        let (to, served) = (
            proxies[(n as usize * 7) % proxies.len()],
            Rc::clone(&served),
        );
        tokio::task::spawn_local(async move {
            let exchange = async {
                let mut stream = TcpStream::connect(to).await?;
                stream
                    .write_all(b"GET /safe HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .await?;
                let mut answer = Vec::new();
                stream.read_to_end(&mut answer).await?;
                std::io::Result::Ok(
                    String::from_utf8_lossy(&answer)
                        .lines()
                        .next()
                        .unwrap_or_default()
                        .to_owned(),
                )
            };
            match tokio::time::timeout(Duration::from_secs(6), exchange).await {
                Ok(Ok(head)) if head.starts_with("HTTP/1.1 200") => served.set(served.get() + 1),
                Ok(Ok(head)) => println!("  not served: {head:?}"),
                Ok(Err(error)) => println!("  not served: {error}"),
                Err(_) => println!("  not served: no answer"),
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    (served.get(), count)
}

/// Waits until this many full lists have been served since an earlier count.
async fn wait_for_lists(
    stand_ins: &StandIns,
    lists_before: u32,
    count: u32,
) -> Result<Duration, BenchError> {
    let started_at = Instant::now();
    while stand_ins.lists_served.get() < lists_before + count {
        if started_at.elapsed() > STATE_TIMEOUT {
            return Err(format!(
                "only {} of {count} proxies have an endpoint list",
                stand_ins.lists_served.get() - lists_before
            )
            .into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(started_at.elapsed())
}

/// Runs all phases, and prints the measurements next to the documented bounds.
pub(crate) async fn run(options: &Options) -> Result<(), BenchError> {
    let stand_ins = Rc::new(StandIns {
        addresses: RefCell::default(),
        open: RefCell::default(),
        index: Cell::new(1),
        newest_started_ms: Cell::new(0),
        changed: Notify::new(),
        queue: RefCell::default(),
        busy: Cell::new(false),
        started_at: Instant::now(),
        polls: RefCell::default(),
        lists_served: Cell::new(0),
        given_up_polls: Cell::new(0),
    });
    for _ in 0..options.endpoints {
        start_endpoint(&stand_ins).await?;
    }
    let service = start_list_service(&stand_ins).await?;
    let folder = std::env::temp_dir().join(format!("badgerramp-quiet-{}", std::process::id()));
    let mut proxies = Proxies::write(&folder, options, service)?;
    let bounds = ResourceBounds {
        proxies: options.proxies,
        endpoints: options.endpoints,
        idle_connections: 1,
    };
    let subset = SubsetConfig::with_size(SUBSET_SIZE);
    let wait = WAIT_SECONDS * 1_000_000;
    let poll = PollConfig {
        proxies: options.proxies,
        polls_per_second: CONFIGURED_POLLS_PER_SECOND,
        wait,
        idle_wait: wait,
    };
    println!(
        "{} proxies, {} endpoints, subsets of {SUBSET_SIZE}",
        options.proxies, options.endpoints
    );

    proxies.start().await?;
    let took = wait_for_lists(&stand_ins, 0, options.proxies).await?;
    let poll_rates = |from: usize| -> (u32, f64) {
        let polls = stand_ins.polls.borrow();
        let span = polls.get(from..).unwrap_or_default();
        (
            span.iter().copied().max().unwrap_or(0),
            f64::from(span.iter().sum::<u32>()) / span.len().max(1) as f64,
        )
    };
    let print_row =
        |label: &str, value: String, bound: String| println!("{label:<46} {value:>24}   {bound}");
    print_row(
        "first start: all have their list after",
        format!("{:.1} s", took.as_secs_f64()),
        String::new(),
    );
    print_row(
        "  questions a second, most / mean",
        format!("{} / {:.0}", poll_rates(0).0, poll_rates(0).1),
        "bears 125".to_owned(),
    );
    print_row(
        "  given up by the service",
        stand_ins.given_up_polls.get().to_string(),
        String::new(),
    );
    let addresses = proxies.addresses(options.proxies).await?;

    // Idle fleet.
    let idle_start = stand_ins.now();
    let (served, sent) = send_requests(&addresses, options.rate, options.seconds).await;
    let open = stand_ins.open.borrow().clone();
    let max = open.iter().map(|o| o.1).max().unwrap_or(0);
    let mean = open.iter().map(|o| f64::from(o.0)).sum::<f64>() / open.len() as f64;
    print_row("calm: served", format!("{served} of {sent}"), String::new());
    let bound = format!(
        "at most {} at rest, {} ever",
        bounds.proxies_per_endpoint(&subset),
        bounds.max_connections_per_endpoint(&subset)
    );
    print_row(
        "  connections an endpoint, most / mean now",
        format!("{max} / {mean:.1}"),
        bound,
    );
    let bound = format!(
        "{:.0} to {:.0}",
        poll.fleet_polls_per_second(),
        poll.fleet_polls_per_second() * 8.0 / 7.0
    );
    print_row(
        "  questions a second, mean",
        format!("{:.0}", poll_rates(idle_start + 1).1),
        bound,
    );
    print_row(
        "  memory of a proxy",
        format!("{:.1} MiB", proxies.memory() / f64::from(options.proxies)),
        String::new(),
    );

    // A new endpoint, which all proxies learn of at once.
    let before: u64 = open.iter().map(|o| o.2).sum();
    start_endpoint(&stand_ins).await?;
    stand_ins
        .newest_started_ms
        .set(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64);
    stand_ins.index.set(2);
    stand_ins.changed.notify_waiters();
    let (rate, seconds) = (options.rate * 4.0, COLD_TIME.as_secs() / 2);
    let (served, sent) = send_requests(&addresses, rate, seconds).await;
    let open = stand_ins.open.borrow().clone();
    let (_, new_most, to_new) = *open.last().ok_or("no endpoint was started")?;
    let all = open.iter().map(|o| o.2).sum::<u64>() - before;
    // Over this time the share of the new endpoint grows from COLD_SHARE to about half; all others are warm.
    let mean_warmth =
        COLD_SHARE + (1.0 - COLD_SHARE) * seconds as f64 / COLD_TIME.as_secs_f64() / 2.0;
    let expected =
        all as f64 * COLD_DRAW_RATIO * mean_warmth / (options.endpoints as f64 + mean_warmth);
    print_row(
        "new endpoint: served",
        format!("{served} of {sent}"),
        String::new(),
    );
    let bound = format!(
        "about {expected:.1} by its share of the capacity; even part {:.1}",
        all as f64 / options.endpoints as f64
    );
    print_row("  requests to it while cold", to_new.to_string(), bound);
    print_row(
        "  connections to it, most",
        new_most.to_string(),
        format!("at most {} at rest", bounds.proxies_per_endpoint(&subset)),
    );

    // All proxies restart simultaneously.
    proxies.kill_all();
    let (lists_before, restart_start, given_up_polls) = (
        stand_ins.lists_served.get(),
        stand_ins.now(),
        stand_ins.given_up_polls.get(),
    );
    proxies.start().await?;
    let took = wait_for_lists(&stand_ins, lists_before, options.proxies).await?;
    let min_work = f64::from(options.proxies) * POLL_DURATION.as_secs_f64();
    let bound = format!(
        "{min_work:.0} s of work; a round is {:.0} s",
        poll.spread_window() as f64 / 1e6
    );
    print_row(
        "common restart: all have their list after",
        format!("{:.1} s", took.as_secs_f64()),
        bound,
    );
    print_row(
        "  questions a second, most / mean",
        format!(
            "{} / {:.0}",
            poll_rates(restart_start).0,
            poll_rates(restart_start).1
        ),
        String::new(),
    );
    print_row(
        "  given up by the service",
        (stand_ins.given_up_polls.get() - given_up_polls).to_string(),
        String::new(),
    );
    let addresses = proxies.addresses(options.proxies).await?;
    let (served, sent) = send_requests(&addresses, options.rate, 5).await;
    print_row(
        "  served then",
        format!("{served} of {sent}"),
        String::new(),
    );

    if let Some(svg) = &options.svg {
        let marks = [(idle_start, "calm"), (restart_start, "restart")];
        chart::draw_polls(&stand_ins.polls.borrow(), &marks, svg)?;
        println!("{}", svg.display());
    }
    Ok(())
}
