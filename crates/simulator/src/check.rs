//! Every order of events in a small world, to a stated depth, on the decisions alone: what may be told next is told, one
//! after the other, and each state that was met before is not gone into again. States are compared by what is
//! observable and by all that the decisions remember.

use badgerramp_decisions::{
    Action, Balancer, CallId, CallPolicy, Class, ClassId, DedupScope, EndpointEntry, EndpointId,
    EndpointStatus, Event, Hedge, Idempotency, ListUpdateKind, LoadReport, Micros, Outcome,
    Settings,
};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

/// What is checked: how many servers, the classes of the calls, how deep, and how far apart events are.
#[derive(Clone, Debug)]
pub struct World {
    /// Servers.
    pub servers: u32,
    /// What each call is.
    pub calls: Vec<Idempotency>,
    /// Events in a row.
    pub depth: usize,
    /// Attempts that a call may have.
    pub attempts: u32,
    /// Second copies are allowed, where the class lets them.
    pub copies: bool,
    /// Time that passes in one step.
    pub step: Micros,
    /// States at the most.
    pub most: usize,
}

/// One thing that may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The call of this place comes in.
    Asks(usize),
    /// An attempt ends so.
    Ends(usize, u32, Outcome),
    /// Its client leaves.
    Leaves(usize),
    /// Time passes; timers and deadlines that come by are told in the program's order.
    Passes,
    /// The list says that a server drains.
    Drains(u32),
    /// ... or that it is back, anew.
    Restarts(u32),
}

/// A broken rule and the way to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// What broke.
    pub violation: String,
    /// The steps that lead there.
    pub steps: Vec<Step>,
}

/// What a check saw.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    /// Different states.
    pub states: usize,
    /// Steps taken between them.
    pub steps: usize,
    /// All orders to this depth were gone through.
    pub depth: usize,
    /// The bound of states was met before the depth was.
    pub truncated: bool,
    /// The first broken rule.
    pub counterexample: Option<Counterexample>,
}

const DEADLINE: Micros = 1_000_000;
const WINDOW: Micros = 600_000;

#[derive(Clone)]
struct Tried {
    server: u32,
    sent: Micros,
    until: Micros,
    over: Option<Outcome>,
}

#[derive(Clone, Default)]
struct Call {
    asked: Option<Micros>,
    answered: bool,
    tried: Vec<Tried>,
}

/// One state: the decisions, and what the program would keep.
#[derive(Clone)]
struct Node {
    balancer: Balancer,
    now: Micros,
    wake: Option<Micros>,
    calls: Vec<Call>,
    /// For each server: takes calls, its start, and since when it is known to drain.
    servers: Vec<(bool, Micros, Option<Micros>)>,
    steps: Vec<Step>,
}

fn settings(world: &World) -> Settings {
    let class = |repeat: &Idempotency| Class {
        latency_objective: DEADLINE / 2,
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_value: 1.0,
        idempotency: *repeat,
    };
    let mut settings = Settings {
        classes: world.calls.iter().map(class).collect(),
        ..Settings::default()
    };
    settings.limits.max_attempts = world.attempts;
    settings.limits.hedging = world.copies;
    settings
}

fn group(server: u32) -> u32 {
    // The first two are one group.
    server / 2
}

impl Node {
    fn first(world: &World) -> Result<Node, String> {
        let mut node = Node {
            balancer: Balancer::new(7, settings(world)),
            now: 10_000_000,
            wake: None,
            calls: vec![Call::default(); world.calls.len()],
            servers: vec![(true, 0, None); world.servers as usize],
            steps: Vec::new(),
        };
        node.tell(world, Event::Start)?;
        let entries = (0..world.servers)
            .map(|n| entry(n, EndpointStatus::Ready, 0))
            .collect();
        node.tell(
            world,
            Event::EndpointList {
                kind: ListUpdateKind::Full,
                entries,
            },
        )?;
        Ok(node)
    }

