//! One proxy among its peers.
//!
//! Membership (who is alive) is SWIM's, by the `foca` crate. The list spreads beside it: whoever has a newer one sends
//! it to some others at once, each of which does the same on its first hearing; who has none asks those it knows, first
//! the seeds; and each tells two others now and then what it has, so that what was lost is made good.

use crate::belief::{Belief, Verdict, DOUBT};
use crate::list::{Book, Change, Stamp};
use crate::parcel::{Assembly, Parcel, PART};
use crate::turns::{Id, Mechanism, Turns, Word};
use crate::Micros;
use foca::{
    AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_members::rngs::SmallRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Most bytes of a message, without its seal: with it and the heads of UDP and IP it fits into any Ethernet frame.
pub const MESSAGE_MOST: usize = 1_200;
/// Bytes of a SWIM message, which travels inside one of ours.
const SWIM_MOST: usize = 1_100;
/// Others that news go to at once.
const FAN: usize = 4;
/// Others that hear now and then what this proxy has.
const TELLS: usize = 2;
/// How often: while there is news, and in calm.
const TICK_LEAST: Micros = 100_000;
const TICK_MOST: Micros = 1_000_000;
/// ... and while it has no list: what it waits for may come up at any moment.
const TICK_WITHOUT: Micros = 250_000;
/// Messages a second that a proxy sends at the most, and how many at once.
pub const RATE: f64 = 400.0;
/// See [`RATE`].
pub const BURST: f64 = 400.0;
/// Parts of a list that are sent for one question.
const PARTS: usize = 48;
/// After so long without a part what is missing is asked for again.
const STALLED: Micros = 80_000;
/// How long a question waits at the service for news; the first one of a proxy for less: its answer shows that the
/// service is heard.
const WAIT: Micros = 10_000_000;
const WAIT_FIRST: Micros = 1_000_000;
/// A pause after an answer that came at once and told nothing new.
const CALM: Micros = 50_000;
/// How often a seed that is no member is looked for.
const SEEDS: Micros = 5_000_000;
/// Ticks without a new member after which a fleet counts as found.
const STEADY: u32 = 10;

/// A proxy, as its peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its number.
    pub id: Id,
    /// Unix time of its start in milliseconds, and one more each time that it was thought dead: of two at one address
    /// the later one is there.
    pub started: u64,
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Member { started: self.started + 1, ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.started, self.id) > (other.started, other.id)
    }
}

/// What travels.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// A message of SWIM's.
    Swim(Vec<u8>),
    /// What the sender has.
    Status { stamp: Option<Stamp>, words: Vec<Word> },
    /// The sender wants a list newer than `stamp`; of this one these parts, if it has some already.
    Want { stamp: Option<Stamp>, of: Option<Stamp>, parts: Vec<u16> },
    /// A part of a list.
    Part { stamp: Stamp, number: u16, parts: u16, bytes: Vec<u8> },
    /// What leads from one list to the next.
    News { from: Stamp, to: Stamp, changes: Vec<Change> },
}

#[derive(Debug, Serialize, Deserialize)]
struct Letter {
    from: Member,
    message: Message,
}

/// What happens to a proxy.
#[derive(Debug)]
pub enum Input<'a> {
    /// A message has come whose seal was good.
    Message(&'a [u8]),
    /// [`Peer::due`] has come.
    Timer,
    /// The list service has answered.
    Answered(Answer),
    /// It has not; `retry_after`: what it said.
    Failed {
        /// How long to stay away.
        retry_after: Option<Micros>,
    },
    /// There is another list service; what was asked of the old one is void.
    Moved,
    /// The program ends.
    Leave,
}

/// An answer of the list service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The whole list, and not what changed.
    pub whole: bool,
    /// Its version.
    pub index: u64,
    /// The entries.
    pub changes: Vec<Change>,
    /// How long it took.
    pub took: Micros,
    /// It did not wait for news.
    pub at_once: bool,
}

/// What a proxy is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SocketAddr, Vec<u8>),
    /// Ask the list service: for the whole list, or for what is newer than a version, which may wait.
    Ask {
        /// What is known.
        index: Option<u64>,
        /// How long to wait for news.
        wait: Micros,
    },
    /// The list has changed, or is there for the first time (`whole`).
    List {
        /// All of it.
        whole: bool,
        /// What changed.
        changes: Vec<Change>,
    },
    /// So many proxies are alive, this one included.
    Alive(usize),
    /// Something for the log.
    Note(Note),
}

