//! The deploy files keep the keys that the platform reads, and name only what is there.

use std::path::Path;

const KEYS: [&str; 6] = ["build", "node", "packages", "policy", "run", "sim"];

fn paths(table: &toml::Table, key: &str) -> Vec<String> {
    let list = table[key].as_array().expect("a list");
    list.iter()
        .map(|path| path.as_str().expect("a path").to_owned())
        .collect()
}

#[test]
fn the_deploy_files_keep_their_keys_and_name_what_is_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in ["balancer.toml", "balancer-operator.toml"] {
        let text = std::fs::read_to_string(root.join("deploy").join(name)).expect("a deploy file");
        let table: toml::Table = text.parse().expect("TOML");
        let mut keys: Vec<&str> = table.keys().map(String::as_str).collect();
        keys.sort_unstable();
        assert_eq!(keys, KEYS, "{name}");
        assert_eq!(
            table["build"].as_str(),
            Some("cargo build --release"),
            "{name}"
        );
        assert!(table["run"]
            .as_str()
            .is_some_and(|run| run.starts_with("exec target/release/badgerramp")));
        assert_eq!(
            table["sim"].as_str(),
            Some("exec target/release/badgerramp-adapter"),
            "{name}"
        );
        for path in paths(&table, "policy").iter().chain(&paths(&table, "node")) {
            assert!(root.join(path).exists(), "{name}: {path}");
        }
    }
}

/// The platform reads the decisions' sources by the key `policy`: each module of the balancer has to be there.
#[test]
fn every_deploy_file_with_a_policy_names_each_module_of_the_balancer() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = "crates/decisions/src/balancer";
    let mut modules: Vec<String> = file_names(&root.join(folder))
        .iter()
        .map(|name| format!("{folder}/{name}"))
        .collect();
    modules.sort_unstable();
    assert!(modules.len() > 10, "{modules:?}");
    let mut with_policy = 0;
    for name in file_names(&root.join("deploy")) {
        if !name.ends_with(".toml") {
            continue;
        }
        let text = std::fs::read_to_string(root.join("deploy").join(&name)).expect("a deploy file");
        let table: toml::Table = text.parse().expect("TOML");
        if !table.contains_key("policy") {
            continue;
        }
        with_policy += 1;
        let mut listed = paths(&table, "policy");
        listed.sort_unstable();
        assert_eq!(listed, modules, "{name}");
    }
    assert!(with_policy >= 5, "{with_policy} deploy files with a policy");
}

fn file_names(folder: &Path) -> Vec<String> {
    std::fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry"))
        .filter(|entry| entry.path().is_file())
        .map(|entry| entry.file_name().into_string().expect("UTF-8"))
        .collect()
}
