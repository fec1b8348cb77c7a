//! Wrong ways to use the decisions.

use crate::world::World;
use crate::{MIXED, STUCK, TWICE, UNLIKE};

/// A wrong way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// The coordinator advances without the votes of all participants.
    AdvanceWithoutVotes,
    /// A participant aborts on its time-out after it has voted.
    AbortAfterVote,
    /// A participant votes while proxies may act under an older mode.
    VoteBeforePrepared,
    /// A participant keeps its vote in memory only.
    VoteInMemory,
    /// A participant that has voted advances without the decision.
    AdvanceAfterVote,
    /// The coordinator takes a change that it does not know for one in force.
    PresumedCommit,
    /// The coordinator forgets a commit before it is acknowledged.
    CommitForgotten,
    /// A participant acknowledges a commit before it is logged.
    AcknowledgedEarly,
    /// A late prepare of a change that has ended begins it again, and history answers how it ended.
    LatePrepareBeginsAgain,
    /// A change of the region is admitted in a middle for which the region has voted.
    LocalPublishAfterVote,
    /// A deposed leader answers how a change ended.
    DeposedAnswers,
    /// A late vote for an older change counts for the present one.
    VoteForOlderCounts,
    /// The coordinator answers that an undecided change is not in force.
    UndecidedIsNotInForce,
    /// A participant never asks how a change ended.
    NeverAsks,
}

/// All of them.
pub(crate) const ALL: [Mutant; 14] = [
    Mutant::AdvanceWithoutVotes,
    Mutant::AbortAfterVote,
    Mutant::VoteBeforePrepared,
    Mutant::VoteInMemory,
    Mutant::AdvanceAfterVote,
    Mutant::PresumedCommit,
    Mutant::CommitForgotten,
    Mutant::AcknowledgedEarly,
    Mutant::LatePrepareBeginsAgain,
    Mutant::LocalPublishAfterVote,
    Mutant::DeposedAnswers,
    Mutant::VoteForOlderCounts,
    Mutant::UndecidedIsNotInForce,
    Mutant::NeverAsks,
];

impl Mutant {
    /// A world in which it does harm, and the property that it breaks there.
    pub(crate) fn world(self) -> (World, &'static str) {
        let world = World {
            mutant: Some(self),
            ..World::default()
        };
        match self {
            Mutant::AdvanceWithoutVotes
            | Mutant::VoteBeforePrepared
            | Mutant::AdvanceAfterVote
            | Mutant::PresumedCommit => (world, MIXED),
            Mutant::AbortAfterVote
            | Mutant::CommitForgotten
            | Mutant::AcknowledgedEarly
            | Mutant::UndecidedIsNotInForce => (world, UNLIKE),
            Mutant::VoteInMemory | Mutant::DeposedAnswers => (
                World {
                    elections: 1,
                    ..world
                },
                UNLIKE,
            ),
            Mutant::LatePrepareBeginsAgain => (world, TWICE),
            Mutant::LocalPublishAfterVote => (
                World {
                    local_publishes: 1,
                    ..world
                },
                UNLIKE,
            ),
            Mutant::VoteForOlderCounts => (
                World {
                    publishes: 2,
                    aborts: 1,
                    ..world
                },
                MIXED,
            ),
            Mutant::NeverAsks => (world, STUCK),
        }
    }
}
