//! A start of all proxies together, with processes: proxies, a list service that takes one question at a time, hosts
//! that are all cold, clients that come as fast as the hosts can bear. Side by side: each proxy asks for itself, takes
//! its turn, or hears the list from its peers.

pub mod cold;
pub mod course;
pub mod report;
pub mod service;

use crate::clients::{once, Ended};
use crate::datagrams::Datagrams;
use crate::link::{Link, Pass};
use crate::now;
use crate::process::{Folder, Plan, Process};
use badgerramp_policy::Micros;
use cold::Hosts;
use course::{Course, Fault, Kind};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use serde::Serialize;
use service::{Listed, Mood, Service};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

const CHARGE: &str = "/cobro-mensual";
const ENTRY: &str = "/registro-entrada";
/// Longest wait for what must come.
const LONG: Duration = Duration::from_secs(60);
/// Seeds of the fleet.
const SEEDS: usize = 3;
/// Share of what the hosts can do at each moment that clients want.
const LOAD: f64 = 0.8;
/// Tries of a client, and its longest pause before the next.
const TRIES: usize = 3;
const PAUSE_MOST: Duration = Duration::from_secs(1);

/// How a proxy comes to its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Each asks at once.
    None,
    /// Each takes its turn in a round that the operator has reckoned (`[list]`).
    Turns,
    /// Some ask for all (`[peers]`).
    Peers,
}

impl Way {
    /// The names of all.
    pub const NAMES: [&'static str; 3] = ["none", "turns", "peers"];

    /// The way of this name.
    pub fn named(name: &str) -> Option<Way> {
        [Way::None, Way::Turns, Way::Peers]
            .into_iter()
            .zip(Way::NAMES)
            .find(|(_, n)| *n == name)
            .map(|(w, _)| w)
    }
}

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Proxies.
    pub proxies: usize,
    /// Hosts.
    pub hosts: usize,
    /// Questions a second that the list service bears.
    pub capacity: f64,
    /// How a proxy comes to its list.
    pub way: Way,
    /// Proxies start within this time.
    pub within: Duration,
    /// How long clients call.
    pub lasts: Duration,
    /// What a host is.
    pub host: cold::Kind,
    /// Hosts that each proxy keeps to (`[subset]`); 0: all.
    pub subset: usize,
}

/// What a course came to.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// The course's seed.
    pub seed: u64,
    /// How proxies came to their lists.
    pub way: Way,
    /// What went wrong.
    pub faults: Vec<Fault>,
    /// From the service's first answer, or from a proxy's own start where that was later, to its list: of half of
    /// them, of 99 in 100, of all, in milliseconds.
    pub listed_ms: [u64; 3],
    /// From the first answer to the last list, whenever proxies started.
    pub all_listed_ms: u64,
    /// Proxies without a list in the end.
    pub unlisted: usize,
    /// Proxies whose list is not the newest long after the last fault.
    pub behind: usize,
    /// Questions to the list service until all had their list, and in all.
    pub questions_start: usize,
    /// ...
    pub questions: usize,
    /// Most of them in a second.
    pub questions_most: usize,
    /// Questions that the service gave up.
    pub given_up: u32,
    /// Most connections that a host was opened in a second.
    pub connects_most: usize,
    /// Connections that all hosts were opened.
    pub connects: usize,
    /// The most that a host was sent within its fall time, against what it could then do.
    pub multiple_most: f64,
    /// Calls, and those that were served in their time.
    pub calls: usize,
    /// ...
    pub served: usize,
    /// Share of the calls of the first ten seconds that were served.
    pub goodput: f64,
    /// Calls that a proxy took and gave no final answer.
    pub lost: usize,
    /// Requests that ran twice.
    pub executed_twice: usize,
    /// From a drain's first word to the last call that came to that host, in milliseconds, if one drained.
    pub drained_ms: Option<u64>,
    /// What broke first.
    pub first: Option<String>,
    /// By second since the first start: questions, connections, calls, served.
    pub seconds: Vec<[usize; 4]>,
    /// By tenth of a second: proxies that have a list.
    pub tenths: Vec<usize>,
}

