//! The virtual-time backend: the decisions, routes and operator's file of all proxies, on modelled hosts, network and
//! clients.

use super::event_queue::{EventQueue, Priority};
use super::gossip;
use super::proxy::{self, Attempt, Call, ClassRoute, Connection, KnownHost, Proxy};
use super::{check_recovery, RunOptions, SimulationError};
use crate::operator_file;
use crate::run_result::{RunResult, Sample, BIN_WIDTH};
use badgerramp_config::{max_idle_connections, Config, RESPONSE_RESERVE};
use badgerramp_decisions::{
    self as decisions, settings, Action, Balancer, CallId, CellId, EndpointId, EndpointStatus,
    Event, ListUpdateKind, LoadReport, Outcome, Settings,
};
use badgerramp_gossip::peer::{Input, Output};
use badgerramp_sim_model::{
    Arrival, ClientRequest, Completion, DedupStore, Delivery, FaultKind, FinalAnswer, Host,
    HostLoad, Invariant, InvariantChecker, Job, JobOutcome, ListEntry, ListResponse, ListService,
    LoadGenerator, Micros, Network, RandomStreams, RetryDecision, Scenario,
};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Longest time that a watch waits for a list update, as in the proxy (`net/discovery.rs`).
const WATCH_WAIT: Micros = 10_000_000;
/// Time beyond the wait after which a watch counts as failed, as in the proxy.
const WATCH_GRACE: Micros = 2_000_000;
/// Timeout of a request for the full list, as in the proxy.
const FETCH_TIMEOUT: Micros = 3_500_000;
/// Time after the end of the load in which open calls and events can finish.
const SETTLE_TIME: Micros = 4_000_000;
/// Interval between two sweeps of a proxy's idle connections.
const SWEEP_INTERVAL: Micros = 1_000_000;

/// An event of the simulation.
enum SimulationEvent {
    /// The first try of the next operation is due.
    FirstTry(ClientRequest),
    /// A retry of a client is due.
    Retry(ClientRequest),
    /// A client disconnects while its call is open.
    ClientDisconnects {
        proxy: u32,
        epoch: u32,
        call: CallId,
    },
    /// A connect that began at this time reaches its host.
    ConnectArrives(AttemptRef, Micros),
    /// The proxy learns how the connect ended; `None`: it failed.
    ConnectEnds(AttemptRef, Option<Connection>),
    /// A request reaches a host.
    RequestArrives(AttemptRef, Connection),
    /// A response, or the end of the connection, reaches the proxy.
    ResponseArrives(AttemptRef, JobOutcome, HostLoad),
    /// The close of a connection reaches its host. If a job with this token is still there, it is abandoned.
    ConnectionClosed {
        token: u64,
        host: usize,
        process_start: Micros,
    },
    /// A job of this host may have completed.
    JobCompletes(usize),
    /// The deadline of an attempt has passed.
    AttemptTimeout(AttemptRef),
    /// The timer of a proxy's decisions fires.
    DecisionTimer { proxy: u32, epoch: u32, at: Micros },
    /// The deadline of a call has passed. The driver ends calls that the decisions have not ended by then.
    CallDeadline {
        proxy: u32,
        epoch: u32,
        call: CallId,
    },
    /// A request reaches the list service.
    ListRequestArrives(ListRequest),
    /// The list service answers a request.
    ListResponseDue(ListRequest),
    /// The list service's response reaches the proxy.
    ListResponseArrives(ListRequest, ListResponse),
    /// A request to the list service times out.
    ListRequestTimeout(ListRequest),
    /// The list service publishes a change.
    ListPublished,
    /// The fault with this index begins.
    FaultBegins(usize),
    /// The fault with this index ends.
    FaultEnds(usize),
    /// A host starts for the first time.
    HostJoins(usize),
    /// A proxy closes connections that were idle for too long.
    SweepIdle { proxy: u32, epoch: u32 },
    /// The load is sampled.
    Sample,
    /// A gossip message reaches this proxy.
    GossipMessage(u32, Vec<u8>),
    /// The timer of a proxy's gossip peer fires.
    GossipTimer { proxy: u32, epoch: u32, at: Micros },
}

/// Identifies an attempt of a proxy's process.
#[derive(Clone, Copy, Debug)]
struct AttemptRef {
    proxy: u32,
    epoch: u32,
    call: CallId,
    attempt: u32,
    host: usize,
}

/// A proxy's request to the list service.
#[derive(Clone, Copy, Debug)]
struct ListRequest {
    proxy: u32,
    epoch: u32,
    number: u64,
    /// Version of the list that the proxy has.
    known_version: Option<u64>,
    sent_at: Micros,
    /// How long the service may hold the request until there is a change.
    wait: Micros,
}

/// A simulation run in virtual time.
struct Simulation {
    scenario: Arc<Scenario>,
    options: RunOptions,
    random: RandomStreams,
    now: Micros,
    events: EventQueue<SimulationEvent>,
    hosts: Vec<Host>,
    /// For each host, the time of the next scheduled check for completed jobs.
    completion_at: Vec<Option<Micros>>,
    host_zones: Vec<u32>,
    dedup: DedupStore,
    list_service: ListService,
    /// Requests that the list service holds until there is a change.
    waiting_list_requests: Vec<ListRequest>,
    network: Network,
    clients: LoadGenerator,
    invariants: InvariantChecker,
    result: RunResult,
    proxies: Vec<Proxy>,
    proxy_zones: Vec<u32>,
    class_routes: Vec<ClassRoute>,
    settings: Settings,
    /// Maximum number of open calls of a proxy.
    max_open_calls: usize,
    /// `Retry-After` of rejections for which the decisions give none; 0: none.
    default_retry_after: Micros,
    /// Maximum number of idle connections that a proxy keeps to a host.
    max_idle_connections: usize,
    /// Jobs at hosts, by their tokens.
    jobs: FxHashMap<u64, (AttemptRef, Connection, ClientRequest)>,
    next_token: u64,
    /// Buffer that is reused between events.
    actions: Vec<Action>,
    /// Buffer that is reused between events.
    completions: Vec<Completion>,
}

/// Runs a scenario in virtual time.
///
/// # Errors
/// If the operator's file generated from the scenario is invalid.
pub fn run(scenario: &Arc<Scenario>, options: RunOptions) -> Result<RunResult, SimulationError> {
    let config = operator_file::parse(scenario)?;
    let class_routes = proxy::routes(scenario, &config).map_err(SimulationError::Other)?;
    let mut simulation = Simulation::new(Arc::clone(scenario), options, &config, class_routes);
    simulation.run();
    Ok(simulation.finish())
}

