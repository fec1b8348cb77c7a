//! A consistency check that compares the balancer's counts with the driver's.

use super::Driver;
use badgerramp_decisions::EndpointId;
use std::collections::BTreeMap;

impl Driver {
    /// Describes each inconsistent count; empty if all are consistent.
    pub fn audit(&self) -> Vec<String> {
        let core = self.core.borrow();
        let mut in_flight: BTreeMap<EndpointId, u32> = BTreeMap::new();
        let attempts = core.calls.values().flat_map(|c| &c.attempts);
        attempts
            .filter(|a| a.in_flight)
            .for_each(|a| *in_flight.entry(a.endpoint).or_default() += 1);
        let mut differences = Vec::new();
        for (&endpoint, state) in &core.endpoints {
            let (actual, now) = (
                in_flight.get(&endpoint).copied().unwrap_or(0),
                self.clock.now(),
            );
            let counted = core
                .balancer
                .view(now, endpoint)
                .map_or(actual, |v| v.in_flight);
            if counted != actual {
                differences.push(format!(
                    "{}: the balancer counts {counted} attempts in flight, the driver has {actual}",
                    state.name
                ));
            }
        }
        let counted = core.balancer.call_totals().open;
        if counted > core.calls.len() {
            differences.push(format!(
                "the balancer counts {counted} calls, the driver has {}",
                core.calls.len()
            ));
        }
        if core.open_calls != core.calls.values().filter(|c| c.is_open()).count() {
            differences.push(format!(
                "the count of open calls is wrong: {}",
                core.open_calls
            ));
        }
        differences.sort();
        differences
    }
}