impl Played {
    /// Did the rules hold, and do all have the newest list in the end?
    pub fn held(&self) -> bool {
        self.first.is_none()
    }
}

/// One call.
#[derive(Clone, Debug)]
struct Call {
    key: String,
    from: Micros,
    served: Option<Micros>,
    /// The last try's end, and where.
    ended: Ended,
    proxy: usize,
    last: Micros,
}

struct Proxy {
    process: tokio::sync::Mutex<Process>,
    address: Mutex<Option<SocketAddr>>,
    hearing: watch::Receiver<Option<SocketAddr>>,
    service: Link,
    peers: Datagrams,
    file: PathBuf,
}

struct World {
    size: Size,
    programs: (PathBuf, Vec<String>),
    folder: Folder,
    hosts: tokio::sync::Mutex<Hosts>,
    service: Service,
    proxies: Vec<Proxy>,
    /// What holds at the links between proxies.
    ways: Mutex<Ways>,
    /// Proxies that were killed or stood still: who, from when, until when.
    down: Mutex<Vec<(usize, Micros, Micros)>>,
    /// Hosts that drained, by place, and the version that said so.
    drained: Mutex<Vec<(usize, u64)>>,
    /// What the list says of each host.
    listed: Mutex<Vec<Listed>>,
    strangers: Mutex<Vec<Process>>,
}

