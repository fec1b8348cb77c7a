//! Runs the demo as a user does, for a shorter time.

#[test]
fn the_demo_prints_its_table_and_holds_all_invariants() {
    let demo = std::process::Command::new(env!("CARGO_BIN_EXE_badgerramp-demo"))
        .args(["--seconds", "5"])
        .output();
    let demo = demo.expect("start the demo");
    let output = String::from_utf8(demo.stdout).expect("UTF-8 output");
    assert!(demo.status.success(), "{output}");
    for text in [
        "registro-entrada",
        "cobro-mensual",
        "p99 ms",
        "0 of them twice",
        "all rules kept",
    ] {
        assert!(output.contains(text), "{output}");
    }
}
