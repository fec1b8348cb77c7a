//! How long a connection may be idle and still be worth reusing, learned from connections that broke.

use badgerramp_decisions::Micros;

/// Upper bound of the first bucket, in microseconds; each further bucket is twice as long.
pub(super) const SHORTEST_IDLE_TIME: Micros = 50_000;
/// Number of buckets of idle times.
pub(super) const IDLE_TIME_BUCKETS: usize = 11;
/// Time constant of the exponential decay of old requests, in microseconds.
const DECAY_TIME: f64 = 30e6;
/// Requests without a failure that are assumed for each bucket: a few failures prove little.
const PRIOR_REQUESTS: f64 = 8.0;
/// Share of failures above that of the first bucket that is accepted: a new connection costs an endpoint as much as a
/// tenth of a call or more.
const MAX_EXCESS_FAILURE_SHARE: f64 = 0.1;

/// Decayed counts of the requests on connections that had been idle for about the same time.
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

/// How often connections failed during a request, by how long they had been idle. The settings give the longest idle
/// time of endpoints; one that closes connections sooner, without notice, shows it here alone.
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

    /// The idle time from which on connections fail more often than a new one costs. The first bucket is the baseline:
    /// fresh connections fail for other reasons.
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
