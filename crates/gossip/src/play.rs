//! Many proxies in virtual time: [`Peer`]s, a network that loses, doubles and delays, a list service that works on one
//! question after the other. Seeded: the same seed gives the same course.

use crate::list::{Change, Entry};
use crate::peer::{Answer, Input, Member, Output, Peer, Terms};
use crate::polling::{Id, Mechanism};
use crate::Micros;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use traffic::Traffic;

pub mod traffic;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// These proxies are dead.
    Dead(Vec<usize>),
    /// These do not reach the list service: what they ask is lost.
    NoService(Vec<usize>),
    /// Nothing passes between the first so many and the rest.
    Halves(usize),
    /// The service is down: questions fail at once.
    Down,
    /// It answers with the list as it was so many versions ago.
    Old(u64),
}

/// From when until when.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub trouble: Trouble,
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub until: Micros,
}

/// A world.
#[derive(Clone, Debug)]
pub struct World {
    /// Proxies.
    pub proxies: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    /// They start within this time.
    pub start: Micros,
    /// Hosts of the list.
    pub hosts: usize,
    /// Work of the service on a question, one after the other.
    pub work: Micros,
    /// A question that has waited for longer is given up; the service works on it all the same.
    pub patience: Micros,
    /// Way of a message, at the least and at the most.
    pub way: (Micros, Micros),
    /// Share of messages that are lost.
    pub lost: f64,
    /// ... that come twice.
    pub doubled: f64,
    /// ... that are late by up to two seconds.
    pub late: f64,
    /// The list changes at these moments: a host drains, or the last one that drained is removed.
    pub changes: Vec<Micros>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// How long it is played.
    pub until: Micros,
    /// What is left out.
    pub without: Option<Mechanism>,
}

impl Default for World {
    /// 300 proxies that start within a second, and a service that bears 125 questions a second.
    fn default() -> Self {
        World {
            proxies: 300,
            seeds: 3,
            start: 1_000_000,
            hosts: 24,
            work: 8_000,
            patience: 3_000_000,
            way: (100, 1_000),
            lost: 0.0,
            doubled: 0.0,
            late: 0.0,
            changes: Vec::new(),
            faults: Vec::new(),
            until: 10_000_000,
            without: None,
        }
    }
}

/// Longest time without a question to the service, in seconds.
const QUIET: usize = 16;

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Played {
    /// When the service first answered.
    pub first_answer: Option<Micros>,
    /// For each proxy: when it first had a list (from its last start on).
    pub listed: Vec<Option<Micros>>,
    /// ... and when it last started.
    pub started: Vec<Micros>,
    /// For each proxy: the version of its list in the end.
    pub index: Vec<Option<u64>>,
    /// When each change was known to all proxies that lived.
    pub spread: Vec<Option<Micros>>,
    /// Questions in each second.
    pub questions: Vec<u32>,
    /// Questions that were given up while they waited at the service.
    pub given_up: u32,
    /// Most messages that one proxy sent in a second.
    pub sent_most: u64,
    /// Messages that all sent in the last second, for each proxy.
    pub sent_calm: f64,
    /// What all sent in each second, by kind of message.
    pub sent: Vec<Traffic>,
    /// Proxies that ask in the end.
    pub asking: usize,
    /// Proxies that each proxy thinks alive in the end: the least and the most.
    pub alive: (usize, usize),
    /// Starts that are over in the end.
    pub settled: usize,
}

impl Played {
    /// What is not as it should be in the end of a world that was drawn, in words.
    pub fn broken(&self, world: &World) -> Option<String> {
        let newest = Some(1 + world.changes.len() as u64);
        let behind = self.index.iter().filter(|index| **index != newest).count();
        // A watch of each that asks ends within ten seconds, and a dead one is missed within a few more.
        let gaps = self
            .questions
            .split(|q| *q > 0)
            .map(<[u32]>::len)
            .max()
            .unwrap_or(0);
        let quiet = gaps.max((world.until / 1_000_000) as usize - self.questions.len());
        let odd = [
            (behind > 0, format!("{behind} do not have the newest list")),
            (
                self.given_up > 0,
                format!("{} questions were given up", self.given_up),
            ),
            (
                !(1..=4 * crate::polling::WANTED).contains(&self.asking),
                format!("{} ask", self.asking),
            ),
            (quiet > QUIET, format!("nobody asked for {quiet} s")),
        ];
        odd.into_iter().find(|(odd, _)| *odd).map(|(_, word)| word)
    }

