//! A scenario on sockets, in two ways. In memory: the program's own front, driver, hosts and discovery code over a network
//! in memory, under the runtime's paused time; one thread, and nothing that hangs on hash seeds or on the machine's
//! clock, so that the same seed gives the same course. Really: the built program, as processes on loopback. Hosts, list
//! service and clients are the same code in both.

mod http_message;
mod memory_network;
mod stand_ins;
mod transport;

use crate::operator_file;
use crate::run_result::{RunResult, Sample, BIN_WIDTH};
use crate::simulation::{check_recovery, proxy_zone, RunOptions, SimulationError};
use badgerramp::net::clock::Clock;
use badgerramp::net::driver::Driver;
use badgerramp::net::Descriptors;
use badgerramp::program::{serve_in, Environment};
use badgerramp::sidecar;
use badgerramp_sim_model::{
    ClientRequest, DedupStore, FaultKind, Host, Invariant, InvariantChecker, ListEntry,
    ListService, LoadGenerator, Micros, Network as Ways, OpId, RandomStreams, Scenario,
};
use badgerramp_testkit::Proxy;
use memory_network::{Time, Who, World};
use stand_ins::{host_address, list_address, proxy_address, HostCell};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet};
use transport::{Around, Door, Io, Loopback};

/// The Unix time at which each course starts, in microseconds.
const UNIX: Micros = 1_700_000_000_000_000;
/// The runtime's timers go by whole milliseconds, and a request passes several on its way.
const SLACK: Micros = 10_000;
/// On a machine that does other things as well.
const REAL_SLACK: Micros = 150_000;
/// Requests and time that a real play has at the most.
const REQUESTS_MOST: f64 = 200_000.0;
const REAL_MOST: Micros = 600_000_000;
/// What was on its way when the load ended has this long to end.
const AFTERMATH: Duration = Duration::from_secs(4);

/// A proxy that runs.
enum Running {
    /// In this process.
    Inside {
        task: JoinHandle<Result<(), String>>,
        seen: Seen,
    },
    /// As a process of its own.
    Process(Proxy),
}

/// A program, and what comes before its own arguments.
type Program = (PathBuf, Vec<&'static str>);

/// What can be seen of a proxy that runs in this process.
type Seen = Rc<RefCell<Option<(Driver, Rc<Descriptors>)>>>;

/// What all peers share.
struct Shared {
    scenario: Arc<Scenario>,
    draws: RandomStreams,
    options: RunOptions,
    around: Around,
    /// Unix time at the start of the course.
    unix: Micros,
    /// What the ways outside the proxy may take.
    slack: Micros,
    /// The built program, for a real play.
    program: Program,
    /// Where each proxy finds the list service.
    lists: RefCell<BTreeMap<u32, SocketAddr>>,
    hosts: Vec<Rc<HostCell>>,
    memory: RefCell<DedupStore>,
    list: RefCell<ListService>,
    listed: Notify,
    clients: RefCell<LoadGenerator>,
    judge: RefCell<InvariantChecker>,
    course: RefCell<RunResult>,
    /// Tries by their names.
    asks: RefCell<BTreeMap<(OpId, u32), ClientRequest>>,
    /// Connections that clients keep to each proxy.
    kept: RefCell<BTreeMap<u32, Vec<Io>>>,
    /// Which start of which host each proxy was told of.
    told: RefCell<BTreeMap<(u32, usize), Micros>>,
    proxies: RefCell<BTreeMap<u32, Running>>,
    epochs: RefCell<BTreeMap<u32, u64>>,
    tokens: Cell<u64>,
}

thread_local! {
    /// What panicked on this thread, in words.
    static PANICS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Panics of the code under test are a find like any other.
fn note_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.with(|p| p.borrow_mut().push(info.to_string()));
            before(info);
        }));
    });
}

/// Plays a scenario on the program's socket code.
///
/// # Errors
/// If the operator's file that it makes is refused, or the runtime can't be made.
pub fn run_in_memory(
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    operator_file::parse(scenario)?;
    note_panics();
    PANICS.with(|p| p.borrow_mut().clear());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.map_err(|e| SimulationError::Other(format!("runtime: {e}")))?;
    let set = LocalSet::new();
    set.block_on(&runtime, course(Arc::clone(scenario), options, None))
}

