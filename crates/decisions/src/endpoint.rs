//! What a balancer knows of one endpoint.

use crate::api::*;
use crate::balancer::concurrency_limit::ConcurrencyLimit;
use crate::load_feedback::CongestionSample;

/// A server as this balancer sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) kind: KindId,
    /// This balancer's own order of preference, drawn once: least first.
    pub(crate) preference: u32,
    /// Size by the list; 1 where it tells none.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    pub(crate) started_at: Micros,
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    /// Answer times over what its classes allow; 1 is the limit. Also breaks ties of the pick.
    pub(crate) latency_ratio: f64,
    pub(crate) answers_since_change: u32,
    /// Its last report, as strain.
    pub(crate) reported_congestion: f64,
    /// Its last word of how crowded it is.
    pub(crate) last_sample: CongestionSample,
    /// What it held for all balancers when it was last asked, and when that was.
    pub(crate) reported_in_flight: f64,
    pub(crate) probed_at: Micros,
    /// When its budget last changed.
    pub(crate) limit_changed_at: Micros,
    /// When an attempt there last ended, and when it last served.
    pub(crate) last_ended_at: Micros,
    pub(crate) last_served_at: Micros,
    /// When a connection there last failed or broke.
    pub(crate) last_broken_at: Micros,
    /// Recent share of failures.
    pub(crate) failure_rate: f64,
    /// It is sent nothing before this: it has just refused as full.
    pub(crate) paused_until: Micros,
}

impl Endpoint {
    /// Is it up, apart from its budget?
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.listed && self.limit.steps > 0 && now >= self.paused_until
    }

    /// A server as the list names it.
    pub(crate) fn new(
        entry: &EndpointEntry,
        weights: WeightSource,
        limit: ConcurrencyLimit,
    ) -> Self {
        let &EndpointEntry {
            endpoint: id,
            zone,
            cell,
            kind,
            started,
            weight,
            ..
        } = entry;
        let told = matches!(weights, WeightSource::Nominal | WeightSource::Rough);
        let size = if told && weight.is_normal() && weight > 0.0 {
            weight
        } else {
            1.0
        };
        Endpoint {
            id,
            zone,
            cell,
            kind,
            size,
            started_at: started,
            limit,
            ..Endpoint::default()
        }
    }

    /// Calls of all balancers there after one more, for its present size.
    pub(crate) fn projected_load(&self, now: Micros, rules: &EndpointRules) -> f64 {
        if self.probed_at == 0 {
            return 0.0;
        }
        (self.reported_in_flight + 1.0)
            / (self.size * self.slow_start_capacity(now, rules)).max(f64::MIN_POSITIVE)
    }
}
