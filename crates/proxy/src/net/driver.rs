//! The one owner of the [`Balancer`]: turns what happens into events, carries the actions out, and owns the
//! timers, the calls and the maps between names and numbers. It never picks, retries or sheds by itself.

use super::clock::Clock;
use super::exchange::{Client, Ended, Reply, Request, Target};
use super::hosts::{self, Hosts};
use crate::log::CALLS;
use badgerramp_decisions::settings::{self, Facts};
use badgerramp_decisions::{
    Action, Balancer, CallId, CellId, ClassId, Entry, Event, ListKind, Load, Micros, Outcome, ServerId,
    Settings, State, TenantId, Terms, View,
};
use badgerramp_subset::{Changes, Health, Subset};
use badgerramp_watch::Stall;
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tracing::debug;

/// What the module is told of a request.
pub struct Intake {
    pub client: Rc<dyn Client>,
    pub class: ClassId,
    pub tenant: Option<String>,
    pub deadline: Micros,
    pub resent: bool,
    pub terms: Terms,
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    Served(Reply),
    Refused {
        retry_after: Micros,
    },
    /// What the last host said that could be read, if any.
    Failed(Option<Reply>),
    /// The time was up before the module had ended the call.
    Overdue,
}

impl Answer {
    /// A word for the log.
    fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed(_) => "failed",
            Answer::Overdue => "overdue",
        }
    }
}

/// An entry of the list in discovery's form.
#[derive(Debug, Deserialize)]
pub struct Endpoint {
    pub(super) name: String,
    #[serde(default)]
    pub(super) address: String,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default, rename = "type")]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) group: u32,
    #[serde(default)]
    pub(super) status: String,
    #[serde(default)]
    pub(super) weight: f64,
    #[serde(default)]
    pub(super) since_ms: u64,
}

impl Endpoint {
    /// One that the operator's file names. `since_ms` is as in the list: Unix time in milliseconds, 0 for long ago.
    pub fn fixed(endpoint: &badgerramp_config::Endpoint, since_ms: u64) -> Self {
        Endpoint {
            name: endpoint.name.clone(),
            address: endpoint.address.to_string(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            group: endpoint.group,
            status: "up".to_owned(),
            weight: endpoint.weight,
            since_ms,
        }
    }
}

/// The list, or what changed of it.
#[derive(Debug, Deserialize)]
pub struct List {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug)]
struct Host {
    name: Rc<str>,
    address: Option<SocketAddr>,
    started: Micros,
    state: State,
    /// Stands for a process at an address, and for no other: connections of an earlier one are not used.
    generation: u64,
    /// What the list last said of it, where the module is told of a subset alone.
    entry: Option<Entry>,
}

/// The subset that the module is told of, and what it was told at last.
struct Chosen {
    subset: Subset,
    settings: Settings,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    sent: Micros,
    until: Micros,
    /// Later its first byte must not be written.
    start_by: Micros,
    /// Its first byte may have been written.
    started: bool,
    /// None once its outcome is in.
    task: Option<AbortHandle>,
    out: bool,
}

struct Call {
    client: Rc<dyn Client>,
    request: Rc<Request>,
    class: ClassId,
    deadline: Micros,
    /// Taken when the final answer is given.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    /// The last answer of a host that did not serve, if it is to be passed on.
    last: Option<Reply>,
}

/// What is due at a moment. The order matters: at a deadline the attempts time out first, so that the module
/// can end the call itself, then its own timer comes, and only then the backstop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(CallId, u32),
    Module,
    Backstop(CallId),
}

struct Core {
    balancer: Balancer,
    tenants: Vec<String>,
    max_open: usize,
    /// Whether what a host answers with an error is passed on where nothing better comes.
    keep_errors: bool,
    calls: HashMap<CallId, Call>,
    open: usize,
    next_call: u64,
    /// Hosts of the list. One that is gone is forgotten, as are the numbers of its name: they are never given
    /// again, so that what is still out there concerns nobody else.
    numbers: BTreeMap<Rc<str>, ServerId>,
    hosts: HashMap<ServerId, Host>,
    next_host: u32,
    next_generation: u64,
    timers: BTreeSet<(Micros, Due)>,
    /// When the module's timer is due: it has one, the earliest that it asked for since the last.
    module_due: Option<Micros>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    chosen: Option<Chosen>,
    /// What the file says, and how many proxies share the hosts as the module was told.
    settings: Settings,
    sharing: u32,
    /// Proxies that are known to be alive.
    alive: u32,
    /// When a call last came.
    called: Micros,
    stall: Stall,
}