/// Plays a scenario with built programs on loopback. The program is this one itself, as `badgerramp-sim` can be the
/// client proxy, or the `badgerramp` that `BADGERRAMP_PROGRAM` names.
///
/// # Errors
/// If the operator's file that it makes is refused, the program does not start, or the load would be beyond all bounds.
pub fn run_on_loopback(
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    operator_file::parse(scenario)?;
    let requests = scenario.clients.rate * scenario.duration as f64 / 1e6;
    if requests > REQUESTS_MOST || scenario.duration > REAL_MOST {
        return Err(SimulationError::Other(format!(
            "{requests:.0} requests in {} s: a real play has at most {REQUESTS_MOST:.0} and {} s",
            scenario.duration / 1_000_000,
            REAL_MOST / 1_000_000
        )));
    }
    let named = std::env::var_os("BADGERRAMP_PROGRAM").map(PathBuf::from);
    let own = || {
        std::env::current_exe()
            .map_err(|e| SimulationError::Other(format!("this program's own path: {e}")))
    };
    let program = match named {
        Some(path) if path.is_file() => (path, Vec::new()),
        Some(path) => {
            return Err(SimulationError::Other(format!(
                "BADGERRAMP_PROGRAM: {} is no file",
                path.display()
            )));
        }
        None => (own()?, vec![crate::AS_PROXY]),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| SimulationError::Other(format!("runtime: {e}")))?;
    let set = LocalSet::new();
    set.block_on(
        &runtime,
        course(Arc::clone(scenario), options, Some(program)),
    )
}

async fn course(
    scenario: Arc<Scenario>,
    options: RunOptions,
    program: Option<Program>,
) -> Result<RunResult, SimulationError> {
    let (draws, time) = (RandomStreams::new(options.seed), Time::start());
    let zone = |name: &str| {
        scenario
            .hosts
            .iter()
            .position(|h| h.zone == name)
            .unwrap_or(0) as u32
    };
    let proxy_zones = (0..scenario.proxies)
        .map(|p| zone(proxy_zone(&scenario, p)))
        .collect();
    let host_zones = scenario.hosts.iter().map(|h| zone(&h.zone)).collect();
    let zones = (proxy_zones, host_zones);
    let ways = Ways::new(scenario.network, &scenario.faults, draws);
    let real = program.is_some();
    let slack = if real { REAL_SLACK } else { SLACK } + 2 * ways.max_delay();
    let (faults, unix) = (
        scenario.faults.clone(),
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    );
    let around = if real {
        Around::Real(Loopback::new(time, ways, faults, zones))
    } else {
        Around::Memory(World::new(time, ways, faults, zones))
    };
    let models =
        (0..scenario.hosts.len()).map(|n| HostCell::new(n, Host::new(&scenario, n, draws)));
    let there = (0..scenario.hosts.len()).filter(|&n| scenario.hosts[n].joins_at == 0);
    let first = there
        .map(|host| ListEntry {
            host,
            state: 0,
            started_at: 0,
        })
        .collect();
    let shared = Rc::new(Shared {
        draws,
        options,
        around,
        unix: if real {
            unix.as_micros() as Micros
        } else {
            UNIX
        },
        slack,
        program: program.unwrap_or_default(),
        lists: RefCell::default(),
        hosts: models.collect(),
        memory: RefCell::default(),
        list: RefCell::new(ListService::new(scenario.list, &scenario.faults, first)),
        listed: Notify::new(),
        clients: RefCell::new(LoadGenerator::new(Arc::clone(&scenario), draws)),
        judge: RefCell::new(InvariantChecker::external(Arc::clone(&scenario), slack)),
        course: RefCell::new(RunResult::new(Arc::clone(&scenario))),
        asks: RefCell::default(),
        kept: RefCell::default(),
        told: RefCell::default(),
        proxies: RefCell::default(),
        epochs: RefCell::default(),
        tokens: Cell::new(0),
        scenario,
    });
    let io = |e: std::io::Error| SimulationError::Other(format!("loopback: {e}"));
    match &shared.around {
        Around::Memory(world) => {
            let door = Door::Memory(world.listen(list_address(), Who::List));
            tokio::task::spawn_local(stand_ins::list(Rc::clone(&shared), door));
        }
        // Each proxy has a door of its own: so it is known who asks.
        Around::Real(loopback) => {
            for proxy in 0..shared.scenario.proxies {
                let listener = loopback.listen(None).map_err(io)?;
                shared
                    .lists
                    .borrow_mut()
                    .insert(proxy, listener.local_addr().map_err(io)?);
                let door = Door::Real(listener, Who::Proxy(proxy), loopback.time);
                tokio::task::spawn_local(stand_ins::list(Rc::clone(&shared), door));
            }
        }
    }
    for (place, cell) in shared.hosts.iter().enumerate() {
        tokio::task::spawn_local(Rc::clone(cell).run(Rc::clone(&shared)));
        if shared.scenario.hosts[place].joins_at == 0 {
            shared.opens(place);
        } else if let Around::Real(loopback) = &shared.around {
            // Its place is known before it is there.
            drop(loopback.listen(Some(place)).map_err(io)?);
        }
    }
    for proxy in 0..shared.scenario.proxies {
        shared.start_proxy(proxy).await;
    }
    tokio::task::spawn_local(stand_ins::troubles(Rc::clone(&shared)));
    tokio::task::spawn_local(stand_ins::clients(Rc::clone(&shared)));
    let end = shared.scenario.duration + shared.scenario.max_deadline();
    let mut at = BIN_WIDTH;
    while at <= end {
        tokio::time::sleep_until(time.instant(at)).await;
        shared.sample();
        at += BIN_WIDTH;
    }
    tokio::time::sleep_until(time.instant(end) + AFTERMATH).await;
    // Clients go; what the proxies still hold then is their own.
    shared.kept.borrow_mut().clear();
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(shared.finish())
}