    /// Time from the service's first answer, or the proxy's own start if that was later, to its list: sorted.
    pub fn waits(&self) -> Vec<Option<Micros>> {
        let first = self.first_answer.unwrap_or(0);
        let waited = |(listed, started): (&Option<Micros>, &Micros)| {
            listed.map(|at| at.saturating_sub(first.max(*started)))
        };
        let mut waits: Vec<Option<Micros>> =
            self.listed.iter().zip(&self.started).map(waited).collect();
        waits.sort_by_key(|w| w.unwrap_or(Micros::MAX));
        waits
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Die(usize),
    Message(usize, usize, Vec<u8>),
    Timer(usize),
    /// The service takes up a question of this life of a proxy.
    Work(usize, u32, Option<u64>, Micros, Micros),
    /// It looks whether there is news for a question that waits, until this moment.
    Watch(usize, u32, u64, Micros, Micros),
    GiveUp(usize, u32, u64),
    Answer(usize, u32, u64, Option<u64>, Micros, bool),
    Fail(usize, u32, u64),
    Change,
}

struct Proxy {
    peer: Option<Peer>,
    life: u32,
    /// Counts questions: an answer to one that was given up concerns nobody.
    question: u64,
    timer: Micros,
    sent: u64,
    second: Micros,
}

struct Play<'w> {
    world: &'w World,
    random: Pcg32,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    proxies: Vec<Proxy>,
    free: Micros,
    version: u64,
    played: Played,
    last_second: u64,
}

fn address(place: usize) -> SocketAddr {
    let bits = 0x0a00_0000 + place as u32;
    SocketAddr::from((Ipv4Addr::from_bits(bits), 7_946))
}

