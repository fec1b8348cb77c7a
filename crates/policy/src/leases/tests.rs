//! Grants of one leader, the proxies that block a transition, and the wait after an election.

use super::*;
use crate::{Command, Generation};

const TERMS: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};

fn record(publishes: u64) -> Record {
    let mut record = Record::default();
    for _ in 0..publishes {
        let (revision, floors) = (record.revision(), record.fallback_generations());
        record.apply(&Command::Publish {
            revision,
            text: String::new(),
            fallback_generations: floors,
            all_regions: None,
        });
    }
    record
}

fn ask(number: u64, acting: u64) -> LeaseRequest {
    LeaseRequest {
        identity: Identity {
            name: "p".to_owned(),
            incarnation: 1,
        },
        sequence: number,
        active_revision: acting,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss: OnLeaseLoss::Reject,
    }
}

#[test]
fn new_leader_waits_for_leases_of_its_predecessors() {
    let leases = Leases::after_election(TERMS, 1_000);
    let middle = record(2);
    assert_eq!(leases.blockers(1_109, &middle).len(), 1);
    assert_eq!(leases.blockers(1_110, &middle), []);
    assert_eq!(leases.next_deadline(1_000, &middle), Some(1_110));
}

#[test]
fn older_lease_blocks_until_confirmation_or_expiry() {
    let mut leases = Leases::after_election(TERMS, 0);
    let (stable, middle) = (record(1), record(2));
    assert!(matches!(
        leases.grant(200, &stable, &ask(1, 0)),
        GrantOutcome::Granted(_)
    ));
    assert!(matches!(
        leases.grant(220, &middle, &ask(2, 1)),
        GrantOutcome::Granted(_)
    ));
    assert_eq!(
        leases.blockers(230, &middle).len(),
        1,
        "the middle has gone out, and may not have come in"
    );
    let mut told = leases.clone();
    assert!(matches!(
        told.grant(240, &middle, &ask(3, 2)),
        GrantOutcome::Granted(_)
    ));
    assert_eq!(told.blockers(241, &middle), []);
    assert_eq!(leases.blockers(309, &middle).len(), 1);
    assert_eq!(leases.blockers(310, &middle), []);
}

#[test]
fn out_of_order_requests_are_denied() {
    let mut leases = Leases::after_election(TERMS, 0);
    let middle = record(2);
    leases.grant(200, &middle, &ask(5, 2));
    assert_eq!(
        leases.grant(201, &middle, &ask(5, 2)),
        GrantOutcome::Denied(LeaseDenial::OutOfOrder)
    );
    assert_eq!(
        leases.grant(201, &middle, &ask(4, 1)),
        GrantOutcome::Denied(LeaseDenial::OutOfOrder)
    );
    assert_eq!(
        leases.grant(201, &Record::default(), &ask(6, 2)),
        GrantOutcome::Denied(LeaseDenial::NoPolicy)
    );
}

#[test]
fn leaseless_proxy_registers_first_and_blocks_until_it_confirms() {
    let mut leases = Leases::after_election(TERMS, 0);
    let mut record = record(1);
    let keeps = LeaseRequest {
        on_lease_loss: OnLeaseLoss::Keep,
        ..ask(1, 0)
    };
    assert_eq!(
        leases.grant(200, &record, &keeps),
        GrantOutcome::RegisterFirst
    );
    record.apply(&Command::Register {
        identity: keeps.identity.clone(),
        on_lease_loss: OnLeaseLoss::Keep,
    });
    assert!(matches!(
        leases.grant(200, &record, &keeps),
        GrantOutcome::Granted(_)
    ));
    let (revision, floors) = (record.revision(), record.fallback_generations());
    record.apply(&Command::Publish {
        revision,
        text: String::new(),
        fallback_generations: floors,
        all_regions: None,
    });
    let why = |l: &Leases| {
        l.blockers(10_000, &record)
            .into_iter()
            .map(|b| b.reason)
            .collect::<Vec<_>>()
    };
    assert_eq!(why(&leases), [BlockReason::ServesWithoutLease]);
    let told = LeaseRequest {
        on_lease_loss: OnLeaseLoss::Keep,
        ..ask(2, 2)
    };
    leases.grant(10_000, &record, &told);
    assert_eq!(why(&leases), []);
    assert_eq!(leases.caught_up_proxies(&record).len(), 1);
    record.apply(&Command::Evict {
        identity: told.identity.clone(),
    });
    let again = LeaseRequest {
        sequence: 3,
        ..told
    };
    assert_eq!(
        leases.grant(10_001, &record, &again),
        GrantOutcome::Denied(LeaseDenial::Evicted)
    );
}

#[test]
fn proxy_that_rejects_the_generation_is_named() {
    let mut leases = Leases::after_election(TERMS, 0);
    let middle = record(2);
    let unread = RejectedGeneration {
        generation: Generation(2),
        reason: "odd".to_owned(),
    };
    leases.grant(
        0,
        &middle,
        &LeaseRequest {
            rejected_generation: Some(unread),
            ..ask(1, 1)
        },
    );
    let mode = middle.mode().expect("a policy");
    assert_eq!(
        leases
            .rejected_generation(mode)
            .map(|(i, why)| (i.name.as_str(), why)),
        Some(("p", "odd"))
    );
}
