//! The trial: with control nothing breaks under drawn faults, and where the policy spreads in its own time it does.

use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn trial(arguments: &str) -> Output {
    let done = Command::new(LAB)
        .args(["fault-test", "policy"])
        .args(arguments.split(' '))
        .output();
    done.expect("it runs")
}

fn told(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

#[test]
fn a_policy_by_control_is_everywhere_or_nowhere_under_drawn_faults() {
    let json = std::env::temp_dir().join(format!("badgerramp-trial-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 10 --courses 4 --seed 7 --at-once 2 --json {}",
        json.display()
    );
    let output = trial(&arguments);
    assert!(output.status.success(), "{}", told(&output));
    let lines = std::fs::read_to_string(&json).expect("written");
    assert_eq!(lines.lines().count(), 4);
    for line in lines.lines() {
        let played: serde_json::Value = serde_json::from_str(line).expect("JSON");
        for key in ["begun_mixed", "begun_wrong", "executed_twice", "lost"] {
            assert_eq!(played[key], 0, "{line}");
        }
        assert!(
            played["begun"].as_u64() > Some(0) && played["outcome"].is_array(),
            "{line}"
        );
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

fn start(arguments: &str) -> Output {
    let done = Command::new(LAB)
        .args(["fault-test", "cold-start"])
        .args(arguments.split(' '))
        .output();
    done.expect("it runs")
}

/// Of each way one line: what it came to.
fn played(json: &std::path::Path) -> Vec<serde_json::Value> {
    let lines = std::fs::read_to_string(json).expect("written");
    std::fs::remove_file(json).expect("a file");
    lines
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect()
}

#[test]
fn proxies_that_start_together_hear_the_list_from_few_under_drawn_faults() {
    let json = std::env::temp_dir().join(format!("badgerramp-start-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 12 --hosts 8 --courses 4 --seed 31 --at-once 2 --json {}",
        json.display()
    );
    let output = start(&arguments);
    assert!(output.status.success(), "{}", told(&output));
    let played = played(&json);
    assert_eq!(played.len(), 4);
    for one in played {
        for key in ["lost", "executed_twice", "unlisted", "behind", "given_up"] {
            assert_eq!(one[key], 0, "{one}");
        }
        assert!(
            one["served"].as_u64() > Some(0) && one["listed_ms"].is_array(),
            "{one}"
        );
    }
}

#[test]
fn with_peers_the_service_is_asked_by_few_and_without_by_each() {
    let json = std::env::temp_dir().join(format!("badgerramp-ways-{}.json", std::process::id()));
    let arguments = format!(
        "--proxies 40 --hosts 8 --seconds 3 --only none --way none,peers --json {}",
        json.display()
    );
    let output = start(&arguments);
    assert!(output.status.success(), "{}", told(&output));
    let questions = |one: &serde_json::Value| one["questions_start"].as_u64().unwrap_or(0);
    let played = played(&json);
    // Each asks for the list and then for what changes; with peers some ask, and those that began late.
    assert!(questions(&played[0]) >= 40, "{}", played[0]);
    assert!(questions(&played[1]) <= 24, "{}", played[1]);
}

#[test]
fn the_same_start_in_virtual_time() {
    let output = start("--in-virtual-time --proxies 30 --courses 3 --seed 5");
    assert!(output.status.success(), "{}", told(&output));
    assert_eq!(
        told(&output).matches("held").count(),
        3,
        "{}",
        told(&output)
    );
}

fn drains(arguments: &str) -> Output {
    let done = Command::new(LAB)
        .args(["fault-test", "drains"])
        .args(arguments.split(' '))
        .output();
    done.expect("it runs")
}

/// Before, a watch waited ten seconds, and its silence showed when what it missed had been told already.
#[test]
fn nothing_goes_to_a_host_after_its_drain_is_told_though_watches_are_silent() {
    let json = std::env::temp_dir().join(format!("badgerramp-drains-{}.json", std::process::id()));
    let output = drains(&format!(
        "--proxies 4 --courses 6 --seed 1 --at-once 6 --json {}",
        json.display()
    ));
    assert!(output.status.success(), "{}", told(&output));
    let played = played(&json);
    assert_eq!(played.len(), 6);
    for course in &played {
        assert!(
            course["verdict"]["arrivals"].as_u64() > Some(100),
            "{course}"
        );
        assert!(
            course["verdict"]["questions"].as_u64() > Some(4),
            "{course}"
        );
    }
    assert!(
        played.iter().any(|p| p["course"]["pushed"] == true),
        "some lists are pushed"
    );
    assert!(
        played.iter().any(|p| p["course"]["pushed"] == false),
        "and some are asked for"
    );
}

/// A proxy that is told to end answers all that it has taken, and what a client has asked that left is sent to nobody.
#[test]
fn a_proxy_that_ends_loses_nothing_and_clients_that_left_have_gone() {
    for fault in ["restart", "leave"] {
        let json =
            std::env::temp_dir().join(format!("badgerramp-{fault}-{}.json", std::process::id()));
        let output = drains(&format!(
            "--proxies 4 --courses 3 --at-once 3 --only {fault} --json {}",
            json.display()
        ));
        assert!(output.status.success(), "{}", told(&output));
        for course in played(&json) {
            assert!(
                course["verdict"]["arrivals"].as_u64() > Some(100),
                "{course}"
            );
        }
    }
}

#[test]
fn a_fault_that_no_trial_of_drains_knows_is_bad_usage() {
    let output = drains("--only meteor");
    assert_eq!(output.status.code(), Some(2));
    assert!(told(&output).contains("silent-again"), "{}", told(&output));
}
