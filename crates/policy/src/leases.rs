//! The leader's passing side: what it has lent, to whom, and who can still act under an older mode. It is not written
//! down: a leader that begins counts on anything that the leaders before it may have lent, for as long as that may run.

use crate::{
    Identity, LeaseGrant, LeaseRequest, Micros, Mode, OnLeaseLoss, Record, RejectedGeneration,
};
use std::collections::{BTreeMap, BTreeSet};

/// What holds for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a mode is lent, counted from the question.
    pub duration: Micros,
    /// How much longer control counts it: as much as a proxy's clock may fall behind over one lease.
    pub max_clock_drift: Micros,
}

/// What was lent and may still be acted under.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    /// Its last question.
    number: u64,
    /// It acts under this revision and none older.
    acting: u64,
    cut_off: OnLeaseLoss,
    /// By revision: until when it may be acted under.
    lent: BTreeMap<u64, Micros>,
    unread: Option<RejectedGeneration>,
}

/// Why a question gets no grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDenial {
    /// A later question of this proxy has been answered.
    OutOfOrder,
    /// There is no policy yet.
    NoPolicy,
    /// This start of the proxy was evicted.
    Evicted,
}

/// What is to be done with a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// This goes out. It counts from now on, whether it arrives or not.
    Granted(LeaseGrant),
    /// The proxy may act without a lease: that is to be agreed on first ([`crate::Command::Register`]).
    RegisterFirst,
    /// None goes out.
    Denied(LeaseDenial),
}

/// Who can still act under an older mode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blocker {
    /// Which proxy; `None`: any, lent to by a leader before this one.
    pub identity: Option<Identity>,
    /// Why.
    pub reason: BlockReason,
}

/// Why a proxy holds a change up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// A lease that runs until then.
    Lease(Micros),
    /// It goes on without one, and has not told that it acts under the middle.
    ServesWithoutLease,
    /// It can't read the new policy.
    GenerationRejected(String),
}

/// The leases of one leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    terms: LeaseConfig,
    /// Until then leases of other leaders may run.
    unknown: Micros,
    sessions: BTreeMap<Identity, Session>,
}

impl Leases {
    /// A leader that begins at `now`.
    pub fn after_election(terms: LeaseConfig, now: Micros) -> Self {
        let unknown = now
            .saturating_add(terms.duration)
            .saturating_add(terms.max_clock_drift);
        Leases {
            terms,
            unknown,
            sessions: BTreeMap::new(),
        }
    }

    /// A question has come. It must be known, after it came in, that this leader is still the one, and `record` must
    /// hold all that was agreed on until then.
    pub fn grant(&mut self, now: Micros, record: &Record, ask: &LeaseRequest) -> GrantOutcome {
        if record.is_evicted(&ask.identity) {
            self.sessions.remove(&ask.identity);
            return GrantOutcome::Denied(LeaseDenial::Evicted);
        }
        let Some(mode) = record.mode() else {
            return GrantOutcome::Denied(LeaseDenial::NoPolicy);
        };
        if ask.on_lease_loss != OnLeaseLoss::Reject
            && !record.leaseless_proxies().contains_key(&ask.identity)
        {
            return GrantOutcome::RegisterFirst;
        }
        let session = self.sessions.entry(ask.identity.clone()).or_default();
        if ask.sequence <= session.number {
            // What it says is older than what is known: it may have taken up less than it now has.
            return GrantOutcome::Denied(LeaseDenial::OutOfOrder);
        }
        session.number = ask.sequence;
        session.cut_off = ask.on_lease_loss;
        session.acting = session.acting.max(ask.active_revision);
        session.unread = ask
            .rejected_generation
            .clone()
            .filter(|u| u.generation == mode.new);
        let acting = session.acting;
        session
            .lent
            .retain(|&revision, &mut until| revision >= acting && now < until);
        let until = now
            .saturating_add(self.terms.duration)
            .saturating_add(self.terms.max_clock_drift);
        session.lent.insert(mode.revision, until);
        GrantOutcome::Granted(LeaseGrant {
            sequence: ask.sequence,
            mode,
            duration: self.terms.duration,
        })
    }

    /// A proxy has ended by itself and begins nothing more.
    pub fn unregister(&mut self, identity: &Identity) {
        self.sessions.remove(identity);
    }