#[derive(Default)]
struct Ways {
    lossy: bool,
    doubled: bool,
    late: bool,
    apart: Vec<HashSet<usize>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn file(
    (size, place): (&Size, usize),
    service: SocketAddr,
    (name, advertise, seeds): (&str, SocketAddr, &str),
    fleet: &str,
) -> String {
    let list = match size.way {
        Way::None => String::new(),
        Way::Turns => format!("[list]\nrate = {}\nwait = \"30s\"\n", size.capacity * 0.8),
        Way::Peers => format!(
            "[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{advertise}\"\nseeds = [{seeds}]\nsecret = \"{name}\"\n\
             fleet = \"{fleet}\"\n"
        ),
    };
    let subset = match size.subset {
        0 => String::new(),
        hosts => format!("[subset]\ninstance = {place}\nsize = {hosts}\n"),
    };
    format!(
        r#"listen = "127.0.0.1:0"
[limits]
memory = "64MiB"
descriptors = 512
open_calls = 100
retry_after = "1s"
[log]
format = "json"
level = "info"
rate = 100000
[upstream]
discovery = "{service}"
proxies = {}
cold_share = {}
cold_time = "{}ms"
fall_multiple = {}
{list}{subset}[defaults]
connect = "400ms"
second_copy = "off"
[class.registro-entrada]
aim = "500ms"
deadline = "1200ms"
worth = 3
late_worth = 0
effect = "keyed"
group = "group"
window = "1200ms"
attempts = 3
[class.cobro-mensual]
aim = "800ms"
deadline = "1500ms"
worth = 10
late_worth = 0
effect = "unsafe"
attempts = 3
[[route]]
name = "entries"
path = "{ENTRY}"
methods = ["POST"]
class = "registro-entrada"
key = {{ header = "Idempotency-Key" }}
[[route]]
name = "charges"
path = "{CHARGE}"
methods = ["POST"]
class = "cobro-mensual"
"#,
        size.proxies,
        size.host.cold_share,
        size.host.cold_time.as_millis(),
        size.host.fall_multiple,
    )
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

impl World {
    async fn build(
        programs: &(PathBuf, Vec<String>),
        size: Size,
        seed: u64,
        keep: bool,
    ) -> Result<World, String> {
        let text = |e: std::io::Error| e.to_string();
        let mut folder = Folder::new(&format!("start-{seed:x}-{:?}", size.way))?;
        folder.keep = keep;
        let secret = folder.write(
            "secret",
            &format!("a secret of the trial {seed:016x}"),
            true,
        )?;
        let mut hosts = Hosts::new(size.host);
        let mut listed = Vec::new();
        for _ in 0..size.hosts {
            let place = hosts.add().await?;
            listed.push(Some((hosts.addresses[place], false, unix_ms())));
        }
        let service =
            Service::start(listed.iter().copied().enumerate().collect(), size.capacity).await?;
        let (_, at) = watch::channel(Some(service.address));
        let mut built = Vec::new();
        for place in 0..size.proxies {
            let (tells, hearing) = watch::channel(None);
            let link = Link::to(at.clone()).await.map_err(text)?;
            let peers = Datagrams::to(hearing.clone(), seed ^ place as u64)
                .await
                .map_err(text)?;
            built.push((tells, hearing, link, peers));
        }
        let seeds: Vec<String> = built
            .iter()
            .take(SEEDS)
            .map(|b| format!("\"{}\"", b.3.address))
            .collect();
        let mut proxies = Vec::new();
        for (place, (tells, hearing, service, peers)) in built.into_iter().enumerate() {
            let own = (
                &*secret.display().to_string(),
                peers.address,
                &*seeds.join(", "),
            );
            let file = folder.write(
                &format!("p{place}.toml"),
                &file((&size, place), service.address, own, "trial"),
                false,
            )?;
            let mut arguments = programs.1.clone();
            arguments.extend(["run".to_owned(), file.display().to_string()]);
            let plan = Plan {
                program: programs.0.clone(),
                arguments,
                keep: Vec::new(),
                variables: Vec::new(),
            };
            // Started later, when its moment has come.
            let process = tokio::sync::Mutex::new(Process::waiting(plan, tells));
            proxies.push(Proxy {
                process,
                address: Mutex::new(None),
                hearing,
                service,
                peers,
                file,
            });
        }
        Ok(World {
            size,
            programs: programs.clone(),
            folder,
            hosts: tokio::sync::Mutex::new(hosts),
            service,
            proxies,
            ways: Mutex::default(),
            down: Mutex::default(),
            drained: Mutex::default(),
            listed: Mutex::new(listed),
            strangers: Mutex::default(),
        })
    }

    async fn start(&self, place: usize) -> Result<(), String> {
        let proxy = &self.proxies[place];
        let mut process = proxy.process.lock().await;
        process.again()?;
        let address = process.listens().await?;
        *locked(&proxy.address) = Some(address);
        drop(process);
        self.pass();
        Ok(())
    }

    async fn kill(&self, place: usize) {
        *locked(&self.proxies[place].address) = None;
        self.proxies[place].process.lock().await.kill().await;
    }

    /// Sets all links between proxies by what holds.
    fn pass(&self) {
        let ways = locked(&self.ways);
        let heard: Vec<Option<SocketAddr>> =
            self.proxies.iter().map(|p| *p.hearing.borrow()).collect();
        for (to, proxy) in self.proxies.iter().enumerate() {
            let apart = |from: usize| {
                ways.apart
                    .iter()
                    .any(|half| half.contains(&from) != half.contains(&to))
            };
            let refused: HashSet<SocketAddr> = if ways.apart.is_empty() {
                HashSet::new()
            } else {
                (0..heard.len())
                    .filter(|from| apart(*from))
                    .filter_map(|from| heard[from])
                    .collect()
            };
            proxy.peers.set(|state| {
                state.forth.lost = if ways.lossy { 0.33 } else { 0.0 };
                state.forth.doubled = if ways.doubled { 0.33 } else { 0.0 };
                state.forth.late = if ways.late {
                    Duration::from_secs(2)
                } else {
                    Duration::ZERO
                };
                state.refused = Arc::new(refused);
            });
        }
    }

    /// Proxies that ask the list service for all, by their logs.
    async fn asking(&self) -> Vec<usize> {
        let mut asking = Vec::new();
        for (place, proxy) in self.proxies.iter().enumerate() {
            let log = proxy.process.lock().await.log();
            let last = log.iter().rev().find(|(_, l)| {
                l.contains("became poller")
                    || l.contains("stopped polling")
                    || l.contains("listening on")
            });
            if last.is_some_and(|(_, l)| l.contains("became poller")) {
                asking.push(place);
            }
        }
        asking
    }

    fn some(&self, lot: u64, share: f64) -> Vec<usize> {
        let mut draws = Pcg32::seed_from_u64(lot);
        (0..self.proxies.len())
            .filter(|_| draws.gen_bool(share))
            .collect()
    }

    async fn restart(&self, whom: &[usize], until: Instant) -> Result<(), String> {
        let from = now();
        for &place in whom {
            self.proxies[place]
                .process
                .lock()
                .await
                .signal(Signal::KILL);
        }
        for &place in whom {
            self.kill(place).await;
        }
        tokio::time::sleep_until(until).await;
        for &place in whom {
            self.start(place).await?;
        }
        let until = now();
        locked(&self.down).extend(whom.iter().map(|place| (*place, from, until)));
        Ok(())
    }

    async fn stand(&self, whom: &[usize], until: Instant) {
        let from = now();
        for &place in whom {
            self.proxies[place]
                .process
                .lock()
                .await
                .signal(Signal::STOP);
        }
        tokio::time::sleep_until(until).await;
        for &place in whom {
            self.proxies[place]
                .process
                .lock()
                .await
                .signal(Signal::CONT);
        }
        let until = now();
        locked(&self.down).extend(whom.iter().map(|place| (*place, from, until)));
    }

    async fn inflict(self: Arc<Self>, fault: Fault, began: Instant) -> Result<(), String> {
        tokio::time::sleep_until(began + fault.from).await;
        let until = began + fault.until;
        let ways = |change: &dyn Fn(&mut Ways)| {
            change(&mut locked(&self.ways));
            self.pass();
        };
        match fault.kind {
            Kind::KillMany => self.restart(&self.some(fault.lot, 0.7), until).await?,
            Kind::KillAll => self.restart(&self.some(fault.lot, 1.0), until).await?,
            Kind::KillSeeds => {
                let seeds: Vec<usize> = (0..SEEDS.min(self.proxies.len())).collect();
                self.restart(&seeds, until).await?;
            }
            Kind::KillAskers => self.restart(&self.asking().await, until).await?,
            Kind::StopAskers => self.stand(&self.asking().await, until).await,
            Kind::StopSome => self.stand(&self.some(fault.lot, 0.3), until).await,
            Kind::Roll => {
                let whom = self.some(fault.lot, 0.3);
                let pause = (fault.until - fault.from) / whom.len().max(1) as u32;
                for place in whom {
                    let from = now();
                    *locked(&self.proxies[place].address) = None;
                    self.proxies[place].process.lock().await.terminate().await?;
                    self.start(place).await?;
                    locked(&self.down).push((place, from, now()));
                    tokio::time::sleep(pause).await;
                }
            }
            Kind::ServiceDown | Kind::ServiceSlow | Kind::ServiceOld => {
                let mood = match fault.kind {
                    Kind::ServiceDown => Mood::Down,
                    Kind::ServiceSlow => Mood::Slow,
                    _ => Mood::Old(1 + fault.lot % 2),
                };
                self.service.mood(mood);
                tokio::time::sleep_until(until).await;
                self.service.mood(Mood::Well);
            }
            Kind::CutFromService => {
                let whom = self.some(fault.lot, 0.5);
                let set = |pass| {
                    whom.iter().for_each(|p| {
                        self.proxies[*p]
                            .service
                            .set(|s| (s.forth, s.back) = (pass, pass));
                    });
                };
                set(Pass::Cut);
                tokio::time::sleep_until(until).await;
                set(Pass::Free);
            }
            Kind::CutFromPeers | Kind::Halves => {
                let share = if fault.kind == Kind::Halves { 0.5 } else { 0.2 };
                let halves = match fault.kind {
                    Kind::Halves => vec![self.some(fault.lot, share).into_iter().collect()],
                    // Each by itself.
                    _ => self
                        .some(fault.lot, share)
                        .into_iter()
                        .map(|p| HashSet::from([p]))
                        .collect(),
                };
                ways(&|w| w.apart.extend(halves.iter().cloned()));
                tokio::time::sleep_until(until).await;
                ways(&|w| w.apart.retain(|h| !halves.contains(h)));
            }
            Kind::Lossy | Kind::Doubled | Kind::Late => {
                let set = |on: bool| {
                    ways(&|w| match fault.kind {
                        Kind::Lossy => w.lossy = on,
                        Kind::Doubled => w.doubled = on,
                        _ => w.late = on,
                    });
                };
                set(true);
                tokio::time::sleep_until(until).await;
                set(false);
            }
            Kind::Replace => self.replace().await?,
            Kind::Drain => self.drain(fault, until).await,
            Kind::OtherFleet => self.stranger(fault.lot).await?,
        }
        Ok(())
    }

    /// Half of the hosts go, and others come.
    async fn replace(&self) -> Result<(), String> {
        let mut hosts = self.hosts.lock().await;
        let mut changes = Vec::new();
        let count = locked(&self.listed).len();
        for place in 0..count / 2 {
            let new = hosts.add().await?;
            changes.push((place, None));
            changes.push((new, Some((hosts.addresses[new], false, unix_ms()))));
        }
        let mut listed = locked(&self.listed);
        for (place, entry) in &changes {
            match listed.get_mut(*place) {
                Some(old) => *old = *entry,
                None => listed.push(*entry),
            }
        }
        let version = self.service.change(changes);
        locked(&self.drained).extend((0..count / 2).map(|place| (place, version)));
        Ok(())
    }

    async fn drain(&self, fault: Fault, until: Instant) {
        let place = {
            let mut listed = locked(&self.listed);
            let up: Vec<usize> = (0..listed.len())
                .filter(|p| matches!(listed[*p], Some((_, false, _))))
                .collect();
            let Some(&place) = up.choose(&mut Pcg32::seed_from_u64(fault.lot)) else {
                return;
            };
            if let Some((_, drains, _)) = &mut listed[place] {
                *drains = true;
            }
            let version = self.service.change(vec![(place, listed[place])]);
            locked(&self.drained).push((place, version));
            place
        };
        tokio::time::sleep_until(until).await;
        let mut listed = locked(&self.listed);
        if listed[place].take().is_some() {
            self.service.change(vec![(place, None)]);
        }
    }

    /// A proxy of another fleet comes to the same seeds.
    async fn stranger(&self, lot: u64) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.proxies[0].file).map_err(|e| e.to_string())?;
        let text = text.replace("fleet = \"trial\"", "fleet = \"another\"");
        let own = format!("advertise = \"{}\"\n", self.proxies[0].peers.address);
        let file = self.folder.write(
            &format!("stranger-{lot:x}.toml"),
            &text.replace(&own, ""),
            false,
        )?;
        let mut arguments = self.programs.1.clone();
        arguments.extend(["run".to_owned(), file.display().to_string()]);
        let plan = Plan {
            program: self.programs.0.clone(),
            arguments,
            keep: Vec::new(),
            variables: Vec::new(),
        };
        let process = Process::start(plan).await?;
        locked(&self.strangers).push(process);
        Ok(())
    }

