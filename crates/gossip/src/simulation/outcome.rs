//! What a simulation shows.

use super::config::SimConfig;
use super::traffic::Traffic;
use super::{second_of, SECOND};
use crate::polling::TARGET_POLLERS;
use crate::Micros;
use thiserror::Error;

/// Longest time without a poll at the service, in seconds: a held-back poll ends within ten seconds, and a crashed
/// poller is replaced within a few more.
const MAX_SECONDS_WITHOUT_POLL: usize = 16;

/// Greatest number of pollers at the end.
const MAX_POLLERS: usize = 4 * TARGET_POLLERS;

/// What a simulation shows. Times are in microseconds since its begin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// When the service first answered.
    pub first_answer: Option<Micros>,
    /// For each proxy: when it first had a list since its last start.
    pub received_list_at: Vec<Option<Micros>>,
    /// For each proxy: when it last started.
    pub started: Vec<Micros>,
    /// For each proxy: the index of its list at the end.
    pub index: Vec<Option<u64>>,
    /// For each change of the list: when all running proxies had it.
    pub spread: Vec<Option<Micros>>,
    /// Polls at the service in each second.
    pub polls: Vec<u32>,
    /// Polls that timed out while they waited at the service.
    pub polls_timed_out: u32,
    /// Most messages that one proxy sent within a second.
    pub max_sent_per_second: u64,
    /// Messages sent in the last second, in the mean over all proxies.
    pub final_rate: f64,
    /// What all proxies sent in each second, by kind of message.
    pub sent: Vec<Traffic>,
    /// Active pollers at the end.
    pub pollers: usize,
    /// Least number of proxies that any proxy counts as alive at the end.
    pub min_alive: usize,
    /// Greatest number of proxies that any proxy counts as alive at the end.
    pub max_alive: usize,
    /// Proxies that have converged at the end.
    pub converged: usize,
}

/// What must not be at the end of a simulation of a random configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Some proxies do not have the newest list.
    #[error("{proxies} do not have the newest list")]
    StaleList {
        /// How many.
        proxies: usize,
    },
    /// Polls timed out at the service.
    #[error("{polls} questions were given up")]
    PollsTimedOut {
        /// How many.
        polls: u32,
    },
    /// No proxy polls, or too many do.
    #[error("{pollers} ask")]
    PollerCount {
        /// How many.
        pollers: usize,
    },
    /// Nobody polled for too long.
    #[error("nobody asked for {seconds} s")]
    NoPolls {
        /// How long.
        seconds: usize,
    },
}

impl Outcome {
    /// The first requirement that does not hold, if any.
    ///
    /// # Errors
    /// The requirement that is violated.
    pub fn check(&self, config: &SimConfig) -> Result<(), Violation> {
        let newest = Some(1 + config.changes.len() as u64);
        let stale = self.index.iter().filter(|index| **index != newest).count();
        if stale > 0 {
            return Err(Violation::StaleList { proxies: stale });
        }
        if self.polls_timed_out > 0 {
            return Err(Violation::PollsTimedOut {
                polls: self.polls_timed_out,
            });
        }
        if !(1..=MAX_POLLERS).contains(&self.pollers) {
            return Err(Violation::PollerCount {
                pollers: self.pollers,
            });
        }
        let seconds = self.longest_time_without_poll(config);
        if seconds > MAX_SECONDS_WITHOUT_POLL {
            return Err(Violation::NoPolls { seconds });
        }
        Ok(())
    }

    /// Longest time without a poll at the service, in seconds.
    fn longest_time_without_poll(&self, config: &SimConfig) -> usize {
        let longest_gap = self
            .polls
            .split(|polls| *polls > 0)
            .map(<[u32]>::len)
            .max()
            .unwrap_or(0);
        let since_last = second_of(config.duration) - self.polls.len();
        longest_gap.max(since_last)
    }

    /// Time from the service's first answer, or the proxy's own start if that was later, to its first list: sorted, with
    /// `None` for proxies without a list at the end.
    pub fn list_latencies(&self) -> Vec<Option<Micros>> {
        let first_answer = self.first_answer.unwrap_or(0);
        let proxies = self.received_list_at.iter().zip(&self.started);
        let mut latencies: Vec<Option<Micros>> = proxies
            .map(|(received_at, started)| {
                received_at.map(|at| at.saturating_sub(first_answer.max(*started)))
            })
            .collect();
        latencies.sort_by_key(|latency| latency.unwrap_or(Micros::MAX));
        latencies
    }

    /// Counts a poll that has reached the service.
    pub(super) fn record_poll(&mut self, now: Micros) {
        let second = second_of(now);
        if self.polls.len() <= second {
            self.polls.resize(second + 1, 0);
        }
        self.polls[second] += 1;
    }

    /// Counts a message; `sent_by_proxy`: messages that its sender has sent within this second.
    pub(super) fn record_message(&mut self, now: Micros, bytes: &[u8], sent_by_proxy: u64) {
        let second = second_of(now);
        if self.sent.len() <= second {
            self.sent.resize(second + 1, Traffic::default());
        }
        self.sent[second].count(bytes);
        self.max_sent_per_second = self.max_sent_per_second.max(sent_by_proxy);
    }

    /// All running proxies have the list of this index, or a newer one.
    pub(super) fn record_spread(&mut self, now: Micros, index: u64) {
        // The list begins with index 1; the first change leads to index 2.
        let changes = index.saturating_sub(1) as usize;
        for spread in self.spread.iter_mut().take(changes) {
            spread.get_or_insert(now);
        }
    }
}

/// Whether a moment lies in the last second of a simulation.
pub(super) fn is_in_last_second(now: Micros, config: &SimConfig) -> bool {
    now + SECOND >= config.duration
}
