//! Every key of the platform's settings object takes effect. Unknown keys are ignored without an
//! error, so each test changes the value of a key and checks that the parsed settings differ.

use badgerramp_decisions::settings;
use serde_json::{json, Value};

/// Settings with a non-default value for every key.
fn non_default_settings() -> Value {
    json!({
        "balancers": 7,
        "classes": [{
            "name": "read", "objective_us": 500_000, "deadline_us": 900_000, "worth": 2.0, "late_value": 0.5,
            "idempotency": "guarded", "dedup_scope": "zone", "repeat_window_us": 700_000,
        }],
        "tenants": [{ "name": "t", "portion": 0.25, "quota_per_s": 9.0 }],
        "discovery": "ask",
        "limits": {
            "cancel": true, "probes": true, "second_copies": true, "max_attempts": 4, "retry_after": true,
            "max_retry_after_us": 3_000_000, "max_streams": 5, "max_open": 99, "conn_idle_us": 8_000_000,
            "connect_timeout_us": 120_000,
        },
        "invariants": {
            "cold_from": 0.3, "cold_us": 6_000_000, "tip_after_us": 1_500_000, "fall_multiple": 2.5,
            "drain_grace_us": 1_200_000, "ask_every_us": 4_000_000,
        },
        "result_mix": { "whole": 0.4, "worst_class": 0.3, "worst_tenant": 0.2, "worst_window": 0.1 },
        "tick_us": 5_000,
        "locality": "a",
        "charges": { "cross_zone": 0.1, "probe": 0.2, "handshake": 0.3, "waste": 0.4, "late_fail": 0.5 },
        "report": { "how": "inline", "columns": ["active"] },
        "weight_source": "nominal",
        "over_share_worth": 0.6,
        "client_habits": { "marks_retry": true },
    })
}

/// A different valid value for the key.
fn different_value(value: &Value) -> Value {
    match value {
        Value::Bool(flag) => json!(!flag),
        Value::Number(number) if number.is_u64() => {
            json!(number.as_u64().expect("an unsigned integer") + 1)
        }
        Value::Number(number) => json!(number.as_f64().expect("a number") + 0.125),
        Value::String(text) => match text.as_str() {
            "ask" => json!("push"),
            "guarded" => json!("free"),
            "zone" => json!("cell"),
            "inline" => json!("on_probe"),
            "nominal" => json!("live"),
            _ => json!("another"),
        },
        Value::Array(_) => json!([]),
        _ => unreachable!("no key has a value of this type"),
    }
}

fn collect_paths(value: &Value, prefix: &str, paths: &mut Vec<String>) {
    match value {
        Value::Object(table) => table
            .iter()
            .for_each(|(key, inner)| collect_paths(inner, &format!("{prefix}/{key}"), paths)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            list.iter()
                .enumerate()
                .for_each(|(i, inner)| collect_paths(inner, &format!("{prefix}/{i}"), paths));
        }
        _ => paths.push(prefix.to_owned()),
    }
}

#[test]
fn every_key_affects_the_parsed_settings() {
    let non_default_settings = non_default_settings();
    let original = settings::read(&non_default_settings).expect("valid settings");
    let mut paths = Vec::new();
    collect_paths(&non_default_settings, "", &mut paths);
    assert_eq!(paths.len(), 45);
    for path in &paths {
        let mut changed = non_default_settings.clone();
        let value = changed.pointer_mut(path).expect("the key exists");
        *value = different_value(value);
        assert_ne!(
            settings::read(&changed).expect("valid settings"),
            original,
            "{path}"
        );
    }
}

#[test]
fn every_named_value_parses_to_distinct_settings() {
    for (path, values) in [
        (
            "/classes/0/idempotency",
            &["free", "guarded", "single_shot"][..],
        ),
        ("/classes/0/dedup_scope", &["all", "zone", "cell"][..]),
        ("/report/how", &["inline", "on_probe", "off"][..]),
        ("/weight_source", &["nominal", "rough", "live", "off"][..]),
        ("/discovery", &["ask", "push"][..]),
    ] {
        let parsed = values.iter().map(|value| {
            let mut settings = non_default_settings();
            *settings.pointer_mut(path).expect("the key exists") = json!(value);
            settings::read(&settings).expect("valid settings")
        });
        let parsed: Vec<_> = parsed.collect();
        for (index, one) in parsed.iter().enumerate() {
            assert!(
                parsed[index + 1..].iter().all(|another| another != one),
                "{path}: {}",
                values[index]
            );
        }
    }
}