    /// Clients call as fast as the hosts can bear, times [`LOAD`], each by its own proxy once that listens.
    async fn load(self: Arc<Self>, seed: u64, began: Instant) -> Vec<Call> {
        let mut draws = Pcg32::seed_from_u64(seed);
        let (mut open, mut calls) = (tokio::task::JoinSet::new(), Vec::new());
        let (mut owed, mut last, mut number) = (0.0, Instant::now(), 0);
        let mut beat = tokio::time::interval(Duration::from_millis(5));
        while began.elapsed() < self.size.lasts {
            beat.tick().await;
            let there: Vec<(usize, SocketAddr)> = self
                .proxies
                .iter()
                .enumerate()
                .filter_map(|(place, p)| Some((place, (*locked(&p.address))?)))
                .collect();
            let age = Micros::try_from(began.elapsed().as_micros()).unwrap_or(Micros::MAX);
            let share = there.len() as f64 / self.proxies.len() as f64;
            let rate = LOAD * self.size.hosts as f64 * self.size.host.capacity(age) * share;
            owed += rate * last.elapsed().as_secs_f64();
            last = Instant::now();
            while owed >= 1.0 && !there.is_empty() {
                owed -= 1.0;
                number += 1;
                let (proxy, address) = there[draws.gen_range(0..there.len())];
                let path = if draws.gen_bool(0.62) { ENTRY } else { CHARGE };
                open.spawn(one(format!("{seed:x}-{number}"), path, proxy, address));
            }
            while let Some(done) = open.try_join_next() {
                calls.extend(done);
            }
        }
        while let Some(done) = open.join_next().await {
            calls.extend(done);
        }
        calls
    }

