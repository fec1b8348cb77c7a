//! Model check of cross-region changes, using the decisions of the crate itself. It explores lost, late and duplicated
//! messages between regions, elections after which a leader has lost all state that is not logged, leases, timeouts,
//! aborts and local changes. Each proxy starts a call whenever it is allowed to. A second test adds seeded defects to the
//! models, each of which has to be found by the property that it violates.

mod model;
mod mutant;
mod properties;

use model::{RegionsModel, State, Step};
use properties::Violation;
use stateright::{Checker, HasDiscoveries, Model, Property};

const NEVER_MIXED: &str =
    "no call starts under the old policy after one has started under the new one";
const SAME_OUTCOME: &str = "a cross-region change has the same outcome in every region";
const COMMITTED_WITH_ALL_VOTES: &str =
    "a change is in force only when all participants have logged their votes";
const COMMITTED_ONCE: &str = "a change is committed at most once in a region";
const CHANGES_END: &str = "every change can end once messages are delivered again";
const COMMITTED: &str = "a cross-region change is committed";
const ABORTED: &str = "a cross-region change is aborted";
const BLOCKED: &str = "a region waits for a decision that the coordinator has made";

impl Model for RegionsModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        self.steps(state, steps);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let state = self.state_after(last, step);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_MIXED, |_, state: &State| {
                !state.violations.contains(&Violation::MixedGenerations)
            }),
            Property::always(SAME_OUTCOME, |_, state: &State| {
                !state.violations.contains(&Violation::OutcomesDiffer)
            }),
            Property::always(COMMITTED_WITH_ALL_VOTES, |_, state: &State| {
                !state.violations.contains(&Violation::CommittedWithoutVotes)
            }),
            Property::always(COMMITTED_ONCE, |_, state: &State| {
                !state.violations.contains(&Violation::CommittedTwice)
            }),
            Property::always(CHANGES_END, |model: &RegionsModel, state: &State| {
                !state.violations.is_empty() || model.all_changes_end(state)
            }),
            Property::sometimes(COMMITTED, |_, state: &State| {
                properties::all_ended(state, true)
            }),
            Property::sometimes(ABORTED, |_, state: &State| {
                properties::all_ended(state, false)
            }),
            Property::sometimes(BLOCKED, |_, state: &State| properties::is_blocked(state)),
        ]
    }
}

/// Maximum number of threads of a check, which shares the machine with other tests.
const MAX_THREADS: usize = 4;

fn threads() -> usize {
    std::thread::available_parallelism()
        .map_or(1, |n| n.get())
        .min(MAX_THREADS)
}

/// Depth that exceeds every state of the models that are searched completely.
const COMPLETE_DEPTH: usize = 100;

/// A model and the depth to which it is searched.
struct Scenario {
    name: &'static str,
    model: RegionsModel,
    depth: usize,
    /// The search has to find more states than this.
    min_states: usize,
}

/// Returns models of two regions with late grants, elections, aborts or several changes.
fn fault_scenarios() -> Vec<Scenario> {
    let two = RegionsModel::default();
    let scenario = |name, model, depth, min_states| Scenario {
        name,
        model,
        depth,
        min_states,
    };
    vec![
        scenario("two regions", two.clone(), COMPLETE_DEPTH, 6_700),
        scenario(
            "a late grant in each",
            RegionsModel {
                late_grants: 1,
                renewals: 1,
                ticks: 1,
                ..two.clone()
            },
            COMPLETE_DEPTH,
            42_000,
        ),
        scenario(
            "an election in each",
            RegionsModel {
                elections: 1,
                ..two.clone()
            },
            COMPLETE_DEPTH,
            129_000,
        ),
        scenario(
            "aborts of operators",
            RegionsModel {
                aborts: 1,
                ..two.clone()
            },
            COMPLETE_DEPTH,
            17_700,
        ),
        scenario(
            "two changes",
            RegionsModel {
                publishes: 2,
                ..two
            },
            COMPLETE_DEPTH,
            139_000,
        ),
    ]
}

/// Returns models with local changes, delayed logs, no initial policy, three regions, and a combination of faults.
fn configuration_scenarios() -> Vec<Scenario> {
    let two = RegionsModel::default();
    let all_at_once = RegionsModel {
        publishes: 2,
        local_publishes: 1,
        elections: 1,
        aborts: 1,
        late_grants: 1,
        delayed_log: true,
        ..two.clone()
    };
    let no_policy = RegionsModel {
        has_policy: false,
        publishes: 2,
        ..two.clone()
    };
    let scenario = |name, model, depth, min_states| Scenario {
        name,
        model,
        depth,
        min_states,
    };
    vec![
        scenario(
            "local changes",
            RegionsModel {
                local_publishes: 1,
                renewals: 1,
                ticks: 1,
                ..two.clone()
            },
            COMPLETE_DEPTH,
            31_000,
        ),
        scenario(
            "delayed logs",
            RegionsModel {
                delayed_log: true,
                ..two.clone()
            },
            COMPLETE_DEPTH,
            49_500,
        ),
        scenario("no policy yet", no_policy, COMPLETE_DEPTH, 20_300),
        scenario(
            "three regions",
            RegionsModel {
                regions: 3,
                renewals: 1,
                ticks: 1,
                ..two
            },
            COMPLETE_DEPTH,
            14_700,
        ),
        scenario("all at once", all_at_once, 7, 50_000),
    ]
}

#[test]
fn every_interleaving_of_small_models_keeps_the_properties() {
    // For a deeper search, run: REGIONS_DEEPER=4 cargo test --release -p badgerramp-policy --test regions_model
    let extra_depth: usize = std::env::var("REGIONS_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(0);
    for Scenario {
        name,
        model,
        depth,
        min_states,
    } in fault_scenarios()
        .into_iter()
        .chain(configuration_scenarios())
    {
        let depth = depth + extra_depth;
        let started_at = std::time::Instant::now();
        let checker = model
            .checker()
            .threads(threads())
            .target_max_depth(depth)
            .spawn_bfs()
            .join();
        let states = checker.unique_state_count();
        println!(
            "{name}: {states} states to depth {} in {:?}",
            checker.max_depth(),
            started_at.elapsed()
        );
        for property in [
            NEVER_MIXED,
            SAME_OUTCOME,
            COMMITTED_WITH_ALL_VOTES,
            COMMITTED_ONCE,
            CHANGES_END,
        ] {
            checker.assert_no_discovery(property);
        }
        assert!(
            states > min_states,
            "{name}: {states} states, expected more than {min_states}"
        );
        if depth >= COMPLETE_DEPTH {
            for property in [COMMITTED, ABORTED, BLOCKED] {
                checker.assert_any_discovery(property);
            }
        }
    }
}

#[test]
fn every_mutant_is_found() {
    for mutant in mutant::ALL {
        let (model, property) = mutant.model();
        let checker = model
            .checker()
            .threads(threads())
            .finish_when(HasDiscoveries::AnyOf([property].into()))
            .spawn_bfs();
        let checker = checker.join();
        let steps = checker.discovery(property).map(|path| path.into_actions());
        println!(
            "{mutant:?}: {} states: {property:?} is violated by {steps:?}",
            checker.unique_state_count()
        );
        assert!(steps.is_some(), "{mutant:?} is not found");
    }
}
