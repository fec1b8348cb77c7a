//! Sending of messages, and the choice of their receivers.

use super::message::{Envelope, Message, StatusMessage};
use super::timers::MIN_STATUS_INTERVAL;
use super::{Output, Peer};
use crate::Micros;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Number of peers that each periodic status is sent to.
pub(super) const STATUS_FANOUT: usize = 2;

/// Number of peers that a new list, or a significant change of a poller's status, is sent to immediately.
pub(super) const FANOUT: usize = 4;

/// Number of known members below which seeds and recent senders are candidates for messages as well.
const MIN_CANDIDATES: usize = 2 * FANOUT;

/// Maximum number of recent senders that are remembered.
const MAX_RECENT_SENDERS: usize = 2 * FANOUT;

impl Peer {
    /// Encodes a message, with this proxy as its sender.
    pub(super) fn encode(&self, message: Message) -> Option<Vec<u8>> {
        let envelope = Envelope {
            from: *self.swim.identity(),
            message,
        };
        postcard::to_stdvec(&envelope).ok()
    }

    /// Sends an encoded message, unless the rate limit is reached.
    fn send_encoded(&mut self, now: Micros, to: SocketAddr, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if !self.rate_limiter.try_acquire(now) {
            self.metrics.rate_limited += 1;
            return;
        }
        self.metrics.sent += 1;
        self.metrics.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    /// Sends a message to one peer.
    pub(super) fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if let Some(bytes) = self.encode(message) {
            self.send_encoded(now, to, bytes, out);
        }
    }

    /// Sends an encoded message to several peers.
    pub(super) fn send_to_all(
        &mut self,
        now: Micros,
        receivers: Vec<SocketAddr>,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        for to in receivers {
            self.send_encoded(now, to, bytes.to_vec(), out);
        }
    }

    /// Chooses up to `count` peers at random, except `excluded`. While few members are known, seeds and recent senders
    /// are candidates as well.
    pub(super) fn random_peers(
        &mut self,
        count: usize,
        excluded: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut candidates = self.member_addresses();
        if candidates.len() < MIN_CANDIDATES {
            candidates.extend(self.seeds.iter().chain(&self.recent_senders));
            candidates.sort_unstable();
            candidates.dedup();
        }
        let own = self.own.address;
        candidates.retain(|address| Some(*address) != excluded && *address != own);
        let (chosen, _) = candidates.partial_shuffle(&mut self.random, count);
        chosen.to_vec()
    }

    /// Remembers the sender of a message.
    pub(super) fn record_sender(&mut self, sender: SocketAddr) {
        if self.recent_senders.len() >= MAX_RECENT_SENDERS {
            self.recent_senders.pop_front();
        }
        if !self.recent_senders.contains(&sender) {
            self.recent_senders.push_back(sender);
        }
    }

    /// Builds the status message of this proxy. If `announce` is set, its status as a poller gets a new version.
    pub(super) fn status_message(&mut self, now: Micros, announce: bool) -> Message {
        Message::Status(StatusMessage {
            version: self.acceptance.version(),
            statuses: self.polling.statuses(now, announce),
        })
    }

    /// Sends the status of this proxy to some peers immediately.
    pub(super) fn send_status_to_some(&mut self, now: Micros, out: &mut Vec<Output>) {
        let message = self.status_message(now, false);
        let receivers = self.random_peers(FANOUT, None);
        if let Some(bytes) = self.encode(message) {
            self.send_to_all(now, receivers, &bytes, out);
        }
    }

    /// Schedules the next periodic status soon, as there is a change to announce.
    pub(super) fn expedite_status(&mut self, now: Micros) {
        self.status_interval = MIN_STATUS_INTERVAL;
        self.next_status_at = self.next_status_at.min(now + MIN_STATUS_INTERVAL);
    }
}
