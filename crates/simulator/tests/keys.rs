//! Snapshot of the keys that the tables of a scenario file accept. The error for an unknown key lists the known ones, so one
//! unknown key in each table shows them all.

use badgerramp_simulator::scenario_file::parse;

const FILE: &str = r#"
zzzz = 1
duration = "1s"
[clients]
zzzz = 1
[class.a]
zzzz = 1
aim = "500ms"
deadline = "1s"
effect = "safe"
[[host]]
zzzz = 1
[network]
zzzz = 1
[list]
zzzz = 1
[judged]
zzzz = 1
[[fault]]
zzzz = 1
from = "0s"
until = "1s"
trouble = "zzzz"
[[request]]
zzzz = 1
at = "0s"
class = "a"
"#;

#[test]
fn scenario_tables_accept_exactly_the_known_keys() {
    let mistakes = parse("keys.toml", FILE).expect_err("there are unknown keys");
    let unknown = mistakes
        .iter()
        .filter(|mistake| mistake.key.ends_with("zzzz") || mistake.found.contains("zzzz"));
    let lines: Vec<String> = unknown
        .map(|mistake| format!("{}: {}", mistake.key, mistake.allowed))
        .collect();
    assert_eq!(lines.len(), FILE.matches("zzzz").count());
    insta::assert_snapshot!(lines.join("\n"));
}
