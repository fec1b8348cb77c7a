//! The proxy's side: which mode it holds, until when, and what it may begin now.
//!
//! A lease is counted from the moment at which the proxy *asked* for it, on a clock that goes on while the machine
//! sleeps; control counts it from the moment at which it answered, which is later. So it ends here first.

use crate::{Generation, Identity, Micros, Mode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a proxy does when its lease has run out and control can't be had.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum OnLeaseLoss {
    /// Turns every call away.
    #[default]
    #[serde(rename = "Refuse")]
    Reject,
    /// Begins only what its policy declares as its floor, which no change may leave while it may be acted under.
    #[serde(rename = "Narrow")]
    Fallback,
    /// Goes on under the mode that it has. A change waits for it.
    Keep,
}

/// What is set for a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolderConfig {
    /// What it does when cut off.
    pub on_lease_loss: OnLeaseLoss,
    /// A question that is not answered within this is given up.
    pub request_timeout: Micros,
    /// Pause after a question that came to nothing.
    pub retry_delay: Micros,
}

/// The proxy's question to control.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub identity: Identity,
    /// Grows with each question of this proxy: control takes none that is older than one it has had.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The revision that it acts under, and none older from here on; 0: none.
    #[serde(rename = "acting")]
    pub active_revision: u64,
    /// The generations whose text it has read and found good.
    #[serde(rename = "has")]
    pub loaded_generations: BTreeSet<Generation>,
    /// A generation that it can't read.
    #[serde(rename = "unread")]
    pub rejected_generation: Option<RejectedGeneration>,
    /// What it does when cut off.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: OnLeaseLoss,
}

/// Why a proxy can't take a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejectedGeneration {
    /// Which.
    pub generation: Generation,
    /// Why, for people.
    pub reason: String,
}

/// Control's answer: a mode, lent for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The question that it answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// What to act under.
    pub mode: Mode,
    /// For how long, counted from when the question was asked.
    #[serde(rename = "lease")]
    pub duration: Micros,
}

/// What a grant came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The proxy acts under it. `again`: control waits to hear so; ask at once.
    Accepted {
        /// Ask at once.
        renew_now: bool,
    },
    /// Texts of these generations are wanted first; the old mode stays until its lease ends.
    MissingGenerations,
    /// It answers no question that is out, or is older than what is held. Nothing changed.
    Ignored,
}

/// Why nothing may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotAdmitted {
    /// No mode was ever lent to this start of the program. A copy on disk does not stand in for it.
    NoLease,
    /// The lease has run out.
    LeaseExpired,
    /// Control holds this start of the program for dead and has gone on without it.
    Evicted,
}

/// What may begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// What this mode allows: a generation, or what both of two allow alike.
    Under(Mode),
    /// Only the floor of this generation.
    Fallback(Generation),
    /// Nothing.
    Denied(NotAdmitted),
}

/// What a proxy holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    identity: Identity,
    terms: LeaseHolderConfig,
    /// What it acts under, and until when.
    held: Option<(Mode, Micros)>,
    /// The question that is out: its number and when it was asked.
    out: Option<(u64, Micros)>,
    number: u64,
    next: Micros,
    has: BTreeSet<Generation>,
    unread: Option<RejectedGeneration>,
    evicted: bool,
}

impl LeaseHolder {
    /// A proxy that has just started: it holds nothing, whatever its disk says. `has` are the generations whose texts
    /// it has from there, so that they need not be sent again.
    pub fn new(identity: Identity, terms: LeaseHolderConfig, has: BTreeSet<Generation>) -> Self {
        LeaseHolder {
            identity,
            terms,
            held: None,
            out: None,
            number: 0,
            next: 0,
            has,
            unread: None,
            evicted: false,
        }
    }

