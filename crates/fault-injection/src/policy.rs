//! A change of policy that takes hold everywhere or nowhere, with processes: proxies, replicas of control, hosts that
//! count what they execute, clients that try again elsewhere. The policy makes `cobro-mensual` unsafe and keyed by
//! turns; hosts drop its repeats while it may be keyed and no longer once it is unsafe everywhere.

use crate::clients::{self, Addresses, Ended, TIME};
use crate::contender::{self, Way, Written};
use crate::course::{Course, Fault, Kind};
use crate::hosts::Hosts;
use crate::judge::{judge, Heard, Line, Verdict};
use crate::link::{Link, Pass};
use crate::now;
use crate::process::{Folder, Plan, Process};
use badgerramp_config_tool::fleet::{ControlArgs, ControlClient, Outcome};
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

/// A lease of the trial's control, in milliseconds: the product's is ten times that.
const LEASE_MS: u64 = 1_000;
/// A change that is not in force by then comes to nothing.
const WAIT_MS: u64 = 6_000;
const ELECTION_MS: u64 = 400;
/// Longest wait for what must come.
const LONG: Duration = Duration::from_secs(60);
/// Share of the answers to unsafe and keyed calls that are lost after the call ran.
const SPOILT: f64 = 0.05;
const CHARGE: &str = "/cobro-mensual";
const ENTRY: &str = "/registro-entrada";

/// How the programs are started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The client proxy, and what stands before its own arguments.
    pub proxy: (PathBuf, Vec<String>),
    /// A replica of control.
    pub control: (PathBuf, Vec<String>),
}

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Proxies.
    pub proxies: usize,
    /// Replicas of control: 1, 3 or 5.
    pub replicas: usize,
    /// Calls a second over all proxies.
    pub rate: f64,
    /// Changes of the policy in a course.
    pub publishes: usize,
    /// Some proxies go on by a floor, or keep on, when cut off.
    pub mixed_terms: bool,
    /// How the policy comes to them.
    pub way: Way,
}

/// What a fleet costs with no change under way and no calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Calm {
    /// CPU time of all replicas of control together, in microseconds for a proxy and second.
    pub control_us: f64,
    /// CPU time of a proxy, in microseconds a second.
    pub proxy_us: f64,
    /// Memory that a proxy holds, in KiB: the middle of all.
    pub proxy_kib: u64,
    /// The same for a replica of control.
    pub control_kib: u64,
}

/// How long calm is measured.
const CALM: Duration = Duration::from_secs(6);

/// What a course came to.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// The course's seed.
    pub seed: u64,
    /// Its faults.
    pub faults: Vec<Fault>,
    /// What broke.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// How the changes ended, in their order.
    pub outcome: Vec<&'static str>,
    /// For those in force: from publish to its end, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Why others were not.
    pub why: Vec<String>,
    /// What the fleet costs in calm; measured where no faults are drawn.
    pub calm: Option<Calm>,
    /// Changes that had not ended long after the last fault had.
    pub unended: usize,
}

impl Played {
    /// Did all hold?
    pub fn held(&self) -> bool {
        self.verdict.held() && self.unended == 0
    }
}

/// The policy: charges are keyed, or unsafe.
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

