//! Property test: with any accepted file and any sequence of outcomes, no unsafe call has two attempts that may have
//! been executed, a keyed call is retried only within its group and window, and each call gets exactly one final
//! response before its client gives up. The decisions are driven without sockets.

use badgerramp_config::{parse, Config};
use badgerramp_decisions::Idempotency;
use badgerramp_route::ResponseRules;
use badgerramp_testkit::decision_driver::{BalancerDriver, Request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use std::collections::BTreeMap;

/// Simulates calls of random routes; the driver asserts the rules.
fn simulate_calls(config: &Config, seed: u64) {
    let mut world = BalancerDriver::new(config, seed);
    let routes = config.routes.routes();
    for _ in 0..60 {
        let route = world.random().gen_range(0..routes.len());
        let once = world.random().gen_bool(0.2);
        // A client may wait less than the deadline of its class.
        let gives_up_early = world.random().gen_bool(0.3);
        let deadline = config.classes[routes[route].class].class.deadline;
        world.request(Request {
            route,
            key_missing: once,
            client_timeout: gives_up_early.then_some(deadline / 2),
        });
        let until = world.now() + world.random().gen_range(0..150_000);
        world.run_until(until);
    }
    world.run_until(world.now() + 700_000_000);
    assert!(world.all_answered(), "a call has no response");
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

/// Responses that a file may take for a proof that an attempt was not executed. Some prove nothing.
const PROOFS: &[&str] = &[
    "status = 503, header = 'X-Not-Processed', value = '1'",
    "status = 425, header = 'X-Not-Processed', value = '1'",
    "status = 429, header = 'X-Untouched'",
    "status = 504, header = 'X-Untouched', value = 'yes'",
    "status = 500, header = 'X-Not-Processed', value = '1'",
    "status = 500, header = 'Content-Type'",
    "status = 503, header = 'Retry-After'",
];

/// Timing settings of one table, some of them invalid.
fn timing() -> impl Strategy<Value = String> {
    let setting = prop_oneof![
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
        prop::sample::select(PROOFS).prop_map(|proof| format!("never_ran = [{{ {proof} }}]")),
    ];
    prop::collection::vec(setting, 0..4).prop_map(|lines| {
        let mut by_key: BTreeMap<String, String> = BTreeMap::new();
        for setting in lines {
            by_key.insert(
                setting.split(' ').next().unwrap_or_default().to_owned(),
                setting,
            );
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

/// A complete file: two classes with two routes each, and two groups of endpoints.
fn file() -> impl Strategy<Value = String> {
    let class = |name: &'static str| {
        (effect(), timing(), timing(), any::<bool>()).prop_map(move |(effect, class_timing, route_timing, late)| {
            let late = if late { "late_worth = 0" } else { "" };
            let class = format!(
                "[class.{name}]\naim = '500ms'\ndeadline = '1200ms'\n{late}\n{effect}\n{class_timing}\n"
            );
            let routes = format!(
                "[[route]]\nname = '{name}-own'\npath = '/{name}/own'\nclass = '{name}'\n{route_timing}\n\
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
    fn calls_of_any_accepted_file_obey_the_rules(text in file(), seed in any::<u64>()) {
        let config = parse("generated.toml", &text);
        prop_assume!(config.is_ok());
        simulate_calls(&config.expect("checked"), seed);
    }
}

/// The property test has meaning only if enough generated files are accepted and use hedging and each kind of
/// idempotency.
#[test]
fn generated_files_cover_hedging_and_each_kind_of_idempotency() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let (mut accepted, mut hedged, mut keyed_classes, mut unsafe_classes, mut rejected) =
        (0, 0, 0, 0, 0);
    let (mut own_proofs, standard) = (0, ResponseRules::standard());
    for _ in 0..2_000 {
        let text = file().new_tree(&mut runner).expect("a file").current();
        let Ok(config) = parse("generated.toml", &text) else {
            rejected += 1;
            continue;
        };
        accepted += 1;
        let any = |of: fn(Idempotency) -> bool| {
            u32::from(config.classes.iter().any(|c| of(c.class.idempotency)))
        };
        hedged += u32::from(config.settings().limits.hedging);
        keyed_classes += any(|r| matches!(r, Idempotency::Keyed { .. }));
        unsafe_classes += any(|r| r == Idempotency::NonIdempotent);
        own_proofs += u32::from(config.routes.routes().iter().any(|route| {
            let class = &config.classes[route.class].class;
            class.idempotency != Idempotency::Idempotent
                && route.response_rules.never_ran != standard.never_ran
        }));
    }
    assert!(
        accepted > 300 && hedged > 30 && keyed_classes > 60 && unsafe_classes > 60 && rejected > 300,
        "{accepted} accepted, {hedged} with second copies, {keyed_classes} keyed, {unsafe_classes} unsafe, {rejected} refused"
    );
    assert!(
        own_proofs > 30,
        "{own_proofs} with proofs of their own for calls that may not run twice"
    );
}
