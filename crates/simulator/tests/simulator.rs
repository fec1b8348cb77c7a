//! Tests of the simulator: runs violate no invariant and are deterministic, findings are grouped and shrunk, the model checker
//! passes, and mistakes in scenario files are reported with their positions.

use badgerramp_sim_model::{FaultKind, Invariant, Scenario, Violation};
use badgerramp_simulator::check;
use badgerramp_simulator::experiment::Template;
use badgerramp_simulator::hunt::{self, HuntOptions};
use badgerramp_simulator::run_result::RunResult;
use badgerramp_simulator::simulation::{Backend, RunOptions, SimulationError};
use badgerramp_simulator::{generate, operator_file, report, scenario_file};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn scenario_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

/// The scenarios of all TOML files in a directory, with their file names, sorted by name.
fn scenarios(directory: &Path) -> Vec<(String, Scenario)> {
    let files = std::fs::read_dir(directory)
        .expect("the scenario directory is readable")
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

/// Runs the random scenarios with these numbers and expects no violation.
fn assert_no_violations(backend: Backend, numbers: std::ops::Range<u64>) {
    let options = HuntOptions {
        first: numbers.start,
        count: numbers.end - numbers.start,
        max_duration: Duration::from_secs(600),
        threads: 2,
        stop_at_first: false,
    };
    let report = hunt::hunt(
        backend.run_function(),
        options,
        &AtomicBool::new(false),
        |_, _| {},
    )
    .expect("the scenario runs");
    assert_eq!(report.runs, options.count);
    assert!(report.findings.is_empty(), "{:#?}", report.findings);
}

#[test]
fn decisions_violate_no_invariant_in_random_scenarios() {
    assert_no_violations(Backend::Virtual, 0..200);
}

#[test]
fn socket_code_violates_no_invariant_in_random_scenarios() {
    assert_no_violations(Backend::Sockets, 1_000..1_040);
}

#[test]
fn scenarios_of_fixed_bugs_violate_no_invariant() {
    for (name, scenario) in scenarios(&scenario_directory().join("kept")) {
        let scenario = Arc::new(scenario);
        for backend in [Backend::Virtual, Backend::Sockets] {
            let result = backend
                .run(
                    &scenario,
                    RunOptions {
                        seed: 1,
                        ..RunOptions::default()
                    },
                )
                .expect("the scenario runs");
            assert_eq!(result.violations, [], "{name}, {}", backend.name());
        }
    }
}

/// An overloaded proxy rejects requests before their bodies have arrived. Closing such a connection with unread
/// bytes resets it, and the client can lose the response.
#[test]
fn early_response_arrives_while_the_request_is_still_being_sent() {
    assert_no_violations(Backend::Sockets, 65..66);
}

/// An attempt of a keyed call can wait for its connection until the deduplication window has passed. It must not be sent then.
#[test]
fn keyed_attempt_is_not_sent_if_its_connection_is_ready_only_after_the_window() {
    assert_no_violations(Backend::Sockets, 332..333);
}

#[test]
fn scenario_files_run_and_virtual_and_socket_backends_agree() {
    for (name, mut scenario) in scenarios(&scenario_directory()) {
        // A lower rate keeps the test short.
        scenario.clients.rate = 150.0;
        let scenario = Arc::new(scenario);
        let options = RunOptions {
            seed: 3,
            ..RunOptions::default()
        };
        let [a, b] = [Backend::Virtual, Backend::Sockets]
            .map(|backend| backend.run(&scenario, options).expect("the scenario runs"));
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

/// Behaviour that is harmless in a single proxy can be harmful in a fleet. 80 proxies on 21 hosts go through a simultaneous
/// restart, cold hosts, the loss of a zone, an overloaded list service, lost responses and a load spike.
#[test]
fn fleet_of_proxies_violates_no_invariant() {
    let all = scenarios(&scenario_directory().join("fleet"));
    assert_eq!(all.len(), 6);
    for (name, scenario) in all {
        let scenario = Arc::new(scenario);
        // The socket code is slow in an unoptimised build, so the sockets backend runs only two of the scenarios.
        let on_sockets = name.contains("lost-answers") || name.contains("cold-burst");
        let sockets = on_sockets.then_some((Backend::Sockets, 1));
        for (backend, seed) in [(Backend::Virtual, 1), (Backend::Virtual, 2)]
            .into_iter()
            .chain(sockets)
        {
            let result = backend
                .run(
                    &scenario,
                    RunOptions {
                        seed,
                        ..RunOptions::default()
                    },
                )
                .expect("the scenario runs");
            assert_eq!(result.violations, [], "{name}, {}, {seed}", backend.name());
            // Proxies without an endpoint list serve nothing, so goodput is not checked where the list service is overloaded or
            // all proxies restart.
            let has_list = !name.contains("list") && !name.contains("restart");
            assert!(
                !has_list || result.total().goodput() > 0.85,
                "{name}: {}",
                result.total().goodput()
            );
        }
    }
}

#[test]
fn equal_seeds_give_equal_digests_and_different_seeds_do_not() {
    for backend in [Backend::Virtual, Backend::Sockets] {
        for number in 0..8 {
            let scenario = Arc::new(generate::scenario(number));
            let digest = |seed| {
                backend
                    .run(
                        &scenario,
                        RunOptions {
                            seed,
                            shuffle: true,
                            ..RunOptions::default()
                        },
                    )
                    .expect("the scenario runs")
                    .digest()
            };
            let on_other_thread = std::thread::scope(|s| {
                s.spawn(|| digest(number))
                    .join()
                    .expect("the scenario runs")
            });
            assert_eq!(
                digest(number),
                on_other_thread,
                "{}, {number}",
                backend.name()
            );
            assert_ne!(
                digest(number),
                digest(number + 1),
                "{}, {number}",
                backend.name()
            );
        }
    }
}

/// A backend whose runs violate an invariant if the scenario has a particular request and a fault of one kind.
fn run_with_violation(
    scenario: &Arc<Scenario>,
    options: RunOptions,
) -> Result<RunResult, SimulationError> {
    let mut result = RunResult::new(Arc::clone(scenario));
    let has_resets = scenario
        .faults
        .iter()
        .any(|f| matches!(f.kind, FaultKind::ConnectionResets { .. }));
    let has_request = hunt::with_scripted_requests(scenario, options.seed)
        .requests
        .into_iter()
        .flatten()
        .any(|r| r.id % 100 == 3);
    if has_resets && has_request {
        let text = format!(
            "host h{} executed a call twice at {}",
            scenario.hosts.len(),
            scenario.duration
        );
        result.violations = vec![Violation {
            invariant: Invariant::RanTwice,
            at: scenario.duration,
            op: None,
            text,
        }];
        result.violation_count = 1;
    }
    Ok(result)
}

#[test]
fn equal_violations_are_one_finding_that_shrinks_to_its_causes() {
    let options = HuntOptions {
        first: 0,
        count: 60,
        max_duration: Duration::from_secs(60),
        threads: 3,
        stop_at_first: false,
    };
    let report = hunt::hunt(
        run_with_violation,
        options,
        &AtomicBool::new(false),
        |_, _| {},
    )
    .expect("the scenarios run");
    assert_eq!(report.findings.len(), 1, "{:#?}", report.findings);
    let finding = report.findings.values().next().expect("one finding");
    assert!(finding.count > 3);
    let scenario = generate::scenario(finding.number);
    let shrunk = hunt::shrink(
        run_with_violation,
        &scenario,
        hunt::run_options(finding.number),
        Invariant::RanTwice,
        5_000,
    )
    .expect("the violation is reproduced");
    assert_eq!(
        shrunk.scenario.event_count(),
        2,
        "one request and one fault"
    );
    // The shrunk scenario shows the violation even after it was written and parsed again.
    let text = scenario_file::write(&shrunk.scenario);
    let read = scenario_file::parse("shrunk.toml", &text).unwrap_or_else(|m| panic!("{m}"));
    assert_eq!(
        run_with_violation(&Arc::new(read), shrunk.options)
            .expect("the scenario runs")
            .violation_count,
        1
    );
    assert!(hunt::shrink(
        run_with_violation,
        &scenario,
        hunt::run_options(finding.number),
        Invariant::Lost,
        100
    )
    .is_none());
}

#[test]
fn small_worlds_violate_no_invariant_in_any_order_of_events() {
    for world in check::default_worlds(4, 100_000) {
        let exploration = check::check(&world);
        assert!(
            exploration.counterexample.is_none(),
            "{}",
            check::as_test(
                &world,
                &exploration.counterexample.expect("a counterexample")
            )
        );
        assert!(
            exploration.depth == 4 && exploration.states > 1_000,
            "{exploration:?}"
        );
    }
}

#[test]
fn counterexample_is_formatted_as_a_test() {
    let world = check::default_worlds(1, 10).remove(0);
    let counterexample = check::Counterexample {
        violation: "why".to_owned(),
        steps: vec![check::Step::Asks(0), check::Step::Passes],
    };
    let text = check::as_test(&world, &counterexample);
    assert!(
        text.contains("[Asks(0), Passes]") && text.contains("check::replay"),
        "{text}"
    );
    assert_eq!(check::replay(&world, &counterexample.steps), Ok(()));
}

#[test]
fn all_mistakes_in_a_file_are_reported_with_their_positions() {
    let text = "duration = 5\nproxies = 0\n[clients]\nrat = 3\n[class.c]\naim = \"1s\"\ndeadline = \"2s\"\neffect = \"keyed\"\n\
                [[host]]\ncores = 0\n[[fault]]\nfrom = \"2s\"\nuntil = \"1s\"\ntrouble = \"stals\"\n[[fault]]\ntrouble = \"crash\"\nhost = \"h7\"\n";
    let mistakes = scenario_file::parse("bad.toml", text).expect_err("the file is invalid");
    let positions: Vec<(String, usize)> = mistakes
        .iter()
        .map(|m| (m.key.clone(), mistakes.position(m).line))
        .collect();
    for expected in [
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
            positions.contains(&(expected.0.to_owned(), expected.1)),
            "{expected:?} in {positions:?}\n{mistakes}"
        );
    }
    assert!(
        mistakes.to_string().contains("did you mean \"stalls\""),
        "{mistakes}"
    );
}

#[test]
fn scenario_that_makes_an_invalid_operators_file_is_rejected() {
    let mut scenario = scenarios(&scenario_directory()).remove(0).1;
    scenario.classes[1].hedging = badgerramp_sim_model::Hedging::Auto;
    let error = operator_file::parse(&scenario)
        .expect_err("an unsafe class can't have hedged requests")
        .to_string();
    assert!(error.contains("second_copy"), "{error}");
    for backend in [Backend::Virtual, Backend::Sockets, Backend::Real] {
        assert!(backend
            .run(&Arc::new(scenario.clone()), RunOptions::default())
            .is_err());
    }
}

#[test]
fn overridden_values_are_validated_like_the_file() {
    let template = Template::load(&scenario_directory().join("calm.toml")).expect("a scenario");
    let overridden = template
        .with_override("clients.rate=77")
        .and_then(|t| t.with_override("host.cores=2"))
        .expect("the keys exist");
    let scenario = overridden.scenario().expect("a scenario");
    assert_eq!(scenario.clients.rate, 77.0);
    assert!(scenario.hosts.iter().all(|h| h.cores == 2));
    let with_timeout = template
        .with_override("class.cobro-mensual.attempt=300ms")
        .expect("a value")
        .scenario()
        .expect("a scenario");
    assert!(with_timeout
        .classes
        .iter()
        .any(|c| c.attempt_timeout == Some(300_000)));
    let error = template
        .with_override("clients.rate=much")
        .expect("a value")
        .scenario()
        .expect_err("the value is not a number")
        .to_string();
    assert!(
        error.contains("clients.rate") && error.contains("a number from"),
        "{error}"
    );
    assert!(
        template.with_override("duration.x=1").is_err() && template.with_override("rate").is_err()
    );
}

#[test]
fn html_page_is_self_contained() {
    let scenario = Arc::new(generate::scenario(5));
    let result = Backend::Virtual
        .run(
            &scenario,
            RunOptions {
                seed: 5,
                ..RunOptions::default()
            },
        )
        .expect("the scenario runs");
    let page = report::page(
        "A <page>",
        &[report::run_section(&result, &result.summary("virtual", 5))],
    );
    assert!(page.matches("<svg").count() >= 5 && page.contains("A &lt;page&gt;"));
    let external_references = ["src=", "href=", "@import", "url("];
    assert!(
        external_references.iter().all(|w| !page.contains(w)),
        "the page references external resources"
    );
}

/// Runs the program. Returns its exit status, standard output and standard error.
fn run_program(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn real_backend_runs_built_programs_and_traces_a_call_from_their_logs() {
    let file = scenario_directory().join("calm.toml");
    let file = file.to_str().expect("a path");
    let overrides = [
        "--set",
        "duration=2s",
        "--set",
        "clients.rate=40",
        "--set",
        "proxies=2",
    ];
    let (code, stdout, stderr) =
        run_program(&[&["run", file, "--play", "real"][..], &overrides[..]].concat());
    // The speed depends on the machine, so a violation of a timing invariant is accepted.
    assert!(matches!(code, Some(0 | 1)), "{stdout}{stderr}");
    assert!(
        stdout.contains("a proxy had at most") && !stdout.contains("BROKEN crashed"),
        "{stdout}"
    );
    let mut short = scenario_file::load(Path::new(file)).expect("a scenario");
    (short.duration, short.clients.rate, short.proxies) = (1_000_000, 40.0, 1);
    let path = std::env::temp_dir().join(format!(
        "badgerramp-sim-followed-{}.toml",
        std::process::id()
    ));
    std::fs::write(&path, scenario_file::write(&short)).expect("the scenario file is written");
    let (code, stdout, stderr) = run_program(&[
        "trace",
        path.to_str().expect("a path"),
        "--call",
        "1",
        "--play",
        "real",
    ]);
    std::fs::remove_file(&path).expect("the scenario file is removed");
    assert!(matches!(code, Some(0 | 1)), "{stdout}{stderr}");
    // The trace has the events at the stand-ins and the program's own log lines.
    for text in [
        "try 0 at proxy 0",
        "in the log: {",
        "\"call accepted\"",
        "\"in_flight\":",
        "\"outcome\":",
    ] {
        assert!(stdout.contains(text), "{text}: {stdout}");
    }
}

#[test]
fn commands_report_usage_errors_file_errors_and_results() {
    assert_eq!(run_program(&["run"]).0, Some(2));
    let (code, _, stderr) = run_program(&["run", "no-such-file.toml"]);
    assert!(
        code == Some(2) && stderr.contains("no-such-file.toml"),
        "{stderr}"
    );
    let directory =
        std::env::temp_dir().join(format!("badgerramp-sim-test-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let path = |name: &str| directory.join(name).display().to_string();
    let (json, html, file) = (path("a.jsonl"), path("a.html"), path("a.toml"));
    let (code, stdout, _) = run_program(&[
        "replay", "3", "--write", &file, "--json", &json, "--html", &html,
    ]);
    assert_eq!(code, Some(0), "{stdout}");
    assert_eq!(
        scenario_file::load(Path::new(&file)).expect("a scenario"),
        generate::scenario(3)
    );
    assert_eq!(run_program(&["report", &json, "--html", &html]).0, Some(0));
    let (code, stdout, _) = run_program(&[
        "sweep",
        &file,
        "--over",
        "clients.rate=20,40",
        "--seeds",
        "3",
        "--json",
        &json,
    ]);
    assert!(
        code == Some(0) && stdout.contains("clients.rate=40") && stdout.contains('±'),
        "{stdout}"
    );
    assert_eq!(
        std::fs::read_to_string(&json)
            .expect("results")
            .lines()
            .count(),
        6
    );
    let (code, stdout, _) =
        run_program(&["compare", &file, "--set", "clients.rate=20", "--seeds", "3"]);
    assert!(
        code == Some(0) && stdout.contains("second over first"),
        "{stdout}"
    );
    let (code, stdout, _) = run_program(&["compare", &file, "--binary", PROGRAM, "--seeds", "2"]);
    assert!(
        code == Some(0) && stdout.contains("0.0000 ± 0.0000"),
        "the same build gives the same results: {stdout}"
    );
    let (code, stdout, _) = run_program(&["trace", &file, "--call", "1"]);
    assert!(code == Some(0) && stdout.contains("call 1"), "{stdout}");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
