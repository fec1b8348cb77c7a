//! Every order of events in small worlds, on the very decisions of proxies and control: questions and answers that are
//! lost, late, doubled and reordered, crashes and restarts, leaders that change, clocks that fall behind, publishes,
//! aborts. Each proxy is taken to begin a call at every moment at which it may. Then the same worlds with the decisions
//! used in a wrong way: each must be found.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

use badgerramp_policy::{
    Admission, ChangeStatus, Command, Generation, GrantOutcome, Identity, InvariantChecker,
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseHolderConfig, LeaseRequest, Leases, Mode,
    OnLeaseLoss, Outcome, Record, StartedCall,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// A wrong way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    /// From old to new at one step.
    NoMiddle,
    /// A lease counted from when its grant came in.
    LeaseFromReceipt,
    /// The middle is left before all have told.
    AdvanceEarly,
    /// What disk remembers of a lease stands in for one.
    DiskIsLicence,
    /// A new leader counts on nothing that others lent.
    NoWaitAfterElection,
    /// A leader answers without asking whether it still is one.
    DeposedAnswers,
    /// No allowance for clocks that fall behind.
    NoDrift,
    /// An answer to an older question counts for the one that is out.
    AnyAnswer,
    /// A proxy tells that it acts under the middle before it does.
    ToldAhead,
    /// A change is given up after it was said to be in force.
    AbortLate,
    /// A number is used again after its change came to nothing.
    NumberAgain,
    /// What one process of a name asks clears what another one of that name was lent.
    TwinClears,
    /// A grant is noted only when the proxy has said that it has it.
    NotedLate,
    /// Control forgets that a proxy goes on without a lease.
    KeeperForgotten,
}

const ALL: [Mutant; 14] = [
    Mutant::NoMiddle,
    Mutant::LeaseFromReceipt,
    Mutant::AdvanceEarly,
    Mutant::DiskIsLicence,
    Mutant::NoWaitAfterElection,
    Mutant::DeposedAnswers,
    Mutant::NoDrift,
    Mutant::AnyAnswer,
    Mutant::ToldAhead,
    Mutant::AbortLate,
    Mutant::NumberAgain,
    Mutant::TwinClears,
    Mutant::NotedLate,
    Mutant::KeeperForgotten,
];

/// What a world allows.
#[derive(Clone, Debug)]
struct World {
    /// What each proxy does when cut off.
    proxies: Vec<OnLeaseLoss>,
    lease: u64,
    questions: u64,
    publishes: u8,
    crashes: u8,
    elections: u8,
    aborts: u8,
    until: u64,
    mutant: Option<Mutant>,
}

const DRIFT: u64 = 1;
/// How long a proxy waits for an answer.
const ANSWER: u64 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Step {
    /// Time passes; the clock of this proxy may miss it.
    Tick(Option<usize>),
    Asks(usize),
    /// A question comes in; it may come in again.
    Question(usize, u64),
    Answer(usize),
    Publishes,
    Advances,
    Aborts,
    Crashes(usize),
    Elects,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    record: Record,
    leases: Leases,
    /// The leader before, which may not know: what it has lent, and the record as it has it.
    deposed: Option<(Leases, Record)>,
    holders: Vec<LeaseHolder>,
    /// How far each clock has fallen behind, and when it last did.
    behind: Vec<(u64, u64)>,
    asked: Vec<u64>,
    questions: Vec<(usize, LeaseRequest)>,
    answers: Vec<(usize, LeaseGrant)>,
    judge: InvariantChecker,
    left: (u8, u8, u8, u8),
    /// For mutants: the record as it was.
    before: Option<Record>,
    fault: Option<&'static str>,
}

fn identity(place: usize, incarnation: u64) -> Identity {
    Identity {
        name: format!("p{place}"),
        incarnation,
    }
}

impl World {
    fn holder(&self, place: usize, incarnation: u64) -> LeaseHolder {
        // Texts are no matter here: all of them are there.
        let has = (0..4).map(Generation).collect();
        let terms = LeaseHolderConfig {
            on_lease_loss: self.proxies[place],
            request_timeout: ANSWER,
            retry_delay: 1,
        };
        LeaseHolder::new(identity(place, incarnation), terms, has)
    }

