//! A start of all proxies together, with processes: proxies, a list service that takes one question at a time, hosts
//! that are all cold, clients that come as fast as the hosts can bear. Side by side: each proxy asks for itself, takes
//! its turn, or hears the list from its peers.

pub mod cold_hosts;
pub mod report;
pub mod schedule;
pub mod service;

use crate::clients::{call_once, Ended};
use crate::datagrams::DatagramLink;
use crate::link::{Forwarding, Link};
use crate::now;
use crate::process::{Folder, Process, ProcessSpec};
use badgerramp_policy::Micros;
use cold_hosts::Hosts;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use schedule::{Fault, FaultSchedule, Kind};
use serde::Serialize;
use service::{ListEntry, Service, ServiceState};
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
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Seeds of the fleet.
const SEEDS: usize = 3;
/// Share of what the hosts can do at each moment that clients want.
const LOAD_SHARE: f64 = 0.8;
/// Tries of a client, and its longest pause before the next.
const MAX_ATTEMPTS: usize = 3;
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// How a proxy comes to its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListSource {
    /// Each asks at once.
    None,
    /// Each takes its turn in a round that the operator has reckoned (`[list]`).
    Turns,
    /// Some ask for all (`[peers]`).
    Peers,
}

impl ListSource {
    /// The names of all.
    pub const NAMES: [&'static str; 3] = ["none", "turns", "peers"];

    /// The way of this name.
    pub fn from_name(name: &str) -> Option<ListSource> {
        [ListSource::None, ListSource::Turns, ListSource::Peers]
            .into_iter()
            .zip(ListSource::NAMES)
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
    pub list_source: ListSource,
    /// Proxies start within this time.
    pub start_window: Duration,
    /// How long clients call.
    pub load_duration: Duration,
    /// What a host is.
    pub host: cold_hosts::HostModel,
    /// Hosts that each proxy keeps to (`[subset]`); 0: all.
    pub subset: usize,
}

/// What a course came to.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The course's seed.
    pub seed: u64,
    /// How proxies came to their lists.
    #[serde(rename = "way")]
    pub list_source: ListSource,
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

impl RunReport {
    /// Did the rules hold, and do all have the newest list in the end?
    pub fn held(&self) -> bool {
        self.first.is_none()
    }
}

/// One call.
#[derive(Clone, Debug)]
struct CallRecord {
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
    datagram_address: watch::Receiver<Option<SocketAddr>>,
    service: Link,
    peers: DatagramLink,
    file: PathBuf,
}

struct Fleet {
    size: Size,
    programs: (PathBuf, Vec<String>),
    folder: Folder,
    hosts: tokio::sync::Mutex<Hosts>,
    service: Service,
    proxies: Vec<Proxy>,
    /// What holds at the links between proxies.
    link_faults: Mutex<LinkFaults>,
    /// Proxies that were killed or stood still: who, from when, until when.
    down: Mutex<Vec<(usize, Micros, Micros)>>,
    /// Hosts that drained, by place, and the version that said so.
    drained: Mutex<Vec<(usize, u64)>>,
    /// What the list says of each host.
    listed: Mutex<Vec<ListEntry>>,
    other_fleet_proxies: Mutex<Vec<Process>>,
}

#[derive(Default)]
struct LinkFaults {
    lose: bool,
    duplicate: bool,
    delay: bool,
    partitions: Vec<HashSet<usize>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn proxy_config(
    (size, index): (&Size, usize),
    service: SocketAddr,
    (name, advertise, seeds): (&str, SocketAddr, &str),
    fleet: &str,
) -> String {
    let list = match size.list_source {
        ListSource::None => String::new(),
        ListSource::Turns => format!("[list]\nrate = {}\nwait = \"30s\"\n", size.capacity * 0.8),
        ListSource::Peers => format!(
            "[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{advertise}\"\nseeds = [{seeds}]\nsecret = \"{name}\"\n\
             fleet = \"{fleet}\"\n"
        ),
    };
    let subset = match size.subset {
        0 => String::new(),
        hosts => format!("[subset]\ninstance = {index}\nsize = {hosts}\n"),
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

impl Fleet {
    async fn build(
        programs: &(PathBuf, Vec<String>),
        size: Size,
        seed: u64,
        keep: bool,
    ) -> Result<Fleet, String> {
        let text = |e: std::io::Error| e.to_string();
        let mut folder = Folder::new(&format!("start-{seed:x}-{:?}", size.list_source))?;
        folder.keep = keep;
        let secret = folder.write(
            "secret",
            &format!("a secret of the trial {seed:016x}"),
            true,
        )?;
        let mut hosts = Hosts::new(size.host);
        let mut listed = Vec::new();
        for _ in 0..size.hosts {
            let index = hosts.add().await?;
            listed.push(Some((hosts.addresses[index], false, unix_ms())));
        }
        let service =
            Service::start(listed.iter().copied().enumerate().collect(), size.capacity).await?;
        let (_, at) = watch::channel(Some(service.address));
        let mut built = Vec::new();
        for index in 0..size.proxies {
            let (datagram_address_updates, datagram_address) = watch::channel(None);
            let link = Link::to(at.clone()).await.map_err(text)?;
            let peers = DatagramLink::to(datagram_address.clone(), seed ^ index as u64)
                .await
                .map_err(text)?;
            built.push((datagram_address_updates, datagram_address, link, peers));
        }
        let seeds: Vec<String> = built
            .iter()
            .take(SEEDS)
            .map(|b| format!("\"{}\"", b.3.address))
            .collect();
        let mut proxies = Vec::new();
        for (index, (datagram_address_updates, datagram_address, service, peers)) in
            built.into_iter().enumerate()
        {
            let own = (
                &*secret.display().to_string(),
                peers.address,
                &*seeds.join(", "),
            );
            let file = folder.write(
                &format!("p{index}.toml"),
                &proxy_config((&size, index), service.address, own, "trial"),
                false,
            )?;
            let mut arguments = programs.1.clone();
            arguments.extend(["run".to_owned(), file.display().to_string()]);
            let spec = ProcessSpec {
                program: programs.0.clone(),
                arguments,
                debug_filter: Vec::new(),
                environment: Vec::new(),
            };
            // Started later, when its moment has come.
            let process =
                tokio::sync::Mutex::new(Process::unstarted(spec, datagram_address_updates));
            proxies.push(Proxy {
                process,
                address: Mutex::new(None),
                datagram_address,
                service,
                peers,
                file,
            });
        }
        Ok(Fleet {
            size,
            programs: programs.clone(),
            folder,
            hosts: tokio::sync::Mutex::new(hosts),
            service,
            proxies,
            link_faults: Mutex::default(),
            down: Mutex::default(),
            drained: Mutex::default(),
            listed: Mutex::new(listed),
            other_fleet_proxies: Mutex::default(),
        })
    }

    async fn start(&self, index: usize) -> Result<(), String> {
        let proxy = &self.proxies[index];
        let mut process = proxy.process.lock().await;
        process.spawn()?;
        let address = process.listen_address().await?;
        *locked(&proxy.address) = Some(address);
        drop(process);
        self.apply_link_faults();
        Ok(())
    }

    async fn kill(&self, index: usize) {
        *locked(&self.proxies[index].address) = None;
        self.proxies[index].process.lock().await.kill().await;
    }

    /// Sets all links between proxies by what holds.
    fn apply_link_faults(&self) {
        let link_faults = locked(&self.link_faults);
        let peer_addresses: Vec<Option<SocketAddr>> = self
            .proxies
            .iter()
            .map(|p| *p.datagram_address.borrow())
            .collect();
        for (to, proxy) in self.proxies.iter().enumerate() {
            let separated = |from: usize| {
                link_faults
                    .partitions
                    .iter()
                    .any(|half| half.contains(&from) != half.contains(&to))
            };
            let blocked: HashSet<SocketAddr> = if link_faults.partitions.is_empty() {
                HashSet::new()
            } else {
                (0..peer_addresses.len())
                    .filter(|from| separated(*from))
                    .filter_map(|from| peer_addresses[from])
                    .collect()
            };
            proxy.peers.set(|state| {
                state.forward.loss = if link_faults.lose { 0.33 } else { 0.0 };
                state.forward.duplication = if link_faults.duplicate { 0.33 } else { 0.0 };
                state.forward.max_delay = if link_faults.delay {
                    Duration::from_secs(2)
                } else {
                    Duration::ZERO
                };
                state.blocked_sources = Arc::new(blocked);
            });
        }
    }

    /// Proxies that ask the list service for all, by their logs.
    async fn pollers(&self) -> Vec<usize> {
        let mut pollers = Vec::new();
        for (index, proxy) in self.proxies.iter().enumerate() {
            let log = proxy.process.lock().await.log();
            let last = log.iter().rev().find(|(_, l)| {
                l.contains("became poller")
                    || l.contains("stopped polling")
                    || l.contains("listening on")
            });
            if last.is_some_and(|(_, l)| l.contains("became poller")) {
                pollers.push(index);
            }
        }
        pollers
    }

    fn choose_proxies(&self, target_seed: u64, share: f64) -> Vec<usize> {
        let mut rng = Pcg32::seed_from_u64(target_seed);
        (0..self.proxies.len())
            .filter(|_| rng.gen_bool(share))
            .collect()
    }

    async fn restart(&self, targets: &[usize], until: Instant) -> Result<(), String> {
        let from = now();
        for &index in targets {
            self.proxies[index]
                .process
                .lock()
                .await
                .signal(Signal::KILL);
        }
        for &index in targets {
            self.kill(index).await;
        }
        tokio::time::sleep_until(until).await;
        for &index in targets {
            self.start(index).await?;
        }
        let until = now();
        locked(&self.down).extend(targets.iter().map(|index| (*index, from, until)));
        Ok(())
    }

    async fn stop_and_continue(&self, targets: &[usize], until: Instant) {
        let from = now();
        for &index in targets {
            self.proxies[index]
                .process
                .lock()
                .await
                .signal(Signal::STOP);
        }
        tokio::time::sleep_until(until).await;
        for &index in targets {
            self.proxies[index]
                .process
                .lock()
                .await
                .signal(Signal::CONT);
        }
        let until = now();
        locked(&self.down).extend(targets.iter().map(|index| (*index, from, until)));
    }

    async fn inject(self: Arc<Self>, fault: Fault, began: Instant) -> Result<(), String> {
        tokio::time::sleep_until(began + fault.from).await;
        let until = began + fault.until;
        let change_link_faults = |change: &dyn Fn(&mut LinkFaults)| {
            change(&mut locked(&self.link_faults));
            self.apply_link_faults();
        };
        match fault.kind {
            Kind::KillMany => {
                self.restart(&self.choose_proxies(fault.target_seed, 0.7), until)
                    .await?
            }
            Kind::KillAll => {
                self.restart(&self.choose_proxies(fault.target_seed, 1.0), until)
                    .await?
            }
            Kind::KillSeeds => {
                let seeds: Vec<usize> = (0..SEEDS.min(self.proxies.len())).collect();
                self.restart(&seeds, until).await?;
            }
            Kind::KillAskers => self.restart(&self.pollers().await, until).await?,
            Kind::StopAskers => self.stop_and_continue(&self.pollers().await, until).await,
            Kind::StopSome => {
                self.stop_and_continue(&self.choose_proxies(fault.target_seed, 0.3), until)
                    .await
            }
            Kind::Roll => {
                let targets = self.choose_proxies(fault.target_seed, 0.3);
                let pause = (fault.until - fault.from) / targets.len().max(1) as u32;
                for index in targets {
                    let from = now();
                    *locked(&self.proxies[index].address) = None;
                    self.proxies[index].process.lock().await.terminate().await?;
                    self.start(index).await?;
                    locked(&self.down).push((index, from, now()));
                    tokio::time::sleep(pause).await;
                }
            }
            Kind::ServiceDown | Kind::ServiceSlow | Kind::ServiceOld => {
                let state = match fault.kind {
                    Kind::ServiceDown => ServiceState::Down,
                    Kind::ServiceSlow => ServiceState::Slow,
                    _ => ServiceState::Stale(1 + fault.target_seed % 2),
                };
                self.service.set_state(state);
                tokio::time::sleep_until(until).await;
                self.service.set_state(ServiceState::Healthy);
            }
            Kind::CutFromService => {
                let targets = self.choose_proxies(fault.target_seed, 0.5);
                let set = |forwarding| {
                    targets.iter().for_each(|p| {
                        self.proxies[*p]
                            .service
                            .set(|s| (s.forward, s.backward) = (forwarding, forwarding));
                    });
                };
                set(Forwarding::Cut);
                tokio::time::sleep_until(until).await;
                set(Forwarding::Normal);
            }
            Kind::CutFromPeers | Kind::Halves => {
                let share = if fault.kind == Kind::Halves { 0.5 } else { 0.2 };
                let halves = match fault.kind {
                    Kind::Halves => vec![self
                        .choose_proxies(fault.target_seed, share)
                        .into_iter()
                        .collect()],
                    // Each by itself.
                    _ => self
                        .choose_proxies(fault.target_seed, share)
                        .into_iter()
                        .map(|p| HashSet::from([p]))
                        .collect(),
                };
                change_link_faults(&|w| w.partitions.extend(halves.iter().cloned()));
                tokio::time::sleep_until(until).await;
                change_link_faults(&|w| w.partitions.retain(|h| !halves.contains(h)));
            }
            Kind::Lossy | Kind::Doubled | Kind::Late => {
                let set = |on: bool| {
                    change_link_faults(&|w| match fault.kind {
                        Kind::Lossy => w.lose = on,
                        Kind::Doubled => w.duplicate = on,
                        _ => w.delay = on,
                    });
                };
                set(true);
                tokio::time::sleep_until(until).await;
                set(false);
            }
            Kind::Replace => self.replace().await?,
            Kind::Drain => self.drain(fault, until).await,
            Kind::OtherFleet => self.start_other_fleet_proxy(fault.target_seed).await?,
        }
        Ok(())
    }

    /// Half of the hosts go, and others come.
    async fn replace(&self) -> Result<(), String> {
        let mut hosts = self.hosts.lock().await;
        let mut changes = Vec::new();
        let count = locked(&self.listed).len();
        for index in 0..count / 2 {
            let new = hosts.add().await?;
            changes.push((index, None));
            changes.push((new, Some((hosts.addresses[new], false, unix_ms()))));
        }
        let mut listed = locked(&self.listed);
        for (index, entry) in &changes {
            match listed.get_mut(*index) {
                Some(old) => *old = *entry,
                None => listed.push(*entry),
            }
        }
        let version = self.service.change(changes);
        locked(&self.drained).extend((0..count / 2).map(|index| (index, version)));
        Ok(())
    }

    async fn drain(&self, fault: Fault, until: Instant) {
        let index = {
            let mut listed = locked(&self.listed);
            let up: Vec<usize> = (0..listed.len())
                .filter(|p| matches!(listed[*p], Some((_, false, _))))
                .collect();
            let Some(&index) = up.choose(&mut Pcg32::seed_from_u64(fault.target_seed)) else {
                return;
            };
            if let Some((_, drains, _)) = &mut listed[index] {
                *drains = true;
            }
            let version = self.service.change(vec![(index, listed[index])]);
            locked(&self.drained).push((index, version));
            index
        };
        tokio::time::sleep_until(until).await;
        let mut listed = locked(&self.listed);
        if listed[index].take().is_some() {
            self.service.change(vec![(index, None)]);
        }
    }

    /// A proxy of another fleet comes to the same seeds.
    async fn start_other_fleet_proxy(&self, target_seed: u64) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.proxies[0].file).map_err(|e| e.to_string())?;
        let text = text.replace("fleet = \"trial\"", "fleet = \"another\"");
        let own = format!("advertise = \"{}\"\n", self.proxies[0].peers.address);
        let file = self.folder.write(
            &format!("stranger-{target_seed:x}.toml"),
            &text.replace(&own, ""),
            false,
        )?;
        let mut arguments = self.programs.1.clone();
        arguments.extend(["run".to_owned(), file.display().to_string()]);
        let spec = ProcessSpec {
            program: self.programs.0.clone(),
            arguments,
            debug_filter: Vec::new(),
            environment: Vec::new(),
        };
        let process = Process::start(spec).await?;
        locked(&self.other_fleet_proxies).push(process);
        Ok(())
    }

    /// Clients call as fast as the hosts can bear, times [`LOAD`], each by its own proxy once that listens.
    async fn load(self: Arc<Self>, seed: u64, began: Instant) -> Vec<CallRecord> {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut in_flight, mut calls) = (tokio::task::JoinSet::new(), Vec::new());
        let (mut due, mut last, mut number) = (0.0, Instant::now(), 0);
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        while began.elapsed() < self.size.load_duration {
            interval.tick().await;
            let listening: Vec<(usize, SocketAddr)> = self
                .proxies
                .iter()
                .enumerate()
                .filter_map(|(index, p)| Some((index, (*locked(&p.address))?)))
                .collect();
            let age = Micros::try_from(began.elapsed().as_micros()).unwrap_or(Micros::MAX);
            let share = listening.len() as f64 / self.proxies.len() as f64;
            let rate = LOAD_SHARE * self.size.hosts as f64 * self.size.host.capacity(age) * share;
            due += rate * last.elapsed().as_secs_f64();
            last = Instant::now();
            while due >= 1.0 && !listening.is_empty() {
                due -= 1.0;
                number += 1;
                let (proxy, address) = listening[rng.gen_range(0..listening.len())];
                let path = if rng.gen_bool(0.62) { ENTRY } else { CHARGE };
                in_flight.spawn(call_with_retries(
                    format!("{seed:x}-{number}"),
                    path,
                    proxy,
                    address,
                ));
            }
            while let Some(done) = in_flight.try_join_next() {
                calls.extend(done);
            }
        }
        while let Some(done) = in_flight.join_next().await {
            calls.extend(done);
        }
        calls
    }

    /// Proxies whose list is not the newest, waited for.
    async fn behind(&self) -> Result<usize, String> {
        let end = Instant::now() + CONVERGENCE_TIMEOUT;
        let newest = self.service.newest();
        let mut behind: Vec<usize> = (0..self.proxies.len()).collect();
        loop {
            let mut remaining = Vec::new();
            for index in behind {
                let proxy = &self.proxies[index];
                let Some(at) = *proxy.datagram_address.borrow() else {
                    remaining.push(index);
                    continue;
                };
                let mut command = tokio::process::Command::new(&self.programs.0);
                command
                    .args(&self.programs.1)
                    .arg("peers")
                    .arg(&proxy.file)
                    .args(["--json", "--at"])
                    .arg(at.to_string());
                let output = command.output().await.map_err(|e| e.to_string())?;
                let status: Option<serde_json::Value> = serde_json::from_slice(&output.stdout).ok();
                let list_version = status.and_then(|t| t["standing"]["list"][0]["index"].as_u64());
                if list_version != Some(newest) {
                    remaining.push(index);
                }
            }
            behind = remaining;
            if behind.is_empty() || Instant::now() >= end {
                return Ok(behind.len());
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
}

async fn call_with_retries(
    key: String,
    path: &'static str,
    proxy: usize,
    address: SocketAddr,
) -> CallRecord {
    let from = now();
    let mut call = CallRecord {
        key,
        from,
        served: None,
        ended: Ended::Nobody,
        proxy,
        last: from,
    };
    for _ in 0..MAX_ATTEMPTS {
        call.last = now();
        let (ended, retry_after) = call_once(address, path, &call.key).await;
        call.ended = ended;
        match ended {
            Ended::Status(200) => {
                call.served = Some(now());
                break;
            }
            Ended::Status(429 | 503) => {
                tokio::time::sleep(retry_after.unwrap_or(MAX_RETRY_PAUSE).min(MAX_RETRY_PAUSE))
                    .await;
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
pub async fn run(
    programs: &(PathBuf, Vec<String>),
    size: Size,
    schedule: &FaultSchedule,
    keep: bool,
) -> Result<RunReport, String> {
    let fleet = Arc::new(Fleet::build(programs, size, schedule.seed, keep).await?);
    let (began, zero) = (Instant::now(), now());
    let mut tasks = tokio::task::JoinSet::new();
    let mut order: Vec<usize> = (0..size.proxies).collect();
    order.shuffle(&mut Pcg32::seed_from_u64(schedule.seed));
    for (n, index) in order.into_iter().enumerate() {
        let (fleet, at) = (
            Arc::clone(&fleet),
            began + size.start_window.mul_f64(n as f64 / size.proxies as f64),
        );
        tasks.spawn(async move {
            tokio::time::sleep_until(at).await;
            fleet.start(index).await
        });
    }
    let mut faults = tokio::task::JoinSet::new();
    for &fault in &schedule.faults {
        // Processes end only after they have started.
        let from = if fault.kind.targets_processes() {
            fault.from.max(size.start_window)
        } else {
            fault.from
        };
        let fault = Fault {
            from,
            until: fault.until.max(from + Duration::from_millis(300)),
            ..fault
        };
        faults.spawn(Arc::clone(&fleet).inject(fault, began));
    }
    let load = tokio::spawn(Arc::clone(&fleet).load(schedule.seed, began));
    while let Some(done) = tasks.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    while let Some(done) = faults.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    let calls = load.await.map_err(|e| e.to_string())?;
    let behind = if size.list_source == ListSource::Peers {
        fleet.behind().await?
    } else {
        0
    };
    report::evaluate(&fleet, schedule, (zero, calls), behind).await
}
