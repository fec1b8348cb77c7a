//! Commands applied to the record of one region: publishing, aborts, registered proxies and retention.

use super::retention::RETAINED_TEXTS;
use super::*;
use crate::Rejection;

fn publish(record: &mut Record) -> Outcome {
    let command = Command::Publish {
        revision: record.revision(),
        text: "t".to_owned(),
        fallback_generations: record.fallback_generations(),
        all_regions: None,
    };
    record.apply(&command)
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 1,
    }
}

#[test]
fn first_policy_is_in_force_at_once_and_the_next_needs_a_transition() {
    let mut record = Record::default();
    assert_eq!(record.mode(), None);
    assert_eq!(publish(&mut record), Outcome::Started(Generation(1)));
    assert_eq!(record.mode(), Some(Mode::stable(1, Generation(1))));
    assert_eq!(publish(&mut record), Outcome::Started(Generation(2)));
    assert_eq!(
        record.mode(),
        Some(Mode {
            revision: 2,
            old: Generation(1),
            new: Generation(2)
        })
    );
    assert_eq!(
        publish(&mut record),
        Outcome::Rejected(Rejection::ChangePending(Generation(2)))
    );
    assert_eq!(
        record.apply(&Command::Advance { revision: 1 }),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(
        record.apply(&Command::Advance { revision: 2 }),
        Outcome::Applied
    );
    assert_eq!(record.mode(), Some(Mode::stable(3, Generation(2))));
    let late_abort = Command::Abort {
        revision: 2,
        reason: String::new(),
    };
    assert_eq!(
        record.apply(&late_abort),
        Outcome::Rejected(Rejection::Conflict)
    );
}

#[test]
fn generation_of_an_aborted_change_is_not_reused() {
    let mut record = Record::default();
    publish(&mut record);
    publish(&mut record);
    record.apply(&Command::Abort {
        revision: 2,
        reason: "invalid".to_owned(),
    });
    assert_eq!(record.mode(), Some(Mode::stable(3, Generation(1))));
    assert_eq!(publish(&mut record), Outcome::Started(Generation(3)));
    assert_eq!(
        record.changes()[&Generation(2)].status,
        ChangeStatus::Aborted {
            reason: "invalid".to_owned()
        }
    );
}

#[test]
fn fallback_generation_applies_until_its_proxy_confirms_a_newer_one() {
    let mut record = Record::default();
    publish(&mut record);
    record.apply(&Command::Register {
        identity: identity("n"),
        on_lease_loss: OnLeaseLoss::Fallback,
    });
    publish(&mut record);
    record.apply(&Command::Advance { revision: 2 });
    assert_eq!(
        record.fallback_generations(),
        BTreeSet::from([Generation(1), Generation(2)])
    );
    let with_newest_only = Command::Publish {
        revision: 3,
        text: String::new(),
        fallback_generations: BTreeSet::from([Generation(2)]),
        all_regions: None,
    };
    assert_eq!(
        record.apply(&with_newest_only),
        Outcome::Rejected(Rejection::Conflict)
    );
    record.apply(&Command::RecordActive {
        revision: 3,
        proxies: BTreeSet::from([identity("n")]),
    });
    assert_eq!(
        record.fallback_generations(),
        BTreeSet::from([Generation(2)])
    );
    assert_eq!(
        record.apply(&with_newest_only),
        Outcome::Started(Generation(3))
    );
}

#[test]
fn evicted_proxy_cannot_register_again() {
    let mut record = Record::default();
    let register = Command::Register {
        identity: identity("n"),
        on_lease_loss: OnLeaseLoss::Keep,
    };
    assert_eq!(record.apply(&register), Outcome::Applied);
    record.apply(&Command::Evict {
        identity: identity("n"),
    });
    assert!(record.leaseless_proxies().is_empty());
    assert_eq!(
        record.apply(&register),
        Outcome::Rejected(Rejection::Evicted)
    );
}

#[test]
fn number_of_texts_is_limited_and_texts_of_fallback_generations_are_retained() {
    let mut record = Record::default();
    publish(&mut record);
    record.apply(&Command::Register {
        identity: identity("n"),
        on_lease_loss: OnLeaseLoss::Fallback,
    });
    for _ in 0..3 * RETAINED_TEXTS {
        publish(&mut record);
        record.apply(&Command::Advance {
            revision: record.revision(),
        });
    }
    assert!(record.text(Generation(1)).is_some());
    assert!(record.text(Generation(2)).is_none());
    assert!(record.texts.len() <= RETAINED_TEXTS);
}
