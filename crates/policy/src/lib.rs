//! Two-phase change of the policy of a fleet, under leases: a new policy comes into force at every proxy or at none.
//!
//! This crate owns the decisions of both sides: which calls a proxy may start now ([`LeaseHolder`]), what the leader of
//! the control plane grants ([`Leases`]), what its replicas agree on ([`Record`], changed by [`Command`]s of the
//! replicated log only) and which step comes next ([`next_command`]). It does no I/O and has neither clock nor
//! randomness of its own; times are passed in by the caller.
//!
//! The control plane has one [`Mode`] at a time: a single generation, or a transition between two. A proxy serves under
//! the mode that it was last granted, until the lease expires. In a transition it starts only calls that both
//! generations allow ([`intersect`]). The transition ends when no proxy can serve under an older mode any more: each
//! has confirmed it, or its lease has expired. So at any time calls start under the old generation and the transition,
//! or under the transition and the new generation, never under the old and the new one. `docs/policy-design.md`
//! compares this with alternatives.
//!
//! A fleet may have several regions, each with a control plane of its own: [`regions`] describes how one change comes
//! into force in all of them or in none, and `docs/regions-design.md` why so.
//!
//! ```
//! use badgerramp_policy::{Command, Generation, Mode, Outcome, Record};
//!
//! let mut record = Record::default();
//! let publish = |record: &Record, text: &str| Command::Publish {
//!     revision: record.revision(),
//!     text: text.to_owned(),
//!     fallback_generations: record.fallback_generations(),
//!     all_regions: None,
//! };
//! // The first policy is in force at once; the second one starts a transition.
//! assert_eq!(record.apply(&publish(&record, "first")), Outcome::Started(Generation(1)));
//! assert_eq!(record.apply(&publish(&record, "second")), Outcome::Started(Generation(2)));
//! assert!(record.mode().is_some_and(Mode::is_transition));
//! let revision = record.revision();
//! assert_eq!(record.apply(&Command::Advance { revision }), Outcome::Applied);
//! assert_eq!(record.mode(), Some(Mode::stable(3, Generation(2))));
//! ```
#![forbid(unsafe_code)]

mod change;
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

pub use change::{Change, ChangeStatus};
pub use command::{Command, Outcome, Rejection};
pub use identity::Identity;
pub use intersection::{
    intersect, intersect_answers, IdempotencyKey, Intersection, Mismatch, ResolvedCall, Side,
};
pub use invariants::{InvariantChecker, StartedCall, Violation};
pub use lease_holder::{
    Admission, GrantResult, Lease, LeaseGrant, LeaseHolder, LeaseHolderConfig, LeaseRequest,
    NotAdmitted, OnLeaseLoss, RejectedGeneration,
};
pub use leases::{
    BlockReason, Blocker, GrantOutcome, LeaseConfig, LeaseDenial, Leases, ProxySession,
};
pub use mode::{Generation, Mode};
pub use next_command::{next_command, ChangeTimeouts};
pub use record::{LeaselessProxy, Record};

/// A time or a duration in microseconds.
pub use badgerramp_decisions::Micros;