    fn terms(&self) -> LeaseConfig {
        let drift = if self.mutant == Some(Mutant::NoDrift) {
            0
        } else {
            DRIFT
        };
        LeaseConfig {
            duration: self.lease,
            max_clock_drift: drift,
        }
    }

    fn first(&self) -> State {
        let mut record = Record::default();
        let floors = BTreeSet::new();
        record.apply(&Command::Publish {
            revision: 0,
            text: String::new(),
            fallback_generations: floors,
            all_regions: None,
        });
        for (place, &cut_off) in self.proxies.iter().enumerate() {
            if cut_off != OnLeaseLoss::Reject {
                record.apply(&Command::Register {
                    identity: identity(place, 1),
                    on_lease_loss: cut_off,
                });
            }
        }
        let now = self.lease + DRIFT;
        let mut state = State {
            now,
            record,
            // It has led for long.
            leases: Leases::after_election(self.terms(), 0),
            deposed: None,
            holders: (0..self.proxies.len())
                .map(|place| self.holder(place, 1))
                .collect(),
            behind: vec![(0, 0); self.proxies.len()],
            asked: vec![0; self.proxies.len()],
            questions: Vec::new(),
            answers: Vec::new(),
            judge: InvariantChecker::default(),
            left: (self.publishes, self.crashes, self.elections, self.aborts),
            before: None,
            fault: None,
        };
        // All of them serve when the course begins.
        for place in 0..self.proxies.len() {
            let ask = state.holders[place].request(now);
            state.asked[place] = ask.sequence;
            self.question(&mut state, place, &ask);
            let (_, grant) = state.answers.remove(0);
            self.answer(&mut state, place, grant);
        }
        state
    }

    /// What can have no effect any more is no part of a state.
    fn plain(&self, state: &mut State) {
        let asked = &state.asked;
        if !self.is(Mutant::AnyAnswer) {
            let out = |p: usize| state.holders[p].request_deadline().is_some();
            state
                .answers
                .retain(|(p, grant)| grant.sequence == asked[*p] && out(*p));
        }
        state.leases.expire(state.now);
        state.holders.iter_mut().for_each(|h| h.request_soon(0));
    }

    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn may_advance(&self, state: &State) -> bool {
        let Some(mode) = state.record.mode().filter(|m| m.is_transition()) else {
            return false;
        };
        let forgotten = |b: &badgerramp_policy::Blocker| {
            self.is(Mutant::KeeperForgotten)
                && b.reason == badgerramp_policy::BlockReason::ServesWithoutLease
        };
        self.is(Mutant::AdvanceEarly)
            || (state
                .leases
                .blockers(state.now, &state.record)
                .iter()
                .all(forgotten)
                && state.leases.rejected_generation(mode).is_none())
    }

    fn question(&self, state: &mut State, place: usize, ask: &LeaseRequest) {
        let mut ask = ask.clone();
        if self.is(Mutant::ToldAhead) {
            ask.active_revision = state.record.revision();
        }
        if self.is(Mutant::TwinClears) {
            (0..self.proxies.len())
                .filter(|&p| p != place)
                .for_each(|p| state.leases.unregister(&identity(p, 1)));
        }
        let deposed = state
            .deposed
            .iter_mut()
            .filter(|_| self.is(Mutant::DeposedAnswers));
        let leaders = deposed
            .map(|(l, r)| (l, &*r))
            .chain([(&mut state.leases, &state.record)]);
        for (leases, record) in leaders {
            let before = leases.clone();
            let GrantOutcome::Granted(grant) = leases.grant(state.now, record, &ask) else {
                continue;
            };
            if self.is(Mutant::NotedLate) && ask.active_revision != grant.mode.revision {
                *leases = before;
            }
            let answer = (place, grant);
            if !state.answers.contains(&answer) {
                state.answers.push(answer);
            }
        }
        state
            .answers
            .sort_by_key(|(place, grant)| (*place, grant.sequence, grant.mode.revision));
    }