/// Steps of a start, and what is odd.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A list is there, so long after the start.
    Listed {
        /// Whom it is from; `None`: the service itself.
        from: Option<SocketAddr>,
        /// Which.
        stamp: Stamp,
        /// Hosts that take calls.
        hosts: usize,
        /// Time since the start.
        after: Micros,
    },
    /// It asks for all, or no more.
    Asks(bool),
    /// The service tells a list that is older than the one believed, or names less than half of its hosts.
    Doubts(u64),
    /// The service was restored, or another one tells other lists: a new life.
    Life(u32),
    /// The start is over: there is a list from a service that is heard, and no new proxies come up.
    Settled(usize),
    /// Most proxies have gone: as at a start.
    Unsettled(usize),
}

/// Counts of what came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that were not sent as there were too many.
    pub held_back: u64,
    /// Messages taken.
    pub taken: u64,
    /// Messages that are none.
    pub malformed: u64,
    /// Lists that were not what their stamp tells.
    pub torn: u64,
    /// Questions to the list service.
    pub questions: u64,
    /// ... that failed.
    pub failed: u64,
    /// Lists of the service that were doubted.
    pub doubted: u64,
}

/// What a proxy knows, for whoever looks on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Itself.
    pub own: Member,
    /// Its list, since when it has it, and from whom (`None`: the service).
    pub list: Option<(Stamp, Micros, Option<SocketAddr>)>,
    /// Hosts that take calls.
    pub hosts: usize,
    /// Proxies that are alive, this one included.
    pub alive: usize,
    /// The start is over.
    pub settled: bool,
    /// Those that ask, and how long ago something new was heard of each.
    pub askers: Vec<(Word, Micros)>,
    /// Counts.
    pub counts: Counts,
}

/// What holds for a proxy.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Itself; its number is drawn at its start.
    pub own: Member,
    /// Where others may be met.
    pub seeds: Vec<SocketAddr>,
    /// What is left out, to measure what it is worth; else `None`.
    pub without: Option<Mechanism>,
}

type Swim = Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// One proxy.
pub struct Peer {
    own: Member,
    seeds: Vec<SocketAddr>,
    began: Micros,
    belief: Belief,
    /// Whom the list is from.
    source: Option<SocketAddr>,
    parcel: Option<Parcel>,
    assembly: Option<(Assembly, SocketAddr, Micros)>,
    turns: Turns,
    without: Option<Mechanism>,
    /// The next question is for the whole list.
    whole: bool,
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timers_set: u64,
    random: Pcg32,
    tick_at: Micros,
    tick: Micros,
    seeds_at: Micros,
    /// When news of those that ask was last passed on.
    passed_on: Micros,
    /// Who was heard from at last, while members are few.
    heard: VecDeque<SocketAddr>,
    tokens: f64,
    tokens_at: Micros,
    told_alive: usize,
    steady: u32,
    /// Proxies alive at the highest, since the start was over.
    settled: Option<usize>,
    counts: Counts,
}

fn swim_terms() -> foca::Config {
    let every = |ms, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members })
    };
    let mut terms = foca::Config::simple();
    terms.probe_period = Duration::from_millis(1_000);
    terms.probe_rtt = Duration::from_millis(500);
    // A process on a busy machine, or one that stands still for a moment, is not dead.
    terms.suspect_to_down_after = Duration::from_secs(3);
    // One whose clock was wrong and is set back comes back as an earlier start.
    terms.remove_down_after = Some(Duration::from_secs(60));
    terms.max_transmissions = NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN);
    terms.max_packet_size = NonZeroUsize::new(SWIM_MOST).unwrap_or(NonZeroUsize::MIN);
    terms.notify_down_members = true;
    terms.periodic_announce = every(5_000, 1);
    terms.periodic_announce_to_down_members = every(10_000, 2);
    terms.periodic_gossip = every(500, 3);
    terms
}

