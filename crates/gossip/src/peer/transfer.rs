//! The transfer of lists in parts.

use super::message::{ListPart, ListRequest, Message, StatusMessage};
use super::{Output, Peer};
use crate::acceptance::Verdict;
use crate::endpoint_list::ListVersion;
use crate::packed_list::{PackedList, PartialList};
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// Maximum number of parts that are requested, or sent, at a time.
const MAX_PARTS_PER_REQUEST: usize = 48;

/// Time without an arriving part after which the missing parts are requested again.
const PART_TIMEOUT: Micros = 80_000;

/// Probability that missing parts are requested again from the last sender rather than from another peer.
const RETRY_SAME_SENDER: f64 = 0.5;

/// The transfer of a newer list, while some of its parts are missing.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) list: PartialList,
    /// The sender of the last part.
    sender: SocketAddr,
    /// When the last part arrived, or was requested again.
    last_activity: Micros,
}

impl Transfer {
    /// When the missing parts are to be requested again.
    pub(super) fn deadline(&self) -> Micros {
        self.last_activity + PART_TIMEOUT
    }

    /// Whether no part has arrived for [`PART_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        self.deadline() <= now
    }
}

impl Peer {
    /// Builds the message with a part of the accepted list.
    pub(super) fn part_message(&self, number: u16) -> Option<Message> {
        let packed = self.packed.as_ref()?;
        let bytes = packed.part(number)?.to_vec();
        Some(Message::ListPart(ListPart {
            version: packed.version,
            number,
            parts: packed.parts(),
            bytes,
        }))
    }

    /// Builds the message with the complete accepted list, if it has only one part.
    pub(super) fn single_part_message(&self) -> Option<Message> {
        let packed = self.packed.as_ref()?;
        if packed.parts() == 1 {
            self.part_message(0)
        } else {
            None
        }
    }

    /// Requests a newer list, or the missing parts if one is being transferred.
    pub(super) fn request_list(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Output>) {
        let (partial_version, parts) = match &self.transfer {
            Some(transfer) => (
                Some(transfer.list.version),
                transfer.list.missing(MAX_PARTS_PER_REQUEST),
            ),
            None => (None, Vec::new()),
        };
        let request = ListRequest {
            version: self.acceptance.version(),
            partial_version,
            parts,
        };
        self.send(now, from, Message::ListRequest(request), out);
    }

    /// Requests the missing parts again if the transfer is stalled, from the last sender or from another peer that may
    /// have the list.
    pub(super) fn retry_transfer(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        if !transfer.is_stalled(now) {
            return;
        }
        transfer.last_activity = now;
        let sender = transfer.sender;
        let receiver = if self.random.gen_bool(RETRY_SAME_SENDER) {
            sender
        } else {
            let others = self.random_peers(1, Some(sender));
            others.first().copied().unwrap_or(sender)
        };
        self.request_list(now, receiver, out);
    }

    /// Sends the accepted list if it has one part, otherwise the status with its version.
    pub(super) fn send_list(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let message = match self.single_part_message() {
            Some(part) => part,
            None => self.status_message(now, false),
        };
        self.send(now, to, message, out);
    }

    /// Handles a peer's request for a newer list, or for missing parts of one.
    pub(super) fn handle_list_request(
        &mut self,
        now: Micros,
        sender: SocketAddr,
        request: &ListRequest,
        out: &mut Vec<Output>,
    ) {
        let own = self.acceptance.version();
        if own <= request.version {
            // There is no newer list, but the sender may not know the pollers.
            let statuses = self.polling.statuses(now, false);
            if !statuses.is_empty() || own < request.version {
                let status = StatusMessage {
                    version: own,
                    statuses,
                };
                self.send(now, sender, Message::Status(status), out);
            }
            return;
        }
        for number in self.parts_to_send(own, request) {
            if let Some(part) = self.part_message(number) {
                self.send(now, sender, part, out);
            }
        }
    }

    /// Numbers of the parts to answer a request with: the requested ones, or all parts in order from a random one on,
    /// so that several senders of a long list begin with different parts.
    fn parts_to_send(&mut self, own: Option<ListVersion>, request: &ListRequest) -> Vec<u16> {
        let count = self.packed.as_ref().map_or(0, PackedList::parts);
        if request.partial_version == own && !request.parts.is_empty() {
            let requested = request.parts.iter().copied();
            return requested
                .filter(|number| *number < count)
                .take(MAX_PARTS_PER_REQUEST)
                .collect();
        }
        let first = self.random.gen_range(0..count.max(1));
        (0..count)
            .map(|number| (number + first) % count)
            .take(MAX_PARTS_PER_REQUEST)
            .collect()
    }

    /// Handles a part of a list.
    pub(super) fn handle_list_part(
        &mut self,
        now: Micros,
        sender: SocketAddr,
        part: &ListPart,
        out: &mut Vec<Output>,
    ) {
        let previous = self.acceptance.version();
        if Some(part.version) <= previous {
            return;
        }
        if !self.begin_transfer(now, sender, part) {
            self.metrics.malformed += 1;
            return;
        }
        let transfer = self.transfer.as_mut();
        let Some(transfer) = transfer.filter(|t| t.list.version == part.version) else {
            return;
        };
        if !transfer.list.add(part.number, part.parts, &part.bytes) {
            return;
        }
        transfer.sender = sender;
        transfer.last_activity = now;
        let Some(unpacked) = transfer.list.unpack() else {
            return;
        };
        self.transfer = None;
        let Ok(list) = unpacked else {
            self.metrics.checksum_mismatch += 1;
            return;
        };
        if let Verdict::Newer(changes) = self.acceptance.offer_peer_list(now, part.version, list) {
            self.publish_list(now, previous, Some(sender), changes, out);
        }
    }

    /// Begins the transfer of this part's list, unless the same or a newer list is being transferred. Returns `false`
    /// if the number of parts is invalid.
    fn begin_transfer(&mut self, now: Micros, sender: SocketAddr, part: &ListPart) -> bool {
        let current = self.transfer.as_ref().map(|t| t.list.version);
        if current >= Some(part.version) {
            return true;
        }
        let Some(list) = PartialList::new(part.version, part.parts) else {
            return false;
        };
        self.transfer = Some(Transfer {
            list,
            sender,
            last_activity: now,
        });
        true
    }
}
