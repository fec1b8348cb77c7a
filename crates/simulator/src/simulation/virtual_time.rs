//! A scenario in virtual time: the real decisions, routes and operator's files of all proxies on modelled hosts.

use super::event_queue::{Events, Rank};
use super::gossip;
use super::proxy::{self, Attempt, Call, Known, Link, Proxy, Routed};
use super::{check_recovery, RunOptions, SimulationError};
use crate::operator_file;
use crate::run_result::{RunResult, Sample, BIN_WIDTH};
use badgerramp_config::{connections_kept, Config, ANSWER_ROOM};
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

/// The program's own figures for its watch on the list (`net/discovery.rs`).
const WATCH: Micros = 10_000_000;
const WATCH_SILENCE: Micros = 2_000_000;
const FETCH: Micros = 3_500_000;
/// What was on its way when the load ended has this long to end.
const AFTERMATH: Micros = 4_000_000;
const SWEEP: Micros = 1_000_000;

/// What happens.
enum Ev {
    /// The next first try is due.
    First(ClientRequest),
    /// A client tries again.
    Again(ClientRequest),
    /// A client leaves.
    Leaves {
        proxy: u32,
        epoch: u32,
        call: CallId,
    },
    /// A connection reaches a host, or does not.
    Syn(Wire, Micros),
    /// The proxy hears of it.
    Up(Wire, Option<Link>),
    /// A request reaches a host.
    Arrives(Wire, Link),
    /// An answer, or the end of the connection, reaches the proxy.
    Back(Wire, JobOutcome, HostLoad),
    /// The host hears that nobody waits any more.
    Dropped {
        token: u64,
        host: usize,
        process: Micros,
    },
    HostDue(usize),
    Attempt(Wire),
    Timer {
        proxy: u32,
        epoch: u32,
        at: Micros,
    },
    Backstop {
        proxy: u32,
        epoch: u32,
        call: CallId,
    },
    /// A question reaches the list service; its answer leaves it; comes back.
    ListAsked(Question),
    ListAnswers(Question),
    ListTold(Question, ListResponse),
    ListLate(Question),
    /// Something new is listed.
    Listed,
    FaultBegins(usize),
    FaultEnds(usize),
    Joins(usize),
    Sweep {
        proxy: u32,
        epoch: u32,
    },
    Sample,
    /// A message of one proxy reaches another; a proxy's own time among its peers.
    Peer(u32, Vec<u8>),
    PeerDue {
        proxy: u32,
        epoch: u32,
        at: Micros,
    },
}

/// One attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Wire {
    proxy: u32,
    epoch: u32,
    call: CallId,
    attempt: u32,
    host: usize,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    proxy: u32,
    epoch: u32,
    number: u64,
    known: Option<u64>,
    asked: Micros,
    /// How long it may wait for news.
    wait: Micros,
}

struct Play {
    scenario: Arc<Scenario>,
    options: RunOptions,
    draws: RandomStreams,
    now: Micros,
    events: Events<Ev>,
    hosts: Vec<Host>,
    /// For each host: when it was last told to look for ended jobs.
    due: Vec<Option<Micros>>,
    zones: Vec<u32>,
    memory: DedupStore,
    list: ListService,
    /// Proxies that watch, and since when.
    watching: Vec<Question>,
    network: Network,
    clients: LoadGenerator,
    judge: InvariantChecker,
    course: RunResult,
    proxies: Vec<Proxy>,
    proxy_zones: Vec<u32>,
    routed: Vec<Routed>,
    settings: Settings,
    max_open: usize,
    advice: Micros,
    spares: usize,
    /// Jobs at hosts.
    jobs: FxHashMap<u64, (Wire, Link, ClientRequest)>,
    next_token: u64,
    actions: Vec<Action>,
    done: Vec<Completion>,
}

/// Plays a scenario in virtual time.
///
/// # Errors
/// If the operator's file that it makes is refused.
pub fn run(scenario: &Arc<Scenario>, options: RunOptions) -> Result<RunResult, SimulationError> {
    let config = operator_file::parse(scenario)?;
    let routed = proxy::routes(scenario, &config).map_err(SimulationError::Other)?;
    let mut play = Play::new(Arc::clone(scenario), options, &config, routed);
    play.run();
    Ok(play.finish())
}

impl Play {
    fn new(
        scenario: Arc<Scenario>,
        options: RunOptions,
        config: &Config,
        routed: Vec<Routed>,
    ) -> Self {
        let draws = RandomStreams::new(options.seed);
        let hosts: Vec<Host> = (0..scenario.hosts.len())
            .map(|n| Host::new(&scenario, n, draws))
            .collect();
        let there = (0..hosts.len()).filter(|&n| scenario.hosts[n].joins_at == 0);
        let first = there
            .map(|host| ListEntry {
                host,
                state: 0,
                started_at: 0,
            })
            .collect();
        let zone = |name: &str| settings::zone_id(name).0;
        let mut settings = config.settings();
        // The program's step is its clock's; the file does not set it.
        settings.tick = 1_000;
        Play {
            options,
            draws,
            now: 0,
            events: Events::new(options.shuffle.then_some(draws)),
            due: vec![None; hosts.len()],
            zones: scenario.hosts.iter().map(|h| zone(&h.zone)).collect(),
            memory: DedupStore::default(),
            list: ListService::new(scenario.list, &scenario.faults, first),
            watching: Vec::new(),
            network: Network::new(scenario.network, &scenario.faults, draws),
            clients: LoadGenerator::new(Arc::clone(&scenario), draws),
            judge: InvariantChecker::new(Arc::clone(&scenario), 0),
            course: RunResult::new(Arc::clone(&scenario)),
            proxy_zones: (0..scenario.proxies)
                .map(|n| zone(proxy::zone(&scenario, n)))
                .collect(),
            proxies: Vec::new(),
            routed,
            max_open: config.limits.open_calls,
            advice: config.limits.retry_after,
            spares: max_idle_connections(settings.balancers),
            settings,
            jobs: FxHashMap::default(),
            next_token: 0,
            actions: Vec::new(),
            done: Vec::new(),
            hosts,
            scenario,
        }
    }

