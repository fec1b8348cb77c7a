//! The part of the program that the sidecar and the platform share: listener, balancer, timers, signals and exit.

use crate::net::admission_gate::AdmissionGate;
use crate::net::client_connection::ClientConnections;
use crate::net::clock::Clock;
use crate::net::discovery;
use crate::net::driver::{Driver, Endpoint};
use crate::net::memory_budget::CLIENT_CONNECTION_COST;
use crate::net::peers;
use crate::net::rules::Rules;
use crate::net::server::{RequestIds, Server, LISTEN_BACKLOG};
use crate::net::socket::{Listener, Network, Tcp};
use crate::net::upstream::{ConnectionPool, IdleLimits};
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_config::{
    max_client_connections, max_idle_connections, Diagnostics, ListSettings, SubsetSettings,
    RESERVED_DESCRIPTORS,
};
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{ListUpdateKind, Micros};
use badgerramp_endpoint_watch::{PollSchedule, Source, TimeoutConfig, Timeouts, Watch};
use badgerramp_subset::Subset;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// The least number of client connections beyond the maximum number of open calls, whose requests are rejected.
const MIN_REJECTING_CONNECTIONS: usize = 2;

/// The part of the memory budget that connections of clients may take, as a divisor.
const CLIENT_MEMORY_DIVISOR: usize = 2;

/// Interval at which overdue connections are closed while the proxy has connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the same sweep while the proxy has no connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why the program failed.
#[derive(Debug)]
pub enum Error {
    /// An operator's file is invalid.
    Diagnostics(Diagnostics),
    /// Anything else.
    Other(String),
}

impl From<String> for Error {
    fn from(error: String) -> Self {
        Error::Other(error)
    }
}

impl From<Diagnostics> for Error {
    fn from(diagnostics: Diagnostics) -> Self {
        Error::Diagnostics(diagnostics)
    }
}

/// Where the endpoint list comes from.
pub enum EndpointSource {
    /// The list service.
    Discovery {
        /// The address of the list service.
        address: SocketAddr,
        /// The last list that was received before the start.
        cached: Vec<Endpoint>,
        /// The index of the cached list.
        index: Option<u64>,
    },
    /// A fixed list from the operator's file.
    Fixed(Vec<Endpoint>),
}

/// What the program needs to start.
pub struct Setup {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Seeds the random choices of the proxy.
    pub seed: u64,
    /// The settings of the balancer, classes and connections.
    pub platform_settings: PlatformSettings,
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
    /// Memory budget of the process, in bytes.
    pub memory_bytes: usize,
    /// Where the endpoint list comes from.
    pub endpoint_source: EndpointSource,
    /// The subset of endpoints that the proxy uses; `None`: all endpoints.
    pub subset: Option<SubsetSettings>,
    /// How long a watch of the endpoint list waits for news, in microseconds; `None`: derived from the drain grace period.
    pub watch_wait: Option<Micros>,
    /// How the list service is polled where many proxies share it.
    pub list_polling: Option<ListSettings>,
    /// Gossip of the endpoint list with the other proxies of the fleet, where it is used.
    pub gossip: Option<peers::GossipConfig>,
    /// The rules of the operator's file or the platform.
    pub rules: Rules,
    /// Admits calls under the policy of the control plane, where there is one. Its rules replace `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// `Retry-After` of rejections for which the balancer gives none, in microseconds; 0: the header is left out.
    pub default_retry_after: Micros,
    /// Responses of endpoints are passed on with their status and headers.
    pub plain_http: bool,
}

/// Handles to the parts of the running program that a reload may change.
pub struct Running {
    /// Carries out the balancer's decisions.
    pub driver: Driver,
    /// Serves the clients.
    pub server: Rc<Server>,
    /// The clock of the proxy.
    pub clock: Clock,
    /// Announces a new address of the list service.
    list_service: watch::Sender<SocketAddr>,
}

impl Running {
    /// Switches to the list service at `address`; does nothing if that is the current one.
    pub fn set_list_service(&self, address: SocketAddr) {
        self.list_service
            .send_if_modified(|old| std::mem::replace(old, address) != address);
    }
}

