//! Gossip between the proxies of a simulation run in virtual time: the proxy's own gossip code on the modelled network.

use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry};
use badgerramp_gossip::peer::{Input, Member, Output, Peer, PeerConfig, PollAnswer};
use badgerramp_gossip::polling::PeerId;
use badgerramp_sim_model::{ListEntry, ListResponse, Micros};
use std::net::{Ipv4Addr, SocketAddr};

/// The address of a proxy.
pub(super) fn address(proxy: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + proxy), 7_946))
}

/// The index of the proxy at an address.
pub(super) fn proxy_index(address: SocketAddr) -> u32 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_bits().wrapping_sub(0x0a00_0000),
        std::net::IpAddr::V6(_) => u32::MAX,
    }
}

/// A peer that starts now, for this proxy. The first `seeds` proxies are the seeds.
pub(super) fn start(now: Micros, (proxy, seeds): (u32, u32), id: u64) -> Peer {
    let own = Member {
        address: address(proxy),
        id: PeerId(id),
        started: now,
    };
    Peer::new(
        now,
        PeerConfig {
            own,
            seeds: (0..seeds).map(address).collect(),
            disabled: None,
        },
    )
}

/// Names of the states of a [`ListEntry`].
const STATUS_NAMES: [&str; 3] = ["up", "draining", "removed"];

/// Converts an entry of the modelled list service into a change that peers understand.
fn to_change(entry: ListEntry) -> EndpointChange {
    let ListEntry {
        host,
        state,
        started_at: started,
    } = entry;
    let status = STATUS_NAMES[usize::from(state.min(2))].to_owned();
    let listed = state < 2;
    // Times of a run are not Unix times, but `from_change` only has to return them unchanged.
    let entry = EndpointEntry {
        status,
        since_ms: started,
        ..EndpointEntry::default()
    };
    EndpointChange {
        name: host.to_string(),
        entry: listed.then_some(entry),
    }
}

/// Converts a peer's change back into an entry of the modelled list service.
pub(super) fn from_change(change: &EndpointChange) -> Option<ListEntry> {
    let host = change.name.parse().ok()?;
    Some(match &change.entry {
        Some(entry) => ListEntry {
            host,
            state: u8::from(!entry.is_up()),
            started_at: entry.since_ms,
        },
        None => ListEntry {
            host,
            state: 2,
            started_at: 0,
        },
    })
}

/// Converts the list service's response to a poll; `None`: the poll failed.
pub(super) fn poll_answer(
    response: ListResponse,
    latency: Micros,
    immediate: bool,
) -> Option<PollAnswer> {
    let (complete, index, entries) = match response {
        ListResponse::Full(index, entries) => (true, index, entries),
        ListResponse::Changes(index, entries) => (false, index, entries),
        ListResponse::Unchanged | ListResponse::Failed | ListResponse::NoResponse => return None,
    };
    Some(PollAnswer {
        complete,
        index,
        changes: entries.into_iter().map(to_change).collect(),
        latency,
        immediate,
    })
}

/// Passes an input to a peer and returns the outputs.
pub(super) fn handle_input(peer: &mut Peer, now: Micros, input: Input<'_>) -> Vec<Output> {
    let mut outputs = Vec::new();
    peer.handle(now, input, &mut outputs);
    outputs
}