    fn at(&mut self, at: Micros, event: Ev) {
        self.events.push(at.max(self.now), Rank::World, event);
    }

    fn run(&mut self) {
        for (n, fault) in self.scenario.faults.clone().iter().enumerate() {
            self.at(fault.from, Ev::FaultBegins(n));
            self.at(fault.until, Ev::FaultEnds(n));
        }
        for (n, host) in self
            .scenario
            .hosts
            .clone()
            .iter()
            .enumerate()
            .filter(|(_, h)| h.joins_at > 0)
        {
            self.at(host.joins_at, Ev::Joins(n));
        }
        for proxy in 0..self.scenario.proxies {
            self.start_proxy(proxy, 0);
        }
        if let Some(ask) = self.clients.next_operation() {
            self.at(ask.due, Ev::First(ask));
        }
        self.at(BIN_WIDTH, Ev::Sample);
        let end = self.scenario.duration + self.scenario.max_deadline() + AFTERMATH;
        while let Some((at, event)) = self.events.pop() {
            if at > end || (self.options.stop_at_violation && self.judge.violation_count() > 0) {
                break;
            }
            self.now = at;
            self.happens(event);
        }
        self.now = end;
    }

    fn finish(mut self) -> RunResult {
        self.judge.advance(Micros::MAX / 2);
        if !(self.options.stop_at_violation && self.judge.violation_count() > 0) {
            self.look_for_leaks(true);
            let mut course =
                std::mem::replace(&mut self.course, RunResult::new(Arc::clone(&self.scenario)));
            check_recovery(&self.scenario, &course, &mut self.judge);
            course.list_requests = self.list.request_count;
            self.course = course;
        }
        self.course.violations = self.judge.violations().to_vec();
        self.course.violation_count = self.judge.violation_count();
        self.course.host_work.0 = self.hosts.iter().map(|h| h.work_done).sum();
        self.course
    }

    /// What decisions and proxies hold against what is really there.
    fn look_for_leaks(&mut self, last: bool) {
        let mut found = Vec::new();
        for proxy in self.proxies.iter().filter(|p| p.up) {
            if last && !proxy.calls.is_empty() {
                found.push((
                    Invariant::Leaked,
                    format!(
                        "proxy {} still has {} calls",
                        proxy.place,
                        proxy.calls.len()
                    ),
                ));
            }
            let totals = proxy.balancer.call_totals();
            let (known, held) = (totals.open, totals.queued);
            if last && known > 0 {
                found.push((
                    Invariant::Leaked,
                    format!(
                        "proxy {}: the decisions still know {known} calls",
                        proxy.place
                    ),
                ));
            }
            if held > known || known > proxy.calls.len() {
                let text = format!(
                    "proxy {}: {known} calls known, {held} held, {} there",
                    proxy.place,
                    proxy.calls.len()
                );
                found.push((Invariant::Miscounted, text));
            }
            if proxy.links.values().any(|l| l.len() > self.spares) {
                found.push((
                    Invariant::Leaked,
                    format!("proxy {} keeps too many connections", proxy.place),
                ));
            }
            // All hosts of all proxies at the end only, and before that where there are few.
            if last || self.hosts.len() * self.scenario.proxies as usize <= 256 {
                let mut out = vec![0u32; self.hosts.len()];
                for attempt in proxy
                    .calls
                    .values()
                    .flat_map(|c| &c.attempts)
                    .filter(|a| a.out)
                {
                    out[attempt.host] += 1;
                }
                for (host, &out) in out.iter().enumerate() {
                    let view = proxy.balancer.view(self.now, EndpointId(host as u32));
                    if let Some(view) = view.filter(|v| v.in_flight != out) {
                        let text = format!(
                            "proxy {}: the decisions count {} in flight at {}, and {out} are",
                            proxy.place, view.in_flight, self.scenario.hosts[host].name
                        );
                        found.push((Invariant::Miscounted, text));
                    }
                }
            }
        }
        found
            .into_iter()
            .for_each(|(rule, text)| self.judge.record(rule, self.now, None, text));
    }

    fn happens(&mut self, event: Ev) {
        match event {
            Ev::First(ask) => {
                if let Some(next) = self.clients.next_operation() {
                    self.at(next.due, Ev::First(next));
                }
                self.asks(ask);
            }
            Ev::Again(ask) => self.asks(ask),
            Ev::Leaves { proxy, epoch, call } => self.leaves(proxy, epoch, call),
            Ev::Syn(wire, began) => self.syn(wire, began),
            Ev::Up(wire, link) => self.connected(wire, link),
            Ev::Arrives(wire, link) => self.arrives(wire, link),
            Ev::Back(wire, verdict, report) => self.back(wire, verdict, report),
            Ev::Dropped {
                token,
                host,
                process,
            } => {
                self.settle(host);
                let there = self.hosts[host].is_up() && self.hosts[host].started_at() == process;
                if there {
                    self.hosts[host].disconnect();
                    if token != u64::MAX && self.hosts[host].abandon(token, &mut self.memory) {
                        self.jobs.remove(&token);
                    }
                }
            }
            Ev::HostDue(host) => {
                self.due[host] = None;
                self.settle(host);
            }
            Ev::Attempt(wire) => self.attempt_due(wire),
            Ev::Timer { proxy, epoch, at } => {
                let shell = &mut self.proxies[proxy as usize];
                if shell.up && shell.epoch == epoch && shell.module_due == Some(at) {
                    shell.module_due = None;
                    self.tell(proxy, Event::Timer);
                }
            }
            Ev::Backstop { proxy, epoch, call } => {
                let shell = &self.proxies[proxy as usize];
                let forgotten = shell.calls.get(&call).is_some_and(|c| !c.answered);
                if shell.up && shell.epoch == epoch && forgotten {
                    self.answer(proxy, call, FinalAnswer::Overdue, None);
                    self.tell(proxy, Event::ClientDisconnected { call });
                }
            }
            Ev::ListAsked(question) => {
                let leaves = self.list.accept_request(self.now);
                self.at(leaves, Ev::ListAnswers(question));
            }
            Ev::ListAnswers(question) => self.list_answers(question),
            Ev::ListTold(question, told) => self.list_told(question, told),
            Ev::ListLate(question) => {
                if self.is_asking(&question) {
                    self.list_failed(question.proxy);
                }
            }
            Ev::Listed => {
                for question in std::mem::take(&mut self.watching) {
                    self.list_answers(question);
                }
            }
            Ev::FaultBegins(n) => self.fault_begins(n),
            Ev::FaultEnds(n) => self.fault_ends(n),
            Ev::Joins(host) => self.host_starts(host),
            Ev::Sweep { proxy, epoch } => self.sweep(proxy, epoch),
            Ev::Sample => self.sample(),
            Ev::Peer(proxy, bytes) => self.among(proxy, Input::Message(&bytes)),
            Ev::PeerDue { proxy, epoch, at } => {
                let shell = &self.proxies[proxy as usize];
                if shell.up && shell.epoch == epoch && shell.peer_due == at {
                    self.among(proxy, Input::Timer);
                }
            }
        }
    }