impl Simulation {
    fn new(
        scenario: Arc<Scenario>,
        options: RunOptions,
        config: &Config,
        class_routes: Vec<ClassRoute>,
    ) -> Self {
        let random = RandomStreams::new(options.seed);
        let hosts: Vec<Host> = (0..scenario.hosts.len())
            .map(|n| Host::new(&scenario, n, random))
            .collect();
        let present = (0..hosts.len()).filter(|&n| scenario.hosts[n].joins_at == 0);
        let initial_list = present
            .map(|host| ListEntry {
                host,
                state: 0,
                started_at: 0,
            })
            .collect();
        let zone = |name: &str| settings::zone_id(name).0;
        let mut settings = config.settings();
        // The proxy's clock ticks every millisecond; the operator's file does not set this.
        settings.tick = 1_000;
        Simulation {
            options,
            random,
            now: 0,
            events: EventQueue::new(options.shuffle.then_some(random)),
            completion_at: vec![None; hosts.len()],
            host_zones: scenario.hosts.iter().map(|h| zone(&h.zone)).collect(),
            dedup: DedupStore::default(),
            list_service: ListService::new(scenario.list, &scenario.faults, initial_list),
            waiting_list_requests: Vec::new(),
            network: Network::new(scenario.network, &scenario.faults, random),
            clients: LoadGenerator::new(Arc::clone(&scenario), random),
            invariants: InvariantChecker::new(Arc::clone(&scenario), 0),
            result: RunResult::new(Arc::clone(&scenario)),
            proxy_zones: (0..scenario.proxies)
                .map(|n| zone(proxy::zone(&scenario, n)))
                .collect(),
            proxies: Vec::new(),
            class_routes,
            max_open_calls: config.limits.open_calls,
            default_retry_after: config.limits.retry_after,
            max_idle_connections: max_idle_connections(settings.balancers),
            settings,
            jobs: FxHashMap::default(),
            next_token: 0,
            actions: Vec::new(),
            completions: Vec::new(),
            hosts,
            scenario,
        }
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.events
            .push(at.max(self.now), Priority::External, event);
    }

