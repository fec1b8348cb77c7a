//! Settings file of a replica: keys for regions, and invalid files.

use badgerramp_control_plane::settings::{RegionSettings, Settings, SettingsError};
use badgerramp_fault_injection::process::Folder;
use std::time::Duration;

/// Valid settings without regions.
const BASE: &str =
    "replica = 1\nreplicas = { 1 = \"127.0.0.1:7401\" }\nstore = \"s\"\nsecret = \"secret\"\n";
/// Keys of region norte with the other region sur.
const NORTE_AND_SUR: &str = "region = \"norte\"\n[regions.sur]\nreplicas = [\"127.0.0.1:7501\"]\n";

/// A directory for the settings file of a replica.
struct SettingsDirectory(Folder);

impl SettingsDirectory {
    fn new(name: &str) -> SettingsDirectory {
        let folder = Folder::new(&format!("settings-{name}")).expect("a folder");
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        SettingsDirectory(folder)
    }

    /// Loads the base settings with these keys in addition.
    fn load(&self, extra: &str) -> Result<Settings, SettingsError> {
        let path = self
            .0
            .write("control.toml", &format!("{BASE}{extra}"), false)
            .expect("a file");
        Settings::load(&path)
    }

    fn regions(&self, extra: &str) -> Option<RegionSettings> {
        self.load(extra).expect("valid settings").regions
    }
}

#[test]
fn regions_are_absent_unless_the_file_names_one() {
    assert_eq!(SettingsDirectory::new("off").regions(""), None);
}

#[test]
fn first_region_by_name_is_the_coordinator() {
    let directory = SettingsDirectory::new("coordinator");
    let norte = directory.regions(NORTE_AND_SUR).expect("regions");
    assert_eq!(norte.vote_timeout, Duration::from_secs(10));
    assert!(norte.regions.is_coordinator() && norte.coordinator_replicas().is_none());
    let sur = "region = \"sur\"\nregions_wait_ms = 3000\n[regions.norte]\nreplicas = [\"127.0.0.1:7601\"]\n";
    let sur = directory.regions(sur).expect("regions");
    assert_eq!(sur.vote_timeout, Duration::from_secs(3));
    assert_eq!(sur.regions.coordinator().as_str(), "norte");
    assert_eq!(
        sur.coordinator_replicas(),
        Some(&["127.0.0.1:7601".parse().expect("an address")][..])
    );
}

/// Checks that a file with additional keys is rejected, with an error that contains the expected texts and the file name.
fn assert_rejected(name: &str, cases: &[(String, &[&str])]) {
    let directory = SettingsDirectory::new(name);
    for (extra, expected_texts) in cases {
        let error = directory.load(extra).expect_err(extra).to_string();
        assert!(error.contains("control.toml"), "{error}");
        for text in *expected_texts {
            assert!(error.contains(text), "{text:?} is not in: {error}");
        }
    }
}

#[test]
fn invalid_region_keys_and_names_are_rejected_with_found_and_allowed_values() {
    let table = "[regions.sur]\nreplicas = [\"127.0.0.1:7501\"]\n";
    assert_rejected(
        "names",
        &[
            (
                "region = \"norte\"\n".to_owned(),
                &["regions: found none", "[regions.NAME]"],
            ),
            (
                table.to_owned(),
                &[
                    "regions.sur: found a region",
                    "allowed only together with `region`",
                ],
            ),
            (
                "regions_wait_ms = 5000\n".to_owned(),
                &["regions_wait_ms: found 5000", "together with `region`"],
            ),
            (
                NORTE_AND_SUR.replace("\"norte\"", "\"El Norte\""),
                &["region: found", "\"El Norte\"", "allowed are 1 to 63"],
            ),
            (
                NORTE_AND_SUR.replace("\"norte\"", "7"),
                &["invalid type", "region = 7", "expected a string"],
            ),
            (
                NORTE_AND_SUR.replace("regions.sur", "regions.norte"),
                &["regions.norte: found \"norte\"", "other than `region`"],
            ),
            (
                NORTE_AND_SUR.replace("regions.sur", "regions.SUR"),
                &["regions.SUR: found", "allowed are 1 to 63"],
            ),
        ],
    );
}

#[test]
fn invalid_replicas_and_timeouts_of_regions_are_rejected_with_found_and_allowed_values() {
    assert_rejected(
        "addresses",
        &[
            (
                NORTE_AND_SUR.replace("[\"127.0.0.1:7501\"]", "[]"),
                &["regions.sur.replicas: found 0", "allowed are 1, 3 or 5"],
            ),
            (
                NORTE_AND_SUR.replace("7501", "7401"),
                &[
                    "regions.sur.replicas[0]: found 127.0.0.1:7401",
                    "already used by replicas.1",
                ],
            ),
            (
                NORTE_AND_SUR.replace("127.0.0.1:7501", "nowhere"),
                &["nowhere", "invalid socket address"],
            ),
            (
                NORTE_AND_SUR.replace("replicas = [", "replcas = ["),
                &["unknown field `replcas`", "expected `replicas`"],
            ),
            (
                format!("{NORTE_AND_SUR}[regions.oeste]\nreplicas = [\"127.0.0.1:7501\"]\n"),
                &[
                    "regions.sur.replicas[0]: found 127.0.0.1:7501",
                    "already used by regions.oeste.replicas[0]",
                ],
            ),
            (
                NORTE_AND_SUR.replace("[regions.sur]", "regions_wait_ms = 10\n[regions.sur]"),
                &["regions_wait_ms: found 10", "allowed is 200 to 86400000"],
            ),
        ],
    );
}

/// The error for an unknown key lists all known keys, which must not change.
#[test]
fn the_file_of_a_replica_takes_the_keys_it_took() {
    let directory = SettingsDirectory::new("keys");
    let known = |extra: &str| {
        let message = directory
            .load(extra)
            .expect_err("the file has an unknown key")
            .to_string();
        let line = message
            .lines()
            .find(|line| line.starts_with("unknown field"))
            .expect("the error lists the known keys");
        line.to_owned()
    };
    let region = "region = \"norte\"\n[regions.sur]\nreplicas = [\"127.0.0.1:7501\"]\nzzzz = 1\n";
    insta::assert_snapshot!([known("zzzz = 1\n"), known(region)].join("\n"));
}