    // Proxies.

    fn start_proxy(&mut self, place: u32, epoch: u32) {
        let mut settings = self.settings.clone();
        settings.zone = decisions::ZoneId(self.proxy_zones[place as usize]);
        let seed = self
            .draws
            .integer((0x5eed, u64::from(place), u64::from(epoch)), (0, u64::MAX));
        let proxy = Proxy::new(
            place,
            epoch,
            Balancer::new(seed, settings),
            self.hosts.len(),
        );
        if (place as usize) < self.proxies.len() {
            self.proxies[place as usize] = proxy;
        } else {
            self.proxies.push(proxy);
        }
        self.tell(place, Event::Start);
        self.tell(
            place,
            Event::EndpointList {
                kind: ListUpdateKind::Cached,
                entries: Vec::new(),
            },
        );
        if self.scenario.gossip_seeds > 0 {
            let id = self
                .draws
                .integer((0x9ee5, u64::from(place), u64::from(epoch)), (0, u64::MAX));
            let peer = gossip::start(self.now, (place, self.scenario.gossip_seeds), id);
            self.proxies[place as usize].peer = Some(peer);
            self.among(place, Input::Timer);
        }
    }

    // Peers.

    fn among(&mut self, place: u32, input: Input<'_>) {
        let shell = &mut self.proxies[place as usize];
        let Some(peer) = shell.peer.as_mut().filter(|_| shell.up) else {
            return;
        };
        let out = gossip::tell(peer, self.now, input);
        let (due, epoch) = (peer.next_deadline().max(self.now + 1), shell.epoch);
        if due != shell.peer_due {
            shell.peer_due = due;
            self.at(
                due,
                Ev::PeerDue {
                    proxy: place,
                    epoch,
                    at: due,
                },
            );
        }
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    let (shell, to) = (&mut self.proxies[place as usize], gossip::place(to));
                    shell.letters += 1;
                    let name = (
                        0xda7a,
                        u64::from(place),
                        (u64::from(epoch) << 32) | shell.letters,
                    );
                    if let (Delivery::Arrives(at), true) = (
                        self.network.send(self.now, None, false, name),
                        (to as usize) < self.proxies.len(),
                    ) {
                        self.at(at, Ev::Peer(to, bytes));
                    }
                }
                Output::Poll { index, wait } => {
                    self.proxies[place as usize].version = index;
                    self.ask_list_for(place, wait);
                }
                Output::ListChanged { complete, changes } => {
                    let entries = changes.iter().filter_map(gossip::entry).collect();
                    self.learn(
                        place,
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

    fn tell(&mut self, proxy: u32, event: Event) {
        let mut queue = std::collections::VecDeque::from([event]);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = queue.pop_front() {
            let touched = match &event {
                Event::Outcome { call, .. } => Some(*call),
                _ => None,
            };
            self.proxies[proxy as usize]
                .balancer
                .handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(proxy, action, &mut queue);
            }
            if let Some(call) = touched {
                self.tidy(proxy, call);
            }
        }
        self.actions = actions;
    }

    fn act(&mut self, proxy: u32, action: Action, queue: &mut std::collections::VecDeque<Event>) {
        match action {
            Action::Send {
                call,
                endpoint: server,
                attempt_deadline: until,
                start_by,
            } => {
                let sent = self.send(proxy, call, server.0 as usize, (until, start_by));
                queue.extend(sent);
            }
            Action::Reject { call, retry_after } => {
                // As the program's front has it: its own advice where there is none, in whole seconds.
                let wait = if retry_after == 0 {
                    self.advice
                } else {
                    retry_after
                };
                let told = (wait > 0).then(|| wait.div_ceil(1_000_000) * 1_000_000);
                self.answer(proxy, call, FinalAnswer::Refused, told);
            }
            Action::Fail { call } => self.answer(proxy, call, FinalAnswer::Failed, None),
            Action::Cancel { call, attempt } => {
                queue.extend(self.outcome(
                    proxy,
                    call,
                    attempt,
                    Outcome::Cancelled,
                    LoadReport::default(),
                ));
            }
            Action::Wake { after } => {
                let at = self.now.saturating_add(after);
                let shell = &mut self.proxies[proxy as usize];
                if shell.module_due.is_none_or(|due| at < due) {
                    shell.module_due = Some(at);
                    let epoch = shell.epoch;
                    self.events
                        .push(at, Rank::Timer, Ev::Timer { proxy, epoch, at });
                }
            }
            // Whoever asks for all does.
            Action::Subscribe if self.scenario.gossip_seeds > 0 => {}
            Action::Subscribe => {
                let shell = &mut self.proxies[proxy as usize];
                if shell.asking.is_some() {
                    shell.wanted = true;
                } else {
                    self.ask_list(proxy);
                }
            }
            Action::Probe { endpoint: server } => queue.push_back(Event::ProbeCompleted {
                endpoint: server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log { .. } => {}
        }
    }

    // Clients.

    fn asks(&mut self, ask: ClientRequest) {
        self.course.record_try(&ask);
        self.course
            .record_event(self.now, 1, ask.op.0, u64::from(ask.try_number));
        let class = &self.scenario.classes[ask.class].name;
        self.course
            .trace_operation(self.options.trace, ask.op, self.now, || {
                format!(
                    "try {} of {class} at proxy {}, waits {} us",
                    ask.try_number, ask.proxy, ask.timeout
                )
            });
        let shell = &self.proxies[ask.proxy as usize];
        if !shell.up {
            // Nobody is there: that nothing ran is plain.
            self.client_hears(ask, Some(FinalAnswer::Refused), None);
            return;
        }
        let until = self.now + ask.timeout;
        self.judge.call_accepted(
            self.now,
            ask.op,
            ask.try_number,
            (ask.class, ask.proxy),
            until,
        );
        if shell.open >= self.max_open {
            self.judge
                .call_answered(self.now, ask.op, ask.try_number, FinalAnswer::Refused);
            self.client_hears(
                ask,
                Some(FinalAnswer::Refused),
                Some(self.advice).filter(|&a| a > 0),
            );
            return;
        }
        let routed = self.routed[ask.class];
        let time = ask
            .timeout
            .saturating_sub(RESPONSE_RESERVE)
            .max(1)
            .min(routed.total);
        let shell = &mut self.proxies[ask.proxy as usize];
        let (call, epoch) = (CallId(shell.next_call), shell.epoch);
        shell.next_call += 1;
        shell.open += 1;
        let deadline = self.now + time;
        shell.calls.insert(
            call,
            Call {
                ask,
                deadline,
                attempts: Vec::new(),
                answered: false,
            },
        );
        let proxy = ask.proxy;
        self.events.push(
            deadline,
            Rank::Backstop,
            Ev::Backstop { proxy, epoch, call },
        );
        let leaves = self.scenario.clients.disconnect_share;
        let name = (0x1ea5e, ask.op.0, u64::from(ask.try_number));
        if self.draws.occurs(name, leaves) {
            let after = self
                .draws
                .integer((0x1ea5f, name.1, name.2), (1, time.max(2) - 1));
            self.at(self.now + after, Ev::Leaves { proxy, epoch, call });
        }
        let event = Event::Request {
            call,
            class: routed.class,
            tenant: None,
            time_left: time,
            is_retry: ask.try_number > 0,
            policy: routed.terms,
        };
        self.tell(proxy, event);
    }

    fn client_hears(
        &mut self,
        ask: ClientRequest,
        answered: Option<FinalAnswer>,
        told: Option<Micros>,
    ) {
        self.course
            .record_event(self.now, 2, ask.op.0, answered.map_or(9, |a| a as u64));
        self.course
            .trace_operation(self.options.trace, ask.op, self.now, || match answered {
                Some(answer) => format!("try {}: {answer:?}", ask.try_number),
                None => format!("try {}: no answer", ask.try_number),
            });
        match self.clients.after_answer(&ask, answered, self.now, told) {
            RetryDecision::Retry(next) => self.at(next.due, Ev::Again(next)),
            RetryDecision::Stop => self.course.record_operation_end(&ask, self.now, answered),
        }
    }

    fn leaves(&mut self, proxy: u32, epoch: u32, call: CallId) {
        let shell = &mut self.proxies[proxy as usize];
        if !shell.up || shell.epoch != epoch {
            return;
        }
        let Some(open) = shell.calls.get_mut(&call).filter(|c| !c.answered) else {
            return;
        };
        open.answered = true;
        let ask = open.ask;
        shell.open -= 1;
        self.judge.client_left(self.now, ask.op, ask.try_number);
        self.course
            .record_event(self.now, 3, ask.op.0, u64::from(ask.try_number));
        self.course
            .record_operation_end(&ask, self.now, Some(FinalAnswer::Failed));
        self.course
            .trace_operation(self.options.trace, ask.op, self.now, || {
                "its client leaves".to_owned()
            });
        self.tell(proxy, Event::ClientDisconnected { call });
        let count = self.proxies[proxy as usize]
            .calls
            .get(&call)
            .map_or(0, |c| c.attempts.len());
        for attempt in 0..count as u32 {
            if let Some(event) = self.outcome(
                proxy,
                call,
                attempt,
                Outcome::Cancelled,
                LoadReport::default(),
            ) {
                self.tell(proxy, event);
            }
        }
        self.tidy(proxy, call);
    }

    /// The one final answer.
    fn answer(&mut self, proxy: u32, id: CallId, answer: FinalAnswer, told: Option<Micros>) {
        let shell = &mut self.proxies[proxy as usize];
        let Some(call) = shell.calls.get_mut(&id) else {
            return;
        };
        let ask = call.ask;
        // The program's own guard lets a second one go nowhere; the judge is told all the same.
        if std::mem::replace(&mut call.answered, true) {
            self.judge.record(
                Invariant::AnsweredTwice,
                self.now,
                Some(ask.op),
                format!("the decisions say {answer:?} again"),
            );
            return;
        }
        shell.open -= 1;
        self.judge
            .call_answered(self.now, ask.op, ask.try_number, answer);
        self.client_hears(ask, Some(answer), told);
        self.tidy(proxy, id);
    }

    // Attempts.

    fn send(
        &mut self,
        proxy: u32,
        id: CallId,
        host: usize,
        (until, start_by): (Option<Micros>, Option<Micros>),
    ) -> Option<Event> {
        let shell = &mut self.proxies[proxy as usize];
        let epoch = shell.epoch;
        let Some(call) = shell.calls.get_mut(&id) else {
            self.judge.record(
                Invariant::AfterEnd,
                self.now,
                None,
                "the decisions send for a call that has ended",
            );
            return None;
        };
        let (attempt, ask) = (call.attempts.len() as u32, call.ask);
        let until = until
            .filter(|&u| u > 0)
            .unwrap_or(Micros::MAX)
            .min(call.deadline);
        let (sent, answered) = (self.now, call.answered);
        let start_by = start_by.unwrap_or(Micros::MAX);
        call.attempts.push(Attempt {
            host,
            sent,
            until,
            start_by,
            started: false,
            out: true,
            link: None,
            token: None,
        });
        let known = shell.hosts.get(host).copied().unwrap_or_default();
        self.course.record_attempt(&ask);
        self.course.record_event(
            self.now,
            4,
            ask.op.0,
            (u64::from(attempt) << 32) | host as u64,
        );
        if self.options.trace == Some(ask.op) {
            let name = self.scenario.hosts.get(host).map_or("?", |h| &h.name);
            let view = self.proxies[proxy as usize]
                .balancer
                .view(self.now, EndpointId(host as u32));
            let knew = view.map_or_else(String::new, |v| {
                format!(
                    "; known: {} in flight of {:.1}, latency ratio {:.2}, failure rate {:.2}, capacity {:.2}{}",
                    v.in_flight,
                    v.concurrency_limit,
                    v.latency_ratio,
                    v.failure_rate,
                    v.slow_start_capacity,
                    if v.ejected { ", ejected" } else { "" }
                )
            });
            let line = format!("attempt {attempt} to {name} until {until}{knew}");
            self.course
                .trace_operation(self.options.trace, ask.op, self.now, || line);
        }
        self.judge
            .attempt_sent(self.now, ask.op, ask.try_number, host);
        if !known.ready || until <= self.now || answered {
            return self.outcome(proxy, id, attempt, Outcome::NotSent, LoadReport::default());
        }
        let wire = Wire {
            proxy,
            epoch,
            call: id,
            attempt,
            host,
        };
        self.events.push(until, Rank::Attempt, Ev::Attempt(wire));
        match self.checkout(proxy, host) {
            Some(link) => self.start(wire, link),
            None => match self.way(&wire, 0) {
                Delivery::Arrives(at) => self.at(at, Ev::Syn(wire, self.now)),
                Delivery::Lost => self.at(
                    self.now + self.routed[ask.class].connect,
                    Ev::Up(wire, None),
                ),
            },
        }
        None
    }

    fn near(&self, proxy: u32, host: usize) -> bool {
        self.proxy_zones[proxy as usize] == self.zones[host]
    }

    /// A packet of an attempt. It is named by that: what becomes of it does not hang on what else is played.
    fn way(&self, wire: &Wire, leg: u64) -> Delivery {
        let (op, number) = self
            .ask_of(wire)
            .map_or((0, 0), |a| (a.op.0, u64::from(a.try_number)));
        let near = self.near(wire.proxy, wire.host);
        let name = (
            0x9ac,
            op,
            (number << 16) | (u64::from(wire.attempt) << 8) | leg,
        );
        self.network.send(self.now, Some(wire.host), near, name)
    }

    /// A packet between a proxy and the list service.
    fn list_way(&self, question: &Question, leg: u64) -> Delivery {
        let name = (
            0x1157,
            u64::from(question.proxy),
            (question.number << 8) | leg,
        );
        self.network.send(self.now, None, false, name)
    }

    /// An idle connection that is open, as far as the proxy can see.
    fn checkout(&mut self, proxy: u32, host: usize) -> Option<Link> {
        // As the program has it: well ahead of the host.
        let most = self.scenario.network.idle_timeout / 4 * 3;
        loop {
            let link = self.proxies[proxy as usize].links.get_mut(&host)?.pop()?;
            let idle = self.now.saturating_sub(link.idle_since);
            let there = self.hosts[host].is_up() && self.hosts[host].started_at() == link.process;
            // A host's close reaches the proxy before it looks.
            if there && idle < most && idle < self.scenario.hosts[host].idle_timeout {
                return Some(link);
            }
            self.close(link, u64::MAX);
        }
    }

    /// Closes a connection; the host hears of it.
    fn close(&mut self, link: Link, token: u64) {
        let event = Ev::Dropped {
            token,
            host: link.host,
            process: link.process,
        };
        let name = (
            0xc105e,
            link.host as u64,
            link.opened ^ (link.idle_since << 1),
        );
        if let Delivery::Arrives(at) = self.network.send(self.now, Some(link.host), true, name) {
            self.at(at, event);
        }
    }

    fn syn(&mut self, wire: Wire, began: Micros) {
        let host = wire.host;
        self.settle(host);
        let taken = self.hosts[host].connect(self.now);
        self.watch_host(host);
        self.course.max_connections = self
            .course
            .max_connections
            .max(self.hosts[host].connections());
        let process = self.hosts[host].started_at();
        let link = taken.then_some(Link {
            host,
            process,
            opened: self.now,
            idle_since: 0,
        });
        let class = self.ask_of(&wire).map_or(0, |a| a.class);
        let give_up = began + self.routed[class].connect;
        match self.way(&wire, 1) {
            Delivery::Arrives(at) if at <= give_up => self.at(at, Ev::Up(wire, link)),
            _ => {
                if let Some(link) = link {
                    self.close(link, u64::MAX);
                }
                self.at(give_up, Ev::Up(wire, None));
            }
        }
    }

    fn ask_of(&self, wire: &Wire) -> Option<ClientRequest> {
        let shell = &self.proxies[wire.proxy as usize];
        (shell.up && shell.epoch == wire.epoch)
            .then(|| shell.calls.get(&wire.call).map(|c| c.ask))
            .flatten()
    }

    fn attempt(&mut self, wire: &Wire) -> Option<&mut Attempt> {
        let shell = &mut self.proxies[wire.proxy as usize];
        if !shell.up || shell.epoch != wire.epoch {
            return None;
        }
        shell
            .calls
            .get_mut(&wire.call)?
            .attempts
            .get_mut(wire.attempt as usize)
            .filter(|a| a.out)
    }

    fn connected(&mut self, wire: Wire, link: Option<Link>) {
        if self.attempt(&wire).is_none() {
            if let Some(link) = link {
                self.close(link, u64::MAX);
            }
            return;
        }
        match link {
            Some(link) => self.start(wire, link),
            None => self.ends(wire, Outcome::ConnectFailed, LoadReport::default()),
        }
    }

    /// The connection is there: may the first byte be written? The program asks the same.
    fn start(&mut self, wire: Wire, link: Link) {
        let now = self.now;
        let shell = &mut self.proxies[wire.proxy as usize];
        let known = shell.hosts[wire.host];
        let open = shell.calls.get(&wire.call).is_some_and(|c| !c.answered);
        let Some(attempt) = self.attempt(&wire) else {
            return;
        };
        attempt.started = open && now < attempt.until && now < attempt.start_by && known.ready;
        if !attempt.started {
            attempt.link = Some(link);
            self.keep(wire);
            self.ends(wire, Outcome::NotSent, LoadReport::default());
            return;
        }
        attempt.link = Some(link);
        if let Delivery::Arrives(at) = self.way(&wire, 2) {
            self.at(at, Ev::Arrives(wire, link));
        }
    }

    fn arrives(&mut self, wire: Wire, link: Link) {
        let host = wire.host;
        self.settle(host);
        let dead = |f: &badgerramp_sim_model::Fault| {
            let half_open = matches!(f.kind, FaultKind::HalfOpen { host: at } if at == host);
            half_open && f.from <= self.now && link.opened < f.from
        };
        if self.scenario.faults.iter().any(dead) {
            // Nobody is told.
            return;
        }
        let Some(ask) = self.ask_of(&wire) else {
            return;
        };
        let stale = self.hosts[host].started_at() != link.process || !self.hosts[host].is_up();
        // The host closed it while the request was on its way.
        let idle = link.idle_since > 0
            && self.now >= link.idle_since + self.scenario.hosts[host].idle_timeout;
        if stale || idle {
            self.goes_back(wire, JobOutcome::Reset, HostLoad::default());
            return;
        }
        let token = self.next_token;
        self.next_token += 1;
        let known = self.proxies[wire.proxy as usize].hosts[host];
        let job = Job {
            token,
            op: ask.op,
            attempt_id: (u64::from(ask.try_number) << 8) | u64::from(wire.attempt),
            effect: self.scenario.classes[ask.class].effect,
            work: ask.work,
            expected_work: ask.expected_work,
            sender_knows_start: known.started == self.hosts[host].started_at(),
        };
        self.course.record_event(self.now, 5, ask.op.0, host as u64);
        let fell = self.hosts[host].collapsed().is_some();
        let arrival = self.hosts[host].arrive(self.now, job, &mut self.memory);
        self.course
            .trace_operation(self.options.trace, ask.op, self.now, || {
                format!(
                    "attempt {} reaches {}: {arrival:?}",
                    wire.attempt, self.scenario.hosts[host].name
                )
            });
        if let (false, Some(pushed)) = (fell, self.hosts[host].collapsed()) {
            if pushed {
                let text = format!("{} was pushed over", self.scenario.hosts[host].name);
                self.judge
                    .record(Invariant::ColdPushed, self.now, None, text);
            }
            self.host_dies(host);
        }
        match arrival {
            Arrival::Taken => {
                self.jobs.insert(token, (wire, link, ask));
                if let Some(attempt) = self.attempt(&wire) {
                    attempt.token = Some(token);
                }
                self.watch_host(host);
            }
            Arrival::Ended(verdict) => {
                let report = self.hosts[host].load();
                self.goes_back(wire, verdict, report);
            }
            Arrival::Nobody => self.goes_back(wire, JobOutcome::Reset, HostLoad::default()),
        }
    }

    fn goes_back(&mut self, wire: Wire, verdict: JobOutcome, report: HostLoad) {
        if let Delivery::Arrives(at) = self.way(&wire, 3) {
            self.at(at, Ev::Back(wire, verdict, report));
        }
    }

    /// Lets a host's time pass up to now.
    fn settle(&mut self, host: usize) {
        let mut done = std::mem::take(&mut self.done);
        self.hosts[host].advance(self.now, &mut self.memory, &mut done);
        for ended in done.drain(..) {
            let Some((wire, _, ask)) = self.jobs.remove(&ended.job.token) else {
                continue;
            };
            self.course
                .record_event(ended.at, 6, ended.job.op.0, host as u64);
            if ended.took_effect {
                self.judge.effect_executed(ended.at, ended.job.op, host);
            }
            self.course
                .trace_operation(self.options.trace, ask.op, ended.at, || {
                    let ran = if ended.took_effect {
                        ", its effect came about"
                    } else {
                        ""
                    };
                    format!(
                        "attempt {} ends at {}: {:?}{ran}",
                        wire.attempt, self.scenario.hosts[host].name, ended.outcome
                    )
                });
            self.goes_back(wire, ended.outcome, ended.load);
        }
        self.done = done;
        self.watch_host(host);
    }

    /// Makes sure that somebody looks when its next job ends.
    fn watch_host(&mut self, host: usize) {
        if let Some(at) = self.hosts[host].next_completion() {
            if self.due[host].is_none_or(|due| at < due) {
                self.due[host] = Some(at);
                self.at(at, Ev::HostDue(host));
            }
        }
    }

    fn back(&mut self, wire: Wire, verdict: JobOutcome, report: HostLoad) {
        if self.attempt(&wire).is_none() {
            return;
        }
        let load = LoadReport {
            in_flight: Some(f64::from(report.in_flight)),
            queued: Some(f64::from(report.queued)),
            ..LoadReport::default()
        };
        let (outcome, load) = match verdict {
            JobOutcome::Served => (Outcome::Served, load),
            JobOutcome::Failed => (Outcome::Error, load),
            JobOutcome::TurnedAway => (Outcome::Rejected, load),
            JobOutcome::Reset => (Outcome::Reset, LoadReport::default()),
            JobOutcome::Spoilt => (Outcome::Error, LoadReport::default()),
        };
        match verdict {
            JobOutcome::Served | JobOutcome::Failed | JobOutcome::TurnedAway => self.keep(wire),
            JobOutcome::Reset | JobOutcome::Spoilt => {}
        }
        self.ends(wire, outcome, load);
    }

    /// Keeps the connection of an attempt for the next.
    fn keep(&mut self, wire: Wire) {
        let now = self.now;
        let Some(link) = self.attempt(&wire).and_then(|a| a.link.take()) else {
            return;
        };
        let spares = self.spares;
        let shell = &mut self.proxies[wire.proxy as usize];
        let known = shell.hosts[wire.host];
        if !known.ready {
            self.close(link, u64::MAX);
            return;
        }
        let links = shell.links.entry(wire.host).or_default();
        links.push(Link {
            idle_since: now,
            ..link
        });
        let surplus = (links.len() > spares).then(|| links.remove(0));
        let (epoch, sweeps) = (shell.epoch, !std::mem::replace(&mut shell.sweeping, true));
        if let Some(link) = surplus {
            self.close(link, u64::MAX);
        }
        if sweeps {
            self.at(
                now + SWEEP,
                Ev::Sweep {
                    proxy: wire.proxy,
                    epoch,
                },
            );
        }
    }

    fn sweep(&mut self, proxy: u32, epoch: u32) {
        let most = self.scenario.network.idle_timeout / 4 * 3;
        let now = self.now;
        let shell = &mut self.proxies[proxy as usize];
        if !shell.up || shell.epoch != epoch {
            return;
        }
        let mut closed = Vec::new();
        let hosts = &self.scenario.hosts;
        let mut places: Vec<usize> = shell.links.keys().copied().collect();
        places.sort_unstable();
        for host in places {
            let Some(links) = shell.links.get_mut(&host) else {
                continue;
            };
            let ready = shell.hosts[host].ready;
            links.retain(|link| {
                let idle = now.saturating_sub(link.idle_since);
                let stays = ready && idle < most && idle < hosts[host].idle_timeout;
                if !stays {
                    closed.push(*link);
                }
                stays
            });
            if links.is_empty() {
                shell.links.remove(&host);
            }
        }
        shell.sweeping = !shell.links.is_empty();
        if shell.sweeping {
            self.at(now + SWEEP, Ev::Sweep { proxy, epoch });
        }
        closed
            .into_iter()
            .for_each(|link| self.close(link, u64::MAX));
    }

    fn attempt_due(&mut self, wire: Wire) {
        let Some(attempt) = self.attempt(&wire) else {
            return;
        };
        // As in the program: what still waits for its connection never ran.
        let outcome = if attempt.started {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.ends(wire, outcome, LoadReport::default());
    }

    fn ends(&mut self, wire: Wire, outcome: Outcome, load: LoadReport) {
        if let Some(event) = self.outcome(wire.proxy, wire.call, wire.attempt, outcome, load) {
            self.tell(wire.proxy, event);
        }
    }

    /// Notes the end of an attempt; None if it had ended before.
    fn outcome(
        &mut self,
        proxy: u32,
        id: CallId,
        number: u32,
        outcome: Outcome,
        load: LoadReport,
    ) -> Option<Event> {
        let shell = &mut self.proxies[proxy as usize];
        let call = shell.calls.get_mut(&id)?;
        let ask = call.ask;
        let attempt = call.attempts.get_mut(number as usize).filter(|a| a.out)?;
        attempt.out = false;
        let (elapsed, link, token) = (self.now - attempt.sent, attempt.link.take(), attempt.token);
        self.judge.attempt_ended(
            ask.op,
            ask.try_number,
            number as usize,
            outcome.proves_not_executed(),
        );
        self.course.record_event(
            self.now,
            7,
            ask.op.0,
            (u64::from(number) << 8) | outcome as u64,
        );
        self.course
            .trace_operation(self.options.trace, ask.op, self.now, || {
                format!("attempt {number} is over: {outcome:?} after {elapsed} us")
            });
        let mut closed = call.answered;
        if outcome == Outcome::Served && !call.answered {
            call.answered = true;
            shell.open -= 1;
            closed = true;
            self.judge
                .call_answered(self.now, ask.op, ask.try_number, FinalAnswer::Served);
            self.client_hears(ask, Some(FinalAnswer::Served), None);
        }
        if let Some(link) = link {
            // Its connection goes with it: the host learns that nobody waits.
            self.close(link, token.unwrap_or(u64::MAX));
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

    fn tidy(&mut self, proxy: u32, id: CallId) {
        let shell = &mut self.proxies[proxy as usize];
        if shell
            .calls
            .get(&id)
            .is_some_and(|c| c.answered && c.attempts.iter().all(|a| !a.out))
        {
            shell.calls.remove(&id);
        }
    }

    // The list.

    fn is_asking(&self, question: &Question) -> bool {
        let shell = &self.proxies[question.proxy as usize];
        shell.up && shell.epoch == question.epoch && shell.asking == Some(question.number)
    }

    fn ask_list(&mut self, proxy: u32) {
        self.ask_list_for(proxy, WATCH);
    }

    fn ask_list_for(&mut self, proxy: u32, wait: Micros) {
        let shell = &mut self.proxies[proxy as usize];
        shell.questions += 1;
        shell.asking = Some(shell.questions);
        let (number, known, epoch) = (shell.questions, shell.version, shell.epoch);
        let question = Question {
            proxy,
            epoch,
            number,
            known,
            asked: self.now,
            wait,
        };
        let patience = if known.is_some() {
            wait + WATCH_SILENCE
        } else {
            FETCH
        };
        self.at(self.now + patience, Ev::ListLate(question));
        if let Delivery::Arrives(at) = self.list_way(&question, 0) {
            self.at(at, Ev::ListAsked(question));
        }
    }

    fn list_answers(&mut self, question: Question) {
        if !self.is_asking(&question) {
            return;
        }
        let told = match self.list.respond(self.now, question.known) {
            ListResponse::NoResponse => return,
            ListResponse::Unchanged if self.now < question.asked + question.wait => {
                self.watching.push(question);
                self.at(question.asked + question.wait, Ev::ListAnswers(question));
                return;
            }
            ListResponse::Unchanged => {
                ListResponse::Changes(question.known.unwrap_or_default(), Vec::new())
            }
            told => told,
        };
        self.watching.retain(|w| w.proxy != question.proxy);
        if let Delivery::Arrives(at) = self.list_way(&question, 1) {
            self.at(at, Ev::ListTold(question, told));
        }
    }

    fn list_told(&mut self, question: Question, told: ListResponse) {
        if !self.is_asking(&question) {
            return;
        }
        if self.scenario.gossip_seeds > 0 {
            self.proxies[question.proxy as usize].asking = None;
            let answer = gossip::answer(told, self.now - question.asked, question.known.is_none());
            let input = answer.map_or(Input::PollFailed { retry_after: None }, Input::PollAnswered);
            return self.among(question.proxy, input);
        }
        let (kind, version, list) = match told {
            ListResponse::Full(version, list) => (ListUpdateKind::Full, version, list),
            ListResponse::Changes(version, list) => (ListUpdateKind::Delta, version, list),
            ListResponse::Failed => return self.list_failed(question.proxy),
            ListResponse::Unchanged | ListResponse::NoResponse => return,
        };
        let proxy = question.proxy;
        self.course
            .record_event(self.now, 8, u64::from(proxy), version);
        let shell = &mut self.proxies[proxy as usize];
        shell.version = Some(version);
        shell.asking = None;
        // The watch goes on at once.
        self.ask_list(proxy);
        self.learn(proxy, kind, list);
    }

    /// A proxy's list is this, or has changed by this.
    fn learn(&mut self, proxy: u32, kind: ListUpdateKind, list: Vec<ListEntry>) {
        let shell = &mut self.proxies[proxy as usize];
        if kind == ListUpdateKind::Full {
            for (host, known) in shell.hosts.iter_mut().enumerate() {
                if known.ready && !list.iter().any(|e| e.host == host) {
                    known.ready = false;
                    self.judge
                        .host_status_received(self.now, proxy, host, false);
                }
            }
        }
        let mut entries = Vec::with_capacity(list.len());
        for ListEntry {
            host,
            state,
            started_at: started,
        } in list
        {
            let ready = state == 0;
            shell.hosts[host] = Known { ready, started };
            self.judge
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
                started,
            });
        }
        // What leads to one that takes no more is closed.
        let mut gone: Vec<usize> = shell
            .links
            .keys()
            .copied()
            .filter(|h| !shell.hosts[*h].ready)
            .collect();
        gone.sort_unstable();
        let gone: Vec<Link> = gone
            .into_iter()
            .filter_map(|h| shell.links.remove(&h))
            .flatten()
            .collect();
        gone.into_iter().for_each(|link| self.close(link, u64::MAX));
        self.tell(proxy, Event::EndpointList { kind, entries });
    }

    fn list_failed(&mut self, proxy: u32) {
        let shell = &mut self.proxies[proxy as usize];
        shell.asking = None;
        if self.scenario.gossip_seeds > 0 {
            return self.among(proxy, Input::PollFailed { retry_after: None });
        }
        if std::mem::take(&mut shell.wanted) {
            self.ask_list(proxy);
        }
        self.tell(
            proxy,
            Event::EndpointList {
                kind: ListUpdateKind::Failed,
                entries: Vec::new(),
            },
        );
    }

    fn list_changes(&mut self, entry: ListEntry) {
        self.list.record_change(self.now, entry);
        let at = self.list.changes().last().map_or(self.now, |l| l.0);
        self.at(at, Ev::Listed);
    }

    // Hosts and faults.

    fn host_starts(&mut self, host: usize) {
        self.hosts[host].start(self.now);
        self.course.record_event(self.now, 9, host as u64, 0);
        let started = self.hosts[host].started_at();
        self.list_changes(ListEntry {
            host,
            state: 0,
            started_at: started,
        });
    }

    /// What it had in hand is gone; those that wait for it hear of the end of their connections.
    fn host_dies(&mut self, host: usize) {
        let lost = self.hosts[host].crash(&mut self.memory);
        for job in lost {
            if let Some((wire, ..)) = self.jobs.remove(&job.token) {
                self.goes_back(wire, JobOutcome::Reset, HostLoad::default());
            }
        }
    }

    fn fault_begins(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.course.record_event(self.now, 10, n as u64, 0);
        if let Some(host) = fault.kind.host() {
            self.settle(host);
        }
        match fault.kind {
            FaultKind::Crash { host } => {
                self.host_dies(host);
                self.list_changes(ListEntry {
                    host,
                    state: 2,
                    started_at: self.hosts[host].started_at(),
                });
            }
            FaultKind::Drain { host } => {
                self.hosts[host].drain();
                self.list_changes(ListEntry {
                    host,
                    state: 1,
                    started_at: self.hosts[host].started_at(),
                });
            }
            FaultKind::ProxyCrash { proxy } => {
                let shell = &mut self.proxies[proxy as usize];
                (shell.up, shell.peer) = (false, None);
                // What it held is its clients' to repeat: they see the connection end.
                let mut calls: Vec<(CallId, Call)> = shell.calls.drain().collect();
                calls.sort_by_key(|c| c.0);
                let links: Vec<Link> = {
                    let mut all: Vec<_> = shell.links.drain().collect();
                    all.sort_by_key(|l| l.0);
                    all.into_iter().flat_map(|l| l.1).collect()
                };
                self.judge.proxy_crashed(proxy);
                links
                    .into_iter()
                    .for_each(|link| self.close(link, u64::MAX));
                for (_, call) in calls {
                    for attempt in call.attempts.iter().filter(|a| a.out) {
                        if let Some(link) = attempt.link {
                            self.close(link, u64::MAX);
                        }
                    }
                    if !call.answered {
                        self.client_hears(call.ask, None, None);
                    }
                }
            }
            _ => {
                if let Some(host) = fault.kind.host() {
                    self.hosts[host].begin_fault(self.now, &fault);
                    // What was due later now; what is due is looked for anew.
                    self.due[host] = None;
                    self.watch_host(host);
                }
            }
        }
    }

    fn fault_ends(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.course.record_event(self.now, 11, n as u64, 0);
        if let Some(host) = fault.kind.host() {
            self.settle(host);
        }
        match fault.kind {
            FaultKind::Crash { host } => self.host_starts(host),
            FaultKind::Drain { host } => {
                self.host_dies(host);
                self.list_changes(ListEntry {
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

    fn sample(&mut self) {
        let (mut open, mut held) = (0, 0);
        for proxy in self.proxies.iter().filter(|p| p.up) {
            open += proxy.open as u64;
            held += proxy.balancer.call_totals().queued as u64;
        }
        self.judge.advance(self.now);
        self.look_for_leaks(false);
        let load = |h: &Host| f64::from(h.load().in_flight) / f64::from(h.spec().cores.max(1));
        self.course.samples.push(Sample {
            at_seconds: self.now as f64 / 1e6,
            in_flight_per_core: self.hosts.iter().map(load).collect(),
            connections: self.hosts.iter().map(Host::connections).collect(),
            open_calls: open,
            queued_calls: held,
        });
        if self.now < self.scenario.duration + self.scenario.max_deadline() {
            self.at(self.now + BIN_WIDTH, Ev::Sample);
        }
    }
}