    fn answer(&self, state: &mut State, place: usize, mut grant: LeaseGrant) {
        let clock = state.now - state.behind[place].0;
        let holder = &mut state.holders[place];
        if self.is(Mutant::AnyAnswer) {
            grant.sequence = state.asked[place];
        }
        if let Some(gives_up) = holder
            .request_deadline()
            .filter(|_| self.is(Mutant::LeaseFromReceipt))
        {
            grant.duration += clock - (gives_up - ANSWER);
        }
        holder.on_grant(clock, grant);
    }

    fn crash(&self, state: &mut State, place: usize) {
        let held = state.holders[place].lease();
        let incarnation = 2 + u64::from(self.crashes - state.left.1);
        let mut anew = self.holder(place, incarnation);
        // Its numbers begin anew with it; what is on its way to or from the old one finds nobody.
        state.asked[place] = 0;
        state.questions.retain(|(p, _)| *p != place);
        state.answers.retain(|(p, _)| *p != place);
        if let Some((mode, _)) = held.filter(|_| self.is(Mutant::DiskIsLicence)) {
            let clock = state.now - state.behind[place].0;
            let ask = anew.request(clock);
            state.asked[place] = ask.sequence;
            anew.on_grant(
                clock,
                LeaseGrant {
                    sequence: ask.sequence,
                    mode,
                    duration: self.lease,
                },
            );
        }
        if self.proxies[place] != OnLeaseLoss::Reject {
            let identity = identity(place, incarnation);
            state.record.apply(&Command::Register {
                identity,
                on_lease_loss: self.proxies[place],
            });
        }
        state.holders[place] = anew;
    }

    fn publish(&self, state: &mut State) {
        if self.is(Mutant::NumberAgain) {
            state.before = Some(state.record.clone());
        }
        let (revision, floors) = (state.record.revision(), state.record.fallback_generations());
        let published = state.record.apply(&Command::Publish {
            revision,
            text: String::new(),
            fallback_generations: floors,
            all_regions: None,
        });
        if self.is(Mutant::NoMiddle) && matches!(published, Outcome::Started(_)) {
            self.advance(state);
        }
    }

    fn advance(&self, state: &mut State) {
        if self.is(Mutant::AbortLate) {
            state.before = Some(state.record.clone());
        }
        let Some(mode) = state.record.mode() else {
            return;
        };
        if state.record.apply(&Command::Advance {
            revision: mode.revision,
        }) == Outcome::Applied
        {
            state.judge.record_committed(mode.new);
        }
    }

    fn abort(&self, state: &mut State) {
        if let Some(before) = state.before.clone().filter(|_| self.is(Mutant::AbortLate)) {
            state.record = before;
        }
        let Some(mode) = state.record.mode() else {
            return;
        };
        let command = Command::Abort {
            revision: mode.revision,
            reason: String::new(),
        };
        if state.record.apply(&command) == Outcome::Applied && !state.judge.record_aborted(mode.new)
        {
            state.fault = Some("a generation came to nothing under which calls had begun");
        }
        if let Some(before) = state
            .before
            .clone()
            .filter(|_| self.is(Mutant::NumberAgain))
        {
            state.record = before;
        }
    }

    /// All that may begin now begins.
    fn begin(&self, state: &mut State) {
        for place in 0..state.holders.len() {
            let clock = state.now - state.behind[place].0;
            if let Admission::Under(mode) = state.holders[place].admission(clock) {
                let begun = StartedCall {
                    identity: identity(place, 0),
                    mode,
                };
                if state.judge.record_start(&begun).is_some() && state.fault.is_none() {
                    state.fault = Some("a call began that must not");
                }
            }
        }
    }

