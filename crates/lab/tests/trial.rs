//! The trial: with control nothing breaks under drawn faults, and where the policy spreads in its own time it does.

use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_badgerramp-lab");

fn trial(arguments: &str) -> Output {
    let done = Command::new(LAB).args(["trial", "policy"]).args(arguments.split(' ')).output();
    done.expect("it runs")
}

fn told(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

#[test]
fn a_policy_by_control_is_everywhere_or_nowhere_under_drawn_faults() {
    let json = std::env::temp_dir().join(format!("badgerramp-trial-{}.json", std::process::id()));
    let arguments = format!("--proxies 10 --courses 4 --seed 7 --at-once 2 --json {}", json.display());
    let output = trial(&arguments);
    assert!(output.status.success(), "{}", told(&output));
    let lines = std::fs::read_to_string(&json).expect("written");
    assert_eq!(lines.lines().count(), 4);
    for line in lines.lines() {
        let played: serde_json::Value = serde_json::from_str(line).expect("JSON");
        for key in ["begun_mixed", "begun_wrong", "executed_twice", "lost"] {
            assert_eq!(played[key], 0, "{line}");
        }
        assert!(played["begun"].as_u64() > Some(0) && played["outcome"].is_array(), "{line}");
    }
    std::fs::remove_file(json).expect("a file");
}

#[test]
fn a_policy_that_spreads_in_its_own_time_is_found_out() {
    let output = trial("--proxies 10 --courses 1 --seed 1 --way spread --rate 100");
    assert_eq!(output.status.code(), Some(1), "{}", told(&output));
    assert!(told(&output).contains("Mixed"), "{}", told(&output));
}

#[test]
fn what_can_not_be_played_is_bad_usage() {
    let output = trial("--only meteor");
    assert_eq!(output.status.code(), Some(2));
    assert!(told(&output).contains("kill-proxy"), "{}", told(&output));
}
