//! Compatibility with records and commands stored by older versions. The fixtures were written by the last version without
//! regions.

use badgerramp_policy::{
    ChangeStatus, Command, Generation, Identity, Mode, OnLeaseLoss, Outcome, Record,
};
use std::collections::BTreeSet;

/// Commands of a log in order, each with its outcome.
const LOG: [(&str, &str); 9] = [
    (
        r#"{"Publish":{"revision":0,"text":"one","floors":[]}}"#,
        r#"{"Begun":1}"#,
    ),
    (
        r#"{"Register":{"identity":{"name":"p","incarnation":7},"cut_off":"Narrow"}}"#,
        r#""Done""#,
    ),
    (
        r#"{"Acting":{"revision":1,"proxies":[{"name":"p","incarnation":7}]}}"#,
        r#""Done""#,
    ),
    (
        r#"{"Retire":{"identity":{"name":"p","incarnation":7}}}"#,
        r#""Done""#,
    ),
    (
        r#"{"Publish":{"revision":1,"text":"two","floors":[1]}}"#,
        r#"{"Begun":2}"#,
    ),
    (r#"{"Abort":{"revision":2,"why":"unread"}}"#, r#""Done""#),
    (
        r#"{"Publish":{"revision":3,"text":"three","floors":[1]}}"#,
        r#"{"Begun":3}"#,
    ),
    (r#"{"Advance":{"revision":4}}"#, r#""Done""#),
    (
        r#"{"Publish":{"revision":5,"text":"four","floors":[3]}}"#,
        r#"{"Begun":4}"#,
    ),
];
const EVICT: &str = r#"{"Evict":{"identity":{"name":"p","incarnation":7}}}"#;
const EMPTY: &str = r#"{"mode":{"revision":0,"old":0,"new":0},"last":0,"texts":{},"changes":{},"standing":{},"evicted":[]}"#;
/// The record after [`LOG`].
const RECORD: &str = concat!(
    r#"{"mode":{"revision":6,"old":3,"new":4},"last":4,"#,
    r#""texts":{"1":"one","2":"two","3":"three","4":"four"},"#,
    r#""changes":{"1":{"from":0,"ended":"InForce"},"2":{"from":1,"ended":{"NotInForce":{"why":"unread"}}},"#,
    r#""3":{"from":1,"ended":"InForce"},"4":{"from":3,"ended":"Open"}},"standing":{},"evicted":[]}"#
);

fn read<T: serde::de::DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).expect("the text deserializes")
}

fn replay_log() -> Record {
    let mut record: Record = read(EMPTY);
    for (command, outcome) in LOG {
        assert_eq!(
            record.apply(&read(command)),
            read::<Outcome>(outcome),
            "{command}"
        );
    }
    record
}

#[test]
fn older_snapshot_equals_its_replayed_log() {
    let record: Record = read(RECORD);
    assert_eq!(replay_log(), record);
    assert_eq!(
        record.mode(),
        Some(Mode {
            revision: 6,
            old: Generation(3),
            new: Generation(4)
        })
    );
    assert_eq!(
        record.changes()[&Generation(2)].status,
        ChangeStatus::Aborted {
            reason: "unread".to_owned()
        }
    );
    assert_eq!(record.text(Generation(4)), Some("four"));
    assert_eq!(
        (record.cross_region(), record.unacknowledged_commit()),
        (None, None)
    );
}

#[test]
fn pending_change_of_an_older_record_can_be_committed() {
    let mut record: Record = read(RECORD);
    assert_eq!(
        record.apply(&Command::Advance { revision: 6 }),
        Outcome::Applied
    );
    assert_eq!(record.mode(), Some(Mode::stable(7, Generation(4))));
    assert_eq!(record.apply(&read(EVICT)), Outcome::Applied);
    let identity = Identity {
        name: "p".to_owned(),
        incarnation: 7,
    };
    assert!(record.is_evicted(&identity));
}

#[test]
fn record_with_leaseless_proxies_round_trips() {
    let mut record = replay_log();
    for (name, incarnation) in [("p", 1), ("p", u64::MAX), ("a#b", 2), ("", 0)] {
        let identity = Identity {
            name: name.to_owned(),
            incarnation,
        };
        record.apply(&Command::Register {
            identity,
            on_lease_loss: OnLeaseLoss::Keep,
        });
    }
    assert_eq!(record.leaseless_proxies().len(), 4);
    let text = serde_json::to_string(&record).expect("the record serializes");
    assert_eq!(read::<Record>(&text), record);
}

#[test]
fn malformed_proxy_key_is_reported_in_the_error() {
    for key in ["p", "p#", "p#g"] {
        let malformed = EMPTY.replace(
            r#""standing":{}"#,
            &format!(r#""standing":{{"{key}":{{"cut_off":"Keep","revision":0,"floor":0}}}}"#),
        );
        let error = serde_json::from_str::<Record>(&malformed)
            .expect_err(key)
            .to_string();
        assert!(
            error.contains(&format!(
                "invalid proxy identity {key:?}, expected name#incarnation"
            )),
            "{error}"
        );
    }
}

#[test]
fn fallback_generations_of_an_older_command_are_read() {
    let Command::Publish {
        fallback_generations,
        all_regions,
        ..
    } = read(LOG[8].0)
    else {
        panic!("expected a publish command")
    };
    assert_eq!(
        (fallback_generations, all_regions),
        (BTreeSet::from([Generation(3)]), None)
    );
}
