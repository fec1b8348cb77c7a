//! Test of policy changes, which must be in force everywhere or nowhere. Proxies and replicas of the control plane run
//! as processes; hosts count what they execute, and clients retry at other proxies. The published policies alternate:
//! calls of `cobro-mensual` are idempotent by key under one and unsafe under the next. The hosts deduplicate them as
//! long as any proxy may treat them as keyed, and stop once they are unsafe everywhere.

use crate::baseline::{self, Distribution, WrittenFile};
use crate::checker::{check, PublishRecord, StartRecord, Verdict};
use crate::clients::{self, Addresses, Ended, CALL_TIMEOUT};
use crate::hosts::Hosts;
use crate::link::{Forwarding, Link};
use crate::now;
use crate::process::{Folder, Process, ProcessSpec};
use crate::schedule::{Fault, FaultSchedule, Kind};
use badgerramp_config_tool::fleet::{At, Control, Outcome};
use badgerramp_policy::Micros;
use rustix::process::Signal;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Lease duration of the tested control plane, in milliseconds. A tenth of the default, so that leases expire within a
/// run.
const LEASE_MS: u64 = 1_000;
/// A change that is not in force after this time is aborted, in milliseconds.
const WAIT_MS: u64 = 6_000;
const ELECTION_MS: u64 = 400;
/// Longest wait for a reply of the control plane and for all proxies to get a lease.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Share of the answers to keyed and unsafe calls that are lost after the call was executed.
const ANSWER_LOSS: f64 = 0.05;
const CHARGE: &str = "/cobro-mensual";
const ENTRY: &str = "/registro-entrada";

/// How the processes are started: a program and the arguments that precede its own.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The client proxy.
    pub proxy: (PathBuf, Vec<String>),
    /// A replica of the control plane.
    pub control: (PathBuf, Vec<String>),
}

/// Size and settings of the tested fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of replicas of the control plane: 1, 3 or 5.
    pub replicas: usize,
    /// Calls per second over all proxies.
    pub rate: f64,
    /// Policy changes per run, besides the final one.
    pub publishes: usize,
    /// Some proxies switch to the fallback policy, or keep their policy, when they lose their lease. Otherwise all
    /// reject calls.
    pub mixed_on_lease_loss: bool,
    /// How the policy is distributed to the proxies.
    pub distribution: Distribution,
}

/// Resource usage of an idle fleet: no policy change in progress and no calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleCost {
    /// CPU time of all replicas together, in microseconds per proxy and second.
    pub control_us: f64,
    /// CPU time of a proxy, in microseconds per second.
    pub proxy_us: f64,
    /// Median resident memory of the proxies, in KiB.
    pub proxy_kib: u64,
    /// Median resident memory of the replicas, in KiB.
    pub control_kib: u64,
}

/// How long the idle fleet is measured.
const IDLE_MEASUREMENT: Duration = Duration::from_secs(6);

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// The faults that were injected.
    pub faults: Vec<Fault>,
    /// The violations that were found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The outcome of each change, in order.
    pub outcome: Vec<&'static str>,
    /// For each change in force, the time from its publish to its outcome, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Why the other changes are not in force.
    pub why: Vec<String>,
    /// Resource usage of the idle fleet; measured only in runs without faults.
    #[serde(rename = "calm")]
    pub idle_cost: Option<IdleCost>,
    /// Changes that had no outcome long after the last fault had ended.
    pub unended: usize,
}

impl RunReport {
    /// Whether no invariant was violated and every change had an outcome.
    pub fn held(&self) -> bool {
        self.verdict.held() && self.unended == 0
    }
}

