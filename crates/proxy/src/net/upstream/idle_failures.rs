//! How long a connection may be idle and still be worth using.

use badgerramp_decisions::Micros;

/// The shortest idle time that is told from others, and how many doublings of it.
pub(super) const SHORTEST_IDLE_TIME: Micros = 50_000;
pub(super) const IDLE_TIME_BUCKETS: usize = 11;
/// Time over which what was learned of idle times fades.
const DECAY_TIME: f64 = 30e6;
/// Requests without a break that are supposed for each idle time: a few breaks prove little.
const PRIOR_REQUESTS: f64 = 8.0;
/// Share of requests beyond that of fresh connections that may break: a new connection costs a host as much as a
/// tenth of a call or more.
const MAX_EXCESS_FAILURE_SHARE: f64 = 0.1;

/// How often connections failed during a request, by how long they had been idle. Endpoints tell how long they keep idle
/// ones at the most; one that drops them sooner, and says nothing, shows it here alone.
#[derive(Debug, Default)]
pub(super) struct IdleFailureStats {
    /// Requests and breaks for each doubling of the idle time, the shortest first; old ones count less.
    buckets: [(f64, f64); IDLE_TIME_BUCKETS],
    decayed_at: Micros,
}

impl IdleFailureStats {
    fn bucket(idle: Micros) -> usize {
        (idle / SHORTEST_IDLE_TIME)
            .checked_ilog2()
            .map_or(0, |doublings| doublings as usize + 1)
            .min(IDLE_TIME_BUCKETS - 1)
    }

    pub(super) fn record(&mut self, now: Micros, idle: Micros, connection_lost: bool) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.decayed_at, now));
        let left = (-(passed as f64) / DECAY_TIME).exp();
        self.buckets
            .iter_mut()
            .for_each(|(used, broken)| (*used, *broken) = (*used * left, *broken * left));
        let (used, broken) = &mut self.buckets[Self::bucket(idle)];
        (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(connection_lost)));
    }

    /// The idle time from which on connections break more often than a new one costs, against the freshest, which
    /// break for other reasons. Longer is no better.
    pub(super) fn max_idle_time(&self) -> Micros {
        let share = |&(used, broken): &(f64, f64)| broken / (used + PRIOR_REQUESTS);
        let fresh = share(&self.buckets[0]);
        let bad = (1..IDLE_TIME_BUCKETS)
            .find(|&age| share(&self.buckets[age]) > fresh + MAX_EXCESS_FAILURE_SHARE);
        bad.map_or(Micros::MAX, |age| SHORTEST_IDLE_TIME << (age - 1))
    }
}
