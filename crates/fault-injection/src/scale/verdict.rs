//! Evaluation of the proxies' logs, the admissions of hollow proxies and the clients' attempts.

use super::fleet::{proxy_index, Downtime};
use super::hollow::{Admits, Event, Line as LogLine};
use super::layout::Size;
use crate::checker::StartRecord;
use crate::clients::{Ended, Try};
use badgerramp_policy::{Generation, Micros, Mode};

/// The HTTP status of a rejected call.
const SERVICE_UNAVAILABLE: u16 = 503;

/// When restarted proxies became ready, and when proxies were not healthy.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    /// For each restarted proxy: time from the start until it had both an endpoint list and a lease, in milliseconds.
    pub ready_ms: Vec<u64>,
    /// Restarted proxies that never had both an endpoint list and a lease.
    pub not_ready: usize,
    /// Spans in which a proxy was down or not ready yet: its index, the start and the end.
    pub unhealthy: Vec<(usize, Micros, Micros)>,
}

impl Readiness {
    /// Evaluates the times in which proxies were down, and the logs of the proxies.
    pub fn of(downtimes: &[Downtime], log: impl Fn(usize) -> Vec<LogLine>) -> Readiness {
        let mut readiness = Readiness::default();
        for downtime in downtimes {
            let Some(started) = downtime.until else {
                readiness
                    .unhealthy
                    .push((downtime.proxy, downtime.from, Micros::MAX));
                continue;
            };
            let next = downtimes
                .iter()
                .filter(|d| d.proxy == downtime.proxy && d.from > started)
                .map(|d| d.from)
                .min();
            match ready_at(&log(downtime.proxy), started, next.unwrap_or(Micros::MAX)) {
                Some(at) => {
                    readiness.ready_ms.push((at - started) / 1_000);
                    readiness
                        .unhealthy
                        .push((downtime.proxy, downtime.from, at));
                }
                None => {
                    readiness.not_ready += 1;
                    readiness
                        .unhealthy
                        .push((downtime.proxy, downtime.from, Micros::MAX));
                }
            }
        }
        readiness.ready_ms.sort_unstable();
        readiness
    }

    /// Whether a proxy was healthy during a whole span.
    pub fn is_healthy(&self, proxy: usize, from: Micros, until: Micros) -> bool {
        !self
            .unhealthy
            .iter()
            .any(|span| span.0 == proxy && span.1 <= until && from <= span.2)
    }
}

/// Rejections by healthy proxies.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    /// By region: calls rejected by real proxies, plus spans in which hollow proxies admitted nothing.
    pub by_region: Vec<usize>,
    /// Spans in which hollow proxies admitted nothing.
    pub hollow: usize,
}

impl Rejections {
    /// Counts the rejected attempts of clients, and these spans in which hollow proxies admitted nothing.
    pub fn of(
        size: &Size,
        attempts: &[Try],
        denied_spans: &[(usize, Micros, Micros)],
        readiness: &Readiness,
    ) -> Rejections {
        let mut rejections = Rejections {
            by_region: vec![0; size.regions],
            hollow: 0,
        };
        let attempts = attempts
            .iter()
            .filter(|t| t.ended == Ended::Status(SERVICE_UNAVAILABLE));
        for attempt in attempts.filter(|t| readiness.is_healthy(t.proxy, t.from, t.until)) {
            rejections.by_region[size.proxy(attempt.proxy).region] += 1;
        }
        for span in denied_spans
            .iter()
            .filter(|span| readiness.is_healthy(span.0, span.1, span.2))
        {
            rejections.by_region[size.proxy(span.0).region] += 1;
            rejections.hollow += 1;
        }
        rejections
    }
}

/// When a proxy that started at `from` had both an endpoint list and a lease.
fn ready_at(log: &[LogLine], from: Micros, until: Micros) -> Option<Micros> {
    let first = |text: &str| {
        let matching = |(at, line): &&LogLine| *at >= from && *at < until && line.contains(text);
        log.iter().find(matching).map(|(at, _)| *at)
    };
    Some(first("endpoint list received")?.max(first("\"policy: ")?))
}

/// The admissions of hollow proxies as started calls: one at the first and one at the last check of each span.
pub fn started_calls(events: &[Event]) -> Vec<StartRecord> {
    let mut starts = Vec::new();
    for event in events {
        let Event::Admitted {
            proxy,
            admits: Admits::Under { old, new },
            from,
            until,
        } = event
        else {
            continue;
        };
        let Some(proxy) = proxy_index(proxy) else {
            continue;
        };
        let mode = Mode {
            revision: 0,
            old: Generation(*old),
            new: Generation(*new),
        };
        let request = format!("admission check of p{proxy}");
        let start = |at| StartRecord {
            at,
            proxy,
            mode,
            floor: false,
            request: request.clone(),
        };
        starts.extend([start(*from), start(*until)]);
    }
    starts
}

/// Spans in which a hollow proxy admitted nothing: the index of the proxy, the start and the end.
pub fn denied_spans(events: &[Event]) -> Vec<(usize, Micros, Micros)> {
    let span = |event: &Event| match event {
        Event::Admitted {
            proxy,
            admits: Admits::Nothing,
            from,
            until,
        } => Some((proxy_index(proxy)?, *from, *until)),
        _ => None,
    };
    events.iter().filter_map(span).collect()
}
