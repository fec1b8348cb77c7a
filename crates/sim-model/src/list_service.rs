//! The list service: a log of what changed, told late, by a service of fixed capacity that may fall silent, fail, or go
//! back to an older list.

use crate::scenario::{Fault, FaultKind, ListSpec};
use crate::Micros;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// Place of the host.
    pub host: usize,
    /// 0: takes calls; 1: drains; 2: gone.
    pub state: u8,
    /// When its process started; 0: long ago.
    pub started_at: Micros,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListResponse {
    /// The whole list, as of this version.
    Full(u64, Vec<ListEntry>),
    /// What changed up to this version.
    Changes(u64, Vec<ListEntry>),
    /// Nothing has changed since: wait for [`ListService::next`].
    Unchanged,
    /// It failed.
    Failed,
    /// No answer comes.
    NoResponse,
}

/// The service. Versions count changes from 1.
#[derive(Clone, Debug)]
pub struct ListService {
    spec: ListSpec,
    faults: Vec<Fault>,
    /// Each change and when it is listed.
    log: Vec<(Micros, ListEntry)>,
    /// When it is free for the next question.
    free: Micros,
    /// Questions asked.
    pub request_count: u64,
}

impl ListService {
    /// A service that lists these from the beginning.
    pub fn new(spec: ListSpec, faults: &[Fault], first: Vec<ListEntry>) -> Self {
        let concerns = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::ListServiceSilent
                    | FaultKind::ListServiceErrors
                    | FaultKind::ListServiceStale { .. }
            )
        };
        ListService {
            spec,
            faults: faults.iter().filter(concerns).copied().collect(),
            log: first.into_iter().map(|e| (0, e)).collect(),
            free: 0,
            request_count: 0,
        }
    }

    /// A change happens now; it is listed later, and never before one that happened earlier.
    pub fn record_change(&mut self, now: Micros, entry: ListEntry) {
        let earliest = self.log.last().map_or(0, |l| l.0);
        self.log
            .push(((now + self.spec.publish_delay).max(earliest), entry));
    }

    /// Versions listed by now. An older list is one of the past.
    fn version(&self, now: Micros) -> usize {
        let back = self
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until)
            .map(|f| match f.kind {
                FaultKind::ListServiceStale { age: by } => by,
                _ => 0,
            });
        let at = now.saturating_sub(back.max().unwrap_or(0));
        self.log.partition_point(|l| l.0 <= at)
    }

    /// The service takes up a question; when the answer leaves it.
    pub fn accept_request(&mut self, now: Micros) -> Micros {
        self.request_count += 1;
        let cost = (1e6 / self.spec.requests_per_s.max(1e-3)) as Micros;
        self.free = self.free.max(now) + cost;
        self.free
    }

    /// A question that nobody waits for any more.
    pub fn request_timeout(&self) -> Micros {
        self.spec.request_timeout
    }

    /// The answer that leaves now for one that knows `known` (None: nothing).
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
                let news = self.log[known as usize..version]
                    .iter()
                    .map(|l| l.1)
                    .collect();
                ListResponse::Changes(version as u64, news)
            }
            // Nothing known, or an index that this list has not reached.
            _ => ListResponse::Full(version as u64, whole(&self.log[..version])),
        }
    }

    /// When something that is not known to one who knows `known` is listed; None: nothing yet.
    pub fn next_change(&self, known: u64) -> Option<Micros> {
        self.log.get(known as usize).map(|l| l.0)
    }

    /// When each change was listed.
    pub fn changes(&self) -> impl Iterator<Item = (Micros, ListEntry)> + '_ {
        self.log.iter().copied()
    }
}

fn whole(log: &[(Micros, ListEntry)]) -> Vec<ListEntry> {
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
    fn changes_come_late_and_in_order_and_an_older_list_is_one_of_the_past() {
        let spec = ListSpec {
            publish_delay: 100,
            requests_per_s: 1e6,
            request_timeout: 1_000,
        };
        let old = Fault {
            from: 500,
            until: 600,
            kind: FaultKind::ListServiceStale { age: 450 },
        };
        let silent = Fault {
            from: 700,
            until: 800,
            kind: FaultKind::ListServiceSilent,
        };
        let mut list = ListService::new(spec, &[old, silent], vec![entry(0, 0), entry(1, 0)]);
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
        // Who knows more than the service does is given the whole list that it has.
        assert_eq!(
            list.respond(550, Some(4)),
            ListResponse::Full(2, vec![entry(0, 0), entry(1, 0)])
        );
        assert_eq!(list.respond(750, Some(4)), ListResponse::NoResponse);
        assert_eq!(list.respond(900, Some(4)), ListResponse::Unchanged);
    }

    #[test]
    fn questions_beyond_its_capacity_wait() {
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
