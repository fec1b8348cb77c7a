//! Control's lasting side: the same on each replica, changed by commands in one agreed order.

use crate::{CutOff, Generation, Identity, Mode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Generations whose text is kept, so that a rollback can go there.
const KEPT: usize = 16;

/// One step that the replicas agree on. Those that name a revision are for that one only: another step in between
/// leaves them without effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A policy is to come into force.
    Publish {
        /// The revision that it was looked at beside.
        revision: u64,
        /// Its text.
        text: String,
        /// The generations whose floors it was held against.
        floors: BTreeSet<Generation>,
    },
    /// The middle is left for the new generation.
    Advance {
        /// The middle.
        revision: u64,
    },
    /// The change comes to nothing.
    Abort {
        /// The middle.
        revision: u64,
        /// Why, for people.
        why: String,
    },
    /// A proxy that may act without a lease begins.
    Register {
        /// Which.
        identity: Identity,
        /// What it does then.
        cut_off: CutOff,
    },
    /// Such proxies act under this revision and none older.
    Acting {
        /// The revision.
        revision: u64,
        /// Which.
        proxies: BTreeSet<Identity>,
    },
    /// A proxy has ended by itself.
    Retire {
        /// Which.
        identity: Identity,
    },
    /// An operator answers for it that a proxy runs no more.
    Evict {
        /// Which.
        identity: Identity,
    },
}

/// A proxy that may act without a lease, and under what at the oldest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Standing {
    /// What it does when cut off.
    pub cut_off: CutOff,
    /// It acts under this revision or a newer one.
    pub revision: u64,
    /// Its floor is that of this generation or of one that came into force later.
    pub floor: Generation,
}

/// How a change stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// Under way.
    Open,
    /// In force.
    InForce,
    /// It never was, and never will be.
    NotInForce {
        /// Why.
        why: String,
    },
}

/// One change of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The generation in force before.
    pub from: Generation,
    /// How it stands.
    pub ended: Ended,
}

/// Why a command had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// A change is under way.
    UnderWay(Generation),
    /// Something else happened in between.
    Moved,
    /// This start of the proxy was evicted.
    Evicted,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The change has this number.
    Begun(Generation),
    /// Done.
    Done,
    /// It had no effect.
    Refused(Refused),
}

/// All that control knows for good.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    mode: Mode,
    last: Generation,
    texts: BTreeMap<Generation, String>,
    changes: BTreeMap<Generation, Change>,
    standing: BTreeMap<Identity, Standing>,
    evicted: BTreeSet<Identity>,
}

impl Default for Record {
    /// No policy yet: nothing may begin.
    fn default() -> Self {
        Record {
            mode: Mode::settled(0, Generation(0)),
            last: Generation(0),
            texts: BTreeMap::new(),
            changes: BTreeMap::new(),
            standing: BTreeMap::new(),
            evicted: BTreeSet::new(),
        }
    }
}

impl Record {
    /// What proxies may act under; `None` until there is a policy.
    pub fn mode(&self) -> Option<Mode> {
        (self.mode.new > Generation(0)).then_some(self.mode)
    }

    /// The revision now, policy or not.
    pub fn revision(&self) -> u64 {
        self.mode.revision
    }

    /// The text of a generation that is kept.
    pub fn text(&self, generation: Generation) -> Option<&str> {
        self.texts.get(&generation).map(String::as_str)
    }

    /// The changes that are remembered, by the generation they were for.
    pub fn changes(&self) -> &BTreeMap<Generation, Change> {
        &self.changes
    }

    /// The proxies that may act without a lease.
    pub fn standing(&self) -> &BTreeMap<Identity, Standing> {
        &self.standing
    }

    /// Was this start of a proxy evicted?
    pub fn is_evicted(&self, identity: &Identity) -> bool {
        self.evicted.contains(identity)
    }

    /// The generations under whose floors proxies may act: a policy that leaves one of them may not come.
    pub fn floors(&self) -> BTreeSet<Generation> {
        let narrow = self.standing.values().filter(|s| s.cut_off == CutOff::Narrow).map(|s| s.floor);
        narrow.chain(self.mode().map(|mode| mode.old)).filter(|&g| g > Generation(0)).collect()
    }

