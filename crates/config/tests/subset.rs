//! `[subset]`, `[list]` and `[peers]`: values that are accepted, and diagnostics for those that are rejected.

use badgerramp_config::{parse, Config, Diagnostics};

fn file(upstream: &str, tables: &str) -> Result<Config, Diagnostics> {
    let text = format!(
        "listen = \"127.0.0.1:0\"\n{tables}\n[upstream]\nproxies = 2000\nzone = \"a\"\n{upstream}\n[class.safe]\naim = \"1s\"\n\
         deadline = \"2s\"\neffect = \"safe\"\n[[route]]\nname = \"safe\"\nprefix = \"/safe\"\nmethods = [\"GET\"]\n\
         class = \"safe\"\n"
    );
    parse("proxy.toml", &text)
}

const DISCOVERY: &str = "discovery = \"127.0.0.1:9\"";

/// Asserts that the file is rejected and that the diagnostics contain each of these texts.
fn assert_rejected(tables: &str, parts: &[&str]) {
    let message = match file(DISCOVERY, tables) {
        Ok(_) => panic!("accepted: {tables}"),
        Err(diagnostics) => diagnostics.to_string(),
    };
    parts
        .iter()
        .for_each(|part| assert!(message.contains(part), "{part:?} is not in:\n{message}"));
}

#[test]
fn a_subset_with_instance_and_size_uses_defaults_for_other_keys() {
    let config = file(DISCOVERY, "[subset]\ninstance = 17\nsize = 20").expect("good");
    let subset = config.subset.expect("set");
    assert_eq!((subset.instance.number, subset.instance.count), (17, 2_000));
    assert_eq!(
        (
            subset.config.min_size,
            subset.config.max_size,
            subset.idle_connections
        ),
        (10, 80, 1)
    );
    assert!(
        file(DISCOVERY, "").expect("good").subset.is_none(),
        "off unless it is set"
    );
}

#[test]
fn diagnostics_name_the_key_what_was_found_and_what_is_allowed() {
    assert_rejected("[subset]\nsize = 20", &["proxy.toml", "instance", "from 0"]);
    assert_rejected(
        "[subset]\ninstance = 2000\nsize = 20",
        &["subset.instance", "2000", "1999"],
    );
    assert_rejected(
        "[subset]\ninstance = 1\nsize = 20\nmost = 39",
        &["subset.most", "39", "40"],
    );
    assert_rejected(
        "[subset]\ninstance = 1\nsize = 20\nleats = 3",
        &["leats", "least"],
    );
    assert_rejected("[list]\nwait = \"10s\"", &["list", "rate"]);
    assert_rejected(
        "[list]\nrate = 100\nwait_idle = \"61s\"",
        &["list.wait_idle", "61s", "1m"],
    );
}

/// Connections and polls of all proxies together are checked when the file is read. Otherwise an overload of the
/// endpoints or of the list service would only show under load.
#[test]
fn totals_over_all_proxies_must_stay_within_the_limits_of_the_file() {
    let subset = "[subset]\ninstance = 1\nsize = 20\n";
    assert_rejected(
        &format!("{subset}connections_per_endpoint = 300"),
        &["connections_per_endpoint", "endpoints"],
    );
    let limit_below_need = format!("{subset}endpoints = 1000\nconnections_per_endpoint = 249");
    assert_rejected(
        &limit_below_need,
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
    let too_many = format!("[limits]\ndescriptors = 256\n{subset}kept = 2");
    assert_rejected(&too_many, &["subset.most", "160", "at most 132"]);
    assert_rejected(
        "[list]\nrate = 100\nwait = \"10s\"",
        &["list.rate", "200.0 polls per second", "100"],
    );
    assert!(file(DISCOVERY, "[list]\nrate = 200\nwait = \"10s\"").is_ok());
}

#[test]
fn subset_and_list_are_rejected_on_the_platform() {
    for tables in ["[subset]\ninstance = 0\nsize = 20", "[list]\nrate = 100"] {
        let message = parse("p.toml", &format!("platform = true\n{tables}\n"))
            .expect_err("rejected")
            .to_string();
        assert!(message.contains("the platform sets this"), "{message}");
    }
}

/// A former maximum of 16 seeds did not admit a file that names every proxy of a fleet of hundreds.
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
    assert_rejected(
        &seeds(4_097),
        &["peers.seeds", "4097", "1 to 4096 addresses"],
    );
}
