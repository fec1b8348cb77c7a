//! The keys of each table of the operator's file. The diagnostic for an unknown key lists the known ones, so that one
//! unknown key in each table reveals all keys.

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

/// `[[expect]]` is read only if the rest of the file has no mistakes.
const EXPECT: &str = r#"
[[expect]]
zzzz = 1
request = "GET /"
class = "a"
"#;

/// The unknown keys of a file, each with the known keys of its table.
fn known_keys(text: &str) -> Vec<String> {
    let diagnostics = parse("keys.toml", text).expect_err("there are unknown keys");
    let unknown = diagnostics
        .iter()
        .filter(|diagnostic| diagnostic.key.ends_with("zzzz"));
    let lines: Vec<String> = unknown
        .map(|diagnostic| format!("{}: {}", diagnostic.key, diagnostic.allowed))
        .collect();
    assert_eq!(lines.len(), text.matches("zzzz").count(), "{lines:#?}");
    lines
}

#[test]
fn each_table_of_the_operators_file_accepts_its_known_keys() {
    let base = include_str!("good/base.toml");
    let expect = format!("{base}{}", EXPECT.replace("\"a\"", "\"none\""));
    let lines = [known_keys(FILE), known_keys(&expect)].concat();
    insta::assert_snapshot!(lines.join("\n"));
}
