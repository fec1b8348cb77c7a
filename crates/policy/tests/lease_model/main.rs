//! Model check of leases and transitions in one region, on the decisions of the real crate: every order of events in
//! small models, with messages that are lost, late, duplicated and reordered, crashes and restarts, leader changes, slow
//! clocks, publishes and aborts. Each proxy starts a call at every moment at which it may. Then the same models with a
//! seeded defect: each has to be found.

mod model;
mod mutant;

use badgerramp_policy::{ChangeStatus, Leases, Mode, OnLeaseLoss};
use model::{LeaseModel, State, Step, CLOCK_DRIFT};
use mutant::{Mutant, ALL};
use stateright::{Checker, Model, Property};

const NEVER_MIXED: &str = "never mixed, everywhere or nowhere";
const CHANGE_ENDS: &str = "a change ends once faults end";
const CHANGE_COMMITTED: &str = "a change is committed";

/// Deeper than any state of the models that are searched completely.
const COMPLETE_DEPTH: usize = 40;
/// Depth at which every mutant is found.
const MUTANT_DEPTH: usize = 14;

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        let in_transition = state.record.mode().is_some_and(Mode::is_transition);
        if state.now < self.until {
            steps.push(Step::Tick(None));
            // A clock lags by no more than the allowance during one lease.
            let may = |&p: &usize| state.now >= state.clock_lags[p].1 + self.lease + CLOCK_DRIFT;
            steps.extend(
                (0..self.proxies.len())
                    .filter(may)
                    .map(|p| Step::Tick(Some(p))),
            );
        }
        steps.extend(
            (0..self.proxies.len())
                .filter(|&p| state.last_requests[p] < self.max_requests)
                .map(Step::SendRequest),
        );
        steps.extend(
            state
                .requests_in_flight
                .iter()
                .map(|(p, request)| Step::DeliverRequest(*p, request.sequence)),
        );
        steps.extend((0..state.grants_in_flight.len()).map(Step::DeliverGrant));
        if state.remaining.publishes > 0 && !in_transition {
            steps.push(Step::Publish);
        }
        if self.can_advance(state) {
            steps.push(Step::Advance);
        }
        if state.remaining.crashes > 0 {
            steps.extend((0..self.proxies.len()).map(Step::Crash));
        }
        if state.remaining.elections > 0 {
            steps.push(Step::Elect);
        }
        if state.remaining.aborts > 0
            && (in_transition
                || (self.is(Mutant::AbortAfterCommit) && state.previous_record.is_some()))
        {
            steps.push(Step::Abort);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick(lagging) => {
                state.now += 1;
                if let Some(proxy) = lagging {
                    state.clock_lags[proxy] = (state.clock_lags[proxy].0 + 1, state.now);
                }
            }
            Step::SendRequest(proxy) => {
                let request = state.holders[proxy].request(state.now - state.clock_lags[proxy].0);
                state.last_requests[proxy] = request.sequence;
                state.requests_in_flight.push((proxy, request));
            }
            Step::DeliverRequest(proxy, number) => {
                let found = state
                    .requests_in_flight
                    .iter()
                    .find(|(p, request)| (*p, request.sequence) == (proxy, number));
                let request = found?.1.clone();
                self.deliver_request(&mut state, proxy, &request);
            }
            Step::DeliverGrant(number) => {
                // It may arrive again: the proxy itself has to detect that.
                let (proxy, grant) = state.grants_in_flight[number];
                self.deliver_grant(&mut state, proxy, grant);
            }
            Step::Publish => {
                state.remaining.publishes -= 1;
                self.publish(&mut state);
            }
            Step::Advance => self.advance(&mut state),
            Step::Abort => {
                state.remaining.aborts -= 1;
                self.abort(&mut state);
            }
            Step::Crash(proxy) => {
                state.remaining.crashes -= 1;
                self.crash(&mut state, proxy);
            }
            Step::Elect => {
                state.remaining.elections -= 1;
                let since = if self.is(Mutant::NoWaitAfterElection) {
                    0
                } else {
                    state.now
                };
                let leases = std::mem::replace(
                    &mut state.leases,
                    Leases::after_election(self.lease_config(), since),
                );
                state.deposed = Some((leases, state.record.clone()));
            }
        }
        self.start_calls(&mut state);
        self.normalize(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_MIXED, |_, s: &State| s.violation.is_none()),
            Property::always(CHANGE_ENDS, |w: &LeaseModel, s: &State| {
                w.mutant.is_some() || s.violation.is_some() || w.change_ends(s)
            }),
            Property::sometimes(CHANGE_COMMITTED, |_, s: &State| {
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

fn model(proxies: &[OnLeaseLoss]) -> LeaseModel {
    LeaseModel {
        proxies: proxies.to_vec(),
        lease: 2,
        max_requests: 3,
        publishes: 1,
        crashes: 0,
        elections: 0,
        aborts: 0,
        until: 7,
        mutant: None,
    }
}

/// A model and how deep it is searched.
struct Scenario {
    name: &'static str,
    model: LeaseModel,
    depth: usize,
}

/// Models of one proxy, searched completely.
fn complete_scenarios() -> Vec<Scenario> {
    use OnLeaseLoss::{Keep, Reject};
    let one = model(&[Reject]);
    let scenario = |name, model| Scenario {
        name,
        model,
        depth: COMPLETE_DEPTH,
    };
    let one_proxy = LeaseModel {
        max_requests: 4,
        ..one.clone()
    };
    let election = LeaseModel {
        elections: 1,
        ..one.clone()
    };
    let crash = LeaseModel {
        crashes: 1,
        ..one.clone()
    };
    let leaseless_crash = LeaseModel {
        crashes: 1,
        ..model(&[Keep])
    };
    let aborted_changes = LeaseModel {
        publishes: 2,
        aborts: 1,
        max_requests: 4,
        ..one
    };
    vec![
        scenario("one proxy", one_proxy),
        scenario("one proxy, an election", election),
        scenario("one proxy, a crash", crash),
        scenario("one leaseless proxy, a crash", leaseless_crash),
        scenario("one proxy, aborted changes", aborted_changes),
    ]
}

/// Models of several proxies, searched to a limited depth.
fn bounded_scenarios() -> Vec<Scenario> {
    use OnLeaseLoss::{Keep, Reject};
    let two = model(&[Reject, Reject]);
    let scenario = |name, model, depth| Scenario { name, model, depth };
    let election = LeaseModel {
        elections: 1,
        ..two.clone()
    };
    let crash = LeaseModel {
        crashes: 1,
        ..two.clone()
    };
    let aborted_change = LeaseModel {
        publishes: 2,
        aborts: 1,
        ..two.clone()
    };
    let leaseless = LeaseModel {
        crashes: 1,
        ..model(&[Keep, Reject])
    };
    vec![
        scenario("two proxies", two, 9),
        scenario("an election", election, 8),
        scenario("a crash", crash, 8),
        scenario("two changes, one aborted", aborted_change, 8),
        scenario("one leaseless proxy", leaseless, 8),
        scenario("three proxies", model(&[Reject, Reject, Reject]), 7),
    ]
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

#[test]
fn every_interleaving_of_small_models_keeps_the_properties() {
    // For a deeper search: POLICY_DEEPER=4 cargo test --release -p badgerramp-policy --test lease_model
    let extra_depth = std::env::var("POLICY_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(0);
    let scenarios = complete_scenarios().into_iter().chain(bounded_scenarios());
    for Scenario { name, model, depth } in scenarios {
        let depth = depth + extra_depth;
        let checker = model
            .checker()
            .threads(threads())
            .target_max_depth(depth)
            .spawn_bfs()
            .join();
        println!(
            "{name}: {} states to depth {depth}",
            checker.unique_state_count()
        );
        checker.assert_no_discovery(NEVER_MIXED);
        checker.assert_no_discovery(CHANGE_ENDS);
        if depth >= COMPLETE_DEPTH {
            checker.assert_any_discovery(CHANGE_COMMITTED);
        }
    }
}

#[test]
fn every_mutant_is_found() {
    for mutant in ALL {
        use OnLeaseLoss::{Keep, Reject};
        let one = LeaseModel {
            mutant: Some(mutant),
            ..model(&[Reject])
        };
        let model = match mutant {
            Mutant::NoWaitAfterElection | Mutant::DeposedAnswers => LeaseModel {
                elections: 1,
                ..one
            },
            Mutant::DiskReplacesLease => LeaseModel { crashes: 1, ..one },
            Mutant::AbortAfterCommit => LeaseModel { aborts: 1, ..one },
            Mutant::GenerationReused => LeaseModel {
                aborts: 1,
                publishes: 2,
                ..one
            },
            Mutant::LeaselessForgotten => LeaseModel {
                proxies: vec![Keep],
                ..one
            },
            Mutant::SameNameClearsLease => LeaseModel {
                proxies: vec![Reject, Reject],
                max_requests: 2,
                until: 6,
                ..one
            },
            _ => one,
        };
        let checker = model
            .checker()
            .threads(threads())
            .target_max_depth(MUTANT_DEPTH)
            .spawn_bfs()
            .join();
        let found = checker.discovery(NEVER_MIXED);
        let steps = found.map(|path| path.into_actions());
        println!(
            "{mutant:?}: {} states, {:?}",
            checker.unique_state_count(),
            steps
        );
        assert!(steps.is_some(), "{mutant:?} is not found");
    }
}
