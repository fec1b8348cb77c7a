//! The balancer's state, and its event handler: each event yields the actions that the proxy
//! carries out.
//!
//! A new call joins the wait queue, unless it is shed on arrival. Each event scans the queue: a
//! call is sent to the less loaded of two random endpoints below their concurrency limit and waits
//! while all endpoints are full. One call at a time may exceed an endpoint's limit as the trial
//! that can raise it, and calls are rejected while every endpoint is ejected. Each decision has its
//! own module; the public interface is in `src/api`. `docs/design.md` explains the mechanisms and
//! where they deviate from the published algorithms.

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
mod shutdown;
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
pub use shutdown::ShutdownSchedule;

use admission::NewCall;
use load_probe::ProbedAnswers;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use retry::MAX_RETRY_TOKENS;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use timers::CallTimers;

/// Smoothing factor of the moving averages per endpoint and per group; roughly the last ten samples
/// count.
const SMOOTHING: f64 = 0.1;

type Actions = Vec<Action>;

/// The load balancer of one client proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    endpoints: EndpointIndex,
    calls: FxHashMap<CallId, Call>,
    /// Calls waiting for an endpoint with capacity, in dispatch order.
    wait_queue: VecDeque<CallId>,
    /// Calls waiting for the replies to their load probes.
    probing_calls: Vec<CallId>,
    /// Latency as a function of load, learned from attempts sent after a fresh probe.
    probed_answers: ProbedAnswers,
    /// Smoothed load of probed endpoints relative to their load limit, 0 to 1. Probing pays off
    /// when this is high.
    probe_pressure: f64,
    /// Recent latency ratios by zone and machine kind.
    groups: EndpointGroups,
    /// Congestion reported by endpoints with their responses.
    load_feedback: LoadFeedback,
    timers: CallTimers,
    class_latencies: Vec<ClassLatency>,
    /// Smoothed share of calls that were served, 0 to 1.
    goodput: f64,
    /// Tokens that pay for retries and hedged requests.
    retry_tokens: f64,
    /// Time of the earliest requested wake-up; `Micros::MAX` if none was requested.
    timer_at: Micros,
    /// Time of the next endpoint list poll after a failed one; `Micros::MAX` if none has failed.
    next_list_poll_at: Micros,
    list_poll_failures: u32,
    /// Whether calls are being rejected because every endpoint is ejected; that is logged once.
    rejecting_all: bool,
}

/// The end of an attempt as reported by the proxy.
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
    /// Creates a balancer whose random number generator is seeded with `seed`.
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

    /// Handles one event at time `now` and appends the resulting actions. `now` is in microseconds
    /// of any clock that never goes backwards.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        while let Some(slot) = self.endpoints.overdue_state(now) {
            self.update_state(now, slot);
        }
        self.process_event(now, event, actions);
        self.run_call_timers(now, actions);
        self.dispatch_queue(now, actions);
        if now >= self.next_list_poll_at {
            self.next_list_poll_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    fn process_event(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        match event {
            Event::Start if self.settings.poll_endpoint_list => actions.push(Action::Subscribe),
            Event::Start => {}
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
                definition,
                time_left,
                time_until_exit,
                is_retry,
                policy,
                ..
            } => {
                let new = NewCall {
                    id,
                    class,
                    definition,
                    time_left,
                    time_until_exit,
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

    /// The response to an attempt has started streaming, so the call is bound to this attempt.
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

    /// Returns what the balancer knows about an endpoint, or `None` if the endpoint is unknown.
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

    /// Returns the number of listed endpoints, and how many of them are outliers.
    #[must_use]
    pub fn endpoint_counts(&self) -> EndpointCounts {
        EndpointCounts {
            listed: self.endpoints.listed_count(),
            outliers: self.endpoints.outlier_count(),
        }
    }

    /// Returns the numbers of open and queued calls, and the available retry tokens.
    #[must_use]
    pub fn call_totals(&self) -> CallTotals {
        CallTotals {
            open: self.calls.len(),
            queued: self.wait_queue.len(),
            retry_tokens: self.retry_tokens,
        }
    }

    /// The longest latency objective over all classes, in microseconds.
    fn longest_objective(&self) -> f64 {
        let classes = self.settings.classes.iter();
        let longest = classes.map(|class| class.latency_objective).max();
        longest.unwrap_or(0).max(1) as f64
    }

    /// The longest mean latency over all classes, in microseconds.
    fn longest_expected_latency(&self) -> f64 {
        let latencies = self.class_latencies.iter();
        latencies.map(|latency| latency.mean).fold(1.0, f64::max)
    }

    /// The expected latency of a call of this class, in microseconds.
    fn expected_latency(&self, class_id: usize, objective: Micros) -> f64 {
        let latency = self.class_latencies.get(class_id);
        latency.map_or(objective as f64 * EXPECTED_OBJECTIVE_SHARE, |latency| {
            latency.mean
        })
    }

    /// Draws a random number, 0 to 1.
    fn random_unit(&mut self) -> f64 {
        self.random.gen()
    }
}
