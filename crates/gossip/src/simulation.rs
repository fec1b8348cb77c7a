//! Many proxies in virtual time: [`Peer`]s, a network that loses, doubles and delays, a list service that works on one
//! question after the other. Seeded: the same seed gives the same course.

use crate::endpoint_list::{EndpointChange, EndpointEntry};
use crate::peer::{Input, Member, Output, Peer, PeerConfig, PollAnswer};
use crate::polling::{Mechanism, PeerId};
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
pub enum FaultKind {
    /// These proxies are dead.
    Crash(Vec<usize>),
    /// These do not reach the list service: what they ask is lost.
    ServiceUnreachable(Vec<usize>),
    /// Nothing passes between the first so many and the rest.
    Partition(usize),
    /// The service is down: polls fail at once.
    ServiceDown,
    /// It answers with the list as it was so many versions ago.
    StaleService(u64),
}

/// From when until when.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub until: Micros,
}

/// A simulated fleet, its network and its list service.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Proxies.
    pub proxies: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    /// They start within this time.
    pub start: Micros,
    /// Hosts of the list.
    pub hosts: usize,
    /// Work of the service on a question, one after the other.
    pub poll_work: Micros,
    /// A question that has waited for longer is given up; the service works on it all the same.
    pub poll_timeout: Micros,
    /// Latency of a message, at the least and at the most.
    pub latency: (Micros, Micros),
    /// Share of messages that are lost.
    pub loss: f64,
    /// ... that come twice.
    pub duplication: f64,
    /// ... that are late by up to two seconds.
    pub delay_share: f64,
    /// The list changes at these moments: a host drains, or the last one that drained is removed.
    pub changes: Vec<Micros>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// How long it runs.
    pub until: Micros,
    /// What is left out.
    pub disabled: Option<Mechanism>,
}

impl Default for SimConfig {
    /// 300 proxies that start within a second, and a service that bears 125 polls a second.
    fn default() -> Self {
        SimConfig {
            proxies: 300,
            seeds: 3,
            start: 1_000_000,
            hosts: 24,
            poll_work: 8_000,
            poll_timeout: 3_000_000,
            latency: (100, 1_000),
            loss: 0.0,
            duplication: 0.0,
            delay_share: 0.0,
            changes: Vec::new(),
            faults: Vec::new(),
            until: 10_000_000,
            disabled: None,
        }
    }
}

/// Longest time without a question to the service, in seconds.
const QUIET: usize = 16;

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// When the service first answered.
    pub first_answer: Option<Micros>,
    /// For each proxy: when it first had a list (from its last start on).
    pub received_list_at: Vec<Option<Micros>>,
    /// ... and when it last started.
    pub started: Vec<Micros>,
    /// For each proxy: the version of its list in the end.
    pub index: Vec<Option<u64>>,
    /// When each change was known to all proxies that lived.
    pub spread: Vec<Option<Micros>>,
    /// Questions in each second.
    pub polls: Vec<u32>,
    /// Questions that were given up while they waited at the service.
    pub polls_timed_out: u32,
    /// Most messages that one proxy sent in a second.
    pub max_sent_per_second: u64,
    /// Messages that all sent in the last second, for each proxy.
    pub final_rate: f64,
    /// What all sent in each second, by kind of message.
    pub sent: Vec<Traffic>,
    /// Proxies that ask in the end.
    pub pollers: usize,
    /// Proxies that each proxy thinks alive in the end: the least and the most.
    pub alive: (usize, usize),
    /// Starts that are over in the end.
    pub converged: usize,
}

impl Outcome {
    /// What is not as it should be in the end of a config that was drawn, in words.
    pub fn violation(&self, config: &SimConfig) -> Option<String> {
        let newest = Some(1 + config.changes.len() as u64);
        let behind = self.index.iter().filter(|index| **index != newest).count();
        // A watch of each that asks ends within ten seconds, and a dead one is missed within a few more.
        let gaps = self
            .polls
            .split(|q| *q > 0)
            .map(<[u32]>::len)
            .max()
            .unwrap_or(0);
        let quiet = gaps.max((config.until / 1_000_000) as usize - self.polls.len());
        let odd = [
            (behind > 0, format!("{behind} do not have the newest list")),
            (
                self.polls_timed_out > 0,
                format!("{} questions were given up", self.polls_timed_out),
            ),
            (
                !(1..=4 * crate::polling::TARGET_POLLERS).contains(&self.pollers),
                format!("{} ask", self.pollers),
            ),
            (quiet > QUIET, format!("nobody asked for {quiet} s")),
        ];
        odd.into_iter().find(|(odd, _)| *odd).map(|(_, word)| word)
    }

