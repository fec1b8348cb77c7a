//! The proxy's side of a lease: the mode that it holds, until when, and what may start under it now.
//!
//! The lease time is counted from the moment at which the proxy *sent* its request, on a clock that keeps running while
//! the machine sleeps. The control plane counts it from the moment at which it granted the lease, which is later, so
//! the lease always expires at the proxy first.

use crate::{Generation, Identity, Micros, Mode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// A lease is renewed after this part of its duration (one third): two requests may fail before it expires.
const RENEWALS_PER_LEASE: u64 = 3;

/// What a proxy does when its lease has expired and the control plane is unreachable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum OnLeaseLoss {
    /// Rejects every call.
    #[default]
    #[serde(rename = "Refuse")]
    Reject,
    /// Starts only calls that the fallback policy of its last generation allows. No new generation may violate a
    /// fallback policy that a proxy may still apply.
    #[serde(rename = "Narrow")]
    Fallback,
    /// Keeps serving under its last mode. A change has to wait until this proxy has confirmed it.
    Keep,
}

/// Settings of a [`LeaseHolder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolderConfig {
    /// What the proxy does when its lease has expired.
    pub on_lease_loss: OnLeaseLoss,
    /// A request that is not answered within this time has failed.
    pub request_timeout: Micros,
    /// Delay before the next request after one that failed.
    pub retry_delay: Micros,
}

/// A proxy's request for a new or renewed lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The proxy.
    pub identity: Identity,
    /// Grows with each request of this process. The control plane ignores requests that arrive out of order.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The revision that the proxy serves under, and none older from now on; 0 without any.
    #[serde(rename = "acting")]
    pub active_revision: u64,
    /// The generations whose text the proxy has loaded and found valid.
    #[serde(rename = "has")]
    pub loaded_generations: BTreeSet<Generation>,
    /// A generation whose text the proxy cannot load.
    #[serde(rename = "unread")]
    pub rejected_generation: Option<RejectedGeneration>,
    /// What the proxy does when its lease has expired.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: OnLeaseLoss,
}

/// A generation that a proxy cannot load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejectedGeneration {
    /// The generation.
    pub generation: Generation,
    /// The error, for operators.
    pub reason: String,
}

/// The control plane's reply to a [`LeaseRequest`]: a mode and how long it may be served under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Sequence number of the request that this answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The mode to serve under.
    pub mode: Mode,
    /// Duration of the lease, counted from when the request was sent.
    #[serde(rename = "lease")]
    pub duration: Micros,
}

/// What the proxy did with a [`LeaseGrant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The proxy serves under the granted mode.
    Accepted {
        /// The control plane waits for the confirmation of a transition: send the next request at once.
        renew_now: bool,
    },
    /// The texts of the granted generations have to be loaded first. The old mode stays until its lease expires.
    MissingGenerations,
    /// The grant answers no pending request, or its mode is older than the present one. Nothing changed.
    Ignored,
}

/// Why no call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotAdmitted {
    /// This process was never granted a lease. A copy of the policy on disk does not replace one.
    NoLease,
    /// The lease has expired.
    LeaseExpired,
    /// The control plane has evicted this process and no longer waits for it.
    Evicted,
}

/// Which calls may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Calls that this mode allows: one generation, or the intersection of two.
    Under(Mode),
    /// Calls that the fallback policy of this generation allows.
    Fallback(Generation),
    /// None.
    Denied(NotAdmitted),
}

/// A granted mode and when its lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The mode to serve under.
    pub mode: Mode,
    /// When the lease expires, on the proxy's clock. It may have passed.
    pub expires_at: Micros,
}

/// A request that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    sequence: u64,
    sent_at: Micros,
}

/// The state machine of one proxy process: it requests leases, takes grants and decides what may start.
///
/// The caller sends the requests, loads the texts of generations and provides the clock:
///
/// ```
/// use badgerramp_policy::{
///     Admission, Generation, Identity, LeaseGrant, LeaseHolder, LeaseHolderConfig, Mode, NotAdmitted, OnLeaseLoss,
/// };
///
/// let identity = Identity { name: "checkout".to_owned(), incarnation: 1 };
/// let config = LeaseHolderConfig {
///     on_lease_loss: OnLeaseLoss::Reject,
///     request_timeout: 1_000_000,
///     retry_delay: 200_000,
/// };
/// let mut holder = LeaseHolder::new(identity, config, [Generation(7)].into());
/// let request = holder.request(0);
/// let mode = Mode::stable(1, Generation(7));
/// holder.on_grant(5_000, LeaseGrant { sequence: request.sequence, mode, duration: 3_000_000 });
/// assert_eq!(holder.admission(2_999_999), Admission::Under(mode));
/// assert_eq!(holder.admission(3_000_000), Admission::Denied(NotAdmitted::LeaseExpired));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    identity: Identity,
    config: LeaseHolderConfig,
    lease: Option<Lease>,
    pending: Option<PendingRequest>,
    last_sequence: u64,
    next_request_at: Micros,
    loaded_generations: BTreeSet<Generation>,
    rejected_generation: Option<RejectedGeneration>,
    evicted: bool,
}

