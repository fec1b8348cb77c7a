//! Runs the fault tests of policy changes, cold starts and drains with small fleets. With the control plane a policy change
//! violates no invariant under random faults; without its coordination the test detects violations.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn policy_test(arguments: &str) -> Output {
    let output = Command::new(PROGRAM)
        .args(["fault-test", "policy"])
        .args(arguments.split(' '))
        .output();
    output.expect("the program starts")
}

/// Standard output and standard error of a process.
fn output_text(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

#[test]
fn policy_change_takes_effect_everywhere_or_nowhere_under_random_faults() {
    let json = std::env::temp_dir().join(format!("badgerramp-trial-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 10 --courses 4 --seed 7 --at-once 2 --json {}",
        json.display()
    );
    let output = policy_test(&arguments);
    assert!(output.status.success(), "{}", output_text(&output));
    let lines = std::fs::read_to_string(&json).expect("the reports were written");
    assert_eq!(lines.lines().count(), 4);
    for line in lines.lines() {
        let report: serde_json::Value = serde_json::from_str(line).expect("a JSON report");
        for key in ["begun_mixed", "begun_wrong", "executed_twice", "lost"] {
            assert_eq!(report[key], 0, "{line}");
        }
        assert!(
            report["begun"].as_u64() > Some(0) && report["outcome"].is_array(),
            "{line}"
        );
    }
    std::fs::remove_file(json).expect("the file is removed");
}

#[test]
fn policy_change_without_coordination_is_detected_as_mixed() {
    let output = policy_test("--proxies 10 --courses 1 --seed 1 --way spread --rate 100");
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("Mixed"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn policy_test_rejects_an_unknown_fault() {
    let output = policy_test("--only meteor");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("kill-proxy"),
        "{}",
        output_text(&output)
    );
}

fn cold_start_test(arguments: &str) -> Output {
    let output = Command::new(PROGRAM)
        .args(["fault-test", "cold-start"])
        .args(arguments.split(' '))
        .output();
    output.expect("the program starts")
}

/// Reads the reports of all runs, one per line, and removes the file.
fn take_reports(json: &std::path::Path) -> Vec<serde_json::Value> {
    let lines = std::fs::read_to_string(json).expect("the reports were written");
    std::fs::remove_file(json).expect("the file is removed");
    lines
        .lines()
        .map(|l| serde_json::from_str(l).expect("a JSON report"))
        .collect()
}

#[test]
fn cold_start_gives_all_proxies_the_list_under_random_faults() {
    let json = std::env::temp_dir().join(format!("badgerramp-start-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 12 --hosts 8 --courses 4 --seed 31 --at-once 2 --json {}",
        json.display()
    );
    let output = cold_start_test(&arguments);
    assert!(output.status.success(), "{}", output_text(&output));
    let reports = take_reports(&json);
    assert_eq!(reports.len(), 4);
    for report in reports {
        for key in ["lost", "executed_twice", "unlisted", "behind", "given_up"] {
            assert_eq!(report[key], 0, "{report}");
        }
        assert!(
            report["served"].as_u64() > Some(0) && report["listed_ms"].is_array(),
            "{report}"
        );
    }
}

#[test]
fn with_gossip_few_proxies_poll_the_list_service_and_without_it_all_do() {
    let json = std::env::temp_dir().join(format!("badgerramp-ways-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 40 --hosts 8 --seconds 3 --only none --way none,peers --json {}",
        json.display()
    );
    let output = cold_start_test(&arguments);
    assert!(output.status.success(), "{}", output_text(&output));
    let polls = |report: &serde_json::Value| report["questions_start"].as_u64().unwrap_or(0);
    let reports = take_reports(&json);
    // Without gossip each proxy polls for the list and then for its changes. With gossip only the pollers do, and proxies that
    // started late.
    assert!(polls(&reports[0]) >= 40, "{}", reports[0]);
    assert!(polls(&reports[1]) <= 24, "{}", reports[1]);
}

#[test]
fn cold_start_in_virtual_time_violates_no_invariant() {
    let output = cold_start_test("--in-virtual-time --proxies 30 --courses 3 --seed 5");
    assert!(output.status.success(), "{}", output_text(&output));
    assert_eq!(
        output_text(&output).matches("held").count(),
        3,
        "{}",
        output_text(&output)
    );
}

fn drain_test(arguments: &str) -> Output {
    let output = Command::new(PROGRAM)
        .args(["fault-test", "drains"])
        .args(arguments.split(' '))
        .output();
    output.expect("the program starts")
}

/// A watch that goes silent must be detected in time: with a timeout of ten seconds, proxies kept sending to draining hosts.
#[test]
fn no_call_reaches_a_draining_host_late_while_watches_are_silent() {
    let json = std::env::temp_dir().join(format!("badgerramp-drains-{}.json", std::process::id()));
    let output = drain_test(&format!(
        "--proxies 4 --courses 6 --seed 1 --at-once 6 --json {}",
        json.display()
    ));
    assert!(output.status.success(), "{}", output_text(&output));
    let reports = take_reports(&json);
    assert_eq!(reports.len(), 6);
    for report in &reports {
        assert!(
            report["verdict"]["arrivals"].as_u64() > Some(100),
            "{report}"
        );
        assert!(
            report["verdict"]["questions"].as_u64() > Some(4),
            "{report}"
        );
    }
    assert!(
        reports
            .iter()
            .any(|report| report["course"]["pushed"] == true),
        "some runs push the list"
    );
    assert!(
        reports
            .iter()
            .any(|report| report["course"]["pushed"] == false),
        "some runs poll for the list"
    );
}

/// A proxy that receives SIGTERM answers all calls that it has accepted, and sends no attempts for calls whose clients have
/// disconnected.
#[test]
fn a_proxy_that_ends_loses_nothing_and_clients_that_left_have_gone() {
    for fault in ["restart", "leave"] {
        let json =
            std::env::temp_dir().join(format!("badgerramp-{fault}-{}.json", std::process::id()));
        let output = drain_test(&format!(
            "--proxies 4 --courses 3 --at-once 3 --only {fault} --json {}",
            json.display()
        ));
        assert!(output.status.success(), "{}", output_text(&output));
        for report in take_reports(&json) {
            assert!(
                report["verdict"]["arrivals"].as_u64() > Some(100),
                "{report}"
            );
        }
    }
}

#[test]
fn drain_test_rejects_an_unknown_fault() {
    let output = drain_test("--only meteor");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("silent-again"),
        "{}",
        output_text(&output)
    );
}