/// The driver as the other parts see it.
#[derive(Clone)]
pub struct Driver {
    core: Rc<RefCell<Core>>,
    clock: Clock,
    sockets: Rc<Hosts>,
    timer_moved: Rc<Notify>,
    subscribe: Rc<Notify>,
}

impl Driver {
    pub fn new(
        seed: u64,
        facts: Facts,
        keep_errors: bool,
        subset: Option<Subset>,
        clock: Clock,
        sockets: Rc<Hosts>,
    ) -> Self {
        let chosen = subset.map(|subset| Chosen { subset, settings: facts.settings.clone() });
        let core = Core {
            chosen,
            sharing: facts.settings.balancers,
            settings: facts.settings.clone(),
            alive: 0,
            called: clock.now(),
            stall: Stall::new(clock.now(), facts.settings.rules.drain_grace),
            balancer: Balancer::new(seed, facts.settings),
            tenants: facts.tenants,
            max_open: facts.transport.max_open,
            keep_errors,
            calls: HashMap::new(),
            open: 0,
            next_call: 0,
            numbers: BTreeMap::new(),
            hosts: HashMap::new(),
            next_host: 0,
            next_generation: 0,
            module_due: None,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (timer_moved, subscribe) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        Driver { core: Rc::new(RefCell::new(core)), clock, sockets, timer_moved, subscribe }
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Waits until the module asks for the list.
    pub async fn subscribed(&self) {
        self.subscribe.notified().await;
    }

    pub fn start(&self) {
        self.event(Event::Start);
    }

    /// Calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.core.borrow().open
    }

    /// Where what the decisions count differs from what is there, in words; empty if all is well.
    pub fn audit(&self) -> Vec<String> {
        let core = self.core.borrow();
        let mut out: BTreeMap<ServerId, u32> = BTreeMap::new();
        let attempts = core.calls.values().flat_map(|c| &c.attempts);
        attempts.filter(|a| a.out).for_each(|a| *out.entry(a.server).or_default() += 1);
        let mut odd = Vec::new();
        for (&server, host) in &core.hosts {
            let (there, now) = (out.get(&server).copied().unwrap_or(0), self.clock.now());
            let counted = core.balancer.view(now, server).map_or(there, |v| v.in_flight);
            if counted != there {
                odd.push(format!("{}: {counted} in flight by the decisions, {there} there", host.name));
            }
        }
        let known = core.balancer.totals().0;
        if known > core.calls.len() {
            odd.push(format!("{known} calls known to the decisions, {} there", core.calls.len()));
        }
        if core.open != core.calls.values().filter(|c| c.answer.is_some()).count() {
            odd.push(format!("{} calls counted as open", core.open));
        }
        odd.sort();
        odd
    }

    /// Calls that are not forgotten yet: open ones, and those of which an attempt is still out.
    pub fn calls(&self) -> usize {
        self.core.borrow().calls.len()
    }

    /// Other settings hold for what comes from now on.
    pub fn reconfigure(&self, mut settings: Settings, fresh: Vec<ClassId>, max_open: usize) {
        let mut core = self.core.borrow_mut();
        core.max_open = max_open;
        core.settings = settings.clone();
        settings.balancers = settings.balancers.max(core.alive);
        core.sharing = settings.balancers;
        if let Some(chosen) = &mut core.chosen {
            chosen.settings = settings.clone();
            settings.balancers = chosen.subset.sharing();
        }
        drop(core);
        self.event(Event::Reconfigure { settings: Box::new(settings), fresh });
    }

    /// So many proxies of the fleet are alive: where the file says fewer, hosts are shared by more than it says.
    pub fn alive(&self, proxies: u32) {
        let mut core = self.core.borrow_mut();
        core.alive = proxies;
        let sharing = core.settings.balancers.max(proxies);
        // The budgets of a subset go by those that share its members.
        if core.chosen.is_some() || sharing.abs_diff(core.sharing) * 4 <= core.sharing {
            return;
        }
        core.sharing = sharing;
        let settings = Box::new(Settings { balancers: sharing, ..core.settings.clone() });
        drop(core);
        self.event(Event::Reconfigure { settings, fresh: Vec::new() });
    }

    /// Is a call of this class open, or an attempt of one still out?
    pub fn in_use(&self, class: ClassId) -> bool {
        self.core.borrow().calls.values().any(|c| c.class == class)
    }

    /// Takes a request on. None: more are open than the settings allow.
    pub fn request(&self, intake: Intake, request: Request) -> Option<(CallId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let mut core = self.core.borrow_mut();
        if core.open >= core.max_open {
            return None;
        }
        core.called = self.clock.now();
        core.pulse(self.clock.now());
        let call = CallId(core.next_call);
        core.next_call += 1;
        core.open += 1;
        let id = request.headers.get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or_default();
        debug!(target: CALLS, call = call.0, request = id, class = intake.class.0, "taken");
        let deadline = intake.deadline;
        let entry = Call {
            client: intake.client,
            request: Rc::new(request),
            class: intake.class,
            deadline,
            answer: Some(sender),
            attempts: Vec::new(),
            last: None,
        };
        core.calls.insert(call, entry);
        core.timers.insert((deadline, Due::Backstop(call)));
        let place = |all: &[String], name: &str| all.iter().position(|n| n == name);
        let event = Event::Request {
            call,
            class: intake.class,
            tenant: intake.tenant.and_then(|t| place(&core.tenants, &t)).map(TenantId),
            time_left: deadline.saturating_sub(self.clock.now()),
            resent: intake.resent,
            terms: intake.terms,
        };
        drop(core);
        self.event(event);
        Some((call, receiver))
    }

    /// The client of this call has gone. Its attempts are dropped whatever the module says.
    pub fn gone(&self, call: CallId) {
        let open = self.core.borrow().calls.get(&call).is_some_and(|c| c.answer.is_some());
        if !open {
            return;
        }
        self.core.borrow_mut().close(call, None);
        self.event(Event::Gone { call });
        self.drop_attempts(call);
    }

    /// May the first byte of this attempt be written now? Asked after the connection is there: the call may
    /// have ended meanwhile, its time may be up, its client may have gone, its host may drain or be another process; and
    /// what is believed of the host may be old, if the process stood still.
    pub fn may_start(&self, call: CallId, attempt: u32, generation: u64) -> bool {
        let client = self.core.borrow().calls.get(&call).map(|c| Rc::clone(&c.client));
        if client.is_some_and(|client| !client.connected()) {
            // Whatever the HTTP library has seen of that: with bytes behind the request in its buffer it looks no more.
            self.gone(call);
            return false;
        }
        let mut core = self.core.borrow_mut();
        if core.stall.behind(self.clock.now()).is_some() {
            return false;
        }
        let Core { calls, hosts, .. } = &mut *core;
        let Some(call) = calls.get_mut(&call).filter(|c| c.answer.is_some()) else { return false };
        let Some(attempt) = call.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return false };
        let host = hosts.get(&attempt.server);
        attempt.started = self.clock.now() < attempt.until.min(attempt.start_by)
            && host.is_some_and(|h| h.state == State::Ready && h.generation == generation);
        attempt.started
    }

