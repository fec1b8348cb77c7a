//! A replica's file: what it says of regions, and what is refused.

use badgerramp_control_plane::settings::{RegionSettings, Settings, SettingsError};
use badgerramp_fault_injection::process::Folder;
use std::time::Duration;

const GOOD: &str =
    "replica = 1\nreplicas = { 1 = \"127.0.0.1:7401\" }\nstore = \"s\"\nsecret = \"secret\"\n";
const SUR: &str = "region = \"norte\"\n[regions.sur]\nreplicas = [\"127.0.0.1:7501\"]\n";

struct File(Folder);

impl File {
    fn new(name: &str) -> File {
        let folder = Folder::new(&format!("settings-{name}")).expect("a folder");
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        File(folder)
    }

    fn load(&self, more: &str) -> Result<Settings, SettingsError> {
        let path = self
            .0
            .write("control.toml", &format!("{GOOD}{more}"), false)
            .expect("a file");
        Settings::load(&path)
    }

    fn regions(&self, more: &str) -> Option<RegionSettings> {
        self.load(more).expect("good").regions
    }
}

#[test]
fn regions_are_absent_unless_the_file_names_one() {
    assert_eq!(File::new("off").regions(""), None);
}

#[test]
fn first_region_by_name_is_the_coordinator() {
    let file = File::new("coordinator");
    let norte = file.regions(SUR).expect("regions");
    assert_eq!(norte.vote_timeout, Duration::from_secs(10));
    assert!(norte.regions.is_coordinator() && norte.coordinator_replicas().is_none());
    let sur = "region = \"sur\"\nregions_wait_ms = 3000\n[regions.norte]\nreplicas = [\"127.0.0.1:7601\"]\n";
    let sur = file.regions(sur).expect("regions");
    assert_eq!(sur.vote_timeout, Duration::from_secs(3));
    assert_eq!(sur.regions.coordinator().as_str(), "norte");
    assert_eq!(
        sur.coordinator_replicas(),
        Some(&["127.0.0.1:7601".parse().expect("an address")][..])
    );
}

/// Checks that a file with these keys more is rejected with a text that has all of these words and the file's name.
fn assert_rejected(name: &str, cases: &[(String, &[&str])]) {
    let file = File::new(name);
    for (more, words) in cases {
        let error = file.load(more).expect_err(more).to_string();
        assert!(error.contains("control.toml"), "{error}");
        for word in *words {
            assert!(error.contains(word), "{word:?} is not in: {error}");
        }
    }
}

#[test]
fn invalid_region_keys_and_names_are_rejected_with_what_was_found_and_is_allowed() {
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
                SUR.replace("\"norte\"", "\"El Norte\""),
                &["region: found", "\"El Norte\"", "allowed are 1 to 63"],
            ),
            (
                SUR.replace("\"norte\"", "7"),
                &["invalid type", "region = 7", "expected a string"],
            ),
            (
                SUR.replace("regions.sur", "regions.norte"),
                &["regions.norte: found \"norte\"", "other than `region`"],
            ),
            (
                SUR.replace("regions.sur", "regions.SUR"),
                &["regions.SUR: found", "allowed are 1 to 63"],
            ),
        ],
    );
}

#[test]
fn invalid_replicas_and_timeouts_of_regions_are_rejected_with_what_was_found_and_is_allowed() {
    assert_rejected(
        "addresses",
        &[
            (
                SUR.replace("[\"127.0.0.1:7501\"]", "[]"),
                &["regions.sur.replicas: found 0", "allowed are 1, 3 or 5"],
            ),
            (
                SUR.replace("7501", "7401"),
                &[
                    "regions.sur.replicas[0]: found 127.0.0.1:7401",
                    "already used by replicas.1",
                ],
            ),
            (
                SUR.replace("127.0.0.1:7501", "nowhere"),
                &["nowhere", "invalid socket address"],
            ),
            (
                SUR.replace("replicas = [", "replcas = ["),
                &["unknown field `replcas`", "expected `replicas`"],
            ),
            (
                format!("{SUR}[regions.oeste]\nreplicas = [\"127.0.0.1:7501\"]\n"),
                &[
                    "regions.sur.replicas[0]: found 127.0.0.1:7501",
                    "already used by regions.oeste.replicas[0]",
                ],
            ),
            (
                SUR.replace("[regions.sur]", "regions_wait_ms = 10\n[regions.sur]"),
                &["regions_wait_ms: found 10", "allowed is 200 to 86400000"],
            ),
        ],
    );
}

/// An unknown key is refused with the list of the known ones.
#[test]
fn the_file_of_a_replica_takes_the_keys_it_took() {
    let file = File::new("keys");
    let known = |more: &str| {
        let message = file
            .load(more)
            .expect_err("there is an unknown key")
            .to_string();
        let line = message
            .lines()
            .find(|line| line.starts_with("unknown field"))
            .expect("it says which");
        line.to_owned()
    };
    let region = "region = \"norte\"\n[regions.sur]\nreplicas = [\"127.0.0.1:7501\"]\nzzzz = 1\n";
    insta::assert_snapshot!([known("zzzz = 1\n"), known(region)].join("\n"));
}
