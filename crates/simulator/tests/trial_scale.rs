//! The trial of a fleet of many proxies, small: its rules hold, its counts are there, and what it can't play is refused.

use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn scale(arguments: &str) -> Output {
    Command::new(LAB)
        .args(["fault-test", "scale"])
        .args(arguments.split(' '))
        .output()
        .expect("it runs")
}

fn told(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

/// Plays one course; limits of time and load are the machine's business here, and are not looked at.
fn played(name: &str, arguments: &str) -> serde_json::Value {
    let json = std::env::temp_dir().join(format!(
        "badgerramp-scale-{name}-{}.json",
        std::process::id()
    ));
    let output = scale(&format!(
        "--proxies 24 --real 4 {arguments} --json {}",
        json.display()
    ));
    let lines = std::fs::read_to_string(&json).unwrap_or_else(|_| panic!("{}", told(&output)));
    std::fs::remove_file(json).expect("a file");
    let played: serde_json::Value =
        serde_json::from_str(lines.trim()).unwrap_or_else(|_| panic!("{}", told(&output)));
    assert_eq!(played["broke"], serde_json::json!([]), "{}", told(&output));
    let limits_hold = played["crossed"] == serde_json::json!([]);
    assert_eq!(
        output.status.code(),
        Some(i32::from(!limits_hold)),
        "{}",
        told(&output)
    );
    played
}

#[test]
fn a_calm_fleet_changes_its_policy_and_all_is_counted() {
    let played = played("calm", "--only none --seconds 6 --seed 3");
    assert_eq!(
        (&played["real"], &played["hollow"]),
        (&4.into(), &20.into())
    );
    for key in [
        "begun_mixed",
        "begun_wrong",
        "lost",
        "refused_well",
        "not_in_force",
        "not_known",
    ] {
        assert_eq!(played[key], 0, "{key}: {played}");
    }
    // One while measured, some while clients call, one at the end.
    assert!(played["in_force"].as_u64() >= Some(3), "{played}");
    // Each hollow proxy was looked at under each of the policies, at least twice.
    assert!(
        played["begun"].as_u64() >= Some(20 * 3 * 2) && played["calls"].as_u64() > Some(0),
        "{played}"
    );
    for kind in ["real_proxy", "hollow_proxy"] {
        for key in ["control_bytes_per_s", "peers_bytes_per_s", "memory_kib"] {
            assert!(
                played[kind][key].as_f64() > Some(0.0),
                "{kind} {key}: {played}"
            );
        }
    }
    assert_eq!(
        played["control_bytes_per_s"].as_array().map(Vec::len),
        Some(3),
        "{played}"
    );
}

#[test]
fn proxies_of_either_kind_are_restarted_and_nothing_is_refused() {
    let played = played("restart", "--only restart --seconds 6 --seed 1");
    // One that is a process of its own, and one that is hollow.
    assert_eq!(
        played["ready_ms"].as_array().map(Vec::len),
        Some(2),
        "{played}"
    );
    assert_eq!(
        (&played["not_ready"], &played["refused_well"]),
        (&0.into(), &0.into()),
        "{played}"
    );
}

/// Each region has leases of its own: a cut costs no call, and what was published meanwhile ends alike in both.
#[test]
fn a_region_that_is_cut_off_goes_on_and_changes_of_all_regions_end_alike() {
    let played = played(
        "cut",
        "--regions 2 --replicas 1 --only cut-region --seconds 9 --seed 1",
    );
    for key in [
        "refused_well",
        "begun_mixed",
        "begun_wrong",
        "mixed_across",
        "ended_apart",
        "lost",
        "failed_in_their_region",
    ] {
        assert_eq!(played[key], 0, "{key}: {played}");
    }
    assert!(
        played["all_regions_not_in_force"].as_u64() > Some(0),
        "one was published in the cut: {played}"
    );
    assert_eq!(played["last_in_force"], true, "{played}");
}

#[test]
fn what_can_not_be_played_is_bad_usage() {
    for (arguments, words) in [
        ("--only meteor", "cut-region"),
        ("--replicas 3 --regions 2 --proxies 1", "4.."),
        ("--replicas 2", "1, 3, 5"),
    ] {
        let output = scale(arguments);
        assert_eq!(output.status.code(), Some(2), "{}", told(&output));
        assert!(told(&output).contains(words), "{}", told(&output));
    }
    let output = scale("--only cut-region");
    assert!(
        !output.status.success() && told(&output).contains("allowed is 2"),
        "{}",
        told(&output)
    );
}
