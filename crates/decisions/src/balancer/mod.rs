//! Events in, actions out: the balancer's state, and the order in which its decisions are taken at
//! an event.
//!
//! A new call joins the wait queue. At each event the queue is gone through: a call goes to the
//! less loaded of two random endpoints under their limit, waits while all are full, may pass one
//! limit as the trial that can raise it, and is rejected when every endpoint is ejected. Each
//! decision has a module; the interface is in `src/api`, and the mechanism and the condition of
//! each departure from its sources are in `docs/design.md`.

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

use crate::api::{
    Action, CallId, CallTotals, EndpointCounts, EndpointId, EndpointView, Event, LoadReport,
    Micros, Outcome, Settings,
};
use crate::call::Call;
use crate::endpoint_index::EndpointIndex;
use crate::latency::{ClassLatency, EndpointGroups, EXPECTED_OBJECTIVE_SHARE};
use crate::load_feedback::LoadFeedback;
use admission::NewCall;
use load_probe::ProbedAnswers;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use retry::MAX_RETRY_TOKENS;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use timers::CallTimers;

/// Weight of a new answer in what is learned of an endpoint or a group: about ten are remembered.
const SMOOTHING: f64 = 0.1;

type Actions = Vec<Action>;

/// Decides for one client proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    endpoints: EndpointIndex,
    calls: FxHashMap<CallId, Call>,
    /// Calls that wait for an endpoint with capacity, the first to go first.
    wait_queue: VecDeque<CallId>,
    /// Calls that wait for the answers to their load probes.
    probing_calls: Vec<CallId>,
    /// What answers of probed endpoints showed of latency under load.
    probed_answers: ProbedAnswers,
    /// Smoothed load of probed endpoints over what they bear, 0 to 1: probing pays where this is
    /// high.
    probe_pressure: f64,
    /// Latency ratios of late of each machine kind in each zone.
    groups: EndpointGroups,
    /// Congestion that endpoints reported with their answers.
    load_feedback: LoadFeedback,
    timers: CallTimers,
    class_latencies: Vec<ClassLatency>,
    /// Share of the calls of late that were served.
    goodput: f64,
    /// What pays for retries and hedged requests.
    retry_tokens: f64,
    /// When the earliest wake-up comes that was asked for; `Micros::MAX`: none was.
    timer_at: Micros,
    /// When the endpoint list is polled again after a failure; `Micros::MAX`: no failure.
    next_list_poll_at: Micros,
    list_poll_failures: u32,
    /// Calls are rejected since every endpoint is ejected, and that has been logged.
    rejecting_all: bool,
}

