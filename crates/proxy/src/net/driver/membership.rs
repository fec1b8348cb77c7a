//! Membership: the discovery list, the ids of its hosts, and what a change of it means for their connections.

use super::{Core, Driver};
use crate::net::upstream::AttemptTarget;
use crate::net::upstream::ConnectionPool;
use badgerramp_decisions::{
    settings, CellId, EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Micros,
};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Target of the log lines on odd entries of the list.
const LOG_TARGET: &str = "badgerramp::net::driver";
const STATUS_UP: &str = "up";
const STATUS_REMOVED: &str = "removed";
const KNOWN_STATUSES: [&str; 3] = [STATUS_UP, "draining", STATUS_REMOVED];
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// An entry of the list in discovery's form.
#[derive(Debug, Deserialize)]
pub struct Endpoint {
    pub(in crate::net) name: String,
    #[serde(default)]
    pub(in crate::net) address: String,
    #[serde(default)]
    pub(in crate::net) zone: String,
    #[serde(default, rename = "type")]
    pub(in crate::net) kind: String,
    #[serde(default)]
    pub(in crate::net) group: u32,
    #[serde(default)]
    pub(in crate::net) status: String,
    #[serde(default)]
    pub(in crate::net) weight: f64,
    #[serde(default)]
    pub(in crate::net) since_ms: u64,
}

impl Endpoint {
    /// An endpoint that the operator's file names. `since_ms` is as in the list: Unix time in milliseconds, 0 for long ago.
    pub fn fixed(endpoint: &badgerramp_config::Endpoint, since_ms: u64) -> Self {
        Endpoint {
            name: endpoint.name.clone(),
            address: endpoint.address.to_string(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            group: endpoint.group,
            status: STATUS_UP.to_owned(),
            weight: endpoint.weight,
            since_ms,
        }
    }

    fn has_known_status(&self) -> bool {
        KNOWN_STATUSES.contains(&self.status.as_str())
    }

    /// A host that drains, or whose status is unknown, gets nothing new.
    fn state(&self) -> EndpointStatus {
        match self.status.as_str() {
            STATUS_UP => EndpointStatus::Ready,
            STATUS_REMOVED => EndpointStatus::Removed,
            _ => EndpointStatus::Draining,
        }
    }

    fn warn_of_status(&self) {
        tracing::warn!(
            target: LOG_TARGET,
            "discovery: host {:?} has the status {:?}, allowed are up, draining, removed: nothing new goes there",
            self.name,
            self.status
        );
    }
}

/// The list, or what changed of it.
#[derive(Debug, Deserialize)]
pub struct List {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// A host of the list.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) name: Rc<str>,
    pub(super) address: Option<SocketAddr>,
    pub(super) started: Micros,
    pub(super) state: EndpointStatus,
    /// Identifies a process at an address: connections of an earlier generation are not used.
    pub(super) generation: u64,
    /// Its last entry of the list; kept only where the balancer is told of a subset.
    pub(super) entry: Option<EndpointEntry>,
}

impl Host {
    /// Where attempts at this host go, if it takes calls.
    pub(super) fn target(&self, endpoint: EndpointId) -> Option<AttemptTarget> {
        if self.state != EndpointStatus::Ready {
            return None;
        }
        Some(AttemptTarget {
            endpoint,
            address: self.address?,
            generation: self.generation,
        })
    }
}

impl Driver {
    /// The list, or a change of it, has come from discovery.
    pub fn members(&self, kind: ListUpdateKind, list: &[Endpoint]) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let mut touched = Vec::new();
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::Cached) {
            touched = core.forget_unlisted(list, &self.pool);
        }
        let mut entries = Vec::new();
        for endpoint in list {
            let Some(entry) = core.update_host(endpoint, &self.pool) else {
                continue;
            };
            if core.subset.is_some() {
                touched.push(entry.endpoint.0);
                core.update_subset_candidate(&endpoint.name, &entry);
            }
            if entry.status == EndpointStatus::Removed {
                core.forget(&endpoint.name, &self.pool);
            }
            entries.push(entry);
        }
        if core.subset.is_some() {
            core.list_changed(self.clock.now(), kind, &touched);
        } else {
            core.events.push_back(Event::EndpointList { kind, entries });
        }
        self.run_with(core);
    }

    /// Asking for the list failed, or the watch broke.
    pub fn members_failed(&self) {
        self.event(Event::EndpointList {
            kind: ListUpdateKind::Failed,
            entries: Vec::new(),
        });
    }
}

