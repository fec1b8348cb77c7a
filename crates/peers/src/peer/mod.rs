//! One proxy among its peers.
//!
//! Membership (which proxies are alive) is SWIM's, by the `foca` crate. The list of hosts spreads beside it by gossip: a
//! peer that learns a newer list sends it to some others at once, each of which does the same when it first receives it;
//! a peer without a list asks those it knows, first the seeds; and each sends its status to two others periodically, so
//! that lost messages are made up for.
//!
//! - `api`: inputs, outputs and reports.
//! - `message`: the messages between peers.
//! - `receive`, `send`: messages in and out.
//! - `transfer`: lists in parts.
//! - `service`: requests to the list service, and the spread of a new list.
//! - `members`: membership.
//! - `tick`: timers.

mod api;
mod members;
mod message;
mod receive;
mod send;
mod service;
mod tick;
mod transfer;

pub use api::{Answer, Counts, Input, Member, Note, Output, Standing, Terms};
pub use send::{BURST, RATE};

use crate::belief::Belief;
use crate::list::{Book, Stamp};
use crate::parcel::{Assembly, Parcel, PART};
use crate::turns::{Mechanism, Turns};
use crate::Micros;
use foca::{AccumulatingRuntime, Foca, PostcardCodec, Timer};
use members::{swim_terms, Swim, SWIM_MOST};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tick::TICK_LEAST;
use transfer::STALLED;

/// Most bytes of a message, without its seal: with it and the heads of UDP and IP it fits into any Ethernet frame.
pub const MESSAGE_MOST: usize = 1_200;

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
}

const _: () = assert!(PART < SWIM_MOST && SWIM_MOST < MESSAGE_MOST);
