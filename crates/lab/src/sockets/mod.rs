//! A scenario on the program's own socket code: front, driver, hosts and discovery as they are, over a network in
//! memory, under the runtime's paused time. One thread, and nothing that hangs on hash seeds or on the machine's clock:
//! the same seed gives the same course.

mod memory;
mod peers;
mod wire;

use crate::course::{Course, Sample, BIN};
use crate::operator;
use crate::play::{judge_recovery, proxy_zone, Fault, Options};
use badgerramp::net::clock::Clock;
use badgerramp::net::driver::Driver;
use badgerramp::net::Descriptors;
use badgerramp::program::{serve_in, Surroundings};
use badgerramp::sidecar;
use badgerramp_world::{
    Ask, Clients, Draws, Entry, Host, Judge, ListService, Memory, Micros, Network as Ways, OpId, Rule, Scenario, Trouble,
};
use memory::{Io, Time, Who, World};
use peers::{host_address, list_address, proxy_address, HostCell};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet};

/// The Unix time at which each course starts, in microseconds.
const UNIX: Micros = 1_700_000_000_000_000;
/// The runtime's timers go by whole milliseconds, and a request passes several on its way.
const SLACK: Micros = 10_000;
/// What was on its way when the load ended has this long to end.
const AFTERMATH: Duration = Duration::from_secs(4);

/// A proxy that runs.
struct Running {
    task: JoinHandle<Result<(), String>>,
    inside: Rc<RefCell<Option<(Driver, Rc<Descriptors>)>>>,
}

/// What all peers share.
struct Shared {
    scenario: Arc<Scenario>,
    draws: Draws,
    options: Options,
    network: Rc<World>,
    hosts: Vec<Rc<HostCell>>,
    memory: RefCell<Memory>,
    list: RefCell<ListService>,
    listed: Notify,
    clients: RefCell<Clients>,
    judge: RefCell<Judge>,
    course: RefCell<Course>,
    /// Tries by their names.
    asks: RefCell<BTreeMap<(OpId, u32), Ask>>,
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
pub fn play(scenario: &Arc<Scenario>, options: Options) -> Result<Course, Fault> {
    operator::read(scenario)?;
    note_panics();
    PANICS.with(|p| p.borrow_mut().clear());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.map_err(|e| Fault::Other(format!("runtime: {e}")))?;
    let set = LocalSet::new();
    let course = set.block_on(&runtime, course(Arc::clone(scenario), options));
    Ok(course)
}

async fn course(scenario: Arc<Scenario>, options: Options) -> Course {
    let (draws, time) = (Draws::new(options.seed), Time::start());
    let zone = |name: &str| scenario.hosts.iter().position(|h| h.zone == name).unwrap_or(0) as u32;
    let proxy_zones = (0..scenario.proxies).map(|p| zone(proxy_zone(&scenario, p))).collect();
    let host_zones = scenario.hosts.iter().map(|h| zone(&h.zone)).collect();
    let ways = Ways::new(scenario.network, &scenario.faults, draws);
    let slack = SLACK + 2 * ways.longest();
    let network = World::new(time, ways, scenario.faults.clone(), (proxy_zones, host_zones));
    let models = (0..scenario.hosts.len()).map(|n| HostCell::new(n, Host::new(&scenario, n, draws)));
    let there = (0..scenario.hosts.len()).filter(|&n| scenario.hosts[n].joins == 0);
    let first = there.map(|host| Entry { host, state: 0, started: 0 }).collect();
    let shared = Rc::new(Shared {
        draws,
        options,
        hosts: models.collect(),
        memory: RefCell::default(),
        list: RefCell::new(ListService::new(scenario.list, &scenario.faults, first)),
        listed: Notify::new(),
        clients: RefCell::new(Clients::new(Arc::clone(&scenario), draws)),
        judge: RefCell::new(Judge::outside(Arc::clone(&scenario), slack)),
        course: RefCell::new(Course::new(Arc::clone(&scenario))),
        asks: RefCell::default(),
        kept: RefCell::default(),
        told: RefCell::default(),
        proxies: RefCell::default(),
        epochs: RefCell::default(),
        tokens: Cell::new(0),
        network: Rc::clone(&network),
        scenario,
    });
    tokio::task::spawn_local(peers::list(Rc::clone(&shared), network.listen(list_address(), Who::List)));
    for (place, cell) in shared.hosts.iter().enumerate() {
        tokio::task::spawn_local(Rc::clone(cell).run(Rc::clone(&shared)));
        if shared.scenario.hosts[place].joins == 0 {
            shared.opens(place);
        }
    }
    for proxy in 0..shared.scenario.proxies {
        shared.start_proxy(&network, proxy);
    }
    tokio::task::spawn_local(peers::troubles(Rc::clone(&shared), Rc::clone(&network)));
    tokio::task::spawn_local(peers::clients(Rc::clone(&shared)));
    let end = shared.scenario.duration + shared.scenario.longest();
    let mut at = BIN;
    while at <= end {
        tokio::time::sleep_until(time.instant(at)).await;
        shared.sample();
        at += BIN;
    }
    tokio::time::sleep_until(time.instant(end) + AFTERMATH).await;
    // Clients go; what the proxies still hold then is their own.
    shared.kept.borrow_mut().clear();
    tokio::time::sleep(Duration::from_secs(1)).await;
    shared.finish()
}

impl Shared {
    fn now(&self) -> Micros {
        self.network.time.now()
    }

