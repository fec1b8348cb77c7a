//! The list service, and the list that it serves.

use super::config::SimConfig;
use crate::endpoint_list::{EndpointChange, EndpointEntry};
use crate::peer::PollAnswer;
use crate::Micros;

/// The list service: handles one poll after the other.
#[derive(Debug)]
pub(super) struct ListService {
    /// When it has handled all polls that have arrived.
    busy_until: Micros,
    /// The index of the newest list.
    index: u64,
}

impl ListService {
    /// A service with the first list.
    pub(super) fn new() -> Self {
        ListService {
            busy_until: 0,
            index: 1,
        }
    }

    /// The list changes.
    pub(super) fn change_list(&mut self) {
        self.index += 1;
    }

    /// The index that the service reports, which is an older one while it is stale.
    pub(super) fn index(&self, now: Micros, config: &SimConfig) -> u64 {
        self.index.saturating_sub(config.stale_versions(now)).max(1)
    }

    /// Queues a poll; returns when it has been handled.
    pub(super) fn enqueue(&mut self, now: Micros, config: &SimConfig) -> Micros {
        self.busy_until = self.busy_until.max(now) + config.service_time;
        self.busy_until
    }

    /// The answer to a proxy that has the list of index `known`.
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

/// What changed with this index: each host in its turn is draining, and up again with the next index.
fn last_changes(hosts: usize, index: u64) -> Vec<EndpointChange> {
    let hosts = hosts as u64;
    vec![
        host_entry((index - 1) % hosts, "up"),
        host_entry(index % hosts, "draining"),
    ]
}

/// The list of this index.
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
