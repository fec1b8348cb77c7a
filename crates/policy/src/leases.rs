//! The leases that one leader of the control plane has granted, and the proxies that may still serve under an older
//! mode.
//!
//! This state is kept in memory only. A new leader assumes that its predecessors granted leases up to its election, and
//! waits for as long as these may run.

use crate::{
    Identity, LeaseGrant, LeaseRequest, Micros, Mode, OnLeaseLoss, Record, RejectedGeneration,
};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Settings of [`Leases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease, counted by the proxy from when it sent its request.
    pub duration: Micros,
    /// How much longer the leader counts it: the most that a proxy's clock may fall behind during one lease.
    pub max_clock_drift: Micros,
}

impl LeaseConfig {
    /// When a lease granted at `now` has expired at its proxy, however slow that proxy's clock is.
    fn expiry(self, now: Micros) -> Micros {
        now.saturating_add(self.duration)
            .saturating_add(self.max_clock_drift)
    }
}

/// What the leader knows of one proxy process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    /// Sequence number of its last request.
    last_sequence: u64,
    /// It serves under this revision and none older.
    active_revision: u64,
    on_lease_loss: OnLeaseLoss,
    /// By granted revision: until when the proxy may serve under it.
    expiries: BTreeMap<u64, Micros>,
    rejected_generation: Option<RejectedGeneration>,
}

impl Session {
    /// Takes over what a request says. Leases of revisions that the proxy has left, and expired ones, are dropped.
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

    /// Until when the proxy may serve under a revision older than `revision`; `None` if it can't any more.
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

/// A proxy that the leader has granted a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxySession<'a> {
    /// The proxy.
    pub identity: &'a Identity,
    /// The revision that it has confirmed; it serves under none older.
    pub active_revision: u64,
}

/// Why a request is not granted a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDenial {
    /// A later request of this proxy was answered before.
    OutOfOrder,
    /// No policy has been published yet.
    NoPolicy,
    /// This process was evicted.
    Evicted,
}

/// What to reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// Send this grant. The lease counts from now on, whether the grant arrives or not.
    Granted(LeaseGrant),
    /// The proxy may serve without a lease: log [`crate::Command::Register`] first, then grant again.
    RegisterFirst,
    /// No lease is granted.
    Denied(LeaseDenial),
}

/// A proxy that may still serve under an older mode, so that a transition cannot end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blocker {
    /// The proxy; `None` stands for any proxy with a lease of an earlier leader.
    pub identity: Option<Identity>,
    /// Why it blocks the transition.
    pub reason: BlockReason,
}

/// Why a proxy blocks a transition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// It may have a lease that expires at this time.
    Lease(Micros),
    /// It keeps serving without a lease and has not confirmed the transition.
    ServesWithoutLease,
    /// It cannot load the new generation, for this reason.
    GenerationRejected(String),
}

/// The leases of one leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    config: LeaseConfig,
    /// Until then leases of earlier leaders may run.
    earlier_leases_until: Micros,
    sessions: BTreeMap<Identity, Session>,
}

impl Leases {
    /// The leases of a leader that was elected at `now`.
    pub fn after_election(config: LeaseConfig, now: Micros) -> Self {
        Leases {
            config,
            earlier_leases_until: config.expiry(now),
            sessions: BTreeMap::new(),
        }
    }

    /// Answers a request. The caller has confirmed, after the request arrived, that this replica still leads, and
    /// `record` holds every command committed until then.
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
            // The request is outdated: the proxy may serve under a newer mode than it says.
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

    /// Drops a proxy that has shut down and starts no more calls.
    pub fn unregister(&mut self, identity: &Identity) {
        self.sessions.remove(identity);
    }

    /// Drops the proxies whose leases have all expired. Those that may serve without a lease stay.
    pub fn expire(&mut self, now: Micros) {
        self.sessions.retain(|_, session| {
            session.on_lease_loss != OnLeaseLoss::Reject
                || session.expiries.values().any(|&expiry| now < expiry)
        });
    }

    /// The proxies that may still serve under a mode older than the present one. Without any, a transition may end
    /// ([`crate::Command::Advance`]): the present mode itself is compatible with the next one.
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

    /// The proxies that serve without a lease and have not confirmed the present revision.
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

    /// The revision that a proxy has confirmed to this leader; 0 if it has sent no request.
    fn active_revision(&self, identity: &Identity) -> u64 {
        self.sessions
            .get(identity)
            .map_or(0, |session| session.active_revision)
    }

    /// A proxy that cannot load the new generation of a transition, and its reason: the change has to be aborted.
    pub fn rejected_generation(&self, mode: Mode) -> Option<(&Identity, &str)> {
        if !mode.is_transition() {
            return None;
        }
        self.sessions.iter().find_map(|(identity, session)| {
            let rejected = session.rejected_generation.as_ref()?;
            (rejected.generation == mode.new).then_some((identity, rejected.reason.as_str()))
        })
    }

    /// The proxies that may serve without a lease and have confirmed the present revision, while the record has an
    /// older one for them.
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

    /// When the next lease that blocks the transition expires.
    pub fn next_deadline(&self, now: Micros, record: &Record) -> Option<Micros> {
        let blockers = self.blockers(now, record).into_iter();
        let expiries = blockers.filter_map(|blocker| match blocker.reason {
            BlockReason::Lease(until) => Some(until),
            BlockReason::ServesWithoutLease | BlockReason::GenerationRejected(_) => None,
        });
        expiries.min()
    }

    /// The proxies that this leader has granted a lease.
    pub fn sessions(&self) -> impl Iterator<Item = ProxySession<'_>> {
        self.sessions
            .iter()
            .map(|(identity, session)| ProxySession {
                identity,
                active_revision: session.active_revision,
            })
    }
}