    /// With no faults any more, and an operator who evicts what is dead, a change ends within a lease and two rounds.
    fn ends(&self, state: &State) -> bool {
        let mut state = state.clone();
        let alive: Vec<Identity> = state
            .holders
            .iter_mut()
            .map(|h| h.request(0).identity)
            .collect();
        let dead: Vec<Identity> = state
            .record
            .leaseless_proxies()
            .keys()
            .filter(|i| !alive.contains(i))
            .cloned()
            .collect();
        for identity in dead {
            state.record.apply(&Command::Evict { identity });
        }
        for _ in 0..=self.lease + DRIFT + 2 {
            for place in 0..self.proxies.len() {
                let clock = state.now - state.behind[place].0;
                let ask = state.holders[place].request(clock);
                if let GrantOutcome::Granted(grant) =
                    state.leases.grant(state.now, &state.record, &ask)
                {
                    state.holders[place].on_grant(clock, grant);
                }
            }
            if state.record.mode().is_none_or(|m| !m.is_transition()) {
                return true;
            }
            if self.may_advance(&state) {
                self.advance(&mut state);
            }
            state.now += 1;
        }
        false
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.first()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.fault.is_some() {
            return;
        }
        let middle = state.record.mode().is_some_and(Mode::is_transition);
        if state.now < self.until {
            steps.push(Step::Tick(None));
            // A clock falls behind by no more than is allowed for over one lease.
            let may = |&p: &usize| state.now >= state.behind[p].1 + self.lease + DRIFT;
            steps.extend(
                (0..self.proxies.len())
                    .filter(may)
                    .map(|p| Step::Tick(Some(p))),
            );
        }
        steps.extend(
            (0..self.proxies.len())
                .filter(|&p| state.asked[p] < self.questions)
                .map(Step::Asks),
        );
        steps.extend(
            state
                .questions
                .iter()
                .map(|(p, ask)| Step::Question(*p, ask.sequence)),
        );
        steps.extend((0..state.answers.len()).map(Step::Answer));
        if state.left.0 > 0 && !middle {
            steps.push(Step::Publishes);
        }
        if self.may_advance(state) {
            steps.push(Step::Advances);
        }
        if state.left.1 > 0 {
            steps.extend((0..self.proxies.len()).map(Step::Crashes));
        }
        if state.left.2 > 0 {
            steps.push(Step::Elects);
        }
        if state.left.3 > 0 && (middle || (self.is(Mutant::AbortLate) && state.before.is_some())) {
            steps.push(Step::Aborts);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick(slow) => {
                state.now += 1;
                if let Some(place) = slow {
                    state.behind[place] = (state.behind[place].0 + 1, state.now);
                }
            }
            Step::Asks(place) => {
                let ask = state.holders[place].request(state.now - state.behind[place].0);
                state.asked[place] = ask.sequence;
                state.questions.push((place, ask));
            }
            Step::Question(place, number) => {
                let found = state
                    .questions
                    .iter()
                    .find(|(p, ask)| (*p, ask.sequence) == (place, number));
                let ask = found?.1.clone();
                self.question(&mut state, place, &ask);
            }
            Step::Answer(number) => {
                // It may come again: the proxy itself has to tell.
                let (place, grant) = state.answers[number];
                self.answer(&mut state, place, grant);
            }
            Step::Publishes => {
                state.left.0 -= 1;
                self.publish(&mut state);
            }
            Step::Advances => self.advance(&mut state),
            Step::Aborts => {
                state.left.3 -= 1;
                self.abort(&mut state);
            }
            Step::Crashes(place) => {
                state.left.1 -= 1;
                self.crash(&mut state, place);
            }
            Step::Elects => {
                state.left.2 -= 1;
                let since = if self.is(Mutant::NoWaitAfterElection) {
                    0
                } else {
                    state.now
                };
                let leases = std::mem::replace(
                    &mut state.leases,
                    Leases::after_election(self.terms(), since),
                );
                state.deposed = Some((leases, state.record.clone()));
            }
        }
        self.begin(&mut state);
        self.plain(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never mixed, everywhere or nowhere", |_, s: &State| {
                s.fault.is_none()
            }),
            Property::always("a change ends once faults end", |w: &World, s: &State| {
                w.mutant.is_some() || s.fault.is_some() || w.ends(s)
            }),
            Property::sometimes("a change comes into force", |_, s: &State| {
                s.record
                    .changes()
                    .values()
                    .filter(|c| c.status == ChangeStatus::Committed)
                    .count()
                    > 1
            }),
        ]
    }
}

