//! The bytes of what peers send each other. Peers of an older and of a newer version are members of one fleet while it is
//! upgraded, so they may not change.

use super::{Envelope, Message};
use crate::list::{Change, Entry, HostList, Stamp};
use crate::packed_list::PartialList;
use crate::peer::{Counts, Member, Standing};
use crate::polling::{Id, PollerStatus};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of a value, after it was read back and written again.
fn bytes<T: Serialize + DeserializeOwned + Debug>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("it can be written");
    let again: T = postcard::from_bytes(&bytes).expect("it can be read");
    assert_eq!(format!("{again:?}"), format!("{value:?}"));
    assert_eq!(
        postcard::to_stdvec(&again).expect("it can be written"),
        bytes
    );
    hex(&bytes)
}

fn member() -> Member {
    Member {
        address: "127.0.0.1:7946".parse().expect("an address"),
        id: Id(0x1122_3344_5566_7788),
        started: 1_700_000_000_123,
    }
}

fn stamp(index: u64) -> Stamp {
    Stamp {
        life: 2,
        index,
        digest: 0x8877_6655_4433_2211,
    }
}

fn entry() -> Entry {
    Entry {
        address: "10.0.0.1:9000".to_owned(),
        zone: "a".to_owned(),
        kind: "m2".to_owned(),
        group: 3,
        status: "draining".to_owned(),
        weight: 1.5,
        since_ms: 1_700_000_000_000,
    }
}

fn changes() -> Vec<Change> {
    vec![
        Change {
            name: "s-1".to_owned(),
            entry: Some(entry()),
        },
        Change {
            name: "s-2".to_owned(),
            entry: None,
        },
    ]
}

fn status() -> PollerStatus {
    PollerStatus {
        id: Id(9),
        count: 300,
        asks: true,
        failures: u32::MAX,
        answer_ms: 40,
    }
}

#[test]
fn messages_keep_their_bytes() {
    let messages = [
        Message::Swim(vec![1, 2, 3]),
        Message::Status {
            stamp: Some(stamp(41)),
            statuses: vec![status()],
        },
        Message::Status {
            stamp: None,
            statuses: Vec::new(),
        },
        Message::Want {
            stamp: Some(stamp(40)),
            of: Some(stamp(41)),
            parts: vec![0, 300],
        },
        Message::Want {
            stamp: None,
            of: None,
            parts: Vec::new(),
        },
        Message::Part {
            stamp: stamp(41),
            number: 1,
            parts: 2,
            bytes: vec![9; 5],
        },
        Message::News {
            from: stamp(40),
            to: stamp(41),
            changes: changes(),
        },
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
    let counts = Counts {
        sent: 1,
        sent_bytes: 2,
        held_back: 3,
        taken: 4,
        malformed: 5,
        torn: 6,
        questions: 7,
        failed: 8,
        doubted: 9,
    };
    let standing = Standing {
        own: member(),
        list: Some((
            stamp(41),
            5_000_000,
            Some("127.0.0.1:7947".parse().expect("an address")),
        )),
        hosts: 12,
        alive: 50,
        settled: true,
        askers: vec![(status(), 1_000)],
        counts,
    };
    insta::assert_snapshot!(bytes(&standing));
}

#[test]
fn a_list_keeps_its_bytes_and_its_digest() {
    let list = HostList::new(changes());
    insta::assert_snapshot!(format!("{} {:016x}", hex(&list.bytes()), list.digest()));
}

/// As an older build has packed the list of the test above.
const PACKED: &str = "28b52ffd20308101000103732d310d31302e302e302e313a393030300161026d320308647261696e696e67000000000000f83f80d095ffbc31";

#[test]
fn a_list_that_an_older_build_packed_is_read() {
    let list = HostList::new(changes());
    let stamp = Stamp {
        digest: list.digest(),
        ..stamp(41)
    };
    let octet = |at: usize| u8::from_str_radix(&PACKED[at..at + 2], 16).expect("hexadecimal");
    let part: Vec<u8> = (0..PACKED.len()).step_by(2).map(octet).collect();
    let mut partial = PartialList::new(stamp, 1).expect("one part");
    assert!(partial.add(0, 1, &part));
    assert_eq!(partial.whole(), Some(Ok(list)));
}
