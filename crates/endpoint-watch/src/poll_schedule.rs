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
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Plays so many proxies that start at once against a service that takes one question at a time and gives those up
    /// that waited for longer than `patience`. Tells when the last had its list, and questions a second at the worst.
    fn common_start(proxies: u32, spread: bool) -> (Micros, u64) {
        let (service, patience) = (10_000, 3_000_000);
        let terms = PollConfig {
            proxies: if spread { proxies } else { 0 },
            polls_per_second: 100.0,
            wait: 10_000_000,
            idle_wait: 60_000_000,
        };
        let mut polls: Vec<PollSchedule> = (0..proxies)
            .map(|n| PollSchedule::new(terms, u64::from(n)))
            .collect();
        let mut due: BTreeSet<(Micros, usize)> = polls
            .iter_mut()
            .enumerate()
            .map(|(n, p)| (p.initial_delay(), n))
            .collect();
        let (mut free_at, mut last, mut seconds) = (0, 0, std::collections::BTreeMap::new());
        while let Some((now, n)) = due.pop_first() {
            *seconds.entry(now / 1_000_000).or_insert(0) += 1;
            assert!(now < 600_000_000, "{} without a list", due.len());
            let begins = now.max(free_at);
            if begins > now + patience {
                // It works on what nobody waits for any more.
                free_at += service / 2;
                due.insert((now + patience + polls[n].retry_delay(), n));
            } else {
                free_at = begins + service;
                last = free_at;
                polls[n].reset_backoff();
            }
        }
        (last, seconds.into_values().max().unwrap_or(0))
    }

    #[test]
    fn a_common_start_is_served_in_about_the_time_that_the_service_needs() {
        let (last, worst) = common_start(2_000, true);
        // 20 s of work.
        assert!(last < 60_000_000, "{last}");
        assert!(worst < 600, "{worst}");
        let (_, crowd) = common_start(2_000, false);
        assert!(
            crowd > 2 * worst,
            "{crowd} without a spread, {worst} with it"
        );
    }

    #[test]
    fn pauses_grow_and_end_and_an_answer_ends_them() {
        let terms = PollConfig {
            proxies: 10,
            polls_per_second: 100.0,
            wait: 10_000_000,
            idle_wait: 60_000_000,
        };
        let mut poll = PollSchedule::new(terms, 1);
        let pauses: Vec<Micros> = (0..20).map(|_| poll.retry_delay()).collect();
        assert!(pauses[0] <= PAUSE_LEAST && pauses.iter().all(|&p| p <= PAUSE_LEAST << DOUBLINGS));
        poll.reset_backoff();
        assert!(poll.retry_delay() <= PAUSE_LEAST);
        let waits: BTreeSet<Micros> = (0..10).map(|_| poll.next_wait(true)).collect();
        assert!(
            waits.len() > 5
                && waits
                    .iter()
                    .all(|&w| (52_500_000..=60_000_000).contains(&w))
        );
    }
}
