//! When each proxy counts as told, and what it sent after that.

use super::service::{Event, ServiceRecord, Status};
use crate::hosts::Arrival;
use badgerramp_policy::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// What a silent watch misses counts as told so long after it fell silent, and after its wait (the protocol's figures,
/// written down here anew so that the program's own are held against them).
const MAX_AFTER_SILENCE: Micros = 6_000_000;
const MAX_AFTER_WAIT: Micros = 2_000_000;
/// A client that has left has gone: nothing is sent for it that begins so much later.
const MAX_AFTER_DISCONNECT: Micros = 100_000;

/// The histories of a course.
pub(super) struct Histories<'a> {
    /// Of the service.
    pub records: &'a [ServiceRecord],
    /// Each version: when, which host, what it is.
    pub changes: &'a [(Micros, usize, Status)],
    /// Of the hosts.
    pub arrivals: &'a [Arrival],
    /// Sends must end so long after the drain is told.
    pub drain_grace: Micros,
    /// Lists are pushed: what the agent has counts as told, but for what a silent watch misses.
    pub pushed: bool,
    /// Times in which the service was down.
    pub outages: &'a [(Micros, Micros)],
    /// When clients left that did not wait for their answers, by request.
    pub disconnected_at: &'a HashMap<String, Micros>,
}

/// What came of a course.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Requests that came to hosts.
    pub arrivals: usize,
    /// Those that came too late to a host that drains.
    pub late: usize,
    /// The first of them, in words.
    pub first: Option<String>,
    /// Latest request at a host that drains, in milliseconds after its drain; what the proxy had been told does not
    /// matter here.
    pub last_ms: u64,
    /// Questions to the service.
    pub questions: usize,
    /// Requests that came to hosts though their clients had left long before.
    pub gone: usize,
}

