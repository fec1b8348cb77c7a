//! Proxy side of a lease: the mode that it grants, its expiry, and the calls that may start under it.
//!
//! The proxy counts the duration of a lease from the moment at which it *sent* its request, on a clock that keeps running
//! while the machine is suspended. The control plane counts it from the moment at which it granted the lease, which is
//! later, so the lease always expires at the proxy first.

use crate::{Generation, Identity, Micros, Mode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// A lease is renewed after its duration divided by this number, so that two requests may fail before it expires.
const RENEWALS_PER_LEASE: u64 = 3;

/// What a proxy does when its lease has expired and the control plane is unreachable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum OnLeaseLoss {
    /// The proxy rejects every call.
    #[default]
    #[serde(rename = "Refuse")]
    Reject,
    /// The proxy starts only calls that the fallback policy of its last generation allows. No new generation may violate
    /// a fallback policy that a proxy may still apply.
    #[serde(rename = "Narrow")]
    Fallback,
    /// The proxy keeps serving under its last mode. A change has to wait until this proxy has confirmed it.
    Keep,
}

/// Settings of a [`LeaseHolder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolderConfig {
    /// What the proxy does when its lease has expired.
    pub on_lease_loss: OnLeaseLoss,
    /// Time after which a request without a reply counts as failed.
    pub request_timeout: Micros,
    /// Delay before the next request after a failed one.
    pub retry_delay: Micros,
}

/// A proxy's request for a lease or its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identity of the proxy.
    pub identity: Identity,
    /// Sequence number, which increases with each request of this process. The control plane denies requests that arrive
    /// out of order.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The revision under which the proxy serves; 0 if it has none. From now on the proxy serves under no older one.
    #[serde(rename = "acting")]
    pub active_revision: u64,
    /// Generations whose text the proxy has loaded and found valid.
    #[serde(rename = "has")]
    pub loaded_generations: BTreeSet<Generation>,
    /// A generation whose text the proxy cannot load, if any.
    #[serde(rename = "unread")]
    pub rejected_generation: Option<RejectedGeneration>,
    /// What the proxy does when its lease has expired.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: OnLeaseLoss,
}

/// A generation that a proxy cannot load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejectedGeneration {
    /// The generation that cannot be loaded.
    pub generation: Generation,
    /// The load error, as shown to operators.
    pub reason: String,
}

/// The control plane's reply to a [`LeaseRequest`]: a mode, and how long the proxy may serve under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Sequence number of the request that this grant answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The mode under which the proxy may serve.
    pub mode: Mode,
    /// Duration of the lease, counted from the time at which the request was sent.
    #[serde(rename = "lease")]
    pub duration: Micros,
}

/// How the proxy handled a [`LeaseGrant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The proxy serves under the granted mode.
    Accepted {
        /// Whether to send the next request immediately, because the control plane waits for the confirmation of a
        /// transition.
        renew_now: bool,
    },
    /// The texts of the granted generations have to be loaded first. The previous mode applies until its lease expires.
    MissingGenerations,
    /// The grant answers no pending request, or its mode is older than the current one. The mode did not change.
    Ignored,
}

/// Why no call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotAdmitted {
    /// This process was never granted a lease. A copy of the policy on disk does not replace one.
    NoLease,
    /// The lease has expired, and the proxy is configured to reject calls then.
    LeaseExpired,
    /// The control plane has evicted this process and no longer waits for it.
    Evicted,
}

/// The calls that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Calls that this mode allows: those of one generation, or of the intersection of two.
    Under(Mode),
    /// Calls that the fallback policy of this generation allows.
    Fallback(Generation),
    /// No calls, for this reason.
    Denied(NotAdmitted),
}

/// A granted mode and the expiry of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The mode under which the proxy may serve.
    pub mode: Mode,
    /// When the lease expires, on the proxy's clock. It may have passed.
    pub expires_at: Micros,
}

/// A lease request that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    sequence: u64,
    sent_at: Micros,
}

/// Lease state machine of one proxy process: it requests leases, handles grants and decides which calls may start.
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
    /// Creates the state of a process that has just started. It has no lease, even if it has a copy of the policy on disk.
    /// `loaded_generations` are the generations whose texts were loaded from disk, so that they need not be sent again.
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

    /// Returns which calls may start at `now`. The start time of a call is the clock reading passed as `now`.
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
            // The generation in force stays valid for the fallback; the pending one may never come into force.
            OnLeaseLoss::Fallback => Admission::Fallback(lease.mode.old),
            OnLeaseLoss::Reject => Admission::Denied(NotAdmitted::LeaseExpired),
        }
    }

    /// Returns the last lease, whether it has expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Returns when to call [`LeaseHolder::request`] next; `None` while a request is pending and after an eviction.
    pub fn next_request_at(&self) -> Option<Micros> {
        (self.pending.is_none() && !self.evicted).then_some(self.next_request_at)
    }

    /// Returns when the pending request times out.
    pub fn request_deadline(&self) -> Option<Micros> {
        self.pending
            .map(|request| request.sent_at.saturating_add(self.config.request_timeout))
    }

    /// Returns the request to send now. It replaces the pending request, if any.
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

    /// Moves the next request up to `now`, because the control plane has announced a new revision.
    pub fn request_soon(&mut self, now: Micros) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Records that the text of a generation was loaded and is valid.
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

    /// Records that the text of a generation cannot be loaded. The next request reports the reason.
    pub fn reject_generation(&mut self, generation: Generation, reason: String) {
        self.rejected_generation = Some(RejectedGeneration { generation, reason });
    }

    /// Drops the loaded generations for which `retain` returns false.
    pub fn retain_generations(&mut self, retain: impl Fn(Generation) -> bool) {
        self.loaded_generations
            .retain(|&generation| retain(generation));
    }

    /// Handles a grant. The caller must load texts that came with it, and call [`LeaseHolder::accept_generation`] for
    /// them, first.
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

    /// Handles the failure of the pending request: no connection, a timeout or a rejection.
    pub fn on_request_failed(&mut self, now: Micros) {
        self.pending = None;
        self.next_request_at = now.saturating_add(self.config.retry_delay);
    }

    /// Records that the control plane has evicted this process. No further call may start.
    pub fn evict(&mut self) {
        self.evicted = true;
        self.pending = None;
    }
}
