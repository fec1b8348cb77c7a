//! Datagrams between peers, and entries of the list on their way to them.

use super::*;

fn seals(secret: &str, fleet: &str) -> Seals {
    Seals::new(
        SharedSecret::new(secret.as_bytes()).expect("a secret"),
        fleet.to_owned(),
    )
}

#[test]
fn strange_datagrams_are_told_apart() {
    let own = seals("0123456789abcdef", "north");
    let sealed = own.seal(Kind::Letter, (7, 9), b"body");
    assert_eq!(own.open(Kind::Letter, &sealed), Ok((7, 9, &b"body"[..])));
    for other in [
        seals("0123456789abcdeF", "north"),
        seals("0123456789abcdef", "south"),
    ] {
        assert_eq!(other.open(Kind::Letter, &sealed), Err(Strange::Seal));
    }
    for place in 2..sealed.len() {
        let mut torn = sealed.clone();
        torn[place] ^= 1;
        assert_eq!(own.open(Kind::Letter, &torn), Err(Strange::Seal));
    }
    assert_eq!(own.open(Kind::Look, &sealed), Err(Strange::Form));
    assert_eq!(
        own.open(Kind::Letter, &[&[2], &sealed[1..]].concat()),
        Err(Strange::Form)
    );
    (0..HEAD).for_each(|n| assert_eq!(own.open(Kind::Letter, &sealed[..n]), Err(Strange::Form)));
}

#[test]
fn entries_go_there_and_back() {
    let text = r#"{"name":"s","address":"10.0.0.1:9","zone":"a","type":"m2","group":3,"status":"draining","weight":1.5,"since_ms":7}"#;
    let one: Endpoint = serde_json::from_str(text).expect("an entry");
    let change = EndpointChange::from(one);
    assert_eq!(EndpointChange::from(Endpoint::from(change.clone())), change);
    let gone = EndpointChange {
        name: "s".to_owned(),
        entry: None,
    };
    assert_eq!(EndpointChange::from(Endpoint::from(gone.clone())), gone);
}

#[test]
fn datagrams_keep_their_bytes() {
    let own = seals("0123456789abcdef", "north");
    let kinds = [
        ("message", Kind::Letter),
        ("status request", Kind::Look),
        ("status", Kind::Told),
    ];
    let lines = kinds.map(|(name, kind)| {
        let datagram = own.seal(kind, (0x1122_3344_5566_7788, 9), b"body");
        let hex: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name}: {hex}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_counts_of_rejected_datagrams_keep_their_bytes() {
    let counts = Strangers {
        form: 1,
        seal: 2,
        again: 3,
        unsent: 4,
    };
    assert_eq!(postcard::to_stdvec(&counts), Ok(vec![1, 2, 3, 4]));
}

#[test]
fn the_report_printed_as_json_keeps_its_keys() {
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
    let mut out = Vec::new();
    peer.handle(0, Input::Timer, &mut out);
    peer.handle(20_000_000, Input::Timer, &mut out);
    peer.handle(20_000_000, Input::PollAnswered(answer), &mut out);
    let told = Told {
        standing: peer.status(20_000_000),
        strangers: Strangers::default(),
    };
    let text = serde_json::to_string(&told).expect("it can be written");
    insta::assert_snapshot!(text);
}
