//! The outcome of a simulation, and the invariants that it must satisfy.

use super::config::SimConfig;
use super::traffic::Traffic;
use super::{second_of, SECOND};
use crate::polling::TARGET_POLLERS;
use crate::Micros;
use thiserror::Error;

/// Maximum time without a poll at the service, in seconds: the service holds a poll for at most ten seconds, and a
/// crashed poller is replaced within a few more.
const MAX_SECONDS_WITHOUT_POLL: usize = 16;

/// Maximum number of pollers at the end.
const MAX_POLLERS: usize = 4 * TARGET_POLLERS;

/// The outcome of a simulation. Times are in microseconds since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// When the service first answered a poll.
    pub first_answer: Option<Micros>,
    /// For each proxy, when it first received a list after its last start.
    pub received_list_at: Vec<Option<Micros>>,
    /// For each proxy, when it last started.
    pub started: Vec<Micros>,
    /// For each proxy, the index of its list at the end.
    pub index: Vec<Option<u64>>,
    /// For each change of the list, when all running proxies had received it.
    pub spread: Vec<Option<Micros>>,
    /// Number of polls at the service in each second.
    pub polls: Vec<u32>,
    /// Number of polls that timed out in the service's queue.
    pub polls_timed_out: u32,
    /// Maximum number of messages that one proxy sent within a second.
    pub max_sent_per_second: u64,
    /// Mean number of messages per proxy in the last second.
    pub final_rate: f64,
    /// Messages that all proxies sent in each second, by kind.
    pub sent: Vec<Traffic>,
    /// Number of active pollers at the end.
    pub pollers: usize,
    /// Minimum over all running proxies of the number of proxies that one considers alive at the end.
    pub min_alive: usize,
    /// Maximum over all running proxies of the number of proxies that one considers alive at the end.
    pub max_alive: usize,
    /// Number of proxies that consider the fleet converged at the end.
    pub converged: usize,
}

/// A violated invariant, found at the end of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Some proxies do not have the newest list.
    #[error("{proxies} proxies do not have the newest list")]
    StaleList {
        /// Number of these proxies.
        proxies: usize,
    },
    /// Polls timed out in the service's queue.
    #[error("{polls} polls timed out at the list service")]
    PollsTimedOut {
        /// Number of these polls.
        polls: u32,
    },
    /// There is no poller, or there are too many.
    #[error("{pollers} active pollers, expected 1 to {MAX_POLLERS}")]
    PollerCount {
        /// Number of active pollers.
        pollers: usize,
    },
    /// No poll reached the service for too long.
    #[error("no poll reached the list service for {seconds} s")]
    NoPolls {
        /// Length of that time in seconds.
        seconds: usize,
    },
}

impl Outcome {
    /// Checks the invariants that hold for every configuration made by [`random_config`](super::random_config).
    ///
    /// # Errors
    /// The first invariant that is violated.
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

    /// For each proxy, the time from the service's first answer, or from the proxy's start if that was later, to its
    /// first list. The times are sorted, with `None` at the end for proxies without a list.
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

    /// Counts a message. `sent_by_proxy` is the number of messages that its sender has sent within the current second.
    pub(super) fn record_message(&mut self, now: Micros, bytes: &[u8], sent_by_proxy: u64) {
        let second = second_of(now);
        if self.sent.len() <= second {
            self.sent.resize(second + 1, Traffic::default());
        }
        self.sent[second].count(bytes);
        self.max_sent_per_second = self.max_sent_per_second.max(sent_by_proxy);
    }

    /// Records that all running proxies have the list with this index, or a newer one.
    pub(super) fn record_spread(&mut self, now: Micros, index: u64) {
        // The first list has index 1, and the first change leads to index 2.
        let changes = index.saturating_sub(1) as usize;
        for spread in self.spread.iter_mut().take(changes) {
            spread.get_or_insert(now);
        }
    }
}

/// Whether `now` is in the last second of the simulation.
pub(super) fn is_in_last_second(now: Micros, config: &SimConfig) -> bool {
    now + SECOND >= config.duration
}
