//! Tests of the datagrams, the conversion of list entries, and the printed status report.

use super::datagram::{Datagram, DatagramKind, DecodeError, HEADER_LEN};
use super::{DatagramCodec, RejectedDatagrams, StatusReport};
use crate::net::driver::Endpoint;
use badgerramp_control_protocol::SharedSecret;
use badgerramp_gossip::endpoint_list::EndpointChange;
use badgerramp_gossip::peer::{Input, Member, Peer, PeerConfig, PollAnswer};
use badgerramp_gossip::polling::PeerId;

fn codec(secret: &str, fleet: &str) -> DatagramCodec {
    DatagramCodec::new(
        SharedSecret::new(secret.as_bytes()).expect("a secret"),
        fleet.to_owned(),
    )
}

#[test]
fn altered_and_foreign_datagrams_are_rejected() {
    let own = codec("0123456789abcdef", "north");
    let sent = Datagram {
        sender: 7,
        sequence: 9,
        body: b"body",
    };
    let datagram = own.encode(DatagramKind::Message, &sent);
    assert_eq!(own.decode(DatagramKind::Message, &datagram), Ok(sent));
    for other in [
        codec("0123456789abcdeF", "north"),
        codec("0123456789abcdef", "south"),
    ] {
        assert_eq!(
            other.decode(DatagramKind::Message, &datagram),
            Err(DecodeError::Unauthenticated)
        );
    }
    for position in 2..datagram.len() {
        let mut altered = datagram.clone();
        altered[position] ^= 1;
        assert_eq!(
            own.decode(DatagramKind::Message, &altered),
            Err(DecodeError::Unauthenticated)
        );
    }
    assert_eq!(
        own.decode(DatagramKind::StatusRequest, &datagram),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        own.decode(DatagramKind::Message, &[&[2], &datagram[1..]].concat()),
        Err(DecodeError::Malformed)
    );
    for length in 0..HEADER_LEN {
        assert_eq!(
            own.decode(DatagramKind::Message, &datagram[..length]),
            Err(DecodeError::Malformed)
        );
    }
}

#[test]
fn endpoints_convert_to_entries_and_back() {
    let text = r#"{"name":"s","address":"10.0.0.1:9","zone":"a","type":"m2","group":3,"status":"draining","weight":1.5,"since_ms":7}"#;
    let endpoint: Endpoint = serde_json::from_str(text).expect("an entry");
    let change = EndpointChange::from(endpoint);
    assert_eq!(EndpointChange::from(Endpoint::from(change.clone())), change);
    let removed = EndpointChange {
        name: "s".to_owned(),
        entry: None,
    };
    assert_eq!(
        EndpointChange::from(Endpoint::from(removed.clone())),
        removed
    );
}

#[test]
fn datagrams_keep_their_bytes() {
    let own = codec("0123456789abcdef", "north");
    let kinds = [
        ("message", DatagramKind::Message),
        ("status request", DatagramKind::StatusRequest),
        ("status", DatagramKind::StatusReply),
    ];
    let lines = kinds.map(|(name, kind)| {
        let datagram = own.encode(
            kind,
            &Datagram {
                sender: 0x1122_3344_5566_7788,
                sequence: 9,
                body: b"body",
            },
        );
        let hex: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name}: {hex}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn counters_of_rejected_datagrams_keep_their_bytes() {
    let counts = RejectedDatagrams {
        malformed: 1,
        unauthenticated: 2,
        replayed: 3,
        send_failed: 4,
    };
    assert_eq!(postcard::to_stdvec(&counts), Ok(vec![1, 2, 3, 4]));
}

#[test]
fn report_printed_as_json_keeps_its_keys() {
    let own = Member {
        address: "127.0.0.1:7946".parse().expect("an address"),
        id: PeerId(7),
        started: 8,
    };
    let mut peer = Peer::new(
        0,
        PeerConfig {
            own,
            seeds: Vec::new(),
            disabled: None,
        },
    );
    let answer = PollAnswer {
        complete: true,
        index: 41,
        changes: Vec::new(),
        latency: 5_000,
        immediate: true,
    };
    let mut outputs = Vec::new();
    peer.handle(0, Input::Timer, &mut outputs);
    peer.handle(20_000_000, Input::Timer, &mut outputs);
    peer.handle(20_000_000, Input::PollAnswered(answer), &mut outputs);
    let report = StatusReport {
        status: peer.status(20_000_000),
        rejected: RejectedDatagrams::default(),
    };
    let text = serde_json::to_string(&report).expect("a serializable report");
    insta::assert_snapshot!(text);
}