    /// Takes a command. What it does depends on nothing but the commands before it.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Publish { revision, text, floors } => self.publish(*revision, text, floors),
            Command::Advance { revision } => self.end(*revision, Ended::InForce),
            Command::Abort { revision, why } => self.end(*revision, Ended::NotInForce { why: why.clone() }),
            Command::Register { identity, cut_off } => {
                if self.evicted.contains(identity) {
                    return Outcome::Refused(Refused::Evicted);
                }
                let Mode { revision, old, .. } = self.mode;
                let standing = Standing { cut_off: *cut_off, revision, floor: old };
                self.standing.entry(identity.clone()).or_insert(standing);
                Outcome::Done
            }
            Command::Acting { revision, proxies } => {
                if *revision != self.mode.revision {
                    return Outcome::Refused(Refused::Moved);
                }
                for (_, standing) in self.standing.iter_mut().filter(|(i, _)| proxies.contains(i)) {
                    (standing.revision, standing.floor) = (*revision, self.mode.old);
                }
                self.clear();
                Outcome::Done
            }
            Command::Retire { identity } => {
                self.standing.remove(identity);
                self.clear();
                Outcome::Done
            }
            Command::Evict { identity } => {
                self.standing.remove(identity);
                self.evicted.insert(identity.clone());
                self.clear();
                Outcome::Done
            }
        }
    }

    fn publish(&mut self, revision: u64, text: &str, floors: &BTreeSet<Generation>) -> Outcome {
        if self.mode.is_middle() {
            return Outcome::Refused(Refused::UnderWay(self.mode.new));
        }
        if revision != self.mode.revision || !self.floors().is_subset(floors) {
            return Outcome::Refused(Refused::Moved);
        }
        let from = self.mode.old;
        self.last = Generation(self.last.0 + 1);
        self.texts.insert(self.last, text.to_owned());
        // Before the first policy nothing can begin, so there is nothing to stand between.
        let first = from == Generation(0);
        let ended = if first { Ended::InForce } else { Ended::Open };
        let old = if first { self.last } else { from };
        self.mode = Mode { revision: revision + 1, old, new: self.last };
        self.changes.insert(self.last, Change { from, ended });
        self.clear();
        Outcome::Begun(self.last)
    }

    fn end(&mut self, revision: u64, ended: Ended) -> Outcome {
        if revision != self.mode.revision || !self.mode.is_middle() {
            return Outcome::Refused(Refused::Moved);
        }
        let Mode { old, new, .. } = self.mode;
        let settled = if ended == Ended::InForce { new } else { old };
        if let Some(change) = self.changes.get_mut(&new) {
            change.ended = ended;
        }
        self.mode = Mode::settled(revision + 1, settled);
        Outcome::Done
    }

    /// Lets go of what nothing can come back to: a floor that may be acted under keeps its text.
    fn clear(&mut self) {
        let floors = self.floors();
        let Mode { old, new, .. } = self.mode;
        while self.texts.len() > KEPT {
            let gone = |g: &&Generation| !floors.contains(g) && **g != old && **g != new;
            let Some(&gone) = self.texts.keys().find(gone) else { break };
            self.texts.remove(&gone);
        }
        while self.changes.len() > 8 * KEPT {
            self.changes.pop_first();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn publish(record: &mut Record) -> Outcome {
        let command =
            Command::Publish { revision: record.revision(), text: "t".to_owned(), floors: record.floors() };
        record.apply(&command)
    }

    fn identity(name: &str) -> Identity {
        Identity { name: name.to_owned(), incarnation: 1 }
    }

    #[test]
    fn the_first_policy_is_in_force_at_once_and_the_next_has_a_middle() {
        let mut record = Record::default();
        assert_eq!(record.mode(), None);
        assert_eq!(publish(&mut record), Outcome::Begun(Generation(1)));
        assert_eq!(record.mode(), Some(Mode::settled(1, Generation(1))));
        assert_eq!(publish(&mut record), Outcome::Begun(Generation(2)));
        assert_eq!(record.mode(), Some(Mode { revision: 2, old: Generation(1), new: Generation(2) }));
        assert_eq!(publish(&mut record), Outcome::Refused(Refused::UnderWay(Generation(2))));
        assert_eq!(record.apply(&Command::Advance { revision: 1 }), Outcome::Refused(Refused::Moved));
        assert_eq!(record.apply(&Command::Advance { revision: 2 }), Outcome::Done);
        assert_eq!(record.mode(), Some(Mode::settled(3, Generation(2))));
        let late = Command::Abort { revision: 2, why: String::new() };
        assert_eq!(record.apply(&late), Outcome::Refused(Refused::Moved));
    }

    #[test]
    fn a_number_that_came_to_nothing_is_not_given_again() {
        let mut record = Record::default();
        publish(&mut record);
        publish(&mut record);
        record.apply(&Command::Abort { revision: 2, why: "unread".to_owned() });
        assert_eq!(record.mode(), Some(Mode::settled(3, Generation(1))));
        assert_eq!(publish(&mut record), Outcome::Begun(Generation(3)));
        assert_eq!(record.changes()[&Generation(2)].ended, Ended::NotInForce { why: "unread".to_owned() });
    }

    #[test]
    fn a_floor_is_held_until_its_proxy_acts_under_a_later_one() {
        let mut record = Record::default();
        publish(&mut record);
        record.apply(&Command::Register { identity: identity("n"), cut_off: CutOff::Narrow });
        publish(&mut record);
        record.apply(&Command::Advance { revision: 2 });
        assert_eq!(record.floors(), BTreeSet::from([Generation(1), Generation(2)]));
        let one_floor =
            Command::Publish { revision: 3, text: String::new(), floors: BTreeSet::from([Generation(2)]) };
        assert_eq!(record.apply(&one_floor), Outcome::Refused(Refused::Moved));
        record.apply(&Command::Acting { revision: 3, proxies: BTreeSet::from([identity("n")]) });
        assert_eq!(record.floors(), BTreeSet::from([Generation(2)]));
        assert_eq!(record.apply(&one_floor), Outcome::Begun(Generation(3)));
    }

    #[test]
    fn who_was_evicted_does_not_register_again() {
        let mut record = Record::default();
        let register = Command::Register { identity: identity("n"), cut_off: CutOff::Keep };
        assert_eq!(record.apply(&register), Outcome::Done);
        record.apply(&Command::Evict { identity: identity("n") });
        assert!(record.standing().is_empty());
        assert_eq!(record.apply(&register), Outcome::Refused(Refused::Evicted));
    }

    #[test]
    fn texts_are_bounded_and_those_of_floors_stay() {
        let mut record = Record::default();
        publish(&mut record);
        record.apply(&Command::Register { identity: identity("n"), cut_off: CutOff::Narrow });
        for _ in 0..3 * KEPT {
            publish(&mut record);
            record.apply(&Command::Advance { revision: record.revision() });
        }
        assert!(record.text(Generation(1)).is_some());
        assert!(record.text(Generation(2)).is_none());
        assert!(record.texts.len() <= KEPT);
    }
}
