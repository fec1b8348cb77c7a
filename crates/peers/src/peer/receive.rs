//! Received messages.

use super::message::{Letter, Message};
use super::send::FAN;
use super::tick::TICK_LEAST;
use super::transfer::STALLED;
use super::{Member, Output, Peer};
use crate::belief::Verdict;
use crate::list::Stamp;
use crate::turns::{Mechanism, Word};
use crate::Micros;

impl Peer {
    pub(super) fn message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
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

    pub(super) fn status(
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
}
