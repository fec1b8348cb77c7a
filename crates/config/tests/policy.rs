//! `[policy]`: the region of a proxy's control.

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
    region_of(file(policy).unwrap_or_else(|mistakes| panic!("{mistakes}")))
}

#[test]
fn a_region_is_named_or_left_out() {
    assert_eq!(region(""), None);
    assert_eq!(region("region = \"norte\"\n").as_deref(), Some("norte"));
    let longest = "r".repeat(63);
    assert_eq!(region(&format!("region = \"{longest}\"\n")), Some(longest));
}

#[test]
fn a_bad_region_is_refused_with_file_line_key_what_was_found_and_what_is_allowed() {
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
        let mistakes = file(&format!("region = {found}\n")).expect_err(found);
        assert_eq!(mistakes.count(), 1, "{mistakes}");
        let told = mistakes.to_single_line();
        let allowed = "allowed: 1 to 63 of a-z, 0-9, '-' and '_', the first one a letter";
        let place = "proxy.toml:12:10: policy.region: this is no name of a region";
        assert!(
            told.starts_with(place) && told.contains(found) && told.contains(allowed),
            "{told}"
        );
    }
}

#[test]
fn the_region_is_the_machines_own_and_not_the_policys() {
    let local = file("region = \"sur\"\n").expect("good");
    let published = file("region = \"norte\"\n").expect("good");
    assert_eq!(region_of(published.beside(&local)).as_deref(), Some("sur"));
}
