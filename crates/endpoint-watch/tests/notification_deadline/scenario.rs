//! Random scenarios of faults between a proxy and its list service.

use badgerramp_endpoint_watch::Micros;
use proptest::prelude::*;

/// What happens to polls while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Down {
    /// They are refused or reset immediately.
    Refusing,
    /// There is no response, and no connection is established.
    Silent,
}

/// An outage of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) from: Micros,
    pub(crate) until: Micros,
    pub(crate) down: Down,
    /// Whether it rejects the first poll after it recovers, as too many arrive.
    pub(crate) rejects_once: bool,
}

/// How long a poll on a fresh connection takes, as shares of the longest times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    /// Share of `CONNECT_TIMEOUT`.
    pub(crate) connect: f64,
    /// Share of `SERVICE_RESPONSE_TIMEOUT`.
    pub(crate) response: f64,
}

/// A course of events.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) outages: Vec<Outage>,
    pub(crate) drain_grace: Micros,
    pub(crate) wait: Option<Micros>,
    /// When endpoints begin to drain.
    pub(crate) changes: Vec<Micros>,
    /// When all polls in flight go silent.
    pub(crate) silences: Vec<Micros>,
    /// When the oldest connection with a poll is reset.
    pub(crate) resets: Vec<Micros>,
    /// Used in turn; at least one.
    pub(crate) latencies: Vec<Latency>,
}

/// Changes, two silences and resets, without an outage.
pub(crate) fn scenario() -> impl Strategy<Value = Scenario> {
    let times = |max_count| prop::collection::btree_set(1_000u64..40_000_000, 0..max_count);
    let latency =
        (0.0f64..1.0, 0.0f64..1.0).prop_map(|(connect, response)| Latency { connect, response });
    (
        300_000u64..2_000_000,
        times(4),
        1_000u64..9_000_000,
        times(3),
        prop::collection::vec(latency, 1..9),
    )
        .prop_map(
            |(drain_grace, changes, silence, resets, latencies)| Scenario {
                seed: silence,
                outages: Vec::new(),
                drain_grace,
                wait: None,
                changes: changes.into_iter().collect(),
                // A second silence before recovery from the first would be another fault: they are far apart.
                silences: vec![silence, silence + 20_000_000],
                resets: resets.into_iter().collect(),
                latencies,
            },
        )
}

/// One or two outages of up to 15 s.
pub(crate) fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let drawn = (
        1_000_000u64..9_000_000,
        100_000u64..15_000_000,
        any::<bool>(),
        any::<bool>(),
    );
    prop::collection::vec(drawn, 1..3).prop_map(|drawn| {
        let mut earliest = 0;
        let outage = |(after, duration, silent, rejects_once)| {
            let from = earliest + after;
            earliest = from + duration + 15_000_000;
            let down = if silent { Down::Silent } else { Down::Refusing };
            Outage {
                from,
                until: from + duration,
                down,
                rejects_once,
            }
        };
        drawn.into_iter().map(outage).collect()
    })
}
