//! Seeded defects that the model check has to find.

use crate::model::RegionsModel;
use crate::{CHANGES_END, COMMITTED_ONCE, NEVER_MIXED, SAME_OUTCOME};

/// A seeded defect in the use of the crate's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// The coordinator advances without the votes of all participants.
    AdvanceWithoutVotes,
    /// A participant aborts on a timeout after it has voted.
    AbortAfterVote,
    /// A participant votes while proxies may serve under an older mode.
    VoteBeforePrepared,
    /// A participant does not log its vote.
    VoteNotLogged,
    /// A participant that has voted advances without the decision.
    AdvanceAfterVote,
    /// The coordinator reports a change that it does not know as committed.
    PresumedCommit,
    /// The coordinator drops a commit before it is acknowledged.
    CommitForgotten,
    /// A participant acknowledges a commit before it is logged.
    AcknowledgedBeforeLogged,
    /// A late prepare restarts a change that has ended, and the coordinator replies with the outcome from its history.
    LatePrepareRestartsChange,
    /// A local change is accepted during a transition for which the region has voted.
    LocalPublishAfterVote,
    /// A deposed leader replies with the outcome of a change.
    DeposedReplies,
    /// A late vote for an older change is counted for the pending one.
    StaleVoteCounts,
    /// The coordinator reports an undecided change as aborted.
    PendingReportedAborted,
    /// A participant never asks for the outcome of a change.
    NeverAsksForOutcome,
}

/// All seeded defects.
pub(crate) const ALL: [Mutant; 14] = [
    Mutant::AdvanceWithoutVotes,
    Mutant::AbortAfterVote,
    Mutant::VoteBeforePrepared,
    Mutant::VoteNotLogged,
    Mutant::AdvanceAfterVote,
    Mutant::PresumedCommit,
    Mutant::CommitForgotten,
    Mutant::AcknowledgedBeforeLogged,
    Mutant::LatePrepareRestartsChange,
    Mutant::LocalPublishAfterVote,
    Mutant::DeposedReplies,
    Mutant::StaleVoteCounts,
    Mutant::PendingReportedAborted,
    Mutant::NeverAsksForOutcome,
];

impl Mutant {
    /// Returns a model in which the defect violates a property, and that property.
    pub(crate) fn model(self) -> (RegionsModel, &'static str) {
        let model = RegionsModel {
            mutant: Some(self),
            ..RegionsModel::default()
        };
        match self {
            Mutant::AdvanceWithoutVotes
            | Mutant::VoteBeforePrepared
            | Mutant::AdvanceAfterVote
            | Mutant::PresumedCommit => (model, NEVER_MIXED),
            Mutant::AbortAfterVote
            | Mutant::CommitForgotten
            | Mutant::AcknowledgedBeforeLogged
            | Mutant::PendingReportedAborted => (model, SAME_OUTCOME),
            Mutant::VoteNotLogged | Mutant::DeposedReplies => (
                RegionsModel {
                    elections: 1,
                    ..model
                },
                SAME_OUTCOME,
            ),
            Mutant::LatePrepareRestartsChange => (model, COMMITTED_ONCE),
            Mutant::LocalPublishAfterVote => (
                RegionsModel {
                    local_publishes: 1,
                    ..model
                },
                SAME_OUTCOME,
            ),
            Mutant::StaleVoteCounts => (
                RegionsModel {
                    publishes: 2,
                    aborts: 1,
                    ..model
                },
                NEVER_MIXED,
            ),
            Mutant::NeverAsksForOutcome => (model, CHANGES_END),
        }
    }
}