/// The end of an attempt, as the proxy tells it.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd {
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Micros,
    closed: bool,
    load: LoadReport,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            class_latencies: settings.classes.iter().map(ClassLatency::unknown).collect(),
            endpoints: EndpointIndex::default(),
            settings,
            calls: FxHashMap::default(),
            wait_queue: VecDeque::new(),
            probing_calls: Vec::new(),
            probed_answers: ProbedAnswers::default(),
            probe_pressure: 1.0,
            groups: EndpointGroups::new(),
            load_feedback: LoadFeedback::default(),
            timers: CallTimers::default(),
            goodput: 1.0,
            retry_tokens: MAX_RETRY_TOKENS,
            timer_at: Micros::MAX,
            next_list_poll_at: Micros::MAX,
            list_poll_failures: 0,
            rejecting_all: false,
        }
    }

    /// Takes one event at time `now`, in microseconds of any clock that never goes back, and
    /// appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        while let Some(slot) = self.endpoints.overdue_state(now) {
            self.update_state(now, slot);
        }
        self.take_in(now, event, actions);
        self.run_call_timers(now, actions);
        self.dispatch_queue(now, actions);
        if now >= self.next_list_poll_at {
            self.next_list_poll_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    fn take_in(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        match event {
            Event::Start => {
                if self.settings.poll_endpoint_list {
                    actions.push(Action::Subscribe);
                }
            }
            Event::ProbeCompleted {
                endpoint,
                outcome,
                load,
                ..
            } => self.on_probe_completed(now, endpoint, outcome, load, actions),
            Event::EndpointList { kind, entries } => self.update_endpoint_list(now, kind, &entries),
            Event::Request {
                call: id,
                class,
                time_left,
                is_retry,
                policy,
                ..
            } => {
                let new = NewCall {
                    id,
                    class,
                    time_left,
                    is_retry,
                    policy,
                };
                if !self.calls.contains_key(&id) {
                    self.on_request(now, new, actions);
                }
            }
            Event::Outcome {
                call,
                attempt,
                outcome,
                elapsed,
                closed,
                load,
            } => {
                let end = AttemptEnd {
                    call,
                    attempt,
                    outcome,
                    elapsed,
                    closed,
                    load,
                };
                self.on_attempt_end(now, end, actions);
            }
            Event::Streaming { call, attempt } => self.on_streaming(call, attempt, actions),
            Event::ClientDisconnected { call } => self.on_client_disconnected(call, actions),
            Event::Reconfigure {
                settings,
                redefined_classes,
            } => self.reconfigure(now, *settings, &redefined_classes),
            Event::Timer => self.timer_at = Micros::MAX,
        }
    }

    fn on_attempt_end(&mut self, now: Micros, end: AttemptEnd, actions: &mut Actions) {
        let (id, outcome) = (end.call, end.outcome);
        self.record_load_report(now, id, end.attempt, end.load);
        let Some(mut ended) = self.record_outcome(id, end.attempt, outcome) else {
            return;
        };
        let sent_at = now.saturating_sub(end.elapsed);
        ended.attempt.sent_at = ended.attempt.sent_at.min(sent_at);
        self.learn_from_attempt(now, ended, actions);
        if let Some(slot) = self.endpoints.slot(ended.attempt.endpoint) {
            self.update_state(now, slot);
        }
        self.after_attempt(now, id, outcome, end.closed, actions);
    }

    /// An attempt's answer has begun to flow: its call is bound to it.
    fn on_streaming(&mut self, id: CallId, attempt: u32, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.ended) else {
            return;
        };
        call.streaming = true;
        self.cancel_attempts(id, Some(attempt), actions);
        self.timers.set(id, None);
    }

    fn on_client_disconnected(&mut self, id: CallId, actions: &mut Actions) {
        self.finish(id);
        self.cancel_attempts(id, None, actions);
        self.remove_if_finished(id);
    }

    /// What is known of an endpoint; `None`: nothing.
    #[must_use]
    pub fn view(&self, now: Micros, endpoint: EndpointId) -> Option<EndpointView> {
        let endpoint = &self.endpoints[self.endpoints.slot(endpoint)?];
        let limit = &endpoint.limit;
        Some(EndpointView {
            listed: endpoint.listed,
            in_flight: endpoint.in_flight,
            concurrency_limit: f64::from(limit.steps) * limit.concurrency,
            latency_ratio: endpoint.latency_ratio,
            failure_rate: endpoint.failure_rate,
            slow_start_capacity: endpoint.slow_start_capacity(now, &self.settings.rules),
            ejected: limit.steps == 0,
        })
    }

    /// How many endpoints are listed, and how many of these are outliers.
    #[must_use]
    pub fn endpoint_counts(&self) -> EndpointCounts {
        EndpointCounts {
            listed: self.endpoints.listed_count(),
            outliers: self.endpoints.outlier_count(),
        }
    }

    /// How many calls are known and queued, and the retry tokens saved up.
    #[must_use]
    pub fn call_totals(&self) -> CallTotals {
        CallTotals {
            open: self.calls.len(),
            queued: self.wait_queue.len(),
            retry_tokens: self.retry_tokens,
        }
    }

    /// The longest latency objective of all classes, in microseconds.
    fn longest_objective(&self) -> f64 {
        let classes = self.settings.classes.iter();
        let longest = classes.map(|class| class.latency_objective).max();
        longest.unwrap_or(0).max(1) as f64
    }

    /// The longest mean latency of all classes, in microseconds.
    fn longest_expected_latency(&self) -> f64 {
        let latencies = self.class_latencies.iter();
        latencies.map(|latency| latency.mean).fold(1.0, f64::max)
    }

    /// The latency to expect of a call of this class, in microseconds.
    fn expected_latency(&self, class_id: usize, objective: Micros) -> f64 {
        let latency = self.class_latencies.get(class_id);
        latency.map_or(objective as f64 * EXPECTED_OBJECTIVE_SHARE, |latency| {
            latency.mean
        })
    }

    /// A random number from 0 to 1.
    fn random_unit(&mut self) -> f64 {
        self.random.gen()
    }
}
