//! Timers: those of SWIM, the retry of a stalled transfer, and the periodic status.

use super::members::SEED_INTERVAL;
use super::message::Message;
use super::send::STATUS_FANOUT;
use super::transfer::{MAX_PARTS_SENT, PART_TIMEOUT};
use super::{Member, Output, Peer};
use crate::polling::PeerId;
use crate::Micros;
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// Least and greatest time between two periodic statuses: while there is news, and without any.
pub(super) const MIN_TICK: Micros = 100_000;

const MAX_TICK: Micros = 1_000_000;

/// The greatest time while the proxy has no list.
const MAX_TICK_WITHOUT_LIST: Micros = 250_000;

impl Peer {
    /// Runs the timers that are due.
    pub(super) fn handle_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut due = Vec::new();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        // The library wants those that are due at once in this order.
        due.sort();
        for timer in due {
            // Its errors report late timers, which are normal after a stop; it recovers by itself.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.carry_out_swim(now, out);
        self.retry_transfer(now, out);
        if self.tick_at <= now {
            self.handle_tick(now, out);
        }
    }

    /// Requests the missing parts of a list again, if none has come for a while.
    fn retry_transfer(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some((partial, sender, at)) = &mut self.partial else {
            return;
        };
        if now < *at + PART_TIMEOUT {
            return;
        }
        *at = now;
        let (of, parts, sender) = (
            Some(partial.version),
            partial.missing(MAX_PARTS_SENT),
            *sender,
        );
        // From the last sender, or from another peer that may have the list.
        let to = if self.random.gen_bool(0.5) {
            sender
        } else {
            self.random_peers(1, Some(sender))
                .first()
                .copied()
                .unwrap_or(sender)
        };
        let version = self.acceptance.version();
        self.send(now, to, Message::ListRequest { version, of, parts }, out);
    }

    /// Sends the periodic status, or asks for a list, and looks for missing seeds.
    fn handle_tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        // Jitter: proxies that start together do not send together for ever.
        let tick = self.tick * self.random.gen_range(75..=125) / 100;
        self.tick_at = now + tick;
        let most = if self.acceptance.accepted().is_some() {
            MAX_TICK
        } else {
            MAX_TICK_WITHOUT_LIST
        };
        self.tick = (self.tick * 3 / 2).min(most);
        let alone = self.swim.num_members() == 0;
        if alone || self.seeds_at <= now {
            self.contact_missing_seed(now, out);
        }
        let statuses = self.polling.statuses(now, true);
        let version = self.acceptance.version();
        let listed = version.is_some();
        let message = if listed {
            Message::Status { version, statuses }
        } else {
            Message::ListRequest {
                version: None,
                of: None,
                parts: Vec::new(),
            }
        };
        if listed || self.partial.is_none() {
            let bytes = self.encode(message);
            for to in self.random_peers(STATUS_FANOUT, None) {
                self.send_encoded(now, to, bytes.clone(), out);
            }
        }
        self.update_converged(out);
    }

    /// Announces this proxy to a seed that is no member: at the start, and where a part of the fleet has lost the others.
    fn contact_missing_seed(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.seeds_at = now + SEED_INTERVAL;
        let known: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|s| !known.contains(s))
            .copied()
            .collect();
        if let Some(&address) = missing.choose(&mut self.random) {
            let _ = self.swim.announce(
                Member {
                    address,
                    id: PeerId(0),
                    started: 0,
                },
                &mut self.runtime,
            );
            self.carry_out_swim(now, out);
        }
    }
}
