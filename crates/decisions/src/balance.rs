//! All decisions of the balancer. Its interface (settings, events, actions) is `src/api.rs`; the mechanism
//! and the condition of each departure from it are in `docs/design.md`.
//!
//! A call goes to the less loaded of two random servers under budget, waits in the hold when all are full,
//! may pass one as the trial that can raise it, and is refused when no server is up.

use crate::api::*;
use crate::crowd::{self, shed_probability, LoadFeedback};
use crate::fleet::{AllowedEndpoints, CandidateSet, EndpointIndex, EndpointState};
use crate::state::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// Most steps of a budget: A105's default for `max_connections_per_subchannel`.
const MAX_STEPS: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, and where mild strain leads.
const INITIAL_CONCURRENCY: f64 = 7.0;
const MIN_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut), and what a refusal as full leaves.
const MAX_DECREASE: f64 = 0.5;
const REJECTION_DECREASE: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const LATENCY_LIMIT_FACTOR: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const LATENCY_LIMIT_SHARE: f64 = 0.33;
/// Reported share of busy cores that is as much: above it waiting grows steeply.
const CPU_UTILIZATION_LIMIT: f64 = 0.9;
/// Strain at which a group is used less: answers take about half their aim.
const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Weight of a new answer in what is learned of a server or a group: about ten are remembered.
const SMOOTHING: f64 = 0.1;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
const FAILURE_WEIGHT: f64 = 0.2;
const FAILURE_RATE_LIMIT: f64 = 0.3;
/// First backoff as a share of the longest aim, and the number of doublings up to its cap.
const FIRST_BACKOFF_SHARE: f64 = 0.25;
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Wait in the hold beyond which new calls are refused, as a share of their aim.
const QUEUE_WAIT_SHARE: f64 = 0.1;
/// Times of the shortest aim that count at the most: patient calls must not fill the hold before brief ones.
const QUEUE_WAIT_OBJECTIVES: f64 = 2.0;
/// Usual answer times that must be left before the aim for a second copy, and for a protected call to wait.
const LATENCY_MARGIN: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
const RETRY_TOKENS_PER_CALL: f64 = 0.2;
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Chance of a cold server to be drawn for a call, over its present share of the fleet's capacity.
const SLOW_START_DRAW_FACTOR: f64 = 1.2;
/// Share of calls served that this chance goes by at the least: clients that try four times, at an offered
/// load of 1.4, then ask a cold server for no more than the least multiple that one is built to bear
/// (1.2 x 1.4 x 4 x 0.2 < 2).
const MIN_GOODPUT: f64 = 0.2;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
const QUEUE_SCAN: usize = 16;
/// Share of the longest wait for a try that is taken for the same patience.
const SAME_TIMEOUT_SHARE: f64 = 0.95;

/// Servers set aside up to which any call may try one that is due.
const FEW_EJECTED: usize = 16;

/// Points of the result that asking servers for their load may cost, and the most servers asked for a call.
const PROBE_COST_LIMIT: f64 = 0.02;
const MAX_PROBES: usize = 4;
/// Servers that a balancer keeps to: enough for two rounds of asking.
const PREFERRED_ENDPOINTS: usize = 2 * MAX_PROBES;
/// Share of its aim that a call waits for the answers.
const PROBE_TIMEOUT_SHARE: f64 = 0.05;
/// Share of its aim that a call may be expected to take where it goes: more in hand there is a full budget.
const LOAD_LIMIT_SHARE: f64 = 0.3;

/// Longest aims after which a server's own times count less than those of its kind.
const OWN_LATENCY_MEMORY: f64 = 8.0;

type Actions = Vec<Action>;

impl ConcurrencyLimit {
    fn new(balancers: u32) -> Self {
        // Never under one call: among many balancers most are silent, and an even part starves the others.
        let of_all = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        let (concurrency, floor) = (of_all(INITIAL_CONCURRENCY), of_all(MIN_CONCURRENCY));
        ConcurrencyLimit {
            steps: 1,
            concurrency,
            min_limit: floor,
            ..ConcurrencyLimit::default()
        }
    }

