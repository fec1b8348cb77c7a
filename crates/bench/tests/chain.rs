//! Tests that retries of one call multiply along a chain of sidecars as expected while the last service fails. A change to
//! how often sidecars retry a call has to change these counts deliberately.

use std::process::Command;

/// Options with such long times that only the number of attempts and the retry budget limit the counts, even on a slow
/// machine. The latency objective is shorter, because a sidecar pauses calls to a host that rejected one for a quarter of
/// it.
const LONG_TIMEOUT_OPTIONS: [&str; 6] = [
    "--aim-ms",
    "2000",
    "--deadline-ms",
    "600000",
    "--extra",
    "connect = \"60s\"",
];

/// The number of requests that reached each depth for one call at the top.
fn requests_by_depth(arguments: &[&str]) -> Vec<u64> {
    let bench = Command::new(env!("CARGO_BIN_EXE_badgerramp-bench"))
        .arg("chain")
        .args(LONG_TIMEOUT_OPTIONS)
        .args(arguments)
        .output()
        .expect("the benchmark starts");
    let table = String::from_utf8(bench.stdout).expect("text");
    assert!(
        bench.status.success(),
        "{table}{}",
        String::from_utf8_lossy(&bench.stderr)
    );
    let row = table
        .lines()
        .nth(1)
        .unwrap_or_else(|| panic!("expected a row in the table: {table}"));
    // Columns: depth, effect, failure, answer, milliseconds, requests, later requests; then one count for each depth.
    row.split_whitespace()
        .skip(7)
        .map(|n| {
            n.parse()
                .unwrap_or_else(|_| panic!("expected counts in the row: {row}"))
        })
        .collect()
}

#[test]
fn attempts_of_a_safe_call_multiply_at_each_depth() {
    let counts = requests_by_depth(&[
        "--depth",
        "3",
        "--attempts",
        "3",
        "--effect",
        "safe",
        "--failure",
        "error",
    ]);
    assert_eq!(counts, [3, 9, 27]);
}

#[test]
fn attempts_of_a_keyed_call_multiply_like_those_of_a_safe_call() {
    let counts = requests_by_depth(&[
        "--depth",
        "3",
        "--attempts",
        "3",
        "--effect",
        "keyed",
        "--failure",
        "error",
    ]);
    assert_eq!(counts, [3, 9, 27]);
}

/// Each sidecar starts with a budget of twenty retries, and every fifth call adds one. From the fourth depth on this is
/// less than three attempts for each call.
#[test]
fn the_retry_budget_limits_each_sidecar() {
    let counts = requests_by_depth(&[
        "--depth",
        "5",
        "--attempts",
        "3",
        "--effect",
        "safe",
        "--failure",
        "error",
    ]);
    assert_eq!(counts, [3, 9, 27, 52, 82]);
}

#[test]
fn an_unsafe_call_reaches_each_depth_once() {
    let counts = requests_by_depth(&[
        "--depth",
        "3",
        "--attempts",
        "3",
        "--effect",
        "unsafe",
        "--failure",
        "error",
    ]);
    assert_eq!(counts, [1, 1, 1]);
}

/// The proof that an attempt was not executed applies only to the sidecar that receives it; it is not forwarded upwards.
#[test]
fn a_rejected_unsafe_call_is_retried_only_at_the_last_depth() {
    let counts = requests_by_depth(&[
        "--depth",
        "3",
        "--attempts",
        "3",
        "--effect",
        "unsafe",
        "--failure",
        "never-ran",
    ]);
    assert_eq!(counts, [1, 1, 3]);
}
