//! Events in, actions out: the balancer's state and the order in which its decisions are taken at an event.
//! The interface is `src/api.rs`; the mechanism and the condition of each departure from it are in `docs/design.md`.

mod admission;
mod attempts;
pub(crate) mod concurrency_limit;
mod feedback;
mod hedging;
mod load_probe;
mod membership;
mod outlier_detection;
mod retry;
mod selection;
mod slow_start;
mod timers;
mod wait_queue;

use crate::api::*;
use crate::call::{Attempt, Call, Execution};
use crate::endpoint::Endpoint;
use crate::endpoint_index::{AllowedEndpoints, CandidateSet, EndpointIndex, EndpointState};
use crate::latency::{ClassLatency, EndpointGroup};
use crate::load_feedback::{self, shed_probability, LoadFeedback};
use concurrency_limit::{
    ConcurrencyLimit, INITIAL_CONCURRENCY, MAX_BACKOFF_DOUBLINGS, MAX_DECREASE, REJECTION_DECREASE,
};
use hedging::LATENCY_MARGIN;
use load_probe::MAX_PROBES;
use outlier_detection::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use retry::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_CALL};
use rustc_hash::FxHashMap;
use selection::Route;
use std::collections::{BTreeMap, VecDeque};
use timers::CallTimers;

/// Weight of a new answer in what is learned of a server or a group: about ten are remembered.
const SMOOTHING: f64 = 0.1;
type Actions = Vec<Action>;

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

    fn expected_latency(&self, class_id: usize, objective: Micros) -> f64 {
        self.class_latencies
            .get(class_id)
            .map_or(objective as f64 / 4.0, |p| p.mean)
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
