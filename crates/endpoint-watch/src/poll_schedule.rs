//! When the list is asked for. After a power cut every proxy starts at once, and a list service that takes one
//! question at a time serves none of them if all ask again and again: the spread grows with the number of proxies.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Doublings of the pause after failures.
const DOUBLINGS: u32 = 6;
/// First pause after a failure, if the service could bear all proxies at once.
const PAUSE_LEAST: Micros = 200_000;
/// Questions of a proxy that has no list: for the list, and for what changes of it.
const QUESTIONS: u32 = 2;
/// Share of what the service bears that a round of all proxies takes.
const BUSY_MOST: f64 = 0.8;

/// What holds for a proxy's questions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollConfig {
    /// Proxies that ask the same service.
    pub proxies: u32,
    /// Questions a second that it bears.
    pub polls_per_second: f64,
    /// How long a question waits at the service for news, while calls come and while none do.
    pub wait: Micros,
    /// See `wait`.
    pub idle_wait: Micros,
}

impl PollConfig {
    /// Polls per second that all proxies together send while the service works and the list does not change.
    pub fn fleet_polls_per_second(&self) -> f64 {
        f64::from(self.proxies) * 1e6 / self.wait.max(1) as f64
    }

    /// Time in which all proxies can have the list and begin their watch without crowding the service.
    pub fn spread_window(&self) -> Micros {
        (f64::from(QUESTIONS * self.proxies) / (self.polls_per_second.max(0.001) * BUSY_MOST) * 1e6)
            as Micros
    }
}

/// Decides when this proxy asks.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    config: PollConfig,
    random: Pcg32,
    failures: u32,
}

impl PollSchedule {
    /// One that draws from `seed`, which differs from proxy to proxy.
    pub fn new(config: PollConfig, seed: u64) -> Self {
        PollSchedule {
            config,
            random: Pcg32::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// The pause before the first question: a turn anywhere in a round. To hurry would gain nothing, also for a
    /// proxy that has no list yet: the service answers no faster, and works on questions that have been given up.
    pub fn initial_delay(&mut self) -> Micros {
        self.within(self.config.spread_window())
    }

    /// The pause after a question that failed: half a round, twice as long each time up to two, and up to as much
    /// again at random.
    pub fn retry_delay(&mut self) -> Micros {
        let doublings = self.failures.min(DOUBLINGS);
        self.failures += 1;
        let pause =
            (PAUSE_LEAST << doublings).max((self.config.spread_window() / 2) << doublings.min(2));
        pause / 2 + self.within(pause / 2)
    }

    /// A question was answered.
    pub fn reset_backoff(&mut self) {
        self.failures = 0;
    }

    /// The pause before the next question after one that brought news: all proxies had it at the same moment, and ask
    /// again together. The list has an index, so nothing is lost meanwhile; it is only heard later.
    pub fn delay_after_update(&mut self) -> Micros {
        self.failures = 0;
        self.within(self.config.spread_window() / u64::from(QUESTIONS))
    }

    /// How long the next question may wait for news. A little less at random: watches that began together must not
    /// end together for ever.
    pub fn next_wait(&mut self, idle: bool) -> Micros {
        let wait = if idle {
            self.config.idle_wait
        } else {
            self.config.wait
        };
        wait - self.within(wait / 8)
    }

    fn within(&mut self, most: Micros) -> Micros {
        if most == 0 {
            return 0;
        }
        self.random.gen_range(0..=most)
    }
}

#[cfg(test)]
mod tests;
