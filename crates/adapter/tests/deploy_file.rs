//! The deploy files contain the keys that the platform reads, and list only existing files.

use std::path::Path;

const KEYS: [&str; 6] = ["build", "node", "packages", "policy", "run", "sim"];

fn paths(table: &toml::Table, key: &str) -> Vec<String> {
    let list = table[key].as_array().expect("a list");
    list.iter()
        .map(|path| path.as_str().expect("a path").to_owned())
        .collect()
}

#[test]
fn deploy_files_have_the_expected_keys_and_list_existing_files() {
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

/// The platform reads the balancer's sources from the paths under the key `policy`, so every module
/// must be listed.
#[test]
fn deploy_files_with_a_policy_list_every_balancer_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = "crates/decisions/src/balancer";
    let mut modules: Vec<String> = file_names(&root.join(folder))
        .iter()
        .map(|name| format!("{folder}/{name}"))
        .collect();
    modules.sort_unstable();
    assert!(modules.len() > 10, "{modules:?}");
    let mut policy_file_count = 0;
    for name in file_names(&root.join("deploy")) {
        if !name.ends_with(".toml") {
            continue;
        }
        let text = std::fs::read_to_string(root.join("deploy").join(&name)).expect("a deploy file");
        let table: toml::Table = text.parse().expect("TOML");
        if !table.contains_key("policy") {
            continue;
        }
        policy_file_count += 1;
        let mut listed = paths(&table, "policy");
        listed.sort_unstable();
        assert_eq!(listed, modules, "{name}");
    }
    assert!(
        policy_file_count >= 5,
        "{policy_file_count} deploy files with a policy"
    );
}

fn file_names(folder: &Path) -> Vec<String> {
    std::fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry"))
        .filter(|entry| entry.path().is_file())
        .map(|entry| entry.file_name().into_string().expect("UTF-8"))
        .collect()
}
