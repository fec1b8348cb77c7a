//! Model checker for the decisions: explores every order of events in a small world up to a bounded depth. States that were
//! reached before are not explored again. Two states are equal if everything observable and the whole state of the
//! decisions are equal.

use badgerramp_decisions::{
    Action, Balancer, CallId, CallPolicy, Class, ClassId, DedupScope, EndpointEntry, EndpointId,
    EndpointStatus, Event, Hedge, Idempotency, ListUpdateKind, LoadReport, Micros, Outcome,
    Settings,
};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

/// The bounded world to explore. Its `Debug` text becomes part of generated tests.
#[derive(Clone, Debug)]
pub struct World {
    /// Number of endpoints.
    pub servers: u32,
    /// Idempotency of each call.
    pub calls: Vec<Idempotency>,
    /// Maximum number of steps from the initial state.
    pub depth: usize,
    /// Maximum number of attempts of a call.
    pub attempts: u32,
    /// Whether hedged requests are allowed for classes that permit them.
    pub copies: bool,
    /// Time that passes in a [`Step::Passes`].
    pub step: Micros,
    /// Maximum number of states.
    pub most: usize,
}

/// One transition between states. Its `Debug` text becomes part of generated tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The call with this index arrives.
    Asks(usize),
    /// The call's attempt with this number ends with this outcome.
    Ends(usize, u32, Outcome),
    /// The client of the call with this index disconnects.
    Leaves(usize),
    /// Time passes; timers and deadlines that become due meanwhile fire in the order that the driver guarantees.
    Passes,
    /// A list update reports that an endpoint is draining.
    Drains(u32),
    /// A list update reports that an endpoint has restarted and is ready.
    Restarts(u32),
}

/// A violation and the steps that lead to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// Description of the violation.
    pub violation: String,
    /// Steps from the initial state to the violation.
    pub steps: Vec<Step>,
}

/// Result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    /// Number of distinct states.
    pub states: usize,
    /// Number of steps that were executed.
    pub steps: usize,
    /// Depth up to which all orders of events were explored.
    pub depth: usize,
    /// Whether the maximum number of states was reached before the maximum depth.
    pub truncated: bool,
    /// The first violation that was found.
    pub counterexample: Option<Counterexample>,
}

/// Deadline of each call.
const DEADLINE: Micros = 1_000_000;
/// Deduplication window of keyed calls.
const DEDUP_WINDOW: Micros = 600_000;

#[derive(Clone)]
struct Attempt {
    endpoint: u32,
    sent_at: Micros,
    deadline: Micros,
    /// How the attempt ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

#[derive(Clone, Default)]
struct Call {
    arrived_at: Option<Micros>,
    /// Whether the call has its final answer, or its client has disconnected.
    answered: bool,
    attempts: Vec<Attempt>,
}

/// One state: the decisions, and the state that their driver would keep.
#[derive(Clone)]
struct State {
    balancer: Balancer,
    now: Micros,
    timer: Option<Micros>,
    calls: Vec<Call>,
    /// For each endpoint: whether it is ready, when it started, and since when it is known to drain.
    endpoints: Vec<(bool, Micros, Option<Micros>)>,
    steps: Vec<Step>,
}

fn settings(world: &World) -> Settings {
    let class = |idempotency: &Idempotency| Class {
        latency_objective: DEADLINE / 2,
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_value: 1.0,
        idempotency: *idempotency,
    };
    let mut settings = Settings {
        classes: world.calls.iter().map(class).collect(),
        ..Settings::default()
    };
    settings.limits.max_attempts = world.attempts;
    settings.limits.hedging = world.copies;
    settings
}

/// The cell of an endpoint: two endpoints share one.
fn cell(endpoint: u32) -> u32 {
    endpoint / 2
}

impl State {
    fn initial(world: &World) -> Result<State, String> {
        let mut state = State {
            balancer: Balancer::new(7, settings(world)),
            now: 10_000_000,
            timer: None,
            calls: vec![Call::default(); world.calls.len()],
            endpoints: vec![(true, 0, None); world.servers as usize],
            steps: Vec::new(),
        };
        state.handle_event(world, Event::Start)?;
        let entries = (0..world.servers)
            .map(|n| entry(n, EndpointStatus::Ready, 0))
            .collect();
        state.handle_event(
            world,
            Event::EndpointList {
                kind: ListUpdateKind::Full,
                entries,
            },
        )?;
        Ok(state)
    }