impl LeaseHolder {
    /// A process that has just started: it has no lease, whatever is on its disk. `loaded_generations` are the
    /// generations whose texts it has loaded from there, so that they need not be sent again.
    pub fn new(
        identity: Identity,
        config: LeaseHolderConfig,
        loaded_generations: BTreeSet<Generation>,
    ) -> Self {
        LeaseHolder {
            identity,
            config,
            lease: None,
            pending: None,
            last_sequence: 0,
            next_request_at: 0,
            loaded_generations,
            rejected_generation: None,
            evicted: false,
        }
    }

    /// Which calls may start at `now`. A call starts at the moment at which the clock was read for this.
    pub fn admission(&self, now: Micros) -> Admission {
        if self.evicted {
            return Admission::Denied(NotAdmitted::Evicted);
        }
        let Some(lease) = self.lease else {
            return Admission::Denied(NotAdmitted::NoLease);
        };
        if now < lease.expires_at {
            return Admission::Under(lease.mode);
        }
        match self.config.on_lease_loss {
            OnLeaseLoss::Keep => Admission::Under(lease.mode),
            // The generation in force stays admissible; the pending one may never come into force.
            OnLeaseLoss::Fallback => Admission::Fallback(lease.mode.old),
            OnLeaseLoss::Reject => Admission::Denied(NotAdmitted::LeaseExpired),
        }
    }

    /// The last lease, expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// When [`LeaseHolder::request`] is to be called next; `None` while a request is pending, and after an eviction.
    pub fn next_request_at(&self) -> Option<Micros> {
        (self.pending.is_none() && !self.evicted).then_some(self.next_request_at)
    }

    /// When the pending request times out.
    pub fn request_deadline(&self) -> Option<Micros> {
        self.pending
            .map(|request| request.sent_at.saturating_add(self.config.request_timeout))
    }

    /// The request to send now. It replaces a pending one.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.last_sequence += 1;
        self.pending = Some(PendingRequest {
            sequence: self.last_sequence,
            sent_at: now,
        });
        LeaseRequest {
            identity: self.identity.clone(),
            sequence: self.last_sequence,
            active_revision: self.lease.map_or(0, |lease| lease.mode.revision),
            loaded_generations: self.loaded_generations.clone(),
            rejected_generation: self.rejected_generation.clone(),
            on_lease_loss: self.config.on_lease_loss,
        }
    }

    /// The control plane has announced a new revision: request as soon as possible.
    pub fn request_soon(&mut self, now: Micros) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// The text of a generation was loaded and is valid.
    pub fn accept_generation(&mut self, generation: Generation) {
        self.loaded_generations.insert(generation);
        if self
            .rejected_generation
            .as_ref()
            .is_some_and(|rejected| rejected.generation == generation)
        {
            self.rejected_generation = None;
        }
    }

    /// The text of a generation cannot be loaded. The next request reports the reason.
    pub fn reject_generation(&mut self, generation: Generation, reason: String) {
        self.rejected_generation = Some(RejectedGeneration { generation, reason });
    }

    /// Forgets the loaded generations for which `retain` is false.
    pub fn retain_generations(&mut self, retain: impl Fn(Generation) -> bool) {
        self.loaded_generations
            .retain(|&generation| retain(generation));
    }

    /// Takes a grant. Texts that came with it have been passed to [`LeaseHolder::accept_generation`] before.
    pub fn on_grant(&mut self, now: Micros, grant: LeaseGrant) -> GrantResult {
        let Some(request) = self
            .pending
            .filter(|request| request.sequence == grant.sequence)
        else {
            return GrantResult::Ignored;
        };
        self.pending = None;
        let renew_at = request
            .sent_at
            .saturating_add(grant.duration / RENEWALS_PER_LEASE);
        self.next_request_at = renew_at.max(now);
        let held_revision = self.lease.map(|lease| lease.mode.revision);
        let Mode { revision, old, new } = grant.mode;
        if held_revision.is_some_and(|held| held > revision) {
            return GrantResult::Ignored;
        }
        if !self.loaded_generations.contains(&old) || !self.loaded_generations.contains(&new) {
            self.next_request_at = now.saturating_add(self.config.retry_delay);
            return GrantResult::MissingGenerations;
        }
        self.lease = Some(Lease {
            mode: grant.mode,
            expires_at: request.sent_at.saturating_add(grant.duration),
        });
        let renew_now = held_revision != Some(revision) && grant.mode.is_transition();
        if renew_now {
            self.next_request_at = now;
        }
        GrantResult::Accepted { renew_now }
    }

    /// The pending request failed: no connection, a timeout or a rejection.
    pub fn on_request_failed(&mut self, now: Micros) {
        self.pending = None;
        self.next_request_at = now.saturating_add(self.config.retry_delay);
    }

    /// The control plane has evicted this process. No call starts any more.
    pub fn evict(&mut self) {
        self.evicted = true;
        self.pending = None;
    }
}
