//! Latency statistics of classes of calls and of groups of endpoints.

use crate::api::{Class, KindId, Micros, ZoneId};
use std::collections::BTreeMap;

/// Weight of a new answer in a class's mean: about twenty are remembered.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time, in microseconds, over which a class's unloaded latency may drift up to its present mean.
const UNLOADED_DRIFT_TIME: f64 = 120e6;
/// Share of its objective that a call is expected to take while nothing is known.
pub(crate) const EXPECTED_OBJECTIVE_SHARE: f64 = 0.25;
/// Samples that are taken as they come, before there is a mean to hold others against.
const FIRST_SAMPLES: u32 = 8;
/// Multiple of the unloaded latency that a later sample counts for at the most.
const MAX_SAMPLE_FACTOR: f64 = 8.0;
/// The shortest latency that is told from others, in microseconds.
const HISTOGRAM_MIN: f64 = 256.0;
/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Buckets above it: up to half a minute.
const HISTOGRAM_BUCKETS: usize = 68;
/// Samples at which the counts are halved.
const HISTOGRAM_MAX_SAMPLES: u16 = 512;
/// Samples below which a quantile says nothing.
const HISTOGRAM_MIN_SAMPLES: u16 = 20;

/// Latencies of a class of calls, in microseconds, and what is known of its clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    /// The present mean.
    pub(crate) mean: f64,
    /// The least that the mean has been, which stands for an unloaded endpoint.
    pub(crate) unloaded: f64,
    samples: u32,
    updated_at: Micros,
    /// Calls that have come in.
    pub(crate) requests: f64,
    /// The longest that clients wait for one try.
    pub(crate) longest_timeout: Micros,
    /// Calls ended unserved whose clients may try again.
    pub(crate) unserved: u32,
    histogram: LatencyHistogram,
}

/// A histogram of latencies in buckets of a quarter of a doubling; the counts are halved when there
/// are many, so that old ones fade.
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

    /// The latency within which this share came, to the end of its bucket.
    fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = f64::from(self.total) * share.clamp(0.0, 1.0);
        let mut seen = 0.0;
        let bucket = self.counts.iter().position(|&c| {
            seen += f64::from(c);
            c > 0 && seen >= wanted
        });
        bucket
            .filter(|_| self.total >= HISTOGRAM_MIN_SAMPLES)
            .map(|bucket| HISTOGRAM_MIN * ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2())
    }
}

/// The endpoints of each machine kind in each zone.
pub(crate) type EndpointGroups = BTreeMap<(ZoneId, KindId), EndpointGroup>;

/// The endpoints of one machine kind in one zone, as one: a balancer of few calls learns of no
/// single one.
#[derive(Clone, Debug)]
pub(crate) struct EndpointGroup {
    /// Their smoothed latency ratio.
    pub(crate) latency_ratio: f64,
    /// Their limit where it is under one call each: the share of calls that may go there.
    pub(crate) admitted_share: f64,
}

impl ClassLatency {
    /// The latency of a class of which nothing is known yet.
    pub(crate) fn unknown(class: &Class) -> Self {
        ClassLatency {
            mean: class.latency_objective as f64 * EXPECTED_OBJECTIVE_SHARE,
            unloaded: class.latency_objective as f64 * EXPECTED_OBJECTIVE_SHARE,
            ..ClassLatency::default()
        }
    }

    /// The latency within which this share of the answers comes; `None` while there were too few.
    pub(crate) fn quantile(&self, share: f64) -> Option<f64> {
        self.histogram.quantile(share)
    }

    /// Counts an answer; the unloaded latency drifts up to the mean, as fleets and work change.
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
