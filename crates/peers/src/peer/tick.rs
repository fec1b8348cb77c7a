//! Timers: those of SWIM, the retry of a stalled transfer, and the periodic status.

use super::members::SEEDS;
use super::message::Message;
use super::send::TELLS;
use super::transfer::{PARTS, STALLED};
use super::{Member, Output, Peer};
use crate::turns::Id;
use crate::Micros;
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// How often: while there is news, and in calm.
pub(super) const TICK_LEAST: Micros = 100_000;

pub(super) const TICK_MOST: Micros = 1_000_000;

/// ... and while it has no list: what it waits for may come up at any moment.
pub(super) const TICK_WITHOUT: Micros = 250_000;

impl Peer {
    pub(super) fn timers(&mut self, now: Micros, out: &mut Vec<Output>) {
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

    pub(super) fn beat(&mut self, now: Micros, out: &mut Vec<Output>) {
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
}
