//! Test of a simultaneous start of all proxies, as processes: a list service that handles one poll at a time, hosts
//! that are all cold, and clients that call as fast as the hosts can serve. Three ways to get the endpoint list are
//! compared: every proxy polls at once, polls in its turn, or receives the list from its peers.

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
/// Longest wait for all proxies to have the newest list.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of proxies that are gossip seeds of the fleet.
const SEEDS: usize = 3;
/// Share of the current capacity of all hosts that clients use.
const LOAD_SHARE: f64 = 0.8;
/// Attempts per call, and the longest pause between two of them.
const MAX_ATTEMPTS: usize = 3;
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// How the proxies get the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListSource {
    /// Every proxy polls the list service at once.
    None,
    /// Every proxy polls in its turn, within a round computed from the rate in the operator's file (`[list]`).
    Turns,
    /// A few proxies poll for all, and the others receive the list by gossip (`[peers]`).
    Peers,
}

impl ListSource {
    /// The command-line names of all variants, in order.
    pub const NAMES: [&'static str; 3] = ["none", "turns", "peers"];

    /// The variant with this command-line name.
    pub fn from_name(name: &str) -> Option<ListSource> {
        [ListSource::None, ListSource::Turns, ListSource::Peers]
            .into_iter()
            .zip(ListSource::NAMES)
            .find(|(_, n)| *n == name)
            .map(|(w, _)| w)
    }
}

/// Size and settings of the tested fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Polls per second that the list service can handle.
    pub capacity: f64,
    /// How the proxies get the endpoint list.
    pub list_source: ListSource,
    /// All proxies start within this time.
    pub start_window: Duration,
    /// How long clients send calls.
    pub load_duration: Duration,
    /// The model of a host's speed.
    pub host: cold_hosts::HostModel,
    /// Number of hosts that each proxy uses (`[subset]`); 0 means all.
    pub subset: usize,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// How the proxies got the endpoint list.
    #[serde(rename = "way")]
    pub list_source: ListSource,
    /// The faults that were injected.
    pub faults: Vec<Fault>,
    /// Time until a proxy has the list, from the first answer of the list service or, if later, from the start of the
    /// proxy: median, 99th percentile and maximum, in milliseconds.
    pub listed_ms: [u64; 3],
    /// Time from the first answer of the list service until the last proxy has the list, in milliseconds, whenever
    /// proxies started.
    pub all_listed_ms: u64,
    /// Proxies without a list at the end of the run.
    pub unlisted: usize,
    /// Proxies that do not have the newest list long after the last fault.
    pub behind: usize,
    /// Polls of the list service until all proxies had the list.
    pub questions_start: usize,
    /// All polls of the list service.
    pub questions: usize,
    /// Highest number of polls within a second.
    pub questions_most: usize,
    /// Polls that the list service rejected because they waited too long.
    pub given_up: u32,
    /// Highest number of connections that one host accepted within a second.
    pub connects_most: usize,
    /// Connections that all hosts accepted.
    pub connects: usize,
    /// Highest load of a host over [`cold_hosts::FALL_TIME`], as a multiple of its capacity at that time.
    pub multiple_most: f64,
    /// All calls.
    pub calls: usize,
    /// Calls that were served.
    pub served: usize,
    /// Share of the calls of the first ten seconds that were served.
    pub goodput: f64,
    /// Calls that a healthy proxy accepted and did not answer.
    pub lost: usize,
    /// Requests that were executed more than once.
    pub executed_twice: usize,
    /// Longest time from the first list that announced the drain or removal of a host to the last request at that host,
    /// in milliseconds; `None` if no host drained.
    pub drained_ms: Option<u64>,
    /// Description of the violations; `None` if there are none.
    pub first: Option<String>,
    /// For each second since the first start: polls, connections, calls, served calls.
    pub seconds: Vec<[usize; 4]>,
    /// For each tenth of a second: proxies that have a list.
    pub tenths: Vec<usize>,
}

