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
    pub lease: Micros,
    /// How much longer control counts it: as much as a proxy's clock may fall behind over one lease.
    pub drift: Micros,
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
    Older,
    /// There is no policy yet.
    NoPolicy,
    /// This start of the proxy was evicted.
    Evicted,
}

/// What is to be done with a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// This goes out. It counts from now on, whether it arrives or not.
    Grant(LeaseGrant),
    /// The proxy may act without a lease: that is to be agreed on first ([`crate::Command::Register`]).
    RegisterFirst,
    /// None goes out.
    Stale(LeaseDenial),
}

/// Who can still act under an older mode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blocker {
    /// Which proxy; `None`: any, lent to by a leader before this one.
    pub identity: Option<Identity>,
    /// Why.
    pub why: BlockReason,
}

/// Why a proxy holds a change up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// A lease that runs until then.
    Lease(Micros),
    /// It goes on without one, and has not told that it acts under the middle.
    Keeps,
    /// It can't read the new policy.
    Unread(String),
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
    pub fn elected(terms: LeaseConfig, now: Micros) -> Self {
        let unknown = now.saturating_add(terms.lease).saturating_add(terms.drift);
        Leases {
            terms,
            unknown,
            sessions: BTreeMap::new(),
        }
    }

    /// A question has come. It must be known, after it came in, that this leader is still the one, and `record` must
    /// hold all that was agreed on until then.
    pub fn lend(&mut self, now: Micros, record: &Record, ask: &LeaseRequest) -> GrantOutcome {
        if record.is_evicted(&ask.identity) {
            self.sessions.remove(&ask.identity);
            return GrantOutcome::Stale(LeaseDenial::Evicted);
        }
        let Some(mode) = record.mode() else {
            return GrantOutcome::Stale(LeaseDenial::NoPolicy);
        };
        if ask.cut_off != OnLeaseLoss::Refuse && !record.standing().contains_key(&ask.identity) {
            return GrantOutcome::RegisterFirst;
        }
        let session = self.sessions.entry(ask.identity.clone()).or_default();
        if ask.number <= session.number {
            // What it says is older than what is known: it may have taken up less than it now has.
            return GrantOutcome::Stale(LeaseDenial::Older);
        }
        session.number = ask.number;
        session.cut_off = ask.cut_off;
        session.acting = session.acting.max(ask.acting);
        session.unread = ask.unread.clone().filter(|u| u.generation == mode.new);
        let acting = session.acting;
        session
            .lent
            .retain(|&revision, &mut until| revision >= acting && now < until);
        let until = now
            .saturating_add(self.terms.lease)
            .saturating_add(self.terms.drift);
        session.lent.insert(mode.revision, until);
        GrantOutcome::Grant(LeaseGrant {
            number: ask.number,
            mode,
            lease: self.terms.lease,
        })
    }

    /// A proxy has ended by itself and begins nothing more.
    pub fn leaves(&mut self, identity: &Identity) {
        self.sessions.remove(identity);
    }

    /// Lets go of those whose leases have run out.
    pub fn sweep(&mut self, now: Micros) {
        self.sessions.retain(|_, s| {
            s.cut_off != OnLeaseLoss::Refuse || s.lent.values().any(|&until| now < until)
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
                why: BlockReason::Lease(self.unknown),
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
                (Some(unread), _) => BlockReason::Unread(unread.reason.clone()),
                (None, Some(until)) => BlockReason::Lease(until),
            };
            all.push(Blocker {
                identity: Some(identity.clone()),
                why,
            });
        }
        for (identity, standing) in record.standing() {
            let acting = self.sessions.get(identity).map_or(0, |s| s.acting);
            if standing.cut_off == OnLeaseLoss::Keep && standing.revision.max(acting) < revision {
                all.push(Blocker {
                    identity: Some(identity.clone()),
                    why: BlockReason::Keeps,
                });
            }
        }
        all
    }

    /// Proxies that can't read the generation that is to come, and why: the change has to be given up.
    pub fn unread(&self, mode: Mode) -> Option<(&Identity, &str)> {
        let of = |s: &Session| {
            s.unread
                .as_ref()
                .is_some_and(|u| mode.is_middle() && u.generation == mode.new)
        };
        self.sessions
            .iter()
            .find(|(_, s)| of(s))
            .map(|(i, s)| (i, s.unread.as_ref().map_or("", |u| u.reason.as_str())))
    }

    /// Proxies without need of a lease that act under the present mode while the record has them at an older one.
    pub fn acting(&self, record: &Record) -> BTreeSet<Identity> {
        let revision = record.revision();
        let newer = |i: &Identity| self.sessions.get(i).is_some_and(|s| s.acting == revision);
        let behind = record
            .standing()
            .iter()
            .filter(|(i, s)| s.revision < revision && newer(i));
        behind.map(|(identity, _)| identity.clone()).collect()
    }

    /// When the next lease that holds the change up runs out.
    pub fn next(&self, now: Micros, record: &Record) -> Option<Micros> {
        let leases = self
            .blockers(now, record)
            .into_iter()
            .filter_map(|b| match b.why {
                BlockReason::Lease(until) => Some(until),
                BlockReason::Keeps | BlockReason::Unread(_) => None,
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
        lease: 100,
        drift: 10,
    };

    fn record(publishes: u64) -> Record {
        let mut record = Record::default();
        for _ in 0..publishes {
            let (revision, floors) = (record.revision(), record.floors());
            record.apply(&Command::Publish {
                revision,
                text: String::new(),
                floors,
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
            number,
            acting,
            has: BTreeSet::new(),
            unread: None,
            cut_off: OnLeaseLoss::Refuse,
        }
    }

    #[test]
    fn a_leader_that_begins_waits_for_what_others_may_have_lent() {
        let leases = Leases::elected(TERMS, 1_000);
        let middle = record(2);
        assert_eq!(leases.blockers(1_109, &middle).len(), 1);
        assert_eq!(leases.blockers(1_110, &middle), []);
        assert_eq!(leases.next(1_000, &middle), Some(1_110));
    }

    #[test]
    fn an_older_mode_is_out_until_it_is_told_or_has_run_out() {
        let mut leases = Leases::elected(TERMS, 0);
        let (stable, middle) = (record(1), record(2));
        assert!(matches!(
            leases.lend(200, &stable, &ask(1, 0)),
            GrantOutcome::Grant(_)
        ));
        assert!(matches!(
            leases.lend(220, &middle, &ask(2, 1)),
            GrantOutcome::Grant(_)
        ));
        assert_eq!(
            leases.blockers(230, &middle).len(),
            1,
            "the middle has gone out, and may not have come in"
        );
        let mut told = leases.clone();
        assert!(matches!(
            told.lend(240, &middle, &ask(3, 2)),
            GrantOutcome::Grant(_)
        ));
        assert_eq!(told.blockers(241, &middle), []);
        assert_eq!(leases.blockers(309, &middle).len(), 1);
        assert_eq!(leases.blockers(310, &middle), []);
    }

    #[test]
    fn an_older_question_says_nothing() {
        let mut leases = Leases::elected(TERMS, 0);
        let middle = record(2);
        leases.lend(200, &middle, &ask(5, 2));
        assert_eq!(
            leases.lend(201, &middle, &ask(5, 2)),
            GrantOutcome::Stale(LeaseDenial::Older)
        );
        assert_eq!(
            leases.lend(201, &middle, &ask(4, 1)),
            GrantOutcome::Stale(LeaseDenial::Older)
        );
        assert_eq!(
            leases.lend(201, &Record::default(), &ask(6, 2)),
            GrantOutcome::Stale(LeaseDenial::NoPolicy)
        );
    }

    #[test]
    fn who_keeps_is_registered_first_and_waited_for() {
        let mut leases = Leases::elected(TERMS, 0);
        let mut record = record(1);
        let keeps = LeaseRequest {
            cut_off: OnLeaseLoss::Keep,
            ..ask(1, 0)
        };
        assert_eq!(
            leases.lend(200, &record, &keeps),
            GrantOutcome::RegisterFirst
        );
        record.apply(&Command::Register {
            identity: keeps.identity.clone(),
            cut_off: OnLeaseLoss::Keep,
        });
        assert!(matches!(
            leases.lend(200, &record, &keeps),
            GrantOutcome::Grant(_)
        ));
        let (revision, floors) = (record.revision(), record.floors());
        record.apply(&Command::Publish {
            revision,
            text: String::new(),
            floors,
            all_regions: None,
        });
        let why = |l: &Leases| {
            l.blockers(10_000, &record)
                .into_iter()
                .map(|b| b.why)
                .collect::<Vec<_>>()
        };
        assert_eq!(why(&leases), [BlockReason::Keeps]);
        let told = LeaseRequest {
            cut_off: OnLeaseLoss::Keep,
            ..ask(2, 2)
        };
        leases.lend(10_000, &record, &told);
        assert_eq!(why(&leases), []);
        assert_eq!(leases.acting(&record).len(), 1);
        record.apply(&Command::Evict {
            identity: told.identity.clone(),
        });
        let again = LeaseRequest { number: 3, ..told };
        assert_eq!(
            leases.lend(10_001, &record, &again),
            GrantOutcome::Stale(LeaseDenial::Evicted)
        );
    }

    #[test]
    fn who_cannot_read_it_is_named() {
        let mut leases = Leases::elected(TERMS, 0);
        let middle = record(2);
        let unread = RejectedGeneration {
            generation: Generation(2),
            reason: "odd".to_owned(),
        };
        leases.lend(
            0,
            &middle,
            &LeaseRequest {
                unread: Some(unread),
                ..ask(1, 1)
            },
        );
        let mode = middle.mode().expect("a policy");
        assert_eq!(
            leases.unread(mode).map(|(i, why)| (i.name.as_str(), why)),
            Some(("p", "odd"))
        );
    }
}
