//! Membership: applies the endpoint list, assigns endpoint ids, and opens or closes endpoints to connections.

use super::{Core, Driver};
use crate::net::memory_budget::ENDPOINT_COST;
use crate::net::upstream::AttemptTarget;
use crate::net::upstream::ConnectionPool;
use crate::net::Reservation;
use badgerramp_decisions::{
    settings, CellId, EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Micros,
};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Log target of warnings about invalid entries of the list.
const LOG_TARGET: &str = "badgerramp::net::driver";
const STATUS_UP: &str = "up";
const STATUS_REMOVED: &str = "removed";
const KNOWN_STATUSES: [&str; 3] = [STATUS_UP, "draining", STATUS_REMOVED];
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// An entry of the endpoint list, as the list service sends it.
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
    /// An entry for an endpoint from the operator's file. `since_ms` is the start time of the endpoint in milliseconds
    /// of Unix time, as in the list; 0 for an endpoint that has been running for long.
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

    /// The status for the balancer. An endpoint with an unknown status is treated as draining, so that it receives no
    /// new calls.
    fn endpoint_status(&self) -> EndpointStatus {
        match self.status.as_str() {
            STATUS_UP => EndpointStatus::Ready,
            STATUS_REMOVED => EndpointStatus::Removed,
            _ => EndpointStatus::Draining,
        }
    }

    fn warn_unknown_status(&self) {
        tracing::warn!(
            target: LOG_TARGET,
            "discovery: endpoint {:?} has the unknown status {:?}, allowed are up, draining, removed; it receives no new calls",
            self.name,
            self.status
        );
    }
}

/// A response of the list service: the complete list, or the changes since an index.
#[derive(Debug, Deserialize)]
pub struct List {
    /// The index of the list: the next poll requests the changes after it.
    pub index: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries of the list, or those that changed.
    pub endpoints: Vec<Endpoint>,
    /// The memory of the list while it is read and applied.
    #[serde(skip)]
    pub(in crate::net) memory: Option<Reservation>,
}

/// The state of a listed endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) name: Rc<str>,
    pub(super) address: Option<SocketAddr>,
    pub(super) started: Micros,
    pub(super) status: EndpointStatus,
    /// Identifies the process at the address: connections of an earlier generation are not used.
    pub(super) generation: u64,
    /// The last entry of the list.
    pub(super) entry: Option<EndpointEntry>,
}

impl EndpointState {
    /// The target for attempts; `None` if the endpoint accepts no calls or its address is unknown.
    pub(super) fn target(&self, endpoint: EndpointId) -> Option<AttemptTarget> {
        if self.status != EndpointStatus::Ready {
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
    /// Applies the endpoint list or changes to it.
    pub fn apply_endpoint_list(&self, kind: ListUpdateKind, list: &[Endpoint]) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let mut changed = Vec::new();
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::Cached) {
            changed = core.forget_unlisted(list, &self.pool);
        }
        let mut entries = Vec::new();
        for endpoint in list {
            let Some(entry) = core.update_endpoint(endpoint, &self.pool) else {
                continue;
            };
            if core.subset.is_some() {
                changed.push(entry.endpoint.0);
                core.update_subset_candidate(&endpoint.name, &entry);
            }
            if entry.status == EndpointStatus::Removed {
                core.forget(&endpoint.name, &self.pool);
            }
            entries.push(entry);
        }
        for (name, entry) in core.close_replaced_endpoints(&self.pool) {
            core.update_subset_candidate(&name, &entry);
            changed.push(entry.endpoint.0);
            entries.push(entry);
        }
        core.list_memory
            .resize(core.endpoints.len() * ENDPOINT_COST);
        if core.subset.is_some() {
            core.apply_list_change(self.clock.now(), kind, &changed);
        } else {
            core.events.push_back(Event::EndpointList { kind, entries });
        }
        self.run_with(core);
    }

