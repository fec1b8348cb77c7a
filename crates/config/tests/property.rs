//! For any file that is accepted and any course of outcomes: no unsafe call has two attempts that may have run, a
//! keyed one goes again only within its group and window, and each call has one final answer within its client's time.
//! The decisions are driven without sockets.

use badgerramp_config::{parse, Config};
use badgerramp_decisions::Idempotency;
use badgerramp_testkit::decision_driver::{BalancerDriver, Request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use std::collections::BTreeMap;

/// Plays some calls of each route.
fn play(config: &Config, seed: u64) {
    let mut world = BalancerDriver::new(config, seed);
    let routes = config.routes.routes();
    for _ in 0..60 {
        let route = world.random().gen_range(0..routes.len());
        let once = world.random().gen_bool(0.2);
        // A client may wait less than its class does.
        let brief = world.random().gen_bool(0.3);
        let deadline = config.classes[routes[route].class].class.deadline;
        world.request(Request {
            route,
            key_missing: once,
            client_timeout: brief.then_some(deadline / 2),
        });
        let until = world.now() + world.random().gen_range(0..150_000);
        world.run_until(until);
    }
    world.run_until(world.now() + 700_000_000);
    assert!(world.all_answered(), "a call without its answer");
}

fn duration() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(20),
        Just(80),
        Just(150),
        Just(300),
        Just(600),
        Just(1_100)
    ]
}

/// Lines of timing, some of them against the rules.
fn timing() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        duration().prop_map(|d| format!("attempt = '{d}ms'")),
        duration().prop_map(|d| format!("total = '{d}ms'")),
        (1u64..6).prop_map(|n| format!("attempts = {n}")),
        duration().prop_map(|d| format!("backoff = '{}ms'", d / 4)),
        prop_oneof![
            Just("second_copy = 'off'".to_owned()),
            Just("second_copy = 'auto'".to_owned()),
            Just("second_copy = 'at 90%'".to_owned()),
            duration().prop_map(|d| format!("second_copy = 'after {d}ms'")),
        ],
        prop_oneof![
            Just("retry = 'failed'".to_owned()),
            Just("retry = 'never-ran'".to_owned())
        ],
    ];
    prop::collection::vec(line, 0..4).prop_map(|lines| {
        let mut by_key: BTreeMap<String, String> = BTreeMap::new();
        for line in lines {
            by_key.insert(line.split(' ').next().unwrap_or_default().to_owned(), line);
        }
        by_key.into_values().collect::<Vec<_>>().join("\n")
    })
}

fn effect() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("effect = 'safe'".to_owned()),
        Just("effect = 'unsafe'".to_owned()),
        Just("effect = 'unsafe'".to_owned()),
        (prop_oneof![Just("all"), Just("group")], duration()).prop_map(|(group, window)| format!(
            "effect = 'keyed'\ngroup = '{group}'\nwindow = '{window}ms'"
        )),
    ]
}

/// A whole file: two classes, a route or two for each, two groups of endpoints.
fn file() -> impl Strategy<Value = String> {
    let class = |name: &'static str| {
        (effect(), timing(), timing(), any::<bool>()).prop_map(move |(effect, own, route, late)| {
            let late = if late { "late_worth = 0" } else { "" };
            let class = format!(
                "[class.{name}]\naim = '500ms'\ndeadline = '1200ms'\n{late}\n{effect}\n{own}\n"
            );
            let routes = format!(
                "[[route]]\nname = '{name}-own'\npath = '/{name}/own'\nclass = '{name}'\n{route}\n\
                 [[route]]\nname = '{name}'\nprefix = '/{name}'\nclass = '{name}'\n"
            );
            (class, routes)
        })
    };
    (timing(), class("one"), class("two")).prop_map(|(defaults, one, two)| {
        let endpoint = |n: u32| format!("{{ address = '127.0.0.1:{}', group = {} }}", 9_000 + n, 1 + n % 2);
        let endpoints: Vec<String> = (0..5).map(endpoint).collect();
        format!(
            "listen = '127.0.0.1:0'\n[upstream]\nendpoints = [{}]\n[defaults]\n{defaults}\n{}{}{}{}",
            endpoints.join(", "),
            one.0,
            two.0,
            one.1,
            two.1
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, max_global_rejects: 1_000_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_accepted_file_breaks_a_rule(text in file(), seed in any::<u64>()) {
        let config = parse("generated.toml", &text);
        prop_assume!(config.is_ok());
        play(&config.expect("checked"), seed);
    }
}

/// The generator makes files that are accepted and that have what the rules are about; else the test above is empty.
#[test]
fn generated_files_have_what_the_rules_are_about() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let (mut accepted, mut hedged, mut keyed, mut single, mut refused) = (0, 0, 0, 0, 0);
    for _ in 0..2_000 {
        let text = file().new_tree(&mut runner).expect("a file").current();
        let Ok(config) = parse("generated.toml", &text) else {
            refused += 1;
            continue;
        };
        accepted += 1;
        let any = |of: fn(Idempotency) -> bool| {
            u32::from(config.classes.iter().any(|c| of(c.class.idempotency)))
        };
        hedged += u32::from(config.settings().limits.hedging);
        keyed += any(|r| matches!(r, Idempotency::Keyed { .. }));
        single += any(|r| r == Idempotency::NonIdempotent);
    }
    assert!(
        accepted > 300 && hedged > 30 && keyed > 60 && single > 60 && refused > 300,
        "{accepted} accepted, {hedged} with second copies, {keyed} keyed, {single} unsafe, {refused} refused"
    );
}