impl Core {
    /// The id of a host by its name: a new one for an unknown host, unless that has gone as well.
    fn server_id(&mut self, name: &str, state: EndpointStatus) -> Option<EndpointId> {
        if let Some(&server) = self.server_ids.get(name) {
            return Some(server);
        }
        if state == EndpointStatus::Removed {
            return None;
        }
        let (server, name) = (EndpointId(self.next_server), Rc::<str>::from(name));
        self.next_server += 1;
        self.server_ids.insert(Rc::clone(&name), server);
        // Draining until it is known better: whatever its first entry says is a change.
        let host = Host {
            name,
            address: None,
            started: 0,
            state: EndpointStatus::Draining,
            generation: 0,
            entry: None,
        };
        self.hosts.insert(server, host);
        Some(server)
    }

    /// Applies an entry of the list to its host, whose connections are closed or opened as that demands. Returns the
    /// entry in the balancer's form; `None` for an unknown host that has gone.
    fn update_host(&mut self, endpoint: &Endpoint, pool: &ConnectionPool) -> Option<EndpointEntry> {
        let listed_state = endpoint.state();
        let started = endpoint.since_ms.saturating_mul(MICROS_PER_MILLISECOND);
        let server = self.server_id(&endpoint.name, listed_state)?;
        let host = self.hosts.get_mut(&server)?;
        if !endpoint.has_known_status()
            && (host.generation == 0 || host.state == EndpointStatus::Ready)
        {
            endpoint.warn_of_status();
        }
        let last_address = host
            .address
            .filter(|_| listed_state != EndpointStatus::Ready);
        let address = endpoint.address.parse().ok().or(last_address);
        // Nothing can go to a host whose address is unknown.
        let without_address = listed_state == EndpointStatus::Ready && address.is_none();
        let state = if without_address {
            EndpointStatus::Draining
        } else {
            listed_state
        };
        // The same name with a new start is a new process, and a new address is another way to it: open connections
        // lead to the old one.
        if state != EndpointStatus::Ready {
            pool.remove_endpoint(server);
        } else if host.state != EndpointStatus::Ready
            || address != host.address
            || started != host.started
        {
            host.generation = self.next_generation;
            self.next_generation += 1;
            pool.add_endpoint(server, host.generation);
        }
        (host.state, host.address, host.started) = (state, address, started);
        let entry = EndpointEntry {
            endpoint: server,
            status: state,
            zone: settings::zone_id(&endpoint.zone),
            cell: CellId(endpoint.group),
            kind: settings::kind_id(&endpoint.kind),
            weight: endpoint.weight,
            started,
        };
        host.entry = self.subset.is_some().then_some(entry);
        Some(entry)
    }

    /// Forgets the hosts that a whole list does not name; returns their ids.
    fn forget_unlisted(&mut self, list: &[Endpoint], pool: &ConnectionPool) -> Vec<u32> {
        let listed: HashSet<&str> = list.iter().map(|endpoint| endpoint.name.as_str()).collect();
        let unlisted = self
            .server_ids
            .iter()
            .filter(|(name, _)| !listed.contains(&***name));
        let unlisted: Vec<_> = unlisted
            .map(|(name, server)| (Rc::clone(name), server.0))
            .collect();
        for (name, _) in &unlisted {
            self.forget(name, pool);
        }
        unlisted.into_iter().map(|(_, server)| server).collect()
    }

    /// Forgets a host and its id, and closes its connections.
    fn forget(&mut self, name: &str, pool: &ConnectionPool) {
        if let Some(server) = self.server_ids.remove(name) {
            self.hosts.remove(&server);
            pool.remove_endpoint(server);
            if let Some(view) = &mut self.subset {
                view.subset.remove(server.0);
            }
        }
    }
}
