//! Diagnostics for invalid files, and valid files that must be accepted.

use badgerramp_config::{parse, Deployment};
use std::path::Path;

/// Every file in `bad` is rejected with diagnostics that name file, line and column. To accept changed messages, run
/// with `INSTA_UPDATE=always`.
#[test]
fn bad_files_are_refused_with_reasons() {
    let mut count = 0;
    insta::glob!("bad/*.toml", |path| {
        let name = path.file_name().and_then(|n| n.to_str()).expect("a name");
        let text = std::fs::read_to_string(path).expect("a file");
        let diagnostics = parse(name, &text).expect_err(name);
        for diagnostic in diagnostics.iter() {
            let position = diagnostics.position(diagnostic);
            let (line, column) = (position.line, position.column);
            assert!(
                diagnostics
                    .to_string()
                    .contains(&format!("{name}:{line}:{column}")),
                "{name}: {diagnostic:?}"
            );
            assert!(
                line <= text.lines().count()
                    && !diagnostic.reason.is_empty()
                    && !diagnostic.allowed.is_empty()
            );
        }
        assert_eq!(diagnostics.to_single_line().lines().count(), 1, "{name}");
        count += 1;
        insta::assert_snapshot!(diagnostics.to_string());
    });
    assert!(count >= 40, "{count}");
}

#[test]
fn example_files_are_accepted_without_warnings() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, deployment) in [
        ("sidecar.example.toml", Deployment::Standalone),
        ("peers.example.toml", Deployment::Standalone),
        ("expressions.example.toml", Deployment::Standalone),
        ("demo.example.toml", Deployment::Standalone),
        ("operator.example.toml", Deployment::Platform),
    ] {
        let config = badgerramp_config::load(&deploy.join(name)).unwrap_or_else(|m| panic!("{m}"));
        assert_eq!(config.deployment, deployment);
        assert!(
            config.routes.shadows().is_empty() && config.warnings.is_empty(),
            "{:?}",
            config.warnings
        );
    }
}

/// If a request matches two routes of different classes, a warning names both routes and the request.
#[test]
fn overlapping_conditions_are_reported_with_an_example_request() {
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
    let expected =
        "both match POST /both, content-type: application/json, x-branch: 1: the first one is used";
    assert!(warnings[0].contains(expected), "{}", warnings[0]);
    assert!(with(json, r#"(header["content-type"] ?? "") == "text/plain""#).is_empty());
    assert!(
        with(json, r#"method == "PUT""#).is_empty(),
        "the other route matches only POST"
    );
}

/// The invalid files are variants of this one. If it were invalid itself, each of them could be rejected for a mistake
/// that they all share.
#[test]
fn the_file_that_invalid_files_are_derived_from_is_accepted() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/good/base.toml"));
    parse("base.toml", &text.expect("a file")).unwrap_or_else(|m| panic!("{m}"));
}

#[test]
fn an_unreadable_file_is_reported_as_a_diagnostic() {
    let diagnostics = badgerramp_config::load(Path::new("/nowhere/at/all.toml"))
        .expect_err("the file does not exist");
    assert!(
        diagnostics
            .to_single_line()
            .contains("/nowhere/at/all.toml")
            && diagnostics.count() == 1
    );
}

mod platform {
    use badgerramp_config::{narrow, parse};
    use badgerramp_decisions::{settings, Hedge, Micros};

    fn platform_settings() -> settings::PlatformSettings {
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
    fn a_file_narrows_the_platforms_settings() {
        let text =
            "platform = true\n[class.charge]\nattempts = 2\ntotal = '800ms'\nsecond_copy = 'off'\n\
            [[route]]\nname = 'late'\nprefix = '/charge/late'\nclass = 'charge'\nattempts = 1\n";
        let config = parse("p.toml", text).unwrap_or_else(|m| panic!("{m}"));
        let (timings, table) =
            narrow(&config, &platform_settings()).unwrap_or_else(|m| panic!("{m}"));
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

    /// The log is not one of the platform's settings: operators must be able to trace single calls on the platform too.
    #[test]
    fn a_file_may_set_the_log_on_the_platform() {
        let text = "platform = true\n[log]\nlevel = 'debug'\nrate = 100000\n";
        let config = parse("p.toml", text).unwrap_or_else(|m| panic!("{m}"));
        assert_eq!(
            (config.log.level, config.log.rate),
            (badgerramp_config::Level::Debug, 100_000)
        );
        assert!(narrow(&config, &platform_settings()).is_ok());
    }

    /// A file could allow a resend or a second copy of a class that the platform sets as unsafe. The decisions made none, but
    /// nobody was told that the file says otherwise.
    #[test]
    fn a_resend_or_second_copy_of_an_unsafe_class_is_rejected() {
        for (line, key, reason) in [
            ("retry = 'failed'", "retry", "would run twice"),
            ("second_copy = 'auto'", "second_copy", "would run it twice"),
        ] {
            let route = "[[route]]\nname = 'r'\nprefix = '/charge'\nclass = 'charge'\n";
            for (table, text) in [
                ("defaults", format!("[defaults]\n{line}\n[class.charge]\n")),
                ("class.charge", format!("[class.charge]\n{line}\n")),
                ("route[0]", format!("[class.charge]\n{route}{line}\n")),
            ] {
                let text = format!("platform = true\n{text}");
                let config = parse("p.toml", &text).unwrap_or_else(|m| panic!("{m}"));
                let diagnostics = narrow(&config, &platform_settings()).expect_err(&text);
                let found = diagnostics
                    .iter()
                    .any(|d| d.key == format!("{table}.{key}") && d.reason.contains(reason));
                assert!(found, "{diagnostics}");
                // The same for a safe class only keeps what the platform sets.
                let safe = parse("p.toml", &text.replace("charge", "entry"));
                let safe = safe.unwrap_or_else(|m| panic!("{m}"));
                assert!(narrow(&safe, &platform_settings()).is_ok(), "{text}");
            }
        }
        for line in ["retry = 'never-ran'", "second_copy = 'off'"] {
            let config = parse(
                "p.toml",
                &format!("platform = true\n[class.charge]\n{line}\n"),
            );
            let config = config.unwrap_or_else(|m| panic!("{m}"));
            assert!(narrow(&config, &platform_settings()).is_ok(), "{line}");
        }
    }

    #[test]
    fn settings_wider_than_the_platforms_are_rejected() {
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
            let diagnostics = narrow(&config, &platform_settings()).expect_err(line);
            assert_eq!(
                diagnostics
                    .iter()
                    .map(|m| m.key.as_str())
                    .collect::<Vec<_>>(),
                [key],
                "{diagnostics}"
            );
            let route = format!(
                "platform = true\n[class.entry]\n[[route]]\nname = 'r'\nprefix = '/entry'\nclass = 'entry'\n{line}\n"
            );
            let config = parse("p.toml", &route).unwrap_or_else(|m| panic!("{m}"));
            assert!(
                narrow(&config, &platform_settings()).is_err(),
                "{line} by a route"
            );
        }
        let config =
            parse("p.toml", "platform = true\n[class.entri]\n").unwrap_or_else(|m| panic!("{m}"));
        let diagnostics = narrow(&config, &platform_settings()).expect_err("no such class");
        assert!(
            diagnostics.to_string().contains("did you mean \"entry\"?"),
            "{diagnostics}"
        );
    }
}
