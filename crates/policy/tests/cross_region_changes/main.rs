//! Cross-region changes on the records of two regions: rejected commands, restarts, and messages that are late, duplicated
//! or out of order. A restart is a round trip of the record through JSON, because only the record survives it.

mod fixture;
mod names;
mod random_order;

use badgerramp_policy::regions::participant;
use badgerramp_policy::regions::{
    coordinator, ChangeId, ChangeRef, Decision, OutcomeReply, OutcomeRequest, Prepare, Request,
    Role, Scope, Vote, VoteReply,
};
use badgerramp_policy::{
    next_command, ChangeStatus, Command, Generation, Identity, Mode, OnLeaseLoss, Outcome, Record,
    RejectedGeneration, Rejection,
};
use fixture::*;
use std::collections::BTreeSet;

#[test]
fn cross_region_change_is_committed_in_both_regions() {
    let (mut norte, mut sur) = committed();
    assert_eq!(norte.mode(), Some(Mode::stable(3, Generation(2))));
    assert!(sur.mode().is_some_and(Mode::is_transition));
    let reply = deliver_commit(&mut sur, &commit(&norte));
    assert_eq!(reply.vote, Vote::Committed);
    assert_eq!(sur.mode(), Some(Mode::stable(3, Generation(2))));
    assert_eq!(deliver_vote(&mut norte, &reply), Some(Outcome::Applied));
    assert_eq!(norte.unacknowledged_commit(), None);
    assert_eq!(coordinator::requests(&norte), []);
    assert_eq!(
        (statuses(&norte, 1), statuses(&sur, 1)),
        (vec![ChangeStatus::Committed], vec![ChangeStatus::Committed])
    );
    assert_eq!(sur.changes()[&Generation(2)].scope(), Scope::All);
    assert_eq!(sur.changes()[&Generation(1)].scope(), Scope::Region);
}

#[test]
fn first_cross_region_policy_is_not_in_force_before_the_decision() {
    let (mut norte, mut sur) = (Record::default(), Record::default());
    assert_eq!(
        publish_cross_region(&mut norte, 1),
        Outcome::Started(Generation(1))
    );
    assert_eq!(
        (norte.mode(), norte.transition().map(|mode| mode.new)),
        (None, Some(Generation(1)))
    );
    deliver_prepare(&mut sur, &prepare(&norte));
    log_next_command(&mut sur);
    let vote = deliver_prepare(&mut sur, &prepare(&norte));
    deliver_vote(&mut norte, &vote);
    assert_eq!(sur.mode(), None);
    log_next_command(&mut norte);
    assert_eq!(norte.mode(), Some(Mode::stable(2, Generation(1))));
    assert_eq!(
        deliver_commit(&mut sur, &commit(&norte)).vote,
        Vote::Committed
    );
    assert_eq!(sur.mode(), Some(Mode::stable(2, Generation(1))));
}