/// Runs until SIGTERM. `reload` is called at each SIGHUP; if it fails, its error is logged, and it must have changed
/// nothing. `on_start` is called once when the program runs; `on_end` is awaited after all accepted requests have finished.
pub fn run(
    setup: Setup,
    reload: impl FnMut(&Running) -> Result<(), String>,
    on_start: impl FnOnce(&Running),
    on_end: impl Future<Output = ()>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let result = async {
        let result = serve(setup, reload, on_start).await;
        on_end.await;
        result
    };
    tokio::task::LocalSet::new().block_on(&runtime, result)
}

async fn serve(
    setup: Setup,
    reload: impl FnMut(&Running) -> Result<(), String>,
    on_start: impl FnOnce(&Running),
) -> Result<(), String> {
    // Installed before anything else: until then either signal kills the process.
    let mut hangups = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut terminations = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let environment = Environment::system(setup.listen)?;
    let hangup = async move || hangups.recv().await.is_some();
    let stop = async move {
        terminations.recv().await;
    };
    serve_in(setup, environment, hangup, stop, reload, on_start).await
}

/// The I/O and time that the program uses: those of the operating system, or of a simulation.
pub struct Environment {
    /// Opens connections to the endpoints and the list service.
    pub network: Rc<dyn Network>,
    /// Accepts the clients' connections.
    pub listener: Rc<dyn Listener>,
    /// The clock of the proxy.
    pub clock: Clock,
}

impl Environment {
    /// Returns the environment of the operating system, with a listener at `listen`.
    pub(crate) fn system(listen: SocketAddr) -> Result<Self, String> {
        let bind_error = |e| format!("listen on {listen}: {e}");
        let socket = if listen.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        };
        let socket = socket.map_err(|e| format!("socket: {e}"))?;
        socket.set_reuseaddr(true).map_err(bind_error)?;
        socket.bind(listen).map_err(bind_error)?;
        let listener = socket.listen(LISTEN_BACKLOG).map_err(bind_error)?;
        if let Ok(address) = listener.local_addr() {
            tracing::info!("listening on {address}");
        }
        Ok(Environment {
            network: Rc::new(Tcp),
            listener: Rc::new(listener),
            clock: Clock::start(),
        })
    }
}

