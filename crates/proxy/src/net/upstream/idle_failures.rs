//! Estimates how long a connection may be idle and still be worth reusing, from the failures of reused connections.

use badgerramp_decisions::Micros;

/// Upper bound of the first bucket, in microseconds. The bound doubles with each further bucket.
pub(super) const SHORTEST_IDLE_TIME: Micros = 50_000;
/// The number of buckets.
pub(super) const IDLE_TIME_BUCKETS: usize = 11;
/// Time constant of the exponential decay of the counts, in microseconds.
const DECAY_TIME: f64 = 30e6;
/// Successful requests that are assumed for each bucket in addition to the recorded ones, so that a few failures do not
/// count much.
const PRIOR_REQUESTS: f64 = 8.0;
/// The share of failures above that of the first bucket up to which connections are reused: opening a new connection
/// costs an endpoint as much as a tenth of a call or more.
const MAX_EXCESS_FAILURE_SHARE: f64 = 0.1;

/// Decaying counts of requests on connections that had been idle for about the same time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: f64,
    failures: f64,
}

impl Bucket {
    fn failure_share(self) -> f64 {
        self.failures / (self.requests + PRIOR_REQUESTS)
    }
}

/// How often reused connections failed during a request, by how long they had been idle. The settings give the idle
/// timeout of the endpoints; endpoints that drop idle connections earlier, without closing them, are noticed only by
/// these failures.
#[derive(Debug, Default)]
pub(super) struct IdleFailureStats {
    buckets: [Bucket; IDLE_TIME_BUCKETS],
    decayed_at: Micros,
}

impl IdleFailureStats {
    /// Records one request on a connection that had been idle for `idle_time`.
    pub(super) fn record(&mut self, now: Micros, idle_time: Micros, connection_lost: bool) {
        self.decay(now);
        let bucket = &mut self.buckets[bucket_index(idle_time)];
        bucket.requests += 1.0;
        bucket.failures += f64::from(u8::from(connection_lost));
    }

    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.decayed_at, now));
        let factor = (-(elapsed as f64) / DECAY_TIME).exp();
        for bucket in &mut self.buckets {
            bucket.requests *= factor;
            bucket.failures *= factor;
        }
    }

    /// The idle time above which the failures of reused connections cost more than new connections. The first bucket is
    /// the baseline: connections that were hardly idle fail for other reasons.
    pub(super) fn max_idle_time(&self) -> Micros {
        let limit = self.buckets[0].failure_share() + MAX_EXCESS_FAILURE_SHARE;
        let failing =
            (1..IDLE_TIME_BUCKETS).find(|&index| self.buckets[index].failure_share() > limit);
        failing.map_or(Micros::MAX, |index| SHORTEST_IDLE_TIME << (index - 1))
    }
}

fn bucket_index(idle_time: Micros) -> usize {
    (idle_time / SHORTEST_IDLE_TIME)
        .checked_ilog2()
        .map_or(0, |doublings| doublings as usize + 1)
        .min(IDLE_TIME_BUCKETS - 1)
}