    /// Passes an event to the decisions and executes the resulting actions.
    fn handle_event(&mut self, world: &World, event: Event) -> Result<(), String> {
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send {
                        call,
                        endpoint,
                        attempt_deadline,
                        ..
                    } => {
                        queue.extend(self.send(
                            world,
                            call.0 as usize,
                            endpoint.0,
                            attempt_deadline,
                        )?);
                    }
                    Action::Reject { call, .. } => self.answer(world, call.0 as usize, true)?,
                    Action::Fail { call } => self.answer(world, call.0 as usize, false)?,
                    Action::Cancel { call, attempt } => {
                        queue.extend(self.end_attempt(
                            call.0 as usize,
                            attempt,
                            Outcome::Cancelled,
                        ));
                    }
                    Action::Wake { after } => {
                        let at = self.now + after;
                        self.timer = Some(self.timer.map_or(at, |old| old.min(at)));
                    }
                    Action::Probe { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
        Ok(())
    }

    /// Sends an attempt, and checks that it may be sent. Returns the event of an attempt that ends at once.
    fn send(
        &mut self,
        world: &World,
        index: usize,
        endpoint: u32,
        attempt_deadline: Option<Micros>,
    ) -> Result<Option<Event>, String> {
        let (now, idempotency) = (self.now, world.calls[index]);
        let call = &mut self.calls[index];
        let arrived_at = call
            .arrived_at
            .ok_or("attempt for a call that has not arrived")?;
        if call.answered {
            return Err(format!("call {index}: attempt after the final answer"));
        }
        if now >= arrived_at + DEADLINE {
            return Err(format!("call {index}: attempt after the client's deadline"));
        }
        if call.attempts.len() as u32 >= world.attempts {
            return Err(format!(
                "call {index}: more than the maximum number of attempts"
            ));
        }
        let in_flight = call.attempts.iter().filter(|a| a.outcome.is_none()).count();
        if in_flight > 0 && (!world.copies || idempotency == Idempotency::NonIdempotent) {
            return Err(format!("call {index}: hedged request that is not allowed"));
        }
        if let Some(first) = call
            .attempts
            .iter()
            .find(|a| a.outcome.is_none_or(|o| !o.proves_not_executed()))
        {
            match idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    return Err(format!(
                        "call {index}: retry of a non-idempotent call that may have been executed"
                    ))
                }
                Idempotency::Keyed { scope, window } => {
                    if scope == DedupScope::Cell && cell(first.endpoint) != cell(endpoint) {
                        return Err(format!(
                            "call {index}: retry outside the cell of the first attempt"
                        ));
                    }
                    if now >= first.sent_at + window {
                        return Err(format!(
                            "call {index}: retry after the deduplication window"
                        ));
                    }
                }
            }
        }
        let (ready, _, draining_since) = self.endpoints[endpoint as usize];
        if !ready && draining_since.is_some_and(|at| now > at) {
            return Err(format!(
                "call {index}: attempt sent to an endpoint that is known to drain"
            ));
        }
        let deadline = attempt_deadline
            .filter(|&at| at > 0)
            .unwrap_or(Micros::MAX)
            .min(arrived_at + DEADLINE);
        call.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            deadline,
            outcome: None,
        });
        let number = call.attempts.len() as u32 - 1;
        Ok(if deadline <= now {
            self.end_attempt(index, number, Outcome::NotSent)
        } else {
            None
        })
    }

    /// Gives a call its final answer, and checks that it may have this answer.
    fn answer(&mut self, world: &World, index: usize, rejected: bool) -> Result<(), String> {
        let call = &mut self.calls[index];
        if std::mem::replace(&mut call.answered, true) {
            return Err(format!("call {index}: second final answer"));
        }
        let repeatable = matches!(
            world.calls[index],
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        let may_have_executed = call
            .attempts
            .iter()
            .any(|a| a.outcome.is_none_or(|o| !o.proves_not_executed()));
        if rejected && may_have_executed && !repeatable {
            return Err(format!(
                "call {index}: rejected although it may have been executed"
            ));
        }
        Ok(())
    }

    /// Ends an attempt that is in flight; returns the event that reports its outcome.
    fn end_attempt(&mut self, index: usize, number: u32, outcome: Outcome) -> Option<Event> {
        let now = self.now;
        let call = &mut self.calls[index];
        let attempt = call
            .attempts
            .get_mut(number as usize)
            .filter(|a| a.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        let elapsed = now - attempt.sent_at;
        if outcome == Outcome::Served {
            call.answered = true;
        }
        let closed = call.answered;
        let load = LoadReport::default();
        Some(Event::Outcome {
            call: CallId(index as u64),
            attempt: number,
            outcome,
            elapsed,
            closed,
            load,
        })
    }

    /// All steps that are possible in this state.
    fn possible_steps(&self, world: &World) -> Vec<Step> {
        const OUTCOMES: [Outcome; 6] = [
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotSent,
        ];
        let mut steps = vec![Step::Passes];
        for (index, call) in self.calls.iter().enumerate() {
            if call.arrived_at.is_none() {
                // Calls of different classes are not interchangeable, so any of them may arrive next.
                steps.push(Step::Asks(index));
                continue;
            }
            for (number, _) in call
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.outcome.is_none())
            {
                steps.extend(
                    OUTCOMES
                        .iter()
                        .map(|o| Step::Ends(index, number as u32, *o)),
                );
            }
            if !call.answered {
                steps.push(Step::Leaves(index));
            }
        }
        for (endpoint, (ready, ..)) in (0..).zip(&self.endpoints) {
            steps.push(if *ready {
                Step::Drains(endpoint)
            } else {
                Step::Restarts(endpoint)
            });
        }
        debug_assert!(steps.len() < 64, "{world:?}");
        steps
    }

    /// Executes a step.
    fn apply(&mut self, world: &World, step: Step) -> Result<(), String> {
        self.steps.push(step);
        match step {
            Step::Asks(index) => {
                self.calls[index].arrived_at = Some(self.now);
                let hedge = if world.copies {
                    Hedge::Auto
                } else {
                    Hedge::Never
                };
                let policy = CallPolicy {
                    max_attempts: world.attempts,
                    hedge,
                    ..CallPolicy::default()
                };
                self.handle_event(
                    world,
                    Event::Request {
                        call: CallId(index as u64),
                        class: ClassId(index),
                        definition: None,
                        tenant: None,
                        time_left: DEADLINE,
                        time_until_exit: None,
                        is_retry: false,
                        policy,
                    },
                )
            }
            Step::Ends(index, number, outcome) => match self.end_attempt(index, number, outcome) {
                Some(event) => self.handle_event(world, event),
                None => Ok(()),
            },
            Step::Leaves(index) => {
                self.calls[index].answered = true;
                self.handle_event(
                    world,
                    Event::ClientDisconnected {
                        call: CallId(index as u64),
                    },
                )?;
                for number in 0..self.calls[index].attempts.len() as u32 {
                    if let Some(event) = self.end_attempt(index, number, Outcome::Cancelled) {
                        self.handle_event(world, event)?;
                    }
                }
                Ok(())
            }
            Step::Passes => self.advance_time(world),
            Step::Drains(endpoint) => {
                let started = self.endpoints[endpoint as usize].1;
                self.endpoints[endpoint as usize] = (false, started, Some(self.now));
                let entries = vec![entry(endpoint, EndpointStatus::Draining, started)];
                self.handle_event(
                    world,
                    Event::EndpointList {
                        kind: ListUpdateKind::Delta,
                        entries,
                    },
                )
            }
            Step::Restarts(endpoint) => {
                self.endpoints[endpoint as usize] = (true, self.now, None);
                let entries = vec![entry(endpoint, EndpointStatus::Ready, self.now)];
                self.handle_event(
                    world,
                    Event::EndpointList {
                        kind: ListUpdateKind::Delta,
                        entries,
                    },
                )
            }
        }
    }

    /// Lets one step of time pass. At the same time, attempts time out before the decisions' timer fires, as in the driver.
    /// Checks that each call has ended by its deadline.
    fn advance_time(&mut self, world: &World) -> Result<(), String> {
        let end = self.now + world.step;
        loop {
            let attempts = self.calls.iter().enumerate().flat_map(|(index, call)| {
                let in_flight = call
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, a)| a.outcome.is_none());
                in_flight.map(move |(number, a)| (a.deadline, index, number as u32))
            });
            let next_timeout = attempts.min().filter(|a| a.0 <= end);
            let timer = self.timer.filter(|&at| at <= end);
            match (next_timeout, timer) {
                (Some((at, call, number)), timer) if timer.is_none_or(|w| at <= w) => {
                    self.now = self.now.max(at);
                    if let Some(event) = self.end_attempt(call, number, Outcome::TimedOut) {
                        self.handle_event(world, event)?;
                    }
                }
                (_, Some(at)) => {
                    self.now = self.now.max(at);
                    self.timer = None;
                    self.handle_event(world, Event::Timer)?;
                }
                _ => break,
            }
            self.check_deadlines()?;
        }
        self.now = end;
        self.check_deadlines()
    }

    /// Checks that no call is without a final answer after its deadline.
    fn check_deadlines(&self) -> Result<(), String> {
        for (index, call) in self.calls.iter().enumerate() {
            if !call.answered && call.arrived_at.is_some_and(|at| self.now > at + DEADLINE) {
                return Err(format!(
                    "call {index}: no final answer by the client's deadline"
                ));
            }
        }
        Ok(())
    }

    /// Compares the counters of the decisions with the actual numbers.
    fn check_counters(&self) -> Result<(), String> {
        for endpoint in 0..self.endpoints.len() as u32 {
            let attempts = self.calls.iter().flat_map(|c| &c.attempts);
            let in_flight = attempts
                .filter(|a| a.endpoint == endpoint && a.outcome.is_none())
                .count() as u32;
            if let Some(view) = self
                .balancer
                .view(self.now, EndpointId(endpoint))
                .filter(|v| v.in_flight != in_flight)
            {
                return Err(format!(
                    "endpoint {endpoint}: the decisions count {} attempts in flight, actual number {in_flight}",
                    view.in_flight
                ));
            }
        }
        let open = self.calls.iter().filter(|c| c.arrived_at.is_some());
        let open = open
            .filter(|c| !c.answered || c.attempts.iter().any(|a| a.outcome.is_none()))
            .count();
        match self.balancer.call_totals().open {
            known if known > open => Err(format!(
                "the decisions know {known} calls, actual number {open}"
            )),
            _ => Ok(()),
        }
    }

    fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        // The debug text of the decisions contains their whole state.
        let mut text = String::new();
        let _ = write!(text, "{:?}", self.balancer);
        text.hash(&mut hasher);
        (self.now, self.timer).hash(&mut hasher);
        for call in &self.calls {
            (call.arrived_at, call.answered).hash(&mut hasher);
            call.attempts
                .iter()
                .for_each(|a| (a.endpoint, a.sent_at, a.deadline, a.outcome).hash(&mut hasher));
        }
        self.endpoints.hash(&mut hasher);
        hasher.finish()
    }
}