    fn time(&self) -> Time {
        self.network.time
    }

    fn token(&self) -> u64 {
        self.tokens.replace(self.tokens.get() + 1)
    }

    fn note(&self, op: OpId, line: impl FnOnce() -> String) {
        self.course.borrow_mut().note(self.options.trace, op, self.now(), line);
    }

    /// Are answers being spoilt now?
    fn spoils(&self) -> bool {
        let now = self.now();
        let on = |f: &&badgerramp_world::Fault| f.from <= now && now < f.until;
        self.scenario.faults.iter().filter(on).any(|f| matches!(f.trouble, Trouble::Spoils { .. }))
    }

    /// Which process of a proxy runs.
    fn epoch(&self, proxy: u32) -> u64 {
        self.epochs.borrow().get(&proxy).copied().unwrap_or(0)
    }

    fn list_changes(&self, entry: Entry) {
        self.list.borrow_mut().change(self.now(), entry);
        self.listed.notify_waiters();
    }

    /// A host takes connections from now on.
    fn opens(self: &Rc<Self>, host: usize) {
        let door = self.network.listen(host_address(host), Who::Host(host));
        let (cell, shared) = (Rc::clone(&self.hosts[host]), Rc::clone(self));
        self.network.gate(
            host,
            Box::new(move || {
                let now = shared.now();
                cell.settle(&shared);
                let taken = cell.host.borrow_mut().connect(now);
                let count = cell.host.borrow().connections();
                let mut course = shared.course.borrow_mut();
                course.connections_most = course.connections_most.max(count);
                cell.stirred();
                taken
            }),
        );
        tokio::task::spawn_local(Rc::clone(&self.hosts[host]).serve(Rc::clone(self), door));
    }

    fn host_starts(self: &Rc<Self>, host: usize) {
        self.hosts[host].host.borrow_mut().start(self.now());
        let started = self.hosts[host].host.borrow().started();
        self.opens(host);
        self.list_changes(Entry { host, state: 0, started });
    }

    fn host_ends(&self, host: usize, listed: bool) {
        self.network.shut(host_address(host));
        self.hosts[host].die(self);
        if listed {
            let started = self.hosts[host].host.borrow().started();
            self.list_changes(Entry { host, state: 2, started });
        }
    }