    /// Time from the service's first answer, or the proxy's own start if that was later, to its list: sorted.
    pub fn list_latencies(&self) -> Vec<Option<Micros>> {
        let first = self.first_answer.unwrap_or(0);
        let waited = |(received_list_at, started): (&Option<Micros>, &Micros)| {
            received_list_at.map(|at| at.saturating_sub(first.max(*started)))
        };
        let mut waits: Vec<Option<Micros>> = self
            .received_list_at
            .iter()
            .zip(&self.started)
            .map(waited)
            .collect();
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
    /// The service takes up a question of this incarnation of a proxy.
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
    incarnation: u32,
    /// Counts polls: an answer to one that was given up concerns nobody.
    question: u64,
    timer: Micros,
    sent: u64,
    second: Micros,
}

struct Simulation<'w> {
    config: &'w SimConfig,
    random: Pcg32,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    proxies: Vec<Proxy>,
    free: Micros,
    version: u64,
    outcome: Outcome,
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
fn change(hosts: usize, version: u64) -> Vec<EndpointChange> {
    let entry = |host: u64, status: &str| EndpointChange {
        name: format!("s-{host}"),
        entry: Some(EndpointEntry {
            address: format!("10.1.0.{host}:80"),
            status: status.to_owned(),
            ..EndpointEntry::default()
        }),
    };
    let of = |version: u64| version % hosts as u64;
    vec![entry(of(version - 1), "up"), entry(of(version), "draining")]
}

fn list(hosts: usize, version: u64) -> Vec<EndpointChange> {
    let draining = (version > 1).then_some(version % hosts as u64);
    let one = |host: u64| {
        let status = if draining == Some(host) {
            "draining"
        } else {
            "up"
        };
        let entry = EndpointEntry {
            address: format!("10.1.0.{host}:80"),
            status: status.to_owned(),
            ..EndpointEntry::default()
        };
        EndpointChange {
            name: format!("s-{host}"),
            entry: Some(entry),
        }
    };
    (0..hosts as u64).map(one).collect()
}

impl Simulation<'_> {
    fn at(&mut self, when: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((when, self.count, event)));
    }

    fn holds(&self, now: Micros, is: impl Fn(&FaultKind) -> bool) -> bool {
        self.config
            .faults
            .iter()
            .any(|f| f.from <= now && now < f.until && is(&f.kind))
    }

    fn told_version(&self, now: Micros) -> u64 {
        let old = self
            .config
            .faults
            .iter()
            .filter(|f| f.from <= now && now < f.until);
        let back = old
            .filter_map(|f| {
                if let FaultKind::StaleService(by) = f.kind {
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
        let due = peer.next_deadline().max(now + 1);
        if due < self.proxies[who].timer || self.proxies[who].timer <= now {
            self.proxies[who].timer = due;
            self.at(due, Event::Timer(who));
        }
        for output in out {
            match output {
                Output::Send(to, bytes) => self.send(now, who, place(to), bytes),
                Output::Poll { index, wait } => self.question(now, who, index, wait),
                Output::ListChanged { .. } => {
                    self.outcome.received_list_at[who].get_or_insert(now);
                    self.look_at_spread(now);
                }
                Output::AliveCount(_) | Output::Event(_) => {}
            }
        }
    }

    fn look_at_spread(&mut self, now: Micros) {
        let living = self.proxies.iter().filter_map(|p| p.peer.as_ref());
        let least = living
            .map(|p| p.endpoint_list().map_or(0, |b| b.0.index))
            .min()
            .unwrap_or(0);
        for (n, spread) in self.outcome.spread.iter_mut().enumerate() {
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
        if self.outcome.sent.len() <= second {
            self.outcome.sent.resize(second + 1, Traffic::default());
        }
        self.outcome.sent[second].count(&bytes);
        self.outcome.max_sent_per_second = self.outcome.max_sent_per_second.max(proxy.sent);
        if now + 1_000_000 >= self.config.until {
            self.last_second += 1;
        }
        let apart = |t: &FaultKind| matches!(t, FaultKind::Partition(first) if (from < *first) != (to < *first));
        let cut = self.holds(now, apart);
        let (least, most) = self.config.latency;
        for copy in 0..2 {
            let latency = self.random.gen_range(least..=most);
            let latency = if self.random.gen_bool(self.config.delay_share) {
                latency + self.random.gen_range(0..2_000_000)
            } else {
                latency
            };
            let there = if copy == 0 {
                !self.random.gen_bool(self.config.loss)
            } else {
                self.random.gen_bool(self.config.duplication)
            };
            if there && !cut && to < self.proxies.len() {
                self.at(now + latency, Event::Message(from, to, bytes.clone()));
            }
        }
    }

    fn question(&mut self, now: Micros, who: usize, index: Option<u64>, wait: Micros) {
        let proxy = &mut self.proxies[who];
        proxy.question += 1;
        let (incarnation, number) = (proxy.incarnation, proxy.question);
        if self.holds(
            now,
            |t| matches!(t, FaultKind::ServiceUnreachable(these) if these.contains(&who)),
        ) {
            // Silence.
            self.at(now + 3_500_000, Event::Fail(who, incarnation, number));
            return;
        }
        let second = (now / 1_000_000) as usize;
        if self.outcome.polls.len() <= second {
            self.outcome.polls.resize(second + 1, 0);
        }
        self.outcome.polls[second] += 1;
        if self.holds(now, |t| *t == FaultKind::ServiceDown) {
            self.at(now + 500, Event::Fail(who, incarnation, number));
            return;
        }
        self.free = self.free.max(now) + self.config.poll_work;
        if self.free > now + self.config.poll_timeout {
            self.at(
                now + self.config.poll_timeout,
                Event::GiveUp(who, incarnation, number),
            );
        } else {
            self.at(self.free, Event::Work(who, incarnation, index, now, wait));
        }
    }

    fn event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start(who) => {
                let seeds = (0..self.config.seeds).map(address).collect();
                let id = PeerId(self.random.gen());
                let own = Member {
                    address: address(who),
                    id,
                    started: 1_700_000_000_000 + now / 1_000,
                };
                let proxy = &mut self.proxies[who];
                proxy.incarnation += 1;
                proxy.timer = now;
                proxy.peer = Some(Peer::new(
                    now,
                    PeerConfig {
                        own,
                        seeds,
                        disabled: self.config.disabled,
                    },
                ));
                (
                    self.outcome.started[who],
                    self.outcome.received_list_at[who],
                ) = (now, None);
                self.handle(now, who, Input::Timer);
            }
            Event::Die(who) => {
                self.proxies[who].peer = None;
                self.proxies[who].incarnation += 1;
            }
            Event::Message(_, who, bytes) => self.handle(now, who, Input::Message(&bytes)),
            Event::Timer(who) => {
                if self.proxies[who].timer == now {
                    self.handle(now, who, Input::Timer);
                }
            }
            Event::Work(who, incarnation, index, asked, wait) => {
                let number = self.proxies[who].question;
                match index {
                    Some(index) if index == self.told_version(now) => {
                        self.at(
                            now,
                            Event::Watch(who, incarnation, index, asked, now + wait),
                        );
                    }
                    _ => self.at(
                        now,
                        Event::Answer(who, incarnation, number, index, asked, true),
                    ),
                }
            }
            Event::Watch(who, incarnation, index, asked, until) => {
                let number = self.proxies[who].question;
                if self.holds(now, |t| *t == FaultKind::ServiceDown) {
                    self.at(now, Event::Fail(who, incarnation, number));
                } else if self.told_version(now) != index || now >= until {
                    self.at(
                        now,
                        Event::Answer(who, incarnation, number, Some(index), asked, false),
                    );
                } else {
                    // As often as a watch could hear of anything.
                    self.at(
                        (now + 5_000).min(until),
                        Event::Watch(who, incarnation, index, asked, until),
                    );
                }
            }
            Event::GiveUp(who, incarnation, number) => {
                self.outcome.polls_timed_out += 1;
                self.event(now, Event::Fail(who, incarnation, number));
            }
            Event::Fail(who, incarnation, number) => {
                if self.proxies[who].incarnation == incarnation
                    && self.proxies[who].question == number
                {
                    self.handle(now, who, Input::PollFailed { retry_after: None });
                }
            }
            Event::Answer(who, incarnation, number, known, asked, at_once) => {
                if self.proxies[who].incarnation != incarnation
                    || self.proxies[who].question != number
                {
                    return;
                }
                self.outcome.first_answer.get_or_insert(now);
                let version = self.told_version(now);
                let (whole, changes) = match known {
                    Some(known) if known == version => (false, Vec::new()),
                    Some(known) if known + 1 == version => {
                        (false, change(self.config.hosts, version))
                    }
                    _ => (true, list(self.config.hosts, version)),
                };
                let answer = PollAnswer {
                    complete: whole,
                    index: version,
                    changes,
                    latency: now - asked,
                    immediate: at_once,
                };
                self.handle(now, who, Input::PollAnswered(answer));
            }
            Event::Change => self.version += 1,
        }
    }
}

/// Plays a config.
pub fn simulate(config: &SimConfig, seed: u64) -> Outcome {
    let mut random = Pcg32::seed_from_u64(seed);
    let proxy = || Proxy {
        peer: None,
        incarnation: 0,
        question: 0,
        timer: 0,
        sent: 0,
        second: 0,
    };
    let starts: Vec<Micros> = (0..config.proxies)
        .map(|_| random.gen_range(0..=config.start))
        .collect();
    let mut play = Simulation {
        config,
        random,
        queue: BinaryHeap::new(),
        count: 0,
        proxies: (0..config.proxies).map(|_| proxy()).collect(),
        free: 0,
        version: 1,
        outcome: Outcome {
            received_list_at: vec![None; config.proxies],
            started: starts.clone(),
            spread: vec![None; config.changes.len()],
            ..Outcome::default()
        },
        last_second: 0,
    };
    for (who, at) in starts.into_iter().enumerate() {
        play.at(at, Event::Start(who));
    }
    config
        .changes
        .iter()
        .for_each(|at| play.at(*at, Event::Change));
    for fault in &config.faults {
        if let FaultKind::Crash(these) = &fault.kind {
            for &who in these {
                play.at(fault.from, Event::Die(who));
                play.at(fault.until, Event::Start(who));
            }
        }
    }
    while let Some(Reverse((now, _, event))) = play.queue.pop() {
        if now > config.until {
            break;
        }
        play.event(now, event);
    }
    let mut outcome = play.outcome;
    outcome.final_rate = play.last_second as f64 / config.proxies.max(1) as f64;
    outcome.index = play
        .proxies
        .iter()
        .map(|p| {
            p.peer
                .as_ref()
                .and_then(|p| p.endpoint_list())
                .map(|b| b.0.index)
        })
        .collect();
    let standing: Vec<_> = play
        .proxies
        .iter()
        .filter_map(|p| p.peer.as_ref())
        .map(|p| p.status(config.until))
        .collect();
    outcome.pollers = standing
        .iter()
        .filter(|s| s.pollers.iter().any(|(w, _)| w.id == s.own.id))
        .count();
    let alive = || standing.iter().map(|s| s.alive);
    outcome.alive = (alive().min().unwrap_or(0), alive().max().unwrap_or(0));
    outcome.converged = standing.iter().filter(|s| s.converged).count();
    outcome
}

/// Draws a config of so many proxies with faults, for property tests and hunts.
pub fn random_config(proxies: usize, seed: u64) -> SimConfig {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut config = SimConfig {
        proxies,
        until: 40_000_000,
        ..SimConfig::default()
    };
    let lot = |random: &mut Pcg32, chance: f64, most: f64| {
        if random.gen_bool(chance) {
            random.gen_range(0.0..most)
        } else {
            0.0
        }
    };
    config.seeds = random.gen_range(1..=4);
    config.loss = lot(&mut random, 0.5, 0.33);
    config.duplication = lot(&mut random, 0.3, 0.33);
    config.delay_share = lot(&mut random, 0.3, 0.33);
    config.changes = (0..random.gen_range(0..4))
        .map(|_| random.gen_range(2_000_000..14_000_000))
        .collect();
    config.changes.sort_unstable();
    config.poll_work = *[8_000, 80_000].choose(&mut random).unwrap_or(&8_000);
    let some = |random: &mut Pcg32, share: f64| -> Vec<usize> {
        (0..proxies).filter(|_| random.gen_bool(share)).collect()
    };
    for _ in 0..random.gen_range(0..4) {
        let from = random.gen_range(0..10_000_000);
        let until = from + random.gen_range(200_000..6_000_000);
        let kind = match random.gen_range(0..6) {
            0 => FaultKind::Crash(some(&mut random, 0.7)),
            1 => FaultKind::Crash((0..config.seeds).collect()),
            2 => FaultKind::ServiceUnreachable(some(&mut random, 0.5)),
            3 => FaultKind::Partition(random.gen_range(1..proxies.max(2))),
            4 => FaultKind::ServiceDown,
            _ => FaultKind::StaleService(random.gen_range(1..3)),
        };
        config.faults.push(Fault { kind, from, until });
    }
    // Deaths of one proxy do not overlap: it would start while it lives.
    let mut dead = Vec::new();
    config.faults.retain(|f| {
        let first = !matches!(f.kind, FaultKind::Crash(_)) || dead.is_empty();
        if matches!(f.kind, FaultKind::Crash(_)) {
            dead.push(());
        }
        first
    });
    config
}

#[cfg(test)]
mod tests;
