//! The errors of invalid files.

use super::Settings;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

#[test]
fn errors_name_file_key_what_was_found_and_what_is_allowed() {
    let folder = std::env::temp_dir().join(format!(
        "badgerramp-control-settings-{}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let secret = folder.join("secret");
    std::fs::write(&secret, "0123456789abcdef0123").expect("a file");
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o600)).expect("set");
    let good =
        "replica = 1\nreplicas = { 1 = \"127.0.0.1:7401\" }\nstore = \"s\"\nsecret = \"secret\"\n";
    let path = folder.join("control.toml");
    let load = |text: &str| {
        std::fs::write(&path, text).expect("a file");
        Settings::load(&path)
    };
    let settings = load(good).expect("good");
    assert_eq!(
        (settings.lease_duration, settings.store),
        (Duration::from_secs(10), folder.join("s"))
    );
    for (from, to, words) in [
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
        let error = load(&good.replace(from, to)).expect_err(to).to_string();
        assert!(
            error.contains(words) && error.contains("control.toml"),
            "{error}"
        );
    }
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).expect("set");
    assert!(load(good)
        .expect_err("open")
        .to_string()
        .contains("found permissions 644"));
    std::fs::remove_dir_all(&folder).expect("a folder");
}