    fn tell(&mut self, world: &World, event: Event) -> Result<(), String> {
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send {
                        call,
                        endpoint: server,
                        attempt_deadline: until,
                        ..
                    } => {
                        queue.extend(self.send(world, call.0 as usize, server.0, until)?);
                    }
                    Action::Reject { call, .. } => self.answer(world, call.0 as usize, true)?,
                    Action::Fail { call } => self.answer(world, call.0 as usize, false)?,
                    Action::Cancel { call, attempt } => {
                        queue.extend(self.ends(call.0 as usize, attempt, Outcome::Cancelled));
                    }
                    Action::Wake { after } => {
                        let at = self.now + after;
                        self.wake = Some(self.wake.map_or(at, |old| old.min(at)));
                    }
                    Action::Probe { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        world: &World,
        place: usize,
        server: u32,
        until: Option<Micros>,
    ) -> Result<Option<Event>, String> {
        let (now, repeat) = (self.now, world.calls[place]);
        let call = &mut self.calls[place];
        let asked = call
            .asked
            .ok_or("an attempt for a call that has not come")?;
        if call.answered {
            return Err(format!("call {place}: an attempt after its end"));
        }
        if now >= asked + DEADLINE {
            return Err(format!("call {place}: an attempt after its client's time"));
        }
        if call.tried.len() as u32 >= world.attempts {
            return Err(format!("call {place}: more attempts than are allowed"));
        }
        let out = call.tried.iter().filter(|t| t.over.is_none()).count();
        if out > 0 && (!world.copies || repeat == Idempotency::NonIdempotent) {
            return Err(format!("call {place}: a second copy that is not allowed"));
        }
        if let Some(first) = call
            .tried
            .iter()
            .find(|t| t.over.is_none_or(|o| !o.proves_not_executed()))
        {
            match repeat {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    return Err(format!("call {place}: it may run twice"))
                }
                Idempotency::Keyed { scope, window } => {
                    if scope == DedupScope::Cell && group(first.server) != group(server) {
                        return Err(format!("call {place}: it goes again outside its group"));
                    }
                    if now >= first.sent + window {
                        return Err(format!("call {place}: it goes again outside its window"));
                    }
                }
            }
        }
        let (ready, _, drains) = self.servers[server as usize];
        if !ready && drains.is_some_and(|at| now > at) {
            return Err(format!(
                "call {place}: sent to a server that is known to drain"
            ));
        }
        let until = until
            .filter(|&u| u > 0)
            .unwrap_or(Micros::MAX)
            .min(asked + DEADLINE);
        call.tried.push(Tried {
            server,
            sent: now,
            until,
            over: None,
        });
        let number = call.tried.len() as u32 - 1;
        Ok(if until <= now {
            self.ends(place, number, Outcome::NotSent)
        } else {
            None
        })
    }