    /// Tells the balancer that the list service can't be reached.
    pub fn endpoint_list_failed(&self) {
        self.handle_event(Event::EndpointList {
            kind: ListUpdateKind::Failed,
            entries: Vec::new(),
        });
    }
}

impl Core {
    /// The id of the endpoint with this name. An unknown endpoint is registered under a new id, unless its status is
    /// `Removed`.
    fn endpoint_id(&mut self, name: &str, status: EndpointStatus) -> Option<EndpointId> {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return Some(id);
        }
        if status == EndpointStatus::Removed {
            return None;
        }
        let (id, name) = (EndpointId(self.next_endpoint_id), Rc::<str>::from(name));
        self.next_endpoint_id += 1;
        self.endpoint_ids.insert(Rc::clone(&name), id);
        // Draining until its first entry is applied, so that the entry counts as a change if it is ready.
        let state = EndpointState {
            name,
            address: None,
            started: 0,
            status: EndpointStatus::Draining,
            generation: 0,
            entry: None,
        };
        self.endpoints.insert(id, state);
        Some(id)
    }

    /// Applies an entry of the list, and opens or closes the endpoint to connections accordingly. Returns the entry in
    /// the balancer's form; `None` if an unknown endpoint was removed.
    fn update_endpoint(
        &mut self,
        endpoint: &Endpoint,
        pool: &ConnectionPool,
    ) -> Option<EndpointEntry> {
        let listed_status = endpoint.endpoint_status();
        let started = endpoint.since_ms.saturating_mul(MICROS_PER_MILLISECOND);
        let id = self.endpoint_id(&endpoint.name, listed_status)?;
        let state = self.endpoints.get_mut(&id)?;
        if !endpoint.has_known_status()
            && (state.generation == 0 || state.status == EndpointStatus::Ready)
        {
            endpoint.warn_unknown_status();
        }
        let last_address = state
            .address
            .filter(|_| listed_status != EndpointStatus::Ready);
        let address = endpoint.address.parse().ok().or(last_address);
        // An endpoint whose address is unknown can't receive calls.
        let lacks_address = listed_status == EndpointStatus::Ready && address.is_none();
        let status = if lacks_address {
            EndpointStatus::Draining
        } else {
            listed_status
        };
        // A new start time under the same name means a new process, and connections that are open go to the old process
        // or to the old address.
        if status != EndpointStatus::Ready {
            pool.remove_endpoint(id);
        } else if state.status != EndpointStatus::Ready
            || address != state.address
            || started != state.started
        {
            state.generation = self.next_generation;
            self.next_generation += 1;
            pool.add_endpoint(id, state.generation);
        }
        (state.status, state.address, state.started) = (status, address, started);
        let entry = EndpointEntry {
            endpoint: id,
            status,
            zone: settings::zone_id(&endpoint.zone),
            cell: CellId(endpoint.group),
            kind: settings::kind_id(&endpoint.kind),
            weight: endpoint.weight,
            started,
        };
        state.entry = Some(entry);
        Some(entry)
    }

    /// Forgets the endpoints that are missing from a complete list, and returns their ids.
    fn forget_unlisted(&mut self, list: &[Endpoint], pool: &ConnectionPool) -> Vec<u32> {
        let listed: HashSet<&str> = list.iter().map(|endpoint| endpoint.name.as_str()).collect();
        let unlisted = self
            .endpoint_ids
            .iter()
            .filter(|(name, _)| !listed.contains(&***name));
        let unlisted: Vec<_> = unlisted.map(|(name, id)| (Rc::clone(name), id.0)).collect();
        for (name, _) in &unlisted {
            self.forget(name, pool);
        }
        unlisted.into_iter().map(|(_, id)| id).collect()
    }

    /// Forgets an endpoint and its id, and closes its connections.
    fn forget(&mut self, name: &str, pool: &ConnectionPool) {
        if let Some(id) = self.endpoint_ids.remove(name) {
            self.endpoints.remove(&id);
            pool.remove_endpoint(id);
            if let Some(view) = &mut self.subset {
                view.subset.remove(id.0);
            }
        }
    }
}
