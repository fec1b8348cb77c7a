//! Sending: messages to other peers, within a rate limit.

use super::message::{Envelope, Message};
use super::tick::MIN_TICK;
use super::{Output, Peer};
use crate::Micros;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Messages a second that a proxy sends at the most, and how many at once.
pub const MESSAGES_PER_SECOND: f64 = 400.0;

/// See [`MESSAGES_PER_SECOND`].
pub const MESSAGE_BURST: f64 = 400.0;

/// How many peers get each periodic status.
pub(super) const STATUS_FANOUT: usize = 2;

/// How many peers news go to at once.
pub(super) const FANOUT: usize = 4;

impl Peer {
    /// A message with its sender, encoded.
    pub(super) fn encode(&self, message: Message) -> Option<Vec<u8>> {
        postcard::to_stdvec(&Envelope {
            from: *self.swim.identity(),
            message,
        })
        .ok()
    }

    /// Sends an encoded message, unless the rate limit is reached.
    pub(super) fn send_encoded(
        &mut self,
        now: Micros,
        to: SocketAddr,
        bytes: Option<Vec<u8>>,
        out: &mut Vec<Output>,
    ) {
        let Some(bytes) = bytes else { return };
        self.tokens = (self.tokens
            + now.saturating_sub(self.tokens_at) as f64 / 1e6 * MESSAGES_PER_SECOND)
            .min(MESSAGE_BURST);
        self.tokens_at = now;
        if self.tokens < 1.0 {
            self.metrics.rate_limited += 1;
            return;
        }
        self.tokens -= 1.0;
        self.metrics.sent += 1;
        self.metrics.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let bytes = self.encode(message);
        self.send_encoded(now, to, bytes, out);
    }

    /// Some peers at random, without `but`. While few members are known, seeds and the last senders count too.
    pub(super) fn random_peers(
        &mut self,
        count: usize,
        but: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        if all.len() < 2 * FANOUT {
            all.extend(self.seeds.iter().chain(&self.heard));
            all.sort_unstable();
            all.dedup();
        }
        all.retain(|a| Some(*a) != but && *a != self.own.address);
        all.partial_shuffle(&mut self.random, count).0.to_vec()
    }

    /// Sends the status of this proxy to some peers at once: its list version, and the pollers that it knows.
    pub(super) fn send_status_to_some(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (version, statuses) = (self.acceptance.version(), self.polling.statuses(now, false));
        let bytes = self.encode(Message::Status { version, statuses });
        for to in self.random_peers(FANOUT, None) {
            self.send_encoded(now, to, bytes.clone(), out);
        }
    }

    /// Something is new: the next periodic status is sent soon.
    pub(super) fn advance_tick(&mut self, now: Micros) {
        self.tick = MIN_TICK;
        self.tick_at = self.tick_at.min(now + MIN_TICK);
    }
}
