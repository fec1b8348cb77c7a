//! The list service: a log of host changes that are published with a delay, served with a limited request rate. Faults
//! make the service silent, make it fail, or make it serve an older list.

use crate::scenario::{Fault, FaultKind, ListSpec};
use crate::Micros;

/// The list's entry of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// Index of the host.
    pub host: usize,
    /// 0: takes calls; 1: draining; 2: removed.
    pub state: u8,
    /// Time at which the host's process started; 0: long before the load begins.
    pub started_at: Micros,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListResponse {
    /// The full list at this version.
    Full(u64, Vec<ListEntry>),
    /// The changes from the version that the request named up to this version.
    Changes(u64, Vec<ListEntry>),
    /// Nothing has changed since: wait until [`ListService::next_change`].
    Unchanged,
    /// The request failed.
    Failed,
    /// There is no response.
    NoResponse,
}

/// The list service. A version is the number of changes that have been published.
#[derive(Clone, Debug)]
pub struct ListService {
    spec: ListSpec,
    faults: Vec<Fault>,
    /// Each change with the time at which it is published.
    log: Vec<(Micros, ListEntry)>,
    /// Time at which the service can start on the next request.
    idle_at: Micros,
    /// Number of requests so far.
    pub request_count: u64,
}

impl ListService {
    /// A service whose list has these entries from the beginning.
    pub fn new(spec: ListSpec, faults: &[Fault], first: Vec<ListEntry>) -> Self {
        let affects_list = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::ListServiceSilent
                    | FaultKind::ListServiceErrors
                    | FaultKind::ListServiceStale { .. }
            )
        };
        ListService {
            spec,
            faults: faults.iter().filter(affects_list).copied().collect(),
            log: first.into_iter().map(|e| (0, e)).collect(),
            idle_at: 0,
            request_count: 0,
        }
    }

    /// Records a change that happens now. It is published after the delay, and never before an earlier change.
    pub fn record_change(&mut self, now: Micros, entry: ListEntry) {
        let earliest = self.log.last().map_or(0, |l| l.0);
        self.log
            .push(((now + self.spec.publish_delay).max(earliest), entry));
    }

    /// The version that is served now. With a stale list, it is the version of an earlier time.
    fn version(&self, now: Micros) -> usize {
        let age = self
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until)
            .map(|f| match f.kind {
                FaultKind::ListServiceStale { age: by } => by,
                _ => 0,
            });
        let at = now.saturating_sub(age.max().unwrap_or(0));
        self.log.partition_point(|l| l.0 <= at)
    }

    /// Accepts a request and returns the time at which its response is sent.
    pub fn accept_request(&mut self, now: Micros) -> Micros {
        self.request_count += 1;
        let cost = (1e6 / self.spec.requests_per_s.max(1e-3)) as Micros;
        self.idle_at = self.idle_at.max(now) + cost;
        self.idle_at
    }

    /// Time after which a client gives up on a request.
    pub fn request_timeout(&self) -> Micros {
        self.spec.request_timeout
    }

    /// The response that is sent now to a client that has the version `known` (None: no list yet).
    pub fn respond(&self, now: Micros, known: Option<u64>) -> ListResponse {
        for fault in self
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until)
        {
            match fault.kind {
                FaultKind::ListServiceSilent => return ListResponse::NoResponse,
                FaultKind::ListServiceErrors => return ListResponse::Failed,
                _ => {}
            }
        }
        let version = self.version(now);
        match known {
            Some(known) if known as usize == version => ListResponse::Unchanged,
            Some(known) if (known as usize) < version => {
                let changes = self.log[known as usize..version]
                    .iter()
                    .map(|l| l.1)
                    .collect();
                ListResponse::Changes(version as u64, changes)
            }
            // The client has no list, or a version that this list has not reached.
            _ => ListResponse::Full(version as u64, full_list(&self.log[..version])),
        }
    }

    /// The time at which the first change after the version `known` is published; None: there is none so far.
    pub fn next_change(&self, known: u64) -> Option<Micros> {
        self.log.get(known as usize).map(|l| l.0)
    }

    /// All changes with the times at which they are published.
    pub fn changes(&self) -> impl Iterator<Item = (Micros, ListEntry)> + '_ {
        self.log.iter().copied()
    }
}

/// The latest entry of each host that has not been removed.
fn full_list(log: &[(Micros, ListEntry)]) -> Vec<ListEntry> {
    let mut all: std::collections::BTreeMap<usize, ListEntry> = std::collections::BTreeMap::new();
    for (_, entry) in log {
        all.insert(entry.host, *entry);
    }
    all.into_values().filter(|e| e.state < 2).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: usize, state: u8) -> ListEntry {
        ListEntry {
            host,
            state,
            started_at: 0,
        }
    }

    #[test]
    fn changes_are_published_late_and_in_order_and_a_stale_list_is_an_earlier_version() {
        let spec = ListSpec {
            publish_delay: 100,
            requests_per_s: 1e6,
            request_timeout: 1_000,
        };
        let stale = Fault {
            from: 500,
            until: 600,
            kind: FaultKind::ListServiceStale { age: 450 },
        };
        let silent = Fault {
            from: 700,
            until: 800,
            kind: FaultKind::ListServiceSilent,
        };
        let mut list = ListService::new(spec, &[stale, silent], vec![entry(0, 0), entry(1, 0)]);
        assert_eq!(
            list.respond(0, None),
            ListResponse::Full(2, vec![entry(0, 0), entry(1, 0)])
        );
        list.record_change(50, entry(1, 1));
        assert_eq!(
            (list.respond(149, Some(2)), list.next_change(2)),
            (ListResponse::Unchanged, Some(150))
        );
        assert_eq!(
            list.respond(150, Some(2)),
            ListResponse::Changes(3, vec![entry(1, 1)])
        );
        list.record_change(200, entry(1, 2));
        assert_eq!(
            list.respond(400, None),
            ListResponse::Full(4, vec![entry(0, 0)])
        );
        // A client with a newer version than the served one gets the full list of the served version.
        assert_eq!(
            list.respond(550, Some(4)),
            ListResponse::Full(2, vec![entry(0, 0), entry(1, 0)])
        );
        assert_eq!(list.respond(750, Some(4)), ListResponse::NoResponse);
        assert_eq!(list.respond(900, Some(4)), ListResponse::Unchanged);
    }

    #[test]
    fn requests_beyond_the_capacity_wait() {
        let spec = ListSpec {
            publish_delay: 0,
            requests_per_s: 10.0,
            request_timeout: 1_000_000,
        };
        let mut list = ListService::new(spec, &[], Vec::new());
        assert_eq!(
            [
                list.accept_request(0),
                list.accept_request(0),
                list.accept_request(1_000_000)
            ],
            [100_000, 200_000, 1_100_000]
        );
    }
}
