//! A consistency check: what the balancer counts against what the driver holds.

use super::Driver;
use badgerramp_decisions::EndpointId;
use std::collections::BTreeMap;

impl Driver {
    /// Describes each count of the balancer that differs from the driver's; empty if all agree.
    pub fn audit(&self) -> Vec<String> {
        let core = self.core.borrow();
        let mut in_flight: BTreeMap<EndpointId, u32> = BTreeMap::new();
        let attempts = core.calls.values().flat_map(|c| &c.attempts);
        attempts
            .filter(|a| a.in_flight)
            .for_each(|a| *in_flight.entry(a.server).or_default() += 1);
        let mut differences = Vec::new();
        for (&server, host) in &core.hosts {
            let (there, now) = (
                in_flight.get(&server).copied().unwrap_or(0),
                self.clock.now(),
            );
            let counted = core
                .balancer
                .view(now, server)
                .map_or(there, |v| v.in_flight);
            if counted != there {
                differences.push(format!(
                    "{}: {counted} in flight by the decisions, {there} there",
                    host.name
                ));
            }
        }
        let known = core.balancer.call_totals().open;
        if known > core.calls.len() {
            differences.push(format!(
                "{known} calls known to the decisions, {} there",
                core.calls.len()
            ));
        }
        if core.open_calls != core.calls.values().filter(|c| c.is_open()).count() {
            differences.push(format!("{} calls counted as open", core.open_calls));
        }
        differences.sort();
        differences
    }
}
