//! What broke, out of what the proxies' logs, the hollow proxies' admissions and the clients tell.

use super::fleet::{proxy_named, Down};
use super::hollow::{Admits, Event, Line as LogLine};
use super::layout::Size;
use crate::checker::StartRecord;
use crate::clients::{Ended, Try};
use badgerramp_policy::{Generation, Micros, Mode};

/// The status of a refusal.
const SERVICE_UNAVAILABLE: u16 = 503;

/// When a proxy that was started again could take calls, and what kept others.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// From the start to list and lease, in milliseconds.
    pub ready_ms: Vec<u64>,
    /// Proxies that were started again and never got there.
    pub not_ready: usize,
    /// Spans in which proxies were down or not ready yet.
    pub unwell: Vec<(usize, Micros, Micros)>,
}

impl Ready {
    /// From the spans in which proxies did not run, and their logs from then on.
    pub fn of(downs: &[Down], log: impl Fn(usize) -> Vec<LogLine>) -> Ready {
        let mut ready = Ready::default();
        for down in downs {
            let Some(started) = down.until else {
                ready.unwell.push((down.proxy, down.from, Micros::MAX));
                continue;
            };
            let next = downs
                .iter()
                .filter(|d| d.proxy == down.proxy && d.from > started)
                .map(|d| d.from)
                .min();
            match ready_at(&log(down.proxy), started, next.unwrap_or(Micros::MAX)) {
                Some(at) => {
                    ready.ready_ms.push((at - started) / 1_000);
                    ready.unwell.push((down.proxy, down.from, at));
                }
                None => {
                    ready.not_ready += 1;
                    ready.unwell.push((down.proxy, down.from, Micros::MAX));
                }
            }
        }
        ready.ready_ms.sort_unstable();
        ready
    }

    /// Was this proxy well all through a span?
    pub fn well(&self, proxy: usize, from: Micros, until: Micros) -> bool {
        !self
            .unwell
            .iter()
            .any(|u| u.0 == proxy && u.1 <= until && from <= u.2)
    }
}

/// What proxies refused though they were well.
#[derive(Clone, Debug, Default)]
pub struct Refused {
    /// Calls that real proxies refused and spans in which hollow ones admitted nothing, by region.
    pub by_region: Vec<usize>,
    /// Those spans.
    pub hollow: usize,
}

impl Refused {
    /// Counts the tries of clients that were refused, and these spans of hollow proxies.
    pub fn of(
        size: &Size,
        tries: &[Try],
        closed: &[(usize, Micros, Micros)],
        ready: &Ready,
    ) -> Refused {
        let mut refused = Refused {
            by_region: vec![0; size.regions],
            hollow: 0,
        };
        let tries = tries
            .iter()
            .filter(|t| t.ended == Ended::Status(SERVICE_UNAVAILABLE));
        for done in tries.filter(|t| ready.well(t.proxy, t.from, t.until)) {
            refused.by_region[size.proxy(done.proxy).region] += 1;
        }
        for span in closed
            .iter()
            .filter(|span| ready.well(span.0, span.1, span.2))
        {
            refused.by_region[size.proxy(span.0).region] += 1;
            refused.hollow += 1;
        }
        refused
    }
}

/// When a proxy that started at `from` had both its list and a lease.
fn ready_at(log: &[LogLine], from: Micros, until: Micros) -> Option<Micros> {
    let first = |words: &str| {
        let told = |(at, line): &&LogLine| *at >= from && *at < until && line.contains(words);
        log.iter().find(told).map(|(at, _)| *at)
    };
    Some(first("endpoint list received")?.max(first("\"policy: ")?))
}

/// What the hollow proxies admitted: as calls that began at the first and at the last look at each.
pub fn begun(events: &[Event]) -> Vec<StartRecord> {
    let mut lines = Vec::new();
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
        let Some(proxy) = proxy_named(proxy) else {
            continue;
        };
        let mode = Mode {
            revision: 0,
            old: Generation(*old),
            new: Generation(*new),
        };
        let request = format!("a look at p{proxy}");
        let line = |at| StartRecord {
            at,
            proxy,
            mode,
            floor: false,
            request: request.clone(),
        };
        lines.extend([line(*from), line(*until)]);
    }
    lines
}

/// Spans in which a hollow proxy admitted nothing: who, from when, until when.
pub fn closed(events: &[Event]) -> Vec<(usize, Micros, Micros)> {
    let span = |event: &Event| match event {
        Event::Admitted {
            proxy,
            admits: Admits::Nothing,
            from,
            until,
        } => Some((proxy_named(proxy)?, *from, *until)),
        _ => None,
    };
    events.iter().filter_map(span).collect()
}