impl Shared {
    fn now(&self) -> Micros {
        self.time().now()
    }

    fn time(&self) -> Time {
        self.around.time()
    }

    /// Where a host listens.
    fn host_address(&self, host: usize) -> SocketAddr {
        match &self.around {
            Around::Memory(_) => host_address(host),
            Around::Real(loopback) => loopback.host(host).unwrap_or_else(|| host_address(host)),
        }
    }

    fn token(&self) -> u64 {
        self.tokens.replace(self.tokens.get() + 1)
    }

    fn note(&self, op: OpId, line: impl FnOnce() -> String) {
        self.course
            .borrow_mut()
            .trace_operation(self.options.trace, op, self.now(), line);
    }

    /// Are answers being spoilt now?
    fn spoils(&self) -> bool {
        let now = self.now();
        let on = |f: &&badgerramp_sim_model::Fault| f.from <= now && now < f.until;
        self.scenario
            .faults
            .iter()
            .filter(on)
            .any(|f| matches!(f.kind, FaultKind::CorruptResponses { .. }))
    }

    /// Which process of a proxy runs.
    fn epoch(&self, proxy: u32) -> u64 {
        self.epochs.borrow().get(&proxy).copied().unwrap_or(0)
    }

    fn list_changes(&self, entry: ListEntry) {
        self.list.borrow_mut().record_change(self.now(), entry);
        self.listed.notify_waiters();
    }

    /// A host takes connections from now on.
    fn opens(self: &Rc<Self>, host: usize) {
        let cell = Rc::clone(&self.hosts[host]);
        let door = match &self.around {
            Around::Memory(world) => {
                let shared = Rc::clone(self);
                let gated = Rc::clone(&cell);
                world.gate(host, Box::new(move || gated.takes(&shared)));
                Door::Memory(world.listen(host_address(host), Who::Host(host)))
            }
            Around::Real(loopback) => match loopback.listen(Some(host)) {
                Ok(listener) => Door::Real(listener, Who::Client, loopback.time),
                Err(fault) => {
                    let text = format!("the stand-in {host} can't listen: {fault}");
                    self.judge
                        .borrow_mut()
                        .record(Invariant::Crashed, self.now(), None, text);
                    return;
                }
            },
        };
        // It serves until its process dies.
        tokio::task::spawn_local(cell.serve_until_death(Rc::clone(self), door));
    }

    fn host_starts(self: &Rc<Self>, host: usize) {
        self.hosts[host].host.borrow_mut().start(self.now());
        let started = self.hosts[host].host.borrow().started_at();
        self.opens(host);
        self.list_changes(ListEntry {
            host,
            state: 0,
            started_at: started,
        });
    }

    fn host_ends(&self, host: usize, listed: bool) {
        if let Around::Memory(world) = &self.around {
            world.shut(host_address(host));
        }
        self.hosts[host].die(self);
        if listed {
            let started = self.hosts[host].host.borrow().started_at();
            self.list_changes(ListEntry {
                host,
                state: 2,
                started_at: started,
            });
        }
    }

