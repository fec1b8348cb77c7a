//! Spreads the polls of a large fleet of proxies over time.
//!
//! After a power failure all proxies start at once. A list service that works on one poll at a time would serve none of
//! them if all retried in quick succession, so the spread grows with the number of proxies.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// How often the retry delay doubles at most.
const MAX_DOUBLINGS: u32 = 6;
/// How often the share of the retry delay that grows with the fleet doubles at most.
const MAX_WINDOW_DOUBLINGS: u32 = 2;
/// First retry delay where the service could respond to all proxies at once.
const MIN_RETRY_DELAY: Micros = 200_000;
/// Polls of a proxy that starts without a list: for the list, and for changes to it.
const POLLS_AT_START: u32 = 2;
/// Share of the service's capacity that the polls of all proxies take while they are spread.
const MAX_UTILIZATION: f64 = 0.8;
/// Lowest capacity of the service, in polls per second, that the spread is computed for.
const MIN_POLLS_PER_SECOND: f64 = 0.001;
/// Inverse of the share of a wait that is taken off at random at most.
const WAIT_JITTER_DIVISOR: Micros = 8;
const MICROS_PER_SECOND: f64 = 1e6;

/// How a fleet of proxies polls one list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollConfig {
    /// Proxies that poll the same service.
    pub proxies: u32,
    /// Polls per second that the service can respond to.
    pub polls_per_second: f64,
    /// How long the service holds a poll until there is a change, in microseconds.
    pub wait: Micros,
    /// The same for a proxy that receives no calls, in microseconds.
    pub idle_wait: Micros,
}

impl PollConfig {
    /// Polls per second that all proxies together send while the service works and the list does not change.
    pub fn fleet_polls_per_second(&self) -> f64 {
        f64::from(self.proxies) * MICROS_PER_SECOND / self.wait.max(1) as f64
    }

    /// Time in which all proxies can fetch the list and begin to watch it without overloading the service, in
    /// microseconds.
    pub fn spread_window(&self) -> Micros {
        let polls = f64::from(POLLS_AT_START * self.proxies);
        let usable_rate = self.polls_per_second.max(MIN_POLLS_PER_SECOND) * MAX_UTILIZATION;
        (polls / usable_rate * MICROS_PER_SECOND) as Micros
    }
}

/// Decides when one proxy of the fleet polls.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    config: PollConfig,
    random: Pcg32,
    failures: u32,
}

impl PollSchedule {
    /// A schedule whose random choices derive from `seed`, which must differ from proxy to proxy.
    pub fn new(config: PollConfig, seed: u64) -> Self {
        PollSchedule {
            config,
            random: Pcg32::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// Delay before the first poll: uniform over the spread window. A proxy that has no list yet gains nothing from an
    /// earlier poll, as the service responds no faster and also works on polls that were given up.
    pub fn initial_delay(&mut self) -> Micros {
        self.random_up_to(self.config.spread_window())
    }

    /// Delay after a poll that failed: half of the spread window at first, doubling up to twice the window; up to half of
    /// the delay is taken off at random.
    pub fn retry_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let window_share = (self.config.spread_window() / 2) << doublings.min(MAX_WINDOW_DOUBLINGS);
        let delay = (MIN_RETRY_DELAY << doublings).max(window_share);
        delay / 2 + self.random_up_to(delay / 2)
    }

    /// Records a response: the next retry delay is the first one again.
    pub fn reset_backoff(&mut self) {
        self.failures = 0;
    }

    /// Delay before the poll that follows a change of the list. All proxies receive a change at the same moment and
    /// would poll together. No later change is lost meanwhile, as the poll names the index of the list.
    pub fn delay_after_update(&mut self) -> Micros {
        self.failures = 0;
        self.random_up_to(self.config.spread_window() / u64::from(POLLS_AT_START))
    }

    /// How long the service shall hold the next poll. A random part is taken off, so that watches that began together do
    /// not end together for ever.
    pub fn next_wait(&mut self, idle: bool) -> Micros {
        let wait = if idle {
            self.config.idle_wait
        } else {
            self.config.wait
        };
        wait - self.random_up_to(wait / WAIT_JITTER_DIVISOR)
    }

    fn random_up_to(&mut self, max: Micros) -> Micros {
        if max == 0 {
            return 0;
        }
        self.random.gen_range(0..=max)
    }
}

#[cfg(test)]
mod tests;
