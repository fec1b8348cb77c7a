//! Load feedback: how congested the endpoints are by the load reports in their answers, and the
//! share of calls that a balancer sheds for it. It is for fleets of more balancers than endpoints,
//! where no balancer's own calls show congestion.

use crate::api::Micros;

/// Time over which a load report fades, in microseconds: endpoints report anew about as often.
const DECAY_TIME: f64 = 1_000_000.0;
/// Weight of a report at the least, where many come within that time: about twenty are remembered.
const MIN_WEIGHT: f64 = 0.05;
/// Congestion (requests queued for each one executing) from which calls are shed. As many queued as
/// executing is the limit elsewhere too; half of that is where an even rise to it begins.
const SHED_FROM: f64 = 0.5;
/// Congestion at which all calls are shed.
const SHED_ALL: f64 = 1.5;
/// The congestion of an endpoint that tells nothing: the most that a report is taken for.
pub(crate) const MAX_CONGESTION: f64 = 4.0;

/// An endpoint's last load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CongestionSample {
    congestion: f64,
    received_at: Micros,
}

/// The smoothed congestion of all endpoints that this balancer has heard of, as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadFeedback {
    congestion: f64,
    updated_at: Micros,
}

impl LoadFeedback {
    /// Counts an endpoint's report. Older reports count less, so a balancer of few calls goes by
    /// its last one, and one of many by all of the last second.
    pub(crate) fn record(&mut self, now: Micros, sample: &mut CongestionSample, congestion: f64) {
        *sample = CongestionSample {
            congestion,
            received_at: now,
        };
        let passed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now)) as f64;
        let weight = (1.0 - (-passed / DECAY_TIME).exp()).max(MIN_WEIGHT);
        self.congestion += (congestion - self.congestion) * weight;
    }

    /// An endpoint answered nothing in time, or rejected a call: what is congested most tells
    /// nothing.
    pub(crate) fn record_overload(&mut self, now: Micros, sample: &mut CongestionSample) {
        self.record(now, sample, MAX_CONGESTION);
    }

    /// The congestion to expect of an endpoint with this last report: its own while that is fresh,
    /// later that of all endpoints, and none where nothing was heard for long.
    pub(crate) fn expected_congestion(&self, now: Micros, sample: CongestionSample) -> f64 {
        let fresh = |at: Micros| (-(now.saturating_sub(at) as f64) / DECAY_TIME).exp();
        let known = if sample.received_at == 0 {
            0.0
        } else {
            fresh(sample.received_at)
        };
        sample.congestion * known + self.congestion * fresh(self.updated_at) * (1.0 - known)
    }
}

/// The share of calls to shed where this congestion is expected. It rises evenly: all balancers
/// hear the same at about the same time, and a step would empty and fill the endpoints in turn.
pub(crate) fn shed_probability(congestion: f64) -> f64 {
    ((congestion - SHED_FROM) / (SHED_ALL - SHED_FROM)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests;
