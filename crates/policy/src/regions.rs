//! Changes of all regions: two-phase commit between regions that each have a replica group, and a [`crate::Record`], of
//! their own.
//!
//! - **Prepare.** The coordinator (the first region by name) begins a middle of its own and sends [`Prepare`] to each
//!   participant, again and again until it has a final [`Vote`]. A participant takes it into its log as a middle of the
//!   same policy.
//! - **Vote.** The prepared state is the existing middle state under leases: a participant is prepared when no proxy of
//!   its region can act under a mode older than the middle. It writes that to its log before it answers
//!   [`Vote::Prepared`]. From then on it neither aborts nor advances by itself.
//! - **Decide.** The coordinator logs each vote. With all votes, and its own region prepared, it advances: that log entry
//!   commits the change everywhere. A refusal, a time-out or an operator aborts it, as long as it has not advanced.
//! - **Commit and acknowledge.** The coordinator sends [`Commit`] until each participant has answered [`Vote::Committed`],
//!   and remembers the decision until then; the next change of all regions has to wait for that.
//! - **Presumed abort.** A participant that waits sends [`OutcomeRequest`]. The coordinator answers
//!   [`Decision::Aborted`] for a change that it does not know, so an abort need not be remembered. The answer has to be
//!   linearizable: a deposed leader may not know yet of a change that its successor has begun.
//!
//! All that the protocol relies on after a restart is in the record. [`coordinator`] and [`participant`] say what follows
//! from it: what to send, what to log, what to answer. They have no I/O and no clock.

mod change;
pub mod coordinator;
mod messages;
pub mod participant;
mod region;

pub use change::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, Participation, Role, Scope,
    UnacknowledgedCommit,
};
pub use messages::{Commit, OutcomeReply, OutcomeRequest, Prepare, Request, Vote, VoteReply};
pub(crate) use region::region_list;
pub use region::{InvalidRegion, Region, Regions};
