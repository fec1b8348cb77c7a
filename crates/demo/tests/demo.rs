//! The demo as its user starts it, cut short.

#[test]
fn it_ends_with_its_table_and_all_rules_kept() {
    let demo = std::process::Command::new(env!("CARGO_BIN_EXE_badgerramp-demo"))
        .args(["--seconds", "5"])
        .output();
    let demo = demo.expect("the demo starts");
    let told = String::from_utf8(demo.stdout).expect("text");
    assert!(demo.status.success(), "{told}");
    for words in [
        "registro-entrada",
        "cobro-mensual",
        "p99 ms",
        "0 of them twice",
        "all rules kept",
    ] {
        assert!(told.contains(words), "{told}");
    }
}
