//! When each proxy counts as told, and what it sent after that.

use super::service::{Note, Status, What};
use crate::hosts::Arrival;
use badgerramp_policy::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// What a silent watch misses counts as told so long after it fell silent, and after its wait (the protocol's figures,
/// written down here anew so that the program's own are held against them).
const AFTER_SILENCE: Micros = 6_000_000;
const AFTER_WAIT: Micros = 2_000_000;
/// A client that has left has gone: nothing is sent for it that begins so much later.
const AFTER_GONE: Micros = 100_000;

/// The histories of a course.
pub(super) struct Histories<'a> {
    /// Of the service.
    pub notes: &'a [Note],
    /// Each version: when, which host, what it is.
    pub log: &'a [(Micros, usize, Status)],
    /// Of the hosts.
    pub arrivals: &'a [Arrival],
    /// Sends must end so long after the drain is told.
    pub grace: Micros,
    /// Lists are pushed: what the agent has counts as told, but for what a silent watch misses.
    pub pushed: bool,
    /// Times in which the service was down.
    pub down: &'a [(Micros, Micros)],
    /// When clients left that did not wait for their answers, by request.
    pub left: &'a HashMap<String, Micros>,
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
    fn told(&self, proxy: usize, version: u64) -> Micros {
        let made = self.log[version as usize - 1].0;
        let own = || self.notes.iter().filter(|n| n.proxy == proxy);
        let wrote = own().filter(|n| {
            n.at >= made && matches!(n.what, What::Wrote { version: v, .. } if v >= version)
        });
        let wrote = wrote.map(|n| n.at).next().unwrap_or(Micros::MAX);
        // The watch that was silent when this version was made, if there is one.
        let silent = own().filter_map(|n| match n.what {
            What::Silent { connection } if n.at <= made => Some((n.at, connection)),
            _ => None,
        });
        let silent = silent.max().map(|(since, connection)| {
            let asked = own().filter_map(|n| match n.what {
                What::Asked {
                    connection: c,
                    wait,
                } if c == connection && n.at <= since => Some(n.at + wait),
                _ => None,
            });
            let over = asked.max().unwrap_or(since);
            let told = (since + AFTER_SILENCE).max(over + AFTER_WAIT);
            // A service that goes down ends its watches, the silent ones as well; then only what it writes is told.
            if !self.pushed && self.down.iter().any(|d| since < d.1 && d.0 < told) {
                Micros::MAX
            } else {
                told
            }
        });
        let agent = match silent {
            None if self.pushed => {
                let down = self.down.iter().find(|d| d.0 <= made && made < d.1);
                down.map_or(made, |d| d.1)
            }
            _ => Micros::MAX,
        };
        wrote.min(silent.unwrap_or(Micros::MAX)).min(agent)
    }

    /// The verdict; `slack` is for the ways of a busy machine.
    pub(super) fn judge(&self, slack: Micros) -> Verdict {
        let mut verdict = Verdict {
            arrivals: self.arrivals.len(),
            ..Verdict::default()
        };
        let asked = |n: &&Note| matches!(n.what, What::Asked { .. });
        verdict.questions = self.notes.iter().filter(asked).count();
        let mut known: HashMap<(usize, u64), Micros> = HashMap::new();
        for arrival in self.arrivals {
            let left = self
                .left
                .get(&arrival.request)
                .copied()
                .unwrap_or(Micros::MAX);
            if arrival.at > left.saturating_add(AFTER_GONE + slack) {
                verdict.gone += 1;
                let Arrival { request, host, at } = arrival;
                let after = (at - left) / 1_000;
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
            for (place, (made, host, status)) in self.log.iter().enumerate() {
                if *host != arrival.host || *made > arrival.at {
                    continue;
                }
                let version = place as u64 + 1;
                match status {
                    Status::Up(_) => draining = None,
                    Status::Draining => {
                        let told = *known
                            .entry((proxy, version))
                            .or_insert_with(|| self.told(proxy, version));
                        draining = Some((told, *made));
                    }
                }
            }
            let Some((told, made)) = draining else {
                continue;
            };
            verdict.last_ms = verdict.last_ms.max((arrival.at - made) / 1_000);
            if arrival.at > told.saturating_add(self.grace + slack) {
                verdict.late += 1;
                verdict.first.get_or_insert_with(|| {
                    let after = (arrival.at - told) / 1_000;
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

    fn note(at: Micros, what: What) -> Note {
        Note { at, proxy: 0, what }
    }

    fn judged(notes: &[Note], pushed: bool, down: &[(Micros, Micros)], at: Micros) -> usize {
        let log = [(0, 0, Status::Up(0)), (2 * S, 0, Status::Draining)];
        let arrivals = [Arrival {
            at,
            host: 0,
            request: "p0-1".to_owned(),
        }];
        let left = HashMap::new();
        let histories = Histories {
            notes,
            log: &log,
            arrivals: &arrivals,
            grace: S,
            pushed,
            down,
            left: &left,
        };
        histories.judge(0).late
    }

    #[test]
    fn a_client_that_left_is_gone_a_tenth_of_a_second_later() {
        let left = HashMap::from([("p0-1".to_owned(), S)]);
        let judged = |request: &str, at| {
            let arrivals = [Arrival {
                at,
                host: 0,
                request: request.to_owned(),
            }];
            let (notes, log, down) = (&[], &[], &[]);
            Histories {
                notes,
                log,
                arrivals: &arrivals,
                grace: S,
                pushed: false,
                down,
                left: &left,
            }
            .judge(0)
            .gone
        };
        assert_eq!(
            [
                judged("p0-1", S + 100_000),
                judged("p0-1", S + 100_001),
                judged("p0-2", 9 * S)
            ],
            [0, 1, 0]
        );
    }

    #[test]
    fn what_counts_as_told_goes_by_what_was_written_by_silence_and_by_the_agent() {
        let wrote = [note(
            3 * S,
            What::Wrote {
                connection: 1,
                version: 2,
            },
        )];
        assert_eq!(
            [4 * S, 4 * S + 1].map(|at| judged(&wrote, false, &[], at)),
            [0, 1]
        );
        let silent = |wait| {
            [
                note(
                    S,
                    What::Asked {
                        connection: 1,
                        wait,
                    },
                ),
                note(S + 5, What::Silent { connection: 1 }),
            ]
        };
        assert_eq!(
            [8 * S + 5, 8 * S + 6].map(|at| judged(&silent(2 * S), false, &[], at)),
            [0, 1]
        );
        assert_eq!(
            [14 * S, 14 * S + 1].map(|at| judged(&silent(10 * S), false, &[], at)),
            [0, 1]
        );
        let down = [(S, 5 * S)];
        assert_eq!(
            judged(&silent(2 * S), false, &down, 99 * S),
            0,
            "its watches have ended"
        );
        // The agent is silent while the service is down, and has what it missed when that is over.
        assert_eq!(
            [6 * S, 6 * S + 1].map(|at| judged(&[], true, &down, at)),
            [0, 1]
        );
        assert_eq!(
            judged(&[], false, &[], 99 * S),
            0,
            "told nothing, held to nothing"
        );
    }
}
