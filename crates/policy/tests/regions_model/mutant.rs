//! Defects that the model check has to find.

use crate::model::RegionsModel;
use crate::{COMMITTED_TWICE, MIXED, OUTCOMES_DIFFER, STUCK};

/// A defect in the use of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// The coordinator advances without the votes of all participants.
    AdvanceWithoutVotes,
    /// A participant aborts on its time-out after it has voted.
    AbortAfterVote,
    /// A participant votes while proxies may serve under an older mode.
    VoteBeforePrepared,
    /// A participant does not log its vote.
    VoteNotLogged,
    /// A participant that has voted advances without the decision.
    AdvanceAfterVote,
    /// The coordinator reports a change that it does not know as committed.
    PresumedCommit,
    /// The coordinator forgets a commit before it is acknowledged.
    CommitForgotten,
    /// A participant acknowledges a commit before it is logged.
    AcknowledgedBeforeLogged,
    /// A late prepare restarts a change that has ended, and the retained history tells its outcome.
    LatePrepareRestartsChange,
    /// A local change is accepted in a transition that the region has voted for.
    LocalPublishAfterVote,
    /// A deposed leader replies with the outcome of a change.
    DeposedReplies,
    /// A late vote for an older change counts for the pending one.
    StaleVoteCounts,
    /// The coordinator reports an undecided change as aborted.
    PendingReportedAborted,
    /// A participant never asks for the outcome of a change.
    NeverAsksForOutcome,
}

/// Every defect.
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
    /// A model in which it does harm, and the property that it violates there.
    pub(crate) fn model(self) -> (RegionsModel, &'static str) {
        let model = RegionsModel {
            mutant: Some(self),
            ..RegionsModel::default()
        };
        match self {
            Mutant::AdvanceWithoutVotes
            | Mutant::VoteBeforePrepared
            | Mutant::AdvanceAfterVote
            | Mutant::PresumedCommit => (model, MIXED),
            Mutant::AbortAfterVote
            | Mutant::CommitForgotten
            | Mutant::AcknowledgedBeforeLogged
            | Mutant::PendingReportedAborted => (model, OUTCOMES_DIFFER),
            Mutant::VoteNotLogged | Mutant::DeposedReplies => (
                RegionsModel {
                    elections: 1,
                    ..model
                },
                OUTCOMES_DIFFER,
            ),
            Mutant::LatePrepareRestartsChange => (model, COMMITTED_TWICE),
            Mutant::LocalPublishAfterVote => (
                RegionsModel {
                    local_publishes: 1,
                    ..model
                },
                OUTCOMES_DIFFER,
            ),
            Mutant::StaleVoteCounts => (
                RegionsModel {
                    publishes: 2,
                    aborts: 1,
                    ..model
                },
                MIXED,
            ),
            Mutant::NeverAsksForOutcome => (model, STUCK),
        }
    }
}