fn place(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (ip.to_bits() - 0x0a00_0000) as usize,
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

/// What changed with this version: each host in its turn drains, and is back with the next.
fn change(hosts: usize, version: u64) -> Vec<Change> {
    let entry = |host: u64, status: &str| Change {
        name: format!("s-{host}"),
        entry: Some(Entry {
            address: format!("10.1.0.{host}:80"),
            status: status.to_owned(),
            ..Entry::default()
        }),
    };
    let of = |version: u64| version % hosts as u64;
    vec![entry(of(version - 1), "up"), entry(of(version), "draining")]
}

fn list(hosts: usize, version: u64) -> Vec<Change> {
    let draining = (version > 1).then_some(version % hosts as u64);
    let one = |host: u64| {
        let status = if draining == Some(host) {
            "draining"
        } else {
            "up"
        };
        let entry = Entry {
            address: format!("10.1.0.{host}:80"),
            status: status.to_owned(),
            ..Entry::default()
        };
        Change {
            name: format!("s-{host}"),
            entry: Some(entry),
        }
    };
    (0..hosts as u64).map(one).collect()
}

impl Play<'_> {
    fn at(&mut self, when: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((when, self.count, event)));
    }

    fn holds(&self, now: Micros, is: impl Fn(&Trouble) -> bool) -> bool {
        self.world
            .faults
            .iter()
            .any(|f| f.from <= now && now < f.until && is(&f.trouble))
    }

    fn told_version(&self, now: Micros) -> u64 {
        let old = self
            .world
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until);
        let back = old
            .filter_map(|f| {
                if let Trouble::Old(by) = f.trouble {
                    Some(by)
                } else {
                    None
                }
            })
            .max();
        self.version.saturating_sub(back.unwrap_or(0)).max(1)
    }

    fn handle(&mut self, now: Micros, who: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let Some(peer) = self.proxies[who].peer.as_mut() else {
            return;
        };
        peer.handle(now, input, &mut out);
        let due = peer.due().max(now + 1);
        if due < self.proxies[who].timer || self.proxies[who].timer <= now {
            self.proxies[who].timer = due;
            self.at(due, Event::Timer(who));
        }
        for output in out {
            match output {
                Output::Send(to, bytes) => self.send(now, who, place(to), bytes),
                Output::Ask { index, wait } => self.question(now, who, index, wait),
                Output::List { .. } => {
                    self.played.listed[who].get_or_insert(now);
                    self.look_at_spread(now);
                }
                Output::Alive(_) | Output::Note(_) => {}
            }
        }
    }

    fn look_at_spread(&mut self, now: Micros) {
        let living = self.proxies.iter().filter_map(|p| p.peer.as_ref());
        let least = living
            .map(|p| p.host_list().map_or(0, |b| b.0.index))
            .min()
            .unwrap_or(0);
        for (n, spread) in self.played.spread.iter_mut().enumerate() {
            if n as u64 + 2 <= least {
                spread.get_or_insert(now);
            }
        }
    }

    fn send(&mut self, now: Micros, from: usize, to: usize, bytes: Vec<u8>) {
        let proxy = &mut self.proxies[from];
        if now / 1_000_000 != proxy.second {
            (proxy.second, proxy.sent) = (now / 1_000_000, 0);
        }
        proxy.sent += 1;
        let second = (now / 1_000_000) as usize;
        if self.played.sent.len() <= second {
            self.played.sent.resize(second + 1, Traffic::default());
        }
        self.played.sent[second].count(&bytes);
        self.played.sent_most = self.played.sent_most.max(proxy.sent);
        if now + 1_000_000 >= self.world.until {
            self.last_second += 1;
        }
        let apart =
            |t: &Trouble| matches!(t, Trouble::Halves(first) if (from < *first) != (to < *first));
        let cut = self.holds(now, apart);
        let (least, most) = self.world.way;
        for copy in 0..2 {
            let way = self.random.gen_range(least..=most);
            let way = if self.random.gen_bool(self.world.late) {
                way + self.random.gen_range(0..2_000_000)
            } else {
                way
            };
            let there = if copy == 0 {
                !self.random.gen_bool(self.world.lost)
            } else {
                self.random.gen_bool(self.world.doubled)
            };
            if there && !cut && to < self.proxies.len() {
                self.at(now + way, Event::Message(from, to, bytes.clone()));
            }
        }
    }

    fn question(&mut self, now: Micros, who: usize, index: Option<u64>, wait: Micros) {
        let proxy = &mut self.proxies[who];
        proxy.question += 1;
        let (life, number) = (proxy.life, proxy.question);
        if self.holds(
            now,
            |t| matches!(t, Trouble::NoService(these) if these.contains(&who)),
        ) {
            // Silence.
            self.at(now + 3_500_000, Event::Fail(who, life, number));
            return;
        }
        let second = (now / 1_000_000) as usize;
        if self.played.questions.len() <= second {
            self.played.questions.resize(second + 1, 0);
        }
        self.played.questions[second] += 1;
        if self.holds(now, |t| *t == Trouble::Down) {
            self.at(now + 500, Event::Fail(who, life, number));
            return;
        }
        self.free = self.free.max(now) + self.world.work;
        if self.free > now + self.world.patience {
            self.at(now + self.world.patience, Event::GiveUp(who, life, number));
        } else {
            self.at(self.free, Event::Work(who, life, index, now, wait));
        }
    }

    fn event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start(who) => {
                let seeds = (0..self.world.seeds).map(address).collect();
                let id = Id(self.random.gen());
                let own = Member {
                    address: address(who),
                    id,
                    started: 1_700_000_000_000 + now / 1_000,
                };
                let proxy = &mut self.proxies[who];
                proxy.life += 1;
                proxy.timer = now;
                proxy.peer = Some(Peer::new(
                    now,
                    Terms {
                        own,
                        seeds,
                        without: self.world.without,
                    },
                ));
                (self.played.started[who], self.played.listed[who]) = (now, None);
                self.handle(now, who, Input::Timer);
            }
            Event::Die(who) => {
                self.proxies[who].peer = None;
                self.proxies[who].life += 1;
            }
            Event::Message(_, who, bytes) => self.handle(now, who, Input::Message(&bytes)),
            Event::Timer(who) => {
                if self.proxies[who].timer == now {
                    self.handle(now, who, Input::Timer);
                }
            }
            Event::Work(who, life, index, asked, wait) => {
                let number = self.proxies[who].question;
                match index {
                    Some(index) if index == self.told_version(now) => {
                        self.at(now, Event::Watch(who, life, index, asked, now + wait));
                    }
                    _ => self.at(now, Event::Answer(who, life, number, index, asked, true)),
                }
            }
            Event::Watch(who, life, index, asked, until) => {
                let number = self.proxies[who].question;
                if self.holds(now, |t| *t == Trouble::Down) {
                    self.at(now, Event::Fail(who, life, number));
                } else if self.told_version(now) != index || now >= until {
                    self.at(
                        now,
                        Event::Answer(who, life, number, Some(index), asked, false),
                    );
                } else {
                    // As often as a watch could hear of anything.
                    self.at(
                        (now + 5_000).min(until),
                        Event::Watch(who, life, index, asked, until),
                    );
                }
            }
            Event::GiveUp(who, life, number) => {
                self.played.given_up += 1;
                self.event(now, Event::Fail(who, life, number));
            }
            Event::Fail(who, life, number) => {
                if self.proxies[who].life == life && self.proxies[who].question == number {
                    self.handle(now, who, Input::Failed { retry_after: None });
                }
            }
            Event::Answer(who, life, number, known, asked, at_once) => {
                if self.proxies[who].life != life || self.proxies[who].question != number {
                    return;
                }
                self.played.first_answer.get_or_insert(now);
                let version = self.told_version(now);
                let (whole, changes) = match known {
                    Some(known) if known == version => (false, Vec::new()),
                    Some(known) if known + 1 == version => {
                        (false, change(self.world.hosts, version))
                    }
                    _ => (true, list(self.world.hosts, version)),
                };
                let answer = Answer {
                    whole,
                    index: version,
                    changes,
                    took: now - asked,
                    at_once,
                };
                self.handle(now, who, Input::Answered(answer));
            }
            Event::Change => self.version += 1,
        }
    }
}

