//! The list service: a log of what changed, told late, by a service of fixed capacity that may fall silent, fail, or go
//! back to an older list.

use crate::scenario::{Fault, ListSpec, Trouble};
use crate::Micros;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Place of the host.
    pub host: usize,
    /// 0: takes calls; 1: drains; 2: gone.
    pub state: u8,
    /// When its process started; 0: long ago.
    pub started: Micros,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole list, as of this version.
    Full(u64, Vec<Entry>),
    /// What changed up to this version.
    Changes(u64, Vec<Entry>),
    /// Nothing has changed since: wait for [`ListService::next`].
    Nothing,
    /// It failed.
    Failed,
    /// No answer comes.
    Silence,
}

/// The service. Versions count changes from 1.
#[derive(Clone, Debug)]
pub struct ListService {
    spec: ListSpec,
    faults: Vec<Fault>,
    /// Each change and when it is listed.
    log: Vec<(Micros, Entry)>,
    /// When it is free for the next question.
    free: Micros,
    /// Questions asked.
    pub asked: u64,
}

impl ListService {
    /// A service that lists these from the beginning.
    pub fn new(spec: ListSpec, faults: &[Fault], first: Vec<Entry>) -> Self {
        let concerns = |f: &&Fault| {
            matches!(
                f.trouble,
                Trouble::ListSilent | Trouble::ListFails | Trouble::ListOld { .. }
            )
        };
        ListService {
            spec,
            faults: faults.iter().filter(concerns).copied().collect(),
            log: first.into_iter().map(|e| (0, e)).collect(),
            free: 0,
            asked: 0,
        }
    }

    /// A change happens now; it is listed later, and never before one that happened earlier.
    pub fn change(&mut self, now: Micros, entry: Entry) {
        let earliest = self.log.last().map_or(0, |l| l.0);
        self.log.push(((now + self.spec.lag).max(earliest), entry));
    }

    /// Versions listed by now. An older list is one of the past.
    fn version(&self, now: Micros) -> usize {
        let back = self
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until)
            .map(|f| match f.trouble {
                Trouble::ListOld { by } => by,
                _ => 0,
            });
        let at = now.saturating_sub(back.max().unwrap_or(0));
        self.log.partition_point(|l| l.0 <= at)
    }

    /// The service takes up a question; when the answer leaves it.
    pub fn ask(&mut self, now: Micros) -> Micros {
        self.asked += 1;
        let cost = (1e6 / self.spec.capacity.max(1e-3)) as Micros;
        self.free = self.free.max(now) + cost;
        self.free
    }

    /// A question that nobody waits for any more.
    pub fn patience(&self) -> Micros {
        self.spec.patience
    }

    /// The answer that leaves now for one that knows `known` (None: nothing).
    pub fn answer(&self, now: Micros, known: Option<u64>) -> Told {
        for fault in self
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until)
        {
            match fault.trouble {
                Trouble::ListSilent => return Told::Silence,
                Trouble::ListFails => return Told::Failed,
                _ => {}
            }
        }
        let version = self.version(now);
        match known {
            Some(known) if known as usize == version => Told::Nothing,
            Some(known) if (known as usize) < version => {
                let news = self.log[known as usize..version]
                    .iter()
                    .map(|l| l.1)
                    .collect();
                Told::Changes(version as u64, news)
            }
            // Nothing known, or an index that this list has not reached.
            _ => Told::Full(version as u64, whole(&self.log[..version])),
        }
    }

    /// When something that is not known to one who knows `known` is listed; None: nothing yet.
    pub fn next(&self, known: u64) -> Option<Micros> {
        self.log.get(known as usize).map(|l| l.0)
    }

    /// When each change was listed.
    pub fn listed(&self) -> impl Iterator<Item = (Micros, Entry)> + '_ {
        self.log.iter().copied()
    }
}

fn whole(log: &[(Micros, Entry)]) -> Vec<Entry> {
    let mut all: std::collections::BTreeMap<usize, Entry> = std::collections::BTreeMap::new();
    for (_, entry) in log {
        all.insert(entry.host, *entry);
    }
    all.into_values().filter(|e| e.state < 2).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: usize, state: u8) -> Entry {
        Entry {
            host,
            state,
            started: 0,
        }
    }

    #[test]
    fn changes_come_late_and_in_order_and_an_older_list_is_one_of_the_past() {
        let spec = ListSpec {
            lag: 100,
            capacity: 1e6,
            patience: 1_000,
        };
        let old = Fault {
            from: 500,
            until: 600,
            trouble: Trouble::ListOld { by: 450 },
        };
        let silent = Fault {
            from: 700,
            until: 800,
            trouble: Trouble::ListSilent,
        };
        let mut list = ListService::new(spec, &[old, silent], vec![entry(0, 0), entry(1, 0)]);
        assert_eq!(
            list.answer(0, None),
            Told::Full(2, vec![entry(0, 0), entry(1, 0)])
        );
        list.change(50, entry(1, 1));
        assert_eq!(
            (list.answer(149, Some(2)), list.next(2)),
            (Told::Nothing, Some(150))
        );
        assert_eq!(
            list.answer(150, Some(2)),
            Told::Changes(3, vec![entry(1, 1)])
        );
        list.change(200, entry(1, 2));
        assert_eq!(list.answer(400, None), Told::Full(4, vec![entry(0, 0)]));
        // Who knows more than the service does is given the whole list that it has.
        assert_eq!(
            list.answer(550, Some(4)),
            Told::Full(2, vec![entry(0, 0), entry(1, 0)])
        );
        assert_eq!(list.answer(750, Some(4)), Told::Silence);
        assert_eq!(list.answer(900, Some(4)), Told::Nothing);
    }

    #[test]
    fn questions_beyond_its_capacity_wait() {
        let spec = ListSpec {
            lag: 0,
            capacity: 10.0,
            patience: 1_000_000,
        };
        let mut list = ListService::new(spec, &[], Vec::new());
        assert_eq!(
            [list.ask(0), list.ask(0), list.ask(1_000_000)],
            [100_000, 200_000, 1_100_000]
        );
    }
}
