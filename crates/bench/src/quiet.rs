//! Many quiet proxies on one machine, as real processes: what they hold at each endpoint and ask of the list service,
//! against what the operator's file says that they do at the most. Scenes: calm, a new endpoint that all see at once,
//! a common restart.

use crate::chart;
use crate::Fault;
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

/// Time that the list service works on one question, one at a time, and how long a question waits for its turn.
const WORK: Duration = Duration::from_millis(8);
const PATIENCE: Duration = Duration::from_secs(3);
/// Questions a second that the files say it bears; it bears 125.
const RATE: f64 = 100.0;
const COLD_SHARE: f64 = 0.1;
const COLD_TIME: Duration = Duration::from_secs(20);
/// Chance of a cold endpoint to be drawn, over its present share: the decision module's own figure.
const COLD_DUTY: f64 = 1.2;
const SIZE: usize = 20;
const WAIT_S: u64 = 30;
/// Longest that anything is waited for.
const LONG: Duration = Duration::from_secs(240);

/// What is played.
pub(crate) struct Plan {
    pub proxies: u32,
    pub endpoints: usize,
    pub seconds: u64,
    pub rate: f64,
    pub svg: Option<PathBuf>,
}

/// The stand-ins, all on one thread.
struct World {
    addresses: RefCell<Vec<SocketAddr>>,
    /// For each endpoint: connections that are open now, the most there have been, and requests.
    open: RefCell<Vec<(u32, u32, u64)>>,
    index: Cell<u64>,
    /// When the last endpoint started, in Unix milliseconds; the others long ago.
    newest: Cell<u64>,
    changed: Notify,
    queue: RefCell<VecDeque<Rc<Notify>>>,
    working: Cell<bool>,
    began: Instant,
    /// Second of each question, whole lists given, and questions that waited in vain.
    questions: RefCell<Vec<u32>>,
    lists: Cell<u32>,
    given_up: Cell<u32>,
}

impl World {
    fn now(&self) -> usize {
        self.began.elapsed().as_secs() as usize
    }

    /// Counts a question in this second.
    fn count(&self) {
        let (second, mut questions) = (self.now(), self.questions.borrow_mut());
        if questions.len() <= second {
            questions.resize(second + 1, 0);
        }
        questions[second] += 1;
    }

    /// Waits for this question's turn and its work; false if it took too long.
    async fn turn(&self) -> bool {
        self.count();
        if self.working.replace(true) {
            let mine = Rc::new(Notify::new());
            self.queue.borrow_mut().push_back(Rc::clone(&mine));
            if tokio::time::timeout(PATIENCE, mine.notified())
                .await
                .is_err()
            {
                self.queue
                    .borrow_mut()
                    .retain(|other| !Rc::ptr_eq(other, &mine));
                self.given_up.set(self.given_up.get() + 1);
                return false;
            }
        }
        tokio::time::sleep(WORK).await;
        match self.queue.borrow_mut().pop_front() {
            Some(next) => next.notify_one(),
            None => self.working.set(false),
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
                self.newest.get()
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

    /// The last endpoint alone, as news.
    fn news(&self) -> String {
        let addresses = self.addresses.borrow();
        let (n, index) = (addresses.len() - 1, self.index.get());
        let (address, since) = (addresses[n], self.newest.get());
        format!(
            r#"{{"index":{index},"snapshot":false,"endpoints":[{{"name":"e{n}","address":"{address}","status":"up","since_ms":{since}}}]}}"#
        )
    }
}

/// Opens an endpoint, which answers at once and counts.
async fn endpoint(world: &Rc<World>) -> Result<(), Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let number = world.addresses.borrow().len();
    world.addresses.borrow_mut().push(listener.local_addr()?);
    world.open.borrow_mut().push((0, 0, 0));
    let world = Rc::clone(world);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let world = Rc::clone(&world);
            tokio::task::spawn_local(async move {
                {
                    let (now, most, _) = &mut world.open.borrow_mut()[number];
                    *now += 1;
                    *most = (*most).max(*now);
                }
                let mut buffer = vec![0; 2048];
                while let Ok(1..) = stream.read(&mut buffer).await {
                    world.open.borrow_mut()[number].2 += 1;
                    if stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
                world.open.borrow_mut()[number].0 -= 1;
            });
        }
    });
    Ok(())
}

