//! Runs a few seeded soaks of one proxy. A target of its own, so that no other test takes the processor from them.

use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp-sim");

/// Guards against a process that passes its memory limit, ends by itself or loses requests under crowds and signals.
#[test]
fn proxy_keeps_its_limits_and_rules_under_crowds_and_signals() {
    let output = Command::new(PROGRAM)
        .args(["fault-test", "soak"])
        .args(["--courses", "4", "--seed", "1", "--at-once", "1"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    assert!(text.contains("4 of 4 held"), "{text}");
}
