//! Every key that a table of a description may hold. An unknown key is refused with the list of the known ones, so one
//! unknown key in each table shows them all. Keys of classes and routes go into the operator's files as they stand:
//! those are pinned beside their reader.

use badgerramp_config_tool::description::{load, Description};

const FILE: &str = r#"
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
fn every_table_of_a_description_takes_the_keys_it_took() {
    let path = std::env::temp_dir().join(format!("badgerramp-keys-{}.toml", std::process::id()));
    std::fs::write(&path, FILE).expect("a file");
    let mut report = load(&path).unwrap_or_else(|_| panic!("it can be read"));
    let description = Description::read(&mut report);
    std::fs::remove_file(&path).expect("a file");
    let known: Vec<&str> = description.upstreams[0]
        .keys
        .iter()
        .map(|raw| raw.key.as_str())
        .collect();
    assert_eq!(
        known,
        ["zzzz"],
        "the facts of an upstream are read here, the rest goes into the files"
    );
    let lines: Vec<String> = report
        .findings
        .iter()
        .map(|finding| format!("{}: {}", finding.key, finding.allowed))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