/// The list service.
async fn service(world: &Rc<World>) -> Result<SocketAddr, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let world = Rc::clone(world);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let world = Rc::clone(&world);
            tokio::task::spawn_local(async move {
                let mut buffer = vec![0; 2048];
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let answer = answer(&world, &text).await;
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    Ok(address)
}

async fn answer(world: &World, question: &str) -> String {
    if !world.turn().await {
        return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    let number = |name: &str| {
        let (_, rest) = question.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u64>()
            .ok()
    };
    let body = match (number("index="), number("wait=")) {
        (Some(index), Some(wait)) => {
            if index == world.index.get() {
                let _ = tokio::time::timeout(Duration::from_millis(wait), world.changed.notified())
                    .await;
            }
            if index == world.index.get() {
                format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)
            } else {
                world.news()
            }
        }
        _ => {
            world.lists.set(world.lists.get() + 1);
            world.list()
        }
    };
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// All proxies; ended with this.
struct Proxies {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Proxies {
    fn file(&self, number: u32) -> PathBuf {
        self.folder.join(format!("{number}.toml"))
    }

    fn write(folder: &Path, plan: &Plan, service: SocketAddr) -> Result<Self, Fault> {
        std::fs::create_dir_all(folder)?;
        let proxies = Proxies {
            folder: folder.to_owned(),
            children: Vec::new(),
        };
        for number in 0..plan.proxies {
            let text = format!(
                "listen = \"127.0.0.1:0\"\n[limits]\nmemory = \"32MiB\"\ndescriptors = 256\n[upstream]\n\
                 discovery = \"{service}\"\nproxies = {}\ncold_share = {COLD_SHARE}\ncold_time = \"{}s\"\n\
                 [subset]\ninstance = {number}\nsize = {SIZE}\nidle = \"5s\"\n\
                 [list]\nrate = {RATE:?}\nwait = \"{WAIT_S}s\"\n\
                 [class.safe]\naim = \"2s\"\ndeadline = \"5s\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\n\
                 prefix = \"/safe\"\nmethods = [\"GET\"]\nclass = \"safe\"\n",
                plan.proxies,
                COLD_TIME.as_secs()
            );
            std::fs::write(proxies.file(number), text)?;
        }
        Ok(proxies)
    }

    /// Starts all, on a thread of its own: the stand-ins must go on meanwhile.
    async fn start(&mut self) -> Result<(), Fault> {
        let folder = self.folder.clone();
        let children = tokio::task::spawn_blocking(move || started(&folder)).await?;
        self.children = children?;
        Ok(())
    }

    fn end(&mut self) {
        self.children.iter_mut().for_each(|child| {
            let _ = child.kill();
        });
        self.children.drain(..).for_each(|mut child| {
            let _ = child.wait();
        });
    }

    /// Where each listens, as its log says.
    async fn addresses(&self, count: u32) -> Result<Vec<SocketAddr>, Fault> {
        let mut addresses = Vec::new();
        let began = Instant::now();
        while addresses.len() < count as usize {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", addresses.len())));
            let line = log.unwrap_or_default();
            match line
                .split_once("listening on ")
                .and_then(|(_, a)| a.split_whitespace().next()?.parse().ok())
            {
                Some(address) => addresses.push(address),
                None if began.elapsed() > LONG => {
                    return Err(format!("a proxy does not listen: {line}").into())
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        Ok(addresses)
    }

    /// Resident memory of all, in MiB.
    fn memory(&self) -> f64 {
        let pages = |child: &Child| -> Option<f64> {
            let text = std::fs::read_to_string(format!("/proc/{}/statm", child.id())).ok()?;
            text.split(' ').nth(1)?.parse().ok()
        };
        self.children.iter().filter_map(pages).sum::<f64>() * 4.0 / 1024.0
    }
}

/// One process for each file of the folder; what has started is ended if one can't be.
fn started(folder: &Path) -> std::io::Result<Vec<Child>> {
    let me = std::env::current_exe()?;
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
        let child = Command::new(&me)
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
        self.end();
        if !self.folder.as_os_str().is_empty() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Requests to proxies in turn at a steady pace, each on a connection of its own. Tells how many were served.
async fn load(proxies: &[SocketAddr], rate: f64, seconds: u64) -> (u32, u32) {
    let (served, began) = (Rc::new(Cell::new(0)), Instant::now());
    let count = (rate * seconds as f64) as u32;
    for n in 0..count {
        tokio::time::sleep_until((began + Duration::from_secs_f64(f64::from(n) / rate)).into())
            .await;
        // Neighbours by number in different turns.
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
                Ok(Ok(line)) if line.starts_with("HTTP/1.1 200") => served.set(served.get() + 1),
                Ok(Ok(line)) => println!("  not served: {line:?}"),
                Ok(Err(fault)) => println!("  not served: {fault}"),
                Err(_) => println!("  not served: no answer"),
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    (served.get(), count)
}

/// Waits until so many whole lists have been given since a count.
async fn listed(world: &World, since: u32, count: u32) -> Result<Duration, Fault> {
    let began = Instant::now();
    while world.lists.get() < since + count {
        if began.elapsed() > LONG {
            return Err(format!("{} of {count} have a list", world.lists.get() - since).into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(began.elapsed())
}

/// Plays the scenes and prints what they show beside what is stated.
pub(crate) async fn play(plan: &Plan) -> Result<(), Fault> {
    let world = Rc::new(World {
        addresses: RefCell::default(),
        open: RefCell::default(),
        index: Cell::new(1),
        newest: Cell::new(0),
        changed: Notify::new(),
        queue: RefCell::default(),
        working: Cell::new(false),
        began: Instant::now(),
        questions: RefCell::default(),
        lists: Cell::new(0),
        given_up: Cell::new(0),
    });
    for _ in 0..plan.endpoints {
        endpoint(&world).await?;
    }
    let service = service(&world).await?;
    let folder = std::env::temp_dir().join(format!("badgerramp-quiet-{}", std::process::id()));
    let mut proxies = Proxies::write(&folder, plan, service)?;
    let bounds = ResourceBounds {
        proxies: plan.proxies,
        endpoints: plan.endpoints,
        idle_connections: 1,
    };
    let need = SubsetConfig::with_size(SIZE);
    let wait = WAIT_S * 1_000_000;
    let poll = PollConfig {
        proxies: plan.proxies,
        polls_per_second: RATE,
        wait,
        idle_wait: wait,
    };
    println!(
        "{} proxies, {} endpoints, subsets of {SIZE}",
        plan.proxies, plan.endpoints
    );

    proxies.start().await?;
    let took = listed(&world, 0, plan.proxies).await?;
    let asked = |from: usize| -> (u32, f64) {
        let questions = world.questions.borrow();
        let span = questions.get(from..).unwrap_or_default();
        (
            span.iter().copied().max().unwrap_or(0),
            f64::from(span.iter().sum::<u32>()) / span.len().max(1) as f64,
        )
    };
    let line =
        |what: &str, seen: String, stated: String| println!("{what:<46} {seen:>24}   {stated}");
    line(
        "first start: all have their list after",
        format!("{:.1} s", took.as_secs_f64()),
        String::new(),
    );
    line(
        "  questions a second, most / mean",
        format!("{} / {:.0}", asked(0).0, asked(0).1),
        "bears 125".to_owned(),
    );
    line(
        "  given up by the service",
        world.given_up.get().to_string(),
        String::new(),
    );
    let addresses = proxies.addresses(plan.proxies).await?;

    // Calm.
    let calm = world.now();
    let (served, sent) = load(&addresses, plan.rate, plan.seconds).await;
    let open = world.open.borrow().clone();
    let most = open.iter().map(|o| o.1).max().unwrap_or(0);
    let mean = open.iter().map(|o| f64::from(o.0)).sum::<f64>() / open.len() as f64;
    line("calm: served", format!("{served} of {sent}"), String::new());
    let stated = format!(
        "at most {} at rest, {} ever",
        bounds.proxies_per_endpoint(&need),
        bounds.max_connections_per_endpoint(&need)
    );
    line(
        "  connections an endpoint, most / mean now",
        format!("{most} / {mean:.1}"),
        stated,
    );
    let stated = format!(
        "{:.0} to {:.0}",
        poll.fleet_polls_per_second(),
        poll.fleet_polls_per_second() * 8.0 / 7.0
    );
    line(
        "  questions a second, mean",
        format!("{:.0}", asked(calm + 1).1),
        stated,
    );
    line(
        "  memory of a proxy",
        format!("{:.1} MiB", proxies.memory() / f64::from(plan.proxies)),
        String::new(),
    );

    // A new endpoint, which all see at once.
    let before: u64 = open.iter().map(|o| o.2).sum();
    endpoint(&world).await?;
    world
        .newest
        .set(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64);
    world.index.set(2);
    world.changed.notify_waiters();
    let (rate, seconds) = (plan.rate * 4.0, COLD_TIME.as_secs() / 2);
    let (served, sent) = load(&addresses, rate, seconds).await;
    let open = world.open.borrow().clone();
    let (_, new_most, to_new) = *open.last().ok_or("an endpoint")?;
    let all = open.iter().map(|o| o.2).sum::<u64>() - before;
    // Warm from COLD_SHARE to about half over this time; all others are warm.
    let grown = COLD_SHARE + (1.0 - COLD_SHARE) * seconds as f64 / COLD_TIME.as_secs_f64() / 2.0;
    let wanted = all as f64 * COLD_DUTY * grown / (plan.endpoints as f64 + grown);
    line(
        "new endpoint: served",
        format!("{served} of {sent}"),
        String::new(),
    );
    let stated = format!(
        "about {wanted:.1} by its share of the capacity; even part {:.1}",
        all as f64 / plan.endpoints as f64
    );
    line("  requests to it while cold", to_new.to_string(), stated);
    line(
        "  connections to it, most",
        new_most.to_string(),
        format!("at most {} at rest", bounds.proxies_per_endpoint(&need)),
    );

    // All go and come together.
    proxies.end();
    let (since, restart, given_up) = (world.lists.get(), world.now(), world.given_up.get());
    proxies.start().await?;
    let took = listed(&world, since, plan.proxies).await?;
    let least = f64::from(plan.proxies) * WORK.as_secs_f64();
    let stated = format!(
        "{least:.0} s of work; a round is {:.0} s",
        poll.spread_window() as f64 / 1e6
    );
    line(
        "common restart: all have their list after",
        format!("{:.1} s", took.as_secs_f64()),
        stated,
    );
    line(
        "  questions a second, most / mean",
        format!("{} / {:.0}", asked(restart).0, asked(restart).1),
        String::new(),
    );
    line(
        "  given up by the service",
        (world.given_up.get() - given_up).to_string(),
        String::new(),
    );
    let addresses = proxies.addresses(plan.proxies).await?;
    let (served, sent) = load(&addresses, plan.rate, 5).await;
    line(
        "  served then",
        format!("{served} of {sent}"),
        String::new(),
    );

    if let Some(svg) = &plan.svg {
        let marks = [(calm, "calm"), (restart, "restart")];
        chart::questions(&world.questions.borrow(), &marks, svg)?;
        println!("{}", svg.display());
    }
    Ok(())
}
