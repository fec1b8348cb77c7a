//! Conversion between entries of the endpoint list and entries of the gossiped list.

use crate::net::driver::Endpoint;
use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry};

/// The status of an endpoint that was removed from the list.
const STATUS_REMOVED: &str = "removed";

impl From<Endpoint> for EndpointChange {
    fn from(endpoint: Endpoint) -> Self {
        let is_removed = endpoint.status == STATUS_REMOVED;
        let entry = EndpointEntry {
            address: endpoint.address,
            zone: endpoint.zone,
            kind: endpoint.kind,
            group: endpoint.group,
            status: endpoint.status,
            weight: endpoint.weight,
            since_ms: endpoint.since_ms,
        };
        EndpointChange {
            name: endpoint.name,
            entry: (!is_removed).then_some(entry),
        }
    }
}

impl From<EndpointChange> for Endpoint {
    fn from(change: EndpointChange) -> Self {
        let entry = change.entry.unwrap_or_else(|| EndpointEntry {
            status: STATUS_REMOVED.to_owned(),
            ..EndpointEntry::default()
        });
        Endpoint {
            name: change.name,
            address: entry.address,
            zone: entry.zone,
            kind: entry.kind,
            group: entry.group,
            status: entry.status,
            weight: entry.weight,
            since_ms: entry.since_ms,
        }
    }
}
