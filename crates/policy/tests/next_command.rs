//! Selection of a leader's next command for a change of one region.

use badgerramp_policy::{
    next_command, ChangeTimeouts, Command, Generation, GrantOutcome, Identity, LeaseConfig,
    LeaseRequest, Leases, OnLeaseLoss, Record, RejectedGeneration,
};
use std::collections::BTreeSet;

const TIMEOUTS: ChangeTimeouts = ChangeTimeouts {
    proxies: 1_000,
    regions: 10,
};
const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};
/// A time at which all leases of earlier leaders have expired.
const NOW: u64 = 10_000;

fn publish(record: &mut Record) {
    let (revision, fallback_generations) = (record.revision(), record.fallback_generations());
    record.apply(&Command::Publish {
        revision,
        text: String::new(),
        fallback_generations,
        all_regions: None,
    });
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn lease_request(
    name: &str,
    sequence: u64,
    active_revision: u64,
    on_lease_loss: OnLeaseLoss,
) -> LeaseRequest {
    LeaseRequest {
        identity: identity(name),
        sequence,
        active_revision,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss,
    }
}

fn grant(leases: &mut Leases, record: &Record, request: &LeaseRequest) {
    assert!(matches!(
        leases.grant(NOW, record, request),
        GrantOutcome::Granted(_)
    ));
}

/// Returns a record in transition and the leases of its leader: a proxy has one for the mode before the transition.
fn in_transition() -> (Record, Leases) {
    let (mut record, mut leases) = (Record::default(), Leases::after_election(LEASE_CONFIG, 0));
    publish(&mut record);
    grant(
        &mut leases,
        &record,
        &lease_request("p", 1, 0, OnLeaseLoss::Reject),
    );
    publish(&mut record);
    (record, leases)
}

#[test]
fn change_advances_when_no_proxy_can_serve_under_an_older_mode() {
    let (record, mut leases) = in_transition();
    assert_eq!(next_command(&record, &leases, NOW, NOW, TIMEOUTS), None);
    let advance = Some(Command::Advance { revision: 2 });
    let lease_expiry = NOW + LEASE_CONFIG.duration + LEASE_CONFIG.max_clock_drift;
    assert_eq!(
        next_command(&record, &leases, lease_expiry - 1, NOW, TIMEOUTS),
        None
    );
    assert_eq!(
        next_command(&record, &leases, lease_expiry, NOW, TIMEOUTS),
        advance
    );
    grant(
        &mut leases,
        &record,
        &lease_request("p", 2, 2, OnLeaseLoss::Reject),
    );
    assert_eq!(next_command(&record, &leases, NOW, NOW, TIMEOUTS), advance);
}

#[test]
fn blocked_change_is_aborted_after_its_timeout() {
    let (record, leases) = in_transition();
    // The change does not wait for another region, so the timeout for regions does not apply.
    assert_eq!(
        next_command(&record, &leases, NOW, NOW - TIMEOUTS.proxies, TIMEOUTS),
        None
    );
    let reason = "timed out waiting for proxies: p (0000000000000001)".to_owned();
    let abort = Some(Command::Abort {
        revision: 2,
        reason,
    });
    assert_eq!(
        next_command(&record, &leases, NOW, NOW - TIMEOUTS.proxies - 1, TIMEOUTS),
        abort
    );
}

#[test]
fn change_is_aborted_immediately_when_a_proxy_rejects_it() {
    let (record, mut leases) = in_transition();
    let rejected = Some(RejectedGeneration {
        generation: Generation(2),
        reason: "unknown key".to_owned(),
    });
    grant(
        &mut leases,
        &record,
        &LeaseRequest {
            rejected_generation: rejected,
            ..lease_request("p", 2, 1, OnLeaseLoss::Reject)
        },
    );
    let reason = "proxy p (0000000000000001) cannot load the policy: unknown key".to_owned();
    let abort = Some(Command::Abort {
        revision: 2,
        reason,
    });
    assert_eq!(next_command(&record, &leases, NOW, NOW, TIMEOUTS), abort);
}

#[test]
fn confirmations_of_leaseless_proxies_are_logged_before_the_advance() {
    let (mut record, mut leases) = (Record::default(), Leases::after_election(LEASE_CONFIG, 0));
    publish(&mut record);
    record.apply(&Command::Register {
        identity: identity("k"),
        on_lease_loss: OnLeaseLoss::Keep,
    });
    publish(&mut record);
    assert_eq!(next_command(&record, &leases, NOW, NOW, TIMEOUTS), None);
    grant(
        &mut leases,
        &record,
        &lease_request("k", 1, 2, OnLeaseLoss::Keep),
    );
    let record_active = Command::RecordActive {
        revision: 2,
        proxies: BTreeSet::from([identity("k")]),
    };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, TIMEOUTS),
        Some(record_active.clone())
    );
    record.apply(&record_active);
    let advance = Command::Advance { revision: 2 };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, TIMEOUTS),
        Some(advance.clone())
    );
    record.apply(&advance);
    // Outside of a transition, confirmations are logged once a majority of the proxies has confirmed.
    assert_eq!(next_command(&record, &leases, NOW, NOW, TIMEOUTS), None);
    grant(
        &mut leases,
        &record,
        &lease_request("k", 2, 3, OnLeaseLoss::Keep),
    );
    let record_active = Command::RecordActive {
        revision: 3,
        proxies: BTreeSet::from([identity("k")]),
    };
    assert_eq!(
        next_command(&record, &leases, NOW, NOW, TIMEOUTS),
        Some(record_active)
    );
}

#[test]
fn no_command_is_needed_before_the_first_policy() {
    assert_eq!(
        next_command(
            &Record::default(),
            &Leases::after_election(LEASE_CONFIG, 0),
            NOW,
            0,
            TIMEOUTS
        ),
        None
    );
}
