//! Two-phase policy changes for a fleet of proxies, based on leases: a new policy comes into force at every proxy or at
//! none.
//!
//! This crate implements the decisions of both sides: which calls a proxy may start now ([`LeaseHolder`]), which leases
//! the leader of the control plane grants ([`Leases`]), the state that its replicas agree on ([`Record`], changed only by
//! the [`Command`]s of the replicated log) and the next step of a change ([`next_command`]). It does no I/O and has
//! neither a clock nor randomness of its own; the caller passes times in.
//!
//! The control plane has one [`Mode`] at a time: a single generation, or a transition between two. A proxy serves under
//! the mode that it was last granted, until the lease expires. In a transition it starts only calls that both
//! generations allow ([`intersect`]). The transition ends when no proxy can serve under an older mode: each proxy has
//! confirmed the transition, or its lease has expired. At any time, calls therefore start under the old generation and
//! the transition, or under the transition and the new generation, but never under both the old and the new generation.
//! `docs/policy-design.md` compares this protocol with alternatives.
//!
//! A fleet may have several regions, each with its own control plane. [`regions`] describes how a change comes into force
//! in all of them or in none; `docs/regions-design.md` gives the reasons for that protocol.
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
//! // The first policy is in force immediately; the second one starts a transition.
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