fn entry(endpoint: u32, status: EndpointStatus, started: Micros) -> EndpointEntry {
    let cell = badgerramp_decisions::CellId(cell(endpoint));
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        status,
        cell,
        started,
        ..EndpointEntry::default()
    }
}

/// Explores all orders of events, breadth first, so that the counterexample is one of the shortest.
pub fn check(world: &World) -> Exploration {
    let mut exploration = Exploration::default();
    let mut level = match State::initial(world) {
        Ok(state) => vec![state],
        Err(violation) => {
            exploration.counterexample = Some(Counterexample {
                violation,
                steps: Vec::new(),
            });
            return exploration;
        }
    };
    let mut seen: FxHashSet<u64> = FxHashSet::default();
    for depth in 1..=world.depth {
        let mut next = Vec::new();
        for state in &level {
            for step in state.possible_steps(world) {
                exploration.steps += 1;
                let mut after = state.clone();
                if let Err(violation) = after
                    .apply(world, step)
                    .and_then(|()| after.check_counters())
                {
                    exploration.counterexample = Some(Counterexample {
                        violation,
                        steps: after.steps,
                    });
                    exploration.states = seen.len();
                    return exploration;
                }
                if seen.len() < world.most {
                    if seen.insert(after.hash()) {
                        next.push(after);
                    }
                } else {
                    exploration.truncated = true;
                }
            }
        }
        exploration.states = seen.len();
        if exploration.truncated {
            break;
        }
        exploration.depth = depth;
        level = next;
    }
    exploration
}

