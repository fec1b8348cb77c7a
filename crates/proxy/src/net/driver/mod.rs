//! The driver of the [`Balancer`] and its one owner: it turns what happens into events, carries out the actions, and
//! owns the timers, the calls and the ids of hosts. It never picks, retries or sheds by itself.
//!
//! - `calls`: requests taken on and their final answers.
//! - `attempts`: attempts at hosts and their outcomes.
//! - `timers`: what is due when.
//! - `membership`: the discovery list.
//! - `subset`: the part of a large fleet that the balancer is told of.
//! - `reconfiguration`: new settings.
//! - `audit`: a check of the counts.

mod attempts;
mod audit;
mod calls;
mod membership;
mod reconfiguration;
mod subset;
#[cfg(test)]
mod tests;
mod timers;

pub use calls::{Answer, Intake};
pub use membership::{Endpoint, List};

use super::clock::Clock;
use super::upstream::ConnectionPool;
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{
    Action, Balancer, CallId, EndpointId, Event, LoadReport, LogEvent, Micros, Outcome, Settings,
};
use badgerramp_endpoint_watch::StallDetector;
use badgerramp_subset::Subset;
use calls::Call;
use membership::Host;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use subset::SubsetView;
use timers::Due;
use tokio::sync::Notify;

/// Everything that the driver owns, behind one [`RefCell`].
struct Core {
    balancer: Balancer,
    tenants: Vec<String>,
    max_open: usize,
    /// Whether what a host answers with an error is passed on where nothing better comes.
    keep_errors: bool,
    calls: HashMap<CallId, Call>,
    open_calls: usize,
    next_call: u64,
    /// Ids of the listed hosts by name. A host that has gone is forgotten with its id, which is never given again: an
    /// attempt still in flight there concerns no other host.
    server_ids: BTreeMap<Rc<str>, EndpointId>,
    hosts: HashMap<EndpointId, Host>,
    next_server: u32,
    next_generation: u64,
    timers: BTreeSet<(Micros, Due)>,
    /// When the balancer's one timer is due: the earliest time that it has asked for since the last.
    balancer_timer: Option<Micros>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// Only where the balancer is told of a subset of the hosts.
    subset: Option<SubsetView>,
    /// The settings of the operator's file.
    settings: Settings,
    /// How many proxies share the hosts, as the balancer was last told.
    sharing_proxies: u32,
    /// Proxies that are known to be alive.
    alive_proxies: u32,
    /// When the last call was taken on.
    last_call_at: Micros,
    stall: StallDetector,
}

/// A handle to the driver, which all its clones share.
#[derive(Clone)]
pub struct Driver {
    core: Rc<RefCell<Core>>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    timer_moved: Rc<Notify>,
    subscribe: Rc<Notify>,
}

impl Driver {
    pub fn new(
        seed: u64,
        facts: PlatformSettings,
        keep_errors: bool,
        subset: Option<Subset>,
        clock: Clock,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        let subset = subset.map(|subset| SubsetView {
            subset,
            settings: facts.settings.clone(),
        });
        let core = Core {
            subset,
            sharing_proxies: facts.settings.balancers,
            settings: facts.settings.clone(),
            alive_proxies: 0,
            last_call_at: clock.now(),
            stall: StallDetector::new(clock.now(), facts.settings.rules.drain_grace),
            balancer: Balancer::new(seed, facts.settings),
            tenants: facts.tenants,
            max_open: facts.transport.max_open,
            keep_errors,
            calls: HashMap::new(),
            open_calls: 0,
            next_call: 0,
            server_ids: BTreeMap::new(),
            hosts: HashMap::new(),
            next_server: 0,
            next_generation: 0,
            balancer_timer: None,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (timer_moved, subscribe) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        Driver {
            core: Rc::new(RefCell::new(core)),
            clock,
            pool,
            timer_moved,
            subscribe,
        }
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Waits until the balancer asks for the list of hosts.
    pub async fn subscribed(&self) {
        self.subscribe.notified().await;
    }

    pub fn start(&self) {
        self.event(Event::Start);
    }

    fn event(&self, event: Event) {
        self.core.borrow_mut().events.push_back(event);
        self.run();
    }

    fn run(&self) {
        self.run_with(&mut self.core.borrow_mut());
    }

    /// Hands the events to the balancer in their order and executes its actions; an action may queue a further event,
    /// so this goes on until none is left.
    fn run_with(&self, core: &mut Core) {
        let first_timer = core.timers.first().copied();
        while let Some(event) = core.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut core.actions);
            let ended_attempt_of = match event {
                Event::Outcome { call, .. } => Some(call),
                _ => None,
            };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(core, now, action);
            }
            core.actions = actions;
            if let Some(call) = ended_attempt_of {
                core.forget_if_done(call);
            }
        }
        if core.timers.first().copied() != first_timer {
            self.timer_moved.notify_one();
        }
    }

    /// Executes one action of the balancer.
    fn execute(&self, core: &mut Core, now: Micros, action: Action) {
        match action {
            Action::Send {
                call,
                endpoint: server,
                attempt_deadline: until,
                start_by,
            } => {
                self.start_attempt(core, now, (call, server), (until, start_by));
            }
            Action::Reject { call, retry_after } => {
                core.finish_call(call, Some(Answer::Refused { retry_after }));
            }
            Action::Fail { call } => {
                let last_error = core.calls.get_mut(&call).and_then(|c| c.last_error.take());
                core.finish_call(call, Some(Answer::Failed(last_error)));
            }
            Action::Cancel { call, attempt } => {
                core.finish_attempt(now, call, attempt, Outcome::Cancelled.into());
            }
            Action::Wake { after } => core.set_balancer_timer(now.saturating_add(after)),
            Action::Subscribe => self.subscribe.notify_one(),
            // Where the site allows no probes the balancer asks for none.
            Action::Probe { endpoint: server } => core.events.push_back(Event::ProbeCompleted {
                endpoint: server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log { event } => core.log(event),
        }
    }
}

impl Core {
    /// Logs an event of the balancer, with the endpoint's name.
    fn log(&self, event: LogEvent) {
        let name = |endpoint: EndpointId| match self.hosts.get(&endpoint) {
            Some(host) => host.name.to_string(),
            None => endpoint.0.to_string(),
        };
        match event {
            LogEvent::EndpointEjected { endpoint } => {
                tracing::info!(endpoint = name(endpoint), "endpoint ejected");
            }
            LogEvent::EndpointReadmitted { endpoint } => {
                tracing::info!(endpoint = name(endpoint), "endpoint readmitted");
            }
            LogEvent::AllEndpointsEjected => {
                tracing::info!("all endpoints ejected, rejecting calls");
            }
        }
    }
}
