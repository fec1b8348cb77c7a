//! Model check of changes of all regions, on the very decisions of control: messages between regions that are lost, late
//! and doubled, leaders that change and forget what is not logged, leases, time-outs, aborts, changes of one region. Each
//! proxy is taken to begin a call at every moment at which it may. Then the same worlds with the decisions used in a wrong
//! way: each must be found, with the property that it breaks.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

mod judge;
mod mutant;
mod world;

use judge::Violation;
use stateright::{Checker, HasDiscoveries, Model, Property};
use world::{State, Step, World};

const MIXED: &str = "no call begins under the old policy after one has begun under the new one";
const UNLIKE: &str = "a change of all regions ends alike in all of them";
const UNVOTED: &str = "a change is in force only when all participants have logged their votes";
const TWICE: &str = "a change comes into force once";
const STUCK: &str = "an end is reachable when messages pass again";
const COMMITTED: &str = "a change of all regions comes into force";
const ABORTED: &str = "a change of all regions comes to nothing";
const BLOCKED: &str = "a region waits for a decision that another one has made";

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.first()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        self.steps(state, steps);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let state = self.after(last, step);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(MIXED, |_, s: &State| !s.faults.contains(&Violation::Mixed)),
            Property::always(UNLIKE, |_, s: &State| {
                !s.faults.contains(&Violation::EndsUnlike)
            }),
            Property::always(UNVOTED, |_, s: &State| {
                !s.faults.contains(&Violation::Unvoted)
            }),
            Property::always(TWICE, |_, s: &State| {
                !s.faults.contains(&Violation::TwiceInForce)
            }),
            Property::always(STUCK, |w: &World, s: &State| {
                !s.faults.is_empty() || w.ends(s)
            }),
            Property::sometimes(COMMITTED, |_, s: &State| judge::all_ended(s, true)),
            Property::sometimes(ABORTED, |_, s: &State| judge::all_ended(s, false)),
            Property::sometimes(BLOCKED, |_, s: &State| judge::waits_in_vain(s)),
        ]
    }
}

/// Threads at the most: a check shares the machine with others.
const THREADS_MOST: usize = 4;

fn threads() -> usize {
    std::thread::available_parallelism()
        .map_or(1, |n| n.get())
        .min(THREADS_MOST)
}

/// Deeper than any state of the worlds that are gone through to their end.
const WHOLE: usize = 100;

/// A world that is gone through.
struct Course {
    name: &'static str,
    world: World,
    depth: usize,
    /// There are more states than this.
    states: usize,
}

fn courses() -> Vec<Course> {
    let two = World::default();
    let course = |name, world, depth, states| Course {
        name,
        world,
        depth,
        states,
    };
    vec![
        course("two regions", two.clone(), WHOLE, 6_700),
        course(
            "a late grant in each",
            World {
                late: 1,
                talks: 1,
                ticks: 1,
                ..two.clone()
            },
            WHOLE,
            42_000,
        ),
        course(
            "an election in each",
            World {
                elections: 1,
                ..two.clone()
            },
            WHOLE,
            129_000,
        ),
        course(
            "aborts of operators",
            World {
                aborts: 1,
                ..two.clone()
            },
            WHOLE,
            17_700,
        ),
        course(
            "two changes",
            World {
                publishes: 2,
                ..two.clone()
            },
            WHOLE,
            139_000,
        ),
        course(
            "local changes",
            World {
                local_publishes: 1,
                talks: 1,
                ticks: 1,
                ..two.clone()
            },
            WHOLE,
            31_000,
        ),
        course(
            "slow logs",
            World {
                slow_log: true,
                ..two.clone()
            },
            WHOLE,
            49_500,
        ),
        course(
            "no policy yet",
            World {
                has_policy: false,
                publishes: 2,
                ..two.clone()
            },
            WHOLE,
            20_300,
        ),
        course(
            "three regions",
            World {
                regions: 3,
                talks: 1,
                ticks: 1,
                ..two.clone()
            },
            WHOLE,
            14_700,
        ),
        course(
            "all at once",
            World {
                publishes: 2,
                local_publishes: 1,
                elections: 1,
                aborts: 1,
                late: 1,
                slow_log: true,
                ..two
            },
            7,
            50_000,
        ),
    ]
}

#[test]
fn in_small_worlds_every_order_keeps_the_properties() {
    // For a longer look: REGIONS_DEEPER=4 cargo test --release -p badgerramp-policy --test regions_model
    let deeper: usize = std::env::var("REGIONS_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(0);
    for Course {
        name,
        world,
        depth,
        states: least,
    } in courses()
    {
        let depth = depth + deeper;
        let begun = std::time::Instant::now();
        let checker = world
            .checker()
            .threads(threads())
            .target_max_depth(depth)
            .spawn_bfs()
            .join();
        let states = checker.unique_state_count();
        println!(
            "{name}: {states} states to depth {} in {:?}",
            checker.max_depth(),
            begun.elapsed()
        );
        for property in [MIXED, UNLIKE, UNVOTED, TWICE, STUCK] {
            checker.assert_no_discovery(property);
        }
        assert!(
            states > least,
            "{name}: {states} states, expected are more than {least}"
        );
        if depth >= WHOLE {
            for property in [COMMITTED, ABORTED, BLOCKED] {
                checker.assert_any_discovery(property);
            }
        }
    }
}

#[test]
fn each_wrong_way_is_found() {
    for mutant in mutant::ALL {
        let (world, property) = mutant.world();
        let checker = world
            .checker()
            .threads(threads())
            .finish_when(HasDiscoveries::AnyOf([property].into()))
            .spawn_bfs();
        let checker = checker.join();
        let found = checker.discovery(property).map(|path| path.into_actions());
        println!(
            "{mutant:?}: {} states: {property:?} is broken by {found:?}",
            checker.unique_state_count()
        );
        assert!(found.is_some(), "{mutant:?} is not found");
    }
}