fn world(proxies: &[OnLeaseLoss]) -> World {
    World {
        proxies: proxies.to_vec(),
        lease: 2,
        questions: 3,
        publishes: 1,
        crashes: 0,
        elections: 0,
        aborts: 0,
        until: 7,
        mutant: None,
    }
}

/// The worlds that are gone through, and how deep.
fn worlds() -> Vec<(&'static str, World, usize)> {
    use OnLeaseLoss::{Keep, Reject};
    let two = world(&[Reject, Reject]);
    vec![
        (
            "one proxy",
            World {
                questions: 4,
                ..world(&[Reject])
            },
            40,
        ),
        (
            "one proxy, an election",
            World {
                elections: 1,
                ..world(&[Reject])
            },
            40,
        ),
        (
            "one proxy, a crash",
            World {
                crashes: 1,
                ..world(&[Reject])
            },
            40,
        ),
        (
            "one that keeps, a crash",
            World {
                crashes: 1,
                ..world(&[Keep])
            },
            40,
        ),
        (
            "one proxy, changes given up",
            World {
                publishes: 2,
                aborts: 1,
                questions: 4,
                ..world(&[Reject])
            },
            40,
        ),
        ("two proxies", World { ..two.clone() }, 9),
        (
            "an election",
            World {
                elections: 1,
                ..two.clone()
            },
            8,
        ),
        (
            "a crash",
            World {
                crashes: 1,
                ..two.clone()
            },
            8,
        ),
        (
            "two changes, one given up",
            World {
                publishes: 2,
                aborts: 1,
                ..two.clone()
            },
            8,
        ),
        (
            "one that keeps",
            World {
                crashes: 1,
                ..world(&[Keep, Reject])
            },
            8,
        ),
        ("three proxies", world(&[Reject, Reject, Reject]), 7),
    ]
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

#[test]
fn in_small_worlds_every_order_keeps_the_properties() {
    // For a longer look: POLICY_DEEPER=4 cargo test --release -p badgerramp-policy --test exhaustive
    let deeper = std::env::var("POLICY_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(0);
    for (name, world, depth) in worlds() {
        let depth = depth + deeper;
        let checker = world
            .checker()
            .threads(threads())
            .target_max_depth(depth)
            .spawn_bfs()
            .join();
        println!(
            "{name}: {} states to depth {depth}",
            checker.unique_state_count()
        );
        checker.assert_no_discovery("never mixed, everywhere or nowhere");
        checker.assert_no_discovery("a change ends once faults end");
        if depth >= 40 {
            checker.assert_any_discovery("a change comes into force");
        }
    }
}

#[test]
fn each_wrong_way_is_found() {
    for mutant in ALL {
        use OnLeaseLoss::{Keep, Reject};
        let one = World {
            mutant: Some(mutant),
            ..world(&[Reject])
        };
        let world = match mutant {
            Mutant::NoWaitAfterElection | Mutant::DeposedAnswers => World {
                elections: 1,
                ..one
            },
            Mutant::DiskIsLicence => World { crashes: 1, ..one },
            Mutant::AbortLate => World { aborts: 1, ..one },
            Mutant::NumberAgain => World {
                aborts: 1,
                publishes: 2,
                ..one
            },
            Mutant::KeeperForgotten => World {
                proxies: vec![Keep],
                ..one
            },
            Mutant::TwinClears => World {
                proxies: vec![Reject, Reject],
                questions: 2,
                until: 6,
                ..one
            },
            _ => one,
        };
        let checker = world
            .checker()
            .threads(threads())
            .target_max_depth(14)
            .spawn_bfs()
            .join();
        let found = checker.discovery("never mixed, everywhere or nowhere");
        let steps = found.map(|path| path.into_actions());
        println!(
            "{mutant:?}: {} states, {:?}",
            checker.unique_state_count(),
            steps
        );
        assert!(steps.is_some(), "{mutant:?} is not found");
    }
}
