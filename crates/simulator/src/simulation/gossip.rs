//! Proxies that pass the list on among each other, in the play on the decisions: the program's own code, on the play's
//! network.

use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry};
use badgerramp_gossip::peer::{Input, Member, Output, Peer, PeerConfig, PollAnswer};
use badgerramp_gossip::polling::PeerId;
use badgerramp_sim_model::{ListEntry, ListResponse, Micros};
use std::net::{Ipv4Addr, SocketAddr};

/// The address of a proxy.
pub(super) fn address(place: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + place), 7_946))
}

/// The proxy at an address.
pub(super) fn place(address: SocketAddr) -> u32 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_bits().wrapping_sub(0x0a00_0000),
        std::net::IpAddr::V6(_) => u32::MAX,
    }
}

/// One that starts now; the first `seeds` are seeds.
pub(super) fn start(now: Micros, (place, seeds): (u32, u32), id: u64) -> Peer {
    let own = Member {
        address: address(place),
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

const STATUS: [&str; 3] = ["up", "draining", "removed"];

fn change(entry: ListEntry) -> EndpointChange {
    let ListEntry {
        host,
        state,
        started_at: started,
    } = entry;
    let status = STATUS[usize::from(state.min(2))].to_owned();
    let there = state < 2;
    // The play's times are no Unix times; it is enough that they come back.
    let entry = EndpointEntry {
        status,
        since_ms: started,
        ..EndpointEntry::default()
    };
    EndpointChange {
        name: host.to_string(),
        entry: there.then_some(entry),
    }
}

/// What the list says, in the play's words.
pub(super) fn entry(change: &EndpointChange) -> Option<ListEntry> {
    let host = change.name.parse().ok()?;
    Some(match &change.entry {
        Some(told) => ListEntry {
            host,
            state: u8::from(!told.is_up()),
            started_at: told.since_ms,
        },
        None => ListEntry {
            host,
            state: 2,
            started_at: 0,
        },
    })
}

/// What the service's answer is to a peer; `None`: it failed.
pub(super) fn answer(told: ListResponse, took: Micros, at_once: bool) -> Option<PollAnswer> {
    let (whole, index, entries) = match told {
        ListResponse::Full(index, entries) => (true, index, entries),
        ListResponse::Changes(index, entries) => (false, index, entries),
        ListResponse::Unchanged | ListResponse::Failed | ListResponse::NoResponse => return None,
    };
    Some(PollAnswer {
        complete: whole,
        index,
        changes: entries.into_iter().map(change).collect(),
        latency: took,
        immediate: at_once,
    })
}

/// Tells a peer; what it wants done.
pub(super) fn tell(peer: &mut Peer, now: Micros, input: Input<'_>) -> Vec<Output> {
    let mut out = Vec::new();
    peer.handle(now, input, &mut out);
    out
}
