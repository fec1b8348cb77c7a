//! What both uses of the program share: listener, decisions, timers, signals, exit.

use crate::net::admission_gate::AdmissionGate;
use crate::net::client_connection::ClientConnections;
use crate::net::clock::Clock;
use crate::net::discovery;
use crate::net::driver::{Driver, Endpoint};
use crate::net::peers;
use crate::net::rules::Rules;
use crate::net::server::Server;
use crate::net::socket::{Listener, Network, Tcp};
use crate::net::upstream::{ConnectionPool, IdleLimits};
use crate::net::{Descriptors, MemoryBudget};
use badgerramp_config::{
    clients_borne, connections_kept, Diagnostics, ListTerms, SubsetTerms, DESCRIPTORS_RESERVED,
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

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// How often connections that are overdue are looked for, while there are any and while there are none.
const SWEEP: Duration = Duration::from_millis(250);
const SWEEP_QUIET: Duration = Duration::from_secs(1);

/// Why the program ends.
#[derive(Debug)]
pub enum Fault {
    /// An operator's file is not good.
    Diagnostics(Diagnostics),
    /// Anything else.
    Other(String),
}

impl From<String> for Fault {
    fn from(fault: String) -> Self {
        Fault::Other(fault)
    }
}

impl From<Diagnostics> for Fault {
    fn from(mistakes: Diagnostics) -> Self {
        Fault::Diagnostics(mistakes)
    }
}

/// Where the list of hosts comes from.
pub enum Members {
    /// The list service, and the list as it was last had.
    Discovery {
        address: SocketAddr,
        known: Vec<Endpoint>,
        index: Option<u64>,
    },
    /// The operator's file.
    Fixed(Vec<Endpoint>),
}

/// All that a start needs.
pub struct Setup {
    pub listen: SocketAddr,
    pub seed: u64,
    pub facts: PlatformSettings,
    pub descriptors: usize,
    pub memory: usize,
    pub members: Members,
    /// The endpoints that it keeps to; `None`: all.
    pub subset: Option<SubsetTerms>,
    /// How long a watch waits, where that is not derived from what counts as told.
    pub watch_wait: Option<Micros>,
    /// How the list service is asked where many do.
    pub list: Option<ListTerms>,
    /// The other proxies of the fleet, where they pass the list on.
    pub peers: Option<peers::GossipConfig>,
    pub rules: Rules,
    /// Where the policy is the fleet's: what may begin, and by which rules. They stand in for `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// When a client may come back that is refused without the module's advice; 0: none is given.
    pub advice: Micros,
    /// Answers pass with status and headers.
    pub plain_http: bool,
}

/// What a reload may change of the running program.
pub struct Running {
    pub driver: Driver,
    pub server: Rc<Server>,
    pub clock: Clock,
    discovery: watch::Sender<SocketAddr>,
}

impl Running {
    /// Moves to this list service, if it is another one.
    pub fn follow(&self, address: SocketAddr) {
        self.discovery
            .send_if_modified(|old| std::mem::replace(old, address) != address);
    }
}

/// Runs until a stop is asked for. `reload` is called at each SIGHUP; what it fails with is logged, and must have
/// changed nothing. `started` is shown what runs, once; `last` is waited for when all that was taken is finished.
pub fn run(
    setup: Setup,
    reload: impl FnMut(&Running) -> Result<(), String>,
    started: impl FnOnce(&Running),
    last: impl Future<Output = ()>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let served = async {
        let served = serve(setup, reload, started).await;
        last.await;
        served
    };
    tokio::task::LocalSet::new().block_on(&runtime, served)
}

async fn serve(
    setup: Setup,
    reload: impl FnMut(&Running) -> Result<(), String>,
    started: impl FnOnce(&Running),
) -> Result<(), String> {
    // First of all: until then either signal kills.
    let mut hangups = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let around = Surroundings::of_system(setup.listen)?;
    let hangup = async move || hangups.recv().await.is_some();
    let stop = async move {
        term.recv().await;
    };
    serve_in(setup, around, hangup, stop, reload, started).await
}

/// What the program runs in: the system, or a simulation.
pub struct Surroundings {
    /// Opens connections to hosts and list service.
    pub network: Rc<dyn Network>,
    /// Takes clients' connections.
    pub listener: Rc<dyn Listener>,
    /// The time.
    pub clock: Clock,
}

impl Surroundings {
    /// The system, with a listener at this address.
    pub(crate) fn of_system(listen: SocketAddr) -> Result<Self, String> {
        let bind = |e| format!("listen on {listen}: {e}");
        let socket = if listen.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        };
        let socket = socket.map_err(|e| format!("socket: {e}"))?;
        socket.set_reuseaddr(true).map_err(bind)?;
        socket.bind(listen).map_err(bind)?;
        let listener = socket.listen(BACKLOG).map_err(bind)?;
        if let Ok(address) = listener.local_addr() {
            tracing::info!("listening on {address}");
        }
        Ok(Surroundings {
            network: Rc::new(Tcp),
            listener: Rc::new(listener),
            clock: Clock::start(),
        })
    }
}