    fn answer(&mut self, world: &World, place: usize, refused: bool) -> Result<(), String> {
        let call = &mut self.calls[place];
        if std::mem::replace(&mut call.answered, true) {
            return Err(format!("call {place}: a second final answer"));
        }
        let harmless = matches!(
            world.calls[place],
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        let ran = call
            .tried
            .iter()
            .any(|t| t.over.is_none_or(|o| !o.proves_not_executed()));
        if refused && ran && !harmless {
            return Err(format!("call {place}: refused though it may have run"));
        }
        Ok(())
    }

    /// Notes the end of an attempt; the event that tells of it.
    fn ends(&mut self, place: usize, number: u32, outcome: Outcome) -> Option<Event> {
        let now = self.now;
        let call = &mut self.calls[place];
        let tried = call
            .tried
            .get_mut(number as usize)
            .filter(|t| t.over.is_none())?;
        tried.over = Some(outcome);
        let elapsed = now - tried.sent;
        if outcome == Outcome::Served {
            call.answered = true;
        }
        let closed = call.answered;
        let load = LoadReport::default();
        Some(Event::Outcome {
            call: CallId(place as u64),
            attempt: number,
            outcome,
            elapsed,
            closed,
            load,
        })
    }

    /// What may happen next.
    fn next(&self, world: &World) -> Vec<Step> {
        const OUTCOMES: [Outcome; 6] = [
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotSent,
        ];
        let mut steps = vec![Step::Passes];
        for (place, call) in self.calls.iter().enumerate() {
            if call.asked.is_none() {
                steps.push(Step::Asks(place));
                // Calls that have not come are alike only if their classes are: each may come first.
                continue;
            }
            for (number, _) in call
                .tried
                .iter()
                .enumerate()
                .filter(|(_, t)| t.over.is_none())
            {
                steps.extend(
                    OUTCOMES
                        .iter()
                        .map(|o| Step::Ends(place, number as u32, *o)),
                );
            }
            if !call.answered {
                steps.push(Step::Leaves(place));
            }
        }
        for (server, (ready, ..)) in (0..).zip(&self.servers) {
            steps.push(if *ready {
                Step::Drains(server)
            } else {
                Step::Restarts(server)
            });
        }
        debug_assert!(steps.len() < 64, "{world:?}");
        steps
    }

    fn take(&mut self, world: &World, step: Step) -> Result<(), String> {
        self.steps.push(step);
        match step {
            Step::Asks(place) => {
                self.calls[place].asked = Some(self.now);
                let hedge = if world.copies {
                    Hedge::Auto
                } else {
                    Hedge::Never
                };
                let terms = CallPolicy {
                    max_attempts: world.attempts,
                    hedge,
                    ..CallPolicy::default()
                };
                self.tell(
                    world,
                    Event::Request {
                        call: CallId(place as u64),
                        class: ClassId(place),
                        tenant: None,
                        time_left: DEADLINE,
                        is_retry: false,
                        policy: terms,
                    },
                )
            }
            Step::Ends(place, number, outcome) => match self.ends(place, number, outcome) {
                Some(event) => self.tell(world, event),
                None => Ok(()),
            },
            Step::Leaves(place) => {
                self.calls[place].answered = true;
                self.tell(
                    world,
                    Event::ClientDisconnected {
                        call: CallId(place as u64),
                    },
                )?;
                for number in 0..self.calls[place].tried.len() as u32 {
                    if let Some(event) = self.ends(place, number, Outcome::Cancelled) {
                        self.tell(world, event)?;
                    }
                }
                Ok(())
            }
            Step::Passes => self.pass(world),
            Step::Drains(server) => {
                let started = self.servers[server as usize].1;
                self.servers[server as usize] = (false, started, Some(self.now));
                let entries = vec![entry(server, EndpointStatus::Draining, started)];
                self.tell(
                    world,
                    Event::EndpointList {
                        kind: ListUpdateKind::Delta,
                        entries,
                    },
                )
            }
            Step::Restarts(server) => {
                self.servers[server as usize] = (true, self.now, None);
                let entries = vec![entry(server, EndpointStatus::Ready, self.now)];
                self.tell(
                    world,
                    Event::EndpointList {
                        kind: ListUpdateKind::Delta,
                        entries,
                    },
                )
            }
        }
    }

    /// A step of time: attempts that time out, then the decisions' timer, and at a deadline the call must have ended.
    fn pass(&mut self, world: &World) -> Result<(), String> {
        let end = self.now + world.step;
        loop {
            let attempts = self.calls.iter().enumerate().flat_map(|(place, call)| {
                let out = call
                    .tried
                    .iter()
                    .enumerate()
                    .filter(|(_, t)| t.over.is_none());
                out.map(move |(number, t)| (t.until, place, number as u32))
            });
            let first = attempts.min().filter(|a| a.0 <= end);
            let wake = self.wake.filter(|&at| at <= end);
            match (first, wake) {
                (Some((at, place, number)), wake) if wake.is_none_or(|w| at <= w) => {
                    self.now = self.now.max(at);
                    if let Some(event) = self.ends(place, number, Outcome::TimedOut) {
                        self.tell(world, event)?;
                    }
                }
                (_, Some(at)) => {
                    self.now = self.now.max(at);
                    self.wake = None;
                    self.tell(world, Event::Timer)?;
                }
                _ => break,
            }
            self.overdue()?;
        }
        self.now = end;
        self.overdue()
    }

    fn overdue(&self) -> Result<(), String> {
        for (place, call) in self.calls.iter().enumerate() {
            if !call.answered && call.asked.is_some_and(|at| self.now > at + DEADLINE) {
                return Err(format!(
                    "call {place}: no final answer in its client's time"
                ));
            }
        }
        Ok(())
    }

    /// What the decisions count against what is there.
    fn audit(&self) -> Result<(), String> {
        for server in 0..self.servers.len() as u32 {
            let tried = self.calls.iter().flat_map(|c| &c.tried);
            let out = tried
                .filter(|t| t.server == server && t.over.is_none())
                .count() as u32;
            if let Some(view) = self
                .balancer
                .view(self.now, EndpointId(server))
                .filter(|v| v.in_flight != out)
            {
                return Err(format!(
                    "server {server}: {} counted in flight, {out} are",
                    view.in_flight
                ));
            }
        }
        let open = self.calls.iter().filter(|c| c.asked.is_some());
        let open = open
            .filter(|c| !c.answered || c.tried.iter().any(|t| t.over.is_none()))
            .count();
        match self.balancer.call_totals().open {
            known if known > open => Err(format!("{known} calls known, {open} there")),
            _ => Ok(()),
        }
    }

    fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        // All that the decisions remember shows in their debug form; times in it are those of this world.
        let mut text = String::new();
        let _ = write!(text, "{:?}", self.balancer);
        text.hash(&mut hasher);
        (self.now, self.wake).hash(&mut hasher);
        for call in &self.calls {
            (call.asked, call.answered).hash(&mut hasher);
            call.tried
                .iter()
                .for_each(|t| (t.server, t.sent, t.until, t.over).hash(&mut hasher));
        }
        self.servers.hash(&mut hasher);
        hasher.finish()
    }
}

