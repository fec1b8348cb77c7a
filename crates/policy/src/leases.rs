//! Leases granted by one leader of the control plane, and the proxies that may still serve under an older mode.
//!
//! This state is kept in memory only. A new leader assumes that its predecessors granted leases up to its election, and
//! waits until these have expired.

use crate::{
    Identity, LeaseGrant, LeaseRequest, Micros, Mode, OnLeaseLoss, Record, RejectedGeneration,
};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Settings of [`Leases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease. The proxy counts it from when it sent its request.
    pub duration: Micros,
    /// Time that the leader adds to the duration: the most that a proxy's clock may fall behind during one lease.
    pub max_clock_drift: Micros,
}

impl LeaseConfig {
    /// Returns the time by which a lease granted at `now` has expired at its proxy, given the slowest allowed clock.
    fn expiry(self, now: Micros) -> Micros {
        now.saturating_add(self.duration)
            .saturating_add(self.max_clock_drift)
    }
}

/// State that the leader keeps for one proxy process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    /// Sequence number of the proxy's last request.
    last_sequence: u64,
    /// The proxy serves under this revision and no older one.
    active_revision: u64,
    on_lease_loss: OnLeaseLoss,
    /// Time until which the proxy may serve under a revision, by granted revision.
    expiries: BTreeMap<u64, Micros>,
    rejected_generation: Option<RejectedGeneration>,
}

impl Session {
    /// Updates the state from a request. Drops expired leases and leases of revisions older than the active one.
    fn update(&mut self, now: Micros, mode: Mode, request: &LeaseRequest) {
        self.last_sequence = request.sequence;
        self.on_lease_loss = request.on_lease_loss;
        self.active_revision = self.active_revision.max(request.active_revision);
        self.rejected_generation = request
            .rejected_generation
            .clone()
            .filter(|rejected| rejected.generation == mode.new);
        let active_revision = self.active_revision;
        self.expiries
            .retain(|&revision, &mut expiry| revision >= active_revision && now < expiry);
    }

    /// Returns until when the proxy may serve under a revision older than `revision`; `None` if it no longer can.
    fn older_lease_until(&self, now: Micros, revision: u64) -> Option<Micros> {
        self.expiries
            .range(..revision)
            .map(|(_, &expiry)| expiry)
            .filter(|&expiry| now < expiry)
            .max()
    }

    fn block_reason(&self, now: Micros, revision: u64) -> Option<BlockReason> {
        let until = self.older_lease_until(now, revision)?;
        Some(match &self.rejected_generation {
            Some(rejected) => BlockReason::GenerationRejected(rejected.reason.clone()),
            None => BlockReason::Lease(until),
        })
    }
}

/// A proxy to which the leader has granted a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxySession<'a> {
    /// Identity of the proxy.
    pub identity: &'a Identity,
    /// The revision that the proxy has confirmed. It serves under no older one.
    pub active_revision: u64,
}

/// Why a lease request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDenial {
    /// A later request of this proxy has already been answered.
    OutOfOrder,
    /// No policy has been published yet.
    NoPolicy,
    /// The proxy process was evicted.
    Evicted,
}

/// Outcome of a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The lease is granted: send this grant. The lease counts as held from now on, whether the grant arrives or not.
    Granted(LeaseGrant),
    /// The proxy may serve without a lease: log [`crate::Command::Register`] first, then call [`Leases::grant`] again.
    RegisterFirst,
    /// The request is denied for this reason.
    Denied(LeaseDenial),
}

/// A proxy that may still serve under an older mode, which keeps a transition from ending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blocker {
    /// Identity of the proxy; `None` stands for any proxy with a lease from an earlier leader.
    pub identity: Option<Identity>,
    /// Why the proxy blocks the transition.
    pub reason: BlockReason,
}

/// Why a proxy blocks a transition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// The proxy may hold a lease for an older mode that expires at this time.
    Lease(Micros),
    /// The proxy keeps serving without a lease and has not confirmed the transition.
    ServesWithoutLease,
    /// The proxy cannot load the new generation, for this reason.
    GenerationRejected(String),
}

/// Leases granted by one leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    config: LeaseConfig,
    /// Time until which leases of earlier leaders may be valid.
    earlier_leases_until: Micros,
    sessions: BTreeMap<Identity, Session>,
}

impl Leases {
    /// Creates the state of a leader that was elected at `now`.
    pub fn after_election(config: LeaseConfig, now: Micros) -> Self {
        Leases {
            config,
            earlier_leases_until: config.expiry(now),
            sessions: BTreeMap::new(),
        }
    }

    /// Decides on a lease request. After the request has arrived, the caller must confirm that this replica still leads
    /// and that `record` contains every command committed until then.
    pub fn grant(&mut self, now: Micros, record: &Record, request: &LeaseRequest) -> GrantOutcome {
        if record.is_evicted(&request.identity) {
            self.sessions.remove(&request.identity);
            return GrantOutcome::Denied(LeaseDenial::Evicted);
        }
        let Some(mode) = record.mode() else {
            return GrantOutcome::Denied(LeaseDenial::NoPolicy);
        };
        let is_registered = record.leaseless_proxies().contains_key(&request.identity);
        if request.on_lease_loss != OnLeaseLoss::Reject && !is_registered {
            return GrantOutcome::RegisterFirst;
        }
        let session = self.sessions.entry(request.identity.clone()).or_default();
        if request.sequence <= session.last_sequence {
            // The request is outdated: the proxy may serve under a newer mode than the request states.
            return GrantOutcome::Denied(LeaseDenial::OutOfOrder);
        }
        session.update(now, mode, request);
        session
            .expiries
            .insert(mode.revision, self.config.expiry(now));
        GrantOutcome::Granted(LeaseGrant {
            sequence: request.sequence,
            mode,
            duration: self.config.duration,
        })
    }

    /// Removes a proxy that has shut down and starts no more calls.
    pub fn unregister(&mut self, identity: &Identity) {
        self.sessions.remove(identity);
    }

    /// Removes the proxies whose leases have all expired, except those that may serve without a lease.
    pub fn expire(&mut self, now: Micros) {
        self.sessions.retain(|_, session| {
            session.on_lease_loss != OnLeaseLoss::Reject
                || session.expiries.values().any(|&expiry| now < expiry)
        });
    }

    /// Returns the proxies that may still serve under a mode older than the current one. If there are none, a transition
    /// may end ([`crate::Command::Advance`]), because the current mode itself is compatible with the next one.
    pub fn blockers(&self, now: Micros, record: &Record) -> Vec<Blocker> {
        let revision = record.revision();
        let mut blockers = Vec::new();
        if now < self.earlier_leases_until {
            blockers.push(Blocker {
                identity: None,
                reason: BlockReason::Lease(self.earlier_leases_until),
            });
        }
        for (identity, session) in &self.sessions {
            if let Some(reason) = session.block_reason(now, revision) {
                blockers.push(Blocker {
                    identity: Some(identity.clone()),
                    reason,
                });
            }
        }
        blockers.extend(self.leaseless_blockers(record));
        blockers
    }

    /// Returns the proxies that keep serving without a lease and have not confirmed the current revision.
    fn leaseless_blockers<'a>(&'a self, record: &'a Record) -> impl Iterator<Item = Blocker> + 'a {
        let revision = record.revision();
        record
            .leaseless_proxies()
            .iter()
            .filter(|(_, proxy)| proxy.on_lease_loss == OnLeaseLoss::Keep)
            .filter(move |(identity, proxy)| {
                proxy.revision.max(self.active_revision(identity)) < revision
            })
            .map(|(identity, _)| Blocker {
                identity: Some(identity.clone()),
                reason: BlockReason::ServesWithoutLease,
            })
    }

    /// Returns the revision that a proxy has confirmed to this leader; 0 if it has sent no request.
    fn active_revision(&self, identity: &Identity) -> u64 {
        self.sessions
            .get(identity)
            .map_or(0, |session| session.active_revision)
    }

    /// Returns a proxy that cannot load the new generation of a transition, and its reason. Such a change has to be
    /// aborted.
    pub fn rejected_generation(&self, mode: Mode) -> Option<(&Identity, &str)> {
        if !mode.is_transition() {
            return None;
        }
        self.sessions.iter().find_map(|(identity, session)| {
            let rejected = session.rejected_generation.as_ref()?;
            (rejected.generation == mode.new).then_some((identity, rejected.reason.as_str()))
        })
    }

    /// Returns the proxies that may serve without a lease and have confirmed the current revision, while the record holds
    /// an older one for them.
    pub fn caught_up_proxies(&self, record: &Record) -> BTreeSet<Identity> {
        let revision = record.revision();
        record
            .leaseless_proxies()
            .iter()
            .filter(|(identity, proxy)| {
                proxy.revision < revision && self.active_revision(identity) == revision
            })
            .map(|(identity, _)| identity.clone())
            .collect()
    }

    /// Returns when the next lease that blocks the transition expires.
    pub fn next_deadline(&self, now: Micros, record: &Record) -> Option<Micros> {
        let blockers = self.blockers(now, record).into_iter();
        let expiries = blockers.filter_map(|blocker| match blocker.reason {
            BlockReason::Lease(until) => Some(until),
            BlockReason::ServesWithoutLease | BlockReason::GenerationRejected(_) => None,
        });
        expiries.min()
    }

    /// Returns the proxies to which this leader has granted a lease.
    pub fn sessions(&self) -> impl Iterator<Item = ProxySession<'_>> {
        self.sessions
            .iter()
            .map(|(identity, session)| ProxySession {
                identity,
                active_revision: session.active_revision,
            })
    }
}
