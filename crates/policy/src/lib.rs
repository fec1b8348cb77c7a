//! A change of policy takes hold everywhere or nowhere: what a client proxy may begin now and under which terms, and
//! when its control may take the next step. Without I/O, clock or randomness of its own.
//!
//! Control holds one [`Mode`]: either one generation, or two in their middle. A proxy acts under the mode that control
//! last lent it, for as long as the lease runs. In the middle it admits only what both generations allow alike
//! ([`intersect`]). Control leaves the middle for the new generation when no proxy can act under an older mode any more: it
//! has told so, or its lease has run out. So at any time old stands beside middle, or middle beside new, and old never
//! beside new. `docs/policy-design.md` weighs this against other ways.
//!
//! A fleet may have several regions, each with control of its own: [`regions`] says how one change comes into force in all
//! of them or in none, and `docs/regions-design.md` why so.
#![forbid(unsafe_code)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]

mod command;
mod identity;
mod intersection;
mod invariants;
mod lease_holder;
mod leases;
mod mode;
mod next_command;
mod record;
pub mod regions;

pub use command::{Command, Outcome, Rejection};
pub use identity::Identity;
pub use intersection::{
    intersect, intersect_answers, IdempotencyKey, Intersection, Mismatch, ResolvedCall, Side,
};
pub use invariants::{InvariantChecker, StartedCall, Violation};
pub use lease_holder::{
    Admission, GrantResult, LeaseGrant, LeaseHolder, LeaseHolderConfig, LeaseRequest, NotAdmitted,
    OnLeaseLoss, RejectedGeneration,
};
pub use leases::{BlockReason, Blocker, GrantOutcome, LeaseConfig, LeaseDenial, Leases};
pub use mode::{Generation, Mode};
pub use next_command::{next_command, ChangeTimeouts};
pub use record::{Change, ChangeStatus, LeaselessProxy, Record};

/// Microseconds.
pub use badgerramp_decisions::Micros;
