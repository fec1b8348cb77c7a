//! A participant of a change of all regions: what it answers, logs and asks, as its record stands.

use super::{
    ChangeRef, Commit, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest, Prepare, Regions,
    Role, Vote, VoteReply,
};
use crate::{Command, Generation, Outcome, Record, Rejection};
use std::collections::BTreeSet;

/// What to do with a [`Prepare`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnPrepare {
    /// Answer this.
    Reply(VoteReply),
    /// Read the policy and check it against these floors of the own record. If it is good, log the command and answer
    /// [`prepare_reply`] of what became of it; if not, answer [`rejected`].
    Start {
        /// The generations whose floors the policy must leave.
        fallback_generations: BTreeSet<Generation>,
        /// What to log.
        command: Command,
    },
}

/// What to do with a [`Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnCommit {
    /// Answer this.
    Reply(VoteReply),
    /// Log this, and then answer [`current_status`].
    Log(Command),
}

/// A [`Prepare`] has come in.
pub fn on_prepare(record: &Record, regions: &Regions, prepare: &Prepare) -> OnPrepare {
    let change = &prepare.change;
    if let Some(vote) = known(record, change) {
        return OnPrepare::Reply(reply(change, vote));
    }
    if awaits_older(record, change) {
        return OnPrepare::Reply(reply(change, Vote::Preparing));
    }
    if let Some(why) = not_taken(record, regions, change) {
        return OnPrepare::Reply(rejected(change, why));
    }
    let floors = record.fallback_generations();
    let command = Command::Prepare {
        revision: record.revision(),
        change: change.clone(),
        text: prepare.text.clone(),
        fallback_generations: floors.clone(),
    };
    OnPrepare::Start {
        fallback_generations: floors,
        command,
    }
}

/// Is this region still in the middle of an older change of the same coordinator? That one has ended, and the answer to
/// the next [`outcome_request`] makes room for the new one.
fn awaits_older(record: &Record, change: &ChangeRef) -> bool {
    record.cross_region().is_some_and(|cross| {
        cross.change.coordinator == change.coordinator
            && cross.change.generation < change.generation
    })
}

/// Why a change that is not known here is not taken in, if it isn't.
fn not_taken(record: &Record, regions: &Regions, change: &ChangeRef) -> Option<String> {
    let (own, coordinator) = (regions.own(), regions.coordinator());
    if &change.coordinator != coordinator || coordinator == own {
        let found = &change.coordinator;
        return Some(format!(
            "it comes from region {found}; for region {own} {coordinator} coordinates"
        ));
    }
    let middle = record.transition()?;
    Some(format!("the change to {} is under way there", middle.new))
}

/// The answer to a [`Prepare`] whose [`OnPrepare::Start`] was logged and came to this.
pub fn prepare_reply(change: &ChangeRef, outcome: &Outcome) -> VoteReply {
    match outcome {
        Outcome::Started(_) | Outcome::Applied => reply(change, Vote::Preparing),
        Outcome::Rejected(Rejection::ChangePending(generation)) => rejected(
            change,
            format!("the change to {generation} is under way there"),
        ),
        // Another message may have been faster; the next one finds out.
        Outcome::Rejected(_) => reply(change, Vote::Preparing),
    }
}

/// The answer to a [`Prepare`] whose policy can't come here.
pub fn rejected(change: &ChangeRef, why: String) -> VoteReply {
    reply(change, Vote::Rejected { reason: why })
}

/// A [`Commit`] has come in.
pub fn on_commit(record: &Record, commit: &Commit) -> OnCommit {
    match known(record, &commit.change) {
        Some(Vote::Prepared) => OnCommit::Log(Command::Committed {
            id: commit.change.id,
        }),
        _ => OnCommit::Reply(current_status(record, &commit.change)),
    }
}

/// How a change stands here.
pub fn current_status(record: &Record, change: &ChangeRef) -> VoteReply {
    let unknown = || Vote::Rejected {
        reason: "it is not known there".to_owned(),
    };
    reply(change, known(record, change).unwrap_or_else(unknown))
}

/// The question for the outcome, to be sent again and again to the coordinator while a change of all regions is under
/// way here.
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
    let asked = OutcomeRequest {
        id: change.id,
        region: regions.own().clone(),
    };
    Some((change.coordinator.clone(), asked))
}

/// What to log when the coordinator has answered. `None`: nothing.
pub fn on_outcome(record: &Record, reply: &OutcomeReply) -> Option<Command> {
    let CrossRegionChange {
        change,
        role: Role::Participant { voted },
    } = record.cross_region()?
    else {
        return None;
    };
    let id = change.id;
    match reply.decision {
        _ if id != reply.id => None,
        Decision::Pending => None,
        // Nothing is committed without this region's vote.
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

/// How a change stands here, if it was ever taken in or a later one of its coordinator was.
fn known(record: &Record, change: &ChangeRef) -> Option<Vote> {
    let last = record.participation(&change.coordinator)?;
    if last.change.id == change.id {
        return Some(match last.decision {
            Decision::Pending if voted(record) => Vote::Prepared,
            Decision::Pending => Vote::Preparing,
            Decision::Committed => Vote::Committed,
            Decision::Aborted => Vote::Aborted,
        });
    }
    // The coordinator has begun a later change, so this one has ended, and nobody waits for this answer any more.
    (change.generation <= last.change.generation).then_some(Vote::Aborted)
}

fn voted(record: &Record) -> bool {
    matches!(
        record.cross_region(),
        Some(CrossRegionChange {
            role: Role::Participant { voted: true },
            ..
        })
    )
}