/// Formats a counterexample as the source of a regression test.
pub fn as_test(world: &World, found: &Counterexample) -> String {
    let mut out = String::from("#[test]\nfn found_by_the_model_check() {\n");
    let _ = writeln!(out, "    // {}", found.violation);
    let _ = writeln!(out, "    let world = {world:?};");
    let _ = writeln!(out, "    let steps = {:?};", found.steps);
    out + "    assert_eq!(badgerramp_simulator::check::replay(&world, &steps), Ok(()));\n}\n"
}

/// Executes these steps from the initial state.
///
/// # Errors
/// The description of the first violation.
pub fn replay(world: &World, steps: &[Step]) -> Result<(), String> {
    let mut state = State::initial(world)?;
    for step in steps {
        state.apply(world, *step)?;
        state.check_counters()?;
    }
    Ok(())
}

/// The worlds that are checked by default, with these bounds.
pub fn default_worlds(depth: usize, max_states: usize) -> Vec<World> {
    let keyed = Idempotency::Keyed {
        scope: DedupScope::Cell,
        window: DEDUP_WINDOW,
    };
    let all = Idempotency::Keyed {
        scope: DedupScope::All,
        window: DEDUP_WINDOW,
    };
    let world = |servers, calls: &[Idempotency], copies| World {
        servers,
        calls: calls.to_vec(),
        depth,
        attempts: 3,
        copies,
        step: 130_000,
        most: max_states,
    };
    vec![
        world(2, &[Idempotency::NonIdempotent, keyed], false),
        world(3, &[keyed, Idempotency::NonIdempotent], true),
        world(3, &[keyed, keyed], true),
        world(
            2,
            &[Idempotency::Idempotent, Idempotency::NonIdempotent],
            true,
        ),
        world(2, &[all, Idempotency::NonIdempotent], true),
    ]
}