/// The policy: calls of `cobro-mensual` are keyed, or unsafe.
fn policy(keyed: bool) -> String {
    let effect = if keyed {
        "effect = \"keyed\"\ngroup = \"group\"\nwindow = \"1200ms\""
    } else {
        "effect = \"unsafe\""
    };
    let key = if keyed {
        "key = { header = \"Idempotency-Key\" }\n"
    } else {
        ""
    };
    format!(
        r#"listen = "127.0.0.1:0"
[limits]
memory = "64MiB"
descriptors = 512
open_calls = 150
body = "64KiB"
retry_after = "1s"
[upstream]
zone = "liberia"
endpoints = [{{ name = "s-1", address = "127.0.0.1:9001", zone = "liberia", group = 1 }}]
[defaults]
connect = "250ms"
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
attempt = "350ms"
[class.cobro-mensual]
aim = "800ms"
deadline = "1500ms"
worth = 10
late_worth = 0
attempts = 3
attempt = "400ms"
{effect}
[policy]
control = ["127.0.0.1:1"]
secret = "secret"
application = "caja"
floor = ["registro-entrada"]
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
{key}"#
    )
}

/// The configuration file of one proxy: the first policy together with the settings of this proxy.
fn proxy_config(
    hosts: &[SocketAddr],
    control: &[SocketAddr],
    folder: &Path,
    (name, lease_loss_setting): (&str, &str),
) -> String {
    let quoted = |all: &[SocketAddr]| {
        all.iter()
            .map(|a| format!("\"{a}\""))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let endpoint = |(n, a): (usize, &SocketAddr)| {
        format!("{{ name = \"s-{n}\", address = \"{a}\", zone = \"liberia\", group = 1 }}")
    };
    let endpoints: Vec<String> = hosts.iter().enumerate().map(endpoint).collect();
    let secret = folder.join("secret");
    let state = folder.join(format!("state-{name}"));
    let own = format!(
        "control = [{}]\nsecret = \"{}\"\nname = \"{name}\"\ncut_off = \"{lease_loss_setting}\"\nstate = \"{}\"",
        quoted(control),
        secret.display(),
        state.display()
    );
    let log = "[log]\nformat = \"json\"\nlevel = \"info\"\nrate = 100000\n\
               targets = { \"badgerramp::begun\" = \"debug\" }\n";
    let text = policy(true)
        .replace("control = [\"127.0.0.1:1\"]\nsecret = \"secret\"", &own)
        .replace("[upstream]", &format!("{log}[upstream]"));
    let from = text.find("endpoints = [").unwrap_or(0);
    let until = text[from..].find('\n').map_or(text.len(), |n| from + n);
    format!(
        "{}endpoints = [{}]{}",
        &text[..from],
        endpoints.join(", "),
        &text[until..]
    )
}

/// The configuration file of a proxy that runs without the control plane and has the policy in its own file.
fn config_without_control(text: &str, keyed: bool) -> String {
    let part = |text: &str| {
        let from = text.find("[defaults]").unwrap_or(text.len());
        (text[..from].to_owned(), text[from..].to_owned())
    };
    let (own, policy) = (part(text).0, part(&policy(keyed)).1);
    let (from, until) = (policy.find("[policy]"), policy.find("[[route]]"));
    let (from, until) = (from.unwrap_or(policy.len()), until.unwrap_or(policy.len()));
    format!("{own}{}{}", &policy[..from], &policy[until..])
}

/// The replicas of the control plane, and the links to them.
struct Replicas {
    all: Vec<tokio::sync::Mutex<Process>>,
    addresses_by_replica: Vec<watch::Sender<Option<SocketAddr>>>,
    links: Vec<Link>,
}

/// A running fleet.
struct Fleet {
    folder: Folder,
    hosts: Hosts,
    replicas: Replicas,
    proxies: Vec<tokio::sync::Mutex<Process>>,
    addresses: Addresses,
    /// The links from each proxy to each replica, by proxy and replica.
    links: Vec<Vec<Link>>,
    /// The current faults of the links.
    link_states: Mutex<LinkStates>,
    /// When a proxy, its links to the control plane, or the control plane was affected by a fault.
    outages: Mutex<Vec<Outage>>,
    /// Configuration files written without the control plane. The next generation follows the highest of these.
    written_files: Mutex<Vec<WrittenFile>>,
}

/// The current faults of the links and the unavailable proxies.
#[derive(Default)]
struct LinkStates {
    /// Forward and backward state of the links between a proxy and the control plane, by proxy.
    proxies: HashMap<usize, (Forwarding, Forwarding)>,
    /// Replicas that cannot be reached.
    cut: HashSet<usize>,
    /// Proxies that are not running, and proxies that are suspended.
    down: HashSet<usize>,
    stopped: HashSet<usize>,
}

/// A time span in which a proxy or the control plane was affected by a fault.
#[derive(Clone, Copy)]
struct Outage {
    /// Index of the proxy; `None` for the control plane.
    proxy: Option<usize>,
    /// Whether the proxy process itself was affected, and not only its links to the control plane.
    process: bool,
    from: Micros,
    until: Micros,
}

impl Outage {
    fn overlaps(&self, from: Micros, until: Micros, after: Micros) -> bool {
        self.from <= until && from <= self.until + after
    }
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn lease_loss_setting(index: usize, size: Size) -> &'static str {
    match index % 10 {
        8 if size.mixed_on_lease_loss => "narrow",
        9 if size.mixed_on_lease_loss => "keep",
        _ => "refuse",
    }
}

impl Fleet {
    async fn start(
        programs: &Programs,
        size: Size,
        seed: u64,
        keep: bool,
    ) -> Result<Fleet, String> {
        let mut folder = Folder::new(&format!("{seed:x}"))?;
        folder.keep = keep;
        folder.write(
            "secret",
            &format!("a secret of the trial {seed:016x}"),
            true,
        )?;
        let hosts = Hosts::start(3, ANSWER_LOSS, &[CHARGE, ENTRY], seed).await?;
        let replicas = Replicas::start(programs, size, &folder).await?;
        let mut links = Vec::new();
        let mut starts = tokio::task::JoinSet::new();
        for index in 0..size.proxies {
            let mut own = Vec::new();
            for addresses_by_replica in &replicas.addresses_by_replica {
                own.push(
                    Link::to(addresses_by_replica.subscribe())
                        .await
                        .map_err(|e| e.to_string())?,
                );
            }
            let control: Vec<SocketAddr> = own.iter().map(|l| l.address).collect();
            links.push(own);
            let named = format!("p{index}");
            let text = proxy_config(
                &hosts.addresses,
                &control,
                folder.path(),
                (&named, lease_loss_setting(index, size)),
            );
            let text = if size.distribution == Distribution::Control {
                text
            } else {
                config_without_control(&text, true)
            };
            let file = folder.write(&format!("{named}.toml"), &text, false)?;
            let mut arguments = programs.proxy.1.clone();
            arguments.extend(["run".to_owned(), file.display().to_string()]);
            let debug_filter = vec!["badgerramp::begun"];
            let spec = ProcessSpec {
                program: programs.proxy.0.clone(),
                arguments,
                debug_filter,
                environment: Vec::new(),
            };
            starts.spawn(async move { (index, Process::start(spec).await) });
        }
        let mut proxies: Vec<Option<Process>> = (0..size.proxies).map(|_| None).collect();
        while let Some(started) = starts.join_next().await {
            let (index, started) = started.map_err(|e| e.to_string())?;
            proxies[index] = Some(started?);
        }
        let mut addresses = Vec::new();
        let mut all = Vec::new();
        for mut proxy in proxies.into_iter().flatten() {
            addresses.push(proxy.listen_address().await?);
            all.push(tokio::sync::Mutex::new(proxy));
        }
        Ok(Fleet {
            folder,
            hosts,
            replicas,
            proxies: all,
            addresses: Arc::new(RwLock::new(addresses)),
            links,
            link_states: Mutex::default(),
            outages: Mutex::default(),
            written_files: Mutex::default(),
        })
    }

    fn control(&self) -> Result<Control, String> {
        Control::new(&At {
            control: self.replicas.links.iter().map(|l| l.address).collect(),
            secret: self.folder.path().join("secret"),
            timeout: WAIT_TIMEOUT.as_secs(),
        })
    }

    /// Publishes a policy and records the outcome.
    async fn publish(
        self: &Arc<Self>,
        distribution: Distribution,
        keyed: bool,
    ) -> Result<(PublishRecord, Outcome), String> {
        if distribution != Distribution::Control {
            return self.distribute_files(distribution, keyed).await;
        }
        let mut control = self.control()?;
        let started_at = std::time::Instant::now();
        let standing = control.standing().await.map_err(|e| e.to_string())?;
        let files = HashMap::from([("caja".to_owned(), policy(keyed))]);
        let done = control.publish(&files, standing.revision, |_| {}).await;
        let record = PublishRecord {
            generation: done.generation.unwrap_or(0),
            at: now(),
            in_force: done.outcome == Outcome::InForce,
            took_ms: u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            why: done.why,
        };
        Ok((record, done.outcome))
    }

    /// Replaces the configuration file of a proxy and sends it a SIGHUP. Returns false if the proxy cannot be reached.
    async fn deliver_file(
        &self,
        proxy: usize,
        keyed: bool,
        generation: u64,
    ) -> Result<bool, String> {
        let unreachable = {
            let link_states = locked(&self.link_states);
            let (forward, backward) = link_states.proxies.get(&proxy).copied().unwrap_or_default();
            link_states.down.contains(&proxy) || [forward, backward].contains(&Forwarding::Cut)
        };
        if unreachable {
            return Ok(false);
        }
        let process = self.proxies[proxy].lock().await;
        let path = self.folder.path().join(format!("p{proxy}.toml"));
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
        let new_path = self.folder.write(
            &format!("p{proxy}.new"),
            &config_without_control(&text, keyed),
            false,
        )?;
        locked(&self.written_files).push((now(), proxy, generation));
        std::fs::rename(&new_path, &path).map_err(|e| e.to_string())?;
        process.signal(Signal::HUP);
        Ok(true)
    }

    /// Distributes a policy without the control plane.
    async fn distribute_files(
        self: &Arc<Self>,
        distribution: Distribution,
        keyed: bool,
    ) -> Result<(PublishRecord, Outcome), String> {
        let started_at = Instant::now();
        let generation = locked(&self.written_files)
            .iter()
            .map(|w| w.2)
            .max()
            .unwrap_or(1)
            + 1;
        let done = |in_force: bool, why: &str| {
            let took_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let record = PublishRecord {
                generation,
                at: now(),
                in_force,
                took_ms,
                why: why.to_owned(),
            };
            (
                record,
                if in_force {
                    Outcome::InForce
                } else {
                    Outcome::NotInForce
                },
            )
        };
        let pause = Duration::from_millis(100);
        if distribution == Distribution::TwoPhase {
            let any_unreachable = || {
                let link_states = locked(&self.link_states);
                let cut = link_states
                    .proxies
                    .values()
                    .any(|(a, b)| [a, b].contains(&&Forwarding::Cut));
                cut || !link_states.down.is_empty() || !link_states.stopped.is_empty()
            };
            while any_unreachable() {
                if started_at.elapsed() > baseline::RETRY_DURATION {
                    return Ok(done(false, "not all proxies were reachable"));
                }
                tokio::time::sleep(pause).await;
            }
        }
        let mut tasks = tokio::task::JoinSet::new();
        for proxy in 0..self.proxies.len() {
            let fleet = Arc::clone(self);
            // Files are written to the proxies at intervals of 2 ms; gradual distribution spreads them over 2 s.
            let initial_delay = match distribution {
                Distribution::Spread => Duration::from_millis(proxy as u64 * 7_919 % 2_000),
                _ => Duration::from_millis(2 * proxy as u64),
            };
            tasks.spawn(async move {
                tokio::time::sleep(initial_delay).await;
                while !fleet.deliver_file(proxy, keyed, generation).await? {
                    if distribution == Distribution::Files
                        && started_at.elapsed() > baseline::RETRY_DURATION
                    {
                        break;
                    }
                    tokio::time::sleep(pause).await;
                }
                Ok::<_, String>(())
            });
        }
        if distribution == Distribution::Spread {
            // Gradual distribution has no completion signal. It is taken as complete after the time it needs without
            // faults.
            tokio::time::sleep(baseline::RETRY_DURATION).await;
            tokio::spawn(async move { while tasks.join_next().await.is_some() {} });
            return Ok(done(true, ""));
        }
        while let Some(task) = tasks.join_next().await {
            task.map_err(|e| e.to_string())??;
        }
        Ok(done(true, ""))
    }

    /// Waits until each proxy acts under the revision in force.
    async fn wait_until_settled(&self) -> Result<(), String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut control = self.control()?;
        loop {
            let standing = control.standing().await.map_err(|e| e.to_string())?;
            let settled_count = standing
                .proxies
                .iter()
                .filter(|p| p.acting == standing.revision)
                .count();
            if settled_count >= self.proxies.len() && standing.to_come.is_none() {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(format!(
                    "only {settled_count} of {} proxies got a lease in time",
                    self.proxies.len()
                ));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Measures the resource usage of the idle fleet.
    async fn measure_idle_cost(&self) -> IdleCost {
        async fn sum(all: &[tokio::sync::Mutex<Process>]) -> (u64, u64) {
            let (mut cpu_time, mut memory) = (0, Vec::new());
            for process in all {
                let usage = process.lock().await.usage().unwrap_or_default();
                cpu_time += usage.0;
                memory.push(usage.1);
            }
            memory.sort_unstable();
            (cpu_time, memory.get(memory.len() / 2).copied().unwrap_or(0))
        }
        let before = (sum(&self.proxies).await, sum(&self.replicas.all).await);
        tokio::time::sleep(IDLE_MEASUREMENT).await;
        let after = (sum(&self.proxies).await, sum(&self.replicas.all).await);
        let each = |a: u64, b: u64| {
            (b - a) as f64 / IDLE_MEASUREMENT.as_secs_f64() / self.proxies.len() as f64
        };
        IdleCost {
            control_us: each(before.1 .0, after.1 .0),
            proxy_us: each(before.0 .0, after.0 .0),
            proxy_kib: after.0 .1,
            control_kib: after.1 .1,
        }
    }

    fn apply_link_states(&self) {
        let link_states = locked(&self.link_states);
        for (proxy, links) in self.links.iter().enumerate() {
            let (forward, backward) = link_states.proxies.get(&proxy).copied().unwrap_or_default();
            for (replica, link) in links.iter().enumerate() {
                let cut = link_states.cut.contains(&replica);
                link.set(|s| {
                    (s.forward, s.backward) =
                        (if cut { Forwarding::Cut } else { forward }, backward);
                });
            }
        }
        for (replica, link) in self.replicas.links.iter().enumerate() {
            let cut = link_states.cut.contains(&replica);
            link.set(|s| {
                s.forward = if cut {
                    Forwarding::Cut
                } else {
                    Forwarding::Normal
                }
            });
        }
    }

    async fn inject(self: Arc<Self>, fault: Fault, began: Instant) -> Result<(), String> {
        tokio::time::sleep_until(began + fault.from).await;
        let from = now();
        let end = began + fault.until;
        let set_links = |forwarding| {
            locked(&self.link_states)
                .proxies
                .insert(fault.target, forwarding);
            self.apply_link_states();
        };
        let delayed = Forwarding::Delayed(Duration::from_millis(120));
        match fault.kind {
            Kind::KillAll => {
                let all: Vec<usize> = (0..self.proxies.len()).collect();
                locked(&self.link_states).down.extend(&all);
                let mut killed = tokio::task::JoinSet::new();
                for &target in &all {
                    let fleet = Arc::clone(&self);
                    killed.spawn(
                        async move { fleet.kill_proxy(Fault { target, ..fault }, end).await },
                    );
                }
                while let Some(done) = killed.join_next().await {
                    done.map_err(|e| e.to_string())??;
                }
                locked(&self.link_states).down.clear();
            }
            Kind::KillProxy | Kind::TruncatePolicy => {
                locked(&self.link_states).down.insert(fault.target);
                self.kill_proxy(fault, end).await?;
                locked(&self.link_states).down.remove(&fault.target);
            }
            Kind::StopProxy => {
                locked(&self.link_states).stopped.insert(fault.target);
                self.proxies[fault.target].lock().await.signal(Signal::STOP);
                tokio::time::sleep_until(end).await;
                self.proxies[fault.target].lock().await.signal(Signal::CONT);
                locked(&self.link_states).stopped.remove(&fault.target);
            }
            Kind::CutProxy => set_links((Forwarding::Cut, Forwarding::Cut)),
            Kind::CutFromProxy => set_links((Forwarding::Cut, Forwarding::Normal)),
            Kind::CutToProxy => set_links((Forwarding::Normal, Forwarding::Cut)),
            Kind::DelayProxy => set_links((delayed, delayed)),
            Kind::TrickleProxy => set_links((Forwarding::Trickle, Forwarding::Trickle)),
            Kind::ResetProxy => self.links[fault.target]
                .iter()
                .for_each(|l| l.set(|s| s.resets += 1)),
            Kind::KillReplica => {
                let mut replica = self.replicas.all[fault.target].lock().await;
                replica.kill().await;
                self.replicas.addresses_by_replica[fault.target].send_replace(None);
                tokio::time::sleep_until(end).await;
                replica.spawn()?;
                let address = replica.listen_address().await?;
                self.replicas.addresses_by_replica[fault.target].send_replace(Some(address));
            }
            Kind::StopReplica => {
                self.replicas.all[fault.target]
                    .lock()
                    .await
                    .signal(Signal::STOP);
                tokio::time::sleep_until(end).await;
                self.replicas.all[fault.target]
                    .lock()
                    .await
                    .signal(Signal::CONT);
            }
            Kind::CutReplica => {
                locked(&self.link_states).cut.insert(fault.target);
                self.apply_link_states();
                tokio::time::sleep_until(end).await;
                locked(&self.link_states).cut.remove(&fault.target);
                self.apply_link_states();
            }
            Kind::ResetReplica => {
                let reset = |link: &Link| link.set(|s| s.resets += 1);
                reset(&self.replicas.links[fault.target]);
                self.links
                    .iter()
                    .for_each(|links| reset(&links[fault.target]));
            }
        }
        tokio::time::sleep_until(end).await;
        if !fault.kind.targets_replica() {
            set_links((Forwarding::Normal, Forwarding::Normal));
        }
        let affects_process = matches!(
            fault.kind,
            Kind::KillProxy | Kind::KillAll | Kind::TruncatePolicy | Kind::StopProxy
        );
        let affected = match fault.kind {
            Kind::KillAll => (0..self.proxies.len()).map(Some).collect(),
            kind if kind.targets_replica() => vec![None],
            _ => vec![Some(fault.target)],
        };
        let until = now();
        let outages = affected.into_iter().map(|proxy| Outage {
            proxy,
            process: affects_process,
            from,
            until,
        });
        locked(&self.outages).extend(outages);
        Ok(())
    }

    async fn kill_proxy(&self, fault: Fault, end: Instant) -> Result<(), String> {
        let mut proxy = self.proxies[fault.target].lock().await;
        // Another process, even one of a concurrent run's fleet, may get the port of this proxy at once. Until the
        // proxy listens again, its address is one that refuses connections.
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 9));
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[fault.target] = unreachable;
        proxy.kill().await;
        let name = format!("p{}", fault.target);
        // A proxy that may continue without a lease blocks changes until an operator confirms that it has ended, by
        // evicting it.
        let log = proxy.log();
        let start_of = |l: &str| {
            l.contains("policy from control, as")
                .then(|| l.split(['(', ')']).nth(1).map(str::to_owned))
        };
        let start = log.iter().rev().find_map(|(_, l)| start_of(l)).flatten();
        let start = start.and_then(|s| u64::from_str_radix(&s, 16).ok());
        if !self.replicas.all.is_empty() {
            let mut control = self.control()?;
            tokio::spawn(async move {
                let _ = control.evict(&name, start).await;
            });
        }
        if fault.kind == Kind::TruncatePolicy {
            let path = self
                .folder
                .path()
                .join(format!("state-p{}", fault.target))
                .join("caja.policy");
            if let Ok(bytes) = std::fs::read(&path) {
                let _ = std::fs::write(&path, &bytes[..bytes.len() / 2]);
            }
        }
        tokio::time::sleep_until(end).await;
        proxy.spawn()?;
        let address = proxy.listen_address().await?;
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[fault.target] = address;
        Ok(())
    }
}

impl Replicas {
    async fn start(programs: &Programs, size: Size, folder: &Folder) -> Result<Replicas, String> {
        let (mut addresses_by_replica, mut links) = (Vec::new(), Vec::new());
        for _ in 0..size.replicas {
            let (address_updates, address) = watch::channel(None);
            links.push(Link::to(address).await.map_err(|e| e.to_string())?);
            addresses_by_replica.push(address_updates);
        }
        let named = |(n, link): (usize, &Link)| format!("{} = \"{}\"", n + 1, link.address);
        let named: Vec<String> = links.iter().enumerate().map(named).collect();
        let mut all = Vec::new();
        for (index, address_updates) in addresses_by_replica.iter().enumerate() {
            let number = index + 1;
            let text = format!(
                "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{number}\"\n\
                 secret = \"secret\"\nlease_ms = {LEASE_MS}\nwait_ms = {WAIT_MS}\nelection_ms = {ELECTION_MS}\n",
                named.join(", ")
            );
            let file = folder
                .write(&format!("control-{number}.toml"), &text, false)?
                .display()
                .to_string();
            let (program, leading_arguments) = &programs.control;
            let created = tokio::process::Command::new(program)
                .args(leading_arguments)
                .args(["create", &file])
                .stdout(std::process::Stdio::null())
                .status()
                .await;
            if !created.map_err(|e| e.to_string())?.success() {
                return Err(format!(
                    "{file}: the store of the replica could not be created"
                ));
            }
            let mut arguments = leading_arguments.clone();
            arguments.extend(["serve".to_owned(), file]);
            let spec = ProcessSpec {
                program: program.clone(),
                arguments,
                debug_filter: Vec::new(),
                environment: Vec::new(),
            };
            let mut process = Process::start(spec).await?;
            address_updates.send_replace(Some(process.listen_address().await?));
            all.push(tokio::sync::Mutex::new(process));
        }
        Ok(Replicas {
            all,
            addresses_by_replica,
            links,
        })
    }
}

/// Runs one fault schedule.
///
/// # Errors
/// Returns an error if the fleet could not be started or queried. The test itself failed then, which says nothing about
/// the tested programs.
pub async fn run(
    programs: &Programs,
    size: Size,
    schedule: &FaultSchedule,
    keep: bool,
) -> Result<RunReport, String> {
    let fleet = Arc::new(Fleet::start(programs, size, schedule.seed, keep).await?);
    let mut publishes = Vec::new();
    if size.distribution == Distribution::Control {
        let (record, first) = fleet.publish(size.distribution, true).await?;
        if first != Outcome::InForce {
            return Err(format!(
                "the first policy did not come into force: {}",
                record.why
            ));
        }
        publishes.push(record);
        fleet.wait_until_settled().await?;
    }

    let idle_cost = if schedule.faults.is_empty() {
        Some(fleet.measure_idle_cost().await)
    } else {
        None
    };
    let (stop, stopped) = watch::channel(false);
    let load = tokio::spawn(clients::run(
        Arc::clone(&fleet.addresses),
        (&[CHARGE, ENTRY], size.rate),
        schedule.seed,
        stopped,
    ));
    let began = Instant::now();
    let mut faults = tokio::task::JoinSet::new();
    for &fault in schedule
        .faults
        .iter()
        .filter(|f| size.distribution == Distribution::Control || !f.kind.targets_replica())
    {
        faults.spawn(Arc::clone(&fleet).inject(fault, began));
    }
    let (mut keyed, mut outcome, mut why, mut unended) = (true, Vec::new(), Vec::new(), 0);
    for &pause in &schedule.pauses {
        tokio::time::sleep(pause).await;
        if !keyed {
            // The hosts deduplicate again before any proxy may retry these calls.
            fleet.hosts.set_dedup(CHARGE, true);
        }
        let (record, end) = fleet.publish(size.distribution, !keyed).await?;
        match end {
            Outcome::InForce => {
                outcome.push("in-force");
                keyed = !keyed;
                if !keyed {
                    // Calls that are already running keep their policy until their deadline.
                    tokio::time::sleep(CALL_TIMEOUT + Duration::from_millis(300)).await;
                    fleet.hosts.set_dedup(CHARGE, false);
                }
            }
            Outcome::NotInForce => {
                outcome.push("not-in-force");
                why.push(record.why.clone());
            }
            Outcome::NotKnown => {
                outcome.push("not-known");
                unended += 1;
                why.push(record.why.clone());
            }
        }
        if end != Outcome::NotKnown && record.generation > 0 {
            publishes.push(record);
        }
    }
    while let Some(done) = faults.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    // All faults have ended, so this change must come into force.
    if !keyed {
        fleet.hosts.set_dedup(CHARGE, true);
    }
    let (record, end) = fleet.publish(size.distribution, !keyed).await?;
    unended += usize::from(end != Outcome::InForce);
    outcome.push(if end == Outcome::InForce {
        "in-force"
    } else {
        "not-in-force-though-well"
    });
    if end != Outcome::InForce {
        why.push(record.why.clone());
    }
    publishes.push(record);
    let _ = stop.send(true);
    let attempts = load.await.map_err(|e| e.to_string())?;

    let (mut begun, mut logs) = (Vec::new(), Vec::new());
    for (index, proxy) in fleet.proxies.iter().enumerate() {
        let mut proxy = proxy.lock().await;
        if let Some(end) = proxy.exit_report() {
            return Err(format!("proxy p{index} ended unexpectedly: {end}"));
        }
        proxy.kill().await;
        let log = proxy.log();
        begun.extend(
            log.iter()
                .filter_map(|(_, line)| StartRecord::parse(index, line)),
        );
        logs.push(log);
    }
    if size.distribution != Distribution::Control {
        begun = baseline::started_calls(&attempts, &logs, &locked(&fleet.written_files));
    }
    // Every served call has started and must be in the logs. With records missing, the invariants would pass unchecked.
    let served = attempts
        .iter()
        .filter(|t| t.ended == Ended::Status(200))
        .count();
    if begun.len() < served {
        return Err(format!(
            "{served} calls were served, but the logs contain only {} started calls",
            begun.len()
        ));
    }
    let outages = locked(&fleet.outages).clone();
    let proxy_healthy = |proxy: usize, from: Micros, until: Micros| {
        !outages
            .iter()
            .any(|u| u.process && u.proxy == Some(proxy) && u.overlaps(from, until, 0))
    };
    // After a fault of the control plane or of a link to it, all is healthy again once a lease and an election have
    // passed.
    let after = (LEASE_MS + 4 * ELECTION_MS) * 1_000;
    let all_healthy = |proxy: usize, from: Micros, until: Micros| {
        let concerns = |u: &&Outage| u.proxy.is_none_or(|p| p == proxy);
        !outages
            .iter()
            .filter(concerns)
            .any(|u| u.overlaps(from, until, after))
    };
    let verdict = check(
        begun,
        &publishes,
        &attempts,
        &fleet.hosts.executed(),
        proxy_healthy,
        all_healthy,
    );
    let in_force_ms = publishes
        .iter()
        .filter(|h| h.in_force && h.generation > 1)
        .map(|h| h.took_ms)
        .collect();
    Ok(RunReport {
        seed: schedule.seed,
        faults: schedule.faults.clone(),
        verdict,
        outcome,
        in_force_ms,
        why,
        idle_cost,
        unended,
    })
}
