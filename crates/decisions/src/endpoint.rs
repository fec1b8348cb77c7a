//! What a balancer knows of one endpoint.

use crate::api::{
    CellId, EndpointEntry, EndpointId, EndpointRules, KindId, Micros, WeightSource, ZoneId,
};
use crate::balancer::concurrency_limit::ConcurrencyLimit;
use crate::load_feedback::CongestionSample;

/// An endpoint as this balancer sees it. Decisions on it are in `src/balancer`.
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
    /// When its process started; 0: long ago.
    pub(crate) started_at: Micros,
    /// Attempts of this balancer in flight there.
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    /// Latency over what its classes allow, smoothed; 1 is the limit. It also breaks ties of a
    /// selection.
    pub(crate) latency_ratio: f64,
    /// Answers since its limit last changed.
    pub(crate) answers_since_change: u32,
    /// Congestion by its last load report, on the scale of the latency ratio.
    pub(crate) reported_congestion: f64,
    /// The same with its time, for the congestion to expect.
    pub(crate) last_sample: CongestionSample,
    /// Calls of all balancers there when it was last probed, and those sent since.
    pub(crate) reported_in_flight: f64,
    /// When it was last probed; 0: never.
    pub(crate) probed_at: Micros,
    /// When its limit last changed; 0: never.
    pub(crate) limit_changed_at: Micros,
    /// When an attempt there last ended.
    pub(crate) last_ended_at: Micros,
    /// When it last served one.
    pub(crate) last_served_at: Micros,
    /// When a connection there last failed or broke.
    pub(crate) last_broken_at: Micros,
    /// Smoothed share of attempts that failed.
    pub(crate) failure_rate: f64,
    /// It is sent nothing before this: it has just rejected a call as full.
    pub(crate) paused_until: Micros,
}

impl Endpoint {
    /// May calls go there, apart from its limit and slow start?
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.listed && self.limit.steps > 0 && now >= self.paused_until
    }

    /// An endpoint as the list names it.
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

    /// Calls of all balancers there after one more, for its present capacity; 0 where it was never
    /// probed.
    pub(crate) fn projected_load(&self, now: Micros, rules: &EndpointRules) -> f64 {
        if self.probed_at == 0 {
            return 0.0;
        }
        (self.reported_in_flight + 1.0)
            / (self.size * self.slow_start_capacity(now, rules)).max(f64::MIN_POSITIVE)
    }
}
