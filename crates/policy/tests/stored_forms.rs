//! JSON format of the commands, outcomes and records that replicas log, store in snapshots and send to each other. A new
//! version must read what an older one wrote, and must write the same format.

use badgerramp_policy::regions::{AllRegions, ChangeId, ChangeRef, Region};
use badgerramp_policy::{Command, Generation, Identity, OnLeaseLoss, Outcome, Record, Rejection};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;

/// Returns each value as a line of JSON, after checking that it deserializes to the same value.
fn lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    let line = |value: &T| {
        let text = serde_json::to_string(value).expect("the value serializes");
        assert_eq!(
            &serde_json::from_str::<T>(&text).expect("the JSON deserializes"),
            value
        );
        text
    };
    values.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn region(name: &str) -> Region {
    name.parse().expect("a valid region name")
}

fn change() -> ChangeRef {
    ChangeRef {
        id: ChangeId(0x1122_3344_5566_7788),
        coordinator: region("norte"),
        generation: Generation(9),
    }
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 0xfedc_ba98_7654_3210,
    }
}

fn fallback_generations() -> BTreeSet<Generation> {
    BTreeSet::from([Generation(1), Generation(3)])
}

fn all_regions(id: u64) -> AllRegions {
    AllRegions {
        id: ChangeId(id),
        coordinator: region("norte"),
        participants: BTreeSet::from([region("sur")]),
    }
}

fn commands() -> Vec<Command> {
    let publish = |all_regions| Command::Publish {
        revision: 4,
        text: "{\"tablet\":\"listen = 1\"}".to_owned(),
        fallback_generations: fallback_generations(),
        all_regions,
    };
    vec![
        publish(None),
        publish(Some(all_regions(77))),
        Command::Prepare {
            revision: 4,
            change: change(),
            text: "{}".to_owned(),
            fallback_generations: fallback_generations(),
        },
        Command::Vote { revision: 5 },
        Command::Prepared {
            revision: 5,
            region: region("sur"),
        },
        Command::Advance { revision: 5 },
        Command::Abort {
            revision: 5,
            reason: "unread".to_owned(),
        },
        Command::Committed { id: ChangeId(77) },
        Command::Aborted { id: ChangeId(77) },
        Command::Acknowledged {
            id: ChangeId(77),
            region: region("sur"),
        },
        Command::Register {
            identity: identity("caja"),
            on_lease_loss: OnLeaseLoss::Reject,
        },
        Command::Register {
            identity: identity("caja"),
            on_lease_loss: OnLeaseLoss::Fallback,
        },
        Command::Register {
            identity: identity("caja"),
            on_lease_loss: OnLeaseLoss::Keep,
        },
        Command::RecordActive {
            revision: 5,
            proxies: BTreeSet::from([identity("caja"), identity("a#b")]),
        },
        Command::Unregister {
            identity: identity("caja"),
        },
        Command::Evict {
            identity: identity("caja"),
        },
    ]
}

#[test]
fn commands_keep_their_json() {
    insta::assert_snapshot!(lines(&commands()));
}

#[test]
fn outcomes_keep_their_json() {
    let rejections = [
        Rejection::ChangePending(Generation(2)),
        Rejection::CrossRegionPending {
            generation: Generation(2),
            id: ChangeId(77),
            awaited_regions: BTreeSet::from([region("sur")]),
        },
        Rejection::NotPrepared {
            regions: BTreeSet::from([region("sur")]),
        },
        Rejection::AwaitsDecision {
            coordinator: region("norte"),
        },
        Rejection::Conflict,
        Rejection::Evicted,
    ];
    let outcomes = [Outcome::Started(Generation(3)), Outcome::Applied];
    let outcomes: Vec<_> = outcomes
        .into_iter()
        .chain(rejections.map(Outcome::Rejected))
        .collect();
    insta::assert_snapshot!(lines(&outcomes));
}

/// Returns a record without a pending change, with committed and aborted policies and with leaseless proxies of each kind.
fn record_with_history() -> Record {
    let mut record = Record::default();
    let publish = |record: &mut Record, text: &str, all_regions| {
        let command = Command::Publish {
            revision: record.revision(),
            text: text.to_owned(),
            fallback_generations: record.fallback_generations(),
            all_regions,
        };
        record.apply(&command)
    };
    publish(&mut record, "one", None);
    for (name, on_lease_loss) in [
        ("caja", OnLeaseLoss::Fallback),
        ("a#b", OnLeaseLoss::Keep),
        ("gone", OnLeaseLoss::Keep),
    ] {
        record.apply(&Command::Register {
            identity: identity(name),
            on_lease_loss,
        });
    }
    record.apply(&Command::Evict {
        identity: identity("gone"),
    });
    publish(&mut record, "two", None);
    record.apply(&Command::Abort {
        revision: record.revision(),
        reason: "unread".to_owned(),
    });
    publish(&mut record, "three", None);
    record.apply(&Command::Advance {
        revision: record.revision(),
    });
    let proxies = BTreeSet::from([identity("a#b")]);
    record.apply(&Command::RecordActive {
        revision: record.revision(),
        proxies,
    });
    record
}

#[test]
fn records_keep_their_json() {
    let empty = Record::default();
    let settled = record_with_history();
    let mut coordinator = settled.clone();
    let revision = coordinator.revision();
    let publish = Command::Publish {
        revision,
        text: "four".to_owned(),
        fallback_generations: coordinator.fallback_generations(),
        all_regions: Some(all_regions(77)),
    };
    assert_eq!(coordinator.apply(&publish), Outcome::Started(Generation(4)));
    let mut with_vote = coordinator.clone();
    let prepared = Command::Prepared {
        revision: revision + 1,
        region: region("sur"),
    };
    assert_eq!(with_vote.apply(&prepared), Outcome::Applied);
    let mut unacknowledged = with_vote.clone();
    assert_eq!(
        unacknowledged.apply(&Command::Advance {
            revision: revision + 1
        }),
        Outcome::Applied
    );
    let mut participant = settled.clone();
    let prepare = Command::Prepare {
        revision,
        change: change(),
        text: "four".to_owned(),
        fallback_generations: participant.fallback_generations(),
    };
    assert_eq!(participant.apply(&prepare), Outcome::Started(Generation(4)));
    let mut voted = participant.clone();
    assert_eq!(
        voted.apply(&Command::Vote {
            revision: revision + 1
        }),
        Outcome::Applied
    );
    let mut committed = voted.clone();
    assert_eq!(
        committed.apply(&Command::Committed { id: change().id }),
        Outcome::Applied
    );
    let mut aborted = participant.clone();
    assert_eq!(
        aborted.apply(&Command::Aborted { id: change().id }),
        Outcome::Applied
    );
    insta::assert_snapshot!(lines(&[
        empty,
        settled,
        coordinator,
        with_vote,
        unacknowledged,
        participant,
        voted,
        committed,
        aborted,
    ]));
}
