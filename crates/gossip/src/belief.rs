//! Which list is believed.
//!
//! - A list is never given up for an older one ([`Stamp`]'s order), whoever tells it.
//! - What is told of single hosts (a drain, a removal) counts at once.
//! - A whole list of the service that is older than the one believed (a service that was restored, or answers with an
//!   old list first), or that misses more than half of the hosts that took calls (a service that has loaded half, or
//!   nothing), is doubted: it counts when the service still tells it later ([`DOUBT_OLDER`],
//!   [`DOUBT`]). Older ones then begin a new life.
//! - A life is begun at most once in [`LIFE`] by one proxy: two services that go on telling different lists can't make
//!   the fleet swing between them.

use crate::list::{Change, HostList, Stamp};
use crate::Micros;

/// For how long a service must stand by a list that misses half of the hosts: longer than the first answers of one that
/// has just come back and is still loading. If they have gone, calls to them fail meanwhile, and go elsewhere.
pub const DOUBT: Micros = 2_000_000;
/// ... by an older list. A service that was restored can wait, as the newer list is still there; one that answers with
/// an old list first would bring back what was removed.
pub const DOUBT_OLDER: Micros = 10_000_000;
/// Least time between two lives that one proxy begins.
pub const LIFE: Micros = 60_000_000;
/// Below so many hosts half of them are one or two: their loss is no sign of a list that is half loaded.
const HALF_OF: usize = 4;

/// The list that is believed.
#[derive(Clone, Debug)]
pub struct Held {
    /// Which.
    pub stamp: Stamp,
    /// Its content.
    pub hosts: HostList,
    /// Since when.
    pub since: Micros,
}

/// What a word came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is believed: what changed, against nothing or the list before.
    News(Vec<Change>),
    /// It tells nothing new.
    Known,
    /// It is doubted, or older: the service should be asked for the whole list again.
    Doubted,
    /// It does not fit: the whole list is wanted.
    Unfit,
}

/// What is believed.
#[derive(Clone, Debug, Default)]
pub struct Belief {
    held: Option<Held>,
    /// A whole list that is doubted (its index and digest), since when.
    doubt: Option<(u64, u64, Micros)>,
    /// When this proxy last began a life.
    life_at: Option<Micros>,
    /// Lists that were doubted, so far.
    pub doubted: u64,
}

impl Belief {
    /// The list that is believed.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Its stamp.
    pub fn stamp(&self) -> Option<Stamp> {
        self.held.as_ref().map(|h| h.stamp)
    }

    fn take(&mut self, now: Micros, stamp: Stamp, hosts: HostList) -> Verdict {
        let nothing = HostList::default();
        let changes = hosts.since(self.held.as_ref().map_or(&nothing, |h| &h.hosts));
        self.held = Some(Held {
            stamp,
            hosts,
            since: now,
        });
        self.doubt = None;
        Verdict::News(changes)
    }

    /// The service has told the whole list.
    pub fn whole(&mut self, now: Micros, index: u64, hosts: HostList) -> Verdict {
        let digest = hosts.digest();
        let Some(held) = &self.held else {
            return self.take(
                now,
                Stamp {
                    life: 1,
                    index,
                    digest,
                },
                hosts,
            );
        };
        let stamp = held.stamp;
        if (stamp.index, stamp.digest) == (index, digest) {
            self.doubt = None;
            return Verdict::Known;
        }
        // The same version with another content is another service's, or another life's.
        let older = index <= stamp.index;
        let up = held.hosts.up();
        let half = up >= HALF_OF && 2 * held.hosts.missing_from(&hosts) > up;
        if older || half {
            let since = match self.doubt {
                Some((i, d, since)) if (i, d) == (index, digest) => since,
                // A service that goes on changing while it is doubted is no less there: time counts from the first.
                Some((i, _, since)) if i <= index => since,
                _ => now,
            };
            self.doubt = Some((index, digest, since));
            let new_life = older && self.life_at.is_some_and(|at| now < at + LIFE);
            let doubt = if older { DOUBT_OLDER } else { DOUBT };
            if now < since + doubt || new_life {
                self.doubted += 1;
                return Verdict::Doubted;
            }
        }
        let life = if older {
            stamp.life.saturating_add(1)
        } else {
            stamp.life
        };
        if older {
            self.life_at = Some(now);
        }
        self.take(
            now,
            Stamp {
                life,
                index,
                digest,
            },
            hosts,
        )
    }

    /// The service has told what changed up to this version.
    pub fn changes(&mut self, now: Micros, index: u64, changes: &[Change]) -> Verdict {
        let Some(held) = &self.held else {
            return Verdict::Unfit;
        };
        if index < held.stamp.index {
            // It does not know of what is believed.
            return Verdict::Doubted;
        }
        if index == held.stamp.index {
            self.doubt = None;
            return Verdict::Known;
        }
        let hosts = held.hosts.after(changes);
        let stamp = Stamp {
            index,
            digest: hosts.digest(),
            ..held.stamp
        };
        self.take(now, stamp, hosts)
    }

    /// A peer has told a whole list.
    pub fn peer(&mut self, now: Micros, stamp: Stamp, hosts: HostList) -> Verdict {
        if self.stamp().is_some_and(|own| stamp <= own) {
            return Verdict::Known;
        }
        self.take(now, stamp, hosts)
    }