    /// Lets go of those whose leases have run out.
    pub fn expire(&mut self, now: Micros) {
        self.sessions.retain(|_, s| {
            s.cut_off != OnLeaseLoss::Reject || s.lent.values().any(|&until| now < until)
        });
    }

    /// Who can still act under a mode older than the present one. With none, the middle may be left
    /// ([`crate::Command::Advance`]); the present mode itself stands beside the next.
    pub fn blockers(&self, now: Micros, record: &Record) -> Vec<Blocker> {
        let revision = record.revision();
        let mut all = Vec::new();
        if now < self.unknown {
            all.push(Blocker {
                identity: None,
                reason: BlockReason::Lease(self.unknown),
            });
        }
        for (identity, session) in &self.sessions {
            let until = session
                .lent
                .range(..revision)
                .map(|(_, &until)| until)
                .filter(|&u| now < u)
                .max();
            let why = match (&session.unread, until) {
                (_, None) => continue,
                (Some(unread), _) => BlockReason::GenerationRejected(unread.reason.clone()),
                (None, Some(until)) => BlockReason::Lease(until),
            };
            all.push(Blocker {
                identity: Some(identity.clone()),
                reason: why,
            });
        }
        for (identity, standing) in record.leaseless_proxies() {
            let acting = self.sessions.get(identity).map_or(0, |s| s.acting);
            if standing.on_lease_loss == OnLeaseLoss::Keep
                && standing.revision.max(acting) < revision
            {
                all.push(Blocker {
                    identity: Some(identity.clone()),
                    reason: BlockReason::ServesWithoutLease,
                });
            }
        }
        all
    }

    /// Proxies that can't read the generation that is to come, and why: the change has to be given up.
    pub fn rejected_generation(&self, mode: Mode) -> Option<(&Identity, &str)> {
        let of = |s: &Session| {
            s.unread
                .as_ref()
                .is_some_and(|u| mode.is_transition() && u.generation == mode.new)
        };
        self.sessions
            .iter()
            .find(|(_, s)| of(s))
            .map(|(i, s)| (i, s.unread.as_ref().map_or("", |u| u.reason.as_str())))
    }

    /// Proxies without need of a lease that act under the present mode while the record has them at an older one.
    pub fn caught_up_proxies(&self, record: &Record) -> BTreeSet<Identity> {
        let revision = record.revision();
        let newer = |i: &Identity| self.sessions.get(i).is_some_and(|s| s.acting == revision);
        let behind = record
            .leaseless_proxies()
            .iter()
            .filter(|(i, s)| s.revision < revision && newer(i));
        behind.map(|(identity, _)| identity.clone()).collect()
    }

    /// When the next lease that holds the change up runs out.
    pub fn next_deadline(&self, now: Micros, record: &Record) -> Option<Micros> {
        let leases = self
            .blockers(now, record)
            .into_iter()
            .filter_map(|b| match b.reason {
                BlockReason::Lease(until) => Some(until),
                BlockReason::ServesWithoutLease | BlockReason::GenerationRejected(_) => None,
            });
        leases.min()
    }

