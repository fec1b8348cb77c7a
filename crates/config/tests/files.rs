//! Bad files, each with what is said of it, and good ones.

use badgerramp_config::{parse, Use};
use std::path::Path;

/// Every file in `bad` is refused, and what is said names file, line and column. To take new wording over, run with
/// `INSTA_UPDATE=always`.
#[test]
fn bad_files_are_refused_with_reasons() {
    let mut count = 0;
    insta::glob!("bad/*.toml", |path| {
        let name = path.file_name().and_then(|n| n.to_str()).expect("a name");
        let text = std::fs::read_to_string(path).expect("a file");
        let mistakes = parse(name, &text).expect_err(name);
        for mistake in mistakes.iter() {
            let position = mistakes.position(mistake);
            let (line, column) = (position.line, position.column);
            assert!(
                mistakes
                    .to_string()
                    .contains(&format!("{name}:{line}:{column}")),
                "{name}: {mistake:?}"
            );
            assert!(
                line <= text.lines().count()
                    && !mistake.reason.is_empty()
                    && !mistake.allowed.is_empty()
            );
        }
        assert_eq!(mistakes.to_single_line().lines().count(), 1, "{name}");
        count += 1;
        insta::assert_snapshot!(mistakes.to_string());
    });
    assert!(count >= 40, "{count}");
}

#[test]
fn the_examples_are_good() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, usage) in [
        ("sidecar.example.toml", Use::Alone),
        ("peers.example.toml", Use::Alone),
        ("expressions.example.toml", Use::Alone),
        ("demo.example.toml", Use::Alone),
        ("operator.example.toml", Use::Platform),
    ] {
        let config = badgerramp_config::load(&deploy.join(name)).unwrap_or_else(|m| panic!("{m}"));
        assert_eq!(config.usage, usage);
        assert!(
            config.routes.shadows().is_empty() && config.warnings.is_empty(),
            "{:?}",
            config.warnings
        );
    }
}

/// Two routes that one request meets both: a warning names it, where it can be found.
#[test]
fn conditions_that_overlap_are_told_with_a_request() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/good/base.toml"));
    let text = text.expect("a file");
    let with = |one: &str, two: &str| {
        let text = text
            .replace(
                "prefix = \"/entries\"\n",
                &format!("prefix = \"/both\"\nwhen = '{one}'\n"),
            )
            .replace(
                "path = \"/charges\"\n",
                &format!("prefix = \"/both\"\nwhen = '{two}'\n"),
            );
        parse("x.toml", &text)
            .unwrap_or_else(|m| panic!("{m}"))
            .warnings
    };
    let json = r#"(header["content-type"] ?? "") == "application/json""#;
    let warnings = with(json, r#"present(header["x-branch"])"#);
    assert_eq!(warnings.len(), 1);
    let wanted =
        "both take POST /both, content-type: application/json, x-branch: 1: the first wins";
    assert!(warnings[0].contains(wanted), "{}", warnings[0]);
    assert!(with(json, r#"(header["content-type"] ?? "") == "text/plain""#).is_empty());
    assert!(
        with(json, r#"method == "PUT""#).is_empty(),
        "the other route takes POST alone"
    );
}

/// Without it each bad file could be refused for what they all share.
#[test]
fn the_file_that_the_bad_ones_are_made_of_is_good() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/good/base.toml"));
    parse("base.toml", &text.expect("a file")).unwrap_or_else(|m| panic!("{m}"));
}

#[test]
fn a_file_that_cannot_be_read_is_a_mistake_too() {
    let mistakes =
        badgerramp_config::load(Path::new("/nowhere/at/all.toml")).expect_err("it is not there");
    assert!(mistakes.to_single_line().contains("/nowhere/at/all.toml") && mistakes.count() == 1);
}

mod platform {
    use badgerramp_config::{narrow, parse};
    use badgerramp_decisions::{settings, Hedge, Micros};

    fn facts() -> settings::PlatformSettings {
        let class = |name: &str, kind: &str| {
            format!(
                r#"{{"name":"{name}","objective_us":500000,"deadline_us":1200000,"idempotency":"{kind}"}}"#
            )
        };
        let text = format!(
            r#"{{"balancers":3,"classes":[{},{}],"limits":{{"max_attempts":3,"connect_timeout_us":250000}},
            "invariants":{{"cold_from":0.3,"cold_us":7000000,"tip_after_us":2000000}}}}"#,
            class("entry", "free"),
            class("charge", "single_shot")
        );
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        settings::read(&value).expect("settings")
    }

    #[test]
    fn it_narrows() {
        let text =
            "platform = true\n[class.charge]\nattempts = 2\ntotal = '800ms'\nsecond_copy = 'off'\n\
            [[route]]\nname = 'late'\nprefix = '/charge/late'\nclass = 'charge'\nattempts = 1\n";
        let config = parse("p.toml", text).unwrap_or_else(|m| panic!("{m}"));
        let (timings, table) = narrow(&config, &facts()).unwrap_or_else(|m| panic!("{m}"));
        assert_eq!(
            (timings[0].attempts, timings[0].total, timings[0].hedge),
            (u32::MAX, Micros::MAX, Hedge::Auto)
        );
        assert_eq!(
            (timings[1].attempts, timings[1].total, timings[1].hedge),
            (2, 800_000, Hedge::Never)
        );
        let route = &table.routes()[0];
        assert_eq!(
            (route.class, route.timing.attempts, route.timing.total),
            (1, 1, 800_000)
        );
    }

    /// What is written on standard error is no setting of the platform's: single calls must be followed there too.
    #[test]
    fn it_may_set_the_log() {
        let text = "platform = true\n[log]\nlevel = 'debug'\nrate = 100000\n";
        let config = parse("p.toml", text).unwrap_or_else(|m| panic!("{m}"));
        assert_eq!(
            (config.log.level, config.log.rate),
            (badgerramp_config::Level::Debug, 100_000)
        );
        assert!(narrow(&config, &facts()).is_ok());
    }

    #[test]
    fn it_widens_nothing() {
        for (line, key) in [
            ("attempts = 4", "class.entry.attempts"),
            ("total = '1199ms'", "class.entry.total"),
            ("connect = '300ms'", "class.entry.connect"),
            ("second_copy = 'after 10ms'", "class.entry.second_copy"),
            ("served = ['2xx']", "class.entry.served"),
            ("never_ran = [{ status = 500 }]", "class.entry.never_ran"),
            ("attempts = 3\nattempt = '500ms'", "class.entry.attempt"),
        ] {
            let text = format!("platform = true\n[class.entry]\n{line}\n");
            let config = parse("p.toml", &text).unwrap_or_else(|m| panic!("{m}"));
            let mistakes = narrow(&config, &facts()).expect_err(line);
            assert_eq!(
                mistakes.iter().map(|m| m.key.as_str()).collect::<Vec<_>>(),
                [key],
                "{mistakes}"
            );
            let route = format!(
                "platform = true\n[class.entry]\n[[route]]\nname = 'r'\nprefix = '/entry'\nclass = 'entry'\n{line}\n"
            );
            let config = parse("p.toml", &route).unwrap_or_else(|m| panic!("{m}"));
            assert!(narrow(&config, &facts()).is_err(), "{line} by a route");
        }
        let config =
            parse("p.toml", "platform = true\n[class.entri]\n").unwrap_or_else(|m| panic!("{m}"));
        let mistakes = narrow(&config, &facts()).expect_err("no such class");
        assert!(
            mistakes.to_string().contains("did you mean \"entry\"?"),
            "{mistakes}"
        );
    }
}