fn entry(server: u32, state: EndpointStatus, started: Micros) -> EndpointEntry {
    let cell = badgerramp_decisions::CellId(group(server));
    EndpointEntry {
        endpoint: EndpointId(server),
        status: state,
        cell,
        started,
        ..EndpointEntry::default()
    }
}

/// Goes through all orders, breadth first: the first counterexample is one of the shortest.
pub fn check(world: &World) -> Exploration {
    let mut checked = Exploration::default();
    let mut level = match Node::first(world) {
        Ok(node) => vec![node],
        Err(violation) => {
            checked.counterexample = Some(Counterexample {
                violation,
                steps: Vec::new(),
            });
            return checked;
        }
    };
    let mut seen: FxHashSet<u64> = FxHashSet::default();
    for depth in 1..=world.depth {
        let mut next = Vec::new();
        for node in &level {
            for step in node.next(world) {
                checked.steps += 1;
                let mut after = node.clone();
                if let Err(violation) = after.take(world, step).and_then(|()| after.audit()) {
                    checked.counterexample = Some(Counterexample {
                        violation,
                        steps: after.steps,
                    });
                    checked.states = seen.len();
                    return checked;
                }
                if seen.len() < world.most {
                    if seen.insert(after.hash()) {
                        next.push(after);
                    }
                } else {
                    checked.truncated = true;
                }
            }
        }
        checked.states = seen.len();
        if checked.truncated {
            break;
        }
        checked.depth = depth;
        level = next;
    }
    checked
}

/// A counterexample as a test that can be kept.
pub fn as_test(world: &World, found: &Counterexample) -> String {
    let mut out = String::from("#[test]\nfn found_by_the_model_check() {\n");
    let _ = writeln!(out, "    // {}", found.violation);
    let _ = writeln!(out, "    let world = {world:?};");
    let _ = writeln!(out, "    let steps = {:?};", found.steps);
    out + "    assert_eq!(badgerramp_simulator::check::replay(&world, &steps), Ok(()));\n}\n"
}

/// Takes these steps one after the other.
///
/// # Errors
/// What breaks, in words.
pub fn replay(world: &World, steps: &[Step]) -> Result<(), String> {
    let mut node = Node::first(world)?;
    for step in steps {
        node.take(world, *step)?;
        node.audit()?;
    }
    Ok(())
}

/// The worlds that are checked by default.
pub fn default_worlds(depth: usize, most: usize) -> Vec<World> {
    let keyed = Idempotency::Keyed {
        scope: DedupScope::Cell,
        window: WINDOW,
    };
    let all = Idempotency::Keyed {
        scope: DedupScope::All,
        window: WINDOW,
    };
    let world = |servers, calls: &[Idempotency], copies| World {
        servers,
        calls: calls.to_vec(),
        depth,
        attempts: 3,
        copies,
        step: 130_000,
        most,
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
