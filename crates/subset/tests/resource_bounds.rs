//! The formulas against the figures of the documentation.

use badgerramp_subset::{ResourceBounds, SubsetConfig};

#[test]
fn the_figures_of_the_page_follow_from_the_formulas() {
    let bounds = ResourceBounds {
        proxies: 2_000,
        endpoints: 1_000,
        idle_connections: 1,
    };
    let need = SubsetConfig::with_size(20);
    // 64 parts of 15.6 endpoints: 31.25 teams.
    assert_eq!(bounds.proxies_per_endpoint(&need), 32);
    // Three doublings from 15.6 reach beyond 80.
    assert_eq!(bounds.max_proxies_per_endpoint(&need), 250);
    assert_eq!(bounds.max_connections_per_proxy(&need), 80);
    let small = ResourceBounds {
        endpoints: 5,
        ..bounds
    };
    assert_eq!(
        (
            small.proxies_per_endpoint(&need),
            small.max_connections_per_proxy(&need)
        ),
        (2_000, 5)
    );
}
