//! `[subset]` and `[list]`: what is refused, and with what words.

use badgerramp_config::{parse, Config, Diagnostics};

fn file(upstream: &str, more: &str) -> Result<Config, Diagnostics> {
    let text = format!(
        "listen = \"127.0.0.1:0\"\n{more}\n[upstream]\nproxies = 2000\nzone = \"a\"\n{upstream}\n[class.safe]\naim = \"1s\"\n\
         deadline = \"2s\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nmethods = [\"GET\"]\n\
         class = \"safe\"\n"
    );
    parse("proxy.toml", &text)
}

const DISCOVERY: &str = "discovery = \"127.0.0.1:9\"";

/// The file is refused, and what it says has each of these words.
fn refused(more: &str, words: &[&str]) {
    let told = match file(DISCOVERY, more) {
        Ok(_) => panic!("taken: {more}"),
        Err(mistakes) => mistakes.to_string(),
    };
    words
        .iter()
        .for_each(|word| assert!(told.contains(word), "{word:?} is not in:\n{told}"));
}

#[test]
fn a_subset_has_a_number_and_a_size_and_the_rest_follows() {
    let config = file(DISCOVERY, "[subset]\ninstance = 17\nsize = 20").expect("good");
    let terms = config.subset.expect("set");
    assert_eq!((terms.instance.number, terms.instance.count), (17, 2_000));
    assert_eq!(
        (terms.need.min_size, terms.need.max_size, terms.kept),
        (10, 80, 1)
    );
    assert!(
        file(DISCOVERY, "").expect("good").subset.is_none(),
        "off unless it is set"
    );
}

#[test]
fn mistakes_name_the_key_what_was_found_and_what_is_allowed() {
    refused("[subset]\nsize = 20", &["proxy.toml", "instance", "from 0"]);
    refused(
        "[subset]\ninstance = 2000\nsize = 20",
        &["subset.instance", "2000", "1999"],
    );
    refused(
        "[subset]\ninstance = 1\nsize = 20\nmost = 39",
        &["subset.most", "39", "40"],
    );
    refused(
        "[subset]\ninstance = 1\nsize = 20\nleats = 3",
        &["leats", "least"],
    );
    refused("[list]\nwait = \"10s\"", &["list", "rate"]);
    refused(
        "[list]\nrate = 100\nwait_idle = \"61s\"",
        &["list.wait_idle", "61s", "1m"],
    );
}

/// What all proxies hold and ask between them is reckoned when the file is read, not found out on a bad day.
#[test]
fn bounds_over_all_proxies_are_held_against_the_file() {
    let subset = "[subset]\ninstance = 1\nsize = 20\n";
    refused(
        &format!("{subset}connections_per_endpoint = 300"),
        &["connections_per_endpoint", "endpoints"],
    );
    let narrow = format!("{subset}endpoints = 1000\nconnections_per_endpoint = 249");
    refused(
        &narrow,
        &[
            "subset.connections_per_endpoint",
            "249",
            "2000 proxies",
            "at least 250",
        ],
    );
    assert!(file(
        DISCOVERY,
        &format!("{subset}endpoints = 1000\nconnections_per_endpoint = 250")
    )
    .is_ok());
    let wide = format!("[limits]\ndescriptors = 256\n{subset}kept = 2");
    refused(&wide, &["subset.most", "160", "at most 132"]);
    refused(
        "[list]\nrate = 100\nwait = \"10s\"",
        &["list.rate", "200.0 questions a second", "100"],
    );
    assert!(file(DISCOVERY, "[list]\nrate = 200\nwait = \"10s\"").is_ok());
}

#[test]
fn a_file_beside_the_platform_sets_neither() {
    for more in ["[subset]\ninstance = 0\nsize = 20", "[list]\nrate = 100"] {
        let told = parse("p.toml", &format!("platform = true\n{more}\n"))
            .expect_err("refused")
            .to_string();
        assert!(told.contains("the platform sets this"), "{told}");
    }
}

/// Sixteen were the most, of a fleet of hundreds.
#[test]
fn a_file_may_name_every_proxy_of_a_large_fleet_as_a_seed() {
    let seeds = |count: usize| {
        let all: Vec<String> = (0..count)
            .map(|n| format!("\"10.1.{}.{}:7946\"", n / 250, n % 250 + 1))
            .collect();
        format!(
            "[peers]\nlisten = \"10.0.0.1:7946\"\nsecret = \"s\"\nfleet = \"f\"\nseeds = [{}]",
            all.join(", ")
        )
    };
    let config = file(DISCOVERY, &seeds(1_024)).expect("good");
    assert_eq!(config.peers.expect("set").seeds.len(), 1_024);
    refused(
        &seeds(4_097),
        &["peers.seeds", "4097", "1 to 4096 addresses"],
    );
}
