//! Received messages.

use super::message::{Envelope, Message};
use super::send::FANOUT;
use super::tick::MIN_TICK;
use super::transfer::PART_TIMEOUT;
use super::{Member, Output, Peer};
use crate::acceptance::Verdict;
use crate::endpoint_list::ListVersion;
use crate::polling::{Mechanism, PollerStatus};
use crate::Micros;

impl Peer {
    /// Decodes and handles a message.
    pub(super) fn handle_message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let Ok(Envelope { from, message }) = postcard::from_bytes::<Envelope>(bytes) else {
            self.metrics.malformed += 1;
            return;
        };
        if from.address == self.own.address {
            return;
        }
        self.metrics.accepted += 1;
        self.polling.record_contact(now);
        if self.heard.len() >= 2 * FANOUT {
            self.heard.pop_front();
        }
        if !self.heard.contains(&from.address) {
            self.heard.push_back(from.address);
        }
        match message {
            Message::Swim(bytes) => {
                if self.swim.handle_data(&bytes, &mut self.runtime).is_err() {
                    self.metrics.malformed += 1;
                }
                self.carry_out_swim(now, out);
            }
            Message::Status { version, statuses } => {
                self.handle_status(now, from, (version, &statuses), out);
            }
            Message::ListRequest { version, of, parts } => {
                self.handle_list_request(now, from, (version, of, &parts), out);
            }
            Message::ListPart {
                version,
                number,
                parts,
                bytes,
            } => {
                self.handle_part(now, from, (version, number, parts), &bytes, out);
            }
            Message::ListDelta {
                from: old,
                to,
                changes,
            } => {
                let own = self.acceptance.version();
                match self.acceptance.offer_peer_changes(now, (old, to), &changes) {
                    Verdict::Newer(changes) => {
                        self.adopt_list(now, own, (Some(from.address), changes), out);
                    }
                    Verdict::Invalid => self.request_list(now, from.address, out),
                    Verdict::Duplicate | Verdict::Quarantined => {}
                }
            }
        }
    }

    /// A peer has sent its status.
    pub(super) fn handle_status(
        &mut self,
        now: Micros,
        from: Member,
        (version, statuses): (Option<ListVersion>, &[PollerStatus]),
        out: &mut Vec<Output>,
    ) {
        if self.polling.handle_statuses(now, statuses) {
            self.advance_tick(now);
            // Further news within a tick goes with the next status: the statuses of pollers must never become a message
            // storm.
            if self.passed_on + MIN_TICK <= now
                && self.disabled != Some(Mechanism::StatusForwarding)
            {
                self.passed_on = now;
                self.send_status_to_some(now, out);
            }
        }
        let own = self.acceptance.version();
        if version > own {
            let coming = self
                .partial
                .as_ref()
                .is_some_and(|(a, _, at)| version <= Some(a.version) && now < at + PART_TIMEOUT);
            if !coming {
                self.request_list(now, from.address, out);
            }
        } else if version < own {
            self.send_list(now, from.address, out);
        }
    }
}