    /// A peer has told what leads from one list to the next.
    pub fn news(&mut self, now: Micros, (from, to): (Stamp, Stamp), changes: &[Change]) -> Verdict {
        let Some(held) = &self.held else {
            return Verdict::Unfit;
        };
        if to <= held.stamp {
            return Verdict::Known;
        }
        if held.stamp != from {
            return Verdict::Unfit;
        }
        let hosts = held.hosts.after(changes);
        if hosts.digest() != to.digest {
            return Verdict::Unfit;
        }
        self.take(now, to, hosts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::list::tests::{gone, up};
    use proptest::prelude::*;

    fn hosts(names: &[&str]) -> HostList {
        HostList::new(names.iter().map(|n| up(n)))
    }

    const ALL: [&str; 5] = ["a", "b", "c", "d", "e"];

    #[test]
    fn an_old_list_first_is_doubted_and_a_restored_service_begins_a_new_life() {
        let mut belief = Belief::default();
        assert!(matches!(belief.whole(0, 41, hosts(&ALL)), Verdict::News(c) if c.len() == 5));
        // Back after a cut, with an old list first, then the one that is believed.
        assert_eq!(belief.whole(10, 7, hosts(&ALL[..4])), Verdict::Doubted);
        assert_eq!(belief.whole(1_000_000, 41, hosts(&ALL)), Verdict::Known);
        // Restored for good.
        assert_eq!(
            belief.whole(5_000_000, 7, hosts(&ALL[..4])),
            Verdict::Doubted
        );
        assert_eq!(
            belief.whole(14_999_999, 8, hosts(&ALL[..3])),
            Verdict::Doubted
        );
        assert!(
            matches!(belief.whole(15_000_000, 8, hosts(&ALL[..3])), Verdict::News(c) if c.len() == 2)
        );
        assert_eq!(belief.stamp().map(|s| (s.life, s.index)), Some((2, 8)));
        // Another service that tells something else does not make it swing.
        assert_eq!(belief.whole(20_000_000, 5, hosts(&ALL)), Verdict::Doubted);
        assert_eq!(belief.whole(40_000_000, 5, hosts(&ALL)), Verdict::Doubted);
        assert!(matches!(
            belief.whole(80_000_000, 5, hosts(&ALL)),
            Verdict::News(_)
        ));
    }

    #[test]
    fn half_a_list_and_none_are_doubted_and_words_on_single_hosts_are_not() {
        let mut belief = Belief::default();
        belief.whole(0, 41, hosts(&ALL));
        assert_eq!(belief.whole(10, 42, hosts(&ALL[..2])), Verdict::Doubted);
        assert_eq!(belief.whole(20, 43, hosts(&[])), Verdict::Doubted);
        assert_eq!(belief.doubted, 2);
        assert!(matches!(
            belief.changes(30, 44, &[gone("a"), gone("b"), gone("c")]),
            Verdict::News(_)
        ));
        assert_eq!(belief.held().map(|h| h.hosts.up()), Some(2));
        // Three of five, and few are no half.
        let mut belief = Belief::default();
        belief.whole(0, 41, hosts(&ALL));
        assert!(matches!(
            belief.whole(10, 42, hosts(&ALL[..3])),
            Verdict::News(_)
        ));
        assert!(matches!(belief.whole(20, 43, hosts(&[])), Verdict::News(_)));
    }

    #[test]
    fn a_peer_tells_only_what_is_newer_and_fits() {
        let mut belief = Belief::default();
        belief.whole(0, 41, hosts(&ALL));
        let own = belief.stamp().expect("a list");
        let next = hosts(&ALL[1..]);
        let to = Stamp {
            index: 42,
            digest: next.digest(),
            ..own
        };
        let old = Stamp { index: 40, ..to };
        assert_eq!(belief.peer(1, old, next.clone()), Verdict::Known);
        assert_eq!(
            belief.news(1, (old, to), &[gone("a")]),
            Verdict::Unfit,
            "from another list"
        );
        assert_eq!(
            belief.news(1, (own, to), &[gone("b")]),
            Verdict::Unfit,
            "to another list"
        );
        assert_eq!(
            belief.news(1, (own, to), &[gone("a")]),
            Verdict::News(vec![gone("a")])
        );
        assert_eq!(belief.peer(2, to, next), Verdict::Known);
    }

    proptest! {
        /// Any order of peers' words, with repeats and losses: the newest list that was told is held, and nothing that
        /// it has removed.
        #[test]
        fn the_newest_list_told_is_the_one_held(words in prop::collection::vec((1..3u32, 0..6u64, any::<bool>()), 1..40)) {
            // The lists of a life: hosts come and go with each version.
            let made = |life: u32, index: u64| {
                let names: Vec<String> = (0..8).filter(|n| !(n + index + u64::from(life)).is_multiple_of(3)).map(|n| format!("s{n}")).collect();
                let hosts = HostList::new(names.iter().map(|n| up(n)));
                (Stamp { life, index, digest: hosts.digest() }, hosts)
            };
            let (mut belief, mut newest) = (Belief::default(), None);
            for (at, (life, index, as_news)) in words.into_iter().enumerate() {
                let (stamp, hosts) = made(life, index);
                let verdict = if as_news && index > 0 {
                    let (from, old) = made(life, index - 1);
                    belief.news(at as Micros, (from, stamp), &hosts.since(&old))
                } else { belief.peer(at as Micros, stamp, hosts) };
                if verdict != Verdict::Unfit {
                    newest = newest.max(Some(stamp));
                }
                prop_assert_eq!(belief.stamp(), newest);
                if let Some(held) = belief.held() {
                    prop_assert_eq!(&made(held.stamp.life, held.stamp.index).1, &held.hosts);
                }
            }
        }
    }
}
