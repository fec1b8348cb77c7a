//! A participant of a cross-region change: what it replies, logs and asks, derived from its record.

use super::{
    ChangeRef, Commit, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest, Prepare, Regions,
    Role, Vote, VoteReply,
};
use crate::{Command, Generation, Outcome, Record, Rejection};
use std::collections::BTreeSet;

/// What to do with a [`Prepare`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnPrepare {
    /// Send this reply.
    Reply(VoteReply),
    /// Validate the policy, also against the fallback policies of the own record. If it is valid, log the command and
    /// reply with [`prepare_reply`]; if not, reply with [`rejected`].
    Start {
        /// The generations whose fallback policies the new policy must not violate.
        fallback_generations: BTreeSet<Generation>,
        /// The command to log.
        command: Command,
    },
}

/// What to do with a [`Commit`].
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

/// Whether this region is still in the transition of an older change of the same coordinator. That change has ended,
/// and the reply to the next [`outcome_request`] ends the transition.
fn awaits_older_change(record: &Record, change: &ChangeRef) -> bool {
    record.cross_region().is_some_and(|cross| {
        cross.change.coordinator == change.coordinator
            && cross.change.generation < change.generation
    })
}

/// Why this region does not take part in a new change; `None` if it does.
fn rejection_reason(record: &Record, regions: &Regions, change: &ChangeRef) -> Option<String> {
    let (own, coordinator) = (regions.own(), regions.coordinator());
    if &change.coordinator != coordinator || coordinator == own {
        let found = &change.coordinator;
        return Some(format!(
            "it comes from region {found}; for region {own} {coordinator} coordinates"
        ));
    }
    let transition = record.transition()?;
    Some(format!(
        "the change to {} is under way there",
        transition.new
    ))
}

/// The reply to a [`Prepare`] whose [`OnPrepare::Start`] command was applied with this outcome.
pub fn prepare_reply(change: &ChangeRef, outcome: &Outcome) -> VoteReply {
    match outcome {
        Outcome::Started(_) | Outcome::Applied => reply(change, Vote::Preparing),
        Outcome::Rejected(Rejection::ChangePending(generation)) => rejected(
            change,
            format!("the change to {generation} is under way there"),
        ),
        // Another message came first; the next request finds out.
        Outcome::Rejected(_) => reply(change, Vote::Preparing),
    }
}

/// The reply to a [`Prepare`] whose policy is not valid in this region.
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

/// The reply that tells the state of a change in this region.
pub fn current_status(record: &Record, change: &ChangeRef) -> VoteReply {
    let unknown = || Vote::Rejected {
        reason: "it is not known there".to_owned(),
    };
    reply(change, known_vote(record, change).unwrap_or_else(unknown))
}

/// The request for the decision and the coordinator to send it to, repeatedly while this region is in the transition of
/// a cross-region change.
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

/// The command to log on the coordinator's reply, if any.
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

/// The state of a change in this region, if it has taken part in it or in a later one of the same coordinator.
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
    // The coordinator has started a later change, so this one has ended and the reply is no longer awaited.
    (change.generation <= last_participation.change.generation).then_some(Vote::Aborted)
}