    /// An attempt has ended by itself. Only its first outcome counts.
    pub fn ended(&self, call: CallId, attempt: u32, ended: Ended) {
        // Also told when a task is dropped. Should that ever come about while the core is at work, a panic in
        // a panic would end the program; the attempt's own time ends it then.
        let Ok(mut core) = self.core.try_borrow_mut() else { return };
        if core.outcome(self.clock.now(), call, attempt, ended) {
            self.run_with(&mut core);
        }
    }

    /// News of the list.
    pub fn members(&self, kind: ListKind, list: &[Endpoint]) {
        let mut entries = Vec::new();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let mut touched = Vec::new();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: HashSet<&str> = list.iter().map(|e| e.name.as_str()).collect();
            let gone: Vec<_> =
                core.numbers.keys().filter(|name| !named.contains(&***name)).cloned().collect();
            for name in gone {
                touched.extend(core.numbers.get(&name).map(|s| s.0));
                core.forget(&name, &self.sockets);
            }
        }
        for endpoint in list {
            let state = match endpoint.status.as_str() {
                "up" => State::Ready,
                "removed" => State::Gone,
                // Draining, and what is not known: nothing new goes there.
                _ => State::Draining,
            };
            let known = ["up", "draining", "removed"].contains(&endpoint.status.as_str());
            let started = endpoint.since_ms.saturating_mul(1_000);
            let Some(server) = core.number(&endpoint.name, state) else { continue };
            let Some(host) = core.hosts.get_mut(&server) else { continue };
            if !known && (host.generation == 0 || host.state == State::Ready) {
                tracing::warn!(
                    "discovery: host {:?} has the status {:?}, allowed are up, draining, removed: nothing new goes there",
                    endpoint.name,
                    endpoint.status
                );
            }
            let address = endpoint.address.parse().ok().or(host.address.filter(|_| state != State::Ready));
            // Nothing can go to a host of which no address is told.
            let state = if state == State::Ready && address.is_none() { State::Draining } else { state };
            // The same name with a new start is a new process, and a new address another way to it: what is
            // open leads to the old one.
            if state != State::Ready {
                self.sockets.close(server);
            } else if host.state != State::Ready || address != host.address || started != host.started {
                host.generation = core.next_generation;
                core.next_generation += 1;
                self.sockets.open(server, host.generation);
            }
            (host.state, host.address, host.started) = (state, address, started);
            let entry = Entry {
                server,
                state,
                zone: settings::zone(&endpoint.zone),
                cell: CellId(endpoint.group),
                kind: settings::kind(&endpoint.kind),
                weight: endpoint.weight,
                started,
            };
            host.entry = core.chosen.is_some().then_some(entry);
            if let Some(chosen) = &mut core.chosen {
                touched.push(server.0);
                match state {
                    State::Ready => {
                        let near = entry.zone == chosen.settings.zone;
                        chosen.subset.add(server.0, &endpoint.name, near);
                    }
                    _ => chosen.subset.remove(server.0),
                }
            }
            if state == State::Gone {
                core.forget(&endpoint.name, &self.sockets);
            }
            entries.push(entry);
        }
        if core.chosen.is_some() {
            core.choose(self.clock.now(), kind, &touched);
        } else {
            core.events.push_back(Event::Members { kind, entries });
        }
        self.run_with(core);
    }

    /// Looks whether the subset still fits what is asked of it, and whether the process has stood still; the next look
    /// comes in `next`.
    pub fn pulse(&self, next: Micros) {
        let mut core = self.core.borrow_mut();
        let now = self.clock.now();
        core.stall.beat(now, next);
        core.pulse(now);
        self.run_with(&mut core);
    }

    /// Resolves when what came in while the process stood still was read: at once, if it did not.
    async fn caught_up(&self) {
        let behind = self.core.borrow().stall.behind(self.clock.now());
        if let Some(time) = behind {
            tokio::time::sleep(Duration::from_micros(time)).await;
        }
    }

    /// How long no call has come.
    pub fn quiet_for(&self) -> Micros {
        self.clock.now().saturating_sub(self.core.borrow().called)
    }

    /// Hosts of the list that the module is told of, and all.
    pub fn chosen(&self) -> (usize, usize) {
        let core = self.core.borrow();
        let all = core.hosts.values().filter(|h| h.state == State::Ready).count();
        (core.chosen.as_ref().map_or(all, |c| c.subset.standing().members), all)
    }

    /// Asking for the list failed, or the watch broke.
    pub fn members_failed(&self) {
        self.event(Event::Members { kind: ListKind::Failed, entries: Vec::new() });
    }

    fn event(&self, event: Event) {
        self.core.borrow_mut().events.push_back(event);
        self.run();
    }

    fn run(&self) {
        self.run_with(&mut self.core.borrow_mut());
    }

    /// Hands the events to the module in their order and carries out what it says; an action may bring a
    /// further event at once, so this goes on until none is left.
    fn run_with(&self, core: &mut Core) {
        let first = core.timers.first().copied();
        while let Some(event) = core.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut core.actions);
            let touched = match event {
                Event::Outcome { call, .. } => Some(call),
                _ => None,
            };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(core, now, action);
            }
            core.actions = actions;
            if let Some(call) = touched {
                core.tidy(call);
            }
        }
        if core.timers.first().copied() != first {
            self.timer_moved.notify_one();
        }
    }

    fn act(&self, core: &mut Core, now: Micros, action: Action) {
        match action {
            Action::Send { call, server, until, start_by } => {
                self.send(core, now, (call, server), (until, start_by));
            }
            Action::Refuse { call, retry_after } => core.close(call, Some(Answer::Refused { retry_after })),
            Action::Fail { call } => {
                let last = core.calls.get_mut(&call).and_then(|c| c.last.take());
                core.close(call, Some(Answer::Failed(last)));
            }
            Action::Cancel { call, attempt } => {
                core.outcome(now, call, attempt, Outcome::CalledOff.into());
            }
            Action::Wake { after } => {
                let at = now.saturating_add(after);
                if core.module_due.is_none_or(|due| at < due) {
                    core.module_due.replace(at).map(|due| core.timers.remove(&(due, Due::Module)));
                    core.timers.insert((at, Due::Module));
                }
            }
            Action::Subscribe => self.subscribe.notify_one(),
            // Where the site allows no probes the module asks for none.
            Action::Probe { server } => core.events.push_back(Event::Probed {
                server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: Load::default(),
            }),
            Action::Log { text } => {
                let name = |n: &str| Some(&*core.hosts.get(&ServerId(n.parse().ok()?))?.name);
                let words = text.split(' ').map(|w| name(w).unwrap_or(w));
                tracing::info!("{}", words.collect::<Vec<_>>().join(" "));
            }
        }
    }

    fn send(
        &self,
        core: &mut Core,
        now: Micros,
        (id, server): (CallId, ServerId),
        (until, start_by): (Option<Micros>, Option<Micros>),
    ) {
        let Some(call) = core.calls.get_mut(&id) else { return };
        let number = call.attempts.len() as u32;
        let until = until.filter(|&u| u > 0).unwrap_or(Micros::MAX).min(call.deadline);
        let start_by = start_by.unwrap_or(Micros::MAX);
        let attempt = Attempt { server, sent: now, until, start_by, started: false, task: None, out: true };
        call.attempts.push(attempt);
        if tracing::enabled!(target: CALLS, tracing::Level::DEBUG) {
            let name = core.hosts.get(&server).map_or("", |h| &*h.name);
            let left = until.saturating_sub(now);
            if let Some(known) = core.balancer.view(now, server) {
                let View { in_flight, concurrency, strain, failing, warmth, set_aside, .. } = known;
                debug!(target: CALLS, call = id.0, attempt = number, host = name, left, in_flight, concurrency, strain,
                    failing, warmth, set_aside, "sent");
            }
        }
        let host = core.hosts.get(&server);
        let target = host
            .filter(|h| h.state == State::Ready)
            .and_then(|h| Some(Target { server, address: h.address?, generation: h.generation }));
        let Some(target) = target.filter(|_| call.answer.is_some() && until > now) else {
            core.outcome(now, id, number, Outcome::NotSent.into());
            return;
        };
        core.timers.insert((until, Due::Attempt(id, number)));
        let (driver, request) = (self.clone(), Rc::clone(&call.request));
        let task = tokio::task::spawn_local(async move {
            // An attempt whose task dies may have run; without this its call would wait for its deadline.
            let mut guard = Guard { driver, call: id, attempt: number, ended: Some(Outcome::Unknown.into()) };
            let driver = &guard.driver;
            driver.caught_up().await;
            let left = || until.saturating_sub(driver.clock.now());
            let may_start = || driver.may_start(id, number, target.generation);
            let ended = hosts::attempt(&driver.sockets, target, &request, left, may_start).await;
            guard.ended = Some(ended);
        });
        call.attempts[number as usize].task = Some(task.abort_handle());
    }

    /// Gives up what is still out for a call of which nothing more is wanted.
    fn drop_attempts(&self, call: CallId) {
        let mut core = self.core.borrow_mut();
        let count = core.calls.get(&call).map_or(0, |c| c.attempts.len() as u32);
        for attempt in 0..count {
            core.outcome(self.clock.now(), call, attempt, Outcome::CalledOff.into());
        }
        self.run_with(&mut core);
        core.tidy(call);
    }

    /// Serves the timers, for as long as the program runs.
    pub async fn timers(&self) {
        loop {
            let next = self.core.borrow().timers.first().map(|t| t.0);
            match next {
                Some(at) if at <= self.clock.now() => self.due(),
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer_moved.notified() => {}
                    }
                }
                None => self.timer_moved.notified().await,
            }
        }
    }

    fn due(&self) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let now = self.clock.now();
        while let Some((_, due)) = core.timers.first().filter(|t| t.0 <= now).copied() {
            core.timers.pop_first();
            match due {
                Due::Attempt(call, attempt) => {
                    let tried = core.calls.get(&call).and_then(|c| c.attempts.get(attempt as usize));
                    // Its time may be up while it still waits for its connection. Then it never ran, and to
                    // say 'timed out' would fail an unsafe call that may safely go again or be refused.
                    let outcome = match tried {
                        Some(Attempt { started: false, .. }) => Outcome::NoConnection,
                        _ => Outcome::TimedOut,
                    };
                    core.outcome(now, call, attempt, outcome.into());
                }
                Due::Module => {
                    core.module_due = None;
                    core.events.push_back(Event::Timer);
                }
                Due::Backstop(call) => {
                    if core.calls.get(&call).is_some_and(|c| c.answer.is_some()) {
                        // Whatever the module does, a call ends by its deadline.
                        core.close(call, Some(Answer::Overdue));
                        core.events.push_back(Event::Gone { call });
                    }
                }
            }
            self.run_with(core);
        }
    }
}

