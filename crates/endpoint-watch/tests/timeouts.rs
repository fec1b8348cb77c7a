//! The timeouts derived for usual and for arbitrary drain grace periods.

use badgerramp_endpoint_watch::{
    Micros, Source, TimeoutConfig, Timeouts, CONNECT_TIMEOUT, NOTIFIED_AFTER_SILENCE,
    SERVICE_RESPONSE_TIMEOUT,
};
use proptest::prelude::*;

proptest! {
    /// Whatever the grace, and whenever silence begins: who is told has heard, with a part of the grace left. At an
    /// agent the return of the service is heard within the grace.
    #[test]
    fn who_is_told_has_heard(grace in 300_000u64..5_000_000, into_wait in 0.0f64..=1.0) {
        let service = Timeouts::derive(TimeoutConfig { source: Source::Service, drain_grace: grace, wait: None });
        let silence = (service.wait as f64 * into_wait) as Micros;
        prop_assert!(service.latest_receipt() <= service.earliest_notification(silence) + grace / 2, "{service:?}");
        prop_assert!(service.wait >= 1_500_000, "{service:?}");
        let refused_twice = 2 * service.backoff.1 + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT;
        prop_assert!(refused_twice <= NOTIFIED_AFTER_SILENCE + grace / 2, "{service:?}");
        prop_assert!(service.backoff.0 <= service.backoff.1, "{service:?}");
        let agent = Timeouts::derive(TimeoutConfig { source: Source::Agent, drain_grace: grace, wait: None });
        prop_assert!(agent.wait + agent.response_slack < grace, "{agent:?}");
    }
}

/// The figures that the pages name, so that they can't drift apart.
#[test]
fn the_times_of_usual_graces() {
    let of = |source, grace| {
        let b = Timeouts::derive(TimeoutConfig {
            source,
            drain_grace: grace,
            wait: None,
        });
        (b.wait, b.response_slack)
    };
    assert_eq!(of(Source::Service, 1_000_000), (2_000_000, 500_000));
    assert_eq!(of(Source::Service, 500_000), (2_000_000, 250_000));
    assert_eq!(of(Source::Agent, 1_000_000), (500_000, 250_000));
    assert_eq!(of(Source::Agent, 500_000), (250_000, 125_000));
    let long = Timeouts::derive(TimeoutConfig {
        source: Source::Service,
        drain_grace: 1_000_000,
        wait: Some(10_000_000),
    });
    assert!(
        long.latest_receipt() > long.earliest_notification(0) + 1_000_000,
        "ten seconds are too long: it is heard too late"
    );
}