    /// What may begin at `now`. A call begins at the moment at which the clock was read for this.
    pub fn admission(&self, now: Micros) -> Admission {
        if self.evicted {
            return Admission::Denied(NotAdmitted::Evicted);
        }
        match (self.held, self.terms.on_lease_loss) {
            (None, _) => Admission::Denied(NotAdmitted::NoLease),
            (Some((mode, until)), _) if now < until => Admission::Under(mode),
            (Some((mode, _)), OnLeaseLoss::Keep) => Admission::Under(mode),
            // What is in force when it is cut off stays admissible; what was to come may not come.
            (Some((mode, _)), OnLeaseLoss::Fallback) => Admission::Fallback(mode.old),
            (Some(_), OnLeaseLoss::Reject) => Admission::Denied(NotAdmitted::LeaseExpired),
        }
    }

    /// What it acts under, and until when, whether that has passed or not.
    pub fn lease(&self) -> Option<(Mode, Micros)> {
        self.held
    }

    /// When [`LeaseHolder::request`] is due, with no question out; `None` while one is.
    pub fn next_request_at(&self) -> Option<Micros> {
        (self.out.is_none() && !self.evicted).then_some(self.next)
    }

    /// When the question that is out is given up.
    pub fn request_deadline(&self) -> Option<Micros> {
        self.out
            .map(|(_, asked)| asked.saturating_add(self.terms.request_timeout))
    }

