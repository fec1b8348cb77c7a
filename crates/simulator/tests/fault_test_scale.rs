//! Runs the scale test with a small fleet: no invariant is violated, the report is complete, and invalid options are rejected.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

fn scale_test(arguments: &str) -> Output {
    Command::new(PROGRAM)
        .args(["fault-test", "scale"])
        .args(arguments.split(' '))
        .output()
        .expect("the program starts")
}

/// Standard output and standard error of a process.
fn output_text(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

/// Executes one run and returns its report. No invariant may be violated. Limits of time and load may be exceeded, as they
/// depend on the machine; the exit status must say so.
fn run_once(name: &str, arguments: &str) -> serde_json::Value {
    let json = std::env::temp_dir().join(format!(
        "badgerramp-scale-{name}-{}.json",
        std::process::id()
    ));
    let output = scale_test(&format!(
        "--proxies 24 --real 4 {arguments} --json {}",
        json.display()
    ));
    let lines =
        std::fs::read_to_string(&json).unwrap_or_else(|_| panic!("{}", output_text(&output)));
    std::fs::remove_file(json).expect("the file is removed");
    let report: serde_json::Value =
        serde_json::from_str(lines.trim()).unwrap_or_else(|_| panic!("{}", output_text(&output)));
    assert_eq!(
        report["broke"],
        serde_json::json!([]),
        "{}",
        output_text(&output)
    );
    let within_limits = report["crossed"] == serde_json::json!([]);
    assert_eq!(
        output.status.code(),
        Some(i32::from(!within_limits)),
        "{}",
        output_text(&output)
    );
    report
}

#[test]
fn fault_free_fleet_changes_its_policy_and_reports_all_counts() {
    let report = run_once("calm", "--only none --seconds 6 --seed 3");
    assert_eq!(
        (&report["real"], &report["hollow"]),
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
        assert_eq!(report[key], 0, "{key}: {report}");
    }
    // One change during the measurement, several during the load and one at the end.
    assert!(report["in_force"].as_u64() >= Some(3), "{report}");
    // Each hollow proxy was checked at least twice under each policy.
    assert!(
        report["begun"].as_u64() >= Some(20 * 3 * 2) && report["calls"].as_u64() > Some(0),
        "{report}"
    );
    for kind in ["real_proxy", "hollow_proxy"] {
        for key in ["control_bytes_per_s", "peers_bytes_per_s", "memory_kib"] {
            assert!(
                report[kind][key].as_f64() > Some(0.0),
                "{kind} {key}: {report}"
            );
        }
    }
    assert_eq!(
        report["control_bytes_per_s"].as_array().map(Vec::len),
        Some(3),
        "{report}"
    );
}

#[test]
fn restarts_of_real_and_hollow_proxies_reject_no_call() {
    let report = run_once("restart", "--only restart --seconds 6 --seed 1");
    // One real proxy and one hollow proxy were restarted.
    assert_eq!(
        report["ready_ms"].as_array().map(Vec::len),
        Some(2),
        "{report}"
    );
    assert_eq!(
        (&report["not_ready"], &report["refused_well"]),
        (&0.into(), &0.into()),
        "{report}"
    );
}

/// Each region grants its own leases, so a partition between regions fails no call, and changes that were published during
/// the partition have the same outcome in both regions.
#[test]
fn partitioned_region_keeps_serving_and_cross_region_changes_have_one_outcome() {
    let report = run_once(
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
        assert_eq!(report[key], 0, "{key}: {report}");
    }
    assert!(
        report["all_regions_not_in_force"].as_u64() > Some(0),
        "a change was published during the partition: {report}"
    );
    assert_eq!(report["last_in_force"], true, "{report}");
}

#[test]
fn scale_test_rejects_invalid_options() {
    for (arguments, message) in [
        ("--only meteor", "cut-region"),
        ("--replicas 3 --regions 2 --proxies 1", "4.."),
        ("--replicas 2", "1, 3, 5"),
    ] {
        let output = scale_test(arguments);
        assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
        assert!(
            output_text(&output).contains(message),
            "{}",
            output_text(&output)
        );
    }
    let output = scale_test("--only cut-region");
    assert!(
        !output.status.success() && output_text(&output).contains("allowed is 2"),
        "{}",
        output_text(&output)
    );
}
