//! Grants of one leader, blockers of a transition, and the wait after an election.

use super::*;
use crate::{Command, Generation};

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};

fn record(publishes: u64) -> Record {
    let mut record = Record::default();
    for _ in 0..publishes {
        let (revision, fallback_generations) = (record.revision(), record.fallback_generations());
        record.apply(&Command::Publish {
            revision,
            text: String::new(),
            fallback_generations,
            all_regions: None,
        });
    }
    record
}

fn request(sequence: u64, active_revision: u64) -> LeaseRequest {
    LeaseRequest {
        identity: Identity {
            name: "p".to_owned(),
            incarnation: 1,
        },
        sequence,
        active_revision,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss: OnLeaseLoss::Reject,
    }
}

#[test]
fn new_leader_waits_for_leases_of_its_predecessors() {
    let leases = Leases::after_election(LEASE_CONFIG, 1_000);
    let transition = record(2);
    assert_eq!(leases.blockers(1_109, &transition).len(), 1);
    assert_eq!(leases.blockers(1_110, &transition), []);
    assert_eq!(leases.next_deadline(1_000, &transition), Some(1_110));
}

#[test]
fn older_lease_blocks_until_confirmation_or_expiry() {
    let mut leases = Leases::after_election(LEASE_CONFIG, 0);
    let (stable, transition) = (record(1), record(2));
    assert!(matches!(
        leases.grant(200, &stable, &request(1, 0)),
        GrantOutcome::Granted(_)
    ));
    assert!(matches!(
        leases.grant(220, &transition, &request(2, 1)),
        GrantOutcome::Granted(_)
    ));
    assert_eq!(
        leases.blockers(230, &transition).len(),
        1,
        "the transition was granted, but the grant may not have arrived"
    );
    let mut confirmed = leases.clone();
    assert!(matches!(
        confirmed.grant(240, &transition, &request(3, 2)),
        GrantOutcome::Granted(_)
    ));
    assert_eq!(confirmed.blockers(241, &transition), []);
    assert_eq!(leases.blockers(309, &transition).len(), 1);
    assert_eq!(leases.blockers(310, &transition), []);
}

#[test]
fn out_of_order_requests_are_denied() {
    let mut leases = Leases::after_election(LEASE_CONFIG, 0);
    let transition = record(2);
    leases.grant(200, &transition, &request(5, 2));
    assert_eq!(
        leases.grant(201, &transition, &request(5, 2)),
        GrantOutcome::Denied(LeaseDenial::OutOfOrder)
    );
    assert_eq!(
        leases.grant(201, &transition, &request(4, 1)),
        GrantOutcome::Denied(LeaseDenial::OutOfOrder)
    );
    assert_eq!(
        leases.grant(201, &Record::default(), &request(6, 2)),
        GrantOutcome::Denied(LeaseDenial::NoPolicy)
    );
}

#[test]
fn leaseless_proxy_registers_first_and_blocks_until_it_confirms() {
    let mut leases = Leases::after_election(LEASE_CONFIG, 0);
    let mut record = record(1);
    let leaseless = LeaseRequest {
        on_lease_loss: OnLeaseLoss::Keep,
        ..request(1, 0)
    };
    assert_eq!(
        leases.grant(200, &record, &leaseless),
        GrantOutcome::RegisterFirst
    );
    record.apply(&Command::Register {
        identity: leaseless.identity.clone(),
        on_lease_loss: OnLeaseLoss::Keep,
    });
    assert!(matches!(
        leases.grant(200, &record, &leaseless),
        GrantOutcome::Granted(_)
    ));
    let (revision, fallback_generations) = (record.revision(), record.fallback_generations());
    record.apply(&Command::Publish {
        revision,
        text: String::new(),
        fallback_generations,
        all_regions: None,
    });
    let reasons = |leases: &Leases| {
        leases
            .blockers(10_000, &record)
            .into_iter()
            .map(|blocker| blocker.reason)
            .collect::<Vec<_>>()
    };
    assert_eq!(reasons(&leases), [BlockReason::ServesWithoutLease]);
    let confirmed = LeaseRequest {
        on_lease_loss: OnLeaseLoss::Keep,
        ..request(2, 2)
    };
    leases.grant(10_000, &record, &confirmed);
    assert_eq!(reasons(&leases), []);
    assert_eq!(leases.caught_up_proxies(&record).len(), 1);
    record.apply(&Command::Evict {
        identity: confirmed.identity.clone(),
    });
    let request_after_eviction = LeaseRequest {
        sequence: 3,
        ..confirmed
    };
    assert_eq!(
        leases.grant(10_001, &record, &request_after_eviction),
        GrantOutcome::Denied(LeaseDenial::Evicted)
    );
}

#[test]
fn rejected_generation_names_the_proxy_and_its_reason() {
    let mut leases = Leases::after_election(LEASE_CONFIG, 0);
    let transition = record(2);
    let rejected = RejectedGeneration {
        generation: Generation(2),
        reason: "unknown key".to_owned(),
    };
    leases.grant(
        0,
        &transition,
        &LeaseRequest {
            rejected_generation: Some(rejected),
            ..request(1, 1)
        },
    );
    let mode = transition.mode().expect("a policy");
    assert_eq!(
        leases
            .rejected_generation(mode)
            .map(|(identity, reason)| (identity.name.as_str(), reason)),
        Some(("p", "unknown key"))
    );
}
