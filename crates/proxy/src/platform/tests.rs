//! Tests of the configuration that `RELAY_CONFIG` names.

use super::{read, Config, PlatformSettings};
use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry};
use serde_json::{json, Value};

fn complete_config() -> Value {
    json!({
        "name": "n3",
        "listen": "127.0.0.1:5000",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.2:7946"],
        "peers_all": "127.0.0.3:7946",
        "known": {
            "index": 41,
            "snapshot": true,
            "endpoints": [{
                "name": "s-1", "address": "127.0.0.1:9000", "zone": "a", "type": "m2", "group": 3,
                "status": "draining", "weight": 1.5, "since_ms": 7,
            }],
        },
        "settings": {
            "balancers": 7,
            "classes": [{
                "name": "a", "objective_us": 500_000, "deadline_us": 900_000, "idempotency": "free",
            }],
            "limits": {},
            "invariants": { "cold_from": 0.3, "cold_us": 6_000_000, "tip_after_us": 1_500_000 },
        },
    })
}

fn load(name: &str, config: &Value) -> Result<(Config, PlatformSettings), String> {
    let path = std::env::temp_dir().join(format!(
        "badgerramp-platform-{name}-{}.json",
        std::process::id()
    ));
    std::fs::write(&path, config.to_string()).expect("a file");
    let read = read(&path);
    std::fs::remove_file(&path).expect("a file");
    read
}

#[test]
fn every_key_of_the_configuration_is_read() {
    let (config, platform_settings) =
        load("full", &complete_config()).expect("a good configuration");
    assert_eq!(config.listen.to_string(), "127.0.0.1:5000");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(config.seed, "8c1f30d27a5be964");
    assert_eq!(
        (config.limits.sockets, config.limits.memory_mb),
        (1_024, 192)
    );
    assert_eq!(
        (
            platform_settings.settings.balancers,
            platform_settings.classes
        ),
        (7, vec!["a".to_owned()])
    );
    let known = config.known.expect("a known list");
    assert_eq!(known.index, 41);
    assert!(known.snapshot);
    let change = EndpointChange::from(known.endpoints.into_iter().next().expect("one endpoint"));
    let expected = EndpointEntry {
        address: "127.0.0.1:9000".to_owned(),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        group: 3,
        status: "draining".to_owned(),
        weight: 1.5,
        since_ms: 7,
    };
    assert_eq!(
        change,
        EndpointChange {
            name: "s-1".to_owned(),
            entry: Some(expected)
        }
    );
}

#[test]
fn a_missing_required_key_is_named_in_the_error() {
    for key in ["listen", "discovery", "seed", "limits", "settings"] {
        let mut config = complete_config();
        config.as_object_mut().expect("a table").remove(key);
        let error = load(key, &config).err().expect("it is missing");
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
}