    fn run(&mut self) {
        for (n, fault) in self.scenario.faults.clone().iter().enumerate() {
            self.schedule(fault.from, SimulationEvent::FaultBegins(n));
            self.schedule(fault.until, SimulationEvent::FaultEnds(n));
        }
        for (n, host) in self
            .scenario
            .hosts
            .clone()
            .iter()
            .enumerate()
            .filter(|(_, h)| h.joins_at > 0)
        {
            self.schedule(host.joins_at, SimulationEvent::HostJoins(n));
        }
        for proxy in 0..self.scenario.proxies {
            self.start_proxy(proxy, 0);
        }
        if let Some(request) = self.clients.next_operation() {
            self.schedule(request.due, SimulationEvent::FirstTry(request));
        }
        self.schedule(BIN_WIDTH, SimulationEvent::Sample);
        let end = self.scenario.duration + self.scenario.max_deadline() + SETTLE_TIME;
        while let Some((at, event)) = self.events.pop() {
            if at > end || (self.options.stop_at_violation && self.invariants.violation_count() > 0)
            {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn finish(mut self) -> RunResult {
        self.invariants.advance(Micros::MAX / 2);
        if !(self.options.stop_at_violation && self.invariants.violation_count() > 0) {
            self.check_leaks(true);
            let mut result =
                std::mem::replace(&mut self.result, RunResult::new(Arc::clone(&self.scenario)));
            check_recovery(&self.scenario, &result, &mut self.invariants);
            result.list_requests = self.list_service.request_count;
            self.result = result;
        }
        self.result.violations = self.invariants.violations().to_vec();
        self.result.violation_count = self.invariants.violation_count();
        self.result.host_work.0 = self.hosts.iter().map(|h| h.work_done).sum();
        self.result
    }

    /// Compares the counters of the decisions with the actual numbers, and checks for leaked calls and connections. At the
    /// end of the run no call may be left.
    fn check_leaks(&mut self, at_end: bool) {
        let mut violations = Vec::new();
        for proxy in self.proxies.iter().filter(|p| p.up) {
            if at_end && !proxy.calls.is_empty() {
                violations.push((
                    Invariant::Leaked,
                    format!(
                        "proxy {}: {} calls left at the end of the run",
                        proxy.index,
                        proxy.calls.len()
                    ),
                ));
            }
            let totals = proxy.balancer.call_totals();
            let (known, queued) = (totals.open, totals.queued);
            if at_end && known > 0 {
                violations.push((
                    Invariant::Leaked,
                    format!(
                        "proxy {}: the decisions know {known} calls at the end of the run",
                        proxy.index
                    ),
                ));
            }
            if queued > known || known > proxy.calls.len() {
                let text = format!(
                    "proxy {}: the decisions know {known} calls, {queued} of them queued; actual number {}",
                    proxy.index,
                    proxy.calls.len()
                );
                violations.push((Invariant::Miscounted, text));
            }
            if proxy
                .idle_connections
                .values()
                .any(|c| c.len() > self.max_idle_connections)
            {
                violations.push((
                    Invariant::Leaked,
                    format!("proxy {}: too many idle connections", proxy.index),
                ));
            }
            // During the run the counters of each host are compared in small scenarios only.
            if at_end || self.hosts.len() * self.scenario.proxies as usize <= 256 {
                let mut in_flight = vec![0u32; self.hosts.len()];
                for attempt in proxy
                    .calls
                    .values()
                    .flat_map(|c| &c.attempts)
                    .filter(|a| a.in_flight)
                {
                    in_flight[attempt.host] += 1;
                }
                for (host, &in_flight) in in_flight.iter().enumerate() {
                    let view = proxy.balancer.view(self.now, EndpointId(host as u32));
                    if let Some(view) = view.filter(|v| v.in_flight != in_flight) {
                        let text = format!(
                            "proxy {}: the decisions count {} attempts in flight at {}, actual number {in_flight}",
                            proxy.index, view.in_flight, self.scenario.hosts[host].name
                        );
                        violations.push((Invariant::Miscounted, text));
                    }
                }
            }
        }
        violations
            .into_iter()
            .for_each(|(invariant, text)| self.invariants.record(invariant, self.now, None, text));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::FirstTry(request) => {
                if let Some(next) = self.clients.next_operation() {
                    self.schedule(next.due, SimulationEvent::FirstTry(next));
                }
                self.start_try(request);
            }
            SimulationEvent::Retry(request) => self.start_try(request),
            SimulationEvent::ClientDisconnects { proxy, epoch, call } => {
                self.client_disconnects(proxy, epoch, call);
            }
            SimulationEvent::ConnectArrives(attempt_ref, began_at) => {
                self.connect_arrives(attempt_ref, began_at);
            }
            SimulationEvent::ConnectEnds(attempt_ref, connection) => {
                self.connect_ends(attempt_ref, connection);
            }
            SimulationEvent::RequestArrives(attempt_ref, connection) => {
                self.request_arrives(attempt_ref, connection);
            }
            SimulationEvent::ResponseArrives(attempt_ref, outcome, report) => {
                self.response_arrives(attempt_ref, outcome, report);
            }
            SimulationEvent::ConnectionClosed {
                token,
                host,
                process_start,
            } => {
                self.advance_host(host);
                let same_process =
                    self.hosts[host].is_up() && self.hosts[host].started_at() == process_start;
                if same_process {
                    self.hosts[host].disconnect();
                    if token != u64::MAX && self.hosts[host].abandon(token, &mut self.dedup) {
                        self.jobs.remove(&token);
                    }
                }
            }
            SimulationEvent::JobCompletes(host) => {
                self.completion_at[host] = None;
                self.advance_host(host);
            }
            SimulationEvent::AttemptTimeout(attempt_ref) => self.attempt_times_out(attempt_ref),
            SimulationEvent::DecisionTimer { proxy, epoch, at } => {
                let state = &mut self.proxies[proxy as usize];
                if state.up && state.epoch == epoch && state.timer_at == Some(at) {
                    state.timer_at = None;
                    self.handle_event(proxy, Event::Timer);
                }
            }
            SimulationEvent::CallDeadline { proxy, epoch, call } => {
                let state = &self.proxies[proxy as usize];
                let still_open = state.calls.get(&call).is_some_and(|c| !c.answered);
                if state.up && state.epoch == epoch && still_open {
                    self.answer_call(proxy, call, FinalAnswer::Overdue, None);
                    self.handle_event(proxy, Event::ClientDisconnected { call });
                }
            }
            SimulationEvent::ListRequestArrives(list_request) => {
                let answered_at = self.list_service.accept_request(self.now);
                self.schedule(answered_at, SimulationEvent::ListResponseDue(list_request));
            }
            SimulationEvent::ListResponseDue(list_request) => {
                self.answer_list_request(list_request);
            }
            SimulationEvent::ListResponseArrives(list_request, response) => {
                self.list_response_arrives(list_request, response);
            }
            SimulationEvent::ListRequestTimeout(list_request) => {
                if self.is_pending(&list_request) {
                    self.list_request_fails(list_request.proxy);
                }
            }
            SimulationEvent::ListPublished => {
                for list_request in std::mem::take(&mut self.waiting_list_requests) {
                    self.answer_list_request(list_request);
                }
            }
            SimulationEvent::FaultBegins(n) => self.begin_fault(n),
            SimulationEvent::FaultEnds(n) => self.end_fault(n),
            SimulationEvent::HostJoins(host) => self.start_host(host),
            SimulationEvent::SweepIdle { proxy, epoch } => {
                self.sweep_idle_connections(proxy, epoch);
            }
            SimulationEvent::Sample => self.take_sample(),
            SimulationEvent::GossipMessage(proxy, bytes) => {
                self.handle_gossip(proxy, Input::Message(&bytes));
            }
            SimulationEvent::GossipTimer { proxy, epoch, at } => {
                let state = &self.proxies[proxy as usize];
                if state.up && state.epoch == epoch && state.peer_timer_at == at {
                    self.handle_gossip(proxy, Input::Timer);
                }
            }
        }
    }

    // Proxies.

    fn start_proxy(&mut self, proxy: u32, epoch: u32) {
        let mut settings = self.settings.clone();
        settings.zone = decisions::ZoneId(self.proxy_zones[proxy as usize]);
        let seed = self
            .random
            .integer((0x5eed, u64::from(proxy), u64::from(epoch)), (0, u64::MAX));
        let state = Proxy::new(
            proxy,
            epoch,
            Balancer::new(seed, settings),
            self.hosts.len(),
        );
        if (proxy as usize) < self.proxies.len() {
            self.proxies[proxy as usize] = state;
        } else {
            self.proxies.push(state);
        }
        self.handle_event(proxy, Event::Start);
        self.handle_event(
            proxy,
            Event::EndpointList {
                kind: ListUpdateKind::Cached,
                entries: Vec::new(),
            },
        );
        if self.scenario.gossip_seeds > 0 {
            let id = self
                .random
                .integer((0x9ee5, u64::from(proxy), u64::from(epoch)), (0, u64::MAX));
            let peer = gossip::start(self.now, (proxy, self.scenario.gossip_seeds), id);
            self.proxies[proxy as usize].peer = Some(peer);
            self.handle_gossip(proxy, Input::Timer);
        }
    }

    // Gossip.

    /// Passes an input to a proxy's gossip peer and executes the outputs.
    fn handle_gossip(&mut self, proxy: u32, input: Input<'_>) {
        let state = &mut self.proxies[proxy as usize];
        let Some(peer) = state.peer.as_mut().filter(|_| state.up) else {
            return;
        };
        let outputs = gossip::handle_input(peer, self.now, input);
        let (due, epoch) = (peer.next_deadline().max(self.now + 1), state.epoch);
        if due != state.peer_timer_at {
            state.peer_timer_at = due;
            self.schedule(
                due,
                SimulationEvent::GossipTimer {
                    proxy,
                    epoch,
                    at: due,
                },
            );
        }
        for output in outputs {
            match output {
                Output::Send(to, bytes) => {
                    let (state, to) = (&mut self.proxies[proxy as usize], gossip::proxy_index(to));
                    state.gossip_messages_sent += 1;
                    let key = (
                        0xda7a,
                        u64::from(proxy),
                        (u64::from(epoch) << 32) | state.gossip_messages_sent,
                    );
                    if let (Delivery::Arrives(at), true) = (
                        self.network.send(self.now, None, false, key),
                        (to as usize) < self.proxies.len(),
                    ) {
                        self.schedule(at, SimulationEvent::GossipMessage(to, bytes));
                    }
                }
                Output::Poll { index, wait } => {
                    self.proxies[proxy as usize].list_version = index;
                    self.request_list_with_wait(proxy, wait);
                }
                Output::ListChanged { complete, changes } => {
                    let entries = changes.iter().filter_map(gossip::from_change).collect();
                    self.apply_list_update(
                        proxy,
                        if complete {
                            ListUpdateKind::Full
                        } else {
                            ListUpdateKind::Delta
                        },
                        entries,
                    );
                }
                Output::AliveCount(_) | Output::Event(_) => {}
            }
        }
    }

    /// Passes an event to a proxy's decisions and executes the resulting actions.
    fn handle_event(&mut self, proxy: u32, event: Event) {
        let mut queue = std::collections::VecDeque::from([event]);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = queue.pop_front() {
            let ended_attempt_of = match &event {
                Event::Outcome { call, .. } => Some(*call),
                _ => None,
            };
            self.proxies[proxy as usize]
                .balancer
                .handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(proxy, action, &mut queue);
            }
            if let Some(call) = ended_attempt_of {
                self.remove_if_ended(proxy, call);
            }
        }
        self.actions = actions;
    }

    fn execute(
        &mut self,
        proxy: u32,
        action: Action,
        queue: &mut std::collections::VecDeque<Event>,
    ) {
        match action {
            Action::Send {
                call,
                endpoint,
                attempt_deadline,
                start_by,
            } => {
                let event = self.send_attempt(
                    proxy,
                    call,
                    endpoint.0 as usize,
                    (attempt_deadline, start_by),
                );
                queue.extend(event);
            }
            Action::Reject { call, retry_after } => {
                // As in the proxy: its own default if the decisions give none, rounded up to whole seconds.
                let retry_after = if retry_after == 0 {
                    self.default_retry_after
                } else {
                    retry_after
                };
                let retry_after =
                    (retry_after > 0).then(|| retry_after.div_ceil(1_000_000) * 1_000_000);
                self.answer_call(proxy, call, FinalAnswer::Refused, retry_after);
            }
            Action::Fail { call } => self.answer_call(proxy, call, FinalAnswer::Failed, None),
            Action::Cancel { call, attempt } => {
                queue.extend(self.end_attempt(
                    proxy,
                    call,
                    attempt,
                    Outcome::Cancelled,
                    LoadReport::default(),
                ));
            }
            Action::Wake { after } => {
                let at = self.now.saturating_add(after);
                let state = &mut self.proxies[proxy as usize];
                if state.timer_at.is_none_or(|due| at < due) {
                    state.timer_at = Some(at);
                    let epoch = state.epoch;
                    self.events.push(
                        at,
                        Priority::DecisionTimer,
                        SimulationEvent::DecisionTimer { proxy, epoch, at },
                    );
                }
            }
            // With gossip, the proxies that poll request the list for all others.
            Action::Subscribe if self.scenario.gossip_seeds > 0 => {}
            Action::Subscribe => {
                let state = &mut self.proxies[proxy as usize];
                if state.pending_list_request.is_some() {
                    state.list_wanted = true;
                } else {
                    self.request_list(proxy);
                }
            }
            Action::Probe { endpoint } => queue.push_back(Event::ProbeCompleted {
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log { .. } => {}
        }
    }

    // Clients.

    fn start_try(&mut self, request: ClientRequest) {
        self.result.record_try(&request);
        self.result
            .record_event(self.now, 1, request.op.0, u64::from(request.try_number));
        let class = &self.scenario.classes[request.class].name;
        self.result
            .trace_operation(self.options.trace, request.op, self.now, || {
                format!(
                    "try {} of {class} at proxy {}, timeout {} us",
                    request.try_number, request.proxy, request.timeout
                )
            });
        let state = &self.proxies[request.proxy as usize];
        if !state.up {
            // A refused connection proves that the request was not executed.
            self.client_receives(request, Some(FinalAnswer::Refused), None);
            return;
        }
        let deadline = self.now + request.timeout;
        self.invariants.call_accepted(
            self.now,
            request.op,
            request.try_number,
            (request.class, request.proxy),
            deadline,
        );
        if state.open_calls >= self.max_open_calls {
            self.invariants.call_answered(
                self.now,
                request.op,
                request.try_number,
                FinalAnswer::Refused,
            );
            self.client_receives(
                request,
                Some(FinalAnswer::Refused),
                Some(self.default_retry_after).filter(|&after| after > 0),
            );
            return;
        }
        let route = self.class_routes[request.class];
        let time_left = request
            .timeout
            .saturating_sub(RESPONSE_RESERVE)
            .max(1)
            .min(route.total_timeout);
        let state = &mut self.proxies[request.proxy as usize];
        let (call, epoch) = (CallId(state.next_call), state.epoch);
        state.next_call += 1;
        state.open_calls += 1;
        let deadline = self.now + time_left;
        state.calls.insert(
            call,
            Call {
                request,
                deadline,
                attempts: Vec::new(),
                answered: false,
            },
        );
        let proxy = request.proxy;
        self.events.push(
            deadline,
            Priority::CallDeadline,
            SimulationEvent::CallDeadline { proxy, epoch, call },
        );
        let disconnect_share = self.scenario.clients.disconnect_share;
        let key = (0x1ea5e, request.op.0, u64::from(request.try_number));
        if self.random.occurs(key, disconnect_share) {
            let after = self
                .random
                .integer((0x1ea5f, key.1, key.2), (1, time_left.max(2) - 1));
            self.schedule(
                self.now + after,
                SimulationEvent::ClientDisconnects { proxy, epoch, call },
            );
        }
        let event = Event::Request {
            call,
            class: route.class,
            definition: None,
            tenant: None,
            time_left,
            time_until_exit: None,
            is_retry: request.try_number > 0,
            policy: route.policy,
        };
        self.handle_event(proxy, event);
    }

    /// A client receives the answer to a try; `None`: its connection ended without one.
    fn client_receives(
        &mut self,
        request: ClientRequest,
        answer: Option<FinalAnswer>,
        retry_after: Option<Micros>,
    ) {
        self.result
            .record_event(self.now, 2, request.op.0, answer.map_or(9, |a| a as u64));
        self.result
            .trace_operation(self.options.trace, request.op, self.now, || match answer {
                Some(answer) => format!("try {}: {answer:?}", request.try_number),
                None => format!("try {}: no answer", request.try_number),
            });
        match self
            .clients
            .after_answer(&request, answer, self.now, retry_after)
        {
            RetryDecision::Retry(next) => self.schedule(next.due, SimulationEvent::Retry(next)),
            RetryDecision::Stop => self.result.record_operation_end(&request, self.now, answer),
        }
    }

    fn client_disconnects(&mut self, proxy: u32, epoch: u32, call: CallId) {
        let state = &mut self.proxies[proxy as usize];
        if !state.up || state.epoch != epoch {
            return;
        }
        let Some(call_state) = state.calls.get_mut(&call).filter(|c| !c.answered) else {
            return;
        };
        call_state.answered = true;
        let request = call_state.request;
        state.open_calls -= 1;
        self.invariants
            .client_left(self.now, request.op, request.try_number);
        self.result
            .record_event(self.now, 3, request.op.0, u64::from(request.try_number));
        self.result
            .record_operation_end(&request, self.now, Some(FinalAnswer::Failed));
        self.result
            .trace_operation(self.options.trace, request.op, self.now, || {
                "the client disconnects".to_owned()
            });
        self.handle_event(proxy, Event::ClientDisconnected { call });
        let count = self.proxies[proxy as usize]
            .calls
            .get(&call)
            .map_or(0, |c| c.attempts.len());
        for attempt in 0..count as u32 {
            if let Some(event) = self.end_attempt(
                proxy,
                call,
                attempt,
                Outcome::Cancelled,
                LoadReport::default(),
            ) {
                self.handle_event(proxy, event);
            }
        }
        self.remove_if_ended(proxy, call);
    }

    /// Sends the final answer of a call to its client.
    fn answer_call(
        &mut self,
        proxy: u32,
        id: CallId,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
    ) {
        let state = &mut self.proxies[proxy as usize];
        let Some(call) = state.calls.get_mut(&id) else {
            return;
        };
        let request = call.request;
        // The proxy's driver drops a second answer, but it violates an invariant of the decisions.
        if std::mem::replace(&mut call.answered, true) {
            self.invariants.record(
                Invariant::AnsweredTwice,
                self.now,
                Some(request.op),
                format!("the decisions gave a second answer: {answer:?}"),
            );
            return;
        }
        state.open_calls -= 1;
        self.invariants
            .call_answered(self.now, request.op, request.try_number, answer);
        self.client_receives(request, Some(answer), retry_after);
        self.remove_if_ended(proxy, id);
    }

    // Attempts.

    /// Sends an attempt. Returns the event of an attempt that ends at once.
    fn send_attempt(
        &mut self,
        proxy: u32,
        id: CallId,
        host: usize,
        (attempt_deadline, start_by): (Option<Micros>, Option<Micros>),
    ) -> Option<Event> {
        let state = &mut self.proxies[proxy as usize];
        let epoch = state.epoch;
        let Some(call) = state.calls.get_mut(&id) else {
            self.invariants.record(
                Invariant::AfterEnd,
                self.now,
                None,
                "the decisions sent an attempt of a call that has ended",
            );
            return None;
        };
        let (attempt, request) = (call.attempts.len() as u32, call.request);
        let deadline = attempt_deadline
            .filter(|&at| at > 0)
            .unwrap_or(Micros::MAX)
            .min(call.deadline);
        let (sent_at, answered) = (self.now, call.answered);
        let start_by = start_by.unwrap_or(Micros::MAX);
        call.attempts.push(Attempt {
            host,
            sent_at,
            deadline,
            start_by,
            started: false,
            in_flight: true,
            connection: None,
            token: None,
        });
        let known = state.hosts.get(host).copied().unwrap_or_default();
        self.result.record_attempt(&request);
        self.result.record_event(
            self.now,
            4,
            request.op.0,
            (u64::from(attempt) << 32) | host as u64,
        );
        if self.options.trace == Some(request.op) {
            let name = self.scenario.hosts.get(host).map_or("?", |h| &h.name);
            let view = self.proxies[proxy as usize]
                .balancer
                .view(self.now, EndpointId(host as u32));
            let endpoint_view = view.map_or_else(String::new, |v| {
                format!(
                    "; balancer's view: {} in flight of {:.1}, latency ratio {:.2}, failure rate {:.2}, capacity {:.2}{}",
                    v.in_flight,
                    v.concurrency_limit,
                    v.latency_ratio,
                    v.failure_rate,
                    v.slow_start_capacity,
                    if v.ejected { ", ejected" } else { "" }
                )
            });
            let line = format!("attempt {attempt} to {name}, deadline {deadline}{endpoint_view}");
            self.result
                .trace_operation(self.options.trace, request.op, self.now, || line);
        }
        self.invariants
            .attempt_sent(self.now, request.op, request.try_number, host);
        if !known.ready || deadline <= self.now || answered {
            return self.end_attempt(proxy, id, attempt, Outcome::NotSent, LoadReport::default());
        }
        let attempt_ref = AttemptRef {
            proxy,
            epoch,
            call: id,
            attempt,
            host,
        };
        self.events.push(
            deadline,
            Priority::AttemptTimeout,
            SimulationEvent::AttemptTimeout(attempt_ref),
        );
        match self.take_idle_connection(proxy, host) {
            Some(connection) => self.write_request(attempt_ref, connection),
            None => match self.send_packet(&attempt_ref, 0) {
                Delivery::Arrives(at) => {
                    self.schedule(at, SimulationEvent::ConnectArrives(attempt_ref, self.now));
                }
                Delivery::Lost => self.schedule(
                    self.now + self.class_routes[request.class].connect_timeout,
                    SimulationEvent::ConnectEnds(attempt_ref, None),
                ),
            },
        }
        None
    }

    fn same_zone(&self, proxy: u32, host: usize) -> bool {
        self.proxy_zones[proxy as usize] == self.host_zones[host]
    }

    /// Sends a packet of an attempt. Its key in the random streams depends on the attempt alone, so that its fate does not
    /// depend on other traffic.
    fn send_packet(&self, attempt_ref: &AttemptRef, leg: u64) -> Delivery {
        let (op, number) = self
            .request_of(attempt_ref)
            .map_or((0, 0), |r| (r.op.0, u64::from(r.try_number)));
        let same_zone = self.same_zone(attempt_ref.proxy, attempt_ref.host);
        let key = (
            0x9ac,
            op,
            (number << 16) | (u64::from(attempt_ref.attempt) << 8) | leg,
        );
        self.network
            .send(self.now, Some(attempt_ref.host), same_zone, key)
    }

    /// Sends a packet between a proxy and the list service.
    fn send_list_packet(&self, list_request: &ListRequest, leg: u64) -> Delivery {
        let key = (
            0x1157,
            u64::from(list_request.proxy),
            (list_request.number << 8) | leg,
        );
        self.network.send(self.now, None, false, key)
    }

    /// Takes an idle connection that is open as far as the proxy can tell.
    fn take_idle_connection(&mut self, proxy: u32, host: usize) -> Option<Connection> {
        // As in the proxy: connections are closed well before the host's idle timeout.
        let max_idle = self.scenario.network.idle_timeout / 4 * 3;
        loop {
            let connection = self.proxies[proxy as usize]
                .idle_connections
                .get_mut(&host)?
                .pop()?;
            let idle = self.now.saturating_sub(connection.idle_since);
            let same_process = self.hosts[host].is_up()
                && self.hosts[host].started_at() == connection.process_start;
            // If the host has closed the connection, the proxy has seen the close.
            if same_process && idle < max_idle && idle < self.scenario.hosts[host].idle_timeout {
                return Some(connection);
            }
            self.close_connection(connection, u64::MAX);
        }
    }

    /// Closes a connection, which the host notices. `token` is the job that is abandoned with it; `u64::MAX`: none.
    fn close_connection(&mut self, connection: Connection, token: u64) {
        let event = SimulationEvent::ConnectionClosed {
            token,
            host: connection.host,
            process_start: connection.process_start,
        };
        let key = (
            0xc105e,
            connection.host as u64,
            connection.opened_at ^ (connection.idle_since << 1),
        );
        if let Delivery::Arrives(at) = self
            .network
            .send(self.now, Some(connection.host), true, key)
        {
            self.schedule(at, event);
        }
    }

    fn connect_arrives(&mut self, attempt_ref: AttemptRef, began_at: Micros) {
        let host = attempt_ref.host;
        self.advance_host(host);
        let accepted = self.hosts[host].connect(self.now);
        self.schedule_completion(host);
        self.result.max_connections = self
            .result
            .max_connections
            .max(self.hosts[host].connections());
        let process_start = self.hosts[host].started_at();
        let connection = accepted.then_some(Connection {
            host,
            process_start,
            opened_at: self.now,
            idle_since: 0,
        });
        let class = self.request_of(&attempt_ref).map_or(0, |r| r.class);
        let times_out_at = began_at + self.class_routes[class].connect_timeout;
        match self.send_packet(&attempt_ref, 1) {
            Delivery::Arrives(at) if at <= times_out_at => {
                self.schedule(at, SimulationEvent::ConnectEnds(attempt_ref, connection));
            }
            _ => {
                if let Some(connection) = connection {
                    self.close_connection(connection, u64::MAX);
                }
                self.schedule(
                    times_out_at,
                    SimulationEvent::ConnectEnds(attempt_ref, None),
                );
            }
        }
    }

    fn request_of(&self, attempt_ref: &AttemptRef) -> Option<ClientRequest> {
        let state = &self.proxies[attempt_ref.proxy as usize];
        (state.up && state.epoch == attempt_ref.epoch)
            .then(|| state.calls.get(&attempt_ref.call).map(|c| c.request))
            .flatten()
    }

    fn in_flight_attempt(&mut self, attempt_ref: &AttemptRef) -> Option<&mut Attempt> {
        let state = &mut self.proxies[attempt_ref.proxy as usize];
        if !state.up || state.epoch != attempt_ref.epoch {
            return None;
        }
        state
            .calls
            .get_mut(&attempt_ref.call)?
            .attempts
            .get_mut(attempt_ref.attempt as usize)
            .filter(|a| a.in_flight)
    }

    fn connect_ends(&mut self, attempt_ref: AttemptRef, connection: Option<Connection>) {
        if self.in_flight_attempt(&attempt_ref).is_none() {
            if let Some(connection) = connection {
                self.close_connection(connection, u64::MAX);
            }
            return;
        }
        match connection {
            Some(connection) => self.write_request(attempt_ref, connection),
            None => self.report_outcome(attempt_ref, Outcome::ConnectFailed, LoadReport::default()),
        }
    }

    /// Writes the request to an established connection, unless it is too late for that. The proxy has the same check.
    fn write_request(&mut self, attempt_ref: AttemptRef, connection: Connection) {
        let now = self.now;
        let state = &mut self.proxies[attempt_ref.proxy as usize];
        let known = state.hosts[attempt_ref.host];
        let call_open = state
            .calls
            .get(&attempt_ref.call)
            .is_some_and(|c| !c.answered);
        let Some(attempt) = self.in_flight_attempt(&attempt_ref) else {
            return;
        };
        attempt.started =
            call_open && now < attempt.deadline && now < attempt.start_by && known.ready;
        if !attempt.started {
            attempt.connection = Some(connection);
            self.keep_connection(attempt_ref);
            self.report_outcome(attempt_ref, Outcome::NotSent, LoadReport::default());
            return;
        }
        attempt.connection = Some(connection);
        if let Delivery::Arrives(at) = self.send_packet(&attempt_ref, 2) {
            self.schedule(at, SimulationEvent::RequestArrives(attempt_ref, connection));
        }
    }

    fn request_arrives(&mut self, attempt_ref: AttemptRef, connection: Connection) {
        let host = attempt_ref.host;
        self.advance_host(host);
        let connection_dead = |f: &badgerramp_sim_model::Fault| {
            let half_open = matches!(f.kind, FaultKind::HalfOpen { host: at } if at == host);
            half_open && f.from <= self.now && connection.opened_at < f.from
        };
        if self.scenario.faults.iter().any(connection_dead) {
            // The request is lost, and neither side notices.
            return;
        }
        let Some(request) = self.request_of(&attempt_ref) else {
            return;
        };
        let stale =
            self.hosts[host].started_at() != connection.process_start || !self.hosts[host].is_up();
        // The host closed the idle connection while the request was in transit.
        let idle_closed = connection.idle_since > 0
            && self.now >= connection.idle_since + self.scenario.hosts[host].idle_timeout;
        if stale || idle_closed {
            self.send_response(attempt_ref, JobOutcome::Reset, HostLoad::default());
            return;
        }
        let token = self.next_token;
        self.next_token += 1;
        let known = self.proxies[attempt_ref.proxy as usize].hosts[host];
        let job = Job {
            token,
            op: request.op,
            attempt_id: (u64::from(request.try_number) << 8) | u64::from(attempt_ref.attempt),
            effect: self.scenario.classes[request.class].effect,
            work: request.work,
            expected_work: request.expected_work,
            sender_knows_start: known.started_at == self.hosts[host].started_at(),
        };
        self.result
            .record_event(self.now, 5, request.op.0, host as u64);
        let was_collapsed = self.hosts[host].collapsed().is_some();
        let arrival = self.hosts[host].arrive(self.now, job, &mut self.dedup);
        self.result
            .trace_operation(self.options.trace, request.op, self.now, || {
                format!(
                    "attempt {} reaches {}: {arrival:?}",
                    attempt_ref.attempt, self.scenario.hosts[host].name
                )
            });
        if let (false, Some(by_informed_senders)) = (was_collapsed, self.hosts[host].collapsed()) {
            if by_informed_senders {
                let text = format!(
                    "{} collapsed while cold, under load from proxies that knew of its start",
                    self.scenario.hosts[host].name
                );
                self.invariants
                    .record(Invariant::ColdPushed, self.now, None, text);
            }
            self.crash_host(host);
        }
        match arrival {
            Arrival::Taken => {
                self.jobs.insert(token, (attempt_ref, connection, request));
                if let Some(attempt) = self.in_flight_attempt(&attempt_ref) {
                    attempt.token = Some(token);
                }
                self.schedule_completion(host);
            }
            Arrival::Ended(outcome) => {
                let report = self.hosts[host].load();
                self.send_response(attempt_ref, outcome, report);
            }
            Arrival::Nobody => {
                self.send_response(attempt_ref, JobOutcome::Reset, HostLoad::default());
            }
        }
    }

    fn send_response(&mut self, attempt_ref: AttemptRef, outcome: JobOutcome, report: HostLoad) {
        if let Delivery::Arrives(at) = self.send_packet(&attempt_ref, 3) {
            self.schedule(
                at,
                SimulationEvent::ResponseArrives(attempt_ref, outcome, report),
            );
        }
    }

    /// Advances a host to the current time and sends the responses of completed jobs.
    fn advance_host(&mut self, host: usize) {
        let mut completions = std::mem::take(&mut self.completions);
        self.hosts[host].advance(self.now, &mut self.dedup, &mut completions);
        for completion in completions.drain(..) {
            let Some((attempt_ref, _, request)) = self.jobs.remove(&completion.job.token) else {
                continue;
            };
            self.result
                .record_event(completion.at, 6, completion.job.op.0, host as u64);
            if completion.took_effect {
                self.invariants
                    .effect_executed(completion.at, completion.job.op, host);
            }
            self.result
                .trace_operation(self.options.trace, request.op, completion.at, || {
                    let effect = if completion.took_effect {
                        ", took effect"
                    } else {
                        ""
                    };
                    format!(
                        "attempt {} ends at {}: {:?}{effect}",
                        attempt_ref.attempt, self.scenario.hosts[host].name, completion.outcome
                    )
                });
            self.send_response(attempt_ref, completion.outcome, completion.load);
        }
        self.completions = completions;
        self.schedule_completion(host);
    }

    /// Schedules an event for the host's next job completion.
    fn schedule_completion(&mut self, host: usize) {
        if let Some(at) = self.hosts[host].next_completion() {
            if self.completion_at[host].is_none_or(|due| at < due) {
                self.completion_at[host] = Some(at);
                self.schedule(at, SimulationEvent::JobCompletes(host));
            }
        }
    }

    fn response_arrives(
        &mut self,
        attempt_ref: AttemptRef,
        job_outcome: JobOutcome,
        report: HostLoad,
    ) {
        if self.in_flight_attempt(&attempt_ref).is_none() {
            return;
        }
        let load = LoadReport {
            in_flight: Some(f64::from(report.in_flight)),
            queued: Some(f64::from(report.queued)),
            ..LoadReport::default()
        };
        let (outcome, load) = match job_outcome {
            JobOutcome::Served => (Outcome::Served, load),
            JobOutcome::Failed => (Outcome::Error, load),
            JobOutcome::TurnedAway => (Outcome::Rejected, load),
            JobOutcome::Reset => (Outcome::Reset, LoadReport::default()),
            JobOutcome::Spoilt => (Outcome::Error, LoadReport::default()),
        };
        match job_outcome {
            JobOutcome::Served | JobOutcome::Failed | JobOutcome::TurnedAway => {
                self.keep_connection(attempt_ref);
            }
            JobOutcome::Reset | JobOutcome::Spoilt => {}
        }
        self.report_outcome(attempt_ref, outcome, load);
    }

    /// Keeps the connection of an attempt for later attempts.
    fn keep_connection(&mut self, attempt_ref: AttemptRef) {
        let now = self.now;
        let Some(connection) = self
            .in_flight_attempt(&attempt_ref)
            .and_then(|a| a.connection.take())
        else {
            return;
        };
        let max_idle_connections = self.max_idle_connections;
        let state = &mut self.proxies[attempt_ref.proxy as usize];
        let known = state.hosts[attempt_ref.host];
        if !known.ready {
            self.close_connection(connection, u64::MAX);
            return;
        }
        let connections = state.idle_connections.entry(attempt_ref.host).or_default();
        connections.push(Connection {
            idle_since: now,
            ..connection
        });
        let surplus = (connections.len() > max_idle_connections).then(|| connections.remove(0));
        let (epoch, schedule_sweep) = (
            state.epoch,
            !std::mem::replace(&mut state.sweep_scheduled, true),
        );
        if let Some(connection) = surplus {
            self.close_connection(connection, u64::MAX);
        }
        if schedule_sweep {
            self.schedule(
                now + SWEEP_INTERVAL,
                SimulationEvent::SweepIdle {
                    proxy: attempt_ref.proxy,
                    epoch,
                },
            );
        }
    }

    fn sweep_idle_connections(&mut self, proxy: u32, epoch: u32) {
        let max_idle = self.scenario.network.idle_timeout / 4 * 3;
        let now = self.now;
        let state = &mut self.proxies[proxy as usize];
        if !state.up || state.epoch != epoch {
            return;
        }
        let mut closed = Vec::new();
        let hosts = &self.scenario.hosts;
        let mut connected: Vec<usize> = state.idle_connections.keys().copied().collect();
        connected.sort_unstable();
        for host in connected {
            let Some(connections) = state.idle_connections.get_mut(&host) else {
                continue;
            };
            let ready = state.hosts[host].ready;
            connections.retain(|connection| {
                let idle = now.saturating_sub(connection.idle_since);
                let keep = ready && idle < max_idle && idle < hosts[host].idle_timeout;
                if !keep {
                    closed.push(*connection);
                }
                keep
            });
            if connections.is_empty() {
                state.idle_connections.remove(&host);
            }
        }
        state.sweep_scheduled = !state.idle_connections.is_empty();
        if state.sweep_scheduled {
            self.schedule(
                now + SWEEP_INTERVAL,
                SimulationEvent::SweepIdle { proxy, epoch },
            );
        }
        closed
            .into_iter()
            .for_each(|connection| self.close_connection(connection, u64::MAX));
    }

    fn attempt_times_out(&mut self, attempt_ref: AttemptRef) {
        let Some(attempt) = self.in_flight_attempt(&attempt_ref) else {
            return;
        };
        // As in the proxy: an attempt that still waits for its connection was not executed.
        let outcome = if attempt.started {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.report_outcome(attempt_ref, outcome, LoadReport::default());
    }

    fn report_outcome(&mut self, attempt_ref: AttemptRef, outcome: Outcome, load: LoadReport) {
        if let Some(event) = self.end_attempt(
            attempt_ref.proxy,
            attempt_ref.call,
            attempt_ref.attempt,
            outcome,
            load,
        ) {
            self.handle_event(attempt_ref.proxy, event);
        }
    }

    /// Ends an attempt. Returns the event that reports its outcome; `None` if the attempt had ended before.
    fn end_attempt(
        &mut self,
        proxy: u32,
        id: CallId,
        number: u32,
        outcome: Outcome,
        load: LoadReport,
    ) -> Option<Event> {
        let state = &mut self.proxies[proxy as usize];
        let call = state.calls.get_mut(&id)?;
        let request = call.request;
        let attempt = call
            .attempts
            .get_mut(number as usize)
            .filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        let (elapsed, connection, token) = (
            self.now - attempt.sent_at,
            attempt.connection.take(),
            attempt.token,
        );
        self.invariants.attempt_ended(
            request.op,
            request.try_number,
            number as usize,
            outcome.proves_not_executed(),
        );
        self.result.record_event(
            self.now,
            7,
            request.op.0,
            (u64::from(number) << 8) | outcome as u64,
        );
        self.result
            .trace_operation(self.options.trace, request.op, self.now, || {
                format!("attempt {number} ended: {outcome:?} after {elapsed} us")
            });
        let mut closed = call.answered;
        if outcome == Outcome::Served && !call.answered {
            call.answered = true;
            state.open_calls -= 1;
            closed = true;
            self.invariants.call_answered(
                self.now,
                request.op,
                request.try_number,
                FinalAnswer::Served,
            );
            self.client_receives(request, Some(FinalAnswer::Served), None);
        }
        if let Some(connection) = connection {
            // The connection is closed with the attempt, which tells the host to abandon the job.
            self.close_connection(connection, token.unwrap_or(u64::MAX));
        }
        Some(Event::Outcome {
            call: id,
            attempt: number,
            outcome,
            elapsed,
            closed,
            load,
        })
    }

    /// Removes a call that is answered and has no attempt in flight.
    fn remove_if_ended(&mut self, proxy: u32, id: CallId) {
        let state = &mut self.proxies[proxy as usize];
        if state
            .calls
            .get(&id)
            .is_some_and(|c| c.answered && c.attempts.iter().all(|a| !a.in_flight))
        {
            state.calls.remove(&id);
        }
    }

    // Endpoint list.

    /// Whether the proxy still waits for the response to this request.
    fn is_pending(&self, list_request: &ListRequest) -> bool {
        let state = &self.proxies[list_request.proxy as usize];
        state.up
            && state.epoch == list_request.epoch
            && state.pending_list_request == Some(list_request.number)
    }

    fn request_list(&mut self, proxy: u32) {
        self.request_list_with_wait(proxy, WATCH_WAIT);
    }

    fn request_list_with_wait(&mut self, proxy: u32, wait: Micros) {
        let state = &mut self.proxies[proxy as usize];
        state.list_requests += 1;
        state.pending_list_request = Some(state.list_requests);
        let (number, known_version, epoch) = (state.list_requests, state.list_version, state.epoch);
        let list_request = ListRequest {
            proxy,
            epoch,
            number,
            known_version,
            sent_at: self.now,
            wait,
        };
        let timeout = if known_version.is_some() {
            wait + WATCH_GRACE
        } else {
            FETCH_TIMEOUT
        };
        self.schedule(
            self.now + timeout,
            SimulationEvent::ListRequestTimeout(list_request),
        );
        if let Delivery::Arrives(at) = self.send_list_packet(&list_request, 0) {
            self.schedule(at, SimulationEvent::ListRequestArrives(list_request));
        }
    }

    fn answer_list_request(&mut self, list_request: ListRequest) {
        if !self.is_pending(&list_request) {
            return;
        }
        let response = match self
            .list_service
            .respond(self.now, list_request.known_version)
        {
            ListResponse::NoResponse => return,
            ListResponse::Unchanged if self.now < list_request.sent_at + list_request.wait => {
                self.waiting_list_requests.push(list_request);
                self.schedule(
                    list_request.sent_at + list_request.wait,
                    SimulationEvent::ListResponseDue(list_request),
                );
                return;
            }
            ListResponse::Unchanged => {
                ListResponse::Changes(list_request.known_version.unwrap_or_default(), Vec::new())
            }
            response => response,
        };
        self.waiting_list_requests
            .retain(|w| w.proxy != list_request.proxy);
        if let Delivery::Arrives(at) = self.send_list_packet(&list_request, 1) {
            self.schedule(
                at,
                SimulationEvent::ListResponseArrives(list_request, response),
            );
        }
    }

    fn list_response_arrives(&mut self, list_request: ListRequest, response: ListResponse) {
        if !self.is_pending(&list_request) {
            return;
        }
        if self.scenario.gossip_seeds > 0 {
            self.proxies[list_request.proxy as usize].pending_list_request = None;
            let answer = gossip::poll_answer(
                response,
                self.now - list_request.sent_at,
                list_request.known_version.is_none(),
            );
            let input = answer.map_or(Input::PollFailed { retry_after: None }, Input::PollAnswered);
            return self.handle_gossip(list_request.proxy, input);
        }
        let (kind, version, list) = match response {
            ListResponse::Full(version, list) => (ListUpdateKind::Full, version, list),
            ListResponse::Changes(version, list) => (ListUpdateKind::Delta, version, list),
            ListResponse::Failed => return self.list_request_fails(list_request.proxy),
            ListResponse::Unchanged | ListResponse::NoResponse => return,
        };
        let proxy = list_request.proxy;
        self.result
            .record_event(self.now, 8, u64::from(proxy), version);
        let state = &mut self.proxies[proxy as usize];
        state.list_version = Some(version);
        state.pending_list_request = None;
        // The next watch starts at once.
        self.request_list(proxy);
        self.apply_list_update(proxy, kind, list);
    }

    /// Applies a full list or changes of the list to a proxy.
    fn apply_list_update(&mut self, proxy: u32, kind: ListUpdateKind, list: Vec<ListEntry>) {
        let proxy_state = &mut self.proxies[proxy as usize];
        if kind == ListUpdateKind::Full {
            for (host, known) in proxy_state.hosts.iter_mut().enumerate() {
                if known.ready && !list.iter().any(|e| e.host == host) {
                    known.ready = false;
                    self.invariants
                        .host_status_received(self.now, proxy, host, false);
                }
            }
        }
        let mut entries = Vec::with_capacity(list.len());
        for ListEntry {
            host,
            state,
            started_at,
        } in list
        {
            let ready = state == 0;
            proxy_state.hosts[host] = KnownHost { ready, started_at };
            self.invariants
                .host_status_received(self.now, proxy, host, ready);
            let spec = &self.scenario.hosts[host];
            entries.push(decisions::EndpointEntry {
                endpoint: EndpointId(host as u32),
                status: [
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ][usize::from(state.min(2))],
                zone: settings::zone_id(&spec.zone),
                cell: CellId(spec.group),
                kind: settings::kind_id(&spec.kind),
                weight: 1.0,
                started: started_at,
            });
        }
        // Idle connections to hosts that take no more calls are closed.
        let mut unavailable: Vec<usize> = proxy_state
            .idle_connections
            .keys()
            .copied()
            .filter(|h| !proxy_state.hosts[*h].ready)
            .collect();
        unavailable.sort_unstable();
        let closed: Vec<Connection> = unavailable
            .into_iter()
            .filter_map(|h| proxy_state.idle_connections.remove(&h))
            .flatten()
            .collect();
        closed
            .into_iter()
            .for_each(|connection| self.close_connection(connection, u64::MAX));
        self.handle_event(proxy, Event::EndpointList { kind, entries });
    }

    fn list_request_fails(&mut self, proxy: u32) {
        let state = &mut self.proxies[proxy as usize];
        state.pending_list_request = None;
        if self.scenario.gossip_seeds > 0 {
            return self.handle_gossip(proxy, Input::PollFailed { retry_after: None });
        }
        if std::mem::take(&mut state.list_wanted) {
            self.request_list(proxy);
        }
        self.handle_event(
            proxy,
            Event::EndpointList {
                kind: ListUpdateKind::Failed,
                entries: Vec::new(),
            },
        );
    }

    fn publish_list_change(&mut self, entry: ListEntry) {
        self.list_service.record_change(self.now, entry);
        let published_at = self.list_service.changes().last().map_or(self.now, |c| c.0);
        self.schedule(published_at, SimulationEvent::ListPublished);
    }

    // Hosts and faults.

    fn start_host(&mut self, host: usize) {
        self.hosts[host].start(self.now);
        self.result.record_event(self.now, 9, host as u64, 0);
        let started_at = self.hosts[host].started_at();
        self.publish_list_change(ListEntry {
            host,
            state: 0,
            started_at,
        });
    }

    /// Crashes a host: its jobs are lost, and the proxies that wait for them see their connections reset.
    fn crash_host(&mut self, host: usize) {
        let lost_jobs = self.hosts[host].crash(&mut self.dedup);
        for job in lost_jobs {
            if let Some((attempt_ref, ..)) = self.jobs.remove(&job.token) {
                self.send_response(attempt_ref, JobOutcome::Reset, HostLoad::default());
            }
        }
    }

    fn begin_fault(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.result.record_event(self.now, 10, n as u64, 0);
        if let Some(host) = fault.kind.host() {
            self.advance_host(host);
        }
        match fault.kind {
            FaultKind::Crash { host } => {
                self.crash_host(host);
                self.publish_list_change(ListEntry {
                    host,
                    state: 2,
                    started_at: self.hosts[host].started_at(),
                });
            }
            FaultKind::Drain { host } => {
                self.hosts[host].drain();
                self.publish_list_change(ListEntry {
                    host,
                    state: 1,
                    started_at: self.hosts[host].started_at(),
                });
            }
            FaultKind::ProxyCrash { proxy } => {
                let state = &mut self.proxies[proxy as usize];
                (state.up, state.peer) = (false, None);
                // Clients whose calls are lost see their connections end, and may retry.
                let mut calls: Vec<(CallId, Call)> = state.calls.drain().collect();
                calls.sort_by_key(|c| c.0);
                let connections: Vec<Connection> = {
                    let mut all: Vec<_> = state.idle_connections.drain().collect();
                    all.sort_by_key(|c| c.0);
                    all.into_iter().flat_map(|c| c.1).collect()
                };
                self.invariants.proxy_crashed(proxy);
                connections
                    .into_iter()
                    .for_each(|connection| self.close_connection(connection, u64::MAX));
                for (_, call) in calls {
                    for attempt in call.attempts.iter().filter(|a| a.in_flight) {
                        if let Some(connection) = attempt.connection {
                            self.close_connection(connection, u64::MAX);
                        }
                    }
                    if !call.answered {
                        self.client_receives(call.request, None, None);
                    }
                }
            }
            _ => {
                if let Some(host) = fault.kind.host() {
                    self.hosts[host].begin_fault(self.now, &fault);
                    // The fault moves the completion times of the host's jobs.
                    self.completion_at[host] = None;
                    self.schedule_completion(host);
                }
            }
        }
    }

    fn end_fault(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.result.record_event(self.now, 11, n as u64, 0);
        if let Some(host) = fault.kind.host() {
            self.advance_host(host);
        }
        match fault.kind {
            FaultKind::Crash { host } => self.start_host(host),
            FaultKind::Drain { host } => {
                self.crash_host(host);
                self.publish_list_change(ListEntry {
                    host,
                    state: 2,
                    started_at: self.hosts[host].started_at(),
                });
            }
            FaultKind::ProxyCrash { proxy } => {
                let epoch = self.proxies[proxy as usize].epoch + 1;
                self.start_proxy(proxy, epoch);
            }
            _ => {
                if let Some(host) = fault.kind.host() {
                    self.hosts[host].end_fault(&fault);
                }
            }
        }
    }

    fn take_sample(&mut self) {
        let (mut open_calls, mut queued_calls) = (0, 0);
        for proxy in self.proxies.iter().filter(|p| p.up) {
            open_calls += proxy.open_calls as u64;
            queued_calls += proxy.balancer.call_totals().queued as u64;
        }
        self.invariants.advance(self.now);
        self.check_leaks(false);
        let load = |h: &Host| f64::from(h.load().in_flight) / f64::from(h.spec().cores.max(1));
        self.result.samples.push(Sample {
            at_seconds: self.now as f64 / 1e6,
            in_flight_per_core: self.hosts.iter().map(load).collect(),
            connections: self.hosts.iter().map(Host::connections).collect(),
            open_calls,
            queued_calls,
        });
        if self.now < self.scenario.duration + self.scenario.max_deadline() {
            self.schedule(self.now + BIN_WIDTH, SimulationEvent::Sample);
        }
    }
}
