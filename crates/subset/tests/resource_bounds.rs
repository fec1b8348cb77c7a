//! Tests that the bounds match the figures in the documentation.

use badgerramp_subset::{ResourceBounds, SubsetConfig};

#[test]
fn bounds_match_documented_values() {
    let bounds = ResourceBounds {
        proxies: 2_000,
        endpoints: 1_000,
        idle_connections: 1,
    };
    let config = SubsetConfig::with_size(20);
    // There are 64 ranges of 15.6 endpoints, and 31.25 rounds.
    assert_eq!(bounds.proxies_per_endpoint(&config), 32);
    // Three doublings of 15.6 endpoints exceed the maximum size of 80.
    assert_eq!(bounds.max_proxies_per_endpoint(&config), 250);
    assert_eq!(bounds.max_connections_per_proxy(&config), 80);
    let small = ResourceBounds {
        endpoints: 5,
        ..bounds
    };
    assert_eq!(
        (
            small.proxies_per_endpoint(&config),
            small.max_connections_per_proxy(&config)
        ),
        (2_000, 5)
    );
}
