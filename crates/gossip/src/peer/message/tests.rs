//! Tests that the encoding of messages does not change, as peers of an older and of a newer version are members of one
//! fleet during an upgrade.

use super::{Envelope, ListDelta, ListPart, ListRequest, Message, StatusMessage};
use crate::endpoint_list::{EndpointChange, EndpointEntry, EndpointList, ListVersion};
use crate::packed_list::PartialList;
use crate::peer::{ListStatus, Member, Metrics, PeerStatus};
use crate::polling::{KnownPoller, PeerId, PollerStatus};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The encoded value in hexadecimal, after checking that decoding and encoding it again gives the same bytes.
fn bytes<T: Serialize + DeserializeOwned + Debug>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    let decoded: T = postcard::from_bytes(&bytes).expect("the bytes can be decoded");
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"));
    assert_eq!(
        postcard::to_stdvec(&decoded).expect("the value can be encoded"),
        bytes
    );
    hex(&bytes)
}

fn member() -> Member {
    Member {
        address: "127.0.0.1:7946".parse().expect("an address"),
        id: PeerId(0x1122_3344_5566_7788),
        started: 1_700_000_000_123,
    }
}

fn version(index: u64) -> ListVersion {
    ListVersion {
        incarnation: 2,
        index,
        digest: 0x8877_6655_4433_2211,
    }
}

fn entry() -> EndpointEntry {
    EndpointEntry {
        address: "10.0.0.1:9000".to_owned(),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        group: 3,
        status: "draining".to_owned(),
        weight: 1.5,
        since_ms: 1_700_000_000_000,
    }
}

fn changes() -> Vec<EndpointChange> {
    vec![
        EndpointChange {
            name: "s-1".to_owned(),
            entry: Some(entry()),
        },
        EndpointChange {
            name: "s-2".to_owned(),
            entry: None,
        },
    ]
}

fn status() -> PollerStatus {
    PollerStatus {
        id: PeerId(9),
        version: 300,
        active: true,
        failures: u32::MAX,
        latency_ms: 40,
    }
}

#[test]
fn messages_keep_their_bytes() {
    let messages = [
        Message::Swim(vec![1, 2, 3]),
        Message::Status(StatusMessage {
            version: Some(version(41)),
            statuses: vec![status()],
        }),
        Message::Status(StatusMessage {
            version: None,
            statuses: Vec::new(),
        }),
        Message::ListRequest(ListRequest {
            version: Some(version(40)),
            partial_version: Some(version(41)),
            parts: vec![0, 300],
        }),
        Message::ListRequest(ListRequest {
            version: None,
            partial_version: None,
            parts: Vec::new(),
        }),
        Message::ListPart(ListPart {
            version: version(41),
            number: 1,
            parts: 2,
            bytes: vec![9; 5],
        }),
        Message::ListDelta(ListDelta {
            from: version(40),
            to: version(41),
            changes: changes(),
        }),
    ];
    let envelopes = messages.map(|message| {
        bytes(&Envelope {
            from: member(),
            message,
        })
    });
    insta::assert_snapshot!(envelopes.join("\n"));
}

#[test]
fn swim_messages_keep_their_bytes() {
    let header = foca::Header {
        src: member(),
        src_incarnation: 4,
        dst: Member {
            address: "[::1]:7946".parse().expect("an address"),
            ..member()
        },
        message: foca::Message::Ping(7),
    };
    insta::assert_snapshot!(bytes(&header));
}

#[test]
fn the_report_of_a_proxy_keeps_its_bytes() {
    let metrics = Metrics {
        sent: 1,
        sent_bytes: 2,
        rate_limited: 3,
        accepted: 4,
        malformed: 5,
        checksum_mismatch: 6,
        polls: 7,
        polls_failed: 8,
        quarantined: 9,
    };
    let status = PeerStatus {
        own: member(),
        list: Some(ListStatus {
            version: version(41),
            age: 5_000_000,
            source: Some("127.0.0.1:7947".parse().expect("an address")),
        }),
        endpoints: 12,
        alive: 50,
        converged: true,
        pollers: vec![KnownPoller {
            status: status(),
            age: 1_000,
        }],
        metrics,
    };
    insta::assert_snapshot!(bytes(&status));
}

#[test]
fn a_list_keeps_its_bytes_and_its_digest() {
    let list = EndpointList::new(changes());
    insta::assert_snapshot!(format!("{} {:016x}", hex(&list.encode()), list.digest()));
}

/// The list of the test above, as packed by an older build.
const PACKED_BY_OLDER_BUILD: &str = "28b52ffd20308101000103732d310d31302e302e302e313a393030300161026d320308647261696e696e67000000000000f83f80d095ffbc31";

#[test]
fn list_packed_by_an_older_build_is_unpacked() {
    let list = EndpointList::new(changes());
    let version = ListVersion {
        digest: list.digest(),
        ..version(41)
    };
    let byte_at = |at: usize| {
        u8::from_str_radix(&PACKED_BY_OLDER_BUILD[at..at + 2], 16).expect("hexadecimal")
    };
    let part: Vec<u8> = (0..PACKED_BY_OLDER_BUILD.len())
        .step_by(2)
        .map(byte_at)
        .collect();
    let mut partial = PartialList::new(version, 1).expect("one part");
    assert!(partial.add(0, 1, &part));
    let unpacked = partial.unpack().expect("no part is missing");
    assert_eq!(unpacked.expect("the list"), list);
}
