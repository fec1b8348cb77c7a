//! Every key of the platform's settings object that is read. Unknown keys are ignored, so each key
//! is shown to be read by what another value of it changes.

use badgerramp_decisions::settings;
use serde_json::{json, Value};

/// Settings in which every key has a value that is not its default.
fn full() -> Value {
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

/// Another value that the key may have.
fn other(value: &Value) -> Value {
    match value {
        Value::Bool(flag) => json!(!flag),
        Value::Number(number) if number.is_u64() => json!(number.as_u64().expect("whole") + 1),
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
        _ => unreachable!("no key holds this"),
    }
}

fn paths(value: &Value, at: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(table) => table
            .iter()
            .for_each(|(key, inner)| paths(inner, &format!("{at}/{key}"), found)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            list.iter()
                .enumerate()
                .for_each(|(place, inner)| paths(inner, &format!("{at}/{place}"), found));
        }
        _ => found.push(at.to_owned()),
    }
}

#[test]
fn every_key_of_the_settings_is_read() {
    let full = full();
    let read = settings::read(&full).expect("good settings");
    let mut found = Vec::new();
    paths(&full, "", &mut found);
    assert_eq!(found.len(), 45);
    for path in &found {
        let mut changed = full.clone();
        let value = changed.pointer_mut(path).expect("it is there");
        *value = other(value);
        assert_ne!(
            settings::read(&changed).expect("good settings"),
            read,
            "{path}"
        );
    }
}

#[test]
fn every_word_of_the_settings_has_a_meaning_of_its_own() {
    for (path, words) in [
        (
            "/classes/0/idempotency",
            &["free", "guarded", "single_shot"][..],
        ),
        ("/classes/0/dedup_scope", &["all", "zone", "cell"][..]),
        ("/report/how", &["inline", "on_probe", "off"][..]),
        ("/weight_source", &["nominal", "rough", "live", "off"][..]),
        ("/discovery", &["ask", "push"][..]),
    ] {
        let read = words.iter().map(|word| {
            let mut settings = full();
            *settings.pointer_mut(path).expect("it is there") = json!(word);
            settings::read(&settings).expect("good settings")
        });
        let read: Vec<_> = read.collect();
        for (place, one) in read.iter().enumerate() {
            assert!(
                read[place + 1..].iter().all(|another| another != one),
                "{path}: {}",
                words[place]
            );
        }
    }
}