#[test]
fn coordinator_does_not_advance_without_all_votes() {
    let (mut norte, _) = started();
    assert_eq!(log_next_command(&mut norte), None);
    let advance = Command::Advance {
        revision: norte.revision(),
    };
    let rejection = Rejection::NotPrepared {
        regions: BTreeSet::from([sur()]),
    };
    assert_eq!(norte.apply(&advance), Outcome::Rejected(rejection));
    let vote_of_unknown_region = Command::Prepared {
        revision: norte.revision(),
        region: region("este"),
    };
    assert_eq!(
        norte.apply(&vote_of_unknown_region),
        Outcome::Rejected(Rejection::Conflict)
    );
    let stale_vote = Command::Prepared {
        revision: norte.revision() - 1,
        region: sur(),
    };
    assert_eq!(
        norte.apply(&stale_vote),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(
        norte.apply(&Command::Prepared {
            revision: norte.revision(),
            region: sur()
        }),
        Outcome::Applied
    );
    assert_eq!(norte.apply(&advance), Outcome::Applied);
}

#[test]
fn participant_that_has_voted_follows_only_the_decision() {
    let (norte, mut sur) = voted();
    let revision = sur.revision();
    let awaits_decision = || {
        Outcome::Rejected(Rejection::AwaitsDecision {
            coordinator: self::norte(),
        })
    };
    assert_eq!(
        sur.apply(&Command::Abort {
            revision,
            reason: String::new()
        }),
        awaits_decision()
    );
    assert_eq!(sur.apply(&Command::Advance { revision }), awaits_decision());
    // Neither a timeout nor a proxy that rejects the policy ends the change.
    let mut leases = leases();
    let rejected = RejectedGeneration {
        generation: Generation(2),
        reason: "unknown key".to_owned(),
    };
    leases.grant(NOW, &sur, &lease_request(Some(rejected)));
    assert_eq!(next_command(&sur, &leases, NOW, 0, TIMEOUTS), None);
    assert_eq!(resolve_outcome(&norte, &mut sur), None);
    for id in [0, 2] {
        assert_eq!(
            sur.apply(&Command::Committed { id: ChangeId(id) }),
            Outcome::Rejected(Rejection::Conflict)
        );
        assert_eq!(
            sur.apply(&Command::Aborted { id: ChangeId(id) }),
            Outcome::Rejected(Rejection::Conflict)
        );
    }
    assert_eq!(
        sur.apply(&Command::Committed { id: ChangeId(1) }),
        Outcome::Applied
    );
}

#[test]
fn participant_votes_when_no_proxy_can_serve_under_an_older_mode() {
    let (norte, mut sur) = started();
    let mut leases = leases();
    leases.grant(NOW, &sur, &lease_request(None));
    deliver_prepare(&mut sur, &prepare(&norte));
    let until = NOW + LEASE_CONFIG.duration + LEASE_CONFIG.max_clock_drift;
    assert_eq!(next_command(&sur, &leases, until - 1, NOW, TIMEOUTS), None);
    let vote = Command::Vote {
        revision: sur.revision(),
    };
    assert_eq!(
        next_command(&sur, &leases, until, NOW, TIMEOUTS),
        Some(vote.clone())
    );
    assert_eq!(
        sur.apply(&Command::Vote {
            revision: sur.revision() - 1
        }),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(sur.apply(&vote), Outcome::Applied);
}

#[test]
fn participant_that_has_not_voted_may_abort_and_cannot_commit() {
    let (mut norte, mut sur) = started();
    deliver_prepare(&mut sur, &prepare(&norte));
    assert_eq!(
        sur.apply(&Command::Committed { id: ChangeId(1) }),
        Outcome::Rejected(Rejection::Conflict)
    );
    let premature_commit = OutcomeReply {
        id: ChangeId(1),
        decision: Decision::Committed,
    };
    assert_eq!(participant::on_outcome(&sur, &premature_commit), None);
    let abort = Command::Abort {
        revision: sur.revision(),
        reason: "an operator".to_owned(),
    };
    assert_eq!(sur.apply(&abort), Outcome::Applied);
    let reply = deliver_prepare(&mut sur, &prepare(&norte));
    assert_eq!(reply.vote, Vote::Aborted);
    assert_eq!(deliver_vote(&mut norte, &reply), Some(Outcome::Applied));
    let reason = "region sur aborted the change".to_owned();
    assert_eq!(statuses(&norte, 1), [ChangeStatus::Aborted { reason }]);
}

#[test]
fn pending_local_change_rejects_a_cross_region_change() {
    let (mut norte, mut sur) = started();
    publish_local(&mut sur, "local");
    let reply = deliver_prepare(&mut sur, &prepare(&norte));
    let reason = "the change to generation 2 is pending there".to_owned();
    assert_eq!(reply.vote, Vote::Rejected { reason });
    assert_eq!(deliver_vote(&mut norte, &reply), Some(Outcome::Applied));
    let reason =
        "region sur rejected the change: the change to generation 2 is pending there".to_owned();
    assert_eq!(statuses(&norte, 1), [ChangeStatus::Aborted { reason }]);
}

#[test]
fn prepare_of_another_coordinator_is_rejected() {
    let change = ChangeRef {
        id: ChangeId(9),
        coordinator: region("oeste"),
        generation: Generation(1),
    };
    let mut sur = record_with_policy();
    let before = sur.clone();
    let reply = deliver_prepare(
        &mut sur,
        &Prepare {
            change,
            text: String::new(),
        },
    );
    let reason =
        "the change comes from region oeste, but the coordinator of region sur is region norte"
            .to_owned();
    assert_eq!(reply.vote, Vote::Rejected { reason });
    assert_eq!(sur, before);
}

#[test]
fn local_changes_are_rejected_during_a_cross_region_change_and_accepted_after_it() {
    let (mut norte, mut sur) = voted();
    let rejection = |awaited_region| {
        let awaited_regions = BTreeSet::from([awaited_region]);
        Outcome::Rejected(Rejection::CrossRegionPending {
            generation: Generation(2),
            id: ChangeId(1),
            awaited_regions,
        })
    };
    assert_eq!(publish_local(&mut norte, "local"), rejection(self::sur()));
    assert_eq!(publish_cross_region(&mut norte, 2), rejection(self::sur()));
    assert_eq!(publish_local(&mut sur, "local"), rejection(self::norte()));
    let vote = deliver_prepare(&mut sur, &prepare(&norte));
    deliver_vote(&mut norte, &vote);
    log_next_command(&mut norte);
    // Until the commit is acknowledged, only the next cross-region change has to wait.
    assert_eq!(publish_cross_region(&mut norte, 2), rejection(self::sur()));
    assert_eq!(
        publish_local(&mut norte, "local"),
        Outcome::Started(Generation(3))
    );
    assert_eq!(log_next_command(&mut norte), Some(Outcome::Applied));
    assert_eq!(publish_local(&mut sur, "local"), rejection(self::norte()));
    let acknowledged = deliver_commit(&mut sur, &commit(&norte));
    assert_eq!(
        deliver_vote(&mut norte, &acknowledged),
        Some(Outcome::Applied)
    );
    assert_eq!(
        publish_local(&mut sur, "local"),
        Outcome::Started(Generation(3))
    );
    assert_eq!(
        publish_cross_region(&mut norte, 2),
        Outcome::Started(Generation(4))
    );
}

#[test]
fn coordinator_aborts_when_a_vote_is_missing_at_the_timeout() {
    let (mut norte, _) = started();
    let started_at = NOW - TIMEOUTS.regions;
    assert_eq!(
        next_command(&norte, &leases(), NOW, started_at, TIMEOUTS),
        None
    );
    let reason = "timed out without the vote of region sur".to_owned();
    let abort = Command::Abort {
        revision: norte.revision(),
        reason,
    };
    assert_eq!(
        next_command(&norte, &leases(), NOW, started_at - 1, TIMEOUTS),
        Some(abort.clone())
    );
    // A vote that is logged before the abort prevents the timeout, but an abort decided on earlier is still accepted.
    norte.apply(&Command::Prepared {
        revision: norte.revision(),
        region: sur(),
    });
    assert_eq!(
        next_command(&norte, &leases(), NOW, 0, TIMEOUTS),
        Some(Command::Advance { revision: 2 })
    );
    assert_eq!(norte.apply(&abort), Outcome::Applied);
    assert_eq!(
        norte.apply(&Command::Advance { revision: 2 }),
        Outcome::Rejected(Rejection::Conflict)
    );
}

#[test]
fn participant_learns_of_an_abort_that_the_coordinator_does_not_retain() {
    let (mut norte, mut sur) = voted();
    norte.apply(&Command::Abort {
        revision: norte.revision(),
        reason: "an operator".to_owned(),
    });
    assert_eq!(
        (norte.cross_region(), norte.unacknowledged_commit()),
        (None, None)
    );
    assert_eq!(resolve_outcome(&norte, &mut sur), Some(Outcome::Applied));
    let reason = "the coordinating region has given it up".to_owned();
    assert_eq!(statuses(&sur, 1), [ChangeStatus::Aborted { reason }]);
    assert_eq!(sur.mode(), Some(Mode::stable(3, Generation(1))));
    let unknown = OutcomeRequest {
        id: ChangeId(77),
        region: self::sur(),
    };
    assert_eq!(
        coordinator::outcome(&Record::default(), &unknown).decision,
        Decision::Aborted
    );
}

#[test]
fn commit_is_retained_until_it_is_acknowledged() {
    let (mut norte, mut sur) = committed();
    for text in 0..40 {
        publish_local(&mut norte, &text.to_string());
        log_next_command(&mut norte);
    }
    let unknown = Command::Acknowledged {
        id: ChangeId(2),
        region: self::sur(),
    };
    assert_eq!(
        norte.apply(&unknown),
        Outcome::Rejected(Rejection::Conflict)
    );
    let late_vote = VoteReply {
        id: ChangeId(1),
        vote: Vote::Prepared,
    };
    assert_eq!(deliver_vote(&mut norte, &late_vote), None);
    assert_eq!(resolve_outcome(&norte, &mut sur), Some(Outcome::Applied));
    assert_eq!(statuses(&sur, 1), [ChangeStatus::Committed]);
    let acknowledged = deliver_commit(&mut sur, &commit(&norte));
    assert_eq!(
        deliver_vote(&mut norte, &acknowledged),
        Some(Outcome::Applied)
    );
    assert_eq!(deliver_vote(&mut norte, &acknowledged), None);
}

#[test]
fn late_prepare_does_not_restart_an_ended_change() {
    let (mut norte, mut sur) = committed();
    let (old_prepare, old_commit) = (prepare(&voted().0), commit(&norte));
    let acknowledged = deliver_commit(&mut sur, &old_commit);
    deliver_vote(&mut norte, &acknowledged);
    // Makes more local changes than the record retains.
    for text in 0..200 {
        publish_local(&mut sur, &text.to_string());
        log_next_command(&mut sur);
    }
    assert_eq!(statuses(&sur, 1), []);
    let before = sur.clone();
    assert_eq!(
        deliver_prepare(&mut sur, &old_prepare).vote,
        Vote::Committed
    );
    assert_eq!(deliver_commit(&mut sur, &old_commit).vote, Vote::Committed);
    let late_command = Command::Prepare {
        revision: sur.revision(),
        change: old_prepare.change.clone(),
        text: String::new(),
        fallback_generations: sur.fallback_generations(),
    };
    assert_eq!(
        sur.apply(&late_command),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(sur, before);
}

#[test]
fn new_change_waits_until_the_participant_has_ended_the_older_one() {
    let (mut norte, mut sur) = voted();
    norte.apply(&Command::Abort {
        revision: norte.revision(),
        reason: String::new(),
    });
    assert_eq!(
        publish_cross_region(&mut norte, 2),
        Outcome::Started(Generation(3))
    );
    // The vote is not a rejection, which would abort the new change because of an old one that has ended.
    assert_eq!(
        deliver_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(resolve_outcome(&norte, &mut sur), Some(Outcome::Applied));
    assert_eq!(
        deliver_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(log_next_command(&mut sur), Some(Outcome::Applied));
    let late_vote = VoteReply {
        id: ChangeId(1),
        vote: Vote::Prepared,
    };
    assert_eq!(deliver_vote(&mut norte, &late_vote), None);
    let vote = deliver_prepare(&mut sur, &prepare(&norte));
    assert_eq!(deliver_vote(&mut norte, &vote), Some(Outcome::Applied));
}

#[test]
fn second_publisher_is_rejected_with_the_pending_change() {
    let mut norte = record_with_policy();
    let (first, second) = (publish(&norte, "a", Some(1)), publish(&norte, "b", Some(2)));
    assert_eq!(norte.apply(&first), Outcome::Started(Generation(2)));
    let awaited_regions = BTreeSet::from([sur()]);
    let rejection = Rejection::CrossRegionPending {
        generation: Generation(2),
        id: ChangeId(1),
        awaited_regions,
    };
    assert_eq!(norte.apply(&second), Outcome::Rejected(rejection));
    assert_eq!(statuses(&norte, 2), []);
}

#[test]
fn prepare_is_validated_against_fallback_generations_like_publish() {
    let (norte, mut sur) = started();
    let identity = Identity {
        name: "n".to_owned(),
        incarnation: 1,
    };
    sur.apply(&Command::Register {
        identity,
        on_lease_loss: OnLeaseLoss::Fallback,
    });
    let prepare = prepare(&norte);
    let unvalidated = Command::Prepare {
        revision: sur.revision(),
        change: prepare.change.clone(),
        text: prepare.text.clone(),
        fallback_generations: BTreeSet::new(),
    };
    assert_eq!(
        sur.apply(&unvalidated),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(deliver_prepare(&mut sur, &prepare).vote, Vote::Preparing);
    assert!(matches!(
        sur.cross_region().map(|cross| &cross.role),
        Some(Role::Participant { voted: false })
    ));
}

#[test]
fn change_commits_with_restarts_between_all_steps() {
    let (mut norte, mut sur) = (record_with_policy(), record_with_policy());
    publish_cross_region(&mut norte, 1);
    for _ in 0..12 {
        (norte, sur) = (restarted(&norte), restarted(&sur));
        let requests = coordinator::requests(&norte);
        if let Some((_, request)) = requests.first() {
            let reply = match request {
                Request::Prepare(prepare) => deliver_prepare(&mut sur, prepare),
                Request::Commit(commit) => deliver_commit(&mut sur, commit),
            };
            (norte, sur) = (restarted(&norte), restarted(&sur));
            deliver_vote(&mut norte, &reply);
        }
        (norte, sur) = (restarted(&norte), restarted(&sur));
        log_next_command(&mut sur);
        log_next_command(&mut norte);
    }
    assert_eq!(
        (statuses(&norte, 1), statuses(&sur, 1)),
        (vec![ChangeStatus::Committed], vec![ChangeStatus::Committed])
    );
    assert_eq!(
        (
            norte.unacknowledged_commit(),
            norte.transition(),
            sur.transition()
        ),
        (None, None, None)
    );
}