impl RunReport {
    /// Whether no invariant was violated and all proxies have the newest list at the end.
    pub fn held(&self) -> bool {
        self.first.is_none()
    }
}

/// One call of a client.
#[derive(Clone, Debug)]
struct CallRecord {
    key: String,
    from: Micros,
    served: Option<Micros>,
    /// How the last attempt ended; `proxy` and `last` are its proxy and start.
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
    /// The current faults of the links between proxies.
    link_faults: Mutex<LinkFaults>,
    /// Proxies that were killed or suspended: index, from, until.
    down: Mutex<Vec<(usize, Micros, Micros)>>,
    /// Hosts that drained or were removed: index, and the list version that announced it.
    drained: Mutex<Vec<(usize, u64)>>,
    /// The current list entry of each host.
    list_entries: Mutex<Vec<ListEntry>>,
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
        let mut list_entries = Vec::new();
        for _ in 0..size.hosts {
            let index = hosts.add().await?;
            list_entries.push(Some((hosts.addresses[index], false, unix_ms())));
        }
        let service = Service::start(
            list_entries.iter().copied().enumerate().collect(),
            size.capacity,
        )
        .await?;
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
            let addresses = (
                &*secret.display().to_string(),
                peers.address,
                &*seeds.join(", "),
            );
            let file = folder.write(
                &format!("p{index}.toml"),
                &proxy_config((&size, index), service.address, addresses, "trial"),
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
            // The process is started later, at its time within the start window.
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
            list_entries: Mutex::new(list_entries),
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

    /// Applies the current faults to all links between proxies.
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

    /// The proxies that currently poll the list service for the fleet, according to their logs.
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

    /// Chooses a share of the proxies, determined by `seed`.
    fn choose(&self, seed: u64, share: f64) -> Vec<usize> {
        let mut rng = Pcg32::seed_from_u64(seed);
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

    async fn suspend(&self, targets: &[usize], until: Instant) {
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
            Kind::KillMany => self.restart(&self.choose(fault.seed, 0.7), until).await?,
            Kind::KillAll => self.restart(&self.choose(fault.seed, 1.0), until).await?,
            Kind::KillSeeds => {
                let seeds: Vec<usize> = (0..SEEDS.min(self.proxies.len())).collect();
                self.restart(&seeds, until).await?;
            }
            Kind::KillPollers => self.restart(&self.pollers().await, until).await?,
            Kind::StopPollers => self.suspend(&self.pollers().await, until).await,
            Kind::StopSome => self.suspend(&self.choose(fault.seed, 0.3), until).await,
            Kind::RollingRestart => {
                let targets = self.choose(fault.seed, 0.3);
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
            Kind::ServiceDown | Kind::ServiceSlow | Kind::ServiceStale => {
                let state = match fault.kind {
                    Kind::ServiceDown => ServiceState::Down,
                    Kind::ServiceSlow => ServiceState::Slow,
                    _ => ServiceState::Stale(1 + fault.seed % 2),
                };
                self.service.set_state(state);
                tokio::time::sleep_until(until).await;
                self.service.set_state(ServiceState::Healthy);
            }
            Kind::CutFromService => {
                let targets = self.choose(fault.seed, 0.5);
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
            Kind::CutFromPeers | Kind::Partition => {
                let share = if fault.kind == Kind::Partition {
                    0.5
                } else {
                    0.2
                };
                let halves = match fault.kind {
                    Kind::Partition => {
                        vec![self.choose(fault.seed, share).into_iter().collect()]
                    }
                    // Each of these proxies is separated from all others.
                    _ => self
                        .choose(fault.seed, share)
                        .into_iter()
                        .map(|p| HashSet::from([p]))
                        .collect(),
                };
                change_link_faults(&|w| w.partitions.extend(halves.iter().cloned()));
                tokio::time::sleep_until(until).await;
                change_link_faults(&|w| w.partitions.retain(|h| !halves.contains(h)));
            }
            Kind::Lossy | Kind::Duplicated | Kind::Late => {
                let set = |on: bool| {
                    change_link_faults(&|w| match fault.kind {
                        Kind::Lossy => w.lose = on,
                        Kind::Duplicated => w.duplicate = on,
                        _ => w.delay = on,
                    });
                };
                set(true);
                tokio::time::sleep_until(until).await;
                set(false);
            }
            Kind::Replace => self.replace().await?,
            Kind::Drain => self.drain(fault, until).await,
            Kind::OtherFleet => self.start_other_fleet_proxy(fault.seed).await?,
        }
        Ok(())
    }

    /// Replaces half of the hosts by new ones.
    async fn replace(&self) -> Result<(), String> {
        let mut hosts = self.hosts.lock().await;
        let mut changes = Vec::new();
        let count = locked(&self.list_entries).len();
        for index in 0..count / 2 {
            let new = hosts.add().await?;
            changes.push((index, None));
            changes.push((new, Some((hosts.addresses[new], false, unix_ms()))));
        }
        let mut list_entries = locked(&self.list_entries);
        for (index, entry) in &changes {
            match list_entries.get_mut(*index) {
                Some(old) => *old = *entry,
                None => list_entries.push(*entry),
            }
        }
        let version = self.service.change(changes);
        locked(&self.drained).extend((0..count / 2).map(|index| (index, version)));
        Ok(())
    }

    async fn drain(&self, fault: Fault, until: Instant) {
        let index = {
            let mut list_entries = locked(&self.list_entries);
            let up: Vec<usize> = (0..list_entries.len())
                .filter(|p| matches!(list_entries[*p], Some((_, false, _))))
                .collect();
            let Some(&index) = up.choose(&mut Pcg32::seed_from_u64(fault.seed)) else {
                return;
            };
            if let Some((_, drains, _)) = &mut list_entries[index] {
                *drains = true;
            }
            let version = self.service.change(vec![(index, list_entries[index])]);
            locked(&self.drained).push((index, version));
            index
        };
        tokio::time::sleep_until(until).await;
        let mut list_entries = locked(&self.list_entries);
        if list_entries[index].take().is_some() {
            self.service.change(vec![(index, None)]);
        }
    }

    /// Starts a proxy of another fleet with the same seeds.
    async fn start_other_fleet_proxy(&self, seed: u64) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.proxies[0].file).map_err(|e| e.to_string())?;
        let text = text.replace("fleet = \"trial\"", "fleet = \"another\"");
        let own = format!("advertise = \"{}\"\n", self.proxies[0].peers.address);
        let file = self.folder.write(
            &format!("stranger-{seed:x}.toml"),
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

    /// Sends calls at the share [`LOAD_SHARE`] of the hosts' current capacity, each to a random listening proxy.
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

    /// Waits until all proxies have the newest list, at most [`CONVERGENCE_TIMEOUT`]. Returns the number that do not.
    async fn count_outdated_proxies(&self) -> Result<usize, String> {
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
            // The proxy is gone, or the call may have run: it must not be retried.
            _ => break,
        }
    }
    call
}

/// Runs one fault schedule.
///
/// # Errors
/// Returns an error if the test itself failed, which says nothing about the tested program.
pub async fn run(
    programs: &(PathBuf, Vec<String>),
    size: Size,
    schedule: &FaultSchedule,
    keep: bool,
) -> Result<RunReport, String> {
    let fleet = Arc::new(Fleet::build(programs, size, schedule.seed, keep).await?);
    let (began, start_time) = (Instant::now(), now());
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
        // Faults that end or suspend processes begin once all have been started.
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
        fleet.count_outdated_proxies().await?
    } else {
        0
    };
    report::evaluate(&fleet, schedule, (start_time, calls), behind).await
}
