//! Model check of leases and transitions in one region, using the decisions of the crate itself. It explores every order
//! of events in small models: lost, late, duplicated and reordered messages, crashes and restarts, leader changes, slow
//! clocks, publishes and aborts. Each proxy starts a call whenever it is allowed to. A second test adds seeded defects to
//! the models, each of which the check has to find.

mod model;
mod mutant;

use badgerramp_policy::{ChangeStatus, Leases, Mode, OnLeaseLoss};
use model::{LeaseModel, State, Step, CLOCK_DRIFT};
use mutant::{Mutant, ALL};
use stateright::{Checker, Model, Property};

const SAFETY: &str = "generations are never mixed and reported outcomes hold";
const CHANGE_ENDS: &str = "every change ends when no more faults occur";
const CHANGE_COMMITTED: &str = "a change is committed";

/// Depth that exceeds every state of the models that are searched completely.
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
            // A clock falls behind by no more than the allowance during one lease.
            let may_lag =
                |&proxy: &usize| state.now >= state.clock_lags[proxy].1 + self.lease + CLOCK_DRIFT;
            steps.extend(
                (0..self.proxies.len())
                    .filter(may_lag)
                    .map(|proxy| Step::Tick(Some(proxy))),
            );
        }
        steps.extend(
            (0..self.proxies.len())
                .filter(|&proxy| state.last_requests[proxy] < self.max_requests)
                .map(Step::SendRequest),
        );
        steps.extend(
            state
                .requests_in_flight
                .iter()
                .map(|(proxy, request)| Step::DeliverRequest(*proxy, request.sequence)),
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
                || (self.has_defect(Mutant::AbortAfterCommit) && state.previous_record.is_some()))
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
            Step::DeliverRequest(proxy, sequence) => {
                let found = state
                    .requests_in_flight
                    .iter()
                    .find(|(sender, request)| (*sender, request.sequence) == (proxy, sequence));
                let request = found?.1.clone();
                self.deliver_request(&mut state, proxy, &request);
            }
            Step::DeliverGrant(index) => {
                // The grant stays in flight and may arrive again, which the proxy has to detect.
                let (proxy, grant) = state.grants_in_flight[index];
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
                let elected_at = if self.has_defect(Mutant::NoWaitAfterElection) {
                    0
                } else {
                    state.now
                };
                let leases = std::mem::replace(
                    &mut state.leases,
                    Leases::after_election(self.lease_config(), elected_at),
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
            Property::always(SAFETY, |_, state: &State| state.violation.is_none()),
            Property::always(CHANGE_ENDS, |model: &LeaseModel, state: &State| {
                model.mutant.is_some() || state.violation.is_some() || model.change_ends(state)
            }),
            Property::sometimes(CHANGE_COMMITTED, |_, state: &State| {
                state
                    .record
                    .changes()
                    .values()
                    .filter(|change| change.status == ChangeStatus::Committed)
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

/// A model and the depth to which it is searched.
struct Scenario {
    name: &'static str,
    model: LeaseModel,
    depth: usize,
}

/// Returns models of one proxy, which are searched completely.
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

/// Returns models of several proxies, which are searched to a limited depth.
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
    // For a deeper search, run: POLICY_DEEPER=4 cargo test --release -p badgerramp-policy --test lease_model
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
        checker.assert_no_discovery(SAFETY);
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
        let discovery = checker.discovery(SAFETY);
        let steps = discovery.map(|path| path.into_actions());
        println!(
            "{mutant:?}: {} states, {:?}",
            checker.unique_state_count(),
            steps
        );
        assert!(steps.is_some(), "{mutant:?} is not found");
    }
}
