//! The transfer of lists in parts.

use super::message::Message;
use super::{Member, Output, Peer};
use crate::belief::Verdict;
use crate::list::Stamp;
use crate::parcel::{Assembly, Parcel};
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// Parts of a list that are sent for one question.
pub(super) const PARTS: usize = 48;

/// After so long without a part what is missing is asked for again.
pub(super) const STALLED: Micros = 80_000;

impl Peer {
    pub(super) fn part(&self, number: u16) -> Option<Message> {
        let parcel = self.parcel.as_ref()?;
        let bytes = parcel.part(number)?.to_vec();
        Some(Message::Part { stamp: parcel.stamp, number, parts: parcel.parts(), bytes })
    }

    /// Asks for a newer list.
    pub(super) fn want(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Output>) {
        let (of, parts) = match &self.assembly {
            Some((assembly, ..)) => (Some(assembly.stamp), assembly.missing(PARTS)),
            None => (None, Vec::new()),
        };
        self.send(now, from, Message::Want { stamp: self.belief.stamp(), of, parts }, out);
    }

    /// Sends the list, if it is one part, or word of it.
    pub(super) fn give(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let single = self.parcel.as_ref().is_some_and(|p| p.parts() == 1);
        let message = match self.part(0).filter(|_| single) {
            Some(part) => part,
            None => Message::Status { stamp: self.belief.stamp(), words: self.turns.words(now, false) },
        };
        self.send(now, to, message, out);
    }

    pub(super) fn wanted(
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

    pub(super) fn take_part(
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
}
