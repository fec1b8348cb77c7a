//! The simulated list service, and its endpoint list.

use super::config::SimConfig;
use crate::endpoint_list::{EndpointChange, EndpointEntry};
use crate::peer::PollAnswer;
use crate::Micros;

/// A list service that handles one poll at a time.
#[derive(Debug)]
pub(super) struct ListService {
    /// When the service will have handled all polls in its queue.
    busy_until: Micros,
    /// The index of the newest list.
    index: u64,
}

impl ListService {
    /// Creates a service with the first list.
    pub(super) fn new() -> Self {
        ListService {
            busy_until: 0,
            index: 1,
        }
    }

    /// Changes the list, which gets the next index.
    pub(super) fn change_list(&mut self) {
        self.index += 1;
    }

    /// The index that the service reports, which is an older one during a
    /// [`FaultKind::StaleService`](super::FaultKind::StaleService) fault.
    pub(super) fn index(&self, now: Micros, config: &SimConfig) -> u64 {
        self.index.saturating_sub(config.stale_versions(now)).max(1)
    }

    /// Adds a poll to the queue, and returns when it will have been handled.
    pub(super) fn enqueue(&mut self, now: Micros, config: &SimConfig) -> Micros {
        self.busy_until = self.busy_until.max(now) + config.service_time;
        self.busy_until
    }

    /// The answer to a proxy whose list has the index `known`: the last changes if they suffice, else the complete
    /// list.
    pub(super) fn answer(&self, now: Micros, config: &SimConfig, known: Option<u64>) -> PollAnswer {
        let index = self.index(now, config);
        let (complete, changes) = match known {
            Some(known) if known == index => (false, Vec::new()),
            Some(known) if known + 1 == index => (false, last_changes(config.hosts, index)),
            _ => (true, complete_list(config.hosts, index)),
        };
        PollAnswer {
            complete,
            index,
            changes,
            latency: 0,
            immediate: false,
        }
    }
}

/// The changes that led to this index. At each index one host is draining, which is up again at the next index.
fn last_changes(hosts: usize, index: u64) -> Vec<EndpointChange> {
    let hosts = hosts as u64;
    vec![
        host_entry((index - 1) % hosts, "up"),
        host_entry(index % hosts, "draining"),
    ]
}

/// The complete list with this index.
fn complete_list(hosts: usize, index: u64) -> Vec<EndpointChange> {
    let hosts = hosts as u64;
    let draining = (index > 1).then_some(index % hosts);
    (0..hosts)
        .map(|host| {
            let status = if draining == Some(host) {
                "draining"
            } else {
                "up"
            };
            host_entry(host, status)
        })
        .collect()
}

fn host_entry(host: u64, status: &str) -> EndpointChange {
    EndpointChange {
        name: format!("s-{host}"),
        entry: Some(EndpointEntry {
            address: format!("10.1.0.{host}:80"),
            status: status.to_owned(),
            ..EndpointEntry::default()
        }),
    }
}