    /// Proxies whose list is not the newest, waited for.
    async fn behind(&self) -> Result<usize, String> {
        let end = Instant::now() + LONG;
        let newest = self.service.newest();
        let mut behind: Vec<usize> = (0..self.proxies.len()).collect();
        loop {
            let mut still = Vec::new();
            for place in behind {
                let proxy = &self.proxies[place];
                let Some(at) = *proxy.hearing.borrow() else {
                    still.push(place);
                    continue;
                };
                let mut command = tokio::process::Command::new(&self.programs.0);
                command
                    .args(&self.programs.1)
                    .arg("peers")
                    .arg(&proxy.file)
                    .args(["--json", "--at"])
                    .arg(at.to_string());
                let told = command.output().await.map_err(|e| e.to_string())?;
                let told: Option<serde_json::Value> = serde_json::from_slice(&told.stdout).ok();
                let index = told.and_then(|t| t["standing"]["list"][0]["index"].as_u64());
                if index != Some(newest) {
                    still.push(place);
                }
            }
            behind = still;
            if behind.is_empty() || Instant::now() >= end {
                return Ok(behind.len());
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
}

async fn one(key: String, path: &'static str, proxy: usize, address: SocketAddr) -> Call {
    let from = now();
    let mut call = Call {
        key,
        from,
        served: None,
        ended: Ended::Nobody,
        proxy,
        last: from,
    };
    for _ in 0..TRIES {
        call.last = now();
        let (ended, again) = once(address, path, &call.key).await;
        call.ended = ended;
        match ended {
            Ended::Status(200) => {
                call.served = Some(now());
                break;
            }
            Ended::Status(429 | 503) => {
                tokio::time::sleep(again.unwrap_or(PAUSE_MOST).min(PAUSE_MOST)).await;
            }
            // Its proxy has gone, or it may have run.
            _ => break,
        }
    }
    call
}

/// Plays one course.
///
/// # Errors
/// If the trial itself failed: it says nothing of the program.
pub async fn play(
    programs: &(PathBuf, Vec<String>),
    size: Size,
    course: &Course,
    keep: bool,
) -> Result<Played, String> {
    let world = Arc::new(World::build(programs, size, course.seed, keep).await?);
    let (began, zero) = (Instant::now(), now());
    let mut tasks = tokio::task::JoinSet::new();
    let mut order: Vec<usize> = (0..size.proxies).collect();
    order.shuffle(&mut Pcg32::seed_from_u64(course.seed));
    for (n, place) in order.into_iter().enumerate() {
        let (world, at) = (
            Arc::clone(&world),
            began + size.within.mul_f64(n as f64 / size.proxies as f64),
        );
        tasks.spawn(async move {
            tokio::time::sleep_until(at).await;
            world.start(place).await
        });
    }
    let mut faults = tokio::task::JoinSet::new();
    for &fault in &course.faults {
        // Processes end only after they have started.
        let from = if fault.kind.of_processes() {
            fault.from.max(size.within)
        } else {
            fault.from
        };
        let fault = Fault {
            from,
            until: fault.until.max(from + Duration::from_millis(300)),
            ..fault
        };
        faults.spawn(Arc::clone(&world).inflict(fault, began));
    }
    let load = tokio::spawn(Arc::clone(&world).load(course.seed, began));
    while let Some(done) = tasks.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    while let Some(done) = faults.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    let calls = load.await.map_err(|e| e.to_string())?;
    let behind = if size.way == Way::Peers {
        world.behind().await?
    } else {
        0
    };
    report::judge(&world, course, (zero, calls), behind).await
}