/// Serves in this environment until `stop` resolves. `reload` is called each time `hangup` resolves to true; if it fails,
/// its error is logged, and it must have changed nothing. `on_start` is called once when the program runs.
///
/// # Errors
/// If the timer task or the discovery task ends: without them calls would stay unanswered.
pub async fn serve_in(
    mut setup: Setup,
    environment: Environment,
    mut hangup: impl AsyncFnMut() -> bool,
    stop: impl Future<Output = ()>,
    mut reload: impl FnMut(&Running) -> Result<(), String>,
    on_start: impl FnOnce(&Running),
) -> Result<(), String> {
    let Environment {
        network,
        listener,
        clock,
    } = environment;
    let available_descriptors = setup
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(8);
    let descriptors = Descriptors::new(available_descriptors);
    let memory_budget = MemoryBudget::for_process(setup.memory_bytes);
    // Connections of clients alone must not use up the memory that requests on them need.
    let max_connections_in_memory =
        memory_budget.limit() / CLIENT_MEMORY_DIVISOR / CLIENT_CONNECTION_COST;
    // Each open call holds the connection of its client.
    let max_open_calls = max_client_connections(setup.descriptors).min(max_connections_in_memory);
    let transport = &mut setup.platform_settings.transport;
    transport.max_open = transport.max_open.min(max_open_calls);
    let idle_limits = match setup.subset {
        Some(terms) => IdleLimits {
            per_endpoint: terms.idle_connections,
            time: terms.idle,
        },
        None => IdleLimits {
            per_endpoint: max_idle_connections(setup.platform_settings.settings.balancers),
            time: Micros::MAX,
        },
    };
    let pool = ConnectionPool::new(
        setup.platform_settings.transport,
        idle_limits,
        Rc::clone(&descriptors),
        Rc::clone(&memory_budget),
        Rc::clone(&network),
        clock,
    );
    let source = if setup.platform_settings.settings.poll_endpoint_list {
        Source::Service
    } else {
        Source::Agent
    };
    let drain_grace = setup.platform_settings.settings.rules.drain_grace;
    let subset = setup
        .subset
        .map(|terms| Subset::new(terms.config, terms.instance));
    let driver = Driver::new(
        setup.seed,
        setup.platform_settings,
        setup.plain_http,
        subset,
        clock,
        Rc::clone(&pool),
    );
    let timeouts = Timeouts::derive(TimeoutConfig {
        source,
        drain_grace,
        wait: setup.watch_wait,
    });
    let poll = setup
        .list_polling
        .map(|terms| PollSchedule::new(terms.poll, setup.seed));
    let idle_after = setup
        .list_polling
        .map_or(Micros::MAX, |terms| terms.idle_after);
    driver.start();
    let (address, index) = match setup.endpoint_source {
        EndpointSource::Discovery {
            address,
            cached,
            index,
        } => {
            driver.apply_endpoint_list(ListUpdateKind::Cached, &cached);
            (Some(address), index)
        }
        EndpointSource::Fixed(list) => {
            driver.apply_endpoint_list(ListUpdateKind::Full, &list);
            (None, None)
        }
    };
    let mut timers = AbortOnDrop(tokio::task::spawn_local({
        let driver = driver.clone();
        async move { driver.run_timers().await }
    }));
    let (list_service_sender, list_service) = watch::channel(address.unwrap_or(setup.listen));
    let list_driver = driver.clone();
    let uses_gossip = setup.gossip.is_some();
    let leave = Rc::new(Notify::new());
    let (gossip, leave_requested) = (setup.gossip, Rc::clone(&leave));
    let mut watch = AbortOnDrop(tokio::task::spawn_local(async move {
        match (address, gossip) {
            (Some(_), Some(gossip)) => {
                peers::run(list_driver, network, list_service, gossip, leave_requested).await;
            }
            (Some(_), None) => {
                let watch = (timeouts, Watch::new(timeouts, index, poll, setup.seed));
                discovery::run(list_driver, network, list_service, watch, idle_after).await;
            }
            (None, _) => std::future::pending().await,
        }
    }));
    let server = Rc::new(Server {
        driver: driver.clone(),
        pool: Rc::clone(&pool),
        descriptors,
        clients: ClientConnections::default(),
        rules: RefCell::new(Rc::new(setup.rules)),
        gate: setup.gate,
        plain_http: setup.plain_http,
        memory_budget,
        request_ids: RequestIds::default(),
        default_retry_after: Cell::new(setup.default_retry_after),
        max_kept_connections: max_open_calls,
        max_connections: max_open_calls + (setup.descriptors / 40).max(MIN_REJECTING_CONNECTIONS),
    });
    let running = Running {
        driver,
        server: Rc::clone(&server),
        clock,
        list_service: list_service_sender,
    };
    on_start(&running);
    let reload_on_hangup = async {
        while hangup().await {
            if let Err(error) = reload(&running) {
                tracing::warn!("reload failed, keeping the old configuration: {error}");
            }
        }
    };
    let sweep_connections = async {
        loop {
            // An idle proxy wakes up less often: thousands of them may share a machine.
            let is_idle = pool.has_no_idle() && server.clients.count() == 0;
            let interval = if is_idle {
                IDLE_SWEEP_INTERVAL
            } else {
                SWEEP_INTERVAL
            };
            running
                .driver
                .tick(Micros::try_from(interval.as_micros()).unwrap_or(Micros::MAX));
            tokio::time::sleep(interval).await;
            pool.close_expired();
            server.clients.close_overdue(clock.now());
        }
    };
    let result = tokio::select! {
        biased;
        () = Rc::clone(&server).serve(listener, stop) => Ok(()),
        // Without the timers or discovery calls would stay unanswered, so the program fails visibly instead.
        end = &mut timers.0 => Err(format!("the timer task ended unexpectedly: {end:?}")),
        end = &mut watch.0 => Err(format!("the discovery task ended unexpectedly: {end:?}")),
        () = reload_on_hangup => Err("the reload signal can no longer be received".to_owned()),
        () = sweep_connections => Ok(()),
        () = server.relieve_memory_shortages() => Ok(()),
    };
    if uses_gossip && result.is_ok() {
        // Announces the departure to the peers, so that they need not detect it.
        leave.notify_one();
        let _ = (&mut watch.0).await;
    }
    result
}

/// A task that is aborted when its owner is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