    /// The question to send now. One that is out is given up by this.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.number += 1;
        self.out = Some((self.number, now));
        LeaseRequest {
            identity: self.identity.clone(),
            sequence: self.number,
            active_revision: self.held.map_or(0, |(mode, _)| mode.revision),
            loaded_generations: self.has.clone(),
            rejected_generation: self.unread.clone(),
            on_lease_loss: self.terms.on_lease_loss,
        }
    }

    /// Control has news: ask as soon as may be.
    pub fn request_soon(&mut self, now: Micros) {
        self.next = self.next.min(now);
    }

    /// A text was read and found good.
    pub fn accept_generation(&mut self, generation: Generation) {
        self.has.insert(generation);
        if self
            .unread
            .as_ref()
            .is_some_and(|u| u.generation == generation)
        {
            self.unread = None;
        }
    }

    /// A text can't be read; control is told why with the next question.
    pub fn reject_generation(&mut self, generation: Generation, reason: String) {
        self.unread = Some(RejectedGeneration { generation, reason });
    }

    /// Texts of generations that nothing can come back to are let go.
    pub fn retain_generations(&mut self, keep: impl Fn(Generation) -> bool) {
        self.has.retain(|&g| keep(g));
    }

    /// Control's answer. The texts that came with it have been read before ([`LeaseHolder::accept_generation`]).
    pub fn on_grant(&mut self, now: Micros, grant: LeaseGrant) -> GrantResult {
        let Some((number, asked)) = self.out.filter(|(number, _)| *number == grant.sequence) else {
            return GrantResult::Ignored;
        };
        self.out = None;
        // Asked for anew after a third: two questions may come to nothing before the lease ends.
        self.next = asked.saturating_add(grant.duration / 3).max(now);
        let Mode { revision, old, new } = grant.mode;
        if self.held.is_some_and(|(held, _)| held.revision > revision) {
            return GrantResult::Ignored;
        }
        if !self.has.contains(&old) || !self.has.contains(&new) {
            self.next = now.saturating_add(self.terms.retry_delay);
            return GrantResult::MissingGenerations;
        }
        let changed = self.held.is_none_or(|(held, _)| held.revision != revision);
        let until = asked.saturating_add(grant.duration);
        debug_assert!(number <= self.number);
        self.held = Some((grant.mode, until));
        let again = changed && grant.mode.is_transition();
        if again {
            self.next = now;
        }
        GrantResult::Accepted { renew_now: again }
    }

    /// The question came to nothing: no way there, no answer in time, or a refusal.
    pub fn on_request_failed(&mut self, now: Micros) {
        self.out = None;
        self.next = now.saturating_add(self.terms.retry_delay);
    }

    /// Control holds this start of the program for dead. Nothing begins any more.
    pub fn evict(&mut self) {
        self.evicted = true;
        self.out = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn holder(cut_off: OnLeaseLoss) -> LeaseHolder {
        let identity = Identity {
            name: "p".to_owned(),
            incarnation: 1,
        };
        let terms = LeaseHolderConfig {
            on_lease_loss: cut_off,
            request_timeout: 100,
            retry_delay: 50,
        };
        LeaseHolder::new(
            identity,
            terms,
            BTreeSet::from([Generation(1), Generation(2)]),
        )
    }

    fn grant(number: u64, mode: Mode) -> LeaseGrant {
        LeaseGrant {
            sequence: number,
            mode,
            duration: 300,
        }
    }

    #[test]
    fn a_lease_runs_from_the_question() {
        let mut holder = holder(OnLeaseLoss::Reject);
        assert_eq!(holder.admission(0), Admission::Denied(NotAdmitted::NoLease));
        let ask = holder.request(1_000);
        let mode = Mode::stable(1, Generation(1));
        assert_eq!(
            holder.on_grant(1_090, grant(ask.sequence, mode)),
            GrantResult::Accepted { renew_now: false }
        );
        assert_eq!(holder.admission(1_299), Admission::Under(mode));
        assert_eq!(
            holder.admission(1_300),
            Admission::Denied(NotAdmitted::LeaseExpired)
        );
        assert_eq!(holder.next_request_at(), Some(1_100));
    }

    #[test]
    fn what_is_late_older_or_unread_changes_nothing() {
        let mut holder = holder(OnLeaseLoss::Reject);
        let first = holder.request(0);
        let second = holder.request(100);
        let middle = Mode {
            revision: 5,
            old: Generation(1),
            new: Generation(2),
        };
        assert_eq!(
            holder.on_grant(110, grant(first.sequence, middle)),
            GrantResult::Ignored
        );
        assert_eq!(
            holder.admission(110),
            Admission::Denied(NotAdmitted::NoLease)
        );
        assert_eq!(
            holder.on_grant(120, grant(second.sequence, middle)),
            GrantResult::Accepted { renew_now: true }
        );
        let third = holder.request(130);
        assert_eq!(third.active_revision, 5);
        let older = Mode::stable(4, Generation(1));
        assert_eq!(
            holder.on_grant(140, grant(third.sequence, older)),
            GrantResult::Ignored
        );
        assert_eq!(holder.admission(140), Admission::Under(middle));
        let fourth = holder.request(150);
        let unread = Mode {
            revision: 7,
            old: Generation(2),
            new: Generation(3),
        };
        assert_eq!(
            holder.on_grant(160, grant(fourth.sequence, unread)),
            GrantResult::MissingGenerations
        );
        assert_eq!(holder.admission(160), Admission::Under(middle));
        holder.reject_generation(Generation(3), "a key that it does not know".to_owned());
        assert_eq!(
            holder
                .request(170)
                .rejected_generation
                .map(|u| u.generation),
            Some(Generation(3))
        );
    }

    #[test]
    fn cut_off_it_does_what_it_was_told_to() {
        for (cut_off, then) in [
            (
                OnLeaseLoss::Reject,
                Admission::Denied(NotAdmitted::LeaseExpired),
            ),
            (OnLeaseLoss::Fallback, Admission::Fallback(Generation(1))),
            (
                OnLeaseLoss::Keep,
                Admission::Under(Mode {
                    revision: 5,
                    old: Generation(1),
                    new: Generation(2),
                }),
            ),
        ] {
            let mut holder = holder(cut_off);
            let ask = holder.request(0);
            let middle = Mode {
                revision: 5,
                old: Generation(1),
                new: Generation(2),
            };
            holder.on_grant(1, grant(ask.sequence, middle));
            assert_eq!(holder.admission(299), Admission::Under(middle));
            assert_eq!(holder.admission(300), then);
            holder.evict();
            assert_eq!(
                holder.admission(10),
                Admission::Denied(NotAdmitted::Evicted)
            );
        }
    }
}
