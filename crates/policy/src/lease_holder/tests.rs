//! Proxy side of a lease: its expiry, stale and older grants, rejected generations, and admission after lease loss.

use super::*;

fn holder(on_lease_loss: OnLeaseLoss) -> LeaseHolder {
    let identity = Identity {
        name: "p".to_owned(),
        incarnation: 1,
    };
    let config = LeaseHolderConfig {
        on_lease_loss,
        request_timeout: 100,
        retry_delay: 50,
    };
    LeaseHolder::new(
        identity,
        config,
        BTreeSet::from([Generation(1), Generation(2)]),
    )
}

fn grant(sequence: u64, mode: Mode) -> LeaseGrant {
    LeaseGrant {
        sequence,
        mode,
        duration: 300,
    }
}

#[test]
fn lease_duration_counts_from_when_the_request_was_sent() {
    let mut holder = holder(OnLeaseLoss::Reject);
    assert_eq!(holder.admission(0), Admission::Denied(NotAdmitted::NoLease));
    let request = holder.request(1_000);
    let mode = Mode::stable(1, Generation(1));
    assert_eq!(
        holder.on_grant(1_090, grant(request.sequence, mode)),
        GrantResult::Accepted { renew_now: false }
    );
    assert_eq!(holder.admission(1_299), Admission::Under(mode));
    assert_eq!(
        holder.admission(1_300),
        Admission::Denied(NotAdmitted::LeaseExpired)
    );
    assert_eq!(holder.next_request_at(), Some(1_100));
}

#[test]
fn stale_older_and_unloadable_grants_change_nothing() {
    let mut holder = holder(OnLeaseLoss::Reject);
    let first = holder.request(0);
    let second = holder.request(100);
    let transition = Mode {
        revision: 5,
        old: Generation(1),
        new: Generation(2),
    };
    assert_eq!(
        holder.on_grant(110, grant(first.sequence, transition)),
        GrantResult::Ignored
    );
    assert_eq!(
        holder.admission(110),
        Admission::Denied(NotAdmitted::NoLease)
    );
    assert_eq!(
        holder.on_grant(120, grant(second.sequence, transition)),
        GrantResult::Accepted { renew_now: true }
    );
    let third = holder.request(130);
    assert_eq!(third.active_revision, 5);
    let older = Mode::stable(4, Generation(1));
    assert_eq!(
        holder.on_grant(140, grant(third.sequence, older)),
        GrantResult::Ignored
    );
    assert_eq!(holder.admission(140), Admission::Under(transition));
    let fourth = holder.request(150);
    let not_loaded = Mode {
        revision: 7,
        old: Generation(2),
        new: Generation(3),
    };
    assert_eq!(
        holder.on_grant(160, grant(fourth.sequence, not_loaded)),
        GrantResult::MissingGenerations
    );
    assert_eq!(holder.admission(160), Admission::Under(transition));
    holder.reject_generation(Generation(3), "unknown key".to_owned());
    assert_eq!(
        holder
            .request(170)
            .rejected_generation
            .map(|rejected| rejected.generation),
        Some(Generation(3))
    );
}

#[test]
fn admission_after_lease_expiry_follows_the_configuration() {
    for (on_lease_loss, expected) in [
        (
            OnLeaseLoss::Reject,
            Admission::Denied(NotAdmitted::LeaseExpired),
        ),
        (OnLeaseLoss::Fallback, Admission::Fallback(Generation(1))),
        (
            OnLeaseLoss::Keep,
            Admission::Under(Mode {
                revision: 5,
                old: Generation(1),
                new: Generation(2),
            }),
        ),
    ] {
        let mut holder = holder(on_lease_loss);
        let request = holder.request(0);
        let transition = Mode {
            revision: 5,
            old: Generation(1),
            new: Generation(2),
        };
        holder.on_grant(1, grant(request.sequence, transition));
        assert_eq!(holder.admission(299), Admission::Under(transition));
        assert_eq!(holder.admission(300), expected);
        holder.evict();
        assert_eq!(
            holder.admission(10),
            Admission::Denied(NotAdmitted::Evicted)
        );
    }
}
