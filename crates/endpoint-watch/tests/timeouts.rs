//! Tests of the timeouts derived from usual and from arbitrary drain grace periods.

use badgerramp_endpoint_watch::{
    Micros, Source, TimeoutConfig, Timeouts, CONNECT_TIMEOUT, NOTIFIED_AFTER_SILENCE,
    SERVICE_RESPONSE_TIMEOUT,
};
use proptest::prelude::*;

proptest! {
    /// For any drain grace period, and whenever a watch goes silent, the proxy receives a change while at least half of
    /// the grace period after its notification is left. From an agent, a change is received within the grace period.
    #[test]
    fn notified_proxy_has_received_change(drain_grace in 300_000u64..5_000_000, silence_share in 0.0f64..=1.0) {
        let service = Timeouts::derive(TimeoutConfig { source: Source::Service, drain_grace, wait: None });
        let silence = (service.wait as f64 * silence_share) as Micros;
        prop_assert!(service.latest_receipt() <= service.earliest_notification(silence) + drain_grace / 2, "{service:?}");
        prop_assert!(service.wait >= 1_500_000, "{service:?}");
        let rejected_twice = 2 * service.backoff.max + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT;
        prop_assert!(rejected_twice <= NOTIFIED_AFTER_SILENCE + drain_grace / 2, "{service:?}");
        prop_assert!(service.backoff.min <= service.backoff.max, "{service:?}");
        let agent = Timeouts::derive(TimeoutConfig { source: Source::Agent, drain_grace, wait: None });
        prop_assert!(agent.wait + agent.response_slack < drain_grace, "{agent:?}");
    }
}

/// The documentation states these values.
#[test]
fn derived_timeouts_match_documented_values() {
    let derive = |source, drain_grace| {
        let timeouts = Timeouts::derive(TimeoutConfig {
            source,
            drain_grace,
            wait: None,
        });
        (timeouts.wait, timeouts.response_slack)
    };
    assert_eq!(derive(Source::Service, 1_000_000), (2_000_000, 500_000));
    assert_eq!(derive(Source::Service, 500_000), (2_000_000, 250_000));
    assert_eq!(derive(Source::Agent, 1_000_000), (500_000, 250_000));
    assert_eq!(derive(Source::Agent, 500_000), (250_000, 125_000));
    let long_wait = Timeouts::derive(TimeoutConfig {
        source: Source::Service,
        drain_grace: 1_000_000,
        wait: Some(10_000_000),
    });
    assert!(
        long_wait.latest_receipt() > long_wait.earliest_notification(0) + 1_000_000,
        "with a wait of ten seconds a change may be received too late"
    );
}
