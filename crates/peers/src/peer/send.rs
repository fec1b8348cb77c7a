//! Sending: messages to other peers, within a rate limit.

use super::message::{Letter, Message};
use super::tick::TICK_LEAST;
use super::{Output, Peer};
use crate::Micros;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Messages a second that a proxy sends at the most, and how many at once.
pub const RATE: f64 = 400.0;

/// See [`RATE`].
pub const BURST: f64 = 400.0;

/// Others that hear now and then what this proxy has.
pub(super) const TELLS: usize = 2;

/// Others that news go to at once.
pub(super) const FAN: usize = 4;

impl Peer {
    pub(super) fn written(&self, message: Message) -> Option<Vec<u8>> {
        postcard::to_stdvec(&Letter { from: *self.swim.identity(), message }).ok()
    }

    pub(super) fn post(
        &mut self,
        now: Micros,
        to: SocketAddr,
        bytes: Option<Vec<u8>>,
        out: &mut Vec<Output>,
    ) {
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

    pub(super) fn send(&mut self, now: Micros, to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        let bytes = self.written(message);
        self.post(now, to, bytes, out);
    }

    /// So many others at random, but not this one. While few members are known, seeds and whoever was heard count too.
    pub(super) fn others(&mut self, count: usize, but: Option<SocketAddr>) -> Vec<SocketAddr> {
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
    pub(super) fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (stamp, words) = (self.belief.stamp(), self.turns.words(now, false));
        let bytes = self.written(Message::Status { stamp, words });
        for to in self.others(FAN, None) {
            self.post(now, to, bytes.clone(), out);
        }
    }

    /// Something is new: the next word comes soon.
    pub(super) fn hurry(&mut self, now: Micros) {
        self.tick = TICK_LEAST;
        self.tick_at = self.tick_at.min(now + TICK_LEAST);
    }
}
