//! How the work of one call multiplies along a chain of sidecars whose last service fails. The counts are those of
//! today's program: whoever changes how often sidecars repeat a call changes them here knowingly.

use std::process::Command;

/// Times that no machine takes, so that attempts and the budget of repeats alone bound the counts. The aim is short, as
/// a host that turns a call away is left alone for a quarter of it.
const LONG_TIMES: [&str; 6] = [
    "--aim-ms",
    "2000",
    "--deadline-ms",
    "600000",
    "--extra",
    "connect = \"60s\"",
];

/// Requests that reached each depth for one call at the top.
fn requests_by_depth(arguments: &[&str]) -> Vec<u64> {
    let bench = Command::new(env!("CARGO_BIN_EXE_badgerramp-bench"))
        .arg("chain")
        .args(LONG_TIMES)
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
        .unwrap_or_else(|| panic!("no row: {table}"));
    // Depth, effect, failure, answer, milliseconds, requests, later ones; then one count for each depth.
    row.split_whitespace()
        .skip(7)
        .map(|n| n.parse().unwrap_or_else(|_| panic!("odd row: {row}")))
        .collect()
}

#[test]
fn a_call_that_may_run_twice_multiplies_at_each_depth() {
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
fn a_keyed_call_multiplies_as_a_safe_one_does() {
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

/// Each sidecar starts with twenty repeats saved up and earns one with every fifth call: from the fourth depth on that
/// is less than three attempts for each call.
#[test]
fn the_budget_of_repeats_bounds_each_sidecar() {
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
fn a_call_that_must_not_run_twice_reaches_each_depth_once() {
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

/// The proof that an attempt never ran holds for the sidecar that hears it, and goes no further up.
#[test]
fn a_refusal_of_a_call_that_must_not_run_twice_multiplies_at_the_last_depth_alone() {
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
