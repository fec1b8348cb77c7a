//! The next step of a change of one region, as its leader sees it.

use badgerramp_policy::{
    next_command, ChangeTimeouts, Command, Generation, GrantOutcome, Identity, LeaseConfig,
    LeaseRequest, Leases, OnLeaseLoss, Record, RejectedGeneration,
};
use std::collections::BTreeSet;

const LIMITS: ChangeTimeouts = ChangeTimeouts {
    proxies: 1_000,
    regions: 10,
};
const TERMS: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};
/// A moment at which no lease of another leader runs.
const NOW: u64 = 10_000;

fn publish(record: &mut Record) {
    let (revision, floors) = (record.revision(), record.fallback_generations());
    record.apply(&Command::Publish {
        revision,
        text: String::new(),
        fallback_generations: floors,
        all_regions: None,
    });
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn ask(name: &str, number: u64, acting: u64, cut_off: OnLeaseLoss) -> LeaseRequest {
    LeaseRequest {
        identity: identity(name),
        sequence: number,
        active_revision: acting,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss: cut_off,
    }
}

fn lend(leases: &mut Leases, record: &Record, ask: &LeaseRequest) {
    assert!(matches!(
        leases.grant(NOW, record, ask),
        GrantOutcome::Granted(_)
    ));
}

/// In a middle, with a proxy that was lent the mode before it.
fn middle() -> (Record, Leases) {
    let (mut record, mut leases) = (Record::default(), Leases::after_election(TERMS, 0));
    publish(&mut record);
    lend(&mut leases, &record, &ask("p", 1, 0, OnLeaseLoss::Reject));
    publish(&mut record);
    (record, leases)
}

#[test]
fn a_change_advances_when_no_proxy_can_act_under_an_older_mode() {
    let (record, mut leases) = middle();
    assert_eq!(next_command(&record, &leases, NOW, NOW, LIMITS), None);
    let advance = Some(Command::Advance { revision: 2 });
    let lease_over = NOW + TERMS.duration + TERMS.max_clock_drift;
    assert_eq!(
        next_command(&record, &leases, lease_over - 1, NOW, LIMITS),
        None
    );
    assert_eq!(
        next_command(&record, &leases, lease_over, NOW, LIMITS),
        advance
    );
    lend(&mut leases, &record, &ask("p", 2, 2, OnLeaseLoss::Reject));
    assert_eq!(next_command(&record, &leases, NOW, NOW, LIMITS), advance);
}

#[test]
fn a_change_that_is_held_up_for_too_long_is_given_up() {
    let (record, leases) = middle();
    // It waits for no other region, so the limit for regions is no matter.
    assert_eq!(
        next_command(&record, &leases, NOW, NOW - LIMITS.proxies, LIMITS),
        None
    );
    let why = "not in force in time; held up by p (0000000000000001)".to_owned();
    let abort = Some(Command::Abort {
        revision: 2,
        reason: why,
    });
    assert_eq!(
        next_command(&record, &leases, NOW, NOW - LIMITS.proxies - 1, LIMITS),
        abort
    );
}

#[test]
fn a_change_that_a_proxy_cannot_read_is_given_up_at_once() {
    let (record, mut leases) = middle();
    let unread = Some(RejectedGeneration {
        generation: Generation(2),
        reason: "odd".to_owned(),
    });
    lend(
        &mut leases,
        &record,
        &LeaseRequest {
            rejected_generation: unread,
            ..ask("p", 2, 1, OnLeaseLoss::Reject)
        },
    );
    let why = "p (0000000000000001) can't read it: odd".to_owned();
    let abort = Some(Command::Abort {
        revision: 2,
        reason: why,
    });
    assert_eq!(next_command(&record, &leases, NOW, NOW, LIMITS), abort);
}

#[test]
fn what_proxies_without_leases_act_under_is_logged_before_the_change_goes_on() {
    let (mut record, mut leases) = (Record::default(), Leases::after_election(TERMS, 0));
    publish(&mut record);
    record.apply(&Command::Register {
        identity: identity("k"),
        on_lease_loss: OnLeaseLoss::Keep,
    });
    publish(&mut record);
    assert_eq!(next_command(&record, &leases, NOW, NOW, LIMITS), None);
    lend(&mut leases, &record, &ask("k", 1, 2, OnLeaseLoss::Keep));
    let acting = Command::RecordActive {
        revision: 2,
        proxies: BTreeSet::from([identity("k")]),
    };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, LIMITS),
        Some(acting.clone())
    );
    record.apply(&acting);
    let advance = Command::Advance { revision: 2 };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, LIMITS),
        Some(advance.clone())
    );
    record.apply(&advance);
    // Without a change it is logged when most of them have moved.
    assert_eq!(next_command(&record, &leases, NOW, NOW, LIMITS), None);
    lend(&mut leases, &record, &ask("k", 2, 3, OnLeaseLoss::Keep));
    let acting = Command::RecordActive {
        revision: 3,
        proxies: BTreeSet::from([identity("k")]),
    };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, LIMITS),
        Some(acting)
    );
}

#[test]
fn without_a_policy_there_is_nothing_to_do() {
    assert_eq!(
        next_command(
            &Record::default(),
            &Leases::after_election(TERMS, 0),
            NOW,
            0,
            LIMITS
        ),
        None
    );
}