    /// Who has been lent something: the proxy, the revision that it acts under, and until when at the latest.
    pub fn sessions(&self) -> impl Iterator<Item = (&Identity, u64, Option<Micros>)> {
        self.sessions
            .iter()
            .map(|(i, s)| (i, s.acting, s.lent.values().max().copied()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Command, Generation};

    const TERMS: LeaseConfig = LeaseConfig {
        duration: 100,
        max_clock_drift: 10,
    };

    fn record(publishes: u64) -> Record {
        let mut record = Record::default();
        for _ in 0..publishes {
            let (revision, floors) = (record.revision(), record.fallback_generations());
            record.apply(&Command::Publish {
                revision,
                text: String::new(),
                fallback_generations: floors,
                all_regions: None,
            });
        }
        record
    }

    fn ask(number: u64, acting: u64) -> LeaseRequest {
        LeaseRequest {
            identity: Identity {
                name: "p".to_owned(),
                incarnation: 1,
            },
            sequence: number,
            active_revision: acting,
            loaded_generations: BTreeSet::new(),
            rejected_generation: None,
            on_lease_loss: OnLeaseLoss::Reject,
        }
    }

    #[test]
    fn a_leader_that_begins_waits_for_what_others_may_have_lent() {
        let leases = Leases::after_election(TERMS, 1_000);
        let middle = record(2);
        assert_eq!(leases.blockers(1_109, &middle).len(), 1);
        assert_eq!(leases.blockers(1_110, &middle), []);
        assert_eq!(leases.next_deadline(1_000, &middle), Some(1_110));
    }

    #[test]
    fn an_older_mode_is_out_until_it_is_told_or_has_run_out() {
        let mut leases = Leases::after_election(TERMS, 0);
        let (stable, middle) = (record(1), record(2));
        assert!(matches!(
            leases.grant(200, &stable, &ask(1, 0)),
            GrantOutcome::Granted(_)
        ));
        assert!(matches!(
            leases.grant(220, &middle, &ask(2, 1)),
            GrantOutcome::Granted(_)
        ));
        assert_eq!(
            leases.blockers(230, &middle).len(),
            1,
            "the middle has gone out, and may not have come in"
        );
        let mut told = leases.clone();
        assert!(matches!(
            told.grant(240, &middle, &ask(3, 2)),
            GrantOutcome::Granted(_)
        ));
        assert_eq!(told.blockers(241, &middle), []);
        assert_eq!(leases.blockers(309, &middle).len(), 1);
        assert_eq!(leases.blockers(310, &middle), []);
    }

    #[test]
    fn an_older_question_says_nothing() {
        let mut leases = Leases::after_election(TERMS, 0);
        let middle = record(2);
        leases.grant(200, &middle, &ask(5, 2));
        assert_eq!(
            leases.grant(201, &middle, &ask(5, 2)),
            GrantOutcome::Denied(LeaseDenial::OutOfOrder)
        );
        assert_eq!(
            leases.grant(201, &middle, &ask(4, 1)),
            GrantOutcome::Denied(LeaseDenial::OutOfOrder)
        );
        assert_eq!(
            leases.grant(201, &Record::default(), &ask(6, 2)),
            GrantOutcome::Denied(LeaseDenial::NoPolicy)
        );
    }

    #[test]
    fn who_keeps_is_registered_first_and_waited_for() {
        let mut leases = Leases::after_election(TERMS, 0);
        let mut record = record(1);
        let keeps = LeaseRequest {
            on_lease_loss: OnLeaseLoss::Keep,
            ..ask(1, 0)
        };
        assert_eq!(
            leases.grant(200, &record, &keeps),
            GrantOutcome::RegisterFirst
        );
        record.apply(&Command::Register {
            identity: keeps.identity.clone(),
            on_lease_loss: OnLeaseLoss::Keep,
        });
        assert!(matches!(
            leases.grant(200, &record, &keeps),
            GrantOutcome::Granted(_)
        ));
        let (revision, floors) = (record.revision(), record.fallback_generations());
        record.apply(&Command::Publish {
            revision,
            text: String::new(),
            fallback_generations: floors,
            all_regions: None,
        });
        let why = |l: &Leases| {
            l.blockers(10_000, &record)
                .into_iter()
                .map(|b| b.reason)
                .collect::<Vec<_>>()
        };
        assert_eq!(why(&leases), [BlockReason::ServesWithoutLease]);
        let told = LeaseRequest {
            on_lease_loss: OnLeaseLoss::Keep,
            ..ask(2, 2)
        };
        leases.grant(10_000, &record, &told);
        assert_eq!(why(&leases), []);
        assert_eq!(leases.caught_up_proxies(&record).len(), 1);
        record.apply(&Command::Evict {
            identity: told.identity.clone(),
        });
        let again = LeaseRequest {
            sequence: 3,
            ..told
        };
        assert_eq!(
            leases.grant(10_001, &record, &again),
            GrantOutcome::Denied(LeaseDenial::Evicted)
        );
    }

    #[test]
    fn who_cannot_read_it_is_named() {
        let mut leases = Leases::after_election(TERMS, 0);
        let middle = record(2);
        let unread = RejectedGeneration {
            generation: Generation(2),
            reason: "odd".to_owned(),
        };
        leases.grant(
            0,
            &middle,
            &LeaseRequest {
                rejected_generation: Some(unread),
                ..ask(1, 1)
            },
        );
        let mode = middle.mode().expect("a policy");
        assert_eq!(
            leases
                .rejected_generation(mode)
                .map(|(i, why)| (i.name.as_str(), why)),
            Some(("p", "odd"))
        );
    }
}