    fn record_served_trial(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    fn start_backoff(&mut self, now: Micros, first: Micros) {
        self.backoff_until = now + (first << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    fn decrease(&mut self, to: f64, floor: f64) {
        let least = floor / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(MAX_DECREASE)).max(least);
    }
}

impl Endpoint {
    fn at_limit(&self, now: Micros, rules: &EndpointRules) -> bool {
        let limit = f64::from(self.limit.steps)
            * self.limit.concurrency
            * self.slow_start_capacity(now, rules);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Are enough answers in since its budget last changed to tell what the change did?
    fn has_enough_answers(&self, now: Micros, expected: f64) -> bool {
        self.answers_since_change >= self.in_flight.max(1)
            && (self.answers_since_change as f64 * SMOOTHING >= 1.0
                || now.saturating_sub(self.limit_changed_at) as f64 >= 2.0 * expected)
    }

    /// Where it stands at `now`, where answers usually take no longer than `usual`.
    fn state(&self, now: Micros, rules: &EndpointRules, expected: f64) -> EndpointState {
        let (aside, paused) = (
            self.listed && self.limit.steps == 0,
            now < self.paused_until,
        );
        let warm_at = if self.started_at == 0 {
            0
        } else {
            self.started_at.saturating_add(rules.slow_start_duration)
        };
        let (warm, backing_off) = (now >= warm_at, now < self.limit.backoff_until);
        let up = self.is_usable(now) && warm;
        let full = up && self.at_limit(now, rules);
        let settled = self.limit_changed_at == 0 || self.has_enough_answers(now, expected);
        let may_be_tried = full && !self.limit.trial_in_flight && self.latency_ratio <= 1.0;
        // Times at which it stands elsewhere though nothing happened to it.
        let settles_at = self
            .limit_changed_at
            .saturating_add((2.0 * expected) as Micros + 1);
        let times = [
            (paused, self.paused_until),
            (!warm, warm_at),
            (
                (may_be_tried || aside) && backing_off,
                self.limit.backoff_until,
            ),
            (
                may_be_tried && !settled && self.answers_since_change >= self.in_flight.max(1),
                settles_at.max(now + 1),
            ),
        ];
        let due = times
            .iter()
            .filter(|t| self.listed && t.0)
            .map(|t| t.1)
            .min();
        EndpointState {
            listed: self.listed,
            available: up,
            has_capacity: up && !full,
            trial_allowed: may_be_tried && !backing_off && settled,
            is_outlier: self.listed && (aside || self.failure_rate > FAILURE_RATE_LIMIT),
            ejected: aside,
            recovery_trial_out: self.limit.trial_in_flight,
            // All balancers' trials together could push a cold server over.
            recovery_at: self.limit.backoff_until.max(self.paused_until).max(warm_at),
            slow_start_since: (self.listed && !warm).then_some(self.started_at.min(now)),
            next_change: due.unwrap_or(Micros::MAX),
        }
    }
}

impl Call {
    /// May it have another attempt, by their number?
    fn may_have_another_attempt(&self) -> bool {
        (self.attempts.len() as u32) < self.policy.max_attempts
    }

    fn may_be_rejected(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        harmless || self.first_maybe_executed().is_none()
    }
}

/// Where a call goes.
enum Route {
    Send {
        endpoint: usize,
        trial: bool,
    },
    Probe {
        candidates: Vec<usize>,
    },
    Queue,
    Reject {
        retry_after: Micros,
    },
    /// Refused, as the servers are crowded.
    Shed {
        retry_after: Micros,
    },
}

/// Decides for one client proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    endpoints: EndpointIndex,
    calls: FxHashMap<CallId, Call>,
    wait_queue: VecDeque<CallId>,
    /// Calls that wait for the load of servers.
    probing_calls: Vec<CallId>,
    /// Answer times of late, and what their servers held then for their size: all servers' together.
    answer_totals: (f64, f64),
    /// Loads told of late over what servers bear: asking pays where this is high.
    probe_pressure: f64,
    /// Strain of late of each machine kind in each zone.
    groups: BTreeMap<(ZoneId, KindId), EndpointGroup>,
    /// Crowding that servers told of with their answers.
    load_feedback: LoadFeedback,
    timers: CallTimers,
    class_latencies: Vec<ClassLatency>,
    /// Share of the calls of late that were served.
    goodput: f64,
    retry_tokens: f64,
    timer_at: Micros,
    next_list_poll_at: Micros,
    list_poll_failures: u32,
    rejecting: bool,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            class_latencies: settings.classes.iter().map(ClassLatency::unknown).collect(),
            endpoints: EndpointIndex::default(),
            settings,
            calls: FxHashMap::default(),
            wait_queue: VecDeque::new(),
            probing_calls: Vec::new(),
            answer_totals: (0.0, 0.0),
            probe_pressure: 1.0,
            groups: BTreeMap::new(),
            load_feedback: LoadFeedback::default(),
            timers: CallTimers::default(),
            goodput: 1.0,
            retry_tokens: MAX_RETRY_TOKENS,
            timer_at: Micros::MAX,
            next_list_poll_at: Micros::MAX,
            list_poll_failures: 0,
            rejecting: false,
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        while let Some(slot) = self.endpoints.overdue_state(now) {
            self.update_state(now, slot);
        }
        match event {
            Event::Start => actions.extend(
                self.settings
                    .poll_endpoint_list
                    .then_some(Action::Subscribe),
            ),
            Event::ProbeCompleted {
                endpoint,
                outcome,
                load,
                ..
            } => self.on_probe_completed(now, endpoint, outcome, load, actions),
            Event::EndpointList { kind, entries } => self.update_endpoint_list(now, kind, &entries),
            Event::Request {
                call,
                class,
                time_left,
                is_retry: resent,
                policy,
                ..
            } if !self.calls.contains_key(&call) => {
                self.on_request(now, call, (class, time_left, !resent), policy, actions);
            }
            Event::Request { .. } => {}
            Event::Outcome {
                call,
                attempt,
                outcome,
                elapsed,
                closed,
                load,
            } => {
                self.record_load_report(now, call, attempt, load);
                if let Some((mut tried, class_id)) = self.record_outcome(call, attempt, outcome) {
                    tried.sent_at = tried.sent_at.min(now.saturating_sub(elapsed));
                    self.learn_from_attempt(now, tried, class_id, outcome, actions);
                    if let Some(slot) = self.endpoints.slot(tried.endpoint) {
                        self.update_state(now, slot);
                    }
                    self.after_attempt(now, call, outcome, closed, actions);
                }
            }
            Event::Streaming { call, attempt } => {
                if let Some(c) = self.calls.get_mut(&call).filter(|c| !c.ended) {
                    c.streaming = true;
                    self.cancel_attempts(call, Some(attempt), actions);
                    self.timers.set(call, None);
                }
            }
            Event::ClientGone { call } => {
                self.finish(call);
                self.cancel_attempts(call, None, actions);
                self.remove_if_finished(call);
            }
            Event::Reconfigure {
                settings,
                redefined_classes: fresh,
            } => self.reconfigure(now, *settings, &fresh),
            Event::Timer => self.timer_at = Micros::MAX,
        }
        self.run_call_timers(now, actions);
        self.dispatch_queue(now, actions);
        if now >= self.next_list_poll_at {
            self.next_list_poll_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    /// What is known of a server; None: nothing.
    pub fn view(&self, now: Micros, endpoint: EndpointId) -> Option<EndpointView> {
        let endpoint = &self.endpoints[self.endpoints.slot(endpoint)?];
        let Endpoint {
            in_flight,
            latency_ratio,
            failure_rate: failing,
            ref limit,
            ..
        } = *endpoint;
        let concurrency = f64::from(limit.steps) * limit.concurrency;
        let (capacity_share, ejected) = (
            endpoint.slow_start_capacity(now, &self.settings.rules),
            limit.steps == 0,
        );
        Some(EndpointView {
            listed: endpoint.listed,
            in_flight,
            concurrency_limit: concurrency,
            latency_ratio,
            failure_rate: failing,
            slow_start_capacity: capacity_share,
            ejected,
        })
    }

    /// Servers that the list names ready, and how many of these are set aside or fail. Never more than half
    /// are set aside, so that alone would not tell of a fleet that fails as a whole.
    pub fn listed(&self) -> (usize, usize) {
        (
            self.endpoints.listed_count(),
            self.endpoints.outlier_count(),
        )
    }

    /// Calls that are known, those in the hold, and the trials, second copies and resends that are saved up.
    pub fn totals(&self) -> (usize, usize, f64) {
        (self.calls.len(), self.wait_queue.len(), self.retry_tokens)
    }

    fn update_endpoint_list(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        entries: &[EndpointEntry],
    ) {
        if kind == ListUpdateKind::Failed {
            // Jitter keeps balancers that lost the list together from asking together again.
            let wait =
                (self.settings.rules.list_poll_interval / 32) << self.list_poll_failures.min(3);
            self.list_poll_failures += 1;
            if self.settings.poll_endpoint_list {
                self.next_list_poll_at =
                    now + wait / 2 + (self.random_unit() * wait as f64) as Micros;
            }
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.list_poll_failures = 0;
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints.begin_full_list();
        }
        for entry in entries {
            let found = self.endpoints.slot(entry.endpoint);
            // A restart under the same number is a new, cold process: nothing learned of the old one holds.
            let same = found.filter(|&slot| entry.started <= self.endpoints[slot].started_at);
            let slot = same.unwrap_or_else(|| {
                let limit = ConcurrencyLimit::new(self.settings.balancers);
                let mut endpoint = Endpoint::new(entry, self.settings.weight_source, limit);
                if let Some(old) = found.map(|slot| &self.endpoints[slot]) {
                    (endpoint.in_flight, endpoint.limit.trial_in_flight) =
                        (old.in_flight, old.limit.trial_in_flight);
                }
                endpoint.preference = self.random.gen();
                self.endpoints.insert(endpoint)
            });
            self.endpoints.mark_listed(slot);
            self.endpoints.relocate(slot, entry.zone, entry.cell);
            self.set_listed(now, slot, entry.status == EndpointStatus::Ready);
        }
        if kind != ListUpdateKind::Delta {
            for slot in self.endpoints.not_in_full_list() {
                self.set_listed(now, slot, false);
            }
        }
        self.endpoints.remove_departed();
    }

    /// Whether a server takes calls, by the list.
    fn set_listed(&mut self, now: Micros, slot: usize, listed: bool) {
        self.endpoints[slot].listed = listed;
        if !listed {
            self.endpoints.mark_departing(slot);
        }
        self.update_state(now, slot);
    }

    /// Notes where a server stands after a change to it.
    fn update_state(&mut self, now: Micros, slot: usize) {
        let state =
            self.endpoints[slot].state(now, &self.settings.rules, self.longest_expected_latency());
        self.endpoints.set_state(slot, state);
    }

    /// Classes that stay keep what was learned of them. Open calls carry their own class and terms with them.
    fn reconfigure(&mut self, now: Micros, settings: Settings, fresh: &[ClassId]) {
        let known = self.class_latencies.len();
        self.class_latencies.extend(
            settings
                .classes
                .iter()
                .skip(known)
                .map(ClassLatency::unknown),
        );
        for &ClassId(slot) in fresh {
            if let (Some(latency), Some(class)) = (
                self.class_latencies.get_mut(slot),
                settings.classes.get(slot),
            ) {
                *latency = ClassLatency::unknown(class);
            }
        }
        self.settings = settings;
        for slot in self.endpoints.slots() {
            self.update_state(now, slot);
        }
    }

    // Calls.

    fn on_request(
        &mut self,
        now: Micros,
        id: CallId,
        (class, left, lot): (ClassId, Micros, bool),
        policy: CallPolicy,
        actions: &mut Actions,
    ) {
        // A class that the settings do not name is unsafe.
        let unknown = Class {
            latency_objective: left,
            deadline: left,
            ..Class::default()
        };
        let mut spec = self
            .settings
            .classes
            .get(class.0)
            .copied()
            .unwrap_or(unknown);
        if policy.non_idempotent {
            spec.idempotency = Idempotency::NonIdempotent;
        }
        // Settings may change while it is open: what they allow now is its own from here on.
        let limits = &self.settings.limits;
        let hedge = if limits.hedging {
            policy.hedge
        } else {
            Hedge::Never
        };
        let policy = CallPolicy {
            max_attempts: policy.max_attempts.min(limits.max_attempts),
            hedge,
            ..policy
        };
        let call = Call {
            class: spec,
            class_id: class.0,
            policy,
            arrived_at: now,
            first_tried_at: now.saturating_sub(self.time_already_spent(class.0, &spec, left)),
            deadline: now.saturating_add(left),
            may_draw_slow_start: lot,
            admission_draw: self.random_unit(),
            ..Call::default()
        };
        self.calls.insert(id, call);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
        self.class_latencies
            .iter_mut()
            .skip(class.0)
            .take(1)
            .for_each(|p| p.requests += 1.0);
        let waited = self
            .wait_queue
            .front()
            .map_or(0, |head| now.saturating_sub(self.calls[head].arrived_at));
        if waited > self.max_queue_wait(id) {
            self.give_up(id, waited, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long ago did the client first ask? One that waits less for this try than others do has used up the
    /// rest. Only as many are taken to have tried before as were turned back: patience may be unequal.
    fn time_already_spent(&mut self, class_id: usize, class: &Class, left: Micros) -> Micros {
        let Some(latency) = self.class_latencies.get_mut(class_id) else {
            return 0;
        };
        latency.longest_timeout = latency.longest_timeout.max(left);
        if left as f64 >= latency.longest_timeout as f64 * SAME_TIMEOUT_SHARE
            || latency.unserved == 0
        {
            return 0;
        }
        latency.unserved -= 1;
        class.deadline.saturating_sub(left)
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be served
    /// late. Classes of much worth for their work wait longest.
    fn max_queue_wait(&self, id: CallId) -> Micros {
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let objective = call.objective_deadline().saturating_sub(call.arrived_at) as f64;
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0) as f64;
        let limit = objective.min(QUEUE_WAIT_OBJECTIVES * shortest) * QUEUE_WAIT_SHARE;
        let protected = if self.is_protected(call) {
            objective - LATENCY_MARGIN * expected
        } else {
            0.0
        };
        limit.max(protected).min(objective - expected).max(0.0) as Micros
    }

    fn is_protected(&self, call: &Call) -> bool {
        let all = self.class_latencies.iter().zip(&self.settings.classes);
        let (worth, work) = all.fold((0.0, 0.0), |(w, t), (p, c)| {
            (
                w + p.requests * c.priority_weight,
                t + p.requests * p.unloaded,
            )
        });
        let base = self
            .class_latencies
            .get(call.class_id)
            .map_or(f64::MAX, |p| p.unloaded);
        let density = call.class.priority_weight / base * work / worth.max(f64::MIN_POSITIVE);
        let goal = &self.settings.goal;
        goal.overall * density > goal.overall + goal.worst_class
    }

    fn expected_latency(&self, class_id: usize, objective: Micros) -> f64 {
        self.class_latencies
            .get(class_id)
            .map_or(objective as f64 / 4.0, |p| p.mean)
    }

    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the front.
    fn enqueue(&mut self, now: Micros, id: CallId, again: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.queued = true;
        call.probed_endpoints.clear();
        let (class_id, objective, end) = (
            call.class_id,
            call.class.latency_objective,
            call.objective_deadline(),
        );
        // Its way out: when a usual answer could not come in time, and always before the client gives up.
        let wake = end
            .saturating_sub(self.expected_latency(class_id, objective) as Micros)
            .max(now + 1);
        let shed = self.is_sparse() && self.calls[&id].full_probe_rounds == 0;
        let wake = if shed {
            wake.min(now + self.max_queue_wait(id))
        } else {
            wake
        };
        let last = self.calls[&id]
            .deadline
            .saturating_sub(self.settings.tick)
            .max(now);
        self.timers.set(id, Some(wake.min(last)));
        if again {
            self.wait_queue.push_front(id);
        } else {
            self.wait_queue.push_back(id);
        }
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    fn record_outcome(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<(Attempt, usize)> {
        let call = self.calls.get_mut(&id)?;
        let tried = call
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.execution == Execution::InFlight)?;
        tried.execution = if outcome.proves_not_executed() {
            Execution::NotExecuted
        } else {
            Execution::MaybeExecuted
        };
        Some((*tried, call.class_id))
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    fn after_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        closed: bool,
        actions: &mut Actions,
    ) {
        if closed || outcome == Outcome::Served {
            self.goodput += (1.0 - self.goodput) * SMOOTHING;
            self.finish(id);
            self.cancel_attempts(id, None, actions);
        } else if self
            .calls
            .get(&id)
            .is_some_and(|c| !c.ended && !c.queued && !c.backing_off && c.attempts_in_flight() == 0)
        {
            self.retry_or_give_up(now, id, outcome, actions);
        }
        self.remove_if_finished(id);
    }

    /// As many waiting as in work, or nearly all cores busy, is as much as an answer at its limit.
    fn record_load_report(&mut self, now: Micros, id: CallId, attempt: u32, load: LoadReport) {
        let Some(tried) = self
            .calls
            .get(&id)
            .and_then(|c| c.attempts.get(attempt as usize))
        else {
            return;
        };
        let Some(slot) = self.endpoints.slot(tried.endpoint) else {
            return;
        };
        let congestion = match load {
            LoadReport {
                in_flight: Some(all),
                queued: Some(waiting),
                ..
            } => waiting / (all - waiting).max(1.0),
            LoadReport {
                cpu_utilization: Some(busy),
                ..
            } => busy / CPU_UTILIZATION_LIMIT,
            _ => return,
        };
        let congestion = if congestion.is_finite() {
            congestion.clamp(0.0, crowd::MAX_CONGESTION)
        } else {
            0.0
        };
        self.endpoints[slot].reported_congestion = congestion;
        // How busy cores are tells of no crowd: they are all busy long before one waits.
        if load.queued.is_some() && self.is_sparse() {
            self.load_feedback
                .record(now, &mut self.endpoints[slot].last_sample, congestion);
        }
    }

    /// What a server's answer, or its absence, teaches.
    fn learn_from_attempt(
        &mut self,
        now: Micros,
        tried: Attempt,
        class_id: usize,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let Attempt {
            endpoint: id,
            sent_at: sent,
            is_trial: trial,
            ..
        } = tried;
        let elapsed = now.saturating_sub(sent);
        let (first, longest, longest_aim) = (
            self.first_backoff(),
            self.longest_expected_latency(),
            self.longest_objective(),
        );
        let (may_set_aside, sparse) = (self.may_eject(), self.is_sparse());
        let Some(slot) = self.endpoints.slot(id) else {
            return;
        };
        let latency = self.class_latencies.get_mut(class_id);
        let objective = self
            .settings
            .classes
            .get(class_id)
            .map_or(f64::MAX, |c| c.latency_objective as f64);
        let limit = latency.as_ref().map_or(f64::MAX, |p| {
            (p.unloaded * LATENCY_LIMIT_FACTOR)
                .min(objective * LATENCY_LIMIT_SHARE)
                .max(p.unloaded)
        });
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let late = if outcome == Outcome::TimedOut && endpoint.last_served_at > sent {
            2.0
        } else {
            0.0
        };
        let mut latency_ratio = (elapsed as f64 / limit).clamp(late, 4.0);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if endpoint.last_served_at > sent => false,
            Outcome::Cancelled | Outcome::NotSent => {
                // A loser called off was at least this slow.
                endpoint.latency_ratio +=
                    (latency_ratio - endpoint.latency_ratio).max(0.0) * SMOOTHING;
                endpoint.limit.trial_in_flight &= !trial;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long. So does a
        // reset, which tells of one connection: those of a server that is gone come in numbers.
        let unclear = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let weight = if unclear {
            FAILURE_WEIGHT / 2.0
        } else {
            FAILURE_WEIGHT
        };
        endpoint.failure_rate += (f64::from(u8::from(failed)) - endpoint.failure_rate) * weight;
        let endpoint_group =
            self.groups
                .entry((endpoint.zone, endpoint.kind))
                .or_insert(EndpointGroup {
                    latency_ratio,
                    admitted_share: 1.0,
                });
        let seen = if failed {
            SEVERE_LATENCY_RATIO * 2.0
        } else {
            latency_ratio
        };
        endpoint_group.latency_ratio += (seen - endpoint_group.latency_ratio) * SMOOTHING;
        let change = (SEVERE_LATENCY_RATIO - seen).max(-SEVERE_LATENCY_RATIO) * SMOOTHING;
        endpoint_group.admitted_share =
            (endpoint_group.admitted_share * change.exp()).clamp(SMOOTHING / 2.0, 1.0);
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(endpoint.last_ended_at) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        endpoint.last_ended_at = now;
        if !failed {
            latency_ratio = latency_ratio.max(endpoint.reported_congestion);
            endpoint.latency_ratio += (latency_ratio - endpoint.latency_ratio) * weight;
            endpoint.answers_since_change += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        if let Some(latency) = latency.filter(|_| !failed) {
            latency.record(now, elapsed as f64);
        }
        if tried.load_at_send > 0.0 && matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let faded = 1.0 - SMOOTHING / 2.0;
            self.answer_totals = (
                self.answer_totals.0 * faded + elapsed as f64,
                self.answer_totals.1 * faded + tried.load_at_send,
            );
        }
        if outcome == Outcome::Served {
            endpoint.last_served_at = now;
        }
        // What is crowded most tells nothing: it answers nothing in time, or turns away unseen.
        if sparse && matches!(outcome, Outcome::TimedOut | Outcome::Rejected) {
            self.load_feedback
                .record_overload(now, &mut endpoint.last_sample);
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
        if outcome == Outcome::Rejected {
            endpoint.limit.decrease(REJECTION_DECREASE, 0.0);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            endpoint.paused_until = endpoint.paused_until.max(now + longest as Micros);
        } else if endpoint.latency_ratio > 1.0 && endpoint.has_enough_answers(now, longest) {
            let floor = endpoint.limit.min_limit
                * if endpoint.latency_ratio > SEVERE_LATENCY_RATIO {
                    MAX_DECREASE / 2.0
                } else {
                    1.0
                };
            endpoint.limit.decrease(1.0 / endpoint.latency_ratio, floor);
            // The cut answers for part of it: else one jam would be cut for again and again.
            endpoint.latency_ratio = endpoint.latency_ratio.sqrt();
            (endpoint.answers_since_change, endpoint.limit_changed_at) = (0, now);
        }
        let was_up = endpoint.limit.steps > 0;
        // A broken connection is not the end of a server that answers: its failures are counted.
        let (refused, broke) = (outcome == Outcome::ConnectFailed, outcome == Outcome::Reset);
        if refused || broke {
            let in_row =
                endpoint.last_served_at <= std::mem::replace(&mut endpoint.last_broken_at, now);
            let last = may_set_aside && in_row && (refused || endpoint.last_served_at == 0);
            if (refused || in_row) && (endpoint.limit.steps > 1 || last) {
                endpoint.limit.steps = endpoint.limit.steps.saturating_sub(1);
            }
        }
        endpoint.limit.trial_in_flight &= !trial;
        if trial {
            if outcome != Outcome::Served {
                endpoint.limit.start_backoff(now, first);
            } else if was_up && endpoint.latency_ratio > 1.0 {
                endpoint.limit.backoff_until = now + first;
            } else if was_up || endpoint.failure_rate < FAILURE_RATE_LIMIT / 2.0 {
                endpoint.limit.record_served_trial();
                (endpoint.answers_since_change, endpoint.limit_changed_at) = (0, now);
                if !was_up {
                    actions.push(Action::Log {
                        text: format!("server {} taken back", endpoint.id.0),
                    });
                }
            } else {
                // One good answer of a server that fails most does not bring it back: several in a row do.
                endpoint.limit.backoff_doublings = 0;
            }
        }
        // Fast errors and refusals make a server look idle.
        if was_up && endpoint.failure_rate > FAILURE_RATE_LIMIT && may_set_aside {
            endpoint.limit.steps = 0;
        }
        if was_up && endpoint.limit.steps == 0 {
            endpoint.limit.start_backoff(now, first);
            endpoint.latency_ratio = 1.0;
            actions.push(Action::Log {
                text: format!("server {} set aside", endpoint.id.0),
            });
        }
    }

    /// Never most of the fleet: trouble seen everywhere is not the servers' own.
    fn may_eject(&self) -> bool {
        (self.endpoints.ejected_count() + 1) * 2 <= self.endpoints.listed_count()
    }

    /// After an attempt that did not serve: again, or the end.
    fn retry_or_give_up(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let next = now.saturating_add(self.calls[&id].policy.backoff);
        let some = match self.allowed_endpoints(next, id) {
            Some(AllowedEndpoints::All) => self.endpoints.listed_count() > 0,
            Some(AllowedEndpoints::Only(slots)) => !slots.is_empty(),
            None => false,
        };
        let call = &self.calls[&id];
        let in_time = next as f64
            + self.expected_latency(call.class_id, call.class.latency_objective)
            < call.objective_deadline() as f64;
        let allowed =
            call.policy.retry_on == RetryOn::AnyFailure || call.first_maybe_executed().is_none();
        let paid = self.retry_tokens >= 1.0 || outcome == Outcome::ConnectFailed;
        if !(in_time
            && some
            && allowed
            && call.may_have_another_attempt()
            && paid
            && !call.streaming)
        {
            self.give_up(id, 0, actions);
            return;
        }
        self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
        match self.calls.get_mut(&id) {
            Some(call) if call.policy.backoff > 0 => {
                call.backing_off = true;
                self.timers.set(id, Some(next));
            }
            _ => self.enqueue(now, id, true),
        }
    }

    fn give_up(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let class_id = self.calls[&id].class_id;
        self.class_latencies
            .iter_mut()
            .skip(class_id)
            .take(1)
            .for_each(|p| p.unserved += 1);
        self.goodput -= self.goodput * SMOOTHING;
        if self.calls[&id].may_be_rejected() {
            let retry_after = retry_after.min(self.settings.limits.max_retry_after);
            actions.push(Action::Reject {
                call: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { call: id });
        }
        self.finish(id);
        self.cancel_attempts(id, None, actions);
        self.remove_if_finished(id);
    }

    fn finish(&mut self, id: CallId) {
        self.timers.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.ended = true;
        call.probed_endpoints.clear();
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.wait_queue.iter().position(|&held| held == id) {
                self.wait_queue.remove(index);
            }
        }
    }

    fn cancel_attempts(&mut self, id: CallId, but: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else {
            return;
        };
        let out = (0..)
            .zip(&call.attempts)
            .filter(|(n, a)| a.execution == Execution::InFlight && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    fn remove_if_finished(&mut self, id: CallId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|c| c.ended && c.attempts_in_flight() == 0)
        {
            self.calls.remove(&id);
        }
    }

    /// Where a call may go by what it has run: anywhere, to those that drop its repeats, or nowhere. Proof
    /// over all its attempts decides, never the last outcome alone.
    fn allowed_endpoints(&mut self, now: Micros, id: CallId) -> Option<AllowedEndpoints> {
        let call = &self.calls[&id];
        match (call.first_maybe_executed(), call.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Some(AllowedEndpoints::All),
            (Some(_), Idempotency::NonIdempotent) => None,
            (Some(first), Idempotency::Keyed { scope, window })
                if now.saturating_add(self.settings.tick)
                    < first.sent_at.saturating_add(window) =>
            {
                let slot = (scope, first.zone, first.cell);
                Some(self.endpoints.sharing_dedup_scope(&mut self.random, slot))
            }
            _ => None,
        }
    }

    /// Are there servers among these that none of the call's attempts went to?
    fn has_untried_endpoint(
        &self,
        call: &Call,
        set: CandidateSet,
        allowed: &AllowedEndpoints,
    ) -> bool {
        let in_set = |slot: usize| self.endpoints.contains(set, slot);
        if call.attempts.is_empty() {
            return true;
        }
        match allowed {
            AllowedEndpoints::Only(slots) => slots
                .iter()
                .any(|&p| in_set(p) && call.has_not_tried(&self.endpoints[p])),
            AllowedEndpoints::All => {
                let tried = call.attempts.iter().enumerate().filter(|(n, a)| {
                    let first = call.attempts[..*n].iter().all(|b| b.endpoint != a.endpoint);
                    first && self.endpoints.slot(a.endpoint).is_some_and(in_set)
                });
                tried.count() < self.endpoints.count(set)
            }
        }
    }

    fn route(&mut self, now: Micros, id: CallId) -> Route {
        let rules = self.settings.rules;
        let listed = self.endpoints.listed_count();
        if listed > 0 && self.endpoints.ejected_count() == listed {
            let wait = self.endpoints.first_recovery_at().saturating_sub(now);
            return Route::Reject {
                retry_after: wait.max(self.first_backoff()),
            };
        }
        let open = self.endpoints.count(CandidateSet::WithCapacity)
            + self.endpoints.count(CandidateSet::TrialAllowed)
            + self.endpoints.count(CandidateSet::SlowStart);
        if open == 0 {
            return Route::Queue;
        }
        if let Some(endpoint) = self.draw_slow_start(now, id) {
            return Route::Send {
                endpoint,
                trial: false,
            };
        }
        let Some(allowed) = self.allowed_endpoints(now, id) else {
            return Route::Queue;
        };
        // Cold ones only if no other is listed. That the others fail or are full for now is no reason: all
        // proxies find so together, and what the whole fleet bears would go to the few that bear least.
        let (up, room) = match self.endpoints.count(CandidateSet::SlowStart) {
            cold if cold == listed => (CandidateSet::SlowStart, CandidateSet::SlowStart),
            _ => (CandidateSet::Available, CandidateSet::WithCapacity),
        };
        let fresh = self.has_untried_endpoint(&self.calls[&id], up, &allowed);
        let sparse = self.is_sparse();
        let Balancer {
            endpoints,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Endpoint| {
            let endpoint_group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.admitted_share >= call.admission_draw)
            };
            s.is_usable(now) && (!fresh || call.has_not_tried(s)) && (!sparse || endpoint_group())
        };
        let with_room = |s: &Endpoint| fits(s) && !s.at_limit(now, &rules);
        // A stable few, more when they were full: they bound connections, and what they show is fresh.
        let few = PREFERRED_ENDPOINTS << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS);
        // Not the own zone first: what a zone's proxies ask for is no measure of what its servers bear, no
        // proxy sees the others', and full servers cost more than crossing does.
        let stable = if sparse {
            endpoints.by_own_preference((room, &allowed), few, with_room)
        } else {
            Vec::new()
        };
        let first = if sparse {
            if let Some(candidates) = (!stable.is_empty())
                .then(|| self.endpoints_to_probe(now, id, &stable))
                .flatten()
            {
                return if candidates.is_empty() {
                    Route::Queue
                } else {
                    Route::Probe { candidates }
                };
            }
            self.two_choices(now, &stable)
        } else {
            // Two of all that are up; one that is full is redrawn among those with room.
            let pair = endpoints.draw(random, (up, &allowed), 2, fits);
            let first = self
                .least_loaded(now, &pair)
                .filter(|&endpoint| !self.endpoints[endpoint].at_limit(now, &rules));
            first.or_else(|| {
                let Balancer {
                    endpoints,
                    calls,
                    random,
                    ..
                } = self;
                let call = &calls[&id];
                let fits = |s: &Endpoint| {
                    s.is_usable(now)
                        && (!fresh || call.has_not_tried(s))
                        && !s.at_limit(now, &rules)
                };
                let pair = endpoints.draw(random, (room, &allowed), 2, fits);
                self.least_loaded(now, &pair)
            })
        };
        if let Some(endpoint) = first {
            let (slot, call) = (&self.endpoints[endpoint], &self.calls[&id]);
            let congestion = self
                .load_feedback
                .expected_congestion(now, slot.last_sample);
            if sparse
                && call.attempts.is_empty()
                && call.admission_draw < shed_probability(congestion)
            {
                return Route::Shed {
                    retry_after: self.first_backoff(),
                };
            }
            return Route::Send {
                endpoint,
                trial: false,
            };
        }
        let Balancer {
            endpoints,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Endpoint| {
            let endpoint_group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.admitted_share >= call.admission_draw)
            };
            (!fresh || call.has_not_tried(s)) && (!sparse || endpoint_group())
        };
        let pair = endpoints.draw(random, (CandidateSet::TrialAllowed, &allowed), 2, fits);
        self.least_loaded(now, &pair)
            .map_or(Route::Queue, |endpoint| Route::Send {
                endpoint,
                trial: true,
            })
    }

    /// Servers to ask before this call goes: a balancer of little traffic knows nothing fresh of nearly all.
    fn endpoints_to_probe(
        &mut self,
        now: Micros,
        id: CallId,
        room: &[usize],
    ) -> Option<Vec<usize>> {
        let (limits, reports) = (self.settings.limits, self.settings.load_reporting);
        let told =
            limits.probes && reports.mode == ReportMode::OnProbe && reports.includes_in_flight;
        let most = (PROBE_COST_LIMIT / self.settings.costs.probe.max(f64::MIN_POSITIVE)) as usize;
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let in_time =
            (now + self.probe_timeout(call)) as f64 + expected < call.objective_deadline() as f64;
        if !told || !self.is_sparse() || most < 2 || !in_time {
            // What has found all full does not go blindly in the end.
            return (call.full_probe_rounds > 0).then(Vec::new);
        }
        // Half full, all calls ask. An idle fleet needs less; some ask all the same, to learn when that ends.
        if call.full_probe_rounds == 0
            && call.admission_draw > (self.probe_pressure * 2.0).powi(2).max(SMOOTHING)
        {
            return None;
        }
        Some(self.draw(
            room,
            if call.next_probe_at > now {
                0
            } else {
                most.min(MAX_PROBES)
            },
        ))
    }

    /// Is an even part of a server's calls under one? Then own calls in flight tell little.
    fn is_sparse(&self) -> bool {
        let balancers = f64::from(self.settings.balancers);
        balancers > INITIAL_CONCURRENCY && balancers > self.endpoints.listed_count() as f64
    }

    fn probe_timeout(&self, call: &Call) -> Micros {
        ((call.class.latency_objective as f64 * PROBE_TIMEOUT_SHARE) as Micros)
            .max(self.settings.tick)
    }

    fn start_probing(
        &mut self,
        now: Micros,
        id: CallId,
        candidates: &[usize],
        actions: &mut Actions,
    ) {
        let wake = now + self.probe_timeout(&self.calls[&id]);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        (call.probed_endpoints, call.probes_sent_at) = (
            candidates.iter().map(|&i| self.endpoints[i].id).collect(),
            now,
        );
        actions.extend(
            call.probed_endpoints
                .iter()
                .map(|&endpoint| Action::Probe { endpoint }),
        );
        self.probing_calls.push(id);
        self.timers.set(id, Some(wake));
    }

    /// A server told its load, or did not answer: then it is taken for the most loaded.
    fn on_probe_completed(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: Outcome,
        load: LoadReport,
        actions: &mut Actions,
    ) {
        let Some(slot) = self.endpoints.slot(id) else {
            return;
        };
        let told = load
            .in_flight
            .filter(|l| outcome == Outcome::Served && l.is_finite());
        let endpoint = &mut self.endpoints[slot];
        (endpoint.reported_in_flight, endpoint.probed_at) =
            (told.map_or(f64::MAX, |l| l.max(0.0)), now);
        for call in std::mem::take(&mut self.probing_calls) {
            let Some(c) = self
                .calls
                .get(&call)
                .filter(|c| !c.probed_endpoints.is_empty())
            else {
                continue;
            };
            let waits = |&id: &EndpointId| {
                self.endpoints
                    .slot(id)
                    .is_some_and(|p| self.endpoints[p].probed_at < c.probes_sent_at)
            };
            if c.probed_endpoints.iter().any(waits) {
                self.probing_calls.push(call);
            } else {
                self.finish_probing(now, call, actions);
            }
        }
    }

    /// The servers asked have told their load, or time is up: the call goes to the less loaded.
    fn finish_probing(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (asked, since) = (
            std::mem::take(&mut call.probed_endpoints),
            call.probes_sent_at,
        );
        let (rules, most, allowed) = (
            self.settings.rules,
            self.load_limit(id),
            self.allowed_endpoints(now, id),
        );
        // One that has started anew meanwhile is cold: it gets lots, and no more.
        let cold_only =
            self.endpoints.count(CandidateSet::SlowStart) == self.endpoints.listed_count();
        let mut slots = Vec::new();
        for endpoint in asked {
            let Some(slot) = self.endpoints.slot(endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[slot];
            if endpoint.probed_at < since {
                (endpoint.reported_in_flight, endpoint.probed_at) = (f64::MAX, now);
            }
            let (endpoint, load) = (
                &self.endpoints[slot],
                self.endpoints[slot].projected_load(now, &rules),
            );
            let held = endpoint.reported_in_flight / (endpoint.reported_in_flight + 1.0);
            self.probe_pressure +=
                ((held * load / most).min(1.0) - self.probe_pressure) * SMOOTHING;
            // What all balancers hold there counts against the budget of all: else each adds its one call.
            let room = !endpoint.at_limit(now, &rules)
                && (load <= most || endpoint.reported_in_flight < 1.0);
            let warm = cold_only || endpoint.slow_start_capacity(now, &rules) >= 1.0;
            if warm
                && room
                && endpoint.is_usable(now)
                && allowed.as_ref().is_some_and(|d| d.contains(slot))
            {
                slots.push(slot);
            }
        }
        match self.least_loaded(now, &slots) {
            Some(endpoint) => self.send(now, id, endpoint, false, actions),
            None if self.calls[&id].attempts_in_flight() > 0 => {}
            None => {
                let wait = self.probe_timeout(&self.calls[&id]);
                if let Some(call) = self.calls.get_mut(&id) {
                    call.next_probe_at =
                        now + (wait << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS));
                    call.full_probe_rounds += 1;
                }
                self.enqueue(now, id, true);
            }
        }
    }

    /// Calls in hand for a server's size at which this call would take too long, learned from all servers'
    /// answers as one. It starts as if some had shown the start figure: all come before it is learned.
    fn load_limit(&self, id: CallId) -> f64 {
        let start = INITIAL_CONCURRENCY * self.endpoints.listed_count() as f64
            / self.endpoints.total_size().max(f64::MIN_POSITIVE);
        let objective = self.calls[&id].class.latency_objective as f64 * LOAD_LIMIT_SHARE;
        let (time, load) = (
            self.answer_totals.0 + objective / SMOOTHING,
            self.answer_totals.1 + start / SMOOTHING,
        );
        objective * load / time.max(1.0)
    }

    /// All balancers hear of a cold server together, and each finds it idle. It gets calls by lot,
    /// with the chance of its present share of the capacity. Repeats draw none: they come in storms. Where
    /// they are not marked, or balancers are many, the share of calls that are served bounds it: all together
    /// serve no more than all servers can do, so that the lots of all balancers stay within a cold server's
    /// part of that, however often clients ask (`tests/cold.rs`).
    fn draw_slow_start(&mut self, now: Micros, id: CallId) -> Option<usize> {
        let call = self
            .calls
            .get_mut(&id)
            .filter(|c| c.may_draw_slow_start && c.attempts.is_empty())?;
        call.may_draw_slow_start = false;
        if self.endpoints.count(CandidateSet::SlowStart) == 0 {
            return None;
        }
        let (lot, rules) = (self.random_unit(), self.settings.rules);
        let cold = self.endpoints.slow_start_size(now, &rules);
        let all = self.endpoints.total_size() - self.endpoints.slow_start_full_size() + cold;
        // First tries alone draw lots where repeats are marked: a few balancers' stay within bounds by that.
        let first_alone = self.settings.clients_mark_retries && !self.is_sparse();
        let goodput = if first_alone {
            1.0
        } else {
            self.goodput.max(MIN_GOODPUT)
        };
        if lot * all >= cold * SLOW_START_DRAW_FACTOR * goodput {
            return None;
        }
        let Balancer {
            endpoints, random, ..
        } = self;
        let slot = endpoints.draw_slow_start(random, |s| s.slow_start_capacity(now, &rules))?;
        let endpoint = &self.endpoints[slot];
        (endpoint.is_usable(now) && !endpoint.at_limit(now, &rules)).then_some(slot)
    }

    fn two_choices(&mut self, now: Micros, set: &[usize]) -> Option<usize> {
        let pair = self.draw(set, 2);
        self.least_loaded(now, &pair)
    }

    /// Random servers, each with a chance in proportion to its size.
    fn draw(&mut self, set: &[usize], count: usize) -> Vec<usize> {
        let Balancer {
            endpoints, random, ..
        } = self;
        let drawn = set.choose_multiple_weighted(random, count, |&i| endpoints[i].size);
        drawn
            .map(|slots| slots.copied().collect())
            .unwrap_or_default()
    }

    /// The less loaded by own calls in flight; what servers told, then the strain expected break ties.
    fn least_loaded(&self, now: Micros, set: &[usize]) -> Option<usize> {
        let rules = &self.settings.rules;
        let load = |i: usize| {
            let endpoint = &self.endpoints[i];
            (
                endpoint.in_flight,
                endpoint.projected_load(now, rules),
                self.expected_latency_ratio(now, endpoint),
            )
        };
        set.iter()
            .copied()
            .reduce(|a, b| if load(b) < load(a) { b } else { a })
    }

    /// The strain to expect: a server's own of late, its group's the longer ago that was.
    fn expected_latency_ratio(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let known = (-(now.saturating_sub(endpoint.last_ended_at) as f64)
            / (OWN_LATENCY_MEMORY * self.longest_objective()))
        .exp();
        let endpoint_group = self
            .groups
            .get(&(endpoint.zone, endpoint.kind))
            .map_or(0.0, |g| g.latency_ratio);
        endpoint.latency_ratio * known + endpoint_group * (1.0 - known)
    }

    fn send(&mut self, now: Micros, id: CallId, slot: usize, trial: bool, actions: &mut Actions) {
        let fresh_for = self.probe_timeout(&self.calls[&id]);
        let endpoint = &mut self.endpoints[slot];
        let fresh = endpoint.probed_at != 0
            && endpoint.reported_in_flight < f64::MAX
            && endpoint.probed_at + fresh_for > now;
        let load = if fresh {
            endpoint.projected_load(now, &self.settings.rules)
        } else {
            0.0
        };
        endpoint.in_flight += 1;
        endpoint.reported_in_flight += 1.0;
        endpoint.limit.trial_in_flight |= trial;
        self.update_state(now, slot);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let &Endpoint {
            id: endpoint,
            zone,
            cell,
            ..
        } = &self.endpoints[slot];
        let effect = Execution::InFlight;
        let start_by = match (call.first_maybe_executed(), call.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => {
                Some(first.sent_at.saturating_add(window))
            }
            _ => None,
        };
        call.attempts.push(Attempt {
            endpoint,
            zone,
            cell,
            sent_at: now,
            is_trial: trial,
            load_at_send: load,
            execution: effect,
        });
        let (attempt_count, class_id, policy) = (call.attempts.len(), call.class_id, call.policy);
        // An answer after the aim is worth little: its server is better used by others.
        let (objective, arrived) = (call.objective_deadline(), call.arrived_at);
        let (deadline, expected) = (
            call.deadline,
            self.expected_latency(class_id, self.calls[&id].class.latency_objective),
        );
        let until =
            (objective < deadline && objective as f64 > now as f64 + expected).then_some(objective);
        let most = Some(now.saturating_add(policy.attempt_timeout)).filter(|&at| at < deadline);
        let until = until.into_iter().chain(most).min();
        actions.push(Action::Send {
            call: id,
            endpoint,
            attempt_deadline: until,
            start_by,
        });
        // A second copy as late as can be in time, but not before the first is slow.
        let copy_at =
            (objective as f64 - LATENCY_MARGIN * expected).max(arrived as f64 + 1.5 * expected);
        let auto = (!self.is_sparse() && copy_at + expected <= objective as f64)
            .then_some(copy_at as Micros);
        let share = |share| {
            self.class_latencies
                .get(class_id)
                .and_then(|p| p.quantile(share))
        };
        let copy_at = match policy.hedge {
            Hedge::Never => None,
            Hedge::Auto => auto,
            Hedge::After(wait) => Some(now.saturating_add(wait)),
            Hedge::Quantile(part) => {
                share(part).map_or(auto, |wait| Some(now.saturating_add(wait as Micros)))
            }
        };
        let copy = copy_at.filter(|&at| attempt_count == 1 && at < deadline);
        self.timers.set(id, copy.map(|at| at.max(now + 1)));
    }

    fn dispatch_queue(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(slot) = self
            .endpoints
            .recovery_due(now)
            .filter(|_| !self.wait_queue.is_empty())
        {
            let mut held = self.wait_queue.iter().take(QUEUE_SCAN);
            let Some(index) = held.position(|id| self.may_try_recovery(&self.calls[id])) else {
                break;
            };
            let id = self.wait_queue[index];
            self.dequeue(index);
            self.send(now, id, slot, true, actions);
        }
        let mut index = 0;
        while let Some(&id) = self.wait_queue.get(index) {
            match self.route(now, id) {
                Route::Send { endpoint, trial } => {
                    self.dequeue(index);
                    self.send(now, id, endpoint, trial, actions);
                    self.rejecting = false;
                }
                Route::Probe { candidates } => {
                    self.dequeue(index);
                    self.start_probing(now, id, &candidates, actions);
                }
                Route::Shed { retry_after } => self.give_up(id, retry_after, actions),
                Route::Reject { retry_after } => {
                    if !std::mem::replace(&mut self.rejecting, true) {
                        actions.push(Action::Log {
                            text: "no endpoint is up: refusing".to_owned(),
                        });
                    }
                    self.give_up(id, retry_after, actions);
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Queue
                    if self.calls[&id].first_maybe_executed().is_some() && index < QUEUE_SCAN =>
                {
                    index += 1;
                }
                Route::Queue => break,
            }
        }
    }

    /// A set-aside server is tried by a call that can go again, where the site has such calls.
    fn may_try_recovery(&self, call: &Call) -> bool {
        let repeats = |c: &Class| c.idempotency != Idempotency::NonIdempotent;
        // Else trials of many servers set aside would take most calls, or those of a quiet balancer.
        let few = !self.is_sparse() && self.endpoints.ejected_count() <= FEW_EJECTED
            || call.admission_draw < SMOOTHING;
        few && call.attempts.is_empty()
            && (repeats(&call.class) || !self.settings.classes.iter().any(repeats))
    }

    fn dequeue(&mut self, index: usize) {
        if let Some(call) = self
            .wait_queue
            .remove(index)
            .and_then(|id| self.calls.get_mut(&id))
        {
            call.queued = false;
        }
    }

    fn run_call_timers(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(id) = self.timers.pop(now) {
            if self.calls[&id].queued {
                self.give_up(id, 0, actions);
            } else if !self.calls[&id].probed_endpoints.is_empty() {
                self.finish_probing(now, id, actions);
            } else if self
                .calls
                .get_mut(&id)
                .is_some_and(|c| std::mem::take(&mut c.backing_off))
            {
                self.enqueue(now, id, true);
            } else {
                self.hedge(now, id, actions);
            }
        }
    }

    /// A second copy for a call that is late on a server that may have stalled.
    fn hedge(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let more = call.may_have_another_attempt() && call.attempts_in_flight() == 1;
        let spare = self.retry_tokens >= 1.0 && self.wait_queue.is_empty() && !call.streaming;
        if !more || !spare {
            return;
        }
        match self.route(now, id) {
            Route::Send {
                endpoint,
                trial: false,
            } => self.send(now, id, endpoint, false, actions),
            _ => return,
        }
        self.retry_tokens -= 1.0;
    }

    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self
            .next_list_poll_at
            .min(self.timers.next().unwrap_or(Micros::MAX));
        if !self.wait_queue.is_empty() {
            let due = self.endpoints.next_state_change().into_iter();
            let asks = self
                .wait_queue
                .front()
                .map(|id| self.calls[id].next_probe_at)
                .filter(|&at| at > now);
            next = due.chain(asks).fold(next, Micros::min);
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake {
                after: next.saturating_sub(now).max(1),
            });
        }
    }

    fn first_backoff(&self) -> Micros {
        ((self.longest_objective() * FIRST_BACKOFF_SHARE) as Micros).max(1_000)
    }

    fn longest_objective(&self) -> f64 {
        self.settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .max()
            .unwrap_or(0)
            .max(1) as f64
    }

    fn longest_expected_latency(&self) -> f64 {
        self.class_latencies
            .iter()
            .map(|p| p.mean)
            .fold(1.0, f64::max)
    }

    /// A random number from 0 to 1.
    fn random_unit(&mut self) -> f64 {
        self.random.gen()
    }
}
