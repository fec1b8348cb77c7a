//! Which expressions a file may take for the idempotency key of a request.

use badgerramp_config::{parse, parse_stored, Config, Diagnostics};
use std::path::Path;

/// The basic file with this key of its keyed route, which has this path. The key is an expression, or a table.
fn text_with(path: &str, key: &str) -> String {
    let base = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/good/base.toml");
    let text = std::fs::read_to_string(base).expect("a file");
    let key = if key.starts_with('{') {
        key.to_owned()
    } else {
        format!("'{key}'")
    };
    let edited = text.replace("prefix = \"/entries\"\n", &format!("{path}\nkey = {key}\n"));
    assert_ne!(edited, text);
    edited
}

fn parse_with(path: &str, key: &str) -> Result<Config, Diagnostics> {
    parse("base.toml", &text_with(path, key))
}

/// A key that requests have although their clients sent none made calls count as keyed. They were sent again to endpoints
/// that had no key to recognize them by.
#[test]
fn a_key_that_every_request_has_is_refused() {
    let prefix = "prefix = \"/entries\"";
    for (path, key) in [
        (prefix, "\"entry\""),
        (prefix, "header[\"idempotency-key\"] ?? \"none\""),
        (prefix, "cookie[\"visit\"] ?? lower(\"NONE\")"),
        (prefix, "concat(header[\"x-visit\"] ?? \"0\", \"entry\")"),
        (prefix, "method"),
        ("path = \"/entries\"", "path"),
        ("path = \"/entries\"", "header[\"x-visit\"] ?? path"),
        // Headers that requests have in any case.
        (prefix, "{ header = \"Host\" }"),
        (prefix, "{ header = \"Content-Type\" }"),
        (prefix, "header[\"user-agent\"]"),
        (prefix, "concat(header[\"host\"], method)"),
    ] {
        let text = format!("{path} {key}");
        let diagnostics = parse_with(path, key).expect_err(&text);
        let found = diagnostics.iter().find(|d| d.key == "route[0].key");
        let found = found.unwrap_or_else(|| panic!("{text}: {diagnostics}"));
        assert!(!found.reason.is_empty() && !found.found.is_empty() && !found.allowed.is_empty());
        // In a stored policy the class goes on without that key, so that its calls are not sent again.
        let config = parse_stored("base.toml", &text_with(path, key))
            .unwrap_or_else(|d| panic!("{text}: {d}"));
        assert_eq!(config.routes.routes()[0].key, None, "{text}");
        assert!(
            config
                .warnings
                .iter()
                .any(|w| w.contains("route[0].key: left out")),
            "{text}"
        );
    }
}

#[test]
fn a_key_that_requests_may_lack_or_that_their_paths_tell_is_accepted() {
    let prefix = "prefix = \"/entries\"";
    for (path, key) in [
        (prefix, "header[\"x-visit\"]"),
        (
            prefix,
            "concat(header[\"x-branch\"] ?? \"none\", header[\"x-visit\"])",
        ),
        (prefix, "header[\"x-visit\"] ?? query[\"visit\"]"),
        (prefix, "header[\"x-visit\"] ?? \"\""),
        (prefix, "path"),
        (prefix, "nth(segments, 1)"),
        (prefix, "{ header = \"X-Visit\" }"),
        (prefix, "{ cookie = \"visit\" }"),
        (prefix, "concat(header[\"host\"], header[\"x-visit\"])"),
        ("regex = \"/entries/[0-9]+\"", "path"),
        ("path = \"/entries\"", "cookie[\"visit\"]"),
    ] {
        parse_with(path, key).unwrap_or_else(|d| panic!("{path} {key}: {d}"));
    }
}