/// Reports the outcome of an attempt when its task ends, however that comes about.
struct Guard {
    driver: Driver,
    call: CallId,
    attempt: u32,
    ended: Option<Ended>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(ended) = self.ended.take() {
            self.driver.ended(self.call, self.attempt, ended);
        }
    }
}

impl Core {
    /// The number of a host by its name: a new one if it was not known. None if it is gone as well.
    fn number(&mut self, name: &str, state: State) -> Option<ServerId> {
        if let Some(&number) = self.numbers.get(name) {
            return Some(number);
        }
        if state == State::Gone {
            return None;
        }
        let (number, name) = (ServerId(self.next_host), Rc::<str>::from(name));
        self.next_host += 1;
        self.numbers.insert(Rc::clone(&name), number);
        // Draining until it is known better: whatever its first entry says is news.
        let host =
            Host { name, address: None, started: 0, state: State::Draining, generation: 0, entry: None };
        self.hosts.insert(number, host);
        Some(number)
    }

    fn forget(&mut self, name: &str, sockets: &Hosts) {
        if let Some(number) = self.numbers.remove(name) {
            self.hosts.remove(&number);
            sockets.close(number);
            if let Some(chosen) = &mut self.chosen {
                chosen.subset.remove(number.0);
            }
        }
    }

