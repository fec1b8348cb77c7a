//! Simulation of a watch and its list service in virtual time.

use crate::scenario::{Latency, Outage, OutageKind, Scenario};
use badgerramp_endpoint_watch::{
    Input, Micros, Output, PollId, Source, TimeoutConfig, Timeouts, Watch, CONNECT_TIMEOUT,
    SERVICE_RESPONSE_TIMEOUT,
};
use std::collections::BTreeMap;
use std::iter::Cycle;
use std::slice::Iter;

/// Deadline of the protocol, defined independently of the constant under test.
const NOTIFIED_AFTER_SILENCE: Micros = 6_000_000;
/// Deadline of the protocol, defined independently of the constant under test.
const NOTIFIED_AFTER_WAIT: Micros = 2_000_000;
/// Time until a refused connection or a rejection reaches the proxy.
const REFUSAL_TIME: Micros = 1_000;

/// Result of a scenario.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Longest time from when the proxy counted as notified of a change until it received it, in microseconds.
    pub(crate) max_delay: Micros,
    /// Number of polls sent.
    pub(crate) polls: u64,
    /// Maximum number of polls in flight at the same time.
    pub(crate) max_in_flight: usize,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
struct SimulatedPoll {
    sent_at: Micros,
    index: Option<u64>,
    wait: Micros,
    /// When the service receives the poll, after its connection was established.
    received_at: Micros,
    /// How long the service takes to respond with a change.
    response_delay: Micros,
    /// When the connection went silent, if it did.
    silent_since: Option<Micros>,
    /// When the poll fails, unless its response arrives before.
    fails_at: Option<Micros>,
    /// Whether the poll fails because the service rejects it.
    rejected: bool,
}

impl SimulatedPoll {
    fn refuse(&mut self, now: Micros) {
        self.fails_at = Some(now + REFUSAL_TIME);
        self.rejected = true;
    }

    fn go_silent(&mut self, now: Micros) {
        self.silent_since = self.silent_since.or(Some(now));
    }

    /// When the response arrives; `None` if it never does.
    fn response_at(&self, changes: &[Micros]) -> Option<Micros> {
        let first_unseen = usize::try_from(self.index.unwrap_or(0)).expect("a small index");
        let change = changes.get(first_unseen);
        let change_sent_at = change.map_or(Micros::MAX, |&at| {
            at.max(self.received_at) + self.response_delay
        });
        let at = change_sent_at.min(self.received_at + self.wait);
        let before_silence = self
            .silent_since
            .is_none_or(|silent_since| at <= silent_since);
        let before_failure = self.fails_at.is_none_or(|fails_at| at < fails_at);
        (before_silence && before_failure).then_some(at)
    }
}

/// An outage and whether the service has rejected a poll since it recovered.
struct OutageState<'a> {
    outage: &'a Outage,
    has_rejected: bool,
}

