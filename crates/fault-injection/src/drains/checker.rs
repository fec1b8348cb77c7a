//! Determines when each proxy counts as notified of a list version, and checks what it sent after that.

use super::service::{Event, ServiceRecord, Status};
use crate::hosts::Arrival;
use badgerramp_policy::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// A change that a silent watch misses counts as notified this long after the watch became silent, or this long after
/// the end of its wait, whichever is later. The figures are those of the protocol. They are repeated here so that the
/// program's own values are checked against them.
const MAX_AFTER_SILENCE: Micros = 6_000_000;
const MAX_AFTER_WAIT: Micros = 2_000_000;
/// After the client has closed its connection, a request sent for it may begin only within this time.
const MAX_AFTER_DISCONNECT: Micros = 100_000;

/// The start of a process that takes the place of an earlier one of the same proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// When the process was started.
    pub at: Micros,
    /// Index of the proxy.
    pub proxy: usize,
}

/// The history records of a run.
pub(super) struct Histories<'a> {
    /// Records of the list service.
    pub records: &'a [ServiceRecord],
    /// What each list version changed: time, host and new status.
    pub changes: &'a [(Micros, usize, Status)],
    /// Requests received by the hosts.
    pub arrivals: &'a [Arrival],
    /// Requests to a host must stop this long after the proxy was notified of its drain.
    pub drain_grace: Micros,
    /// Whether lists are pushed. If so, everything the agent has counts as notified, except what a silent watch misses.
    pub pushed: bool,
    /// Time spans in which the service was down.
    pub outages: &'a [(Micros, Micros)],
    /// The restarts of proxies, in order.
    pub restarts: &'a [Restart],
    /// For each client that did not wait for its answer, when it closed its connection, by request id.
    pub disconnected_at: &'a HashMap<String, Micros>,
}

/// The violations found in a run, and its totals.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Requests received by hosts.
    pub arrivals: usize,
    /// Requests received by a draining host after the allowed time.
    pub late: usize,
    /// Description of the first violation.
    pub first: Option<String>,
    /// Longest time from the drain of a host to a request at that host, in milliseconds, whether or not the proxy had
    /// been notified.
    pub last_ms: u64,
    /// Polls of the list service.
    pub questions: usize,
    /// Requests received by hosts too long after their clients had closed the connection.
    pub gone: usize,
}

