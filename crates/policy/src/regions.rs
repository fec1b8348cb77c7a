//! Cross-region changes: two-phase commit between regions, each of which has its own replica group and its own
//! [`crate::Record`].
//!
//! - **Prepare.** The coordinator (the first region by name) starts a transition in its own region and sends [`Prepare`]
//!   to each participant, repeatedly until it has received a final [`Vote`]. A participant logs the request as a
//!   transition to the same policy.
//! - **Vote.** A participant is prepared when no proxy of its region can serve under a mode older than the transition.
//!   It logs its vote before it replies [`Vote::Prepared`]. From then on it neither aborts nor advances on its own.
//! - **Decide.** The coordinator logs each vote. When all participants have voted and its own region is prepared, it
//!   advances: that log entry commits the change everywhere. Until then, a rejection, a timeout or an operator can abort
//!   the change.
//! - **Commit and acknowledge.** The coordinator sends [`Commit`] to each participant until it has replied
//!   [`Vote::Committed`], and retains the commit until then. The next cross-region change has to wait for that.
//! - **Presumed abort.** A participant that waits for the decision sends [`OutcomeRequest`]. The coordinator replies
//!   [`Decision::Aborted`] for a change that it does not know, so it does not have to retain aborts. The reply has to be
//!   linearizable: a deposed leader may not yet know of a change that its successor has started.
//!
//! All state that the protocol needs after a restart is in the record. [`coordinator`] and [`participant`] derive from
//! it the messages to send, the commands to log and the replies. They perform no I/O and have no clock.

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
