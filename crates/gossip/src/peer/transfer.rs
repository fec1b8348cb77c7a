//! The transfer of lists in parts.

use super::message::Message;
use super::{Member, Output, Peer};
use crate::belief::Verdict;
use crate::list::Stamp;
use crate::packed_list::{PackedList, PartialList};
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// Most parts of a list that are sent for one request.
pub(super) const MAX_PARTS_SENT: usize = 48;

/// After this time without a part the missing ones are requested again.
pub(super) const PART_TIMEOUT: Micros = 80_000;

impl Peer {
    /// The message with a part of the own list.
    pub(super) fn part_message(&self, number: u16) -> Option<Message> {
        let packed = self.packed.as_ref()?;
        let bytes = packed.part(number)?.to_vec();
        Some(Message::Part {
            stamp: packed.stamp,
            number,
            parts: packed.parts(),
            bytes,
        })
    }

    /// Requests a newer list.
    pub(super) fn request_list(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Output>) {
        let (of, parts) = match &self.partial {
            Some((partial, ..)) => (Some(partial.stamp), partial.missing(MAX_PARTS_SENT)),
            None => (None, Vec::new()),
        };
        self.send(
            now,
            from,
            Message::Want {
                stamp: self.belief.stamp(),
                of,
                parts,
            },
            out,
        );
    }

    /// Sends the list if it has one part, else its version.
    pub(super) fn send_list(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let single = self.packed.as_ref().is_some_and(|p| p.parts() == 1);
        let message = match self.part_message(0).filter(|_| single) {
            Some(part) => part,
            None => Message::Status {
                stamp: self.belief.stamp(),
                statuses: self.polling.statuses(now, false),
            },
        };
        self.send(now, to, message, out);
    }

    /// A peer requests a newer list, or missing parts of one.
    pub(super) fn handle_list_request(
        &mut self,
        now: Micros,
        from: Member,
        (stamp, of, parts): (Option<Stamp>, Option<Stamp>, &[u16]),
        out: &mut Vec<Output>,
    ) {
        let own = self.belief.stamp();
        if own <= stamp {
            // Nothing newer; but perhaps it does not know the pollers.
            let statuses = self.polling.statuses(now, false);
            if !statuses.is_empty() || own < stamp {
                self.send(
                    now,
                    from.address,
                    Message::Status {
                        stamp: own,
                        statuses,
                    },
                    out,
                );
            }
            return;
        }
        let all = self.packed.as_ref().map_or(0, PackedList::parts);
        let some: Vec<u16> = if of == own && !parts.is_empty() {
            parts
                .iter()
                .copied()
                .filter(|n| *n < all)
                .take(MAX_PARTS_SENT)
                .collect()
        } else {
            let first = self.random.gen_range(0..all.max(1));
            (0..all)
                .map(|n| (n + first) % all)
                .take(MAX_PARTS_SENT)
                .collect()
        };
        for number in some {
            if let Some(part) = self.part_message(number) {
                self.send(now, from.address, part, out);
            }
        }
    }

    /// A part of a list has come.
    pub(super) fn handle_part(
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
        if self.partial.as_ref().is_none_or(|(a, ..)| a.stamp < stamp) {
            let Some(fresh) = PartialList::new(stamp, parts) else {
                self.counts.malformed += 1;
                return;
            };
            self.partial = Some((fresh, from.address, now));
        }
        let Some((partial, last, at)) = self.partial.as_mut().filter(|(a, ..)| a.stamp == stamp)
        else {
            return;
        };
        if !partial.add(number, parts, bytes) {
            return;
        }
        (*last, *at) = (from.address, now);
        let Some(whole) = partial.whole() else { return };
        self.partial = None;
        match whole {
            Ok(hosts) => {
                if let Verdict::News(changes) = self.belief.peer(now, stamp, hosts) {
                    self.adopt_list(now, own, (Some(from.address), changes), out);
                }
            }
            Err(()) => self.counts.torn += 1,
        }
    }
}