/// The file of one proxy: the policy's, with what is its own.
fn own_file(
    hosts: &[SocketAddr],
    control: &[SocketAddr],
    folder: &Path,
    (name, cut_off): (&str, &str),
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
        "control = [{}]\nsecret = \"{}\"\nname = \"{name}\"\ncut_off = \"{cut_off}\"\nstate = \"{}\"",
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

/// A proxy's file without control: the policy is its own.
fn alone(text: &str, keyed: bool) -> String {
    let part = |text: &str| {
        let from = text.find("[defaults]").unwrap_or(text.len());
        (text[..from].to_owned(), text[from..].to_owned())
    };
    let (own, policy) = (part(text).0, part(&policy(keyed)).1);
    let (from, until) = (policy.find("[policy]"), policy.find("[[route]]"));
    let (from, until) = (from.unwrap_or(policy.len()), until.unwrap_or(policy.len()));
    format!("{own}{}{}", &policy[..from], &policy[until..])
}

/// The replicas of control, and the ways to them.
struct Replicas {
    all: Vec<tokio::sync::Mutex<Process>>,
    at: Vec<watch::Sender<Option<SocketAddr>>>,
    links: Vec<Link>,
}

/// A fleet that runs.
struct World {
    folder: Folder,
    hosts: Hosts,
    replicas: Replicas,
    proxies: Vec<tokio::sync::Mutex<Process>>,
    addresses: Addresses,
    /// By proxy and replica.
    links: Vec<Vec<Link>>,
    /// What holds at the links of each proxy and before each replica.
    passes: Mutex<Passes>,
    /// When proxies were not well, and when the way from one to control, or control itself, was not.
    unwell: Mutex<Vec<Unwell>>,
    /// Without control: files that were written, and the generation that comes next.
    written: Mutex<Vec<Written>>,
}

/// What holds at links.
#[derive(Default)]
struct Passes {
    /// Between a proxy and control, by the proxy: forth and back.
    proxies: HashMap<usize, (Pass, Pass)>,
    /// Replicas that nothing reaches.
    cut: HashSet<usize>,
    /// Proxies that do not run, or stand still.
    down: HashSet<usize>,
    still: HashSet<usize>,
}

/// A span in which something was not well.
#[derive(Clone, Copy)]
struct Unwell {
    /// Which proxy; `None`: control.
    proxy: Option<usize>,
    /// The proxy itself, and not only its way to control.
    process: bool,
    from: Micros,
    until: Micros,
}

impl Unwell {
    fn touches(&self, from: Micros, until: Micros, after: Micros) -> bool {
        self.from <= until && from <= self.until + after
    }
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn cut_off(place: usize, size: Size) -> &'static str {
    match place % 10 {
        8 if size.mixed_terms => "narrow",
        9 if size.mixed_terms => "keep",
        _ => "refuse",
    }
}

impl World {
    async fn start(
        programs: &Programs,
        size: Size,
        seed: u64,
        keep: bool,
    ) -> Result<World, String> {
        let mut folder = Folder::new(&format!("{seed:x}"))?;
        folder.keep = keep;
        folder.write(
            "secret",
            &format!("a secret of the trial {seed:016x}"),
            true,
        )?;
        let hosts = Hosts::start(3, SPOILT, &[CHARGE, ENTRY], seed).await?;
        let replicas = Replicas::start(programs, size, &folder).await?;
        let mut links = Vec::new();
        let mut starts = tokio::task::JoinSet::new();
        for place in 0..size.proxies {
            let mut own = Vec::new();
            for at in &replicas.at {
                own.push(Link::to(at.subscribe()).await.map_err(|e| e.to_string())?);
            }
            let control: Vec<SocketAddr> = own.iter().map(|l| l.address).collect();
            links.push(own);
            let named = format!("p{place}");
            let text = own_file(
                &hosts.addresses,
                &control,
                folder.path(),
                (&named, cut_off(place, size)),
            );
            let text = if size.way == Way::Control {
                text
            } else {
                alone(&text, true)
            };
            let file = folder.write(&format!("{named}.toml"), &text, false)?;
            let mut arguments = programs.proxy.1.clone();
            arguments.extend(["run".to_owned(), file.display().to_string()]);
            let keep = vec!["badgerramp::begun"];
            let plan = Plan {
                program: programs.proxy.0.clone(),
                arguments,
                keep,
                variables: Vec::new(),
            };
            starts.spawn(async move { (place, Process::start(plan).await) });
        }
        let mut proxies: Vec<Option<Process>> = (0..size.proxies).map(|_| None).collect();
        while let Some(started) = starts.join_next().await {
            let (place, started) = started.map_err(|e| e.to_string())?;
            proxies[place] = Some(started?);
        }
        let mut addresses = Vec::new();
        let mut all = Vec::new();
        for mut proxy in proxies.into_iter().flatten() {
            addresses.push(proxy.listens().await?);
            all.push(tokio::sync::Mutex::new(proxy));
        }
        Ok(World {
            folder,
            hosts,
            replicas,
            proxies: all,
            addresses: Arc::new(RwLock::new(addresses)),
            links,
            passes: Mutex::default(),
            unwell: Mutex::default(),
            written: Mutex::default(),
        })
    }

    fn control(&self) -> Result<ControlClient, String> {
        ControlClient::new(&ControlArgs {
            control: self.replicas.links.iter().map(|l| l.address).collect(),
            secret: self.folder.path().join("secret"),
            timeout: LONG.as_secs(),
        })
    }

    /// Publishes the policy, and notes what is heard.
    async fn publish(self: &Arc<Self>, way: Way, keyed: bool) -> Result<(Heard, Outcome), String> {
        if way != Way::Control {
            return self.push(way, keyed).await;
        }
        let mut control = self.control()?;
        let begun = std::time::Instant::now();
        let standing = control.status().await.map_err(|e| e.to_string())?;
        let files = HashMap::from([("caja".to_owned(), policy(keyed))]);
        let done = control.publish(&files, standing.revision, |_| {}).await;
        let heard = Heard {
            generation: done.generation.unwrap_or(0),
            at: now(),
            in_force: done.outcome == Outcome::InForce,
            took_ms: u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX),
            why: done.reason,
        };
        Ok((heard, done.outcome))
    }

    /// Writes the file of a proxy and has it read, if it can be reached.
    async fn reach(&self, proxy: usize, keyed: bool, generation: u64) -> Result<bool, String> {
        let away = {
            let passes = locked(&self.passes);
            let (forth, back) = passes.proxies.get(&proxy).copied().unwrap_or_default();
            passes.down.contains(&proxy) || [forth, back].contains(&Pass::Cut)
        };
        if away {
            return Ok(false);
        }
        let process = self.proxies[proxy].lock().await;
        let path = self.folder.path().join(format!("p{proxy}.toml"));
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
        let fresh = self
            .folder
            .write(&format!("p{proxy}.new"), &alone(&text, keyed), false)?;
        locked(&self.written).push((now(), proxy, generation));
        std::fs::rename(&fresh, &path).map_err(|e| e.to_string())?;
        process.signal(Signal::HUP);
        Ok(true)
    }

    /// Brings the policy to each proxy without control.
    async fn push(self: &Arc<Self>, way: Way, keyed: bool) -> Result<(Heard, Outcome), String> {
        let begun = Instant::now();
        let generation = locked(&self.written).iter().map(|w| w.2).max().unwrap_or(1) + 1;
        let done = |in_force: bool, why: &str| {
            let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
            let heard = Heard {
                generation,
                at: now(),
                in_force,
                took_ms,
                why: why.to_owned(),
            };
            (
                heard,
                if in_force {
                    Outcome::InForce
                } else {
                    Outcome::NotInForce
                },
            )
        };
        let pause = Duration::from_millis(100);
        if way == Way::TwoPhase {
            let missing = || {
                let passes = locked(&self.passes);
                let cut = passes
                    .proxies
                    .values()
                    .any(|(a, b)| [a, b].contains(&&Pass::Cut));
                cut || !passes.down.is_empty() || !passes.still.is_empty()
            };
            while missing() {
                if begun.elapsed() > contender::TRIES {
                    return Ok(done(false, "not all are there"));
                }
                tokio::time::sleep(pause).await;
            }
        }
        let mut tasks = tokio::task::JoinSet::new();
        for proxy in 0..self.proxies.len() {
            let world = Arc::clone(self);
            // Files go out one after another, some at a time; a spread takes what it takes.
            let first = match way {
                Way::Spread => Duration::from_millis(proxy as u64 * 7_919 % 2_000),
                _ => Duration::from_millis(2 * proxy as u64),
            };
            tasks.spawn(async move {
                tokio::time::sleep(first).await;
                while !world.reach(proxy, keyed, generation).await? {
                    if way == Way::Files && begun.elapsed() > contender::TRIES {
                        break;
                    }
                    tokio::time::sleep(pause).await;
                }
                Ok::<_, String>(())
            });
        }
        if way == Way::Spread {
            // Nobody knows when it is through: it is taken to be after as long as it takes when all is well.
            tokio::time::sleep(contender::TRIES).await;
            tokio::spawn(async move { while tasks.join_next().await.is_some() {} });
            return Ok(done(true, ""));
        }
        while let Some(task) = tasks.join_next().await {
            task.map_err(|e| e.to_string())??;
        }
        Ok(done(true, ""))
    }

    /// Waits until each proxy acts under what is in force.
    async fn settled(&self) -> Result<(), String> {
        let end = Instant::now() + LONG;
        let mut control = self.control()?;
        loop {
            let standing = control.status().await.map_err(|e| e.to_string())?;
            let there = standing
                .proxies
                .iter()
                .filter(|p| p.active_revision == standing.revision)
                .count();
            if there >= self.proxies.len() && standing.pending_generation.is_none() {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(format!(
                    "{there} of {} proxies have a lease",
                    self.proxies.len()
                ));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// What the fleet costs while nothing happens.
    async fn calm(&self) -> Calm {
        async fn sum(all: &[tokio::sync::Mutex<Process>]) -> (u64, u64) {
            let (mut time, mut held) = (0, Vec::new());
            for process in all {
                let usage = process.lock().await.usage().unwrap_or_default();
                time += usage.0;
                held.push(usage.1);
            }
            held.sort_unstable();
            (time, held.get(held.len() / 2).copied().unwrap_or(0))
        }
        let before = (sum(&self.proxies).await, sum(&self.replicas.all).await);
        tokio::time::sleep(CALM).await;
        let after = (sum(&self.proxies).await, sum(&self.replicas.all).await);
        let each = |a: u64, b: u64| (b - a) as f64 / CALM.as_secs_f64() / self.proxies.len() as f64;
        Calm {
            control_us: each(before.1 .0, after.1 .0),
            proxy_us: each(before.0 .0, after.0 .0),
            proxy_kib: after.0 .1,
            control_kib: after.1 .1,
        }
    }

    fn pass(&self) {
        let passes = locked(&self.passes);
        for (proxy, links) in self.links.iter().enumerate() {
            let (forth, back) = passes.proxies.get(&proxy).copied().unwrap_or_default();
            for (replica, link) in links.iter().enumerate() {
                let cut = passes.cut.contains(&replica);
                link.set(|s| (s.forth, s.back) = (if cut { Pass::Cut } else { forth }, back));
            }
        }
        for (replica, link) in self.replicas.links.iter().enumerate() {
            let cut = passes.cut.contains(&replica);
            link.set(|s| s.forth = if cut { Pass::Cut } else { Pass::Free });
        }
    }

    async fn inflict(self: Arc<Self>, fault: Fault, began: Instant) -> Result<(), String> {
        tokio::time::sleep_until(began + fault.from).await;
        let from = now();
        let end = began + fault.until;
        let ways = |way| {
            locked(&self.passes).proxies.insert(fault.whom, way);
            self.pass();
        };
        let slow = Pass::Delayed(Duration::from_millis(120));
        match fault.kind {
            Kind::KillAll => {
                let all: Vec<usize> = (0..self.proxies.len()).collect();
                locked(&self.passes).down.extend(&all);
                let mut killed = tokio::task::JoinSet::new();
                for &whom in &all {
                    let world = Arc::clone(&self);
                    killed
                        .spawn(async move { world.kill_proxy(Fault { whom, ..fault }, end).await });
                }
                while let Some(done) = killed.join_next().await {
                    done.map_err(|e| e.to_string())??;
                }
                locked(&self.passes).down.clear();
            }
            Kind::KillProxy | Kind::TearProxy => {
                locked(&self.passes).down.insert(fault.whom);
                self.kill_proxy(fault, end).await?;
                locked(&self.passes).down.remove(&fault.whom);
            }
            Kind::StopProxy => {
                locked(&self.passes).still.insert(fault.whom);
                self.proxies[fault.whom].lock().await.signal(Signal::STOP);
                tokio::time::sleep_until(end).await;
                self.proxies[fault.whom].lock().await.signal(Signal::CONT);
                locked(&self.passes).still.remove(&fault.whom);
            }
            Kind::CutProxy => ways((Pass::Cut, Pass::Cut)),
            Kind::UnheardProxy => ways((Pass::Cut, Pass::Free)),
            Kind::DeafProxy => ways((Pass::Free, Pass::Cut)),
            Kind::DelayProxy => ways((slow, slow)),
            Kind::TrickleProxy => ways((Pass::Trickle, Pass::Trickle)),
            Kind::ResetProxy => self.links[fault.whom]
                .iter()
                .for_each(|l| l.set(|s| s.resets += 1)),
            Kind::KillReplica => {
                let mut replica = self.replicas.all[fault.whom].lock().await;
                replica.kill().await;
                self.replicas.at[fault.whom].send_replace(None);
                tokio::time::sleep_until(end).await;
                replica.again()?;
                let address = replica.listens().await?;
                self.replicas.at[fault.whom].send_replace(Some(address));
            }
            Kind::StopReplica => {
                self.replicas.all[fault.whom]
                    .lock()
                    .await
                    .signal(Signal::STOP);
                tokio::time::sleep_until(end).await;
                self.replicas.all[fault.whom]
                    .lock()
                    .await
                    .signal(Signal::CONT);
            }
            Kind::CutReplica => {
                locked(&self.passes).cut.insert(fault.whom);
                self.pass();
                tokio::time::sleep_until(end).await;
                locked(&self.passes).cut.remove(&fault.whom);
                self.pass();
            }
            Kind::ResetReplica => {
                let reset = |link: &Link| link.set(|s| s.resets += 1);
                reset(&self.replicas.links[fault.whom]);
                self.links
                    .iter()
                    .for_each(|links| reset(&links[fault.whom]));
            }
        }
        tokio::time::sleep_until(end).await;
        if !fault.kind.of_replica() {
            ways((Pass::Free, Pass::Free));
        }
        let process = matches!(
            fault.kind,
            Kind::KillProxy | Kind::KillAll | Kind::TearProxy | Kind::StopProxy
        );
        let whom = match fault.kind {
            Kind::KillAll => (0..self.proxies.len()).map(Some).collect(),
            kind if kind.of_replica() => vec![None],
            _ => vec![Some(fault.whom)],
        };
        let until = now();
        let unwell = whom.into_iter().map(|proxy| Unwell {
            proxy,
            process,
            from,
            until,
        });
        locked(&self.unwell).extend(unwell);
        Ok(())
    }

    async fn kill_proxy(&self, fault: Fault, end: Instant) -> Result<(), String> {
        let mut proxy = self.proxies[fault.whom].lock().await;
        // Its port may be another process's at once, and of another course's fleet: until it listens nobody is there.
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[fault.whom] = nobody;
        proxy.kill().await;
        let name = format!("p{}", fault.whom);
        // One that goes on without a lease holds changes up until the operator answers for its end.
        let log = proxy.log();
        let tells = |l: &str| {
            l.contains("policy from control, as")
                .then(|| l.split(['(', ')']).nth(1).map(str::to_owned))
        };
        let start = log.iter().rev().find_map(|(_, l)| tells(l)).flatten();
        let start = start.and_then(|s| u64::from_str_radix(&s, 16).ok());
        if !self.replicas.all.is_empty() {
            let mut control = self.control()?;
            tokio::spawn(async move {
                let _ = control.evict(&name, start).await;
            });
        }
        if fault.kind == Kind::TearProxy {
            let path = self
                .folder
                .path()
                .join(format!("state-p{}", fault.whom))
                .join("caja.policy");
            if let Ok(bytes) = std::fs::read(&path) {
                let _ = std::fs::write(&path, &bytes[..bytes.len() / 2]);
            }
        }
        tokio::time::sleep_until(end).await;
        proxy.again()?;
        let address = proxy.listens().await?;
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[fault.whom] = address;
        Ok(())
    }
}

impl Replicas {
    async fn start(programs: &Programs, size: Size, folder: &Folder) -> Result<Replicas, String> {
        let (mut at, mut links) = (Vec::new(), Vec::new());
        for _ in 0..size.replicas {
            let (known, place) = watch::channel(None);
            links.push(Link::to(place).await.map_err(|e| e.to_string())?);
            at.push(known);
        }
        let named = |(n, link): (usize, &Link)| format!("{} = \"{}\"", n + 1, link.address);
        let named: Vec<String> = links.iter().enumerate().map(named).collect();
        let mut all = Vec::new();
        for (place, known) in at.iter().enumerate() {
            let number = place + 1;
            let text = format!(
                "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{number}\"\n\
                 secret = \"secret\"\nlease_ms = {LEASE_MS}\nwait_ms = {WAIT_MS}\nelection_ms = {ELECTION_MS}\n",
                named.join(", ")
            );
            let file = folder
                .write(&format!("control-{number}.toml"), &text, false)?
                .display()
                .to_string();
            let (program, before) = &programs.control;
            let made = tokio::process::Command::new(program)
                .args(before)
                .args(["create", &file])
                .stdout(std::process::Stdio::null())
                .status()
                .await;
            if !made.map_err(|e| e.to_string())?.success() {
                return Err(format!("{file}: its store could not be made"));
            }
            let mut arguments = before.clone();
            arguments.extend(["serve".to_owned(), file]);
            let plan = Plan {
                program: program.clone(),
                arguments,
                keep: Vec::new(),
                variables: Vec::new(),
            };
            let mut process = Process::start(plan).await?;
            known.send_replace(Some(process.listens().await?));
            all.push(tokio::sync::Mutex::new(process));
        }
        Ok(Replicas { all, at, links })
    }
}

/// Plays one course.
///
/// # Errors
/// If the fleet could not be started or asked: the trial itself failed, and says nothing of the program.
pub async fn play(
    programs: &Programs,
    size: Size,
    course: &Course,
    keep: bool,
) -> Result<Played, String> {
    let world = Arc::new(World::start(programs, size, course.seed, keep).await?);
    let mut all_heard = Vec::new();
    if size.way == Way::Control {
        let (heard, first) = world.publish(size.way, true).await?;
        if first != Outcome::InForce {
            return Err(format!("the first policy: {}", heard.why));
        }
        all_heard.push(heard);
        world.settled().await?;
    }

    let calm = if course.faults.is_empty() {
        Some(world.calm().await)
    } else {
        None
    };
    let (stop, stopped) = watch::channel(false);
    let load = tokio::spawn(clients::run(
        Arc::clone(&world.addresses),
        (&[CHARGE, ENTRY], size.rate),
        course.seed,
        stopped,
    ));
    let began = Instant::now();
    let mut faults = tokio::task::JoinSet::new();
    for &fault in course
        .faults
        .iter()
        .filter(|f| size.way == Way::Control || !f.kind.of_replica())
    {
        faults.spawn(Arc::clone(&world).inflict(fault, began));
    }
    let (mut keyed, mut outcome, mut why, mut unended) = (true, Vec::new(), Vec::new(), 0);
    for &pause in &course.pauses {
        tokio::time::sleep(pause).await;
        if !keyed {
            // Hosts know repeats again before anybody may send them.
            world.hosts.drop_repeats(CHARGE, true);
        }
        let (heard, end) = world.publish(size.way, !keyed).await?;
        match end {
            Outcome::InForce => {
                outcome.push("in-force");
                keyed = !keyed;
                if !keyed {
                    // Calls that began before go on by the terms they began with, to the end of their time.
                    tokio::time::sleep(TIME + Duration::from_millis(300)).await;
                    world.hosts.drop_repeats(CHARGE, false);
                }
            }
            Outcome::NotInForce => {
                outcome.push("not-in-force");
                why.push(heard.why.clone());
            }
            Outcome::NotKnown => {
                outcome.push("not-known");
                unended += 1;
                why.push(heard.why.clone());
            }
        }
        if end != Outcome::NotKnown && heard.generation > 0 {
            all_heard.push(heard);
        }
    }
    while let Some(done) = faults.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    // All is well again: a change comes into force.
    if !keyed {
        world.hosts.drop_repeats(CHARGE, true);
    }
    let (heard, end) = world.publish(size.way, !keyed).await?;
    unended += usize::from(end != Outcome::InForce);
    outcome.push(if end == Outcome::InForce {
        "in-force"
    } else {
        "not-in-force-though-well"
    });
    if end != Outcome::InForce {
        why.push(heard.why.clone());
    }
    all_heard.push(heard);
    let _ = stop.send(true);
    let tries = load.await.map_err(|e| e.to_string())?;

    let (mut begun, mut logs) = (Vec::new(), Vec::new());
    for (place, proxy) in world.proxies.iter().enumerate() {
        let mut proxy = proxy.lock().await;
        if let Some(end) = proxy.ended() {
            return Err(format!("p{place} ended by itself: {end}"));
        }
        proxy.kill().await;
        let log = proxy.log();
        begun.extend(log.iter().filter_map(|(_, line)| Line::read(place, line)));
        logs.push(log);
    }
    if size.way != Way::Control {
        begun = contender::begun(&tries, &logs, &locked(&world.written));
    }
    // What was served had begun, and is in the logs: else nothing would be judged.
    let served = tries
        .iter()
        .filter(|t| t.ended == Ended::Status(200))
        .count();
    if begun.len() < served {
        return Err(format!(
            "{served} calls were served, and the logs have {} that began",
            begun.len()
        ));
    }
    let unwell = locked(&world.unwell).clone();
    let well = |proxy: usize, from: Micros, until: Micros| {
        !unwell
            .iter()
            .any(|u| u.process && u.proxy == Some(proxy) && u.touches(from, until, 0))
    };
    // A lease and an election after a fault of control, or of the way to it, all is well again.
    let after = (LEASE_MS + 4 * ELECTION_MS) * 1_000;
    let quiet = |proxy: usize, from: Micros, until: Micros| {
        let concerns = |u: &&Unwell| u.proxy.is_none_or(|p| p == proxy);
        !unwell
            .iter()
            .filter(concerns)
            .any(|u| u.touches(from, until, after))
    };
    let verdict = judge(
        begun,
        &all_heard,
        &tries,
        &world.hosts.executed(),
        well,
        quiet,
    );
    let in_force_ms = all_heard
        .iter()
        .filter(|h| h.in_force && h.generation > 1)
        .map(|h| h.took_ms)
        .collect();
    Ok(Played {
        seed: course.seed,
        faults: course.faults.clone(),
        verdict,
        outcome,
        in_force_ms,
        why,
        calm,
        unended,
    })
}
