//! Coordinator of a cross-region change: the messages, commands and replies that follow from its record.

use super::{
    Commit, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest, Prepare, Region, Request,
    Role, UnacknowledgedCommit, Vote, VoteReply,
};
use crate::{Command, Record};

/// Returns the requests to send to each region. The caller sends them repeatedly, at an interval of its choice, until the
/// replies make them unnecessary. Empty in a region that coordinates no change.
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

/// Returns the command to log on a reply of `region`; `None` for a reply that is late, duplicated or not final.
pub fn on_vote(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    match &reply.vote {
        Vote::Preparing => None,
        Vote::Prepared => record_vote(record, region, reply),
        Vote::Rejected { reason } => abort(
            record,
            region,
            reply,
            format!("region {region} rejected the change: {reason}"),
        ),
        Vote::Aborted => abort(
            record,
            region,
            reply,
            format!("region {region} aborted the change"),
        ),
        Vote::Committed => record_acknowledgement(record, region, reply),
    }
}

/// Returns the revision of the transition, if it is that of this reply and still waits for the vote of `region`.
fn awaited_revision(record: &Record, region: &Region, reply: &VoteReply) -> Option<u64> {
    let cross = record
        .cross_region()
        .filter(|cross| cross.change.id == reply.id)?;
    let is_awaited =
        matches!(cross.role, Role::Coordinator { .. }) && cross.awaited_regions().contains(region);
    is_awaited.then(|| record.revision())
}

fn record_vote(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    let revision = awaited_revision(record, region, reply)?;
    Some(Command::Prepared {
        revision,
        region: region.clone(),
    })
}

fn abort(record: &Record, region: &Region, reply: &VoteReply, reason: String) -> Option<Command> {
    let revision = awaited_revision(record, region, reply)?;
    Some(Command::Abort { revision, reason })
}

fn record_acknowledgement(record: &Record, region: &Region, reply: &VoteReply) -> Option<Command> {
    let commit = record
        .unacknowledged_commit()
        .filter(|commit| commit.change.id == reply.id)?;
    let is_awaited = commit.regions.contains(region);
    is_awaited.then(|| Command::Acknowledged {
        id: reply.id,
        region: region.clone(),
    })
}

/// Returns the reply to a participant's request for the decision. After the request has arrived, the caller must confirm
/// that this replica still leads and has applied every command committed until then.
///
/// Only a region that has not acknowledged the commit receives [`Decision::Committed`]. A region that has acknowledged the
/// commit has it in its log; if that region is in a transition to the change again, a delayed message has started it.
pub fn outcome(record: &Record, request: &OutcomeRequest) -> OutcomeReply {
    OutcomeReply {
        id: request.id,
        decision: decision(record, request),
    }
}

fn decision(record: &Record, request: &OutcomeRequest) -> Decision {
    if record
        .cross_region()
        .is_some_and(|cross| cross.change.id == request.id)
    {
        return Decision::Pending;
    }
    let is_awaited = |commit: &UnacknowledgedCommit| {
        commit.change.id == request.id && commit.regions.contains(&request.region)
    };
    if record.unacknowledged_commit().is_some_and(is_awaited) {
        Decision::Committed
    } else {
        Decision::Aborted
    }
}
