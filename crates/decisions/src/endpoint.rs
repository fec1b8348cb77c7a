//! The state that a balancer keeps about one endpoint.

use crate::api::{
    CellId, EndpointEntry, EndpointId, EndpointRules, KindId, Micros, WeightSource, ZoneId,
};
use crate::balancer::concurrency_limit::ConcurrencyLimit;
use crate::load_feedback::CongestionSample;

/// An endpoint as seen by this balancer. The decisions about it are in `src/balancer`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) kind: KindId,
    /// Random rank, drawn once per balancer and endpoint; lower ranks are preferred.
    pub(crate) preference: u32,
    /// Size according to the list; 1 if the list does not give one.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    /// Time at which the process started; 0 if that was long ago.
    pub(crate) started_at: Micros,
    /// This balancer's attempts in flight.
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    /// Smoothed latency relative to the limits of the call classes; 1 is the limit. It also breaks
    /// ties in endpoint selection.
    pub(crate) latency_ratio: f64,
    /// Number of answers since the limit last changed.
    pub(crate) answers_since_change: u32,
    /// Congestion according to the last load report, on the scale of the latency ratio.
    pub(crate) reported_congestion: f64,
    /// The last congestion sample with its time, from which the expected congestion is derived.
    pub(crate) last_sample: CongestionSample,
    /// Calls of all balancers at the last probe, plus this balancer's calls sent since.
    pub(crate) reported_in_flight: f64,
    /// Time of the last completed probe; 0 if never probed.
    pub(crate) probed_at: Micros,
    /// Time of the last change of the limit; 0 if never changed.
    pub(crate) limit_changed_at: Micros,
    /// Time at which an attempt last ended.
    pub(crate) last_ended_at: Micros,
    /// Time at which an attempt was last served.
    pub(crate) last_served_at: Micros,
    /// Time at which a connection last failed or broke.
    pub(crate) last_broken_at: Micros,
    /// Smoothed share of attempts that failed.
    pub(crate) failure_rate: f64,
    /// No calls are sent before this time, because the endpoint rejected a call as full.
    pub(crate) paused_until: Micros,
}

impl Endpoint {
    /// Whether the endpoint may get calls, regardless of its concurrency limit and slow start.
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.listed && self.limit.steps > 0 && now >= self.paused_until
    }

    /// Creates the state of an endpoint from its list entry.
    pub(crate) fn new(
        entry: &EndpointEntry,
        weight_source: WeightSource,
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
        let is_size = matches!(weight_source, WeightSource::Nominal | WeightSource::Rough);
        let size = if is_size && weight.is_normal() && weight > 0.0 {
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

    /// The load after one more call: calls of all balancers per unit of current capacity. Returns 0
    /// if the endpoint was never probed.
    pub(crate) fn projected_load(&self, now: Micros, rules: &EndpointRules) -> f64 {
        if self.probed_at == 0 {
            return 0.0;
        }
        (self.reported_in_flight + 1.0)
            / (self.size * self.slow_start_capacity(now, rules)).max(f64::MIN_POSITIVE)
    }
}
