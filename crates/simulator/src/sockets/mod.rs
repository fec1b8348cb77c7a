//! The two backends that run a scenario on sockets. Hosts, list service and clients are the same stand-ins in both.
//!
//! - In memory: the proxy's socket code on an in-memory network, under the runtime's paused time. The run has a single thread
//!   and depends neither on hash seeds nor on the machine's clock, so that the same seed gives the same run.
//! - On loopback: the built program as processes, in real time.

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
    ListService, LoadGenerator, Micros, Network as NetworkModel, OpId, RandomStreams, Scenario,
};
use badgerramp_testkit::Proxy;
use memory_network::{MemoryNetwork, Party, RunClock};
use stand_ins::{host_address, list_address, proxy_address, HostStandIn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet};
use transport::{Connection, Listener, Loopback, Transport};

/// Unix time at which in-memory runs start, in microseconds.
const UNIX_START: Micros = 1_700_000_000_000_000;
/// Tolerance of the invariants for delays outside the proxy: the runtime's timers have a resolution of a millisecond, and a
/// request passes several of them.
const SLACK: Micros = 10_000;
/// The same on loopback, where other load on the machine adds delays.
const REAL_SLACK: Micros = 150_000;
/// Maximum number of requests of a run on loopback.
const MAX_REAL_REQUESTS: f64 = 200_000.0;
/// Maximum duration of a run on loopback.
const MAX_REAL_DURATION: Micros = 600_000_000;
/// Time after the end of the load in which open calls can finish.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// A running proxy.
enum Running {
    /// Tasks of this process.
    InProcess {
        task: JoinHandle<Result<(), String>>,
        internals: ProxyInternals,
    },
    /// A process of its own.
    Process(Proxy),
}

/// Path of a program, and the arguments that precede its own ones.
type Program = (PathBuf, Vec<&'static str>);

/// The parts of an in-process proxy that the invariants inspect; `None` until it has started.
type ProxyInternals = Rc<RefCell<Option<(Driver, Rc<Descriptors>)>>>;

/// The state of a run that all stand-ins share.
struct Shared {
    scenario: Arc<Scenario>,
    random: RandomStreams,
    options: RunOptions,
    transport: Transport,
    /// Unix time at the start of the run.
    unix_start: Micros,
    /// Tolerance for delays outside the proxy.
    slack: Micros,
    /// The built program, for a run on loopback.
    program: Program,
    /// Address of the list service for each proxy, on loopback.
    list_addresses: RefCell<BTreeMap<u32, SocketAddr>>,
    hosts: Vec<Rc<HostStandIn>>,
    dedup: RefCell<DedupStore>,
    list_service: RefCell<ListService>,
    list_changed: Notify,
    clients: RefCell<LoadGenerator>,
    invariants: RefCell<InvariantChecker>,
    result: RefCell<RunResult>,
    /// The client requests, by operation and try.
    requests: RefCell<BTreeMap<(OpId, u32), ClientRequest>>,
    /// Idle connections of clients to each proxy.
    idle_connections: RefCell<BTreeMap<u32, Vec<Connection>>>,
    /// The start time of each host that each proxy was last told.
    known_starts: RefCell<BTreeMap<(u32, usize), Micros>>,
    proxies: RefCell<BTreeMap<u32, Running>>,
    /// Number of crashes of each proxy.
    epochs: RefCell<BTreeMap<u32, u64>>,
    /// Number of tokens given out to jobs.
    token_count: Cell<u64>,
}

thread_local! {
    /// Messages of the panics on this thread.
    static PANICS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Records panics, so that a panic of the code under test counts as a violation.
fn install_panic_hook() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.with(|p| p.borrow_mut().push(info.to_string()));
            previous(info);
        }));
    });
}

/// Runs a scenario with the proxy's socket code on the in-memory network.
///
/// # Errors
/// If the operator's file generated from the scenario is invalid, or the runtime can't be built.
pub fn run_in_memory(
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    operator_file::parse(scenario)?;
    install_panic_hook();
    PANICS.with(|p| p.borrow_mut().clear());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.map_err(|e| SimulationError::Other(format!("runtime: {e}")))?;
    let set = LocalSet::new();
    set.block_on(&runtime, run(Arc::clone(scenario), options, None))
}