    fn start_proxy(self: &Rc<Self>, world: &Rc<World>, proxy: u32) {
        let epoch = self.epoch(proxy);
        let text = operator::text(&self.scenario, proxy_address(proxy), list_address(), proxy_zone(&self.scenario, proxy));
        let Ok(config) = badgerramp_config::parse("a simulated proxy", &text) else {
            // It was read and found good before the course began.
            unreachable!("the operator's file of a scenario that plays")
        };
        let seed = self.draws.between((0x5eed, u64::from(proxy), epoch), (0, u64::MAX));
        let setup = sidecar::setup_once(config, seed);
        let listener = world.listen(proxy_address(proxy), Who::Proxy(proxy));
        let network = Rc::new(memory::From(Rc::clone(world), Who::Proxy(proxy)));
        let clock = Clock::starting_at(UNIX + self.now());
        let inside = Rc::new(RefCell::new(None));
        let seen = Rc::clone(&inside);
        let task = tokio::task::spawn_local(async move {
            let around = Surroundings { network, listener, clock };
            // All of its tasks go with it: that is what a process's death is.
            let own = LocalSet::new();
            let serve = serve_in(
                setup,
                around,
                async || std::future::pending().await,
                std::future::pending(),
                |_| Ok(()),
                |running| {
                    let shown = (running.driver.clone(), Rc::clone(&running.front.descriptors));
                    *seen.borrow_mut() = Some(shown);
                },
            );
            own.run_until(serve).await
        });
        self.proxies.borrow_mut().insert(proxy, Running { task, inside });
    }

    fn proxy_dies(&self, world: &Rc<World>, proxy: u32) {
        *self.epochs.borrow_mut().entry(proxy).or_default() += 1;
        world.shut(proxy_address(proxy));
        if let Some(running) = self.proxies.borrow_mut().remove(&proxy) {
            running.task.abort();
        }
        self.kept.borrow_mut().remove(&proxy);
        self.judge.borrow_mut().died(proxy);
        self.told.borrow_mut().retain(|(of, _), _| *of != proxy);
    }

    fn sample(&self) {
        let now = self.now();
        self.judge.borrow_mut().pass(now);
        let hosts = || self.hosts.iter().map(|h| h.host.borrow());
        let load = hosts().map(|h| f64::from(h.report().in_hand) / f64::from(h.spec().cores.max(1))).collect();
        let connections = hosts().map(|h| h.connections()).collect();
        let mut open = 0;
        for running in self.proxies.borrow().values() {
            if let Some((driver, _)) = &*running.inside.borrow() {
                open += driver.open_calls() as u64;
            }
        }
        let at = now as f64 / 1e6;
        self.course.borrow_mut().samples.push(Sample { at, load, connections, open, held: 0 });
        self.audit();
        // What ended long ago is asked for no more.
        self.asks.borrow_mut().retain(|_, ask| ask.first + 60_000_000 > now);
    }

    /// What each proxy counts against what is there.
    fn audit(&self) {
        let now = self.now();
        for (proxy, running) in &*self.proxies.borrow() {
            if let Some((driver, _)) = &*running.inside.borrow() {
                for text in driver.audit() {
                    self.judge.borrow_mut().note(Rule::Miscounted, now, None, format!("proxy {proxy}: {text}"));
                }
            }
        }
    }

    fn finish(&self) -> Course {
        let now = self.now();
        self.audit();
        let mut judge = self.judge.borrow_mut();
        judge.pass(Micros::MAX / 2);
        for (proxy, running) in &*self.proxies.borrow() {
            if running.task.is_finished() {
                judge.note(Rule::Crashed, now, None, format!("proxy {proxy} has ended by itself"));
            }
            let inside = running.inside.borrow();
            let Some((driver, descriptors)) = &*inside else { continue };
            if driver.open_calls() + driver.calls() > 0 {
                let text = format!("proxy {proxy}: {} calls open, {} known", driver.open_calls(), driver.calls());
                judge.note(Rule::Leaked, now, None, text);
            }
            // One more may lead to the list service.
            let (counted, there) = (descriptors.open(), self.network.open_at(*proxy));
            if counted > there || counted + 1 < there {
                let text = format!("proxy {proxy}: {counted} descriptors counted, {there} connections open");
                judge.note(Rule::Leaked, now, None, text);
            }
        }
        for panicked in PANICS.with(|p| std::mem::take(&mut *p.borrow_mut())) {
            judge.note(Rule::Crashed, now, None, panicked);
        }
        let mut course = self.course.replace(Course::new(Arc::clone(&self.scenario)));
        judge_recovery(&self.scenario, &course, &mut judge);
        course.list_asked = self.list.borrow().asked;
        course.broken = judge.broken().to_vec();
        course.broken_count = judge.count();
        course.worked.0 = self.hosts.iter().map(|h| h.host.borrow().worked).sum();
        // What refers to itself in a circle is let go.
        self.network.close();
        course
    }
}
