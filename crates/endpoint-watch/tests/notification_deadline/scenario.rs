//! Random scenarios of faults between a proxy and its list service.

use badgerramp_endpoint_watch::Micros;
use proptest::prelude::*;

/// How polls fail while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutageKind {
    /// Polls are refused or reset immediately.
    Refusing,
    /// Polls are not answered, and no connection is established.
    Silent,
}

/// An outage of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) from: Micros,
    pub(crate) until: Micros,
    pub(crate) kind: OutageKind,
    /// Whether the service rejects the first poll after it recovers, because of overload.
    pub(crate) rejects_once: bool,
}

/// Latency of a poll on a fresh connection, as shares of the maximum times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    /// Share of `CONNECT_TIMEOUT`.
    pub(crate) connect: f64,
    /// Share of `SERVICE_RESPONSE_TIMEOUT`.
    pub(crate) response: f64,
}

/// A sequence of changes and faults.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) outages: Vec<Outage>,
    pub(crate) drain_grace: Micros,
    pub(crate) wait: Option<Micros>,
    /// When endpoints start to drain, which changes the list.
    pub(crate) changes: Vec<Micros>,
    /// When all polls in flight go silent.
    pub(crate) silences: Vec<Micros>,
    /// When the oldest connection with a poll is reset.
    pub(crate) resets: Vec<Micros>,
    /// Latencies of polls on fresh connections, used cyclically. There is at least one.
    pub(crate) latencies: Vec<Latency>,
}

/// Scenarios with changes, two silences and resets, without an outage.
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
                // The silences are far apart, as a second one before the recovery from the first would be another
                // fault.
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
            let kind = if silent {
                OutageKind::Silent
            } else {
                OutageKind::Refusing
            };
            Outage {
                from,
                until: from + duration,
                kind,
                rejects_once,
            }
        };
        drawn.into_iter().map(outage).collect()
    })
}
