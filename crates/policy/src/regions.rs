//! Cross-region changes: two-phase commit between regions that each have a replica group, and a [`crate::Record`], of
//! their own.
//!
//! - **Prepare.** The coordinator (the first region by name) starts a transition of its own and sends [`Prepare`] to each
//!   participant, repeatedly until it has a final [`Vote`]. A participant logs it as a transition to the same policy.
//! - **Vote.** A participant is prepared when no proxy of its region can serve under a mode older than the transition.
//!   It logs that before it replies [`Vote::Prepared`]. From then on it neither aborts nor advances by itself.
//! - **Decide.** The coordinator logs each vote. With all votes, and its own region prepared, it advances: that log entry
//!   commits the change everywhere. A rejection, a timeout or an operator aborts it, as long as it has not advanced.
//! - **Commit and acknowledge.** The coordinator sends [`Commit`] until each participant has replied
//!   [`Vote::Committed`], and remembers the commit until then; the next cross-region change has to wait for that.
//! - **Presumed abort.** A participant that waits sends [`OutcomeRequest`]. The coordinator replies
//!   [`Decision::Aborted`] for a change that it does not know, so that an abort need not be remembered. The reply has to
//!   be linearizable: a deposed leader may not know yet of a change that its successor has started.
//!
//! All state that the protocol needs after a restart is in the record. [`coordinator`] and [`participant`] derive from
//! it what to send, what to log and what to reply. They have no I/O and no clock.

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