/// Simulates a scenario until the time `until`.
pub(crate) fn simulate(scenario: &Scenario, until: Micros) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    simulation.handle(Input::Start);
    while let Some(next) = simulation.next_event().filter(|&at| at <= until) {
        simulation.now = simulation.now.max(next);
        simulation.announce_changes();
        simulation.apply_faults();
        let input = simulation.next_input();
        simulation.handle(input);
    }
    simulation.finish(until)
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    watch: Watch,
    now: Micros,
    in_flight: BTreeMap<PollId, SimulatedPoll>,
    latencies: Cycle<Iter<'a, Latency>>,
    outages: Vec<OutageState<'a>>,
    /// When the caller passes a start to the watch again.
    start_at: Option<Micros>,
    /// Whether there is no connection to reuse, as the last poll has failed.
    connection_lost: bool,
    /// For each index that the proxy has not received, when it counts as notified of that index.
    notified_at: BTreeMap<u64, Micros>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let timeouts = Timeouts::derive(TimeoutConfig {
            source: Source::Service,
            drain_grace: scenario.drain_grace,
            wait: scenario.wait,
        });
        let outage_state = |outage: &'a Outage| OutageState {
            outage,
            has_rejected: !outage.rejects_once,
        };
        Simulation {
            scenario,
            watch: Watch::new(timeouts, Some(0), None, scenario.seed),
            now: 0,
            in_flight: BTreeMap::new(),
            latencies: scenario.latencies.iter().cycle(),
            outages: scenario.outages.iter().map(outage_state).collect(),
            start_at: None,
            connection_lost: false,
            notified_at: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Passes an input to the watch and carries out the outputs.
    fn handle(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.watch.handle(self.now, input, false, &mut outputs);
        self.record_received();
        for output in outputs {
            match output {
                Output::Send {
                    poll,
                    index,
                    wait,
                    fresh_connection,
                } => self.send(poll, index, wait, fresh_connection),
                Output::Cancel(poll) => {
                    self.in_flight.remove(&poll);
                }
                Output::Failed => {
                    // The caller passes another start, which has no effect while a retry is scheduled.
                    self.start_at = Some(self.now + 1);
                    self.connection_lost = true;
                }
                Output::Accept | Output::Violation(_) | Output::Overdue(_) => {}
            }
        }
        self.outcome.max_in_flight = self.outcome.max_in_flight.max(self.in_flight.len());
    }

    fn record_received(&mut self) {
        let received_index = self.watch.index().unwrap_or(0);
        while let Some(entry) = self.notified_at.first_entry() {
            if *entry.key() > received_index {
                break;
            }
            let delay = self.now.saturating_sub(entry.remove());
            self.outcome.max_delay = self.outcome.max_delay.max(delay);
        }
    }

    fn send(&mut self, id: PollId, index: Option<u64>, wait: Micros, fresh_connection: bool) {
        let latency = *self.latencies.next().expect("at least one latency");
        let fresh_connection = fresh_connection || std::mem::take(&mut self.connection_lost);
        let share_of = |share: f64, max: Micros| (share * max as f64) as Micros;
        let (connect_time, response_delay) = if fresh_connection {
            (
                share_of(latency.connect, CONNECT_TIMEOUT),
                share_of(latency.response, SERVICE_RESPONSE_TIMEOUT),
            )
        } else {
            (0, 0)
        };
        let mut poll = SimulatedPoll {
            sent_at: self.now,
            index,
            wait,
            received_at: self.now + connect_time,
            response_delay,
            silent_since: None,
            fails_at: None,
            rejected: false,
        };
        self.apply_outages(&mut poll, fresh_connection);
        self.in_flight.insert(id, poll);
        self.outcome.polls += 1;
    }

    /// Makes a poll fail or go silent if it is sent during an outage, or is the first one after it. `reconnects` tells
    /// whether the poll is sent on a new connection.
    fn apply_outages(&mut self, poll: &mut SimulatedPoll, reconnects: bool) {
        let now = self.now;
        for state in &mut self.outages {
            let outage = state.outage;
            if (outage.from..outage.until).contains(&now) {
                match outage.kind {
                    OutageKind::Refusing => poll.refuse(now),
                    // An existing connection stays silent; a new one times out.
                    OutageKind::Silent if reconnects => poll.fails_at = Some(now + CONNECT_TIMEOUT),
                    OutageKind::Silent => poll.silent_since = Some(now),
                }
            } else if now >= outage.until && !std::mem::replace(&mut state.has_rejected, true) {
                poll.refuse(now);
            }
        }
    }

    /// The response that arrives next, with its time.
    fn next_response(&self) -> Option<(Micros, PollId)> {
        self.in_flight
            .iter()
            .filter_map(|(id, poll)| {
                let at = poll.response_at(&self.scenario.changes)?;
                Some((at.max(self.now), *id))
            })
            .min()
    }

    /// Time of the next event.
    fn next_event(&self) -> Option<Micros> {
        let later = |times: &[Micros]| times.iter().copied().find(|&at| at > self.now);
        let fails_at = self.in_flight.values().filter_map(|poll| poll.fails_at);
        let outages = self.scenario.outages.iter().map(|outage| outage.from);
        [
            self.next_response().map(|(at, _)| at),
            fails_at.map(|at| at.max(self.now)).min(),
            outages.into_iter().find(|&from| from > self.now),
            self.watch.next_deadline(),
            self.start_at,
            later(&self.scenario.silences),
            later(&self.scenario.resets),
            later(&self.scenario.changes),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Records when the proxy counts as notified of changes that happen now.
    fn announce_changes(&mut self) {
        for (position, &at) in self.scenario.changes.iter().enumerate() {
            let known = position as u64;
            if at == self.now && known >= self.watch.index().unwrap_or(0) {
                let notified_at = self.notified_at(at).max(at);
                self.notified_at.insert(known + 1, notified_at);
            }
        }
    }

    /// When the proxy counts as notified of a change at `at`, whether or not it receives it.
    fn notified_at(&self, at: Micros) -> Micros {
        // While the service is down, it cannot be polled for the change.
        let outage = self
            .scenario
            .outages
            .iter()
            .find(|outage| outage.from < at + NOTIFIED_AFTER_SILENCE && at < outage.until);
        if let Some(outage) = outage {
            return outage.until + NOTIFIED_AFTER_SILENCE;
        }
        if !self.scenario.outages.is_empty() {
            return at + NOTIFIED_AFTER_SILENCE;
        }
        // Without an outage, the proxy fails to receive the change only if a poll is silent.
        self.in_flight
            .values()
            .filter_map(|poll| Some((poll.silent_since?, poll.sent_at + poll.wait)))
            .min()
            .map_or(Micros::MAX, |(silent_since, wait_ends_at)| {
                (silent_since + NOTIFIED_AFTER_SILENCE).max(wait_ends_at + NOTIFIED_AFTER_WAIT)
            })
    }

    /// Applies the faults that begin now to the polls in flight.
    fn apply_faults(&mut self) {
        let now = self.now;
        if self.scenario.silences.contains(&now) {
            let polls = self.in_flight.values_mut();
            polls
                .filter(|poll| poll.received_at <= now)
                .for_each(|poll| poll.go_silent(now));
        }
        for outage in self.scenario.outages.iter().filter(|o| o.from == now) {
            for poll in self.in_flight.values_mut() {
                match outage.kind {
                    OutageKind::Refusing => poll.fails_at = Some(now),
                    OutageKind::Silent => poll.go_silent(now),
                }
            }
        }
    }

    /// The next input to the watch at the current time.
    fn next_input(&mut self) -> Input {
        let now = self.now;
        if let Some((poll, state)) =
            self.remove_first(|poll| poll.fails_at.is_some_and(|at| at <= now))
        {
            return if state.rejected {
                Input::Rejected { poll }
            } else {
                Input::Failed { poll }
            };
        }
        if self.scenario.resets.contains(&now) {
            if let Some((poll, _)) = self.remove_first(|poll| poll.received_at < now) {
                return Input::Failed { poll };
            }
        }
        if self.start_at.is_some_and(|at| at <= now) {
            self.start_at = None;
            return Input::Start;
        }
        match self.next_response() {
            Some((at, poll)) if at <= now => self.respond(poll),
            _ => Input::Timer,
        }
    }

    fn respond(&mut self, id: PollId) -> Input {
        let poll = self.in_flight.remove(&id).expect("the poll is in flight");
        let changes = self.scenario.changes.iter();
        let current_index = changes.filter(|&&at| at <= self.now).count() as u64;
        Input::Response {
            poll: id,
            index: current_index.max(poll.index.unwrap_or(0)),
            complete: false,
        }
    }

    /// Removes the oldest poll in flight that meets a condition.
    fn remove_first(
        &mut self,
        condition: impl Fn(&SimulatedPoll) -> bool,
    ) -> Option<(PollId, SimulatedPoll)> {
        let (&id, _) = self.in_flight.iter().find(|(_, poll)| condition(poll))?;
        self.in_flight.remove_entry(&id)
    }

    /// Includes the changes that were not received until the end.
    fn finish(mut self, until: Micros) -> Outcome {
        for &notified_at in self.notified_at.values() {
            let delay = until.saturating_sub(notified_at);
            self.outcome.max_delay = self.outcome.max_delay.max(delay);
        }
        self.outcome
    }
}