    async fn start_proxy(self: &Rc<Self>, proxy: u32) {
        let zone = proxy_zone(&self.scenario, proxy);
        let running = match &self.around {
            Around::Memory(world) => {
                let text = operator_file::render(
                    &self.scenario,
                    (proxy, zone),
                    proxy_address(proxy),
                    list_address(),
                );
                self.start_inside(world, proxy, &text)
            }
            Around::Real(loopback) => {
                let listen = SocketAddr::from(([127, 0, 0, 1], 0));
                let list = self
                    .lists
                    .borrow()
                    .get(&proxy)
                    .copied()
                    .unwrap_or_else(list_address);
                let mut text = operator_file::render(&self.scenario, (proxy, zone), listen, list);
                if self.options.trace.is_some() {
                    text.push_str(operator_file::CALL_LOG_SECTION);
                }
                let (program, before) =
                    (self.program.0.display().to_string(), self.program.1.clone());
                // Its start is waited for elsewhere: the stand-ins go on meanwhile.
                let start =
                    tokio::task::spawn_blocking(move || Proxy::sidecar(&program, &before, &text));
                match start.await {
                    Ok(process) => {
                        loopback.proxies.borrow_mut().insert(proxy, process.address);
                        Running::Process(process)
                    }
                    Err(fault) => {
                        let text = format!("proxy {proxy} does not start: {fault}");
                        self.judge
                            .borrow_mut()
                            .record(Invariant::Crashed, self.now(), None, text);
                        return;
                    }
                }
            }
        };
        self.proxies.borrow_mut().insert(proxy, running);
    }

    /// The program's own code as tasks of this process.
    fn start_inside(&self, world: &Rc<World>, proxy: u32, text: &str) -> Running {
        let Ok(config) = badgerramp_config::parse("a simulated proxy", text) else {
            // It was read and found good before the course began.
            unreachable!("the operator's file of a scenario that plays")
        };
        let seed = self
            .draws
            .integer((0x5eed, u64::from(proxy), self.epoch(proxy)), (0, u64::MAX));
        let setup = sidecar::setup_once(config, seed);
        let listener = world.listen(proxy_address(proxy), Who::Proxy(proxy));
        let network = Rc::new(memory_network::From(Rc::clone(world), Who::Proxy(proxy)));
        let clock = Clock::starting_at(self.unix + self.now());
        let seen = Seen::default();
        let shown = Rc::clone(&seen);
        let task = tokio::task::spawn_local(async move {
            let around = Environment {
                network,
                listener,
                clock,
            };
            // All of its tasks go with it: that is what a process's death is.
            let own = LocalSet::new();
            let serve = serve_in(
                setup,
                around,
                async || std::future::pending().await,
                std::future::pending(),
                |_| Ok(()),
                |running| {
                    let parts = (
                        running.driver.clone(),
                        Rc::clone(&running.server.descriptors),
                    );
                    *shown.borrow_mut() = Some(parts);
                },
            );
            own.run_until(serve).await
        });
        Running::Inside { task, seen }
    }

    fn proxy_dies(&self, proxy: u32) {
        *self.epochs.borrow_mut().entry(proxy).or_default() += 1;
        match &self.around {
            Around::Memory(world) => world.shut(proxy_address(proxy)),
            Around::Real(loopback) => {
                loopback.proxies.borrow_mut().remove(&proxy);
            }
        }
        // A process is killed as it is dropped.
        if let Some(Running::Inside { task, .. }) = self.proxies.borrow_mut().remove(&proxy) {
            task.abort();
        }
        self.kept.borrow_mut().remove(&proxy);
        self.judge.borrow_mut().proxy_crashed(proxy);
        self.told.borrow_mut().retain(|(of, _), _| *of != proxy);
    }

    fn sample(&self) {
        let now = self.now();
        self.judge.borrow_mut().advance(now);
        let hosts = || self.hosts.iter().map(|h| h.host.borrow());
        let load = hosts()
            .map(|h| f64::from(h.load().in_flight) / f64::from(h.spec().cores.max(1)))
            .collect();
        let connections = hosts().map(|h| h.connections()).collect();
        let mut open = 0;
        for running in self.proxies.borrow().values() {
            match running {
                Running::Inside { seen, .. } => {
                    open += seen
                        .borrow()
                        .as_ref()
                        .map_or(0, |s| s.0.open_calls() as u64);
                }
                Running::Process(process) => self.measure(process),
            }
        }
        let at = now as f64 / 1e6;
        self.course.borrow_mut().samples.push(Sample {
            at_seconds: at,
            in_flight_per_core: load,
            connections,
            open_calls: open,
            queued_calls: 0,
        });
        self.audit();
        // What ended long ago is asked for no more.
        self.asks
            .borrow_mut()
            .retain(|_, ask| ask.first_due + 60_000_000 > now);
    }