    /// The list has changed: the module is told what that makes of the subset.
    fn choose(&mut self, now: Micros, kind: ListKind, touched: &[u32]) {
        let Some(chosen) = &mut self.chosen else { return };
        let changes = chosen.subset.listed(now, touched);
        if kind == ListKind::Delta {
            // A member may have changed and stayed one.
            let stay = touched.iter().copied().filter(|&id| chosen.subset.holds(id));
            let joined = changes.joined.iter().copied().chain(stay).collect();
            self.tell(kind, &Changes { joined, left: changes.left });
        } else {
            let joined = chosen.subset.members().collect();
            self.tell(kind, &Changes { joined, left: Vec::new() });
        }
    }

    /// Grows or shrinks the subset by how its members fare.
    fn pulse(&mut self, now: Micros) {
        let Some(chosen) = &mut self.chosen else { return };
        let ((listed, troubled), (calls, waiting, _)) = (self.balancer.listed(), self.balancer.totals());
        let health = Health { usable: listed - troubled, in_flight: calls - waiting, waiting };
        let changes = chosen.subset.pulse(now, health);
        if !changes.is_empty() {
            self.tell(ListKind::Delta, &changes);
        }
    }

    /// Tells the module of the subset; and of how many proxies share its members, where that is another number now.
    fn tell(&mut self, kind: ListKind, changes: &Changes) {
        let gone = |&id: &u32| {
            let entry =
                self.hosts.get(&ServerId(id)).and_then(|h| h.entry).filter(|e| e.state != State::Ready);
            entry.unwrap_or(Entry { server: ServerId(id), state: State::Gone, ..Entry::default() })
        };
        let joined = changes.joined.iter().filter_map(|id| self.hosts.get(&ServerId(*id))?.entry);
        let entries = changes.left.iter().map(gone).chain(joined).collect();
        if let Some(chosen) = &mut self.chosen {
            let (sharing, told) = (chosen.subset.sharing(), chosen.settings.balancers);
            if sharing.abs_diff(told) * 4 > told {
                chosen.settings.balancers = sharing;
                let settings = Box::new(chosen.settings.clone());
                self.events.push_back(Event::Reconfigure { settings, fresh: Vec::new() });
            }
        }
        self.events.push_back(Event::Members { kind, entries });
    }

