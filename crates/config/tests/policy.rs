//! `[policy]`: the region of the control plane.

use badgerramp_config::{parse, Config, Diagnostics};

fn file(policy: &str) -> Result<Config, Diagnostics> {
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\nendpoints = [{{ address = \"127.0.0.1:9001\" }}]\n\
         [class.safe]\naim = \"500ms\"\ndeadline = \"1s\"\neffect = \"safe\"\n\
         [policy]\ncontrol = [\"127.0.0.1:7400\"]\nsecret = \"secret\"\napplication = \"caja\"\n{policy}\
         [[route]]\nname = \"safe\"\nprefix = \"/safe\"\nmethods = [\"GET\"]\nclass = \"safe\"\n"
    );
    parse("proxy.toml", &text)
}

fn region_of(config: Config) -> Option<String> {
    config.policy.expect("a policy").region.map(String::from)
}

fn region(policy: &str) -> Option<String> {
    region_of(file(policy).unwrap_or_else(|diagnostics| panic!("{diagnostics}")))
}

#[test]
fn region_is_optional() {
    assert_eq!(region(""), None);
    assert_eq!(region("region = \"norte\"\n").as_deref(), Some("norte"));
    let longest = "r".repeat(63);
    assert_eq!(region(&format!("region = \"{longest}\"\n")), Some(longest));
}

#[test]
fn an_invalid_region_is_reported_with_file_line_key_found_and_allowed() {
    let too_long = format!("\"{}\"", "r".repeat(64));
    for found in [
        "\"\"",
        "\"el norte\"",
        "7",
        "\"nörte\"",
        "\"Norte\"",
        "\"1sur\"",
        &too_long,
    ] {
        let diagnostics = file(&format!("region = {found}\n")).expect_err(found);
        assert_eq!(diagnostics.count(), 1, "{diagnostics}");
        let message = diagnostics.to_single_line();
        let allowed = "allowed: 1 to 63 of a-z, 0-9, '-' and '_', the first one a letter";
        let location = "proxy.toml:12:10: policy.region: this is not a valid region name";
        assert!(
            message.starts_with(location) && message.contains(found) && message.contains(allowed),
            "{message}"
        );
    }
}

#[test]
fn the_region_comes_from_the_local_file_and_not_from_the_policy() {
    let local = file("region = \"sur\"\n").expect("good");
    let published = file("region = \"norte\"\n").expect("good");
    assert_eq!(
        region_of(published.with_local_settings(&local)).as_deref(),
        Some("sur")
    );
}
