//! The transfer of lists in parts.

use super::message::Message;
use super::{Member, Output, Peer};
use crate::acceptance::Verdict;
use crate::endpoint_list::ListVersion;
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
        Some(Message::ListPart {
            version: packed.version,
            number,
            parts: packed.parts(),
            bytes,
        })
    }

    /// Requests a newer list.
    pub(super) fn request_list(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Output>) {
        let (of, parts) = match &self.partial {
            Some((partial, ..)) => (Some(partial.version), partial.missing(MAX_PARTS_SENT)),
            None => (None, Vec::new()),
        };
        self.send(
            now,
            from,
            Message::ListRequest {
                version: self.acceptance.version(),
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
                version: self.acceptance.version(),
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
        (version, of, parts): (Option<ListVersion>, Option<ListVersion>, &[u16]),
        out: &mut Vec<Output>,
    ) {
        let own = self.acceptance.version();
        if own <= version {
            // Nothing newer; but perhaps it does not know the pollers.
            let statuses = self.polling.statuses(now, false);
            if !statuses.is_empty() || own < version {
                self.send(
                    now,
                    from.address,
                    Message::Status {
                        version: own,
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
        (version, number, parts): (ListVersion, u16, u16),
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let own = self.acceptance.version();
        if Some(version) <= own {
            return;
        }
        if self
            .partial
            .as_ref()
            .is_none_or(|(a, ..)| a.version < version)
        {
            let Some(fresh) = PartialList::new(version, parts) else {
                self.metrics.malformed += 1;
                return;
            };
            self.partial = Some((fresh, from.address, now));
        }
        let Some((partial, last, at)) =
            self.partial.as_mut().filter(|(a, ..)| a.version == version)
        else {
            return;
        };
        if !partial.add(number, parts, bytes) {
            return;
        }
        (*last, *at) = (from.address, now);
        let Some(complete) = partial.complete() else {
            return;
        };
        self.partial = None;
        match complete {
            Ok(hosts) => {
                if let Verdict::Newer(changes) =
                    self.acceptance.offer_peer_list(now, version, hosts)
                {
                    self.adopt_list(now, own, (Some(from.address), changes), out);
                }
            }
            Err(()) => self.metrics.checksum_mismatch += 1,
        }
    }
}