impl Histories<'_> {
    /// When this version counts as told to this proxy.
    fn notified_at(&self, proxy: usize, version: u64) -> Micros {
        let changed_at = self.changes[version as usize - 1].0;
        let own_records = || self.records.iter().filter(|n| n.proxy == proxy);
        let answered = own_records().filter(|n| {
            n.at >= changed_at
                && matches!(n.event, Event::Answered { version: v, .. } if v >= version)
        });
        let answered = answered.map(|n| n.at).next().unwrap_or(Micros::MAX);
        // The watch that was silent when this version was made, if there is one.
        let silent = own_records().filter_map(|n| match n.event {
            Event::Silenced { connection } if n.at <= changed_at => Some((n.at, connection)),
            _ => None,
        });
        let silent = silent.max().map(|(since, connection)| {
            let polls = own_records().filter_map(|n| match n.event {
                Event::Polled {
                    connection: c,
                    wait,
                } if c == connection && n.at <= since => Some(n.at + wait),
                _ => None,
            });
            let wait_end = polls.max().unwrap_or(since);
            let notified_at = (since + MAX_AFTER_SILENCE).max(wait_end + MAX_AFTER_WAIT);
            // A service that goes down ends its watches, the silent ones as well; then only what it writes is told.
            if !self.pushed
                && self
                    .outages
                    .iter()
                    .any(|d| since < d.1 && d.0 < notified_at)
            {
                Micros::MAX
            } else {
                notified_at
            }
        });
        let agent = match silent {
            None if self.pushed => {
                let outages = self
                    .outages
                    .iter()
                    .find(|d| d.0 <= changed_at && changed_at < d.1);
                outages.map_or(changed_at, |d| d.1)
            }
            _ => Micros::MAX,
        };
        answered.min(silent.unwrap_or(Micros::MAX)).min(agent)
    }

    /// The verdict; `slack` is for the ways of a busy machine.
    pub(super) fn check(&self, slack: Micros) -> Verdict {
        let mut verdict = Verdict {
            arrivals: self.arrivals.len(),
            ..Verdict::default()
        };
        let polls = |n: &&ServiceRecord| matches!(n.event, Event::Polled { .. });
        verdict.questions = self.records.iter().filter(polls).count();
        let mut notified: HashMap<(usize, u64), Micros> = HashMap::new();
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
                    "request {request} came to host {host} {after} ms after its client left"
                ));
            }
            let proxy = arrival
                .request
                .strip_prefix('p')
                .and_then(|r| r.split('-').next()?.parse().ok());
            let Some(proxy) = proxy else { continue };
            // When the drain that holds was told, and made.
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
                            .entry((proxy, version))
                            .or_insert_with(|| self.notified_at(proxy, version));
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
                verdict.first.get_or_insert_with(|| {
                    let after = (arrival.at - notified_at) / 1_000;
                    let Arrival { request, host, .. } = arrival;
                    format!("request {request} came to host {host} {after} ms after proxy {proxy} was told of its drain")
                });
            }
        }
        verdict
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn record(at: Micros, event: Event) -> ServiceRecord {
        ServiceRecord {
            at,
            proxy: 0,
            event,
        }
    }

    fn late_requests(
        records: &[ServiceRecord],
        pushed: bool,
        outages: &[(Micros, Micros)],
        at: Micros,
    ) -> usize {
        let changes = [(0, 0, Status::Up(0)), (2 * S, 0, Status::Draining)];
        let arrivals = [Arrival {
            at,
            host: 0,
            request: "p0-1".to_owned(),
        }];
        let disconnected_at = HashMap::new();
        let histories = Histories {
            records,
            changes: &changes,
            arrivals: &arrivals,
            drain_grace: S,
            pushed,
            outages,
            disconnected_at: &disconnected_at,
        };
        histories.check(0).late
    }

    #[test]
    fn a_client_that_left_is_gone_a_tenth_of_a_second_later() {
        let disconnected_at = HashMap::from([("p0-1".to_owned(), S)]);
        let late_requests = |request: &str, at| {
            let arrivals = [Arrival {
                at,
                host: 0,
                request: request.to_owned(),
            }];
            let (records, changes, outages) = (&[], &[], &[]);
            Histories {
                records,
                changes,
                arrivals: &arrivals,
                drain_grace: S,
                pushed: false,
                outages,
                disconnected_at: &disconnected_at,
            }
            .check(0)
            .gone
        };
        assert_eq!(
            [
                late_requests("p0-1", S + 100_000),
                late_requests("p0-1", S + 100_001),
                late_requests("p0-2", 9 * S)
            ],
            [0, 1, 0]
        );
    }

    #[test]
    fn what_counts_as_told_goes_by_what_was_written_by_silence_and_by_the_agent() {
        let answered = [record(
            3 * S,
            Event::Answered {
                connection: 1,
                version: 2,
            },
        )];
        assert_eq!(
            [4 * S, 4 * S + 1].map(|at| late_requests(&answered, false, &[], at)),
            [0, 1]
        );
        let silent = |wait| {
            [
                record(
                    S,
                    Event::Polled {
                        connection: 1,
                        wait,
                    },
                ),
                record(S + 5, Event::Silenced { connection: 1 }),
            ]
        };
        assert_eq!(
            [8 * S + 5, 8 * S + 6].map(|at| late_requests(&silent(2 * S), false, &[], at)),
            [0, 1]
        );
        assert_eq!(
            [14 * S, 14 * S + 1].map(|at| late_requests(&silent(10 * S), false, &[], at)),
            [0, 1]
        );
        let outages = [(S, 5 * S)];
        assert_eq!(
            late_requests(&silent(2 * S), false, &outages, 99 * S),
            0,
            "its watches have ended"
        );
        // The agent is silent while the service is down, and has what it missed when that is over.
        assert_eq!(
            [6 * S, 6 * S + 1].map(|at| late_requests(&[], true, &outages, at)),
            [0, 1]
        );
        assert_eq!(
            late_requests(&[], false, &[], 99 * S),
            0,
            "told nothing, held to nothing"
        );
    }
}