    /// Holds a process to the memory and the descriptors that its file promises.
    fn measure(&self, process: &Proxy) {
        let id = process.child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line
            .and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok())
            .unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let mut course = self.course.borrow_mut();
        course.max_memory_kib = course.max_memory_kib.max(kib);
        course.max_descriptors = course.max_descriptors.max(descriptors);
        if kib > operator_file::MEMORY_MIB << 10 || descriptors > operator_file::DESCRIPTORS {
            let text = format!("a proxy has {kib} KiB and {descriptors} descriptors");
            self.judge
                .borrow_mut()
                .record(Invariant::Leaked, self.now(), None, text);
        }
    }

    /// What each proxy counts against what is there.
    fn audit(&self) {
        let now = self.now();
        for (proxy, running) in &*self.proxies.borrow() {
            let Running::Inside { seen, .. } = running else {
                continue;
            };
            for text in seen.borrow().iter().flat_map(|s| s.0.audit()) {
                self.judge.borrow_mut().record(
                    Invariant::Miscounted,
                    now,
                    None,
                    format!("proxy {proxy}: {text}"),
                );
            }
        }
    }

    fn finish(&self) -> RunResult {
        let now = self.now();
        self.audit();
        let mut judge = self.judge.borrow_mut();
        judge.advance(Micros::MAX / 2);
        for (proxy, running) in &mut *self.proxies.borrow_mut() {
            let (task, seen) = match running {
                Running::Inside { task, seen } => (task, seen),
                Running::Process(process) => {
                    if let Some(op) = self.options.trace {
                        self.course
                            .borrow_mut()
                            .trace_lines
                            .extend(followed(&process.unread_log(), op));
                    }
                    if !matches!(process.child.try_wait(), Ok(None)) {
                        judge.record(
                            Invariant::Crashed,
                            now,
                            None,
                            format!("proxy {proxy} has ended by itself"),
                        );
                    }
                    continue;
                }
            };
            if task.is_finished() {
                judge.record(
                    Invariant::Crashed,
                    now,
                    None,
                    format!("proxy {proxy} has ended by itself"),
                );
            }
            let seen = seen.borrow();
            let (Some((driver, descriptors)), Around::Memory(world)) = (&*seen, &self.around)
            else {
                continue;
            };
            if driver.open_calls() + driver.calls() > 0 {
                let text = format!(
                    "proxy {proxy}: {} calls open, {} known",
                    driver.open_calls(),
                    driver.calls()
                );
                judge.record(Invariant::Leaked, now, None, text);
            }
            // Two more may lead to the list service: a watch, and the question beside it.
            let (counted, there) = (descriptors.open(), world.open_at(*proxy));
            if counted > there || counted + 2 < there {
                let text = format!(
                    "proxy {proxy}: {counted} descriptors counted, {there} connections open"
                );
                judge.record(Invariant::Leaked, now, None, text);
            }
        }
        for panicked in PANICS.with(|p| std::mem::take(&mut *p.borrow_mut())) {
            judge.record(Invariant::Crashed, now, None, panicked);
        }
        let mut course = self
            .course
            .replace(RunResult::new(Arc::clone(&self.scenario)));
        check_recovery(&self.scenario, &course, &mut judge);
        course.list_requests = self.list.borrow().request_count;
        course.violations = judge.violations().to_vec();
        course.violation_count = judge.violation_count();
        course.host_work.0 = self.hosts.iter().map(|h| h.host.borrow().work_done).sum();
        // What refers to itself in a circle is let go.
        if let Around::Memory(world) = &self.around {
            world.close();
        }
        course
    }
}

/// The lines of a program's log that are of one call, in all of its tries.
fn followed(log: &[String], op: OpId) -> Vec<String> {
    let (mut calls, mut lines) = (Vec::new(), Vec::new());
    for line in log {
        let Ok(event) = serde_json::from_str::<serde_json::Value>(line) else {
            continue;
        };
        let Some(call) = event["call"].as_u64() else {
            continue;
        };
        let request = event["request"]
            .as_str()
            .and_then(|r| r.split_once('-'))
            .map(|r| r.0);
        if request == Some(&op.0.to_string()) {
            calls.push(call);
        }
        if calls.contains(&call) {
            lines.push(format!("in the log: {}", line.trim()));
        }
    }
    lines
}
