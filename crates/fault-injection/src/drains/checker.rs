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
    /// When this version counts as notified to this proxy.
    fn notified_at(&self, proxy: usize, version: u64) -> Micros {
        let changed_at = self.changes[version as usize - 1].0;
        let own_records = || self.records.iter().filter(|n| n.proxy == proxy);
        let answered = own_records().filter(|n| {
            n.at >= changed_at
                && matches!(n.event, Event::Answered { version: v, .. } if v >= version)
        });
        let answered = answered.map(|n| n.at).next().unwrap_or(Micros::MAX);
        // The watch that was silent when this version was published, if there was one.
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
            // A service that goes down closes its watches, including silent ones. After that, only an answer notifies
            // the proxy.
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
                let outage = self
                    .outages
                    .iter()
                    .find(|d| d.0 <= changed_at && changed_at < d.1);
                outage.map_or(changed_at, |d| d.1)
            }
            _ => Micros::MAX,
        };
        answered.min(silent.unwrap_or(Micros::MAX)).min(agent)
    }

    /// Checks the records. `slack` is an allowance for delays on a busy machine.
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
                    "request {request} reached host {host} {after} ms after its client closed the connection"
                ));
            }
            let proxy = arrival
                .request
                .strip_prefix('p')
                .and_then(|r| r.split('-').next()?.parse().ok());
            let Some(proxy) = proxy else { continue };
            // When the proxy was notified of the current drain of the host, and when the drain began.
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
                    format!("request {request} reached host {host} {after} ms after proxy {proxy} was notified of its drain")
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
    fn requests_begin_at_most_100_ms_after_their_client_disconnected() {
        let disconnected_at = HashMap::from([("p0-1".to_owned(), S)]);
        let after_disconnect = |request: &str, at| {
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
                after_disconnect("p0-1", S + 100_000),
                after_disconnect("p0-1", S + 100_001),
                after_disconnect("p0-2", 9 * S)
            ],
            [0, 1, 0]
        );
    }

    #[test]
    fn notification_follows_from_answers_silence_and_the_agent() {
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
            "the outage closed the silent watch"
        );
        // The agent is silent while the service is down, and gets the changes it missed when the service is back.
        assert_eq!(
            [6 * S, 6 * S + 1].map(|at| late_requests(&[], true, &outages, at)),
            [0, 1]
        );
        assert_eq!(
            late_requests(&[], false, &[], 99 * S),
            0,
            "a proxy that was not notified violates nothing"
        );
    }
}
