//! The lab itself: what it plays keeps the rules, the same seed gives the same course, what it finds is told once and
//! cut down, and what is wrong with a file is told at its place.

use badgerramp_sim_model::{FaultKind, Invariant, Scenario, Violation};
use badgerramp_simulator::check;
use badgerramp_simulator::experiment::Template;
use badgerramp_simulator::hunt::{self, Hunt};
use badgerramp_simulator::run_result::RunResult;
use badgerramp_simulator::simulation::{Backend, RunOptions, SimulationError};
use badgerramp_simulator::{generate, operator_file, report, scenario_file};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenarios(folder: &Path) -> Vec<(String, Scenario)> {
    let files = std::fs::read_dir(folder)
        .expect("the scenarios")
        .flatten()
        .map(|f| f.path());
    let mut files: Vec<_> = files
        .filter(|f| f.extension().is_some_and(|e| e == "toml"))
        .collect();
    files.sort();
    let read = |path: &PathBuf| scenario_file::load(path).unwrap_or_else(|m| panic!("{m}"));
    files
        .iter()
        .map(|f| (f.display().to_string(), read(f)))
        .collect()
}

fn keeps_the_rules(way: Backend, numbers: std::ops::Range<u64>) {
    let wanted = Hunt {
        first: numbers.start,
        count: numbers.end - numbers.start,
        time: Duration::from_secs(600),
        threads: 2,
        stop: false,
    };
    let found = hunt::hunt(
        way.run_function(),
        wanted,
        &AtomicBool::new(false),
        |_, _| {},
    )
    .expect("a play");
    assert_eq!(found.played, wanted.count);
    assert!(found.finds.is_empty(), "{:#?}", found.finds);
}

#[test]
fn the_decisions_keep_the_rules_in_drawn_scenarios() {
    keeps_the_rules(Backend::Virtual, 0..200);
}

#[test]
fn the_socket_code_keeps_the_rules_in_drawn_scenarios() {
    keeps_the_rules(Backend::Sockets, 1_000..1_040);
}

#[test]
fn what_was_found_stays_mended() {
    for (name, scenario) in scenarios(&folder().join("kept")) {
        let scenario = Arc::new(scenario);
        for way in [Backend::Virtual, Backend::Sockets] {
            let course = way
                .run(
                    &scenario,
                    RunOptions {
                        seed: 1,
                        ..RunOptions::default()
                    },
                )
                .expect("a play");
            assert_eq!(course.violations, [], "{name}, {}", way.name());
        }
    }
}

/// A crowd beyond the places that a proxy has is refused before its bodies are in; such a connection was closed with bytes
/// unread, which broke it and could take the refusal with it.
#[test]
fn an_early_answer_arrives_though_its_request_is_still_coming_in() {
    keeps_the_rules(Backend::Sockets, 65..66);
}

/// A keyed call waited for its connection until its window was over, and went out all the same.
#[test]
fn a_keyed_attempt_that_waits_for_its_connection_does_not_start_after_its_window() {
    keeps_the_rules(Backend::Sockets, 332..333);
}

#[test]
fn the_standing_scenarios_play_and_both_virtual_plays_agree() {
    for (name, mut scenario) in scenarios(&folder()) {
        // Cut short here; their full length is for the command.
        scenario.clients.rate = 150.0;
        let scenario = Arc::new(scenario);
        let options = RunOptions {
            seed: 3,
            ..RunOptions::default()
        };
        let [a, b] = [Backend::Virtual, Backend::Sockets]
            .map(|way| way.run(&scenario, options).expect("a play"));
        assert_eq!(
            (a.violations.len(), b.violations.len()),
            (0, 0),
            "{name}: {:?} {:?}",
            a.violations,
            b.violations
        );
        let (a, b) = (a.total(), b.total());
        assert_eq!(a.operations, b.operations, "{name}: the load is the same");
        assert!(
            (a.goodput() - b.goodput()).abs() < 0.05,
            "{name}: {} and {}",
            a.goodput(),
            b.goodput()
        );
    }
}

