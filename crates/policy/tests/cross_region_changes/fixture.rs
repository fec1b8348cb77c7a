//! Fixture of two regions, norte (the coordinator) and sur, with the delivery of messages between them.

use badgerramp_policy::regions::participant::{self, OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    coordinator, AllRegions, ChangeId, Commit, Prepare, Region, Regions, Request, Vote, VoteReply,
};
use badgerramp_policy::{
    next_command, ChangeStatus, ChangeTimeouts, Command, Generation, Identity, LeaseConfig,
    LeaseRequest, Leases, OnLeaseLoss, Outcome, Record, RejectedGeneration,
};
use std::collections::BTreeSet;

pub(crate) const TIMEOUTS: ChangeTimeouts = ChangeTimeouts {
    proxies: 1_000,
    regions: 500,
};
pub(crate) const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};
/// A time at which all leases of earlier leaders have expired.
pub(crate) const NOW: u64 = 10_000;

pub(crate) fn region(name: &str) -> Region {
    name.parse().expect("a valid region name")
}

pub(crate) fn norte() -> Region {
    region("norte")
}

pub(crate) fn sur() -> Region {
    region("sur")
}

pub(crate) fn regions_of_sur() -> Regions {
    Regions::new(sur(), [norte(), sur()])
}

/// Returns the command that publishes a policy, as a cross-region change if `id` is given.
pub(crate) fn publish(record: &Record, text: &str, id: Option<u64>) -> Command {
    let all_regions = |id| AllRegions {
        id: ChangeId(id),
        coordinator: norte(),
        participants: BTreeSet::from([sur()]),
    };
    Command::Publish {
        revision: record.revision(),
        text: text.to_owned(),
        fallback_generations: record.fallback_generations(),
        all_regions: id.map(all_regions),
    }
}

pub(crate) fn publish_local(record: &mut Record, text: &str) -> Outcome {
    let command = publish(record, text, None);
    record.apply(&command)
}

pub(crate) fn publish_cross_region(record: &mut Record, id: u64) -> Outcome {
    let command = publish(record, "new", Some(id));
    record.apply(&command)
}

/// Returns the record after a restart: a round trip through JSON.
pub(crate) fn restarted(record: &Record) -> Record {
    let text = serde_json::to_string(record).expect("the record serializes");
    serde_json::from_str(&text).expect("the record deserializes")
}

/// Returns a record with one policy in force.
pub(crate) fn record_with_policy() -> Record {
    let mut record = Record::default();
    publish_local(&mut record, "old");
    record
}

pub(crate) fn leases() -> Leases {
    Leases::after_election(LEASE_CONFIG, 0)
}

/// Applies the next command of the leader, if any, and returns its outcome.
pub(crate) fn log_next_command(record: &mut Record) -> Option<Outcome> {
    let command = next_command(record, &leases(), NOW, NOW, TIMEOUTS)?;
    Some(record.apply(&command))
}

pub(crate) fn prepare(coordinator_record: &Record) -> Prepare {
    let requests = coordinator::requests(coordinator_record);
    let [(to, Request::Prepare(prepare))] = &requests[..] else {
        panic!("expected one prepare: {requests:?}")
    };
    assert_eq!(to, &sur());
    prepare.clone()
}

pub(crate) fn commit(coordinator_record: &Record) -> Commit {
    let requests = coordinator::requests(coordinator_record);
    let [(to, Request::Commit(commit))] = &requests[..] else {
        panic!("expected one commit: {requests:?}")
    };
    assert_eq!(to, &sur());
    commit.clone()
}

/// Handles a prepare in sur, as the control plane does.
pub(crate) fn deliver_prepare(record: &mut Record, prepare: &Prepare) -> VoteReply {
    match participant::on_prepare(record, &regions_of_sur(), prepare) {
        OnPrepare::Reply(reply) => reply,
        OnPrepare::Start {
            command,
            fallback_generations,
        } => {
            assert_eq!(fallback_generations, record.fallback_generations());
            participant::prepare_reply(&prepare.change, &record.apply(&command))
        }
    }
}

/// Handles a commit in sur, as the control plane does.
pub(crate) fn deliver_commit(record: &mut Record, commit: &Commit) -> VoteReply {
    match participant::on_commit(record, commit) {
        OnCommit::Reply(reply) => reply,
        OnCommit::Log(command) => {
            record.apply(&command);
            participant::current_status(record, &commit.change)
        }
    }
}

pub(crate) fn deliver_vote(record: &mut Record, reply: &VoteReply) -> Option<Outcome> {
    let command = coordinator::on_vote(record, &sur(), reply)?;
    Some(record.apply(&command))
}

/// Requests the outcome for sur and applies the reply.
pub(crate) fn resolve_outcome(coordinator_record: &Record, record: &mut Record) -> Option<Outcome> {
    let (to, request) = participant::outcome_request(record, &regions_of_sur())?;
    assert_eq!(to, norte());
    let reply = coordinator::outcome(coordinator_record, &request);
    let command = participant::on_outcome(record, &reply)?;
    Some(record.apply(&command))
}

/// Returns both regions after change 1 has started in the coordinator.
pub(crate) fn started() -> (Record, Record) {
    let (mut norte, sur) = (record_with_policy(), record_with_policy());
    assert_eq!(
        publish_cross_region(&mut norte, 1),
        Outcome::Started(Generation(2))
    );
    (norte, sur)
}

/// Returns both regions after the participant has voted.
pub(crate) fn voted() -> (Record, Record) {
    let (norte, mut sur) = started();
    assert_eq!(
        deliver_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(log_next_command(&mut sur), Some(Outcome::Applied));
    assert_eq!(
        deliver_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Prepared
    );
    (norte, sur)
}

/// Returns both regions after the coordinator has committed.
pub(crate) fn committed() -> (Record, Record) {
    let (mut norte, mut sur) = voted();
    let vote = deliver_prepare(&mut sur, &prepare(&norte));
    assert_eq!(deliver_vote(&mut norte, &vote), Some(Outcome::Applied));
    assert_eq!(log_next_command(&mut norte), Some(Outcome::Applied));
    (norte, sur)
}

/// Returns the statuses of all changes with this identifier.
pub(crate) fn statuses(record: &Record, id: u64) -> Vec<ChangeStatus> {
    let has_id = |change: &&badgerramp_policy::Change| change.id == Some(ChangeId(id));
    record
        .changes()
        .values()
        .filter(has_id)
        .map(|change| change.status.clone())
        .collect()
}

pub(crate) fn lease_request(rejected: Option<RejectedGeneration>) -> LeaseRequest {
    LeaseRequest {
        identity: Identity {
            name: "p".to_owned(),
            incarnation: 1,
        },
        sequence: 1,
        active_revision: 0,
        loaded_generations: BTreeSet::new(),
        rejected_generation: rejected,
        on_lease_loss: OnLeaseLoss::Reject,
    }
}
