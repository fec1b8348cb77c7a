//! Latency statistics of call classes and of groups of endpoints.

use crate::api::{Class, KindId, Micros, ZoneId};
use std::collections::BTreeMap;

/// Smoothing factor of a class's mean latency; roughly the last twenty answers count.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time, in microseconds, within which a class's unloaded latency may drift up to its current mean.
const UNLOADED_DRIFT_TIME: f64 = 120e6;
/// Assumed latency of a call as a share of its objective, before any answers are known.
pub(crate) const EXPECTED_OBJECTIVE_SHARE: f64 = 0.25;
/// Number of initial samples that are not capped, because there is no reference latency yet.
const FIRST_SAMPLES: u32 = 8;
/// Later samples are capped at this multiple of the unloaded latency.
const MAX_SAMPLE_FACTOR: f64 = 8.0;
/// Lower bound of the histogram, in microseconds; shorter latencies count as this.
const HISTOGRAM_MIN: f64 = 256.0;
/// Number of buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets, which cover latencies up to about 30 s.
const HISTOGRAM_BUCKETS: usize = 68;
/// Number of samples at which the counts are halved.
const HISTOGRAM_MAX_SAMPLES: u16 = 512;
/// Minimum number of samples for a quantile.
const HISTOGRAM_MIN_SAMPLES: u16 = 20;

/// Latencies of a class of calls, in microseconds, and statistics about its clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    /// The smoothed mean latency.
    pub(crate) mean: f64,
    /// The lowest recent mean, taken as the latency of an unloaded endpoint.
    pub(crate) unloaded: f64,
    samples: u32,
    updated_at: Micros,
    /// Number of calls received.
    pub(crate) requests: f64,
    /// The longest client timeout seen for a single try.
    pub(crate) longest_timeout: Micros,
    /// Number of calls that ended unserved and whose clients may try again.
    pub(crate) unserved: u32,
    histogram: LatencyHistogram,
}

/// A latency histogram with logarithmic buckets. The counts are halved periodically, so that old
/// samples fade.
#[derive(Clone, Debug)]
struct LatencyHistogram {
    counts: [u16; HISTOGRAM_BUCKETS],
    total: u16,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram {
            counts: [0; HISTOGRAM_BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, elapsed: f64) {
        let bucket = ((elapsed / HISTOGRAM_MIN).max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(HISTOGRAM_BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HISTOGRAM_MAX_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The upper bound of the bucket that contains this quantile; `None` if there are too few
    /// samples.
    fn quantile(&self, share: f64) -> Option<f64> {
        let target = f64::from(self.total) * share.clamp(0.0, 1.0);
        let mut cumulative = 0.0;
        let bucket = self.counts.iter().position(|&c| {
            cumulative += f64::from(c);
            c > 0 && cumulative >= target
        });
        bucket
            .filter(|_| self.total >= HISTOGRAM_MIN_SAMPLES)
            .map(|bucket| HISTOGRAM_MIN * ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2())
    }
}

/// Endpoint groups by zone and machine kind.
pub(crate) type EndpointGroups = BTreeMap<(ZoneId, KindId), EndpointGroup>;

/// Shared statistics of the endpoints of one machine kind in one zone. They make up for the few
/// samples that a balancer with few calls has of each endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointGroup {
    /// The smoothed latency ratio of the group.
    pub(crate) latency_ratio: f64,
    /// The share of calls that may go to the group; it acts as a concurrency limit below one call
    /// per endpoint.
    pub(crate) admitted_share: f64,
}

impl ClassLatency {
    /// Initial statistics of a class without any samples.
    pub(crate) fn unknown(class: &Class) -> Self {
        ClassLatency {
            mean: class.latency_objective as f64 * EXPECTED_OBJECTIVE_SHARE,
            unloaded: class.latency_objective as f64 * EXPECTED_OBJECTIVE_SHARE,
            ..ClassLatency::default()
        }
    }

    /// The latency quantile for this share of the answers; `None` if there are too few.
    pub(crate) fn quantile(&self, share: f64) -> Option<f64> {
        self.histogram.quantile(share)
    }

    /// Records an answer. The unloaded latency drifts up towards the mean, because fleets and
    /// workloads change.
    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.histogram.record(elapsed);
        let sample = if self.samples > FIRST_SAMPLES {
            elapsed.min(MAX_SAMPLE_FACTOR * self.unloaded)
        } else {
            elapsed
        };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.samples)).max(LATENCY_WEIGHT);
        let drift = (now.saturating_sub(self.updated_at) as f64 / UNLOADED_DRIFT_TIME).min(1.0);
        self.updated_at = now;
        let drifted = if self.samples <= FIRST_SAMPLES {
            self.mean
        } else {
            self.unloaded + (self.mean - self.unloaded) * drift
        };
        self.unloaded = self.mean.min(drifted).max(1.0);
    }
}
