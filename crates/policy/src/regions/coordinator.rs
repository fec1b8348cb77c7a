//! The coordinator of a change of all regions: what it sends, logs and answers, as its record stands.

use super::{
    Commit, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest, Prepare, Region, Request,
    Role, UnacknowledgedCommit, Vote, VoteReply,
};
use crate::{Command, Record};

/// What has to go out, again and again at a pace that the caller sets, to each region until its answer makes it
/// unnecessary. Empty in a region that coordinates nothing.
pub fn requests(record: &Record) -> Vec<(Region, Request)> {
    prepares(record)
        .into_iter()
        .chain(commits(record))
        .collect()
}

fn prepares(record: &Record) -> Vec<(Region, Request)> {
    let Some(
        cross @ CrossRegionChange {
            change,
            role: Role::Coordinator { .. },
        },
    ) = record.cross_region()
    else {
        return Vec::new();
    };
    let Some(text) = record.text(change.generation) else {
        return Vec::new();
    };
    let prepare = || Prepare {
        change: change.clone(),
        text: text.to_owned(),
    };
    cross
        .awaited_regions()
        .into_iter()
        .map(|region| (region, Request::Prepare(prepare())))
        .collect()
}

fn commits(record: &Record) -> Vec<(Region, Request)> {
    let Some(UnacknowledgedCommit { change, regions }) = record.unacknowledged_commit() else {
        return Vec::new();
    };
    let commit = || Commit {
        change: change.clone(),
    };
    regions
        .iter()
        .map(|region| (region.clone(), Request::Commit(commit())))
        .collect()
}

/// What to log when `region` has answered. `None`: nothing, as for an answer that is late, doubled or not final.
pub fn on_vote(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    match &reply.vote {
        Vote::Preparing => None,
        Vote::Prepared => prepared(record, region, reply),
        Vote::Rejected { reason: why } => give_up(
            record,
            region,
            reply,
            format!("region {region} refuses it: {why}"),
        ),
        Vote::Aborted => give_up(
            record,
            region,
            reply,
            format!("region {region} has given it up"),
        ),
        Vote::Committed => acknowledged(record, region, reply),
    }
}

/// The revision of the middle that still waits for the vote of `region`.
fn waiting(record: &Record, region: &Region, reply: &VoteReply) -> Option<u64> {
    let cross = record
        .cross_region()
        .filter(|cross| cross.change.id == reply.id)?;
    let waits =
        matches!(cross.role, Role::Coordinator { .. }) && cross.awaited_regions().contains(region);
    waits.then(|| record.revision())
}

fn prepared(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    let revision = waiting(record, region, reply)?;
    Some(Command::Prepared {
        revision,
        region: region.clone(),
    })
}

fn give_up(record: &Record, region: &Region, reply: &VoteReply, why: String) -> Option<Command> {
    let revision = waiting(record, region, reply)?;
    Some(Command::Abort {
        revision,
        reason: why,
    })
}

fn acknowledged(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    let commit = record
        .unacknowledged_commit()
        .filter(|commit| commit.change.id == reply.id)?;
    let waits = commit.regions.contains(region);
    waits.then(|| Command::Acknowledged {
        id: reply.id,
        region: region.clone(),
    })
}

/// What a participant is told that asks for the outcome. The caller has to confirm, after the question came in, that it
/// still leads with all that was agreed on until then.
///
/// Only a region that waits for a commit is told of it. One that has acknowledged it holds it in its log, and a middle
/// that it might be in has begun by a late message.
pub fn outcome(record: &Record, asked: &OutcomeRequest) -> OutcomeReply {
    OutcomeReply {
        id: asked.id,
        decision: decision(record, asked),
    }
}

fn decision(record: &Record, asked: &OutcomeRequest) -> Decision {
    if record
        .cross_region()
        .is_some_and(|cross| cross.change.id == asked.id)
    {
        return Decision::Pending;
    }
    let waits = |commit: &UnacknowledgedCommit| {
        commit.change.id == asked.id && commit.regions.contains(&asked.region)
    };
    if record.unacknowledged_commit().is_some_and(waits) {
        Decision::Committed
    } else {
        Decision::Aborted
    }
}