    /// Gives the final answer, if it has not been given yet.
    fn close(&mut self, id: CallId, answer: Option<Answer>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(sender) = call.answer.take() {
            self.open -= 1;
            self.timers.remove(&(call.deadline, Due::Backstop(id)));
            debug!(target: CALLS, call = id.0, answer = answer.as_ref().map_or("client gone", Answer::word), "ended");
            if let Some(answer) = answer {
                // The client may be gone: then its connection's end says so.
                let _ = sender.send(answer);
            }
        }
        self.tidy(id);
    }

    /// Notes the end of an attempt, stops its task and queues the event. False if it had ended before.
    fn outcome(&mut self, now: Micros, id: CallId, number: u32, ended: Ended) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(attempt) = call.attempts.get_mut(number as usize).filter(|a| a.out) else { return false };
        attempt.out = false;
        self.timers.remove(&(attempt.until, Due::Attempt(id, number)));
        if let Some(task) = attempt.task.take() {
            // Its connection goes with it: the host learns that nobody waits.
            task.abort();
        }
        let elapsed = now.saturating_sub(attempt.sent);
        debug!(target: CALLS, call = id.0, attempt = number, outcome = ?ended.outcome, elapsed, "over");
        let Ended { outcome, load, reply } = ended;
        match reply {
            Some(reply) if outcome == Outcome::Served => {
                if let Some(sender) = call.answer.take() {
                    self.open -= 1;
                    self.timers.remove(&(call.deadline, Due::Backstop(id)));
                    let _ = sender.send(Answer::Served(reply));
                }
            }
            Some(reply) if outcome == Outcome::Error && self.keep_errors => call.last = Some(reply),
            _ => {}
        }
        let closed = call.answer.is_none();
        self.events.push_back(Event::Outcome { call: id, attempt: number, outcome, elapsed, closed, load });
        true
    }

    /// Forgets a call once it has ended and none of its attempts is out.
    fn tidy(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.answer.is_none() && c.attempts.iter().all(|a| !a.out)) {
            self.calls.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::socket::Tcp;
    use crate::net::{Descriptors, Room};
    use badgerramp_decisions::settings::Transport;
    use hyper::http::{HeaderMap, Method, Uri};
    use std::time::{SystemTime, UNIX_EPOCH};

    /// A client that waits for whatever comes.
    struct Waits;

    impl Client for Waits {
        fn connected(&self) -> bool {
            true
        }
    }

    fn driver() -> Driver {
        driver_with(None)
    }

    fn driver_with(subset: Option<Subset>) -> Driver {
        let clock = Clock::start();
        let transport = Transport { max_open: 9, conn_idle: 60_000_000, connect_timeout: 9_000_000 };
        let sockets = Hosts::new(
            transport,
            (16, Micros::MAX),
            (Descriptors::new(9), Room::new(1 << 20)),
            Rc::new(Tcp),
            clock,
        );
        let facts = Facts { settings: Settings::default(), classes: vec![], tenants: vec![], transport };
        Driver::new(7, facts, false, subset, clock, sockets)
    }

    fn request() -> Request {
        let (uri, headers) = (Uri::from_static("/a"), HeaderMap::new());
        let answers = std::sync::Arc::new(badgerramp_route::Answers::platform());
        let manner = Rc::new(super::super::exchange::Manner { connect: 1, answers, body_most: 1 });
        Request { method: Method::GET, uri, headers, body: bytes::Bytes::new(), manner }
    }

    /// The module ends each call by itself; should it ever forget one, the client still gets its answer.
    #[tokio::test(flavor = "current_thread")]
    async fn a_call_that_the_module_forgot_ends_at_its_deadline_once() {
        let driver = driver();
        let deadline = driver.clock.now() + 30_000;
        let (sender, receiver) = oneshot::channel();
        let call = CallId(99);
        let (request, class, client) = (Rc::new(request()), ClassId(0), Rc::new(Waits));
        let (answer, attempts) = (Some(sender), Vec::new());
        let forgotten = Call { client, request, class, deadline, answer, attempts, last: None };
        driver.core.borrow_mut().calls.insert(call, forgotten);
        driver.core.borrow_mut().open += 1;
        driver.core.borrow_mut().timers.insert((deadline, Due::Backstop(call)));
        tokio::select! {
            () = driver.timers() => {}
            answer = receiver => assert!(matches!(answer, Ok(Answer::Overdue))),
        }
        assert!(driver.clock.now() >= deadline);
        assert_eq!((driver.open_calls(), driver.core.borrow().calls.len()), (0, 0));
        driver.gone(call);
        assert_eq!(driver.open_calls(), 0, "a second end changes nothing");
    }

    /// Start times are Unix time: on a clock of another origin a cold host would look warm, or never warm up.
    #[test]
    fn the_clock_runs_on_unix_time_so_that_starts_compare() {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_micros() as Micros;
        let now = driver().clock.now();
        assert!(now.abs_diff(unix) < 5_000_000, "{now} {unix}");
        let driver = driver();
        let list =
            format!(r#"[{{"name":"s","address":"127.0.0.1:9","status":"up","since_ms":{}}}]"#, unix / 1_000);
        let list: Vec<Endpoint> = serde_json::from_str(&list).expect("a list");
        driver.members(ListKind::Full, &list);
        assert_eq!(driver.core.borrow().hosts[&ServerId(0)].started, unix / 1_000 * 1_000);
    }

    /// On a day on which hosts are ever new, every one met was remembered for good; and what is still out at one that
    /// has gone must concern nobody else, also when its name comes back.
    #[tokio::test(flavor = "current_thread")]
    async fn a_host_that_is_gone_is_forgotten_and_its_number_not_given_again() {
        let driver = driver();
        let list = |name: &str, status: &str| -> Vec<Endpoint> {
            let text = format!(r#"[{{"name":"{name}","address":"127.0.0.1:9","status":"{status}"}}]"#);
            serde_json::from_str(&text).expect("a list")
        };
        for n in 0..50 {
            driver.members(ListKind::Full, &list(&format!("s{n}"), "up"));
        }
        let number = driver.core.borrow().numbers["s49"];
        driver.members(ListKind::Delta, &list("s49", "removed"));
        assert_eq!((driver.core.borrow().hosts.len(), driver.core.borrow().numbers.len()), (0, 0));
        driver.members(ListKind::Delta, &list("s49", "up"));
        assert_ne!(driver.core.borrow().numbers["s49"], number);
    }

    /// Of a large fleet the module hears of the subset alone; what drains, joins or fails shows at once.
    #[tokio::test(flavor = "current_thread")]
    async fn the_module_is_told_of_the_subset_alone_and_of_every_change_to_it() {
        let instance = badgerramp_subset::Instance { number: 3, count: 500 };
        let driver = driver_with(Some(Subset::new(badgerramp_subset::Need::of(10), instance)));
        let list = |names: &[u32], status: &str| -> Vec<Endpoint> {
            let one = |n: &u32| format!(r#"{{"name":"s{n}","address":"127.0.0.1:9","status":"{status}"}}"#);
            let text = format!("[{}]", names.iter().map(one).collect::<Vec<_>>().join(","));
            serde_json::from_str(&text).expect("a list")
        };
        let told = || driver.core.borrow().balancer.listed().0;
        let members =
            || driver.core.borrow().chosen.as_ref().map_or(vec![], |c| c.subset.members().collect());
        driver.members(ListKind::Full, &list(&(0..1_000).collect::<Vec<_>>(), "up"));
        let first: Vec<u32> = members();
        assert_eq!((told(), driver.chosen()), (first.len(), (first.len(), 1_000)));
        assert!((5..=40).contains(&first.len()), "{first:?}");
        assert!(
            driver.core.borrow().chosen.as_ref().is_some_and(|c| c.settings.balancers < 20),
            "500 share 1,000"
        );
        // Numbers are given in the list's order.
        driver.members(ListKind::Delta, &list(&first[..2], "draining"));
        assert_eq!((told(), members().len()), (first.len() - 2, first.len() - 2));
        assert!(first[..2].iter().all(|n| !members().contains(n)));
        driver.members(ListKind::Delta, &list(&first[..1], "up"));
        assert!(members().contains(&first[0]) && told() == members().len());
        // The whole list without one of them.
        let rest: Vec<u32> = (0..1_000).filter(|n| *n != first[3]).collect();
        driver.members(ListKind::Full, &list(&rest, "up"));
        assert!(!members().contains(&first[3]) && told() == members().len());
        // All of the rest go: others take their place.
        driver.members(ListKind::Delta, &list(&members(), "removed"));
        assert!(told() >= 5 && told() == members().len());
        assert!(driver.audit().is_empty());
    }

    /// More than the settings allow are turned away before the module sees them.
    #[tokio::test(flavor = "current_thread")]
    async fn calls_are_bounded_and_a_client_that_leaves_makes_room() {
        let driver = driver();
        let intake = || Intake {
            client: Rc::new(Waits),
            class: ClassId(0),
            tenant: None,
            deadline: driver.clock.now() + 60_000_000,
            resent: false,
            terms: Terms::default(),
        };
        let held: Vec<_> = (0..9).map(|_| driver.request(intake(), request()).expect("room")).collect();
        assert!(driver.request(intake(), request()).is_none());
        driver.gone(held[3].0);
        assert!(driver.request(intake(), request()).is_some());
    }
}
