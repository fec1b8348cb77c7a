//! Addresses that are used again: a new process at the address of an endpoint that has gone, of which the list has not told
//! yet that it is gone.

use super::membership::EndpointState;
use super::Core;
use crate::net::upstream::ConnectionPool;
use badgerramp_decisions::{EndpointEntry, EndpointStatus, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

impl Core {
    /// Closes the endpoints at whose address another one has started since: what is sent there would reach the other,
    /// which may be in another group and does not know the requests that were sent before. Returns their names and
    /// entries.
    pub(super) fn close_replaced_endpoints(
        &mut self,
        pool: &ConnectionPool,
    ) -> Vec<(Rc<str>, EndpointEntry)> {
        let last_starts = self.last_starts();
        let mut closed = Vec::new();
        for (&id, state) in &mut self.endpoints {
            let Some(address) = ready_address(state) else {
                continue;
            };
            if last_starts
                .get(&address)
                .is_none_or(|&started| started <= state.started)
            {
                continue;
            }
            tracing::info!(endpoint = &*state.name, %address, "endpoint closed, another one has started at its address");
            state.status = EndpointStatus::Draining;
            pool.remove_endpoint(id);
            if let Some(entry) = &mut state.entry {
                entry.status = EndpointStatus::Draining;
                closed.push((Rc::clone(&state.name), *entry));
            }
        }
        closed.sort_unstable_by_key(|(_, entry)| entry.endpoint.0);
        closed
    }

    /// The last start of a ready endpoint at each address.
    fn last_starts(&self) -> HashMap<SocketAddr, Micros> {
        let mut last_starts = HashMap::with_capacity(self.endpoints.len());
        for state in self.endpoints.values() {
            if let Some(address) = ready_address(state) {
                let last = last_starts.entry(address).or_insert(state.started);
                *last = state.started.max(*last);
            }
        }
        last_starts
    }
}

fn ready_address(state: &EndpointState) -> Option<SocketAddr> {
    state
        .address
        .filter(|_| state.status == EndpointStatus::Ready)
}
