//! Participant of a cross-region change: the replies, commands and requests that follow from its record.

use super::{
    ChangeRef, Commit, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest, Prepare, Regions,
    Role, Vote, VoteReply,
};
use crate::{Command, Generation, Outcome, Record, Rejection};
use std::collections::BTreeSet;

/// How to handle a [`Prepare`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnPrepare {
    /// Send this reply.
    Reply(VoteReply),
    /// Validate the policy, including against the fallback policies of this region's record. If it is valid, log the
    /// command and reply with [`prepare_reply`]; otherwise reply with [`rejected`].
    Start {
        /// Generations whose fallback policies the new policy must not violate.
        fallback_generations: BTreeSet<Generation>,
        /// The command to log.
        command: Command,
    },
}

/// How to handle a [`Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnCommit {
    /// Send this reply.
    Reply(VoteReply),
    /// Log this command, then reply with [`current_status`].
    Log(Command),
}

/// Handles a [`Prepare`].
pub fn on_prepare(record: &Record, regions: &Regions, prepare: &Prepare) -> OnPrepare {
    let change = &prepare.change;
    if let Some(vote) = known_vote(record, change) {
        return OnPrepare::Reply(reply(change, vote));
    }
    if awaits_older_change(record, change) {
        return OnPrepare::Reply(reply(change, Vote::Preparing));
    }
    if let Some(reason) = rejection_reason(record, regions, change) {
        return OnPrepare::Reply(rejected(change, reason));
    }
    let fallback_generations = record.fallback_generations();
    let command = Command::Prepare {
        revision: record.revision(),
        change: change.clone(),
        text: prepare.text.clone(),
        fallback_generations: fallback_generations.clone(),
    };
    OnPrepare::Start {
        fallback_generations,
        command,
    }
}

/// Returns whether this region is still in the transition of an older change of the same coordinator. That change has
/// ended, and the reply to the next [`outcome_request`] ends the transition.
fn awaits_older_change(record: &Record, change: &ChangeRef) -> bool {
    record.cross_region().is_some_and(|cross| {
        cross.change.coordinator == change.coordinator
            && cross.change.generation < change.generation
    })
}

/// Returns why this region rejects a new change; `None` if it takes part in it.
fn rejection_reason(record: &Record, regions: &Regions, change: &ChangeRef) -> Option<String> {
    let (own, coordinator) = (regions.own(), regions.coordinator());
    if &change.coordinator != coordinator || coordinator == own {
        let found = &change.coordinator;
        return Some(format!(
            "the change comes from region {found}, but the coordinator of region {own} is region {coordinator}"
        ));
    }
    let transition = record.transition()?;
    Some(format!("the change to {} is pending there", transition.new))
}

/// Returns the reply to a [`Prepare`] whose [`OnPrepare::Start`] command was applied with this outcome.
pub fn prepare_reply(change: &ChangeRef, outcome: &Outcome) -> VoteReply {
    match outcome {
        Outcome::Started(_) | Outcome::Applied => reply(change, Vote::Preparing),
        Outcome::Rejected(Rejection::ChangePending(generation)) => rejected(
            change,
            format!("the change to {generation} is pending there"),
        ),
        // Another command was applied first. The reply to the next request reports the result.
        Outcome::Rejected(_) => reply(change, Vote::Preparing),
    }
}

/// Returns the reply to a [`Prepare`] whose policy is not valid in this region.
pub fn rejected(change: &ChangeRef, reason: String) -> VoteReply {
    reply(change, Vote::Rejected { reason })
}

/// Handles a [`Commit`].
pub fn on_commit(record: &Record, commit: &Commit) -> OnCommit {
    match known_vote(record, &commit.change) {
        Some(Vote::Prepared) => OnCommit::Log(Command::Committed {
            id: commit.change.id,
        }),
        _ => OnCommit::Reply(current_status(record, &commit.change)),
    }
}

/// Returns the reply that reports the state of a change in this region.
pub fn current_status(record: &Record, change: &ChangeRef) -> VoteReply {
    let unknown = || Vote::Rejected {
        reason: "the change is not known there".to_owned(),
    };
    reply(change, known_vote(record, change).unwrap_or_else(unknown))
}

/// Returns the request for the decision and the coordinator to send it to. The caller sends it repeatedly while this
/// region is in the transition of a cross-region change.
pub fn outcome_request(
    record: &Record,
    regions: &Regions,
) -> Option<(super::Region, OutcomeRequest)> {
    let CrossRegionChange {
        change,
        role: Role::Participant { .. },
    } = record.cross_region()?
    else {
        return None;
    };
    let request = OutcomeRequest {
        id: change.id,
        region: regions.own().clone(),
    };
    Some((change.coordinator.clone(), request))
}

/// Returns the command to log on the coordinator's reply, if any.
pub fn on_outcome(record: &Record, reply: &OutcomeReply) -> Option<Command> {
    let CrossRegionChange {
        change,
        role: Role::Participant { voted },
    } = record.cross_region()?
    else {
        return None;
    };
    let id = change.id;
    if id != reply.id {
        return None;
    }
    match reply.decision {
        Decision::Pending => None,
        // A change is never committed without the vote of this region.
        Decision::Committed => voted.then_some(Command::Committed { id }),
        Decision::Aborted => Some(Command::Aborted { id }),
    }
}

fn reply(change: &ChangeRef, vote: Vote) -> VoteReply {
    VoteReply {
        id: change.id,
        vote,
    }
}

/// Returns the state of a change in this region, if the region has taken part in it or in a later one of the same
/// coordinator.
fn known_vote(record: &Record, change: &ChangeRef) -> Option<Vote> {
    let last_participation = record.participation(&change.coordinator)?;
    if last_participation.change.id == change.id {
        let has_voted = record
            .cross_region()
            .is_some_and(CrossRegionChange::has_voted);
        return Some(match last_participation.decision {
            Decision::Pending if has_voted => Vote::Prepared,
            Decision::Pending => Vote::Preparing,
            Decision::Committed => Vote::Committed,
            Decision::Aborted => Vote::Aborted,
        });
    }
    // The coordinator has started a later change, so this one has ended and the coordinator ignores the reply.
    (change.generation <= last_participation.change.generation).then_some(Vote::Aborted)
}