/// Plays a world.
pub fn play(world: &World, seed: u64) -> Played {
    let mut random = Pcg32::seed_from_u64(seed);
    let proxy = || Proxy {
        peer: None,
        life: 0,
        question: 0,
        timer: 0,
        sent: 0,
        second: 0,
    };
    let starts: Vec<Micros> = (0..world.proxies)
        .map(|_| random.gen_range(0..=world.start))
        .collect();
    let mut play = Play {
        world,
        random,
        queue: BinaryHeap::new(),
        count: 0,
        proxies: (0..world.proxies).map(|_| proxy()).collect(),
        free: 0,
        version: 1,
        played: Played {
            listed: vec![None; world.proxies],
            started: starts.clone(),
            spread: vec![None; world.changes.len()],
            ..Played::default()
        },
        last_second: 0,
    };
    for (who, at) in starts.into_iter().enumerate() {
        play.at(at, Event::Start(who));
    }
    world
        .changes
        .iter()
        .for_each(|at| play.at(*at, Event::Change));
    for fault in &world.faults {
        if let Trouble::Dead(these) = &fault.trouble {
            for &who in these {
                play.at(fault.from, Event::Die(who));
                play.at(fault.until, Event::Start(who));
            }
        }
    }
    while let Some(Reverse((now, _, event))) = play.queue.pop() {
        if now > world.until {
            break;
        }
        play.event(now, event);
    }
    let mut played = play.played;
    played.sent_calm = play.last_second as f64 / world.proxies.max(1) as f64;
    played.index = play
        .proxies
        .iter()
        .map(|p| {
            p.peer
                .as_ref()
                .and_then(|p| p.host_list())
                .map(|b| b.0.index)
        })
        .collect();
    let standing: Vec<_> = play
        .proxies
        .iter()
        .filter_map(|p| p.peer.as_ref())
        .map(|p| p.standing(world.until))
        .collect();
    played.asking = standing
        .iter()
        .filter(|s| s.askers.iter().any(|(w, _)| w.id == s.own.id))
        .count();
    let alive = || standing.iter().map(|s| s.alive);
    played.alive = (alive().min().unwrap_or(0), alive().max().unwrap_or(0));
    played.settled = standing.iter().filter(|s| s.settled).count();
    played
}

