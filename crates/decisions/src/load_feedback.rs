//! Load feedback: estimates the congestion of the endpoints from the load reports in their answers,
//! and the share of calls that a balancer sheds because of it. It serves fleets with more balancers
//! than endpoints, in which no balancer can detect congestion from its own calls.

use crate::api::Micros;

/// Decay time of a load report, in microseconds; close to the interval at which endpoints report.
const DECAY_TIME: f64 = 1_000_000.0;
/// Minimum weight of a report when many arrive within the decay time; roughly the last twenty then
/// count.
const MIN_WEIGHT: f64 = 0.05;
/// Congestion (requests queued per request executing) above which calls are shed. The concurrency
/// limit treats a congestion of 1 as the limit, and the linear rise to it starts at half of that.
const SHED_FROM: f64 = 0.5;
/// Congestion from which all calls are shed.
const SHED_ALL: f64 = 1.5;
/// Upper bound of a reported congestion, also assumed for an endpoint that times out or rejects
/// calls.
pub(crate) const MAX_CONGESTION: f64 = 4.0;

/// The congestion from an endpoint's last load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CongestionSample {
    congestion: f64,
    received_at: Micros,
}

/// The smoothed congestion over all endpoints from which this balancer has received reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadFeedback {
    congestion: f64,
    updated_at: Micros,
}

impl LoadFeedback {
    /// Records an endpoint's report. Older reports count less, so a balancer with few calls uses
    /// the last report alone, and one with many calls averages the reports of the last second.
    pub(crate) fn record(&mut self, now: Micros, sample: &mut CongestionSample, congestion: f64) {
        *sample = CongestionSample {
            congestion,
            received_at: now,
        };
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now)) as f64;
        let weight = (1.0 - (-elapsed / DECAY_TIME).exp()).max(MIN_WEIGHT);
        self.congestion += (congestion - self.congestion) * weight;
    }

    /// Records an attempt that timed out or was rejected. The most congested endpoints send no
    /// reports, so the maximum congestion is assumed.
    pub(crate) fn record_overload(&mut self, now: Micros, sample: &mut CongestionSample) {
        self.record(now, sample, MAX_CONGESTION);
    }

    /// The expected congestion of an endpoint with this last report. A fresh report counts fully,
    /// and with age the average over all endpoints replaces it. The estimate decays to 0 without
    /// any reports.
    pub(crate) fn expected_congestion(&self, now: Micros, sample: CongestionSample) -> f64 {
        let decay = |at: Micros| (-(now.saturating_sub(at) as f64) / DECAY_TIME).exp();
        let own_weight = if sample.received_at == 0 {
            0.0
        } else {
            decay(sample.received_at)
        };
        sample.congestion * own_weight
            + self.congestion * decay(self.updated_at) * (1.0 - own_weight)
    }
}

/// The share of calls to shed at this expected congestion. It rises linearly: all balancers receive
/// similar reports at about the same time, and a threshold would make the load oscillate.
pub(crate) fn shed_probability(congestion: f64) -> f64 {
    ((congestion - SHED_FROM) / (SHED_ALL - SHED_FROM)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests;
