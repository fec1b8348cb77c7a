//! Spreads the polls of a large fleet of proxies over time.
//!
//! After a power failure all proxies start at the same time. If all of them retried in quick succession, a list service
//! that handles one poll at a time would not complete any, so the spread grows with the number of proxies.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Maximum number of times that the retry delay doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Maximum number of times that the part of the retry delay doubles that is proportional to the spread window.
const MAX_WINDOW_DOUBLINGS: u32 = 2;
/// First retry delay for a fleet so small that its spread window does not require a longer one.
const MIN_RETRY_DELAY: Micros = 200_000;
/// Polls of a proxy that starts without a list: one for the list, and one for changes to it.
const POLLS_AT_START: u32 = 2;
/// Share of the service's capacity that the polls of all proxies take while they are spread.
const MAX_UTILIZATION: f64 = 0.8;
/// Minimum capacity of the service, in polls per second, that is assumed for the spread window.
const MIN_POLLS_PER_SECOND: f64 = 0.001;
/// Inverse of the maximum share of a wait that is subtracted as jitter.
const WAIT_JITTER_DIVISOR: Micros = 8;
const MICROS_PER_SECOND: f64 = 1e6;

/// How a fleet of proxies polls one list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollConfig {
    /// Number of proxies that poll the same service.
    pub proxies: u32,
    /// Capacity of the service, in polls per second.
    pub polls_per_second: f64,
    /// How long the service holds a poll until there is a change, in microseconds.
    pub wait: Micros,
    /// How long the service holds a poll of a proxy that receives no calls, in microseconds.
    pub idle_wait: Micros,
}

impl PollConfig {
    /// Rate in polls per second of all proxies together while the service is up and the list does not change.
    pub fn fleet_polls_per_second(&self) -> f64 {
        f64::from(self.proxies) * MICROS_PER_SECOND / self.wait.max(1) as f64
    }

    /// Length in microseconds of the window over which all proxies can fetch the list and start to watch it without
    /// overloading the service.
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
    /// Creates a schedule whose random delays are seeded with `seed`, which must differ between proxies.
    pub fn new(config: PollConfig, seed: u64) -> Self {
        PollSchedule {
            config,
            random: Pcg32::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// Delay before the first poll, uniformly distributed over the spread window. This applies to proxies without a
    /// list as well: earlier polls would not be answered sooner, as the service also handles polls that have timed out.
    pub fn initial_delay(&mut self) -> Micros {
        self.random_up_to(self.config.spread_window())
    }

    /// Delay after a failed poll. It is half of the spread window at first, and doubles up to twice the window; a
    /// random part of up to half of the delay is subtracted.
    pub fn retry_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let window_share = (self.config.spread_window() / 2) << doublings.min(MAX_WINDOW_DOUBLINGS);
        let delay = (MIN_RETRY_DELAY << doublings).max(window_share);
        delay / 2 + self.random_up_to(delay / 2)
    }

    /// Resets the retry delay after a response.
    pub fn reset_backoff(&mut self) {
        self.failures = 0;
    }

    /// Delay before the poll that follows a change of the list. Without it, all proxies would poll at the same time, as
    /// they receive a change at the same time. Changes during the delay are not lost, as the poll contains the index of
    /// the list.
    pub fn delay_after_update(&mut self) -> Micros {
        self.failures = 0;
        self.random_up_to(self.config.spread_window() / u64::from(POLLS_AT_START))
    }

    /// How long the service should hold the next poll. A random part is subtracted, so that watches that start at the
    /// same time do not keep ending at the same time.
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