impl Peer {
    /// A proxy that starts now. All chance is drawn from its number.
    pub fn new(now: Micros, terms: Terms) -> Self {
        let own = terms.own;
        let alone = terms.seeds.iter().all(|s| *s == own.address);
        let seed = alone || terms.seeds.contains(&own.address);
        let mut random = Pcg32::seed_from_u64(own.id.0 ^ 0x9e37_79b9);
        let rng = rand_members::SeedableRng::seed_from_u64(random.gen());
        Peer {
            own,
            seeds: terms.seeds.into_iter().filter(|s| *s != own.address).collect(),
            began: now,
            belief: Belief::default(),
            source: None,
            parcel: None,
            assembly: None,
            turns: Turns::new(own.id, seed).without(terms.without),
            without: terms.without,
            whole: true,
            swim: Foca::new(own, swim_terms(), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            random,
            tick_at: now,
            tick: TICK_LEAST,
            seeds_at: now,
            passed_on: 0,
            heard: VecDeque::new(),
            tokens: BURST,
            tokens_at: now,
            told_alive: 0,
            steady: 0,
            settled: None,
            counts: Counts::default(),
        }
    }

    /// When [`Input::Timer`] is due.
    pub fn due(&self) -> Micros {
        let swim = self.timers.first_key_value().map(|(key, _)| key.0);
        let stalled = self.assembly.as_ref().map(|(_, _, at)| at + STALLED);
        [swim, stalled, self.turns.due()].into_iter().flatten().fold(self.tick_at, Micros::min)
    }

    /// What this proxy knows.
    pub fn standing(&self, now: Micros) -> Standing {
        let held = self.belief.held();
        Standing {
            own: *self.swim.identity(),
            list: held.map(|h| (h.stamp, now.saturating_sub(h.since), self.source)),
            hosts: held.map_or(0, |h| h.book.up()),
            alive: self.alive(),
            settled: self.settled.is_some(),
            askers: self.turns.known(now),
            counts: Counts { doubted: self.belief.doubted, ..self.counts },
        }
    }

    /// The list that it believes.
    pub fn book(&self) -> Option<(&Stamp, &Book)> {
        self.belief.held().map(|h| (&h.stamp, &h.book))
    }

    /// Proxies alive, as it knows, itself included.
    pub fn alive(&self) -> usize {
        self.swim.num_members() + 1
    }

    /// Tells what happens; what is to be done comes into `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Message(bytes) => self.message(now, bytes, out),
            Input::Timer => {}
            Input::Answered(answer) => self.answered(now, answer, out),
            Input::Failed { retry_after } => {
                self.counts.failed += 1;
                self.whole |= self.belief.held().is_none();
                self.turns.failed(now, retry_after);
                self.tell(now, out);
            }
            Input::Moved => {
                self.whole = true;
                self.turns.moved(now);
            }
            Input::Leave => {
                let _ = self.swim.leave_cluster(&mut self.runtime);
                self.swim_done(now, out);
                return;
            }
        }
        self.timers(now, out);
        self.ask(now, out);
    }

    fn answered(&mut self, now: Micros, answer: Answer, out: &mut Vec<Output>) {
        let first = !self.turns.hears();
        self.turns.answered(now, answer.at_once.then_some(answer.took));
        let from = self.belief.stamp();
        let verdict = match answer.whole {
            true => self.belief.whole(now, answer.index, Book::new(answer.changes)),
            false => self.belief.changes(now, answer.index, &answer.changes),
        };
        self.whole = matches!(verdict, Verdict::Doubted | Verdict::Unfit);
        match verdict {
            Verdict::News(changes) => self.believe(now, from, (None, changes), out),
            Verdict::Known if answer.took < CALM => self.turns.not_before(now + CALM),
            Verdict::Doubted => {
                out.push(Output::Note(Note::Doubts(answer.index)));
                // Asked for the whole list, it answers at once.
                self.turns.not_before(now + DOUBT / 4);
            }
            Verdict::Unfit => self.turns.not_before(now + CALM),
            Verdict::Known => {}
        }
        if first {
            self.tell(now, out);
        }
    }

    /// A new list is believed: calls hear of it, and others.
    fn believe(
        &mut self,
        now: Micros,
        from: Option<Stamp>,
        (source, changes): (Option<SocketAddr>, Vec<Change>),
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.belief.held() else { return };
        let stamp = held.stamp;
        self.source = source;
        self.parcel = Parcel::pack(stamp, &held.book);
        if from.is_none() {
            let (hosts, after) = (held.book.up(), now - self.began);
            out.push(Output::Note(Note::Listed { from: source, stamp, hosts, after }));
        }
        if from.is_some_and(|f| f.life < stamp.life) {
            out.push(Output::Note(Note::Life(stamp.life)));
        }
        if self.assembly.as_ref().is_some_and(|(a, ..)| a.stamp <= stamp) {
            self.assembly = None;
        }
        self.hurry(now);
        let news = from.map(|from| Message::News { from, to: stamp, changes: changes.clone() });
        let news = news.and_then(|news| self.written(news)).filter(|bytes| bytes.len() <= MESSAGE_MOST);
        out.push(Output::List { whole: from.is_none(), changes });
        let bytes = match (news, &self.parcel) {
            (Some(bytes), _) => Some(bytes),
            (None, Some(parcel)) if parcel.parts() == 1 => self.part(0).and_then(|m| self.written(m)),
            _ => {
                let words = self.turns.words(now, false);
                self.written(Message::Status { stamp: Some(stamp), words })
            }
        };
        let fan = if self.without == Some(Mechanism::Push) { 0 } else { FAN };
        for to in self.others(fan, source) {
            self.post(now, to, bytes.clone(), out);
        }
    }

    fn part(&self, number: u16) -> Option<Message> {
        let parcel = self.parcel.as_ref()?;
        let bytes = parcel.part(number)?.to_vec();
        Some(Message::Part { stamp: parcel.stamp, number, parts: parcel.parts(), bytes })
    }

    /// Something is new: the next word comes soon.
    fn hurry(&mut self, now: Micros) {
        self.tick = TICK_LEAST;
        self.tick_at = self.tick_at.min(now + TICK_LEAST);
    }

    fn written(&self, message: Message) -> Option<Vec<u8>> {
        postcard::to_stdvec(&Letter { from: *self.swim.identity(), message }).ok()
    }

    fn post(&mut self, now: Micros, to: SocketAddr, bytes: Option<Vec<u8>>, out: &mut Vec<Output>) {
        let Some(bytes) = bytes else { return };
        self.tokens = (self.tokens + now.saturating_sub(self.tokens_at) as f64 / 1e6 * RATE).min(BURST);
        self.tokens_at = now;
        if self.tokens < 1.0 {
            self.counts.held_back += 1;
            return;
        }
        self.tokens -= 1.0;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    fn send(&mut self, now: Micros, to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        let bytes = self.written(message);
        self.post(now, to, bytes, out);
    }

    /// So many others at random, but not this one. While few members are known, seeds and whoever was heard count too.
    fn others(&mut self, count: usize, but: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        if all.len() < 2 * FAN {
            all.extend(self.seeds.iter().chain(&self.heard));
            all.sort_unstable();
            all.dedup();
        }
        all.retain(|a| Some(*a) != but && *a != self.own.address);
        all.partial_shuffle(&mut self.random, count).0.to_vec()
    }

    /// Tells some others at once what this proxy has and whom it knows to ask.
    fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (stamp, words) = (self.belief.stamp(), self.turns.words(now, false));
        let bytes = self.written(Message::Status { stamp, words });
        for to in self.others(FAN, None) {
            self.post(now, to, bytes.clone(), out);
        }
    }

    fn message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let Ok(Letter { from, message }) = postcard::from_bytes::<Letter>(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        if from.address == self.own.address {
            return;
        }
        self.counts.taken += 1;
        self.turns.met(now);
        if self.heard.len() >= 2 * FAN {
            self.heard.pop_front();
        }
        if !self.heard.contains(&from.address) {
            self.heard.push_back(from.address);
        }
        match message {
            Message::Swim(bytes) => {
                if self.swim.handle_data(&bytes, &mut self.runtime).is_err() {
                    self.counts.malformed += 1;
                }
                self.swim_done(now, out);
            }
            Message::Status { stamp, words } => self.status(now, from, (stamp, &words), out),
            Message::Want { stamp, of, parts } => self.wanted(now, from, (stamp, of, &parts), out),
            Message::Part { stamp, number, parts, bytes } => {
                self.take_part(now, from, (stamp, number, parts), &bytes, out);
            }
            Message::News { from: old, to, changes } => {
                let own = self.belief.stamp();
                match self.belief.news(now, (old, to), &changes) {
                    Verdict::News(changes) => self.believe(now, own, (Some(from.address), changes), out),
                    Verdict::Unfit => self.want(now, from.address, out),
                    Verdict::Known | Verdict::Doubted => {}
                }
            }
        }
    }

    fn status(
        &mut self,
        now: Micros,
        from: Member,
        (stamp, words): (Option<Stamp>, &[Word]),
        out: &mut Vec<Output>,
    ) {
        if self.turns.told(now, words) {
            self.hurry(now);
            // More news within a moment goes with the next word of all: what is told about those that ask must never
            // become a storm.
            if self.passed_on + TICK_LEAST <= now && self.without != Some(Mechanism::Words) {
                self.passed_on = now;
                self.tell(now, out);
            }
        }
        let own = self.belief.stamp();
        if stamp > own {
            let coming =
                self.assembly.as_ref().is_some_and(|(a, _, at)| stamp <= Some(a.stamp) && now < at + STALLED);
            if !coming {
                self.want(now, from.address, out);
            }
        } else if stamp < own {
            self.give(now, from.address, out);
        }
    }

    /// Asks for a newer list.
    fn want(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Output>) {
        let (of, parts) = match &self.assembly {
            Some((assembly, ..)) => (Some(assembly.stamp), assembly.missing(PARTS)),
            None => (None, Vec::new()),
        };
        self.send(now, from, Message::Want { stamp: self.belief.stamp(), of, parts }, out);
    }

    /// Sends the list, if it is one part, or word of it.
    fn give(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let single = self.parcel.as_ref().is_some_and(|p| p.parts() == 1);
        let message = match self.part(0).filter(|_| single) {
            Some(part) => part,
            None => Message::Status { stamp: self.belief.stamp(), words: self.turns.words(now, false) },
        };
        self.send(now, to, message, out);
    }

    fn wanted(
        &mut self,
        now: Micros,
        from: Member,
        (stamp, of, parts): (Option<Stamp>, Option<Stamp>, &[u16]),
        out: &mut Vec<Output>,
    ) {
        let own = self.belief.stamp();
        if own <= stamp {
            // Nothing newer; but perhaps it does not know who asks.
            let words = self.turns.words(now, false);
            if !words.is_empty() || own < stamp {
                self.send(now, from.address, Message::Status { stamp: own, words }, out);
            }
            return;
        }
        let all = self.parcel.as_ref().map_or(0, Parcel::parts);
        let some: Vec<u16> = match of == own && !parts.is_empty() {
            true => parts.iter().copied().filter(|n| *n < all).take(PARTS).collect(),
            // Not the first ones to each: those that have some can give them to others.
            false => {
                let first = self.random.gen_range(0..all.max(1));
                (0..all).map(|n| (n + first) % all).take(PARTS).collect()
            }
        };
        for number in some {
            if let Some(part) = self.part(number) {
                self.send(now, from.address, part, out);
            }
        }
    }

    fn take_part(
        &mut self,
        now: Micros,
        from: Member,
        (stamp, number, parts): (Stamp, u16, u16),
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let own = self.belief.stamp();
        if Some(stamp) <= own {
            return;
        }
        if self.assembly.as_ref().is_none_or(|(a, ..)| a.stamp < stamp) {
            let Some(fresh) = Assembly::new(stamp, parts) else {
                self.counts.malformed += 1;
                return;
            };
            self.assembly = Some((fresh, from.address, now));
        }
        let Some((assembly, last, at)) = self.assembly.as_mut().filter(|(a, ..)| a.stamp == stamp) else {
            return;
        };
        if !assembly.add(number, parts, bytes) {
            return;
        }
        (*last, *at) = (from.address, now);
        let Some(whole) = assembly.whole() else { return };
        self.assembly = None;
        match whole {
            Ok(book) => {
                if let Verdict::News(changes) = self.belief.peer(now, stamp, book) {
                    self.believe(now, own, (Some(from.address), changes), out);
                }
            }
            Err(()) => self.counts.torn += 1,
        }
    }

    fn timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut due = Vec::new();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        // The library wants those that are due at once in this order.
        due.sort();
        for timer in due {
            // Its errors tell of timers that came late, as they do after a stop; it goes on by itself.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.swim_done(now, out);
        if let Some((assembly, last, at)) = &mut self.assembly {
            if *at + STALLED <= now {
                *at = now;
                let (of, parts, last) = (Some(assembly.stamp), assembly.missing(PARTS), *last);
                // From whom some came, or from another one that may have it.
                let to = match self.random.gen_bool(0.5) {
                    true => Some(last),
                    false => self.others(1, Some(last)).first().copied().or(Some(last)),
                };
                let stamp = self.belief.stamp();
                if let Some(to) = to {
                    self.send(now, to, Message::Want { stamp, of, parts }, out);
                }
            }
        }
        if self.tick_at <= now {
            self.beat(now, out);
        }
    }

    fn beat(&mut self, now: Micros, out: &mut Vec<Output>) {
        // A little apart: proxies that start together do not speak together for ever.
        let tick = self.tick * self.random.gen_range(75..=125) / 100;
        self.tick_at = now + tick;
        let most = if self.belief.held().is_some() { TICK_MOST } else { TICK_WITHOUT };
        self.tick = (self.tick * 3 / 2).min(most);
        let alone = self.swim.num_members() == 0;
        if alone || self.seeds_at <= now {
            // At the start, and where a part of the fleet has lost the others.
            self.seeds_at = now + SEEDS;
            let known: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
            let missing: Vec<SocketAddr> =
                self.seeds.iter().filter(|s| !known.contains(s)).copied().collect();
            if let Some(&address) = missing.choose(&mut self.random) {
                let _ = self.swim.announce(Member { address, id: Id(0), started: 0 }, &mut self.runtime);
                self.swim_done(now, out);
            }
        }
        let words = self.turns.words(now, true);
        let stamp = self.belief.stamp();
        let listed = stamp.is_some();
        let message = match listed {
            true => Message::Status { stamp, words },
            // Words of those that ask come back with the answer.
            false => Message::Want { stamp: None, of: None, parts: Vec::new() },
        };
        if listed || self.assembly.is_none() {
            let bytes = self.written(message);
            for to in self.others(TELLS, None) {
                self.post(now, to, bytes.clone(), out);
            }
        }
        self.look_at_start(out);
    }

    /// Is the start over, or does one begin again?
    fn look_at_start(&mut self, out: &mut Vec<Output>) {
        let alive = self.alive();
        self.steady = self.steady.saturating_add(1);
        match &mut self.settled {
            None if self.steady >= STEADY && self.belief.held().is_some() && self.turns.heard() => {
                self.settled = Some(alive);
                out.push(Output::Note(Note::Settled(alive)));
            }
            None => {}
            Some(most) if 2 * alive < *most => {
                (self.settled, self.steady) = (None, 0);
                out.push(Output::Note(Note::Unsettled(alive)));
            }
            Some(most) => *most = alive.max(*most),
        }
    }

    /// Carries out what the library wants.
    fn swim_done(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.send(now, to.address, Message::Swim(bytes.to_vec()), out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_set += 1;
            self.timers.insert((now + after.as_micros() as Micros, self.timers_set), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(_) => {
                    self.steady = 0;
                    if self.settled.is_none() {
                        self.hurry(now);
                    }
                }
                // Another process at the same address: the old one is not there any more.
                OwnedNotification::MemberDown(old) | OwnedNotification::Rename(old, _)
                    if old.id != self.own.id =>
                {
                    self.turns.gone(now, old.id);
                }
                _ => {}
            }
        }
        let (alive, told) = (self.alive(), self.told_alive);
        if alive.abs_diff(told) * 10 > told {
            self.told_alive = alive;
            out.push(Output::Alive(alive));
        }
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        let before = self.turns.asks();
        let listed = self.belief.held().is_some();
        let asks = self.turns.ask(now, listed);
        if self.turns.asks() != before {
            out.push(Output::Note(Note::Asks(!before)));
            self.tell(now, out);
        }
        if asks {
            self.counts.questions += 1;
            let index = self.belief.stamp().map(|s| s.index).filter(|_| !self.whole || !listed);
            let wait = if self.turns.hears() { WAIT } else { WAIT_FIRST };
            // Each a little less: questions that began together are not to end together for ever.
            let wait = wait - self.random.gen_range(0..=wait / 8);
            out.push(Output::Ask { index, wait });
        }
    }
}

const _: () = assert!(PART < SWIM_MOST && SWIM_MOST < MESSAGE_MOST);
