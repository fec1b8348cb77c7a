//! Pins the keys of each table of a description. An unknown key is rejected with a list of the known ones, so one unknown
//! key in each table shows them all. Keys of classes and routes are copied verbatim to the operator's files; the tests of
//! `badgerramp-config` pin those.

use badgerramp_config_tool::description::{load, Description};

const DESCRIPTION: &str = r#"
zzzz = 1
[class.a]
aim = "500ms"
deadline = "1s"
effect = "safe"
[upstream.u]
zzzz = 1
proxies = 1
zone = "a"
connections = 76
rate = 100
unsafe = ["/charges"]
keyed = [{ path = "/entries", zzzz = 1 }]
[app.one]
zzzz = 1
"#;

#[test]
fn each_table_of_a_description_accepts_exactly_the_pinned_keys() {
    let path = std::env::temp_dir().join(format!("badgerramp-keys-{}.toml", std::process::id()));
    std::fs::write(&path, DESCRIPTION).expect("file operation");
    let mut report = load(&path).unwrap_or_else(|_| panic!("load failed"));
    let description = Description::read(&mut report);
    std::fs::remove_file(&path).expect("file operation");
    let known: Vec<&str> = description.upstreams[0]
        .keys
        .iter()
        .map(|raw| raw.key.as_str())
        .collect();
    assert_eq!(
        known,
        ["zzzz"],
        "keys of an upstream that are not part of its contract are copied to the operators' files"
    );
    let lines: Vec<String> = report
        .findings
        .iter()
        .map(|finding| format!("{}: {}", finding.key, finding.allowed))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