impl Histories<'_> {
    /// When the process of this proxy that runs at `at` was started; 0 for the first one.
    fn process_start(&self, proxy: usize, at: Micros) -> Micros {
        let restart = self
            .restarts
            .iter()
            .rev()
            .find(|restart| restart.proxy == proxy && restart.at <= at);
        restart.map_or(0, |restart| restart.at)
    }

    /// When this version counts as notified to the process of this proxy that was started at `process_start`. A new
    /// process starts from nothing: what an earlier one was told does not count.
    fn notified_at(&self, proxy: usize, process_start: Micros, version: u64) -> Micros {
        let changed_at = self.changes[version as usize - 1].0;
        let own_records = || {
            self.records
                .iter()
                .filter(|n| n.proxy == proxy && n.at >= process_start)
        };
        let answered = own_records().filter(|n| {
            n.at >= changed_at
                && matches!(n.event, Event::Answered { version: v, .. } if v >= version)
        });
        let answered = answered.map(|n| n.at).next().unwrap_or(Micros::MAX);
        let missed = self.missed_change_notified_at(&own_records, changed_at);
        let agent = match missed {
            None if self.pushed => self.reachable_from(changed_at).max(process_start),
            _ => Micros::MAX,
        };
        // A change from before the process started needs no watch of this process to be notified.
        let earlier = if changed_at < process_start {
            self.reachable_throughout_from(changed_at) + MAX_AFTER_SILENCE
        } else {
            Micros::MAX
        };
        answered
            .min(missed.unwrap_or(Micros::MAX))
            .min(agent)
            .min(earlier.max(process_start))
    }

    /// From when on the service could tell a change: the end of the outage in which it was made, or the change itself.
    fn reachable_from(&self, changed_at: Micros) -> Micros {
        let outage = self
            .outages
            .iter()
            .find(|outage| outage.0 <= changed_at && changed_at < outage.1);
        outage.map_or(changed_at, |outage| outage.1)
    }

    /// The same for a change that is notified after [`MAX_AFTER_SILENCE`]: no outage may interrupt that time.
    fn reachable_throughout_from(&self, changed_at: Micros) -> Micros {
        let interrupting = self
            .outages
            .iter()
            .filter(|outage| outage.0 < changed_at + MAX_AFTER_SILENCE && changed_at < outage.1);
        interrupting
            .map(|outage| outage.1)
            .max()
            .unwrap_or(changed_at)
    }

    /// When a change counts as notified that was made while the watch of these records was silent; `None` if there was no
    /// silent watch.
    fn missed_change_notified_at<'a, R>(
        &self,
        own_records: &impl Fn() -> R,
        changed_at: Micros,
    ) -> Option<Micros>
    where
        R: Iterator<Item = &'a ServiceRecord>,
    {
        let silent = own_records().filter_map(|n| match n.event {
            Event::Silenced { connection } if n.at <= changed_at => Some((n.at, connection)),
            _ => None,
        });
        let (since, connection) = silent.max()?;
        let polls = own_records().filter_map(|n| match n.event {
            Event::Polled {
                connection: c,
                wait,
            } if c == connection && n.at <= since => Some(n.at + wait),
            _ => None,
        });
        let wait_end = polls.max().unwrap_or(since);
        let notified_at = (since + MAX_AFTER_SILENCE).max(wait_end + MAX_AFTER_WAIT);
        // A service that goes down closes its watches, including silent ones. After that, only an answer notifies the
        // proxy.
        let is_closed = !self.pushed
            && self
                .outages
                .iter()
                .any(|outage| since < outage.1 && outage.0 < notified_at);
        Some(if is_closed { Micros::MAX } else { notified_at })
    }

    /// Describes a request that reached a draining host too late.
    fn describe_late(&self, arrival: &Arrival, proxy: usize, notified_at: Micros) -> String {
        let Arrival { request, host, at } = arrival;
        let after = (at - notified_at) / 1_000;
        let mut text = format!("request {request} reached host {host} {after} ms after proxy {proxy} was notified of its drain");
        let process_start = self.process_start(proxy, *at);
        if process_start > 0 {
            let since = |moment: Micros| (moment - process_start) / 1_000;
            let answered = self.records.iter().find(|record| {
                record.proxy == proxy
                    && record.at >= process_start
                    && matches!(record.event, Event::Answered { .. })
            });
            let answered = answered.map_or("none".to_owned(), |record| {
                format!("{} ms", since(record.at))
            });
            text += &format!(
                ", {} ms after the start of its process; its first answer: {answered} after that",
                since(*at)
            );
        }
        text
    }

    /// Checks the records. `slack` is an allowance for delays on a busy machine.
    pub(super) fn check(&self, slack: Micros) -> Verdict {
        let mut verdict = Verdict {
            arrivals: self.arrivals.len(),
            ..Verdict::default()
        };
        let polls = |n: &&ServiceRecord| matches!(n.event, Event::Polled { .. });
        verdict.questions = self.records.iter().filter(polls).count();
        let mut notified: HashMap<(usize, Micros, u64), Micros> = HashMap::new();
        for arrival in self.arrivals {
            let disconnected_at = self
                .disconnected_at
                .get(&arrival.request)
                .copied()
                .unwrap_or(Micros::MAX);
            if arrival.at > disconnected_at.saturating_add(MAX_AFTER_DISCONNECT + slack) {
                verdict.gone += 1;
                let Arrival { request, host, at } = arrival;
                let after = (at - disconnected_at) / 1_000;
                verdict.first.get_or_insert(format!(
                    "request {request} reached host {host} {after} ms after its client closed the connection"
                ));
            }
            let proxy = arrival
                .request
                .strip_prefix('p')
                .and_then(|r| r.split('-').next()?.parse().ok());
            let Some(proxy) = proxy else { continue };
            let process_start = self.process_start(proxy, arrival.at);
            // When the process was notified of the current drain of the host, and when the drain began.
            let mut draining: Option<(Micros, Micros)> = None;
            for (index, (changed_at, host, status)) in self.changes.iter().enumerate() {
                if *host != arrival.host || *changed_at > arrival.at {
                    continue;
                }
                let version = index as u64 + 1;
                match status {
                    Status::Up(_) => draining = None,
                    Status::Draining => {
                        let notified_at = *notified
                            .entry((proxy, process_start, version))
                            .or_insert_with(|| self.notified_at(proxy, process_start, version));
                        draining = Some((notified_at, *changed_at));
                    }
                }
            }
            let Some((notified_at, changed_at)) = draining else {
                continue;
            };
            verdict.last_ms = verdict.last_ms.max((arrival.at - changed_at) / 1_000);
            if arrival.at > notified_at.saturating_add(self.drain_grace + slack) {
                verdict.late += 1;
                verdict
                    .first
                    .get_or_insert_with(|| self.describe_late(arrival, proxy, notified_at));
            }
        }
        verdict
    }
}

#[cfg(test)]
mod tests;