/// Serves within these surroundings until `stop` resolves. Each time `hangup` resolves to true `reload` is called; what
/// it fails with is logged, and must have changed nothing. `started` is shown what runs, once.
///
/// # Errors
/// If a part ends that must go on: without it calls would stay unanswered.
pub async fn serve_in(
    setup: Setup,
    around: Surroundings,
    mut hangup: impl AsyncFnMut() -> bool,
    stop: impl Future<Output = ()>,
    mut reload: impl FnMut(&Running) -> Result<(), String>,
    started: impl FnOnce(&Running),
) -> Result<(), String> {
    let Surroundings {
        network,
        listener,
        clock,
    } = around;
    let room = setup
        .descriptors
        .saturating_sub(DESCRIPTORS_RESERVED)
        .max(8);
    let descriptors = Descriptors::new(room);
    // The rest is for buffers, which are bounded by the number of connections.
    let bytes = MemoryBudget::new(setup.memory / 4);
    let idle_limits = match setup.subset {
        Some(terms) => IdleLimits {
            per_endpoint: terms.kept,
            time: terms.idle,
        },
        None => IdleLimits {
            per_endpoint: connections_kept(setup.facts.settings.balancers),
            time: Micros::MAX,
        },
    };
    let pool = ConnectionPool::new(
        setup.facts.transport,
        idle_limits,
        Rc::clone(&descriptors),
        Rc::clone(&bytes),
        Rc::clone(&network),
        clock,
    );
    let source = if setup.facts.settings.poll_endpoint_list {
        Source::Service
    } else {
        Source::Agent
    };
    let grace = setup.facts.settings.rules.drain_grace;
    let subset = setup
        .subset
        .map(|terms| Subset::new(terms.need, terms.instance));
    let driver = Driver::new(
        setup.seed,
        setup.facts,
        setup.plain_http,
        subset,
        clock,
        Rc::clone(&pool),
    );
    let timeouts = Timeouts::derive(TimeoutConfig {
        source,
        drain_grace: grace,
        wait: setup.watch_wait,
    });
    let poll = setup
        .list
        .map(|terms| PollSchedule::new(terms.poll, setup.seed));
    let idle_after = setup.list.map_or(Micros::MAX, |terms| terms.idle_after);
    driver.start();
    let (address, index) = match setup.members {
        Members::Discovery {
            address,
            known,
            index,
        } => {
            driver.apply_endpoint_list(ListUpdateKind::Cached, &known);
            (Some(address), index)
        }
        Members::Fixed(list) => {
            driver.apply_endpoint_list(ListUpdateKind::Full, &list);
            (None, None)
        }
    };
    let mut timers = Task(tokio::task::spawn_local({
        let driver = driver.clone();
        async move { driver.run_timers().await }
    }));
    let (moved, moves) = watch::channel(address.unwrap_or(setup.listen));
    let driver_of_watch = driver.clone();
    let among_peers = setup.peers.is_some();
    let leave = Rc::new(Notify::new());
    let (among, left) = (setup.peers, Rc::clone(&leave));
    let mut watch = Task(tokio::task::spawn_local(async move {
        match (address, among) {
            (Some(_), Some(among)) => {
                peers::run(driver_of_watch, network, moves, among, left).await;
            }
            (Some(_), None) => {
                let asking = (timeouts, Watch::new(timeouts, index, poll, setup.seed));
                discovery::run(driver_of_watch, network, moves, asking, idle_after).await;
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
        memory_budget: bytes,
        in_flight_ids: RefCell::default(),
        default_retry_after: Cell::new(setup.advice),
        max_connections: clients_borne(setup.descriptors),
        max_excess_connections: (setup.descriptors / 40).max(2),
    });
    let running = Running {
        driver,
        server: Rc::clone(&server),
        clock,
        discovery: moved,
    };
    started(&running);
    let reloads = async {
        while hangup().await {
            if let Err(fault) = reload(&running) {
                tracing::warn!("the old configuration stays: {fault}");
            }
        }
    };
    let sweep = async {
        loop {
            // Thousands of quiet proxies on one machine must not keep it awake.
            let quiet = pool.has_no_idle() && server.clients.count() == 0;
            let next = if quiet { SWEEP_QUIET } else { SWEEP };
            running
                .driver
                .tick(Micros::try_from(next.as_micros()).unwrap_or(Micros::MAX));
            tokio::time::sleep(next).await;
            pool.close_expired();
            server.clients.close_overdue(clock.now());
        }
    };
    let served = tokio::select! {
        biased;
        () = Rc::clone(&server).serve(listener, stop) => Ok(()),
        // Without these calls would stay unanswered: better a crash that is seen.
        ended = &mut timers.0 => Err(format!("the timers ended: {ended:?}")),
        ended = &mut watch.0 => Err(format!("discovery ended: {ended:?}")),
        () = reloads => Err("the reader of the configuration ended".to_owned()),
        () = sweep => Ok(()),
    };
    if among_peers && served.is_ok() {
        // The others need not find out by themselves.
        leave.notify_one();
        let _ = (&mut watch.0).await;
    }
    served
}

/// A task that ends with its owner.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
