//! Every key that a table of the operator's file may hold. An unknown key is refused with the list of the known ones, so
//! one unknown key in each table shows them all.

use badgerramp_config::parse;

const FILE: &str = r#"
zzzz = 1
listen = "127.0.0.1:8080"
[limits]
zzzz = 1
[log]
zzzz = 1
targets = { zzzz = 1 }
[upstream]
zzzz = 1
endpoints = [{ name = "s-1", address = "127.0.0.1:9001", zzzz = 1 }]
[subset]
zzzz = 1
[list]
zzzz = 1
[peers]
zzzz = 1
[policy]
zzzz = 1
[defaults]
zzzz = 1
never_ran = [{ status = 503, header = "x-not-processed", value = "1", zzzz = 1 }]
[class.a]
zzzz = 1
aim = "500ms"
deadline = "1s"
effect = "safe"
[[route]]
zzzz = 1
name = "r"
prefix = "/"
class = "a"
key = { header = "x", zzzz = 1 }
[no_route]
zzzz = 1
"#;

/// Expected requests are read only in a file that is good so far.
const EXPECT: &str = r#"
[[expect]]
zzzz = 1
request = "GET /"
class = "a"
"#;

/// The unknown keys of a file, each with the keys that are known there.
fn known(text: &str) -> Vec<String> {
    let mistakes = parse("keys.toml", text).expect_err("there are unknown keys");
    let unknown = mistakes
        .iter()
        .filter(|mistake| mistake.key.ends_with("zzzz"));
    let lines: Vec<String> = unknown
        .map(|mistake| format!("{}: {}", mistake.key, mistake.allowed))
        .collect();
    assert_eq!(lines.len(), text.matches("zzzz").count(), "{lines:#?}");
    lines
}

#[test]
fn every_table_of_the_operators_file_takes_the_keys_it_took() {
    let good = include_str!("good/base.toml");
    let expect = format!("{good}{}", EXPECT.replace("\"a\"", "\"none\""));
    let lines = [known(FILE), known(&expect)].concat();
    insta::assert_snapshot!(lines.join("\n"));
}