/// Draws a world of so many proxies with faults, for property tests and hunts.
pub fn draw(proxies: usize, seed: u64) -> World {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut world = World {
        proxies,
        until: 40_000_000,
        ..World::default()
    };
    let lot = |random: &mut Pcg32, chance: f64, most: f64| {
        if random.gen_bool(chance) {
            random.gen_range(0.0..most)
        } else {
            0.0
        }
    };
    world.seeds = random.gen_range(1..=4);
    world.lost = lot(&mut random, 0.5, 0.33);
    world.doubled = lot(&mut random, 0.3, 0.33);
    world.late = lot(&mut random, 0.3, 0.33);
    world.changes = (0..random.gen_range(0..4))
        .map(|_| random.gen_range(2_000_000..14_000_000))
        .collect();
    world.changes.sort_unstable();
    world.work = *[8_000, 80_000].choose(&mut random).unwrap_or(&8_000);
    let some = |random: &mut Pcg32, share: f64| -> Vec<usize> {
        (0..proxies).filter(|_| random.gen_bool(share)).collect()
    };
    for _ in 0..random.gen_range(0..4) {
        let from = random.gen_range(0..10_000_000);
        let until = from + random.gen_range(200_000..6_000_000);
        let trouble = match random.gen_range(0..6) {
            0 => Trouble::Dead(some(&mut random, 0.7)),
            1 => Trouble::Dead((0..world.seeds).collect()),
            2 => Trouble::NoService(some(&mut random, 0.5)),
            3 => Trouble::Halves(random.gen_range(1..proxies.max(2))),
            4 => Trouble::Down,
            _ => Trouble::Old(random.gen_range(1..3)),
        };
        world.faults.push(Fault {
            trouble,
            from,
            until,
        });
    }
    // Deaths of one proxy do not overlap: it would start while it lives.
    let mut dead = Vec::new();
    world.faults.retain(|f| {
        let first = !matches!(f.trouble, Trouble::Dead(_)) || dead.is_empty();
        if matches!(f.trouble, Trouble::Dead(_)) {
            dead.push(());
        }
        first
    });
    world
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_gives_the_same_course() {
        let world = draw(20, 3);
        assert_eq!(play(&world, 3), play(&world, 3));
        assert_ne!(play(&world, 3), play(&world, 4));
    }

    #[test]
    fn hundreds_that_start_together_have_the_list_soon_for_a_few_questions() {
        let played = play(&World::default(), 1);
        let waits = played.waits();
        let longest = waits.last().copied().flatten().expect("all have a list");
        assert!(longest <= 1_000_000, "{longest}");
        let questions: u32 = played.questions.iter().sum();
        assert!(questions <= 30, "{questions}");
        assert_eq!(played.given_up, 0);
        assert!(played.alive.0 >= 270, "{:?}", played.alive);
        assert!(played.sent_most as f64 <= crate::peer::RATE + crate::peer::BURST);
    }

    /// Nobody meets anybody: each asks for itself, and the service bears it though nobody knows how many there are.
    #[test]
    fn seeds_that_are_all_down_keep_nobody_from_the_list() {
        let dead = Fault {
            trouble: Trouble::Dead(vec![0, 1, 2]),
            from: 0,
            until: 19_000_000,
        };
        let world = World {
            faults: vec![dead],
            start: 0,
            until: 18_000_000,
            ..World::default()
        };
        let played = play(&world, 1);
        assert!(
            played.listed[3..].iter().all(Option::is_some),
            "{:?}",
            played.listed
        );
        assert_eq!(played.given_up, 0);
        assert!(
            played.questions.iter().all(|q| *q <= 250),
            "{:?}",
            played.questions
        );
    }

    /// While the service is down the sum of questions does not grow with the proxies; when it is back all have the list
    /// soon.
    #[test]
    fn a_service_that_comes_last_is_not_met_by_a_crowd() {
        for proxies in [20, 200] {
            let down = Fault {
                trouble: Trouble::Down,
                from: 0,
                until: 10_000_000,
            };
            let world = World {
                proxies,
                faults: vec![down],
                until: 16_000_000,
                ..World::default()
            };
            let played = play(&world, 2);
            assert!(
                played.questions.iter().all(|q| *q <= 20),
                "{proxies}: {:?}",
                played.questions
            );
            let last = played
                .listed
                .iter()
                .map(|at| at.unwrap_or(Micros::MAX))
                .max();
            assert!(last <= Some(13_500_000), "{proxies}: {last:?}");
            assert_eq!(played.given_up, 0);
        }
    }

    /// Those that tried in vain are killed, some before the others had met them: nobody waits for the dead for long.
    #[test]
    fn the_dead_are_not_waited_for() {
        let mut random = Pcg32::seed_from_u64(1);
        for seed in 0..12 {
            let dead = (0..50).filter(|_| random.gen_bool(0.7)).collect();
            let down = Fault {
                trouble: Trouble::Down,
                from: 0,
                until: 1_364_000,
            };
            let dead = Fault {
                trouble: Trouble::Dead(dead),
                from: 1_000_000,
                until: 1_351_000,
            };
            let world = World {
                proxies: 50,
                faults: vec![down, dead],
                ..World::default()
            };
            let played = play(&world, seed);
            let last = played
                .listed
                .iter()
                .map(|at| at.unwrap_or(Micros::MAX))
                .max();
            assert!(
                last <= Some(7_500_000),
                "{seed}: {last:?} {:?}",
                played.questions
            );
        }
    }

    /// Whatever is lost, doubled and late, whoever dies, is cut off or hears an old list: in the end all hold the newest
    /// list, a handful asks, somebody does at any time, and the service gives no question up. The lab plays more of them.
    #[test]
    fn in_the_end_all_hold_the_newest_list_and_a_handful_asks() {
        for seed in (0..24).chain([2_913]) {
            let world = draw(30, seed);
            let played = play(&world, seed);
            assert_eq!(
                played.broken(&world),
                None,
                "{seed}: {:?} {world:?}",
                played.questions
            );
        }
    }
}
