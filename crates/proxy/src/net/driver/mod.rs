//! The driver of the [`Balancer`]: passes events to it, executes its actions, and owns the timers, the calls and the
//! endpoint ids. It never picks an endpoint, retries or sheds by itself.
//!
//! - `calls`: accepted requests and their final answers.
//! - `attempts`: attempts at endpoints and their outcomes.
//! - `timers`: deadlines and the balancer's timer.
//! - `membership`: applies the endpoint list.
//! - `address_reuse`: endpoints whose address another process has taken.
//! - `subset`: the part of a large fleet that the balancer knows.
//! - `reconfiguration`: changes of the settings.
//! - `shutdown`: the schedule of the shutdown.
//! - `audit`: compares the balancer's counts with the driver's.

mod address_reuse;
mod attempts;
mod audit;
mod calls;
mod membership;
mod reconfiguration;
mod shutdown;
mod subset;
#[cfg(test)]
mod tests;
mod timers;

pub use calls::{Answer, ClassReservation, NewCall};
pub use membership::{Endpoint, List};

use super::clock::Clock;
use super::upstream::ConnectionPool;
use super::{MemoryBudget, Reservation};
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{
    Action, Balancer, CallId, ClassId, EndpointId, Event, LoadReport, LogEvent, Micros, Outcome,
    Settings, ShutdownSchedule,
};
use badgerramp_endpoint_watch::StallDetector;
use badgerramp_subset::Subset;
use calls::Call;
use membership::EndpointState;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use subset::SubsetView;
use timers::TimerKind;
use tokio::sync::Notify;

/// The state that all clones of a [`Driver`] share.
struct Core {
    balancer: Balancer,
    tenants: Vec<String>,
    max_open_calls: usize,
    /// Whether a failed call forwards the last error response of an endpoint to its client.
    forward_errors: bool,
    calls: HashMap<CallId, Call>,
    open_calls: usize,
    /// The classes of requests that are being received, with the number of these requests.
    reserved_classes: HashMap<ClassId, usize>,
    next_call_id: u64,
    /// Ids of the listed endpoints by name. The id of a removed endpoint is never reused, so that the outcome of an
    /// attempt that is still in flight there is not attributed to another endpoint.
    endpoint_ids: BTreeMap<Rc<str>, EndpointId>,
    endpoints: HashMap<EndpointId, EndpointState>,
    next_endpoint_id: u32,
    next_generation: u64,
    timers: BTreeSet<(Micros, TimerKind)>,
    /// When the balancer's timer fires: the earliest time that it has requested since the timer fired last.
    balancer_timer: Option<Micros>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// `None` if the balancer knows all listed endpoints.
    subset: Option<SubsetView>,
    /// The settings as configured: [`Settings::balancers`] is not adjusted to the number of live proxies.
    settings: Settings,
    /// The number of proxies that share the endpoints, as last passed to the balancer.
    sharing_proxies: u32,
    /// The number of live proxies in the fleet, as known from gossip.
    alive_proxies: u32,
    /// The memory of the listed endpoints.
    list_memory: Reservation,
    /// When the last call was accepted.
    last_call_at: Micros,
    /// The longest deadline of all classes in the newest settings.
    longest_deadline: Micros,
    /// The schedule of the shutdown, once it has started.
    shutdown: Option<ShutdownSchedule>,
    stall: StallDetector,
}

/// A handle to the driver. Clones share one state.
#[derive(Clone)]
pub struct Driver {
    core: Rc<RefCell<Core>>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    /// Notified when the earliest timer changes.
    earliest_timer_changed: Rc<Notify>,
    /// Notified when the balancer subscribes to the endpoint list.
    subscribe: Rc<Notify>,
}

impl Driver {
    /// Creates a driver with its balancer, whose random choices are seeded with `seed`. With `forward_errors`, a failed
    /// call is answered with the last error response of an endpoint, if there is one.
    pub fn new(
        seed: u64,
        platform_settings: PlatformSettings,
        forward_errors: bool,
        subset: Option<Subset>,
        clock: Clock,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        let subset = subset.map(|subset| SubsetView {
            subset,
            settings: platform_settings.settings.clone(),
        });
        let core = Core {
            subset,
            sharing_proxies: platform_settings.settings.balancers,
            settings: platform_settings.settings.clone(),
            alive_proxies: 0,
            list_memory: pool.memory_budget.charge(0),
            last_call_at: clock.now(),
            longest_deadline: platform_settings.settings.longest_deadline(),
            shutdown: None,
            stall: StallDetector::new(clock.now(), platform_settings.settings.rules.drain_grace),
            balancer: Balancer::new(seed, platform_settings.settings),
            tenants: platform_settings.tenants,
            max_open_calls: platform_settings.transport.max_open,
            forward_errors,
            calls: HashMap::new(),
            open_calls: 0,
            reserved_classes: HashMap::new(),
            next_call_id: 0,
            endpoint_ids: BTreeMap::new(),
            endpoints: HashMap::new(),
            next_endpoint_id: 0,
            next_generation: 0,
            balancer_timer: None,
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (earliest_timer_changed, subscribe) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        Driver {
            core: Rc::new(RefCell::new(core)),
            clock,
            pool,
            earliest_timer_changed,
            subscribe,
        }
    }

    /// The clock that all times of the driver refer to.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The account of memory.
    pub(super) fn memory_budget(&self) -> &Rc<MemoryBudget> {
        &self.pool.memory_budget
    }

    /// Waits until the balancer subscribes to the endpoint list.
    pub async fn subscribed(&self) {
        self.subscribe.notified().await;
    }

    /// Starts the balancer.
    pub fn start(&self) {
        self.handle_event(Event::Start);
    }

    fn handle_event(&self, event: Event) {
        self.core.borrow_mut().events.push_back(event);
        self.run();
    }

    fn run(&self) {
        self.run_with(&mut self.core.borrow_mut());
    }

    /// Passes the queued events to the balancer in order and executes its actions, until no event is left: an action
    /// may queue further events.
    fn run_with(&self, core: &mut Core) {
        let first_timer = core.timers.first().copied();
        while let Some(event) = core.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut core.actions);
            let call_of_ended_attempt = match event {
                Event::Outcome { call, .. } => Some(call),
                _ => None,
            };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(core, now, action);
            }
            core.actions = actions;
            if let Some(call) = call_of_ended_attempt {
                core.forget_if_done(call);
            }
        }
        if core.timers.first().copied() != first_timer {
            self.earliest_timer_changed.notify_one();
        }
    }

    fn execute(&self, core: &mut Core, now: Micros, action: Action) {
        match action {
            Action::Send {
                call,
                endpoint,
                attempt_deadline,
                start_by,
            } => {
                self.start_attempt(core, now, (call, endpoint), (attempt_deadline, start_by));
            }
            Action::Reject { call, retry_after } => {
                core.finish_call(call, Some(Answer::Rejected { retry_after }));
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
            // Load probes are not implemented. The balancer requests none unless the platform's settings allow them.
            Action::Probe { endpoint } => core.events.push_back(Event::ProbeCompleted {
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log { event } => core.log(event),
        }
    }
}

impl Core {
    /// Logs an event of the balancer with the endpoint's name, or with its id if the endpoint is no longer listed.
    fn log(&self, event: LogEvent) {
        let name = |endpoint: EndpointId| match self.endpoints.get(&endpoint) {
            Some(state) => state.name.to_string(),
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
