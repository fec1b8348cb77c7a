//! How crowded the servers are by what they tell with their answers, and which share of the calls
//! that makes a balancer turn back: for a fleet of more balancers than servers, where no balancer's
//! own calls show it.

use crate::api::Micros;

/// Time over which a word of a server's load fades: servers tell it anew about as often.
const DECAY_TIME: f64 = 1_000_000.0;
/// Weight of a word at the least, where many come within that time: about twenty are remembered.
const MIN_WEIGHT: f64 = 0.05;
/// Crowding (requests waiting for each in work) from which calls are turned back, and at which all
/// are. As many waiting as in work is what counts as strain elsewhere too; half of that is where an
/// even rise to it begins.
const SHED_FROM: f64 = 0.5;
const SHED_ALL: f64 = 1.5;
/// The crowding of a server that tells nothing: the most that a report is taken for.
pub(crate) const MAX_CONGESTION: f64 = 4.0;

/// A server's last word of how crowded it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CongestionSample {
    congestion: f64,
    received_at: Micros,
}

/// The crowding of late of all servers that this balancer has heard of, as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadFeedback {
    congestion: f64,
    updated_at: Micros,
}

impl LoadFeedback {
    /// A server told of this crowding. What was heard longer ago counts less, so a balancer of few
    /// calls goes by its last word, and one of many by all of the last second.
    pub(crate) fn record(&mut self, now: Micros, sample: &mut CongestionSample, congestion: f64) {
        *sample = CongestionSample {
            congestion,
            received_at: now,
        };
        let passed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now)) as f64;
        let weight = (1.0 - (-passed / DECAY_TIME).exp()).max(MIN_WEIGHT);
        self.congestion += (congestion - self.congestion) * weight;
    }

    /// A server answered nothing in time, or turned a call away: what is crowded most tells
    /// nothing.
    pub(crate) fn record_overload(&mut self, now: Micros, sample: &mut CongestionSample) {
        self.record(now, sample, MAX_CONGESTION);
    }

    /// The crowding to expect of a server with this word: its own while that is fresh, later all
    /// servers', and none where nothing was heard for long.
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

/// The share of calls to turn back where this crowding is expected. It rises evenly: all balancers
/// hear the same at about the same time, and a step would empty and fill the servers in turn.
pub(crate) fn shed_probability(congestion: f64) -> f64 {
    ((congestion - SHED_FROM) / (SHED_ALL - SHED_FROM)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests;
