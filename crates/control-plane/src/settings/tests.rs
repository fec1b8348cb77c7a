//! Errors reported for invalid settings files.

use super::Settings;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

#[test]
fn errors_name_the_file_the_key_the_value_found_and_the_allowed_values() {
    let directory = std::env::temp_dir().join(format!(
        "badgerramp-control-settings-{}",
        std::process::id()
    ));
    std::fs::create_dir_all(&directory).expect("a directory");
    let secret = directory.join("secret");
    std::fs::write(&secret, "0123456789abcdef0123").expect("a file");
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o600)).expect("set");
    let valid =
        "replica = 1\nreplicas = { 1 = \"127.0.0.1:7401\" }\nstore = \"s\"\nsecret = \"secret\"\n";
    let path = directory.join("control.toml");
    let load = |text: &str| {
        std::fs::write(&path, text).expect("a file");
        Settings::load(&path)
    };
    let settings = load(valid).expect("valid settings");
    assert_eq!(
        (settings.lease_duration, settings.store),
        (Duration::from_secs(10), directory.join("s"))
    );
    for (from, to, expected) in [
        ("replica = 1\n", "replica = 2\n", "replica: found 2"),
        ("{ 1 =", "{ 0 =", "replicas: found \"0\""),
        (
            "{ 1 = \"127.0.0.1:7401\" }",
            "{ 1 = \"127.0.0.1:7401\", 2 = \"127.0.0.1:7402\" }",
            "found 2, allowed are 1, 3 or 5",
        ),
        (
            "store",
            "lease_ms = 5\nstore",
            "lease_ms: found 5, allowed is 200 to 600000",
        ),
        ("store", "wait_ms = 5\nstore", "wait_ms: found 5"),
        ("store", "stored = 1\nstore", "stored"),
        ("\"secret\"", "\"none\"", "secret: "),
    ] {
        let error = load(&valid.replace(from, to)).expect_err(to).to_string();
        assert!(
            error.contains(expected) && error.contains("control.toml"),
            "{error}"
        );
    }
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).expect("set");
    assert!(load(valid)
        .expect_err("the secret is readable by others")
        .to_string()
        .contains("found permissions 644"));
    std::fs::remove_dir_all(&directory).expect("a directory");
}