/// Runs a scenario with proxy processes on loopback. The program is the one that `BADGERRAMP_PROGRAM` names, or else this
/// one, as `badgerramp-sim` can also be the client proxy.
///
/// # Errors
/// If the operator's file generated from the scenario is invalid, the program does not exist, or the scenario exceeds the
/// limits of a run in real time.
pub fn run_on_loopback(
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    operator_file::parse(scenario)?;
    let requests = scenario.clients.rate * scenario.duration as f64 / 1e6;
    if requests > MAX_REAL_REQUESTS || scenario.duration > MAX_REAL_DURATION {
        return Err(SimulationError::Other(format!(
            "{requests:.0} requests in {} s: a run on loopback is limited to {MAX_REAL_REQUESTS:.0} requests and {} s",
            scenario.duration / 1_000_000,
            MAX_REAL_DURATION / 1_000_000
        )));
    }
    let configured = std::env::var_os("BADGERRAMP_PROGRAM").map(PathBuf::from);
    let own = || {
        std::env::current_exe()
            .map_err(|e| SimulationError::Other(format!("path of the current executable: {e}")))
    };
    let program = match configured {
        Some(path) if path.is_file() => (path, Vec::new()),
        Some(path) => {
            return Err(SimulationError::Other(format!(
                "BADGERRAMP_PROGRAM: {} is not a file",
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
    set.block_on(&runtime, run(Arc::clone(scenario), options, Some(program)))
}

async fn run(
    scenario: Arc<Scenario>,
    options: RunOptions,
    program: Option<Program>,
) -> Result<RunResult, SimulationError> {
    let (random, clock) = (RandomStreams::new(options.seed), RunClock::start());
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
    let network_model = NetworkModel::new(scenario.network, &scenario.faults, random);
    let real = program.is_some();
    let slack = if real { REAL_SLACK } else { SLACK } + 2 * network_model.max_delay();
    let (faults, unix) = (
        scenario.faults.clone(),
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    );
    let transport = if real {
        Transport::Real(Loopback::new(clock, network_model, faults, zones))
    } else {
        Transport::Memory(MemoryNetwork::new(clock, network_model, faults, zones))
    };
    let models =
        (0..scenario.hosts.len()).map(|n| HostStandIn::new(n, Host::new(&scenario, n, random)));
    let present = (0..scenario.hosts.len()).filter(|&n| scenario.hosts[n].joins_at == 0);
    let initial_list = present
        .map(|host| ListEntry {
            host,
            state: 0,
            started_at: 0,
        })
        .collect();
    let shared = Rc::new(Shared {
        random,
        options,
        transport,
        unix_start: if real {
            unix.as_micros() as Micros
        } else {
            UNIX_START
        },
        slack,
        program: program.unwrap_or_default(),
        list_addresses: RefCell::default(),
        hosts: models.collect(),
        dedup: RefCell::default(),
        list_service: RefCell::new(ListService::new(
            scenario.list,
            &scenario.faults,
            initial_list,
        )),
        list_changed: Notify::new(),
        clients: RefCell::new(LoadGenerator::new(Arc::clone(&scenario), random)),
        invariants: RefCell::new(InvariantChecker::external(Arc::clone(&scenario), slack)),
        result: RefCell::new(RunResult::new(Arc::clone(&scenario))),
        requests: RefCell::default(),
        idle_connections: RefCell::default(),
        known_starts: RefCell::default(),
        proxies: RefCell::default(),
        epochs: RefCell::default(),
        token_count: Cell::new(0),
        scenario,
    });
    let io = |e: std::io::Error| SimulationError::Other(format!("loopback: {e}"));
    match &shared.transport {
        Transport::Memory(network) => {
            let listener = Listener::Memory(network.listen(list_address(), Party::ListService));
            tokio::task::spawn_local(stand_ins::serve_list(Rc::clone(&shared), listener));
        }
        // Each proxy has its own listener, which identifies the proxy of a request.
        Transport::Real(loopback) => {
            for proxy in 0..shared.scenario.proxies {
                let listener = loopback.listen(None).map_err(io)?;
                shared
                    .list_addresses
                    .borrow_mut()
                    .insert(proxy, listener.local_addr().map_err(io)?);
                let listener = Listener::Real(listener, Party::Proxy(proxy), loopback.clock);
                tokio::task::spawn_local(stand_ins::serve_list(Rc::clone(&shared), listener));
            }
        }
    }
    for (index, host) in shared.hosts.iter().enumerate() {
        tokio::task::spawn_local(Rc::clone(host).run_completions(Rc::clone(&shared)));
        if shared.scenario.hosts[index].joins_at == 0 {
            shared.open_listener(index);
        } else if let Transport::Real(loopback) = &shared.transport {
            // Reserves the host's address, which the list service may need before the host starts.
            drop(loopback.listen(Some(index)).map_err(io)?);
        }
    }
    for proxy in 0..shared.scenario.proxies {
        shared.start_proxy(proxy).await;
    }
    tokio::task::spawn_local(stand_ins::run_faults(Rc::clone(&shared)));
    tokio::task::spawn_local(stand_ins::run_clients(Rc::clone(&shared)));
    let end = shared.scenario.duration + shared.scenario.max_deadline();
    let mut at = BIN_WIDTH;
    while at <= end {
        tokio::time::sleep_until(clock.instant(at)).await;
        shared.take_sample();
        at += BIN_WIDTH;
    }
    tokio::time::sleep_until(clock.instant(end) + SETTLE_TIME).await;
    // The clients close their connections: what the proxies still hold after that has leaked.
    shared.idle_connections.borrow_mut().clear();
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(shared.finish())
}

impl Shared {
    fn now(&self) -> Micros {
        self.clock().now()
    }

    fn clock(&self) -> RunClock {
        self.transport.clock()
    }

    /// The address of a host.
    fn host_address(&self, host: usize) -> SocketAddr {
        match &self.transport {
            Transport::Memory(_) => host_address(host),
            Transport::Real(loopback) => loopback
                .host_address(host)
                .unwrap_or_else(|| host_address(host)),
        }
    }

    fn next_token(&self) -> u64 {
        self.token_count.replace(self.token_count.get() + 1)
    }

    /// Adds a line to the trace if `op` is the traced operation.
    fn trace(&self, op: OpId, line: impl FnOnce() -> String) {
        self.result
            .borrow_mut()
            .trace_operation(self.options.trace, op, self.now(), line);
    }

    /// Whether a fault that corrupts responses is active.
    fn corrupts_responses(&self) -> bool {
        let now = self.now();
        let is_active = |f: &&badgerramp_sim_model::Fault| f.from <= now && now < f.until;
        self.scenario
            .faults
            .iter()
            .filter(is_active)
            .any(|f| matches!(f.kind, FaultKind::CorruptResponses { .. }))
    }

    /// Number of the proxy's current process.
    fn epoch(&self, proxy: u32) -> u64 {
        self.epochs.borrow().get(&proxy).copied().unwrap_or(0)
    }

    fn publish_list_change(&self, entry: ListEntry) {
        self.list_service
            .borrow_mut()
            .record_change(self.now(), entry);
        self.list_changed.notify_waiters();
    }

    /// Starts to accept connections to a host, until its process ends.
    fn open_listener(self: &Rc<Self>, host: usize) {
        let stand_in = Rc::clone(&self.hosts[host]);
        let listener = match &self.transport {
            Transport::Memory(network) => {
                let shared = Rc::clone(self);
                let checked = Rc::clone(&stand_in);
                network.set_accept_check(host, Box::new(move || checked.accepts(&shared)));
                Listener::Memory(network.listen(host_address(host), Party::Host(host)))
            }
            Transport::Real(loopback) => match loopback.listen(Some(host)) {
                Ok(listener) => Listener::Real(listener, Party::Client, loopback.clock),
                Err(error) => {
                    let text = format!("the stand-in of host {host} can't listen: {error}");
                    self.invariants
                        .borrow_mut()
                        .record(Invariant::Crashed, self.now(), None, text);
                    return;
                }
            },
        };
        tokio::task::spawn_local(stand_in.serve_until_crash(Rc::clone(self), listener));
    }

    fn start_host(self: &Rc<Self>, host: usize) {
        self.hosts[host].host.borrow_mut().start(self.now());
        let started_at = self.hosts[host].host.borrow().started_at();
        self.open_listener(host);
        self.publish_list_change(ListEntry {
            host,
            state: 0,
            started_at,
        });
    }

    fn stop_host(&self, host: usize, listed: bool) {
        if let Transport::Memory(network) = &self.transport {
            network.stop_listening(host_address(host));
        }
        self.hosts[host].crash(self);
        if listed {
            let started_at = self.hosts[host].host.borrow().started_at();
            self.publish_list_change(ListEntry {
                host,
                state: 2,
                started_at,
            });
        }
    }

    async fn start_proxy(self: &Rc<Self>, proxy: u32) {
        let zone = proxy_zone(&self.scenario, proxy);
        let running = match &self.transport {
            Transport::Memory(network) => {
                let text = operator_file::render(
                    &self.scenario,
                    (proxy, zone),
                    proxy_address(proxy),
                    list_address(),
                );
                self.start_in_process(network, proxy, &text)
            }
            Transport::Real(loopback) => {
                let listen = SocketAddr::from(([127, 0, 0, 1], 0));
                let list = self
                    .list_addresses
                    .borrow()
                    .get(&proxy)
                    .copied()
                    .unwrap_or_else(list_address);
                let mut text = operator_file::render(&self.scenario, (proxy, zone), listen, list);
                if self.options.trace.is_some() {
                    text.push_str(operator_file::CALL_LOG_SECTION);
                }
                let (program, arguments) =
                    (self.program.0.display().to_string(), self.program.1.clone());
                // Runs on another thread, so that the stand-ins serve the starting proxy meanwhile.
                let start = tokio::task::spawn_blocking(move || {
                    Proxy::sidecar(&program, &arguments, &text)
                });
                match start.await {
                    Ok(process) => {
                        loopback.proxies.borrow_mut().insert(proxy, process.address);
                        Running::Process(process)
                    }
                    Err(error) => {
                        let text = format!("proxy {proxy} did not start: {error}");
                        self.invariants.borrow_mut().record(
                            Invariant::Crashed,
                            self.now(),
                            None,
                            text,
                        );
                        return;
                    }
                }
            }
        };
        self.proxies.borrow_mut().insert(proxy, running);
    }

    /// Starts a proxy as tasks of this process.
    fn start_in_process(&self, network: &Rc<MemoryNetwork>, proxy: u32, text: &str) -> Running {
        let Ok(config) = badgerramp_config::parse("a simulated proxy", text) else {
            unreachable!("the operator's file was validated before the run")
        };
        let seed = self
            .random
            .integer((0x5eed, u64::from(proxy), self.epoch(proxy)), (0, u64::MAX));
        let setup = sidecar::setup_once(config, seed);
        let listener = network.listen(proxy_address(proxy), Party::Proxy(proxy));
        let network = Rc::new(memory_network::PartyNetwork(
            Rc::clone(network),
            Party::Proxy(proxy),
        ));
        let clock = Clock::starting_at(self.unix_start + self.now());
        let internals = ProxyInternals::default();
        let exposed = Rc::clone(&internals);
        let task = tokio::task::spawn_local(async move {
            let environment = Environment {
                network,
                listener,
                clock,
            };
            // The proxy's tasks end with this one, as with a process.
            let tasks = LocalSet::new();
            let serve = serve_in(
                setup,
                environment,
                async || std::future::pending().await,
                std::future::pending(),
                |_| Ok(()),
                |running| {
                    let parts = (
                        running.driver.clone(),
                        Rc::clone(&running.server.descriptors),
                    );
                    *exposed.borrow_mut() = Some(parts);
                },
            );
            tasks.run_until(serve).await
        });
        Running::InProcess { task, internals }
    }

    fn crash_proxy(&self, proxy: u32) {
        *self.epochs.borrow_mut().entry(proxy).or_default() += 1;
        match &self.transport {
            Transport::Memory(network) => network.stop_listening(proxy_address(proxy)),
            Transport::Real(loopback) => {
                loopback.proxies.borrow_mut().remove(&proxy);
            }
        }
        // A proxy process is killed when it is dropped.
        if let Some(Running::InProcess { task, .. }) = self.proxies.borrow_mut().remove(&proxy) {
            task.abort();
        }
        self.idle_connections.borrow_mut().remove(&proxy);
        self.invariants.borrow_mut().proxy_crashed(proxy);
        self.known_starts
            .borrow_mut()
            .retain(|(of, _), _| *of != proxy);
    }

    fn take_sample(&self) {
        let now = self.now();
        self.invariants.borrow_mut().advance(now);
        let hosts = || self.hosts.iter().map(|h| h.host.borrow());
        let load = hosts()
            .map(|h| f64::from(h.load().in_flight) / f64::from(h.spec().cores.max(1)))
            .collect();
        let connections = hosts().map(|h| h.connections()).collect();
        let mut open_calls = 0;
        for running in self.proxies.borrow().values() {
            match running {
                Running::InProcess { internals, .. } => {
                    open_calls += internals
                        .borrow()
                        .as_ref()
                        .map_or(0, |s| s.0.open_calls() as u64);
                }
                Running::Process(process) => self.check_resources(process),
            }
        }
        let at = now as f64 / 1e6;
        self.result.borrow_mut().samples.push(Sample {
            at_seconds: at,
            in_flight_per_core: load,
            connections,
            open_calls,
            queued_calls: 0,
        });
        self.check_counters();
        // Requests of operations that ended long ago are not needed any more.
        self.requests
            .borrow_mut()
            .retain(|_, request| request.first_due + 60_000_000 > now);
    }

    /// Checks a process against the memory and descriptor limits of its file.
    fn check_resources(&self, process: &Proxy) {
        let id = process.child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line
            .and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok())
            .unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let mut result = self.result.borrow_mut();
        result.max_memory_kib = result.max_memory_kib.max(kib);
        result.max_descriptors = result.max_descriptors.max(descriptors);
        if kib > operator_file::MEMORY_MIB << 10 || descriptors > operator_file::DESCRIPTORS {
            let text = format!(
                "a proxy uses {kib} KiB and {descriptors} descriptors, more than its limits"
            );
            self.invariants
                .borrow_mut()
                .record(Invariant::Leaked, self.now(), None, text);
        }
    }

    /// Compares the counters of each in-process proxy with the actual numbers.
    fn check_counters(&self) {
        let now = self.now();
        for (proxy, running) in &*self.proxies.borrow() {
            let Running::InProcess { internals, .. } = running else {
                continue;
            };
            for text in internals.borrow().iter().flat_map(|s| s.0.audit()) {
                self.invariants.borrow_mut().record(
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
        self.check_counters();
        let mut invariants = self.invariants.borrow_mut();
        invariants.advance(Micros::MAX / 2);
        for (proxy, running) in &mut *self.proxies.borrow_mut() {
            let (task, internals) = match running {
                Running::InProcess { task, internals } => (task, internals),
                Running::Process(process) => {
                    if let Some(op) = self.options.trace {
                        self.result
                            .borrow_mut()
                            .trace_lines
                            .extend(call_log_lines(&process.unread_log(), op));
                    }
                    if !matches!(process.child.try_wait(), Ok(None)) {
                        invariants.record(
                            Invariant::Crashed,
                            now,
                            None,
                            format!("proxy {proxy} exited unexpectedly"),
                        );
                    }
                    continue;
                }
            };
            if task.is_finished() {
                invariants.record(
                    Invariant::Crashed,
                    now,
                    None,
                    format!("proxy {proxy} exited unexpectedly"),
                );
            }
            let internals = internals.borrow();
            let (Some((driver, descriptors)), Transport::Memory(network)) =
                (&*internals, &self.transport)
            else {
                continue;
            };
            if driver.open_calls() + driver.calls() > 0 {
                let text = format!(
                    "proxy {proxy}: {} open calls and {} known calls at the end of the run",
                    driver.open_calls(),
                    driver.calls()
                );
                invariants.record(Invariant::Leaked, now, None, text);
            }
            // Up to two connections to the list service are not counted: a watch, and a request beside it.
            let (counted, actual) = (descriptors.open(), network.open_ends(*proxy));
            if counted > actual || counted + 2 < actual {
                let text = format!(
                    "proxy {proxy}: {counted} descriptors counted, actual number of connections {actual}"
                );
                invariants.record(Invariant::Leaked, now, None, text);
            }
        }
        for message in PANICS.with(|p| std::mem::take(&mut *p.borrow_mut())) {
            invariants.record(Invariant::Crashed, now, None, message);
        }
        let mut result = self
            .result
            .replace(RunResult::new(Arc::clone(&self.scenario)));
        check_recovery(&self.scenario, &result, &mut invariants);
        result.list_requests = self.list_service.borrow().request_count;
        result.violations = invariants.violations().to_vec();
        result.violation_count = invariants.violation_count();
        result.host_work.0 = self.hosts.iter().map(|h| h.host.borrow().work_done).sum();
        // Breaks the reference cycles between network and stand-ins.
        if let Transport::Memory(network) = &self.transport {
            network.close();
        }
        result
    }
}

/// The lines of a proxy's log that belong to an operation, with all of its tries.
fn call_log_lines(log: &[String], op: OpId) -> Vec<String> {
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