/// What is harmless in one proxy may be harmful in all: eighty of them on 21 hosts, through a common restart, a burst of
/// cold hosts, a lost zone, a crowded list service, lost answers and a spike.
#[test]
fn many_proxies_keep_the_rules_together() {
    let all = scenarios(&folder().join("fleet"));
    assert_eq!(all.len(), 6);
    for (name, scenario) in all {
        let scenario = Arc::new(scenario);
        // The socket code is slow in a test's build: two of them are enough to see that it does the same.
        let both = name.contains("lost-answers") || name.contains("cold-burst");
        let sockets = both.then_some((Backend::Sockets, 1));
        for (way, seed) in [(Backend::Virtual, 1), (Backend::Virtual, 2)]
            .into_iter()
            .chain(sockets)
        {
            let course = way
                .run(
                    &scenario,
                    RunOptions {
                        seed,
                        ..RunOptions::default()
                    },
                )
                .expect("a play");
            assert_eq!(course.violations, [], "{name}, {}, {seed}", way.name());
            // Proxies without a list serve nothing: what a crowded list service leaves is not judged here.
            let listed = !name.contains("list") && !name.contains("restart");
            assert!(
                !listed || course.total().goodput() > 0.85,
                "{name}: {}",
                course.total().goodput()
            );
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_course_and_another_does_not() {
    for way in [Backend::Virtual, Backend::Sockets] {
        for number in 0..8 {
            let scenario = Arc::new(generate::scenario(number));
            let digest = |seed| {
                way.run(
                    &scenario,
                    RunOptions {
                        seed,
                        shuffle: true,
                        ..RunOptions::default()
                    },
                )
                .expect("a play")
                .digest()
            };
            let other = std::thread::scope(|s| s.spawn(|| digest(number)).join().expect("a play"));
            assert_eq!(digest(number), other, "{}, {number}", way.name());
            assert_ne!(
                digest(number),
                digest(number + 1),
                "{}, {number}",
                way.name()
            );
        }
    }
}

/// A play that breaks a rule whenever one request is there while one fault is.
fn faulty(scenario: &Arc<Scenario>, options: RunOptions) -> Result<RunResult, SimulationError> {
    let mut course = RunResult::new(Arc::clone(scenario));
    let resets = scenario
        .faults
        .iter()
        .any(|f| matches!(f.kind, FaultKind::ConnectionResets { .. }));
    let third = hunt::scripted(scenario, options.seed)
        .requests
        .into_iter()
        .flatten()
        .any(|r| r.id % 100 == 3);
    if resets && third {
        let text = format!(
            "host h{} did it at {}",
            scenario.hosts.len(),
            scenario.duration
        );
        course.violations = vec![Violation {
            invariant: Invariant::RanTwice,
            at: scenario.duration,
            op: None,
            text,
        }];
        course.violation_count = 1;
    }
    Ok(course)
}

#[test]
fn the_same_failure_is_told_once_and_cut_down_to_what_it_takes() {
    let wanted = Hunt {
        first: 0,
        count: 60,
        time: Duration::from_secs(60),
        threads: 3,
        stop: false,
    };
    let found = hunt::hunt(faulty, wanted, &AtomicBool::new(false), |_, _| {}).expect("a play");
    assert_eq!(found.finds.len(), 1, "{:#?}", found.finds);
    let find = found.finds.values().next().expect("one");
    assert!(find.count > 3);
    let scenario = generate::scenario(find.number);
    let shrunk = hunt::shrink(
        faulty,
        &scenario,
        hunt::options(find.number),
        Invariant::RanTwice,
        5_000,
    )
    .expect("it fails");
    assert_eq!(
        shrunk.scenario.event_count(),
        2,
        "one request and one fault"
    );
    // What is left can be written, and fails when it is read back.
    let text = scenario_file::write(&shrunk.scenario);
    let read = scenario_file::parse("shrunk.toml", &text).unwrap_or_else(|m| panic!("{m}"));
    assert_eq!(
        faulty(&Arc::new(read), shrunk.options)
            .expect("a play")
            .violation_count,
        1
    );
    assert!(hunt::shrink(
        faulty,
        &scenario,
        hunt::options(find.number),
        Invariant::Lost,
        100
    )
    .is_none());
}

#[test]
fn small_worlds_keep_the_rules_in_every_order() {
    for world in check::default_worlds(4, 100_000) {
        let told = check::check(&world);
        assert!(
            told.counterexample.is_none(),
            "{}",
            check::as_test(&world, &told.counterexample.expect("one"))
        );
        assert!(told.depth == 4 && told.states > 1_000, "{told:?}");
    }
}

#[test]
fn a_counterexample_prints_as_a_test() {
    let world = check::default_worlds(1, 10).remove(0);
    let found = check::Counterexample {
        violation: "why".to_owned(),
        steps: vec![check::Step::Asks(0), check::Step::Passes],
    };
    let text = check::as_test(&world, &found);
    assert!(
        text.contains("[Asks(0), Passes]") && text.contains("check::replay"),
        "{text}"
    );
    assert_eq!(check::replay(&world, &found.steps), Ok(()));
}

#[test]
fn mistakes_are_told_at_their_places_all_at_once() {
    let text = "duration = 5\nproxies = 0\n[clients]\nrat = 3\n[class.c]\naim = \"1s\"\ndeadline = \"2s\"\neffect = \"keyed\"\n\
                [[host]]\ncores = 0\n[[fault]]\nfrom = \"2s\"\nuntil = \"1s\"\ntrouble = \"stals\"\n[[fault]]\ntrouble = \"crash\"\nhost = \"h7\"\n";
    let mistakes = scenario_file::parse("bad.toml", text).expect_err("it is not good");
    let places: Vec<(String, usize)> = mistakes
        .iter()
        .map(|m| (m.key.clone(), mistakes.position(m).line))
        .collect();
    for wanted in [
        ("duration", 1),
        ("proxies", 2),
        ("clients.rat", 4),
        ("class.c.group", 5),
        ("class.c.window", 5),
        ("host[0].cores", 10),
        ("fault[0].trouble", 14),
        ("fault[1].host", 17),
    ] {
        assert!(
            places.contains(&(wanted.0.to_owned(), wanted.1)),
            "{wanted:?} in {places:?}\n{mistakes}"
        );
    }
    assert!(
        mistakes.to_string().contains("did you mean \"stalls\""),
        "{mistakes}"
    );
}

#[test]
fn a_scenario_that_no_operators_file_may_ask_for_is_refused() {
    let mut scenario = scenarios(&folder()).remove(0).1;
    scenario.classes[1].hedging = badgerramp_sim_model::Hedging::Auto;
    let refused = operator_file::parse(&scenario)
        .expect_err("an unsafe class has no second copy")
        .to_string();
    assert!(refused.contains("second_copy"), "{refused}");
    for way in [Backend::Virtual, Backend::Sockets, Backend::Real] {
        assert!(way
            .run(&Arc::new(scenario.clone()), RunOptions::default())
            .is_err());
    }
}

#[test]
fn values_are_changed_by_their_keys_and_checked_like_the_file() {
    let template = Template::load(&folder().join("calm.toml")).expect("a scenario");
    let changed = template
        .with_override("clients.rate=77")
        .and_then(|t| t.with_override("host.cores=2"))
        .expect("good values");
    let scenario = changed.scenario().expect("a scenario");
    assert_eq!(scenario.clients.rate, 77.0);
    assert!(scenario.hosts.iter().all(|h| h.cores == 2));
    let timed = template
        .with_override("class.cobro-mensual.attempt=300ms")
        .expect("a value")
        .scenario()
        .expect("a scenario");
    assert!(timed
        .classes
        .iter()
        .any(|c| c.attempt_timeout == Some(300_000)));
    let bad = template
        .with_override("clients.rate=much")
        .expect("a value")
        .scenario()
        .expect_err("no number")
        .to_string();
    assert!(
        bad.contains("clients.rate") && bad.contains("a number from"),
        "{bad}"
    );
    assert!(
        template.with_override("duration.x=1").is_err() && template.with_override("rate").is_err()
    );
}

#[test]
fn the_page_needs_nothing_else() {
    let scenario = Arc::new(generate::scenario(5));
    let course = Backend::Virtual
        .run(
            &scenario,
            RunOptions {
                seed: 5,
                ..RunOptions::default()
            },
        )
        .expect("a play");
    let page = report::page(
        "A <page>",
        &[report::course(&course, &course.summary("virtual", 5))],
    );
    assert!(page.matches("<svg").count() >= 5 && page.contains("A &lt;page&gt;"));
    let outside = ["src=", "href=", "@import", "url("];
    assert!(
        outside.iter().all(|w| !page.contains(w)),
        "it asks for something else"
    );
}

fn lab(arguments: &[&str]) -> (Option<i32>, String, String) {
    let done = Command::new(LAB)
        .args(arguments)
        .output()
        .expect("the lab starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (done.status.code(), text(done.stdout), text(done.stderr))
}

#[test]
fn the_command_plays_built_programs_and_follows_a_call_in_their_log() {
    let file = folder().join("calm.toml");
    let file = file.to_str().expect("a path");
    let few = [
        "--set",
        "duration=2s",
        "--set",
        "clients.rate=40",
        "--set",
        "proxies=2",
    ];
    let (code, told, fault) = lab(&[&["run", file, "--play", "real"][..], &few[..]].concat());
    // How fast it was is the machine's own.
    assert!(matches!(code, Some(0 | 1)), "{told}{fault}");
    assert!(
        told.contains("a proxy had at most") && !told.contains("BROKEN crashed"),
        "{told}"
    );
    let mut short = scenario_file::load(Path::new(file)).expect("a scenario");
    (short.duration, short.clients.rate, short.proxies) = (1_000_000, 40.0, 1);
    let path = std::env::temp_dir().join(format!(
        "badgerramp-sim-followed-{}.toml",
        std::process::id()
    ));
    std::fs::write(&path, scenario_file::write(&short)).expect("a file");
    let (code, told, fault) = lab(&[
        "trace",
        path.to_str().expect("a path"),
        "--call",
        "1",
        "--play",
        "real",
    ]);
    std::fs::remove_file(&path).expect("its file");
    assert!(matches!(code, Some(0 | 1)), "{told}{fault}");
    // What the stand-ins saw, and what the program says of it.
    for words in [
        "try 0 at proxy 0",
        "in the log: {",
        "\"taken\"",
        "\"in_flight\":",
        "\"outcome\":",
    ] {
        assert!(told.contains(words), "{words}: {told}");
    }
}

#[test]
fn the_command_tells_bad_usage_bad_files_and_what_it_found() {
    assert_eq!(lab(&["run"]).0, Some(2));
    let (code, _, fault) = lab(&["run", "no-such-file.toml"]);
    assert!(
        code == Some(2) && fault.contains("no-such-file.toml"),
        "{fault}"
    );
    let out = std::env::temp_dir().join(format!("badgerramp-sim-test-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("a folder");
    let path = |name: &str| out.join(name).display().to_string();
    let (json, html, kept) = (path("a.jsonl"), path("a.html"), path("a.toml"));
    let (code, told, _) = lab(&[
        "replay", "3", "--write", &kept, "--json", &json, "--html", &html,
    ]);
    assert_eq!(code, Some(0), "{told}");
    assert_eq!(
        scenario_file::load(Path::new(&kept)).expect("a scenario"),
        generate::scenario(3)
    );
    assert_eq!(lab(&["report", &json, "--html", &html]).0, Some(0));
    let (code, told, _) = lab(&[
        "sweep",
        &kept,
        "--over",
        "clients.rate=20,40",
        "--seeds",
        "3",
        "--json",
        &json,
    ]);
    assert!(
        code == Some(0) && told.contains("clients.rate=40") && told.contains('±'),
        "{told}"
    );
    assert_eq!(
        std::fs::read_to_string(&json)
            .expect("results")
            .lines()
            .count(),
        6
    );
    let (code, told, _) = lab(&["compare", &kept, "--set", "clients.rate=20", "--seeds", "3"]);
    assert!(
        code == Some(0) && told.contains("second over first"),
        "{told}"
    );
    let (code, told, _) = lab(&["compare", &kept, "--binary", LAB, "--seeds", "2"]);
    assert!(
        code == Some(0) && told.contains("0.0000 ± 0.0000"),
        "the same build plays the same: {told}"
    );
    let (code, told, _) = lab(&["trace", &kept, "--call", "1"]);
    assert!(code == Some(0) && told.contains("call 1"), "{told}");
    std::fs::remove_dir_all(&out).expect("its folder");
}
